// admission/planlimiter.h: limits the concurrent requests of each plan and each customer on one entry daemon.
//
// Index
//   PlanLimit        a plan's limits, from the lists
//   PlanSlot         an admitted request; pass it to release()
//   PlanLimiter      acquire() and release()
//
//   auto slot = limiter.acquire(plan, customer, now, why);
//   if (!slot) { refuse(why); return; } // 429 or 503 with Retry-After; final
//   ...
//   limiter.release(*slot, now);
//
// Rules, cheapest first:
//   1. A customer has at most its plan's max_in_flight requests.
//   2. A daemon has at most maxInFlight requests.
//   3. Up to its share of maxInFlight, a plan's requests are admitted.
//   4. Beyond it, up to planBurst times its share, they are admitted while capacity is left: the part of their shares that
//      other plans used recently stays reserved for them, and so does a small part for idle plans that become active.
//
// Limits. Each daemon counts its own requests only; daemons exchange no counts. The load balancer spreads callers, so the sum
// over daemons follows the shares. A caller that reaches only one daemon gets only that daemon's part. Customers of one plan
// share its slots without fairness among themselves beyond max_in_flight.
#pragma once

#include <map>
#include <optional>
#include <unordered_map>

#include <admission/rates.h>
#include <core/error.h>
#include <settings/settings.h>

namespace baobabstall::admission {

/// A plan's limits, from the lists.
struct PlanLimit {
    double share = 1;    // relative to other plans; above 0
    int maxInFlight = 0; // concurrent requests of one customer on this daemon; 0: limited by shares only
};

/// One admitted request.
struct PlanSlot {
    core::PlanId plan;
    core::CustomerId customer;
    Instant acquiredAt;
};

/// Decides by plan whether a request may start. acquire() takes O(log plans) within a share, O(plans) beyond. Not thread-safe.
class PlanLimiter
{
public:
    static constexpr Milliseconds peakHalfLife{10'000}; // of the recent use that keeps slots reserved for a plan

    explicit PlanLimiter(const settings::Admission &options);

    /// The plans of the list in force. Requests in flight stay counted, also those of plans no longer listed.
    void setPlans(const std::map<core::PlanId, PlanLimit> &plans);

    /// Admits a request, or fills `why`: step Limit, TooMany for a customer or plan over its limits, Unavailable for a full daemon.
    [[nodiscard]] std::optional<PlanSlot> acquire(const core::PlanId &plan, const core::CustomerId &customer, Instant now, core::Error &why);
    void release(const PlanSlot &slot, Instant now);

    [[nodiscard]] int inFlight() const { return inFlight_; }
    [[nodiscard]] int inFlight(const core::PlanId &plan) const;
    [[nodiscard]] int inFlight(const core::CustomerId &customer) const;
    [[nodiscard]] double guaranteedSlots(const core::PlanId &plan) const; // slots that its share guarantees
    [[nodiscard]] double burstSlots(const core::PlanId &plan) const;      // most slots, with planBurst

private:
    struct PlanState {
        PlanLimit limit;
        bool listed = false;
        int inFlight = 0;
        DecayingCount recentPeak{peakHalfLife}; // decaying maximum of concurrent requests
        DrainRate drainRate{1, Milliseconds(1'000)};
        RetryScheduler retryScheduler;
    };

    [[nodiscard]] double guaranteedSlots(const PlanState &plan) const;
    [[nodiscard]] double burstSlots(const PlanState &plan) const;
    [[nodiscard]] double reservedForOthers(const PlanState &except, Instant now) const;
    [[nodiscard]] bool hasCapacity(const PlanState &plan, const core::CustomerId &customer, Instant now, core::Error &why) const;
    PlanSlot grantSlot(const core::PlanId &id, PlanState &plan, const core::CustomerId &customer, Instant now);
    void releaseCustomer(const core::CustomerId &customer);
    [[nodiscard]] static Milliseconds retryAfter(PlanState &plan, Instant now);

    settings::Admission options_;
    double totalShare_ = 0;
    int inFlight_ = 0;
    std::map<core::PlanId, PlanState> plans_;
    std::unordered_map<core::CustomerId, int> customerInFlight_; // requests in flight; customers without any are not listed
};

} // namespace baobabstall::admission
