#include <admission/retrybudget.h>

#include <algorithm>

namespace baobabstall::admission {

bool RetryBudget::spend(int attemptsMade, Instant now)
{
    if (attemptsMade >= options_.maxAttempts) {
        return false;
    }
    if (earnedRemaining(now) >= 1) {
        earnedSpent_.add(now);
        return true;
    }
    if (reserveRemaining(now) >= 1) {
        reserveSpent_.add(now);
        return true;
    }
    return false;
}

double RetryBudget::available(Instant now) const
{
    return std::max(0.0, earnedRemaining(now)) + std::max(0.0, reserveRemaining(now));
}

} // namespace baobabstall::admission
