// A faulty server: answers each connection with a prefix and then with bytes without end, until the client closes.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include <net/asio.h>
#include <net/http.h>

namespace baobabstall::net::tests {

struct EndlessAnswer {
    std::string name; // for messages of tests
    std::string prefix;
    std::string filler;
    bool isInHead = false;
};

/// One for each place of an answer where bytes may go on without end. `fields`: header lines of a proper answer.
inline std::vector<EndlessAnswer> endlessAnswers(const std::string &fields = {}, int status = 200)
{
    const std::string head = "HTTP/1.1 " + std::to_string(status) + " OK\r\n" + fields;
    const std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
    return {
        {"no answer at all", "", std::string(4096, 'x'), true},
        {"a status line", "HTTP/1.1 200 ", std::string(4096, 'x'), true},
        {"a header field", head + "More: ", std::string(4096, 'x'), true},
        {"header fields", head, "More: x\r\n", true},
        {"interim answers", "", "HTTP/1.1 100 Continue\r\n\r\n", true},
        {"a body until the connection ends", head + "\r\n", std::string(4096, 'x')},
        {"a body of a length", head + "Content-Length: 9000000000000\r\n\r\n", std::string(4096, 'x')},
        {"chunks", chunked, "1000\r\n" + std::string(4096, 'x') + "\r\n"},
        {"one chunk", chunked + "fffffffffff\r\n", std::string(4096, 'x')},
        {"a chunk extension", chunked + "5;more=", std::string(4096, 'x')},
        {"a trailer", chunked + "0\r\nMore: ", std::string(4096, 'x')},
        {"trailers", chunked + "0\r\n", "More: x\r\n"},
    };
}

class EndlessServer
{
public:
    /// `pause`: between two pieces; 0: as fast as the client reads. `waitsForRequest`: sends nothing before a request's head has arrived.
    EndlessServer(boost::asio::io_context &io, EndlessAnswer answer, core::Milliseconds pause = core::Milliseconds(0), bool waitsForRequest = true)
        : state_(std::make_shared<State>(io, std::move(answer), pause, waitsForRequest))
    {
        constexpr std::size_t pieceBytes = 64 * 1024;
        while (pause.count() == 0 && state_->answer.filler.size() < pieceBytes) {
            state_->answer.filler += state_->answer.filler;
        }
        boost::asio::co_spawn(io, accept(state_), boost::asio::detached);
    }
    ~EndlessServer() { state_->acceptor.close(); }
    EndlessServer(const EndlessServer &) = delete;
    EndlessServer &operator=(const EndlessServer &) = delete;

    [[nodiscard]] Address address() const { return {"127.0.0.1", state_->acceptor.local_endpoint().port()}; }
    [[nodiscard]] std::size_t sentBytes() const { return state_->sentBytes; } // over all connections
    [[nodiscard]] int connections() const { return state_->connections; }
    [[nodiscard]] int closedByClient() const { return state_->closedByClient; }

    static constexpr std::size_t socketBufferBytes = 16 * 1024 * 1024; // at most in the sockets' buffers of one connection

private:
    struct State {
        State(boost::asio::io_context &context, EndlessAnswer endless, core::Milliseconds pauseTime, bool waits)
            : io(context)
            , answer(std::move(endless))
            , pause(pauseTime)
            , waitsForRequest(waits)
            , acceptor(context, {boost::asio::ip::make_address("127.0.0.1"), 0})
        { }

        boost::asio::io_context &io;
        EndlessAnswer answer;
        core::Milliseconds pause;
        bool waitsForRequest;
        boost::asio::ip::tcp::acceptor acceptor;
        std::size_t sentBytes = 0;
        int connections = 0;
        int closedByClient = 0;
    };

    static Task<void> accept(std::shared_ptr<State> state)
    {
        while (true) {
            auto [failed, socket] = co_await state->acceptor.async_accept(tuple);
            if (failed) {
                co_return;
            }
            ++state->connections;
            boost::asio::co_spawn(state->io, serve(state, std::move(socket)), boost::asio::detached);
        }
    }

    static Task<void> serve(std::shared_ptr<State> state, boost::asio::ip::tcp::socket socket)
    {
        std::string request;
        if (state->waitsForRequest) {
            co_await boost::asio::async_read_until(socket, boost::asio::dynamic_buffer(request), "\r\n\r\n", tuple);
        }
        co_await boost::asio::async_write(socket, boost::asio::buffer(state->answer.prefix), tuple);
        while (true) {
            const auto [failed, count] = co_await boost::asio::async_write(socket, boost::asio::buffer(state->answer.filler), tuple);
            state->sentBytes += count;
            if (failed) {
                ++state->closedByClient;
                co_return;
            }
            if (state->pause.count() > 0) {
                co_await sleep(state->io, state->pause);
            }
        }
    }

    std::shared_ptr<State> state_;
};

} // namespace baobabstall::net::tests
