// engines/tests/fakeengine.h: simulates an engine, its owners and their messages in virtual time, and checks the invariants of the engine table.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

#include <engines/enginetable.h>

namespace baobabstall::engines {

/// Disables one safety mechanism by feeding the table the events that it would see without it.
enum class Mutation : std::uint8_t {
    None,
    NoPins,                   // a request counts as finished as soon as it is sent
    LoadsCompleteWhenOrdered, // a load counts as complete when it is ordered
    SharedEpoch,              // the successor uses the epoch of its predecessor
    RestartsHidden,           // listings hide engine restarts and repeat the previous state
    TimeoutAsEvidence,        // an owner counts as gone after a timeout
};

struct Faults {
    bool checksFencing = false;
    bool restarts = false;
    bool lostReplies = false;
    bool successor = false;
};

/// Runs events in order of time; events of equal time in order of insertion.
class Timeline
{
public:
    [[nodiscard]] Instant now() const { return now_; }
    void after(Milliseconds delay, std::function<void()> event) { events_.push({now_ + delay, nextOrder_++, std::move(event)}); }
    void runUntil(Instant end)
    {
        while (!events_.empty() && events_.top().at <= end) {
            const Event event = events_.top();
            events_.pop();
            now_ = event.at;
            event.run();
        }
        now_ = end;
    }

private:
    struct Event {
        Instant at;
        std::uint64_t order = 0;
        std::function<void()> run;
        bool operator<(const Event &other) const { return std::pair(at, order) > std::pair(other.at, other.order); }
    };
    std::priority_queue<Event> events_;
    std::uint64_t nextOrder_ = 0;
    Instant now_{1'000};
};

class FakeEngine
{
public:
    FakeEngine(Timeline &time, int slots, bool checksFencing)
        : time_(time)
        , slots_(slots)
        , checksFencing_(checksFencing)
    { }

    void load(const EngineAdapterName &name, Epoch fence, Milliseconds duration, bool fails, const std::function<void(LoadOutcome)> &answer)
    {
        if (isStale(fence)) {
            return answer(LoadOutcome::StaleFencing);
        }
        if (!runningByName_.contains(name) && runningByName_.size() + loading_ >= static_cast<std::size_t>(slots_)) {
            return answer(LoadOutcome::NoFreeSlot);
        }
        ++loading_;
        time_.after(duration, [this, name, fails, answer, run = start_] {
            if (run != start_) {
                return answer(LoadOutcome::Unknown);
            }
            --loading_;
            if (!fails) {
                runningByName_.try_emplace(name, 0);
            }
            answer(fails ? LoadOutcome::Failed : LoadOutcome::Loaded);
        });
    }
    UnloadOutcome unload(const EngineAdapterName &name, Epoch fence)
    {
        if (isStale(fence)) {
            return UnloadOutcome::StaleFencing;
        }
        const auto found = runningByName_.find(name);
        if (found == runningByName_.end()) {
            return UnloadOutcome::NotHeld;
        }
        if (found->second > 0) {
            violations.push_back("unload of " + name.text() + " during a running request");
        }
        runningByName_.erase(found);
        return UnloadOutcome::Unloaded;
    }
    /// Returns whether the request was started; calls `ended` with whether it ran to completion.
    bool run(const EngineAdapterName &name, Milliseconds duration, const std::function<void(bool)> &ended)
    {
        if (!runningByName_.contains(name)) {
            return false;
        }
        ++runningByName_[name];
        time_.after(duration, [this, name, ended, run = start_] {
            const auto found = runningByName_.find(name);
            const bool isComplete = run == start_ && found != runningByName_.end();
            if (isComplete) {
                --found->second;
            }
            ended(isComplete);
        });
        return true;
    }
    void restart()
    {
        runningByName_.clear();
        loading_ = 0;
        start_ = start_.next();
    }
    [[nodiscard]] Listing list() const
    {
        Listing listing{start_, slots_, {}};
        for (const auto &[name, running] : runningByName_) {
            listing.adapters.push_back({name.text(), running});
        }
        return listing;
    }
    [[nodiscard]] bool holds(const EngineAdapterName &name) const { return runningByName_.contains(name); }
    [[nodiscard]] EngineStart start() const { return start_; }

    std::vector<std::string> violations; // descriptions of violated invariants

private:
    bool isStale(Epoch fence)
    {
        const bool stale = checksFencing_ && fence < fence_;
        fence_ = std::max(fence_, fence);
        return stale;
    }

    Timeline &time_;
    int slots_;
    bool checksFencing_;
    std::map<EngineAdapterName, int> runningByName_;
    std::size_t loading_ = 0;
    EngineStart start_{1};
    Epoch fence_;
};

/// One seeded run: requests for more adapters than there are slots, with frozen and replaced owners and lost replies.
class EngineSimulation
{
public:
    EngineSimulation(std::uint64_t seed, Faults faults, Mutation mutation)
        : random_(seed)
        , faults_(faults)
        , mutation_(mutation)
        , engine_(time_, slots, faults.checksFencing)
    {
        addOwner(Epoch(10));
    }

    /// The violated invariants; empty if none.
    std::vector<std::string> run()
    {
        for (int request = 0; request < requests; ++request) {
            time_.after(Milliseconds(randomBelow(length)), [this] { addRequest(); });
        }
        for (int restart = 0; faults_.restarts && restart < 4; ++restart) {
            time_.after(Milliseconds(randomBelow(length)), [this] { engine_.restart(); });
        }
        if (faults_.successor) {
            time_.after(Milliseconds(randomBelow(length / 2)), [this] { replaceOwner(); });
        }
        time_.runUntil(time_.now() + Milliseconds(length * 4));
        for (const auto &[id, record] : records_) {
            if (record.finalResponses != 1) {
                engine_.violations.push_back(id.value() + " got " + std::to_string(record.finalResponses) + " final responses");
            }
        }
        return engine_.violations;
    }
    [[nodiscard]] int requestsRun() const { return requestsRun_; }
    [[nodiscard]] int earlierNameStarts() const { return earlierNameStarts_; }

    static constexpr int slots = 3;
    static constexpr int adapters = 9;
    static constexpr int requests = 400;
    static constexpr int length = 20'000; // ms, period in which requests arrive

private:
    struct Owner {
        std::unique_ptr<EngineTable> table;
        Instant frozenUntil;
        bool dead = false;
        bool ended = false; // drained, or notified that it is superseded
        std::uint64_t wakeupId = 0;
        std::optional<Listing> lastListing;
        EngineStart listedStart; // engine start at the last listing that was received
    };
    struct Record {
        AdapterRef adapter;
        int finalResponses = 0;
        bool hasRun = false; // the engine ran it
    };

    int randomBelow(int below) { return static_cast<int>(random_() % static_cast<std::uint64_t>(below)); }
    bool chance(int percent) { return randomBelow(100) < percent; }
    Milliseconds delay() { return Milliseconds(1 + randomBelow(chance(5) ? 300 : 20)); }

    Owner &addOwner(Epoch epoch)
    {
        const settings::Loads loads{.typical = Milliseconds(60), .timeout = Milliseconds(2'000)};
        const settings::Admission admission{.engineConcurrency = 4, .maxQueue = 20, .maxQueueWait = Milliseconds(2'000)};
        const EngineInfo info{UpstreamId("engine-1"), core::BaseModel("base"), slots, faults_.checksFencing};
        owners_.push_back(std::make_unique<Owner>());
        owners_.back()->table = std::make_unique<EngineTable>(info, epoch, loads, admission);
        runActions(*owners_.back());
        return *owners_.back();
    }
    /// Delivers `event` to the owner after a message delay, or once it is no longer frozen; never if it is dead.
    void deliver(Owner &owner, std::function<void(EngineTable &)> event)
    {
        const Milliseconds remainingFreeze = std::max(Milliseconds(0), owner.frozenUntil - time_.now());
        time_.after(std::max(delay(), remainingFreeze), [this, &owner, event] {
            if (owner.dead) {
                return;
            }
            if (time_.now() < owner.frozenUntil) {
                return deliver(owner, event);
            }
            event(*owner.table);
            runActions(owner);
        });
    }
    void addRequest()
    {
        const RequestId id("r" + std::to_string(records_.size()));
        const AdapterRef adapter = *AdapterRef::parse("c/a" + std::to_string(randomBelow(adapters)) + "@v1");
        records_[id] = {adapter, 0, false};
        Owner &owner = *owners_[chance(70) ? owners_.size() - 1 : 0];
        if (owner.dead) {
            ++records_[id].finalResponses;
            return;
        }
        deliver(owner, [this, id, adapter](EngineTable &table) {
            table.enqueue({id, adapter, PlanId(adapter.text()), 1, time_.now() + Milliseconds(3'000)}, time_.now());
        });
    }
    void replaceOwner()
    {
        Owner &old = *owners_.front();
        const Epoch oldEpoch = old.table->epoch();
        const int replacement = randomBelow(3);
        if (replacement == 0) { // killed: the entry daemon gives its requests their final responses
            old.dead = true;
            for (auto &[id, record] : records_) {
                record.finalResponses = 1;
            }
        } else if (replacement == 1) { // frozen, and later notified that it is superseded
            old.frozenUntil = time_.now() + Milliseconds(1'000 + randomBelow(3'000));
            time_.after(Milliseconds(4'000 + randomBelow(4'000)), [this, &old] {
                deliver(old, [this, &old](EngineTable &table) {
                    old.ended = true;
                    table.superseded(time_.now());
                });
            });
        }
        Owner &successor = addOwner(mutation_ == Mutation::SharedEpoch ? oldEpoch : Epoch(20));
        if (replacement == 2) {
            deliver(old, [this, &old](EngineTable &table) {
                old.ended = true;
                table.drain(time_.now());
            });
        }
        awaitEvidence(old, successor, oldEpoch);
    }
    void awaitEvidence(Owner &old, Owner &successor, Epoch oldEpoch)
    {
        time_.after(Milliseconds(100), [this, &old, &successor, oldEpoch] {
            const bool released = old.ended && !old.table->hasPendingOrders();
            if (old.dead || released || mutation_ == Mutation::TimeoutAsEvidence) {
                deliver(successor, [this, oldEpoch](EngineTable &table) { table.ownerGone(oldEpoch, time_.now()); });
            } else {
                awaitEvidence(old, successor, oldEpoch);
            }
        });
    }

    void runActions(Owner &owner)
    {
        for (const Action &action : owner.table->takeActions(time_.now())) {
            std::visit([&](const auto &each) { perform(owner, each); }, action);
        }
        if (const auto next = owner.table->nextDeadline(time_.now())) {
            const std::uint64_t wakeupId = ++owner.wakeupId;
            time_.after(std::max(Milliseconds(1), *next - time_.now()), [this, &owner, wakeupId] {
                if (wakeupId == owner.wakeupId && !owner.dead && time_.now() >= owner.frozenUntil) {
                    runActions(owner);
                } else if (wakeupId == owner.wakeupId) {
                    deliver(owner, [](EngineTable &) {});
                }
            });
        }
    }
    void perform(Owner &owner, const StartRequest &start)
    {
        Record &record = records_[start.id];
        if (start.name.adapter != record.adapter) {
            engine_.violations.push_back(start.id.value() + " started on another adapter");
        }
        const bool knowsCurrentStart = owner.listedStart == engine_.start();
        if (!engine_.holds(start.name) && knowsCurrentStart) {
            engine_.violations.push_back(start.id.value() + " started on a name that is not resident");
        }
        earlierNameStarts_ += start.name.epoch < owner.table->epoch() ? 1 : 0;
        time_.after(delay(), [this, &owner, start] { onArrival(owner, start); });
        if (mutation_ == Mutation::NoPins) {
            deliver(owner, [this, start](EngineTable &table) { table.finished(start.id, RequestEnd::Complete, time_.now()); });
        }
    }
    void onArrival(Owner &owner, const StartRequest &start)
    {
        const bool isConnectionLost = faults_.lostReplies && chance(10);
        const auto ended = [this, &owner, start, isConnectionLost](bool isComplete) {
            if (isConnectionLost) {
                return;
            }
            deliver(owner, [this, start, isComplete](EngineTable &table) { finish(table, start.id, isComplete ? RequestEnd::Complete : RequestEnd::Lost); });
        };
        if (!engine_.run(start.name, Milliseconds(20 + randomBelow(200)), ended)) {
            deliver(owner, [this, start](EngineTable &table) { table.adapterNotFound(start.id, time_.now()); });
            return;
        }
        ++requestsRun_;
        records_[start.id].hasRun = true;
        if (isConnectionLost) {
            deliver(owner, [this, start](EngineTable &table) { finish(table, start.id, RequestEnd::Lost); });
        }
    }
    void finish(EngineTable &table, const RequestId &id, RequestEnd how)
    {
        table.finished(id, how, time_.now());
        records_[id].finalResponses = 1;
    }
    void perform(Owner &, const RefuseRequest &refuse)
    {
        Record &record = records_[refuse.id];
        ++record.finalResponses;
        if (record.hasRun) {
            engine_.violations.push_back(refuse.id.value() + " was refused as not run but ran");
        }
    }
    void perform(Owner &, const AbortRequest &abort) { ++records_[abort.id].finalResponses; }
    void perform(Owner &owner, const OrderLoad &order)
    {
        const bool isReplyLost = faults_.lostReplies && chance(15);
        const auto answer = [this, &owner, order, isReplyLost](LoadOutcome outcome) {
            const LoadOutcome reported = isReplyLost ? LoadOutcome::Unknown : outcome;
            deliver(owner, [this, order, reported](EngineTable &table) { table.loadEnded(order.name, reported, time_.now()); });
        };
        const Epoch fence = owner.table->epoch();
        time_.after(delay(), [this, order, fence, answer] { engine_.load(order.name, fence, Milliseconds(30 + randomBelow(60)), chance(5), answer); });
        if (mutation_ == Mutation::LoadsCompleteWhenOrdered) {
            owner.table->loadEnded(order.name, LoadOutcome::Loaded, time_.now());
        }
    }
    void perform(Owner &owner, const OrderUnload &order)
    {
        const bool isReplyLost = faults_.lostReplies && chance(15);
        const Epoch fence = owner.table->epoch();
        time_.after(isReplyLost ? delay() + Milliseconds(randomBelow(500)) : delay(), [this, &owner, order, fence, isReplyLost] {
            const UnloadOutcome outcome = engine_.unload(order.name, fence);
            if (!isReplyLost) {
                deliver(owner, [this, order, outcome](EngineTable &table) { table.unloadEnded(order.name, outcome, time_.now()); });
            }
        });
        if (isReplyLost) {
            deliver(owner, [this, order](EngineTable &table) { table.unloadEnded(order.name, UnloadOutcome::Unknown, time_.now()); });
        }
    }
    void perform(Owner &owner, const RequestPermit &request)
    {
        const bool refused = chance(10);
        deliver(owner, [this, request, refused](EngineTable &table) {
            if (refused) {
                table.permitRefused(request.adapter, time_.now());
            } else {
                table.permitGranted(request.adapter, PermitId(++lastPermit_), time_.now());
            }
        });
    }
    void perform(Owner &, const CancelPermitRequest &) { }
    void perform(Owner &, const ReleasePermit &) { }
    void perform(Owner &owner, const FetchListing &)
    {
        time_.after(delay(), [this, &owner] {
            if (faults_.lostReplies && chance(10)) {
                deliver(owner, [this](EngineTable &table) { table.listingFailed(time_.now()); });
                return;
            }
            Listing listing = engine_.list();
            if (mutation_ == Mutation::RestartsHidden && owner.lastListing) {
                listing = *owner.lastListing;
                for (const EngineAdapterName &name : owner.table->residentAdapters()) {
                    listing.adapters.push_back({name.text(), 0});
                }
            }
            owner.lastListing = Listing{listing.start, listing.slots, {}};
            deliver(owner, [this, &owner, listing, run = engine_.start()](EngineTable &table) {
                owner.listedStart = run;
                table.listed(listing, time_.now());
            });
        });
    }

    std::mt19937_64 random_;
    Faults faults_;
    Mutation mutation_;
    Timeline time_;
    FakeEngine engine_;
    std::vector<std::unique_ptr<Owner>> owners_;
    std::map<RequestId, Record> records_;
    std::uint64_t lastPermit_ = 0;
    int requestsRun_ = 0;
    int earlierNameStarts_ = 0;
};

} // namespace baobabstall::engines
