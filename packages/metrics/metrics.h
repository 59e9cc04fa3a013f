// metrics/metrics.h: every metric of a daemon in one place, in the order of a request's way.
//
// Index
//   RequestLabels    whose request it is
//   Metrics          the families; use them directly
//   forStatus()      what `baobabstall status` shows of them
//
//   Metrics metrics;
//   metrics.queueWait.observe({customer, plan}, waited);
//   metrics.onRefusal(why);
//
// Customers. Histograms by customer have at most Metrics::maxCustomers customers of their own on one daemon, first come first
// served; the rest are counted as customer "other" under their plan. So sums by plan are always whole, and a customer's own
// series may be missing on some daemons once there are more customers than that.
#pragma once

#include <string>
#include <utility>
#include <vector>

#include <core/error.h>
#include <metrics/registry.h>

namespace baobabstall::metrics {

/// All metrics of one daemon. Not thread-safe.
struct Metrics {
    static constexpr std::size_t maxCustomers = 256;
    static constexpr std::size_t maxEngines = 256; // that one daemon reports on; owned now or before

    Metrics();

    Registry registry; // its text() is the body of /metrics

    // Callers. Labels: plan, outcome ("ok", "refused", "failed", "cancelled").
    Counter &requests;
    Gauge &inFlight;         // plan
    Counter &refusals;       // reason, step: every request that got an error instead of an answer
    Histogram &refusalDelay; // step: from the request to its refusal

    // Waits, all by customer and plan.
    Histogram &loadStall;         // until the adapter was resident; requests that found it resident are not counted
    Histogram &queueWait;         // in the engine's queue, without the load
    Histogram &timeToFirstToken;  // from the caller's request to the first token sent to it
    Histogram &timeBetweenTokens; // between later tokens

    // Upstreams.
    Counter &upstreamCalls; // kind ("engine", "service"), result ("ok", "failed", "timeout")
    Counter &retries;       // result: "made", "refused_by_budget"
    Counter &badAnswers;    // kind ("stream", "whole"): answers that failed their check
    Counter &resumes;       // result: "resumed", "lost"

    // Owned engines, by engine.
    Histogram &batchFill; // running requests as a share of the engine's concurrency, at each start of a request
    Gauge &engineRunning;
    Gauge &engineQueue; // waiting requests
    Gauge &engineSlotsUsed;
    Counter &loads;      // engine, result ("loaded", "failed", "stale", "timeout")
    Histogram &loadTime; // engine
    Counter &evictions;  // engine

    // Control.
    Gauge &listVersion;        // list ("customers", "plans"): offset of the version in force
    Gauge &listSince;          // list: unix time since when it is in force here
    Counter &callerLimits;     // part, status
    Counter &listRejections;   // list ("customers", "plans", "unreadable"); the reason is in the log
    Gauge &ownedThings;        // kind ("engine", "calls", "loads")
    Counter &ownershipChanges; // kind, change ("claimed", "released", "superseded")
    Gauge &peers;              // state ("alive", "suspect", "dead")
    Counter &gossipBytes;      // of membership messages, sent and received
    Counter &logCalls;         // call ("append", "read"), result ("ok", "refused", "unknown"); of reads only outages, as "unavailable"
    Gauge &logUp;              // 1 while the last call of the platform's log succeeded
    Counter &atMostOnce;       // result ("ran", "repeated", "unknown", "refused")
    Gauge &ready;              // 1 while /readyz succeeds

    /// Counts a refusal under its reason and step.
    void onRefusal(const core::Error &why);
};

/// One line of `baobabstall status`: a wait of one plan, or of all.
struct StatusLine {
    std::string metric; // "load_stall", "queue_wait", "time_to_first_token", "time_between_tokens", "batch_fill"
    std::string plan;   // "all" for all plans together
    Summary summary;
};

[[nodiscard]] std::vector<StatusLine> forStatus(const Metrics &metrics);

} // namespace baobabstall::metrics
