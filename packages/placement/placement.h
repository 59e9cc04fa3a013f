// placement/placement.h: on which replicas an adapter belongs, and which of them takes a request. No I/O and no clock.
//
// Index
//   Replica, Replicas     the model replicas of a region, and the candidates of an adapter among them
//   WidthUpdate, Widths   how many replicas a hot adapter has; the one thing here that spreads among daemons
//   Weights, Profile      what counts how much when a candidate is chosen
//   Placement             all of it for an entry daemon
//
// Candidates are computed by rendezvous hashing, so daemons with the same replica list agree without a message. Replicas
// that are leaving, or whose owner is suspect, are left out; the next in the order takes their place.
//
//   const auto candidates = placement.candidates(adapter, model, now);
//   ... ask the owners of candidates for hints ...
//   const auto choice = placement.choose(hinted, now);
#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <span>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include <core/types.h>
#include <engines/hint.h>
#include <settings/settings.h>

namespace baobabstall::placement {

using core::AdapterRef;
using core::BaseModel;
using core::Instant;
using core::Milliseconds;
using core::UpstreamId;
using core::ZoneId;

constexpr int maxAdapterWidth = 16; // most candidates of one adapter, whatever the settings say

struct Replica {
    UpstreamId id;
    BaseModel model;
    ZoneId zone;
};

/// Candidates in order of preference; valid until the next change of the replicas.
class CandidateList
{
public:
    void add(const Replica &replica) { items_[size_++] = &replica; }
    [[nodiscard]] std::size_t size() const { return size_; }
    [[nodiscard]] bool empty() const { return size_ == 0; }
    [[nodiscard]] const Replica &operator[](std::size_t index) const { return *items_[index]; }
    [[nodiscard]] auto begin() const { return items_.begin(); }
    [[nodiscard]] auto end() const { return items_.begin() + size_; } // pointers to replicas

private:
    std::array<const Replica *, maxAdapterWidth> items_{};
    std::size_t size_ = 0;
};

class Replicas
{
public:
    void assign(std::vector<Replica> replicas);              // the whole list; a replica new to it is available
    void setAvailable(const UpstreamId &id, bool available); // false: leaving, or its owner is suspect or unknown
    [[nodiscard]] bool isAvailable(const UpstreamId &id) const;
    [[nodiscard]] std::size_t size() const { return replicas_.size(); }

    /// The best `width` available replicas by rendezvous weight, each zone's best before any zone's second.
    [[nodiscard]] CandidateList candidates(const AdapterRef &adapter, const BaseModel &model, int width) const;

private:
    struct Entry {
        std::uint64_t hash = 0;
        std::uint32_t replica = 0;
    };
    struct ZoneGroup {
        ZoneId zone;
        std::vector<Entry> entries;
    };

    void rebuild();

    std::vector<Replica> replicas_;
    std::unordered_set<UpstreamId> unavailable_;
    std::unordered_map<BaseModel, std::vector<ZoneGroup>> zonesByModel_; // available replicas only
};

/// Sent to every daemon of the region by the owner of the adapter's first candidate; refreshed while it holds.
struct WidthUpdate {
    AdapterRef adapter;
    int width = 0;
    Milliseconds validFor; // then the adapter is as wide as any other
};

/// Widths of hot adapters, and the measure behind them: how many requests of an adapter run at once on its first candidate.
class Widths
{
public:
    Widths(const settings::Placement &settings, int engineConcurrency);

    /// A request of `adapter` took `runTime` on an engine of ours that is the adapter's first candidate.
    std::optional<WidthUpdate> onRequestFinished(const AdapterRef &adapter, Milliseconds runTime, Instant now);
    void apply(const WidthUpdate &update, Instant now); // from a peer, or our own
    [[nodiscard]] int width(const AdapterRef &adapter, Instant now) const;
    [[nodiscard]] std::size_t size() const { return activeWidths_.size() + measured_.size(); }

private:
    struct ActiveWidth {
        int width = 0;
        Instant expiresAt;
    };
    struct MeasuredConcurrency {
        double decayedRunMs = 0; // decayed to `at`
        Instant updatedAt;
        Instant announcedAt;
    };

    [[nodiscard]] double concurrency(const MeasuredConcurrency &busy, Instant now) const;
    void removeIdle(Instant now);

    settings::Placement settings_;
    int engineConcurrency_;
    double timeConstantMs_;
    std::unordered_map<AdapterRef, ActiveWidth> activeWidths_;
    std::unordered_map<AdapterRef, MeasuredConcurrency> measured_;
};

/// What a candidate costs, in milliseconds of expected wait.
struct CostWeights {
    double load = 0;      // a load that this request would cause, beside the wait for it: the store's rate is scarce
    double fullBatch = 0; // a full batch against an empty one; negative: fuller is better
    double rank = 0;      // each place further down the order: keeps an adapter where it is likely resident
};

[[nodiscard]] std::optional<CostWeights> weightsOfProfile(std::string_view profile); // "stalls" or "batches"

struct HintedCandidate {
    const Replica *replica = nullptr;
    std::optional<engines::Hint> hint; // none: the owner did not answer in time
};

struct Choice {
    const Replica *replica = nullptr;
    Milliseconds expectedWait;
    std::vector<const Replica *> prefetch; // candidates that lack the adapter though it is hot: wake them
};

class Placement
{
public:
    Placement(const settings::Placement &settings, int engineConcurrency);

    [[nodiscard]] Replicas &replicas() { return replicas_; }
    [[nodiscard]] Widths &widths() { return widths_; }

    [[nodiscard]] CandidateList candidates(const AdapterRef &adapter, const BaseModel &model, Instant now) const;
    /// The cheapest candidate that accepts; nothing when none does. `width`: of the adapter, 0 for no load ahead.
    [[nodiscard]] std::optional<Choice> choose(std::span<const HintedCandidate> candidates, bool isHot) const;
    [[nodiscard]] bool isHot(const AdapterRef &adapter, Instant now) const; // wider than a cold adapter

private:
    [[nodiscard]] double cost(const engines::Hint &hint, std::size_t rank) const;

    settings::Placement settings_;
    CostWeights weights_;
    Replicas replicas_;
    Widths widths_;
};

} // namespace baobabstall::placement
