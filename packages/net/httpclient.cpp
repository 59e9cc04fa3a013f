#include <net/answerstatus.h>
#include <net/asio.h>
#include <net/http.h>

#include <array>
#include <map>

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace baobabstall::net {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::system::error_code;
using tcp = asio::ip::tcp;

namespace {

constexpr std::size_t maxIdlePerAddress = 32;
constexpr std::size_t chunkBytes = 16 * 1024;
constexpr std::size_t maxHeadBytes = 16 * 1024;
constexpr std::size_t maxUnparsedBytes = 128 * 1024; // of an answer; the framing of one chunk and a trailer have to fit
constexpr int minRefusal = 400;

using Stream = std::unique_ptr<beast::tcp_stream>;
using Deadline = std::chrono::steady_clock::time_point;

Deadline deadlineAfter(core::Milliseconds time)
{
    return std::chrono::steady_clock::now() + chronoOf(time);
}

core::Error errorAt(core::Step step, const Address &address, const std::string &reason)
{
    const auto outcome = step == core::Step::Connect ? core::Outcome::NotRun : core::Outcome::Unknown;
    return core::Error{.step = step, .peer = address.text(), .reason = reason, .refusal = core::Refusal::Unavailable, .outcome = outcome};
}

std::string requestText(const Address &address, const HttpRequest &request)
{
    http::request<http::string_body> message{http::verb::unknown, request.target, 11};
    message.method_string(request.method);
    message.set(http::field::host, address.text());
    for (const auto &[name, value] : request.headers.all()) {
        message.set(name, value);
    }
    message.content_length(request.body.size());
    std::ostringstream text;
    text << message.base();
    return text.str() + request.body;
}

template<typename Message>
HttpResponse headOf(const Message &message)
{
    HttpResponse response;
    response.status = message.result_int();
    for (const auto &field : message) {
        response.headers.set(std::string(field.name_string()), std::string(field.value()));
    }
    return response;
}

/// Says which bound a read failed on.
std::string readFailure(error_code failed, std::size_t maxBodyBytes)
{
    if (failed == http::error::header_limit) {
        return "the head of the answer exceeds " + std::to_string(maxHeadBytes) + " bytes";
    }
    if (failed == http::error::body_limit) {
        return "the body of the answer exceeds " + std::to_string(maxBodyBytes) + " bytes";
    }
    if (failed == http::error::buffer_overflow) {
        return "the framing of the answer's body exceeds " + std::to_string(maxUnparsedBytes) + " bytes";
    }
    return failed.message();
}

/// An idle connection that has something to read was closed by its peer or is out of step.
bool isReusable(beast::tcp_stream &stream)
{
    char next = 0;
    error_code failed;
    stream.socket().non_blocking(true, failed);
    stream.socket().receive(asio::buffer(&next, 1), tcp::socket::message_peek, failed);
    return failed == asio::error::would_block;
}

} // namespace

struct HttpClient::State {
    explicit State(asio::io_context &context)
        : io(context)
    { }

    Stream takeIdle(const Address &address)
    {
        auto &streams = idle[address];
        while (!streams.empty()) {
            Stream stream = std::move(streams.back());
            streams.pop_back();
            if (isReusable(*stream)) {
                return stream;
            }
        }
        return nullptr;
    }

    void putIdle(const Address &address, Stream stream)
    {
        auto &streams = idle[address];
        if (streams.size() < maxIdlePerAddress) {
            stream->expires_never();
            streams.push_back(std::move(stream));
        }
    }

    Task<Stream> connect(Address address, CallOptions options, core::Error &why);
    Task<Stream> sendRequest(Address address, HttpRequest request, CallOptions options, Deadline deadline, core::Error &why);

    asio::io_context &io;
    std::map<Address, std::vector<Stream>> idle;
};

Task<Stream> HttpClient::State::connect(Address address, CallOptions options, core::Error &why)
{
    error_code invalid;
    const auto ip = asio::ip::make_address(address.ip, invalid);
    if (invalid) {
        why = errorAt(core::Step::Connect, address, "not a numeric address");
        co_return nullptr;
    }
    auto stream = std::make_unique<beast::tcp_stream>(io);
    stream->expires_after(chronoOf(options.connectTimeout));
    const auto [failed] = co_await stream->async_connect(tcp::endpoint(ip, address.port), tuple);
    if (failed) {
        why = errorAt(core::Step::Connect, address, failed.message());
        co_return nullptr;
    }
    stream->socket().set_option(tcp::no_delay(true), invalid);
    watchForSilence(stream->socket().native_handle());
    co_return stream;
}

Task<Stream> HttpClient::State::sendRequest(Address address, HttpRequest request, CallOptions options, Deadline deadline, core::Error &why)
{
    const std::string text = requestText(address, request);
    Stream stream = options.freshConnection ? nullptr : takeIdle(address);
    const bool isReused = stream != nullptr;
    if (!stream) {
        stream = co_await connect(address, options, why);
        if (!stream) {
            co_return nullptr;
        }
    }
    stream->expires_at(deadline);
    auto [failed, count] = co_await asio::async_write(*stream, asio::buffer(text), tuple);
    if (failed && isReused && count == 0) {
        stream = co_await connect(address, options, why);
        if (!stream) {
            co_return nullptr;
        }
        stream->expires_at(deadline);
        std::tie(failed, count) = co_await asio::async_write(*stream, asio::buffer(text), tuple);
    }
    if (failed) {
        why = errorAt(core::Step::Send, address, failed.message());
        if (count == 0) {
            why.outcome = core::Outcome::NotRun;
        }
        co_return nullptr;
    }
    co_return stream;
}

HttpClient::HttpClient(asio::io_context &io)
    : state_(std::make_shared<State>(io))
{ }

HttpClient::~HttpClient() = default;

Task<std::optional<HttpResponse>> HttpClient::call(Address address, HttpRequest request, CallOptions options, core::Error &why)
{
    const auto state = state_;
    const Deadline deadline = deadlineAfter(options.timeout);
    Stream stream = co_await state->sendRequest(address, std::move(request), options, deadline, why);
    if (!stream) {
        co_return std::nullopt;
    }
    beast::flat_buffer buffer(maxUnparsedBytes);
    http::response_parser<http::string_body> parser;
    parser.header_limit(maxHeadBytes);
    parser.body_limit(options.maxBodyBytes);
    stream->expires_at(deadline);
    const auto [failed, count] = co_await http::async_read(*stream, buffer, parser, tuple);
    if (failed) {
        why = errorAt(core::Step::Receive, address, readFailure(failed, options.maxBodyBytes));
        co_return std::nullopt;
    }
    if (const auto fault = faultOfStatus(parser.get().result_int())) {
        why = errorAt(core::Step::Receive, address, *fault);
        co_return std::nullopt;
    }
    HttpResponse response = headOf(parser.get());
    response.body = std::move(parser.get().body());
    if (parser.keep_alive() && !(options.closesAfterRefusal && response.status >= minRefusal)) {
        state->putIdle(address, std::move(stream));
    }
    co_return response;
}

Task<std::optional<HttpResponse>> HttpClient::stream(Address address, HttpRequest request, CallOptions options, ChunkHandler onChunk, core::Error &why)
{
    const auto state = state_;
    Stream stream = co_await state->sendRequest(address, std::move(request), options, deadlineAfter(options.timeout), why);
    if (!stream) {
        co_return std::nullopt;
    }
    beast::flat_buffer buffer(maxUnparsedBytes);
    http::response_parser<http::buffer_body> parser;
    parser.header_limit(maxHeadBytes);
    parser.body_limit(boost::none);
    const Deadline headDeadline = deadlineAfter(options.timeout);
    stream->expires_at(headDeadline);
    auto [failed, count] = co_await http::async_read_header(*stream, buffer, parser, tuple);
    if (failed) {
        why = errorAt(core::Step::Receive, address, readFailure(failed, options.maxBodyBytes));
        co_return std::nullopt;
    }
    if (const auto fault = faultOfStatus(parser.get().result_int())) {
        why = errorAt(core::Step::Receive, address, *fault);
        co_return std::nullopt;
    }
    HttpResponse response = headOf(parser.get());
    const bool isStream = response.status == 200;
    std::array<char, chunkBytes> data{};
    while (!parser.is_done()) {
        parser.get().body().data = data.data();
        parser.get().body().size = data.size();
        stream->expires_at(isStream ? deadlineAfter(options.timeout) : headDeadline);
        std::tie(failed, count) = co_await http::async_read_some(*stream, buffer, parser, tuple);
        if (failed == http::error::need_buffer) {
            failed = {};
        }
        const bool isTooLong = !isStream && response.body.size() + data.size() - parser.get().body().size > options.maxBodyBytes;
        if (isTooLong) {
            failed = http::error::body_limit;
        }
        if (failed) {
            why = errorAt(core::Step::Receive, address, readFailure(failed, options.maxBodyBytes));
            co_return std::nullopt;
        }
        const std::string_view piece(data.data(), data.size() - parser.get().body().size);
        if (!isStream) {
            response.body.append(piece);
        } else if (!piece.empty() && !co_await onChunk(piece)) {
            co_return response;
        }
    }
    if (parser.keep_alive() && !(options.closesAfterRefusal && response.status >= minRefusal)) {
        state->putIdle(address, std::move(stream));
    }
    co_return response;
}

} // namespace baobabstall::net
