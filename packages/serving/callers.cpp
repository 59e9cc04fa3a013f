#include <serving/callers.h>

#include <algorithm>
#include <array>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <net/orderlyclose.h>
#include <net/requestreader.h>

namespace baobabstall::serving {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::system::error_code;
using tcp = asio::ip::tcp;

namespace {

constexpr Milliseconds acceptPause{50};     // after a failed accept, for example without a free file descriptor
constexpr Milliseconds writeTimeout{5'000}; // for a caller that does not read; twice the pause after which callers give up
constexpr Milliseconds readerInterval{500};
constexpr Milliseconds endInterval{50}; // while a caller's end can't be waited for, as it lies behind unread bytes
constexpr int backlog = 1'024;
constexpr int unavailable = 503;
constexpr int requestTimeout = 408;
constexpr std::size_t keptInput = 8 * 1024; // of a connection between its requests

std::string refusalOf(int status)
{
    return "HTTP/1.1 " + std::to_string(status) + " Refused\r\n" + (status == unavailable ? "Retry-After: 1\r\n" : "")
        + "Content-Length: 0\r\nConnection: close\r\n\r\n";
}

std::string_view reasonOf(int status)
{
    constexpr int bodyLimit = 413;
    constexpr int headerLimit = 431;
    switch (status) {
    case unavailable:
        return "callers make this host hold too much";
    case bodyLimit:
        return "the body exceeds the size limit";
    case headerLimit:
        return "the headers, the trailer or the framing of chunks exceed the size limit";
    default:
        return "not a valid HTTP/1.1 request";
    }
}

} // namespace

std::string_view connectionCauseText(ConnectionCause cause)
{
    constexpr std::array<std::string_view, 14> texts = {"response_ended",
                                                        "idle",
                                                        "stopping",
                                                        "caller_closed",
                                                        "broken_off",
                                                        "ended_early",
                                                        "write_failed",
                                                        "write_timeout",
                                                        "header_timeout",
                                                        "body_timeout",
                                                        "unreadable",
                                                        "exception",
                                                        "gave_way",
                                                        "process_end"};
    return texts.at(static_cast<std::size_t>(cause));
}

bool CallerRequest::isHopByHopHeader(std::string_view field)
{
    constexpr std::array<std::string_view, 9> fields
        = {"Connection", "Keep-Alive", "Proxy-Connection", "Transfer-Encoding", "TE", "Trailer", "Upgrade", "Content-Length", "Expect"};
    return std::any_of(fields.begin(), fields.end(), [&](std::string_view each) { return beast::iequals(each, field); });
}

class Connection;

struct CallerServer::State {
    State(asio::io_context &context, CallerServerOptions serverOptions, Handler requestHandler)
        : io(context)
        , options(std::move(serverOptions))
        , handler(std::move(requestHandler))
        , acceptor(context)
        , budget(options.budget)
    { }

    asio::io_context &io;
    CallerServerOptions options;
    Handler handler;
    tcp::acceptor acceptor;
    net::CallerBudget budget;
    std::unordered_set<Connection *> open;
    std::size_t busyConnections = 0;
    std::optional<Instant> lastAcceptedAt;
    bool isStopping = false;
};

class Connection final : public CallerConnection, public std::enable_shared_from_this<Connection>
{
public:
    Connection(std::shared_ptr<CallerServer::State> server, tcp::socket socket)
        : server_(std::move(server))
        , socket_(std::move(socket))
        , watchdog_(server_->io)
        , holder_(
              server_->budget,
              [this](net::CallerPart part) { giveWay(part); },
              core::SteadyClock().now())
        , endWatch_(server_->io)
    {
        server_->open.insert(this);
    }
    ~Connection() override
    {
        setIdle();
        server_->open.erase(this);
    }
    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;

    net::Task<void> run()
    {
        const auto self = shared_from_this();
        error_code failed;
        socket_.set_option(tcp::no_delay(true), failed);
        while (socket_.is_open() && co_await serveOne()) { }
        co_await finish();
    }

    /// The handler threw.
    void onException(std::string why)
    {
        detail_ = std::move(why);
        onDisconnect_ = nullptr; // of a handler that is gone
        cause_ = ConnectionCause::Exception;
        endSoon();
    }

    [[nodiscard]] ConnectionEnd end(ConnectionCause cause)
    {
        error_code ignored; // closed already
        return {.cause = cause,
                .isInRequest = isBusy_,
                .request = request_,
                .requests = requests_,
                .bytesRead = bytesRead_,
                .bytesWritten = bytesWritten_,
                .bytesUnread = buffer_.size() + socket_.available(ignored),
                .isStopping = server_->isStopping,
                .detail = detail_};
    }

    void nameRequest(const RequestId &id) override { request_ = id; }

    net::Task<bool> write(std::string bytes) override
    {
        if (isDisconnected_ || !mayContinue_ || !socket_.is_open()) {
            co_return false;
        }
        const core::SteadyClock clock;
        const auto begin = clock.now();
        waitForReader(net::bytesOnTheWay(socket_), clock.now() + writeTimeout);
        holder_.awaitCaller(begin);
        error_code failed;
        failed = holder_.resize(net::CallerPart::Answer, bytes.size(), begin) ? failed : asio::error::no_memory;
        for (std::size_t written = 0; written < bytes.size() && !failed;) {
            std::size_t count = 0;
            std::tie(failed, count) = co_await socket_.async_write_some(asio::buffer(bytes) + written, net::tuple);
            written += count;
            bytesWritten_ += count;
            if (written < bytes.size() && !failed) {
                holder_.onProgress(count, clock.now());
                waitForReader(net::bytesOnTheWay(socket_), clock.now() + writeTimeout);
            }
        }
        std::ignore = holder_.resize(net::CallerPart::Answer, 0, begin); // false: it has given way, and failed
        holder_.rest();
        watchdog_.disarm();
        if (failed) {
            close(ConnectionCause::WriteFailed);
        }
        co_return !failed;
    }

    void onDisconnect(std::function<void()> callback) override
    {
        onDisconnect_ = std::move(callback);
        if (!isWatching_) {
            watchForDisconnect();
        }
    }

    [[nodiscard]] bool isDisconnected() const override { return isDisconnected_; }
    [[nodiscard]] bool isGone() override { return isDisconnected_ || hasCallerEnded(); }

    void breakOff() override
    {
        mayContinue_ = false;
        cause_ = ConnectionCause::BrokenOff;
    }

    void endWith(std::string_view response) override
    {
        mayContinue_ = false;
        error_code failed; // of a caller that is gone, or that doesn't read
        socket_.non_blocking(true, failed);
        bytesWritten_ += socket_.write_some(asio::buffer(response), failed);
        cause_ = ConnectionCause::EndedEarly;
        endSoon();
    }

    /// Requests that have arrived are served before a stopping host closes the connection.
    bool closesAfterResponse() override
    {
        isCloseAnnounced_ = !isKeepAlive_ || (server_->isStopping && buffer_.size() == 0 && peek());
        return isCloseAnnounced_;
    }

    /// A request whose first bytes have arrived is still served, as its caller can't know that the connection is about to close.
    void closeIfIdle(ConnectionCause cause)
    {
        if (isBusy_ || isFinishing_ || buffer_.size() > 0 || !socket_.is_open() || !peek()) {
            return;
        }
        cause_ = cause;
        mayContinue_ = false;
        error_code ignored; // serveOne() may not wait yet
        socket_.cancel(ignored);
    }

private:
    using Reader = net::RequestReader<tcp::socket>;

    net::Task<bool> serveOne()
    {
        if (!mayContinue_) {
            co_return false;
        }
        const auto limits = server_->options.limits();
        if (buffer_.size() == 0) {
            watchdog_.arm(core::SteadyClock().now() + limits.idleTimeout, [this] { closeIfIdle(ConnectionCause::Idle); });
            const auto [failed] = co_await socket_.async_wait(tcp::socket::wait_read, net::tuple);
            if (failed || !mayContinue_) {
                co_return false;
            }
        }
        isBusy_ = true;
        request_ = RequestId();
        CallerRequest request;
        request.arrivedAt = core::SteadyClock().now();
        holder_.awaitCaller(request.arrivedAt);
        Reader reader(socket_, buffer_, holder_, {.maxHeaderBytes = limits.maxHeaderBytes, .maxBodyBytes = limits.maxBodyBytes});
        watchdog_.arm(request.arrivedAt + limits.headerTimeout, [this] { endUnread(ConnectionCause::HeaderTimeout); });
        isReading_ = true;
        auto failed = co_await reader.readHeader();
        if (!failed && !reader.parser().is_done()) {
            watchdog_.arm(core::SteadyClock().now() + server_->options.bodyTimeout, [this] { endUnread(ConnectionCause::BodyTimeout); });
            failed = co_await reader.readBody();
        }
        isReading_ = false;
        bytesRead_ += reader.bytesRead();
        watchdog_.disarm();
        if (isFinishing_ || cause_ == ConnectionCause::GaveWay) {
            co_return false;
        }
        if (failed) {
            cause_ = failed == http::error::end_of_stream ? ConnectionCause::CallerClosed : ConnectionCause::Unreadable;
            isBusy_ = cause_ != ConnectionCause::CallerClosed;
            noteLimit(reader.limit(), net::statusOfReadError(failed).value_or(0));
            co_await refuseInvalid(failed);
            co_return false;
        }
        ++requests_;
        holder_.rest();
        co_return co_await handle(request, reader.parser().get());
    }

    net::Task<bool> handle(CallerRequest &request, http::request<http::string_body> &message)
    {
        request.method = std::string(message.method_string());
        request.target = std::string(message.target());
        for (const auto &field : message) {
            request.headers.push_back({{field.name_string().data(), field.name_string().size()}, {field.value().data(), field.value().size()}});
        }
        request.host = std::string(message[http::field::host]);
        request.body = std::move(message.body());
        isKeepAlive_ = message.keep_alive();
        isCloseAnnounced_ = !isKeepAlive_;
        mayContinue_ = true;
        isHandling_ = true;
        ++server_->busyConnections;
        co_await server_->handler(*this, request);
        setIdle();
        isBusy_ = false;
        onDisconnect_ = nullptr;
        beIdle();
        co_return mayContinue_ && !isDisconnected_ && socket_.is_open() && !isCloseAnnounced_;
    }

    /// The kernel takes more bytes only once much of what it has is gone; a caller that reads slowly shows in what is on its way.
    void waitForReader(int onTheWay, Instant until)
    {
        watchdog_.arm(std::min(until, core::SteadyClock().now() + readerInterval), [this, onTheWay, until] {
            const auto now = core::SteadyClock().now();
            if (const int left = net::bytesOnTheWay(socket_); left < onTheWay) {
                waitForReader(left, now + writeTimeout);
            } else if (now < until) {
                waitForReader(onTheWay, until);
            } else {
                close(ConnectionCause::WriteTimeout);
            }
        });
    }

    void beIdle()
    {
        const auto now = core::SteadyClock().now();
        if (buffer_.size() == 0 && buffer_.capacity() > keptInput) {
            buffer_.shrink_to_fit();
        }
        const bool isHeld = holder_.resize(net::CallerPart::Body, 0, now) && holder_.resize(net::CallerPart::Input, buffer_.capacity(), now);
        holder_.idle(now);
        mayContinue_ = mayContinue_ && isHeld;
    }

    void noteLimit(std::optional<net::CallerPart> part, int status)
    {
        if (part) {
            server_->options.onCallerLimit(*part, status);
        }
    }

    /// For want of memory, or of connections. A request that is still arriving is refused as one that takes too long; an answer that its caller doesn't
    /// read is cut off.
    void giveWay(net::CallerPart part)
    {
        if (!socket_.is_open()) {
            return;
        }
        noteLimit(part, isReading_ ? requestTimeout : 0);
        cause_ = ConnectionCause::GaveWay;
        mayContinue_ = false;
        if (isReading_ && !isFinishing_) {
            error_code failed; // of a caller that is gone, or that doesn't read
            socket_.non_blocking(true, failed);
            bytesWritten_ += socket_.write_some(asio::buffer(refusalOf(requestTimeout)), failed);
        }
        if (part == net::CallerPart::Connections || !isReading_) {
            close(cause_);
        } else {
            endUnread(cause_);
        }
    }

    void setIdle()
    {
        if (std::exchange(isHandling_, false)) {
            --server_->busyConnections;
        }
    }

    /// The end of a caller that has sent its next request lies behind it, where no read finds it before this request has ended.
    void watchForDisconnect()
    {
        isWatching_ = true;
        if (!peek()) {
            endWatch_.expires_after(net::chronoOf(endInterval));
            endWatch_.async_wait([self = shared_from_this()](error_code failed) { self->onWatched(failed); });
            return;
        }
        socket_.async_wait(tcp::socket::wait_read, [self = shared_from_this()](error_code failed) { self->onWatched(failed); });
    }

    void onWatched(error_code failed)
    {
        isWatching_ = false;
        if (failed || !onDisconnect_ || !socket_.is_open()) {
            return;
        }
        if (!hasCallerEnded()) {
            watchForDisconnect();
            return;
        }
        isDisconnected_ = true;
        cause_ = isFinishing_ ? cause_ : ConnectionCause::CallerClosed;
        const auto callback = std::exchange(onDisconnect_, nullptr);
        callback();
    }

    [[nodiscard]] bool hasCallerEnded()
    {
        const auto failed = peek();
        return failed ? failed != asio::error::would_block : net::hasPeerClosed(socket_);
    }

    /// would_block: the caller is connected and has sent nothing more.
    error_code peek()
    {
        char next = 0;
        error_code failed;
        socket_.non_blocking(true, failed);
        socket_.receive(asio::buffer(&next, 1), tcp::socket::message_peek, failed);
        return failed;
    }

    net::Task<void> refuseInvalid(error_code failed)
    {
        const auto status = net::statusOfReadError(failed);
        if (!status || !socket_.is_open()) {
            co_return;
        }
        server_->options.onInvalidRequest(*status, reasonOf(*status));
        co_await write(refusalOf(*status));
    }

    /// The connection ends whatever its handler still does.
    void endSoon()
    {
        setIdle();
        asio::co_spawn(
            server_->io, [self = shared_from_this()] { return self->finish(); }, asio::detached);
    }

    /// In the middle of a request that takes too long to arrive.
    void endUnread(ConnectionCause cause)
    {
        cause_ = cause;
        endSoon();
        error_code ignored; // what has arrived may be handled already
        socket_.cancel(ignored);
    }

    net::Task<void> finish()
    {
        if (std::exchange(isFinishing_, true)) {
            co_return;
        }
        if (socket_.is_open() && cause_ != ConnectionCause::CallerClosed) {
            watchdog_.disarm();
            holder_.awaitCaller(core::SteadyClock().now());
            co_await net::finishSending(socket_);
        }
        close(cause_);
    }

    void close(ConnectionCause cause)
    {
        if (!socket_.is_open()) {
            return;
        }
        server_->options.onClosed(end(cause));
        server_->open.erase(this);
        error_code ignored; // the descriptor is gone all the same
        socket_.close(ignored);
    }

    std::shared_ptr<CallerServer::State> server_;
    tcp::socket socket_;
    beast::flat_buffer buffer_;
    Watchdog watchdog_;
    net::CallerBudget::Holder holder_;
    std::function<void()> onDisconnect_;
    asio::steady_timer endWatch_;
    bool isWatching_ = false;
    bool isDisconnected_ = false;
    bool isBusy_ = false;
    bool isReading_ = false;
    bool isHandling_ = false;
    bool isKeepAlive_ = true;
    bool mayContinue_ = true;
    bool isCloseAnnounced_ = false;
    bool isFinishing_ = false;

    // Of ConnectionEnd.
    ConnectionCause cause_ = ConnectionCause::ResponseEnded;
    RequestId request_;
    std::size_t requests_ = 0;
    std::uint64_t bytesRead_ = 0;
    std::uint64_t bytesWritten_ = 0;
    std::string detail_;
};

namespace {

net::Task<void> acceptLoop(std::shared_ptr<CallerServer::State> state)
{
    while (state->acceptor.is_open()) {
        auto [failed, socket] = co_await state->acceptor.async_accept(net::tuple);
        if (failed == asio::error::operation_aborted) {
            co_return;
        }
        if (failed) {
            co_await net::sleep(state->io, acceptPause);
            continue;
        }
        if (state->open.size() >= state->options.maxConnections || !state->budget.makeRoomForConnection(core::SteadyClock().now())) {
            state->options.onCallerLimit(net::CallerPart::Connections, 0);
            continue;
        }
        state->lastAcceptedAt = core::SteadyClock().now();
        const auto connection = std::make_shared<Connection>(state, std::move(socket));
        asio::co_spawn(
            state->io,
            [connection] { return connection->run(); },
            [connection](const std::exception_ptr &exception) {
                try {
                    if (exception) {
                        std::rethrow_exception(exception);
                    }
                } catch (const std::exception &thrown) {
                    connection->onException(thrown.what());
                }
            });
    }
}

} // namespace

net::CallerBudgetLimits callerBudgetOf(const settings::Hosting &hosting)
{
    constexpr std::size_t bytesPerMegabyte = 1024 * 1024;
    constexpr int otherDescriptors = 200; // files, listeners, connections to peers and to the store
    constexpr int callersPart = 3;
    constexpr int allParts = 4;
    const int sockets = std::max(allParts, hosting.maxDescriptors - otherDescriptors);
    const auto connections = hosting.maxDescriptors > 0 ? static_cast<std::size_t>(sockets) * callersPart / allParts : 0;
    return net::CallerBudget::limitsFor(static_cast<std::size_t>(hosting.memoryMb * static_cast<double>(bytesPerMegabyte)), connections);
}

CallerServer::CallerServer(asio::io_context &io, CallerServerOptions options, Handler handler)
    : state_(std::make_shared<State>(io, std::move(options), std::move(handler)))
{ }

CallerServer::~CallerServer() = default;

std::optional<net::Address> CallerServer::listen(const net::Address &address, core::Error &why)
{
    auto bound = net::openListener(state_->acceptor, address, backlog, why);
    if (bound) {
        asio::co_spawn(
            state_->io, [state = state_] { return acceptLoop(state); }, asio::detached);
    }
    return bound;
}

void CallerServer::beginStop()
{
    state_->isStopping = true;
}

void CallerServer::closeIdle()
{
    error_code ignored; // closed already
    state_->acceptor.close(ignored);
    const std::vector<Connection *> open(state_->open.begin(), state_->open.end());
    for (auto *connection : open) {
        connection->closeIfIdle(ConnectionCause::Stopping);
    }
}

void CallerServer::reportOpen() const
{
    for (auto *connection : state_->open) {
        state_->options.onClosed(connection->end(ConnectionCause::ProcessEnd));
    }
}

std::optional<Instant> CallerServer::lastAcceptedAt() const
{
    return state_->lastAcceptedAt;
}

std::size_t CallerServer::connections() const
{
    return state_->open.size();
}

std::size_t CallerServer::busyConnections() const
{
    return state_->busyConnections;
}

} // namespace baobabstall::serving
