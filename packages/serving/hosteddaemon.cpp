#include <serving/hosteddaemon.h>

#include <algorithm>
#include <array>
#include <charconv>

#include <boost/asio/co_spawn.hpp>
#include <nlohmann/json.hpp>

#include <core/hash.h>
#include <serving/residencycalls.h>
#include <serving/upstreamcopy.h>
#include <settings/json.h>

namespace baobabstall::serving {

namespace asio = boost::asio;
using core::Error;
using core::Offset;
using core::Step;

namespace {

constexpr Milliseconds tickInterval{100};         // of membership, ownership and load reports: a fifth of a typical stream's duration
constexpr Milliseconds housekeepingInterval{500}; // expires idle connections, leases and lapsed records
constexpr int percent = 100;
constexpr Milliseconds controlWait{450};
constexpr Milliseconds streamMargin{5'000};        // of Node::longestStream beyond the longest route's time limit: callers' clocks and records that come late
constexpr Milliseconds startGather{1'000};         // FollowOptions::gather of the control topic while all hosts write their addresses and none has links yet
constexpr int upstreamsPausePercent = 40;          // of hosting.drain: leaves time for the longest failover delay, a read and queueing
constexpr Milliseconds controlPause{1'000};        // two reads, and the time for a page to reach the hosts that share it
constexpr std::int64_t firstReadsShare = 3;        // of hosting.configApply: the first reads of hosts that start together are spread over a third of it
constexpr std::size_t loadsPerTick = 150;          // upstreams in one message of 3 kB; with more upstreams, loads are exchanged less often
constexpr std::string_view loadsPurpose = "loads"; // purpose for electing a group's leader
constexpr Milliseconds announceRetryInterval{300}; // between attempts to append the links' key or this host's address
constexpr Milliseconds peerReplyMargin{50};        // for an owner's reply to arrive
constexpr Milliseconds firstReplyTimeout{200};     // for an owner to reply that the weights are held or awaited: some round trips and a busy host
constexpr Milliseconds ownerBackoff{800};          // after an owner did not reply or could not issue orders
constexpr Milliseconds unlinkedOwnerBackoff{150};  // the same when no link could be opened: all hosts of a deployment start within 0.3 s
constexpr Milliseconds claimRetryDelay{25};        // a read of the store (4 ms to respond) and the network delay
constexpr Milliseconds claimStagger{8};            // per host: an append, and the read that other hosts need before their next append
constexpr Milliseconds firstClaimStagger{30};      // the same when nothing is claimed yet: the whole system starts, seconds before callers connect
constexpr Milliseconds silentOwnerTime{1'000};     // in which an owner that did not answer is not asked whether an upstream is brittle
constexpr Milliseconds brittleTellInterval{1'000}; // an owner tells all hosts again that an upstream is brittle: some have just started
constexpr std::int64_t longestNoticeAgeMs = 3'600'000;
constexpr Milliseconds unownedSendWait{300};     // before the owner of a limited upstream is looked for again
constexpr Milliseconds unownedRetryAfter{1'500}; // Retry-After while an upstream has no owner: a claim and most of a lease
constexpr Milliseconds probeSettleTime{50};      // a connection that a middlebox opens and resets at once leads nowhere
constexpr Milliseconds maxClockLag{86'400'000};  // of this host's clock behind an upstream's

constexpr double minLinkMbps = 0.01; // of another host's word on its link; a slower one counts as not known
constexpr double maxLinkMbps = 1e7;
constexpr std::string_view linkKeyRecord = "key";
constexpr std::string_view hostPrefix = "host/";
constexpr std::string_view settledEraKey = "settled_era";

/// An exception that ends the coroutine is logged. What runs for the whole time catches its own exceptions and goes on.
template<typename Run>
void spawn(Node &node, std::string_view what, Run run)
{
    asio::co_spawn(node.io, std::move(run), [&node, what](const std::exception_ptr &exception) {
        try {
            if (exception) {
                std::rethrow_exception(exception);
            }
        } catch (const std::exception &thrown) {
            node.log.error("task_ended", {{"task", what}, {"why", thrown.what()}});
        }
    });
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
                           AbstractStore &store,
                           core::Incarnation incarnation,
                           logging::Log log)
    : node_(io, settings, codec, std::move(log))
    , store_(store)
    , orderClient_(io)
    , membership_({settings.host, settings.zone, incarnation}, settings.membership, core::hashText(settings.host.value(), 0))
    , planner_({settings.host, settings.zone, incarnation}, settings.ownership, settings.platform.retention)
    , forwarder_(node_)
    , relayExchange_(node_,
                     forwarder_,
                     {.isCutOff = [this] { return node_.reachability.isCutOff(); },
                      .reaches = [this](const HostId &host) { return node_.reachability.reaches(host, node_.now()); }})
    , prefillGate_(node_)
    , sendGate_(node_, [this](const UpstreamId &id) { return reportedLoad(id); })
    , quotaExchange_(node_, incarnation, quotaOwnership())
    , callerServer_(io,
                    {.limits = [this] { return node_.routes ? node_.routes->limits() : CallerLimits(); },
                     .onInvalidRequest =
                         [this](int status, std::string_view reason) {
                             node_.metrics.unreadableRequests.add({std::to_string(status)});
                             node_.log.info("request_unreadable", {{"status", status}, {"why", reason}});
                         },
                     .onClosed = [this](const ConnectionEnd &end) { logClosedConnection(end); },
                     .onCallerLimit = [this](net::CallerPart part, int status) { node_.noteCallerLimit(part, status); },
                     .budget = callerBudgetOf(settings.hosting)},
                    [this](CallerConnection &caller, CallerRequest &request) { return forwarder_.handle(caller, request); })
    , operatorServer_(io, {}, [this](net::Exchange &exchange) { return handleOperatorRequest(exchange); })
    , metricsServer_(io, {}, [this](net::Exchange &exchange) { return handleMetricsRequest(exchange); })
    , operatorsTopic_(node_,
                      store,
                      Topic::Operators,
                      {.standbyRetry = settings.hosting.configApply, .retryBound = settings.hosting.configApply, .bound = settings.hosting.configApply},
                      {.onListing = [this](const StoreListing &listing) { applyOperatorRecords(listing.records); },
                       .onPage = [this](const StorePage &page) { applyOperatorRecords(page.records); },
                       .onReached = [](bool) {},
                       .onRead = [this](const SharedPage &shared) { storePages_.share(Topic::Operators, shared); },
                       .onCaughtUp = [this](Instant askedAt) { node_.configurationProof.onCaughtUp(askedAt, operatorsTopic_.era()); }})
    , upstreamsTopic_(
          node_,
          store,
          Topic::Upstreams,
          {.pause = settings.hosting.drain * upstreamsPausePercent / percent, .standbyRetry = settings.hosting.drain, .retryBound = settings.hosting.drain},
          {.onNewEra = [this](core::StoreEra) { node_.replicas.beginEra(node_.now()); },
           .onListing = [this](const StoreListing &listing) { applyUpstreamListing(listing); },
           .onPage =
               [this](const StorePage &page) {
                   if (node_.now() - upstreamsTopic_.readAt() < ReplicaBook::lapseAfter) { // an old page says nothing about the store
                       node_.replicas.noteStore(true, node_.now());                        // also when another host read the page
                   }
                   for (const auto &record : page.records) {
                       applyUpstreamRecord(record);
                   }
               },
           .onReached =
               [this](bool isReached) {
                   node_.replicas.noteStore(isReached, node_.now(), upstreamsTopic_.readAt());
                   loadUpstreamCopy();
               },
           .onRead = [this](const SharedPage &shared) { storePages_.share(Topic::Upstreams, shared); }})
    , controlTopic_(node_,
                    store,
                    Topic::Control,
                    {.wait = controlWait, .pause = controlPause, .standbyRetry = settings.hosting.configApply, .retryBound = settings.hosting.configApply},
                    {.onNewEra = [this](core::StoreEra) { beginControlEra(); },
                     .onListing = [this](const StoreListing &listing) { applyControlListing(listing); },
                     .onPage = [this](const StorePage &page) { applyControlRecords(page.records, page.endOffset); },
                     .onReached =
                         [this](bool isReached) {
                             if (!isReached) {
                                 planner_.onLogDown();
                             }
                         },
                     .onRead = [this](const SharedPage &shared) { storePages_.share(Topic::Control, shared); },
                     .onCaughtUp = [this](Instant askedAt) { streamExchange_.onVersionsRead(askedAt); }})
    , incarnation_(incarnation)
    , versionWriter_(node_, store, groups_)
    , versionProof_(node_, store, controlTopic_)
    , storePages_(node_, groups_, {&operatorsTopic_, &upstreamsTopic_, &controlTopic_})
    , crashExchange_(node_, groups_)
    , streamExchange_(node_, store, groups_)
    , loadExchange_(settings.host)
    , paceExchange_(node_)
{
    node_.residency = this;
    node_.streams = &streamExchange_;
    node_.relays = &relayExchange_;
    node_.quotas = &quotaExchange_;
    node_.seekVersions = [this](Instant askedAt) { versionProof_.seek(askedAt); };
    node_.onNoContact = [this](const UpstreamId &id) {
        if (const auto owned = ownedReplicas_.find(id); owned != ownedReplicas_.end()) {
            owned->second->onNoContact();
        }
    };
    node_.onRefused = [this](const UpstreamId &id) { tellRefused(id); };
    node_.onLimitEnded = [this](const UpstreamId &id) { tellLimitEnded(id); };
}

HostedDaemon::~HostedDaemon() = default;

bool HostedDaemon::start(Error &why)
{
    const auto &listen = node_.settings.listen;
    const auto &metrics = node_.settings.hosting.metrics;
    const bool isListening = callerServer_.listen(*net::Address::parse(listen.callers), why)
        && operatorServer_.listen(*net::Address::parse(listen.operators), why)
        && (metrics.empty() || metricsServer_.listen(*net::Address::parse(metrics), why));
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
    spreadFirstReads();
    spawn(node_, "operators", [this] { return operatorsTopic_.run(); });
    spawn(node_, "upstreams", [this] { return upstreamsTopic_.run(); });
    spawn(node_, "control", [this] { return controlTopic_.run(); });
    startAnnouncing();
    spawn(node_, "tick", [this] { return tickLoop(); });
    return true;
}

/// Until the links tell which host reads for all, every host reads by itself. Hosts of a deployment start together, so their first reads are
/// spread; by then most have links.
void HostedDaemon::spreadFirstReads()
{
    startedAt_ = node_.now();
    const auto spread = node_.settings.hosting.configApply / firstReadsShare;
    for (auto *follower : {&operatorsTopic_, &upstreamsTopic_}) {
        const auto delay = staggerDelay(1, spread, node_.settings.host.value() + std::string(follower->name()));
        follower->setFirstTurn(delay, spread, node_.settings.hosting.linkMbps);
    }
    controlTopic_.setGather(startGather);
}

bool HostedDaemon::isReady() const
{
    return isRunning_ && !node_.stop.hasBegun() && node_.routes && (upstreamsTopic_.isKnown() || node_.replicas.size() > 0);
}

void HostedDaemon::reload(const settings::Settings &settings)
{
    const auto &now = node_.settings;
    const bool needsRestart = settings.listen.callers != now.listen.callers || settings.listen.operators != now.listen.operators
        || settings.listen.peers != now.listen.peers || settings.host != now.host || settings.platform.address != now.platform.address;
    node_.settings.hosting = settings.hosting;
    node_.log.info("reloaded", {{"needs_restart", needsRestart}});
}

// ---- Operator endpoints and metrics ----

net::Task<void> HostedDaemon::handleOperatorRequest(net::Exchange &exchange)
{
    const auto path = exchange.request().path();
    if (path.ends_with("/readyz")) { // load balancers prepend a path prefix
        const bool ready = isReady();
        co_await exchange.respond(net::HttpResponse::json(ready ? 200 : 503, ready ? R"({"ready":true})" : R"({"ready":false})"));
    } else if (path == "/healthz") {
        co_await exchange.respond(net::HttpResponse::json(200, "{}"));
    } else if (path == "/metrics") {
        co_await handleMetricsRequest(exchange);
    } else {
        co_await exchange.respond(net::HttpResponse::json(404, R"({"error":"not found; available: /readyz, /healthz and /metrics"})"));
    }
}

net::Task<void> HostedDaemon::handleMetricsRequest(net::Exchange &exchange)
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
    metrics.configAge.set(static_cast<double>((now - node_.routesActiveSince).count()) / msPerSecond);
    metrics.operatorsAge.set(static_cast<double>((now - node_.operatorsReadAt).count()) / msPerSecond);
    metrics.configProofAge.set(static_cast<double>(node_.configurationProof.age(now).value_or(Milliseconds(-msPerSecond)).count()) / msPerSecond);
    metrics.upstreamsAge.set(static_cast<double>((now - node_.replicasReadAt).count()) / msPerSecond);
    metrics.knownUpstreams.set(static_cast<double>(node_.replicas.size()));
    metrics.ownedUpstreams.set(static_cast<double>(ownedReplicas_.size()));
    metrics.upstreamConnections.set({"idle"}, static_cast<double>(node_.pool.idle()));
    metrics.upstreamConnections.set({"opened"}, static_cast<double>(node_.pool.opened()));
    metrics.callerConnections.set({"open"}, static_cast<double>(callerServer_.connections()));
    metrics.callerConnections.set({"busy"}, static_cast<double>(callerServer_.busyConnections()));
    metrics.limitedUpstreams.set(static_cast<double>(node_.limits.size()));
    metrics.brittleUpstreams.set(static_cast<double>(node_.limits.brittleCount()));
    metrics.blamedParts.set(static_cast<double>(node_.crashes.blamed(CrashCause::Kind::Part)));
    metrics.blamedRequests.set(static_cast<double>(node_.crashes.blamed(CrashCause::Kind::Request)));
    metrics.cutOff.set(node_.reachability.isCutOff() ? 1 : 0);
    metrics.cutOffPeers.set(static_cast<double>(node_.reachability.cutOffPeers(now).size()));
    paceExchange_.updateGauge();
    metrics.residencyLeases.set(static_cast<double>(node_.leases.size()));
    metrics.logLinesDropped.set(static_cast<double>(logging::Log::droppedLines()));
    if (node_.routes) {
        for (const auto &service : node_.routes->services()) {
            metrics.retryBudget.set({service.name.value()}, node_.retryBudgetFor(service.name).available(now));
        }
    }
}

// ---- Operators topic ----

void HostedDaemon::applyOperatorRecords(std::span<const StoreRecord> records)
{
    const auto begin = node_.now();
    const auto onUnreadable = [this](const StoreRecord &record, const Error &why) {
        if (unreadable_.isNew(topicText(Topic::Operators), record.key, record.value, node_.now())) {
            node_.log.warn("configuration_unreadable", why, {{"offset", record.offset}, {"left_out", unreadable_.takeLeftOut()}});
        }
    };
    if (auto newest = newestConfiguration(records, node_.codec, onUnreadable)) {
        applyConfiguration(std::move(*newest), begin);
    }
    for (const auto &record : records) {
        applyRevision(record);
    }
}

void HostedDaemon::applyRevision(const StoreRecord &record)
{
    if (record.key.empty() || record.value.empty() || node_.codec.isConfigurationKey(record.key)) {
        return;
    }
    Error why;
    const auto update = node_.codec.readRevision(record.key, record.value, why);
    if (!update) {
        logUnreadableRecord(Topic::Operators, record, why);
        return;
    }
    auto &known = node_.activeRevisions[update->weights];
    if (update->revision <= known.revision) {
        return;
    }
    known = {update->revision, node_.now()};
    node_.metrics.beliefChanges.add({"revision"});
    node_.log.info("revision_in_force", {{"weights", update->weights.text()}, {"revision", update->revision}, {"offset", record.offset}});
    for (const auto &[id, owned] : ownedReplicas_) {
        owned->onRevision(update->weights, update->revision);
    }
}

void HostedDaemon::applyConfiguration(PlacedConfiguration newest, Instant begin)
{
    const auto before = node_.routes ? node_.routes->version() : ConfigVersion();
    node_.configurationProof.onRead(newest.configuration.version, operatorsTopic_.era());
    if (node_.routes && newest.configuration.version <= before) {
        return;
    }
    node_.routes = std::make_shared<const RouteTable>(std::move(newest.configuration));
    node_.routesActiveSince = node_.now();
    node_.metrics.beliefChanges.add({"configuration"});
    node_.log.info("configuration_in_force",
                   {{"version", node_.routes->version()},
                    {"before", before},
                    {"offset", newest.offset},
                    {"source", operatorsTopic_.source()},
                    {"own_read_ms_ago", node_.now() - operatorsTopic_.ownReadAt()},
                    {"own_read_took_ms", operatorsTopic_.readTime()},
                    {"records_left", operatorsTopic_.recordsLeft()},
                    {"routes", node_.routes->size()},
                    {"workspaces", node_.routes->workspaces().size()},
                    {"took_ms", node_.now() - begin}});
    quotaExchange_.setWorkspaces(node_.routes->quotas());
    for (const auto &part : node_.routes->refusedParts()) {
        node_.log.warn("configuration_part_refused", {.step = Step::Lists, .reason = part}, {{"version", node_.routes->version()}});
    }
    node_.longestStream = node_.routes->longestStream() + streamMargin;
    resourcesVersion_ = ~std::uint64_t(0);
    updateResources();
}

// ---- Upstreams topic ----

void HostedDaemon::applyUpstreamListing(const StoreListing &listing)
{
    std::vector<ReplicaRecord> records;
    std::set<UpstreamId> unreadable;
    for (const auto &each : listing.records) {
        if (auto record = parseUpstreamRecord(each)) {
            records.push_back(std::move(*record));
        } else if (!each.value.empty()) {
            unreadable.insert(UpstreamId(each.key));
        }
    }
    for (const auto &[id, change] : node_.replicas.assign(records, node_.now())) {
        onUpstreamChange(id, change, !unreadable.contains(id));
    }
    updateResources();
}

void HostedDaemon::applyUpstreamRecord(const StoreRecord &each)
{
    if (each.key.empty()) {
        return;
    }
    const UpstreamId id(each.key);
    const auto record = parseUpstreamRecord(each);
    onUpstreamChange(id, record ? node_.replicas.apply(*record) : node_.replicas.remove(id, node_.now()), record || each.value.empty());
    updateResources();
}

/// Returns nullopt for a record without a value, which means that the upstream is gone, and for an unreadable record, which names no upstream
/// to use until the upstream has written the next one.
std::optional<ReplicaRecord> HostedDaemon::parseUpstreamRecord(const StoreRecord &each)
{
    if (each.value.empty()) {
        return std::nullopt;
    }
    Error why;
    std::optional<ReplicaRecord> record;
    try {
        record = node_.codec.readReplica(each.key, each.value, why);
    } catch (const std::exception &thrown) { // one entry must not keep the others from being read
        why = {.step = Step::Hosts, .reason = thrown.what()};
    }
    const auto latestStart = core::civilMilliseconds() + maxClockLag.count();
    if (record && record->startTime.value() > static_cast<std::uint64_t>(latestStart)) { // no later run could replace it
        why = {.step = Step::Hosts,
               .reason = "upstream " + settings::printableText(each.key) + " started at a time to come: " + std::to_string(record->startTime.value())};
        record.reset();
    }
    if (!record) {
        logUnreadableRecord(Topic::Upstreams, each, why);
    }
    return record;
}

void HostedDaemon::logUnreadableRecord(Topic topic, const StoreRecord &record, const Error &why)
{
    if (unreadable_.isNew(topicText(topic), record.key, record.value, node_.now())) {
        node_.log.warn("record_unreadable",
                       why,
                       {{"topic", topicText(topic)},
                        {"record", settings::printableText(record.key)},
                        {"offset", record.offset},
                        {"bytes", record.bytes()},
                        {"left_out", unreadable_.takeLeftOut()}});
    }
}

void HostedDaemon::onUpstreamChange(const UpstreamId &id, BookChange change, bool isEnded)
{
    if (change == BookChange::None) {
        return;
    }
    node_.metrics.beliefChanges.add({changeText(change)});
    node_.log.info("upstream_changed", {{"upstream", id}, {"change", changeText(change)}, {"upstreams", node_.replicas.size()}});
    if (change == BookChange::Restarted) {
        node_.backoffs.end(id);
    }
    if (change == BookChange::Restarted || change == BookChange::Gone) {
        change == BookChange::Restarted ? node_.limits.restart(id) : node_.limits.remove(id);
        sendGate_.onRestarted(id);
        const auto *next = change == BookChange::Restarted ? node_.replicas.find(id) : nullptr;
        const auto age = Milliseconds(next == nullptr ? 0 : core::civilMilliseconds() - static_cast<std::int64_t>(next->startTime.value()));
        if (isEnded) {
            node_.crashes.onLost(id, next == nullptr ? std::nullopt : std::optional(node_.now() - age), node_.now());
        }
    }
    if (change == BookChange::Restarted || change == BookChange::Gone) {
        node_.outdatedRecords.erase(id);
        node_.leases.drop(id);
        node_.pool.forget(id);
        node_.chooser.remove(id);
        node_.paces.forget(id);
    }
    const auto owned = ownedReplicas_.find(id);
    const auto *record = node_.replicas.find(id);
    if (change == BookChange::Leaving && record != nullptr) {
        node_.versions.onLeaving(record->service, record->version, node_.now());
    }
    if (owned != ownedReplicas_.end() && record != nullptr) {
        owned->second->onRecord(*record);
    }
}

void HostedDaemon::updateResources()
{
    if (resourcesVersion_ == node_.replicas.version() || !node_.routes) { // an owned replica needs its service's configuration
        return;
    }
    resourcesVersion_ = node_.replicas.version();
    node_.versions.update(node_.replicas, node_.now());
    versionWriter_.onUpstreamsChanged();
    std::vector<ownership::PlacedResource> resources;
    std::vector<Reachability::Upstream> upstreams;
    for (const auto &id : node_.replicas.all()) {
        if (node_.replicas.isUsable(id)) {
            const auto &record = *node_.replicas.find(id);
            resources.push_back({ownership::engineResource(id), record.zone, ScarceGate::needsStrongOwner(node_, record)});
            upstreams.push_back({id, record.service});
        }
    }
    for (auto &resource : quotaExchange_.resources()) {
        resources.push_back({std::move(resource), ZoneId()});
    }
    planner_.setResources(std::move(resources));
    node_.reachability.setUpstreams(upstreams, node_.now());
    updateOwnedReplicas();
}

// ---- Control topic ----

void HostedDaemon::applyControlListing(const StoreListing &listing)
{
    const bool isFirstListing = !std::exchange(hasControlListing_, true);
    auto records = listing.records;
    std::sort(records.begin(), records.end(), [](const auto &a, const auto &b) { return a.offset < b.offset; });
    versionWriter_.beginListing();
    applyControlRecords(records, listing.nextOffset);
    versionWriter_.endListing(core::eraOf(listing.nextOffset));
    const bool isFirst = planner_.table().ownedResources().empty();
    claimsStartAt_ = isFirst ? node_.now() + node_.settings.ownership.claimDelay : node_.now();
    claimStagger_ = isFirst ? firstClaimStagger : claimStagger;
    const auto era = core::eraOf(listing.nextOffset);
    if (isFirstListing && !records.empty() && settledEra_ < era) { // other hosts may not have seen this era yet and act on claims that are lost
        planner_.delayActions(node_.now() + node_.settings.ownership.leaseWait);
        settleEraAt_ = node_.now() + node_.settings.ownership.leaseWait;
        node_.log.info("store_era_unsettled", {{"era", era}, {"settled", settledEra_}, {"orders_wait_ms", node_.settings.ownership.leaseWait}});
    }
    if (!isFirstListing) {
        startAnnouncing();
    }
}

/// The log came back as an earlier copy. What it lost of this host's records is written again once the copy has been listed.
void HostedDaemon::beginControlEra()
{
    const auto now = node_.now();
    planner_.beginEra(now);
    isKeyStored_ = false;
    isAnnounced_ = false;
    copiedContent_.clear();
    settleEraAt_ = now + node_.settings.ownership.leaseWait;
}

/// After a lease has passed in a new era, every host that reaches the store acts by the claims of this era. One host then records the era as
/// settled, so that a host that starts later may act on its claims at once.
net::Task<void> HostedDaemon::settleEra()
{
    const auto era = controlTopic_.era();
    const bool isFirst = groups_.isOverallLeader(settledEraKey);
    const bool isDue = settledEra_ < era && node_.now() >= settleEraAt_;
    if (isSettlingEra_ || !isDue || !isFirst || node_.stop.hasBegun() || !controlTopic_.isKnown() || !controlTopic_.isReached()) {
        co_return;
    }
    isSettlingEra_ = true;
    Error why;
    Offset offset;
    const auto outcome
        = co_await store_.append(Topic::Control, {{std::string(settledEraKey), std::to_string(era.value())}}, planner_.lastReadOffset().next(), offset, why);
    isSettlingEra_ = false;
    node_.metrics.storeCalls.add({"append", outcome == AppendOutcome::Done ? "good" : "failed"});
    if (outcome == AppendOutcome::Done) {
        node_.log.info("store_era_settled", {{"era", era}});
    }
    controlTopic_.hurry();
}

void HostedDaemon::applyControlRecords(const std::vector<StoreRecord> &records, Offset next)
{
    std::vector<ownership::StreamRecord> claims;
    for (const auto &record : records) {
        if (record.key == linkKeyRecord && !record.value.empty()) {
            openLinks(record.value);
        } else if (record.key.starts_with(hostPrefix)) {
            applyHostAnnouncement(record);
        } else if (record.key == settledEraKey) {
            std::uint64_t era = 0;
            std::from_chars(record.value.data(), record.value.data() + record.value.size(), era); // text that is no number names era 0: not settled
            settledEra_ = core::StoreEra(era);
        } else if (record.key == upstreamCopyKey) {
            applyUpstreamCopy(record.value);
        } else if (Error why; !versionWriter_.apply(record, why) && !why.reason.empty()) {
            logUnreadableRecord(Topic::Control, record, why);
        }
        ownership::StreamRecord claim{record.offset, core::civilMilliseconds(), std::nullopt};
        if (const ownership::Resource resource(record.key); ownership::engineOf(resource) || ownership::quotaPartitionOf(resource)) {
            Error why;
            claim.claim = ownership::claimFromJson(record.value, why);
            if (!claim.claim) {
                logUnreadableRecord(Topic::Control, record, why);
            }
        }
        if (record.offset > planner_.lastReadOffset()) {
            claims.push_back(std::move(claim));
        }
    }
    planner_.onRecords(Offset(1), next, claims);
    controlTopic_.setUrgent(!planner_.isCaughtUp());
    if (!claims.empty() && isRunning_) { // apply ownership changes immediately
        applyOwnershipActions(planner_.tick(node_.now()));
    }
}

void HostedDaemon::applyHostAnnouncement(const StoreRecord &record)
{
    const HostId host(record.key.substr(hostPrefix.size()));
    Error why;
    const auto value = settings::parseJson(record.value, record.key, {.comments = false}, why);
    std::optional<net::Address> address;
    std::string zone;
    double linkMbps = 0;
    std::uint64_t incarnation = 0;
    try {
        if (value && value->is_object()) {
            address = net::Address::parse(value->value("peers", std::string()));
            zone = value->value("zone", std::string());
            linkMbps = std::clamp(value->value("link_mbps", 0.0), 0.0, maxLinkMbps);
            linkMbps = linkMbps < minLinkMbps ? 0 : linkMbps; // not known
            incarnation = value->value("incarnation", std::uint64_t(0));
        }
    } catch (const nlohmann::json::exception &exception) { // a field has the wrong type
        address.reset();
        why.reason = exception.what();
    }
    if (host == node_.settings.host && address && !isAnnounced_ && address->text() != node_.settings.listen.peers) {
        planner_.disownEarlierClaims(); // the host name belonged to another machine
        node_.log.info("earlier_claims_disowned", {{"earlier_address", address->text()}});
    }
    if (host == node_.settings.host && incarnation == incarnation_.value()) {
        isAnnounced_ = true; // in a new era: the copy of the log has kept it
    }
    if (record.value.empty()) {
        announcedHosts_.erase(host);
        quotaExchange_.noteHost(host, false);
    } else if (!address) {
        logUnreadableRecord(Topic::Control, record, why);
        return;
    } else {
        announcedHosts_[host] = {*address, ZoneId(zone), linkMbps};
        quotaExchange_.noteHost(host, value->contains("quotas"));
    }
    std::vector<peers::HostEntry> hosts;
    std::map<HostId, double> strengths; // the widest links stand for the strongest hosts, as in HostGroups
    for (const auto &[each, announced] : announcedHosts_) {
        hosts.push_back({each, announced.zone, false});
        strengths[each] = announced.linkMbps;
        if (links_ && each != node_.settings.host) {
            links_->setAddress(each, announced.peerAddress);
        }
    }
    membership_.setHostList(hosts, node_.now());
    planner_.setStrengths(std::move(strengths));
    planner_.setMembers(membership_.members());
}

void HostedDaemon::openLinks(const std::string &key)
{
    isKeyStored_ = true;
    const bool isReplaced = links_ && key != linkKey_; // the log lost the key, and a host that had none wrote another first
    linkKey_ = key;
    if (isReplaced) {
        node_.log.warn("links_key_replaced", {{"next", "links are opened again with the stored key"}});
        links_->setKey(key);
    }
    if (links_) {
        return;
    }
    Error why;
    links_ = std::make_unique<peers::Links>(node_.io, peers::Links::Self{node_.settings.host, incarnation_, node_.settings.region}, key, linkHandlers());
    if (!links_->listen(*net::Address::parse(node_.settings.listen.peers), why)) {
        node_.log.error("peers_not_listening", why);
    }
    storePages_.setLinks(*links_);
    crashExchange_.setLinks(*links_);
    streamExchange_.setLinks(*links_);
    relayExchange_.setLinks(*links_);
    quotaExchange_.setLinks(*links_);
    for (const auto &[host, announced] : announcedHosts_) {
        if (host != node_.settings.host) {
            links_->setAddress(host, announced.peerAddress);
        }
    }
}

void HostedDaemon::startAnnouncing()
{
    if (!isAnnouncing_ && !(isAnnounced_ && isKeyStored_)) {
        spawn(node_, "announce", [this] { return announceHost(); });
    }
}

/// Appends the links' key if there is none, then this host's address, unless the topic has them.
net::Task<void> HostedDaemon::announceHost()
{
    isAnnouncing_ = true;
    if (links_) { // in a new era all hosts may have records to write
        co_await net::sleep(node_.io, appendDelay(node_.settings.host.value()));
    }
    while (isRunning_ && !(isAnnounced_ && isKeyStored_)) {
        co_await net::sleep(node_.io, controlTopic_.isKnown() ? tickInterval : announceRetryInterval);
        if (!controlTopic_.isKnown()) {
            continue;
        }
        Error why;
        Offset offset;
        if (!isKeyStored_) {
            const auto key = linkKey_.empty() ? peers::makeNonce() : std::optional(linkKey_);
            if (!key) {
                node_.log.error("no_random_key");
                isAnnouncing_ = false;
                co_return;
            }
            const bool isEmptyTopic = core::positionOf(planner_.lastReadOffset()) == 0; // nobody holds anything, so its era needs no lease to settle
            std::vector<std::pair<std::string, std::string>> records = {{std::string(linkKeyRecord), *key}};
            if (const auto era = controlTopic_.era(); isEmptyTopic && linkKey_.empty() && era.value() > 0) {
                records.emplace_back(settledEraKey, std::to_string(era.value()));
            }
            const auto outcome = co_await store_.append(Topic::Control, std::move(records), planner_.lastReadOffset().next(), offset, why);
            node_.metrics.storeCalls.add({"append", outcome == AppendOutcome::Done ? "good" : "failed"});
            node_.log.info("links_key_offered", {{"taken", outcome == AppendOutcome::Done}});
            controlTopic_.hurry();
            continue;
        }
        const nlohmann::json value = {{"peers", node_.settings.listen.peers},
                                      {"zone", node_.settings.zone.value()},
                                      {"link_mbps", node_.settings.hosting.linkMbps},
                                      {"quotas", true},
                                      {"incarnation", incarnation_.value()}};
        const auto outcome
            = co_await store_.append(Topic::Control, {{std::string(hostPrefix) + node_.settings.host.value(), value.dump()}}, Offset(0), offset, why);
        node_.metrics.storeCalls.add({"append", outcome == AppendOutcome::Done ? "good" : "failed"});
        isAnnounced_ = outcome == AppendOutcome::Done;
        if (!isAnnounced_) {
            node_.log.warn("not_announced", why);
            co_await net::sleep(node_.io, announceRetryInterval);
        }
    }
    isAnnouncing_ = false;
}

Milliseconds HostedDaemon::appendDelay(const std::string &what) const
{
    return staggerDelay(announcedHosts_.size() + 1, claimStagger, what);
}

net::Task<void> HostedDaemon::appendClaims(std::vector<ownership::ClaimRecord> records)
{
    isAppendingClaims_ = true;
    std::vector<std::pair<std::string, std::string>> pairs;
    pairs.reserve(records.size());
    for (const auto &record : records) {
        pairs.emplace_back(record.resource.value(), ownership::toJson(record));
    }
    Error why;
    Offset offset;
    const auto outcome = co_await store_.append(Topic::Control, std::move(pairs), records.front().lastReadOffset.next(), offset, why);
    isAppendingClaims_ = false;
    node_.metrics.storeCalls.add({"append", outcome == AppendOutcome::Done ? "good" : "failed"});
    constexpr std::array<std::string_view, 4> texts = {"done", "conflict", "refused", "unknown"};
    node_.log.info("claims_written",
                   {{"records", records.size()},
                    {"outcome", texts.at(static_cast<std::size_t>(outcome))},
                    {"read_to", core::positionOf(records.front().lastReadOffset)},
                    {"offset", core::positionOf(offset)},
                    {"era", core::eraOf(records.front().lastReadOffset)}});
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
    if (outcome == AppendOutcome::Conflict) { // another host appended first: read its records, then claim the rest without waiting for a tick
        co_await net::sleep(node_.io, claimRetryDelay + appendDelay(records.front().id));
        applyOwnershipActions(planner_.tick(node_.now()));
    }
}

// ---- Membership and ownership ----

net::Task<void> HostedDaemon::tickLoop()
{
    while (isRunning_) {
        try {
            tickOnce();
        } catch (const std::exception &thrown) { // what it left undone is due at the next tick
            if (std::exchange(lastTickException_, thrown.what()) != thrown.what()) {
                node_.log.error("tick_failed", {{"why", thrown.what()}});
            }
        }
        co_await net::sleep(node_.io, tickInterval);
    }
}

void HostedDaemon::tickOnce()
{
    const auto now = node_.now();
    if (now - lastTick_ > Node::maxTickGap) {
        node_.log.warn("host_stood_still", {{"for_ms", now - lastTick_}});
        node_.metrics.beliefChanges.add({"stood_still"});
        upstreamsTopic_.hurry();
    }
    lastTick_ = now;
    checkReachability();
    tick();
    sendAdapterUses();
    exchangeLoads();
    paceExchange_.tick();
    sendGate_.tick();
    tellBrittle();
    crashExchange_.tick();
    streamExchange_.tick();
    relayExchange_.tick(tickInterval);
    quotaExchange_.setHosts(static_cast<int>(announcedHosts_.size()));
    quotaExchange_.tick();
    if (versionWriter_.isDue(upstreamsTopic_.isKnown() && upstreamsTopic_.isReached())) {
        spawn(node_, "versions", [this] { return versionWriter_.write(); });
    }
    if (now >= nextHousekeeping_) {
        nextHousekeeping_ = now + housekeepingInterval;
        node_.pool.expire(now);
        if (!upstreamsTopic_.isReached()) { // reads that fail are far apart
            node_.replicas.noteStore(false, now, upstreamsTopic_.readAt());
        }
        node_.leases.expire(now);
        for (const auto &id : node_.backoffs.takeEnded(now)) {
            node_.log.info("backoff_ended", {{"upstream", id}, {"next", "requests, orders and reports are sent again"}});
        }
        for (const auto &id : node_.replicas.expire(now)) {
            onUpstreamChange(id, BookChange::Gone);
        }
        updateResources();
        spawn(node_, "copy", [this] { return saveUpstreamCopy(); });
        spawn(node_, "settle", [this] { return settleEra(); });
    }
}

void HostedDaemon::tick()
{
    const auto now = node_.now();
    node_.operatorsReadAt = operatorsTopic_.readAt();
    node_.replicasReadAt = upstreamsTopic_.readAt();
    if (links_) {
        sendMessages(membership_.tick(now));
    }
    if (const auto changes = membership_.takeChanges(); !changes.empty()) {
        planner_.setMembers(membership_.members());
        node_.setHostCount(static_cast<int>(membership_.live().size()));
        updateGroups();
        crashExchange_.onMembersChanged();
        brittleToldAt_.clear(); // hosts that have just started know of none
        logMembers(changes);
    }
    applyOwnershipActions(planner_.tick(now));
    controlTopic_.setUrgent(!planner_.isCaughtUp());
}

/// One line for each member, or one for all when many changed at once.
void HostedDaemon::logMembers(const std::vector<peers::Member> &changes) const
{
    constexpr std::size_t maxLines = 4;
    if (changes.size() <= maxLines) {
        for (const auto &member : changes) {
            node_.log.info("member", {{"member", member.host}, {"state", static_cast<int>(member.state)}, {"incarnation", member.incarnation}});
        }
        return;
    }
    const auto count = [&changes](peers::MemberState state) {
        return std::count_if(changes.begin(), changes.end(), [state](const peers::Member &each) { return each.state == state; });
    };
    node_.log.info("members",
                   {{"changed", changes.size()},
                    {"alive", count(peers::MemberState::Alive)},
                    {"suspect", count(peers::MemberState::Suspect)},
                    {"dead", count(peers::MemberState::Dead)},
                    {"leaving", count(peers::MemberState::Leaving)},
                    {"live_hosts", membership_.live().size()}});
}

void HostedDaemon::sendMessages(std::vector<peers::OutgoingMessage> messages)
{
    for (auto &out : messages) {
        links_->sendGossip(out.to, std::move(out.message));
    }
}

void HostedDaemon::applyOwnershipActions(const ownership::OwnershipActions &actions)
{
    for (const auto &holding : actions.lost) {
        onOwnershipLost(holding, "superseded");
    }
    for (const auto &holding : actions.gained) {
        onOwnershipGained(holding);
    }
    for (const auto &holding : actions.handovers) {
        onOwnershipLost(holding, "handed_over");
    }
    if (actions.appends.empty()) {
        return;
    }
    const auto claimAt = claimsStartAt_ + staggerDelay(announcedHosts_.size() + 1, claimStagger_, node_.settings.host.value());
    if (isAppendingClaims_ || node_.now() < claimAt) { // the conditional append of this or another host would fail
        for (const auto &record : actions.appends) {
            planner_.onAppendRefused(record.id);
        }
        return;
    }
    spawn(node_, "claims", [this, records = actions.appends] { return appendClaims(records); });
}

std::optional<EngineSpec> HostedDaemon::engineOf(const ReplicaRecord &record) const
{
    const auto *service = node_.routes ? node_.routes->service(record.service) : nullptr;
    return service == nullptr ? std::nullopt : service->engine;
}

void HostedDaemon::onOwnershipGained(const ownership::Holding &holding)
{
    const auto id = ownership::engineOf(holding.resource);
    if (!id || node_.replicas.find(*id) == nullptr) {
        return;
    }
    node_.log.info("ownership", {{"upstream", *id}, {"epoch", holding.epoch}, {"change", "claimed"}});
    node_.metrics.beliefChanges.add({"claimed"});
    sendGate_.onOwned(*id);
    updateOwnedReplica(holding);
}

void HostedDaemon::updateOwnedReplicas()
{
    for (const auto &holding : planner_.holdings()) {
        updateOwnedReplica(holding);
    }
}

/// What an owner knows of a replica follows its record and the configuration, whichever comes first.
void HostedDaemon::updateOwnedReplica(const ownership::Holding &holding)
{
    const auto id = ownership::engineOf(holding.resource);
    const auto *record = id ? node_.replicas.find(*id) : nullptr;
    if (record == nullptr) {
        return;
    }
    const auto engine = engineOf(*record);
    const auto found = ownedReplicas_.find(*id);
    if (found != ownedReplicas_.end() && found->second->epoch() == holding.epoch) {
        found->second->onRecord(*record);
        found->second->setEngine(engine);
        return;
    }
    if (found != ownedReplicas_.end()) {
        found->second->stop();
        ownedReplicas_.erase(found);
    }
    if (!engine) {
        return; // a plain service, or one that is not configured yet
    }
    const auto owned = std::make_shared<OwnedReplica>(node_, orderClient_, *record, ResidencyOptions(), holding.epoch, ownedReplicaCallbacks(holding));
    owned->setEngine(engine);
    ownedReplicas_[*id] = owned;
    for (const auto &[weights, revision] : node_.activeRevisions) {
        owned->onRevision(weights, revision.revision);
    }
    owned->start();
}

OwnedReplicaCallbacks HostedDaemon::ownedReplicaCallbacks(const ownership::Holding &holding)
{
    OwnedReplicaCallbacks callbacks;
    callbacks.mayAct = [this, holding] { return planner_.mayAct(holding.resource, holding.epoch, node_.now()); };
    callbacks.acquireLoadPermit = [this](const ServiceName &service) -> std::optional<std::uint64_t> {
        const int owners = std::max<int>(node_.hostCount, static_cast<int>(announcedHosts_.size()));
        const auto permit = modelLoadBudget(service).tryAcquire(owners, node_.now());
        return permit ? std::optional(permit->value()) : std::nullopt;
    };
    callbacks.onRestart = [this, thing = holding.resource] { planner_.renewEpoch(thing); };
    callbacks.releaseLoadPermit = [this](const ServiceName &service, std::uint64_t permit) { modelLoadBudget(service).release(engines::PermitId(permit)); };
    return callbacks;
}

/// Follows the rate that the configuration names for the service.
engines::FallbackBudget &HostedDaemon::modelLoadBudget(const ServiceName &service)
{
    constexpr double minPerSecond = 0.01;
    const auto *spec = node_.routes ? node_.routes->service(service) : nullptr;
    settings::Loads loads;
    loads.perSecond = std::max(minPerSecond, spec != nullptr && spec->engine ? spec->engine->modelLoadsPerSecond : 0.0);
    auto [budget, isNew] = modelLoadBudgets_.try_emplace(service, loads, node_.now());
    budget->second.setRate(loads.perSecond);
    return budget->second;
}

void HostedDaemon::onOwnershipLost(const ownership::Holding &holding, std::string_view change)
{
    const auto id = ownership::engineOf(holding.resource);
    if (id) {
        sendGate_.remove(*id);
        node_.log.info("ownership", {{"upstream", *id}, {"epoch", holding.epoch}, {"change", change}});
        node_.metrics.beliefChanges.add({change});
        const auto owned = ownedReplicas_.find(*id);
        if (owned != ownedReplicas_.end() && owned->second->epoch() == holding.epoch) {
            owned->second->stop();
            ownedReplicas_.erase(owned);
            prefillGate_.remove(*id);
        }
    }
    planner_.onDrained(holding);
}

std::optional<HostId> HostedDaemon::ownerOf(const UpstreamId &replica) const
{
    const auto owner = planner_.ownerOf(ownership::engineResource(replica));
    if (!owner) {
        return std::nullopt;
    }
    const bool isOwn = owner->host == node_.settings.host && owner->incarnation == incarnation_;
    return isOwn || planner_.isUsable(*owner) ? std::optional(owner->host) : std::nullopt;
}

// ---- Weights ----

bool HostedDaemon::canOrder(const UpstreamId &replica) const
{
    const auto owner = ownerOf(replica);
    if (!owner) {
        return false;
    }
    const auto now = node_.now();
    const auto unresponsive = unresponsiveUntil_.find(*owner);
    const auto backoff = orderBackoffUntil_.find(replica);
    return (unresponsive == unresponsiveUntil_.end() || now >= unresponsive->second) && (backoff == orderBackoffUntil_.end() || now >= backoff->second);
}

net::Task<std::optional<ResidencyGrant>> HostedDaemon::ensure(ResidencyRequest request, Error &why)
{
    const auto &replica = request.replica;
    const auto owner = ownerOf(replica);
    const auto begin = node_.now();
    const auto named = planner_.ownerOf(ownership::engineResource(replica));
    const bool mayReturn = named && membership_.stateOf(named->host) != peers::MemberState::Dead;
    why = Error{.step = Step::Peer, .peer = mayReturn ? named->host.value() : std::string(), .reason = "no reachable host owns the upstream"};
    if (owner && links_ && canOrder(replica)) {
        const auto grant = *owner == node_.settings.host ? co_await ensureLocally(
                               request, [](Milliseconds) {}, why)
                                                         : co_await ensureAtOwner(*owner, request, why);
        if (grant || why.step == Step::Load) {
            co_return grant;
        }
        const auto now = node_.now();
        auto &backoffUntil = why.step == Step::Peer ? unresponsiveUntil_[*owner] : orderBackoffUntil_[replica];
        if (now >= backoffUntil) { // concurrent requests log the same error once
            node_.log.warn("owner_without_orders", why, {{"owner", *owner}, {"upstream", replica}});
        }
        backoffUntil = now + (why.step == Step::Peer && now - begin < firstReplyTimeout ? unlinkedOwnerBackoff : ownerBackoff); // without a link at once
    }
    const auto *record = node_.replicas.find(replica); // fall back to what the upstream last reported of itself
    const bool isHeld = record != nullptr && record->holds(request.weights);
    why.retryAfter = unownedRetryAfter;
    co_return isHeld ? std::optional(ResidencyGrant{request.minRevision, Instant()}) : std::nullopt;
}

/// Nullptr without an owner that answers: the prompt is then sent at once.
net::Task<PrefillTurn> HostedDaemon::takePrefillTurn(PrefillRequest request)
{
    const auto owner = ownerOf(request.replica);
    if (!owner) {
        co_return nullptr;
    }
    if (*owner == node_.settings.host) {
        co_return co_await prefillGate_.enter(request);
    }
    const auto backoff = turnBackoffUntil_.find(*owner);
    if (!links_ || (backoff != turnBackoffUntil_.end() && node_.now() < backoff->second)) {
        co_return nullptr;
    }
    auto turn = co_await prefillGate_.enterAtOwner(*links_, *owner, request);
    if (!turn) {
        turnBackoffUntil_[*owner] = node_.now() + ownerBackoff;
    }
    co_return turn;
}

bool HostedDaemon::mayGrantSends(const UpstreamId &id) const
{
    const auto resource = ownership::engineResource(id);
    const auto owner = planner_.ownerOf(resource);
    return owner && owner->host == node_.settings.host && planner_.mayAct(resource, owner->epoch, node_.now());
}

/// Without an owner that answers nothing is sent: what a host by itself takes for its share does not bound the sum.
QuotaExchange::Ownership HostedDaemon::quotaOwnership() const
{
    return {.ownerOf = [this](int partition) -> std::optional<ownership::Owner> {
        const auto owner = planner_.ownerOf(ownership::quotaResource(partition));
        const bool isOwn = owner && owner->host == node_.settings.host && owner->incarnation == incarnation_;
        return owner && (isOwn || planner_.isUsable(*owner)) ? owner : std::nullopt;
    }};
}

net::Task<SendPermit> HostedDaemon::takeSendPermit(SendRequest request)
{
    const SendPermit refusal{.wait = unownedSendWait, .isAnswered = false};
    const auto owner = ownerOf(request.upstream);
    if (!owner || !links_) {
        co_return refusal;
    }
    if (*owner != node_.settings.host) {
        auto &silentUntil = silentOwners_[*owner];
        if (request.limit.isUnknown() && node_.now() < silentUntil) {
            co_return refusal;
        }
        const auto permit = co_await sendGate_.requestAtOwner(*links_, *owner, std::move(request));
        silentOwners_[*owner] = permit ? Instant() : node_.now() + silentOwnerTime;
        co_return permit.value_or(refusal);
    }
    co_return mayGrantSends(request.upstream) ? co_await sendGate_.request(std::move(request)) : refusal;
}

std::optional<int> HostedDaemon::reportedLoad(const UpstreamId &id) const
{
    const auto others = loadExchange_.otherHostLoads(node_.now());
    if (!others) {
        return std::nullopt;
    }
    const auto load = others->find(id);
    return node_.chooser.localOccupancy(id).running + (load == others->end() ? 0 : load->second.running);
}

void HostedDaemon::tellRefused(const UpstreamId &id)
{
    const auto owner = ownerOf(id);
    if (owner && *owner == node_.settings.host) {
        sendGate_.onRefused(id);
    } else if (owner && links_) {
        links_->notify(*owner, {peers::SendRefusedNotice{id}});
    }
}

/// Hosts that send little, and those that have just started, learn of brittle upstreams before they are refused there.
void HostedDaemon::tellBrittle()
{
    const auto now = node_.now();
    if (!links_ || node_.limits.brittleCount() == 0) {
        brittleToldAt_.clear();
        return;
    }
    peers::BrittleNotice notice;
    for (const auto &id : node_.replicas.all()) {
        const auto limit = node_.limits.find(id);
        const auto told = brittleToldAt_.find(id);
        const bool isDue = limit && limit->maxRefusals && (told == brittleToldAt_.end() || now - told->second >= brittleTellInterval);
        if (isDue && mayGrantSends(id)) {
            notice.upstreams.emplace_back(id, *limit->maxRefusals, (now - limit->namedAt).count());
            brittleToldAt_[id] = now;
        }
    }
    if (notice.upstreams.empty()) {
        return;
    }
    for (const auto &member : membership_.live()) {
        if (member.host != node_.settings.host) {
            links_->notify(member.host, {notice});
        }
    }
}

net::Task<bool> HostedDaemon::takeProbe(std::vector<CrashCause> causes)
{
    return crashExchange_.takeProbe(std::move(causes));
}

void HostedDaemon::tellLimitEnded(const UpstreamId &id)
{
    const auto owner = ownerOf(id);
    if (owner && *owner == node_.settings.host) {
        sendGate_.onLimitEnded(id);
    } else if (owner && links_) {
        links_->notify(*owner, {peers::LimitEndNotice{id}});
    }
}

/// Error: step Peer when the owner did not reply, else the owner's error.
net::Task<std::optional<ResidencyGrant>> HostedDaemon::ensureAtOwner(HostId owner, ResidencyRequest request, Error &why)
{
    const auto begin = node_.now();
    const auto call = links_->call(owner, callOf(request));
    auto timeout = firstReplyTimeout;
    while (true) {
        const auto reply = co_await call->next(timeout, why);
        if (!reply) {
            why.step = Step::Peer;
            co_return std::nullopt;
        }
        if (const auto *held = std::get_if<peers::ResidencyReply>(&*reply)) {
            co_return ResidencyGrant{AdapterRevision(held->revision), begin + Milliseconds(held->leaseMs)};
        }
        if (const auto *fail = std::get_if<peers::ErrorReply>(&*reply)) {
            why = fail->error;
            co_return std::nullopt;
        }
        timeout = request.maxWait + peerReplyMargin;
    }
}

net::Task<std::optional<ResidencyGrant>> HostedDaemon::ensureLocally(ResidencyRequest request, WaitCallback onWaiting, Error &why)
{
    const auto found = ownedReplicas_.find(request.replica);
    if (found == ownedReplicas_.end()) {
        why = Error{.step = Step::Admit, .peer = node_.settings.host.value(), .reason = "this host does not own the upstream"};
        co_return std::nullopt;
    }
    const auto owned = found->second;
    const auto reply = co_await owned->waitForLease(request, std::move(onWaiting), why);
    co_return reply ? std::optional(ResidencyGrant{reply->revision, node_.now() + reply->lease}) : std::nullopt;
}

// ---- Peers ----

peers::LinkHandlers HostedDaemon::linkHandlers()
{
    peers::LinkHandlers handlers;
    handlers.onGossip
        = [this](const HostId &from, const peers::MembershipMessage &message) { sendMessages(membership_.onMessage(from, message, node_.now())); };
    handlers.onNotice = [this](const HostId &from, const peers::Notice &notice) { handleNotice(from, notice); };
    handlers.onRejected = [this](const std::string &peer, const Error &error) { node_.log.warn("link_rejected", error, {{"from", peer}}); };
    handlers.onSilent = [this](const HostId &peer, Milliseconds silentFor) { node_.log.warn("link_silent", {{"peer", peer}, {"silent_ms", silentFor}}); };
    handlers.onCall = [this](std::shared_ptr<peers::IncomingCall> call) { return handleCall(std::move(call)); };
    return handlers;
}

net::Task<void> HostedDaemon::handleCall(std::shared_ptr<peers::IncomingCall> call)
{
    if (const auto *prefillCall = std::get_if<peers::PrefillCall>(&call->body())) {
        co_await prefillGate_.serve(call, *prefillCall);
        co_return;
    }
    if (const auto *sendCall = std::get_if<peers::SendCall>(&call->body()); sendCall != nullptr && mayGrantSends(sendCall->upstream)) {
        co_await sendGate_.serve(call, *sendCall);
        co_return;
    }
    if (const auto *originCall = std::get_if<peers::StreamOriginCall>(&call->body())) {
        streamExchange_.serve(*call, *originCall);
        co_return;
    }
    if (std::holds_alternative<peers::RelayCall>(call->body())) {
        co_await relayExchange_.serve(call);
        co_return;
    }
    if (const auto *probeCall = std::get_if<peers::CrashProbeCall>(&call->body())) {
        crashExchange_.serve(*call, *probeCall);
        co_return;
    }
    const auto *residencyCall = std::get_if<peers::ResidencyCall>(&call->body());
    Error why{.step = Step::Load, .peer = node_.settings.host.value(), .reason = "a hosted daemon does not support this call, or does not own the upstream"};
    if (residencyCall != nullptr) {
        const auto onWaiting = [&call](Milliseconds expected) { call->send(peers::WaitingReply{expected.count()}); };
        const auto grant = co_await ensureLocally(requestOf(*residencyCall), onWaiting, why);
        if (grant) {
            call->send(peers::ResidencyReply{grant->revision.value(), (grant->until - node_.now()).count()});
            co_return;
        }
    }
    call->send(peers::ErrorReply{why});
}

void HostedDaemon::handleNotice(const HostId &from, const peers::Notice &notice)
{
    if (const auto *uses = std::get_if<peers::UsesNotice>(&notice.body)) {
        handleAdapterUses(from, *uses);
    } else if (const auto *page = std::get_if<peers::StorePageNotice>(&notice.body)) {
        storePages_.onPage(from, *page);
    } else if (const auto *query = std::get_if<peers::ClockQuery>(&notice.body)) {
        storePages_.onClockQuery(from, *query);
    } else if (const auto *answer = std::get_if<peers::ClockAnswer>(&notice.body)) {
        storePages_.onClockAnswer(from, *answer);
    } else if (const auto *limitEnd = std::get_if<peers::LimitEndNotice>(&notice.body)) {
        node_.endLimit(limitEnd->upstream);
        sendGate_.onLimitEnded(limitEnd->upstream);
    } else if (const auto *refused = std::get_if<peers::SendRefusedNotice>(&notice.body)) {
        sendGate_.onRefused(refused->upstream);
    } else if (const auto *brittle = std::get_if<peers::BrittleNotice>(&notice.body)) {
        for (const auto &[id, maxRefusals, ageMs] : brittle->upstreams) {
            if (maxRefusals >= 0 && ageMs >= 0) {
                node_.applyBrittle(id, maxRefusals, node_.now() - Milliseconds(std::min(ageMs, longestNoticeAgeMs)));
            }
        }
    } else if (const auto *report = std::get_if<peers::CrashReportNotice>(&notice.body)) {
        crashExchange_.onReport(*report);
    } else if (const auto *verdicts = std::get_if<peers::CrashVerdictsNotice>(&notice.body)) {
        crashExchange_.onVerdicts(from, *verdicts);
    } else if (const auto *origin = std::get_if<peers::StreamOriginNotice>(&notice.body)) {
        streamExchange_.onNotice(*origin);
    } else if (const auto *reach = std::get_if<peers::ReachNotice>(&notice.body)) {
        node_.reachability.onPeer(from, reach->reaches, node_.now());
    } else if (const auto *credit = std::get_if<peers::RelayCreditNotice>(&notice.body)) {
        relayExchange_.onCredit(from, *credit);
    } else if (const auto *ask = std::get_if<peers::QuotaAskNotice>(&notice.body)) {
        quotaExchange_.onAsk(from, *ask);
    } else if (const auto *grant = std::get_if<peers::QuotaGrantNotice>(&notice.body)) {
        quotaExchange_.onGrant(from, *grant);
    } else if (const auto *update = std::get_if<peers::LoadsNotice>(&notice.body)) {
        UpstreamLoads loads;
        for (const auto &[id, running, prefillMs] : update->loads) {
            loads[id] = {running, prefillMs};
        }
        loadExchange_.onReport(from, static_cast<LoadScope>(update->scope), std::move(loads), node_.now());
        paceExchange_.onReport(from, *update);
        applyLoads();
    }
}

// ---- Groups of hosts ----

void HostedDaemon::updateGroups()
{
    std::vector<GroupedHost> live;
    for (const auto &member : membership_.live()) {
        const auto announced = announcedHosts_.find(member.host);
        live.push_back(announced == announcedHosts_.end() ? GroupedHost{member.host, member.zone, 0}
                                                          : GroupedHost{member.host, announced->second.zone, announced->second.linkMbps});
    }
    std::vector<HostId> leaving;
    for (const auto &member : membership_.members()) {
        if (member.state == peers::MemberState::Leaving) {
            leaving.push_back(member.host);
        }
    }
    relayExchange_.setHosts(live, std::move(leaving));
    const bool isAlone = live.size() < 2 && announcedHosts_.size() > 1;
    groups_.assign(std::move(live), node_.settings.host);
    if (isAlone && node_.now() - startedAt_ < node_.settings.hosting.configApply) {
        return; // links are still being opened
    }
    controlTopic_.setGather(FollowOptions().gather);
    for (auto *follower : {&operatorsTopic_, &upstreamsTopic_, &controlTopic_}) {
        follower->setTurn(groups_.failoverDelay(node_.settings.host, follower->name()), groups_.longestFailoverDelay(), groups_.slowestLinkMbps());
    }
}

// ---- Reachability of upstreams ----

void HostedDaemon::checkReachability()
{
    auto &reachability = node_.reachability;
    for (const auto &id : reachability.takeProbes(static_cast<int>(node_.pool.busy()), node_.now())) {
        spawn(node_, "probe", [this, id] { return probeUpstream(id); });
    }
    const auto peers = reachability.cutOffPeers(node_.now());
    std::set<HostId> cutOff(peers.begin(), peers.end());
    if (reachability.isCutOff()) {
        cutOff.insert(node_.settings.host);
    }
    if (reachability.isCutOff() != std::exchange(wasCutOff_, reachability.isCutOff())) {
        onReachabilityChange();
    }
    if (cutOff != cutOffHosts_) {
        cutOffHosts_ = std::move(cutOff);
        planner_.setCutOff(cutOffHosts_, node_.now());
    }
    const auto notice = links_ ? reachability.takeNotice(node_.now()) : std::nullopt;
    for (const auto &member : notice ? membership_.live() : std::vector<peers::Member>()) {
        if (member.host != node_.settings.host) {
            links_->notify(member.host, {peers::ReachNotice{*notice}});
        }
    }
}

void HostedDaemon::onReachabilityChange()
{
    const auto &reachability = node_.reachability;
    const auto peers = reachability.cutOffPeers(node_.now()).size();
    if (!wasCutOff_) {
        node_.metrics.beliefChanges.add({"reaches_upstreams"});
        node_.log.info("reaches_upstreams", {{"upstreams", node_.replicas.size()}, {"cut_off_peers", peers}});
        return;
    }
    node_.metrics.beliefChanges.add({"cut_off"});
    const auto now = node_.now();
    node_.log.info("cut_off",
                   {{"failing", reachability.failing()},
                    {"upstreams", node_.replicas.size()},
                    {"cut_off_peers", peers},
                    {"heard_ms_ago", now - reachability.heardAt().value_or(startedAt_)},
                    {"up_ms", now - startedAt_}});
    for (const auto &id : node_.replicas.all()) {
        node_.pool.forget(id); // idle connections may stay silent for good
    }
}

/// The connection stays in the pool, for the next request.
net::Task<void> HostedDaemon::probeUpstream(UpstreamId id)
{
    const auto *record = node_.replicas.find(id);
    if (record == nullptr) {
        co_return;
    }
    Error why;
    const auto address = record->address;
    const auto connection = co_await node_.pool.open(
        id, address, [](const ConnectionPtr &) {}, why);
    if (connection) {
        co_await net::sleep(node_.io, probeSettleTime);
    }
    const bool isReached = connection && UpstreamPool::isOpen(*connection);
    node_.metrics.upstreamProbes.add({isReached ? "reached" : "failed"});
    if (isReached) {
        node_.pool.keep(id, connection, node_.now());
        node_.reachability.onConnected(id, node_.now());
    } else if (connection) {
        node_.pool.drop(id, connection);
        node_.reachability.onNoContact(id, node_.now());
    }
}

// ---- Running requests ----

void HostedDaemon::handleAdapterUses(const HostId &from, const peers::UsesNotice &notice)
{
    for (const auto &each : notice.uses) {
        const auto owned = ownedReplicas_.find(each.upstream);
        if (owned != ownedReplicas_.end()) {
            std::vector<AdapterKey> used;
            for (const auto &[model, adapter] : each.adapters) {
                used.push_back({model, adapter});
            }
            owned->second->onAdaptersInUse(from, std::move(used));
        }
    }
}

/// Reports to each owner the adapters that requests of this host use at its upstreams, and once when there are none any more.
void HostedDaemon::sendAdapterUses()
{
    std::map<HostId, peers::UsesNotice> notices;
    std::map<HostId, std::set<UpstreamId>> reported;
    for (const auto &id : node_.replicas.all()) {
        const auto owner = ownerOf(id);
        if (!owner) {
            continue;
        }
        auto used = node_.weightsInUse(id);
        if (*owner == node_.settings.host) {
            if (const auto owned = ownedReplicas_.find(id); owned != ownedReplicas_.end()) {
                owned->second->onAdaptersInUse(node_.settings.host, std::move(used));
            }
            continue;
        }
        if (!used.empty()) {
            reported[*owner].insert(id);
        }
        if (!used.empty() || reportedUses_[*owner].contains(id)) {
            peers::UpstreamUses at{id, {}};
            for (const auto &weights : used) {
                at.adapters.emplace_back(weights.model, weights.adapter);
            }
            notices[*owner].uses.push_back(std::move(at));
        }
    }
    reportedUses_ = std::move(reported);
    for (auto &[owner, notice] : notices) {
        if (links_) {
            links_->notify(owner, {std::move(notice)});
        }
    }
}

void HostedDaemon::exchangeLoads()
{
    const auto every = 1 + node_.replicas.size() / loadsPerTick;
    if (!links_ || ++loadExchangeTicks_ % every != 0) {
        return;
    }
    UpstreamLoads own;
    for (const auto &id : node_.replicas.all()) {
        if (const auto load = node_.chooser.localOccupancy(id); load != Occupancy()) {
            own[id] = load;
        }
    }
    const auto updates = loadExchange_.tick(own, groups_.members(loadsPurpose), groups_.leaders(loadsPurpose), node_.now());
    paceExchange_.prepare(updates);
    for (const auto &update : updates) {
        peers::LoadsNotice notice{static_cast<int>(update.scope), {}, paceExchange_.entries(update.scope)};
        for (const auto &[id, load] : update.loads) {
            notice.loads.emplace_back(id, load.running, load.prefillMs);
        }
        links_->notify(update.to, {std::move(notice)});
    }
    applyLoads();
}

void HostedDaemon::applyLoads()
{
    const auto now = node_.now();
    const auto others = loadExchange_.otherHostLoads(now);
    if (!others) {
        return;
    }
    for (const auto &id : node_.replicas.all()) {
        const auto *record = node_.replicas.find(id);
        const auto *service = node_.routes ? node_.routes->service(record->service) : nullptr;
        // Requests to plain services end before the sums arrive; all hosts would choose the upstream that was free then.
        const bool isLasting = service != nullptr && service->engine.has_value();
        if (isLasting || node_.chooser.localOccupancy(id).running > 0) {
            const auto load = others->find(id);
            node_.chooser.setRemoteOccupancy(id, load == others->end() ? Occupancy() : load->second, now);
        }
    }
}

} // namespace baobabstall::serving
