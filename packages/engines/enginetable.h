// engines/enginetable.h: the state of one engine that this daemon owns, for one ownership epoch. Takes events and returns actions;
// does no I/O and reads no clock.
//
// Index
//   EngineInfo, EngineAdapterName   the engine, and the name under which it holds an adapter
//   Request                         a request that waits or runs
//   Listing, outcomes               replies of the engine
//   Action                          what the daemon has to do
//   EngineTable                     requests, orders, resident adapters, end of ownership; then takeActions()
//
// Usage: after each event, and at nextDeadline(), call takeActions() and execute the actions in the given order.
//
// A table must not be copied or moved. Waiting requests are ordered by admission::FairQueue.
//
//   EngineTable table(info, epoch, settings.loads, settings.admission);
//   table.enqueue(request, now);
//   for (const Action &action : table.takeActions(now)) { ... }
//
// Invariants:
//   - A request starts only on a name that the engine reported as loaded and for which no unload order is pending.
//   - An unload order is sent only when no request uses the name; after that, no request starts on it.
//   - Names of another epoch are unloaded only on evidence that their owner is gone, and after a later listing shows nothing running.
//     They are served only on engines that check fencing numbers, once a listing shows them after one of our own orders was accepted.
//   - After an engine restart, or an order with unknown outcome, only the engine's listing counts, never local state.
//   - A request that will not start in time is refused immediately, with a time to retry.
//
// Limitations: an unload order whose reply was lost can take effect late. Its name is then not loaded again until `Loads::timeout`
// after the engine has reported that it no longer holds it. An order that the network delays for longer is not covered.
// An engine that checks fencing numbers must keep the highest one across its own restart, or have no earlier owner that is unaware
// of its replacement; otherwise that owner's orders are accepted again until our next listing detects the restart. A request sent by
// an owner that is gone must reach the engine within `settleTime` of the evidence; otherwise our unload order can remove its adapter.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <variant>
#include <vector>

#include <admission/fairqueue.h>
#include <admission/overload.h>
#include <core/error.h>
#include <core/types.h>
#include <engines/evictionpolicy.h>
#include <engines/hint.h>
#include <engines/loadbudget.h>
#include <settings/settings.h>

namespace baobabstall::engines {

using core::EngineStart;
using core::PlanId;
using core::RequestId;

struct EngineInfo {
    UpstreamId id;
    core::BaseModel baseModel;
    int slots = 0;              // adapters it can hold at once; updated by each listing
    bool checksFencing = false; // rejects orders with an outdated fencing number
};

/// The name of an adapter on an engine: "customer/adapter@version#EPOCH", where EPOCH is that of the owner that ordered its load.
struct EngineAdapterName {
    AdapterRef adapter;
    Epoch epoch;

    [[nodiscard]] std::string text() const;
    [[nodiscard]] static std::optional<EngineAdapterName> parse(std::string_view text);

    friend auto operator<=>(const EngineAdapterName &, const EngineAdapterName &) = default;
    friend bool operator==(const EngineAdapterName &, const EngineAdapterName &) = default;
};

struct Request {
    RequestId id; // unique among the requests at this engine
    AdapterRef adapter;
    PlanId plan;
    double share = 1; // weight of the plan in the fair queue, above 0
    Instant deadline; // latest start; refused after that
};

struct ListedAdapter {
    std::string name; // as reported by the engine; a name that does not parse occupies a slot and is left alone
    int running = 0;  // requests in progress
};

struct Listing {
    EngineStart start;
    int slots = 0;
    std::vector<ListedAdapter> adapters;
};

enum class LoadOutcome : std::uint8_t { Loaded, Failed, NoFreeSlot, StaleFencing, Unknown };
enum class UnloadOutcome : std::uint8_t { Unloaded, NotHeld, StaleFencing, Unknown }; // any other reply is Unknown
enum class RequestEnd : std::uint8_t {
    Complete, // the engine is done with it: full response, error, or confirmed cancellation
    Lost,     // connection lost: the engine may still run it, so its name stays pinned until a listing shows otherwise
};

struct StartRequest {
    RequestId id;
    EngineAdapterName name;
};
struct RefuseRequest { // never started: outcome not_run
    RequestId id;
    core::Error error;
};
struct AbortRequest { // was running when the engine restarted: outcome unknown. Abort the call; finished() is still required once it is closed
    RequestId id;
    core::Error error;
};
struct OrderLoad {
    EngineAdapterName name;
    PermitId permit;
};
struct OrderUnload { // idempotent; may name an adapter that is not loaded, to find out whether the engine accepts our orders
    EngineAdapterName name;
};
struct RequestPermit { // repeated with a new priority: replaces the earlier request
    AdapterRef adapter;
    LoadPriority priority;
};
struct CancelPermitRequest { // of a request that was not answered yet
    AdapterRef adapter;
};
struct ReleasePermit {
    PermitId permit;
};
struct FetchListing { }; // at most one at a time; reply with listed() or listingFailed()

using Action = std::variant<StartRequest, RefuseRequest, AbortRequest, OrderLoad, OrderUnload, RequestPermit, CancelPermitRequest, ReleasePermit, FetchListing>;

template<EvictionPolicyLike Eviction>
class BasicEngineTable
{
public:
    BasicEngineTable(EngineInfo engine,
                     Epoch epoch,
                     const settings::Loads &loads,
                     const settings::Admission &admission,
                     Eviction eviction = Eviction(defaultHalfLife));

    // Requests
    void enqueue(Request request, Instant now);                      // leads to StartRequest or RefuseRequest, in the next takeActions() if possible
    void finished(const RequestId &id, RequestEnd end, Instant now); // of a started request; unknown ids are ignored
    void cancel(const RequestId &id, Instant now);                   // drops a waiting request; a running one stays pinned until finished()
    void adapterNotFound(const RequestId &id, Instant now);          // the engine does not hold the adapter: the request did not run and is queued again
    void prefetch(const AdapterRef &adapter, Instant now);           // loads in advance if a permit is spare, at the lowest priority

    // Permits from the region's load budget
    void permitGranted(const AdapterRef &adapter, PermitId permit, Instant now);
    void permitRefused(const AdapterRef &adapter, Instant now); // requests it again after a pause
    void permitRequestsLost(Instant now);                       // the budget has a new owner: every open request is sent again

    // Replies of the engine
    void loadEnded(const EngineAdapterName &name, LoadOutcome outcome, Instant now);
    void unloadEnded(const EngineAdapterName &name, UnloadOutcome outcome, Instant now);
    void listed(const Listing &listing, Instant now);
    void listingFailed(Instant now); // retried after a pause

    // Ownership
    void ownerGone(Epoch old, Instant now);      // evidence that the owner of that epoch sends no more requests and orders
    void superseded(Instant now);                // refuses waiting requests; running ones finish; no more orders are sent
    void drain(Instant now);                     // planned handover: like superseded(); release the claim once hasPendingOrders() is false
    [[nodiscard]] bool hasPendingOrders() const; // a load or unload order was sent and is not answered yet

    // Decisions
    [[nodiscard]] std::vector<Action> takeActions(Instant now);
    [[nodiscard]] std::optional<Instant> nextDeadline(Instant now) const;   // when to call takeActions() again if no event occurs
    [[nodiscard]] Hint probe(const AdapterRef &adapter, Instant now) const; // for a request of any plan
    [[nodiscard]] Hint probe(const AdapterRef &adapter, const PlanId &plan, double share, Instant now) const;

    // For operators
    [[nodiscard]] const EngineInfo &engine() const { return engine_; }
    [[nodiscard]] Epoch epoch() const { return epoch_; }
    [[nodiscard]] std::size_t runningCount() const { return running_.size(); }
    [[nodiscard]] std::size_t waitingCount() const { return waiting_.size(); }
    [[nodiscard]] std::vector<EngineAdapterName> residentAdapters() const; // those that can be served now

    static constexpr Milliseconds defaultHalfLife{60'000};    // of the request rate that eviction is based on
    static constexpr Milliseconds relistInterval{500};        // between listings while the engine's state is uncertain
    static constexpr Milliseconds deadlineCheckInterval{250}; // between deadline checks of the waiting requests
    static constexpr Milliseconds settleTime{1'000};          // for requests of an owner that is gone to arrive at the engine
    static constexpr int maxLoadAttempts = 2;                 // consecutive failed loads before the waiting requests are refused

private:
    enum class SlotState : std::uint8_t { Loading, Resident, Unloading, Uncertain };
    struct Slot {
        SlotState state = SlotState::Resident;
        int unpinnedRunning = 0;            // requests on the engine that we hold no pin for, by the last listing
        bool isAnswered = true;             // false: an order is pending
        bool unloadReplyLost = false;       // an unload order may still take effect
        bool listedAfterOwnerGone = false;  // name of an earlier epoch, listed after its owner was known to be gone
        std::uint64_t changedAtEvent = 0;   // event number; listings requested earlier do not reflect this change
        std::uint64_t lostAtEvent = 0;      // event number of the last increase of `unpinnedRunning`
        std::uint64_t confirmedAtEvent = 0; // event number at the request of the last listing that contained it
        EngineStart orderedAtStart;         // engine start under which its load was ordered
        std::optional<PermitId> permit;
        Instant since;
    };
    struct WaitingRequest {
        Request request;
        Instant since;
        int notFoundRetries = 0; // starts that the engine rejected because it did not hold the adapter
    };
    struct RunningRequest {
        WaitingRequest queueEntry;
        EngineAdapterName name;
        Instant since;
        bool aborted = false; // the caller was notified; the name stays pinned until the call is closed
    };
    enum class LoadRequestState : std::uint8_t { Idle, Requested, Granted };
    struct LoadRequest {
        LoadRequestState state = LoadRequestState::Idle;
        std::optional<PermitId> permit;
        LoadPriority requestedPriority;
        Instant since;
        Instant notBefore;
        int failedLoads = 0;
        bool isPrefetch = false;
        Instant prefetchUntil;
    };
    using Slots = std::map<EngineAdapterName, Slot>;

    // Steps of takeActions()
    void refuseLate(Instant now);
    void startWaiting(Instant now);
    void updateLoadRequests(Instant now);
    void useGrantedPermits(Instant now);
    void requestPermits(Instant now);
    void requestListing(Instant now);
    void probeFencing(Instant now);

    void addAction(Action action) { actions_.push_back(std::move(action)); }

    // Requests
    void start(WaitingRequest waiting, Instant now);
    void unpin(const RunningRequest &running, RequestEnd end);
    void refuse(const RequestId &id, core::Error error);
    void refuseWaiting(const AdapterRef &adapter, const core::Error &error);
    void enqueueWaiting(WaitingRequest waiting, Instant now);
    [[nodiscard]] std::optional<core::Error> latenessError(const Request &request, Milliseconds waitedFor, Instant now) const;
    [[nodiscard]] admission::AdmissionContext admissionContext(const AdapterRef &adapter, const PlanId &plan, double share, Instant now) const;
    [[nodiscard]] Hint makeHint(const AdapterRef &adapter, Milliseconds expectedWait) const;
    void updateBacklog(Instant now);
    [[nodiscard]] Milliseconds expectedLoadWait(const AdapterRef &adapter, Instant now) const;
    [[nodiscard]] double expectedPermitWait(Instant now) const;
    [[nodiscard]] core::Error refusalError(std::string reason, std::optional<Milliseconds> retryAfter) const;
    [[nodiscard]] int batchSize() const;
    [[nodiscard]] int pinCount(const EngineAdapterName &name) const;  // started requests whose calls are not closed
    [[nodiscard]] std::map<AdapterRef, double> waitingShares() const; // total share of the requests that wait for a load, by adapter

    // Slots
    [[nodiscard]] bool isServable(const EngineAdapterName &name, const Slot &slot) const;
    [[nodiscard]] bool isEvictable(const EngineAdapterName &name, const Slot &slot) const;
    [[nodiscard]] bool hasWaitingRequest(const AdapterRef &adapter) const;
    [[nodiscard]] std::optional<EngineAdapterName> servableName(const AdapterRef &adapter) const;
    [[nodiscard]] typename Slots::iterator selectVictim(Instant now);
    [[nodiscard]] const Slot *loadingSlot(const AdapterRef &adapter) const;
    [[nodiscard]] int countSlots(SlotState state) const;
    [[nodiscard]] int freeSlots() const;
    [[nodiscard]] int countEvictable() const;
    void markChanged(Slot &slot);
    void onFencingAccepted(Instant now);
    void orderLoad(const AdapterRef &adapter, LoadRequest &loadRequest, Instant now);
    void orderUnload(const EngineAdapterName &name, Slot &slot);
    void releasePermit(std::optional<PermitId> &permit);
    void onLoadFailed(const EngineAdapterName &name, LoadOutcome outcome, Instant now);
    void removeUnloaded(typename Slots::iterator slot, Instant now);
    void eraseSlot(typename Slots::iterator slot);

    // Listings and the end of ownership
    void onEngineRestarted(Instant now);
    void applyListed(const EngineAdapterName &name, int running, Instant now);
    void updateUnpinnedRunning(const EngineAdapterName &name, Slot &slot, int running, bool changedSince);
    void applyMissing(const std::set<EngineAdapterName> &listed, Instant now);
    [[nodiscard]] bool needsRelisting() const;
    void invalidateListing();
    void scheduleListing(Instant notBefore);
    void endOwnership(std::string reason);

    EngineInfo engine_;
    Epoch epoch_;
    settings::Loads loads_;
    settings::Admission admission_;
    Eviction eviction_;

    Slots slots_;
    int unparsedNames_ = 0; // listed names that do not parse
    EngineStart engineStart_;
    std::uint64_t lastEvent_ = 0; // number of the last change; orders listings against changes
    bool listingTrusted_ = false; // a listing was received since the state last became uncertain
    std::uint64_t invalidatedAtEvent_ = 0;
    bool listingScheduled_ = true;
    bool listingPending_ = false;
    std::uint64_t listingRequestEvent_ = 0; // event number
    Instant listingRequestedAt_;
    Instant listingNotBefore_;
    std::map<EngineAdapterName, std::uint64_t> erasedAtEvent_; // removed slots and the event of removal; listings requested earlier may still contain them
    std::map<Epoch, Instant> goneOwners_;                      // owners known to be gone, and since when
    std::optional<std::uint64_t> fencingAcceptedAtEvent_; // event at which the engine, since its last start, first accepted an order with our fencing number
    bool fencingProbePending_ = false;                    // an unload order for the probe name is pending
    Instant fencingProbeNotBefore_;
    std::optional<std::string> endReason_; // why this table no longer serves requests

    admission::FairQueue<WaitingRequest> waiting_;
    admission::AdmissionController admissionController_;
    std::unordered_map<RequestId, RunningRequest> running_;
    std::map<AdapterRef, LoadRequest> loadRequests_;
    std::map<AdapterRef, Instant> reloadBlockedUntil_; // not loaded again before that time; see Limitations above
    Instant deadlinesCheckedAt_;

    double meanLoadMs_;           // mean duration of a load
    double meanPermitWaitMs_ = 0; // mean wait for a permit; decays while none is granted
    Instant permitMeasuredAt_;
    std::vector<Action> actions_;
};

using EngineTable = BasicEngineTable<DecayedFrequency>;
extern template class BasicEngineTable<DecayedFrequency>;

} // namespace baobabstall::engines
