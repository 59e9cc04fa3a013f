// serving/chooser.h: which upstream a request is sent to. No I/O.
//
// Index
//   SendEnd          how a send ended, as far as it says something about the upstream
//   Chooser          begin(), end(), setOthers(); pick()
//   Wanted           what is asked for
//
//   Chooser chooser(options);
//   auto id = chooser.pick(wanted, now); chooser.begin(*id); ... chooser.end(*id, SendEnd::Good, now);
//
// Plain services: the upstream with the fewest running requests for its slots. Model replicas: each adapter has a stable order
// of homes by rendezvous hashing; the first home is taken while it has room, so that adapters stay where they are held and
// only the hot ones spread. Counts of what others run are some reports old, so for hot adapters a choice is drawn from all that
// the hosts together will make within that age; else all would go to whichever was free last. Costs are in milliseconds of expected wait, so that reasons of
// different kinds can be weighed.
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
    Succeeded, // answered as it should
    Failed,    // its own failure: an error status, a cut or spoilt answer
    NoAnswer,  // no answer in time, or no connection
    Full,      // not run: no room
    NotRun,    // not run for another reason; says nothing about its health
    Abandoned, // the caller left or its time ran out
};

struct ChooserOptions {
    std::size_t minPreferred = 8;       // upstreams considered for one adapter, or an eighth of all where that is more: each takes a place there.
    std::size_t preferredDivisor = 8;   // The hottest adapter gets a twentieth of all requests (1,855 of 36,073 on swellcast-kgn-grown scale-2)
    double preferenceRankCost = 12;     // ms; each place further down the order of homes
    double missingWeightsCost = 130;    // ms; the adapter has to be fetched: half of a full fetch, as most are held close by
    double noOwnerCost = 600;           // ms; nobody can order it there at present
    double failureCost = 900;           // ms; at a share of failures of 1
    double otherZoneCost = 2;           // ms; the way to another zone and back
    double fillCost = 60;               // ms; a full batch against an empty one: steps are slower
    double crowdedFillRatio = 0.8;      // of the slots; beyond it requests begin to queue
    double crowdedCost = 2'000;         // ms for each further batch
    double prefillWaitFraction = 0.5;   // of the time that prompts before it take to read: they are read in turns, and parts may be kept there
    Milliseconds initialBlockTime{400}; // after silence; doubles up to longestBlock
    Milliseconds maxBlockTime{4'000};
    Milliseconds fullBlockTime{60}; // after "no room": about one step of a plain service's queue
    Milliseconds healthHalfLife{3'000};
    Milliseconds occupancyAge{200};             // of what others run when it is used: three steps of 100 ms, half of each on average, and their ways
    Milliseconds demandHalfLife{1'000};         // of requests of this host for one home
    Milliseconds remoteOccupancyTimeout{1'500}; // counts told by others; older ones are replaced by a guess
};

/// One upstream that could take the request.
struct Candidate {
    const ReplicaRecord *replica = nullptr;
    bool holdsWeights = true; // the weights are held there, as far as is known
    bool canLoad = true;      // somebody can order them there
};

struct PickRequest {
    std::span<const Candidate> candidates; // without those tried before
    std::uint64_t affinityKey = 0;         // hash of the weights or prompt; 0: any upstream is as good
    ZoneId zone;
};

class Chooser
{
public:
    Chooser(ChooserOptions options, std::uint64_t seed);

    [[nodiscard]] const Candidate *pick(const PickRequest &wanted, Instant now);
    /// The first homes of `home` among `candidates`, best first.
    [[nodiscard]] std::vector<const Candidate *> preferredCandidates(const PickRequest &wanted) const;

    void beginSend(const UpstreamId &id) { ++upstreamState(id).local.running; }
    void endSend(const UpstreamId &id, SendOutcome how, Instant now);
    void remove(const UpstreamId &id);
    /// The upstream begins to read a prompt that takes `ms`; endReading() when its answer begins, and in any case before end().
    void beginPrefill(const UpstreamId &id, int ms) { upstreamState(id).local.prefillMs += ms; }
    void endPrefill(const UpstreamId &id, int ms) { upstreamState(id).local.prefillMs -= ms; }
    void setRemoteOccupancy(const UpstreamId &id, Occupancy occupancy, Instant now); // by other hosts
    void setHostCount(int hosts) { hostCount_ = std::max(1, hosts); }                // that serve, this one included

    [[nodiscard]] Occupancy localOccupancy(const UpstreamId &id) const;
    [[nodiscard]] Occupancy occupancy(const UpstreamId &id, Instant now) const; // by all hosts, told or guessed
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
        int consecutiveBlocks = 0; // in a row
    };

    struct ScoredCandidate {
        const Candidate *candidate = nullptr;
        double baseCost = 0; // ms; all but the cost of what runs there
        int running = 0;     // and what is expected to be sent there meanwhile
        double fillCost(const ChooserOptions &options) const;
    };

    [[nodiscard]] ScoredCandidate score(const Candidate &candidate, std::size_t rank, const PickRequest &wanted, Instant now);
    [[nodiscard]] int unreportedSends(std::uint64_t home, Instant now) const; // by all hosts within the age of the counts
    void recordDemand(std::uint64_t home, Instant now);
    UpstreamState &upstreamState(const UpstreamId &id) { return upstreams_.try_emplace(id, options_.healthHalfLife).first->second; }

    ChooserOptions options_;
    std::mt19937_64 random_;
    int hostCount_ = 1;
    std::unordered_map<UpstreamId, UpstreamState> upstreams_;
    std::unordered_map<std::uint64_t, admission::DecayingCount> demand_; // of this host, by home
};

} // namespace baobabstall::serving
