// admission/retrybudget.h: how many tries after the first a daemon may make, so that retries can't build up into a storm.
//
//   RetryBudget budget(settings.retries);
//   budget.onSuccess(now);                                  // each first or later try that succeeded
//   if (budget.spend(attemptsMade, now)) { tryElsewhere(); } // false: give the caller the error at once
//
// Retries are paid by recent successes: with share 0.1, ten successes allow one retry. When upstreams fail the successes
// that pay for retries cease, so attempts for each request stay below 1 + share, plus a reserve that lets a daemon with
// little traffic retry at all. The budget says nothing about whether a request may be repeated; that is decided before.
#pragma once

#include <admission/rates.h>
#include <settings/settings.h>

namespace baobabstall::admission {

/// One for each daemon, across all its requests. Not thread-safe.
class RetryBudget
{
public:
    static constexpr Milliseconds halfLife{10'000};        // of successes and of the retries they paid for
    static constexpr Milliseconds reserveHalfLife{60'000}; // of retries from the reserve: so long until half of it is back

    explicit RetryBudget(const settings::Retries &options)
        : options_(options)
    { }

    void onSuccess(Instant now) { successes_.add(now); }
    /// Takes one retry from the budget. `attemptsMade` counts the tries of this request so far, the first included.
    [[nodiscard]] bool spend(int attemptsMade, Instant now);
    [[nodiscard]] double available(Instant now) const; // retries that recent successes and the reserve allow now

private:
    [[nodiscard]] double earnedRemaining(Instant now) const { return options_.budgetShare * successes_.value(now) - earnedSpent_.value(now); }
    [[nodiscard]] double reserveRemaining(Instant now) const { return options_.budgetReserve - reserveSpent_.value(now); }

    settings::Retries options_;
    DecayingCount successes_{halfLife};
    DecayingCount earnedSpent_{halfLife};         // retries paid by successes
    DecayingCount reserveSpent_{reserveHalfLife}; // retries from the reserve
};

} // namespace baobabstall::admission
