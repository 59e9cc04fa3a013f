// A host that stops: every request that it has read gets a whole response or a true refusal before the host ends (issue 42, LOST).
#include "servingfixture.h"

namespace baobabstall::serving::tests {
namespace {

using Script = ScriptedUpstream::Script;
using Wait = FakeResidency::Wait;

class GracefulStopTest : public ServingFixture
{
protected:
    static constexpr Milliseconds longTime{3'000};
    static constexpr Milliseconds graceLeft{600};

    GracefulStopTest()
    {
        residency_.onWait = [this]() -> net::Task<void> { co_await net::sleep(io_, longTime); };
    }

    /// The end is fixed from here on, whatever a busy machine does to the delay.
    void stopAfter(Milliseconds delay, Milliseconds left = graceLeft)
    {
        stoppedAt_ = node_.now() + delay;
        asio::co_spawn(
            io_,
            [this, delay, left]() -> net::Task<void> {
                co_await net::sleep(io_, delay);
                server_.beginStop();
                node_.stop.begin({.answerBy = stoppedAt_ + left, .unbalancedAt = stoppedAt_ + Milliseconds(400)});
            },
            asio::detached);
    }

    /// So that runs of the service are expected to take about this long.
    void learn(Milliseconds untilFirst, Milliseconds rest = Milliseconds(0), int events = 0)
    {
        for (std::size_t i = 0; i < RunTimes::minRuns; ++i) {
            node_.runTimes[ServiceName("s")].add({.untilFirst = untilFirst, .rest = rest, .events = events});
        }
    }

    /// A stream that takes far longer than those before it. Nothing of it may reach the upstream.
    void expectLongStreamRefused(const std::string &headers)
    {
        setUpService(route(RetryPolicy::AtMostOnce, true, 1),
                     {{Script{{streamHead() + chunk(event(1)), chunk(event(2)) + finalChunk}, false, false, longTime}}});
        learn(Milliseconds(10), Milliseconds(40), 5);
        stopAfter(Milliseconds(0), Milliseconds(1'500));
        runFor(arrivesAfter_);
        const auto response = sendRequest(getRequest("q", headers), "\r\n\r\n");
        EXPECT_EQ(response.status(), 503) << response.bytes;
        EXPECT_TRUE(response.contains("Retry-After: ")) << response.bytes;
        EXPECT_EQ(requestCount(), 0U);
    }

    void expectRefusedAsNotRun(const ReceivedResponse &response, std::size_t requestsBefore = 0)
    {
        EXPECT_EQ(response.status(), 503) << response.bytes;
        EXPECT_TRUE(response.contains("Retry-After: ")) << response.bytes;
        EXPECT_TRUE(response.contains("Connection: close\r\n")) << response.bytes;
        EXPECT_LT(node_.now() - stoppedAt_, graceLeft);
        runFor(Milliseconds(100));
        EXPECT_EQ(requestCount(), requestsBefore) << "refused as not run";
        EXPECT_EQ(server_.busyConnections(), 0U);
        EXPECT_EQ(server_.connections(), 0U);
    }

    void expectRefusedWhileItWaits(Wait wait, const std::string &headers)
    {
        residency_.longWait = wait;
        learn(Milliseconds(100));
        stopAfter(Milliseconds(100));
        expectRefusedAsNotRun(sendRequest(getRequest("q", headers), "\r\n\r\n"));
        EXPECT_GE(node_.now() - stoppedAt_, Milliseconds(450)) << "the wait may end in time";
    }

    Instant stoppedAt_;
    Milliseconds arrivesAfter_{20}; // of the SIGTERM
};

// Each test guards against a request that waits at the SIGTERM of its host and ends without an answer (issue 42, LOST).
TEST_F(GracefulStopTest, a_request_that_waits_for_an_adapter_is_refused_as_not_run)
{
    setUpService(route(RetryPolicy::AtMostOnce, false, 1), {{Script{{completeResponse("never")}}}}, true);
    expectRefusedWhileItWaits(Wait::Weights, "Weights: m/a\r\n");
}

TEST_F(GracefulStopTest, a_request_that_waits_for_its_prefill_turn_is_refused_as_not_run)
{
    setUpService(route(RetryPolicy::AtMostOnce, true, 1), {{Script{{streamHead() + chunk(event(1)) + finalChunk}}}}, true);
    node_.prefillRates[ServiceName("s")].add(2'000, Milliseconds(1'000));
    expectRefusedWhileItWaits(Wait::PrefillTurn, "Weights: m/a\r\nTokens: 2000\r\n");
    EXPECT_FALSE(residency_.prefills.empty());
}

TEST_F(GracefulStopTest, a_request_that_waits_for_the_owners_answer_about_a_limited_upstream_is_refused_as_not_run)
{
    setUpService(route(RetryPolicy::AtMostOnce, false, 1), {{Script{{completeResponse("never")}}}});
    ResponseMetadata limited;
    limited.requestLimit = 1;
    node_.applyUpstreamState(*node_.replicas.find(UpstreamId("r1")), limited);
    expectRefusedWhileItWaits(Wait::SendPermit, {});
}

TEST_F(GracefulStopTest, a_request_that_waits_for_its_turn_to_send_to_a_limited_upstream_is_refused_as_not_run)
{
    setUpService(route(RetryPolicy::AtMostOnce, false, 1), {{Script{{completeResponse("never")}}}});
    ResponseMetadata limited;
    limited.requestLimit = 1;
    node_.applyUpstreamState(*node_.replicas.find(UpstreamId("r1")), limited);
    residency_.onSendPermit = [](const auto &...) { return SendPermit{.isGranted = true, .wait = Milliseconds(1'500)}; };
    expectRefusedWhileItWaits(Wait::None, {});
}

TEST_F(GracefulStopTest, a_request_that_waits_for_a_place_at_a_brittle_upstream_is_refused_as_not_run)
{
    setUpService(route(RetryPolicy::AtMostOnce, false, 1), {{Script{{completeResponse("never")}}}});
    node_.applyBrittle(UpstreamId("r1"), 3, node_.now());
    residency_.onBrittlePermit = [this](const SendRequest &) -> net::Task<SendPermit> {
        co_await net::sleep(io_, longTime);
        co_return SendPermit{.isGranted = true};
    };
    expectRefusedWhileItWaits(Wait::None, {});
}

TEST_F(GracefulStopTest, a_request_that_waits_for_a_connection_is_refused_as_not_run)
{
    setUpService(route(RetryPolicy::AtMostOnce, false, 1), {{Script{{completeResponse("never")}}}});
    tcp::acceptor full(io_, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0), false);
    full.listen(0);
    std::vector<tcp::socket> fillers;
    for (int i = 0; i < 4; ++i) { // the queue of the listener is full, so that connections hang
        fillers.emplace_back(io_);
        fillers.back().async_connect(full.local_endpoint(), [](boost::system::error_code) {});
    }
    auto record = *node_.replicas.find(UpstreamId("r1"));
    record.address = {"127.0.0.1", full.local_endpoint().port()};
    node_.replicas.apply(record);
    learn(Milliseconds(300));
    stopAfter(Milliseconds(50));
    expectRefusedAsNotRun(sendRequest(getRequest("q"), "\r\n\r\n"));
}

TEST_F(GracefulStopTest, a_request_that_waits_for_permission_to_probe_is_refused_as_not_run)
{
    Script script{{streamHead() + chunk(event(1)) + finalChunk}};
    script.crashesOn = ",bad";
    setUpService(route(RetryPolicy::Idempotent, true, 1), {{script}, {script}, {script}, {script}, {script}, {script}});
    const auto send
        = [this](int i) { return sendRequest(getRequest("q" + std::to_string(i), "Parts: first,bad,own" + std::to_string(i) + "\r\n"), "\r\n\r\n"); };
    int sent = 0;
    while (sent < 10 && send(sent).status() != 503) {
        ++sent;
        runFor(Milliseconds(250));
    }
    bool hasAsked = false;
    residency_.longWait = Wait::Probe;
    residency_.onWait = [&]() -> net::Task<void> {
        hasAsked = true;
        co_await net::sleep(io_, longTime);
    };
    const auto until = node_.now() + Milliseconds(15'000);
    const auto needsProbe = [&] { return node_.crashes.admit({{CrashCause::Kind::Part, "bad"}}, node_.now()).needsProbe; };
    while (!needsProbe() && node_.now() < until) {
        runFor(Milliseconds(100));
    }
    node_.runTimes.clear();
    learn(Milliseconds(100));
    const auto before = requestCount();
    stopAfter(Milliseconds(50));
    expectRefusedAsNotRun(send(100), before);
    EXPECT_TRUE(hasAsked);
}

TEST_F(GracefulStopTest, a_stream_whose_origin_is_asked_for_is_refused_as_not_run)
{
    setUpService(route(RetryPolicy::Resumable, true, 1), {{Script{{streamHead() + chunk(event(1)) + finalChunk}}}}, true);
    streams_.onFind = [this]() -> net::Task<void> { co_await net::sleep(io_, longTime); };
    learn(Milliseconds(100));
    stopAfter(Milliseconds(50));
    expectRefusedAsNotRun(sendRequest(getRequest("q", "Resumes: other\r\nAfter: 3\r\n"), "\r\n\r\n"));
}

TEST_F(GracefulStopTest, a_request_whose_upstreams_all_back_off_is_refused_at_once)
{
    setUpService(route(RetryPolicy::AtMostOnce, false, 1), {{Script{{completeResponse("never")}}}});
    node_.backoffs.begin(UpstreamId("r1"), longTime, node_.now());
    learn(Milliseconds(100));
    stopAfter(Milliseconds(0));
    runFor(Milliseconds(50));
    const auto begin = node_.now();
    EXPECT_EQ(sendRequest(getRequest("q"), "\r\n\r\n").status(), 503);
    EXPECT_LT(node_.now() - begin, Milliseconds(200));
}

// Guards against a request that still waits when the process ends and is destroyed after the host's state (signal 11 at the end of a stop).
TEST(GracefulStop, a_request_may_be_destroyed_after_the_stop_that_it_listens_to)
{
    struct Listener final : StopListener {
        void onStop() override { ++calls; }
        int calls = 0;
    } listener;
    auto stop = std::make_unique<GracefulStop>();
    auto registration = std::make_unique<GracefulStop::Registration>(*stop, listener);
    stop->begin({});
    EXPECT_EQ(listener.calls, 1);
    stop.reset();
    registration.reset();
}

// Guards against requests that are passed on late in the grace and cut at its end (issue 42, second further report).
TEST_F(GracefulStopTest, what_is_not_expected_to_end_before_the_host_is_refused_at_once)
{
    setUpService(route(RetryPolicy::AtMostOnce, false, 1), {{Script{{completeResponse("late")}, false, false, Milliseconds(500)}}});
    learn(Milliseconds(500));
    stopAfter(Milliseconds(0));
    runFor(Milliseconds(200));
    const auto begin = node_.now();
    expectRefusedAsNotRun(sendRequest(getRequest("q"), "\r\n\r\n"));
    EXPECT_LT(node_.now() - begin, Milliseconds(250));
}

TEST_F(GracefulStopTest, what_is_expected_to_end_before_the_host_is_served)
{
    setUpService(route(RetryPolicy::AtMostOnce, false, 1), {{Script{{completeResponse("in time")}, false, false, Milliseconds(100)}}});
    learn(Milliseconds(150));
    stopAfter(Milliseconds(0));
    runFor(Milliseconds(200));
    const auto response = sendRequest(getRequest("q"), "in time");
    EXPECT_EQ(response.status(), 200);
    EXPECT_TRUE(response.contains("Connection: close\r\n"));
}

// Each guards against a stream that a host passes on late in its stop, by an estimate, and cuts as it ends (review/6, LOST).
TEST_F(GracefulStopTest, a_stream_that_arrives_late_in_a_stop_is_refused_unless_its_deadline_ends_in_time)
{
    arrivesAfter_ = Milliseconds(500);
    expectLongStreamRefused("Most-Tokens: 5\r\n");
}

TEST_F(GracefulStopTest, a_stream_that_may_become_longer_than_all_before_it_is_refused)
{
    expectLongStreamRefused("Most-Tokens: 500\r\n");
}

TEST_F(GracefulStopTest, a_stream_of_unknown_length_is_refused)
{
    expectLongStreamRefused({});
}

TEST_F(GracefulStopTest, a_stream_that_names_no_tokens_as_its_length_is_refused)
{
    expectLongStreamRefused("Most-Tokens: 0\r\n");
}

TEST_F(GracefulStopTest, a_request_that_arrives_late_in_a_stop_is_served_when_its_deadline_ends_in_time)
{
    setUpService(route(RetryPolicy::AtMostOnce, false, 1), {{Script{{completeResponse("in time")}}}});
    stopAfter(Milliseconds(0), Milliseconds(1'500));
    runFor(Milliseconds(500));
    EXPECT_EQ(sendRequest(getRequest("q", "Deadline: 800\r\n"), "in time").status(), 200);
}

// Guards against a host that ends before the last sixth of its grace, where a stream that was sent early may be cut, or at its very end.
TEST(GracefulStop, the_end_of_a_host_follows_from_its_grace)
{
    for (const int seconds : {1, 4, 8, 60}) {
        const Instant begin(5'000);
        const Milliseconds grace(1'000 * seconds);
        const auto times = GracefulStop::timesOf(begin, grace);
        EXPECT_GE(times.endsAt - begin, grace * 5 / 6) << seconds << " s";
        EXPECT_LE(times.endsAt - begin, grace - std::min(grace / 8, Milliseconds(600))) << seconds << " s";
        EXPECT_LT(times.answerBy, times.endsAt) << seconds << " s";
    }
}

TEST(GracefulStop, an_estimate_is_enough_only_while_the_load_balancer_chooses_the_host)
{
    GracefulStop stop;
    const Instant begin(5'000);
    stop.begin(GracefulStop::timesOf(begin, Milliseconds(8'000)));
    const auto late = begin + GracefulStop::balancerDetectionTime;
    const auto deadline = begin + Milliseconds(20'000);
    EXPECT_EQ(stop.lastSendAt(begin, deadline, Milliseconds(1'000)), stop.answerBy() - Milliseconds(1'000));
    EXPECT_EQ(stop.lastSendAt(begin, deadline, std::nullopt), Instant());
    EXPECT_EQ(stop.lastSendAt(late, deadline, Milliseconds(1)), Instant());
    EXPECT_EQ(stop.lastSendAt(late, stop.answerBy(), std::nullopt), stop.answerBy());
}

// A host that has just started knows no runs: the deadline of the request says when it ends at the latest.
TEST_F(GracefulStopTest, a_host_that_knows_no_runs_serves_only_what_its_deadline_ends_in_time)
{
    setUpService(route(RetryPolicy::AtMostOnce, false, 1), {{Script{{completeResponse("quick")}}}});
    stopAfter(Milliseconds(0));
    runFor(Milliseconds(20));
    EXPECT_EQ(sendRequest(getRequest("q1", "Deadline: 300\r\n"), "quick").status(), 200);
    EXPECT_EQ(sendRequest(getRequest("q2", "Deadline: 1500\r\n"), "\r\n\r\n").status(), 503);
    EXPECT_EQ(requestCount(), 1U);
}

TEST_F(GracefulStopTest, a_body_whose_last_byte_comes_late_is_refused_and_not_passed_on)
{
    setUpService(route(RetryPolicy::AtMostOnce, false, 1), {{Script{{completeResponse("late")}, false, false, Milliseconds(400)}}});
    learn(Milliseconds(400));
    tcp::socket caller(io_);
    caller.connect(tcp::endpoint(asio::ip::make_address(address_.ip), address_.port));
    asio::write(caller, asio::buffer(std::string("POST /x HTTP/1.1\r\nHost: h\r\nId: q\r\nContent-Length: 8\r\n\r\nabcd")));
    stopAfter(Milliseconds(0));
    runFor(Milliseconds(350));
    asio::write(caller, asio::buffer(std::string("efgh")));
    runFor(Milliseconds(50));
    char bytes[512];
    const std::string response(bytes, caller.read_some(asio::buffer(bytes)));
    EXPECT_TRUE(response.starts_with("HTTP/1.1 503 ")) << response;
    EXPECT_EQ(requestCount(), 0U);
}

TEST_F(GracefulStopTest, a_head_whose_last_byte_comes_late_is_refused_and_not_passed_on)
{
    setUpService(route(RetryPolicy::AtMostOnce, false, 1), {{Script{{completeResponse("late")}, false, false, Milliseconds(400)}}});
    learn(Milliseconds(400));
    tcp::socket caller(io_);
    caller.connect(tcp::endpoint(asio::ip::make_address(address_.ip), address_.port));
    asio::write(caller, asio::buffer(std::string("GET /x HTTP/1.1\r\nHost: h\r\nId:")));
    stopAfter(Milliseconds(0));
    runFor(Milliseconds(350));
    server_.closeIdle();
    asio::write(caller, asio::buffer(std::string(" q\r\n\r\n")));
    runFor(Milliseconds(50));
    char bytes[512];
    const std::string response(bytes, caller.read_some(asio::buffer(bytes)));
    EXPECT_TRUE(response.starts_with("HTTP/1.1 503 ")) << response;
    EXPECT_EQ(requestCount(), 0U);
}

// Guards against a pipelined request that was read with the one before it and lost with the connection (issue 42, LOST).
TEST_F(GracefulStopTest, a_pipelined_request_that_was_read_is_answered_before_the_connection_closes)
{
    setUpService(route(RetryPolicy::AtMostOnce, false, 1), {{Script{{completeResponse("one")}, false, false, Milliseconds(150)}}});
    learn(Milliseconds(160));
    stopAfter(Milliseconds(50));
    const auto response = sendRequest(getRequest("q1") + getRequest("q2"));
    EXPECT_TRUE(response.isClosed);
    EXPECT_TRUE(response.contains("Id: q1\r\n") && response.contains("Id: q2\r\n")) << response.bytes;
    EXPECT_EQ(requestCount(), 2U);
}

TEST_F(GracefulStopTest, a_run_that_goes_on_at_the_end_of_the_grace_is_answered_as_not_known)
{
    setUpService(route(RetryPolicy::AtMostOnce, false, 1), {{Script{{completeResponse("late")}, false, false, Milliseconds(1'500)}}});
    learn(Milliseconds(100));
    stopAfter(Milliseconds(100));
    const auto response = sendRequest(getRequest("q"), "\r\n\r\n");
    EXPECT_EQ(response.status(), 504);
    EXPECT_FALSE(response.contains("Retry-After")) << "it may have run";
    EXPECT_GE(node_.now() - stoppedAt_, graceLeft - Milliseconds(50));
    EXPECT_EQ(requestCount(), 1U);
}

TEST_F(GracefulStopTest, a_stream_that_runs_at_the_end_of_the_grace_ends_after_a_whole_event_and_not_as_complete)
{
    setUpService(route(RetryPolicy::AtMostOnce, true, 1),
                 {{Script{{streamHead() + chunk(event(1)), chunk(event(2)), chunk(event(3)), chunk(event(4)) + finalChunk}, false, false, Milliseconds(300)}}});
    stopAfter(Milliseconds(350));
    ReceivedResponse response;
    response = sendRequest(getRequest("q"), event(3));
    EXPECT_EQ(response.status(), 200);
    EXPECT_TRUE(response.bytes.ends_with(event(3) + "\r\n")) << response.bytes;
}

// An upstream refuses late in the grace: the next one is asked only while the run may still end in time.
TEST_F(GracefulStopTest, a_request_that_an_upstream_refuses_late_is_not_passed_on_again)
{
    const Script refuses{{"HTTP/1.1 503 Full\r\nId: @ID\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"}, false, false, Milliseconds(300)};
    setUpService(route(RetryPolicy::AtMostOnce, false, 2), {{refuses}, {refuses}});
    learn(Milliseconds(350));
    stopAfter(Milliseconds(50));
    const auto response = sendRequest(getRequest("q"), "\r\n\r\n");
    EXPECT_EQ(response.status(), 503);
    EXPECT_TRUE(response.contains("Retry-After: "));
    EXPECT_EQ(requestCount(), 1U);
}

TEST_F(GracefulStopTest, a_refusal_says_when_another_host_is_sure_to_get_the_request)
{
    setUpService(route(RetryPolicy::AtMostOnce, false, 1), {{Script{{completeResponse("never")}}}});
    const auto now = node_.now();
    node_.stop.begin({.answerBy = now + Milliseconds(2'500), .unbalancedAt = now + Milliseconds(2'000)});
    runFor(Milliseconds(1'100));
    const auto response = sendRequest(getRequest("q"), "\r\n\r\n");
    EXPECT_EQ(response.status(), 503);
    const auto at = response.bytes.find("Retry-After: ");
    ASSERT_NE(at, std::string::npos);
    EXPECT_NEAR(std::stod(response.bytes.substr(at + 13)), 0.9, 0.1);
}

} // namespace
} // namespace baobabstall::serving::tests
