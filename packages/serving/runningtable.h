// serving/runningtable.h: what all hosts have running at one upstream, as they told its owner. No I/O.
#pragma once

#include <map>

#include <serving/model.h>

namespace baobabstall::serving {

class RunningTable
{
public:
    static constexpr Milliseconds valid{1'500}; // a host that is silent for longer counts as having none; five reports

    void note(const HostId &host, Occupancy occupancy, Instant now) { hosts_[host] = {occupancy, now}; }
    [[nodiscard]] Occupancy othersThan(const HostId &host, Instant now) const
    {
        Occupancy sum;
        for (const auto &[each, told] : hosts_) {
            if (each != host && now - told.at <= valid) {
                sum.running += told.occupancy.running;
                sum.readingMs += told.occupancy.readingMs;
            }
        }
        return sum;
    }

private:
    struct Told {
        Occupancy occupancy;
        Instant at;
    };
    std::map<HostId, Told> hosts_;
};

} // namespace baobabstall::serving
