#include <engines/evictionpolicy.h>

#include <algorithm>
#include <cmath>
#include <numbers>
#include <vector>

namespace baobabstall::engines {

namespace {

constexpr double millisecondsPerSecond = 1'000;
constexpr double toleratedIntervals = 2; // mean request intervals without a request that do not reduce the value

} // namespace

DecayedFrequency::DecayedFrequency(Milliseconds halfLife)
    : halfLifeMs_(static_cast<double>(std::max<std::int64_t>(1, halfLife.count())))
{ }

void DecayedFrequency::used(const AdapterRef &adapter, double weight, Instant now)
{
    DecayedCount &count = counts_[adapter];
    const double factor = decayFactor(count, now);
    count.weight = count.weight * factor + weight;
    count.requests = count.requests * factor + 1;
    count.updatedAt = now;
    if (counts_.size() > maxTrackedAdapters) {
        dropColdestHalf(now);
    }
}

double DecayedFrequency::ratePerSecond(const AdapterRef &adapter, Instant now) const
{
    const auto found = counts_.find(adapter);
    if (found == counts_.end()) {
        return 0;
    }
    return perSecond(decayedWeight(found->second, now));
}

/// In a Poisson process, a gap of n mean intervals has probability exp(-n): the rate is scaled by it once requests are overdue.
double DecayedFrequency::value(const AdapterRef &adapter, Instant now) const
{
    const auto found = counts_.find(adapter);
    if (found == counts_.end()) {
        return 0;
    }
    const DecayedCount &count = found->second;
    const double secondsSinceRequest = static_cast<double>((now - count.updatedAt).count()) / millisecondsPerSecond;
    const double expectedRequests = perSecond(count.requests) * secondsSinceRequest;
    return perSecond(decayedWeight(count, now)) * std::exp(-std::max(0.0, expectedRequests - toleratedIntervals));
}

double DecayedFrequency::decayFactor(const DecayedCount &count, Instant now) const
{
    const auto age = static_cast<double>((now - count.updatedAt).count());
    return std::exp2(-std::max(0.0, age) / halfLifeMs_);
}

double DecayedFrequency::perSecond(double count) const
{
    const double meanLifeSeconds = halfLifeMs_ / std::numbers::ln2 / millisecondsPerSecond;
    return count / meanLifeSeconds;
}

void DecayedFrequency::dropColdestHalf(Instant now)
{
    std::vector<double> weights;
    weights.reserve(counts_.size());
    for (const auto &[adapter, count] : counts_) {
        weights.push_back(decayedWeight(count, now));
    }
    const auto median = weights.begin() + static_cast<std::ptrdiff_t>(weights.size() / 2);
    std::nth_element(weights.begin(), median, weights.end());
    const double medianWeight = *median;
    std::erase_if(counts_, [&](const auto &entry) { return decayedWeight(entry.second, now) <= medianWeight; });
}

} // namespace baobabstall::engines
