// Point 7: a planned stop cuts off no request in flight.
#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <harness/world.h>

namespace baobabstall::harness {

using testing::IsEmpty;

namespace {

class Stopping : public testing::Test
{
public:
    Stopping()
        : world([] {
            DeploymentOptions options;
            options.settings = quickSettings();
            return options;
        }())
    { }

    /// Streams through every daemon that are under way.
    std::vector<Call> startStreams(int tokens)
    {
        std::vector<Call> running;
        for (const auto &daemon : world.daemons()) {
            for (const auto *model : {"camp/brief@v1", "camp/swell@v2", "shop/tides@v1"}) {
                EXPECT_TRUE(succeeded(world.completeAtLast(daemon, model, 1)));
                running.push_back(world.stream(daemon, model, tokens));
                running.back().stream->waitEvents(1);
            }
        }
        return running;
    }

    void expectWhole(std::vector<Call> &running)
    {
        for (auto &call : running) {
            world.finish(call);
            EXPECT_TRUE(succeeded(call)) << faultOf(call) << " " << call.answer.body;
            outcomes.add(call);
        }
    }

    World world;
    Outcomes outcomes;
};

} // namespace

TEST_F(Stopping, daemons_one_after_the_other_with_streams_through_each)
{
    constexpr int tokens = 300; // 1.5 s
    for (const auto &daemon : world.daemons()) {
        auto running = startStreams(tokens);
        world.beginStop(daemon);
        const auto entry = world.otherThan({daemon});
        for (int number = 0; number < 10; ++number) {
            outcomes.add(world.complete(entry, "camp/brief@v1", 2 + number));
        }
        expectWhole(running);
        const auto stopped = world.finishStop();
        EXPECT_EQ(stopped.at("exit"), 0) << world.log(daemon);
        EXPECT_TRUE(succeeded(world.completeAtLast(entry, "camp/brief@v1", 3)));
        world.start(daemon);
    }
    EXPECT_THAT(outcomes.violations(world), IsEmpty());
}

TEST_F(Stopping, an_engine_that_leaves_finishes_its_streams)
{
    constexpr int tokens = 300;
    auto running = startStreams(tokens);
    world.setHost("engine-1", {{"state", "leaving"}});
    expectWhole(running);
    EXPECT_TRUE(waitUntil([this] { return world.client.get(world.address("engine-1"), "/load").json().at("running") == 0; }));
    EXPECT_THAT(outcomes.violations(world), IsEmpty());
    EXPECT_EQ(world.stop("engine-1").at("exit"), 0);
    EXPECT_TRUE(succeeded(world.completeAtLast("entry-1", "camp/brief@v1", 3)));
}

TEST_F(Stopping, a_killed_daemon_does_cut_streams)
{
    auto running = startStreams(300);
    world.kill("entry-1");
    int cut = 0;
    for (auto &call : running) {
        world.finish(call);
        cut += succeeded(call) ? 0 : 1;
    }
    EXPECT_GT(cut, 0) << "the test would not notice a stop that cuts streams";
}

} // namespace baobabstall::harness
