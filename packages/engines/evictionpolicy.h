// engines/evictionpolicy.h: which resident adapter is worth least. Decides value only; pins are the engine table's job.
//
// Index
//   EvictionPolicyLike   what an engine table asks of a policy
//   DecayedFrequency     the policy in use: request rate with a half life
//
// Plain LRU forgets a hot adapter after as many cold ones as there are slots, so a scan by the long tail washes it out.
// A decayed rate needs many requests to rise and a half life to fall: one cold request can't displace a hot adapter.
// When popularity shifts, a half life is too long: an adapter that has been silent for much longer than its own rate explains
// loses its value at once.
#pragma once

#include <concepts>
#include <cstddef>
#include <unordered_map>

#include <core/types.h>

namespace baobabstall::engines {

using core::AdapterRef;
using core::Instant;
using core::Milliseconds;

template<typename Policy>
concept EvictionPolicyLike = requires(Policy policy, const Policy &constPolicy, const AdapterRef &adapter, Instant now)
{
    policy.used(adapter, 1.0, now); // a request of this weight named the adapter
    {
        constPolicy.ratePerSecond(adapter, now)
        } -> std::same_as<double>; // expected weighted requests; what an eviction costs
    {
        constPolicy.value(adapter, now)
        } -> std::same_as<double>; // the lowest goes first
};

class DecayedFrequency
{
public:
    explicit DecayedFrequency(Milliseconds halfLife); // a burst counts half after this time

    void used(const AdapterRef &adapter, double weight, Instant now);
    [[nodiscard]] double ratePerSecond(const AdapterRef &adapter, Instant now) const; // 0 for an adapter never seen
    [[nodiscard]] double value(const AdapterRef &adapter, Instant now) const;         // the rate, less when silent for too long
    [[nodiscard]] std::size_t size() const { return counts_.size(); }

    static constexpr std::size_t maxTrackedAdapters = 4'096; // remembered, resident or not; over it the coldest half is forgotten

private:
    struct DecayedCount {
        double weight = 0;   // decayed to `at`
        double requests = 0; // the same without weights
        Instant updatedAt;
    };

    [[nodiscard]] double decayFactor(const DecayedCount &count, Instant now) const;
    [[nodiscard]] double decayedWeight(const DecayedCount &count, Instant now) const { return count.weight * decayFactor(count, now); }
    [[nodiscard]] double perSecond(double count) const;
    void dropColdestHalf(Instant now);

    double halfLifeMs_;
    std::unordered_map<AdapterRef, DecayedCount> counts_;
};

static_assert(EvictionPolicyLike<DecayedFrequency>);

} // namespace baobabstall::engines
