// capacity/network.h: a region's daemons that gossip with each other in one process on virtual time. Every message is encoded and
// decoded as on a link; a message arrives at once.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <vector>

#include <peers/membership.h>

namespace baobabstall::capacity {

class Network
{
public:
    Network(int daemons, int zones);

    void run(core::Milliseconds time);
    void stop(int daemon); // from now on it neither answers nor speaks
    /// Whether every daemon that runs believes of every stopped one that it is dead.
    [[nodiscard]] bool deathsKnown() const;

    [[nodiscard]] int zoneOf(int daemon) const { return daemon % zones_; }
    [[nodiscard]] std::uint64_t messages() const { return messages_; } // so far, of all daemons
    [[nodiscard]] std::uint64_t bytes() const { return bytes_; }       // encoded frames of them
    [[nodiscard]] peers::Membership &member(int daemon) { return *members_.at(static_cast<std::size_t>(daemon)); }

private:
    void deliver(std::vector<peers::OutgoingMessage> outgoing, int from);

    int zones_;
    core::Instant now_;
    std::vector<std::unique_ptr<peers::Membership>> members_;
    std::vector<bool> stopped_;
    std::map<core::HostId, int> indices_;
    std::uint64_t messages_ = 0;
    std::uint64_t bytes_ = 0;
};

[[nodiscard]] core::HostId daemonId(int daemon);
[[nodiscard]] core::ZoneId zoneId(int zone);

} // namespace baobabstall::capacity
