#include <serving/hostgroups.h>

#include <algorithm>
#include <tuple>

#include <core/hash.h>

namespace baobabstall::serving {

namespace {

/// Those who are to lead first.
std::vector<GroupedHost> ranked(std::vector<GroupedHost> hosts, std::string_view purpose)
{
    const auto weight = [&](const GroupedHost &each) { return std::tuple(each.linkMbps, core::rendezvousWeight(purpose, each.host.value()), each.host); };
    std::sort(hosts.begin(), hosts.end(), [&](const auto &a, const auto &b) { return weight(a) > weight(b); });
    return hosts;
}

std::vector<HostId> namesOf(const std::vector<GroupedHost> &hosts)
{
    std::vector<HostId> names;
    names.reserve(hosts.size());
    for (const auto &each : hosts) {
        names.push_back(each.host);
    }
    return names;
}

} // namespace

Milliseconds staggerDelay(std::size_t count, Milliseconds each, std::string_view what)
{
    const auto spread = static_cast<std::uint64_t>(each.count()) * std::max<std::size_t>(1, count);
    return Milliseconds(static_cast<std::int64_t>(core::hashText(what, 0) % spread));
}

void HostGroups::assign(std::vector<GroupedHost> hosts, const HostId &own)
{
    const bool isSmall = hosts.size() <= maxSingleGroupHosts;
    const auto zoneOf = [&](const GroupedHost &each) { return isSmall ? ZoneId() : each.zone; };
    std::sort(hosts.begin(), hosts.end(), [&](const auto &a, const auto &b) { return std::tuple(zoneOf(a), a.host) < std::tuple(zoneOf(b), b.host); });
    groups_.clear();
    for (auto begin = hosts.begin(); begin != hosts.end();) {
        const auto end = std::find_if(begin, hosts.end(), [&](const auto &each) { return zoneOf(each) != zoneOf(*begin); });
        const auto size = static_cast<std::size_t>(end - begin);
        const auto parts = (size + maxGroupSize - 1) / maxGroupSize;
        for (std::size_t part = 0; part < parts; ++part) { // of nearly one size
            const auto from = static_cast<std::ptrdiff_t>(size * part / parts);
            const auto to = static_cast<std::ptrdiff_t>(size * (part + 1) / parts);
            groups_.emplace_back(begin + from, begin + to);
        }
        begin = end;
    }
    const auto isOwn = [&](const Group &group) { return std::any_of(group.begin(), group.end(), [&](const auto &each) { return each.host == own; }); };
    ownGroup_ = static_cast<std::size_t>(std::find_if(groups_.begin(), groups_.end(), isOwn) - groups_.begin());
}

std::vector<HostId> HostGroups::members(std::string_view purpose) const
{
    return ownGroup_ == groups_.size() ? std::vector<HostId>() : namesOf(ranked(groups_[ownGroup_], purpose));
}

std::vector<HostId> HostGroups::leaders(std::string_view purpose) const
{
    std::vector<GroupedHost> first;
    for (const auto &group : groups_) {
        first.push_back(ranked(group, purpose).front());
    }
    return namesOf(ranked(std::move(first), purpose));
}

Milliseconds HostGroups::failoverDelay(const HostId &host, std::string_view purpose) const
{
    const auto first = leaders(purpose);
    const auto group = members(purpose);
    const auto leader = std::find(first.begin(), first.end(), host) - first.begin();
    const auto member = std::find(group.begin(), group.end(), host) - group.begin();
    const auto turn = leaderDelayStep * std::min<std::int64_t>(leader, maxLeaderSteps); // of a member: as if it came after all leaders
    return leader < static_cast<std::ptrdiff_t>(first.size()) ? turn : turn + memberDelayStep * member;
}

bool HostGroups::isMember(const HostId &host) const
{
    return ownGroup_ < groups_.size() && std::any_of(groups_[ownGroup_].begin(), groups_[ownGroup_].end(), [&](const auto &each) { return each.host == host; });
}

} // namespace baobabstall::serving
