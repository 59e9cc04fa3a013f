#include <serving/sendrate.h>

#include <algorithm>
#include <cmath>

namespace baobabstall::serving {

namespace {

constexpr double msPerSecond = 1'000;

} // namespace

SendPermit SendRate::request(const UpstreamLimits::Limit &limit, Milliseconds maxWait, Instant now)
{
    if (isEnded(limit)) {
        return {.isLimited = false};
    }
    endedAt_.reset();
    refill(now);
    if (!limit_ || limit.namedAt >= limit_->namedAt) {
        limit_ = {std::max(limit.perSecond, minPerSecond), limit.namedAt, std::nullopt};
    }
    const double missing = std::max(0.0, 1 - permits_);
    const Milliseconds wait(static_cast<std::int64_t>(std::ceil(missing * msPerSecond / limit_->perSecond)));
    if (wait > maxWait) {
        return {.wait = wait};
    }
    permits_ -= 1;
    return {.isGranted = true, .wait = wait};
}

void SendRate::onLimitEnded(Instant now)
{
    limit_.reset();
    endedAt_ = now;
    permits_ = 0;
}

void SendRate::refill(Instant now)
{
    if (limit_) {
        const double maxPermits = std::max(1.0, limit_->perSecond * burstSeconds);
        permits_ = std::min(maxPermits, permits_ + static_cast<double>((now - refilledAt_).count()) * limit_->perSecond / msPerSecond);
    }
    refilledAt_ = now;
}

} // namespace baobabstall::serving
