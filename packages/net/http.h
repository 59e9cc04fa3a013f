// net/http.h: HTTP/1.1 messages, server and client on one io_context. Beast stays inside the .cpp files.
//
// Index
//   Address          ip:port; openListener(), statusOfReadError() for servers of any kind
//   HttpRequest, HttpResponse
//   HttpServer       takes requests, bounded in every way; hands each to one handler coroutine
//   Exchange         one request and its answer, whole or streamed
//   HttpClient       calls, whole or streamed, each with a deadline
//
// Single-threaded: every object belongs to the thread that runs its io_context.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <core/error.h>
#include <core/types.h>
#include <net/callerbudget.h>

namespace baobabstall::net {

template<typename T>
using Task = boost::asio::awaitable<T>;

/// Where a process listens: a numeric IP and a port.
struct Address {
    std::string ip;
    std::uint16_t port = 0;

    [[nodiscard]] std::string text() const;
    /// Reads "127.0.0.1:8080" or "[::1]:8080". Names are refused: processes find each other by number.
    [[nodiscard]] static std::optional<Address> parse(std::string_view text);
    friend auto operator<=>(const Address &, const Address &) = default;
};

/// Opens, binds and listens. Returns the address with the port that was taken; error: step Connect.
[[nodiscard]] std::optional<Address> openListener(boost::asio::ip::tcp::acceptor &acceptor, const Address &address, int backlog, core::Error &why);

/// The status that answers a request which could not be read: 400, 408, 413, 431 or 503. Nothing: the connection just ended.
[[nodiscard]] std::optional<int> statusOfReadError(boost::system::error_code failed);

/// Header fields in order; names compare without case.
class Headers
{
public:
    void set(std::string name, std::string value);
    [[nodiscard]] std::optional<std::string> find(std::string_view name) const;
    [[nodiscard]] const std::vector<std::pair<std::string, std::string>> &all() const { return fields_; }

private:
    std::vector<std::pair<std::string, std::string>> fields_;
};

struct HttpRequest {
    std::string method = "GET";
    std::string target = "/"; // path and query, as sent
    Headers headers;
    std::string body;

    /// The target without its query.
    [[nodiscard]] std::string_view path() const;
    /// A field of the query, percent-decoded.
    [[nodiscard]] std::optional<std::string> query(std::string_view name) const;
};

struct HttpResponse {
    int status = 200;
    Headers headers;
    std::string body;

    /// An answer with a JSON body.
    [[nodiscard]] static HttpResponse json(int status, std::string body);
};

/// What a caller may use up. Whoever goes over is answered (408, 413, 431) or cut off; others do not notice.
struct ServerLimits {
    std::size_t maxHeaderBytes = 16 * 1024;    // over it: 431
    std::size_t maxBodyBytes = 1024 * 1024;    // over it: 413
    std::size_t maxConnections = 1024;         // over it: closed at accept
    std::size_t memoryBytes = 0;               // of the host, for CallerBudget; 0: not told
    core::Milliseconds idleTimeout{60'000};    // between requests of one connection
    core::Milliseconds receiveTimeout{10'000}; // for one whole request; over it: 408
    core::Milliseconds sendTimeout{10'000};    // for one write that the caller does not read; over it: cut off
};

/// One request and its answer. Lives as long as the handler that was given it.
class Exchange
{
public:
    virtual ~Exchange() = default;
    [[nodiscard]] virtual const HttpRequest &request() const = 0;
    [[nodiscard]] virtual std::string peer() const = 0; // ip:port of the caller

    /// Sends a whole answer. False: the caller is gone.
    virtual Task<bool> respond(HttpResponse response) = 0;
    /// Begins a chunked answer; write() and finish() follow. False: the caller is gone.
    virtual Task<bool> begin(int status, Headers headers) = 0;
    virtual Task<bool> write(std::string data) = 0;
    /// Ends a chunked answer properly. An answer begun and never finished is cut off, which the caller's client notices.
    virtual Task<bool> finish() = 0;
    /// Whether an answer has been begun or sent.
    [[nodiscard]] virtual bool answered() const = 0;
    /// Called once when the caller closes its side before the answer has ended.
    virtual void onPeerGone(std::function<void()> callback) = 0;
};

using Handler = std::function<Task<void>(Exchange &)>;

/// Listens on one address.
class HttpServer
{
public:
    HttpServer(boost::asio::io_context &io, ServerLimits limits, Handler handler);
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    /// Called for each request that can't be read and is refused without the handler; gives its id for X-Request-Id.
    void onUnreadable(std::function<std::string()> newRequestId);
    /// Called for each caller that ran into a limit of CallerBudget or RequestReader; status 0: its connection was closed without an answer.
    void onLimit(std::function<void(CallerPart part, int status)> callback);
    /// Opens the port and begins to accept; port 0 lets the kernel choose. Gives the address in use.
    [[nodiscard]] std::optional<Address> listen(const Address &address, core::Error &why);
    /// Accepts nothing more; open exchanges go on, and their connections close when they end.
    void stopAccepting();
    /// Exchanges whose handler has not returned.
    [[nodiscard]] std::size_t openExchanges() const;
    /// Connections on which bytes are still on their way to the caller, whose end with the process would lose them. One whose caller has taken
    /// nothing for finishTimeout (net/orderlyclose.h) doesn't count.
    [[nodiscard]] std::size_t unreceivedAnswers() const;

    struct State; // in httpserver.cpp

private:
    std::shared_ptr<State> state_;
};

/// Takes each piece of a streamed body as it comes. False stops the call and closes the connection.
using ChunkHandler = std::function<Task<bool>(std::string_view chunk)>;

struct CallOptions {
    core::Milliseconds connectTimeout{1'000};    // to open a connection
    core::Milliseconds timeout{30'000};          // whole call; for a stream: longest silence
    std::size_t maxBodyBytes = 64 * 1024 * 1024; // over it the call fails; for a stream: of any other answer than 200
    bool freshConnection = false;                // for what may not run twice: a reused connection may close under the call, outcome unknown
    bool closesAfterRefusal = false;             // after a status of 400 or more: for servers that may write a refusal once more
};

/// Calls servers by address; keeps idle connections for reuse. Errors: step Connect (nothing was sent, outcome NotRun),
/// Send or Receive (outcome Unknown). A call on a reused connection that had closed meanwhile is sent again on a new one
/// only when not one byte of the request could be written. Answers are bounded in each part (head, chunk framing, trailer, body) and by the
/// time-out, also when the server sends without end; so is the failure that answers a stream. Interim answers (1xx) fail.
class HttpClient
{
public:
    explicit HttpClient(boost::asio::io_context &io);
    ~HttpClient();
    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    /// One call with a whole answer, whatever its status.
    Task<std::optional<HttpResponse>> call(Address address, HttpRequest request, CallOptions options, core::Error &why);
    /// One call whose body goes to `onChunk` piece by piece when the status is 200; any other answer comes back whole with its body.
    /// Nothing and an error when the stream was cut before its proper end.
    Task<std::optional<HttpResponse>> stream(Address address, HttpRequest request, CallOptions options, ChunkHandler onChunk, core::Error &why);

private:
    struct State;
    std::shared_ptr<State> state_;
};

} // namespace baobabstall::net
