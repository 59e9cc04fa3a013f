#include <core/clock.h>

#include <chrono>
#include <ctime>

namespace baobabstall::core {

Instant SteadyClock::now() const
{
    // The steady clock stands still while a machine is suspended; leases of others do not.
    constexpr std::int64_t msPerSecond = 1'000;
    constexpr std::int64_t nsPerMs = 1'000'000;
    timespec sinceBoot{};
    clock_gettime(CLOCK_BOOTTIME, &sinceBoot);
    return Instant(sinceBoot.tv_sec * msPerSecond + sinceBoot.tv_nsec / nsPerMs);
}

std::int64_t civilMilliseconds()
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count();
}

} // namespace baobabstall::core
