#include <serving/prefillgate.h>

#include <serving/residencycalls.h>

namespace baobabstall::serving {

namespace asio = boost::asio;

namespace {

constexpr Milliseconds replyMargin{60}; // for the owner's answer to arrive once the wait is over: some round trips and a busy host

/// A turn at another host: its call.
struct RemoteTurn final : TurnHolder {
    std::unique_ptr<peers::OutgoingCall> call;
};

} // namespace

class PrefillGate::QueueTurn final : public TurnHolder
{
public:
    QueueTurn(std::shared_ptr<Queue> queue, TurnId id)
        : queue_(std::move(queue))
        , id_(id)
    { }
    QueueTurn(const QueueTurn &) = delete;
    QueueTurn &operator=(const QueueTurn &) = delete;
    ~QueueTurn() override
    {
        queue_->turns.end(id_);
        queue_->start(core::SteadyClock().now());
    }

private:
    std::shared_ptr<Queue> queue_;
    TurnId id_;
};

PrefillGate::PrefillGate(Node &node)
    : node_(node)
{ }

void PrefillGate::Queue::start(Instant now)
{
    for (const auto id : turns.start(now)) {
        if (const auto waiter = waiters.find(id); waiter != waiters.end()) {
            waiter->second->cancel();
        }
    }
}

void PrefillGate::start(const UpstreamId &replica, Queue &queue)
{
    queue.start(node_.now());
    node_.noteGivenWay("prompt", replica, queue.turns.takeGivenWay());
}

net::Task<PrefillTurn> PrefillGate::enter(PrefillRequest request)
{
    const auto maxWait = request.maxWait;
    auto &place = queues_[request.replica];
    if (!place) {
        place = std::make_shared<Queue>();
    }
    const auto queue = place;
    const auto begin = node_.now();
    queue->turns.setLimit(node_.prefillLimit(request.replica));
    const auto id = queue->turns.request(request.promptTokens, begin + maxWait, begin, request.claimant);
    auto turn = std::make_unique<QueueTurn>(queue, id);
    start(request.replica, *queue);
    if (!queue->turns.isStarted(id)) {
        const auto timer = std::make_shared<asio::steady_timer>(node_.io, net::chronoOf(maxWait));
        queue->waiters[id] = timer;
        co_await timer->async_wait(net::tuple);
        queue->waiters.erase(id);
        start(request.replica, *queue);
    }
    node_.metrics.prefillWait.observe({"owner"}, node_.now() - begin);
    co_return turn;
}

net::Task<PrefillTurn> PrefillGate::enterAtOwner(peers::Links &links, HostId owner, PrefillRequest request)
{
    auto turn = std::make_unique<RemoteTurn>();
    turn->call = links.call(owner, callOf(request));
    core::Error why;
    const auto begin = node_.now();
    const auto reply = co_await turn->call->next(request.maxWait + replyMargin, why);
    const bool isGranted = reply && std::holds_alternative<peers::GrantReply>(*reply);
    node_.metrics.prefillWait.observe({isGranted ? "granted" : "unanswered"}, node_.now() - begin);
    if (!isGranted) {
        co_return nullptr;
    }
    co_return turn;
}

net::Task<void> PrefillGate::serve(std::shared_ptr<peers::IncomingCall> call, peers::PrefillCall request)
{
    auto turn = std::make_shared<PrefillTurn>(co_await enter(requestOf(request)));
    call->onCancel([turn, call] { turn->reset(); }); // the link itself does not keep the call
    call->send(peers::GrantReply{});
}

void PrefillGate::remove(const UpstreamId &replica)
{
    queues_.erase(replica);
}

} // namespace baobabstall::serving
