// serving/gracefulstop.h: the end of a host that stops, as its requests know it. No I/O.
//
//   GracefulStop stop;
//   const GracefulStop::Registration registration(stop, listener); // of a request in progress
//   stop.begin({.answerBy = ..., .unbalancedAt = ...});
//   if (stop.hasBegun()) { stop.answerBy(); }
#pragma once

#include <algorithm>
#include <memory>
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
    };

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
    /// Until a caller that returns is sure to reach another host.
    [[nodiscard]] Milliseconds untilUnbalanced(Instant now) const { return std::max(Milliseconds(0), times_.unbalancedAt - now); }

private:
    Times times_;
    bool hasBegun_ = false;
    std::shared_ptr<std::unordered_set<StopListener *>> listeners_ = std::make_shared<std::unordered_set<StopListener *>>();
};

} // namespace baobabstall::serving
