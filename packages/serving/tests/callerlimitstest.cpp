// What callers may make a hosted daemon hold: who is refused, who gives way, and how their connections end.
#include <gtest/gtest.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include <serving/callers.h>

namespace baobabstall::serving::tests {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;
using tcp = asio::ip::tcp;

constexpr std::size_t total = 8'000'000;
constexpr std::size_t longBody = 3'500'000; // two don't fit

class CallerLimitsTest : public ::testing::Test
{
protected:
    static constexpr Milliseconds timeLimit{6'000};

    CallerLimitsTest()
        : server_(io_,
                  {.limits = [] { return CallerLimits(); },
                   .onInvalidRequest = [](int, std::string_view) {},
                   .onClosed = [this](const ConnectionEnd &end) { ends_.push_back(end.cause); },
                   .onCallerLimit = [this](net::CallerPart part, int status) { noted_.emplace_back(part, status); },
                   .budget = {.totalBytes = total, .maxConnections = 3}},
                  [this](CallerConnection &caller, CallerRequest &request) -> net::Task<void> {
                      ++requests_;
                      co_await caller.write("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(request.body.size()) + "\r\n\r\n" + request.body);
                  })
    {
        core::Error why;
        address_ = *server_.listen({"127.0.0.1", 0}, why);
    }

    struct Caller {
        explicit Caller(asio::io_context &io)
            : socket(io)
        { }
        tcp::socket socket;
        std::string sent;
        std::string received;
        error_code end;
        bool isDone = false;
    };

    std::shared_ptr<Caller> send(std::string text, int receiveBuffer = 0)
    {
        auto caller = std::make_shared<Caller>(io_);
        caller->sent = std::move(text);
        caller->socket.open(tcp::v4());
        if (receiveBuffer > 0) {
            caller->socket.set_option(asio::socket_base::receive_buffer_size(receiveBuffer));
        }
        caller->socket.connect({asio::ip::make_address(address_.ip), address_.port});
        asio::async_write(caller->socket, asio::buffer(caller->sent), [caller](error_code, std::size_t) {});
        return caller;
    }
    static std::string post(std::size_t announced, std::size_t sent)
    {
        return "POST /x HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: " + std::to_string(announced) + "\r\n\r\n" + std::string(sent, 'x');
    }

    void readAll(const std::shared_ptr<Caller> &caller)
    {
        asio::async_read(caller->socket, asio::dynamic_buffer(caller->received), [caller](error_code failed, std::size_t) {
            caller->end = failed;
            caller->isDone = true;
        });
        const auto end = core::SteadyClock().now() + timeLimit;
        while (!caller->isDone && core::SteadyClock().now() < end) {
            io_.run_one_for(std::chrono::milliseconds(5));
        }
        EXPECT_TRUE(caller->isDone) << "the connection did not end";
        error_code ignored;
        caller->socket.close(ignored);
    }
    void expectAnswer(const std::shared_ptr<Caller> &caller, const std::string &status)
    {
        readAll(caller);
        EXPECT_TRUE(caller->received.starts_with("HTTP/1.1 " + status)) << caller->received.substr(0, 100);
        EXPECT_EQ(caller->end, asio::error::eof) << caller->end.message();
    }

    void runFor(Milliseconds time)
    {
        const auto end = core::SteadyClock().now() + time;
        while (core::SteadyClock().now() < end) {
            io_.run_one_for(std::chrono::milliseconds(5));
        }
    }

    using Noted = std::vector<std::pair<net::CallerPart, int>>;

    asio::io_context io_;
    asio::executor_work_guard<asio::io_context::executor_type> work_{io_.get_executor()};
    std::vector<ConnectionCause> ends_;
    Noted noted_;
    CallerServer server_;
    net::Address address_;
    int requests_ = 0;
};

// Guards against a host that keeps a trailer without end until its memory is used up (issue 49).
TEST_F(CallerLimitsTest, a_trailer_without_end_is_refused_with_431)
{
    expectAnswer(send("POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\nX-Trailer: " + std::string(200'000, 'a')), "431");
    EXPECT_EQ(noted_, (Noted{{net::CallerPart::Framing, 431}}));
    EXPECT_EQ(requests_, 0);
}

// Guards against bodies that many callers send slowly, whose sum is more than the host has (issue 49).
TEST_F(CallerLimitsTest, the_body_that_comes_slowest_gives_way_with_408_and_the_next_caller_is_served)
{
    const auto slow = send(post(longBody, longBody - 1'000));
    runFor(net::CallerBudget::calm + Milliseconds(500));
    const auto next = send(post(longBody, longBody));
    expectAnswer(next, "200");
    expectAnswer(slow, "408");
    EXPECT_EQ(noted_, (Noted{{net::CallerPart::Body, 408}}));
    EXPECT_EQ(requests_, 1);
    runFor(Milliseconds(100));
    EXPECT_EQ(std::count(ends_.begin(), ends_.end(), ConnectionCause::GaveWay), 1);
}

TEST_F(CallerLimitsTest, a_body_for_which_nobody_can_give_way_is_refused_with_503_and_the_first_is_served)
{
    const auto first = send(post(longBody, longBody - 1'000));
    runFor(Milliseconds(200));
    const auto refused = send(post(longBody, longBody));
    expectAnswer(refused, "503");
    EXPECT_NE(refused->received.find("Retry-After: 1\r\n"), std::string::npos) << refused->received;
    const std::string rest(1'000, 'x');
    asio::async_write(first->socket, asio::buffer(rest), [](error_code, std::size_t) {});
    expectAnswer(first, "200");
}

// Guards against answers that callers don't read, whose sum is more than the host has (issue 49).
TEST_F(CallerLimitsTest, an_answer_that_nobody_reads_gives_way_to_the_next_caller)
{
    constexpr int smallBuffer = 4'096; // so that the answer waits at the host and not in the kernel
    const auto unread = send(post(longBody, longBody), smallBuffer);
    runFor(net::CallerBudget::calm + Milliseconds(500));
    expectAnswer(send(post(longBody, longBody)), "200");
    readAll(unread);
    EXPECT_LT(unread->received.size(), longBody);
    EXPECT_EQ(requests_, 2);
    EXPECT_FALSE(noted_.empty());
}

// Guards against connections that send nothing and keep other callers out (issue 49).
TEST_F(CallerLimitsTest, a_connection_that_waits_gives_way_to_a_new_one_when_all_are_taken)
{
    std::vector<std::shared_ptr<Caller>> waiting;
    waiting.reserve(3);
    for (int number = 0; number < 3; ++number) {
        waiting.push_back(send("P"));
    }
    runFor(net::CallerBudget::calm + Milliseconds(500));
    expectAnswer(send(post(2, 2)), "200");
    EXPECT_EQ(noted_, (Noted{{net::CallerPart::Connections, 408}}));
}

TEST(CallerBudgetOf, follows_the_settings_and_has_room_for_ordinary_callers_without_them)
{
    constexpr std::size_t megabyte = 1024 * 1024;
    const auto limits = callerBudgetOf({.memoryMb = 120, .maxDescriptors = 4'100});
    EXPECT_EQ(limits.totalBytes, 30 * megabyte);
    EXPECT_EQ(limits.maxConnections, 2'925U);
    EXPECT_EQ(callerBudgetOf({}).totalBytes, 128 * megabyte);
    EXPECT_EQ(callerBudgetOf({}).maxConnections, 0U);
}

} // namespace
} // namespace baobabstall::serving::tests
