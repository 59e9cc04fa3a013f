#include <serving/node.h>

#include <core/hash.h>
#include <settings/json.h>

namespace baobabstall::serving {

namespace {

const std::vector<double> latencyBounds = {0.005, 0.01, 0.025, 0.05, 0.1, 0.15, 0.3, 0.5, 0.8, 1, 1.5, 2.5, 5, 10};
const std::vector<double> pauseBounds = {0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.6, 1, 2};

// Parts of the platform's retry limit that are used. The budget counts successes of about 14 s (half-life 10 s), while the limit covers 10 s.
constexpr double usedRetryShare = 0.6;
constexpr double usedRetrySlack = 0.6;         // the rest covers restarted hosts, which begin with a full reserve
constexpr Milliseconds demandHalfLife{10'000}; // of request counts by base model; spans several loads of base weights
constexpr double holderOffset = 0.1;           // holders; makes a model without a holder about ten times as needed as one with a single holder
constexpr double prefillPauseShare = 0.3;      // of the longest pause that counts as on time: two groups of prompts may follow each other within one pause
constexpr std::size_t maxGaveWaySeries = 320;  // two rooms, three reasons, the labelled workspaces, the others and none
constexpr int maxRetryAttempts = 16;           // high enough that the route's own limit applies

} // namespace

ServingMetrics::ServingMetrics()
    : requests(registry.counter({"requests_total", "requests answered", {"service", "status", "reason"}, 256}))
    , requestDuration(registry.histogram({"request_duration_seconds", "from a request's arrival to the end of its answer", {"service"}, 32}, latencyBounds))
    , firstEvent(registry.histogram({"first_event_seconds", "from a request's arrival to its first event", {"service"}, 32}, latencyBounds))
    , eventPause(registry.histogram({"event_pause_seconds", "between two writes of one stream", {"service"}, 32}, pauseBounds))
    , residencyWait(registry.histogram({"residency_wait_seconds", "wait until weights were held", {"outcome"}, 8}, latencyBounds))
    , prefillWait(registry.histogram({"prefill_wait_seconds", "wait of a prompt for its turn at a replica", {"where"}, 8}, latencyBounds))
    , gaveWay(registry.counter({"gave_way_total", "requests that others went before at model replicas", {"room", "why", "workspace"}, maxGaveWaySeries}))
    , sends(registry.counter({"sends_total", "sends to upstreams by how they ended", {"service", "outcome"}, 256}))
    , takenUpStreams(
          registry.counter({"taken_up_streams_total", "streams that callers took up, by how their record was found", {"record", "age", "reason"}, 512}))
    , sendPermits(registry.counter({"send_permits_total", "permits for requests to limited upstreams that this host was asked for", {"outcome"}, 8}))
    , relays(registry.counter({"relays_total", "requests relayed for a host that reaches no upstream", {"side", "outcome"}, 32}))
    , brittleRefusals(registry.counter({"brittle_refusals_total", "requests of this host that brittle upstreams refused for want of room", {"service"}, 32}))
    , quotaCredit(registry.counter({"quota_credit_total", "credit of workspaces: requests and tokens together", {"what"}, 8}))
    , quotaRefusals(registry.counter({"quota_refusals_total", "requests refused beyond their workspace's quota", {"where"}, 4}))
    , quotaFallback(registry.gauge({"quota_fallback", "partitions of the workspaces whose owner this host doesn't hear", {}, 1}))
    , quotaServedHosts(registry.gauge({"quota_served_hosts", "hosts that an owned partition of the workspaces fills for", {"partition"}, 8}))
    , scarceAsks(registry.counter({"scarce_asks_total", "places at replicas of crowded plain services that this host asked for", {"outcome"}, 8}))
    , scarceWait(registry.histogram({"scarce_wait_seconds", "wait for such a place at this host, which owns the replica", {"outcome"}, 8}, latencyBounds))
    , scarceTurn(registry.histogram({"scarce_turn_seconds", "turn that this owner named to requests without a place", {}, 1}, latencyBounds))
    , orders(registry.counter({"orders_total", "orders to model replicas", {"kind", "outcome"}, 32}))
    , storeCalls(registry.counter({"store_calls_total", "calls to the store", {"call", "outcome"}, 32}))
    , unreadableRequests(registry.counter({"unreadable_total", "requests that could not be read", {"status"}, 8}))
    , callerLimits(registry.counter({"caller_limits_total", "callers that ran into a limit of what they may make this host hold", {"part", "status"}, 32}))
    , beliefChanges(registry.counter({"belief_changes_total", "changes of what this host believes", {"what"}, 32}))
    , workspaceRequests(registry.counter({"workspace_requests_total", "requests of the largest workspaces, the others together", {"workspace", "status"}, 512}))
    , workspaceDuration(registry.histogram({"workspace_request_duration_seconds",
                                            "from a request's arrival to the end of its answer, of the largest workspaces, the others together",
                                            {"workspace"},
                                            64},
                                           latencyBounds))
    , retryBudget(registry.gauge({"retry_budget_left", "repeats allowed now", {"service"}, 32}))
    , configVersion(registry.gauge({"configuration_version", "version in force", {}, 1}))
    , configAge(registry.gauge({"configuration_age_seconds", "since the version in force was read", {}, 1}))
    , operatorsAge(registry.gauge({"operators_age_seconds", "since the configuration and revisions were last read", {}, 1}))
    , configProofAge(
          registry.gauge({"configuration_proof_age_seconds", "since the store was asked for the proof that the version in force is the newest", {}, 1}))
    , upstreamsAge(registry.gauge({"upstreams_age_seconds", "since upstreams' records were last read", {}, 1}))
    , knownUpstreams(registry.gauge({"upstreams", "upstreams known", {}, 1}))
    , ownedUpstreams(registry.gauge({"owned_upstreams", "upstreams that this host may order about", {}, 1}))
    , limitedUpstreams(registry.gauge({"limited_upstreams", "upstreams that named a number of requests a second for all hosts", {}, 1}))
    , upstreamProbes(registry.counter({"upstream_probes_total", "connections opened to find out whether this host reaches upstreams", {"outcome"}, 4}))
    , cutOff(registry.gauge({"cut_off", "1 while new connections to all upstreams fail", {}, 1}))
    , cutOffPeers(registry.gauge({"cut_off_peers", "other hosts that say that they reach no upstream", {}, 1}))
    , brittleUpstreams(registry.gauge({"brittle_upstreams", "upstreams that fall over when they refuse too many requests for want of room", {}, 1}))
    , blamedParts(registry.gauge({"blamed_parts", "parts of prompts that crash upstreams; requests with them are refused", {}, 1}))
    , blamedRequests(registry.gauge({"blamed_requests", "requests that crash upstreams; they are refused when they come again", {}, 1}))
    , upstreamPace(registry.gauge({"upstream_pace", "learnt pace of a model replica, relative to the median one of its service", {"upstream"}}))
    , upstreamConnections(registry.gauge({"upstream_connections", "connections to upstreams", {"state"}, 4}))
    , callerConnections(registry.gauge({"caller_connections", "connections of callers", {"state"}, 4}))
    , closedConnections(registry.counter({"caller_connections_closed_total", "connections of callers that this host closed", {"cause"}, 16}))
    , residencyLeases(registry.gauge({"residency_leases", "weights promised to this host", {}, 1}))
    , logLinesDropped(registry.gauge({"log_lines_dropped", "log lines over the budget since the start", {}, 1}))
{ }

Node::Node(boost::asio::io_context &context, const settings::Settings &hostSettings, const Codec &platformCodec, logging::Log hostLog)
    : io(context)
    , settings(hostSettings)
    , codec(platformCodec)
    , log(std::move(hostLog))
    , chooser(ChooserOptions(), core::hashText(hostSettings.host.value(), 0))
    , versions(now())
    , pool(context, PoolOptions())
{
    pool.onUnexpectedClose = [this](const UpstreamId &id) { reachability.onLost(id, now()); };
    pool.onNoContact = [this](const UpstreamId &id) { reachability.onNoContact(id, now()); };
}

bool Node::isConfigurationProven() const
{
    constexpr Milliseconds margin{100}; // of the bound: clocks of two machines drift apart, and a send takes a moment
    const auto bound = settings.hosting.revocation;
    return bound.count() == 0 || configurationProof.isWithin(bound - margin, now());
}

void Node::noteCallerLimit(net::CallerPart part, int status)
{
    metrics.callerLimits.add({std::string(net::callerPartText(part)), std::to_string(status)});
    log.info("caller_limit", {{"why", net::callerPartText(part)}, {"status", status}});
}

admission::RetryBudget &Node::retryBudgetFor(const ServiceName &service)
{
    const auto found = budgets_.find(service);
    if (found != budgets_.end()) {
        return found->second;
    }
    settings::Retries options;
    options.maxAttempts = maxRetryAttempts;
    options.budgetShare = settings.hosting.retryShare * usedRetryShare;
    options.budgetReserve = settings.hosting.retrySlack * usedRetrySlack / hostCount;
    return budgets_.emplace(service, admission::RetryBudget(options)).first->second;
}

std::optional<ActiveRevision> Node::activeRevision(const AdapterKey &weights) const
{
    const auto found = activeRevisions.find(weights);
    return found == activeRevisions.end() ? std::nullopt : std::optional(found->second);
}

void Node::learnPace(Paces::Answer answer)
{
    const auto *record = replicas.find(answer.upstream);
    const auto *service = routes ? routes->service(answer.service) : nullptr;
    const bool isStream = answer.events > 0; // the time of another answer depends on its length
    if (settings.hosting.learnPaces == 0 || record == nullptr || service == nullptr || !service->engine || !isStream) {
        return;
    }
    answer.fill = static_cast<double>(chooser.occupancy(record->id, now()).running) / std::max(1, record->slots);
    paces.add(answer, now());
}

void Node::addDemand(const BaseModel &model)
{
    demand.try_emplace(model, demandHalfLife).first->second.add(now());
}

const ModelSpec *Node::mostNeededModel(const std::vector<ModelSpec> &models) const
{
    const ModelSpec *needed = nullptr;
    double highestNeed = -1;
    for (const auto &model : models) {
        const auto recent = demand.find(model.name);
        const double requests = recent == demand.end() ? 0 : recent->second.value(now());
        const double holders = replicas.holders(model.name);
        const double need = (requests + 1) / (holders + holderOffset);
        if (need > highestNeed) {
            needed = &model;
            highestNeed = need;
        }
    }
    return needed;
}

bool Node::isOutdated(const ReplicaRecord &replica) const
{
    const auto found = outdatedRecords.find(replica.id);
    return found != outdatedRecords.end() && found->second == replica.startTime;
}

Claimant Node::claimant(const RouteTable &table, Claimant asked) const
{
    constexpr int byRoutes = 2;
    const int order = settings.hosting.callerOrder;
    const bool isRanked = (order > 0 && table.hasWorkspaces()) || (order >= byRoutes && table.hasSeveralPriorities());
    if (!isRanked) {
        return {};
    }
    asked.rank = std::max(0, asked.rank - table.mostUrgentRank());
    return asked;
}

void Node::noteGivenWay(std::string_view room, const UpstreamId &replica, const std::vector<GivenWay> &all)
{
    for (const auto &each : all) {
        const auto &workspace = each.from.workspace;
        const std::string_view label = workspace.empty() || !routes ? std::string_view() : routes->labelOf(workspace);
        metrics.gaveWay.add({std::string(room), std::string(textOf(each.why)), std::string(label)});
        givenWay.add(room, each);
    }
    for (const auto &line : givenWay.take(now())) {
        const auto &[from, to, why] = line.way;
        log.info("gave_way",
                 {{"room", line.room},
                  {"upstream", replica},
                  {"workspace", from.workspace},
                  {"rank", from.rank},
                  {"to_workspace", to.workspace},
                  {"to_rank", to.rank},
                  {"why", textOf(why)},
                  {"requests", line.count}});
    }
}

double Node::prefillLimit(const UpstreamId &replica) const
{
    const auto *record = replicas.find(replica);
    return record == nullptr ? 0 : prefillLimit(record->service);
}

double Node::prefillLimit(const ServiceName &service) const
{
    const auto pause = routes ? routes->shortestPause(service) : Milliseconds(0);
    const auto rate = prefillRates.find(service);
    const double tokensPerMs = rate == prefillRates.end() ? PrefillRate::initialTokensPerMs : rate->second.tokensPerMs();
    return static_cast<double>(pause.count()) * prefillPauseShare * tokensPerMs;
}

void Node::adjustUseCount(const UpstreamId &upstream, const AdapterKey &weights, int change)
{
    auto &uses = useCounts[upstream];
    if ((uses[weights] += change) <= 0) {
        uses.erase(weights);
    }
    if (uses.empty()) {
        useCounts.erase(upstream);
    }
}

std::vector<AdapterKey> Node::weightsInUse(const UpstreamId &upstream) const
{
    std::vector<AdapterKey> used;
    if (const auto uses = useCounts.find(upstream); uses != useCounts.end()) {
        for (const auto &[weights, count] : uses->second) {
            used.push_back(weights);
        }
    }
    return used;
}

void Node::applyUpstreamState(const ReplicaRecord &replica, const ResponseMetadata &answer)
{
    const bool isFromOther = !answer.upstream.empty() && answer.upstream != replica.id; // the address was given to another upstream
    const auto *other = isFromOther ? replicas.find(answer.upstream) : nullptr;
    const auto &id = isFromOther ? answer.upstream : replica.id;
    const auto startTime = other != nullptr ? other->startTime : replica.startTime;
    if (!answer.unreadableBackoff.empty()) {
        log.warn("backoff_unreadable", {{"upstream", id}, {"value", settings::printableText(answer.unreadableBackoff)}, {"next", "no backoff"}});
    }
    applyLimit(id, answer);
    bool isContactEnded = false;
    if (answer.isLeaving && replicas.markLeaving(id, startTime) == BookChange::Leaving) {
        metrics.beliefChanges.add({"leaving_by_answer"});
        log.info("upstream_leaving", {{"upstream", id}, {"source", "answer"}, {"record_age_ms", now() - replicasReadAt}});
        isContactEnded = true;
    }
    if (answer.backoff && answer.backoff->count() > 0) {
        const bool wasActive = backoffs.isActive(id, now());
        const auto delay = backoffs.begin(id, *answer.backoff, now());
        if (!wasActive) {
            metrics.beliefChanges.add({"backoff_begun"});
            log.info("backoff_begun", {{"upstream", id}, {"asked_ms", *answer.backoff}, {"for_ms", delay}, {"backoffs", backoffs.size()}});
        }
        isContactEnded = true;
    }
    if (isContactEnded && onNoContact) {
        onNoContact(id);
    }
}

void Node::applyUpstreamState(const ReplicaRecord &replica, const net::HttpResponse &answer)
{
    std::vector<HeaderView> headers;
    for (const auto &[name, value] : answer.headers.all()) {
        headers.push_back({name, value});
    }
    applyUpstreamState(replica, codec.readAnswer(answer.status, headers));
}

void Node::applyLimit(const UpstreamId &id, const ResponseMetadata &answer)
{
    if (!answer.unreadableLimit.empty()) {
        log.warn("limit_unreadable", {{"upstream", id}, {"value", settings::printableText(answer.unreadableLimit)}, {"next", "the limit known so far"}});
        return;
    }
    const auto before = limits.find(id);
    auto maxRefusals = answer.maxRefusals;
    if (!answer.unreadableRefusals.empty()) {
        maxRefusals = before ? before->maxRefusals.value_or(0) : 0;
        log.warn("brittle_unreadable", {{"upstream", id}, {"value", settings::printableText(answer.unreadableRefusals)}, {"taken_as", *maxRefusals}});
    }
    if (!answer.requestLimit && !maxRefusals && !answer.isSealed) {
        return; // a damaged answer, or one to an order or a report, ends no limit
    }
    const auto change = limits.onAnswer(id, answer.requestLimit, now(), maxRefusals);
    if (change == UpstreamLimits::Change::None) {
        return;
    }
    logLimit(id, before, "answer");
    if (change == UpstreamLimits::Change::Ended && onLimitEnded) {
        onLimitEnded(id);
    }
}

void Node::logLimit(const UpstreamId &id, const std::optional<UpstreamLimits::Limit> &before, std::string_view source)
{
    const auto after = limits.find(id);
    const bool wasRate = before && before->isRate();
    const bool isRate = after && after->isRate();
    if (isRate && !wasRate) {
        metrics.beliefChanges.add({"limit_begun"});
        log.info("limit_begun", {{"upstream", id}, {"per_second", after->perSecond}, {"limits", limits.size()}});
    } else if (isRate && after->perSecond != before->perSecond) {
        log.info("limit_changed", {{"upstream", id}, {"per_second", after->perSecond}, {"before", before->perSecond}});
    } else if (wasRate && !isRate) {
        metrics.beliefChanges.add({"limit_ended"});
        log.info("limit_ended", {{"upstream", id}, {"source", source}, {"named_ms_ago", now() - before->namedAt}});
    }
    const auto refusalsBefore = before ? before->maxRefusals : std::nullopt;
    const auto refusals = after ? after->maxRefusals : std::nullopt;
    if (refusals && !refusalsBefore) {
        metrics.beliefChanges.add({"brittle_begun"});
        log.info("brittle_begun", {{"upstream", id}, {"source", source}, {"refusals", *refusals}, {"brittle", limits.brittleCount()}});
    } else if (refusals && *refusals != *refusalsBefore) {
        log.info("brittle_changed", {{"upstream", id}, {"source", source}, {"refusals", *refusals}, {"before", *refusalsBefore}});
    } else if (refusalsBefore && !refusals) {
        metrics.beliefChanges.add({"brittle_ended"});
        log.info("brittle_ended", {{"upstream", id}, {"source", source}, {"named_ms_ago", now() - before->namedAt}});
    }
}

void Node::endLimit(const UpstreamId &id)
{
    const auto before = limits.find(id);
    limits.end(id, now());
    if (before) {
        logLimit(id, before, "owner");
    }
}

void Node::applyBrittle(const UpstreamId &id, double maxRefusals, Instant namedAt)
{
    const auto before = limits.find(id);
    if (limits.onNotice(id, maxRefusals, namedAt) != UpstreamLimits::Change::None) {
        logLimit(id, before, "host");
    }
}

std::optional<UpstreamLimits::Limit> Node::sendLimit(const ReplicaRecord &replica) const
{
    constexpr Milliseconds maxAge{10'000}; // of what another upstream of the service said
    auto limit = limits.find(replica.id);
    if (limits.brittleCount() == 0 || (limit && limit->maxRefusals)) {
        return limit;
    }
    const auto ended = limits.endedAt(replica.id);
    for (const auto &id : replicas.usable(replica.service)) {
        const auto other = limits.find(id);
        const bool counts = other && other->maxRefusals && now() - other->namedAt < maxAge && (!ended || other->namedAt > *ended);
        if (counts) {
            limit = limit.value_or(UpstreamLimits::Limit{UpstreamLimits::unlimited, other->namedAt, std::nullopt});
            limit->namedAt = std::max(limit->namedAt, other->namedAt);
            limit->maxRefusals = std::min(limit->maxRefusals.value_or(*other->maxRefusals), *other->maxRefusals);
        }
    }
    return limit;
}

bool Node::mayBeUntold()
{
    constexpr Milliseconds tellTime{1'500}; // owners tell all hosts each second
    servingSince_ = servingSince_.value_or(now());
    return now() - *servingSince_ < tellTime;
}

void Node::setHostCount(int count)
{
    hostCount = std::max(1, count);
    chooser.setHostCount(hostCount);
}

} // namespace baobabstall::serving
