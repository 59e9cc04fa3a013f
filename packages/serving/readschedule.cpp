#include <serving/readschedule.h>

#include <algorithm>

namespace baobabstall::serving {

namespace {

constexpr int percent = 100;
constexpr int waitPercent = 45;         // of the bound: a long-polling read can miss a record, which the next read then returns
constexpr Milliseconds waitMargin{100}; // for the response of a long-polling read to reach the hosts that share it

} // namespace

FollowOptions optionsWithin(Milliseconds bound)
{
    const auto wait = bound * waitPercent / percent;
    return {.wait = wait, .pause = wait + waitMargin, .standbyRetry = bound, .retryBound = bound};
}

void ReadSchedule::onReadBegun(Instant now)
{
    isReadRequested_ = false;
    begunAt_ = now;
}

void ReadSchedule::onRead(Instant now, bool hasRecords)
{
    consecutiveFailures_ = 0;
    readAt_ = now;
    endedAt_ = now;
    isLastPageEmpty_ = !hasRecords;
}

void ReadSchedule::onReadFailed(Instant now, bool isKnown)
{
    ++consecutiveFailures_;
    endedAt_ = now;
    isKnown_ = isKnown;
    readAtOfFailure_ = readAt_;
}

Milliseconds ReadSchedule::retryDelay() const
{
    constexpr int maxDoublings = 6;
    const bool isStandby = readDelay_.count() > 0 && isKnown_;
    const auto first = isStandby ? maxRetryDelay : minRetryDelay;
    const auto longest = isStandby ? std::max(maxRetryDelay, options_.standbyRetry) : maxRetryDelay;
    return std::min(longest, first * (std::int64_t(1) << std::clamp(consecutiveFailures_ - 1, 0, maxDoublings)));
}

Instant ReadSchedule::nextRetry() const
{
    const auto retry = endedAt_ + retryDelay() + readDelay_; // the host that reads first also retries first
    const bool isBounded = options_.retryBound.count() > 0;
    return isBounded ? std::min(retry, std::max(endedAt_ + minRetryDelay, begunAt_ + options_.retryBound)) : retry;
}

Instant ReadSchedule::nextRead() const
{
    if (isReadRequested_) {
        return {};
    }
    if (isRetrying()) {
        return nextRetry();
    }
    if (isUrgent_) {
        return endedAt_ + urgentReadInterval;
    }
    const bool readsFirst = readDelay_.count() == 0 && options_.wait.count() > 0; // the store paces the reads by holding them open
    const auto batchDelay = isLastPageEmpty_ ? Milliseconds(0) : options_.gather;
    return readAt_ + (readsFirst ? batchDelay : options_.pause + readDelay_);
}

} // namespace baobabstall::serving
