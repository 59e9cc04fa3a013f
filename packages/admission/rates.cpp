#include <admission/rates.h>

#include <algorithm>
#include <cmath>

namespace baobabstall::admission {

namespace {

constexpr double msPerSecond = 1'000;
constexpr double drainHalfLifeMs = 5'000; // in backlogged time
constexpr double priorMs = 1'000;         // backlogged time at which measured and expected rate have equal weight
constexpr double serviceWeight = 0.1;     // of the newest item in the mean service time
constexpr double maxWaitMs = 86'400'000;  // longest wait reported: a day
constexpr double minPerSecond = 0.01;     // keeps the wait finite when the queue does not drain

double decayed(double value, double elapsedMs, double halfLifeMs)
{
    return value * std::exp2(-elapsedMs / halfLifeMs);
}

double toMs(Milliseconds time)
{
    return static_cast<double>(time.count());
}

} // namespace

void DecayingCount::add(Instant now, double amount)
{
    value_ = value(now) + amount;
    updatedAt_ = now;
}

void DecayingCount::raiseTo(Instant now, double minimum)
{
    value_ = std::max(value(now), minimum);
    updatedAt_ = now;
}

double DecayingCount::value(Instant now) const
{
    return decayed(value_, toMs(now - updatedAt_), toMs(halfLife_));
}

DrainRate::DrainRate(int concurrency, Milliseconds typicalService)
    : concurrency_(concurrency)
    , serviceMs_(toMs(typicalService))
{ }

void DrainRate::setBacklogged(Instant now, bool backlogged)
{
    decayTo(now);
    backlogged_ = backlogged;
}

void DrainRate::onFinish(Instant now, Milliseconds took)
{
    decayTo(now);
    if (backlogged_) {
        finished_ += 1;
    }
    serviceMs_ += serviceWeight * (toMs(took) - serviceMs_);
}

double DrainRate::perSecond(Instant now) const
{
    const double expected = concurrency_ * msPerSecond / std::max(serviceMs_, 1.0);
    const double elapsedMs = backlogged_ ? toMs(now - updatedAt_) : 0;
    const double finished = decayed(finished_, elapsedMs, drainHalfLifeMs);
    const double rate = (finished * msPerSecond + expected * priorMs) / (backloggedMs(now) + priorMs);
    return std::max(rate, minPerSecond);
}

Milliseconds DrainRate::timeToDrain(double items, Instant now) const
{
    return Milliseconds(std::llround(std::ceil(std::min(items * msPerSecond / perSecond(now), maxWaitMs))));
}

double DrainRate::backloggedMs(Instant now) const
{
    const double elapsedMs = backlogged_ ? toMs(now - updatedAt_) : 0;
    return decayed(backloggedMs_, elapsedMs, drainHalfLifeMs) + elapsedMs;
}

void DrainRate::decayTo(Instant now)
{
    const double elapsedMs = backlogged_ ? toMs(now - updatedAt_) : 0;
    finished_ = decayed(finished_, elapsedMs, drainHalfLifeMs);
    backloggedMs_ = decayed(backloggedMs_, elapsedMs, drainHalfLifeMs) + elapsedMs;
    updatedAt_ = now;
}

Milliseconds RetryScheduler::nextRetryAfter(Instant now, Milliseconds untilCapacity, double perSecond)
{
    const auto nowMs = static_cast<double>(now.sinceOrigin());
    const double earliest = nowMs + toMs(untilCapacity);
    const double latest = nowMs + toMs(maxRetryAfter);
    lastRetryMs_ = std::clamp(lastRetryMs_ + msPerSecond / perSecond, std::min(earliest, latest), latest);
    return Milliseconds(std::llround(std::ceil(lastRetryMs_ - nowMs)));
}

} // namespace baobabstall::admission
