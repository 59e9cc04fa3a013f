#include <admission/usualrates.h>

#include <algorithm>
#include <cmath>
#include <numbers>

namespace baobabstall::admission {

namespace {

constexpr double leastRecent = 0.01; // of an amount of 1; less is nothing

/// A steady rate of one in a millisecond shows this value.
double spanOf(Milliseconds halfLife)
{
    return static_cast<double>(halfLife.count()) / std::numbers::ln2;
}

} // namespace

void UsualRates::take(const core::WorkspaceId &workspace, Instant now, double amount)
{
    if (workspace.empty()) {
        return;
    }
    since_ = since_.value_or(now);
    if (!rates_.contains(workspace) && rates_.size() >= maxWorkspaces && !makeRoom(now)) {
        return;
    }
    auto &rates = rates_[workspace];
    rates.events.add(now);
    rates.recent.add(now, amount);
    rates.lasting.add(now, amount);
    const bool isDamped = isSettled(now) && multiple(rates, equalShare(now), now) > dampedFactor;
    rates.usual.add(now, isDamped ? amount * dampedWeight : amount);
}

std::set<core::WorkspaceId> UsualRates::above(Instant now) const
{
    std::set<core::WorkspaceId> found;
    if (!isSettled(now)) {
        return found;
    }
    const double share = equalShare(now);
    for (const auto &[workspace, rates] : rates_) {
        if (rates.events.value(now) >= minEvents && multiple(rates, share, now) > usualFactor) {
            found.insert(workspace);
        }
    }
    return found;
}

/// In a millisecond.
double UsualRates::equalShare(Instant now) const
{
    double total = 0;
    int taking = 0;
    for (const auto &[workspace, rates] : rates_) {
        const double recent = rates.recent.value(now);
        total += recent;
        taking += recent >= leastRecent ? 1 : 0;
    }
    return taking == 0 ? 0 : total / spanOf(recentHalfLife) / taking;
}

double UsualRates::multiple(const Rates &rates, double equalShare, Instant now) const
{
    const auto age = static_cast<double>((now - *since_).count());
    const double counted = 1 - std::exp2(-age / static_cast<double>(usualHalfLife.count())); // of a steady rate, so far
    const double usual = rates.usual.value(now) / spanOf(usualHalfLife) / counted;
    const double lasting = rates.lasting.value(now) / spanOf(lastingHalfLife);
    return rates.recent.value(now) / spanOf(recentHalfLife) / std::max({usual, lasting, equalShare * equalShareFactor});
}

bool UsualRates::makeRoom(Instant now)
{
    std::erase_if(rates_, [now](const auto &each) { return each.second.recent.value(now) < leastRecent; });
    return rates_.size() < maxWorkspaces;
}

} // namespace baobabstall::admission
