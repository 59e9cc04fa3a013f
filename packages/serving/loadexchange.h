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

using Loads = std::map<UpstreamId, Occupancy>; // what is not there has nothing running

enum class LoadScope : std::uint8_t {
    Host,  // of the sender
    Group, // of the sender's group
    All,   // of all hosts, as the sender knows them
};

struct LoadNews {
    HostId to;
    LoadScope scope = LoadScope::Host;
    Loads loads;
};

class LoadExchange
{
public:
    static constexpr Milliseconds valid{1'500}; // after it a sender that is silent counts for nothing; some reports, also of very many upstreams

    explicit LoadExchange(HostId own)
        : own_(std::move(own))
    { }

    /// What to tell now. `members` of the own group and `leaders` of all, the one that leads in front (HostGroups).
    [[nodiscard]] std::vector<LoadNews> tick(const Loads &own, const std::vector<HostId> &members, const std::vector<HostId> &leaders, Instant now);
    void take(const HostId &from, LoadScope scope, Loads loads, Instant now);
    /// What the other hosts have running. Nothing when nobody has told lately.
    [[nodiscard]] std::optional<Loads> others(Instant now) const;

private:
    struct Told {
        Loads loads;
        Instant at;
    };

    [[nodiscard]] Loads sumOf(const std::map<HostId, Told> &told, Loads sum, Instant now) const;

    HostId own_;
    bool isLeader_ = false;
    Loads reported_; // own loads as last told
    std::map<HostId, Told> hosts_;
    std::map<HostId, Told> groups_;
    std::optional<Told> all_; // by the leader
};

} // namespace baobabstall::serving
