// serving/prefillgate.h: gets a request its turn at a model replica, from the replica's owner. I/O; one thread.
//
//   auto turn = co_await gate.enter(request);                           // at the owner itself
//   auto turn = co_await gate.enterAtOwner(links, owner, request);       // at any other host; nullptr without an answer in time
//   ... send the request ...
//   turn.reset();                                                        // its first event arrived, or the send ended
//
// A turn is held by an open call to the owner, so it also ends when the link or its host is lost. Without an answer in time the request
// is sent without a turn.
#pragma once

#include <map>
#include <memory>

#include <boost/asio/steady_timer.hpp>

#include <peers/link.h>
#include <serving/node.h>
#include <serving/prefillturns.h>

namespace baobabstall::serving {

class PrefillGate
{
public:
    explicit PrefillGate(Node &node);

    net::Task<PrefillTurn> enter(PrefillRequest request);
    net::Task<PrefillTurn> enterAtOwner(peers::Links &links, HostId owner, PrefillRequest request);
    /// Answers a peer's call and holds its turn until the peer ends the call.
    net::Task<void> serve(std::shared_ptr<peers::IncomingCall> call, peers::PrefillCall request);
    void remove(const UpstreamId &replica); // no longer owned

private:
    struct Queue {
        PrefillTurns turns;
        std::map<TurnId, std::shared_ptr<boost::asio::steady_timer>> waiters;

        void start(Instant now);
    };
    class QueueTurn;

    void start(const UpstreamId &replica, Queue &queue);

    Node &node_;
    std::map<UpstreamId, std::shared_ptr<Queue>> queues_;
};

} // namespace baobabstall::serving
