#include <serving/upstreams.h>

#include <algorithm>

#include <netinet/tcp.h>

namespace baobabstall::serving {

namespace asio = boost::asio;
using boost::system::error_code;
using tcp = asio::ip::tcp;

void UpstreamConnection::close()
{
    error_code ignored; // the socket may already be closed
    socket.close(ignored);
}

void UpstreamConnection::abort()
{
    error_code ignored; // the socket may not be connected yet
    socket.set_option(asio::socket_base::linger(true, 0), ignored);
    close();
}

UpstreamPool::UpstreamPool(asio::io_context &io, PoolOptions options)
    : io_(io)
    , options_(options)
{ }

ConnectionPtr UpstreamPool::takeIdle(const UpstreamId &id, const RequestId &request, Instant now)
{
    const auto mayCarry
        = [&request](const ConnectionPtr &each) { return std::find(each->refused.begin(), each->refused.end(), request) == each->refused.end(); };
    for (auto group = groups_.find(id); group != groups_.end(); group = groups_.find(id)) { // drop() may erase the group
        auto &idle = group->second.idle;
        const auto newest = std::find_if(idle.rbegin(), idle.rend(), mayCarry);
        if (newest == idle.rend()) {
            break;
        }
        auto connection = std::move(*newest);
        idle.erase(std::next(newest).base());
        const bool isReusable = now - connection->idleSince + options_.closeMargin < connection->keepFor;
        const bool isStillOpen = isOpen(*connection);
        if (isReusable && isStillOpen) {
            connection->isReused = true;
            return connection;
        }
        if (isReusable) {
            onUnexpectedClose(id);
        }
        drop(id, connection);
    }
    return nullptr;
}

net::Task<ConnectionPtr> UpstreamPool::open(UpstreamId id, net::Address address, std::function<void(const ConnectionPtr &)> onOpening, core::Error &why)
{
    auto connection = std::make_shared<UpstreamConnection>(io_);
    ++groups_[id].openCount;
    ++totalOpened_;
    onOpening(connection);
    error_code error;
    const auto isTimedOut = std::make_shared<bool>(false);
    const auto isOver = std::make_shared<bool>(false); // also for a timer that has expired and whose handler has not run yet
    const auto ip = asio::ip::make_address(address.ip, error);
    if (!error) {
        connection->socket.open(ip.is_v4() ? tcp::v4() : tcp::v6(), error);
    }
    if (!error) {
        asio::steady_timer timer(io_, net::chronoOf(options_.connectTimeout));
        timer.async_wait([connection, isTimedOut, isOver](error_code timerError) {
            if (!timerError && !*isOver) {
                *isTimedOut = true;
                connection->close();
            }
        });
        std::tie(error) = co_await connection->socket.async_connect(tcp::endpoint(ip, address.port), net::tuple);
        *isOver = true;
    }
    if (error || !connection->socket.is_open()) {
        if (*isTimedOut || (error && error != asio::error::operation_aborted)) {
            onNoContact(id);
        }
        why = core::Error{.step = core::Step::Connect,
                          .peer = address.text(),
                          .reason = *isTimedOut ? "connection timed out"
                              : error           ? error.message()
                                                : "cancelled",
                          .refusal = core::Refusal::Unavailable};
        drop(id, connection);
        co_return nullptr;
    }
    connection->socket.set_option(tcp::no_delay(true), error);
    connection->socket.non_blocking(true, error);
    const auto ackTimeoutMs = static_cast<unsigned>(options_.ackTimeout.count());
    setsockopt(connection->socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &ackTimeoutMs, sizeof ackTimeoutMs);
    net::watchForSilence(connection->socket.native_handle()); // detects an unreachable machine without closing connections to a slow replica
    connection->keepFor = options_.defaultKeep;
    co_return connection;
}

bool UpstreamPool::isOpen(UpstreamConnection &connection)
{
    char byte = 0;
    error_code error;
    connection.socket.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, error);
    return error == asio::error::would_block;
}

void UpstreamPool::keep(const UpstreamId &id, ConnectionPtr connection, Instant now)
{
    connection->idleSince = now;
    groups_[id].idle.push_back(std::move(connection));
}

void UpstreamPool::drop(const UpstreamId &id, const ConnectionPtr &connection)
{
    connection->close();
    const auto group = groups_.find(id);
    if (group != groups_.end() && --group->second.openCount <= 0) {
        groups_.erase(group);
    }
}

void UpstreamPool::forget(const UpstreamId &id)
{
    const auto group = groups_.find(id);
    if (group != groups_.end()) {
        for (const auto &connection : std::exchange(group->second.idle, {})) {
            drop(id, connection);
        }
    }
}

void UpstreamPool::expire(Instant now)
{
    std::vector<std::pair<UpstreamId, ConnectionPtr>> expired;
    for (auto &[id, group] : groups_) {
        std::erase_if(group.idle, [&, &id = id](const ConnectionPtr &each) {
            const bool isExpired = now - each->idleSince + options_.closeMargin >= each->keepFor;
            if (isExpired) {
                expired.emplace_back(id, each);
            }
            return isExpired;
        });
    }
    for (const auto &[id, connection] : expired) {
        drop(id, connection);
    }
}

int UpstreamPool::openTo(const UpstreamId &id) const
{
    const auto group = groups_.find(id);
    return group == groups_.end() ? 0 : group->second.openCount;
}

std::size_t UpstreamPool::idle() const
{
    std::size_t count = 0;
    for (const auto &[id, group] : groups_) {
        count += group.idle.size();
    }
    return count;
}

std::size_t UpstreamPool::busy() const
{
    std::size_t count = 0;
    for (const auto &[id, group] : groups_) {
        count += static_cast<std::size_t>(group.openCount) - group.idle.size();
    }
    return count;
}

} // namespace baobabstall::serving
