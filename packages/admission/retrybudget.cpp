#include <admission/retrybudget.h>

namespace baobabstall::admission {

bool RetryBudget::spend(int attemptsMade, Instant now)
{
    if (attemptsMade >= options_.maxAttempts || left(now) < 1) {
        return false;
    }
    retries_.add(now);
    return true;
}

double RetryBudget::left(Instant now) const
{
    return options_.budgetReserve + options_.budgetShare * successes_.value(now) - retries_.value(now);
}

} // namespace baobabstall::admission
