// What an owner orders at a replica fits by the newest report and the configuration in force (issue 42, LIMIT and CONFIG).
#include <random>

#include <gtest/gtest.h>

#include <serving/residency.h>

namespace baobabstall::serving {
namespace {

constexpr Milliseconds timeUntilLate{800};

ModelSpec model(const std::string &name, double weightsMb, double adapterMb)
{
    return {BaseModel(name), weightsMb, adapterMb, Milliseconds(2'000), Milliseconds(1'000)};
}

EngineSpec engineOf(double memoryMb, int adapterSlots, std::vector<ModelSpec> models)
{
    return {8, 100'000, memoryMb, adapterSlots, 5, std::move(models)};
}

/// A replica that counts megabytes and adapters, and crashes on an order beyond them. Its reports are some hundred ms old.
class CountingReplica
{
public:
    static constexpr Milliseconds modelLoadTime{600};
    static constexpr Milliseconds adapterLoadTime{50};
    static constexpr Milliseconds reportAge{300};

    explicit CountingReplica(EngineSpec engine)
        : engine_(std::move(engine))
    { }

    void hold(const std::string &name) { models_[BaseModel(name)] = Instant(); }
    void setEngine(EngineSpec engine) { engine_ = std::move(engine); }

    OrderOutcome execute(const Order &order, Instant now)
    {
        note(now);
        const bool isBusy = std::any_of(models_.begin(), models_.end(), [now](const auto &each) { return each.second > now; });
        const bool isHeld = order.kind == OrderKind::LoadModel ? models_.contains(order.weights.model) : adapters_.contains(order.weights);
        if (order.kind != OrderKind::UnloadAdapter && isHeld) {
            const auto at = order.kind == OrderKind::LoadModel ? models_.at(order.weights.model) : adapters_.at(order.weights);
            return at <= now ? OrderOutcome::Completed : OrderOutcome::Accepted;
        }
        if (isBusy || order.expectedSequence != sequence_) {
            return OrderOutcome::Conflict;
        }
        sequence_ = sequence_.next();
        if (order.kind == OrderKind::UnloadAdapter) {
            adapters_.erase(order.weights);
        } else if (order.kind == OrderKind::LoadModel) {
            models_[order.weights.model] = now + modelLoadTime;
        } else {
            adapters_[order.weights] = now + adapterLoadTime;
        }
        EXPECT_TRUE(order.kind == OrderKind::UnloadAdapter || fits()) << "the replica crashes: " << usedMb() << " MB, " << adapters_.size() << " adapters";
        hasCrashed = hasCrashed || (order.kind != OrderKind::UnloadAdapter && !fits());
        return order.kind == OrderKind::UnloadAdapter ? OrderOutcome::Completed : OrderOutcome::Accepted;
    }

    /// As of some hundred ms ago.
    [[nodiscard]] ReplicaReport report(Instant now)
    {
        note(now);
        auto found = history_.front().second;
        for (const auto &[at, each] : history_) {
            found = at + reportAge <= now ? each : found;
        }
        return found;
    }

    [[nodiscard]] double usedMb() const
    {
        double sum = 0;
        for (const auto &[name, at] : models_) {
            sum += specOf(name).weightsMb;
        }
        for (const auto &[key, at] : adapters_) {
            sum += specOf(key.model).adapterMb;
        }
        return sum;
    }
    [[nodiscard]] bool fits() const { return usedMb() <= engine_.weightsMemoryMb && static_cast<int>(adapters_.size()) <= engine_.adapterSlots; }
    [[nodiscard]] std::size_t adapters() const { return adapters_.size(); }
    [[nodiscard]] std::size_t models() const { return models_.size(); }
    bool hasCrashed = false;
    std::vector<ModelSpec> known; // also of models that are no longer configured

private:
    [[nodiscard]] ModelSpec specOf(const BaseModel &name) const
    {
        for (const auto *list : {&engine_.models, &known}) {
            for (const auto &each : *list) {
                if (each.name == name) {
                    return each;
                }
            }
        }
        return {};
    }

    void note(Instant now)
    {
        ReplicaReport report;
        report.sequence = sequence_;
        for (const auto &[name, at] : models_) {
            report.isChangingModel = report.isChangingModel || at > now;
            if (at > now) {
                continue;
            }
            HeldModel held;
            held.name = name;
            for (const auto &[key, loadedAt] : adapters_) {
                if (key.model == name && loadedAt <= now) {
                    held.adapters.push_back({key.adapter, AdapterRevision(1)});
                }
            }
            report.models.push_back(held);
        }
        for (const auto &[key, loadedAt] : adapters_) {
            if (loadedAt > now) {
                report.loadingAdapters.emplace_back(key, AdapterRevision(1));
            }
        }
        history_.emplace_back(now, report);
    }

    EngineSpec engine_;
    std::map<BaseModel, Instant> models_;
    std::map<AdapterKey, Instant> adapters_;
    OrderSequence sequence_;
    std::vector<std::pair<Instant, ReplicaReport>> history_;
};

class ResidencyCapacityTest : public ::testing::Test
{
protected:
    void useEngine(const EngineSpec &engine)
    {
        replica_ = std::make_unique<CountingReplica>(engine);
        residency_.setEngine(engine, now_);
    }

    /// Reads reports and carries out orders for so long.
    void run(Milliseconds time, Residency &residency)
    {
        constexpr Milliseconds step{10};
        for (const auto until = now_ + time; now_ < until; now_ = now_ + step) {
            if (residency.needsReport(now_)) {
                residency.onReport(replica_->report(now_), now_);
            }
            for (int i = 0; i < 4; ++i) {
                const auto order = residency.nextOrder(true, now_);
                if (!order) {
                    break;
                }
                residency.onOrderOutcome(*order, replica_->execute(*order, now_), now_);
            }
        }
    }
    void run(Milliseconds time) { run(time, residency_); }

    void ask(const std::string &base, int number)
    {
        const AdapterKey key{BaseModel(base), AdapterName("a" + std::to_string(number))};
        static_cast<void>(residency_.requestLease(key, {}, now_ + timeUntilLate, true, now_));
    }

    Instant now_{100'000};
    Residency residency_{ResidencyOptions()};
    std::unique_ptr<CountingReplica> replica_;
};

// Guards against a twelfth adapter where eleven fit beside both base models, on which the replica crashed (issue 42, LIMIT).
TEST_F(ResidencyCapacityTest, adapters_are_ordered_only_as_they_fit_beside_all_base_models_that_are_held)
{
    useEngine(engineOf(67'000, 16, {model("m1", 30'000, 600), model("m2", 30'000, 600)}));
    replica_->hold("m1");
    replica_->hold("m2");
    for (int i = 0; i < 20; ++i) {
        ask("m1", i);
        ask("m2", i);
        run(Milliseconds(100));
    }
    run(Milliseconds(3'000));
    EXPECT_EQ(replica_->adapters(), 11U);
    EXPECT_FALSE(replica_->hasCrashed);
}

TEST_F(ResidencyCapacityTest, whichever_of_memory_and_places_binds_first_is_kept)
{
    useEngine(engineOf(67'000, 5, {model("m1", 30'000, 600), model("m2", 30'000, 12)}));
    replica_->hold("m1");
    replica_->hold("m2");
    for (int i = 0; i < 10; ++i) {
        ask("m2", i);
    }
    run(Milliseconds(3'000));
    EXPECT_EQ(replica_->adapters(), 5U);
}

TEST_F(ResidencyCapacityTest, where_no_adapter_fits_none_is_ordered_and_the_request_is_told_at_once)
{
    useEngine(engineOf(60'100, 16, {model("m1", 30'000, 600), model("m2", 30'000, 50)}));
    replica_->hold("m1");
    replica_->hold("m2");
    run(Milliseconds(100));
    EXPECT_FALSE(residency_.canHold({BaseModel("m1"), AdapterName("a")}));
    EXPECT_TRUE(residency_.canHold({BaseModel("m2"), AdapterName("a")}));
    ask("m1", 1);
    run(Milliseconds(2'000));
    EXPECT_EQ(replica_->adapters(), 0U);
}

// Guards against a second base model beside one whose load was ordered by an owner that is gone (issue 42, LIMIT).
TEST_F(ResidencyCapacityTest, a_base_model_that_another_owner_ordered_is_waited_for)
{
    const auto engine = engineOf(67'000, 16, {model("m1", 40'000, 12), model("m2", 40'000, 12)});
    for (Milliseconds killedAfter{0}; killedAfter < Milliseconds(900); killedAfter = killedAfter + Milliseconds(50)) {
        replica_ = std::make_unique<CountingReplica>(engine);
        Residency first{ResidencyOptions()};
        first.setEngine(engine, now_);
        first.setWantedModel(BaseModel("m1"));
        static_cast<void>(replica_->report(now_));
        run(Milliseconds(100) + killedAfter, first);
        Residency next{ResidencyOptions()};
        next.setEngine(engine, now_);
        next.setWantedModel(BaseModel("m2"));
        run(Milliseconds(4'000), next);
        EXPECT_EQ(replica_->models(), 1U) << killedAfter.count();
        EXPECT_TRUE(next.holdsModel()) << killedAfter.count();
    }
}

// The owner knows nothing but reports: one that is as new as the order's carrying-out may not show the load yet.
TEST_F(ResidencyCapacityTest, a_base_model_that_is_loading_counts_against_adapters)
{
    useEngine(engineOf(67'000, 16, {model("m1", 30'000, 600), model("m2", 30'000, 600)}));
    ReplicaReport report;
    report.models.push_back({BaseModel("m1"), {}});
    report.isChangingModel = true;
    residency_.onReport(report, now_);
    int ordered = 0;
    for (int i = 0; i < 40; ++i) {
        ask("m1", i);
    }
    while (const auto order = residency_.nextOrder(true, now_)) {
        ASSERT_EQ(order->kind, OrderKind::LoadAdapter);
        ++ordered;
        residency_.onOrderOutcome(*order, OrderOutcome::Accepted, now_);
        residency_.onOrderOutcome(*order, OrderOutcome::Completed, now_);
    }
    EXPECT_EQ(ordered, 11);
}

TEST_F(ResidencyCapacityTest, a_configuration_that_changes_the_memory_is_followed)
{
    const auto before = engineOf(67'000, 16, {model("m1", 60'000, 600)});
    auto after = before;
    useEngine(before);
    replica_->hold("m1");
    const auto askAll = [this] {
        for (int i = 0; i < 30; ++i) {
            ask("m1", i);
        }
    };
    askAll();
    run(Milliseconds(2'000));
    EXPECT_EQ(replica_->adapters(), 11U);
    after.weightsMemoryMb = 63'000; // down: what is held stays until it is replaced, nothing is added
    residency_.setEngine(after, now_);
    askAll();
    run(Milliseconds(8'000));
    replica_->setEngine(after);
    EXPECT_TRUE(replica_->fits()) << replica_->adapters();
    after.weightsMemoryMb = 70'000;
    after.adapterSlots = 12;
    residency_.setEngine(after, now_);
    replica_->setEngine(after);
    askAll();
    run(Milliseconds(4'000));
    EXPECT_EQ(replica_->adapters(), 12U);
    EXPECT_FALSE(replica_->hasCrashed);
}

TEST_F(ResidencyCapacityTest, a_configuration_that_changes_the_size_of_adapters_is_followed)
{
    const auto before = engineOf(67'000, 16, {model("m1", 60'000, 600)});
    useEngine(before);
    replica_->hold("m1");
    auto after = before;
    after.models[0].adapterMb = 3'000;
    residency_.setEngine(after, now_);
    replica_->setEngine(after);
    for (int i = 0; i < 10; ++i) {
        ask("m1", i);
    }
    run(Milliseconds(3'000));
    EXPECT_EQ(replica_->adapters(), 2U);
}

TEST_F(ResidencyCapacityTest, a_base_model_that_is_held_counts_after_it_was_removed_from_the_configuration)
{
    const auto before = engineOf(67'000, 16, {model("m1", 40'000, 600), model("m2", 20'000, 600)});
    useEngine(before);
    replica_->hold("m1");
    replica_->known = before.models;
    run(Milliseconds(100));
    auto after = before;
    after.models.erase(after.models.begin());
    residency_.setEngine(after, now_);
    replica_->setEngine(after);
    run(Milliseconds(3'000));
    EXPECT_TRUE(residency_.holdsModel());
    for (int i = 0; i < 20; ++i) {
        ask("m2", i);
        ask("m1", i);
    }
    run(Milliseconds(3'000));
    EXPECT_EQ(replica_->adapters(), 11U) << "7,000 MB are left";
    EXPECT_FALSE(replica_->hasCrashed);
}

TEST_F(ResidencyCapacityTest, nothing_is_ordered_while_the_list_of_models_is_empty)
{
    const auto full = engineOf(67'000, 16, {model("m1", 40'000, 600)});
    useEngine(full);
    replica_->hold("m1");
    run(Milliseconds(100));
    residency_.setEngine(engineOf(67'000, 16, {}), now_);
    ask("m1", 1);
    run(Milliseconds(1'000));
    EXPECT_EQ(replica_->adapters(), 0U);
    EXPECT_FALSE(residency_.needsReport(now_));
    residency_.setEngine(full, now_);
    run(Milliseconds(1'000));
    EXPECT_EQ(replica_->adapters(), 1U);
}

TEST_F(ResidencyCapacityTest, an_order_without_answer_is_not_sent_again_after_the_configuration_has_changed)
{
    auto engine = engineOf(67'000, 16, {model("m1", 60'000, 600)});
    useEngine(engine);
    replica_->hold("m1");
    residency_.onReport(replica_->report(now_), now_);
    ask("m1", 1);
    const auto order = residency_.nextOrder(true, now_);
    ASSERT_TRUE(order);
    residency_.onOrderOutcome(*order, OrderOutcome::Unknown, now_);
    engine.weightsMemoryMb = 60'100;
    residency_.setEngine(engine, now_);
    EXPECT_FALSE(residency_.nextOrder(true, now_));
    EXPECT_FALSE(residency_.needsReport(now_)) << "the report is read when it is newer than the order";
}

// Guards against orders to load while a replica holds more than a configuration that went down allows (issue 42, CONFIG).
TEST_F(ResidencyCapacityTest, nothing_more_is_ordered_until_it_fits_a_configuration_that_went_down)
{
    const auto before = engineOf(67'000, 16, {model("m1", 60'000, 600)});
    auto lessMemory = before;
    lessMemory.weightsMemoryMb = 63'000;
    auto fewerPlaces = before;
    fewerPlaces.adapterSlots = 5;
    auto largerAdapters = before;
    largerAdapters.models[0].adapterMb = 1'300;
    for (const auto &after : {lessMemory, fewerPlaces, largerAdapters}) {
        SCOPED_TRACE(std::to_string(after.weightsMemoryMb) + " MB, " + std::to_string(after.adapterSlots) + " places");
        residency_ = Residency{ResidencyOptions()};
        useEngine(before);
        replica_->hold("m1");
        for (int i = 0; i < 11; ++i) {
            ask("m1", i);
        }
        run(Milliseconds(2'000));
        ASSERT_EQ(replica_->adapters(), 11U);
        replica_->setEngine(after); // from now on it crashes at any load that leaves it with too much
        residency_.setEngine(after, now_);
        run(Milliseconds(5'000));
        EXPECT_EQ(replica_->adapters(), 11U) << "nobody asks for anything else";
        for (int i = 20; i < 25; ++i) {
            ask("m1", i);
        }
        run(Milliseconds(8'000));
        EXPECT_FALSE(replica_->hasCrashed);
        EXPECT_EQ(replica_->adapters(), 5U) << "filled again as far as the configuration allows";
        for (int i = 20; i < 25; ++i) {
            EXPECT_TRUE(residency_.isHeld({BaseModel("m1"), AdapterName("a" + std::to_string(i))})) << i;
        }
    }
}

// The same for adapters that are on their way when the configuration changes: they count, and nothing joins them.
TEST_F(ResidencyCapacityTest, loads_on_their_way_count_when_a_configuration_goes_down)
{
    const auto before = engineOf(67'000, 16, {model("m1", 60'000, 600)});
    auto after = before;
    after.weightsMemoryMb = 61'800;
    useEngine(before);
    replica_->hold("m1");
    residency_.onReport(replica_->report(now_), now_);
    for (int i = 0; i < 4; ++i) {
        ask("m1", i);
        const auto order = residency_.nextOrder(true, now_);
        ASSERT_TRUE(order && order->kind == OrderKind::LoadAdapter);
        residency_.onOrderOutcome(*order, replica_->execute(*order, now_), now_);
    }
    residency_.setEngine(after, now_);
    replica_->setEngine(after);
    for (int i = 10; i < 13; ++i) {
        ask("m1", i);
    }
    run(Milliseconds(8'000));
    EXPECT_FALSE(replica_->hasCrashed);
    EXPECT_EQ(replica_->adapters(), 3U);
}

// A base model that is added to the list of a service whose replica is full is not loaded beside it.
TEST_F(ResidencyCapacityTest, no_base_model_is_ordered_while_the_replica_holds_more_than_is_configured)
{
    const auto before = engineOf(67'000, 16, {model("m1", 60'000, 600)});
    useEngine(before);
    replica_->hold("m1");
    replica_->known = before.models;
    run(Milliseconds(100));
    const auto after = engineOf(50'000, 16, {model("m2", 20'000, 600)});
    residency_.setEngine(after, now_);
    replica_->setEngine(after);
    ask("m2", 1);
    run(Milliseconds(5'000));
    EXPECT_EQ(replica_->models(), 1U);
    EXPECT_EQ(replica_->adapters(), 0U);
}

// Newer revisions take the place of those that are held, so a full replica gets them; adapters that are held are replaced, not unloaded first.
TEST_F(ResidencyCapacityTest, adapters_that_are_held_are_replaced_by_newer_revisions_in_a_replica_that_is_over_full)
{
    auto engine = engineOf(67'000, 16, {model("m1", 60'000, 600)});
    useEngine(engine);
    replica_->hold("m1");
    for (int i = 0; i < 11; ++i) {
        ask("m1", i);
    }
    run(Milliseconds(2'000));
    ASSERT_EQ(replica_->adapters(), 11U);
    engine.weightsMemoryMb = 63'000;
    residency_.setEngine(engine, now_);
    const AdapterKey replaced{BaseModel("m1"), AdapterName("a3")};
    residency_.onRevision(replaced, AdapterRevision(2));
    const auto order = residency_.nextOrder(true, now_);
    ASSERT_TRUE(order);
    EXPECT_EQ(order->kind, OrderKind::LoadAdapter);
    EXPECT_EQ(order->weights, replaced);
    residency_.onOrderOutcome(*order, OrderOutcome::Accepted, now_);
    ask("m1", 20);
    const auto next = residency_.nextOrder(true, now_);
    EXPECT_FALSE(next && next->kind == OrderKind::LoadAdapter && next->weights != replaced) << "the replacement holds its place";
}

// Random orders of events: requests, configurations, owners that come and go, lost answers.
TEST_F(ResidencyCapacityTest, no_order_of_events_makes_a_replica_hold_more_than_fits)
{
    for (unsigned seed = 1; seed <= 60; ++seed) {
        std::mt19937 random(seed);
        const auto pick = [&random](int count) { return static_cast<int>(std::uniform_int_distribution<>(0, count - 1)(random)); };
        auto engine = engineOf(67'000, 4 + pick(14), {model("m1", 20'000 + 1'000 * pick(10), 200 + 100 * pick(8)), model("m2", 20'000, 100 + 300 * pick(5))});
        replica_ = std::make_unique<CountingReplica>(engine);
        replica_->known = engine.models;
        if (pick(3) > 0) {
            replica_->hold("m1");
        }
        if (pick(3) > 0) {
            replica_->hold("m2");
        }
        static_cast<void>(replica_->report(now_));
        residency_ = Residency{ResidencyOptions()};
        residency_.setEngine(engine, now_);
        for (int event = 0; event < 200 && !replica_->hasCrashed; ++event) {
            switch (pick(8)) {
            case 0: { // more memory only, so that what fits now fits at the replica as well
                engine.weightsMemoryMb += 100 * pick(5);
                replica_->setEngine(engine);
                residency_.setEngine(engine, now_);
                break;
            }
            case 1: { // another owner, which knows nothing
                if (pick(4) == 0) {
                    residency_ = Residency{ResidencyOptions()};
                    residency_.setEngine(engine, now_);
                    residency_.setWantedModel(BaseModel(pick(2) == 0 ? "m1" : "m2"));
                }
                break;
            }
            case 2: { // an answer is lost
                if (const auto order = residency_.nextOrder(true, now_)) {
                    static_cast<void>(pick(2) == 0 ? replica_->execute(*order, now_) : OrderOutcome::Unknown);
                    residency_.onOrderOutcome(*order, OrderOutcome::Unknown, now_);
                }
                break;
            }
            default:
                ask(pick(2) == 0 ? "m1" : "m2", pick(30));
            }
            run(Milliseconds(10 + pick(80)));
        }
        ASSERT_FALSE(replica_->hasCrashed) << "seed " << seed;
    }
}

// The same with configurations that go up and down: an order never makes a replica that holds too much hold more.
TEST_F(ResidencyCapacityTest, no_order_of_configurations_makes_a_replica_load_beyond_the_one_in_force)
{
    for (unsigned seed = 1; seed <= 60; ++seed) {
        std::mt19937 random(seed);
        const auto pick = [&random](int count) { return std::uniform_int_distribution<>(0, count - 1)(random); };
        auto engine = engineOf(67'000, 12, {model("m1", 30'000, 600), model("m2", 20'000, 300)});
        residency_ = Residency{ResidencyOptions()};
        useEngine(engine);
        replica_->known = engine.models;
        replica_->hold("m1");
        replica_->hold("m2");
        for (int event = 0; event < 200 && !replica_->hasCrashed; ++event) {
            if (pick(12) == 0) {
                engine.weightsMemoryMb = 52'000 + 1'000 * pick(16);
                engine.adapterSlots = 1 + pick(16);
                engine.models[0].adapterMb = 200 + 100 * pick(8);
                replica_->setEngine(engine);
                residency_.setEngine(engine, now_);
            }
            ask(pick(2) == 0 ? "m1" : "m2", pick(30));
            run(Milliseconds(10 + pick(150)));
        }
        ASSERT_FALSE(replica_->hasCrashed) << "seed " << seed;
    }
}

} // namespace
} // namespace baobabstall::serving
