#include <net/orderlyclose.h>

#include <array>
#include <memory>

namespace baobabstall::net {

namespace asio = boost::asio;
using boost::system::error_code;
using tcp = asio::ip::tcp;

asio::awaitable<std::size_t> finishSending(tcp::socket &socket, core::Milliseconds timeout)
{
    error_code failed; // of a connection that its peer has reset
    socket.shutdown(tcp::socket::shutdown_send, failed);
    asio::steady_timer timer(socket.get_executor(), chronoOf(timeout));
    const auto isFinished = std::make_shared<bool>(false);
    const auto isLate = std::make_shared<bool>(false);
    timer.async_wait([&socket, isFinished, isLate](error_code cancelled) {
        if (!cancelled && !*isFinished) {
            *isLate = true;
            error_code ignored; // closed meanwhile
            socket.cancel(ignored);
        }
    });
    constexpr std::size_t pieceBytes = 4'096;
    std::array<char, pieceBytes> piece{};
    std::size_t dropped = 0;
    while (!failed && !*isLate) {
        std::size_t count = 0;
        std::tie(failed, count) = co_await socket.async_read_some(asio::buffer(piece), tuple);
        dropped += count;
    }
    *isFinished = true;
    co_return dropped;
}

} // namespace baobabstall::net
