// serving/chooser.h: chooses the upstream that a request is sent to. No I/O.
//
// Index
//   SendOutcome      how a send ended, as far as it says something about the upstream
//   ChooserOptions   costs and times
//   Candidate        an upstream that could take the request
//   PickRequest      the candidates, affinity key and zone of one request
//   Chooser          pick(); beginSend(), endSend(), setRemoteOccupancy()
//
//   Chooser chooser(options, seed);
//   const Candidate *best = chooser.pick(request, now); // null when there is no candidate
//   chooser.beginSend(best->replica->id); ... chooser.endSend(best->replica->id, SendOutcome::Succeeded, now);
//
// Plain services: the upstream with the fewest running requests per slot. Model replicas: rendezvous hashing gives each adapter a
// stable order of preferred upstreams. The first one is used while it has capacity, so adapters stay where they are loaded and only
// hot ones spread. The occupancy reported by other hosts is several reports old. For hot adapters the choice is therefore drawn
// at random from the choices that all hosts together make in that time; otherwise all hosts would pick the upstream that was last
// reported free. Costs are in milliseconds of expected wait, so that different criteria can be compared.
#pragma once

#include <functional>
#include <random>
#include <span>
#include <unordered_map>
#include <vector>

#include <admission/rates.h>
#include <serving/model.h>

namespace baobabstall::serving {

enum class SendOutcome : std::uint8_t {
    Succeeded, // a valid response
    Failed,    // the upstream failed: an error status, a truncated or corrupt response
    NoAnswer,  // no response in time, or no connection
    Full,      // not run: no capacity
    NotRun,    // not run for another reason; says nothing about the upstream's health
    Abandoned, // the caller disconnected or its time ran out
};

struct ChooserOptions {
    std::size_t minPreferred = 8; // upstreams considered for one adapter, at least; each takes an adapter slot there
    // An eighth of all upstreams if that is more: the hottest adapter gets 1/20 of the requests (1,855 of 36,073 in swellcast-kgn-grown scale-2).
    std::size_t preferredDivisor = 8;
    double preferenceRankCost = 12;     // ms per position in the order of preference
    double missingWeightsCost = 130;    // ms; the weights must be loaded: half of a load from the store, as most are in the replica's cache
    double newHomeCost = 120;           // ms; on top of it at all but the first preferred upstream, whose cache is the likely one to have them
    double noOwnerCost = 600;           // ms; the weights must be loaded, but no owner can order that at present
    double failureCost = 900;           // ms at a failure share of 1
    double otherZoneCost = 2;           // ms; round trip to another zone
    double fillCost = 60;               // ms; a full batch relative to an empty one, as its steps are slower
    double crowdedFillRatio = 0.8;      // of the slots; requests start to queue above it
    double crowdedCost = 2'000;         // ms per full batch above crowdedFillRatio
    double prefillWaitFraction = 0.5;   // of the prefill time of earlier requests: prefills are interleaved, and prompt prefixes may be cached
    Milliseconds initialBlockTime{400}; // after NoAnswer; doubles up to maxBlockTime
    Milliseconds maxBlockTime{4'000};
    Milliseconds fullBlockTime{60}; // after Full: about one queue step of a plain service
    Milliseconds healthHalfLife{3'000};
    Milliseconds occupancyAge{200};     // mean age of remote occupancy when used: three reporting steps of 100 ms, each half on average, and network latency
    Milliseconds demandHalfLife{1'000}; // of this host's requests per affinity key
    Milliseconds remoteOccupancyTimeout{1'500}; // older remote occupancy is replaced by an estimate
};

/// One upstream that could take the request.
struct Candidate {
    const ReplicaRecord *replica = nullptr;
    bool holdsWeights = true; // as far as is known
    bool canLoad = true;      // an owner can order the replica to load them
};

struct PickRequest {
    std::span<const Candidate> candidates; // without those already tried
    std::uint64_t affinityKey = 0;         // hash of the weights or prompt; 0: no affinity
    ZoneId zone;
};

class Chooser
{
public:
    Chooser(ChooserOptions options, std::uint64_t seed);

    [[nodiscard]] const Candidate *pick(const PickRequest &request, Instant now);
    /// Any healthy one, drawn at random: of a crowded service the occupancy says no more, and all hosts would pick the one last reported free.
    [[nodiscard]] const Candidate *draw(const PickRequest &request, Instant now);
    /// The preferred upstreams of the affinity key among the candidates, best first.
    [[nodiscard]] std::vector<const Candidate *> preferredCandidates(const PickRequest &request) const;

    void beginSend(const UpstreamId &id) { ++upstreamState(id).local.running; }
    void endSend(const UpstreamId &id, SendOutcome outcome, Instant now);
    void remove(const UpstreamId &id);
    /// The upstream starts the prefill of a prompt, which takes `ms`. Call endPrefill() when the response starts, and in any case
    /// before endSend().
    void beginPrefill(const UpstreamId &id, int ms) { upstreamState(id).local.prefillMs += ms; }
    void endPrefill(const UpstreamId &id, int ms) { upstreamState(id).local.prefillMs -= ms; }
    void setRemoteOccupancy(const UpstreamId &id, Occupancy occupancy, Instant now); // sum over the other hosts
    void setHostCount(int count) { hostCount_ = std::max(1, count); }                // serving hosts, this one included

    [[nodiscard]] Occupancy localOccupancy(const UpstreamId &id) const;
    [[nodiscard]] Occupancy occupancy(const UpstreamId &id, Instant now) const; // of all hosts, reported or estimated
    [[nodiscard]] double failureShare(const UpstreamId &id, Instant now) const;
    [[nodiscard]] bool isBlocked(const UpstreamId &id, Instant now) const;

private:
    struct UpstreamState {
        explicit UpstreamState(Milliseconds halfLife)
            : successes(halfLife)
            , failures(halfLife)
        { }

        Occupancy local;
        Occupancy remote;
        std::optional<Instant> remoteAt;
        admission::DecayingCount successes;
        admission::DecayingCount failures;
        Instant blockedUntil;
        int consecutiveBlocks = 0; // without a success in between
    };

    struct ScoredCandidate {
        const Candidate *candidate = nullptr;
        double baseCost = 0; // ms; all except the cost of running requests
        int running = 0;     // requests, including those expected to be sent before the occupancy is updated
        double fillCost(const ChooserOptions &options) const;
    };

    [[nodiscard]] ScoredCandidate score(const Candidate &candidate, std::size_t rank, const PickRequest &request, Instant now);
    [[nodiscard]] int unreportedSends(std::uint64_t affinityKey, Instant now) const; // by all hosts, not yet in the remote occupancy
    void recordDemand(std::uint64_t affinityKey, Instant now);
    UpstreamState &upstreamState(const UpstreamId &id) { return upstreams_.try_emplace(id, options_.healthHalfLife).first->second; }

    ChooserOptions options_;
    std::mt19937_64 random_;
    int hostCount_ = 1;
    std::unordered_map<UpstreamId, UpstreamState> upstreams_;
    std::unordered_map<std::uint64_t, admission::DecayingCount> demand_; // of this host, by affinity key
};

} // namespace baobabstall::serving
