#include <serving/hostgroups.h>

#include <algorithm>
#include <numeric>
#include <tuple>

#include <core/hash.h>

namespace baobabstall::serving {

namespace {

/// Sorted by preference as a leader, best first.
std::vector<GroupedHost> ranked(std::vector<GroupedHost> hosts, std::string_view purpose)
{
    const auto preference
        = [&](const GroupedHost &member) { return std::tuple(member.linkMbps, core::rendezvousWeight(purpose, member.host.value()), member.host); };
    std::sort(hosts.begin(), hosts.end(), [&](const auto &a, const auto &b) { return preference(a) > preference(b); });
    return hosts;
}

std::vector<HostId> idsOf(const std::vector<GroupedHost> &hosts)
{
    std::vector<HostId> ids;
    ids.reserve(hosts.size());
    for (const auto &member : hosts) {
        ids.push_back(member.host);
    }
    return ids;
}

} // namespace

Milliseconds staggerDelay(std::size_t count, Milliseconds slot, std::string_view key)
{
    const auto range = static_cast<std::uint64_t>(slot.count()) * std::max<std::size_t>(1, count);
    return Milliseconds(static_cast<std::int64_t>(core::hashText(key, 0) % range));
}

void HostGroups::assign(std::vector<GroupedHost> hosts, const HostId &ownHost)
{
    const bool isSingleGroup = hosts.size() <= maxSingleGroupHosts;
    const auto zoneOf = [&](const GroupedHost &member) { return isSingleGroup ? ZoneId() : member.zone; };
    std::sort(hosts.begin(), hosts.end(), [&](const auto &a, const auto &b) { return std::tuple(zoneOf(a), a.host) < std::tuple(zoneOf(b), b.host); });
    ownHost_ = ownHost;
    rankings_.clear();
    groups_.clear();
    for (auto begin = hosts.begin(); begin != hosts.end();) {
        const auto end = std::find_if(begin, hosts.end(), [&](const auto &member) { return zoneOf(member) != zoneOf(*begin); });
        const auto size = static_cast<std::size_t>(end - begin);
        const auto partCount = (size + maxGroupSize - 1) / maxGroupSize;
        for (std::size_t part = 0; part < partCount; ++part) { // of nearly equal size
            const auto from = static_cast<std::ptrdiff_t>(size * part / partCount);
            const auto to = static_cast<std::ptrdiff_t>(size * (part + 1) / partCount);
            groups_.emplace_back(begin + from, begin + to);
        }
        begin = end;
    }
    const auto isOwn = [&](const Group &group) { return std::any_of(group.begin(), group.end(), [&](const auto &member) { return member.host == ownHost; }); };
    ownGroup_ = static_cast<std::size_t>(std::find_if(groups_.begin(), groups_.end(), isOwn) - groups_.begin());
}

const HostGroups::Ranking &HostGroups::ranking(std::string_view purpose) const
{
    if (const auto known = rankings_.find(purpose); known != rankings_.end()) {
        return known->second;
    }
    if (rankings_.size() == maxRankings) {
        rankings_.clear();
    }
    Ranking ranking;
    std::vector<GroupedHost> allLeaders;
    for (std::size_t i = 0; i < groups_.size(); ++i) {
        const auto group = ranked(groups_[i], purpose);
        allLeaders.push_back(group.front());
        if (i == ownGroup_) {
            ranking.members = idsOf(group);
        }
    }
    ranking.leaders = idsOf(ranked(std::move(allLeaders), purpose));
    return rankings_.emplace(purpose, std::move(ranking)).first->second;
}

std::vector<HostId> HostGroups::spread(std::string_view key, std::size_t count) const
{
    using Ranked = std::pair<std::uint64_t, const GroupedHost *>;
    std::vector<Ranked> hosts;
    for (const auto &group : groups_) {
        for (const auto &host : group) {
            hosts.emplace_back(core::rendezvousWeight(key, host.host.value()), &host);
        }
    }
    std::sort(hosts.begin(), hosts.end(), [](const Ranked &a, const Ranked &b) { return a.first > b.first; });
    std::map<ZoneId, std::size_t> taken; // of each zone
    std::vector<std::pair<std::size_t, HostId>> rounds;
    rounds.reserve(hosts.size());
    for (const auto &[weight, host] : hosts) {
        rounds.emplace_back(taken[host->zone]++, host->host);
    }
    std::stable_sort(rounds.begin(), rounds.end(), [](const auto &a, const auto &b) { return a.first < b.first; });
    std::vector<HostId> spread;
    for (std::size_t i = 0; i < std::min(count, rounds.size()); ++i) {
        spread.push_back(rounds[i].second);
    }
    return spread;
}

Milliseconds HostGroups::failoverDelay(const HostId &host, std::string_view purpose) const
{
    const auto &allLeaders = leaders(purpose);
    const auto &group = members(purpose);
    const auto leader = std::find(allLeaders.begin(), allLeaders.end(), host) - allLeaders.begin();
    const auto member = std::find(group.begin(), group.end(), host) - group.begin();
    const auto delay = leaderDelayStep * std::min<std::int64_t>(leader, maxLeaderSteps); // a member counts as placed after all leaders
    return leader < static_cast<std::ptrdiff_t>(allLeaders.size()) ? delay : delay + memberDelayStep * member;
}

Milliseconds HostGroups::longestFailoverDelay() const
{
    std::size_t largest = 1;
    for (const auto &group : groups_) {
        largest = std::max(largest, group.size());
    }
    return leaderDelayStep * std::min<std::int64_t>(static_cast<std::int64_t>(groups_.size()), maxLeaderSteps)
        + memberDelayStep * static_cast<std::int64_t>(largest - 1);
}

double HostGroups::slowestLinkMbps() const
{
    double slowest = 0;
    for (const auto &group : groups_) {
        for (const auto &host : group) {
            if (host.linkMbps > 0 && (slowest == 0 || host.linkMbps < slowest)) {
                slowest = host.linkMbps;
            }
        }
    }
    return slowest;
}

std::vector<HostId> HostGroups::shareTargets(std::string_view purpose) const
{
    auto targets = members(purpose);
    if (isLeader(targets)) {
        const auto &others = leaders(purpose);
        targets.insert(targets.end(), others.begin(), others.end());
    }
    std::erase(targets, ownHost_);
    return targets;
}

std::vector<HostId> HostGroups::forwardTargets(const HostId &from, std::string_view purpose) const
{
    auto targets = members(purpose);
    if (isMember(from) || !isLeader(targets)) {
        return {};
    }
    std::erase(targets, ownHost_);
    return targets;
}

std::size_t HostGroups::size() const
{
    return std::accumulate(groups_.begin(), groups_.end(), std::size_t(0), [](std::size_t sum, const Group &group) { return sum + group.size(); });
}

bool HostGroups::isMember(const HostId &host) const
{
    return ownGroup_ < groups_.size()
        && std::any_of(groups_[ownGroup_].begin(), groups_[ownGroup_].end(), [&](const auto &member) { return member.host == host; });
}

} // namespace baobabstall::serving
