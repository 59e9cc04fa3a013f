#include <gtest/gtest.h>

#include <engines/enginetable.h>

namespace baobabstall::engines {

namespace {

const settings::Loads loads{.typical = Milliseconds(250), .timeout = Milliseconds(10'000)};
const settings::Admission admission{.engineConcurrency = 2, .maxQueue = 4, .maxQueueWait = Milliseconds(5'000)};
const AdapterRef adapterA = *AdapterRef::parse("c/a@v1");
const AdapterRef adapterB = *AdapterRef::parse("c/b@v1");
constexpr Epoch ownEpoch(20);
constexpr Epoch oldEpoch(10);

/// A table with one slot. Collects the actions, and returns them by type.
class EngineTableTest : public testing::Test
{
protected:
    explicit EngineTableTest(bool checksFencing = false)
        : table_({UpstreamId("engine-1"), core::BaseModel("base"), 1, checksFencing}, ownEpoch, loads, admission)
    { }

    void answerListing(std::vector<ListedAdapter> names, int start = 1)
    {
        collectActions();
        table_.listed({EngineStart(static_cast<std::uint64_t>(start)), 1, std::move(names)}, now_);
        collectActions();
    }
    void collectActions()
    {
        for (Action &action : table_.takeActions(now_)) {
            actions_.push_back(std::move(action));
        }
    }
    void advance(int milliseconds)
    {
        now_ = now_ + Milliseconds(milliseconds);
        collectActions();
    }
    void enqueue(const std::string &id, const AdapterRef &adapter, const std::string &plan = "plan", double share = 1)
    {
        table_.enqueue({RequestId(id), adapter, PlanId(plan), share, now_ + Milliseconds(60'000)}, now_);
        collectActions();
    }
    void finish(const std::string &id, RequestEnd end = RequestEnd::Complete)
    {
        table_.finished(RequestId(id), end, now_);
        collectActions();
    }
    void grantPermitAndLoad(const AdapterRef &adapter)
    {
        table_.permitGranted(adapter, PermitId(++lastPermit_), now_);
        collectActions();
        table_.loadEnded({adapter, ownEpoch}, LoadOutcome::Loaded, now_);
        collectActions();
    }
    void grantPermit(const AdapterRef &adapter)
    {
        table_.permitGranted(adapter, PermitId(++lastPermit_), now_);
        collectActions();
    }
    template<typename T>
    std::vector<T> actionsOf() const
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
    std::size_t countOf() const
    {
        return actionsOf<T>().size();
    }

    EngineTable table_;
    Instant now_{10'000};
    std::vector<Action> actions_;
    std::uint64_t lastPermit_ = 0;
};

class FencedEngineTableTest : public EngineTableTest
{
protected:
    FencedEngineTableTest()
        : EngineTableTest(true)
    { }
};

} // namespace

TEST(EngineName, parses_its_own_text)
{
    EXPECT_EQ(EngineAdapterName::parse("c/a@v1#20"), (EngineAdapterName{adapterA, ownEpoch}));
    for (const auto *text : {"c/a@v1", "c/a@v1#", "c/a@v1#0", "c/a@v1#x", "base", "#3"}) {
        EXPECT_FALSE(EngineAdapterName::parse(text)) << text;
    }
}

TEST_F(EngineTableTest, requests_of_one_adapter_wait_for_one_load_and_run_together)
{
    answerListing({});
    enqueue("r1", adapterA);
    enqueue("r2", adapterA);
    EXPECT_EQ(countOf<RequestPermit>(), 2U) << "the second request only raises the priority";
    grantPermitAndLoad(adapterA);
    EXPECT_EQ(countOf<OrderLoad>(), 1U);
    EXPECT_EQ(countOf<StartRequest>(), 2U);
    EXPECT_EQ(countOf<ReleasePermit>(), 1U);
}

TEST_F(EngineTableTest, an_unload_order_waits_for_pins_and_blocks_new_ones)
{
    answerListing({});
    enqueue("r1", adapterA);
    grantPermitAndLoad(adapterA);
    enqueue("r2", adapterB);
    EXPECT_EQ(countOf<RequestPermit>(), 1U) << "no slot can be freed, so no permit is requested";
    finish("r1");
    grantPermit(adapterB);
    ASSERT_EQ(countOf<OrderUnload>(), 1U);
    enqueue("r3", adapterA);
    EXPECT_EQ(countOf<StartRequest>(), 1U) << "an unload order is pending for its name";
    table_.unloadEnded({adapterA, ownEpoch}, UnloadOutcome::Unloaded, now_);
    collectActions();
    EXPECT_EQ(actionsOf<OrderLoad>().back().name.adapter, adapterB);
}

TEST_F(EngineTableTest, a_name_is_not_loaded_while_its_unload_is_pending)
{
    answerListing({});
    enqueue("r1", adapterA);
    grantPermitAndLoad(adapterA);
    finish("r1");
    enqueue("r2", adapterB);
    grantPermit(adapterB);
    table_.cancel(RequestId("r2"), now_);
    enqueue("r3", adapterA);
    table_.permitGranted(adapterA, PermitId(99), now_);
    collectActions();
    EXPECT_EQ(countOf<OrderLoad>(), 1U);
}

TEST_F(EngineTableTest, a_listing_requested_before_an_unload_does_not_restore_the_name)
{
    answerListing({});
    enqueue("r1", adapterA);
    grantPermitAndLoad(adapterA);
    finish("r1", RequestEnd::Lost);
    advance(500); // requests a listing
    table_.listed({EngineStart(1), 1, {{"c/a@v1#20", 0}}}, now_);
    enqueue("r2", adapterB);
    grantPermit(adapterB);
    table_.listingFailed(now_);
    advance(500);
    const std::size_t listingRequests = countOf<FetchListing>();
    EXPECT_GE(listingRequests, 2U);
    table_.unloadEnded({adapterA, ownEpoch}, UnloadOutcome::Unloaded, now_);
    table_.listed({EngineStart(1), 1, {{"c/a@v1#20", 0}}}, now_);
    collectActions();
    enqueue("r3", adapterA);
    EXPECT_EQ(countOf<StartRequest>(), 1U);
}

TEST_F(EngineTableTest, a_lost_request_pins_its_name_until_a_listing_shows_it_ended)
{
    answerListing({});
    enqueue("r1", adapterA);
    grantPermitAndLoad(adapterA);
    finish("r1", RequestEnd::Lost);
    enqueue("r2", adapterB);
    grantPermit(adapterB);
    EXPECT_EQ(countOf<OrderUnload>(), 0U);
    advance(500);
    answerListing({{"c/a@v1#20", 1}});
    EXPECT_EQ(countOf<OrderUnload>(), 0U);
    advance(500);
    answerListing({{"c/a@v1#20", 0}});
    grantPermit(adapterB);
    EXPECT_EQ(countOf<OrderUnload>(), 1U);
}

TEST_F(EngineTableTest, a_listed_request_may_be_the_lost_one_even_when_another_is_pinned)
{
    answerListing({});
    enqueue("r1", adapterA);
    grantPermitAndLoad(adapterA);
    enqueue("r2", adapterA);
    finish("r1", RequestEnd::Lost);
    advance(500);
    answerListing({{"c/a@v1#20", 1}}); // r2 may have ended on the engine while its response is in transit
    finish("r2");
    enqueue("r3", adapterB);
    grantPermit(adapterB);
    EXPECT_EQ(countOf<OrderUnload>(), 0U);
}

TEST_F(EngineTableTest, after_a_restart_running_requests_are_aborted_and_local_state_is_discarded)
{
    answerListing({});
    enqueue("r1", adapterA);
    enqueue("r2", adapterA);
    grantPermitAndLoad(adapterA);
    table_.adapterNotFound(RequestId("r2"), now_);
    enqueue("r3", adapterA);
    EXPECT_EQ(countOf<StartRequest>(), 2U) << "the listing is not trusted";
    answerListing({}, 2);
    ASSERT_EQ(countOf<AbortRequest>(), 1U);
    EXPECT_EQ(actionsOf<AbortRequest>()[0].id, RequestId("r1"));
    EXPECT_EQ(actionsOf<AbortRequest>()[0].error.outcome, core::Outcome::Unknown);
    grantPermitAndLoad(adapterA);
    EXPECT_EQ(countOf<StartRequest>(), 3U) << "r2 is started again; the call of r1 is not closed";
    finish("r1");
    EXPECT_EQ(countOf<StartRequest>(), 4U);
}

TEST_F(EngineTableTest, a_load_interrupted_by_a_restart_counts_only_when_listed)
{
    answerListing({});
    enqueue("r1", adapterA);
    grantPermit(adapterA);
    ASSERT_EQ(countOf<OrderLoad>(), 1U);
    enqueue("r2", adapterB);
    table_.loadEnded({adapterA, ownEpoch}, LoadOutcome::Unknown, now_);
    answerListing({}, 2);
    EXPECT_EQ(countOf<StartRequest>(), 0U);
    grantPermitAndLoad(adapterA);
    EXPECT_EQ(countOf<StartRequest>(), 1U);
}

TEST_F(EngineTableTest, a_name_whose_unload_reply_was_lost_is_not_reloaded_before_the_timeout)
{
    answerListing({});
    enqueue("r1", adapterA);
    grantPermitAndLoad(adapterA);
    finish("r1");
    enqueue("r2", adapterB);
    grantPermit(adapterB);
    table_.unloadEnded({adapterA, ownEpoch}, UnloadOutcome::Unknown, now_);
    answerListing({}, 2);
    const std::size_t permitRequests = countOf<RequestPermit>();
    enqueue("r3", adapterA);
    EXPECT_EQ(countOf<RequestPermit>(), permitRequests);
    ASSERT_EQ(countOf<RefuseRequest>(), 1U) << "it cannot be loaded in time, so it is refused immediately";
    EXPECT_GT(actionsOf<RefuseRequest>()[0].error.retryAfter, Milliseconds(5'000));
}

TEST_F(EngineTableTest, without_fencing_names_of_an_earlier_owner_are_untouched_until_it_is_gone)
{
    answerListing({{"c/a@v1#10", 0}});
    enqueue("r1", adapterA);
    advance(2'000);
    EXPECT_EQ(countOf<StartRequest>() + countOf<OrderUnload>() + countOf<RequestPermit>(), 0U);
    table_.ownerGone(oldEpoch, now_);
    advance(1'000);
    answerListing({{"c/a@v1#10", 1}});
    EXPECT_EQ(countOf<RequestPermit>(), 0U) << "a request of the earlier owner is still running";
    advance(500);
    answerListing({{"c/a@v1#10", 0}});
    grantPermit(adapterA);
    ASSERT_EQ(countOf<OrderUnload>(), 1U);
    EXPECT_EQ(actionsOf<OrderUnload>()[0].name.epoch, oldEpoch);
}

TEST_F(FencedEngineTableTest, names_of_an_earlier_owner_are_served_once_our_order_was_accepted_and_a_listing_followed)
{
    answerListing({{"c/a@v1#10", 0}});
    enqueue("r1", adapterA);
    ASSERT_EQ(countOf<OrderUnload>(), 1U);
    const EngineAdapterName probe = actionsOf<OrderUnload>()[0].name;
    EXPECT_EQ(probe.epoch, ownEpoch);
    table_.unloadEnded(probe, UnloadOutcome::NotHeld, now_);
    EXPECT_EQ(countOf<StartRequest>(), 0U);
    answerListing({{"c/a@v1#10", 0}});
    ASSERT_EQ(countOf<StartRequest>(), 1U);
    EXPECT_EQ(actionsOf<StartRequest>()[0].name, (EngineAdapterName{adapterA, oldEpoch}));
    finish("r1");
    enqueue("r2", adapterB);
    EXPECT_EQ(countOf<OrderUnload>(), 1U) << "served, but not unloaded without evidence";
}

TEST_F(FencedEngineTableTest, a_stale_fencing_number_ends_ownership_and_refuses_waiting_requests_as_not_run)
{
    answerListing({});
    enqueue("r1", adapterA);
    grantPermit(adapterA);
    table_.loadEnded({adapterA, ownEpoch}, LoadOutcome::StaleFencing, now_);
    collectActions();
    ASSERT_EQ(countOf<RefuseRequest>(), 1U);
    EXPECT_EQ(actionsOf<RefuseRequest>()[0].error.outcome, core::Outcome::NotRun);
    EXPECT_FALSE(table_.probe(adapterA, now_).accepting);
}

TEST_F(EngineTableTest, a_drain_refuses_waiting_requests_and_lets_running_ones_finish)
{
    answerListing({});
    enqueue("r1", adapterA);
    grantPermitAndLoad(adapterA);
    enqueue("r2", adapterB);
    table_.drain(now_);
    collectActions();
    EXPECT_EQ(countOf<RefuseRequest>(), 1U);
    EXPECT_EQ(table_.runningCount(), 1U);
    EXPECT_FALSE(table_.hasPendingOrders());
}

TEST_F(EngineTableTest, a_plan_that_fills_the_queue_is_displaced_by_another)
{
    answerListing({});
    for (int request = 0; request < 5; ++request) {
        enqueue("f" + std::to_string(request), adapterA, "flood");
    }
    EXPECT_EQ(actionsOf<RefuseRequest>().back().id, RequestId("f4"));
    EXPECT_TRUE(actionsOf<RefuseRequest>().back().error.retryAfter);
    enqueue("r1", adapterA, "calm");
    EXPECT_EQ(actionsOf<RefuseRequest>().back().id, RequestId("f3"));
}

TEST_F(EngineTableTest, a_hint_counts_the_waiting_requests_of_every_plan)
{
    answerListing({});
    enqueue("r1", adapterA);
    enqueue("r2", adapterA);
    grantPermitAndLoad(adapterA);
    const Milliseconds before = table_.probe(adapterA, now_).expectedWait;
    enqueue("r3", adapterA, "flood");
    enqueue("r4", adapterA, "flood");
    EXPECT_EQ(table_.probe(adapterA, now_).expectedWait, before * 3);
}

TEST_F(EngineTableTest, an_admitted_request_is_not_refused_when_the_queue_grows)
{
    answerListing({});
    enqueue("slow", adapterA);
    grantPermitAndLoad(adapterA);
    advance(30'000);
    finish("slow"); // mean service time about 4 s, two concurrent requests
    for (const auto *id : {"r1", "r2", "r3", "r4", "r5"}) {
        enqueue(id, adapterA);
    }
    ASSERT_EQ(countOf<RefuseRequest>(), 1U) << "the last one would wait longer than 5 s";
    EXPECT_EQ(actionsOf<RefuseRequest>()[0].id, RequestId("r5"));
    advance(1'000);
    EXPECT_EQ(countOf<RefuseRequest>(), 1U);
    EXPECT_EQ(table_.waitingCount(), 2U);
}

TEST_F(EngineTableTest, a_probe_for_a_plan_counts_only_requests_served_before_it)
{
    answerListing({});
    enqueue("f0", adapterA, "flood");
    grantPermitAndLoad(adapterA);
    for (int request = 1; request < 5; ++request) {
        enqueue("f" + std::to_string(request), adapterA, "flood");
    }
    const PlanId calm("calm");
    const PlanId flood("flood");
    EXPECT_LT(table_.probe(adapterA, calm, 1, now_).expectedWait, table_.probe(adapterA, flood, 1, now_).expectedWait);
    EXPECT_EQ(table_.probe(adapterA, now_).expectedWait, table_.probe(adapterA, flood, 1, now_).expectedWait) << "without a plan: behind all waiting requests";
}

TEST_F(EngineTableTest, a_load_that_keeps_failing_refuses_its_waiting_requests)
{
    answerListing({});
    enqueue("r1", adapterA);
    for (int attempt = 0; attempt < EngineTable::maxLoadAttempts; ++attempt) {
        grantPermit(adapterA);
        table_.loadEnded({adapterA, ownEpoch}, LoadOutcome::Failed, now_);
        advance(250);
    }
    ASSERT_EQ(countOf<RefuseRequest>(), 1U);
    EXPECT_EQ(actionsOf<RefuseRequest>()[0].error.step, core::Step::Load);
}

TEST(DecayedFrequency, a_scan_of_cold_adapters_does_not_displace_a_hot_one)
{
    DecayedFrequency policy(Milliseconds(60'000));
    Instant now(0);
    for (int request = 0; request < 6'000; ++request) { // 100 cold adapters per second, one request each; the hot adapter every two seconds
        now = now + Milliseconds(10);
        const AdapterRef scanned = *AdapterRef::parse("c/cold" + std::to_string(request) + "@v1");
        policy.used(scanned, 1, now);
        if (request % 200 == 0) {
            policy.used(adapterA, 1, now);
        }
        if (request > 3'000) {
            ASSERT_GT(policy.value(adapterA, now), 10 * policy.value(scanned, now)) << now.sinceOrigin();
        }
    }
    EXPECT_LE(policy.size(), DecayedFrequency::maxTrackedAdapters);
}

TEST(DecayedFrequency, an_adapter_without_requests_for_longer_than_its_rate_explains_loses_its_value)
{
    DecayedFrequency policy(Milliseconds(60'000));
    Instant now(0);
    for (int request = 0; request < 300; ++request) { // 5 requests per second, then none: popularity has shifted
        now = now + Milliseconds(200);
        policy.used(adapterA, 1, now);
    }
    now = now + Milliseconds(20'000);
    policy.used(adapterB, 1, now);
    EXPECT_GT(policy.ratePerSecond(adapterA, now), policy.ratePerSecond(adapterB, now));
    EXPECT_LT(policy.value(adapterA, now), policy.value(adapterB, now));
}

} // namespace baobabstall::engines
