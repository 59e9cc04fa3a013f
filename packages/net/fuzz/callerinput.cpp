// What a caller sends on one connection, in pieces of any length, beside callers that hold memory: RequestReader and CallerBudget stay within their limits,
// each request ends where its framing says, and what is refused is not handed on. Bytes 0 to 3 choose limits and pieces, the rest is the caller's.
#include <algorithm>
#include <cstdint>
#include <cstdlib>
#include <cstring>
#include <exception>
#include <iterator>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>

#include <net/requestreader.h>

namespace {

using namespace baobabstall;
using error_code = boost::system::error_code;

void require(bool holds)
{
    if (!holds) {
        std::abort();
    }
}

constexpr std::size_t controlBytes = 4;
constexpr std::size_t maxSent = 300'000;
constexpr char repeat = '\x01'; // followed by a count and a byte

std::string expanded(std::string_view text)
{
    constexpr std::size_t step = 64;
    std::string all;
    for (std::size_t at = 0; at < text.size() && all.size() < maxSent; ++at) {
        if (text[at] == repeat && at + 2 < text.size()) {
            all.append((static_cast<std::uint8_t>(text[at + 1]) + 1) * step, text[at + 2]);
            at += 2;
        } else {
            all += text[at];
        }
    }
    return all;
}

struct Case {
    net::RequestLimits limits;
    std::size_t totalBytes = 0;
    std::size_t pieces = 0; // longest; 0: as long as there is room
    bool isPressed = false; // another caller's answer takes the room while the request arrives
    std::string sent;
};

struct Request {
    std::string target;
    std::string body;
    std::size_t end = 0; // in what was sent
    friend bool operator==(const Request &, const Request &) = default;
};

struct Outcome {
    std::vector<Request> handedOn;
    bool hasGivenWay = false;
};

/// The connection of the caller, with what others hold beside it.
class Wire
{
public:
    explicit Wire(const Case &played)
        : played_(played)
        , budget_({.totalBytes = played.totalBytes, .maxConnections = 0})
        , slow_(
              budget_,
              [this](net::CallerPart) { ++slowGaveWay_; },
              core::SteadyClock().now() - core::Milliseconds(2'000))
        , other_(
              budget_,
              [](net::CallerPart) { std::abort(); },
              core::SteadyClock().now())
        , holder_(
              budget_,
              [this](net::CallerPart) { ++gaveWay_; },
              core::SteadyClock().now())
    {
        std::ignore = slow_.resize(net::CallerPart::Body, net::CallerBudget::smallBytes, core::SteadyClock().now());
        other_.rest();
    }

    net::Task<std::tuple<error_code, std::size_t>> async_read_some(boost::asio::mutable_buffer space, const auto & /*token*/)
    {
        check();
        if (played_.isPressed) {
            const auto now = core::SteadyClock().now();
            std::ignore = other_.resize(net::CallerPart::Answer, played_.totalBytes, now);
            std::ignore = other_.resize(net::CallerPart::Answer, 0, now);
        }
        const auto left = played_.sent.size() - sent_;
        if (left == 0 || gaveWay_ > 0) {
            co_return std::tuple{error_code(boost::asio::error::eof), std::size_t{0}};
        }
        draw_ = draw_ * 1'103'515'245 + 12'345;
        const auto longest = played_.pieces == 0 ? left : 1 + (draw_ >> 16) % played_.pieces;
        const auto count = std::min({left, space.size(), longest});
        require(count > 0); // else the reader would take it for the end
        std::memcpy(space.data(), played_.sent.data() + sent_, count);
        sent_ += count;
        co_return std::tuple{error_code(), count};
    }

    void check() const
    {
        // Alone, a request may hold what the limits of the pages allow.
        const auto alone = net::RequestReader<Wire>::inputShare * played_.limits.maxHeaderBytes + played_.limits.maxHeaderBytes + played_.limits.maxBodyBytes;
        require(budget_.heldBytes() <= std::max(played_.totalBytes, alone));
        require(gaveWay_ <= 1 && slowGaveWay_ <= 1);
        require(gaveWay_ == 0 || holder_.bytes() == 0);
    }

    [[nodiscard]] std::size_t sent() const { return sent_; }
    [[nodiscard]] bool hasGivenWay() const { return gaveWay_ > 0; }
    [[nodiscard]] net::CallerBudget::Holder &holder() { return holder_; }

private:
    const Case &played_;
    net::CallerBudget budget_;
    int slowGaveWay_ = 0;
    int gaveWay_ = 0;
    net::CallerBudget::Holder slow_;
    net::CallerBudget::Holder other_;
    net::CallerBudget::Holder holder_;
    std::size_t sent_ = 0;
    std::size_t draw_ = 1;
};

/// Reads a chunked body by the grammar, from `at` on. Where it ends, and what it holds.
std::tuple<std::size_t, std::string> chunksAt(std::string_view sent, std::size_t at)
{
    std::string body;
    while (true) {
        const auto lineEnd = sent.find("\r\n", at);
        require(lineEnd != std::string_view::npos);
        std::size_t size = 0;
        std::size_t digits = 0;
        for (; std::isxdigit(static_cast<unsigned char>(sent[at + digits])) != 0; ++digits) {
            size = size * 16 + static_cast<std::size_t>(std::stoi(std::string(1, sent[at + digits]), nullptr, 16));
            require(size <= maxSent);
        }
        require(digits > 0);
        if (size == 0) {
            const auto end = sent.find("\r\n\r\n", lineEnd);
            require(end != std::string_view::npos);
            return {end + 4, body};
        }
        body += sent.substr(lineEnd + 2, size);
        at = lineEnd + 2 + size;
        require(sent.substr(at, 2) == "\r\n");
        at += 2;
    }
}

/// The request that was read, against what was sent from `begin` on.
void checkFraming(std::string_view sent, std::size_t begin, std::size_t end, const net::RequestReader<Wire>::Parser::value_type &message)
{
    namespace http = boost::beast::http;
    const auto head = sent.find("\r\n\r\n", begin);
    require(head != std::string_view::npos && head + 4 <= end);
    const auto codings = message.count(http::field::transfer_encoding);
    const auto length = message[http::field::content_length];
    if (codings > 0) {
        require(length.empty());
        const auto [chunksEnd, body] = chunksAt(sent, head + 4);
        require(end == chunksEnd && message.body() == body);
        return;
    }
    const auto size = length.empty() ? 0 : std::stoul(std::string(length));
    require(end == head + 4 + size && message.body() == sent.substr(head + 4, size));
}

net::Task<void> serve(const Case &played, Wire &wire, Outcome &outcome)
{
    boost::beast::flat_buffer buffer;
    std::size_t begin = 0;
    while (true) {
        net::RequestReader<Wire> reader(wire, buffer, wire.holder(), played.limits);
        wire.holder().awaitCaller(core::SteadyClock().now());
        auto failed = co_await reader.readHeader();
        const auto &message = reader.parser().get();
        const auto headFields = std::distance(message.begin(), message.end());
        if (!failed) {
            failed = co_await reader.readBody();
        }
        wire.check();
        require(buffer.capacity() <= net::RequestReader<Wire>::inputShare * played.limits.maxHeaderBytes);
        require(message.body().size() <= played.limits.maxBodyBytes);
        outcome.hasGivenWay = wire.hasGivenWay();
        if (failed) {
            const auto status = net::statusOfReadError(failed);
            require(!reader.limit() || (status && (*status == 431 || *status == 413 || *status == 503))); // refused by name
            require(failed != boost::asio::error::no_memory || message.body().empty());
            co_return;
        }
        if (outcome.hasGivenWay) {
            co_return; // the server refuses it
        }
        require(reader.parser().is_done() && !reader.limit());
        require(std::distance(message.begin(), message.end()) == headFields); // a trailer is no part of the head
        const auto end = wire.sent() - buffer.size();
        checkFraming(played.sent, begin, end, message);
        outcome.handedOn.push_back({std::string(message.target()), message.body(), end});
        begin = end;
        const auto now = core::SteadyClock().now();
        if (!wire.holder().resize(net::CallerPart::Body, 0, now) || !wire.holder().resize(net::CallerPart::Input, buffer.capacity(), now)) {
            co_return;
        }
        wire.holder().idle(now);
    }
}

Outcome play(const Case &played)
{
    Outcome outcome;
    boost::asio::io_context io;
    Wire wire(played);
    boost::asio::co_spawn(io, serve(played, wire, outcome), [](const std::exception_ptr &thrown) { require(!thrown); });
    io.run();
    return outcome;
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    if (size < controlBytes) {
        return 0;
    }
    constexpr std::size_t headerLimits[] = {300, 1'024, 16'384};
    constexpr std::size_t bodyLimits[] = {50'000, 5'000, 64, 0};
    constexpr std::size_t totals[] = {4'000'000, 100'000, 70'000, 40'000, 8'000};
    Case played{.limits = {.maxHeaderBytes = headerLimits[data[0] % std::size(headerLimits)], .maxBodyBytes = bodyLimits[data[1] % std::size(bodyLimits)]},
                .totalBytes = totals[data[2] % std::size(totals)],
                .pieces = static_cast<std::size_t>(data[3] / 2),
                .isPressed = data[3] % 2 == 1,
                .sent = expanded({reinterpret_cast<const char *>(data) + controlBytes, size - controlBytes})};
    const auto pressed = play(played);
    played.totalBytes = totals[0];
    played.isPressed = false;
    const auto inPieces = play(played).handedOn;
    require(pressed.handedOn.size() <= inPieces.size() && std::equal(pressed.handedOn.begin(), pressed.handedOn.end(), inPieces.begin()));
    played.pieces = 0;
    require(play(played).handedOn == inPieces); // the same requests, however they came
    return 0;
}
