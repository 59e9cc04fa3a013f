// serving/relayexchange.h: relays callers' requests over the links, at the host that reaches no upstream and at the host that sends. I/O; one thread.
// Why and how: docs/design/relaying.md.
//
//   RelayExchange exchange(node, forwarder, {.isCutOff = ..., .reaches = ...});
//   exchange.setLinks(links);
//   exchange.setHosts(hosts, leaving);                   // whenever one of the sets changes
//   exchange.tick(interval);                             // periodically
//   co_await exchange.serve(call, body);                 // a peer hands a request over
//   exchange.onCredit(from, notice);
//   node.relays = &exchange;                             // Forwarder uses it as a RelaySource
#pragma once

#include <map>
#include <memory>
#include <utility>

#include <peers/link.h>
#include <serving/forwarder.h>
#include <serving/node.h>
#include <serving/relay.h>
#include <serving/relaypeers.h>

namespace baobabstall::serving {

class RelayedCaller;

class RelayExchange final : public RelaySource
{
public:
    static constexpr std::size_t window = 64 * 1024;      // bytes of an answer that the sending host is ahead of the caller
    static constexpr std::size_t pieceBytes = 16 * 1024;  // of an answer in one reply
    static constexpr std::size_t frameMargin = 64 * 1024; // of a frame, for what is not the request itself
    static constexpr Milliseconds acceptTimeout{300};     // for a peer to accept a request: some round trips and a busy host
    static constexpr Milliseconds confirmTimeout{300};    // for the calling host's word, after the call was accepted, that its caller is still there
    static constexpr Milliseconds maxLateWait{50};        // after the end of a wait; a wait that ends later proves no silence
    static constexpr Milliseconds livenessInterval{500};  // between two looks whether the peer still counts as live
    static constexpr Milliseconds creditTimeout{5'000};   // for the caller to read
    static constexpr Milliseconds cutOffRetryAfter{500};  // of a host that is cut off itself

    struct Reach {
        std::function<bool()> isCutOff = [] { return false; };                             // this host reaches no upstream, while others do
        std::function<bool(const HostId &)> reaches = [](const HostId &) { return true; }; // the peer may reach upstreams
    };

    RelayExchange(Node &node, Forwarder &forwarder, Reach reach);
    ~RelayExchange() override;

    void setLinks(peers::Links &links) { links_ = &links; }
    void setHosts(const std::vector<GroupedHost> &hosts, std::vector<HostId> leaving = {}) { peers_.setHosts(hosts, std::move(leaving)); }
    void tick(Milliseconds interval) { gate_.onTick(interval, node_.now()); }
    [[nodiscard]] bool isNeeded() const override;
    net::Task<void> relay(CallerConnection &caller, const CallerRequest &request, RelayTask &task) override;
    net::Task<void> serve(std::shared_ptr<peers::IncomingCall> call);
    void onCredit(const HostId &from, const peers::RelayCreditNotice &notice);
    [[nodiscard]] int running() const { return gate_.requests(); }    // of other hosts, here
    [[nodiscard]] std::size_t bytes() const { return gate_.bytes(); } // the same, on their way

private:
    class Served;

    /// How a call to a peer ended.
    struct CallEnd {
        bool mayContinue = false;  // with another call
        bool isPeerUsable = false; // for that call
    };

    net::Task<CallEnd> askPeer(HostId host, CallerConnection &caller, const CallerRequest &request, RelayTask &task);
    net::Task<CallEnd> passOn(peers::OutgoingCall &call, const HostId &host, std::uint64_t id, CallerConnection &caller, RelayTask &task, Instant arrivedAt);
    [[nodiscard]] core::Error errorOf(std::string_view reason, core::Outcome outcome, std::optional<Milliseconds> retryAfter) const;
    void returnRequest(peers::IncomingCall &call, const RelayedCaller &caller, const RelayedFrom &from);
    static bool applyAccount(const peers::ErrorReply &refusal, bool hasPassedOn, RelayTask &task);

    Node &node_;
    Forwarder &forwarder_;
    Reach reach_;
    peers::Links *links_ = nullptr;
    RelayPeers peers_;
    RelayGate gate_;
    std::uint64_t nextId_ = 1;
    std::map<std::pair<HostId, std::uint64_t>, RelayedCaller *> served_;
};

} // namespace baobabstall::serving
