#include <serving/loadexchange.h>

#include <algorithm>

namespace baobabstall::serving {

namespace {

void add(UpstreamLoads &sum, const UpstreamLoads &loads)
{
    for (const auto &[id, each] : loads) {
        auto &place = sum[id];
        place.running += each.running;
        place.prefillMs += each.prefillMs;
    }
}

} // namespace

std::vector<LoadReport> LoadExchange::tick(const UpstreamLoads &own, const std::vector<HostId> &members, const std::vector<HostId> &leaders, Instant now)
{
    std::vector<LoadReport> news;
    isLeader_ = !members.empty() && members.front() == ownHost_;
    lastOwnLoads_ = own;
    if (members.empty()) {
        return news;
    }
    if (!isLeader_) {
        news.push_back({members.front(), LoadScope::Host, own});
    }
    std::erase_if(hostLoads_, [now](const auto &each) { return now - each.second.receivedAt > reportLifetime; });
    std::erase_if(groupLoads_, [now](const auto &each) { return now - each.second.receivedAt > reportLifetime; });
    if (!isLeader_ && hostLoads_.empty()) {
        return news;
    }
    const auto group = sumLoads(hostLoads_, own, now); // also for hosts that believe this one to lead while it does not know
    if (isLeader_) {
        for (const auto &leader : leaders) {
            if (leader != ownHost_) {
                news.push_back({leader, LoadScope::Group, group});
            }
        }
    }
    const auto all = sumLoads(groupLoads_, group, now);
    for (const auto &[host, told] : hostLoads_) {
        news.push_back({host, LoadScope::All, all});
    }
    return news;
}

void LoadExchange::onReport(const HostId &from, LoadScope scope, UpstreamLoads loads, Instant now)
{
    for (auto &[id, each] : loads) {
        each.running = std::max(0, each.running);
        each.prefillMs = std::max(0, each.prefillMs);
    }
    switch (scope) {
    case LoadScope::Host:
        hostLoads_[from] = {std::move(loads), now};
        break;
    case LoadScope::Group:
        groupLoads_[from] = {std::move(loads), now};
        break;
    case LoadScope::All:
        totalLoads_ = {std::move(loads), now};
        break;
    }
}

std::optional<UpstreamLoads> LoadExchange::otherHostLoads(Instant now) const
{
    if (isLeader_) {
        return sumLoads(groupLoads_, sumLoads(hostLoads_, {}, now), now);
    }
    if (!totalLoads_ || now - totalLoads_->receivedAt > reportLifetime) {
        return std::nullopt;
    }
    auto others = totalLoads_->loads;
    for (const auto &[id, own] : lastOwnLoads_) {
        const auto place = others.find(id);
        if (place != others.end()) {
            place->second.running = std::max(0, place->second.running - own.running);
            place->second.prefillMs = std::max(0, place->second.prefillMs - own.prefillMs);
        }
    }
    return others;
}

UpstreamLoads LoadExchange::sumLoads(const std::map<HostId, ReceivedLoads> &told, UpstreamLoads sum, Instant now) const
{
    for (const auto &[host, each] : told) {
        if (now - each.receivedAt <= reportLifetime) {
            add(sum, each.loads);
        }
    }
    return sum;
}

} // namespace baobabstall::serving
