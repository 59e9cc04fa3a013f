#include <net/orderlyclose.h>

#include <algorithm>
#include <limits>
#include <memory>
#include <optional>

#include <linux/sockios.h>
#include <sys/ioctl.h>

#include <core/clock.h>

namespace baobabstall::net {

namespace asio = boost::asio;
using boost::system::error_code;
using core::Milliseconds;
using tcp = asio::ip::tcp;

namespace {

constexpr Milliseconds progressInterval{100};
constexpr Milliseconds endInterval{20}; // while the peer's end can't be waited for, as it lies behind unread bytes

/// Nothing where it can't be told.
std::optional<int> kernelState(tcp::socket &socket)
{
    tcp_info info{};
    socklen_t length = sizeof info;
    const bool isKnown = getsockopt(socket.native_handle(), IPPROTO_TCP, TCP_INFO, &info, &length) == 0;
    return isKnown ? std::optional<int>(info.tcpi_state) : std::nullopt;
}

enum class PeerState : std::uint8_t { Open, Sending, Closed };

PeerState stateOf(tcp::socket &socket)
{
    char next = 0;
    error_code failed;
    socket.non_blocking(true, failed);
    socket.receive(asio::buffer(&next, 1), tcp::socket::message_peek, failed);
    if (failed) {
        return failed == asio::error::would_block ? PeerState::Open : PeerState::Closed;
    }
    return isOver(socket) ? PeerState::Closed : PeerState::Sending;
}

/// Until something can be read.
asio::awaitable<void> waitForPeer(tcp::socket &socket, Milliseconds most)
{
    asio::steady_timer timer(socket.get_executor(), chronoOf(most));
    const auto isOver = std::make_shared<bool>(false);
    timer.async_wait([&socket, isOver](error_code cancelled) {
        if (!cancelled && !*isOver) {
            error_code ignored; // closed meanwhile
            socket.cancel(ignored);
        }
    });
    co_await socket.async_wait(tcp::socket::wait_read, tuple);
    *isOver = true;
}

} // namespace

int bytesOnTheWay(tcp::socket &socket)
{
    int bytes = 0;
    return ioctl(socket.native_handle(), SIOCOUTQ, &bytes) == 0 ? bytes : 0;
}

bool isOver(tcp::socket &socket)
{
    const auto state = kernelState(socket);
    return state == TCP_CLOSE || state == TCP_TIME_WAIT;
}

bool hasPeerClosed(tcp::socket &socket)
{
    const auto state = kernelState(socket);
    return isOver(socket) || state == TCP_CLOSE_WAIT || state == TCP_LAST_ACK || state == TCP_CLOSING;
}

asio::awaitable<void> finishSending(tcp::socket &socket, Milliseconds timeout)
{
    error_code failed; // of a connection that its peer has reset
    socket.shutdown(tcp::socket::shutdown_send, failed);
    const core::SteadyClock clock;
    auto until = clock.now() + timeout;
    for (int before = std::numeric_limits<int>::max(); !failed && socket.is_open();) {
        const auto state = stateOf(socket);
        const int onTheWay = bytesOnTheWay(socket);
        if (onTheWay > 0 && onTheWay < before) {
            until = clock.now() + timeout;
        }
        before = onTheWay;
        const auto left = until - clock.now();
        if (state == PeerState::Closed || left.count() <= 0) {
            co_return;
        }
        if (state == PeerState::Open) {
            co_await waitForPeer(socket, std::min(left, progressInterval));
        } else {
            asio::steady_timer timer(socket.get_executor(), chronoOf(std::min(left, endInterval)));
            co_await timer.async_wait(tuple);
        }
    }
}

} // namespace baobabstall::net
