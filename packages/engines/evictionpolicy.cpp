#include <engines/evictionpolicy.h>

#include <algorithm>
#include <cmath>
#include <numbers>
#include <vector>

namespace baobabstall::engines {

namespace {

constexpr double millisecondsPerSecond = 1'000;

} // namespace

DecayedFrequency::DecayedFrequency(Milliseconds halfLife)
    : halfLifeMs_(static_cast<double>(std::max<std::int64_t>(1, halfLife.count())))
{ }

void DecayedFrequency::used(const AdapterRef &adapter, double weight, Instant now)
{
    Count &count = counts_[adapter];
    count.weight = decayed(count, now) + weight;
    count.at = now;
    if (counts_.size() > maxAdapters) {
        forgetColdest(now);
    }
}

double DecayedFrequency::ratePerSecond(const AdapterRef &adapter, Instant now) const
{
    const auto found = counts_.find(adapter);
    if (found == counts_.end()) {
        return 0;
    }
    const double meanLifeSeconds = halfLifeMs_ / std::numbers::ln2 / millisecondsPerSecond;
    return decayed(found->second, now) / meanLifeSeconds;
}

double DecayedFrequency::decayed(const Count &count, Instant now) const
{
    const auto age = static_cast<double>((now - count.at).count());
    return count.weight * std::exp2(-std::max(0.0, age) / halfLifeMs_);
}

void DecayedFrequency::forgetColdest(Instant now)
{
    std::vector<double> weights;
    weights.reserve(counts_.size());
    for (const auto &[adapter, count] : counts_) {
        weights.push_back(decayed(count, now));
    }
    const auto middle = weights.begin() + static_cast<std::ptrdiff_t>(weights.size() / 2);
    std::nth_element(weights.begin(), middle, weights.end());
    const double least = *middle;
    std::erase_if(counts_, [&](const auto &entry) { return decayed(entry.second, now) <= least; });
}

} // namespace baobabstall::engines
