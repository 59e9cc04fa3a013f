// A TCP proxy whose open connections can fall silent without a reset, for tests of links.
#pragma once

#include <array>
#include <memory>
#include <vector>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include <net/asio.h>
#include <net/http.h>

namespace baobabstall::peers::tests {

namespace asio = boost::asio;
using asio::ip::tcp;

class SilentProxy
{
public:
    enum class Direction { ToServer, ToClient };

    SilentProxy(asio::io_context &io, const net::Address &server)
        : io_(io)
        , server_(asio::ip::make_address(server.ip), server.port)
        , acceptor_(io, tcp::endpoint(asio::ip::address_v4::loopback(), 0))
    {
        asio::co_spawn(io_, accept(), asio::detached);
    }
    ~SilentProxy() { acceptor_.close(); }
    SilentProxy(const SilentProxy &) = delete;
    SilentProxy &operator=(const SilentProxy &) = delete;

    [[nodiscard]] net::Address address() const { return {"127.0.0.1", acceptor_.local_endpoint().port()}; }
    [[nodiscard]] std::size_t connections() const { return pairs_.size(); }
    /// Connections that are open now pass nothing on in this direction; what comes is kept.
    void silence(Direction direction)
    {
        for (const auto &pair : pairs_) {
            pair->isSilent.at(static_cast<std::size_t>(direction)) = true;
        }
    }
    /// They pass on again, beginning with what was kept.
    void resume()
    {
        for (const auto &pair : pairs_) {
            pair->isSilent = {};
        }
    }

private:
    struct Pair {
        explicit Pair(tcp::socket accepted)
            : client(std::move(accepted))
            , server(client.get_executor())
        { }
        tcp::socket client;
        tcp::socket server;
        std::array<bool, 2> isSilent{};
    };

    asio::awaitable<void> accept()
    {
        while (true) {
            auto [failed, socket] = co_await acceptor_.async_accept(net::tuple);
            if (failed) {
                co_return;
            }
            const auto pair = std::make_shared<Pair>(std::move(socket));
            if (const auto [unreachable] = co_await pair->server.async_connect(server_, net::tuple); unreachable) {
                continue;
            }
            pairs_.push_back(pair);
            asio::co_spawn(io_, pump(pair, Direction::ToServer), asio::detached);
            asio::co_spawn(io_, pump(pair, Direction::ToClient), asio::detached);
        }
    }

    asio::awaitable<void> pump(std::shared_ptr<Pair> pair, Direction direction)
    {
        auto &from = direction == Direction::ToServer ? pair->client : pair->server;
        auto &to = direction == Direction::ToServer ? pair->server : pair->client;
        std::array<char, 4'096> buffer{};
        while (true) {
            const auto [failed, count] = co_await from.async_read_some(asio::buffer(buffer), net::tuple);
            while (pair->isSilent.at(static_cast<std::size_t>(direction))) {
                co_await net::sleep(io_, core::Milliseconds(5));
            }
            if (failed) {
                boost::system::error_code ignored;
                to.shutdown(tcp::socket::shutdown_send, ignored);
                co_return;
            }
            const auto [broken, written] = co_await asio::async_write(to, asio::buffer(buffer.data(), count), net::tuple);
            if (broken) {
                co_return;
            }
        }
    }

    asio::io_context &io_;
    tcp::endpoint server_;
    tcp::acceptor acceptor_;
    std::vector<std::shared_ptr<Pair>> pairs_;
};

} // namespace baobabstall::peers::tests
