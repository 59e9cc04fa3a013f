// serving/loadexchange.h: exchanges load reports between hosts, so that each host knows the total load of every upstream. No I/O.
//
//   a host -> the leader of its group -> the leaders of the other groups
//                                     -> its group, as the total over all hosts
//
//   LoadExchange exchange(ownHost);
//   for (auto &report : exchange.tick(ownLoads, members, leaders, now)) { send(report); } // every 100 ms
//   exchange.onReport(from, report.scope, report.loads, now);
//   if (auto loads = exchange.otherHostLoads(now)) { ... }
//
// Asking only the owners of the upstreams that a host already uses is not enough: with 86 hosts, most have nothing running at a given
// upstream and would take it for idle. The totals are a few messages old, so they suit requests that last longer than that.
#pragma once

#include <map>
#include <optional>
#include <vector>

#include <serving/model.h>

namespace baobabstall::serving {

using UpstreamLoads = std::map<UpstreamId, Occupancy>; // an upstream without an entry has nothing running

enum class LoadScope : std::uint8_t {
    Host,  // of the sender itself
    Group, // of the sender's group
    All,   // of all hosts, as far as the sender knows
};

struct LoadReport {
    HostId to;
    LoadScope scope = LoadScope::Host;
    UpstreamLoads loads;
};

class LoadExchange
{
public:
    static constexpr Milliseconds reportLifetime{1'500}; // older reports are ignored; covers several report intervals, also with very many upstreams

    explicit LoadExchange(HostId ownHost)
        : ownHost_(std::move(ownHost))
    { }

    /// The reports to send now. `members`: of the own group; `leaders`: of all groups; the leading host comes first in both (HostGroups).
    [[nodiscard]] std::vector<LoadReport>
    tick(const UpstreamLoads &ownLoads, const std::vector<HostId> &members, const std::vector<HostId> &leaders, Instant now);
    void onReport(const HostId &from, LoadScope scope, UpstreamLoads loads, Instant now);
    /// The load that all other hosts together put on each upstream. Nothing when there is no recent report.
    [[nodiscard]] std::optional<UpstreamLoads> otherHostLoads(Instant now) const;

private:
    struct ReceivedLoads {
        UpstreamLoads loads;
        Instant receivedAt;
    };

    [[nodiscard]] UpstreamLoads sumLoads(const std::map<HostId, ReceivedLoads> &received, UpstreamLoads sum, Instant now) const;

    HostId ownHost_;
    bool isLeader_ = false;
    UpstreamLoads lastOwnLoads_; // as passed to the last tick()
    std::map<HostId, ReceivedLoads> hostLoads_;
    std::map<HostId, ReceivedLoads> groupLoads_;
    std::optional<ReceivedLoads> totalLoads_; // from the leader
};

} // namespace baobabstall::serving
