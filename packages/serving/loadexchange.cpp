#include <serving/loadexchange.h>

#include <algorithm>

namespace baobabstall::serving {

namespace {

void addLoads(UpstreamLoads &sum, const UpstreamLoads &loads)
{
    for (const auto &[id, load] : loads) {
        auto &total = sum[id];
        total.running += load.running;
        total.prefillMs += load.prefillMs;
    }
}

} // namespace

std::vector<LoadReport> LoadExchange::tick(const UpstreamLoads &ownLoads, const std::vector<HostId> &members, const std::vector<HostId> &leaders, Instant now)
{
    std::vector<LoadReport> reports;
    isLeader_ = !members.empty() && members.front() == ownHost_;
    lastOwnLoads_ = ownLoads;
    if (members.empty()) {
        return reports;
    }
    if (!isLeader_) {
        reports.push_back({members.front(), LoadScope::Host, ownLoads});
    }
    std::erase_if(hostLoads_, [now](const auto &entry) { return now - entry.second.receivedAt > reportLifetime; });
    std::erase_if(groupLoads_, [now](const auto &entry) { return now - entry.second.receivedAt > reportLifetime; });
    if (!isLeader_ && hostLoads_.empty()) {
        return reports;
    }
    const auto groupTotal = sumLoads(hostLoads_, ownLoads, now); // also sent to hosts that already consider this one their leader
    if (isLeader_) {
        for (const auto &leader : leaders) {
            if (leader != ownHost_) {
                reports.push_back({leader, LoadScope::Group, groupTotal});
            }
        }
    }
    const auto total = sumLoads(groupLoads_, groupTotal, now);
    for (const auto &[host, received] : hostLoads_) {
        reports.push_back({host, LoadScope::All, total});
    }
    return reports;
}

void LoadExchange::onReport(const HostId &from, LoadScope scope, UpstreamLoads loads, Instant now)
{
    for (auto &[id, load] : loads) {
        load.running = std::max(0, load.running);
        load.prefillMs = std::max(0, load.prefillMs);
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
    auto loads = totalLoads_->loads;
    for (const auto &[id, own] : lastOwnLoads_) {
        const auto found = loads.find(id);
        if (found != loads.end()) {
            found->second.running = std::max(0, found->second.running - own.running);
            found->second.prefillMs = std::max(0, found->second.prefillMs - own.prefillMs);
        }
    }
    return loads;
}

UpstreamLoads LoadExchange::sumLoads(const std::map<HostId, ReceivedLoads> &received, UpstreamLoads sum, Instant now) const
{
    for (const auto &[host, report] : received) {
        if (now - report.receivedAt <= reportLifetime) {
            addLoads(sum, report.loads);
        }
    }
    return sum;
}

} // namespace baobabstall::serving
