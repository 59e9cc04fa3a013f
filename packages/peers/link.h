// peers/link.h: links to the other daemons of the region over WebSocket. I/O; one thread.
//
// Index
//   LinkHandlers    callbacks to the owner of the links
//   OutgoingCall    a call made by this daemon: receives replies
//   IncomingCall    a call made by a peer: sends replies
//   Links           listen(), setAddress(), sendGossip(), notify(), call()
//
//   Links links(io, self, key, handlers);
//   links.listen(address, error);
//   links.setAddress(host, address);                   // from the host list
//   links.sendGossip(host, message);                   // membership; dropped when the link is down
//   auto call = links.call(host, ProbeCall{...});
//   auto reply = co_await call->next(timeout, error);  // until isLastReply(*reply)
//
// Each side proves that it holds the deployment's key before any other frame is accepted from it; a peer that can't is disconnected.
// A link opens with the first frame for a host and stays open. One that is used and on which nothing comes back is replaced by another. A call to this daemon
// itself needs no link and works the same way. Limit: frames after the handshake are neither encrypted nor signed; keep peers' addresses on a private network
// of the deployment.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <core/error.h>
#include <core/types.h>
#include <net/http.h>
#include <peers/messages.h>

namespace baobabstall::peers {

class OutgoingCall
{
public:
    virtual ~OutgoingCall() = default; // cancels the call if it has not ended
    /// The next reply. Nothing when no reply came in time or the link was lost (step Peer, with the host as its peer). The outcome is NotRun
    /// only while the call waits for its link.
    virtual net::Task<std::optional<ReplyBody>> next(core::Milliseconds timeout, core::Error &error) = 0;
    /// No further reply will arrive: the last one has, or the link was lost.
    [[nodiscard]] virtual bool isFinished() const = 0;
    /// Tells the peer that no more replies are wanted; next() fails from now on. A call that waits for its link is never written to it.
    virtual void cancel() = 0;
};

class IncomingCall
{
public:
    virtual ~IncomingCall() = default;
    [[nodiscard]] virtual const HostId &from() const = 0;
    [[nodiscard]] virtual Incarnation incarnation() const = 0; // of the caller's process
    [[nodiscard]] virtual const CallBody &body() const = 0;
    /// False when the caller has cancelled or its link was lost.
    virtual bool send(ReplyBody reply) = 0;
    [[nodiscard]] virtual bool isCancelled() const = 0; // by the caller, or by the loss of its link
    [[nodiscard]] virtual bool isLinkLost() const = 0;  // the caller may still want the answer and fetch it elsewhere
    /// `callback` is called once when the caller cancels or its link is lost; immediately if that has already happened.
    virtual void onCancel(std::function<void()> callback) = 0;
};

struct LinkHandlers {
    std::function<void(const HostId &from, const MembershipMessage &message)> onGossip;
    std::function<void(const HostId &from, const Notice &notice)> onNotice;
    std::function<net::Task<void>(std::shared_ptr<IncomingCall> call)> onCall;
    std::function<void(const HostId &host, Incarnation incarnation)> onAuthenticated;  // a peer completed the handshake
    std::function<void(const std::string &peer, const core::Error &error)> onRejected; // a link was closed for a violation of the protocol
    std::function<void(const HostId &host, core::Milliseconds silentFor)> onSilent{};  // nothing comes back on the link to it; another one is opened
};

class Links
{
public:
    struct Self {
        HostId host;
        Incarnation incarnation;
        core::RegionId region;
    };

    Links(boost::asio::io_context &io, Self self, std::string key, LinkHandlers handlers);
    ~Links();
    Links(const Links &) = delete;
    Links &operator=(const Links &) = delete;

    [[nodiscard]] std::optional<net::Address> listen(const net::Address &address, core::Error &error);
    void setAddress(const HostId &host, const net::Address &address);
    /// Later handshakes use this key. Links that were opened with another one are closed and open again with their next frame.
    void setKey(std::string key);
    void sendGossip(const HostId &to, MembershipMessage message);
    void notify(const HostId &to, Notice notice); // dropped when the link is down; for this daemon itself, calls its own handler
    /// Whether frames for the host are sent at once. A link that is not open opens with the next frame for the host.
    [[nodiscard]] bool isOpen(const HostId &host) const;
    [[nodiscard]] std::unique_ptr<OutgoingCall> call(const HostId &to, CallBody body);
    /// Closes all links; calls in flight fail.
    void close();
    /// The same, and waits until the peers have what is queued for them and have closed too, `patience` at most. A process that ends without it may
    /// reset its connections, which drops what is on its way.
    net::Task<void> finish(core::Milliseconds patience);

    /// Encoded bytes of membership messages sent and received; measures control traffic.
    [[nodiscard]] std::uint64_t gossipBytes() const;
    [[nodiscard]] std::size_t openLinks() const;

    static constexpr core::Milliseconds handshakeTimeout{3'000};    // from the start of the connection to the peer's proof
    static constexpr core::Milliseconds pingInterval{500};          // at the most one ping in this time, and only of a link that is used
    static constexpr core::Milliseconds pongTimeout{1'000};         // then the link is replaced, before a host counts as dead (settings::Membership)
    static constexpr core::Milliseconds longestPongTimeout{8'000};  // it doubles while the links to a host stay without an answer
    static constexpr std::size_t maxHandshakeBytes = 16 * 1024;     // of a frame before the peer's proof
    static constexpr std::size_t maxFrameBytes = 8 * 1024 * 1024;   // the link is closed beyond it
    static constexpr std::size_t maxQueuedBytes = 32 * 1024 * 1024; // not yet read by the peer; frames beyond it are refused
    static constexpr std::size_t maxUnreadReplies = 4'096;          // of one call; the call fails beyond it

    struct State; // in link.cpp

private:
    std::shared_ptr<State> state_;
};

} // namespace baobabstall::peers
