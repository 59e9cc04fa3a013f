// Point 4: when the system says that a request was not run, it was not run. Answers are lost after the effect at each step.
#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <harness/world.h>

namespace baobabstall::harness {

using testing::IsEmpty;

namespace {

constexpr int forever = 1'000'000;

/// A place where an answer is lost, or a step that fails, while requests go on.
struct LossCase {
    const char *name;
    const char *target; // "engines", "services", "platform"
    Json faults;
};

class NotRunUnder : public testing::TestWithParam<LossCase>
{ };

std::vector<std::string> targetsOf(World &world, const std::string &target)
{
    if (target == "engines") {
        return world.engines();
    }
    return target == "services" ? world.services() : std::vector<std::string>{"platform"};
}

} // namespace

TEST_P(NotRunUnder, loss_is_true)
{
    DeploymentOptions options;
    options.settings = quickSettings();
    options.settings["loads"]["timeout_ms"] = 1000;
    World world(options);
    for (const auto &daemon : world.daemons()) {
        ASSERT_TRUE(succeeded(world.completeAtLast(daemon, "camp/brief@v1", 1)));
    }
    for (const auto &target : targetsOf(world, GetParam().target)) {
        world.fault(target, GetParam().faults);
    }
    Outcomes outcomes;
    for (int number = 0; number < 6; ++number) {
        const auto daemon = world.daemons().at(number % 3);
        outcomes.add(world.complete(daemon, "camp/brief@v1", 2 + number));
        outcomes.add(world.complete(daemon, "shop/cold-" + std::to_string(number + 1) + "@v1", 2));
        auto streamed = world.stream(daemon, "camp/brief@v1", 3);
        world.finish(streamed);
        outcomes.add(streamed);
        outcomes.add(world.book(daemon, ""));
        outcomes.add(world.book(daemon, "key-" + std::to_string(number)));
    }
    EXPECT_THAT(outcomes.violations(world), IsEmpty());
    world.fault("platform", {{"log_down", false}}); // a daemon that stops waits for the log to take its releases
}

TEST(NotRun, counts_every_attempt)
{
    DeploymentOptions options;
    options.settings = quickSettings();
    World world(options);
    ASSERT_TRUE(succeeded(world.completeAtLast("entry-1", "camp/brief@v1", 1)));
    const auto engines = world.engines();
    Outcomes outcomes;
    for (int number = 0; number < 8; ++number) { // either engine may be the first choice
        world.fault(engines.at(number % 2), {{"lose_answers", 1}, {"on_path", "/v1/c"}, {"refuse", 0}});
        world.fault(engines.at((number + 1) % 2), {{"lose_answers", 0}, {"refuse", 1}});
        outcomes.add(world.complete("entry-1", "camp/brief@v1", 2));
    }
    EXPECT_THAT(outcomes.violations(world), IsEmpty());
}

INSTANTIATE_TEST_SUITE_P(Losses,
                         NotRunUnder,
                         testing::Values(LossCase{"completion_answers", "engines", {{"lose_answers", 8}, {"on_path", "/v1/c"}}},
                                         LossCase{"load_answers", "engines", {{"lose_answers", forever}, {"on_path", "/v1/load_lora"}}},
                                         LossCase{"unload_answers", "engines", {{"lose_answers", forever}, {"on_path", "/v1/unload_lora"}}},
                                         LossCase{"failed_loads", "engines", {{"fail_loads", forever}}},
                                         LossCase{"refused_completions", "engines", {{"refuse", 6}}},
                                         LossCase{"service_answers", "services", {{"lose_answers", 4}}},
                                         LossCase{"service_failures", "services", {{"fail", 4}}},
                                         LossCase{"append_answers", "platform", {{"lose_answers", 6}, {"on_path", "/log/"}}},
                                         LossCase{"log_outage", "platform", {{"log_down", true}}},
                                         LossCase{"weights_outage", "platform", {{"weights_down", true}}}),
                         [](const auto &info) { return info.param.name; });

TEST(LaterTries, refused_after_one_that_ran_do_not_make_it_not_run)
{
    DeploymentOptions options;
    options.settings = quickSettings();
    World world(options);
    Outcomes outcomes;
    world.fault("engine-1", {{"lose_answers", forever}, {"on_path", "/v1/c"}});
    world.fault("engine-2", {{"refuse", forever}});
    for (int number = 1; number <= 12; ++number) {
        outcomes.add(world.complete(world.daemons().at(number % 3), "camp/cold-" + std::to_string(number) + "@v1", 2));
    }
    EXPECT_FALSE(world.record("engine-1", "requests").empty());
    EXPECT_THAT(outcomes.violations(world), IsEmpty());
}

TEST(LoadBudget, owner_killed_and_not_yet_suspected_stops_no_other_daemon)
{
    DeploymentOptions options;
    options.settings = quickSettings();
    options.settings["membership"]["suspicion_ms"] = 5'000; // the others go on asking it for permits
    World world(options);
    Outcomes outcomes;
    ASSERT_TRUE(waitUntil([&world] { return !world.ownerOf("loads").empty(); }));
    const auto owner = world.ownerOf("loads");
    world.kill(owner);
    for (int number = 1; number <= 8; ++number) {
        for (const auto &daemon : world.daemons()) {
            if (daemon != owner) {
                outcomes.add(world.complete(daemon, "camp/cold-" + std::to_string(number) + "@v1", 2));
                EXPECT_EQ(world.client.get(world.operators(daemon), "/healthz").status, 200) << daemon << " answers no more";
            }
        }
    }
    EXPECT_THAT(outcomes.violations(world), IsEmpty());
}

} // namespace baobabstall::harness
