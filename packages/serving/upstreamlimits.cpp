#include <serving/upstreamlimits.h>

#include <algorithm>

namespace baobabstall::serving {

UpstreamLimits::Change UpstreamLimits::onAnswer(const UpstreamId &id, std::optional<double> perSecond, Instant now, std::optional<double> maxRefusals)
{
    heard_.insert(id);
    const auto found = entries_.find(id);
    if (!perSecond && !maxRefusals) {
        const bool isEnded = found != entries_.end() && now - found->second.limit.namedAt >= minDuration;
        if (isEnded) {
            end(id, now);
        }
        return isEnded ? Change::Ended : Change::None;
    }
    auto &entry = entries_[id];
    const auto before = entry.limit;
    entry.limit.namedAt = now;
    if (perSecond) {
        entry.limit.perSecond = std::min(*perSecond, unlimited);
        entry.rateNamedAt = now;
    } else if (now - entry.rateNamedAt >= minDuration) {
        entry.limit.perSecond = unlimited;
    }
    if (maxRefusals) {
        setRefusals(entry, maxRefusals);
        entry.brittleNamedAt = now;
    } else if (now - entry.brittleNamedAt >= minDuration) {
        setRefusals(entry, std::nullopt);
    }
    if (found == entries_.end()) {
        return Change::Begun;
    }
    return before.perSecond != entry.limit.perSecond || before.maxRefusals != entry.limit.maxRefusals ? Change::Changed : Change::None;
}

UpstreamLimits::Change UpstreamLimits::onNotice(const UpstreamId &id, double maxRefusals, Instant namedAt)
{
    const auto ended = endedAt(id);
    const auto found = entries_.find(id);
    const bool isKnown = found != entries_.end() && found->second.limit.maxRefusals && found->second.brittleNamedAt >= namedAt;
    if ((ended && *ended >= namedAt) || isKnown) {
        return Change::None;
    }
    heard_.insert(id);
    auto &entry = entries_[id];
    const auto before = entry.limit.maxRefusals;
    setRefusals(entry, maxRefusals);
    entry.brittleNamedAt = namedAt;
    entry.limit.namedAt = std::max(entry.limit.namedAt, namedAt);
    if (found == entries_.end()) {
        return Change::Begun;
    }
    return before != entry.limit.maxRefusals ? Change::Changed : Change::None;
}

void UpstreamLimits::setRefusals(Entry &entry, std::optional<double> maxRefusals)
{
    brittle_ += maxRefusals ? 1 : 0;
    brittle_ -= entry.limit.maxRefusals ? 1 : 0;
    entry.limit.maxRefusals = maxRefusals;
}

void UpstreamLimits::erase(std::map<UpstreamId, Entry>::iterator entry)
{
    setRefusals(entry->second, std::nullopt);
    entries_.erase(entry);
}

void UpstreamLimits::end(const UpstreamId &id, Instant now)
{
    if (const auto found = entries_.find(id); found != entries_.end()) {
        erase(found);
    }
    endedAt_[id] = now;
}

void UpstreamLimits::restart(const UpstreamId &id)
{
    heard_.erase(id);
    const auto found = entries_.find(id);
    if (found != entries_.end() && !found->second.limit.maxRefusals) {
        erase(found);
    } else if (found != entries_.end()) {
        found->second.limit.perSecond = unlimited;
        found->second.blockedUntil = {};
    }
}

void UpstreamLimits::remove(const UpstreamId &id)
{
    if (const auto found = entries_.find(id); found != entries_.end()) {
        erase(found);
    }
    endedAt_.erase(id);
    heard_.erase(id);
}

std::optional<UpstreamLimits::Limit> UpstreamLimits::find(const UpstreamId &id) const
{
    const auto found = entries_.find(id);
    return found == entries_.end() ? std::nullopt : std::optional(found->second.limit);
}

bool UpstreamLimits::isRateLimited(const UpstreamId &id) const
{
    const auto found = entries_.find(id);
    return found != entries_.end() && found->second.limit.isRate();
}

std::optional<Instant> UpstreamLimits::endedAt(const UpstreamId &id) const
{
    const auto found = endedAt_.find(id);
    return found == endedAt_.end() ? std::nullopt : std::optional(found->second);
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
