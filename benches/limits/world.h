// limits/world.h: daemons and engines on virtual time, just enough of them to drive the classes of the admission package.
//
// Daemons hold the real PlanLimiter and RetryBudget, each engine's owner the real EngineTable. An engine is a number of
// requests at once and a random time of service. Arrivals are Poisson; nothing depends on the machine's clock.
#pragma once

#include <map>
#include <vector>

#include <core/types.h>
#include <settings/settings.h>

namespace baobabstall::limits {

using core::Milliseconds;

/// What the callers of one plan send.
struct PlanLoad {
    core::PlanId plan;
    double share = 1;
    double perSecond = 0;
};

/// What callers do with a refusal.
enum class Callers { GiveUp, ReturnAsTold, ReturnEverySecond };

struct World {
    int daemons = 8;
    int engines = 9;
    double failing = 0;            // share of engines that answer every request with an error
    Milliseconds service{2'000};   // mean of an answer
    Milliseconds deadline{10'000}; // of callers; what ends later is worth nothing
    Milliseconds hop{2};           // between daemons, one way
    Milliseconds errorAfter{20};   // a failing engine's answer
    Milliseconds warmUp{30'000};   // not counted
    Milliseconds counted{120'000};
    Milliseconds burst{0}; // from the end of the warm-up, callers send burstFactor times as much
    double burstFactor = 1;
    settings::Admission admission;
    settings::Retries retries;
    settings::Loads loads;
    bool limitsPlans = true;  // at the daemons; off: all are let in
    bool queuesFairly = true; // and refuses early at the engines' owners; off: one unbounded first-in-first-out queue for each engine
    bool budgeted = true;     // off: retries up to maxAttempts
    Callers callers = Callers::GiveUp;
    unsigned seed = 1;

    [[nodiscard]] double capacityPerSecond() const; // requests all sound engines can finish
};

/// Counts of one plan, of requests that arrived in the counted time.
struct Tally {
    int requests = 0; // of callers
    int calls = 0;    // the same with returns after a refusal
    int attempts = 0; // at upstreams
    int good = 0;     // whole answers in time
    int late = 0;     // answers after the deadline
    int refused = 0;
    int refusedWithRetryAfter = 0;
    int expired = 0; // found past the deadline when they came to their turn
    int failed = 0;

    Tally &operator+=(const Tally &other);
};

struct Result {
    std::map<core::PlanId, Tally> plans;
    Milliseconds longestRefusal;              // from the decision point to the caller's refusal
    std::vector<Milliseconds> waitsOfRefused; // time in the queue of what was refused after it had been taken in
    double seconds = 0;                       // counted

    [[nodiscard]] Tally total() const;
    [[nodiscard]] double goodPerSecond() const { return total().good / seconds; }
};

[[nodiscard]] Result run(const World &world, const std::vector<PlanLoad> &loads);

} // namespace baobabstall::limits
