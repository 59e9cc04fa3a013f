#include <serving/upstreamlimits.h>

#include <algorithm>

namespace baobabstall::serving {

UpstreamLimits::Change UpstreamLimits::onAnswer(const UpstreamId &id, std::optional<double> perSecond, Instant now)
{
    const auto found = entries_.find(id);
    if (!perSecond) {
        const bool isEnded = found != entries_.end() && now - found->second.limit.namedAt >= minDuration;
        if (isEnded) {
            entries_.erase(found);
        }
        return isEnded ? Change::Ended : Change::None;
    }
    if (found == entries_.end()) {
        entries_[id].limit = {*perSecond, now};
        return Change::Begun;
    }
    const bool isChanged = found->second.limit.perSecond != *perSecond;
    found->second.limit = {*perSecond, now};
    return isChanged ? Change::Changed : Change::None;
}

void UpstreamLimits::end(const UpstreamId &id)
{
    entries_.erase(id);
}

std::optional<UpstreamLimits::Limit> UpstreamLimits::find(const UpstreamId &id) const
{
    const auto found = entries_.find(id);
    return found == entries_.end() ? std::nullopt : std::optional(found->second.limit);
}

void UpstreamLimits::block(const UpstreamId &id, Instant until)
{
    if (const auto found = entries_.find(id); found != entries_.end()) {
        found->second.blockedUntil = std::max(found->second.blockedUntil, until);
    }
}

Milliseconds UpstreamLimits::remainingBlock(const UpstreamId &id, Instant now) const
{
    const auto found = entries_.find(id);
    return found == entries_.end() ? Milliseconds(0) : std::max(Milliseconds(0), found->second.blockedUntil - now);
}

} // namespace baobabstall::serving
