// serving/residency.h: which adapters one model replica holds, and the load and unload orders that its owner sends it. No I/O.
//
// Index
//   LeaseTable       sending side: the leases that this host has obtained on weights at replicas
//   Residency        owner's side: the state of one owned model replica
//
//   Residency residency(options);
//   residency.setEngine(engine, now); // whenever the configuration or the replica's service may have changed; nothing: order nothing
//   auto reply = residency.requestLease(key, minRevision, onTimeBy, isNew, now); // Ready: held for reply.lease; Waiting: ask again after a change
//   if (residency.needsReport(now)) { residency.onReport(report, now); }
//   while (auto order = residency.nextOrder(mayLoadModel, now)) { residency.onOrderOutcome(*order, outcome, now); }
//
// A lease guarantees that the adapter is not unloaded before it expires, so a host may send requests until then without asking
// again. Frequently requested weights get long leases, others a lease that is long enough for a request to start.
// Each order carries the number of orders that the replica has accepted so far. If the response to an order is lost, either
// the order was carried out and the replica's count has changed, or the replica refuses the order if it arrives late.
//
// Waiting loads go in the order of claims.h, by their most urgent callers; those alike by the requests that they serve on time.
//
// What fits is worked out anew for each order, from the configuration in force and from what the replica holds and loads: all its base models,
// also those that are no longer configured, and its adapters, each with the size of its model's. A base model whose load another owner ordered
// may be any of them, and counts as the largest until a report shows it.
#pragma once

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

#include <admission/rates.h>
#include <admission/usualrates.h>
#include <serving/claims.h>
#include <serving/model.h>

namespace baobabstall::serving {

/// The leases that a sending host holds, by replica and adapter.
class LeaseTable
{
public:
    struct Lease {
        AdapterRevision revision;
        Instant expiresAt;
    };
    void grant(const UpstreamId &replica, const AdapterKey &key, AdapterRevision revision, Instant expiresAt);
    void drop(const UpstreamId &replica, const AdapterKey &key);
    void drop(const UpstreamId &replica); // all leases of a replica that restarted or left
    [[nodiscard]] std::optional<Lease> find(const UpstreamId &replica, const AdapterKey &key, Instant now) const;
    void expire(Instant now);
    [[nodiscard]] std::size_t size() const;

private:
    std::unordered_map<UpstreamId, std::map<AdapterKey, Lease>> leases_;
};

struct ResidencyOptions {
    int maxConcurrentLoads = 4;       // adapters loading on one replica at a time; limit of the platform
    Milliseconds storeLoadTime{250};  // of one adapter from the weight store
    Milliseconds cachedLoadTime{25};  // of an adapter that the replica held recently
    int cacheFactor = 6;              // recently held adapters assumed to load fast, as a multiple of the adapter slots
    Milliseconds shortLease{300};     // long enough for a request to start
    Milliseconds longLease{3'000};    // for frequently requested weights
    double frequentRequestRate = 0.7; // requests/s from which weights get the long lease
    Milliseconds requestRateHalfLife{4'000};
    int maxStoreLoadsWhenSlow = 2;          // per replica at a time; more concurrent loads from a slow store only slow each other down
    double slowStoreFactor = 1.4;           // the store counts as slow when its mean load time exceeds this multiple of storeLoadTime
    Milliseconds minRecheckInterval{20};    // between checks of a load that takes longer than expected
    double recheckFraction = 0.15;          // of the time that the load has taken so far; the longer of both intervals applies
    int maxUnansweredSends = 3;             // sends of one order without a response before the replica's report is read
    Milliseconds inUseTimeout{450};         // weights are not evicted for this long after a host last reported them in use; two reporting intervals
    Milliseconds lateOrderWindow{10'000};   // an abandoned order may still be carried out for this long; the platform allows seconds
    int maxDrainConflicts = 20;             // in a row while running requests delay an unload or replacement; beyond that the replica's report is read
    Milliseconds slotUseTime{500};          // that one request occupies an adapter slot (p50 response time in swellcast-kgn-grown scale-2: 511 ms)
    double lateRequestWeight = 0.2;         // of a request that is already late, relative to one that can be on time
    Milliseconds conflictReportDelay{400};  // after a conflict or unanswered order: the replica's report lags its orders by some hundred ms
    Milliseconds modelRecheckInterval{250}; // between checks of a load of base weights
    Milliseconds urgentRankTime{30'000};    // that less urgent loads leave a place for a more urgent rank
};

class Residency
{
public:
    enum class LeaseStatus : std::uint8_t { Ready, Waiting };
    struct LeaseReply {
        LeaseStatus status = LeaseStatus::Waiting;
        AdapterRevision revision; // Ready only
        Milliseconds lease;       // Ready only: time until the lease expires
    };

    explicit Residency(ResidencyOptions options);

    /// What the replica may hold, by the configuration in force. Nothing, or without models: no order is due.
    void setEngine(std::optional<EngineSpec> engine, Instant now);
    /// The base model to load when the replica holds none that is configured.
    void setWantedModel(const BaseModel &model) { wantedModel_ = model; }

    /// Requests a lease on the weights for a request that is late after `onTimeBy`. `isNew`: false when a waiting caller asks
    /// again, so that it is counted once.
    [[nodiscard]] LeaseReply
    requestLease(const AdapterKey &key, AdapterRevision minRevision, Instant onTimeBy, bool isNew, Instant now, const Claimant &claimant = {});
    void cancelRequest(const AdapterKey &key, Instant onTimeBy, const Claimant &claimant = {}); // removes one waiter; as in its request
    /// Expected time until weights that are not held become available: waiting for an adapter slot, loads with higher priority, and
    /// the load itself.
    [[nodiscard]] Milliseconds expectedWait(const AdapterKey &key, Instant now) const;
    /// The expected wait if it ends after `until`, else none. It grows once a waiter is late, because others overtake it.
    [[nodiscard]] std::optional<Milliseconds> expectedWaitBeyond(const AdapterKey &key, Instant until, Instant now) const;
    void onRevision(const AdapterKey &key, AdapterRevision revision);            // a newer revision became active
    void onInUse(const HostId &host, std::vector<AdapterKey> keys, Instant now); // all weights that requests of the host use at present
    void onRestart(Instant now);                                                 // the replica restarted: it holds nothing and counts its orders from zero

    [[nodiscard]] bool needsReport(Instant now) const;
    void onReport(const ReplicaReport &report, Instant now);
    void onReportFailed(Instant now);

    /// The next order that is due, if any. One at a time: call onOrderOutcome() before asking for the next. `mayLoadModel`: base
    /// weights may be loaded from the store now.
    [[nodiscard]] std::optional<Order> nextOrder(bool mayLoadModel, Instant now);
    void onOrderOutcome(const Order &order, OrderOutcome outcome, Instant now);
    /// Earliest time at which nextOrder() may return an order without a further event. None: never.
    [[nodiscard]] std::optional<Instant> nextDue() const;

    /// Whether the replica holds a base model that is configured.
    [[nodiscard]] bool holdsModel() const;
    /// Whether a load of a base model is due or in progress.
    [[nodiscard]] bool wantsModel() const { return !holdsModel() && (loadingModel_ || modelToLoad()); }
    /// Whether the replica may ever hold the adapter beside its base models, whatever else it holds now.
    [[nodiscard]] bool canHold(const AdapterKey &key) const;
    /// False after orders or reports went unanswered or were refused; true again after the next report.
    [[nodiscard]] bool isReachable() const { return isReachable_; }
    [[nodiscard]] bool isHeld(const AdapterKey &key) const;
    [[nodiscard]] std::size_t adapterSlotsTaken() const { return slots_.size(); }
    [[nodiscard]] std::size_t waitingAdapters() const { return waiters_.size(); }
    /// Whether loads that were asked for later went before this one, which still waits.
    [[nodiscard]] bool hasGivenWay(const AdapterKey &key) const;
    /// Loads that others which were asked for later went before, each once, since the last call.
    [[nodiscard]] std::vector<GivenWay> takeGivenWay() { return std::exchange(givenWay_, {}); }

private:
    enum class State : std::uint8_t { Loading, Held, Unloading };
    struct AdapterSlot {
        State state = State::Loading;
        AdapterRevision revision;
        Instant protectedUntil;
        Instant checkAt;            // Loading, Unloading: next check whether it has finished
        Instant loadStartedAt;      // Loading: when the order was accepted
        bool isStoreLoad = false;   // Loading: from the weight store
        bool isReplacement = false; // Loading: waits for running requests that use an older revision
    };
    /// Whether running requests must finish first. The replica refuses other orders until then.
    [[nodiscard]] static bool isDraining(const AdapterSlot &slot)
    {
        return slot.state == State::Unloading || (slot.state == State::Loading && slot.isReplacement);
    }
    struct Waiter {
        Instant onTimeBy;
        Claimant claimant;
    };
    struct Waiters {
        std::vector<Waiter> requests;
        std::uint64_t arrival = 0; // of the first waiting request, counted; the earlier goes first among equals
        bool hasGivenWay = false;
    };
    /// Loads go by the standing of their most urgent requests. Of those alike, loads that serve more of these on time per second of adapter slot use
    /// go first, then those requested earlier.
    struct LoadPriority {
        Standing standing;          // never late: one load serves all that wait, so late requests count less instead
        double servedPerSecond = 0; // requests/s
        std::uint64_t arrival = 0;
        [[nodiscard]] bool isBefore(const LoadPriority &other) const
        {
            if (standing != other.standing) {
                return standing < other.standing;
            }
            return servedPerSecond != other.servedPerSecond ? servedPerSecond > other.servedPerSecond : arrival < other.arrival;
        }
    };
    struct ModelSize {
        double weightsMb = 0;
        double adapterMb = 0;
    };
    struct HostUsage {
        std::vector<AdapterKey> keys;
        Instant validUntil;
    };

    [[nodiscard]] const ModelSize *sizeOf(const BaseModel &model) const;
    [[nodiscard]] double modelsMb() const;                              // base models held and loading
    [[nodiscard]] double adaptersMb() const;                            // adapters held, loading and unloading
    [[nodiscard]] bool fits(const AdapterKey &key) const;               // beside all that is held
    [[nodiscard]] std::size_t freePlaces(const BaseModel &model) const; // for adapters of this model
    [[nodiscard]] std::optional<BaseModel> modelToLoad() const;
    [[nodiscard]] double requestRate(const AdapterKey &key, Instant now) const;
    void recordRequest(const AdapterKey &key, Instant now);
    void markCached(const AdapterKey &key);
    [[nodiscard]] bool isCached(const AdapterKey &key) const;
    [[nodiscard]] Order makeOrder(OrderKind kind, const AdapterKey &key, AdapterRevision revision) const;
    [[nodiscard]] std::optional<Order> nextRecheck(Instant now) const;
    [[nodiscard]] std::optional<Order> nextLoad(Instant now);
    [[nodiscard]] bool mayLoadNow(const AdapterKey &key) const;
    void noteGivenWay(const AdapterKey &first, const std::set<core::WorkspaceId> &above, Instant now);
    /// The most urgent request that waits for the weights.
    [[nodiscard]] static const Claimant &mostUrgent(const Waiters &waiters, const std::set<core::WorkspaceId> &above);
    /// As what the adapter counts when room is made; the last is unloaded first. Nothing: it is idle, and goes before all others.
    [[nodiscard]] std::optional<Standing> evictionStanding(const AdapterKey &key, double rate, const std::set<core::WorkspaceId> &above) const;
    [[nodiscard]] std::optional<AdapterKey> victim(Instant now) const;
    [[nodiscard]] Instant evictableAt(const AdapterKey &key, const AdapterSlot &slot) const; // by the leases and uses known so far
    [[nodiscard]] LoadPriority loadPriority(const AdapterKey &key, const Waiters &waiters, const std::set<core::WorkspaceId> &above, Instant now) const;
    [[nodiscard]] bool needsStoreLoad(const AdapterKey &key) const; // rather than from the replica's cache
    [[nodiscard]] Milliseconds expectedLoadTime(const AdapterKey &key) const;
    [[nodiscard]] Milliseconds expectedSlotWait(const AdapterKey &key,
                                                std::size_t loadsAhead,
                                                Instant now) const; // until a slot is free for the load with so many others ahead of it
    [[nodiscard]] bool isSlotShort() const;                         // a load waits for an adapter slot
    [[nodiscard]] double storeLoadMs() const;                       // mean, at least storeLoadTime
    [[nodiscard]] int loadingCount() const;
    [[nodiscard]] bool isAnyDraining() const;
    [[nodiscard]] int storeLoadCount() const;
    [[nodiscard]] int storeLoadLimit() const;
    void onModelOrder(const Order &order, OrderOutcome outcome, Instant now);
    void removeUnusedSizes();
    void onUnload(const AdapterKey &key, OrderOutcome outcome, Instant now);
    void onLoad(const Order &order, OrderOutcome outcome, Instant now);
    void markHeld(const AdapterKey &key, AdapterSlot &slot, Instant now);
    void invalidateState(Instant now, Milliseconds wait); // what the replica holds is unknown until the next report
    [[nodiscard]] AdapterRevision newestRevision(const AdapterKey &key) const;
    void removeIdleRates(Instant now);

    ResidencyOptions options_;
    std::optional<EngineSpec> engine_;
    std::map<BaseModel, ModelSize> sizes_; // of models that are configured, or were when the replica began to hold them
    BaseModel wantedModel_;
    std::set<BaseModel> heldModels_;
    std::optional<BaseModel> loadingModel_; // by an order of this owner
    bool isOtherModelLoading_ = false;      // by an order of another owner
    bool isStateKnown_ = false;             // a report was read since the start, the last restart or the last conflict
    bool isReachable_ = true;
    Instant modelCheckAt_;
    Instant nextReportAt_; // no report is read before
    OrderSequence sequence_;
    std::map<AdapterKey, AdapterSlot> slots_;
    std::map<AdapterKey, Waiters> waiters_;
    std::map<AdapterKey, AdapterRevision> newestRevisions_;
    std::map<AdapterKey, admission::DecayingCount> requestRates_; // decaying count of requests per adapter
    std::map<HostId, HostUsage> hostUsage_;
    std::deque<AdapterKey> cached_; // held recently, the latest last; assumed to be in the replica's cache
    std::uint64_t arrivalCount_ = 0;
    admission::UsualRates usual_;            // loads by workspace
    std::map<AdapterKey, Claimant> askedBy_; // the last; as many as have a request rate
    int urgentRank_ = 0;                     // the most urgent that asked lately
    Instant urgentRankUntil_;
    std::vector<GivenWay> givenWay_;
    int conflicts_ = 0;                    // in a row, while a slot is draining
    int unansweredSends_ = 0;              // consecutive sends without a response
    std::optional<Order> unansweredOrder_; // sent again until it is answered or given up
    Instant lateOrderUntil_;               // an abandoned order may be carried out until then
    double meanStoreLoadMs_ = 0;           // mean of recent loads from the store; 0: none yet
};

} // namespace baobabstall::serving
