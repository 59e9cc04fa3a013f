// ownership/planner.h: decides what this daemon claims, refreshes, hands over and releases, and what it may act on. No I/O.
//
// Index
//   PlacedResource                  input: a resource and its zone
//   Holding, OwnershipActions       output of tick()
//   Evidence                        proof that the holder of an earlier epoch will not act again
//   OwnershipPlanner                events: members, resources, log; tick(); mayAct(), ownerOf(), evidence()
//
//   planner.setResources(resources);                        // after each change of the host list
//   planner.setMembers(membership.members());               // after each change of the membership
//   planner.onRecords(first, next, records);                // after each read of claims-REGION, also an empty one;
//                                                           // read without waiting while !isCaughtUp()
//   OwnershipActions actions = planner.tick(now);           // about every 200 ms
//     for each of appends: log.append(toJson(record)); then onAppended(id), onAppendRefused(id) or onAppendUnknown(id)
//     for each of handovers: accept no new work for it; call onDrained(holding) when nothing runs under the epoch any more
//     for each of lost: stop acting at once, drop its state, then call onDrained(holding) as well
//   if (planner.mayAct(resource, epoch, now)) { ... }       // before each load, evict and permit
//
// A suspect owner gets no new work (isUsable()) but keeps its ownership. Another daemon claims when the owner released, is dead in
// the membership, restarted with a newer incarnation, or was removed from the platform's host list. Evicting the adapters that an earlier
// owner left on an engine without fencing checks needs stronger proof, evidence(); a time-out is not sufficient.
// An unreachable owner is replaced only by a daemon that itself reaches a majority of the listed hosts (of two equal halves, the one with
// the lowest host id), so a daemon or zone that is cut off from its peers but not from the log claims nothing.
// A daemon that reaches no upstream can't order anything: it claims nothing while others do, and hands over what it owns once that has lasted
// for cutOffDelay. What moved comes back like any resource with another preferred owner, after handoverDelay, so cuts in series move it once.
// While no daemon reaches upstreams, nothing moves.
// During an outage of the log owners keep their ownership and nothing is claimed; after it, claims wait until the stream was read to its end.
#pragma once

#include <algorithm>
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
    ZoneId zone;                // its owner is chosen from this zone while a daemon is alive there; empty: from the region
    bool needsStrength = false; // its owner answers many calls: the strongest of these daemons is chosen, see setStrengths()

    friend bool operator==(const PlacedResource &, const PlacedResource &) = default;
};

/// A resource that this daemon holds, or held, under one epoch.
struct Holding {
    Resource resource;
    Epoch epoch;

    friend bool operator==(const Holding &, const Holding &) = default;
};

/// What the caller of tick() has to do. Each entry is returned once.
struct OwnershipActions {
    std::vector<ClaimRecord> appends; // in this order; at most one in flight per resource
    std::vector<Holding> gained;      // this daemon owns it from now on
    std::vector<Holding> handovers;   // drain, then call onDrained()
    std::vector<Holding> lost;        // owned by another now, or expired; stop, drop the state, then call onDrained()
};

/// Why adapters that an earlier epoch left on an engine may be evicted. None: they may not.
enum class Evidence : std::uint8_t {
    None,
    Released,         // the holder stated that it will not act under the epoch again
    NewerIncarnation, // the holder's process ended: a later one runs on its host
    HostGone,         // the platform removed the host
};

/// One record read from the claims stream.
struct StreamRecord {
    Offset offset;
    std::int64_t recordedAt = 0;      // the log's time_ms
    std::optional<ClaimRecord> claim; // none: not a valid claim record; skipped
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

    /// Disables adoption of this host's earlier claims, also with claims_of "host": they were made by another machine of the same name.
    void disownEarlierClaims() { adoptsEarlierClaims_ = false; }

    // Resources and members.
    void setResources(std::vector<PlacedResource> resources);         // all resources of the region; the engines change, partitions and "loads" are constant
    void setMembers(const std::vector<peers::Member> &members);       // all members, as returned by the membership
    void setStrengths(std::map<HostId, double> strengths);            // what is known of daemons' hosts; others count as 0
    void setCutOff(std::set<HostId> hosts, Instant now);              // live hosts that reach no upstream, also this one; after each change
    void setHostListTime(std::int64_t asOf) { hostListTime_ = asOf; } // as_of_ms of the newest host list

    // Log events.
    void onRecords(Offset first,
                   Offset next,
                   const std::vector<StreamRecord>
                       &records); // a read of the claims stream from lastReadOffset().next(); at its end when `records` is empty or reaches `next`
    /// The log came back as an earlier copy: records, epochs and pending appends of the earlier era are dropped; all holdings are lost. The
    /// next onRecords() must bring the whole copy. What this daemon held and the copy gives to nobody is claimed again at once; others
    /// leave it to its last owner for a lease. What the copy gives to another daemon than the last known owner waits a lease before orders.
    void beginEra(Instant now);
    /// No resource is acted on before `until`, because an owner that this daemon doesn't know of may still act.
    void delayActions(Instant until) { earliestAction_ = std::max(earliestAction_, until); }
    void onLogDown();                            // a read or append failed; cleared by the next onRecords()
    void onAppended(const std::string &id);      // stored; takes effect when it is read back
    void onAppendRefused(const std::string &id); // certainly not stored: 429 or 503
    void onAppendUnknown(const std::string &id); // no answer; retried after reading the stream

    // Events of this daemon.
    void onDrained(const Holding &holding); // nothing runs under the epoch of the handover or loss any more
    void stop();                            // hands over everything at once and stops claiming
    void
    renewEpoch(const Resource &resource); // replaces the epoch of an owned resource by a higher one: the current one is returned as lost, the new one as gained

    [[nodiscard]] OwnershipActions tick(Instant now);

    // Queries.
    [[nodiscard]] bool
    mayAct(const Resource &resource, Epoch epoch, Instant now) const; // false also after a pause of the process, until the stream was read again
    [[nodiscard]] bool isDraining(const Resource &resource) const;    // owned by this daemon, but takes no new work
    [[nodiscard]] std::optional<Owner> ownerOf(const Resource &resource) const { return table_.ownerOf(resource); } // also when the owner is not alive
    [[nodiscard]] bool isUsable(const Owner &owner) const;                          // may get new work: not suspect, dead, released or restarted
    [[nodiscard]] HostId preferredOwner(const Resource &resource) const;            // by strength and rendezvous hashing; empty when no daemon is alive
    [[nodiscard]] Evidence evidence(const Resource &resource, Epoch epoch) const;   // for an earlier epoch; None for the current one
    [[nodiscard]] std::vector<Holding> holdings() const;                            // of this daemon, also draining ones
    [[nodiscard]] Offset lastReadOffset() const { return table_.lastReadOffset(); } // the next read starts at lastReadOffset().next()
    [[nodiscard]] bool isCaughtUp() const { return caughtUp_; }                     // the stream was read to its end since the last outage or pause
    [[nodiscard]] const ClaimTable &table() const { return table_; }

    static constexpr int appendsPerSecond = 100; // of one daemon; the log accepts several hundred from all daemons together
    static constexpr int appendBurst = 20;
    static constexpr int requiredFullReads = 2;              // reads to the end after a pause or a lost answer; the first may have been in flight before it
    static constexpr Milliseconds maxTickGap{2'000};         // between two calls of tick(); a longer gap is treated as a pause of the process
    static constexpr Milliseconds cutOffDelay{1'500};        // until an owner that reaches no upstream hands over; shorter cuts move nothing
    static constexpr Milliseconds unknownOwnerDelay{30'000}; // time after which an owner unknown to the membership is treated as dead
    static constexpr std::int64_t hostListLagMs = 600'000;   // a host list this much newer than a claim is known to include the claim's host

private:
    using Weight = std::pair<double, std::uint64_t>; // strength, where the resource needs it; rendezvous weight
    struct ResourceState {
        ZoneId zone;
        bool needsStrength = false;
        HostId preferredHost;           // by strength and rendezvous hashing
        Weight preferredWeight;         // of preferredHost
        HostId lastPreferredHost;       // as of the last tick
        Instant preferredSince;         // when a tick saw it first
        Epoch lastEpoch;                // current epoch as of the last tick
        Instant ownerSince;             // when a tick saw it first
        HostId lastOwner;               // last owner seen by a tick
        Instant actFrom;                // earliest time to act under heldEpoch: a lease after another host's last order
        std::optional<Epoch> heldEpoch; // held by this daemon, as last returned by tick()
        bool draining = false;          // handover started; work may still run
        bool drained = false;           // drained; to be released
        bool reclaims = false;          // held when the log's era ended: claimed again unless the copy names this daemon as the owner
        bool renewing = false;          // renewEpoch() was called; cleared with the current epoch
        std::set<Epoch> lostEpochs;     // lost, not drained yet
        std::set<Epoch> epochsToRetire; // drained after a loss; a Retire record is to be appended
        Instant refreshedAt;            // when the newest record of heldEpoch was seen
        Offset ownerRecordOffset;       // that record, to detect newer ones
    };
    struct PendingAppend {
        ClaimRecord record;
        bool outcomeUnknown = false; // the append got no answer
        int fullReads = 0;           // reads to the end of the stream since the append
    };

    [[nodiscard]] bool isOurs(const Owner &owner) const;
    [[nodiscard]] bool isRestarted(const Owner &owner) const; // a later incarnation of its host is known, and claims are not kept over restarts
    [[nodiscard]] bool isReplaceable(const Owner &owner, const ResourceState &state, Instant now) const;
    [[nodiscard]] bool reachesMajority() const;
    [[nodiscard]] bool mayAppend(const Resource &resource) const;
    [[nodiscard]] bool shouldClaim(const Resource &resource, const ResourceState &state, Instant now) const;
    [[nodiscard]] bool shouldHandOver(const ResourceState &state, Instant now) const;
    [[nodiscard]] bool isRefreshDue(const ResourceState &state, Instant now) const;
    [[nodiscard]] Incarnation newestIncarnation(const HostId &host) const;
    [[nodiscard]] const peers::Member *memberOf(const HostId &host) const;
    [[nodiscard]] std::map<HostId, ZoneId> candidatesAmong(const std::map<HostId, peers::Member> &members) const;
    [[nodiscard]] bool reachesUpstreams(const HostId &host) const { return !cutOff_.contains(host); }
    [[nodiscard]] bool isCutOffForLong(Instant now) const; // this daemon, while others reach upstreams
    [[nodiscard]] bool isEligible(const ResourceState &state, const ZoneId &zone) const;
    [[nodiscard]] Weight weightOf(const Resource &resource, const ResourceState &state, const HostId &host) const;
    void setCandidates(std::map<HostId, ZoneId> candidates);
    void choosePreferredHost(const Resource &resource, ResourceState &state) const;
    void
    updatePreferredHost(const Resource &resource, ResourceState &state, const std::map<HostId, ZoneId> &added, const std::map<HostId, ZoneId> &removed) const;
    void refillAppendBudget(Milliseconds passed);
    void recordTick(Instant now);
    void retryAppends(OwnershipActions &actions, Instant now);
    void updateOwnership(const Resource &resource, ResourceState &state, OwnershipActions &actions, Instant now);
    void updateActFrom(ResourceState &state, const std::optional<Owner> &owner, Instant now) const;
    void recordLoss(const Resource &resource, ResourceState &state, OwnershipActions &actions);
    void planResource(const Resource &resource, ResourceState &state, OwnershipActions &actions, Instant now);
    void planOwnedResource(const Resource &resource, ResourceState &state, Epoch epoch, OwnershipActions &actions, Instant now);
    void appendRecord(ClaimKind kind, const Resource &resource, Epoch epoch, OwnershipActions &actions);
    void removePending(const std::string &id);

    Self self_;
    settings::Ownership settings_;
    Milliseconds retention_;
    ClaimTable table_;
    std::map<Resource, ResourceState> states_;
    std::map<HostId, peers::Member> members_;
    std::set<HostId> cutOff_;
    std::optional<Instant> cutOffSince_;  // this daemon
    std::map<HostId, ZoneId> candidates_; // alive hosts that reach upstreams, for rendezvous hashing
    std::map<ZoneId, int> candidatesPerZone_;
    std::map<HostId, double> strengths_;
    std::unordered_map<std::string, PendingAppend> pending_; // by record id
    std::unordered_map<Resource, std::string> pendingByResource_;
    std::int64_t hostListTime_ = 0;
    std::uint64_t nextId_ = 1;
    std::int64_t appendBudgetMilli_ = 0; // in thousandths of an append
    std::optional<Instant> lastTick_;
    Instant earliestAction_;              // see delayActions()
    std::optional<Instant> eraBegan_;     // when this daemon saw the log's current era first; none: it started in it
    std::optional<Instant> readySince_;   // when the members were known and the stream was read
    std::map<HostId, Instant> deadSince_; // dead members and the first tick that saw them dead
    bool caughtUp_ = false;
    int fullReads_ = 0;                    // reads to the end since the start, the last outage or the last pause
    std::vector<Holding> removedHoldings_; // held resources that were removed by setResources()
    bool logDown_ = false;
    bool stopping_ = false;
    bool adoptsEarlierClaims_ = false; // claims of earlier runs of this host count as this daemon's
};

} // namespace baobabstall::ownership
