// serving/hostgroups.h: who does common work for whom. No I/O.
//
//   HostGroups groups;
//   groups.assign(hosts, own);                   // at each change of who lives
//   groups.members("load").front() == own        // this host leads its group for that purpose
//   groups.leaders("load")                       // of all groups, the first of all in front
//   sleep(turnAmong(hosts, each, id));           // before what all may do at once
//
// Hosts of one zone form a group, so that news crosses zones once; a large zone has several, and a small deployment has one.
// The host with the widest link leads, for each purpose another one where several are alike. All hosts that know the same
// hosts come to the same groups.
#pragma once

#include <string_view>
#include <vector>

#include <serving/model.h>

namespace baobabstall::serving {

struct GroupedHost {
    HostId host;
    ZoneId zone;
    double linkMbps = 0; // 0: not told

    friend bool operator==(const GroupedHost &, const GroupedHost &) = default;
};

/// A wait that differs between hosts which do the same at the same moment: one of `count` turns of `each`, by the hash of `what`.
[[nodiscard]] Milliseconds staggerDelay(std::size_t count, Milliseconds each, std::string_view what);

class HostGroups
{
public:
    static constexpr std::size_t maxGroupSize
        = 24; // hosts of one group: what its leader sends to all, at 420 hosts in 5 zones, is as much as it gets from leaders
    static constexpr std::size_t maxSingleGroupHosts = 12; // hosts that need no second step

    void assign(std::vector<GroupedHost> hosts, const HostId &own);

    /// The own group, whoever leads it for the purpose in front. Empty before this host is known to live.
    [[nodiscard]] std::vector<HostId> members(std::string_view purpose) const;
    /// Whoever leads each group for the purpose, the first of all in front.
    [[nodiscard]] std::vector<HostId> leaders(std::string_view purpose) const;
    [[nodiscard]] bool isMember(const HostId &host) const; // of the own group
    /// How much later than the first of all this host does what one host is to do for all: leaders one after the other, then members.
    [[nodiscard]] Milliseconds failoverDelay(const HostId &host, std::string_view purpose) const;

    static constexpr Milliseconds leaderDelayStep{200}; // between two leaders: a read of the store, a page on its way and a busy host
    static constexpr std::int64_t maxLeaderSteps = 4;   // later leaders, and members, wait no longer, so that the age of what is known stays bounded
    static constexpr Milliseconds memberDelayStep{10};  // between two members of a group: an answer of the store and its way

private:
    using Group = std::vector<GroupedHost>;

    std::vector<Group> groups_;
    std::size_t ownGroup_ = 0; // index of the own group; groups_.size(): none
};

} // namespace baobabstall::serving
