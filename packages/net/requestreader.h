// net/requestreader.h: reads one HTTP/1.1 request of a caller within bounds that hold for every byte of it. I/O.
//
//   RequestReader reader(socket, buffer, holder, {.maxHeaderBytes = 16'384, .maxBodyBytes = 4'194'304});
//   auto failed = co_await reader.readHeader();
//   if (!failed) { failed = co_await reader.readBody(); }     // also of a request without a body
//   if (failed) ... statusOfReadError(failed), reader.limit()
//   reader.parser().release()
//
// The limits of a Beast parser cover the head and the body, not what stands between and behind chunks. Here a chunk's line, the trailer and the head have to
// fit the buffer, twice the header limit, and all chunk extensions of a request together the header limit. Fields of a trailer are left out. What a request
// holds counts at its CallerBudget::Holder as it comes.
#pragma once

#include <algorithm>
#include <optional>
#include <string>
#include <tuple>
#include <utility>

#include <boost/asio/error.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include <core/clock.h>
#include <net/asio.h>
#include <net/callerbudget.h>
#include <net/http.h>

namespace baobabstall::net {

struct RequestLimits {
    std::size_t maxHeaderBytes = 0;
    std::size_t maxBodyBytes = 0;
};

template<typename Stream>
class RequestReader
{
public:
    using Parser = boost::beast::http::request_parser<boost::beast::http::string_body>;
    using error_code = boost::system::error_code;

    static constexpr std::size_t inputShare = 2; // of the header limit
    static constexpr std::size_t minRead = 512;
    static constexpr std::size_t bodyRead = 16 * 1024;
    static constexpr std::size_t chunkRead = 4 * 1024;

    RequestReader(Stream &stream, boost::beast::flat_buffer &buffer, CallerBudget::Holder &holder, RequestLimits limits)
        : stream_(stream)
        , buffer_(buffer)
        , holder_(holder)
        , maxFraming_(limits.maxHeaderBytes)
        , maxInput_(std::max(inputShare * limits.maxHeaderBytes, buffer.size()))
    {
        parser_.header_limit(static_cast<std::uint32_t>(limits.maxHeaderBytes));
        parser_.body_limit(limits.maxBodyBytes);
        parser_.on_chunk_header(onChunk_);
        buffer_.max_size(maxInput_);
    }
    RequestReader(const RequestReader &) = delete;
    RequestReader &operator=(const RequestReader &) = delete;

    [[nodiscard]] Parser &parser() { return parser_; }
    [[nodiscard]] std::uint64_t bytesRead() const { return bytesRead_; }
    /// The limit that ended the read, if it is one that the parser doesn't know.
    [[nodiscard]] std::optional<CallerPart> limit() const { return limit_; }

    Task<error_code> readHeader()
    {
        error_code failed;
        while (!failed && !parser_.is_header_done()) {
            failed = parse();
            if (failed == boost::beast::http::error::need_more) {
                failed = co_await receive(minRead);
            }
        }
        parser_.eager(true);
        if (!failed && !parser_.chunked() && parser_.get().count(boost::beast::http::field::transfer_encoding) > 0) {
            failed = boost::beast::http::error::bad_transfer_encoding; // nobody knows where its body ends
        }
        co_return failed;
    }

    Task<error_code> readBody()
    {
        error_code failed;
        while (!failed && !parser_.is_done()) {
            failed = parse();
            if (failed == boost::beast::http::error::need_more || (!failed && !parser_.is_done() && buffer_.size() == 0)) {
                failed = co_await receive(bodyRoom());
            }
        }
        co_return failed;
    }

private:
    /// Announced bytes are read in long pieces; a short request holds little.
    [[nodiscard]] std::size_t bodyRoom() const
    {
        const auto left = parser_.content_length_remaining();
        return left ? std::clamp(static_cast<std::size_t>(std::min<std::uint64_t>(*left, bodyRead)), minRead, bodyRead) : chunkRead;
    }

    /// need_more: what has been read doesn't suffice.
    error_code parse()
    {
        error_code failed;
        if (buffer_.size() == 0) {
            return boost::beast::http::error::need_more;
        }
        const bool isHead = !parser_.is_header_done();
        const auto used = parser_.put(buffer_.data(), failed);
        buffer_.consume(used);
        if (head_) {
            parser_.get().base() = std::move(*head_);
            head_.reset();
        }
        if (isHead) {
            headBytes_ += used;
            if (!failed && !holder_.resize(CallerPart::Input, buffer_.capacity() + headBytes_, core::SteadyClock().now())) {
                return refused(CallerPart::Input);
            }
        }
        const auto bodyBytes = parser_.get().body().size();
        if (bodyBytes > 0 && !holder_.resize(CallerPart::Body, bodyBytes, core::SteadyClock().now())) {
            return refused(CallerPart::Body);
        }
        return failed;
    }

    Task<error_code> receive(std::size_t least)
    {
        const auto room = maxInput_ - std::min(maxInput_, buffer_.size());
        if (room == 0) {
            limit_ = parser_.is_header_done() ? CallerPart::Framing : CallerPart::Input;
            co_return boost::beast::http::error::header_limit;
        }
        const auto space = buffer_.prepare(std::min(room, std::max(least, buffer_.capacity() - buffer_.size())));
        if (!holder_.resize(CallerPart::Input, buffer_.capacity() + headBytes_, core::SteadyClock().now())) {
            co_return refused(CallerPart::Input);
        }
        auto [failed, count] = co_await stream_.async_read_some(space, tuple);
        buffer_.commit(count);
        bytesRead_ += count;
        holder_.onProgress(count, core::SteadyClock().now());
        if (failed == boost::asio::error::eof) {
            failed = {};
            if (parser_.got_some() || buffer_.size() > 0) {
                parser_.put_eof(failed);
                co_return failed ? failed : error_code(boost::beast::http::error::partial_message);
            }
            co_return boost::beast::http::error::end_of_stream;
        }
        co_return failed;
    }

    /// What the request holds is freed at once: its connection may last for seconds.
    error_code refused(CallerPart part)
    {
        limit_ = part;
        std::string().swap(parser_.get().body());
        std::ignore = holder_.resize(CallerPart::Body, 0, core::SteadyClock().now()); // false: it has given way
        return boost::asio::error::no_memory;
    }

    struct ChunkLine {
        RequestReader &reader;
        void operator()(std::uint64_t size, std::string_view extensions, error_code &failed) const
        {
            reader.framing_ += extensions.size();
            if (reader.framing_ > reader.maxFraming_) {
                reader.limit_ = CallerPart::Framing;
                failed = boost::beast::http::error::header_limit;
            }
            if (size == 0) { // the parser adds the fields of the trailer to those that are there
                reader.head_ = std::move(reader.parser_.get().base());
            }
        }
    };

    Stream &stream_;
    boost::beast::flat_buffer &buffer_;
    CallerBudget::Holder &holder_;
    Parser parser_;
    ChunkLine onChunk_{*this};
    std::optional<boost::beast::http::request_header<>> head_; // while the trailer is parsed
    std::size_t headBytes_ = 0;
    std::size_t framing_ = 0;
    std::size_t maxFraming_;
    std::size_t maxInput_;
    std::uint64_t bytesRead_ = 0;
    std::optional<CallerPart> limit_;
};

} // namespace baobabstall::net
