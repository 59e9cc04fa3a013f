// Point 6: a leaving upstream gets no new work within 3 s, though the host list lags.
#include <atomic>
#include <chrono>

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <core/clock.h>
#include <harness/world.h>

namespace baobabstall::harness {

using testing::IsEmpty;

TEST(Leaving, upstreams_get_nothing_new_after_three_seconds)
{
    constexpr std::int64_t bound = 3'000;   // milliseconds
    constexpr std::int64_t watched = 5'000; // milliseconds of traffic after the host list said so
    DeploymentOptions options;
    options.settings = quickSettings();
    options.settings["platform"].erase("hosts_poll_ms"); // the default is what the bound is about
    options.more = {"--platform-args=--hosts-lag-ms=1500"};
    World world(options);
    Outcomes outcomes;
    ASSERT_TRUE(succeeded(world.completeAtLast("entry-1", "camp/brief@v1", 1)));
    ASSERT_TRUE(waitUntil([&world] { return world.book("entry-1", "").answer.status == 200; }));

    world.setHost("engine-1", {{"state", "leaving"}});
    world.setHost("planning-1", {{"state", "leaving"}});
    const auto left = core::civilMilliseconds();
    for (int number = 0; core::civilMilliseconds() < left + watched; ++number) {
        const auto daemon = world.daemons().at(number % 3);
        outcomes.add(world.complete(daemon, "camp/cold-" + std::to_string(1 + number % 6) + "@v1", 2));
        outcomes.add(world.book(daemon, ""));
    }
    int late = 0;
    for (const auto &request : world.record("engine-1", "requests")) {
        late += request.at("accepted_ms").get<std::int64_t>() > left + bound ? 1 : 0;
    }
    for (const auto &execution : world.record("planning-1", "executions")) {
        late += execution.at("at_ms").get<std::int64_t>() > left + bound ? 1 : 0;
    }
    EXPECT_EQ(late, 0);
    EXPECT_TRUE(succeeded(world.completeAtLast("entry-2", "camp/brief@v1", 2))) << "the other engine serves";
    EXPECT_THAT(outcomes.violations(world), IsEmpty());
}

TEST(Leaving, upstreams_that_say_so_themselves_get_nothing_new_though_the_host_list_stands_still)
{
    DeploymentOptions options;
    options.settings = quickSettings();
    World world(options);
    Outcomes outcomes;
    ASSERT_TRUE(succeeded(world.completeAtLast("entry-1", "camp/brief@v1", 1)));
    ASSERT_TRUE(waitUntil([&world] { return world.book("entry-1", "").answer.status == 200; }));
    world.fault("platform", {{"hosts_frozen", true}});
    world.fault("engine-1", {{"leaving", true}});
    world.fault("planning-1", {{"leaving", true}});
    int failed = 0;
    for (int number = 0; number < 60; ++number) {
        const auto daemon = world.daemons().at(number % 3);
        outcomes.add(world.complete(daemon, "camp/cold-" + std::to_string(1 + number % 6) + "@v1", 2));
        const auto booking = world.book(daemon, "");
        failed += number >= 30 && booking.answer.status != 200 ? 1 : 0;
        outcomes.add(booking);
    }
    EXPECT_EQ(failed, 0) << "calls still go to the replica that said it leaves";
    EXPECT_TRUE(succeeded(world.completeAtLast("entry-2", "camp/brief@v1", 2)));
    EXPECT_THAT(outcomes.violations(world), IsEmpty());
}

} // namespace baobabstall::harness
