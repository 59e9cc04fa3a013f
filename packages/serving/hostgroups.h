// serving/hostgroups.h: divides hosts into groups and picks a leader of each group for shared work. No I/O.
//
//   HostGroups groups;
//   groups.assign(hosts, ownHost);               // whenever the set of live hosts changes
//   groups.members("load").front() == ownHost    // this host leads its group for that purpose
//   groups.leaders("load")                       // of all groups, the overall leader first
//   sleep(staggerDelay(count, slot, id));        // before work that all hosts may start at the same moment
//
// The hosts of one zone form a group, so that a message crosses zones only once; a large zone has several groups, and a small
// deployment has a single one. The host with the fastest link leads; among equal ones the leader differs by purpose. Hosts that
// see the same set of live hosts compute the same groups.
#pragma once

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include <serving/model.h>

namespace baobabstall::serving {

struct GroupedHost {
    HostId host;
    ZoneId zone;
    double linkMbps = 0; // 0: unknown

    friend bool operator==(const GroupedHost &, const GroupedHost &) = default;
};

/// A delay in [0, count * slot) by the hash of `key`, which spreads hosts that would otherwise act at the same moment.
[[nodiscard]] Milliseconds staggerDelay(std::size_t count, Milliseconds slot, std::string_view key);

class HostGroups
{
public:
    static constexpr std::size_t maxGroupSize = 24; // hosts; with 420 hosts in 5 zones a leader then sends its group as much as it receives from other leaders
    static constexpr std::size_t maxSingleGroupHosts = 12; // hosts; deployments up to this size form one group and need no second level

    void assign(std::vector<GroupedHost> hosts, const HostId &ownHost);

    /// The own group, its leader for the purpose first. Empty until this host is among the assigned ones. Valid until the next call with
    /// another purpose, or assign().
    [[nodiscard]] const std::vector<HostId> &members(std::string_view purpose) const { return ranking(purpose).members; }
    /// The leader of each group for the purpose, the overall leader first. Valid as long.
    [[nodiscard]] const std::vector<HostId> &leaders(std::string_view purpose) const { return ranking(purpose).leaders; }
    [[nodiscard]] bool isOverallLeader(std::string_view purpose) const { return isLeader(leaders(purpose)); } // this host
    [[nodiscard]] std::size_t size() const;                                                                   // hosts in all groups
    [[nodiscard]] bool isMember(const HostId &host) const;                                                    // in the own group
    /// The other hosts that this host sends the result of shared work to: its group, and as the group's leader the other leaders.
    [[nodiscard]] std::vector<HostId> shareTargets(std::string_view purpose) const;
    /// The hosts that this host passes a result of `from` on to: as the group's leader its group, when `from` is of another group.
    [[nodiscard]] std::vector<HostId> forwardTargets(const HostId &from, std::string_view purpose) const;
    /// The first `count` hosts in the key's order, which all hosts agree on; as long as there are zones without one, each is of another zone.
    [[nodiscard]] std::vector<HostId> spread(std::string_view key, std::size_t count) const;
    /// How long `host` waits before it takes over work that the overall leader should do for all: first the other leaders in order,
    /// then the members of the own group.
    [[nodiscard]] Milliseconds failoverDelay(const HostId &host, std::string_view purpose) const;

    [[nodiscard]] Milliseconds longestFailoverDelay() const; // of any host, whatever the purpose

    [[nodiscard]] double slowestLinkMbps() const; // of any host whose link is known; 0: none is

    static constexpr Milliseconds leaderDelayStep{200}; // between two leaders: covers a read of the store, the transfer of a page and a busy host
    static constexpr std::int64_t maxLeaderSteps = 4;   // later leaders and members wait no longer, which bounds the age of shared data
    static constexpr Milliseconds memberDelayStep{10};  // between two members of a group: covers an answer of the store and its transfer

private:
    using Group = std::vector<GroupedHost>;
    struct Ranking {
        std::vector<HostId> members;
        std::vector<HostId> leaders;
    };
    static constexpr std::size_t maxRankings = 16; // purposes may come from peers

    [[nodiscard]] const Ranking &ranking(std::string_view purpose) const;
    [[nodiscard]] bool isLeader(const std::vector<HostId> &ranked) const { return !ranked.empty() && ranked.front() == ownHost_; }

    HostId ownHost_;
    std::vector<Group> groups_;
    std::size_t ownGroup_ = 0;                                     // index; groups_.size(): this host is in no group
    mutable std::map<std::string, Ranking, std::less<>> rankings_; // by purpose, as asked for since assign()
};

} // namespace baobabstall::serving
