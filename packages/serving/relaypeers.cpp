#include <serving/relaypeers.h>

#include <algorithm>

#include <core/hash.h>

namespace baobabstall::serving {

void RelayPeers::setHosts(const std::vector<GroupedHost> &hosts, std::vector<HostId> leaving)
{
    peers_ = hosts;
    leaving_ = std::move(leaving);
    std::erase_if(peers_, [this](const GroupedHost &each) { return each.host == ownHost_; });
    const auto rank = [this](const GroupedHost &each) { return core::hashText(ownHost_.value() + " " + each.host.value(), 0); };
    std::sort(peers_.begin(), peers_.end(), [&](const GroupedHost &a, const GroupedHost &b) { return rank(a) < rank(b); });
    next_ = 0;
    std::erase_if(pausedUntil_, [this](const auto &each) { return !isLive(each.first); });
}

std::optional<HostId> RelayPeers::pick(const Wanted &wanted, Instant now)
{
    std::optional<std::size_t> best;
    int bestScore = 0;
    for (std::size_t step = 0; step < peers_.size(); ++step) {
        const auto place = (next_ + step) % peers_.size();
        const auto &[host, zone, linkMbps] = peers_[place];
        const auto pause = pausedUntil_.find(host);
        const bool isExcluded = std::find(wanted.excluded.begin(), wanted.excluded.end(), host) != wanted.excluded.end();
        if (isExcluded || (pause != pausedUntil_.end() && now < pause->second) || !wanted.reaches(host)) {
            continue;
        }
        const int score = inFlight(host) + (zone == ownZone_ ? 0 : farPenalty) + (wanted.isLinked(host) ? 0 : unlinkedPenalty);
        if (!best || score < bestScore) {
            best = place;
            bestScore = score;
        }
    }
    if (!best) {
        return std::nullopt;
    }
    next_ = (*best + 1) % peers_.size();
    return peers_[*best].host;
}

bool RelayPeers::isLive(const HostId &host) const
{
    return std::any_of(peers_.begin(), peers_.end(), [&](const GroupedHost &each) { return each.host == host; })
        || std::find(leaving_.begin(), leaving_.end(), host) != leaving_.end();
}

void RelayPeers::onRefused(const HostId &host, std::optional<Milliseconds> retryAfter, Instant now)
{
    pausedUntil_[host] = now + std::min(maxRefusalPause, retryAfter.value_or(refusalPause));
}

void RelayPeers::onLost(const HostId &host, Instant now)
{
    pausedUntil_[host] = now + lossPause;
}

int RelayPeers::inFlight(const HostId &host) const
{
    const auto found = inFlight_.find(host);
    return found == inFlight_.end() ? 0 : found->second;
}

std::string_view RelayGate::refusal(const RelayLoad &load, std::size_t bytes) const
{
    constexpr double bytesPerMbitMs = 125;
    const auto maxBytes
        = load.linkMbps > 0 ? static_cast<std::size_t>(load.linkMbps * bytesPerMbitMs * static_cast<double>(linkTime.count())) : unknownLinkBytes;
    if (load.isStopping) {
        return reasonStopping;
    }
    if (!load.isConfigured) {
        return reasonNotReady;
    }
    if (load.isCutOff) {
        return reasonCutOff;
    }
    if (requests_ >= maxRequests) {
        return reasonCount;
    }
    if (bytes_ > 0 && bytes_ + bytes > maxBytes) {
        return reasonBytes;
    }
    return lateness_ > maxLateness ? reasonLate : std::string_view();
}

void RelayGate::onTick(Milliseconds interval, Instant now)
{
    const auto late = lastTick_ ? std::max(Milliseconds(0), now - *lastTick_ - interval) : Milliseconds(0);
    lateness_ = std::max(late, lateness_ / 2);
    lastTick_ = now;
}

} // namespace baobabstall::serving
