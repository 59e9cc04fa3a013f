#include "network.h"

#include <peers/messages.h>

namespace baobabstall::capacity {

using core::Instant;
using core::Milliseconds;

core::HostId daemonId(int daemon)
{
    return core::HostId("entry-" + std::to_string(daemon));
}

core::ZoneId zoneId(int zone)
{
    return core::ZoneId("zone-" + std::to_string(zone));
}

Network::Network(int daemons, int zones)
    : zones_(zones)
    , now_(1'000'000)
    , stopped_(static_cast<std::size_t>(daemons))
{
    std::vector<peers::HostEntry> hosts;
    for (int i = 0; i < daemons; ++i) {
        hosts.push_back({daemonId(i), zoneId(zoneOf(i)), false});
        indices_[daemonId(i)] = i;
        const peers::Membership::Self self{daemonId(i), zoneId(zoneOf(i)), core::Incarnation(1)};
        members_.push_back(std::make_unique<peers::Membership>(self, settings::Membership{}, static_cast<std::uint64_t>(i + 1)));
    }
    for (const auto &member : members_) {
        member->setHostList(hosts, now_);
    }
}

void Network::run(Milliseconds time)
{
    constexpr Milliseconds step{25};
    const Instant end = now_ + time;
    for (; now_ < end; now_ = now_ + step) {
        for (std::size_t i = 0; i < members_.size(); ++i) {
            if (!stopped_[i] && members_[i]->nextTick() <= now_) {
                deliver(members_[i]->tick(now_), static_cast<int>(i));
            }
        }
    }
}

void Network::stop(int daemon)
{
    stopped_.at(static_cast<std::size_t>(daemon)) = true;
}

bool Network::deathsKnown() const
{
    for (std::size_t i = 0; i < members_.size(); ++i) {
        for (std::size_t other = 0; other < members_.size() && !stopped_[i]; ++other) {
            if (stopped_[other] && members_[i]->stateOf(daemonId(static_cast<int>(other))) != peers::MemberState::Dead) {
                return false;
            }
        }
    }
    return true;
}

void Network::deliver(std::vector<peers::OutgoingMessage> outgoing, int from)
{
    for (const peers::OutgoingMessage &each : outgoing) {
        const std::string frame = peers::encode(peers::Gossip{each.message});
        ++messages_;
        bytes_ += frame.size();
        const int to = indices_.at(each.to);
        if (stopped_[static_cast<std::size_t>(to)]) {
            continue;
        }
        core::Error why;
        const auto arrived = peers::decode(frame, why);
        deliver(member(to).onMessage(daemonId(from), std::get<peers::Gossip>(*arrived).message, now_), to);
    }
}

} // namespace baobabstall::capacity
