// serving/scarcegate.h: gets a request its place at a replica of a crowded plain service, from the replica's owner. I/O; one thread.
//
//   const auto permit = co_await gate.request(sendRequest);                  // at the owner itself
//   const auto permit = co_await gate.requestAtOwner(links, owner, request); // at any other host; nothing when the owner is silent
//   gate.serve(call, body);                                                  // a peer asks
//   gate.tick(reportedLoad);                                                 // every 100 ms: notes which services are crowded
//
// The owner answers at once, with a place, a refusal or the word that the request waits, and says again with each tick that it waits. So a host
// tells a long queue from an owner that is killed, frozen or cut off, and then goes by its own count (SendPermit::isAnswered). A place is held
// by an open call until the request has ended.
#pragma once

#include <functional>
#include <map>
#include <memory>

#include <peers/link.h>
#include <serving/node.h>
#include <serving/scarceroom.h>

namespace baobabstall::serving {

class ScarceGate
{
public:
    using ReportedLoad = std::function<std::optional<int>(const UpstreamId &)>; // SendGate::ReportedLoad

    static constexpr Milliseconds firstAnswerTime{60}; // of an owner: a few round trips
    static constexpr Milliseconds wordTime{350};       // until its next word: three ticks and a round trip

    explicit ScarceGate(Node &node)
        : node_(node)
    { }
    ScarceGate(const ScarceGate &) = delete;
    ScarceGate &operator=(const ScarceGate &) = delete;
    ~ScarceGate();

    net::Task<SendPermit> request(SendRequest request);
    net::Task<std::optional<SendPermit>> requestAtOwner(peers::Links &links, HostId owner, SendRequest request);
    void serve(const std::shared_ptr<peers::IncomingCall> &call, const peers::SendCall &request);
    void remove(const UpstreamId &id); // no longer owned
    void tick(const ReportedLoad &reportedLoad);

    /// The replica's owner may be asked for every request, and is of no use when it is late itself.
    [[nodiscard]] static bool needsStrongOwner(const Node &node, const ReplicaRecord &record);

private:
    struct Waiter {
        std::function<void(const ScarceRoom::Outcome &)> onOutcome;
        std::function<void(Milliseconds expected)> onWait;
        Instant since;
    };
    struct Owned {
        ScarceRoom room;
        std::map<SendHoldId, Waiter> waiters;
        ScarceGate *gate = nullptr; // while it owns the replica

        void end(SendHoldId id, bool isLinkLost);
    };
    using OwnedPtr = std::shared_ptr<Owned>;
    struct Hold;

    OwnedPtr owned(const UpstreamId &id);
    void settle(Owned &owned);
    /// The new request has its outcome, or is told that it waits.
    void begin(Owned &owned, SendHoldId id, Waiter waiter);
    struct ServiceLoad {
        int running = 0;
        int places = 0;
        bool isKnown = true;
    };
    void noteLoads(const ReportedLoad &reportedLoad);
    void logCrowd(bool isBegun, const ServiceName &service, const ServiceLoad &load, const WorkTimes &work) const;
    [[nodiscard]] Milliseconds roundTrip(const HostId &owner) const;

    Node &node_;
    std::map<UpstreamId, OwnedPtr> owned_; // replicas that were asked for
    std::map<HostId, double> roundTripMs_; // to owners
};

} // namespace baobabstall::serving
