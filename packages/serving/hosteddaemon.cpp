#include <serving/hosteddaemon.h>

#include <algorithm>
#include <array>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <nlohmann/json.hpp>

#include <core/hash.h>
#include <serving/upstreamcopy.h>
#include <settings/json.h>

namespace baobabstall::serving {

namespace asio = boost::asio;
using core::Error;
using core::Offset;
using core::Step;

namespace {

constexpr Milliseconds tickInterval{100};         // of membership, ownership and reports of running requests: a fifth of a usual stream
constexpr Milliseconds pauseNoticed{500};         // a tick that is this late tells that the host stood still
constexpr Milliseconds housekeepingInterval{500}; // idle connections, ended leases, lapsed records
constexpr int percent = 100;
constexpr int operatorsWaitPercent = 45; // of the bound on configurations: a waiting read can miss a record (seen on trouble-1), the next one has it
constexpr Milliseconds controlWait{900};
constexpr int upstreamsPausePercent = 40;           // of the bound on leaving upstreams: the last rank's stagger, a read and a queue come on top
constexpr Milliseconds waitSlack{100};              // a waiting read's answer on its way to the hosts that share it
constexpr std::size_t loadsPerTick = 150;           // upstreams in one message of 3 kB; with more, loads are exchanged less often
constexpr std::string_view loadsPurpose = "loads";  // of a group's leader
constexpr std::size_t mostSharedBytes = 256 * 1024; // a larger page is read by each host itself
constexpr Milliseconds claimPatience{300};          // between tries to write the links' key or this host's address
constexpr Milliseconds peerAnswerSlack{50};         // an owner's answer on its way
constexpr Milliseconds firstAnswer{200};            // of an owner to an ask: that it is held, or waited for; some round trips and a busy host
constexpr Milliseconds ownerSilence{800};           // an owner that did not answer or could not order is not asked again for so long
constexpr Milliseconds unlinkedSilence{150};        // the same where no link could be opened: all hosts of a deployment start within 0.3 s
constexpr Milliseconds claimAgain{25};              // a read of the store (4 ms an answer) and its way
constexpr Milliseconds claimSpread{8};              // for each host: an append and the read that others need before their next
constexpr Milliseconds firstClaimSpread{30};        // the same where nobody has claimed anything: the whole system starts, seconds before callers come
constexpr Milliseconds claimTime{1'500};            // Retry-After while nobody owns an upstream: a claim, and most of a lease
constexpr Milliseconds balancerNotice{2'600};       // until the balancer has seen two failed checks, one a second
constexpr Milliseconds stopMargin{600};             // before the platform's SIGKILL
constexpr Milliseconds drainCheck{20};              // while stopping
constexpr Milliseconds releaseWait{500};            // for the last records of a stopping host; a store that is away does not delay the end

constexpr std::string_view linksKey = "key";
constexpr std::string_view hostPrefix = "host/";
constexpr std::string_view copyKey = "upstreams"; // what a host starts with while their own topic can't be read

/// Reads that the store holds until there is news. Who does not read waits for the page of who does.
FollowOptions waiting(Milliseconds wait)
{
    return {.wait = wait, .pause = wait + waitSlack};
}

std::string_view changeText(BookChange change)
{
    constexpr std::array<std::string_view, 6> texts = {"none", "came", "restarted", "leaving", "gone", "back"};
    return texts.at(static_cast<std::size_t>(change));
}

} // namespace

HostedDaemon::HostedDaemon(asio::io_context &io,
                           const settings::Settings &settings,
                           const Codec &codec,
                           StoreLike &store,
                           core::Incarnation incarnation,
                           logging::Log log)
    : node_(io, settings, codec, std::move(log))
    , store_(store)
    , orders_(io)
    , membership_({settings.host, settings.zone, incarnation}, settings.membership, core::hashText(settings.host.value(), 0))
    , planner_({settings.host, settings.zone, incarnation}, settings.ownership, settings.platform.retention)
    , forwarder_(node_)
    , callers_(io,
               {.limits = [this] { return node_.routes ? node_.routes->limits() : CallerLimits(); },
                .onUnreadable =
                    [this](int status, std::string_view reason) {
                        node_.metrics.unreadable.add({std::to_string(status)});
                        node_.log.info("request_unreadable", {{"status", status}, {"why", reason}});
                    }},
               [this](CallerConnection &caller, CallerRequest &request) { return forwarder_.handle(caller, request); })
    , operators_(io, {}, [this](net::Exchange &exchange) { return handleOperators(exchange); })
    , metricsPage_(io, {}, [this](net::Exchange &exchange) { return handleMetrics(exchange); })
    , operatorsTopic_(node_,
                      store,
                      Topic::Operators,
                      waiting(settings.hosting.configApply * operatorsWaitPercent / percent),
                      {.onListing =
                           [this](const StoreListing &listing) {
                               for (const auto &record : listing.records) {
                                   takeOperators(record);
                               }
                           },
                       .onPage =
                           [this](const StorePage &page) {
                               for (const auto &record : page.records) {
                                   takeOperators(record);
                               }
                           },
                       .onReached = [](bool) {},
                       .onRead = [this](const SharedPage &shared) { share(Topic::Operators, shared); }})
    , upstreamsTopic_(node_,
                      store,
                      Topic::Upstreams,
                      {.pause = settings.hosting.drain * upstreamsPausePercent / percent},
                      {.onListing = [this](const StoreListing &listing) { takeUpstreamListing(listing); },
                       .onPage =
                           [this](const StorePage &page) {
                               node_.bookReadAt = node_.now();
                               for (const auto &record : page.records) {
                                   takeUpstream(record);
                               }
                           },
                       .onReached =
                           [this](bool isReached) {
                               node_.book.noteStore(isReached, node_.now(), upstreamsTopic_.readAt());
                               useCopy();
                           },
                       .onRead = [this](const SharedPage &shared) { share(Topic::Upstreams, shared); }})
    , controlTopic_(node_,
                    store,
                    Topic::Control,
                    waiting(controlWait),
                    {.onListing =
                         [this](const StoreListing &listing) {
                             auto records = listing.records;
                             std::sort(records.begin(), records.end(), [](const auto &a, const auto &b) { return a.offset < b.offset; });
                             takeControl(records, listing.next);
                             const bool isFirst = planner_.table().things().empty();
                             claimsFrom_ = isFirst ? node_.now() + node_.settings.ownership.claimDelay : node_.now();
                             claimEach_ = isFirst ? firstClaimSpread : claimSpread;
                         },
                     .onPage = [this](const StorePage &page) { takeControl(page.records, page.next); },
                     .onReached =
                         [this](bool isReached) {
                             if (!isReached) {
                                 planner_.onLogDown();
                             }
                         },
                     .onRead = [this](const SharedPage &shared) { share(Topic::Control, shared); }})
    , incarnation_(incarnation)
    , exchange_(settings.host)
{
    node_.residency = this;
}

HostedDaemon::~HostedDaemon() = default;

bool HostedDaemon::start(Error &why)
{
    const auto &listen = node_.settings.listen;
    const auto &metrics = node_.settings.hosting.metrics;
    const bool isListening = callers_.listen(*net::Address::parse(listen.callers), why) && operators_.listen(*net::Address::parse(listen.operators), why)
        && (metrics.empty() || metricsPage_.listen(*net::Address::parse(metrics), why));
    if (!isListening) {
        return false;
    }
    isRunning_ = true;
    lastTick_ = node_.now();
    node_.log.info("started",
                   {{"callers", listen.callers},
                    {"peers", listen.peers},
                    {"operators", listen.operators},
                    {"store", node_.settings.platform.address},
                    {"zone", node_.settings.zone},
                    {"incarnation", incarnation_}});
    const auto spawn = [this](auto run) { asio::co_spawn(node_.io, std::move(run), asio::detached); };
    spawn([this] { return operatorsTopic_.run(); });
    spawn([this] { return upstreamsTopic_.run(); });
    spawn([this] { return controlTopic_.run(); });
    spawn([this] { return announce(); });
    spawn([this] { return tickLoop(); });
    return true;
}

bool HostedDaemon::isReady() const
{
    return isRunning_ && !node_.isStopping && node_.routes && (upstreamsTopic_.isKnown() || node_.book.size() > 0);
}

net::Task<void> HostedDaemon::stop()
{
    const auto begin = node_.now();
    constexpr double msPerSecond = 1'000;
    const auto limit = begin + Milliseconds(static_cast<std::int64_t>(node_.settings.hosting.graceSeconds * msPerSecond)) - stopMargin;
    node_.isStopping = true;
    node_.log.info("stopping", {{"busy", callers_.busy()}, {"connections", callers_.connections()}, {"owned", owned_.size()}});
    callers_.beginStop();
    if (links_) {
        send(membership_.leave(node_.now()));
    }
    planner_.stop();
    tick();
    while (node_.now() < std::min(limit, begin + balancerNotice)) {
        co_await net::sleep(node_.io, drainCheck);
    }
    callers_.closeIdle();
    while (callers_.connections() > 0 && node_.now() < limit) {
        co_await net::sleep(node_.io, drainCheck);
        callers_.closeIdle();
    }
    const auto releaseLimit = std::min(limit, node_.now() + releaseWait);
    while (!planner_.holdings().empty() && node_.now() < releaseLimit) {
        co_await net::sleep(node_.io, drainCheck);
    }
    node_.log.info("stopped", {{"unfinished", callers_.busy()}, {"unreleased", planner_.holdings().size()}, {"took_ms", node_.now() - begin}});
    isRunning_ = false;
}

void HostedDaemon::reload(const settings::Settings &settings)
{
    const auto &now = node_.settings;
    const bool needsRestart = settings.listen.callers != now.listen.callers || settings.listen.operators != now.listen.operators
        || settings.listen.peers != now.listen.peers || settings.host != now.host || settings.platform.address != now.platform.address;
    node_.settings.hosting = settings.hosting;
    node_.log.info("reloaded", {{"needs_restart", needsRestart}});
}

// ---- Operators' address and metrics ----

net::Task<void> HostedDaemon::handleOperators(net::Exchange &exchange)
{
    const auto path = exchange.request().path();
    if (path.ends_with("/readyz")) { // balancers ask below a prefix of their own
        const bool ready = isReady();
        co_await exchange.respond(net::HttpResponse::json(ready ? 200 : 503, ready ? R"({"ready":true})" : R"({"ready":false})"));
    } else if (path == "/healthz") {
        co_await exchange.respond(net::HttpResponse::json(200, "{}"));
    } else if (path == "/metrics") {
        co_await handleMetrics(exchange);
    } else {
        co_await exchange.respond(net::HttpResponse::json(404, R"({"error":"no such page; there are /readyz, /healthz and /metrics"})"));
    }
}

net::Task<void> HostedDaemon::handleMetrics(net::Exchange &exchange)
{
    updateGauges();
    net::HttpResponse response;
    response.headers.set("Content-Type", std::string(metrics::Registry::contentType));
    response.body = node_.metrics.registry.text();
    co_await exchange.respond(std::move(response));
}

void HostedDaemon::updateGauges()
{
    constexpr double msPerSecond = 1'000;
    auto &metrics = node_.metrics;
    const auto now = node_.now();
    metrics.configVersion.set(node_.routes ? static_cast<double>(node_.routes->version().value()) : 0);
    metrics.configAge.set(static_cast<double>((now - node_.routesSince).count()) / msPerSecond);
    metrics.upstreamsAge.set(static_cast<double>((now - node_.bookReadAt).count()) / msPerSecond);
    metrics.upstreams.set(static_cast<double>(node_.book.size()));
    metrics.owned.set(static_cast<double>(owned_.size()));
    metrics.poolConnections.set({"idle"}, static_cast<double>(node_.pool.idle()));
    metrics.poolConnections.set({"opened"}, static_cast<double>(node_.pool.opened()));
    metrics.callers.set({"open"}, static_cast<double>(callers_.connections()));
    metrics.callers.set({"busy"}, static_cast<double>(callers_.busy()));
    metrics.leases.set(static_cast<double>(node_.leases.size()));
    metrics.logDropped.set(static_cast<double>(logging::Log::droppedLines()));
    if (node_.routes) {
        for (const auto &service : node_.routes->services()) {
            metrics.retryBudget.set({service.name.value()}, node_.budgetOf(service.name).left(now));
        }
    }
}

// ---- Operators' topic ----

void HostedDaemon::takeOperators(const StoreRecord &record)
{
    if (node_.codec.isConfigurationKey(record.key)) {
        takeConfiguration(record);
        return;
    }
    if (record.key.empty() || record.value.empty()) {
        return;
    }
    Error why;
    const auto news = node_.codec.readRevision(record.key, record.value, why);
    if (!news) {
        noteUnreadable(Topic::Operators, record, why);
        return;
    }
    auto &known = node_.revisions[news->weights];
    if (news->revision <= known.revision) {
        return;
    }
    known = {news->revision, node_.now()};
    node_.metrics.events.add({"revision"});
    node_.log.info("revision_in_force", {{"weights", news->weights.text()}, {"revision", news->revision}, {"offset", record.offset}});
    for (const auto &[id, owned] : owned_) {
        owned->onRevision(news->weights, news->revision);
    }
}

void HostedDaemon::takeConfiguration(const StoreRecord &record)
{
    Error why;
    auto configuration = node_.codec.readConfiguration(record.value, why);
    if (!configuration) {
        node_.log.warn("configuration_unreadable", why, {{"offset", record.offset}});
        return;
    }
    const auto before = node_.routes ? node_.routes->version() : ConfigVersion();
    if (node_.routes && configuration->version <= before) {
        return;
    }
    node_.routes = std::make_shared<const RouteTable>(std::move(*configuration));
    node_.routesSince = node_.now();
    node_.metrics.events.add({"configuration"});
    node_.log.info("configuration_in_force", {{"version", node_.routes->version()}, {"before", before}, {"offset", record.offset}});
    thingsVersion_ = ~std::uint64_t(0);
    updateThings();
}

// ---- Upstreams' topic ----

void HostedDaemon::takeUpstreamListing(const StoreListing &listing)
{
    node_.bookReadAt = node_.now();
    std::vector<ReplicaRecord> records;
    for (const auto &each : listing.records) {
        if (auto record = readUpstream(each)) {
            records.push_back(std::move(*record));
        }
    }
    for (const auto &[id, change] : node_.book.assign(records, node_.now())) {
        noteChange(id, change);
    }
    updateThings();
}

void HostedDaemon::takeUpstream(const StoreRecord &each)
{
    if (each.key.empty()) {
        return;
    }
    const UpstreamId id(each.key);
    const auto record = readUpstream(each);
    noteChange(id, record ? node_.book.apply(*record) : node_.book.remove(id, node_.now()));
    updateThings();
}

/// Nothing for a record without a value, which says that the upstream is gone, and for one that can't be read.
std::optional<ReplicaRecord> HostedDaemon::readUpstream(const StoreRecord &each) const
{
    if (each.value.empty()) {
        return std::nullopt;
    }
    Error why;
    auto record = node_.codec.readReplica(each.key, each.value, why);
    if (!record) {
        noteUnreadable(Topic::Upstreams, each, why);
    }
    return record;
}

void HostedDaemon::noteUnreadable(Topic topic, const StoreRecord &record, const Error &why) const
{
    node_.log.warn("record_unreadable", why, {{"topic", topicText(topic)}, {"record", settings::printableText(record.key)}, {"offset", record.offset}});
}

void HostedDaemon::noteChange(const UpstreamId &id, BookChange change)
{
    if (change == BookChange::None) {
        return;
    }
    node_.metrics.events.add({changeText(change)});
    node_.log.info("upstream_changed", {{"upstream", id}, {"change", changeText(change)}, {"upstreams", node_.book.size()}});
    if (change == BookChange::Restarted || change == BookChange::Gone) {
        node_.leases.drop(id);
        node_.pool.forget(id);
        node_.chooser.forget(id);
    }
    const auto owned = owned_.find(id);
    const auto *record = node_.book.find(id);
    if (owned != owned_.end() && record != nullptr) {
        owned->second->onRecord(*record);
    }
}

void HostedDaemon::updateThings()
{
    if (thingsVersion_ == node_.book.version() || !node_.routes) { // without a configuration nothing can be done with what is gained
        return;
    }
    thingsVersion_ = node_.book.version();
    std::vector<ownership::PlacedThing> things;
    for (const auto &id : node_.book.all()) {
        if (node_.book.isUsable(id)) {
            things.push_back({ownership::engineThing(id), node_.book.find(id)->zone});
        }
    }
    planner_.setThings(std::move(things));
}

// ---- Control topic ----

void HostedDaemon::takeControl(const std::vector<StoreRecord> &records, Offset next)
{
    std::vector<ownership::StreamRecord> claims;
    for (const auto &record : records) {
        if (record.key == linksKey && !record.value.empty()) {
            openLinks(record.value);
        } else if (record.key.starts_with(hostPrefix)) {
            takeAnnouncement(record);
        } else if (record.key == copyKey) {
            copy_ = record.value;
            useCopy();
        }
        ownership::StreamRecord claim{record.offset, core::civilMilliseconds(), std::nullopt};
        if (ownership::engineOf(ownership::Thing(record.key))) {
            Error why;
            claim.claim = ownership::claimFromJson(record.value, why);
            if (!claim.claim) {
                noteUnreadable(Topic::Control, record, why);
            }
        }
        if (record.offset > planner_.readTo()) {
            claims.push_back(std::move(claim));
        }
    }
    planner_.onRecords(Offset(1), next, claims);
    controlTopic_.setUrgent(!planner_.isCaughtUp());
    if (!claims.empty() && isRunning_) { // what was gained or lost counts at once
        carryOut(planner_.tick(node_.now()));
    }
}

void HostedDaemon::takeAnnouncement(const StoreRecord &record)
{
    const HostId host(record.key.substr(hostPrefix.size()));
    Error why;
    const auto value = settings::parseJson(record.value, record.key, {.comments = false}, why);
    std::optional<net::Address> address;
    std::string zone;
    double linkMbps = 0;
    try {
        if (value && value->is_object()) {
            address = net::Address::parse(value->value("peers", std::string()));
            zone = value->value("zone", std::string());
            linkMbps = value->value("link_mbps", 0.0);
        }
    } catch (const nlohmann::json::exception &failed) { // a field of another type
        address.reset();
        why.reason = failed.what();
    }
    if (host == node_.settings.host && address && !isAnnounced_ && address->text() != node_.settings.listen.peers) {
        planner_.disownEarlierClaims(); // another machine bore this name
        node_.log.info("earlier_claims_disowned", {{"earlier_address", address->text()}});
    }
    if (record.value.empty()) {
        announced_.erase(host);
    } else if (!address) {
        noteUnreadable(Topic::Control, record, why);
        return;
    } else {
        announced_[host] = {*address, ZoneId(zone), linkMbps};
    }
    std::vector<peers::HostEntry> hosts;
    for (const auto &[each, announced] : announced_) {
        hosts.push_back({each, announced.zone, false});
        if (links_ && each != node_.settings.host) {
            links_->setAddress(each, announced.peers);
        }
    }
    membership_.hostList(hosts, node_.now());
    planner_.setMembers(membership_.members());
}

void HostedDaemon::openLinks(const std::string &key)
{
    if (links_) {
        return;
    }
    key_ = key;
    Error why;
    links_ = std::make_unique<peers::Links>(node_.io, peers::Links::Self{node_.settings.host, incarnation_, node_.settings.region}, key, linkHandlers());
    if (!links_->listen(*net::Address::parse(node_.settings.listen.peers), why)) {
        node_.log.error("peers_not_listening", why);
    }
    for (const auto &[host, announced] : announced_) {
        if (host != node_.settings.host) {
            links_->setAddress(host, announced.peers);
        }
    }
}

/// Where a listing of the upstreams has failed and none has been read since the start.
void HostedDaemon::useCopy()
{
    if (upstreamsTopic_.isKnown() || upstreamsTopic_.isReached() || copy_.empty() || node_.book.size() > 0) {
        return;
    }
    Error why;
    const auto records = readCopy(copy_, why);
    if (!records) {
        node_.log.warn("record_unreadable", why, {{"topic", topicText(Topic::Control)}, {"record", copyKey}});
        copy_.clear();
        return;
    }
    node_.log.info("upstreams_from_copy", {{"upstreams", records->size()}});
    for (const auto &each : *records) {
        noteChange(each.id, node_.book.apply(each));
    }
    updateThings();
}

/// The first of all hosts writes a copy of what is known of the upstreams when it differs from the one in the store.
net::Task<void> HostedDaemon::keepCopy()
{
    const auto leaders = groups_.leaders(copyKey);
    const bool isFirst = !leaders.empty() && leaders.front() == node_.settings.host;
    const bool isKnown = upstreamsTopic_.isKnown() && upstreamsTopic_.isReached() && controlTopic_.isKnown() && controlTopic_.isReached();
    if (isCopying_ || !isFirst || !isKnown || node_.isStopping || node_.book.size() == 0) {
        co_return;
    }
    auto copy = copyOf(node_.book);
    if (copy == copy_) {
        co_return;
    }
    isCopying_ = true;
    Error why;
    Offset offset;
    const auto outcome = co_await store_.append(Topic::Control, {{std::string(copyKey), copy}}, Offset(0), offset, why);
    isCopying_ = false;
    node_.metrics.storeCalls.add({"append", outcome == AppendOutcome::Done ? "good" : "failed"});
    if (outcome == AppendOutcome::Done) {
        copy_ = std::move(copy);
    } else {
        node_.log.warn("upstreams_not_copied", why);
    }
}

/// Writes the links' key when there is none, then this host's address.
net::Task<void> HostedDaemon::announce()
{
    while (isRunning_ && !isAnnounced_) {
        co_await net::sleep(node_.io, controlTopic_.isKnown() ? tickInterval : claimPatience);
        if (!controlTopic_.isKnown()) {
            continue;
        }
        Error why;
        Offset offset;
        if (!links_) {
            const auto nonce = peers::makeNonce();
            if (!nonce) {
                node_.log.error("no_random_key");
                co_return;
            }
            const auto outcome = co_await store_.append(Topic::Control, {{std::string(linksKey), *nonce}}, planner_.readTo().next(), offset, why);
            node_.metrics.storeCalls.add({"append", outcome == AppendOutcome::Done ? "good" : "failed"});
            node_.log.info("links_key_offered", {{"taken", outcome == AppendOutcome::Done}});
            controlTopic_.hurry();
            continue;
        }
        const nlohmann::json value = {{"peers", node_.settings.listen.peers},
                                      {"zone", node_.settings.zone.value()},
                                      {"link_mbps", node_.settings.hosting.linkMbps},
                                      {"incarnation", incarnation_.value()}};
        const auto outcome
            = co_await store_.append(Topic::Control, {{std::string(hostPrefix) + node_.settings.host.value(), value.dump()}}, Offset(0), offset, why);
        node_.metrics.storeCalls.add({"append", outcome == AppendOutcome::Done ? "good" : "failed"});
        isAnnounced_ = outcome == AppendOutcome::Done;
        if (!isAnnounced_) {
            node_.log.warn("not_announced", why);
            co_await net::sleep(node_.io, claimPatience);
        }
    }
}

Milliseconds HostedDaemon::turnOf(const std::string &what) const
{
    return turnAmong(announced_.size() + 1, claimSpread, what);
}

net::Task<void> HostedDaemon::appendClaims(std::vector<ownership::ClaimRecord> records)
{
    isAppending_ = true;
    std::vector<std::pair<std::string, std::string>> pairs;
    pairs.reserve(records.size());
    for (const auto &record : records) {
        pairs.emplace_back(record.thing.value(), ownership::toJson(record));
    }
    Error why;
    Offset offset;
    const auto outcome = co_await store_.append(Topic::Control, std::move(pairs), records.front().readTo.next(), offset, why);
    isAppending_ = false;
    node_.metrics.storeCalls.add({"append", outcome == AppendOutcome::Done ? "good" : "failed"});
    constexpr std::array<std::string_view, 4> texts = {"done", "conflict", "refused", "unknown"};
    node_.log.info(
        "claims_written",
        {{"records", records.size()}, {"outcome", texts.at(static_cast<std::size_t>(outcome))}, {"read_to", records.front().readTo}, {"offset", offset}});
    for (const auto &record : records) {
        if (outcome == AppendOutcome::Done) {
            planner_.onAppended(record.id);
        } else if (outcome == AppendOutcome::Unknown) {
            planner_.onAppendUnknown(record.id);
        } else {
            planner_.onAppendRefused(record.id);
        }
    }
    controlTopic_.hurry();
    if (outcome == AppendOutcome::Conflict) { // another host was first: its records are read, then the rest is claimed without waiting for a tick
        co_await net::sleep(node_.io, claimAgain + turnOf(records.front().id));
        carryOut(planner_.tick(node_.now()));
    }
}

// ---- Membership and ownership ----

net::Task<void> HostedDaemon::tickLoop()
{
    while (isRunning_) {
        const auto now = node_.now();
        if (now - lastTick_ > pauseNoticed + tickInterval) {
            node_.log.warn("host_stood_still", {{"for_ms", now - lastTick_}});
            node_.metrics.events.add({"stood_still"});
            upstreamsTopic_.hurry();
        }
        lastTick_ = now;
        tick();
        tellUses();
        exchangeLoads();
        if (now >= nextHousekeeping_) {
            nextHousekeeping_ = now + housekeepingInterval;
            node_.pool.expire(now);
            node_.leases.expire(now);
            for (const auto &id : node_.book.expire(now)) {
                noteChange(id, BookChange::Gone);
            }
            updateThings();
            asio::co_spawn(
                node_.io, [this] { return keepCopy(); }, asio::detached);
        }
        co_await net::sleep(node_.io, tickInterval);
    }
}

void HostedDaemon::tick()
{
    const auto now = node_.now();
    if (links_) {
        send(membership_.tick(now));
    }
    if (const auto changes = membership_.takeChanges(); !changes.empty()) {
        planner_.setMembers(membership_.members());
        node_.setHosts(static_cast<int>(membership_.live().size()));
        updateGroups();
        for (const auto &member : changes) {
            node_.log.info("member", {{"member", member.host}, {"state", static_cast<int>(member.state)}, {"incarnation", member.incarnation}});
        }
    }
    carryOut(planner_.tick(now));
    controlTopic_.setUrgent(!planner_.isCaughtUp());
}

void HostedDaemon::send(std::vector<peers::Outgoing> messages)
{
    for (auto &out : messages) {
        links_->post(out.to, std::move(out.message));
    }
}

void HostedDaemon::carryOut(const ownership::Plan &plan)
{
    for (const auto &holding : plan.lost) {
        lose(holding, "superseded");
    }
    for (const auto &holding : plan.gained) {
        gain(holding);
    }
    for (const auto &holding : plan.handovers) {
        lose(holding, "handed_over");
    }
    if (plan.appends.empty()) {
        return;
    }
    const auto turn = claimsFrom_ + turnAmong(announced_.size() + 1, claimEach_, node_.settings.host.value());
    if (isAppending_ || node_.now() < turn) { // its condition would fail, or others' would
        for (const auto &record : plan.appends) {
            planner_.onAppendRefused(record.id);
        }
        return;
    }
    asio::co_spawn(
        node_.io, [this, records = plan.appends] { return appendClaims(records); }, asio::detached);
}

std::optional<ResidencyOptions> HostedDaemon::residencyOptions(const ReplicaRecord &record, ModelSpec &model) const
{
    const auto *service = node_.routes ? node_.routes->service(record.service) : nullptr;
    if (service == nullptr || !service->engine || service->engine->models.empty()) {
        return std::nullopt;
    }
    model = *node_.neededModel(service->engine->models);
    for (const auto &each : service->engine->models) { // what it holds already goes first
        if (record.holds(each.name)) {
            model = each;
        }
    }
    ResidencyOptions options;
    const double room = service->engine->weightsMb - model.weightsMb;
    const int fitting = model.adapterMb > 0 ? static_cast<int>(room / model.adapterMb) : service->engine->adapterPlaces;
    options.places = std::max(1, std::min(service->engine->adapterPlaces, fitting));
    return options;
}

void HostedDaemon::gain(const ownership::Holding &holding)
{
    const auto id = ownership::engineOf(holding.thing);
    const auto *record = id ? node_.book.find(*id) : nullptr;
    if (record == nullptr) {
        return;
    }
    node_.log.info("ownership", {{"upstream", *id}, {"epoch", holding.epoch}, {"change", "claimed"}});
    node_.metrics.events.add({"claimed"});
    ModelSpec model;
    const auto options = residencyOptions(*record, model);
    if (!options) {
        return;
    }
    if (!loads_) {
        settings::Loads loads;
        loads.perSecond = std::max(0.01, node_.routes->service(record->service)->engine->loadsPerSecond);
        loads_.emplace(loads, node_.now());
    }
    OwnedGuards guards;
    guards.mayAct = [this, holding] { return planner_.mayAct(holding.thing, holding.epoch, node_.now()); };
    guards.takeLoadPermit = [this]() -> std::optional<std::uint64_t> {
        const auto permit = loads_->take(std::max<int>(node_.hosts, static_cast<int>(announced_.size())), node_.now());
        return permit ? std::optional(permit->value()) : std::nullopt;
    };
    guards.onRestart = [this, thing = holding.thing] { planner_.renew(thing); };
    guards.returnLoadPermit = [this](std::uint64_t permit) { loads_->done(engines::PermitId(permit)); };
    auto owned = std::make_shared<OwnedReplica>(node_, orders_, *record, *options, model, holding.epoch, std::move(guards));
    if (auto &place = owned_[*id]; place) {
        place->stop();
    }
    owned_[*id] = owned;
    for (const auto &[weights, revision] : node_.revisions) {
        owned->onRevision(weights, revision.revision);
    }
    owned->start();
}

void HostedDaemon::lose(const ownership::Holding &holding, std::string_view how)
{
    const auto id = ownership::engineOf(holding.thing);
    if (id) {
        node_.log.info("ownership", {{"upstream", *id}, {"epoch", holding.epoch}, {"change", how}});
        node_.metrics.events.add({how});
        const auto owned = owned_.find(*id);
        if (owned != owned_.end() && owned->second->epoch() == holding.epoch) {
            owned->second->stop();
            owned_.erase(owned);
        }
    }
    planner_.onDrained(holding);
}

std::optional<HostId> HostedDaemon::ownerOf(const UpstreamId &replica) const
{
    const auto owner = planner_.ownerOf(ownership::engineThing(replica));
    if (!owner) {
        return std::nullopt;
    }
    const bool isOurs = owner->host == node_.settings.host && owner->incarnation == incarnation_;
    return isOurs || planner_.isUsable(*owner) ? std::optional(owner->host) : std::nullopt;
}

// ---- Weights ----

bool HostedDaemon::canOrder(const UpstreamId &replica) const
{
    const auto owner = ownerOf(replica);
    if (!owner) {
        return false;
    }
    const auto now = node_.now();
    const auto silent = silentUntil_.find(*owner);
    const auto closed = noOrdersUntil_.find(replica);
    return (silent == silentUntil_.end() || now >= silent->second) && (closed == noOrdersUntil_.end() || now >= closed->second);
}

net::Task<std::optional<ResidencyGrant>> HostedDaemon::ensure(ResidencyWish wish, Error &why)
{
    const auto &replica = wish.replica;
    const auto owner = ownerOf(replica);
    const auto begin = node_.now();
    why = Error{.step = Step::Peer, .peer = owner ? owner->value() : std::string(), .reason = "no host that can be reached owns the upstream"};
    if (owner && links_ && canOrder(replica)) {
        const bool isHere = *owner == node_.settings.host;
        const auto grant = isHere ? co_await ensureHere(
                               wish, [](Milliseconds) {}, why)
                                  : co_await ensureThere(*owner, wish, why);
        if (grant || why.step == Step::Load) {
            co_return grant;
        }
        const auto now = node_.now();
        auto &until = why.step == Step::Peer ? silentUntil_[*owner] : noOrdersUntil_[replica];
        if (now >= until) { // others that asked at the same time say the same
            node_.log.warn("owner_without_orders", why, {{"owner", *owner}, {"upstream", replica}});
        }
        const bool wasUnlinked = why.step == Step::Peer && now - begin < firstAnswer;
        until = now + (wasUnlinked ? unlinkedSilence : ownerSilence);
    }
    const auto *record = node_.book.find(replica); // what the upstream last said of itself is better than nothing
    const bool isHeld = record != nullptr && record->holds(wish.weights);
    why.retryAfter = claimTime;
    co_return isHeld ? std::optional(ResidencyGrant{wish.atLeast, Instant()}) : std::nullopt;
}

/// Error: step Peer when the owner did not answer, else why it could not.
net::Task<std::optional<ResidencyGrant>> HostedDaemon::ensureThere(HostId owner, ResidencyWish wish, Error &why)
{
    const auto begin = node_.now();
    const auto &weights = wish.weights;
    const peers::ResidencyCall wanted{wish.replica, weights.model, weights.adapter, wish.atLeast.value(), wish.wait.count(), wish.onTime.count()};
    const auto call = links_->call(owner, wanted);
    auto patience = firstAnswer;
    while (true) {
        const auto reply = co_await call->next(patience, why);
        if (!reply) {
            why.step = Step::Peer;
            co_return std::nullopt;
        }
        if (const auto *held = std::get_if<peers::ResidencyReply>(&*reply)) {
            co_return ResidencyGrant{AdapterRevision(held->revision), begin + Milliseconds(held->leaseMs)};
        }
        if (const auto *fail = std::get_if<peers::FailReply>(&*reply)) {
            why = fail->error;
            co_return std::nullopt;
        }
        patience = wish.wait + peerAnswerSlack;
    }
}

net::Task<std::optional<ResidencyGrant>> HostedDaemon::ensureHere(ResidencyWish wish, OnWaiting onWaiting, Error &why)
{
    const auto found = owned_.find(wish.replica);
    if (found == owned_.end()) {
        why = Error{.step = Step::Admit, .peer = node_.settings.host.value(), .reason = "this host does not own the upstream"};
        co_return std::nullopt;
    }
    const auto owned = found->second;
    const auto told = co_await owned->ask(wish, std::move(onWaiting), why);
    co_return told ? std::optional(ResidencyGrant{told->revision, node_.now() + told->lease}) : std::nullopt;
}

// ---- Peers ----

peers::LinkHandlers HostedDaemon::linkHandlers()
{
    peers::LinkHandlers handlers;
    handlers.onGossip = [this](const HostId &from, const peers::Message &message) { send(membership_.onMessage(from, message, node_.now())); };
    handlers.onNotice = [this](const HostId &from, const peers::Notice &notice) { takeNotice(from, notice); };
    handlers.onRejected = [this](const std::string &peer, const Error &error) { node_.log.warn("link_rejected", error, {{"from", peer}}); };
    handlers.onProved = [](const HostId &, core::Incarnation) {};
    handlers.onCall = [this](std::shared_ptr<peers::IncomingCall> call) { return serve(std::move(call)); };
    return handlers;
}

net::Task<void> HostedDaemon::serve(std::shared_ptr<peers::IncomingCall> call)
{
    const auto *wanted = std::get_if<peers::ResidencyCall>(&call->body());
    Error why{.step = Step::Load, .peer = node_.settings.host.value(), .reason = "a hosted daemon serves no such call"};
    if (wanted != nullptr) {
        const auto onWaiting = [&call](Milliseconds expected) { call->send(peers::WaitingReply{expected.count()}); };
        const ResidencyWish wish{
            wanted->replica, {wanted->model, wanted->adapter}, AdapterRevision(wanted->revision), Milliseconds(wanted->waitMs), Milliseconds(wanted->onTimeMs)};
        const auto grant = co_await ensureHere(wish, onWaiting, why);
        if (grant) {
            call->send(peers::ResidencyReply{grant->revision.value(), (grant->until - node_.now()).count()});
            co_return;
        }
    }
    call->send(peers::FailReply{why});
}

void HostedDaemon::takeNotice(const HostId &from, const peers::Notice &notice)
{
    if (const auto *uses = std::get_if<peers::UsesNotice>(&notice.body)) {
        takeUses(from, *uses);
    } else if (const auto *feed = std::get_if<peers::FeedNotice>(&notice.body)) {
        takeFeed(from, *feed);
    } else if (const auto *news = std::get_if<peers::LoadsNotice>(&notice.body)) {
        Loads loads;
        for (const auto &[id, running, readingMs] : news->loads) {
            loads[id] = {running, readingMs};
        }
        exchange_.take(from, static_cast<LoadScope>(news->scope), std::move(loads), node_.now());
        useLoads();
    }
}

// ---- Shared reads ----

void HostedDaemon::updateGroups()
{
    std::vector<GroupedHost> live;
    for (const auto &member : membership_.live()) {
        const auto announced = announced_.find(member.host);
        live.push_back(announced == announced_.end() ? GroupedHost{member.host, member.zone, 0}
                                                     : GroupedHost{member.host, announced->second.zone, announced->second.linkMbps});
    }
    groups_.assign(std::move(live), node_.settings.host);
    for (auto *follower : {&operatorsTopic_, &upstreamsTopic_, &controlTopic_}) {
        follower->setTurn(groups_.turnOf(node_.settings.host, follower->name()));
    }
}

void HostedDaemon::share(Topic topic, const SharedPage &shared)
{
    if (!links_ || node_.isStopping) {
        return;
    }
    peers::FeedNotice feed;
    feed.topic = topicText(topic);
    feed.from = shared.from.value();
    feed.first = shared.page.first.value();
    feed.next = shared.page.next.value();
    feed.readTo = shared.page.readTo.value();
    std::size_t bytes = 0;
    for (const auto &record : shared.page.records) {
        bytes += record.key.size() + record.value.size();
        feed.records.emplace_back(record.key, record.value);
    }
    if (bytes > mostSharedBytes) {
        return;
    }
    const auto members = groups_.members(feed.topic);
    sendFeed(feed, members);
    if (!members.empty() && members.front() == node_.settings.host) {
        sendFeed(feed, groups_.leaders(feed.topic));
    }
}

void HostedDaemon::sendFeed(const peers::FeedNotice &feed, const std::vector<HostId> &hosts)
{
    for (const auto &host : hosts) {
        if (host != node_.settings.host) {
            links_->notify(host, {feed});
        }
    }
}

/// A page of another group's leader goes on to the own group.
void HostedDaemon::takeFeed(const HostId &from, const peers::FeedNotice &feed)
{
    const auto members = groups_.members(feed.topic);
    if (!groups_.isMember(from) && !members.empty() && members.front() == node_.settings.host) {
        sendFeed(feed, members);
    }
    SharedPage shared;
    shared.from = Offset(feed.from);
    shared.page.first = Offset(feed.first);
    shared.page.next = Offset(feed.next);
    shared.page.readTo = Offset(feed.readTo);
    auto offset = shared.from;
    for (const auto &[key, value] : feed.records) {
        shared.page.records.push_back({offset, key, value});
        offset = offset.next();
    }
    if (offset != shared.page.readTo) {
        node_.log.warn("feed_unsound", {{"topic", settings::printableText(feed.topic)}, {"from", feed.from}, {"read_to", feed.readTo}});
        return;
    }
    for (auto *follower : {&operatorsTopic_, &upstreamsTopic_, &controlTopic_}) {
        if (follower->name() == feed.topic) {
            follower->feed(shared);
        }
    }
}

// ---- Running requests ----

void HostedDaemon::takeUses(const HostId &from, const peers::UsesNotice &notice)
{
    for (const auto &each : notice.uses) {
        const auto owned = owned_.find(each.upstream);
        if (owned != owned_.end()) {
            std::vector<AdapterKey> used;
            for (const auto &[model, adapter] : each.adapters) {
                used.push_back({model, adapter});
            }
            owned->second->onInUse(from, std::move(used));
        }
    }
}

/// Tells each owner which adapters requests of this host use at its upstreams, and once when none do any more.
void HostedDaemon::tellUses()
{
    std::map<HostId, peers::UsesNotice> notices;
    std::map<HostId, std::set<UpstreamId>> reported;
    for (const auto &id : node_.book.all()) {
        const auto owner = ownerOf(id);
        if (!owner) {
            continue;
        }
        auto used = node_.weightsInUse(id);
        if (*owner == node_.settings.host) {
            if (const auto owned = owned_.find(id); owned != owned_.end()) {
                owned->second->onInUse(node_.settings.host, std::move(used));
            }
            continue;
        }
        if (!used.empty()) {
            reported[*owner].insert(id);
        }
        if (!used.empty() || reported_[*owner].contains(id)) {
            peers::UsesAt at{id, {}};
            for (const auto &weights : used) {
                at.adapters.emplace_back(weights.model, weights.adapter);
            }
            notices[*owner].uses.push_back(std::move(at));
        }
    }
    reported_ = std::move(reported);
    for (auto &[owner, notice] : notices) {
        if (links_) {
            links_->notify(owner, {std::move(notice)});
        }
    }
}

void HostedDaemon::exchangeLoads()
{
    const auto every = 1 + node_.book.size() / loadsPerTick;
    if (!links_ || ++loadTicks_ % every != 0) {
        return;
    }
    Loads own;
    for (const auto &id : node_.book.all()) {
        if (const auto load = node_.chooser.own(id); load != Occupancy()) {
            own[id] = load;
        }
    }
    for (const auto &news : exchange_.tick(own, groups_.members(loadsPurpose), groups_.leaders(loadsPurpose), node_.now())) {
        peers::LoadsNotice notice{static_cast<int>(news.scope), {}};
        for (const auto &[id, load] : news.loads) {
            notice.loads.emplace_back(id, load.running, load.readingMs);
        }
        links_->notify(news.to, {std::move(notice)});
    }
    useLoads();
}

void HostedDaemon::useLoads()
{
    const auto now = node_.now();
    const auto others = exchange_.others(now);
    if (!others) {
        return;
    }
    for (const auto &id : node_.book.all()) {
        const auto *record = node_.book.find(id);
        const auto *service = node_.routes ? node_.routes->service(record->service) : nullptr;
        // Plain calls are over before sums arrive: all hosts would go to whoever was free then.
        const bool isLasting = service != nullptr && service->engine.has_value();
        if (isLasting || node_.chooser.own(id).running > 0) {
            const auto load = others->find(id);
            node_.chooser.setOthers(id, load == others->end() ? Occupancy() : load->second, now);
        }
    }
}

} // namespace baobabstall::serving
