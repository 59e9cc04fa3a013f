#include <admission/retrybudget.h>

#include <algorithm>

namespace baobabstall::admission {

bool RetryBudget::spend(int attemptsMade, Instant now)
{
    if (attemptsMade >= options_.maxAttempts) {
        return false;
    }
    if (earned(now) >= 1) {
        paid_.add(now);
        return true;
    }
    if (reserve(now) >= 1) {
        reserved_.add(now);
        return true;
    }
    return false;
}

double RetryBudget::left(Instant now) const
{
    return std::max(0.0, earned(now)) + std::max(0.0, reserve(now));
}

} // namespace baobabstall::admission
