// Events in the order of their times, for tests that play many hosts without a clock.
#pragma once

#include <cstdint>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

#include <core/types.h>

namespace baobabstall::serving::tests {

class VirtualTime
{
public:
    void at(core::Instant time, std::function<void()> action) { events_.push({time, nextSequence_++, std::move(action)}); }
    void runUntil(core::Instant end)
    {
        while (!events_.empty() && events_.top().time <= end) {
            const auto event = events_.top();
            events_.pop();
            now_ = event.time;
            event.action();
        }
        now_ = end;
    }
    [[nodiscard]] core::Instant now() const { return now_; }

private:
    struct Event {
        core::Instant time;
        std::uint64_t sequence = 0; // events of one time run in the order in which they were added
        std::function<void()> action;
        bool operator<(const Event &other) const { return std::pair(time, sequence) > std::pair(other.time, other.sequence); }
    };

    std::priority_queue<Event> events_;
    std::uint64_t nextSequence_ = 0;
    core::Instant now_;
};

} // namespace baobabstall::serving::tests
