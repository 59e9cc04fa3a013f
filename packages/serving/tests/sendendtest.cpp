#include "servingfixture.h"

#include <fstream>

#include <nlohmann/json.hpp>

#include <serving/events.h>

namespace baobabstall::serving::tests {
namespace {

using Script = ScriptedUpstream::Script;

/// Reads the lines of the host's log.
class SendEndTest : public ServingFixture
{
protected:
    SendEndTest()
    {
        const std::ofstream emptied(path_, std::ios_base::trunc);
        core::Error why;
        settings::Logging logging;
        logging.file = path_;
        node_.log = std::move(*logging::Log::open(logging, HostId("entry-1"), why));
    }

    /// `ended_by` of the only send that did not end well, after the response and a while.
    std::string endedBy()
    {
        runFor(Milliseconds(100));
        std::ifstream file(path_);
        std::vector<std::string> found;
        for (std::string line; std::getline(file, line);) {
            const auto fields = nlohmann::json::parse(line);
            if (fields.at("event") == "send_ended") {
                found.push_back(fields.at("ended_by"));
            }
        }
        return found.size() == 1 ? found.front() : std::to_string(found.size()) + " sends";
    }

    /// One upstream whose stream has this after its first event.
    void setUpStream(Script rest, Milliseconds delay = Milliseconds(60))
    {
        rest.pieces.insert(rest.pieces.begin(), streamHead() + chunk(event(1)));
        rest.delay = delay;
        setUpService(route(RetryPolicy::AtMostOnce, true, 1), {{std::move(rest)}});
    }

private:
    std::string path_ = testing::TempDir() + testing::UnitTest::GetInstance()->current_test_info()->name() + ".log";
};

// Guards against a stream that ends early and whose line does not say at which side (issue 46).
TEST_F(SendEndTest, a_stream_that_its_upstream_resets_was_ended_by_the_upstream)
{
    setUpStream({{chunk(event(2))}, false, true});
    EXPECT_FALSE(sendRequest(getRequest("q")).hasFinalChunk());
    EXPECT_EQ(endedBy(), "upstream");
}

TEST_F(SendEndTest, a_stream_whose_caller_leaves_was_ended_by_the_caller)
{
    setUpStream({{chunk(event(2)), chunk(event(3)), finalChunk}});
    sendRequest(getRequest("q"), {}, Milliseconds(90));
    EXPECT_EQ(endedBy(), "caller");
}

TEST_F(SendEndTest, a_stream_whose_time_is_over_was_ended_by_the_deadline)
{
    setUpStream({{chunk(event(2)), finalChunk}}, Milliseconds(200));
    EXPECT_FALSE(sendRequest(getRequest("q", "Deadline: 300\r\n")).hasFinalChunk());
    EXPECT_EQ(endedBy(), "deadline");
}

TEST_F(SendEndTest, a_stream_with_an_event_that_is_too_large_was_ended_by_the_host)
{
    setUpStream({{chunk(std::string(EventScanner::maxEventBytes + 1, 'x')), finalChunk}}, Milliseconds(5));
    EXPECT_FALSE(sendRequest(getRequest("q")).hasFinalChunk());
    EXPECT_EQ(endedBy(), "host");
}

TEST_F(SendEndTest, a_stream_for_which_the_host_has_no_room_was_ended_by_the_host)
{
    setUpStream({{"100\r\nid: 2\n"}}, Milliseconds(5)); // the start of an event
    ResponseBudget::Share all(node_.responseBudget);
    ASSERT_TRUE(all.resize(ResponseBudget::maxTotalBytes));
    EXPECT_FALSE(sendRequest(getRequest("q")).hasFinalChunk());
    EXPECT_EQ(endedBy(), "host");
}

TEST_F(SendEndTest, a_request_without_an_answer_in_time_was_ended_by_the_host)
{
    setUpService(route(RetryPolicy::Idempotent, false, 2), {{Script{{}}}, {Script{{completeResponse("fine")}}}});
    EXPECT_EQ(sendRequest(getRequest("q"), "\r\n\r\n").status(), 200);
    EXPECT_EQ(endedBy(), "host");
}

TEST_F(SendEndTest, a_stream_whose_first_event_does_not_come_in_time_was_ended_by_the_host_and_goes_elsewhere)
{
    setUpService(route(RetryPolicy::Resumable, true, 2), {{Script{{streamHead()}}}, {Script{{streamHead() + chunk(event(1)) + finalChunk}}}});
    const auto response = sendRequest(getRequest("q"), "\r\n0\r\n\r\n");
    EXPECT_TRUE(response.hasFinalChunk() && response.contains(event(1)));
    EXPECT_EQ(endedBy(), "host");
}

TEST_F(SendEndTest, a_stream_without_its_first_event_when_its_host_stops_was_ended_by_the_host)
{
    setUpService(route(RetryPolicy::AtMostOnce, true, 1), {{Script{{streamHead()}}}});
    asio::steady_timer timer(io_, std::chrono::milliseconds(50));
    timer.async_wait([this](boost::system::error_code) { node_.stop.begin({.answerBy = node_.now() + Milliseconds(200), .unbalancedAt = node_.now()}); });
    EXPECT_EQ(sendRequest(getRequest("q"), "\r\n\r\n").status(), 504);
    EXPECT_EQ(endedBy(), "host");
}

// Guards against a stopping host that ends a stream whose caller has events (issue 46, hypothesis 3).
TEST_F(SendEndTest, a_stream_that_has_begun_when_its_host_stops_is_ended_by_nobody)
{
    setUpStream({{chunk(event(2)), chunk(event(3)) + finalChunk}}, Milliseconds(200));
    asio::steady_timer timer(io_, std::chrono::milliseconds(250));
    timer.async_wait([this](boost::system::error_code) { node_.stop.begin({.answerBy = node_.now() + Milliseconds(100), .unbalancedAt = node_.now()}); });
    EXPECT_TRUE(sendRequest(getRequest("q"), "\r\n0\r\n\r\n").hasFinalChunk());
    EXPECT_EQ(endedBy(), "0 sends");
}

// Guards against a stream whose connection is closed as idle as its replica's record goes (issue 46, hypothesis 3).
TEST_F(SendEndTest, a_stream_whose_replica_is_forgotten_is_ended_by_nobody)
{
    setUpStream({{chunk(event(2)), chunk(event(3)) + finalChunk}}, Milliseconds(200));
    asio::steady_timer timer(io_, std::chrono::milliseconds(250));
    timer.async_wait([this](boost::system::error_code) {
        node_.pool.forget(UpstreamId("r1"));
        node_.pool.expire(node_.now() + Milliseconds(3'600'000));
        node_.chooser.remove(UpstreamId("r1"));
        node_.leases.drop(UpstreamId("r1"));
    });
    EXPECT_TRUE(sendRequest(getRequest("q"), "\r\n0\r\n\r\n").hasFinalChunk());
    EXPECT_EQ(endedBy(), "0 sends");
}

TEST_F(SendEndTest, a_request_whose_host_stops_was_ended_by_the_host)
{
    setUpService(route(RetryPolicy::AtMostOnce, false, 1), {{Script{{}}}});
    asio::steady_timer timer(io_, std::chrono::milliseconds(50));
    timer.async_wait([this](boost::system::error_code) { node_.stop.begin({.answerBy = node_.now() + Milliseconds(200), .unbalancedAt = node_.now()}); });
    EXPECT_EQ(sendRequest(getRequest("q"), "\r\n\r\n").status(), 504);
    EXPECT_EQ(endedBy(), "host");
}

TEST_F(SendEndTest, a_refusal_was_the_upstreams)
{
    setUpService(route(RetryPolicy::AtMostOnce, false, 1), {{Script{{"HTTP/1.1 503 Busy\r\nNot-Run: 1\r\nId: @ID\r\nContent-Length: 0\r\n\r\n"}}}});
    EXPECT_EQ(sendRequest(getRequest("q"), "\r\n\r\n").status(), 503);
    EXPECT_EQ(endedBy(), "upstream");
}

} // namespace
} // namespace baobabstall::serving::tests
