// admission/rates.h: rate measurements for admission decisions: decaying counts, drain rate of a queue, retry times.
//
// Index
//   DecayingCount    a sum of events that halves every half-life
//   DrainRate        items per second that leave a queue while it is backlogged
//   RetryScheduler   spreads the Retry-After of refused callers at a rate that can be served
//
// All take the Instant of the event; instants must not decrease. Not thread-safe.
#pragma once

#include <core/types.h>

namespace baobabstall::admission {

using core::Instant;
using core::Milliseconds;

/// A sum that halves every half-life. A steady rate of r per second converges to r * halfLife / ln 2.
class DecayingCount
{
public:
    explicit DecayingCount(Milliseconds halfLife)
        : halfLife_(halfLife)
    { }

    void add(Instant now, double amount = 1);
    void raiseTo(Instant now, double minimum); // for a decaying maximum: raises the value to at least this
    [[nodiscard]] double value(Instant now) const;

private:
    Milliseconds halfLife_;
    Instant updatedAt_;
    double value_ = 0;
};

/// Items per second that leave a queue while it is backlogged. Time without a backlog does not count, so that a light load does
/// not look like a slow drain. With little backlogged time so far, the estimate is mostly concurrency / service time.
class DrainRate
{
public:
    DrainRate(int concurrency, Milliseconds typicalService); // items in service at once under backlog; service time assumed until measured

    void setBacklogged(Instant now, bool backlogged);                        // when the queue becomes non-empty, and when it becomes empty
    void onFinish(Instant now, Milliseconds took);                           // one item finished; `took` excludes its wait
    [[nodiscard]] double perSecond(Instant now) const;                       // above 0
    [[nodiscard]] Milliseconds timeToDrain(double items, Instant now) const; // until this many items have left
    [[nodiscard]] Milliseconds meanServiceTime() const { return Milliseconds(static_cast<std::int64_t>(serviceMs_)); } // mean of recent items

private:
    [[nodiscard]] double backloggedMs(Instant now) const;
    void decayTo(Instant now);

    int concurrency_;
    bool backlogged_ = false;
    Instant updatedAt_;       // start of the backlogged time not yet in backloggedMs_
    double backloggedMs_ = 0; // decays with backlogged time
    double finished_ = 0;     // items finished under backlog; decays with backlogged time
    double serviceMs_;
};

/// Gives each refused caller its own retry time: the first when capacity is expected, each further one 1 / rate later.
/// Callers that respect Retry-After then come back at the rate that can be served, not all at once. One per plan.
class RetryScheduler
{
public:
    static constexpr Milliseconds maxRetryAfter{30'000}; // upper limit of Retry-After; callers beyond it return spread as they were refused

    [[nodiscard]] Milliseconds nextRetryAfter(Instant now, Milliseconds untilCapacity, double perSecond);

private:
    double lastRetryMs_ = 0; // last retry time given out, as an instant; a double, since fractions of a ms matter at high rates
};

} // namespace baobabstall::admission
