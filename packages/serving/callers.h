// serving/callers.h: callers' connections: reads requests, writes answers. I/O; one thread.
//
// Index
//   CallerRequest      one request as it was sent, with its body whole
//   CallerConnection   what a handler answers on
//   CallerServer       listens; hands each request to one handler
//
// The handler is a coroutine; the next request of a connection is read when it has returned.
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
#include <serving/protocol.h>
#include <serving/watchdog.h>

namespace baobabstall::serving {

struct CallerRequest {
    std::string method;
    std::string target;
    std::vector<HeaderView> headers; // views, valid while the handler runs
    std::string host;
    std::string body;
    Instant arrivedAt; // when its first bytes could be read

    /// Whether a field concerns this connection only and is never passed on.
    [[nodiscard]] static bool isHopByHopHeader(std::string_view field);
};

class CallerConnection
{
public:
    virtual ~CallerConnection() = default;
    /// False: the caller is gone.
    virtual net::Task<bool> write(std::string bytes) = 0;
    /// Calls back once when the caller closes its side, until the handler returns.
    virtual void onDisconnect(std::function<void()> callback) = 0;
    [[nodiscard]] virtual bool isDisconnected() const = 0;
    /// Ends the connection without a proper end of the answer.
    virtual void abort() = 0;
    /// Whether an answer must say that the connection closes after it.
    [[nodiscard]] virtual bool closesAfterResponse() const = 0;
};

struct CallerServerOptions {
    std::function<CallerLimits()> limits; // in force now
    std::function<void(int status, std::string_view reason)> onInvalidRequest;
    Milliseconds bodyTimeout{10'000};   // for a whole body; the header has a limit of its own
    std::size_t maxConnections = 3'000; // descriptors are needed for upstreams, too
};

class CallerServer
{
public:
    using Handler = std::function<net::Task<void>(CallerConnection &, CallerRequest &)>;

    CallerServer(boost::asio::io_context &io, CallerServerOptions options, Handler handler);
    ~CallerServer();

    [[nodiscard]] std::optional<net::Address> listen(const net::Address &address, core::Error &why);
    /// Answers from now on tell callers to close; new connections are still taken.
    void beginStop();
    /// Takes no new connections and closes those on which no request has arrived. Repeat until connections() is 0.
    void closeIdle();
    [[nodiscard]] std::size_t connections() const;
    [[nodiscard]] std::size_t busyConnections() const; // with a request under way

    struct State; // in callers.cpp

private:
    std::shared_ptr<State> state_;
};

} // namespace baobabstall::serving
