// What the serving path tells the module that learns paces, and what the module's decisions reach.
#include <serving/paceexchange.h>

#include <cmath>

#include "servingfixture.h"

namespace baobabstall::serving::tests {
namespace {

using Script = ScriptedUpstream::Script;
constexpr int requests = 12;

class PaceWiringTest : public ServingFixture
{
protected:
    void stream()
    {
        for (int i = 0; i < requests; ++i) {
            const auto response = sendRequest(getRequest("q" + std::to_string(i), "Weights: m/a\r\nTokens: 10\r\n"), "\r\n0\r\n\r\n");
            ASSERT_EQ(response.status(), 200);
        }
    }
};

TEST_F(PaceWiringTest, streams_of_model_replicas_teach_the_time_until_the_first_event)
{
    setUpService(route(RetryPolicy::AtMostOnce, true, 1), {{Script{{streamHead(), chunk(event(1)) + finalChunk}, false, false, Milliseconds(15)}}}, true);
    stream();
    const auto expected = node_.paces.expectedFirst(ServiceName("s"), 10);
    EXPECT_GE(expected, Milliseconds(15));
    EXPECT_LT(expected, Milliseconds(1'000));
}

TEST_F(PaceWiringTest, streams_of_plain_services_teach_nothing)
{
    setUpService(route(RetryPolicy::AtMostOnce, true, 1), {{Script{{streamHead(), chunk(event(1)) + finalChunk}}}}, false);
    stream();
    EXPECT_EQ(node_.paces.expectedFirst(ServiceName("s"), 10), Milliseconds(0));
}

TEST_F(PaceWiringTest, a_leaders_report_reaches_the_choice_and_the_gauge)
{
    setUpService(route(RetryPolicy::AtMostOnce, true, 1), {{Script{{streamHead(), chunk(event(1)) + finalChunk}}}}, true);
    PaceExchange exchange(node_);
    exchange.tick();
    peers::LoadsNotice notice{static_cast<int>(LoadScope::All), {}, PaceExchange::encoded({{UpstreamId("r1"), 50, std::log(0.45)}})};
    exchange.onReport(HostId("leader"), notice);
    runFor(Paces::reportInterval + Milliseconds(50));
    exchange.tick();
    EXPECT_LT(node_.chooser.pace(UpstreamId("r1")), 0.5);
    exchange.updateGauge();
    EXPECT_NEAR(node_.metrics.upstreamPace.value({"r1"}).value_or(0), 0.47, 0.05);
    notice.scope = 7;
    exchange.onReport(HostId("stranger"), notice);
    EXPECT_LT(node_.chooser.pace(UpstreamId("r1")), 0.5);
}

} // namespace
} // namespace baobabstall::serving::tests
