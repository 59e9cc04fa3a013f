#include <peers/peerclocks.h>

#include <algorithm>

namespace baobabstall::peers {

using core::HostId;
using core::Instant;

bool PeerClocks::isQueryDue(const HostId &host, Instant now)
{
    const auto [entry, isNew] = entries_.try_emplace(host);
    if (!isNew && now - entry->second.queriedAt < (entry->second.answeredAt ? queryInterval : retryInterval)) {
        return false;
    }
    entry->second.queriedAt = now;
    return true;
}

void PeerClocks::onAnswer(const HostId &host, Instant askedAt, Instant peerTime, Instant now)
{
    if (askedAt > now) {
        return; // not an answer to a query of this process
    }
    auto &entry = entries_[host];
    const auto lower = askedAt - peerTime;
    const auto upper = now - peerTime;
    const bool isBetter = !entry.answeredAt || lower >= entry.offset;
    const bool isOutdated = entry.answeredAt && (now - *entry.answeredAt > lifetime || entry.offset > upper); // or the peer's clock was set back
    if (isBetter || isOutdated) {
        entry.offset = lower;
        entry.answeredAt = now;
    }
}

std::optional<Instant> PeerClocks::earliest(const HostId &host, Instant peerTime, Instant now) const
{
    const auto found = entries_.find(host);
    if (found == entries_.end() || !found->second.answeredAt || now - *found->second.answeredAt > lifetime * 2) {
        return std::nullopt;
    }
    return std::min(now, peerTime + found->second.offset);
}

} // namespace baobabstall::peers
