#include <quotas/ownerchoice.h>

#include <algorithm>

#include <core/hash.h>

namespace baobabstall::quotas {

std::optional<HostId> OwnerChoice::choose(const std::optional<Named> &named, Instant now, const std::function<std::vector<HostId>()> &hosts)
{
    if (named && named != named_) {
        named_ = named;
        moveTo(named->host, now);
    } else if (named && asked_ != named->host && now - movedAt_ >= returnAfter) {
        moveTo(named->host, now);
    } else if (now - heardAt_ > patience(named)) {
        const auto candidates = order(hosts());
        const auto place = asked_ ? std::find(candidates.begin(), candidates.end(), *asked_) : candidates.end();
        const auto next = place == candidates.end() || std::next(place) == candidates.end() ? candidates.begin() : std::next(place);
        moveTo(next == candidates.end() ? std::nullopt : std::optional(*next), now);
    }
    return asked_;
}

Milliseconds OwnerChoice::patience(const std::optional<Named> &named) const
{
    if (!asked_) {
        return firstWait;
    }
    return named && asked_ == named->host ? silentAfter : standInAfter;
}

/// The owner that was named last, then the stand-ins.
std::vector<HostId> OwnerChoice::order(std::vector<HostId> hosts) const
{
    const auto weightOf = [this](const HostId &host) { return core::rendezvousWeight(key_, host.value()); };
    const auto count = std::min(hosts.size(), maxStandIns + 1); // one may be the named owner
    std::partial_sort(hosts.begin(), hosts.begin() + static_cast<std::ptrdiff_t>(count), hosts.end(), [&](const HostId &a, const HostId &b) {
        return weightOf(a) > weightOf(b);
    });
    hosts.resize(count);
    if (named_) {
        std::erase(hosts, named_->host);
        hosts.insert(hosts.begin(), named_->host);
    }
    return hosts;
}

void OwnerChoice::moveTo(std::optional<HostId> host, Instant now)
{
    asked_ = std::move(host);
    heardAt_ = movedAt_ = now;
}

} // namespace baobabstall::quotas
