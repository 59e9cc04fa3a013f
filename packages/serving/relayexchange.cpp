#include <serving/relayexchange.h>

#include <algorithm>
#include <charconv>

#include <boost/beast/http/status.hpp>

#include <serving/callers.h>

namespace baobabstall::serving {

namespace asio = boost::asio;
using core::Error;
using core::Outcome;
using core::Step;

/// The caller of a relayed request, at the host that sends it: writes to the call.
class RelayedCaller final : public CallerConnection
{
public:
    RelayedCaller(asio::io_context &io, std::shared_ptr<peers::IncomingCall> call, RelayGate &gate, bool hasHead)
        : call_(std::move(call))
        , gate_(gate)
        , signal_(io)
        , hasHead_(hasHead)
    { }
    ~RelayedCaller() override { gate_.removeBytes(unread_); }
    RelayedCaller(const RelayedCaller &) = delete;
    RelayedCaller &operator=(const RelayedCaller &) = delete;

    net::Task<bool> write(std::string bytes) override
    {
        std::size_t begin = 0;
        if (!hasHead_) {
            begin = sendHead(bytes);
        }
        while (begin < bytes.size() && !isDisconnected()) {
            if (unread_ >= RelayExchange::window && !co_await waitForCredit()) {
                breakOff();
                break;
            }
            const auto size = std::min({bytes.size() - begin, RelayExchange::pieceBytes, RelayExchange::window - unread_});
            isAborted_ = !call_->send(peers::DataReply{bytes.substr(begin, size)}) || isAborted_;
            unread_ += size;
            gate_.addBytes(size);
            begin += size;
        }
        co_return !isDisconnected();
    }

    void onDisconnect(std::function<void()> callback) override { onDisconnect_ = std::move(callback); }
    [[nodiscard]] bool isDisconnected() const override { return isAborted_ || call_->isCancelled(); }
    void breakOff() override { isAborted_ = true; }
    void endWith(std::string_view /*response*/) override { isAborted_ = true; } // the account says it
    [[nodiscard]] bool closesAfterResponse() override { return false; }         // the first host decides this for its connection

    void onCancelled()
    {
        signal_.cancel();
        if (const auto callback = std::exchange(onDisconnect_, nullptr)) {
            callback();
        }
    }

    void addCredit(std::size_t bytes)
    {
        const auto read = std::min(bytes, unread_);
        unread_ -= read;
        gate_.removeBytes(read);
        signal_.cancel();
    }

    [[nodiscard]] bool isWhole() const { return hasHead_ && !isDisconnected(); }

    void onConfirmed(Milliseconds age)
    {
        age_ = age_.value_or(age);
        signal_.cancel();
    }

    /// How long ago the caller sent its first byte, by its host's word in time. What the host said before may have been long on its way, with the word that
    /// the caller has left behind it.
    net::Task<std::optional<Milliseconds>> awaitConfirmation()
    {
        const auto until = core::SteadyClock().now() + RelayExchange::confirmTimeout;
        while (!age_ && !isDisconnected() && core::SteadyClock().now() < until) {
            signal_.expires_after(net::chronoOf(until - core::SteadyClock().now()));
            co_await signal_.async_wait(net::tuple);
        }
        const bool isInTime = core::SteadyClock().now() < until + RelayExchange::maxLateWait;
        co_return isInTime && !isDisconnected() ? age_ : std::nullopt;
    }

private:
    /// Returns the length of the head in `bytes`.
    std::size_t sendHead(const std::string &bytes)
    {
        constexpr std::size_t statusAt = sizeof("HTTP/1.1 ") - 1;
        constexpr std::size_t lineEnd = 2;
        hasHead_ = true;
        const auto fieldsAt = bytes.find("\r\n") + lineEnd;
        const auto end = bytes.find("\r\n\r\n", fieldsAt - lineEnd) + lineEnd;
        peers::RelayHeadReply head;
        std::from_chars(bytes.data() + statusAt, bytes.data() + fieldsAt, head.status);
        head.fields = bytes.substr(fieldsAt, end - fieldsAt);
        isAborted_ = !call_->send(std::move(head)) || isAborted_;
        return end + lineEnd;
    }

    net::Task<bool> waitForCredit()
    {
        const auto until = core::SteadyClock().now() + RelayExchange::creditTimeout;
        while (unread_ >= RelayExchange::window && !isDisconnected()) {
            const auto left = until - core::SteadyClock().now();
            if (left.count() <= 0) {
                co_return false;
            }
            signal_.expires_after(net::chronoOf(left));
            co_await signal_.async_wait(net::tuple);
        }
        co_return !isDisconnected();
    }

    std::shared_ptr<peers::IncomingCall> call_;
    RelayGate &gate_;
    asio::steady_timer signal_;
    std::function<void()> onDisconnect_;
    std::optional<Milliseconds> age_; // as the first host confirmed it
    std::size_t unread_ = 0;          // bytes that the first host has not passed on yet
    bool hasHead_;                    // the first host has it
    bool isAborted_ = false;
};

namespace {

constexpr std::string_view reasonUnconfirmed = "caller_not_confirmed"; // of a refusal

std::size_t bytesOf(const CallerRequest &request)
{
    std::size_t bytes = request.method.size() + request.target.size() + request.host.size() + request.body.size();
    for (const auto &[name, value] : request.headers) {
        bytes += name.size() + value.size();
    }
    return bytes;
}

std::string headOf(const peers::RelayHeadReply &reply, bool closes)
{
    const auto text = boost::beast::http::obsolete_reason(static_cast<boost::beast::http::status>(reply.status));
    std::string head = "HTTP/1.1 " + std::to_string(reply.status) + " ";
    head.append(text.data(), text.size()).append("\r\n").append(reply.fields);
    return head.append(closes ? "Connection: close\r\n\r\n" : "\r\n");
}

bool isChunked(const peers::RelayHeadReply &reply)
{
    return reply.fields.find("Transfer-Encoding: chunked\r\n") != std::string::npos;
}

} // namespace

RelayExchange::RelayExchange(Node &node, Forwarder &forwarder, Reach reach)
    : node_(node)
    , forwarder_(forwarder)
    , reach_(std::move(reach))
    , peers_(node.settings.host, node.settings.zone)
{ }

RelayExchange::~RelayExchange() = default;

// ---- At the host that reaches no upstream ----

bool RelayExchange::isNeeded() const
{
    return links_ != nullptr && reach_.isCutOff();
}

net::Task<void> RelayExchange::relay(CallerConnection &caller, const CallerRequest &request, RelayTask &task)
{
    if (links_ == nullptr) {
        co_return;
    }
    if (bytesOf(request) + frameMargin > peers::Links::maxFrameBytes) {
        task.isTooLarge = true;
        task.reason = "too_large_to_relay";
        co_return;
    }
    std::vector<HostId> excluded; // that refused the request, or were lost with it
    const RelayPeers::Wanted wanted{{}, reach_.reaches, [this](const HostId &host) { return links_->isOpen(host); }};
    while (static_cast<int>(excluded.size()) < task.maxPeers && task.tries.left() > 0 && !task.isCancelled && node_.now() < task.deadline) {
        auto next = wanted;
        next.excluded = excluded;
        const auto host = peers_.pick(next, node_.now());
        if (!host) {
            break;
        }
        if (task.tries.used() > 0 && !task.spendRepeat()) {
            task.reason = "retry_budget";
            break;
        }
        const int usedBefore = task.tries.used();
        const auto end = co_await askPeer(*host, caller, request, task);
        task.sends += RelayTask::sendsOfPeer;
        if (!end.mayContinue) {
            break;
        }
        if (!end.isPeerUsable || task.tries.used() == usedBefore) {
            excluded.push_back(*host);
        }
    }
    node_.metrics.relays.add({"first", task.isAnswered ? "answered" : task.reason});
}

net::Task<RelayExchange::CallEnd> RelayExchange::askPeer(HostId host, CallerConnection &caller, const CallerRequest &request, RelayTask &task)
{
    const RelayPeers::Use use(peers_, host);
    const auto id = nextId_++;
    const int lent = task.tries.reserve();
    peers::RelayCall message{id,
                             request.method,
                             request.target,
                             request.host,
                             {},
                             request.body,
                             (node_.now() - request.arrivedAt).count(),
                             task.tries.sentToForPeer(),
                             task.sends,
                             task.mayHaveRun,
                             task.hasBegun,
                             task.lastEventId ? static_cast<std::int64_t>(*task.lastEventId) : -1,
                             task.version ? task.version->value() : std::string(),
                             lent,
                             task.tries.left(),
                             task.cuts,
                             true};
    for (const auto &[name, value] : request.headers) {
        message.fields.emplace_back(name, value);
    }
    task.host = host;
    const auto askedAt = node_.now();
    const int usedBefore = task.tries.used();
    const auto call = links_->call(host, std::move(message));
    task.cancel = [&call] { call->cancel(); };
    const auto end = co_await passOn(*call, host, id, caller, task, request.arrivedAt);
    task.cancel = nullptr;
    task.tries.releaseUnknown(); // unless passOn() knows better
    if (!task.isAnswered) {
        node_.log.info("relay_ended",
                       {{"request_id", task.request},
                        {"to", host},
                        {"relay", id},
                        {"why", task.reason},
                        {"detail", task.detail},
                        {"took_ms", node_.now() - askedAt},
                        {"sent_before", usedBefore},
                        {"sent_there", task.tries.used() - usedBefore},
                        {"may_have_run", task.mayHaveRun},
                        {"left_ms", task.deadline - node_.now()},
                        {"cut_off", reach_.isCutOff()},
                        {"link_open", links_->isOpen(host)}});
    }
    co_return end;
}

/// The peer's own word on a request that did not end well there. Returns whether the request may be sent on.
bool RelayExchange::applyAccount(const peers::ErrorReply &refusal, bool hasPassedOn, RelayTask &task)
{
    const auto &account = *refusal.relayed;
    const bool isNotRun = refusal.error.outcome == Outcome::NotRun && !hasPassedOn;
    task.tries.release(account.sentTo);
    task.cuts += std::max(0, account.cuts);
    task.mayHaveRun = task.mayHaveRun || !isNotRun;
    task.isFinal = account.isFinal;
    task.retryAfter = refusal.error.retryAfter;
    if (hasPassedOn && task.isResumable && account.lastEventId >= 0 && !account.version.empty()) {
        task.hasBegun = true;
        task.lastEventId = static_cast<std::uint64_t>(account.lastEventId);
        task.version = SoftwareVersion(account.version);
        return true;
    }
    return !account.isFinal && !hasPassedOn && (!task.mayHaveRun || task.mayRepeat);
}

net::Task<RelayExchange::CallEnd>
RelayExchange::passOn(peers::OutgoingCall &call, const HostId &host, std::uint64_t id, CallerConnection &caller, RelayTask &task, Instant arrivedAt)
{
    std::optional<peers::RelayHeadReply> head;
    const bool isContinued = task.hasBegun;
    std::string held;         // of the answer, until the caller may get it
    bool hasPassedOn = false; // to the caller, of this peer's answer
    ResponseBudget::Share share(node_.responseBudget);
    bool isAccepted = false;
    while (true) {
        Error why;
        const auto left = std::max(Milliseconds(0), task.deadline - node_.now());
        const auto until = node_.now() + std::min(left, isAccepted ? livenessInterval : acceptTimeout);
        auto reply = co_await call.next(until - node_.now(), why);
        if (!reply && !call.isFinished() && node_.now() - until > maxLateWait && node_.now() < task.deadline) {
            continue; // this host stood still, so the reply may be there unread
        }
        if (!reply && !call.isFinished() && isAccepted && node_.now() < task.deadline && peers_.isLive(host)) {
            continue;
        }
        if (!reply && !call.isFinished() && !isAccepted && !task.mayRepeat && node_.now() < task.deadline && peers_.isLive(host)) {
            continue; // it may run there, so nobody else may run it
        }
        if (!reply) {
            const bool isUnsent = why.outcome == Outcome::NotRun;
            task.mayHaveRun = task.mayHaveRun || !isUnsent;
            task.reason = "relay_lost";
            task.detail = why.reason;
            if (!task.isCancelled) {
                peers_.onLost(host, node_.now());
            }
            call.cancel();
            if (isUnsent) {
                task.tries.releaseUnused();
            }
            co_return CallEnd{.mayContinue = !hasPassedOn && (!task.mayHaveRun || task.mayRepeat)};
        }
        if (std::holds_alternative<peers::StartedReply>(*reply)) {
            isAccepted = true;
            if (!caller.isGone()) {
                links_->notify(host, {peers::RelayCreditNotice{id, 0, (node_.now() - arrivedAt).count()}});
            }
        } else if (auto *answerHead = std::get_if<peers::RelayHeadReply>(&*reply); answerHead != nullptr && !isContinued) {
            head = std::move(*answerHead);
            task.firstBytes = node_.now() - arrivedAt;
            held = headOf(*head, caller.closesAfterResponse());
        } else if (auto *data = std::get_if<peers::DataReply>(&*reply); data != nullptr && (head || isContinued)) {
            const auto size = data->data.size();
            held.append(data->data);
            if (!share.resize(held.size())) {
                task.mayHaveRun = true;
                task.reason = "answer_too_large";
                call.cancel();
                co_return CallEnd();
            }
            if (isContinued || isChunked(*head)) {
                task.status = head ? head->status : task.status;
                task.hasBegun = task.hasPassedOn = hasPassedOn = true;
                if (!co_await caller.write(std::exchange(held, {}))) {
                    call.cancel();
                    task.reason = "caller_gone";
                    co_return CallEnd();
                }
            }
            links_->notify(host, {peers::RelayCreditNotice{id, static_cast<std::int64_t>(size)}});
        } else if (std::holds_alternative<peers::EndReply>(*reply) && (head || isContinued)) {
            task.status = head ? head->status : task.status;
            task.isAnswered = true;
            if (!held.empty()) {
                co_await caller.write(std::move(held));
            }
            co_return CallEnd();
        } else {
            const auto *refusal = std::get_if<peers::ErrorReply>(&*reply);
            const bool isNotRun = refusal != nullptr && refusal->error.outcome == Outcome::NotRun && !head && !hasPassedOn;
            task.reason = isNotRun ? "relay_refused" : "relay_cut";
            task.detail = refusal != nullptr ? refusal->error.reason : "unexpected reply";
            CallEnd end;
            if (refusal != nullptr && refusal->relayed) {
                end.mayContinue = applyAccount(*refusal, hasPassedOn, task);
                end.isPeerUsable = !refusal->relayed->sentTo.empty();
            } else {
                task.mayHaveRun = task.mayHaveRun || !isNotRun;
                end.mayContinue = !hasPassedOn && (!task.mayHaveRun || task.mayRepeat);
            }
            if (isNotRun && !end.isPeerUsable) {
                task.tries.releaseUnused();
                task.retryAfter = refusal->error.retryAfter;
                if (!task.isFinal) {
                    peers_.onRefused(host, refusal->error.retryAfter, node_.now());
                }
            }
            call.cancel();
            co_return end;
        }
    }
}

// ---- At the host that sends ----

/// A request of another host, while this one has it.
class RelayExchange::Served
{
public:
    Served(RelayExchange &exchange, const peers::IncomingCall &call, const peers::RelayCall &message, RelayedCaller &caller)
        : exchange_(exchange)
        , key_(call.from(), message.id)
        , bytes_(message.body.size())
    {
        exchange_.served_[key_] = &caller;
        exchange_.gate_.begin();
        exchange_.gate_.addBytes(bytes_);
    }
    ~Served()
    {
        exchange_.gate_.removeBytes(bytes_);
        exchange_.gate_.end();
        exchange_.served_.erase(key_);
    }
    Served(const Served &) = delete;
    Served &operator=(const Served &) = delete;

private:
    RelayExchange &exchange_;
    std::pair<HostId, std::uint64_t> key_;
    std::size_t bytes_;
};

Error RelayExchange::errorOf(std::string_view reason, Outcome outcome, std::optional<Milliseconds> retryAfter) const
{
    return Error{.step = Step::Peer,
                 .peer = node_.settings.host.value(),
                 .reason = std::string(reason),
                 .refusal = core::Refusal::Unavailable,
                 .outcome = outcome,
                 .retryAfter = retryAfter};
}

net::Task<void> RelayExchange::serve(std::shared_ptr<peers::IncomingCall> call)
{
    const auto &message = std::get<peers::RelayCall>(call->body());
    const auto reason = gate_.refusal({.isCutOff = reach_.isCutOff(),
                                       .isStopping = node_.stop.hasBegun(),
                                       .isConfigured = node_.routes != nullptr,
                                       .linkMbps = node_.settings.hosting.linkMbps},
                                      message.body.size());
    if (!reason.empty()) {
        node_.metrics.relays.add({"sender", reason});
        const auto retryAfter = reason == RelayGate::reasonCutOff ? cutOffRetryAfter : RelayGate::busyRetryAfter;
        call->send(peers::ErrorReply{errorOf(reason, Outcome::NotRun, retryAfter)});
        co_return;
    }
    call->send(peers::StartedReply{});
    const auto caller = std::make_shared<RelayedCaller>(node_.io, call, gate_, message.hasBegun);
    call->onCancel([weak = std::weak_ptr(caller)] {
        if (const auto relayed = weak.lock()) {
            relayed->onCancelled();
        }
    });
    RelayedFrom from;
    from.host = call->from();
    from.sentTo = message.sentTo;
    from.tries = message.tries >= 0 ? std::optional(message.tries) : std::nullopt;
    from.keptTries = message.keptTries;
    from.sends = message.sends;
    from.cuts = message.cuts;
    from.mayHaveRun = message.mayHaveRun;
    from.hasBegun = message.hasBegun;
    if (message.lastEventId >= 0) {
        from.lastEventId = static_cast<std::uint64_t>(message.lastEventId);
    }
    if (!message.version.empty()) {
        from.version = SoftwareVersion(message.version);
    }
    CallerRequest request;
    request.method = message.method;
    request.target = message.target;
    request.host = message.host;
    request.body = message.body;
    request.arrivedAt = node_.now() - Milliseconds(std::max<std::int64_t>(0, message.ageMs));
    request.relayedFrom = &from;
    for (const auto &[name, value] : message.fields) {
        request.headers.push_back({name, value});
    }
    bool hasReturned = false;
    const auto giveBack = [&] {
        if (!std::exchange(hasReturned, true)) {
            returnRequest(*call, *caller, from);
        }
    };
    from.returnNow = giveBack;
    {
        const Served served(*this, *call, message, *caller);
        if (message.confirms) {
            const auto age = co_await caller->awaitConfirmation();
            if (!age) {
                node_.metrics.relays.add({"sender", reasonUnconfirmed});
                call->send(peers::ErrorReply{errorOf(reasonUnconfirmed, Outcome::NotRun, RelayGate::busyRetryAfter)});
                co_return;
            }
            request.arrivedAt = node_.now() - std::max(*age, Milliseconds(message.ageMs));
        }
        co_await forwarder_.handle(*caller, request);
        caller->onDisconnect(nullptr);
    }
    if (!hasReturned && !from.account.isDeclined && caller->isWhole()) {
        node_.metrics.relays.add({"sender", "answered"});
        call->send(peers::EndReply{});
        co_return;
    }
    giveBack();
}

/// Tells the first host what was done for its request, which has got no whole answer here.
void RelayExchange::returnRequest(peers::IncomingCall &call, const RelayedCaller &caller, const RelayedFrom &from)
{
    const auto &account = from.account;
    const bool isBrokenOff = !account.isDeclined || caller.isDisconnected();
    node_.metrics.relays.add({"sender", call.isCancelled() ? "caller_gone" : isBrokenOff ? "cut" : account.sentTo.empty() ? "declined" : "returned"});
    const bool isNotRun = !account.mayHaveRun && !isBrokenOff;
    peers::ErrorReply reply{errorOf(isBrokenOff ? "the answer is not whole" : account.reason,
                                    isNotRun ? Outcome::NotRun : Outcome::Unknown,
                                    from.tries     ? account.retryAfter
                                        : isNotRun ? std::optional(cutOffRetryAfter)
                                                   : std::nullopt),
                            std::nullopt};
    if (from.tries) {
        reply.relayed = peers::RelayAccount{.sentTo = account.sentTo, .cuts = account.cuts, .isFinal = account.isFinal, .lastEventId = -1, .version = {}};
        if (!isBrokenOff && account.lastEventId && account.version) {
            reply.relayed->lastEventId = static_cast<std::int64_t>(*account.lastEventId);
            reply.relayed->version = account.version->value();
        }
    }
    call.send(std::move(reply));
}

void RelayExchange::onCredit(const HostId &from, const peers::RelayCreditNotice &notice)
{
    const auto found = served_.find({from, notice.id});
    if (found == served_.end()) {
        return;
    }
    if (notice.ageMs >= 0) {
        found->second->onConfirmed(Milliseconds(notice.ageMs));
    }
    if (notice.bytes > 0) {
        found->second->addCredit(static_cast<std::size_t>(notice.bytes));
    }
}

} // namespace baobabstall::serving
