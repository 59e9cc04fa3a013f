// engines/evictionpolicy.h: ranks resident adapters for eviction. Computes values only; the engine table tracks which adapters are pinned.
//
// Index
//   EvictionPolicyLike   the interface that an engine table requires of a policy
//   DecayedFrequency     the policy in use: exponentially decayed request rate
//
// Plain LRU evicts a hot adapter after requests for as many cold ones as there are slots, so a scan over the long tail flushes it.
// A decayed rate takes many requests to rise and a half-life to fall: one request for a cold adapter can't displace a hot one.
// When popularity shifts, a half-life is too slow: an adapter that has had no request for much longer than its own rate explains
// loses its value immediately.
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
    policy.used(adapter, 1.0, now); // records a request of this weight for the adapter
    {
        constPolicy.ratePerSecond(adapter, now)
        } -> std::same_as<double>; // expected weighted requests: the cost of an eviction
    {
        constPolicy.value(adapter, now)
        } -> std::same_as<double>; // the lowest is evicted first
};

class DecayedFrequency
{
public:
    explicit DecayedFrequency(Milliseconds halfLife); // time after which a request counts half

    void used(const AdapterRef &adapter, double weight, Instant now);
    [[nodiscard]] double ratePerSecond(const AdapterRef &adapter, Instant now) const; // 0 for an unknown adapter
    [[nodiscard]] double value(const AdapterRef &adapter, Instant now) const;         // the rate, reduced when requests are overdue
    [[nodiscard]] std::size_t size() const { return counts_.size(); }

    static constexpr std::size_t maxTrackedAdapters = 4'096; // resident or not; above it, the half with the lowest rates is dropped

private:
    struct DecayedCount {
        double weight = 0;   // decayed to `updatedAt`
        double requests = 0; // the same, unweighted
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
