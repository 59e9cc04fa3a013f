// serving/loadexchange.h: what all hosts together have running at each upstream. No I/O.
//
//   a host -> the leader of its group -> the leaders of the other groups
//                                     -> its group, as the sum over all
//
//   LoadExchange exchange(own);
//   for (auto &news : exchange.tick(ownLoads, members, leaders, now)) { send(news); } // every 100 ms
//   exchange.take(from, news.scope, news.loads, now);
//   if (auto others = exchange.others(now)) { ... }
//
// A host that only asked the owners of upstreams it used itself knew too little: most of 86 hosts have nothing running at a
// given upstream and took it for empty. The sums are a few messages old, so they serve work that lasts longer than that.
#pragma once

#include <map>
#include <optional>
#include <vector>

#include <serving/model.h>

namespace baobabstall::serving {

using UpstreamLoads = std::map<UpstreamId, Occupancy>; // what is not there has nothing running

enum class LoadScope : std::uint8_t {
    Host,  // of the sender
    Group, // of the sender's group
    All,   // of all hosts, as the sender knows them
};

struct LoadReport {
    HostId to;
    LoadScope scope = LoadScope::Host;
    UpstreamLoads loads;
};

class LoadExchange
{
public:
    static constexpr Milliseconds reportLifetime{1'500}; // after it a sender that is silent counts for nothing; some reports, also of very many upstreams

    explicit LoadExchange(HostId own)
        : ownHost_(std::move(own))
    { }

    /// What to tell now. `members` of the own group and `leaders` of all, the one that leads in front (HostGroups).
    [[nodiscard]] std::vector<LoadReport> tick(const UpstreamLoads &own, const std::vector<HostId> &members, const std::vector<HostId> &leaders, Instant now);
    void onReport(const HostId &from, LoadScope scope, UpstreamLoads loads, Instant now);
    /// What the other hosts have running. Nothing when nobody has told lately.
    [[nodiscard]] std::optional<UpstreamLoads> otherHostLoads(Instant now) const;

private:
    struct ReceivedLoads {
        UpstreamLoads loads;
        Instant receivedAt;
    };

    [[nodiscard]] UpstreamLoads sumLoads(const std::map<HostId, ReceivedLoads> &told, UpstreamLoads sum, Instant now) const;

    HostId ownHost_;
    bool isLeader_ = false;
    UpstreamLoads lastOwnLoads_; // own loads as last told
    std::map<HostId, ReceivedLoads> hostLoads_;
    std::map<HostId, ReceivedLoads> groupLoads_;
    std::optional<ReceivedLoads> totalLoads_; // by the leader
};

} // namespace baobabstall::serving
