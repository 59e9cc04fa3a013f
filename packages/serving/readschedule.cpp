#include <serving/readschedule.h>

#include <algorithm>

namespace baobabstall::serving {

namespace {

constexpr Milliseconds pageMargin{100}; // for a page to reach the hosts that share it
constexpr Milliseconds readMargin{150}; // for a read of the store at a busy host
constexpr Milliseconds minWait{100};

} // namespace

ReadSchedule::ReadSchedule(FollowOptions options)
    : options_(options)
{
    setTurn(Milliseconds(0), Milliseconds(0));
}

void ReadSchedule::setTurn(Milliseconds readDelay, Milliseconds longestTurn, double slowestLinkMbps)
{
    readDelay_ = readDelay;
    longestTurn_ = longestTurn;
    slowestLinkMbps_ = slowestLinkMbps;
    applyBound();
}

void ReadSchedule::setFirstTurn(Milliseconds readDelay, Milliseconds spread, double linkMbps)
{
    // Reads that no other host's page stands in for: half of the bound is left for a read that finds a backlog, and for its records.
    setTurn(readDelay, spread + options_.bound / 2, linkMbps);
}

/// A record that was appended right after a read began comes with the page of the next read. A host that gets neither page reads after its
/// turn, also the last one, within the bound, and the transfer of what it reads fits in as well.
void ReadSchedule::applyBound()
{
    if (options_.bound.count() == 0) {
        return;
    }
    constexpr double bitsPerByte = 8;
    constexpr double bitsPerMsAndMbps = 1'000;
    const double transferMs = slowestLinkMbps_ > 0 ? static_cast<double>(largestBacklogBytes_) * bitsPerByte / (slowestLinkMbps_ * bitsPerMsAndMbps) : 0;
    const auto transfer = std::min(options_.bound, Milliseconds(static_cast<std::int64_t>(transferMs)));
    options_.wait = std::max(minWait, (options_.bound - longestTurn_ - pageMargin - readMargin - transfer) / 2);
    options_.pause = options_.wait * 2 + pageMargin;
}

void ReadSchedule::onReadBegun(Instant now)
{
    isReadRequested_ = false;
    catchUpAt_.reset();
    begunAt_ = now;
}

void ReadSchedule::onRead(Instant now, PageExtent extent, std::size_t bytes)
{
    consecutiveFailures_ = 0;
    readAt_ = std::max(readAt_, begunAt_);
    endedAt_ = now;
    lastExtent_ = extent;
    bytesInARow_ += bytes;
    if (extent != PageExtent::Cut) {
        bytesInARow_ = 0;
    } else if (bytesInARow_ + maxPageBytes > largestBacklogBytes_) {
        largestBacklogBytes_ = bytesInARow_ + maxPageBytes;
        applyBound();
    }
    isReadRequested_ = isReadRequested_ || extent == PageExtent::Cut;
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
    if (catchUpAt_) {
        // Another host reaches the store.
        return std::min(retry, std::max(endedAt_ + maxRetryDelay, *catchUpAt_));
    }
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
    const auto batchDelay = lastExtent_ == PageExtent::Empty ? Milliseconds(0) : options_.gather;
    const auto regular = readsFirst ? endedAt_ + batchDelay : readAt_ + options_.pause + readDelay_;
    return catchUpAt_ ? std::min(regular, *catchUpAt_) : regular;
}

} // namespace baobabstall::serving
