// A faulty server: answers each connection with a prefix and then with bytes without end, until the client closes.
#pragma once

#include <string>

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
    /// `pause`: between two pieces; 0: as fast as the client reads. `isSilentFirst`: waits for a request's head.
    EndlessServer(boost::asio::io_context &io, EndlessAnswer answer, core::Milliseconds pause = core::Milliseconds(0), bool isSilentFirst = true)
        : io_(io)
        , answer_(std::move(answer))
        , pause_(pause)
        , isSilentFirst_(isSilentFirst)
        , acceptor_(io, {boost::asio::ip::make_address("127.0.0.1"), 0})
    {
        constexpr std::size_t pieceBytes = 64 * 1024;
        while (pause.count() == 0 && answer_.filler.size() < pieceBytes) {
            answer_.filler += answer_.filler;
        }
        boost::asio::co_spawn(io_, accept(), boost::asio::detached);
    }

    [[nodiscard]] Address address() const { return {"127.0.0.1", acceptor_.local_endpoint().port()}; }

    std::size_t sentBytes = 0; // over all connections
    int connections = 0;
    int closedByClient = 0;

    static constexpr std::size_t socketBufferBytes = 16 * 1024 * 1024; // at most in the sockets' buffers of one connection

private:
    Task<void> accept()
    {
        while (true) {
            auto [failed, socket] = co_await acceptor_.async_accept(tuple);
            if (failed) {
                co_return;
            }
            ++connections;
            boost::asio::co_spawn(io_, serve(std::move(socket)), boost::asio::detached);
        }
    }

    Task<void> serve(boost::asio::ip::tcp::socket socket)
    {
        std::string request;
        if (isSilentFirst_) {
            co_await boost::asio::async_read_until(socket, boost::asio::dynamic_buffer(request), "\r\n\r\n", tuple);
        }
        co_await boost::asio::async_write(socket, boost::asio::buffer(answer_.prefix), tuple);
        while (true) {
            const auto [failed, count] = co_await boost::asio::async_write(socket, boost::asio::buffer(answer_.filler), tuple);
            sentBytes += count;
            if (failed) {
                ++closedByClient;
                co_return;
            }
            if (pause_.count() > 0) {
                co_await sleep(io_, pause_);
            }
        }
    }

    boost::asio::io_context &io_;
    EndlessAnswer answer_;
    core::Milliseconds pause_;
    bool isSilentFirst_;
    boost::asio::ip::tcp::acceptor acceptor_;
};

} // namespace baobabstall::net::tests
