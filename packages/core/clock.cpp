#include <core/clock.h>

#include <chrono>

namespace baobabstall::core {

Instant SteadyClock::now() const
{
    const auto sinceOrigin = std::chrono::steady_clock::now().time_since_epoch();
    return Instant(std::chrono::duration_cast<std::chrono::milliseconds>(sinceOrigin).count());
}

std::int64_t civilMilliseconds()
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count();
}

} // namespace baobabstall::core
