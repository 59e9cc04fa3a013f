// core/clock.h: the time that I/O code hands to the decision packages. Decision code takes an Instant and never asks a clock.
#pragma once

#include <concepts>

#include <core/types.h>

namespace baobabstall::core {

/// Whatever can say what time it is.
template<typename T>
concept ClockLike = requires(const T &clock)
{
    {
        clock.now()
        } -> std::same_as<Instant>;
};

/// Monotonic time of the machine, the time it was suspended included. Differs between hosts: never send its instants to a peer.
class SteadyClock
{
public:
    [[nodiscard]] Instant now() const;
};

/// Time that stands still until a test moves it.
class FakeClock
{
public:
    [[nodiscard]] Instant now() const { return now_; }
    void advance(Milliseconds by) { now_ = now_ + by; }

private:
    Instant now_;
};

static_assert(ClockLike<SteadyClock>);
static_assert(ClockLike<FakeClock>);

/// Milliseconds of the civil clock since 1970, for log lines and for what operators read. Can jump; decide nothing by it.
[[nodiscard]] std::int64_t civilMilliseconds();

} // namespace baobabstall::core
