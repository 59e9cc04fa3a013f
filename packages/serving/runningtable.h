// serving/runningtable.h: what all hosts have running at one upstream, as they told its owner. No I/O.
#pragma once

#include <map>

#include <serving/model.h>

namespace baobabstall::serving {

class RunningTable
{
public:
    static constexpr Milliseconds valid{1'500}; // a host that is silent for longer counts as having none; five reports

    void note(const HostId &host, int running, Instant now) { hosts_[host] = {running, now}; }
    [[nodiscard]] int othersThan(const HostId &host, Instant now) const
    {
        int sum = 0;
        for (const auto &[each, told] : hosts_) {
            sum += each != host && now - told.at <= valid ? told.running : 0;
        }
        return sum;
    }

private:
    struct Told {
        int running = 0;
        Instant at;
    };
    std::map<HostId, Told> hosts_;
};

} // namespace baobabstall::serving
