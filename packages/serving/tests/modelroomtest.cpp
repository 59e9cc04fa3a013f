// Callers of several ranks and workspaces who compete for the prompt reading and the adapter places of model replicas, on virtual time.
#include <functional>
#include <random>

#include <gtest/gtest.h>

#include <serving/modelfill.h>
#include <serving/prefillturns.h>
#include <serving/residency.h>

#include "adapterreplica.h"
#include "virtualtime.h"

namespace baobabstall::serving {
namespace {

using core::WorkspaceId;

constexpr int urgent = 0;
constexpr int deferrable = 2;
constexpr Instant begin(10'000);
constexpr Instant burst(25'000); // the usual of each workspace is known by then
constexpr Instant end(30'000);

struct Caller {
    int kind = 0; // what it is counted as
    Claimant claimant;
    Milliseconds objective{500};
    Milliseconds patience{4'000}; // for the first event, or for the weights
    int repeats = 0;              // after its patience
    bool leaves = false;          // before its turn
    int adapters = 1;             // that it asks for, of its kind
};

struct Counts {
    int asked = 0;
    int onTime = 0;
    int served = 0;
    int lost = 0;
    double waitMs = 0; // of those served

    Counts &operator+=(const Counts &other)
    {
        asked += other.asked;
        onTime += other.onTime;
        served += other.served;
        lost += other.lost;
        waitMs += other.waitMs;
        return *this;
    }
    [[nodiscard]] double meanWaitMs() const { return served == 0 ? 0 : waitMs / served; }
    [[nodiscard]] double onTimeShare() const { return asked == 0 ? 0 : static_cast<double>(onTime) / asked; }
    [[nodiscard]] double servedShare() const { return asked == 0 ? 0 : static_cast<double>(served) / asked; }
};

Caller callerOf(int kind, int rank, Milliseconds objective = Milliseconds(500))
{
    return {.kind = kind, .claimant = {rank, WorkspaceId("w" + std::to_string(kind))}, .objective = objective};
}

Caller deferrableCaller(int kind = 1)
{
    return callerOf(kind, deferrable, Milliseconds(2'000));
}

/// Calls at random times; without an order no rank and no workspace is asked with.
class Fleet
{
public:
    Fleet(bool isOrdered, unsigned seed)
        : random_(seed)
        , isOrdered_(isOrdered)
        , seed_(seed)
    { }
    virtual ~Fleet() = default;

    void play(Caller caller, double perSecond, Instant from, Instant to)
    {
        std::mt19937 random(static_cast<unsigned>(caller.kind) + 100 * seed_);
        std::exponential_distribution<double> gap(perSecond / 1'000);
        for (double at = static_cast<double>(from.sinceOrigin()) + gap(random); at < static_cast<double>(to.sinceOrigin()); at += gap(random)) {
            const bool isCounted = at >= static_cast<double>(burst.sinceOrigin());
            time_.at(Instant(static_cast<std::int64_t>(at)), [this, caller, isCounted] {
                counts_[caller.kind].asked += isCounted ? 1 : 0;
                arrive(caller, isCounted);
            });
        }
    }
    void run() { time_.runUntil(end + Milliseconds(10'000)); }
    Counts &counts(int kind) { return counts_[kind]; }
    [[nodiscard]] const std::vector<GivenWay> &givenWay() const { return givenWay_; }

protected:
    virtual void arrive(const Caller &caller, bool isCounted) = 0;
    [[nodiscard]] Claimant claimantOf(const Caller &caller) const { return isOrdered_ ? caller.claimant : Claimant(); }
    void serve(const Caller &caller, Instant arrivedAt, bool isCounted)
    {
        auto &counts = counts_[caller.kind];
        counts.served += isCounted ? 1 : 0;
        counts.waitMs += isCounted ? static_cast<double>((time_.now() - arrivedAt).count()) : 0;
        counts.onTime += isCounted && time_.now() - arrivedAt <= caller.objective ? 1 : 0;
    }
    void lose(Caller caller, bool isCounted)
    {
        if (caller.repeats-- > 0) {
            arrive(caller, isCounted);
        } else {
            counts_[caller.kind].lost += isCounted ? 1 : 0;
        }
    }
    void noteGivenWay(const std::vector<GivenWay> &all) { givenWay_.insert(givenWay_.end(), all.begin(), all.end()); }

    tests::VirtualTime time_;
    std::mt19937 random_;

private:
    bool isOrdered_;
    unsigned seed_;
    std::map<int, Counts> counts_;
    std::vector<GivenWay> givenWay_;
};

/// Replicas that read one prompt after the other, 40 in a second.
class PromptFleet final : public Fleet
{
public:
    PromptFleet(bool isOrdered, unsigned seed)
        : Fleet(isOrdered, seed)
        , replicas_(4)
    {
        for (auto &replica : replicas_) {
            replica.turns.setLimit(limit);
        }
    }

    static constexpr double capacity = 40; // a replica and second
    void killOneOfFourAt(Instant at)
    {
        time_.at(at, [this] {
            auto lost = std::move(replicas_.back().waiting);
            replicas_.pop_back();
            for (const auto &[id, prompt] : lost) {
                enter(random_() % replicas_.size(), prompt);
            }
        });
    }

private:
    static constexpr double tokens = 500;
    static constexpr double limit = 2'000;
    static constexpr Milliseconds readTime{25};

    static constexpr double slots = 12;

    struct Prompt {
        Caller caller;
        Instant arrivedAt;
        bool isCounted = false;
    };
    struct Replica {
        PrefillTurns turns;
        std::map<TurnId, Prompt> waiting;
        int running = 0; // with those that wait
        Instant freeAt;
    };

    void arrive(const Caller &caller, bool isCounted) override
    {
        const auto index = random_() % replicas_.size();
        if (replicas_[index].running / slots >= fill_.most(claimantOf(caller), time_.now())) {
            time_.at(time_.now() + Milliseconds(500), [this, caller, isCounted] { lose(caller, isCounted); });
            return;
        }
        fill_.onSend(claimantOf(caller), time_.now());
        enter(index, {caller, time_.now(), isCounted});
    }
    void enter(std::size_t index, const Prompt &prompt)
    {
        auto &replica = replicas_[index];
        const auto startBy = prompt.arrivedAt + Milliseconds(prompt.caller.objective.count() / 2);
        const auto id = replica.turns.request(tokens, startBy, time_.now(), claimantOf(prompt.caller));
        replica.waiting[id] = prompt;
        ++replica.running;
        start(index);
        time_.at(startBy, [this, index] { start(index); });
        if (prompt.caller.leaves) {
            time_.at(prompt.arrivedAt + Milliseconds(50), [this, index, id] { leave(index, id); });
        }
    }
    void leave(std::size_t index, TurnId id)
    {
        if (index < replicas_.size() && replicas_[index].waiting.erase(id) != 0) {
            end(index, id);
        }
    }
    void end(std::size_t index, TurnId id)
    {
        --replicas_[index].running;
        replicas_[index].turns.end(id);
        start(index);
    }
    void start(std::size_t index)
    {
        if (index >= replicas_.size()) {
            return;
        }
        for (const auto id : replicas_[index].turns.start(time_.now())) {
            if (const auto waiter = replicas_[index].waiting.extract(id); !waiter.empty()) {
                read(index, id, waiter.mapped());
            }
        }
        noteGivenWay(replicas_[index].turns.takeGivenWay());
    }
    void read(std::size_t index, TurnId id, const Prompt &prompt)
    {
        auto &replica = replicas_[index];
        replica.freeAt = std::max(replica.freeAt, time_.now()) + readTime;
        time_.at(replica.freeAt, [this, index, id, prompt] {
            serve(prompt.caller, prompt.arrivedAt, prompt.isCounted);
            if (index < replicas_.size()) {
                end(index, id);
            }
        });
    }

    ModelFill fill_;
    std::vector<Replica> replicas_;
};

/// Replicas with eight adapter places, each adapter at one of them; some 16 loads a second each.
class LoadFleet final : public Fleet
{
public:
    static constexpr double capacity = 14; // a replica and second

    LoadFleet(bool isOrdered, unsigned seed)
        : Fleet(isOrdered, seed)
    {
        const EngineSpec engine{8, 100'000, 70'000, places, 5, {ModelSpec{BaseModel("m"), 65'000, 12, Milliseconds(2'000), Milliseconds(1'000)}}};
        for (int i = 0; i < 4; ++i) {
            auto &each = replicas_.emplace_back();
            each.residency.setEngine(engine, begin);
            each.residency.onReport(each.fake.report(begin), begin);
        }
        time_.at(begin, [this] { tick(); });
    }
    void killOneOfFourAt(Instant at)
    {
        time_.at(at, [this] {
            const auto lost = std::move(replicas_.back().waiters);
            replicas_.pop_back();
            for (const auto &waiter : lost) {
                if (waiter.doneAt.sinceOrigin() == 0) {
                    arrive(waiter.caller, waiter.isCounted);
                }
            }
        });
    }

private:
    static constexpr int places = 8;
    static constexpr Milliseconds step{5};
    static constexpr Milliseconds useTime{300};
    static constexpr std::int64_t checkInterval = 100; // ms

    struct Waiter {
        Caller caller;
        AdapterKey key;
        Instant arrivedAt;
        bool isCounted = false;
        Instant doneAt; // set when it has its weights
    };
    struct Replica {
        FakeReplica fake{places, Milliseconds(250), Milliseconds(250)};
        Residency residency{ResidencyOptions()};
        std::vector<Waiter> waiters;
    };

    void arrive(const Caller &caller, bool isCounted) override
    {
        const auto number = static_cast<int>(random_() % static_cast<unsigned>(caller.adapters));
        const AdapterKey key{BaseModel("m"), AdapterName(std::to_string(caller.kind) + "-" + std::to_string(number))};
        auto &replica = replicas_[random_() % replicas_.size()];
        replica.waiters.push_back({caller, key, time_.now(), isCounted, {}});
        check(replica, replica.waiters.back(), true);
    }
    /// False: it waits no longer.
    bool check(Replica &replica, Waiter &waiter, bool isNew)
    {
        const auto now = time_.now();
        const auto onTimeBy = waiter.arrivedAt + waiter.caller.objective;
        const auto claimant = claimantOf(waiter.caller);
        if (waiter.doneAt.sinceOrigin() > 0) {
            return true;
        }
        if (replica.residency.requestLease(waiter.key, {}, onTimeBy, isNew, now, claimant).status == Residency::LeaseStatus::Ready) {
            serve(waiter.caller, waiter.arrivedAt, waiter.isCounted);
            waiter.doneAt = now + useTime;
            return true;
        }
        const auto until = waiter.arrivedAt + waiter.caller.patience;
        const bool hasLeft = waiter.caller.leaves && now >= waiter.arrivedAt + Milliseconds(100);
        const bool isChecked = isNew || (now - waiter.arrivedAt).count() % checkInterval < step.count();
        if (hasLeft || (isChecked && replica.residency.expectedWaitBeyond(waiter.key, until, now))) {
            replica.residency.cancelRequest(waiter.key, onTimeBy, claimant);
            waiter.doneAt = now;
            if (!hasLeft) {
                time_.at(now + Milliseconds(500), [this, caller = waiter.caller, isCounted = waiter.isCounted] { lose(caller, isCounted); });
            }
            return false;
        }
        return true;
    }
    void tick()
    {
        const auto now = time_.now();
        for (auto &replica : replicas_) {
            std::vector<AdapterKey> used;
            std::erase_if(replica.waiters, [now](const Waiter &each) { return each.doneAt.sinceOrigin() > 0 && each.doneAt <= now; });
            for (auto &waiter : replica.waiters) {
                (void)check(replica, waiter, false);
                used.push_back(waiter.key);
            }
            replica.residency.onInUse(HostId("h"), used, now);
            if (replica.residency.needsReport(now)) {
                replica.residency.onReport(replica.fake.report(now), now);
            }
            while (const auto order = replica.residency.nextOrder(true, now)) {
                replica.residency.onOrderOutcome(*order, replica.fake.execute(*order, now), now);
            }
            noteGivenWay(replica.residency.takeGivenWay());
        }
        if (now < end + Milliseconds(9'000)) {
            time_.at(now + step, [this] { tick(); });
        }
    }

    std::vector<Replica> replicas_;
};

template<typename TFleet>
class ModelRoomLoad : public ::testing::Test
{
protected:
    using ByKind = std::map<int, Counts>;

    static Caller withAdapters(Caller caller, int adapters = 40)
    {
        caller.adapters = adapters;
        return caller;
    }
    /// Sums over some seeds.
    static ByKind play(bool isOrdered, bool isQuarterGone, const std::function<void(TFleet &)> &callers)
    {
        ByKind sums;
        for (unsigned seed = 1; seed <= 6; ++seed) {
            TFleet fleet(isOrdered, seed);
            callers(fleet);
            if (isQuarterGone) {
                fleet.killOneOfFourAt(burst + Milliseconds(1'000));
            }
            fleet.run();
            for (int kind = 0; kind <= hot; ++kind) {
                sums[kind] += fleet.counts(kind);
            }
            EXPECT_TRUE(isOrdered || fleet.givenWay().empty());
        }
        return sums;
    }
    /// Urgent callers of kind 0 and deferrable ones of kind 1, together six tenths of what the replicas can serve, and these more.
    static ByKind playUsualWith(const Caller &caller, double share, bool isOrdered = true, bool isQuarterGone = false)
    {
        return play(isOrdered, isQuarterGone, [&](TFleet &fleet) {
            fleet.play(withAdapters(callerOf(0, urgent)), 0.4 * capacity, begin, end);
            fleet.play(withAdapters(deferrableCaller()), 0.2 * capacity, begin, end);
            fleet.play(withAdapters(caller), share * capacity, burst, end);
        });
    }
    /// Of the urgent callers, without any others.
    static double aloneShare(bool isQuarterGone = false)
    {
        return play(true, isQuarterGone, [](TFleet &fleet) { fleet.play(withAdapters(callerOf(0, urgent)), 0.4 * capacity, begin, end); })[0].onTimeShare();
    }
    /// Of all but workspace 0, which asks for six times its usual from the burst on.
    static double othersShare(bool isOrdered, bool isHot, bool isQuarterGone = false)
    {
        const auto counts = play(isOrdered, isQuarterGone, [isHot](TFleet &fleet) {
            constexpr double usual = 0.09;
            for (int kind = 0; kind < hot; ++kind) {
                fleet.play(withAdapters(callerOf(kind, urgent), 10), usual * capacity, begin, end);
            }
            auto caller = withAdapters(callerOf(hot, urgent), 10);
            caller.claimant.workspace = WorkspaceId("w0");
            fleet.play(caller, isHot ? 5 * usual * capacity : 0.001, burst, end);
        });
        Counts sum;
        for (int kind = 1; kind < hot; ++kind) {
            sum += counts.at(kind);
        }
        return sum.onTimeShare();
    }

    static constexpr double capacity = 4 * TFleet::capacity;
    static constexpr int hot = 8; // as what the additional calls of workspace 0 are counted
};
using Fleets = ::testing::Types<PromptFleet, LoadFleet>;
TYPED_TEST_SUITE(ModelRoomLoad, Fleets);

constexpr double asAlone = 0.02; // of on-time share

TYPED_TEST(ModelRoomLoad, a_burst_of_deferrable_work_leaves_urgent_work_as_it_is_alone)
{
    const double alone = this->aloneShare();
    EXPECT_GE(this->playUsualWith(deferrableCaller(2), 0.8)[0].onTimeShare(), alone - asAlone);
    EXPECT_LT(this->playUsualWith(deferrableCaller(2), 0.8, false)[0].onTimeShare(), alone - asAlone) << "without an order";
}

TYPED_TEST(ModelRoomLoad, a_burst_of_urgent_work_is_served_no_less_often_and_no_later_than_deferrable_work)
{
    auto counts = this->playUsualWith(callerOf(2, urgent), 0.5);
    for (const int kind : {0, 2}) {
        EXPECT_GE(counts[kind].servedShare(), counts[1].servedShare()) << kind;
        EXPECT_LE(counts[kind].meanWaitMs(), counts[1].meanWaitMs()) << kind;
    }
}

TYPED_TEST(ModelRoomLoad, a_workspace_at_six_times_its_usual_costs_the_others_less_than_a_tenth)
{
    const double ordered = this->othersShare(true, true);
    EXPECT_GT(ordered, 0.9 * this->othersShare(true, false));
    EXPECT_GT(ordered, this->othersShare(false, true)) << "without an order";
}

TYPED_TEST(ModelRoomLoad, with_a_quarter_of_the_replicas_gone_a_burst_of_deferrable_work_leaves_urgent_work_as_it_is_alone)
{
    EXPECT_GE(this->playUsualWith(deferrableCaller(2), 0.8, true, true)[0].onTimeShare(), this->aloneShare(true) - asAlone);
}

TYPED_TEST(ModelRoomLoad, with_a_quarter_of_the_replicas_gone_a_hot_workspace_costs_the_others_less_than_a_tenth)
{
    EXPECT_GT(this->othersShare(true, true, true), 0.9 * this->othersShare(true, false, true));
}

TYPED_TEST(ModelRoomLoad, deferrable_callers_that_repeat_three_times_cost_urgent_ones_nothing)
{
    auto caller = deferrableCaller(2);
    caller.repeats = 3;
    auto counts = this->playUsualWith(caller, 0.8);
    EXPECT_GE(counts[0].onTimeShare(), this->aloneShare() - asAlone);
    EXPECT_GE(counts[2].servedShare(), 0.8) << "later, not lost";
}

// Guards against room that callers keep who no longer wait.
TYPED_TEST(ModelRoomLoad, callers_that_leave_hold_nothing)
{
    auto caller = callerOf(2, urgent);
    auto without = this->playUsualWith(caller, 0.0001);
    caller.leaves = true;
    auto counts = this->playUsualWith(caller, 0.4);
    for (const int kind : {0, 1}) {
        EXPECT_GE(counts[kind].servedShare(), without[kind].servedShare() - asAlone) << kind;
    }
}

} // namespace
} // namespace baobabstall::serving
