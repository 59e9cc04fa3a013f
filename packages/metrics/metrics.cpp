#include <metrics/metrics.h>

namespace baobabstall::metrics {

namespace {

constexpr std::size_t planLabel = 1; // place of the plan in families by customer
const std::vector<std::string> byCustomer = {"customer", "plan"};
const std::vector<double> stallBounds = {0.01, 0.05, 0.1, 0.25, 0.5, 1, 2, 4, 8, 16, 32};                      // s
const std::vector<double> queueBounds = {0.001, 0.005, 0.02, 0.05, 0.1, 0.25, 0.5, 1, 2, 5, 10};               // s
const std::vector<double> firstTokenBounds = {0.05, 0.1, 0.2, 0.4, 0.8, 1.2, 2, 4, 8, 16, 32};                 // s
const std::vector<double> tokenBounds = {0.004, 0.008, 0.016, 0.024, 0.032, 0.048, 0.064, 0.128, 0.256, 1, 4}; // s
const std::vector<double> loadBounds = {0.1, 0.2, 0.3, 0.5, 1, 2, 5, 10};                                      // s
const std::vector<double> refusalBounds = {0.001, 0.005, 0.01, 0.025, 0.05, 0.1, 1, 10};                       // s
const std::vector<double> fillBounds = {0.125, 0.25, 0.375, 0.5, 0.625, 0.75, 0.875, 1};

Description byCustomerOf(std::string name, std::string help)
{
    return {std::move(name), std::move(help), byCustomer, Metrics::maxCustomers};
}

Description byEngineOf(std::string name, std::string help, std::vector<std::string> more = {})
{
    std::vector<std::string> labels = {"engine"};
    labels.insert(labels.end(), more.begin(), more.end());
    return {std::move(name), std::move(help), std::move(labels), Metrics::maxEngines};
}

} // namespace

Metrics::Metrics()
    : requests(registry.counter({"requests_total", "callers' requests by how they ended", {"plan", "outcome"}}))
    , inFlight(registry.gauge({"in_flight", "requests at once on this daemon", {"plan"}}))
    , refusals(registry.counter({"refusals_total", "errors given to callers, by reason and step", {"reason", "step"}}))
    , refusalDelay(registry.histogram({"refusal_delay_seconds", "from the request to its refusal", {"step"}}, refusalBounds))
    , loadStall(registry.histogram(byCustomerOf("load_stall_seconds", "wait for an adapter to become resident"), stallBounds))
    , queueWait(registry.histogram(byCustomerOf("queue_wait_seconds", "wait in an engine's queue"), queueBounds))
    , timeToFirstToken(registry.histogram(byCustomerOf("time_to_first_token_seconds", "from request to first token"), firstTokenBounds))
    , timeBetweenTokens(registry.histogram(byCustomerOf("time_between_tokens_seconds", "between tokens of one answer"), tokenBounds))
    , upstreamCalls(registry.counter({"upstream_calls_total", "calls of engines and services", {"kind", "result"}}))
    , retries(registry.counter({"retries_total", "tries after the first, and those the budget refused", {"result"}}))
    , badAnswers(registry.counter({"bad_answers_total", "upstream answers that failed their check", {"kind"}}))
    , resumes(registry.counter({"stream_resumes_total", "streams taken up again on their engine", {"result"}}))
    , batchFill(registry.histogram(byEngineOf("batch_fill_ratio", "running requests as a share of the engine's concurrency"), fillBounds))
    , engineRunning(registry.gauge(byEngineOf("engine_running", "requests running on an owned engine")))
    , engineQueue(registry.gauge(byEngineOf("engine_queue", "requests waiting for an owned engine")))
    , engineSlotsUsed(registry.gauge(byEngineOf("engine_slots_used", "adapter slots in use on an owned engine")))
    , loads(registry.counter(byEngineOf("adapter_loads_total", "load orders by their result", {"result"})))
    , loadTime(registry.histogram(byEngineOf("adapter_load_seconds", "time of one load"), loadBounds))
    , evictions(registry.counter(byEngineOf("adapter_evictions_total", "adapters evicted")))
    , listVersion(registry.gauge({"list_version", "offset of the list version in force", {"list"}}))
    , listSince(registry.gauge({"list_in_force_since_seconds", "unix time since when it is in force here", {"list"}}))
    , callerLimits(registry.counter({"caller_limits_total", "callers that ran into a limit of what they may make this daemon hold", {"part", "status"}, 32}))
    , listRejections(registry.counter({"list_rejections_total", "list records rejected", {"list"}, 4}))
    , ownedThings(registry.gauge({"owned", "things this daemon owns", {"kind"}}))
    , ownershipChanges(registry.counter({"ownership_changes_total", "claims made, released and lost", {"kind", "change"}}))
    , peers(registry.gauge({"peers", "daemons by their state in the membership", {"state"}}))
    , gossipBytes(registry.counter({"gossip_bytes_total", "bytes of membership messages, sent and received", {}}))
    , logCalls(registry.counter({"log_calls_total", "calls of the platform's log", {"call", "result"}}))
    , logUp(registry.gauge({"log_up", "1 while the last call of the platform's log succeeded", {}}))
    , atMostOnce(registry.counter({"at_most_once_total", "calls with an idempotency key, by what became of them", {"result"}}))
    , ready(registry.gauge({"ready", "1 while /readyz succeeds", {}}))
{ }

void Metrics::onRefusal(const core::Error &why)
{
    refusals.add({core::refusalName(why.refusal), core::stepName(why.step)});
}

std::vector<StatusLine> forStatus(const Metrics &metrics)
{
    const std::vector<std::pair<std::string, const Histogram *>> waits = {{"load_stall", &metrics.loadStall},
                                                                          {"queue_wait", &metrics.queueWait},
                                                                          {"time_to_first_token", &metrics.timeToFirstToken},
                                                                          {"time_between_tokens", &metrics.timeBetweenTokens}};
    std::vector<StatusLine> lines;
    for (const auto &[name, histogram] : waits) {
        lines.push_back({name, "all", histogram->summary()});
        for (const auto &[plan, summary] : histogram->summariesBy(planLabel)) {
            lines.push_back({name, plan, summary});
        }
    }
    lines.push_back({"batch_fill", "all", metrics.batchFill.summary()});
    return lines;
}

} // namespace baobabstall::metrics
