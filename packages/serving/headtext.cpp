#include <serving/headtext.h>

#include <array>
#include <charconv>

#include <boost/beast/http.hpp>

namespace baobabstall::serving {

std::string_view statusText(int status)
{
    return boost::beast::http::obsolete_reason(static_cast<boost::beast::http::status>(status));
}

std::string secondsText(core::Milliseconds time)
{
    constexpr double msPerSecond = 1'000;
    std::array<char, 32> text{};
    const auto [end, failed]
        = std::to_chars(text.data(), text.data() + text.size(), static_cast<double>(time.count()) / msPerSecond, std::chars_format::fixed, 3);
    return {text.data(), end};
}

} // namespace baobabstall::serving
