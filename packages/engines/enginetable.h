// engines/enginetable.h: one engine that this daemon owns, at one epoch. Events in, actions out; no I/O and no clock.
//
// Index
//   EngineInfo, EngineName       the engine, and the name an adapter has on it
//   Request                      what waits or runs
//   Listing, outcomes            what the engine answered
//   Action                       what the daemon has to do now
//   EngineTable                  requests, orders, what the engine holds, the end of ownership; then takeActions()
//
// Use: after each event, and at nextDeadline(), call takeActions() and carry the actions out in their order.
//
// A table stays where it is made: neither copied nor moved. Requests that wait are ordered by admission::FairQueue.
//
//   EngineTable table(info, epoch, settings.loads, settings.admission);
//   table.enqueue(request, now);
//   for (const Action &action : table.takeActions(now)) { ... }
//
// What always holds:
//   - A request starts only on a name that the engine said it holds, with no evict order out for it.
//   - An evict order goes out only when no request uses the name; from then on no request starts on it.
//   - Names of another epoch are evicted only on evidence that their owner is gone, and when a later listing shows nothing running.
//     They are served only on engines that check fencing numbers, when a listing shows them after an order of our own was taken.
//   - After a restart of the engine, or an order of unknown outcome, the engine's own list counts, never memory.
//   - A request that will not start in time is refused at once, with the time to come back.
//
// Limits: an unload order whose answer was lost can take effect late. Its name is then not loaded again for `Loads::timeout`
// after the engine has said that it no longer holds it. An order that the network holds back for longer than that isn't covered.
// An engine that checks fencing numbers has to keep the highest one over its own restart, or to have no unaware earlier owner
// then: else that owner's orders are taken again until our next listing sees the restart. A request of an owner that is gone
// has to reach the engine within `settleTime` of the evidence, else our evict order can meet it there.
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
    int slots = 0;              // adapters it holds at once; a listing corrects it
    bool checksFencing = false; // refuses orders with an old fencing number
};

/// The name of an adapter on an engine: "customer/adapter@version#EPOCH", the epoch of the owner that ordered its load.
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
    double share = 1; // the plan's weight in the fair order, above 0
    Instant deadline; // it has to have started by then, or is refused
};

struct ListedAdapter {
    std::string name; // as the engine says it; text that is no EngineName takes a slot and is left alone
    int running = 0;  // requests on it now
};

struct Listing {
    EngineStart start;
    int slots = 0;
    std::vector<ListedAdapter> adapters;
};

enum class LoadOutcome : std::uint8_t { Loaded, Failed, NoFreeSlot, StaleFencing, Unknown };
enum class UnloadOutcome : std::uint8_t { Unloaded, NotHeld, StaleFencing, Unknown }; // any other answer is Unknown
enum class RequestEnd : std::uint8_t {
    Complete, // the engine has ended it: whole answer, error, or cancel confirmed
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
struct AbortRequest { // was running when the engine restarted: outcome unknown. Cut the call; finished() is still due when it is closed
    RequestId id;
    core::Error error;
};
struct OrderLoad {
    EngineAdapterName name;
    PermitId permit;
};
struct OrderUnload { // idempotent; can name what is not held: its answer then shows that our orders are taken
    EngineAdapterName name;
};
struct RequestPermit { // again with another worth: replaces the earlier one
    AdapterRef adapter;
    LoadPriority priority;
};
struct CancelPermitRequest { // of an ask that was not answered yet
    AdapterRef adapter;
};
struct ReleasePermit {
    PermitId permit;
};
struct FetchListing { }; // one at a time; answer with listed() or listingFailed()

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
    void enqueue(Request request, Instant now);                      // answered by StartRequest or RefuseRequest, in the same takeActions() when possible
    void finished(const RequestId &id, RequestEnd end, Instant now); // of a started one; unknown ids are ignored
    void cancel(const RequestId &id, Instant now);                   // drops a waiting one; a running one keeps its pin until finished()
    void adapterNotFound(const RequestId &id, Instant now);          // the engine does not hold the name: not run, so it waits again
    void prefetch(const AdapterRef &adapter, Instant now);           // load ahead, with a spare permit and without hurry

    // Permits of the region's load budget
    void permitGranted(const AdapterRef &adapter, PermitId permit, Instant now);
    void permitRefused(const AdapterRef &adapter, Instant now); // asks again after a pause
    void permitRequestsLost(Instant now);                       // the budget's owner changed: every open ask is asked again

    // Answers of the engine
    void loadEnded(const EngineAdapterName &name, LoadOutcome outcome, Instant now);
    void unloadEnded(const EngineAdapterName &name, UnloadOutcome outcome, Instant now);
    void listed(const Listing &listing, Instant now);
    void listingFailed(Instant now); // asks again after a pause

    // Ownership
    void ownerGone(Epoch old, Instant now);      // evidence that the owner of that epoch issues no more requests and orders
    void superseded(Instant now);                // waiting requests are refused at once; running ones finish; no orders any more
    void drain(Instant now);                     // planned handover: as superseded(), then release the claim when ordersOpen() is false
    [[nodiscard]] bool hasPendingOrders() const; // a load or unload has been ordered and its answer is missing

    // Decisions
    [[nodiscard]] std::vector<Action> takeActions(Instant now);
    [[nodiscard]] std::optional<Instant> nextDeadline(Instant now) const;   // when takeActions() may have more without an event
    [[nodiscard]] Hint probe(const AdapterRef &adapter, Instant now) const; // for a request of whatever plan
    [[nodiscard]] Hint probe(const AdapterRef &adapter, const PlanId &plan, double share, Instant now) const;

    // For operators
    [[nodiscard]] const EngineInfo &engine() const { return engine_; }
    [[nodiscard]] Epoch epoch() const { return epoch_; }
    [[nodiscard]] std::size_t runningCount() const { return running_.size(); }
    [[nodiscard]] std::size_t waitingCount() const { return waiting_.size(); }
    [[nodiscard]] std::vector<EngineAdapterName> residentAdapters() const; // that can be served now

    static constexpr Milliseconds defaultHalfLife{60'000};    // of the request rate that decides eviction
    static constexpr Milliseconds relistInterval{500};        // between listings while something is uncertain
    static constexpr Milliseconds deadlineCheckInterval{250}; // between checks of what waits against its deadline
    static constexpr Milliseconds settleTime{1'000};          // for requests of a gone owner that are still on their way to the engine
    static constexpr int maxLoadAttempts = 2;                 // failed loads in a row before the waiting requests are refused

private:
    enum class SlotState : std::uint8_t { Loading, Resident, Unloading, Uncertain };
    struct Slot {
        SlotState state = SlotState::Resident;
        int elsewhere = 0;             // running on the engine without a pin of ours, by the last listing
        bool answered = true;          // false: an order is out
        bool lostAnswer = false;       // an unload order may still take effect
        bool seenAfterGone = false;    // of an earlier epoch: listed after its owner was known to be gone
        std::uint64_t changedAt = 0;   // event number; a listing asked for earlier says nothing about it
        std::uint64_t lostAt = 0;      // event number of the last rise of `elsewhere`
        std::uint64_t confirmedAt = 0; // event number at which the last listing with it was asked for
        EngineStart orderedUnder;      // the engine's run when its load was ordered
        std::optional<PermitId> permit;
        Instant since;
    };
    struct Waiting {
        Request request;
        Instant since;
        int bounces = 0; // starts that the engine answered with "unknown name"
    };
    struct Running {
        Waiting waited;
        EngineAdapterName name;
        Instant since;
        bool aborted = false; // its caller has been told; pins its name until the call is closed
    };
    enum class WantState : std::uint8_t { Idle, Asked, Granted };
    struct Want {
        WantState state = WantState::Idle;
        std::optional<PermitId> permit;
        LoadPriority asked;
        Instant since;
        Instant notBefore;
        int failures = 0;
        bool ahead = false;
        Instant aheadUntil;
    };
    using Slots = std::map<EngineAdapterName, Slot>;

    // Steps of takeActions()
    void refuseLate(Instant now);
    void startWaiting(Instant now);
    void updateWants(Instant now);
    void useGrants(Instant now);
    void askPermits(Instant now);
    void askListing(Instant now);
    void proveFencing(Instant now);

    void act(Action action) { actions_.push_back(std::move(action)); }

    // Requests
    void start(Waiting waiting, Instant now);
    void unpin(const Running &running, RequestEnd end);
    void refuse(const RequestId &id, core::Error error);
    void refuseAdapter(const AdapterRef &adapter, const core::Error &error);
    void queue(Waiting waiting, Instant now);
    [[nodiscard]] std::optional<core::Error> lateness(const Request &request, Milliseconds waited, Instant now) const;
    [[nodiscard]] admission::AdmissionContext prospect(const AdapterRef &adapter, const PlanId &plan, double share, Instant now) const;
    [[nodiscard]] Hint hintOf(const AdapterRef &adapter, Milliseconds expectedWait) const;
    void noteBacklog(Instant now);
    [[nodiscard]] Milliseconds loadWait(const AdapterRef &adapter, Instant now) const;
    [[nodiscard]] double permitWait(Instant now) const;
    [[nodiscard]] core::Error refusal(std::string reason, std::optional<Milliseconds> retryAfter) const;
    [[nodiscard]] int batchUsed() const;
    [[nodiscard]] int pins(const EngineAdapterName &name) const; // started requests whose calls are not closed
    [[nodiscard]] std::map<AdapterRef, double> demand() const;   // weight of what waits for a load

    // Slots
    [[nodiscard]] bool servable(const EngineAdapterName &name, const Slot &slot) const;
    [[nodiscard]] bool evictable(const EngineAdapterName &name, const Slot &slot) const;
    [[nodiscard]] bool isWanted(const AdapterRef &adapter) const;
    [[nodiscard]] std::optional<EngineAdapterName> servedName(const AdapterRef &adapter) const;
    [[nodiscard]] typename Slots::iterator victim(Instant now);
    [[nodiscard]] const Slot *loadingSlot(const AdapterRef &adapter) const;
    [[nodiscard]] int countSlots(SlotState state) const;
    [[nodiscard]] int freeSlots() const;
    [[nodiscard]] int evictableSlots() const;
    void touch(Slot &slot);
    void fenceTaken(Instant now);
    void orderLoad(const AdapterRef &adapter, Want &want, Instant now);
    void orderUnload(const EngineAdapterName &name, Slot &slot);
    void returnPermit(std::optional<PermitId> &permit);
    void loadFailed(const EngineAdapterName &name, LoadOutcome outcome, Instant now);
    void forgetUnloaded(typename Slots::iterator slot, Instant now);
    void erase(typename Slots::iterator slot);

    // The engine's list and the end of ownership
    void restarted(Instant now);
    void applyListed(const EngineAdapterName &name, int running, Instant now);
    void countElsewhere(const EngineAdapterName &name, Slot &slot, int running, bool changedSince);
    void applyMissing(const std::set<EngineAdapterName> &listed, Instant now);
    [[nodiscard]] bool isUncertain() const;
    void doubt();
    void wantListing(Instant notBefore);
    void endOwnership(std::string reason);

    EngineInfo engine_;
    Epoch epoch_;
    settings::Loads loads_;
    settings::Admission admission_;
    Eviction eviction_;

    Slots slots_;
    int unreadable_ = 0; // listed names that are no EngineName
    EngineStart start_;
    std::uint64_t lastEvent_ = 0; // number of the last change, orders listings against changes
    bool listingTrusted_ = false; // the engine's list was read since the last reason for doubt
    std::uint64_t doubtAt_ = 0;
    bool listingWanted_ = true;
    bool listingAsked_ = false;
    std::uint64_t listingAskedAt_ = 0; // event number
    Instant listingAskedTime_;
    Instant listingNotBefore_;
    std::map<EngineAdapterName, std::uint64_t> erased_; // slots given up at that event; a listing asked for earlier may still show them
    std::map<Epoch, Instant> gone_;                     // owners known to be gone, and since when
    std::optional<std::uint64_t> fenceTakenAt_;         // since which event the engine, in its present run, has taken an order with our number
    bool fenceProbeOut_ = false;                        // an unload order of a name that is never loaded is out
    Instant fenceNotBefore_;
    std::optional<std::string> ended_; // why we no longer serve

    admission::FairQueue<Waiting> waiting_;
    admission::AdmissionController gate_;
    std::unordered_map<RequestId, Running> running_;
    std::map<AdapterRef, Want> wants_;
    std::map<AdapterRef, Instant> quarantine_; // not loaded again before; see Limit above
    Instant sweptAt_;

    double loadMs_;       // mean time of a load
    double permitMs_ = 0; // mean wait for a permit, fading while none is granted
    Instant permitMeasuredAt_;
    std::vector<Action> actions_;
};

using EngineTable = BasicEngineTable<DecayedFrequency>;
extern template class BasicEngineTable<DecayedFrequency>;

} // namespace baobabstall::engines
