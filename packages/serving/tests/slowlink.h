// Passes the bytes of TCP connections on to an address, each after a delay that may change.
#pragma once

#include <memory>
#include <vector>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include <net/asio.h>
#include <net/http.h>

namespace baobabstall::serving::tests {

class SlowLink
{
public:
    SlowLink(boost::asio::io_context &io, net::Address to)
        : io_(io)
        , to_(std::move(to))
        , acceptor_(io, {boost::asio::ip::make_address("127.0.0.1"), 0})
    {
        boost::asio::co_spawn(io_, accept(), boost::asio::detached);
    }

    [[nodiscard]] net::Address address() const { return {"127.0.0.1", acceptor_.local_endpoint().port()}; }
    void setDelay(core::Milliseconds delay) { *delay_ = delay; }

private:
    using tcp = boost::asio::ip::tcp;
    using SocketPtr = std::shared_ptr<tcp::socket>;

    net::Task<void> accept()
    {
        while (true) {
            auto [failed, socket] = co_await acceptor_.async_accept(net::tuple);
            if (failed) {
                co_return;
            }
            const auto near = std::make_shared<tcp::socket>(std::move(socket));
            const auto far = std::make_shared<tcp::socket>(io_);
            co_await far->async_connect({boost::asio::ip::make_address(to_.ip), to_.port}, net::tuple);
            boost::asio::co_spawn(io_, pass(near, far), boost::asio::detached);
            boost::asio::co_spawn(io_, pass(far, near), boost::asio::detached);
        }
    }

    net::Task<void> pass(SocketPtr from, SocketPtr to)
    {
        constexpr std::size_t piece = 64 * 1024;
        while (true) {
            const auto bytes = std::make_shared<std::vector<char>>(piece);
            const auto [failed, count] = co_await from->async_read_some(boost::asio::buffer(*bytes), net::tuple);
            if (failed) {
                to->close();
                co_return;
            }
            bytes->resize(count);
            const auto timer = std::make_shared<boost::asio::steady_timer>(io_, net::chronoOf(*delay_));
            timer->async_wait([timer, bytes, to](boost::system::error_code) {
                boost::system::error_code ignored; // closed meanwhile
                boost::asio::write(*to, boost::asio::buffer(*bytes), ignored);
            });
        }
    }

    boost::asio::io_context &io_;
    net::Address to_;
    tcp::acceptor acceptor_;
    std::shared_ptr<core::Milliseconds> delay_ = std::make_shared<core::Milliseconds>(0);
};

} // namespace baobabstall::serving::tests
