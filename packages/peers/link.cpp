#include <peers/link.h>

#include <deque>
#include <map>
#include <set>
#include <unordered_map>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <websocketpp/client.hpp>
#include <websocketpp/config/asio_no_tls.hpp>
#include <websocketpp/config/asio_no_tls_client.hpp>
#include <websocketpp/server.hpp>

#include <core/clock.h>
#include <net/asio.h>

namespace baobabstall::peers {

namespace asio = boost::asio;
using boost::system::error_code;
using Server = websocketpp::server<websocketpp::config::asio>;
using Client = websocketpp::client<websocketpp::config::asio_client>;
using net::chronoOf;
using net::tuple;
using websocketpp::connection_hdl;

namespace {

constexpr core::Milliseconds reconnectDelay{100}; // after a link failed or was lost
constexpr std::size_t maxPendingFrames = 1'024;   // per link, until its handshake is complete
// A ping costs both hosts more than most frames. One that is heard is mostly reached as well; that a single direction or link is silent is found later.
constexpr core::Milliseconds unheardTime{700};
constexpr core::Milliseconds heardPingInterval{5'000};

core::Error linkError(const HostId &host, std::string reason, core::Outcome outcome)
{
    return core::Error{.step = core::Step::Peer, .peer = host.value(), .reason = std::move(reason), .refusal = core::Refusal::Unavailable, .outcome = outcome};
}

/// Replies of one call, passed from the link to the coroutine that awaits them.
struct CallState {
    explicit CallState(asio::io_context &io)
        : signal(io)
    { }

    void push(ReplyBody reply)
    {
        if (isFinished) {
            return;
        }
        if (replies.size() >= Links::maxUnreadReplies) {
            fail(linkError(host, "too many unread replies", core::Outcome::Unknown));
            return;
        }
        isFinished = isLastReply(reply);
        replies.push_back(std::move(reply));
        signal.cancel();
    }

    void fail(core::Error error)
    {
        if (!isFinished) {
            isFinished = true;
            failure = std::move(error);
            signal.cancel();
        }
    }

    HostId host; // the peer
    std::deque<ReplyBody> replies;
    std::optional<core::Error> failure;
    bool isFinished = false; // no more replies will arrive
    bool isSent = false;     // the peer may have read the call
    asio::steady_timer signal;
    std::function<void()> sendCancel; // empty when the call is over
};

class AwaitedCall final : public OutgoingCall
{
public:
    explicit AwaitedCall(std::shared_ptr<CallState> state)
        : state_(std::move(state))
    { }
    ~AwaitedCall() override { AwaitedCall::cancel(); }
    AwaitedCall(const AwaitedCall &) = delete;
    AwaitedCall &operator=(const AwaitedCall &) = delete;

    net::Task<std::optional<ReplyBody>> next(core::Milliseconds timeout, core::Error &error) override
    {
        const auto state = state_;
        const auto deadline = std::chrono::steady_clock::now() + chronoOf(timeout);
        while (state->replies.empty() && !state->failure) {
            if (std::chrono::steady_clock::now() >= deadline) {
                error = linkError(state->host, "no reply in time", state->isSent ? core::Outcome::Unknown : core::Outcome::NotRun);
                co_return std::nullopt;
            }
            state->signal.expires_at(deadline);
            co_await state->signal.async_wait(tuple);
        }
        if (state->replies.empty()) {
            error = *state->failure;
            co_return std::nullopt;
        }
        ReplyBody reply = std::move(state->replies.front());
        state->replies.pop_front();
        co_return reply;
    }

    [[nodiscard]] bool isFinished() const override { return state_->isFinished; }

    void cancel() override
    {
        if (const auto notifyPeer = std::exchange(state_->sendCancel, nullptr); notifyPeer && !state_->isFinished) {
            notifyPeer();
        }
        state_->fail(linkError(state_->host, "cancelled by this daemon", core::Outcome::Unknown));
    }

private:
    std::shared_ptr<CallState> state_;
};

class ServedCall final : public IncomingCall
{
public:
    ServedCall(HostId from, Incarnation incarnation, CallBody body, std::function<bool(ReplyBody)> sender)
        : from_(std::move(from))
        , incarnation_(incarnation)
        , body_(std::move(body))
        , sender_(std::move(sender))
    { }

    [[nodiscard]] const HostId &from() const override { return from_; }
    [[nodiscard]] Incarnation incarnation() const override { return incarnation_; }
    [[nodiscard]] const CallBody &body() const override { return body_; }
    [[nodiscard]] bool isCancelled() const override { return isCancelled_; }
    [[nodiscard]] bool isLinkLost() const override { return isLinkLost_; }
    bool send(ReplyBody reply) override
    {
        if (isCancelled_) {
            return false;
        }
        if (isLastReply(reply)) {
            callback_ = nullptr; // the callback may own this call; breaks the cycle
        }
        return sender_(std::move(reply));
    }

    void onCancel(std::function<void()> callback) override
    {
        if (isCancelled_) {
            callback();
        } else {
            callback_ = std::move(callback);
        }
    }

    void cancel(bool isLinkLost)
    {
        isCancelled_ = true;
        isLinkLost_ = isLinkLost;
        if (const auto callback = std::exchange(callback_, nullptr)) {
            callback();
        }
    }

private:
    HostId from_;
    Incarnation incarnation_;
    CallBody body_;
    std::function<bool(ReplyBody)> sender_;
    std::function<void()> callback_;
    bool isCancelled_ = false;
    bool isLinkLost_ = false;
};

/// The WebSocket of a link, opened by either side.
struct Socket {
    std::function<bool(const std::string &bytes)> send;   // false: nothing was queued
    std::function<void(core::Milliseconds timeout)> ping; // answered by the peer's WebSocket; else the pong timeout handler is called
    std::function<void(const std::string &reason)> close;
    std::function<void(std::size_t bytes)> setMaxFrameBytes; // of received frames
    std::function<bool()> isClosed;                          // by both sides
};

template<typename ConnectionPointer>
Socket socketOf(ConnectionPointer connection)
{
    return {.send =
                [connection](const std::string &bytes) {
                    return connection->get_buffered_amount() + bytes.size() <= Links::maxQueuedBytes
                        && !connection->send(bytes, websocketpp::frame::opcode::binary);
                },
            .ping =
                [connection](core::Milliseconds timeout) {
                    websocketpp::lib::error_code ignored; // a connection that is closing is lost soon
                    connection->set_pong_timeout(static_cast<long>(timeout.count()));
                    connection->ping(std::string(), ignored);
                },
            .close =
                [connection](const std::string &reason) {
                    websocketpp::lib::error_code ignored;
                    connection->close(websocketpp::close::status::policy_violation, reason, ignored);
                },
            .setMaxFrameBytes = [connection](std::size_t bytes) { connection->set_max_message_size(bytes); },
            .isClosed = [connection] { return connection->get_state() == websocketpp::session::state::closed; }};
}

} // namespace

class Link;

struct Links::State : std::enable_shared_from_this<Links::State> {
    State(asio::io_context &context, Self own, std::string deploymentKey, LinkHandlers linkHandlers)
        : io(context)
        , self(std::move(own))
        , key(std::move(deploymentKey))
        , handlers(std::move(linkHandlers))
    { }

    void setUpEndpoints();
    std::shared_ptr<Link> findOrOpenLink(const HostId &host);
    void connect(const HostId &host, const std::shared_ptr<Link> &link);
    /// Frames for the host go over another link from now on; `link` stays open for the replies to its calls.
    void replace(const HostId &host, const std::shared_ptr<Link> &link);
    void handleCall(const std::shared_ptr<ServedCall> &call);
    std::unique_ptr<OutgoingCall> callLocally(CallBody body);

    asio::io_context &io;
    Self self;
    std::string key;
    LinkHandlers handlers;
    Server server;
    Client client;
    std::map<HostId, net::Address> addresses;
    std::map<HostId, std::shared_ptr<Link>> outgoing; // links this daemon opened
    std::map<HostId, std::chrono::steady_clock::time_point> retryAt;
    std::map<HostId, core::Milliseconds> pongTimeouts; // of hosts whose links were replaced and have not answered since
    std::set<std::shared_ptr<Link>> replaced;
    std::map<HostId, core::Instant> heardAt; // on any link
    std::map<connection_hdl, std::shared_ptr<Link>, std::owner_less<connection_hdl>> incoming;
    std::uint64_t gossipBytes = 0;
    bool isListening = false;
    bool isClosed = false;
};

/// One link: the handshake, then frames in both directions.
class Link : public std::enable_shared_from_this<Link>
{
public:
    Link(std::shared_ptr<Links::State> links, HostId expected)
        : links_(std::move(links))
        , timer_(links_->io)
        , expectedPeer_(std::move(expected))
    { }

    /// Starts the timeout of the handshake; the socket may still be connecting.
    void start()
    {
        timer_.expires_after(chronoOf(Links::handshakeTimeout));
        timer_.async_wait([self = weak_from_this()](error_code cancelled) {
            if (const auto link = self.lock(); link && !cancelled) {
                link->reject("the handshake timed out");
            }
        });
    }

    void onOpened(Socket socket)
    {
        if (isLost_) {
            socket.close("the link was already closed");
            return;
        }
        socket_ = std::move(socket);
        const auto nonce = makeNonce();
        if (!nonce) {
            reject("no random bytes are available for a nonce");
            return;
        }
        ownHello_ = Hello{links_->self.host, links_->self.incarnation, links_->self.region, *nonce};
        socket_.send(encode(ownHello_));
    }

    void onReceived(const std::string &bytes);
    void onLost(const std::string &reason);
    void onPong();
    void onPongTimeout();

    void sendGossip(const MembershipMessage &message)
    {
        const std::string bytes = encode(Gossip{message});
        links_->gossipBytes += bytes.size();
        transmit(bytes);
    }

    void notify(Notice notice)
    {
        const auto use = std::holds_alternative<StreamOriginNotice>(notice.body) ? Use::Spare : Use::Needed;
        transmit(encode(std::move(notice)), 0, use);
    }

    void startCall(const std::shared_ptr<CallState> &state, CallBody body)
    {
        const std::uint64_t id = nextCallId_++;
        outgoingCalls_[id] = state;
        state->sendCancel = [self = weak_from_this(), id] {
            if (const auto link = self.lock()) {
                link->outgoingCalls_.erase(id);
                if (std::erase_if(link->pendingFrames_, [id](const PendingFrame &each) { return each.call == id; }) == 0) {
                    link->transmit(encode(Cancel{id}));
                }
            }
        };
        state->isSent = isAuthenticated_;
        if (!transmit(encode(Call{id, std::move(body)}), id)) {
            outgoingCalls_.erase(id);
            state->fail(linkError(expectedPeer_, "the link's queue is full", core::Outcome::NotRun));
        }
    }

    /// Whether both sides have closed; works after the link is gone. Empty before the socket is open.
    [[nodiscard]] std::function<bool()> closedProbe() const { return socket_.isClosed; }
    [[nodiscard]] bool isLost() const { return isLost_; }
    [[nodiscard]] bool isAuthenticated() const { return isAuthenticated_; }
    void close(const std::string &reason)
    {
        if (socket_.close) {
            socket_.close(reason);
        }
        onLost(reason);
    }

private:
    /// Waits for the end of the handshake.
    struct PendingFrame {
        std::string bytes;
        std::uint64_t call = 0; // that it begins; 0: none
    };

    /// Spare: several hosts are told the same, so that a link which has fallen silent costs nothing and need not be found out by a ping.
    enum class Use : std::uint8_t { Needed, Spare };

    bool transmit(const std::string &bytes, std::uint64_t call = 0, Use use = Use::Needed)
    {
        if (isLost_) {
            return false;
        }
        if (!isAuthenticated_) {
            if (pendingFrames_.size() >= maxPendingFrames) {
                return false;
            }
            pendingFrames_.push_back({bytes, call});
            return true;
        }
        const bool isQueued = socket_.send(bytes);
        if (use == Use::Needed) {
            pingIfDue();
        }
        return isQueued;
    }

    void pingIfDue();
    void closeWhenIdle();

    void reject(const std::string &reason)
    {
        if (links_->handlers.onRejected && !isLost_) {
            links_->handlers.onRejected(peerName(), core::Error{.step = core::Step::Peer, .peer = peerName(), .reason = reason});
        }
        close(reason);
    }

    [[nodiscard]] std::string peerName() const { return peerHello_ ? peerHello_->host.value() : expectedPeer_.value(); }

    void handleFrame(const Hello &hello);
    void handleFrame(const Proof &proof);
    void handleFrame(const Gossip &gossip);
    void handleFrame(Call &call);
    void handleFrame(Reply &reply);
    void handleFrame(const Cancel &cancel);
    void handleFrame(const Notice &notice);

    std::shared_ptr<Links::State> links_;
    asio::steady_timer timer_; // of the handshake; of a replaced link's end
    HostId expectedPeer_;      // empty on links that a peer opened
    Socket socket_;
    Hello ownHello_;
    std::optional<Hello> peerHello_;
    bool isAuthenticated_ = false;
    bool isLost_ = false;
    bool awaitsPong_ = false;
    core::Instant pingedAt_;
    core::Milliseconds pongTimeout_{0}; // of the newest ping
    std::deque<PendingFrame> pendingFrames_;
    std::uint64_t nextCallId_ = 1;
    std::unordered_map<std::uint64_t, std::weak_ptr<CallState>> outgoingCalls_;
    std::unordered_map<std::uint64_t, std::weak_ptr<ServedCall>> incomingCalls_;
};

void Link::onReceived(const std::string &bytes)
{
    const auto self = shared_from_this();
    core::Error error;
    auto frame = decode(bytes, error);
    if (!frame) {
        reject(error.reason);
        return;
    }
    const bool isHandshake = std::holds_alternative<Hello>(*frame) || std::holds_alternative<Proof>(*frame);
    if (isHandshake == isAuthenticated_) {
        reject(isAuthenticated_ ? "repeated handshake frame" : "frame before the end of the handshake");
        return;
    }
    if (std::holds_alternative<Gossip>(*frame)) {
        links_->gossipBytes += bytes.size();
    }
    if (isAuthenticated_) {
        links_->heardAt[peerHello_->host] = core::SteadyClock().now();
    }
    std::visit([this](auto &message) { handleFrame(message); }, *frame);
}

void Link::handleFrame(const Hello &hello)
{
    if (peerHello_) {
        reject("repeated handshake frame");
        return;
    }
    if (hello.region != links_->self.region) {
        reject("the peer belongs to another region");
        return;
    }
    if (hello.host == links_->self.host || hello.nonce == ownHello_.nonce) {
        reject("the peer uses the identity of this daemon");
        return;
    }
    if (!expectedPeer_.empty() && hello.host != expectedPeer_) {
        reject("the peer is not the expected host");
        return;
    }
    peerHello_ = hello;
    socket_.send(encode(Proof{makeProof(links_->key, ownHello_, hello)}));
}

void Link::handleFrame(const Proof &proof)
{
    if (!peerHello_ || !proofsEqual(proof.mac, makeProof(links_->key, *peerHello_, ownHello_))) {
        reject("does not hold the deployment's key");
        return;
    }
    isAuthenticated_ = true;
    socket_.setMaxFrameBytes(Links::maxFrameBytes);
    timer_.cancel();
    if (links_->handlers.onAuthenticated) {
        links_->handlers.onAuthenticated(peerHello_->host, peerHello_->incarnation);
    }
    for (const auto &[id, call] : outgoingCalls_) {
        if (const auto state = call.lock()) {
            state->isSent = true;
        }
    }
    for (const auto &frame : std::exchange(pendingFrames_, {})) {
        socket_.send(frame.bytes);
    }
    pingIfDue();
}

/// A link that this daemon opened is asked for a sign of life while it is used: gossip is answered over the peer's own link, and a connection can fall
/// silent for good without a reset.
void Link::pingIfDue()
{
    const auto now = core::SteadyClock().now();
    if (expectedPeer_.empty() || awaitsPong_ || isLost_ || now - pingedAt_ < Links::pingInterval) {
        return;
    }
    if (now - links_->heardAt[expectedPeer_] < unheardTime && now - pingedAt_ < heardPingInterval) {
        return;
    }
    const auto known = links_->pongTimeouts.find(expectedPeer_);
    pongTimeout_ = known == links_->pongTimeouts.end() ? Links::pongTimeout : known->second;
    pingedAt_ = now;
    awaitsPong_ = true;
    socket_.ping(pongTimeout_);
}

void Link::onPong()
{
    awaitsPong_ = false;
    links_->pongTimeouts.erase(expectedPeer_);
    links_->heardAt[expectedPeer_] = core::SteadyClock().now();
}

void Link::onPongTimeout()
{
    const auto self = shared_from_this();
    if (!awaitsPong_ || isLost_) {
        return;
    }
    awaitsPong_ = false;
    constexpr core::Milliseconds lateBy{200};
    if (core::SteadyClock().now() - pingedAt_ > pongTimeout_ + lateBy) { // this process stood still; the pong may wait unread
        pingedAt_ = core::Instant();
        pingIfDue();
        return;
    }
    links_->pongTimeouts[expectedPeer_] = std::min(pongTimeout_ * 2, Links::longestPongTimeout); // a peer that is only slow isn't asked to open link after link
    if (links_->handlers.onSilent) {
        links_->handlers.onSilent(expectedPeer_, core::SteadyClock().now() - pingedAt_);
    }
    links_->replace(expectedPeer_, self);
    closeWhenIdle();
}

/// Replies may still come: from a peer that is only slow, or where one direction is silent.
void Link::closeWhenIdle()
{
    constexpr core::Milliseconds interval{1'000};
    std::erase_if(outgoingCalls_, [](const auto &each) { return each.second.expired(); });
    if (outgoingCalls_.empty()) {
        close("replaced by another link");
        return;
    }
    timer_.expires_after(chronoOf(interval));
    timer_.async_wait([self = weak_from_this()](error_code cancelled) {
        if (const auto link = self.lock(); link && !cancelled) {
            link->closeWhenIdle();
        }
    });
}

void Link::handleFrame(const Gossip &gossip)
{
    if (links_->handlers.onGossip) {
        links_->handlers.onGossip(peerHello_->host, gossip.message);
    }
}

void Link::handleFrame(Call &call)
{
    const std::uint64_t id = call.id;
    auto sender = [self = weak_from_this(), id](ReplyBody reply) {
        const auto link = self.lock();
        if (!link) {
            return false;
        }
        if (isLastReply(reply)) {
            link->incomingCalls_.erase(id);
        }
        return link->transmit(encode(Reply{id, std::move(reply)}));
    };
    const auto served = std::make_shared<ServedCall>(peerHello_->host, peerHello_->incarnation, std::move(call.body), std::move(sender));
    incomingCalls_[id] = served;
    links_->handleCall(served);
}

void Link::handleFrame(Reply &reply)
{
    const auto found = outgoingCalls_.find(reply.id);
    if (found == outgoingCalls_.end()) {
        return; // cancelled in the meantime
    }
    const auto state = found->second.lock();
    if (!state || isLastReply(reply.body)) {
        outgoingCalls_.erase(found);
    }
    if (state) {
        state->push(std::move(reply.body));
    }
}

void Link::handleFrame(const Cancel &cancel)
{
    const auto found = incomingCalls_.find(cancel.id);
    if (found == incomingCalls_.end()) {
        return; // ended in the meantime
    }
    const auto call = found->second.lock();
    incomingCalls_.erase(found);
    if (call) {
        call->cancel(false);
    }
}

void Link::handleFrame(const Notice &notice)
{
    if (links_->handlers.onNotice) {
        links_->handlers.onNotice(peerHello_->host, notice);
    }
}

void Link::onLost(const std::string &reason)
{
    if (std::exchange(isLost_, true)) {
        return;
    }
    const auto self = shared_from_this();
    timer_.cancel();
    socket_ = {}; // the WebSocket's handlers own this link; releasing the WebSocket breaks the cycle
    pendingFrames_.clear();
    for (const auto &[id, call] : std::exchange(outgoingCalls_, {})) {
        if (const auto state = call.lock()) {
            state->fail(linkError(state->host, "link lost: " + reason, state->isSent ? core::Outcome::Unknown : core::Outcome::NotRun));
        }
    }
    for (const auto &[id, call] : std::exchange(incomingCalls_, {})) {
        if (const auto served = call.lock()) {
            served->cancel(true);
        }
    }
    if (links_->replaced.erase(self) == 0 && !expectedPeer_.empty()) {
        links_->retryAt[expectedPeer_] = std::chrono::steady_clock::now() + chronoOf(reconnectDelay);
        links_->outgoing.erase(expectedPeer_);
    }
}

void Links::State::setUpEndpoints()
{
    server.clear_access_channels(websocketpp::log::alevel::all);
    server.clear_error_channels(websocketpp::log::elevel::all);
    client.clear_access_channels(websocketpp::log::alevel::all);
    client.clear_error_channels(websocketpp::log::elevel::all);
    server.init_asio(&io);
    client.init_asio(&io);
    server.set_reuse_addr(true);
    const auto bound = [](auto &endpoint) { // until the peer's proof
        endpoint.set_max_message_size(maxHandshakeBytes);
        endpoint.set_max_http_body_size(maxHandshakeBytes);
        endpoint.set_open_handshake_timeout(static_cast<long>(handshakeTimeout.count()));
    };
    bound(server);
    bound(client);
    server.set_open_handler([this](const connection_hdl &handle) {
        const auto link = std::make_shared<Link>(shared_from_this(), HostId());
        incoming[handle] = link;
        link->start();
        link->onOpened(socketOf(server.get_con_from_hdl(handle)));
    });
    server.set_message_handler([this](const connection_hdl &handle, const Server::message_ptr &message) {
        if (const auto found = incoming.find(handle); found != incoming.end()) {
            const auto link = found->second;
            link->onReceived(message->get_payload());
        }
    });
    server.set_close_handler([this](const connection_hdl &handle) {
        if (const auto node = incoming.extract(handle)) {
            node.mapped()->onLost("closed");
        }
    });
}

std::shared_ptr<Link> Links::State::findOrOpenLink(const HostId &host)
{
    if (const auto found = outgoing.find(host); found != outgoing.end()) {
        return found->second;
    }
    const auto waiting = retryAt.find(host);
    const bool isTooSoon = waiting != retryAt.end() && std::chrono::steady_clock::now() < waiting->second;
    if (isClosed || isTooSoon || !addresses.contains(host)) {
        return nullptr;
    }
    auto link = std::make_shared<Link>(shared_from_this(), host);
    outgoing[host] = link;
    link->start();
    connect(host, link);
    return link;
}

void Links::State::replace(const HostId &host, const std::shared_ptr<Link> &link)
{
    if (const auto current = outgoing.find(host); current != outgoing.end() && current->second == link) {
        replaced.insert(link);
        outgoing.erase(current);
    }
}

void Links::State::connect(const HostId &host, const std::shared_ptr<Link> &link)
{
    websocketpp::lib::error_code errorCode;
    const auto connection = client.get_connection("ws://" + addresses.at(host).text() + "/", errorCode);
    if (errorCode) {
        asio::post(io, [link, errorCode] { link->onLost(errorCode.message()); });
        return;
    }
    const std::weak_ptr<Client::connection_type> weak = connection;
    connection->set_open_handler([link, weak](const connection_hdl &) {
        if (const auto open = weak.lock()) {
            link->onOpened(socketOf(open));
        }
    });
    connection->set_message_handler([link](const connection_hdl &, const Client::message_ptr &message) { link->onReceived(message->get_payload()); });
    connection->set_close_handler([link](const connection_hdl &) { link->onLost("closed"); });
    connection->set_pong_handler([link](const connection_hdl &, const std::string &) { link->onPong(); });
    connection->set_pong_timeout_handler([link](const connection_hdl &, const std::string &) { link->onPongTimeout(); });
    connection->set_fail_handler([link, weak](const connection_hdl &) {
        const auto failing = weak.lock();
        link->onLost(failing ? failing->get_ec().message() : std::string("could not connect"));
    });
    client.connect(connection);
}

void Links::State::handleCall(const std::shared_ptr<ServedCall> &call)
{
    asio::co_spawn(
        io,
        [self = shared_from_this(), call] { return self->handlers.onCall(call); },
        [call](const std::exception_ptr &exception) {
            if (exception) {
                call->send(ErrorReply{core::Error{.step = core::Step::Peer, .reason = "internal error in the peer", .outcome = core::Outcome::Unknown}});
            }
        });
}

std::unique_ptr<OutgoingCall> Links::State::callLocally(CallBody body)
{
    const auto state = std::make_shared<CallState>(io);
    state->host = self.host;
    state->isSent = true;
    auto sender = [weak = std::weak_ptr(state)](ReplyBody reply) {
        const auto awaited = weak.lock();
        if (awaited) {
            awaited->push(std::move(reply));
        }
        return awaited != nullptr;
    };
    const auto served = std::make_shared<ServedCall>(self.host, self.incarnation, std::move(body), std::move(sender));
    state->sendCancel = [served] { served->cancel(false); };
    handleCall(served);
    return std::make_unique<AwaitedCall>(state);
}

Links::Links(asio::io_context &io, Self self, std::string key, LinkHandlers handlers)
    : state_(std::make_shared<State>(io, std::move(self), std::move(key), std::move(handlers)))
{
    state_->setUpEndpoints();
}

Links::~Links()
{
    close();
}

std::optional<net::Address> Links::listen(const net::Address &address, core::Error &error)
{
    websocketpp::lib::error_code errorCode;
    state_->server.listen(asio::ip::tcp::endpoint(asio::ip::make_address(address.ip), address.port), errorCode);
    if (!errorCode) {
        state_->server.start_accept(errorCode);
    }
    if (errorCode) {
        error = core::Error{.step = core::Step::Peer, .peer = address.text(), .reason = "can't listen: " + errorCode.message()};
        return std::nullopt;
    }
    state_->isListening = true;
    error_code ignored;
    return net::Address{address.ip, state_->server.get_local_endpoint(ignored).port()};
}

void Links::setAddress(const HostId &host, const net::Address &address)
{
    const auto known = state_->addresses.find(host);
    const bool isMoved = known != state_->addresses.end() && known->second != address;
    state_->addresses[host] = address;
    if (isMoved) {
        if (const auto link = state_->outgoing.find(host); link != state_->outgoing.end()) {
            const auto old = link->second;
            old->close("the address of the host has changed");
        }
    }
}

void Links::sendGossip(const HostId &to, MembershipMessage message)
{
    if (const auto link = state_->findOrOpenLink(to)) {
        link->sendGossip(message);
    }
}

void Links::notify(const HostId &to, Notice notice)
{
    if (to == state_->self.host) {
        state_->handlers.onNotice(to, notice);
    } else if (const auto link = state_->findOrOpenLink(to)) {
        link->notify(std::move(notice));
    }
}

std::unique_ptr<OutgoingCall> Links::call(const HostId &to, CallBody body)
{
    if (to == state_->self.host) {
        return state_->callLocally(std::move(body));
    }
    const auto state = std::make_shared<CallState>(state_->io);
    state->host = to;
    if (const auto link = state_->findOrOpenLink(to)) {
        link->startCall(state, std::move(body));
    } else {
        state->fail(linkError(to, "no link to this host", core::Outcome::NotRun));
    }
    return std::make_unique<AwaitedCall>(state);
}

bool Links::isOpen(const HostId &host) const
{
    const auto found = state_->outgoing.find(host);
    return found != state_->outgoing.end() && found->second->isAuthenticated();
}

void Links::setKey(std::string key)
{
    if (key == state_->key) {
        return;
    }
    state_->key = std::move(key);
    std::vector<std::shared_ptr<Link>> links; // closing one changes the maps
    for (const auto &[host, link] : state_->outgoing) {
        links.push_back(link);
    }
    for (const auto &[handle, link] : state_->incoming) {
        links.push_back(link);
    }
    links.insert(links.end(), state_->replaced.begin(), state_->replaced.end());
    for (const auto &link : links) {
        link->close("the key changed");
    }
}

void Links::close()
{
    if (std::exchange(state_->isClosed, true)) {
        return;
    }
    websocketpp::lib::error_code ignored;
    if (state_->isListening) {
        state_->server.stop_listening(ignored);
    }
    for (const auto &[host, link] : std::exchange(state_->outgoing, {})) {
        link->close("stopping");
    }
    for (const auto &[handle, link] : std::exchange(state_->incoming, {})) {
        link->close("stopping");
    }
    for (const auto &link : std::exchange(state_->replaced, {})) {
        link->close("stopping");
    }
}

net::Task<void> Links::finish(core::Milliseconds patience)
{
    std::vector<std::function<bool()>> open;
    for (const auto &[host, link] : state_->outgoing) {
        open.push_back(link->closedProbe());
    }
    for (const auto &[handle, link] : state_->incoming) {
        open.push_back(link->closedProbe());
    }
    close();
    constexpr core::Milliseconds interval{5};
    const core::SteadyClock clock;
    const auto until = clock.now() + patience;
    while (clock.now() < until) {
        std::erase_if(open, [](const std::function<bool()> &isClosed) { return !isClosed || isClosed(); });
        if (open.empty()) {
            co_return;
        }
        co_await net::sleep(state_->io, interval);
    }
}

std::uint64_t Links::gossipBytes() const
{
    return state_->gossipBytes;
}

std::size_t Links::openLinks() const
{
    return state_->outgoing.size() + state_->incoming.size();
}

} // namespace baobabstall::peers
