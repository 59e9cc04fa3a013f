// serving/callers.h: HTTP/1.1 server for callers' connections. I/O; one thread.
//
// Index
//   CallerRequest      a request with its complete body
//   CallerConnection   the handler's interface for writing the response
//   ConnectionEnd      how a connection ended, for the log
//   CallerServer       listens; passes each request to the handler
//
// The handler is a coroutine. The next request of a connection is read after the handler has returned.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_set>
#include <vector>

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>

#include <net/asio.h>
#include <net/callerbudget.h>
#include <serving/protocol.h>
#include <serving/relay.h>
#include <serving/watchdog.h>
#include <settings/settings.h>

namespace baobabstall::serving {

struct CallerRequest {
    std::string method;
    std::string target;
    std::vector<HeaderView> headers; // valid while the handler runs
    std::string host;
    std::string body;
    Instant arrivedAt;                  // when the first bytes became readable
    RelayedFrom *relayedFrom = nullptr; // set when another host relays the request through this one

    /// Whether a header field is hop-by-hop and must not be forwarded.
    [[nodiscard]] static bool isHopByHopHeader(std::string_view field);
};

class CallerConnection
{
public:
    virtual ~CallerConnection() = default;
    /// The id of the request in progress, for ConnectionEnd.
    virtual void nameRequest(const RequestId & /*id*/) { }
    /// Returns false when the caller has disconnected.
    virtual net::Task<bool> write(std::string bytes) = 0;
    /// Calls `callback` once if the caller closes its side before the handler returns.
    virtual void onDisconnect(std::function<void()> callback) = 0;
    [[nodiscard]] virtual bool isDisconnected() const = 0;
    /// The same, looked up at the connection itself: a busy host may not have handled its events yet.
    [[nodiscard]] virtual bool isGone() { return isDisconnected(); }
    /// Ends the response where it is: the connection closes after what was written, which by its framing is not complete.
    virtual void breakOff() = 0;
    /// Writes a short, whole response that closes the connection, without waiting. The handler may still run for a while, but writes nothing more.
    virtual void endWith(std::string_view response) = 0;
    /// Whether the response must carry `Connection: close`. A connection whose response was not told so is not closed after it.
    [[nodiscard]] virtual bool closesAfterResponse() = 0;
};

/// Why this host closed a connection.
enum class ConnectionCause : std::uint8_t {
    ResponseEnded, // the last response said so
    Idle,          // for longer than CallerLimits::idleTimeout
    Stopping,      // idle at a host that stops
    CallerClosed,
    BrokenOff,   // by the handler, in the middle of a response
    EndedEarly,  // the handler's short response, see CallerConnection::endWith()
    WriteFailed, // reset by the caller, mostly
    WriteTimeout,
    HeaderTimeout,
    BodyTimeout,
    Unreadable, // not a valid request
    Exception,  // of the handler
    GaveWay,    // for want of memory or connections, see net::CallerBudget
    ProcessEnd, // still open when the host ends
};
[[nodiscard]] std::string_view connectionCauseText(ConnectionCause cause);

struct ConnectionEnd {
    ConnectionCause cause = ConnectionCause::ResponseEnded;
    bool isInRequest = false;       // from its first byte until the handler returned
    RequestId request;              // the one in progress or the last one, once the handler knew it
    std::size_t requests = 0;       // read whole
    std::uint64_t bytesRead = 0;    // including those of a request that is not whole
    std::uint64_t bytesWritten = 0; // that the kernel took
    std::size_t bytesUnread = 0;    // that no request was read from
    bool isStopping = false;        // the host
    std::string detail;             // of an exception

    /// Whether a request or a response may have suffered.
    [[nodiscard]] bool isNotable() const { return isInRequest || bytesUnread > 0 || cause > ConnectionCause::CallerClosed; }
};

struct CallerServerOptions {
    std::function<CallerLimits()> limits; // current limits
    std::function<void(int status, std::string_view reason)> onInvalidRequest;
    std::function<void(const ConnectionEnd &)> onClosed = [](const ConnectionEnd &) {};
    std::function<void(net::CallerPart, int status)> onCallerLimit = [](net::CallerPart, int) {}; // of net::CallerBudget; status 0: closed without an answer
    Milliseconds bodyTimeout{10'000};   // for a complete body; headers have CallerLimits::headerTimeout
    std::size_t maxConnections = 3'000; // leaves file descriptors for upstream connections
    net::CallerBudgetLimits budget = net::CallerBudget::limitsFor(0, 0);
};

/// What callers may make a host hold, by its own limits: a fourth of its memory, and three of four sockets.
[[nodiscard]] net::CallerBudgetLimits callerBudgetOf(const settings::Hosting &hosting);

class CallerServer
{
public:
    using Handler = std::function<net::Task<void>(CallerConnection &, CallerRequest &)>;

    CallerServer(boost::asio::io_context &io, CallerServerOptions options, Handler handler);
    ~CallerServer();

    [[nodiscard]] std::optional<net::Address> listen(const net::Address &address, core::Error &why);
    /// Makes the last response of each connection carry `Connection: close`; new connections are still accepted.
    void beginStop();
    /// Stops accepting and closes connections on which no request has arrived. Call again until connections() is 0.
    void closeIdle();
    /// Passes the connections that are still open to CallerServerOptions::onClosed: the process is about to end.
    void reportOpen() const;
    [[nodiscard]] std::size_t connections() const;
    [[nodiscard]] std::size_t busyConnections() const;           // with a request in progress
    [[nodiscard]] std::optional<Instant> lastAcceptedAt() const; // the newest connection

    struct State; // in callers.cpp

private:
    std::shared_ptr<State> state_;
};

} // namespace baobabstall::serving
