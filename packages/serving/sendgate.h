// serving/sendgate.h: gets a request its permit to be sent to a limited upstream, from the upstream's owner. I/O; one thread.
//
//   const auto permit = co_await gate.request(sendRequest);                    // at the owner itself
//   const auto permit = co_await gate.requestAtOwner(links, owner, request);   // at any other host; nothing without an answer
//   co_await gate.serve(call, body);                                           // a peer asks
//   gate.onRefused(id);                                                        // a brittle upstream refused a request of any host
//
// The permit for a brittle upstream is held until the request has ended; at another host by an open call to the owner. When the link is
// lost, the place is kept until the request's time is over: it may still be at the upstream.
#pragma once

#include <functional>
#include <map>
#include <memory>

#include <boost/asio/steady_timer.hpp>

#include <peers/link.h>
#include <serving/node.h>
#include <serving/scarcegate.h>
#include <serving/sendrate.h>
#include <serving/sendroom.h>

namespace baobabstall::serving {

class SendGate
{
public:
    /// Requests of all hosts at the upstream, as they reported; nothing: not known.
    using ReportedLoad = std::function<std::optional<int>(const UpstreamId &)>;

    SendGate(Node &node, ReportedLoad reportedLoad)
        : node_(node)
        , scarce_(node)
        , reportedLoad_(std::move(reportedLoad))
    { }

    net::Task<SendPermit> request(SendRequest request);
    net::Task<std::optional<SendPermit>> requestAtOwner(peers::Links &links, HostId owner, SendRequest request);
    net::Task<void> serve(std::shared_ptr<peers::IncomingCall> call, peers::SendCall request);
    /// An answer of the upstream named no limit.
    void onLimitEnded(const UpstreamId &id);
    void onRefused(const UpstreamId &id);
    void onOwned(const UpstreamId &id);
    void onRestarted(const UpstreamId &id); // what was there is gone
    void remove(const UpstreamId &id);      // no longer owned
    void tick();                            // lets requests in that wait, as far as the reported load and the time allow

    static constexpr Milliseconds replyTimeout{200}; // for an owner's answer, after the wait: some round trips and a busy host

private:
    struct Queue {
        explicit Queue(Instant ownedSince)
            : room(ownedSince)
        { }

        SendRoom room;
        std::map<SendHoldId, std::shared_ptr<boost::asio::steady_timer>> waiters;

        bool isClosed = false; // the upstream is no longer owned

        void start(Instant now);
        void close();
    };
    class QueueHold;

    struct Owned {
        SendRate rate;
        std::shared_ptr<Queue> queue; // while the upstream is brittle
    };

    /// Refusals a second that the upstream takes, by what any host told this one; nothing: it isn't brittle.
    [[nodiscard]] std::optional<double> maxRefusals(const UpstreamId &id) const;
    void updateBounds(const UpstreamId &id, SendRoom &room, double maxRefusals) const;
    net::Task<SendPermit> takePlace(UpstreamId id, SendRequest request);

    Node &node_;
    ScarceGate scarce_; // at crowded plain services
    ReportedLoad reportedLoad_;
    std::map<UpstreamId, Owned> owned_; // upstreams that were asked for
    std::map<UpstreamId, Instant> ownedSince_;
};

} // namespace baobabstall::serving
