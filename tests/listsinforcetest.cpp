// Point 8: an accepted list is in force on every host within 5 s and never reverts.
#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <harness/world.h>

namespace baobabstall::harness {

namespace {

constexpr core::Milliseconds bound{5'000};

class ListsInForce : public testing::Test
{
public:
    ListsInForce()
        : world([] {
            DeploymentOptions options;
            options.engines = 1;
            options.services = 0;
            return options;
        }())
    { }

    std::uint64_t publishVersions(const std::vector<std::string> &versions, std::optional<std::uint64_t> basedOn = std::nullopt)
    {
        return world.publish("plans", {{"plans", {{"gold", world.goldPlan(versions)}}}}, basedOn);
    }

    bool inForceEverywhere(const std::string &version)
    {
        return waitUntil([this, &version] { return world.everyDaemonOffers("camp/brief@" + version); }, bound);
    }

    World world;
};

} // namespace

TEST_F(ListsInForce, on_every_host_within_five_seconds)
{
    for (int number = 10; number < 15; ++number) {
        ASSERT_NE(publishVersions({"v" + std::to_string(number)}), 0U);
        EXPECT_TRUE(inForceEverywhere("v" + std::to_string(number)));
    }
}

TEST_F(ListsInForce, one_of_two_racing_operators_wins_everywhere)
{
    const auto base = publishVersions({"v1"});
    ASSERT_TRUE(inForceEverywhere("v1"));
    ASSERT_NE(publishVersions({"first"}, base), 0U);
    ASSERT_NE(publishVersions({"second"}, base), 0U);
    EXPECT_TRUE(inForceEverywhere("first"));
    EXPECT_TRUE(world.everyDaemonOffers("camp/brief@second", false));
    world.kill("entry-2");
    world.start("entry-2");
    EXPECT_TRUE(inForceEverywhere("first"));
    EXPECT_TRUE(world.everyDaemonOffers("camp/brief@second", false));
}

TEST_F(ListsInForce, outage_and_restarts_never_revert)
{
    publishVersions({"v20"});
    ASSERT_TRUE(inForceEverywhere("v20"));
    world.fault("platform", {{"log_down", true}});
    for (const auto &daemon : world.daemons()) {
        world.kill(daemon);
        world.start(daemon);
        EXPECT_TRUE(world.offers(daemon, "camp/brief@v20")) << daemon << " started in the outage and took no list from its peers";
        EXPECT_TRUE(world.everyDaemonOffers("camp/brief@v20"));
    }
    world.fault("platform", {{"log_down", false}});
    publishVersions({"v21"});
    EXPECT_TRUE(inForceEverywhere("v21"));
    EXPECT_TRUE(world.everyDaemonOffers("camp/brief@v20", false));
}

TEST_F(ListsInForce, stale_reads_and_lost_records_never_revert)
{
    publishVersions({"v30"});
    publishVersions({"v31"});
    ASSERT_TRUE(inForceEverywhere("v31"));
    world.fault("platform", {{"hide_newest", 2}});
    world.kill("entry-3");
    world.start("entry-3", false);
    for (int round = 0; round < 20; ++round) {
        EXPECT_FALSE(world.offers("entry-1", "camp/brief@v30"));
        EXPECT_FALSE(world.offers("entry-2", "camp/brief@v30"));
    }
    world.fault("platform", {{"hide_newest", 0}});
    EXPECT_TRUE(inForceEverywhere("v31"));
    world.fault("platform", {{"keep_records", 1}});
    world.kill("entry-1");
    world.start("entry-1");
    EXPECT_TRUE(inForceEverywhere("v31"));
}

} // namespace baobabstall::harness
