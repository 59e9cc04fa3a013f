// engines/tests/fakeengine.h: an engine, its owners and the messages between them on virtual time, with a checker of what must always hold.
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

/// One mechanism switched off, outside of the table: the table is told what it would believe without it.
enum class Flaw : std::uint8_t {
    None,
    NoPins,            // a request counts as ended as soon as it was sent
    BelievesOrders,    // a load counts as done when it is ordered
    OneEpoch,          // the successor uses its predecessor's epoch
    ForgetsNoRestart,  // listings hide the engine's restart and keep what was believed
    TimeoutIsEvidence, // an owner counts as gone when it is silent for a while
};

struct Faults {
    bool checksFencing = false;
    bool restarts = false;
    bool lostAnswers = false;
    bool successor = false;
};

/// Events in order of time; equal times in order of insertion.
class Timeline
{
public:
    [[nodiscard]] Instant now() const { return now_; }
    void after(Milliseconds delay, std::function<void()> event) { events_.push({now_ + delay, next_++, std::move(event)}); }
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
    std::uint64_t next_ = 0;
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

    void load(const EngineAdapterName &name, Epoch fence, Milliseconds takes, bool fails, const std::function<void(LoadOutcome)> &answer)
    {
        if (isStale(fence)) {
            return answer(LoadOutcome::StaleFencing);
        }
        if (!held_.contains(name) && held_.size() + loading_ >= static_cast<std::size_t>(slots_)) {
            return answer(LoadOutcome::NoFreeSlot);
        }
        ++loading_;
        time_.after(takes, [this, name, fails, answer, run = start_] {
            if (run != start_) {
                return answer(LoadOutcome::Unknown);
            }
            --loading_;
            if (!fails) {
                held_.try_emplace(name, 0);
            }
            answer(fails ? LoadOutcome::Failed : LoadOutcome::Loaded);
        });
    }
    UnloadOutcome unload(const EngineAdapterName &name, Epoch fence)
    {
        if (isStale(fence)) {
            return UnloadOutcome::StaleFencing;
        }
        const auto found = held_.find(name);
        if (found == held_.end()) {
            return UnloadOutcome::NotHeld;
        }
        if (found->second > 0) {
            broken.push_back("unload of " + name.text() + " beneath a running request");
        }
        held_.erase(found);
        return UnloadOutcome::Unloaded;
    }
    /// True when it runs; `ended` is told whether the engine came to its end.
    bool run(const EngineAdapterName &name, Milliseconds takes, const std::function<void(bool)> &ended)
    {
        if (!held_.contains(name)) {
            return false;
        }
        ++held_[name];
        time_.after(takes, [this, name, ended, run = start_] {
            const auto found = held_.find(name);
            const bool whole = run == start_ && found != held_.end();
            if (whole) {
                --found->second;
            }
            ended(whole);
        });
        return true;
    }
    void restart()
    {
        held_.clear();
        loading_ = 0;
        start_ = start_.next();
    }
    [[nodiscard]] Listing list() const
    {
        Listing listing{start_, slots_, {}};
        for (const auto &[name, running] : held_) {
            listing.adapters.push_back({name.text(), running});
        }
        return listing;
    }
    [[nodiscard]] bool holds(const EngineAdapterName &name) const { return held_.contains(name); }
    [[nodiscard]] EngineStart start() const { return start_; }

    std::vector<std::string> broken; // what must never happen, in words

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
    std::map<EngineAdapterName, int> held_;
    std::size_t loading_ = 0;
    EngineStart start_{1};
    Epoch fence_;
};

/// One seeded run: requests of few adapters on fewer slots, owners that are frozen and replaced, answers that are lost.
class World
{
public:
    World(std::uint64_t seed, Faults faults, Flaw flaw)
        : random_(seed)
        , faults_(faults)
        , flaw_(flaw)
        , engine_(time_, slots, faults.checksFencing)
    {
        addOwner(Epoch(10));
    }

    /// What was broken; empty when all held.
    std::vector<std::string> run()
    {
        for (int request = 0; request < requests; ++request) {
            time_.after(Milliseconds(pick(length)), [this] { addRequest(); });
        }
        for (int restart = 0; faults_.restarts && restart < 4; ++restart) {
            time_.after(Milliseconds(pick(length)), [this] { engine_.restart(); });
        }
        if (faults_.successor) {
            time_.after(Milliseconds(pick(length / 2)), [this] { replaceOwner(); });
        }
        time_.runUntil(time_.now() + Milliseconds(length * 4));
        for (const auto &[id, record] : records_) {
            if (record.finals != 1) {
                engine_.broken.push_back(id.value() + " got " + std::to_string(record.finals) + " final answers");
            }
        }
        return engine_.broken;
    }
    [[nodiscard]] int ran() const { return ran_; }
    [[nodiscard]] int adopted() const { return adopted_; }

    static constexpr int slots = 3;
    static constexpr int adapters = 9;
    static constexpr int requests = 400;
    static constexpr int length = 20'000; // ms in which requests arrive

private:
    struct Owner {
        std::unique_ptr<EngineTable> table;
        Instant frozenUntil;
        bool dead = false;
        bool ended = false; // drained or told that it is superseded
        std::uint64_t wake = 0;
        std::optional<Listing> believed;
        EngineStart listedRun; // the engine's run at its last listing that arrived
    };
    struct Record {
        AdapterRef adapter;
        int finals = 0;
        bool reached = false; // the engine ran it
    };

    int pick(int below) { return static_cast<int>(random_() % static_cast<std::uint64_t>(below)); }
    bool chance(int percent) { return pick(100) < percent; }
    Milliseconds delay() { return Milliseconds(1 + pick(chance(5) ? 300 : 20)); }

    Owner &addOwner(Epoch epoch)
    {
        const settings::Loads loads{.typical = Milliseconds(60), .timeout = Milliseconds(2'000)};
        const settings::Admission admission{.engineConcurrency = 4, .maxQueue = 20, .maxQueueWait = Milliseconds(2'000)};
        const EngineInfo info{UpstreamId("engine-1"), core::BaseModel("base"), slots, faults_.checksFencing};
        owners_.push_back(std::make_unique<Owner>());
        owners_.back()->table = std::make_unique<EngineTable>(info, epoch, loads, admission);
        act(*owners_.back());
        return *owners_.back();
    }
    /// Runs `event` at the owner after a message's delay, or when it thaws; never when it is dead.
    void tell(Owner &owner, std::function<void(EngineTable &)> event)
    {
        const Milliseconds thaw = std::max(Milliseconds(0), owner.frozenUntil - time_.now());
        time_.after(std::max(delay(), thaw), [this, &owner, event] {
            if (owner.dead) {
                return;
            }
            if (time_.now() < owner.frozenUntil) {
                return tell(owner, event);
            }
            event(*owner.table);
            act(owner);
        });
    }
    void addRequest()
    {
        const RequestId id("r" + std::to_string(records_.size()));
        const AdapterRef adapter = *AdapterRef::parse("c/a" + std::to_string(pick(adapters)) + "@v1");
        records_[id] = {adapter, 0, false};
        Owner &owner = *owners_[chance(70) ? owners_.size() - 1 : 0];
        if (owner.dead) {
            ++records_[id].finals;
            return;
        }
        tell(owner, [this, id, adapter](EngineTable &table) {
            table.enqueue({id, adapter, PlanId(adapter.text()), 1, time_.now() + Milliseconds(3'000)}, time_.now());
        });
    }
    void replaceOwner()
    {
        Owner &old = *owners_.front();
        const Epoch oldEpoch = old.table->epoch();
        const int fate = pick(3);
        if (fate == 0) { // killed: its requests get their final answers from the entry daemon
            old.dead = true;
            for (auto &[id, record] : records_) {
                record.finals = 1;
            }
        } else if (fate == 1) { // frozen and unaware, then told
            old.frozenUntil = time_.now() + Milliseconds(1'000 + pick(3'000));
            time_.after(Milliseconds(4'000 + pick(4'000)), [this, &old] {
                tell(old, [this, &old](EngineTable &table) {
                    old.ended = true;
                    table.superseded(time_.now());
                });
            });
        }
        Owner &successor = addOwner(flaw_ == Flaw::OneEpoch ? oldEpoch : Epoch(20));
        if (fate == 2) {
            tell(old, [this, &old](EngineTable &table) {
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
            if (old.dead || released || flaw_ == Flaw::TimeoutIsEvidence) {
                tell(successor, [this, oldEpoch](EngineTable &table) { table.ownerGone(oldEpoch, time_.now()); });
            } else {
                awaitEvidence(old, successor, oldEpoch);
            }
        });
    }

    void act(Owner &owner)
    {
        for (const Action &action : owner.table->takeActions(time_.now())) {
            std::visit([&](const auto &each) { carryOut(owner, each); }, action);
        }
        if (const auto next = owner.table->nextDeadline(time_.now())) {
            const std::uint64_t wake = ++owner.wake;
            time_.after(std::max(Milliseconds(1), *next - time_.now()), [this, &owner, wake] {
                if (wake == owner.wake && !owner.dead && time_.now() >= owner.frozenUntil) {
                    act(owner);
                } else if (wake == owner.wake) {
                    tell(owner, [](EngineTable &) {});
                }
            });
        }
    }
    void carryOut(Owner &owner, const StartRequest &start)
    {
        Record &record = records_[start.id];
        if (start.name.adapter != record.adapter) {
            engine_.broken.push_back(start.id.value() + " started on another adapter");
        }
        const bool knowsThisRun = owner.listedRun == engine_.start();
        if (!engine_.holds(start.name) && knowsThisRun) {
            engine_.broken.push_back(start.id.value() + " started on a name that is not resident");
        }
        adopted_ += start.name.epoch < owner.table->epoch() ? 1 : 0;
        time_.after(delay(), [this, &owner, start] { arrive(owner, start); });
        if (flaw_ == Flaw::NoPins) {
            tell(owner, [this, start](EngineTable &table) { table.finished(start.id, RequestEnd::Complete, time_.now()); });
        }
    }
    void arrive(Owner &owner, const StartRequest &start)
    {
        const bool cut = faults_.lostAnswers && chance(10);
        const auto ended = [this, &owner, start, cut](bool whole) {
            if (cut) {
                return;
            }
            tell(owner, [this, start, whole](EngineTable &table) { end(table, start.id, whole ? RequestEnd::Complete : RequestEnd::Lost); });
        };
        if (!engine_.run(start.name, Milliseconds(20 + pick(200)), ended)) {
            tell(owner, [this, start](EngineTable &table) { table.adapterNotFound(start.id, time_.now()); });
            return;
        }
        ++ran_;
        records_[start.id].reached = true;
        if (cut) {
            tell(owner, [this, start](EngineTable &table) { end(table, start.id, RequestEnd::Lost); });
        }
    }
    void end(EngineTable &table, const RequestId &id, RequestEnd how)
    {
        table.finished(id, how, time_.now());
        records_[id].finals = 1;
    }
    void carryOut(Owner &, const RefuseRequest &refuse)
    {
        Record &record = records_[refuse.id];
        ++record.finals;
        if (record.reached) {
            engine_.broken.push_back(refuse.id.value() + " was refused as not run, but ran");
        }
    }
    void carryOut(Owner &, const AbortRequest &abort) { ++records_[abort.id].finals; }
    void carryOut(Owner &owner, const OrderLoad &order)
    {
        const bool lost = faults_.lostAnswers && chance(15);
        const auto answer = [this, &owner, order, lost](LoadOutcome outcome) {
            const LoadOutcome told = lost ? LoadOutcome::Unknown : outcome;
            tell(owner, [this, order, told](EngineTable &table) { table.loadEnded(order.name, told, time_.now()); });
        };
        const Epoch fence = owner.table->epoch();
        time_.after(delay(), [this, order, fence, answer] { engine_.load(order.name, fence, Milliseconds(30 + pick(60)), chance(5), answer); });
        if (flaw_ == Flaw::BelievesOrders) {
            owner.table->loadEnded(order.name, LoadOutcome::Loaded, time_.now());
        }
    }
    void carryOut(Owner &owner, const OrderUnload &order)
    {
        const bool lost = faults_.lostAnswers && chance(15);
        const Epoch fence = owner.table->epoch();
        time_.after(lost ? delay() + Milliseconds(pick(500)) : delay(), [this, &owner, order, fence, lost] {
            const UnloadOutcome outcome = engine_.unload(order.name, fence);
            if (!lost) {
                tell(owner, [this, order, outcome](EngineTable &table) { table.unloadEnded(order.name, outcome, time_.now()); });
            }
        });
        if (lost) {
            tell(owner, [this, order](EngineTable &table) { table.unloadEnded(order.name, UnloadOutcome::Unknown, time_.now()); });
        }
    }
    void carryOut(Owner &owner, const RequestPermit &ask)
    {
        const bool refused = chance(10);
        tell(owner, [this, ask, refused](EngineTable &table) {
            if (refused) {
                table.permitRefused(ask.adapter, time_.now());
            } else {
                table.permitGranted(ask.adapter, PermitId(++permits_), time_.now());
            }
        });
    }
    void carryOut(Owner &, const CancelPermitRequest &) { }
    void carryOut(Owner &, const ReleasePermit &) { }
    void carryOut(Owner &owner, const FetchListing &)
    {
        time_.after(delay(), [this, &owner] {
            if (faults_.lostAnswers && chance(10)) {
                tell(owner, [this](EngineTable &table) { table.listingFailed(time_.now()); });
                return;
            }
            Listing listing = engine_.list();
            if (flaw_ == Flaw::ForgetsNoRestart && owner.believed) {
                listing = *owner.believed;
                for (const EngineAdapterName &name : owner.table->residentAdapters()) {
                    listing.adapters.push_back({name.text(), 0});
                }
            }
            owner.believed = Listing{listing.start, listing.slots, {}};
            tell(owner, [this, &owner, listing, run = engine_.start()](EngineTable &table) {
                owner.listedRun = run;
                table.listed(listing, time_.now());
            });
        });
    }

    std::mt19937_64 random_;
    Faults faults_;
    Flaw flaw_;
    Timeline time_;
    FakeEngine engine_;
    std::vector<std::unique_ptr<Owner>> owners_;
    std::map<RequestId, Record> records_;
    std::uint64_t permits_ = 0;
    int ran_ = 0;
    int adopted_ = 0;
};

} // namespace baobabstall::engines
