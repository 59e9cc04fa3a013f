// serving/sendend.h: who ended a send that did not end well, for the log.
#pragma once

#include <cstdint>
#include <string_view>

namespace baobabstall::serving {

enum class EndedBy : std::uint8_t { Upstream, Caller, Deadline, Host };

inline std::string_view endedByText(EndedBy who)
{
    switch (who) {
    case EndedBy::Caller:
        return "caller";
    case EndedBy::Deadline:
        return "deadline";
    case EndedBy::Host:
        return "host";
    case EndedBy::Upstream:
        break;
    }
    return "upstream";
}

} // namespace baobabstall::serving
