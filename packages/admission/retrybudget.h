// admission/retrybudget.h: limits the retries of a daemon, so that they can't build up into a retry storm.
//
//   RetryBudget budget(settings.retries);
//   budget.onSuccess(now);                                  // each successful attempt, retry or not
//   if (budget.spend(attemptsMade, now)) { retryElsewhere(); } // false: return the error to the caller at once
//
// Recent successes earn retries: with share 0.1, ten successes allow one retry. When upstreams fail, no more retries are
// earned, so attempts per request stay below 1 + share, plus a reserve that lets a daemon with little traffic
// retry at all. The budget does not decide whether a request is safe to repeat; the caller checks that first.
#pragma once

#include <admission/rates.h>
#include <settings/settings.h>

namespace baobabstall::admission {

/// One per daemon, for all its requests. Not thread-safe.
class RetryBudget
{
public:
    static constexpr Milliseconds halfLife{10'000};        // of successes and of the retries they earned
    static constexpr Milliseconds reserveHalfLife{60'000}; // of retries from the reserve: half of the reserve is restored after this time

    explicit RetryBudget(const settings::Retries &options)
        : options_(options)
    { }

    void onSuccess(Instant now) { successes_.add(now); }
    /// Takes one retry from the budget. `attemptsMade` counts the attempts of this request so far, the first included.
    [[nodiscard]] bool spend(int attemptsMade, Instant now);
    [[nodiscard]] double available(Instant now) const; // retries allowed now by recent successes and the reserve

private:
    [[nodiscard]] double earnedRemaining(Instant now) const { return options_.budgetShare * successes_.value(now) - earnedSpent_.value(now); }
    [[nodiscard]] double reserveRemaining(Instant now) const { return options_.budgetReserve - reserveSpent_.value(now); }

    settings::Retries options_;
    DecayingCount successes_{halfLife};
    DecayingCount earnedSpent_{halfLife};         // retries earned by successes
    DecayingCount reserveSpent_{reserveHalfLife}; // retries from the reserve
};

} // namespace baobabstall::admission
