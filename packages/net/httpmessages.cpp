#include <net/http.h>

#include <algorithm>
#include <charconv>

#include <boost/asio/ip/address.hpp>
#include <boost/beast/core/string.hpp>

namespace baobabstall::net {

namespace {

std::optional<int> hexDigit(char c)
{
    if (c >= '0' && c <= '9') {
        return c - '0';
    }
    if (c >= 'a' && c <= 'f') {
        return c - 'a' + 10;
    }
    if (c >= 'A' && c <= 'F') {
        return c - 'A' + 10;
    }
    return std::nullopt;
}

std::string percentDecoded(std::string_view text)
{
    std::string decoded;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '%' && i + 2 < text.size()) {
            const auto high = hexDigit(text[i + 1]);
            const auto low = hexDigit(text[i + 2]);
            if (high && low) {
                decoded += static_cast<char>(*high * 16 + *low);
                i += 2;
                continue;
            }
        }
        decoded += text[i] == '+' ? ' ' : text[i];
    }
    return decoded;
}

} // namespace

std::string Address::text() const
{
    const bool isV6 = ip.find(':') != std::string::npos;
    return (isV6 ? '[' + ip + ']' : ip) + ':' + std::to_string(port);
}

std::optional<Address> Address::parse(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return std::nullopt;
    }
    auto ip = text.substr(0, colon);
    const auto portText = text.substr(colon + 1);
    if (ip.size() > 2 && ip.front() == '[' && ip.back() == ']') {
        ip = ip.substr(1, ip.size() - 2);
    }
    boost::system::error_code failed;
    boost::asio::ip::make_address(ip, failed);
    std::uint16_t port = 0;
    const auto [end, error] = std::from_chars(portText.data(), portText.data() + portText.size(), port);
    if (failed || error != std::errc() || end != portText.data() + portText.size() || portText.empty()) {
        return std::nullopt;
    }
    return Address{std::string(ip), port};
}

void Headers::set(std::string name, std::string value)
{
    for (auto &[known, old] : fields_) {
        if (boost::beast::iequals(known, name)) {
            old = std::move(value);
            return;
        }
    }
    fields_.emplace_back(std::move(name), std::move(value));
}

std::optional<std::string> Headers::find(std::string_view name) const
{
    const auto found = std::find_if(fields_.begin(), fields_.end(), [&](const auto &field) { return boost::beast::iequals(field.first, name); });
    if (found == fields_.end()) {
        return std::nullopt;
    }
    return found->second;
}

std::string_view HttpRequest::path() const
{
    return std::string_view(target).substr(0, target.find('?'));
}

std::optional<std::string> HttpRequest::query(std::string_view name) const
{
    const auto mark = target.find('?');
    if (mark == std::string::npos) {
        return std::nullopt;
    }
    std::string_view rest = std::string_view(target).substr(mark + 1);
    while (!rest.empty()) {
        const auto field = rest.substr(0, rest.find('&'));
        rest.remove_prefix(std::min(rest.size(), field.size() + 1));
        const auto equals = field.find('=');
        if (field.substr(0, equals) == name) {
            return equals == std::string_view::npos ? std::string() : percentDecoded(field.substr(equals + 1));
        }
    }
    return std::nullopt;
}

HttpResponse HttpResponse::json(int status, std::string body)
{
    HttpResponse response;
    response.status = status;
    response.headers.set("Content-Type", "application/json");
    response.body = std::move(body);
    return response;
}

} // namespace baobabstall::net
