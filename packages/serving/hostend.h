// serving/hostend.h: when a host that stops may end. No I/O.
//
//   HostEnd end(limit);
//   while (!end.isDue({.requests = ..., .claims = ...}, now)) { ... }
#pragma once

#include <algorithm>
#include <optional>

#include <core/clock.h>

namespace baobabstall::serving {

using core::Instant;
using core::Milliseconds;

class HostEnd
{
public:
    struct Open {
        std::size_t requests = 0; // of callers and peers, and connections on which one may arrive
        std::size_t claims = 0;   // ownership whose release the store has not acknowledged
    };

    /// An unreachable store must not delay the end of a host that serves nothing.
    static constexpr Milliseconds releaseTimeout{500};

    /// `limit`: the host ends then, whatever is open.
    explicit HostEnd(Instant limit)
        : limit_(limit)
    { }

    /// Looks at everything anew each time: what was accepted before the listener closed may turn up while ownership is released. Due at the second
    /// look that finds no request, at the earliest.
    [[nodiscard]] bool isDue(const Open &open, Instant now)
    {
        const auto quietSince = open.requests > 0 ? std::nullopt : std::optional(quietSince_.value_or(now));
        const bool isQuiet = quietSince && quietSince_ && (open.claims == 0 || now - *quietSince >= releaseTimeout);
        quietSince_ = quietSince;
        return isQuiet || now >= limit_;
    }

private:
    Instant limit_;
    std::optional<Instant> quietSince_;
};

} // namespace baobabstall::serving
