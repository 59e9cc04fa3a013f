#include <serving/sendgate.h>

#include <cmath>

namespace baobabstall::serving {

SendPermit SendGate::request(const UpstreamId &id, const UpstreamLimits::Limit &limit, Milliseconds maxWait)
{
    const auto permit = rates_[id].request(limit, maxWait, node_.now());
    node_.metrics.sendPermits.add({!permit.isLimited ? "not_limited" : permit.isGranted ? "granted" : "refused"});
    return permit;
}

net::Task<std::optional<SendPermit>>
SendGate::requestAtOwner(peers::Links &links, HostId owner, UpstreamId id, UpstreamLimits::Limit limit, Milliseconds maxWait) const
{
    const auto call = links.call(owner, peers::SendCall{id, limit.perSecond, (node_.now() - limit.namedAt).count(), maxWait.count()});
    core::Error why;
    const auto reply = co_await call->next(replyTimeout, why);
    const auto *permit = reply ? std::get_if<peers::SendReply>(&*reply) : nullptr;
    if (permit == nullptr) {
        co_return std::nullopt;
    }
    co_return SendPermit{permit->isLimited, permit->isGranted, Milliseconds(std::max<std::int64_t>(0, permit->waitMs))};
}

void SendGate::serve(peers::IncomingCall &call, const peers::SendCall &request)
{
    const bool isSound = std::isfinite(request.perSecond) && request.perSecond >= 0 && request.ageMs >= 0;
    if (!isSound) {
        call.send(peers::ErrorReply{{.step = core::Step::Peer, .peer = node_.settings.host.value(), .reason = "the limit or its age is no number from 0 on"}});
        return;
    }
    const UpstreamLimits::Limit limit{request.perSecond, node_.now() - Milliseconds(request.ageMs)};
    const auto permit = this->request(request.upstream, limit, Milliseconds(request.maxWaitMs));
    call.send(peers::SendReply{permit.isLimited, permit.isGranted, permit.wait.count()});
}

void SendGate::onLimitEnded(const UpstreamId &id)
{
    if (const auto rate = rates_.find(id); rate != rates_.end()) {
        rate->second.onLimitEnded(node_.now());
    }
}

void SendGate::remove(const UpstreamId &id)
{
    rates_.erase(id);
}

} // namespace baobabstall::serving
