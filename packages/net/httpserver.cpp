#include <net/asio.h>
#include <net/http.h>
#include <net/orderlyclose.h>
#include <net/requestreader.h>

#include <algorithm>
#include <array>
#include <set>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace baobabstall::net {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::system::error_code;
using tcp = asio::ip::tcp;

namespace {

constexpr int unavailable = 503;
constexpr core::Milliseconds acceptPause{50}; // after a failed accept, such as no free descriptor

/// The answer to a request that could not be read. Nothing: the connection just ended.
std::optional<HttpResponse> answerToReadError(error_code failed)
{
    const auto error = [](int status, std::string_view type, std::string_view message) {
        return HttpResponse::json(status,
                                  std::string(R"({"error":{"type":")") + std::string(type) + R"(","message":")" + std::string(message)
                                      + R"(","step":"receive","outcome":"not_run"}})");
    };
    const auto status = statusOfReadError(failed);
    if (!status) {
        return std::nullopt;
    }
    switch (*status) {
    case 408:
        return error(*status, "timeout", "the request did not arrive in time; send it faster");
    case 413:
        return error(*status, "too_large", "the body is over the limit; send a shorter one");
    case 431:
        return error(*status, "too_large", "the headers, the trailer or the framing of chunks are over the limit; send fewer or shorter ones");
    case unavailable: {
        auto answer = error(*status, "unavailable", "callers make this daemon hold too much; send the request again later");
        answer.headers.set("Retry-After", "1");
        return answer;
    }
    default:
        return error(*status, "bad_request", "this is not HTTP/1.1");
    }
}

} // namespace

std::optional<int> statusOfReadError(error_code failed)
{
    if (failed == beast::error::timeout) {
        return 408;
    }
    if (failed == http::error::body_limit) {
        return 413;
    }
    if (failed == http::error::header_limit) {
        return 431;
    }
    if (failed == asio::error::no_memory) {
        return unavailable;
    }
    const bool isHttp = failed.category() == http::make_error_code(http::error::bad_value).category();
    const bool isEnd = failed == http::error::end_of_stream || failed == http::error::partial_message;
    return isHttp && !isEnd ? std::optional(400) : std::nullopt;
}

std::optional<Address> openListener(tcp::acceptor &acceptor, const Address &address, int backlog, core::Error &why)
{
    error_code failed;
    const tcp::endpoint endpoint(asio::ip::make_address(address.ip, failed), address.port);
    if (!failed) {
        acceptor.open(endpoint.protocol(), failed);
    }
    if (!failed) {
        acceptor.set_option(asio::socket_base::reuse_address(true), failed);
    }
    if (!failed) {
        acceptor.bind(endpoint, failed);
    }
    if (!failed) {
        acceptor.listen(backlog, failed);
    }
    if (failed) {
        why = core::Error{.step = core::Step::Connect, .peer = address.text(), .reason = "can't listen: " + failed.message()};
        return std::nullopt;
    }
    return Address{address.ip, acceptor.local_endpoint().port()};
}

class Connection;

struct HttpServer::State : std::enable_shared_from_this<HttpServer::State> {
    State(asio::io_context &context, ServerLimits serverLimits, Handler requestHandler)
        : io(context)
        , limits(serverLimits)
        , handler(std::move(requestHandler))
        , acceptor(context)
        , budget(CallerBudget::limitsFor(limits.memoryBytes, limits.maxConnections))
    { }

    Task<void> acceptLoop();
    void closeIdle();

    asio::io_context &io;
    ServerLimits limits;
    Handler handler;
    std::function<std::string()> newRequestId; // may be empty
    tcp::acceptor acceptor;
    CallerBudget budget;
    std::function<void(CallerPart part, int status)> onLimit; // may be empty
    std::set<Connection *> connections;
    std::size_t openExchanges = 0;
    bool isStopping = false;
};

/// One accepted connection; serves its requests one after the other.
class Connection : public std::enable_shared_from_this<Connection>
{
public:
    Connection(std::shared_ptr<HttpServer::State> server, tcp::socket socket)
        : server_(std::move(server))
        , stream_(std::move(socket))
        , readTimer_(server_->io)
        , holder_(
              server_->budget,
              [this](CallerPart part) { giveWay(part); },
              core::SteadyClock().now())
    {
        error_code failed;
        const auto endpoint = stream_.socket().remote_endpoint(failed);
        peer_ = failed ? std::string("unknown") : Address{endpoint.address().to_string(), endpoint.port()}.text();
        stream_.socket().set_option(tcp::no_delay(true), failed);
        server_->connections.insert(this);
    }

    ~Connection() { server_->connections.erase(this); }
    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;

    Task<void> serve()
    {
        while (co_await serveOne()) { }
        co_await finishSending(stream_.socket());
        stream_.close();
    }

    void closeIfIdle()
    {
        if (isIdle_) {
            stream_.cancel();
        }
    }

    [[nodiscard]] bool isDelivering(core::Instant now)
    {
        const int before = std::exchange(onTheWay_, bytesOnTheWay(stream_.socket()));
        progressAt_ = onTheWay_ != before ? now : progressAt_;
        return onTheWay_ > 0 && now - progressAt_ < finishTimeout;
    }

    /// Watches for the caller closing its side while its request is being answered.
    void watchPeer(std::function<void()> callback)
    {
        onGone_ = std::move(callback);
        stream_.socket().async_wait(tcp::socket::wait_read, [self = weak_from_this(), generation = exchangeCount_](error_code failed) {
            if (const auto connection = self.lock(); connection && connection->exchangeCount_ == generation && !failed) {
                connection->checkPeer();
            }
        });
    }

    Task<bool> send(std::string data)
    {
        if (isPeerGone_) {
            co_return false;
        }
        stream_.expires_after(chronoOf(server_->limits.sendTimeout));
        const core::SteadyClock clock;
        holder_.awaitCaller(clock.now());
        isPeerGone_ = !holder_.resize(CallerPart::Answer, data.size(), clock.now());
        for (std::size_t sent = 0; sent < data.size() && !isPeerGone_;) {
            const auto [failed, count] = co_await stream_.async_write_some(asio::buffer(data) + sent, tuple);
            sent += count;
            holder_.onProgress(count, clock.now());
            isPeerGone_ = isPeerGone_ || failed;
        }
        const bool isEmpty = holder_.resize(CallerPart::Answer, 0, clock.now());
        holder_.rest();
        co_return isEmpty && !isPeerGone_;
    }

    [[nodiscard]] const std::string &peer() const { return peer_; }
    /// Whether the connection stays open after the answer whose head is being written. Decided once: what the head says holds.
    [[nodiscard]] bool decideKeepAlive()
    {
        staysOpen_ = keepAlive_ && !server_->isStopping;
        return staysOpen_;
    }

private:
    Task<bool> serveOne();
    using Reader = RequestReader<beast::tcp_stream>;

    Task<error_code> receive(Reader &reader);
    Task<error_code> receiveMessage(Reader &reader);
    void giveWay(CallerPart part);
    void cancelReadsAfter(core::Milliseconds time);
    Task<void> refuse(HttpResponse response);
    void checkPeer();

    std::shared_ptr<HttpServer::State> server_;
    beast::tcp_stream stream_;
    asio::steady_timer readTimer_; // a time-out of tcp_stream would close the socket before the 408 is sent
    beast::flat_buffer buffer_;
    CallerBudget::Holder holder_;
    std::string peer_;
    std::function<void()> onGone_;
    std::uint64_t exchangeCount_ = 0; // tells a late wait of an earlier exchange from the current one
    int onTheWay_ = 0;                // bytes, at the last isDelivering()
    core::Instant progressAt_;
    bool isIdle_ = false;
    bool isLate_ = false;
    bool isReceiving_ = false;
    bool isPeerGone_ = false;
    bool keepAlive_ = true;
    bool staysOpen_ = true;
};

namespace {

std::string headText(int status, const Headers &headers, bool keepAlive, std::optional<std::size_t> length)
{
    http::response<http::empty_body> head{static_cast<http::status>(status), 11};
    for (const auto &[name, value] : headers.all()) {
        head.set(name, value);
    }
    head.keep_alive(keepAlive);
    if (length) {
        head.content_length(*length);
    } else {
        head.chunked(true);
    }
    std::ostringstream text;
    text << head.base();
    return text.str();
}

class ServerExchange final : public Exchange
{
public:
    ServerExchange(Connection &connection, HttpRequest request)
        : connection_(connection)
        , request_(std::move(request))
    { }

    [[nodiscard]] const HttpRequest &request() const override { return request_; }
    [[nodiscard]] std::string peer() const override { return connection_.peer(); }
    [[nodiscard]] bool answered() const override { return answered_; }
    [[nodiscard]] bool isComplete() const { return complete_; }

    Task<bool> respond(HttpResponse response) override
    {
        answered_ = true;
        complete_ = true;
        std::string text = headText(response.status, response.headers, connection_.decideKeepAlive(), response.body.size());
        if (request_.method != "HEAD") {
            text += response.body;
        }
        co_return co_await connection_.send(std::move(text));
    }

    Task<bool> begin(int status, Headers headers) override
    {
        answered_ = true;
        co_return co_await connection_.send(headText(status, headers, connection_.decideKeepAlive(), std::nullopt));
    }

    Task<bool> write(std::string data) override
    {
        if (data.empty()) {
            co_return true;
        }
        std::ostringstream chunk;
        chunk << std::hex << data.size() << "\r\n" << data << "\r\n";
        co_return co_await connection_.send(chunk.str());
    }

    Task<bool> finish() override
    {
        complete_ = true;
        co_return co_await connection_.send("0\r\n\r\n");
    }

    void onPeerGone(std::function<void()> callback) override { connection_.watchPeer(std::move(callback)); }

private:
    Connection &connection_;
    HttpRequest request_;
    bool answered_ = false;
    bool complete_ = false;
};

HttpRequest requestOf(http::request<http::string_body> &&message)
{
    HttpRequest request;
    request.method = std::string(message.method_string());
    request.target = std::string(message.target());
    for (const auto &field : message) {
        request.headers.set(std::string(field.name_string()), std::string(field.value()));
    }
    request.body = std::move(message.body());
    return request;
}

} // namespace

Task<error_code> Connection::receive(Reader &reader)
{
    if (buffer_.size() == 0) {
        constexpr std::size_t firstRead = 4096; // bytes
        isIdle_ = true;
        cancelReadsAfter(server_->isStopping ? std::min(server_->limits.idleTimeout, finishTimeout) : server_->limits.idleTimeout);
        const auto [failed, count] = co_await stream_.async_read_some(buffer_.prepare(std::min(firstRead, buffer_.max_size())), tuple);
        readTimer_.cancel();
        isIdle_ = false;
        if (failed || isLate_) {
            co_return http::make_error_code(http::error::end_of_stream);
        }
        buffer_.commit(count);
    }
    cancelReadsAfter(server_->limits.receiveTimeout);
    holder_.awaitCaller(core::SteadyClock().now());
    isReceiving_ = true;
    const error_code failed = co_await receiveMessage(reader);
    isReceiving_ = false;
    readTimer_.cancel();
    if (failed && reader.limit() && server_->onLimit) {
        server_->onLimit(*reader.limit(), statusOfReadError(failed).value_or(0));
    }
    co_return isLate_ ? make_error_code(beast::error::timeout) : failed;
}

void Connection::cancelReadsAfter(core::Milliseconds time)
{
    stream_.expires_never();
    readTimer_.expires_after(chronoOf(time));
    readTimer_.async_wait([self = weak_from_this()](error_code cancelled) {
        if (const auto connection = self.lock(); connection && !cancelled) {
            connection->isLate_ = true;
            connection->stream_.cancel();
        }
    });
}

Task<error_code> Connection::receiveMessage(Reader &reader)
{
    if (const auto failed = co_await reader.readHeader()) {
        co_return failed;
    }
    const bool isExpected = beast::iequals(reader.parser().get()[http::field::expect], "100-continue");
    if (isExpected && !co_await send("HTTP/1.1 100 Continue\r\n\r\n")) {
        co_return http::make_error_code(http::error::end_of_stream);
    }
    stream_.expires_never();
    holder_.awaitCaller(core::SteadyClock().now());
    co_return co_await reader.readBody();
}

/// While a request arrives it is refused with 408, as when it takes too long; an answer that its caller doesn't read is cut off.
void Connection::giveWay(CallerPart part)
{
    constexpr int timeout = 408;
    if (server_->onLimit) {
        server_->onLimit(part, isReceiving_ ? timeout : 0);
    }
    isLate_ = true;
    if (isReceiving_ && part != CallerPart::Connections) {
        stream_.cancel();
        return;
    }
    isPeerGone_ = true;
    error_code ignored; // the descriptor is free all the same
    stream_.socket().close(ignored);
}

Task<void> Connection::refuse(HttpResponse response)
{
    keepAlive_ = false;
    if (!stream_.socket().is_open()) {
        co_return;
    }
    stream_.expires_after(chronoOf(server_->limits.sendTimeout)); // not by send(), as what is refused for its memory holds nothing any more
    const std::string text = headText(response.status, response.headers, false, response.body.size()) + response.body;
    co_await asio::async_write(stream_, asio::buffer(text), tuple);
}

Task<bool> Connection::serveOne()
{
    const auto self = shared_from_this();
    Reader reader(stream_, buffer_, holder_, {.maxHeaderBytes = server_->limits.maxHeaderBytes, .maxBodyBytes = server_->limits.maxBodyBytes});
    const error_code failed = co_await receive(reader);
    if (failed) {
        if (auto answer = answerToReadError(failed)) {
            if (server_->newRequestId) {
                answer->headers.set("X-Request-Id", server_->newRequestId());
            }
            co_await refuse(std::move(*answer));
        }
        co_return false;
    }
    auto message = reader.parser().release();
    holder_.rest();
    keepAlive_ = message.keep_alive();
    stream_.expires_never();
    ServerExchange exchange(*this, requestOf(std::move(message)));
    ++server_->openExchanges;
    bool isFault = false;
    try {
        co_await server_->handler(exchange);
    } catch (const std::exception &) {
        isFault = true;
    }
    if (!exchange.answered()) {
        co_await exchange.respond(HttpResponse::json(500, R"({"error":{"type":"internal","message":"the request could not be handled","outcome":"unknown"}})"));
    }
    --server_->openExchanges;
    ++exchangeCount_;
    onGone_ = nullptr;
    stream_.cancel();
    const auto now = core::SteadyClock().now();
    const bool keepsMemory = holder_.resize(CallerPart::Body, 0, now) && holder_.resize(CallerPart::Input, buffer_.capacity(), now);
    holder_.idle(now);
    co_return keepsMemory &&exchange.isComplete() && !isFault && !isPeerGone_ && staysOpen_;
}

void Connection::checkPeer()
{
    char next = 0;
    error_code failed;
    stream_.socket().non_blocking(true, failed);
    const std::size_t count = stream_.socket().receive(asio::buffer(&next, 1), tcp::socket::message_peek, failed);
    if (failed == asio::error::would_block || count > 0) {
        return; // a further request on this connection; it is read after the current one
    }
    isPeerGone_ = true;
    if (const auto callback = std::exchange(onGone_, nullptr)) {
        callback();
    }
}

Task<void> HttpServer::State::acceptLoop()
{
    const auto self = shared_from_this();
    while (acceptor.is_open()) {
        auto [failed, socket] = co_await acceptor.async_accept(tuple);
        if (failed == asio::error::operation_aborted || !acceptor.is_open()) {
            co_return;
        }
        if (failed) {
            co_await sleep(io, acceptPause);
            continue;
        }
        if (!budget.makeRoomForConnection(core::SteadyClock().now())) {
            if (onLimit) {
                onLimit(CallerPart::Connections, 0);
            }
            socket.close(failed);
            continue;
        }
        const auto connection = std::make_shared<Connection>(self, std::move(socket));
        asio::co_spawn(
            io, [connection] { return connection->serve(); }, [connection](std::exception_ptr) {});
    }
}

void HttpServer::State::closeIdle()
{
    for (Connection *connection : connections) {
        connection->closeIfIdle();
    }
}

HttpServer::HttpServer(asio::io_context &io, ServerLimits limits, Handler handler)
    : state_(std::make_shared<State>(io, limits, std::move(handler)))
{ }

HttpServer::~HttpServer()
{
    stopAccepting();
}

void HttpServer::onUnreadable(std::function<std::string()> newRequestId)
{
    state_->newRequestId = std::move(newRequestId);
}

std::optional<Address> HttpServer::listen(const Address &address, core::Error &why)
{
    auto bound = openListener(state_->acceptor, address, asio::socket_base::max_listen_connections, why);
    if (bound) {
        asio::co_spawn(
            state_->io, [state = state_] { return state->acceptLoop(); }, asio::detached);
    }
    return bound;
}

void HttpServer::onLimit(std::function<void(CallerPart part, int status)> callback)
{
    state_->onLimit = std::move(callback);
}

void HttpServer::stopAccepting()
{
    error_code ignored;
    state_->isStopping = true;
    state_->acceptor.close(ignored);
    state_->closeIdle();
}

std::size_t HttpServer::openExchanges() const
{
    return state_->openExchanges;
}

std::size_t HttpServer::unreceivedAnswers() const
{
    const auto now = core::SteadyClock().now();
    const auto &connections = state_->connections;
    return static_cast<std::size_t>(std::count_if(connections.begin(), connections.end(), [now](Connection *each) { return each->isDelivering(now); }));
}

} // namespace baobabstall::net
