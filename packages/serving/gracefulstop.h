// serving/gracefulstop.h: the end of a host that stops, as its requests know it. No I/O.
//
//   GracefulStop stop;
//   const GracefulStop::Registration registration(stop, listener); // of a request in progress
//   stop.begin(GracefulStop::timesOf(now, gracePeriod));
//   if (stop.hasBegun() && now >= stop.lastSendAt(readAt, deadline, expectedRun)) { ...refuse it as not run... }
#pragma once

#include <algorithm>
#include <memory>
#include <optional>
#include <unordered_set>
#include <vector>

#include <core/clock.h>

namespace baobabstall::serving {

using core::Instant;
using core::Milliseconds;

/// A request in progress.
class StopListener
{
public:
    virtual ~StopListener() = default;
    /// The host has begun to stop.
    virtual void onStop() = 0;
};

class GracefulStop
{
public:
    struct Times {
        Instant answerBy;     // every request has its answer by then; the host ends soon after
        Instant unbalancedAt; // the load balancer sends this host no new connections from then on
        Instant endsAt{};     // the host ends then, whatever is open
    };

    static constexpr Milliseconds balancerDetectionTime{2'600}; // two failed health checks of the load balancer, one per second
    static constexpr Milliseconds maxEndMargin{600};            // before the platform sends SIGKILL
    static constexpr int endMarginDivisor = 8;                  // of the grace period; the shorter of both applies
    static constexpr Milliseconds maxAnswerMargin{300};         // before the host ends: for the last answers
    static constexpr int answerMarginDivisor = 4;               // of the time that a stop takes; the shorter of both applies

    /// Of a host that is told to stop at `begin` and killed `gracePeriod` later.
    [[nodiscard]] static Times timesOf(Instant begin, Milliseconds gracePeriod)
    {
        const auto time = gracePeriod - std::min(gracePeriod / endMarginDivisor, maxEndMargin);
        const auto endsAt = begin + time;
        return {endsAt - std::clamp(time / answerMarginDivisor, Milliseconds(0), maxAnswerMargin), begin + balancerDetectionTime, endsAt};
    }

    /// May outlive the GracefulStop: requests that still wait when the process ends are destroyed last.
    class Registration
    {
    public:
        Registration(GracefulStop &stop, StopListener &listener)
            : listeners_(stop.listeners_)
            , listener_(&listener)
        {
            listeners_->insert(listener_);
        }
        ~Registration() { listeners_->erase(listener_); }
        Registration(const Registration &) = delete;
        Registration &operator=(const Registration &) = delete;

    private:
        std::shared_ptr<std::unordered_set<StopListener *>> listeners_;
        StopListener *listener_;
    };

    void begin(const Times &times)
    {
        times_ = times;
        hasBegun_ = true;
        const std::vector<StopListener *> listeners(listeners_->begin(), listeners_->end());
        for (auto *listener : listeners) {
            if (listeners_->contains(listener)) { // it may have ended meanwhile
                listener->onStop();
            }
        }
    }
    [[nodiscard]] bool hasBegun() const { return hasBegun_; }
    [[nodiscard]] Instant answerBy() const { return times_.answerBy; }
    /// The last moment to send a request. It is certain to end at its deadline only. An estimate is enough for a request that was read while the
    /// load balancer still chose this host; the caller of a later one reaches another host at once. `expected`: from the send to the end of the
    /// response; nothing: not known.
    [[nodiscard]] Instant lastSendAt(Instant readAt, Instant deadline, std::optional<Milliseconds> expected) const
    {
        if (deadline <= times_.answerBy) {
            return deadline;
        }
        return expected && readAt < times_.unbalancedAt ? times_.answerBy - *expected : Instant();
    }
    /// Until a caller that returns is sure to reach another host.
    [[nodiscard]] Milliseconds untilUnbalanced(Instant now) const { return std::max(Milliseconds(0), times_.unbalancedAt - now); }

private:
    Times times_;
    bool hasBegun_ = false;
    std::shared_ptr<std::unordered_set<StopListener *>> listeners_ = std::make_shared<std::unordered_set<StopListener *>>();
};

} // namespace baobabstall::serving
