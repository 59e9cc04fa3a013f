// serving/upstreams.h: connections to upstreams, kept for reuse. I/O; one thread.
//
// Index
//   UpstreamConnection   a socket, what was read beyond the last answer, and a write that may still be going on
//   UpstreamPool         open() a connection, give it back with keep()
//
// A connection is reused only when nothing has arrived on it since its last answer: whatever comes unasked belongs to no request.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>

#include <core/error.h>
#include <net/asio.h>
#include <serving/model.h>

namespace baobabstall::serving {

struct UpstreamConnection {
    explicit UpstreamConnection(boost::asio::io_context &io)
        : socket(io)
    { }

    boost::asio::ip::tcp::socket socket;
    boost::beast::flat_buffer buffer;
    std::string out; // what is being written; lives until the write ends
    bool isWriting = false;
    bool isReused = false;
    std::size_t written = 0;
    boost::system::error_code writeError;
    Instant idleSince;
    Milliseconds keepFor{4'000}; // idle time after which the upstream may close it; told by its answers

    void close();
};

using ConnectionPtr = std::shared_ptr<UpstreamConnection>;

struct PoolOptions {
    Milliseconds connectTimeout{300}; // a lost opening packet is sent again after seconds; another upstream is tried sooner
    Milliseconds ackTimeout{1'500};   // TCP_USER_TIMEOUT: unacknowledged bytes after which a silent peer counts as gone
    Milliseconds closeMargin{1'000};  // before the upstream's own idle limit, so that a request does not cross its close
    Milliseconds defaultKeep{4'000};  // idle time of a connection whose upstream told none
};

class UpstreamPool
{
public:
    UpstreamPool(boost::asio::io_context &io, PoolOptions options);

    /// An idle connection that is sound, or nothing.
    [[nodiscard]] ConnectionPtr takeIdle(const UpstreamId &id, Instant now);
    /// A new one. `onOpening` gets it first, so that the wait can be ended by closing it. Error: step Connect, NotRun.
    net::Task<ConnectionPtr> open(UpstreamId id, net::Address address, std::function<void(const ConnectionPtr &)> onOpening, core::Error &why);
    void keep(const UpstreamId &id, ConnectionPtr connection, Instant now);
    /// Ends a connection that is not to be reused.
    void drop(const UpstreamId &id, const ConnectionPtr &connection);
    void forget(const UpstreamId &id); // closes idle ones
    void expire(Instant now);

    [[nodiscard]] int openTo(const UpstreamId &id) const; // in use and idle
    [[nodiscard]] std::uint64_t opened() const { return opened_; }
    [[nodiscard]] std::size_t idle() const;

private:
    struct Group {
        std::vector<ConnectionPtr> idle;
        int open = 0;
    };

    boost::asio::io_context &io_;
    PoolOptions options_;
    std::map<UpstreamId, Group> groups_;
    std::uint64_t opened_ = 0;
};

} // namespace baobabstall::serving
