#include <serving/upstreams.h>

#include <netinet/tcp.h>

namespace baobabstall::serving {

namespace asio = boost::asio;
using boost::system::error_code;
using tcp = asio::ip::tcp;

namespace {

bool isSilent(tcp::socket &socket)
{
    char next = 0;
    error_code failed;
    socket.receive(asio::buffer(&next, 1), tcp::socket::message_peek, failed);
    return failed == asio::error::would_block;
}

} // namespace

void UpstreamConnection::close()
{
    error_code ignored; // a socket that is closed already
    socket.close(ignored);
}

UpstreamPool::UpstreamPool(asio::io_context &io, PoolOptions options)
    : io_(io)
    , options_(options)
{ }

ConnectionPtr UpstreamPool::takeIdle(const UpstreamId &id, Instant now)
{
    for (auto group = groups_.find(id); group != groups_.end() && !group->second.idle.empty(); group = groups_.find(id)) { // drop() may erase it
        auto connection = std::move(group->second.idle.back());
        group->second.idle.pop_back();
        const bool isFresh = now - connection->idleSince + options_.closeMargin < connection->keepFor;
        if (isFresh && isSilent(connection->socket)) {
            connection->isReused = true;
            return connection;
        }
        drop(id, connection);
    }
    return nullptr;
}

net::Task<ConnectionPtr> UpstreamPool::open(UpstreamId id, net::Address address, std::function<void(const ConnectionPtr &)> onOpening, core::Error &why)
{
    auto connection = std::make_shared<UpstreamConnection>(io_);
    ++groups_[id].open;
    ++opened_;
    onOpening(connection);
    error_code failed;
    const auto ip = asio::ip::make_address(address.ip, failed);
    if (!failed) {
        connection->socket.open(ip.is_v4() ? tcp::v4() : tcp::v6(), failed);
    }
    if (!failed) {
        asio::steady_timer timer(io_, net::chronoOf(options_.connectTimeout));
        timer.async_wait([connection](error_code cancelled) {
            if (!cancelled) {
                connection->close();
            }
        });
        std::tie(failed) = co_await connection->socket.async_connect(tcp::endpoint(ip, address.port), net::tuple);
    }
    if (failed || !connection->socket.is_open()) {
        why = core::Error{.step = core::Step::Connect,
                          .peer = address.text(),
                          .reason = failed ? failed.message() : "no connection in time",
                          .refusal = core::Refusal::Unavailable};
        drop(id, connection);
        co_return nullptr;
    }
    connection->socket.set_option(tcp::no_delay(true), failed);
    connection->socket.non_blocking(true, failed);
    const auto ack = static_cast<unsigned>(options_.ackTimeout.count());
    setsockopt(connection->socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &ack, sizeof ack);
    net::watchForSilence(connection->socket.native_handle()); // ends a connection to a machine that is gone, not one to a slow replica
    connection->keepFor = options_.defaultKeep;
    co_return connection;
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
    if (group != groups_.end() && --group->second.open <= 0) {
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
    std::vector<std::pair<UpstreamId, ConnectionPtr>> old;
    for (auto &[id, group] : groups_) {
        std::erase_if(group.idle, [&, &id = id](const ConnectionPtr &each) {
            const bool isOld = now - each->idleSince + options_.closeMargin >= each->keepFor;
            if (isOld) {
                old.emplace_back(id, each);
            }
            return isOld;
        });
    }
    for (const auto &[id, connection] : old) {
        drop(id, connection);
    }
}

int UpstreamPool::openTo(const UpstreamId &id) const
{
    const auto group = groups_.find(id);
    return group == groups_.end() ? 0 : group->second.open;
}

std::size_t UpstreamPool::idle() const
{
    std::size_t count = 0;
    for (const auto &[id, group] : groups_) {
        count += group.idle.size();
    }
    return count;
}

} // namespace baobabstall::serving
