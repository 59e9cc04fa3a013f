// serving/upstreams.h: pool of connections to upstreams. I/O; single-threaded.
//
// Index
//   UpstreamConnection   a socket with its read buffer and the state of a write that may be in progress
//   PoolOptions          timeouts
//   UpstreamPool         takeIdle() or open() a connection, return it with keep() or close it with drop()
//
// A connection is reused only if no data has arrived since its last response: unsolicited data belongs to no request. A request that the
// upstream refused or failed on a connection is never sent there again: a late copy of that answer would be taken for the new one.
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
    static constexpr std::size_t maxRefused = 32;               // then the connection is closed
    static constexpr std::size_t maxUnparsedBytes = 128 * 1024; // of a response; its head, the framing of one chunk and a trailer have to fit

    boost::beast::flat_buffer buffer{maxUnparsedBytes};
    std::string out; // data being written; must stay valid until the write completes
    bool isWriting = false;
    bool isReused = false;
    ReplicaStartTime provenRun;     // the run of the upstream that this connection leads to, as it said itself; 0: not asked
    std::vector<RequestId> refused; // requests that it brought an answer for and that may be sent again
    bool namesRefused = false;      // it brought a refusal that names its request, so one without an id proves nothing
    std::size_t written = 0;
    boost::system::error_code writeError;
    Instant idleSince;
    Milliseconds keepFor{4'000}; // idle time after which the upstream may close it; set from its responses

    void close();
    /// The same, and what the kernel still holds is not sent: the request is wanted no more.
    void abort();
};

using ConnectionPtr = std::shared_ptr<UpstreamConnection>;

/// TCP_USER_TIMEOUT also decides when the kernel's keep-alive probes (net::watchForSilence()) give up, whatever their count: at the first probe
/// that is due ackTimeout or later after the peer was last heard, with one probe unanswered. With probes after 1, 2 and 3 s a connection whose peer
/// has fallen silent for good is closed after 3 s when nothing is under way, and 2.5 to 3 s after data was sent. A peer that is silent for a second
/// answers the first or the second probe. Neither Asio nor Beast sets the option.
struct PoolOptions {
    Milliseconds connectTimeout{300}; // shorter than the retransmission of a lost SYN, which takes seconds, so that another upstream is tried sooner
    Milliseconds ackTimeout{2'500};   // TCP_USER_TIMEOUT: how long sent data may stay unacknowledged before the connection is closed; see above
    Milliseconds closeMargin{1'000};  // stops reuse this long before the upstream's idle timeout, so that a request doesn't race with its close
    Milliseconds defaultKeep{4'000};  // idle timeout if the upstream doesn't state one
};

class UpstreamPool
{
public:
    UpstreamPool(boost::asio::io_context &io, PoolOptions options);

    /// Called when an idle connection turns out to have been closed sooner than the upstream said: it may have started again.
    std::function<void(const UpstreamId &)> onUnexpectedClose = [](const UpstreamId &) {};

    /// Called when open() failed or timed out rather than being cancelled.
    std::function<void(const UpstreamId &)> onNoContact = [](const UpstreamId &) {};

    /// Returns a reusable idle connection that never brought a refusal of the request, or nullptr.
    [[nodiscard]] ConnectionPtr takeIdle(const UpstreamId &id, const RequestId &request, Instant now);
    /// Opens a new connection. `onOpening` receives it before it connects, so that the caller can cancel by closing it. Returns nullptr on
    /// failure, with an error of step Connect; no request has been sent then.
    net::Task<ConnectionPtr> open(UpstreamId id, net::Address address, std::function<void(const ConnectionPtr &)> onOpening, core::Error &why);
    /// Whether the upstream has neither closed nor reset the connection, nor sent anything that nobody has read.
    [[nodiscard]] static bool isOpen(UpstreamConnection &connection);
    /// Returns a connection to the pool for reuse.
    void keep(const UpstreamId &id, ConnectionPtr connection, Instant now);
    /// Closes a connection that must not be reused.
    void drop(const UpstreamId &id, const ConnectionPtr &connection);
    void forget(const UpstreamId &id); // closes the idle connections to this upstream
    void expire(Instant now);          // closes connections that have been idle too long

    [[nodiscard]] int openTo(const UpstreamId &id) const;               // including idle ones
    [[nodiscard]] std::uint64_t opened() const { return totalOpened_; } // since the start, including failed attempts
    [[nodiscard]] std::size_t idle() const;
    [[nodiscard]] std::size_t busy() const; // open or being opened, and not idle

private:
    struct Group {
        std::vector<ConnectionPtr> idle;
        int openCount = 0; // including idle ones
    };

    boost::asio::io_context &io_;
    PoolOptions options_;
    std::map<UpstreamId, Group> groups_;
    std::uint64_t totalOpened_ = 0;
};

} // namespace baobabstall::serving
