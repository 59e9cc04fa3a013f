// ownership/planner.h: what this daemon claims, refreshes, hands over and releases, and what it may act on. No I/O.
//
// Index
//   PlacedThing, Holding, Plan   what goes in and comes out
//   Evidence                     proof that the holder of an earlier epoch is gone
//   OwnershipPlanner             events: members, things, log; tick() -> Plan; mayAct(), owner(), evidence()
//
//   planner.setThings(things);                        // at each change of the host list
//   planner.setMembers(membership.members());         // at each change of the membership
//   planner.onRecords(first, next, records);          // after each read of claims-REGION, also an empty one;
//                                                     read without waiting while !isCaughtUp()
//   Plan plan = planner.tick(now);                    // every 200 ms or so
//     for each append: log.append(toJson(record)); then onAppended(id), onAppendRefused(id) or onAppendUnknown(id)
//     for each handover: take no new work for it, and onDrained(holding) when nothing runs under the epoch any more
//     for each lost: stop acting at once, drop what it held, then onDrained(holding) as well
//   if (planner.mayAct(thing, epoch, now)) { ... }    // before each load, evict and permit
//
// Suspicion moves new work (isUsable()), never ownership. A successor claims when the owner released, is dead in the membership,
// came back as a newer incarnation, or is gone from the platform's list. Evicting what an earlier owner left on an engine that
// checks no fencing numbers needs more: evidence(); a time-out is none.
// A host that nobody reached counts as dead only to a daemon that itself reaches most of the listed ones (at a tie: the half with the
// lowest host), so a daemon or zone cut off from its peers but not from the log claims nothing.
// In an outage of the log owners stay owners and nothing is claimed; afterwards nothing is until the stream is read to its end.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include <core/types.h>
#include <ownership/claims.h>
#include <peers/membership.h>
#include <settings/settings.h>

namespace baobabstall::ownership {

using core::Instant;
using core::Milliseconds;
using core::ZoneId;

struct PlacedResource {
    Resource resource;
    ZoneId zone; // its owner is chosen from this zone while a daemon lives there; empty: from the region

    friend bool operator==(const PlacedResource &, const PlacedResource &) = default;
};

/// A thing under one epoch of this daemon.
struct Holding {
    Resource resource;
    Epoch epoch;

    friend bool operator==(const Holding &, const Holding &) = default;
};

/// What tick() wants done. Each entry is given once.
struct OwnershipActions {
    std::vector<ClaimRecord> appends; // in this order; at most one in flight for a thing
    std::vector<Holding> gained;      // this daemon owns it from now on
    std::vector<Holding> handovers;   // drain, then onDrained()
    std::vector<Holding> lost;        // owned by another now, or expired; stop, drop, then onDrained()
};

/// Why an earlier epoch's names on an engine may be evicted. None: they may not.
enum class Evidence : std::uint8_t {
    None,
    Released,         // the holder said that it will not act under the epoch again
    NewerIncarnation, // the holder's process ended: its host runs a later one
    HostGone,         // the platform took the host away
};

/// One record of a read.
struct StreamRecord {
    Offset offset;
    std::int64_t recordedAt = 0;      // the log's time_ms
    std::optional<ClaimRecord> claim; // nothing: not understood; counted and passed over
};

class OwnershipPlanner
{
public:
    struct Self {
        HostId host;
        ZoneId zone;
        Incarnation incarnation;
    };

    OwnershipPlanner(Self self, settings::Ownership settings, Milliseconds retention); // retention: settings.platform.retention

    /// The earlier run of this host was another machine's: its claims are not this one's, also with claims_of "host".
    void disownEarlierClaims() { adoptsEarlierClaims_ = false; }

    // What there is.
    void setResources(std::vector<PlacedResource> things);            // all things of the region; the engines change, partitions and "loads" are constant
    void setMembers(const std::vector<peers::Member> &members);       // all, as the membership gives them
    void setHostListTime(std::int64_t asOf) { hostListTime_ = asOf; } // as_of_ms of the newest host list

    // What the log said.
    void onRecords(Offset first,
                   Offset next,
                   const std::vector<StreamRecord> &records); // a read of the claims stream from readTo() + 1 that reached its end when it left none
    void onLogDown();                                         // a read or append failed; ends at the next onRecords()
    void onAppended(const std::string &id);                   // taken; counts once it is read back
    void onAppendRefused(const std::string &id);              // certainly not taken: 429 or 503
    void onAppendUnknown(const std::string &id);              // no answer; the stream is read before it is tried again

    // What this daemon did.
    void onDrained(const Holding &holding); // nothing runs under the handed over or lost epoch any more
    void stop();                            // hands over everything at once and claims nothing from now on
    void renewEpoch(const Resource &thing); // ours is to get a higher epoch: the one in force is given as lost, the new one as gained

    [[nodiscard]] OwnershipActions tick(Instant now);

    // Questions.
    [[nodiscard]] bool mayAct(const Resource &thing, Epoch epoch, Instant now) const; // false also after a pause, until the stream was read again
    [[nodiscard]] bool isDraining(const Resource &thing) const;                       // ours, but takes no new work
    [[nodiscard]] std::optional<Owner> ownerOf(const Resource &thing) const { return table_.ownerOf(thing); } // whoever it is, alive or not
    [[nodiscard]] bool isUsable(const Owner &owner) const;                          // worth sending work to: not suspect, dead, released or restarted
    [[nodiscard]] HostId preferredOwner(const Resource &thing) const;               // by rendezvous; empty when no daemon lives
    [[nodiscard]] Evidence evidence(const Resource &thing, Epoch epoch) const;      // about an epoch that is not in force; None for the one in force
    [[nodiscard]] std::vector<Holding> holdings() const;                            // ours, also draining ones
    [[nodiscard]] Offset lastReadOffset() const { return table_.lastReadOffset(); } // where the next read begins: readTo().next()
    [[nodiscard]] bool isCaughtUp() const { return caughtUp_; }                     // read to the end since the last outage or pause
    [[nodiscard]] const ClaimTable &table() const { return table_; }

    static constexpr int appendsPerSecond = 100; // the log takes several hundred, for all daemons together
    static constexpr int appendBurst = 20;
    static constexpr int requiredFullReads = 2;              // the first may have been in flight before a pause or a lost answer
    static constexpr Milliseconds maxTickGap{2'000};         // between two calls of tick(); a longer gap counts as a pause of the process
    static constexpr Milliseconds unknownOwnerDelay{30'000}; // how long an owner may be unknown to the membership before it counts as dead
    static constexpr std::int64_t hostListLagMs = 600'000;   // a list this much newer than a claim would show the claim's host

private:
    using Weight = std::uint64_t;
    struct ResourceState {
        ZoneId zone;
        HostId preferredHost;           // by rendezvous
        Weight preferredWeight = 0;     // of the preferred one
        HostId lastPreferredHost;       // as of the last tick
        Instant preferredSince;         // when a tick saw it first
        Epoch lastEpoch;                // in force as of the last tick
        Instant ownerSince;             // when a tick saw it first
        HostId lastOwner;               // the last one that a tick saw
        Instant actFrom;                // with a held epoch: not before, so that another host's last order is a lease away
        std::optional<Epoch> heldEpoch; // ours, as last told by a Plan
        bool draining = false;          // handed over, work runs
        bool drained = false;           // no work runs; to be released
        bool renewing = false;          // until another epoch is held
        std::set<Epoch> lostEpochs;     // lost and not drained yet
        std::set<Epoch> epochsToRetire; // drained after a loss; to be released
        Instant refreshedAt;            // when the newest record for our epoch was seen
        Offset ownerRecordOffset;       // that record
    };
    struct PendingAppend {
        ClaimRecord record;
        bool outcomeUnknown = false; // the answer was lost
        int fullReads = 0;           // to the end of the stream since then
    };

    [[nodiscard]] bool isOurs(const Owner &owner) const;
    [[nodiscard]] bool isRestarted(const Owner &owner) const; // a later run of its host is known, to which its claim does not pass
    [[nodiscard]] bool isReplaceable(const Owner &owner, const ResourceState &state, Instant now) const;
    [[nodiscard]] bool reachesMajority() const;
    [[nodiscard]] bool mayAppend(const Resource &thing) const;
    [[nodiscard]] bool shouldClaim(const Resource &thing, const ResourceState &state, Instant now) const;
    [[nodiscard]] bool shouldHandOver(const ResourceState &state, Instant now) const;
    [[nodiscard]] bool isRefreshDue(const ResourceState &state, Instant now) const;
    [[nodiscard]] Incarnation newestIncarnation(const HostId &host) const;
    [[nodiscard]] const peers::Member *memberOf(const HostId &host) const;
    [[nodiscard]] std::map<HostId, ZoneId> candidatesAmong(const std::map<HostId, peers::Member> &members) const;
    [[nodiscard]] bool isEligible(const ResourceState &state, const ZoneId &zone) const;
    void setCandidates(std::map<HostId, ZoneId> candidates);
    void choosePreferredHost(const Resource &thing, ResourceState &state) const;
    void updatePreferredHost(const Resource &thing, ResourceState &state, const std::map<HostId, ZoneId> &added, const std::map<HostId, ZoneId> &removed) const;
    void refillAppendBudget(Milliseconds passed);
    void recordTick(Instant now);
    void retryAppends(OwnershipActions &plan, Instant now);
    void updateOwnership(const Resource &thing, ResourceState &state, OwnershipActions &plan, Instant now);
    void updateActFrom(ResourceState &state, const std::optional<Owner> &owner, Instant now) const;
    void recordLoss(const Resource &thing, ResourceState &state, OwnershipActions &plan);
    void planResource(const Resource &thing, ResourceState &state, OwnershipActions &plan, Instant now);
    void planOwnedResource(const Resource &thing, ResourceState &state, Epoch epoch, OwnershipActions &plan, Instant now);
    void appendRecord(ClaimKind kind, const Resource &thing, Epoch epoch, OwnershipActions &plan);
    void removePending(const std::string &id);

    Self self_;
    settings::Ownership settings_;
    Milliseconds retention_;
    ClaimTable table_;
    std::map<Resource, ResourceState> states_;
    std::map<HostId, peers::Member> members_;
    std::map<HostId, ZoneId> candidates_; // alive, for rendezvous
    std::map<ZoneId, int> candidatesPerZone_;
    std::unordered_map<std::string, PendingAppend> pending_; // by record id
    std::unordered_map<Resource, std::string> pendingByResource_;
    std::int64_t hostListTime_ = 0;
    std::uint64_t nextId_ = 1;
    std::int64_t appendBudgetMilli_ = 0; // thousandths of an append
    std::optional<Instant> lastTick_;
    std::optional<Instant> readySince_;   // members known and stream read
    std::map<HostId, Instant> deadSince_; // members that are dead, and since which tick
    bool caughtUp_ = false;
    int fullReads_ = 0;                    // since the start, the last outage or the last pause
    std::vector<Holding> removedHoldings_; // held things that are no things any more
    bool logDown_ = false;
    bool stopping_ = false;
    bool adoptsEarlierClaims_ = false; // claims of earlier runs
};

} // namespace baobabstall::ownership
