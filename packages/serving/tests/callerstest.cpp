// Connections of callers: how they end, and what reaches the caller before their end.
#include <gtest/gtest.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/write.hpp>

#include <serving/callers.h>

namespace baobabstall::serving::tests {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;
using tcp = asio::ip::tcp;

/// What a caller received until its connection ended, and how it ended.
struct Received {
    std::string bytes;
    error_code end;
    bool isDone = false;
};

class CallersTest : public ::testing::Test
{
protected:
    static constexpr Milliseconds timeLimit{6'000};
    static constexpr std::size_t longBody = 400'000; // more than the buffers of a caller that does not read, and of this host

    CallersTest()
        : server_(io_,
                  {.limits = [this] { return limits_; },
                   .onInvalidRequest = [](int, std::string_view) {},
                   .onClosed = [this](const ConnectionEnd &end) { ends_.push_back(end); }},
                  [this](CallerConnection &caller, CallerRequest &request) { return handle(caller, request); })
    {
        core::Error why;
        address_ = *server_.listen({"127.0.0.1", 0}, why);
    }

    /// As the forwarder does it: the head says whether the connection closes.
    net::Task<void> handle(CallerConnection &caller, CallerRequest &request)
    {
        ++requests_;
        caller.nameRequest(RequestId(request.target));
        co_await onRequest_(caller, request);
    }

    static net::Task<void> respond(CallerConnection &caller, std::string body)
    {
        const std::string closes = caller.closesAfterResponse() ? "Connection: close\r\n" : "";
        co_await caller.write("HTTP/1.1 200 OK\r\n" + closes + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
    }

    /// A caller with small buffers, so that a long response stays on its way for as long as the caller does not read.
    std::shared_ptr<tcp::socket> connect()
    {
        auto socket = std::make_shared<tcp::socket>(io_, tcp::v4());
        constexpr int smallBuffer = 4'096;
        socket->set_option(asio::socket_base::receive_buffer_size(smallBuffer));
        socket->connect(tcp::endpoint(asio::ip::make_address(address_.ip), address_.port));
        return socket;
    }

    static void send(tcp::socket &socket, const std::string &bytes)
    {
        error_code ignored; // what the caller receives shows it
        asio::write(socket, asio::buffer(bytes), ignored);
    }
    static std::string request(const std::string &target, const std::string &fields = {})
    {
        return "GET " + target + " HTTP/1.1\r\nHost: h\r\n" + fields + "\r\n";
    }

    void runFor(Milliseconds time)
    {
        const auto end = core::SteadyClock().now() + time;
        while (core::SteadyClock().now() < end) {
            io_.run_one_for(std::chrono::milliseconds(5));
        }
    }

    /// Reads until the connection ends.
    Received readAll(const std::shared_ptr<tcp::socket> &socket, Milliseconds pause = Milliseconds(0), Milliseconds limit = timeLimit)
    {
        Received received;
        asio::co_spawn(io_, read(socket, pause, received), asio::detached);
        const auto end = core::SteadyClock().now() + limit;
        while (!received.isDone && core::SteadyClock().now() < end) {
            io_.run_one_for(std::chrono::milliseconds(5));
        }
        EXPECT_TRUE(received.isDone) << "the connection did not end";
        return received;
    }

    void expectWhole(const Received &received, std::size_t bodyBytes)
    {
        EXPECT_EQ(received.end, asio::error::eof) << received.end.message();
        EXPECT_EQ(received.bytes.size() - received.bytes.find("\r\n\r\n") - 4, bodyBytes);
    }

    CallerLimits limits_;
    asio::io_context io_;
    asio::executor_work_guard<asio::io_context::executor_type> work_{io_.get_executor()};
    std::vector<ConnectionEnd> ends_;
    std::function<net::Task<void>(CallerConnection &, CallerRequest &)> onRequest_
        = [](CallerConnection &caller, CallerRequest &) { return respond(caller, std::string(longBody, 'x')); };
    CallerServer server_;
    net::Address address_;
    int requests_ = 0;

private:
    net::Task<void> read(std::shared_ptr<tcp::socket> socket, Milliseconds pause, Received &received)
    {
        std::array<char, 16'384> bytes{};
        while (!received.end) {
            const auto [failed, count] = co_await socket->async_read_some(asio::buffer(bytes), net::tuple);
            received.bytes.append(bytes.data(), count);
            received.end = failed;
            if (pause.count() > 0) {
                co_await net::sleep(io_, pause);
            }
        }
        socket->close();
        received.isDone = true;
    }
};

// Each of the following guards against a response whose end is lost because its connection is reset (issue 46, LOST): a socket that is closed with
// unread bytes of the caller drops what is still on its way.
TEST_F(CallersTest, a_response_reaches_a_slow_caller_whole_though_its_next_request_is_unread_when_a_stopping_host_closes)
{
    server_.beginStop();
    const auto caller = connect();
    send(*caller, request("/1"));
    runFor(Milliseconds(50));
    send(*caller, request("/2"));
    runFor(Milliseconds(50));
    expectWhole(readAll(caller, Milliseconds(1)), longBody);
    EXPECT_EQ(requests_, 1);
}

TEST_F(CallersTest, a_response_that_ends_a_connection_reaches_a_slow_caller_whole_though_more_bytes_follow_its_request)
{
    const auto caller = connect();
    send(*caller, request("/1", "Connection: close\r\n"));
    runFor(Milliseconds(50));
    send(*caller, std::string(2'000, 'y'));
    runFor(Milliseconds(50));
    expectWhole(readAll(caller, Milliseconds(1)), longBody);
}

TEST_F(CallersTest, a_response_reaches_a_slow_caller_whole_though_its_next_request_crosses_the_close_of_an_idle_connection)
{
    constexpr std::size_t body = 30'000; // written at once, and read late
    onRequest_ = [](CallerConnection &caller, CallerRequest &) { return respond(caller, std::string(body, 'x')); };
    const auto caller = connect();
    send(*caller, request("/1"));
    runFor(Milliseconds(50));
    server_.beginStop();
    server_.closeIdle();
    send(*caller, request("/2"));
    runFor(Milliseconds(50));
    expectWhole(readAll(caller, Milliseconds(1)), body);
    EXPECT_EQ(requests_, 1);
}

TEST_F(CallersTest, a_refusal_of_a_body_that_is_too_large_reaches_its_caller)
{
    const auto caller = connect();
    send(*caller, "POST /1 HTTP/1.1\r\nHost: h\r\nContent-Length: 99999999\r\n\r\n" + std::string(10'000, 'y'));
    runFor(Milliseconds(50));
    send(*caller, std::string(10'000, 'y'));
    const auto received = readAll(caller);
    EXPECT_TRUE(received.bytes.starts_with("HTTP/1.1 413 ")) << received.bytes;
    EXPECT_EQ(received.end, asio::error::eof) << received.end.message();
}

TEST_F(CallersTest, a_refusal_of_a_request_that_waits_reaches_a_caller_that_has_sent_the_next_one)
{
    onRequest_ = [this](CallerConnection &caller, CallerRequest &) -> net::Task<void> {
        co_await net::sleep(io_, Milliseconds(100));
        caller.endWith("HTTP/1.1 503 Refused\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
        co_await net::sleep(io_, Milliseconds(300));
    };
    const auto caller = connect();
    send(*caller, request("/1"));
    runFor(Milliseconds(50));
    send(*caller, request("/2"));
    const auto received = readAll(caller);
    EXPECT_TRUE(received.bytes.starts_with("HTTP/1.1 503 ")) << received.bytes;
    EXPECT_EQ(received.end, asio::error::eof) << received.end.message();
    runFor(Milliseconds(400));
    EXPECT_EQ(server_.connections(), 0U);
}

TEST_F(CallersTest, what_was_written_of_a_response_that_is_broken_off_reaches_a_slow_caller)
{
    onRequest_ = [](CallerConnection &caller, CallerRequest &) -> net::Task<void> {
        co_await caller.write("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(longBody + 1) + "\r\n\r\n" + std::string(longBody, 'x'));
        caller.breakOff();
    };
    const auto caller = connect();
    send(*caller, request("/1"));
    runFor(Milliseconds(50));
    send(*caller, request("/2"));
    runFor(Milliseconds(50));
    expectWhole(readAll(caller, Milliseconds(1)), longBody);
    EXPECT_EQ(requests_, 1);
}

// The same where the next request comes late: its caller reads on, slowly, for longer than a caller that takes nothing is waited for.
TEST_F(CallersTest, a_response_reaches_a_caller_whole_that_reads_steadily_for_seconds_and_sends_once_more)
{
    const auto caller = connect();
    send(*caller, request("/1", "Connection: close\r\n"));
    runFor(Milliseconds(50));
    asio::steady_timer later(io_, std::chrono::milliseconds(2'600));
    later.async_wait([caller](error_code) { send(*caller, request("/2")); });
    expectWhole(readAll(caller, Milliseconds(40)), longBody);
}

// Guards against a response that is cut because it takes long as a whole, though its caller reads on.
TEST_F(CallersTest, a_response_reaches_a_caller_whole_that_takes_longer_over_it_than_one_that_reads_nothing_is_waited_for)
{
    constexpr std::size_t body = 5'500'000;
    onRequest_ = [](CallerConnection &caller, CallerRequest &) { return respond(caller, std::string(body, 'x')); };
    const auto caller = connect();
    const auto begin = core::SteadyClock().now();
    send(*caller, request("/1", "Connection: close\r\n"));
    expectWhole(readAll(caller, Milliseconds(10), Milliseconds(60'000)), body);
    EXPECT_GT(core::SteadyClock().now() - begin, Milliseconds(9'000)) << "it was read fast";
}

TEST_F(CallersTest, a_caller_that_reads_nothing_is_cut_off)
{
    constexpr std::size_t body = 20'000'000;
    bool isWritten = true;
    onRequest_ = [&isWritten](CallerConnection &caller, CallerRequest &) -> net::Task<void> { isWritten = co_await caller.write(std::string(body, 'x')); };
    const auto caller = connect();
    send(*caller, request("/1"));
    runFor(Milliseconds(8'000));
    EXPECT_FALSE(isWritten);
    ASSERT_EQ(ends_.size(), 1);
    EXPECT_EQ(ends_.front().cause, ConnectionCause::WriteTimeout);
}

TEST_F(CallersTest, a_response_reaches_a_slow_caller_whole_though_the_head_of_its_next_request_takes_too_long)
{
    constexpr std::size_t body = 30'000;
    limits_.headerTimeout = Milliseconds(100);
    onRequest_ = [](CallerConnection &caller, CallerRequest &) { return respond(caller, std::string(body, 'x')); };
    const auto caller = connect();
    send(*caller, request("/1"));
    runFor(Milliseconds(50));
    send(*caller, "GET /2 HT");
    runFor(Milliseconds(200));
    send(*caller, "TP/1.1\r\n\r\n");
    runFor(Milliseconds(50));
    expectWhole(readAll(caller, Milliseconds(1)), body);
    EXPECT_EQ(requests_, 1);
}

// Guards against a request that is read and dropped: one that crosses the close of its connection stays unread, so that its caller may send it again
// (issue 46, LOST).
TEST_F(CallersTest, a_request_that_crosses_the_close_of_an_idle_connection_is_not_read)
{
    onRequest_ = [](CallerConnection &caller, CallerRequest &) { return respond(caller, "ok"); };
    const auto caller = connect();
    const auto first = request("/1");
    const auto second = request("/2");
    send(*caller, first);
    runFor(Milliseconds(50));
    server_.beginStop();
    server_.closeIdle();
    send(*caller, second);
    runFor(Milliseconds(50));
    EXPECT_TRUE(ends_.empty());
    server_.reportOpen();
    ASSERT_EQ(ends_.size(), 1U);
    EXPECT_EQ(ends_.front().bytesRead, first.size());
    EXPECT_EQ(ends_.front().bytesUnread, second.size());
    caller->close();
    runFor(Milliseconds(2'500));
    EXPECT_EQ(server_.connections(), 0U);
}

// Guards against a close that the response before it did not announce: a caller may have sent its next request (issue 46, LOST).
TEST_F(CallersTest, a_connection_whose_last_response_did_not_announce_its_end_serves_one_more_request)
{
    onRequest_ = [this](CallerConnection &caller, CallerRequest &) -> net::Task<void> {
        const std::string closes = caller.closesAfterResponse() ? "Connection: close\r\n" : "";
        co_await caller.write("HTTP/1.1 200 OK\r\n" + closes + "Content-Length: 2\r\n\r\n");
        co_await net::sleep(io_, Milliseconds(100));
        co_await caller.write("ok");
    };
    const auto caller = connect();
    send(*caller, request("/1"));
    runFor(Milliseconds(50));
    server_.beginStop();
    runFor(Milliseconds(100));
    send(*caller, request("/2"));
    const auto received = readAll(caller);
    EXPECT_EQ(received.end, asio::error::eof);
    EXPECT_EQ(requests_, 2);
    EXPECT_TRUE(received.bytes.ends_with("Connection: close\r\nContent-Length: 2\r\n\r\nok")) << received.bytes;
}

// The same where the next request has arrived, unread, when the head of the response is written.
TEST_F(CallersTest, a_request_that_has_arrived_is_served_before_a_stopping_host_announces_the_end)
{
    onRequest_ = [this](CallerConnection &caller, CallerRequest &) -> net::Task<void> {
        co_await net::sleep(io_, Milliseconds(100));
        co_await respond(caller, "ok");
    };
    server_.beginStop();
    const auto caller = connect();
    send(*caller, request("/1"));
    runFor(Milliseconds(50));
    send(*caller, request("/2"));
    const auto received = readAll(caller);
    EXPECT_EQ(received.end, asio::error::eof);
    EXPECT_EQ(requests_, 2);
}

TEST_F(CallersTest, a_caller_that_never_closes_keeps_a_finished_connection_for_a_bounded_time)
{
    onRequest_ = [](CallerConnection &caller, CallerRequest &) { return respond(caller, "ok"); };
    const auto caller = connect();
    send(*caller, request("/1", "Connection: close\r\n"));
    runFor(Milliseconds(100));
    EXPECT_EQ(server_.busyConnections(), 0U);
    const auto end = core::SteadyClock().now() + timeLimit;
    while (server_.connections() > 0 && core::SteadyClock().now() < end) {
        send(*caller, "y");
        runFor(Milliseconds(50));
    }
    EXPECT_EQ(server_.connections(), 0U);
}

// Guards against a callback into a handler that an exception has ended: its connection lives on until the caller closes (issue 46).
TEST_F(CallersTest, a_handler_that_threw_is_not_told_that_its_caller_left)
{
    const auto isTold = std::make_shared<bool>(false);
    onRequest_ = [this, isTold](CallerConnection &caller, CallerRequest &) -> net::Task<void> {
        caller.onDisconnect([isTold] { *isTold = true; });
        co_await net::sleep(io_, Milliseconds(50));
        throw std::runtime_error("a fault of the handler");
    };
    const auto caller = connect();
    send(*caller, request("/1"));
    runFor(Milliseconds(150));
    caller->close();
    runFor(Milliseconds(100));
    EXPECT_FALSE(*isTold);
    EXPECT_EQ(server_.connections(), 0U);
}

// Guards against work for a caller that has left (GONE): its end lies behind the request that it sent before.
TEST_F(CallersTest, a_caller_that_has_sent_its_next_request_and_leaves_is_noticed)
{
    const auto isNoticed = std::make_shared<bool>(false);
    onRequest_ = [this, isNoticed](CallerConnection &caller, CallerRequest &) -> net::Task<void> {
        caller.onDisconnect([isNoticed] { *isNoticed = true; });
        co_await net::sleep(io_, Milliseconds(1'000));
    };
    const auto caller = connect();
    send(*caller, request("/1"));
    runFor(Milliseconds(50));
    send(*caller, request("/2"));
    runFor(Milliseconds(50));
    caller->close();
    runFor(Milliseconds(800));
    EXPECT_TRUE(*isNoticed);
    runFor(Milliseconds(2'000));
}

TEST_F(CallersTest, the_end_of_a_connection_says_what_was_left_unread_and_which_request_was_in_it)
{
    onRequest_ = [this](CallerConnection &caller, CallerRequest &) -> net::Task<void> {
        co_await caller.write("HTTP/1.1 200 OK\r\n");
        co_await net::sleep(io_, Milliseconds(100));
        throw std::runtime_error("a fault of the handler");
    };
    const auto caller = connect();
    const auto sent = request("/1");
    send(*caller, sent);
    runFor(Milliseconds(50));
    server_.reportOpen();
    ASSERT_EQ(ends_.size(), 1U);
    EXPECT_EQ(ends_.front().cause, ConnectionCause::ProcessEnd);
    send(*caller, request("/2"));
    const auto received = readAll(caller);
    EXPECT_EQ(received.bytes, "HTTP/1.1 200 OK\r\n");
    EXPECT_EQ(received.end, asio::error::eof) << received.end.message();
    runFor(Milliseconds(50));
    ASSERT_EQ(ends_.size(), 2U);
    const auto &end = ends_.back();
    EXPECT_EQ(connectionCauseText(end.cause), "exception");
    EXPECT_TRUE(end.isInRequest && end.isNotable());
    EXPECT_EQ(end.request, RequestId("/1"));
    EXPECT_EQ(end.requests, 1U);
    EXPECT_EQ(end.bytesRead, sent.size());
    EXPECT_EQ(end.bytesWritten, received.bytes.size());
    EXPECT_EQ(end.bytesUnread, sent.size());
    EXPECT_EQ(end.detail, "a fault of the handler");
    EXPECT_EQ(server_.connections(), 0U);
    EXPECT_EQ(server_.busyConnections(), 0U);
}

} // namespace
} // namespace baobabstall::serving::tests
