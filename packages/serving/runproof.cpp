#include <serving/runproof.h>

#include <boost/asio/write.hpp>
#include <boost/beast/http.hpp>

namespace baobabstall::serving {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

constexpr std::size_t maxReportBytes = 1024 * 1024;
constexpr std::uint32_t maxHeadBytes = 16 * 1024;

} // namespace

net::Task<std::optional<ReplicaReport>> askReport(UpstreamConnection &connection, const Codec &codec, const UpstreamId &id)
{
    const auto request = codec.reportRequest(id);
    std::string out = request.method + " " + request.target + " HTTP/1.1\r\nHost: " + id.value() + "\r\n";
    for (const auto &[name, value] : request.headers.all()) {
        out.append(name).append(": ").append(value).append("\r\n");
    }
    out.append("\r\n");
    const auto [writeFailed, written] = co_await asio::async_write(connection.socket, asio::buffer(out), net::tuple);
    if (writeFailed) {
        co_return std::nullopt;
    }
    http::response_parser<http::string_body> parser;
    parser.body_limit(maxReportBytes);
    parser.header_limit(maxHeadBytes);
    const auto [readFailed, count] = co_await http::async_read(connection.socket, connection.buffer, parser, net::tuple);
    if (readFailed || !parser.keep_alive() || connection.buffer.size() > 0) {
        co_return std::nullopt;
    }
    core::Error why;
    co_return codec.readReport({.status = static_cast<int>(parser.get().result_int()), .headers = {}, .body = parser.get().body()}, why);
}

} // namespace baobabstall::serving
