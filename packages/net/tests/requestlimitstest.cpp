// Requests that have no end between or behind their chunks, at net::HttpServer: refused in order, and those inside the limits are served.
#include <gtest/gtest.h>

#include <boost/asio/connect.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include <core/clock.h>
#include <net/asio.h>
#include <net/http.h>

namespace baobabstall::net::tests {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;
using tcp = asio::ip::tcp;

constexpr std::size_t headerBytes = 4'096;
constexpr const char *chunked = "POST /x HTTP/1.1\r\nHost: h\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n";

class RequestLimitsTest : public ::testing::Test
{
protected:
    static constexpr Milliseconds timeLimit{6'000};

    void serve(ServerLimits limits)
    {
        limits.maxHeaderBytes = headerBytes;
        server_ = std::make_unique<HttpServer>(io_, limits, [this](Exchange &exchange) -> Task<void> {
            ++requests_;
            headers_ = exchange.request().headers;
            co_await exchange.respond({.status = 200, .headers = {}, .body = exchange.request().body});
        });
        server_->onLimit([this](CallerPart part, int status) { noted_.emplace_back(part, status); });
        core::Error why;
        address_ = *server_->listen({"127.0.0.1", 0}, why);
    }

    std::shared_ptr<tcp::socket> send(const std::string &text)
    {
        auto socket = std::make_shared<tcp::socket>(io_);
        socket->connect({asio::ip::make_address(address_.ip), address_.port});
        socket->non_blocking(true);
        asio::async_write(*socket, asio::buffer(*keep(text)), [socket](error_code, std::size_t) {});
        return socket;
    }

    /// What comes until the connection ends.
    std::string readAll(const std::shared_ptr<tcp::socket> &socket)
    {
        std::string answer;
        end_ = error_code();
        bool isDone = false;
        asio::async_read(*socket, asio::dynamic_buffer(answer), [&](error_code failed, std::size_t) {
            end_ = failed;
            isDone = true;
        });
        runUntil([&] { return isDone; });
        EXPECT_TRUE(isDone);
        return answer;
    }

    template<typename Condition>
    void runUntil(Condition isTrue, Milliseconds limit = timeLimit)
    {
        const auto end = core::SteadyClock().now() + limit;
        while (!isTrue() && core::SteadyClock().now() < end) {
            io_.run_one_for(std::chrono::milliseconds(5));
        }
    }

    void expectRefused(const std::string &text, const std::string &status, CallerPart part)
    {
        serve({});
        const auto answer = readAll(send(text));
        EXPECT_TRUE(answer.starts_with("HTTP/1.1 " + status)) << answer;
        EXPECT_NE(answer.find("not_run"), std::string::npos) << answer;
        EXPECT_EQ(end_, asio::error::eof) << end_.message();
        EXPECT_EQ(requests_, 0);
        const std::vector<std::pair<CallerPart, int>> expected{{part, std::stoi(status)}};
        EXPECT_EQ(noted_, expected);
    }

    const std::string *keep(const std::string &text)
    {
        texts_.push_back(std::make_unique<std::string>(text));
        return texts_.back().get();
    }

    asio::io_context io_;
    std::unique_ptr<HttpServer> server_;
    Address address_;
    std::vector<std::unique_ptr<std::string>> texts_;
    std::vector<std::pair<CallerPart, int>> noted_;
    error_code end_;
    int requests_ = 0;
    Headers headers_; // of the last request
};

// Each of the following guards against a daemon that keeps what has no end behind a chunked body until its memory is used up (issue 49).
TEST_F(RequestLimitsTest, trailer_fields_without_end_are_refused)
{
    std::string text = std::string(chunked) + "1\r\nx\r\n0\r\n";
    for (int number = 0; number < 10'000; ++number) {
        text += "X-Trailer: of one field\r\n";
    }
    expectRefused(text, "431", CallerPart::Framing);
}

TEST_F(RequestLimitsTest, one_trailer_without_end_is_refused)
{
    expectRefused(std::string(chunked) + "1\r\nx\r\n0\r\nX-Trailer: " + std::string(200'000, 'a'), "431", CallerPart::Framing);
}

TEST_F(RequestLimitsTest, a_chunk_extension_without_end_is_refused)
{
    expectRefused(std::string(chunked) + "1;name=" + std::string(200'000, 'a'), "431", CallerPart::Framing);
}

TEST_F(RequestLimitsTest, digits_of_a_chunk_size_without_end_are_refused)
{
    expectRefused(std::string(chunked) + std::string(200'000, '0'), "431", CallerPart::Framing);
}

TEST_F(RequestLimitsTest, extensions_of_many_chunks_are_refused_once_their_sum_is_over_the_limit)
{
    std::string text = chunked;
    for (int number = 0; number < 100; ++number) {
        text += "1;name=" + std::string(100, 'a') + "\r\nx\r\n";
    }
    expectRefused(text, "431", CallerPart::Framing);
}

TEST_F(RequestLimitsTest, chunks_extensions_and_trailers_inside_the_limits_are_served)
{
    serve({});
    std::string text = chunked;
    for (int number = 0; number < 2'000; ++number) { // more framing than the header limit, as each chunk is one byte
        text += number < 100 ? "1;name=aaaaaaaaaa\r\nx\r\n" : "1\r\nx\r\n";
    }
    const auto answer = readAll(send(text + "0\r\nX-Trailer: " + std::string(headerBytes - 100, 'a') + "\r\n\r\n"));
    EXPECT_TRUE(answer.starts_with("HTTP/1.1 200")) << answer.substr(0, 100);
    EXPECT_TRUE(answer.ends_with(std::string(2'000, 'x')));
    EXPECT_TRUE(noted_.empty());
}

// Guards against a second request made of a body whose end nobody knows: it was read as a request without one.
TEST_F(RequestLimitsTest, a_body_in_a_coding_that_does_not_end_with_chunked_is_refused_and_no_request_is_made_of_it)
{
    for (const std::string coding : {"gzip", "chunked, gzip", "identity", "xchunked", "gzip\r\nContent-Length: 0"}) {
        requests_ = 0;
        serve({});
        const auto answer = readAll(
            send("POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: " + coding + "\r\n\r\nPOST /hidden HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"));
        EXPECT_TRUE(answer.starts_with("HTTP/1.1 400")) << coding << ": " << answer;
        EXPECT_EQ(requests_, 0) << coding;
    }
}

TEST_F(RequestLimitsTest, a_body_in_chunks_beneath_which_is_another_coding_is_served)
{
    serve({});
    const auto answer = readAll(send("POST /x HTTP/1.1\r\nHost: h\r\nConnection: close\r\nTransfer-Encoding: gzip, chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n"));
    EXPECT_TRUE(answer.starts_with("HTTP/1.1 200") && answer.ends_with("x")) << answer;
}

// Guards against fields that were sent behind the body and counted as those of the head, such as a second deadline.
TEST_F(RequestLimitsTest, fields_of_a_trailer_are_not_fields_of_the_request)
{
    serve({});
    const auto answer = readAll(send(std::string(chunked) + "1\r\nx\r\n0\r\nHost: other\r\nX-Trailer: field\r\n\r\n"));
    EXPECT_TRUE(answer.starts_with("HTTP/1.1 200") && answer.ends_with("x")) << answer;
    EXPECT_EQ(headers_.find("Host"), "h");
    EXPECT_EQ(headers_.find("X-Trailer"), std::nullopt);
    EXPECT_EQ(headers_.all().size(), 3);
}

TEST_F(RequestLimitsTest, a_body_that_comes_slowly_gives_way_with_408_when_memory_is_short_and_the_next_caller_is_served)
{
    serve({.maxBodyBytes = 32 * 1024 * 1024, .memoryBytes = 1});
    constexpr std::size_t held = CallerBudget::minTotalBytes / 2;
    const std::string head = "POST /x HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: ";
    const auto slow = send(head + std::to_string(held + 100) + "\r\n\r\n" + std::string(held, 'a'));
    runUntil([] { return false; }, CallerBudget::calm + Milliseconds(500));
    const auto answer = readAll(send(head + std::to_string(held) + "\r\n\r\n" + std::string(held, 'b')));
    EXPECT_TRUE(answer.starts_with("HTTP/1.1 200")) << answer.substr(0, 300);
    const auto refusal = readAll(slow);
    EXPECT_TRUE(refusal.starts_with("HTTP/1.1 408")) << refusal;
    EXPECT_EQ(end_, asio::error::eof) << end_.message();
    EXPECT_EQ(requests_, 1);
    const std::vector<std::pair<CallerPart, int>> expected{{CallerPart::Body, 408}};
    EXPECT_EQ(noted_, expected);
}

TEST_F(RequestLimitsTest, a_request_for_which_nobody_can_give_way_is_refused_with_503)
{
    serve({.maxBodyBytes = 32 * 1024 * 1024, .memoryBytes = 1, .receiveTimeout = Milliseconds(60'000)});
    constexpr std::size_t held = CallerBudget::minTotalBytes / 2;
    const std::string head = "POST /x HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: ";
    const auto first = send(head + std::to_string(held + 100) + "\r\n\r\n" + std::string(held, 'a'));
    runUntil([] { return false; }, Milliseconds(200));
    const auto refusal = readAll(send(head + std::to_string(held) + "\r\n\r\n" + std::string(held, 'b')));
    EXPECT_TRUE(refusal.starts_with("HTTP/1.1 503")) << refusal.substr(0, 300);
    EXPECT_NE(refusal.find("Retry-After: 1"), std::string::npos) << refusal;
    EXPECT_EQ(end_, asio::error::eof) << end_.message();
    const auto rest = keep(std::string(100, 'a'));
    asio::async_write(*first, asio::buffer(*rest), [](error_code, std::size_t) {});
    EXPECT_TRUE(readAll(first).starts_with("HTTP/1.1 200"));
}

TEST_F(RequestLimitsTest, connections_that_wait_give_way_to_new_ones_when_all_are_taken)
{
    serve({.maxConnections = 3});
    std::vector<std::shared_ptr<tcp::socket>> waiting;
    waiting.reserve(3);
    for (int number = 0; number < 3; ++number) {
        waiting.push_back(send("P"));
    }
    runUntil([] { return false; }, CallerBudget::calm + Milliseconds(500));
    const auto answer = readAll(send("GET /x HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"));
    EXPECT_TRUE(answer.starts_with("HTTP/1.1 200")) << answer;
}

} // namespace
} // namespace baobabstall::net::tests
