// peers/link.h: links to the other daemons of the region over websockets. I/O; one thread.
//
// Index
//   LinkHandlers    what the owner of the links is told
//   OutgoingCall    a call that this daemon made: replies to await
//   IncomingCall    a call that a peer made: replies to send
//   Links           listen(), setAddress(), post(), call()
//
//   Links links(io, self, key, handlers);
//   links.listen(address, why);
//   links.setAddress(host, address);                 // as the host list tells
//   links.post(host, message);                       // membership; lost when the link is down
//   auto call = links.call(host, ProbeCall{...});
//   auto reply = co_await call->next(timeout, why);  // again until isLast(reply)
//
// Each side proves that it holds the deployment's key before any other frame of it counts; one that does not is cut off. A link
// opens at the first frame for a host and stays. A call to this daemon itself goes the same way, without a link.
// Limit: frames after the proof are neither encrypted nor signed; keep peers' addresses on a network of the deployment's own.
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
    virtual ~OutgoingCall() = default; // cancels the call when it has not ended
    /// The next reply. Nothing: no reply came in time, or the link was lost (step Peer, with the host as its peer).
    virtual net::Task<std::optional<ReplyBody>> next(core::Milliseconds timeout, core::Error &why) = 0;
    /// No reply will come after those that have arrived: the last one did, or the link was lost.
    [[nodiscard]] virtual bool isFinished() const = 0;
    /// Tells the peer that no more replies are wanted; next() fails from now on.
    virtual void cancel() = 0;
};

class IncomingCall
{
public:
    virtual ~IncomingCall() = default;
    [[nodiscard]] virtual const HostId &from() const = 0;
    [[nodiscard]] virtual Incarnation incarnation() const = 0; // of the caller's process
    [[nodiscard]] virtual const CallBody &body() const = 0;
    /// False: the caller is gone or cancelled, nobody reads any more.
    virtual bool send(ReplyBody reply) = 0;
    [[nodiscard]] virtual bool isCancelled() const = 0; // or its link was lost
    [[nodiscard]] virtual bool isLinkLost() const = 0;  // the caller itself may still want the answer, and fetch it elsewhere
    /// Called once when the caller cancels or its link is lost; at once when that has happened already.
    virtual void onCancel(std::function<void()> callback) = 0;
};

struct LinkHandlers {
    std::function<void(const HostId &from, const MembershipMessage &message)> onGossip;
    std::function<void(const HostId &from, const Notice &notice)> onNotice;
    std::function<net::Task<void>(std::shared_ptr<IncomingCall> call)> onCall;
    std::function<void(const HostId &host, Incarnation incarnation)> onAuthenticated;  // a link's other side proved who it is
    std::function<void(const std::string &peer, const core::Error &error)> onRejected; // a link that was cut off
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

    [[nodiscard]] std::optional<net::Address> listen(const net::Address &address, core::Error &why);
    void setAddress(const HostId &host, const net::Address &address);
    void sendGossip(const HostId &to, MembershipMessage message);
    void notify(const HostId &to, Notice notice); // lost when the link is down; to this daemon itself: its own handler
    [[nodiscard]] std::unique_ptr<OutgoingCall> call(const HostId &to, CallBody body);
    /// Closes all links; calls in flight fail.
    void close();

    /// Encoded bytes of membership messages sent and received, for the budget of control traffic.
    [[nodiscard]] std::uint64_t gossipBytes() const;
    [[nodiscard]] std::size_t openLinks() const;

    static constexpr core::Milliseconds handshakeTimeout{3'000};    // from the connection's start to the other side's proof
    static constexpr std::size_t maxFrameBytes = 8 * 1024 * 1024;   // over it the link is cut
    static constexpr std::size_t maxQueuedBytes = 32 * 1024 * 1024; // not yet taken by the peer; over it the link is cut
    static constexpr std::size_t maxUnreadReplies = 4'096;          // of one call, not yet awaited; over it the call fails

    struct State; // in link.cpp

private:
    std::shared_ptr<State> state_;
};

} // namespace baobabstall::peers
