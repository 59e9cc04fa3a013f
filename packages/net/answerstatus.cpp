#include <net/answerstatus.h>

#include <algorithm>

namespace baobabstall::net {

std::optional<std::string> faultOfStatus(unsigned status)
{
    constexpr unsigned minStatus = 100;
    constexpr unsigned minFinalStatus = 200;
    constexpr unsigned maxStatus = 599;
    if (status >= minStatus && status < minFinalStatus) {
        return "an interim answer of status " + std::to_string(status);
    }
    if (status < minStatus || status > maxStatus) {
        constexpr std::size_t digits = 3;
        const auto text = std::to_string(status);
        return "status " + std::string(digits - std::min(digits, text.size()), '0') + text + ", outside 100 to 599";
    }
    return std::nullopt;
}

} // namespace baobabstall::net
