// placement/placement.h: chooses the replicas that an adapter is loaded on and the one that serves a request. No I/O and no clock.
//
// Index
//   Replica, Replicas     the model replicas of a region, and the candidates of an adapter among them
//   WidthUpdate, Widths   width of an adapter: its number of candidates; the only state here that daemons exchange
//   CostWeights           weights of the cost by which a candidate is chosen, by profile
//   Placement             all of these for an entry daemon
//
// Candidates are computed by rendezvous hashing, so daemons with the same replica list agree without messages. Replicas
// that are leaving or whose owner is suspect are skipped; the next in the order replace them.
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

constexpr int maxAdapterWidth = 16; // upper limit of an adapter's candidates, above the settings

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
    void assign(std::vector<Replica> replicas);              // the complete list; a new replica is available
    void setAvailable(const UpstreamId &id, bool available); // false: leaving, or its owner is suspect or unknown
    [[nodiscard]] bool isAvailable(const UpstreamId &id) const;
    [[nodiscard]] std::size_t size() const { return replicas_.size(); }

    /// The top `width` available replicas by rendezvous weight; the best of each zone come before the second best of any zone.
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

/// Sent to all daemons of the region by the owner of the adapter's first candidate, and again periodically while it applies.
struct WidthUpdate {
    AdapterRef adapter;
    int width = 0;
    Milliseconds validFor; // the adapter then returns to the default width
};

/// Widths of hot adapters, and the measured concurrency that they follow: the requests of an adapter that run at once on its first candidate.
class Widths
{
public:
    Widths(const settings::Placement &settings, int engineConcurrency);

    /// A request of `adapter` took `runTime` on an engine owned by this daemon that is the adapter's first candidate. Returns the update to be sent, if any.
    std::optional<WidthUpdate> onRequestFinished(const AdapterRef &adapter, Milliseconds runTime, Instant now);
    void apply(const WidthUpdate &update, Instant now); // from a peer, or from onRequestFinished()
    [[nodiscard]] int width(const AdapterRef &adapter, Instant now) const;
    [[nodiscard]] std::size_t size() const { return activeWidths_.size() + measured_.size(); }

private:
    struct ActiveWidth {
        int width = 0;
        Instant expiresAt;
    };
    struct MeasuredConcurrency {
        double decayedRunMs = 0; // decayed to `updatedAt`
        Instant updatedAt;
        Instant announcedAt;
    };

    [[nodiscard]] double concurrency(const MeasuredConcurrency &measurement, Instant now) const;
    void removeIdle(Instant now);

    settings::Placement settings_;
    int engineConcurrency_;
    double timeConstantMs_;
    std::unordered_map<AdapterRef, ActiveWidth> activeWidths_;
    std::unordered_map<AdapterRef, MeasuredConcurrency> measured_;
};

/// Weights of a candidate's cost, in milliseconds of expected wait.
struct CostWeights {
    double load = 0;      // added when this request would cause an adapter load, beside the wait for it: the store's load rate is limited
    double fullBatch = 0; // multiplied by the batch fill, 0 to 1; negative: prefers fuller batches
    double rank = 0;      // per position in the candidate order: keeps requests where the adapter is likely resident
};

[[nodiscard]] std::optional<CostWeights> weightsOfProfile(std::string_view profile); // "stalls" or "batches"

struct HintedCandidate {
    const Replica *replica = nullptr;
    std::optional<engines::Hint> hint; // none: the owner did not answer in time
};

struct Choice {
    const Replica *replica = nullptr;
    Milliseconds expectedWait;
    std::vector<const Replica *> prefetch; // candidates without the hot adapter, to load it ahead of requests
};

class Placement
{
public:
    Placement(const settings::Placement &settings, int engineConcurrency);

    [[nodiscard]] Replicas &replicas() { return replicas_; }
    [[nodiscard]] Widths &widths() { return widths_; }

    [[nodiscard]] CandidateList candidates(const AdapterRef &adapter, const BaseModel &model, Instant now) const;
    /// The accepting candidate with the lowest cost; nullopt when none accepts. `isHot`: also fills Choice::prefetch.
    [[nodiscard]] std::optional<Choice> choose(std::span<const HintedCandidate> candidates, bool isHot) const;
    [[nodiscard]] bool isHot(const AdapterRef &adapter, Instant now) const; // wider than the default

private:
    [[nodiscard]] double cost(const engines::Hint &hint, std::size_t rank) const;

    settings::Placement settings_;
    CostWeights weights_;
    Replicas replicas_;
    Widths widths_;
};

} // namespace baobabstall::placement
