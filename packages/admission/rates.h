// admission/rates.h: what is measured to decide on: counts that fade, how fast a queue drains, when to come back.
//
// Index
//   DecayingCount    a sum of events that halves every half-life
//   DrainRate        how many items a second leave a queue while it is backlogged
//   ReturnLine       spreads the Retry-After of refused callers at a rate that can be served
//
// All take the Instant of the event; instants must not go back. Not thread-safe.
#pragma once

#include <core/types.h>

namespace baobabstall::admission {

using core::Instant;
using core::Milliseconds;

/// A sum that halves every half-life. A steady flow of r a second settles at r * halfLife / ln 2.
class DecayingCount
{
public:
    explicit DecayingCount(Milliseconds halfLife)
        : halfLife_(halfLife)
    { }

    void add(Instant now, double amount = 1);
    void raiseTo(Instant now, double least); // for decaying maxima: the value becomes at least this
    [[nodiscard]] double value(Instant now) const;

private:
    Milliseconds halfLife_;
    Instant updatedAt_;
    double value_ = 0;
};

/// Items a second that leave a queue while something waits in it. Time without a backlog does not count, so a light load does
/// not look like a slow drain. With little backlogged time so far, the estimate rests on concurrency / time of service.
class DrainRate
{
public:
    DrainRate(int concurrency, Milliseconds typicalService); // items in service at once when there is a backlog; time of one until measured

    void setBacklogged(Instant now, bool backlogged);                        // when something begins to wait, and when nothing waits any more
    void onFinish(Instant now, Milliseconds took);                           // one item done; `took` without its wait
    [[nodiscard]] double perSecond(Instant now) const;                       // above 0
    [[nodiscard]] Milliseconds timeToDrain(double items, Instant now) const; // until so many have left
    [[nodiscard]] Milliseconds meanServiceTime() const { return Milliseconds(static_cast<std::int64_t>(serviceMs_)); } // mean of recent items

private:
    [[nodiscard]] double backloggedMs(Instant now) const;
    void decayTo(Instant now);

    int concurrency_;
    bool backlogged_ = false;
    Instant updatedAt_;       // begin of the backlogged time not yet in backloggedMs_
    double backloggedMs_ = 0; // decays over backlogged time
    double finished_ = 0;     // decays likewise
    double serviceMs_;
};

/// Gives each refused caller a place in line: the first may return when room is expected, each further one a service time later.
/// So callers that keep to their Retry-After come back at the rate that can be served, not all at once. One for each plan.
class RetryScheduler
{
public:
    static constexpr Milliseconds maxRetryAfter{30'000}; // Retry-After never exceeds it; callers then return spread as they were refused

    [[nodiscard]] Milliseconds nextRetryAfter(Instant now, Milliseconds untilRoom, double perSecond);

private:
    double lastRetryMs_ = 0; // instant of the last place given out; fractions count at high rates
};

} // namespace baobabstall::admission
