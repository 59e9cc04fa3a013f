// Point 1: every answer is produced by exactly the adapter and version that its request named.
#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <harness/world.h>

namespace baobabstall::harness {

using testing::IsEmpty;

namespace {

DeploymentOptions quickOptions()
{
    DeploymentOptions options;
    options.settings = quickSettings();
    return options;
}

} // namespace

TEST(ExactAdapter, version_switched_while_requests_run)
{
    constexpr int streamTokens = 60;
    World world(quickOptions());
    Outcomes outcomes;
    std::vector<Call> running;
    for (const auto &daemon : world.daemons()) {
        running.push_back(world.stream(daemon, "camp/brief@v1", streamTokens));
        running.back().stream->waitEvents(1);
    }
    ASSERT_NE(world.publish("plans", {{"plans", {{"gold", world.goldPlan({"v2", "v3"})}}}}), 0U);
    for (int round = 0; !world.everyDaemonOffers("camp/brief@v3") || world.offers("entry-1", "camp/brief@v1"); ++round) {
        for (const auto *version : {"v1", "v2", "v3"}) {
            outcomes.add(world.complete(world.daemons().at(round % 3), std::string("camp/brief@") + version, 2 + round % 5));
        }
        ASSERT_LT(round, 1000) << "the list did not come into force";
    }
    for (auto &call : running) {
        world.finish(call);
        EXPECT_TRUE(succeeded(call)) << "a stream of a version no longer listed was not finished: " << faultOf(call);
        outcomes.add(call);
    }
    const auto old = world.complete("entry-2", "camp/brief@v1", 3);
    EXPECT_EQ(old.answer.status, 404);
    EXPECT_EQ(old.answer.errorField("outcome"), "not_run");
    outcomes.add(old);
    EXPECT_TRUE(succeeded(world.completeAtLast("entry-2", "camp/brief@v3", 3)));
    EXPECT_THAT(outcomes.violations(world), IsEmpty());
}

TEST(ExactAdapter, engines_restarted_empty)
{
    World world(quickOptions());
    Outcomes outcomes;
    for (const auto &engine : world.engines()) {
        auto running = world.stream("entry-1", "shop/tides@v1", 100);
        running.stream->waitEvents(2);
        world.fault(engine, {{"restart", true}});
        for (const auto *model : {"camp/brief@v1", "camp/brief@v2", "shop/brief@v1"}) {
            outcomes.add(world.complete("entry-1", model, 3));
            outcomes.add(world.completeAtLast("entry-2", model, 4));
            EXPECT_TRUE(succeeded(world.completeAtLast("entry-3", model, 5))) << "after the restart of " << engine;
        }
        world.finish(running);
        outcomes.add(running);
    }
    EXPECT_THAT(outcomes.violations(world), IsEmpty());
}

TEST(ExactAdapter, engine_that_runs_another_version_gives_an_error_and_not_its_answer)
{
    constexpr int forever = 1'000'000;
    World world(quickOptions());
    ASSERT_TRUE(succeeded(world.completeAtLast("entry-1", "camp/brief@v1", 3)));
    for (const auto &engine : world.engines()) {
        world.fault(engine, {{"wrong_names", forever}});
    }
    Outcomes outcomes;
    for (const auto &daemon : world.daemons()) {
        const auto whole = world.complete(daemon, "camp/brief@v1", 3);
        EXPECT_EQ(whole.answer.status, 502) << whole.answer.body;
        outcomes.add(whole);
    }
    for (const auto &engine : world.engines()) {
        world.fault(engine, {{"cross_after", 2}});
    }
    auto midway = world.stream("entry-1", "camp/brief@v1", 6);
    world.finish(midway);
    EXPECT_FALSE(midway.stream->isDone());
    outcomes.add(midway);
    EXPECT_THAT(outcomes.violations(world), IsEmpty());
}

TEST(ExactAdapter, without_the_check_the_wrong_answer_would_reach_the_caller)
{
    DeploymentOptions options = quickOptions();
    options.daemons = 0;
    Deployment standIns(options);
    const auto engine = standIns.address("engine-1");
    standIns.client.post(engine, "/v1/load_lora_adapter", {{"lora_name", "camp/brief@v1#1"}}, {{"X-Fencing-Number", "1"}});
    standIns.fault("engine-1", {{"wrong_names", 1}});
    const Json body{{"model", "camp/brief@v1#1"}, {"max_tokens", 2}};
    Call call{.model = "camp/brief@v1", .tokens = 2, .answer = standIns.client.post(engine, "/v1/completions", body, {{"X-Request-Id", "r1"}})};
    call.answer.headers.set("X-Request-Id", "r1");
    EXPECT_THAT(faultOf(call), testing::HasSubstr("asked for camp/brief@v1, got text of"));
}

} // namespace baobabstall::harness
