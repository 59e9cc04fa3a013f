// serving/sendgate.h: gets a request its permit to be sent to a limited upstream, from the upstream's owner. I/O; one thread.
//
//   const auto permit = gate.request(id, limit, maxWait);                           // at the owner itself
//   const auto permit = co_await gate.requestAtOwner(links, owner, id, limit, maxWait); // at any other host; nothing without an answer
//   gate.serve(call, body);                                                         // a peer asks
#pragma once

#include <map>
#include <memory>

#include <peers/link.h>
#include <serving/node.h>
#include <serving/sendrate.h>

namespace baobabstall::serving {

class SendGate
{
public:
    explicit SendGate(Node &node)
        : node_(node)
    { }

    SendPermit request(const UpstreamId &id, const UpstreamLimits::Limit &limit, Milliseconds maxWait);
    net::Task<std::optional<SendPermit>>
    requestAtOwner(peers::Links &links, HostId owner, UpstreamId id, UpstreamLimits::Limit limit, Milliseconds maxWait) const;
    void serve(peers::IncomingCall &call, const peers::SendCall &request);
    /// An answer of the upstream named no limit.
    void onLimitEnded(const UpstreamId &id);
    void remove(const UpstreamId &id); // no longer owned

    static constexpr Milliseconds replyTimeout{200}; // for an owner's answer: some round trips and a busy host

private:
    Node &node_;
    std::map<UpstreamId, SendRate> rates_; // of owned upstreams that were asked for
};

} // namespace baobabstall::serving
