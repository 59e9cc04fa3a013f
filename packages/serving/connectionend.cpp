#include <serving/connectionend.h>

#include <net/orderlyclose.h>

namespace baobabstall::serving {

net::Task<bool> endsInOrder(ConnectionPtr connection)
{
    constexpr Milliseconds interval{5}; // no event tells of the acknowledgement
    auto &socket = connection->socket;
    while (socket.is_open() && !connection->writeError && !net::isOver(socket)) {
        if (!connection->isWriting && net::bytesOnTheWay(socket) == 0) {
            co_return true;
        }
        boost::asio::steady_timer timer(socket.get_executor(), net::chronoOf(interval));
        co_await timer.async_wait(net::tuple);
    }
    co_return false;
}

} // namespace baobabstall::serving
