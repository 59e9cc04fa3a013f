// serving/residency.h: which adapters one model replica holds, and what its owner orders next. No I/O.
//
// Index
//   LeaseBook        an entry's side: where weights were promised to stay, and until when
//   Residency        the owner's side, one for each owned model replica
//
//   Residency residency(options);
//   auto told = residency.ask(key, atLeast, now);      // Ready: promised for told.lease; Waiting: ask again when changed; Refused
//   if (residency.needsReport(now)) { residency.onReport(report, now); }
//   while (auto order = residency.nextOrder(now)) { residency.onOrder(*order, outcome, now); }
//
// A promise (lease) says that the adapter is not unloaded before it ends, so an entry may send without asking again. Weights
// that are asked for often get long promises, others one that is long enough for a request to begin.
// Orders carry the number of orders accepted so far: one whose answer was lost either was carried out, and then the number
// differs, or will be refused when it comes late.
#pragma once

#include <deque>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

#include <admission/rates.h>
#include <serving/model.h>

namespace baobabstall::serving {

/// What an entry knows about weights at a replica.
class LeaseTable
{
public:
    struct Lease {
        AdapterRevision revision;
        Instant expiresAt;
    };
    void grant(const UpstreamId &replica, const AdapterKey &key, AdapterRevision revision, Instant until);
    void drop(const UpstreamId &replica, const AdapterKey &key);
    void drop(const UpstreamId &replica); // all of a replica that restarted or left
    [[nodiscard]] std::optional<Lease> find(const UpstreamId &replica, const AdapterKey &key, Instant now) const;
    void expire(Instant now);
    [[nodiscard]] std::size_t size() const;

private:
    std::unordered_map<UpstreamId, std::map<AdapterKey, Lease>> leases_;
};

struct ResidencyOptions {
    int adapterSlots = 8;             // adapters held or under way
    int maxConcurrentLoads = 4;       // adapters on their way to one replica at a time (platform's rule)
    Milliseconds storeLoadTime{250};  // of an adapter from the store
    Milliseconds cachedLoadTime{25};  // of one that the replica held lately
    int cacheFactor = 6;              // adapters held lately that load fast, as a multiple of the places
    Milliseconds shortLease{300};     // for a request to begin
    Milliseconds longLease{3'000};    // for weights in frequent use
    double frequentRequestRate = 0.7; // asks a second that make weights frequent
    Milliseconds requestRateHalfLife{4'000};
    int maxStoreLoadsWhenSlow = 2;          // of adapters from the store for one replica at a time while the store is slow; more only slow each other down
    double slowStoreFactor = 1.4;           // a mean fetch at this multiple of `fetch` tells that the store is slow
    Milliseconds minRecheckInterval{20};    // at least, between looks whether a load that takes longer has ended
    double recheckFraction = 0.15;          // of the time that it has taken so far, likewise
    int maxUnansweredSends = 3;             // sends of one order without an answer, before the replica's report is read
    Milliseconds inUseTimeout{450};         // weights that a request uses are not chosen to go so long after its host told so last; two reports
    Milliseconds lateOrderWindow{10'000};   // an order that was given up may still be carried out so long after (seconds, by the platform's rule)
    int maxDrainConflicts = 20;             // while an unload waits for its runs; over it the replica's report is read
    Milliseconds slotUseTime{500};          // that a request uses a place (swellcast-kgn-grown scale-2: p50 of 511 ms for an answer)
    double lateRequestWeight = 0.2;         // of a request that is late already, against one that can be on time
    Milliseconds conflictReportDelay{400};  // after a disagreement, until the replica's report is as new as its last order (some hundred ms)
    Milliseconds modelRecheckInterval{250}; // the same for base weights
};

class Residency
{
public:
    enum class LeaseStatus : std::uint8_t { Ready, Waiting };
    struct LeaseReply {
        LeaseStatus status = LeaseStatus::Waiting;
        AdapterRevision revision; // with Ready
        Milliseconds lease;       // with Ready
    };

    Residency(ResidencyOptions options, ModelSpec model);

    /// Someone wants the weights now, and is late after `onTimeBy`. Repeated asks by one waiter count once when `isNew` is false.
    [[nodiscard]] LeaseReply requestLease(const AdapterKey &key, AdapterRevision atLeast, Instant onTimeBy, bool isNew, Instant now);
    void cancelRequest(const AdapterKey &key, Instant onTimeBy); // one waiter fewer; the time that it asked with
    /// How long weights that are not held yet are expected to take: until a place is free, with what waits before them, and the load.
    [[nodiscard]] Milliseconds expectedWait(const AdapterKey &key, Instant now) const;
    /// The same where it ends after `until`. Grows for a waiter that has become late, as others pass it.
    [[nodiscard]] std::optional<Milliseconds> expectedWaitBeyond(const AdapterKey &key, Instant until, Instant now) const;
    void onRevision(const AdapterKey &key, AdapterRevision revision);            // a newer one is in force
    void onInUse(const HostId &host, std::vector<AdapterKey> keys, Instant now); // all that requests of the host use now
    void onRestart(Instant now);                                                 // holds nothing, and its counts began anew

    [[nodiscard]] bool needsReport(Instant now) const;
    void onReport(const ReplicaReport &report, Instant now);
    void onReportFailed(Instant now);

    /// The next order, if any is due. One at a time: onOrder() before the next. `mayLoadModel`: base weights may be fetched now.
    [[nodiscard]] std::optional<Order> nextOrder(bool mayLoadModel, Instant now);
    void onOrderOutcome(const Order &order, OrderOutcome outcome, Instant now);
    /// When nextOrder() may have something without a further event. None: never.
    [[nodiscard]] std::optional<Instant> nextDue() const;

    [[nodiscard]] bool holdsModel() const { return hasModel_; }
    /// False once orders and reports go unanswered; true again with the next report.
    [[nodiscard]] bool isReachable() const { return isReachable_; }
    [[nodiscard]] bool isHeld(const AdapterKey &key) const;
    [[nodiscard]] std::size_t adapterSlotsTaken() const { return slots_.size(); }
    [[nodiscard]] std::size_t waitingAdapters() const { return waiters_.size(); }

private:
    enum class State : std::uint8_t { Loading, Held, Unloading };
    struct AdapterSlot {
        State state = State::Loading;
        AdapterRevision revision;
        Instant protectedUntil;
        Instant checkAt;            // Coming, Going: when to look whether it has ended
        Instant loadStartedAt;      // Coming: when the order was accepted
        bool isStoreLoad = false;   // Coming: from the store
        bool isReplacement = false; // Coming: waits for the runs of an older revision
    };
    /// The replica refuses other orders meanwhile.
    [[nodiscard]] static bool isDraining(const AdapterSlot &place)
    {
        return place.state == State::Unloading || (place.state == State::Loading && place.isReplacement);
    }
    struct Waiters {
        std::vector<Instant> onTimeBy; // of each waiter
        std::uint64_t arrival = 0;     // who came first
    };
    /// Higher goes first: what serves more requests on time for the time that it takes a place, then who came first.
    struct LoadPriority {
        double servedPerSecond = 0; // requests a second
        std::uint64_t arrival = 0;
        [[nodiscard]] bool isBefore(const LoadPriority &other) const
        {
            return servedPerSecond != other.servedPerSecond ? servedPerSecond > other.servedPerSecond : arrival < other.arrival;
        }
    };
    struct HostUsage {
        std::vector<AdapterKey> keys;
        Instant validUntil;
    };

    [[nodiscard]] double requestRate(const AdapterKey &key, Instant now) const;
    void recordRequest(const AdapterKey &key, Instant now);
    void markCached(const AdapterKey &key);
    [[nodiscard]] bool isCached(const AdapterKey &key) const;
    [[nodiscard]] Order makeOrder(OrderKind kind, const AdapterKey &key, AdapterRevision revision) const;
    [[nodiscard]] std::optional<Order> nextRecheck(Instant now) const;
    [[nodiscard]] std::optional<Order> nextLoad(Instant now) const;
    [[nodiscard]] std::optional<AdapterKey> victim(Instant now) const;
    [[nodiscard]] Instant evictableAt(const AdapterKey &key, const AdapterSlot &place) const; // as far as is known
    [[nodiscard]] LoadPriority loadPriority(const AdapterKey &key, const Waiters &want, Instant now) const;
    [[nodiscard]] bool needsStoreLoad(const AdapterKey &key) const; // it would have to come from the store
    [[nodiscard]] Milliseconds expectedLoadTime(const AdapterKey &key) const;
    [[nodiscard]] Milliseconds expectedSlotWait(std::size_t before, Instant now) const; // until a place is free that nobody before takes
    [[nodiscard]] bool isSlotShort() const;                                             // somebody waits for a place
    [[nodiscard]] double storeLoadMs() const;                                           // ms
    [[nodiscard]] int loadingCount() const;
    [[nodiscard]] bool isAnyDraining() const;
    [[nodiscard]] int storeLoadCount() const;
    [[nodiscard]] int storeLoadLimit() const;
    void onModelOrder(OrderOutcome outcome, Instant now);
    void onUnload(const AdapterKey &key, OrderOutcome outcome, Instant now);
    void onLoad(const Order &order, OrderOutcome outcome, Instant now);
    void markHeld(const AdapterKey &key, AdapterSlot &place, Instant now);
    void invalidateState(Instant now, Milliseconds wait); // what the replica holds is not known any more
    [[nodiscard]] AdapterRevision newestRevision(const AdapterKey &key) const;
    void removeIdleRates(Instant now);

    ResidencyOptions options_;
    ModelSpec model_;
    bool isStateKnown_ = false; // a report was read since the start, the last disagreement or restart
    bool isReachable_ = true;
    bool hasModel_ = false;
    bool isModelLoading_ = false;
    Instant modelCheckAt_;
    Instant nextReportAt_; // not before
    OrderSequence sequence_;
    std::map<AdapterKey, AdapterSlot> slots_;
    std::map<AdapterKey, Waiters> waiters_;
    std::map<AdapterKey, AdapterRevision> newestRevisions_;
    std::map<AdapterKey, admission::DecayingCount> requestRates_; // asks
    std::map<HostId, HostUsage> hostUsage_;
    std::deque<AdapterKey> cached_; // held lately, newest last
    std::uint64_t arrivalCount_ = 0;
    int conflicts_ = 0;                    // in a row
    int unansweredSends_ = 0;              // sends of the last order that got no answer
    std::optional<Order> unansweredOrder_; // that order
    Instant lateOrderUntil_;               // an order given up before may be carried out until then
    double meanStoreLoadMs_ = 0;           // mean of recent fetches; 0: none yet
};

} // namespace baobabstall::serving
