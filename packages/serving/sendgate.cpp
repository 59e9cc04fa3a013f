#include <serving/sendgate.h>

#include <cmath>

namespace baobabstall::serving {

namespace asio = boost::asio;

namespace {

/// A permit of another host that is held: its call.
struct RemoteHold {
    std::unique_ptr<peers::OutgoingCall> call;
};

constexpr double noRefusals = -1; // in messages: the caller does not know that the upstream is brittle

} // namespace

class SendGate::QueueHold
{
public:
    QueueHold(std::shared_ptr<Queue> queue, SendHoldId id)
        : queue_(std::move(queue))
        , id_(id)
    { }
    QueueHold(const QueueHold &) = delete;
    QueueHold &operator=(const QueueHold &) = delete;
    ~QueueHold()
    {
        const auto now = core::SteadyClock().now();
        queue_->room.end(id_, now);
        queue_->start(now);
    }

    [[nodiscard]] SendHoldId id() const { return id_; }
    void lose() { queue_->room.lose(id_); }

private:
    std::shared_ptr<Queue> queue_;
    SendHoldId id_;
};

void SendGate::Queue::start(Instant now)
{
    if (isClosed) {
        return;
    }
    for (const auto id : room.start(now)) {
        if (const auto waiter = waiters.find(id); waiter != waiters.end()) {
            waiter->second->cancel();
        }
    }
}

void SendGate::Queue::close()
{
    isClosed = true;
    for (const auto &[id, waiter] : waiters) {
        waiter->cancel();
    }
}

net::Task<SendPermit> SendGate::request(SendRequest request)
{
    if (request.scarce) {
        co_return co_await scarce_.request(std::move(request));
    }
    const auto id = request.upstream;
    const auto &limit = request.limit;
    if (limit.maxRefusals) {
        node_.applyBrittle(id, *limit.maxRefusals, limit.namedAt);
    }
    SendPermit permit{.isGranted = true};
    if (maxRefusals(id)) {
        permit = co_await takePlace(id, request);
    } else if (!limit.isRate()) {
        permit = SendPermit{.isLimited = false};
    }
    if (permit.isGranted && permit.isLimited && limit.isRate()) {
        auto rated = owned_[id].rate.request(limit, request.maxWait, node_.now());
        rated.hold = rated.isGranted ? std::move(permit.hold) : nullptr;
        permit = std::move(rated);
    }
    node_.metrics.sendPermits.add({!permit.isLimited ? "not_limited" : permit.isGranted ? "granted" : "refused"});
    co_return permit;
}

net::Task<SendPermit> SendGate::takePlace(UpstreamId id, SendRequest request)
{
    auto &place = owned_[id].queue;
    if (!place) {
        const auto since = ownedSince_.find(id);
        place = std::make_shared<Queue>(since == ownedSince_.end() ? node_.now() : since->second);
    }
    const auto queue = place;
    const auto begin = node_.now();
    updateBounds(id, queue->room, maxRefusals(id).value_or(0));
    queue->start(begin);
    const auto expected = queue->room.expectedWait();
    auto hold = std::make_shared<QueueHold>(queue, queue->room.request(request.tokens, begin + request.maxWait + request.timeLeft, begin));
    queue->start(begin);
    if (!queue->room.isStarted(hold->id()) && expected <= request.maxWait) {
        const auto timer = std::make_shared<asio::steady_timer>(node_.io, net::chronoOf(request.maxWait));
        queue->waiters[hold->id()] = timer;
        co_await timer->async_wait(net::tuple);
        queue->waiters.erase(hold->id());
    }
    if (queue->isClosed && !maxRefusals(id)) { // meanwhile its answers said so
        co_return SendPermit{.isLimited = false};
    }
    if (queue->isClosed || !queue->room.isStarted(hold->id())) {
        co_return SendPermit{.wait = expected};
    }
    SendPermit permit{.isGranted = true};
    permit.hold = std::move(hold);
    co_return permit;
}

std::optional<double> SendGate::maxRefusals(const UpstreamId &id) const
{
    const auto *record = node_.replicas.find(id);
    const auto limit = record == nullptr ? node_.limits.find(id) : node_.sendLimit(*record);
    return limit ? limit->maxRefusals : std::nullopt;
}

void SendGate::updateBounds(const UpstreamId &id, SendRoom &room, double maxRefusals) const
{
    const auto *record = node_.replicas.find(id);
    const auto *service = record != nullptr && node_.routes ? node_.routes->service(record->service) : nullptr;
    room.setBounds({.slots = record == nullptr ? 1 : record->slots,
                    .memoryTokens = service != nullptr && service->engine ? service->engine->kvCacheTokens : 0,
                    .maxRefusals = maxRefusals,
                    .reported = reportedLoad_(id)},
                   node_.now());
}

net::Task<std::optional<SendPermit>> SendGate::requestAtOwner(peers::Links &links, HostId owner, SendRequest request)
{
    if (request.scarce) {
        co_return co_await scarce_.requestAtOwner(links, std::move(owner), std::move(request));
    }
    const auto &limit = request.limit;
    auto hold = std::make_shared<RemoteHold>();
    hold->call = links.call(owner,
                            peers::SendCall{request.upstream,
                                            limit.perSecond,
                                            (node_.now() - limit.namedAt).count(),
                                            request.maxWait.count(),
                                            limit.maxRefusals.value_or(noRefusals),
                                            request.timeLeft.count(),
                                            request.tokens});
    core::Error why;
    const auto reply = co_await hold->call->next(request.maxWait + replyTimeout, why);
    const auto *permit = reply ? std::get_if<peers::SendReply>(&*reply) : nullptr;
    if (permit == nullptr) {
        co_return std::nullopt;
    }
    SendPermit result{permit->isLimited, permit->isGranted, Milliseconds(std::max<std::int64_t>(0, permit->waitMs))};
    if (permit->isHeld) {
        result.hold = std::move(hold);
    }
    co_return result;
}

net::Task<void> SendGate::serve(std::shared_ptr<peers::IncomingCall> call, peers::SendCall request)
{
    if (request.workMs > 0) {
        scarce_.serve(call, request);
        co_return;
    }
    const bool isSound = std::isfinite(request.perSecond) && request.perSecond >= 0 && request.ageMs >= 0 && !std::isnan(request.maxRefusals)
        && std::isfinite(request.tokens) && request.tokens >= 0;
    if (!isSound) {
        call->send(peers::ErrorReply{{.step = core::Step::Peer, .peer = node_.settings.host.value(), .reason = "the limit or its age is no number from 0 on"}});
        co_return;
    }
    constexpr std::int64_t longestMs = 3'600'000;
    UpstreamLimits::Limit limit{request.perSecond, node_.now() - Milliseconds(std::min(request.ageMs, longestMs)), std::nullopt};
    if (request.maxRefusals >= 0) {
        limit.maxRefusals = request.maxRefusals;
    }
    auto permit = co_await this->request({.upstream = request.upstream,
                                          .limit = limit,
                                          .maxWait = Milliseconds(std::clamp<std::int64_t>(request.maxWaitMs, 0, longestMs)),
                                          .timeLeft = Milliseconds(std::clamp<std::int64_t>(request.holdMs, 0, longestMs)),
                                          .tokens = request.tokens});
    const bool isHeld = permit.hold != nullptr && request.holdMs > 0;
    if (isHeld) {
        call->onCancel([hold = std::static_pointer_cast<QueueHold>(permit.hold), call]() mutable { // the link itself does not keep the call
            if (call->isLinkLost()) {
                hold->lose();
            }
            hold.reset();
        });
        permit.hold.reset();
    }
    call->send(peers::SendReply{permit.isLimited, permit.isGranted, permit.wait.count(), isHeld});
}

void SendGate::onLimitEnded(const UpstreamId &id)
{
    if (const auto owned = owned_.find(id); owned != owned_.end()) {
        owned->second.rate.onLimitEnded(node_.now());
    }
    onRestarted(id);
}

void SendGate::onRefused(const UpstreamId &id)
{
    if (const auto owned = owned_.find(id); owned != owned_.end() && owned->second.queue) {
        owned->second.queue->room.onRefused(node_.now());
    }
}

void SendGate::onOwned(const UpstreamId &id)
{
    ownedSince_[id] = node_.now();
}

void SendGate::onRestarted(const UpstreamId &id)
{
    if (const auto owned = owned_.find(id); owned != owned_.end() && owned->second.queue) {
        owned->second.queue->close();
        owned->second.queue.reset();
    }
}

void SendGate::remove(const UpstreamId &id)
{
    onRestarted(id);
    scarce_.remove(id);
    ownedSince_.erase(id);
    owned_.erase(id);
}

void SendGate::tick()
{
    if (node_.settings.hosting.ownerPlaces > 0) {
        scarce_.tick(reportedLoad_);
    }
    for (auto &[id, owned] : owned_) {
        const auto refusals = owned.queue ? maxRefusals(id) : std::nullopt;
        if (refusals) {
            updateBounds(id, owned.queue->room, *refusals);
            owned.queue->start(node_.now());
        }
    }
}

} // namespace baobabstall::serving
