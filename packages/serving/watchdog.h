// serving/watchdog.h: a deadline that moves often. The timer is restarted only when the deadline moves closer, so that a request that
// ends in time causes no timer operation of its own.
#pragma once

#include <functional>
#include <memory>

#include <boost/asio/steady_timer.hpp>

#include <core/clock.h>
#include <net/asio.h>

namespace baobabstall::serving {

class Watchdog
{
public:
    explicit Watchdog(boost::asio::io_context &io)
        : state_(std::make_shared<State>(io))
    { }
    ~Watchdog()
    {
        disarm();
        state_->timer.cancel();
    }
    Watchdog(const Watchdog &) = delete;
    Watchdog &operator=(const Watchdog &) = delete;

    /// Calls `action` once at `deadline`, unless rearmed or disarmed before. Replaces an action that is already armed.
    void arm(core::Instant deadline, std::function<void()> action)
    {
        state_->deadline = deadline;
        state_->action = std::move(action);
        if (!state_->isTimerRunning || deadline < state_->timerExpiry) {
            startTimer(state_, deadline);
        }
    }
    void disarm() { state_->action = nullptr; }

private:
    struct State {
        explicit State(boost::asio::io_context &io)
            : timer(io)
        { }
        boost::asio::steady_timer timer;
        std::function<void()> action;
        core::Instant deadline;
        core::Instant timerExpiry;
        bool isTimerRunning = false;
    };

    static void startTimer(const std::shared_ptr<State> &state, core::Instant expiry)
    {
        const auto now = core::SteadyClock().now();
        state->timerExpiry = expiry;
        state->isTimerRunning = true;
        state->timer.expires_after(net::chronoOf(std::max(core::Milliseconds(0), expiry - now)));
        state->timer.async_wait([weak = std::weak_ptr(state), expiry](boost::system::error_code cancelled) {
            const auto state = weak.lock();
            if (!state || cancelled || state->timerExpiry != expiry) {
                return;
            }
            state->isTimerRunning = false;
            if (!state->action) {
                return;
            }
            if (core::SteadyClock().now() < state->deadline) {
                startTimer(state, state->deadline);
                return;
            }
            std::exchange(state->action, nullptr)();
        });
    }

    std::shared_ptr<State> state_;
};

} // namespace baobabstall::serving
