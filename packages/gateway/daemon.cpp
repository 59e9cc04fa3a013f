#include <gateway/daemon.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <core/hash.h>

namespace baobabstall::gateway {

using core::Error;
using core::Milliseconds;
using core::Refusal;
using core::Step;

namespace {

constexpr Milliseconds tickInterval{100};       // of membership and ownership
constexpr Milliseconds evidenceInterval{1'000}; // between looks for evidence about earlier owners
constexpr Milliseconds snapshotInterval{5'000}; // between looks whether a list must be appended again
constexpr Milliseconds longestLogRetry{1'000};  // between reads while the log is out: bounds how late its return is noticed
constexpr Milliseconds peerPause{500};          // between attempts to get the lists from a peer
constexpr Milliseconds listsTimeout{2'000};     // for a peer to send its lists
constexpr Milliseconds ownerRetryAfter{1'000};  // until the claims that moved an owner are read everywhere
constexpr Milliseconds releaseWait{5'000};      // for the release records once nothing is in flight; a log that is out does not delay the end
constexpr Milliseconds drainCheck{20};          // while stopping

net::ServerLimits limitsOf(const settings::Callers &callers)
{
    net::ServerLimits limits;
    limits.maxHeaderBytes = callers.maxHeaderBytes;
    limits.maxBodyBytes = callers.maxBodyBytes;
    limits.maxConnections = callers.maxConnections;
    limits.receiveTimeout = callers.receiveTimeout;
    limits.sendTimeout = callers.sendTimeout;
    return limits;
}

peers::ErrorReply notOwner(const std::string &host)
{
    return {Error{.step = Step::Admit,
                  .peer = host,
                  .reason = "this daemon does not own what the call is for",
                  .refusal = Refusal::Unavailable,
                  .retryAfter = ownerRetryAfter}};
}

std::string claimsStream(const settings::Settings &settings)
{
    return "claims-" + settings.region.value();
}

platform::Endpoint endpointOf(const settings::Settings &settings)
{
    platform::Endpoint endpoint;
    endpoint.address = *net::Address::parse(settings.platform.address); // checked when the settings were read
    endpoint.timeout = settings.platform.timeout;
    endpoint.logWait = settings.platform.logWait;
    endpoint.hostsPoll = settings.platform.hostsPoll;
    endpoint.longestRetry = longestLogRetry;
    endpoint.seed = core::hashText(settings.host.value(), 0);
    return endpoint;
}

} // namespace

Daemon::Daemon(asio::io_context &io, const settings::Settings &settings, std::string key, core::Incarnation incarnation, logging::Log log)
    : node_(io, settings, incarnation, std::move(log))
    , endpoint_(endpointOf(settings))
    , log_(io, node_.http, endpoint_)
    , hosts_(
          io,
          node_.http,
          endpoint_,
          [this](const platform::HostList &hosts) {
              note(hostsState_, "");
              takeHosts(hosts);
          },
          [this](const Error &why) { note(hostsState_, why.text()); })
    , claims_(io, log_, endpoint_, claimsStream(settings), claimsEvents())
    , lists_(io, log_, endpoint_, std::string(lists::listsStream), listsEvents())
    , permits_(node_)
    , services_(node_)
    , callers_(node_, services_)
    , callersServer_(io, limitsOf(settings.callers), [this](net::Exchange &exchange) { return callers_.handle(exchange); })
    , operatorsServer_(io, {}, [this](net::Exchange &exchange) { return handleOperators(exchange); })
{
    callersServer_.onUnreadable([this] {
        const auto id = node_.newRequestId();
        node_.log.info("request_unreadable", {{"request_id", id}});
        return id.value();
    });
    callersServer_.onLimit([this](net::CallerPart part, int status) {
        node_.metrics.callerLimits.add({net::callerPartText(part), std::to_string(status)});
        node_.log.info("caller_limit", {{"why", net::callerPartText(part)}, {"status", status}});
    });
    const peers::Links::Self self{settings.host, incarnation, settings.region};
    node_.links = std::make_unique<peers::Links>(io, self, std::move(key), linkHandlers());
}

Daemon::~Daemon() = default;

std::optional<Addresses> Daemon::start(Error &why)
{
    const auto &listen = node_.settings.listen;
    const auto callers = callersServer_.listen(*net::Address::parse(listen.callers), why);
    const auto peers = callers ? node_.links->listen(*net::Address::parse(listen.peers), why) : std::nullopt;
    const auto operators = peers ? operatorsServer_.listen(*net::Address::parse(listen.operators), why) : std::nullopt;
    if (!operators) {
        return std::nullopt;
    }
    isRunning_ = true;
    node_.log.info("listening", {{"callers", callers->text()}, {"peers", peers->text()}, {"operators", operators->text()}, {"incarnation", node_.incarnation}});
    asio::co_spawn(
        node_.io, [this] { return tickLoop(); }, asio::detached);
    asio::co_spawn(
        node_.io, [this] { return hosts_.run(); }, asio::detached);
    asio::co_spawn(
        node_.io, [this] { return claims_.run(); }, asio::detached);
    asio::co_spawn(
        node_.io, [this] { return lists_.run(); }, asio::detached);
    asio::co_spawn(
        node_.io, [this] { return askPeersForLists(); }, asio::detached);
    return Addresses{*callers, *peers, *operators};
}

bool Daemon::isReady() const
{
    return isRunning_ && !node_.isStopping && hasHosts_ && node_.lists.isReady();
}

net::Task<bool> Daemon::stop()
{
    const auto limit = node_.now() + node_.settings.stop.drainTimeout;
    node_.isStopping = true;
    node_.log.info("stopping", {{"in_flight", node_.limiter.inFlight()}, {"owned", owned_.size()}});
    send(node_.membership.leave(node_.now()));
    node_.planner.stop();
    co_await pause(node_.settings.stop.notReadyFirst);
    while (!isDrained() && node_.now() < limit) {
        co_await pause(drainCheck);
    }
    const bool isClean = isDrained();
    const auto releaseLimit = std::min(limit, node_.now() + releaseWait);
    while (!(node_.planner.holdings().empty() && owned_.empty()) && node_.now() < releaseLimit) {
        co_await pause(drainCheck);
    }
    node_.log.info("stopped", {{"clean", isClean}, {"unreleased", node_.planner.holdings().size()}});
    isRunning_ = false;
    claims_.stop();
    lists_.stop();
    hosts_.stop();
    callersServer_.stopAccepting();
    operatorsServer_.stopAccepting();
    for (const auto &[key, owned] : owned_) {
        owned.host->close();
    }
    node_.links->close();
    co_return isClean;
}

/// Nothing that this daemon began goes on: no caller's request or answer, no run or order under an owned epoch.
bool Daemon::isDrained() const
{
    const bool isAnswered = callersServer_.openExchanges() == 0 && callersServer_.unreceivedAnswers() == 0;
    return isAnswered && std::all_of(owned_.begin(), owned_.end(), [](const auto &each) { return each.second.host->isIdle(); });
}

net::Task<void> Daemon::pause(Milliseconds time)
{
    co_await net::sleep(node_.io, time);
}

void Daemon::note(LoopState &state, const std::string &error)
{
    if (state.sinceMs == 0 || state.lastError.empty() != error.empty()) {
        state.sinceMs = core::civilMilliseconds();
    }
    state.lastError = error;
}

// ---- Membership and ownership ----

net::Task<void> Daemon::tickLoop()
{
    auto nextEvidence = node_.now();
    auto nextSnapshot = node_.now();
    while (isRunning_) {
        tick();
        if (node_.now() >= nextEvidence) {
            nextEvidence = node_.now() + evidenceInterval;
            for (const auto &[id, engine] : engines_) {
                engine->checkEvidence();
            }
            for (const auto &[number, partition] : partitions_) {
                partition->refreshIfDue();
            }
        }
        if (node_.now() >= nextSnapshot) {
            nextSnapshot = node_.now() + snapshotInterval;
            co_await writeSnapshots();
        }
        co_await pause(tickInterval);
    }
}

void Daemon::tick()
{
    const auto now = node_.now();
    send(node_.membership.tick(now));
    if (node_.membership.isOutdated() && onOutdated_) {
        node_.log.error("outdated", {{"incarnation", node_.incarnation}});
        std::exchange(onOutdated_, nullptr)();
    }
    const bool areMembersChanged = !node_.membership.takeChanges().empty();
    if (areMembersChanged) {
        node_.planner.setMembers(node_.membership.members());
    }
    carryOut(node_.planner.tick(now));
    reportDrained();
    if (areMembersChanged) {
        node_.updateAvailability();
    }
}

void Daemon::send(std::vector<peers::OutgoingMessage> messages)
{
    for (auto &out : messages) {
        node_.links->sendGossip(out.to, std::move(out.message));
    }
}

void Daemon::carryOut(const ownership::OwnershipActions &plan)
{
    for (const auto &holding : plan.lost) {
        lose(holding);
    }
    for (const auto &holding : plan.gained) {
        gain(holding);
    }
    for (const auto &holding : plan.handovers) {
        handOver(holding);
    }
    for (const auto &record : plan.appends) {
        asio::co_spawn(
            node_.io, [this, record] { return appendClaim(record); }, asio::detached);
    }
    if (!plan.gained.empty() || !plan.lost.empty() || !plan.handovers.empty()) {
        node_.updateAvailability();
    }
}

net::Task<void> Daemon::appendClaim(ownership::ClaimRecord record)
{
    Error why;
    const auto offset = co_await log_.appendOnce(claimsStream(node_.settings), ownership::toJson(record), why);
    node_.noteAppend(offset.has_value(), why);
    if (offset) {
        node_.planner.onAppended(record.id);
    } else if (why.outcome == core::Outcome::NotRun) {
        node_.planner.onAppendRefused(record.id);
    } else {
        node_.planner.onAppendUnknown(record.id);
    }
}

void Daemon::gain(const ownership::Holding &holding)
{
    std::shared_ptr<OwnedHost> host;
    if (const auto engine = ownership::engineOf(holding.resource)) {
        const auto record = node_.engines.find(*engine);
        if (record == node_.engines.end()) {
            return; // no longer on the host list; the planner gives it up at the next list
        }
        engines_[*engine] = std::make_shared<EngineHost>(node_, permits_, record->second, holding.epoch);
        host = engines_[*engine];
    } else if (const auto partition = ownership::partitionOf(holding.resource)) {
        partitions_[*partition] = std::make_shared<PartitionHost>(node_, services_, log_, endpoint_, *partition, holding.epoch);
        partitions_[*partition]->start();
        host = partitions_[*partition];
    } else {
        budget_ = std::make_shared<BudgetHost>(node_, holding.epoch);
        host = budget_;
    }
    owned_[{holding.resource, holding.epoch}] = {host, false};
    noteOwnership(holding, "claimed");
}

void Daemon::handOver(const ownership::Holding &holding)
{
    const auto owned = owned_.find({holding.resource, holding.epoch});
    if (owned == owned_.end()) {
        node_.planner.onDrained(holding);
        return;
    }
    owned->second.isEnding = true;
    owned->second.host->drain();
    noteOwnership(holding, "released");
}

void Daemon::lose(const ownership::Holding &holding)
{
    const auto owned = owned_.find({holding.resource, holding.epoch});
    if (owned == owned_.end()) {
        node_.planner.onDrained(holding);
        return;
    }
    owned->second.isEnding = true;
    noteOwnership(holding, "superseded");
    retire(holding.resource, owned->second.host);
    owned->second.host->lose();
}

void Daemon::noteOwnership(const ownership::Holding &holding, std::string_view change)
{
    const std::string_view thing = holding.resource.value();
    node_.metrics.ownershipChanges.add({thing.substr(0, thing.find('/')), change});
    node_.log.info("ownership", {{"thing", holding.resource}, {"epoch", holding.epoch}, {"change", change}});
}

/// Takes the host out of the tables by which calls find it, unless a later one stands there already.
void Daemon::retire(const ownership::Resource &thing, const std::shared_ptr<OwnedHost> &host)
{
    const auto eraseFrom = [&host](auto &hosts, const auto &key) {
        if (const auto found = hosts.find(key); found != hosts.end() && found->second == host) {
            hosts.erase(found);
        }
    };
    if (const auto engine = ownership::engineOf(thing)) {
        eraseFrom(engines_, *engine);
    } else if (const auto partition = ownership::partitionOf(thing)) {
        eraseFrom(partitions_, *partition);
    } else if (budget_ == host) {
        budget_.reset();
    }
}

void Daemon::reportDrained()
{
    for (auto each = owned_.begin(); each != owned_.end();) {
        const auto [key, owned] = *each;
        if (!owned.isEnding || !owned.host->isIdle()) {
            ++each;
            continue;
        }
        each = owned_.erase(each);
        retire(key.first, owned.host);
        owned.host->close();
        node_.planner.onDrained({key.first, key.second});
    }
}

platform::FollowerEvents Daemon::claimsEvents()
{
    platform::FollowerEvents events;
    events.isUrgent = [this] { return !node_.planner.isCaughtUp(); };
    events.onKept = [this](core::Offset first) { claimsKept_ = first; };
    events.onRecord = [this](const platform::LogRecord &record) {
        Error ignored;
        claimRecords_.push_back({record.offset, record.timeMs, ownership::claimFromJson(record.data, ignored)});
    };
    events.onCaughtUp = [this](core::Offset next) { takeClaims(next); };
    events.onOutage = [this](const Error &why) {
        note(logState_, why.text());
        node_.log.warn("log_down", why);
        node_.metrics.logCalls.add({"read", "unavailable"});
        node_.planner.onLogDown();
    };
    return events;
}

void Daemon::takeClaims(core::Offset next)
{
    note(logState_, "");
    const auto records = std::exchange(claimRecords_, {});
    node_.planner.onRecords(claimsKept_, next, records);
    const auto budgetOwner = node_.planner.ownerOf(ownership::loadBudgetResource());
    if (budgetOwner && budgetOwner->epoch != budgetEpoch_) {
        budgetEpoch_ = budgetOwner->epoch;
        for (const auto &[id, engine] : engines_) {
            engine->permitsLost();
        }
    }
    if (!records.empty()) {
        node_.updateAvailability();
    }
}

// ---- Hosts ----

void Daemon::takeHosts(const platform::HostList &hosts)
{
    hasHosts_ = true;
    hostsAsOfMs_ = hosts.asOfMs;
    node_.planner.setHostListTime(hosts.asOfMs);
    std::vector<peers::HostEntry> daemons;
    std::vector<ownership::PlacedResource> things;
    std::vector<placement::Replica> replicas;
    std::map<core::UpstreamId, EngineRecord> engines;
    std::map<core::UpstreamId, ServiceRecord> services;
    node_.listedDaemons.clear();
    for (const auto &host : hosts.hosts) {
        if (host.region != node_.settings.region) {
            continue;
        }
        const core::UpstreamId upstream(host.id.value());
        const bool isListedLeaving = host.state == platform::HostState::Leaving;
        const bool isLeaving = isListedLeaving || node_.leavingByWord.contains(upstream);
        if (const auto *daemon = std::get_if<platform::DaemonHost>(&host.role)) {
            daemons.push_back({host.id, host.zone, isListedLeaving});
            node_.listedDaemons.insert(host.id);
            node_.links->setAddress(host.id, daemon->peers);
        } else if (const auto *engine = std::get_if<platform::EngineHost>(&host.role)) {
            engines[upstream] = {{upstream, engine->baseModel, engine->slots, engine->checksFencing}, host.zone, engine->address, isLeaving};
            things.push_back({ownership::engineResource(upstream), host.zone});
            replicas.push_back({upstream, engine->baseModel, host.zone});
            if (const auto owned = engines_.find(upstream); owned != engines_.end()) {
                owned->second->setAddress(engine->address);
            }
        } else if (const auto *service = std::get_if<platform::ServiceHost>(&host.role)) {
            services[upstream] = {upstream, service->service, host.zone, service->address, isLeaving};
        }
    }
    std::erase_if(node_.leavingByWord, [&](const auto &id) { return !engines.contains(id) && !services.contains(id); });
    node_.engines = std::move(engines);
    node_.services = std::move(services);
    for (int partition = 0; partition < node_.settings.ownership.callPartitions; ++partition) {
        things.push_back({ownership::partitionResource(partition), core::ZoneId()});
    }
    things.push_back({ownership::loadBudgetResource(), core::ZoneId()});
    node_.membership.setHostList(daemons, node_.now());
    node_.planner.setMembers(node_.membership.members());
    node_.planner.setResources(std::move(things));
    node_.placement.replicas().assign(std::move(replicas));
    node_.updateAvailability();
}

// ---- Lists ----

platform::FollowerEvents Daemon::listsEvents()
{
    platform::FollowerEvents events;
    events.onGap = [this](core::Offset first) { node_.lists.skipTo(first); };
    events.onRecord = [this](const platform::LogRecord &record) {
        const auto verdict = node_.lists.apply(record.offset, record.timeMs, record.data);
        if (verdict.kind == lists::Verdict::Kind::Accepted) {
            node_.log.info("list_in_force", {{"list", lists::listNameText(*verdict.list)}, {"version", verdict.version}, {"by", verdict.publisher}});
        } else if (verdict.kind == lists::Verdict::Kind::Rejected) {
            node_.metrics.listRejections.add({verdict.list ? lists::listNameText(*verdict.list) : std::string_view("unreadable")});
            node_.log.warn("list_rejected", {{"offset", record.offset}, {"reason", verdict.reason}});
        }
    };
    events.onCaughtUp = [this](core::Offset) {
        node_.lists.onCaughtUp();
        takeLists();
    };
    return events;
}

net::Task<void> Daemon::askPeersForLists()
{
    while (isRunning_ && !node_.lists.isReady()) {
        co_await pause(peerPause);
        for (const auto &member : node_.membership.live()) {
            if (member.host == node_.settings.host || node_.lists.isReady()) {
                continue;
            }
            Error why;
            const auto call = node_.links->call(member.host, peers::ListsCall{});
            const auto reply = co_await call->next(listsTimeout, why);
            const auto *lists = reply ? std::get_if<peers::ListsReply>(&*reply) : nullptr;
            if (lists && node_.lists.importSnapshot(lists->snapshot, why)) {
                takeLists();
            }
        }
    }
}

void Daemon::takeLists()
{
    const auto customers = node_.lists.inForce(lists::ListName::Customers);
    const auto plans = node_.lists.inForce(lists::ListName::Plans);
    node_.membership.setListVersions({plans.version.value(), customers.version.value()});
    std::map<core::PlanId, admission::PlanLimit> limits;
    for (const auto &[id, plan] : node_.lists.plans()) {
        limits[id] = {.share = plan.share, .maxInFlight = plan.maxInFlight};
    }
    node_.limiter.setPlans(limits);
}

net::Task<void> Daemon::writeSnapshots()
{
    const auto live = node_.membership.live();
    const auto isSelf = [this](const auto &member) { return member.host == node_.settings.host; };
    const auto rank = static_cast<int>(std::find_if(live.begin(), live.end(), isSelf) - live.begin());
    for (const auto list : {lists::ListName::Customers, lists::ListName::Plans}) {
        const auto nowMs = core::civilMilliseconds();
        if (!node_.lists.isSnapshotDue(list, nowMs, node_.settings.platform.retention, rank)) {
            continue;
        }
        Error why;
        const auto group = node_.settings.host.value() + '-' + std::to_string(nowMs);
        const auto records = node_.lists.snapshotRecords(list, nowMs, group, why);
        for (const auto &record : records.value_or(std::vector<lists::OutgoingRecord>())) {
            if (!co_await log_.append(std::string(lists::listsStream), record.id, record.text, why)) {
                break;
            }
        }
    }
}

// ---- Peers ----

peers::LinkHandlers Daemon::linkHandlers()
{
    peers::LinkHandlers handlers;
    handlers.onGossip
        = [this](const core::HostId &from, const peers::MembershipMessage &message) { send(node_.membership.onMessage(from, message, node_.now())); };
    handlers.onNotice = [this](const core::HostId &from, const peers::Notice &notice) { take(from, notice); };
    handlers.onRejected = [this](const std::string &peer, const Error &error) { node_.log.warn("link_rejected", error, {{"from", peer}}); };
    handlers.onCall = [this](std::shared_ptr<peers::IncomingCall> call) { return serve(std::move(call)); };
    return handlers;
}

net::Task<void> Daemon::serve(std::shared_ptr<peers::IncomingCall> call)
{
    const auto &body = call->body();
    if (const auto *probe = std::get_if<peers::ProbeCall>(&body)) {
        const auto host = engines_.find(probe->engine);
        const auto adapter = core::AdapterRef::parse(probe->adapter);
        if (host == engines_.end() || !adapter) {
            call->send(notOwner(node_.settings.host.value()));
        } else {
            call->send(host->second->hint(*adapter, probe->plan, probe->share));
        }
    } else if (const auto *run = std::get_if<peers::RunCall>(&body)) {
        const auto found = engines_.find(run->engine);
        if (found == engines_.end()) {
            call->send(notOwner(node_.settings.host.value()));
            co_return;
        }
        const auto host = found->second;
        co_await host->serve(call, *run);
    } else if (const auto *permit = std::get_if<peers::PermitCall>(&body)) {
        const auto host = budget_;
        if (!host) {
            call->send(notOwner(node_.settings.host.value()));
            co_return;
        }
        co_await host->serve(call, *permit);
    } else if (const auto *service = std::get_if<peers::ServiceCall>(&body)) {
        const auto found = partitions_.find(service->partition);
        if (found == partitions_.end()) {
            call->send(notOwner(node_.settings.host.value()));
            co_return;
        }
        const auto host = found->second;
        co_await host->serve(call, *service);
    } else {
        const auto snapshot = node_.lists.exportSnapshot(core::civilMilliseconds());
        if (snapshot) {
            call->send(peers::ListsReply{*snapshot});
        } else {
            call->send(peers::ErrorReply{Error{.step = Step::Lists, .reason = "this daemon has no lists either", .refusal = Refusal::Unavailable}});
        }
    }
}

void Daemon::take(const core::HostId & /*from*/, const peers::Notice &notice)
{
    if (const auto *width = std::get_if<peers::WidthNotice>(&notice.body)) {
        if (const auto adapter = core::AdapterRef::parse(width->adapter)) {
            node_.placement.widths().apply({*adapter, width->width, Milliseconds(width->validMs)}, node_.now());
        }
    } else if (const auto *prefetch = std::get_if<peers::PrefetchNotice>(&notice.body)) {
        const auto host = engines_.find(prefetch->engine);
        const auto adapter = core::AdapterRef::parse(prefetch->adapter);
        if (host != engines_.end() && adapter) {
            host->second->prefetch(*adapter);
        }
    }
}

} // namespace baobabstall::gateway
