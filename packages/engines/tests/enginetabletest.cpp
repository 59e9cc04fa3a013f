#include <gtest/gtest.h>

#include <engines/enginetable.h>

namespace baobabstall::engines {

namespace {

const settings::Loads loads{.typical = Milliseconds(250), .timeout = Milliseconds(10'000)};
const settings::Admission admission{.engineConcurrency = 2, .maxQueue = 4, .maxQueueWait = Milliseconds(5'000)};
const AdapterRef a = *AdapterRef::parse("c/a@v1");
const AdapterRef b = *AdapterRef::parse("c/b@v1");
constexpr Epoch own(20);
constexpr Epoch old(10);

/// A table with one slot, and its actions by kind.
class EngineTableTest : public testing::Test
{
protected:
    explicit EngineTableTest(bool checksFencing = false)
        : table_({UpstreamId("engine-1"), core::BaseModel("base"), 1, checksFencing}, own, loads, admission)
    { }

    void list(std::vector<ListedAdapter> names, int start = 1)
    {
        take();
        table_.listed({EngineStart(static_cast<std::uint64_t>(start)), 1, std::move(names)}, now_);
        take();
    }
    void take()
    {
        for (Action &action : table_.takeActions(now_)) {
            actions_.push_back(std::move(action));
        }
    }
    void wait(int milliseconds)
    {
        now_ = now_ + Milliseconds(milliseconds);
        take();
    }
    void enqueue(const std::string &id, const AdapterRef &adapter, const std::string &plan = "plan", double share = 1)
    {
        table_.enqueue({RequestId(id), adapter, PlanId(plan), share, now_ + Milliseconds(60'000)}, now_);
        take();
    }
    void finish(const std::string &id, RequestEnd end = RequestEnd::Complete)
    {
        table_.finished(RequestId(id), end, now_);
        take();
    }
    void grantAndLoad(const AdapterRef &adapter)
    {
        table_.permitGranted(adapter, PermitId(++permits_), now_);
        take();
        table_.loadEnded({adapter, own}, LoadOutcome::Loaded, now_);
        take();
    }
    void evictFor(const AdapterRef &adapter)
    {
        table_.permitGranted(adapter, PermitId(++permits_), now_);
        take();
    }
    template<typename T>
    std::vector<T> all() const
    {
        std::vector<T> found;
        for (const Action &action : actions_) {
            if (const T *each = std::get_if<T>(&action)) {
                found.push_back(*each);
            }
        }
        return found;
    }
    template<typename T>
    std::size_t count() const
    {
        return all<T>().size();
    }

    EngineTable table_;
    Instant now_{10'000};
    std::vector<Action> actions_;
    std::uint64_t permits_ = 0;
};

class FencedEngineTableTest : public EngineTableTest
{
protected:
    FencedEngineTableTest()
        : EngineTableTest(true)
    { }
};

} // namespace

TEST(EngineName, reads_what_it_prints)
{
    EXPECT_EQ(EngineAdapterName::parse("c/a@v1#20"), (EngineAdapterName{a, own}));
    for (const auto *text : {"c/a@v1", "c/a@v1#", "c/a@v1#0", "c/a@v1#x", "base", "#3"}) {
        EXPECT_FALSE(EngineAdapterName::parse(text)) << text;
    }
}

TEST_F(EngineTableTest, requests_of_one_adapter_wait_for_one_load_and_run_together)
{
    list({});
    enqueue("r1", a);
    enqueue("r2", a);
    EXPECT_EQ(count<RequestPermit>(), 2U) << "the second ask only raises the worth";
    grantAndLoad(a);
    EXPECT_EQ(count<OrderLoad>(), 1U);
    EXPECT_EQ(count<StartRequest>(), 2U);
    EXPECT_EQ(count<ReleasePermit>(), 1U);
}

TEST_F(EngineTableTest, an_evict_order_waits_for_pins_and_blocks_new_ones)
{
    list({});
    enqueue("r1", a);
    grantAndLoad(a);
    enqueue("r2", b);
    EXPECT_EQ(count<RequestPermit>(), 1U) << "no slot can be had, so no permit is asked for";
    finish("r1");
    evictFor(b);
    ASSERT_EQ(count<OrderUnload>(), 1U);
    enqueue("r3", a);
    EXPECT_EQ(count<StartRequest>(), 1U) << "an evict order is out for its name";
    table_.unloadEnded({a, own}, UnloadOutcome::Unloaded, now_);
    take();
    EXPECT_EQ(all<OrderLoad>().back().name.adapter, b);
}

TEST_F(EngineTableTest, a_name_is_not_loaded_while_its_unload_is_out)
{
    list({});
    enqueue("r1", a);
    grantAndLoad(a);
    finish("r1");
    enqueue("r2", b);
    evictFor(b);
    table_.cancel(RequestId("r2"), now_);
    enqueue("r3", a);
    table_.permitGranted(a, PermitId(99), now_);
    take();
    EXPECT_EQ(count<OrderLoad>(), 1U);
}

TEST_F(EngineTableTest, a_listing_asked_for_before_an_unload_does_not_bring_the_name_back)
{
    list({});
    enqueue("r1", a);
    grantAndLoad(a);
    finish("r1", RequestEnd::Lost);
    wait(500); // asks for a listing
    table_.listed({EngineStart(1), 1, {{"c/a@v1#20", 0}}}, now_);
    enqueue("r2", b);
    evictFor(b);
    table_.listingFailed(now_);
    wait(500);
    const std::size_t listings = count<FetchListing>();
    EXPECT_GE(listings, 2U);
    table_.unloadEnded({a, own}, UnloadOutcome::Unloaded, now_);
    table_.listed({EngineStart(1), 1, {{"c/a@v1#20", 0}}}, now_);
    take();
    enqueue("r3", a);
    EXPECT_EQ(count<StartRequest>(), 1U);
}

TEST_F(EngineTableTest, a_lost_request_pins_its_name_until_a_listing_shows_it_ended)
{
    list({});
    enqueue("r1", a);
    grantAndLoad(a);
    finish("r1", RequestEnd::Lost);
    enqueue("r2", b);
    evictFor(b);
    EXPECT_EQ(count<OrderUnload>(), 0U);
    wait(500);
    list({{"c/a@v1#20", 1}});
    EXPECT_EQ(count<OrderUnload>(), 0U);
    wait(500);
    list({{"c/a@v1#20", 0}});
    evictFor(b);
    EXPECT_EQ(count<OrderUnload>(), 1U);
}

TEST_F(EngineTableTest, a_listed_request_may_be_the_lost_one_even_when_another_is_pinned)
{
    list({});
    enqueue("r1", a);
    grantAndLoad(a);
    enqueue("r2", a);
    finish("r1", RequestEnd::Lost);
    wait(500);
    list({{"c/a@v1#20", 1}}); // r2 may have ended on the engine, its answer is on the way
    finish("r2");
    enqueue("r3", b);
    evictFor(b);
    EXPECT_EQ(count<OrderUnload>(), 0U);
}

TEST_F(EngineTableTest, after_a_restart_running_requests_are_reported_and_nothing_is_believed)
{
    list({});
    enqueue("r1", a);
    enqueue("r2", a);
    grantAndLoad(a);
    table_.adapterNotFound(RequestId("r2"), now_);
    enqueue("r3", a);
    EXPECT_EQ(count<StartRequest>(), 2U) << "the list is in doubt";
    list({}, 2);
    ASSERT_EQ(count<AbortRequest>(), 1U);
    EXPECT_EQ(all<AbortRequest>()[0].id, RequestId("r1"));
    EXPECT_EQ(all<AbortRequest>()[0].error.outcome, core::Outcome::Unknown);
    grantAndLoad(a);
    EXPECT_EQ(count<StartRequest>(), 3U) << "r2 again; r1's call is not closed";
    finish("r1");
    EXPECT_EQ(count<StartRequest>(), 4U);
}

TEST_F(EngineTableTest, a_load_that_crossed_a_restart_counts_only_when_listed)
{
    list({});
    enqueue("r1", a);
    evictFor(a);
    ASSERT_EQ(count<OrderLoad>(), 1U);
    enqueue("r2", b);
    table_.loadEnded({a, own}, LoadOutcome::Unknown, now_);
    list({}, 2);
    EXPECT_EQ(count<StartRequest>(), 0U);
    grantAndLoad(a);
    EXPECT_EQ(count<StartRequest>(), 1U);
}

TEST_F(EngineTableTest, a_name_whose_unload_answer_was_lost_is_not_loaded_again_for_a_while)
{
    list({});
    enqueue("r1", a);
    grantAndLoad(a);
    finish("r1");
    enqueue("r2", b);
    evictFor(b);
    table_.unloadEnded({a, own}, UnloadOutcome::Unknown, now_);
    list({}, 2);
    const std::size_t asks = count<RequestPermit>();
    enqueue("r3", a);
    EXPECT_EQ(count<RequestPermit>(), asks);
    ASSERT_EQ(count<RefuseRequest>(), 1U) << "it will not be loaded in time, so it is told at once";
    EXPECT_GT(all<RefuseRequest>()[0].error.retryAfter, Milliseconds(5'000));
}

TEST_F(EngineTableTest, without_fencing_names_of_an_earlier_owner_are_left_alone_until_it_is_gone)
{
    list({{"c/a@v1#10", 0}});
    enqueue("r1", a);
    wait(2'000);
    EXPECT_EQ(count<StartRequest>() + count<OrderUnload>() + count<RequestPermit>(), 0U);
    table_.ownerGone(old, now_);
    wait(1'000);
    list({{"c/a@v1#10", 1}});
    EXPECT_EQ(count<RequestPermit>(), 0U) << "a request of the earlier owner still runs";
    wait(500);
    list({{"c/a@v1#10", 0}});
    evictFor(a);
    ASSERT_EQ(count<OrderUnload>(), 1U);
    EXPECT_EQ(all<OrderUnload>()[0].name.epoch, old);
}

TEST_F(FencedEngineTableTest, names_of_an_earlier_owner_are_served_once_our_order_was_taken_and_listed_after)
{
    list({{"c/a@v1#10", 0}});
    enqueue("r1", a);
    ASSERT_EQ(count<OrderUnload>(), 1U);
    const EngineAdapterName probe = all<OrderUnload>()[0].name;
    EXPECT_EQ(probe.epoch, own);
    table_.unloadEnded(probe, UnloadOutcome::NotHeld, now_);
    EXPECT_EQ(count<StartRequest>(), 0U);
    list({{"c/a@v1#10", 0}});
    ASSERT_EQ(count<StartRequest>(), 1U);
    EXPECT_EQ(all<StartRequest>()[0].name, (EngineAdapterName{a, old}));
    finish("r1");
    enqueue("r2", b);
    EXPECT_EQ(count<OrderUnload>(), 1U) << "served, but not evicted without evidence";
}

TEST_F(FencedEngineTableTest, a_stale_number_ends_ownership_and_waiting_requests_can_go_to_the_successor)
{
    list({});
    enqueue("r1", a);
    evictFor(a);
    table_.loadEnded({a, own}, LoadOutcome::StaleFencing, now_);
    take();
    ASSERT_EQ(count<RefuseRequest>(), 1U);
    EXPECT_EQ(all<RefuseRequest>()[0].error.outcome, core::Outcome::NotRun);
    EXPECT_FALSE(table_.probe(a, now_).accepting);
}

TEST_F(EngineTableTest, a_drain_refuses_what_waits_and_lets_run_what_runs)
{
    list({});
    enqueue("r1", a);
    grantAndLoad(a);
    enqueue("r2", b);
    table_.drain(now_);
    take();
    EXPECT_EQ(count<RefuseRequest>(), 1U);
    EXPECT_EQ(table_.runningCount(), 1U);
    EXPECT_FALSE(table_.hasPendingOrders());
}

TEST_F(EngineTableTest, a_plan_that_fills_the_queue_gives_way_to_another)
{
    list({});
    for (int request = 0; request < 5; ++request) {
        enqueue("f" + std::to_string(request), a, "flood");
    }
    EXPECT_EQ(all<RefuseRequest>().back().id, RequestId("f4"));
    EXPECT_TRUE(all<RefuseRequest>().back().error.retryAfter);
    enqueue("r1", a, "calm");
    EXPECT_EQ(all<RefuseRequest>().back().id, RequestId("f3"));
}

TEST_F(EngineTableTest, a_hint_counts_the_queue_of_every_plan)
{
    list({});
    enqueue("r1", a);
    enqueue("r2", a);
    grantAndLoad(a);
    const Milliseconds before = table_.probe(a, now_).expectedWait;
    enqueue("r3", a, "flood");
    enqueue("r4", a, "flood");
    EXPECT_EQ(table_.probe(a, now_).expectedWait, before * 3);
}

TEST_F(EngineTableTest, what_was_taken_in_is_not_refused_when_the_queue_grows)
{
    list({});
    enqueue("slow", a);
    grantAndLoad(a);
    wait(30'000);
    finish("slow"); // a mean of about 4 s, two at once
    for (const auto *id : {"r1", "r2", "r3", "r4", "r5"}) {
        enqueue(id, a);
    }
    ASSERT_EQ(count<RefuseRequest>(), 1U) << "the last one would wait for more than 5 s";
    EXPECT_EQ(all<RefuseRequest>()[0].id, RequestId("r5"));
    wait(1'000);
    EXPECT_EQ(count<RefuseRequest>(), 1U);
    EXPECT_EQ(table_.waitingCount(), 2U);
}

TEST_F(EngineTableTest, a_probe_for_a_plan_counts_what_is_served_before_it)
{
    list({});
    enqueue("f0", a, "flood");
    grantAndLoad(a);
    for (int request = 1; request < 5; ++request) {
        enqueue("f" + std::to_string(request), a, "flood");
    }
    const PlanId calm("calm");
    const PlanId flood("flood");
    EXPECT_LT(table_.probe(a, calm, 1, now_).expectedWait, table_.probe(a, flood, 1, now_).expectedWait);
    EXPECT_EQ(table_.probe(a, now_).expectedWait, table_.probe(a, flood, 1, now_).expectedWait) << "of no plan: behind all that wait";
}

TEST_F(EngineTableTest, a_load_that_keeps_failing_refuses_its_requests_at_once)
{
    list({});
    enqueue("r1", a);
    for (int attempt = 0; attempt < EngineTable::maxLoadAttempts; ++attempt) {
        evictFor(a);
        table_.loadEnded({a, own}, LoadOutcome::Failed, now_);
        wait(250);
    }
    ASSERT_EQ(count<RefuseRequest>(), 1U);
    EXPECT_EQ(all<RefuseRequest>()[0].error.step, core::Step::Load);
}

TEST(DecayedFrequency, a_scan_does_not_wash_out_a_hot_adapter)
{
    DecayedFrequency policy(Milliseconds(60'000));
    Instant now(0);
    for (int cold = 0; cold < 6'000; ++cold) { // 100 a second, each once; the hot one every two seconds
        now = now + Milliseconds(10);
        const AdapterRef scanned = *AdapterRef::parse("c/cold" + std::to_string(cold) + "@v1");
        policy.used(scanned, 1, now);
        if (cold % 200 == 0) {
            policy.used(a, 1, now);
        }
        if (cold > 3'000) {
            ASSERT_GT(policy.value(a, now), 10 * policy.value(scanned, now)) << now.sinceOrigin();
        }
    }
    EXPECT_LE(policy.size(), DecayedFrequency::maxTrackedAdapters);
}

TEST(DecayedFrequency, an_adapter_silent_for_longer_than_its_rate_explains_loses_its_value)
{
    DecayedFrequency policy(Milliseconds(60'000));
    Instant now(0);
    for (int request = 0; request < 300; ++request) { // 5 a second, then none: popularity has shifted
        now = now + Milliseconds(200);
        policy.used(a, 1, now);
    }
    now = now + Milliseconds(20'000);
    policy.used(b, 1, now);
    EXPECT_GT(policy.ratePerSecond(a, now), policy.ratePerSecond(b, now));
    EXPECT_LT(policy.value(a, now), policy.value(b, now));
}

} // namespace baobabstall::engines
