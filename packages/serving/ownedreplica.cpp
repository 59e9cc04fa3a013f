#include <serving/ownedreplica.h>

#include <algorithm>
#include <array>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace baobabstall::serving {

namespace asio = boost::asio;

namespace {

constexpr Milliseconds orderTimeout{150}; // orders are usually answered within 1 to 9 ms; an unanswered one may still be executed
constexpr Milliseconds reportTimeout{800};
// Answers to orders and reports name no call, so a connection that brought a refusal is closed: a copy of it would be taken for the next answer.
constexpr std::size_t maxOrderAnswerBytes = 64 * 1024;
constexpr std::size_t maxReportBytes = 1024 * 1024; // some hundred adapters and as many running requests
constexpr Milliseconds lateCheckInterval{250};      // between checks whether a late request can still be served before its deadline
constexpr Milliseconds idleInterval{1'000};         // when nothing is due
constexpr Milliseconds inactiveInterval{100};       // until the ownership is valid or a load permit is available

std::string_view kindText(OrderKind kind)
{
    switch (kind) {
    case OrderKind::LoadModel:
        return "load_model";
    case OrderKind::LoadAdapter:
        return "load_adapter";
    default:
        return "unload_adapter";
    }
}

std::string_view outcomeText(OrderOutcome outcome)
{
    constexpr std::array<std::string_view, 7> texts = {"begun", "holds", "conflict", "fenced", "wrong_replica", "refused", "unknown"};
    return texts.at(static_cast<std::size_t>(outcome));
}

} // namespace

OwnedReplica::OwnedReplica(Node &node,
                           net::HttpClient &httpClient,
                           ReplicaRecord record,
                           ResidencyOptions options,
                           core::Epoch epoch,
                           OwnedReplicaCallbacks callbacks)
    : node_(node)
    , httpClient_(httpClient)
    , record_(std::move(record))
    , residency_(options)
    , epoch_(epoch)
    , callbacks_(std::move(callbacks))
    , timer_(node.io)
{ }

void OwnedReplica::start()
{
    isRunning_ = true;
    asio::co_spawn(
        node_.io, [self = shared_from_this()] { return self->run(); }, asio::detached);
}

void OwnedReplica::stop()
{
    isRunning_ = false;
    releasePermit();
    wake();
    wakeWaiters();
}

void OwnedReplica::setEngine(const std::optional<EngineSpec> &engine)
{
    if (record_.service != permitService_) {
        releasePermit();
    }
    if (engine == engine_) {
        return; // most changes of records concern other replicas
    }
    engine_ = engine;
    residency_.setEngine(engine, node_.now());
    wake();
    wakeWaiters();
}

void OwnedReplica::onRecord(const ReplicaRecord &record)
{
    const bool isRestart = record.startTime != record_.startTime;
    record_ = record;
    if (isRestart) {
        handleRestart();
    }
}

/// Stops all orders under this epoch.
void OwnedReplica::handleRestart()
{
    isFenced_ = true;
    reportedSequence_ = OrderSequence(); // the replica's order count starts again
    node_.log.info("replica_restarted", {{"upstream", record_.id}, {"epoch", epoch_}});
    residency_.onRestart(node_.now());
    callbacks_.onRestart();
    wake();
    wakeWaiters();
}

void OwnedReplica::onRevision(const AdapterKey &weights, AdapterRevision revision)
{
    residency_.onRevision(weights, revision);
    if (residency_.isHeld(weights)) {
        wake();
    }
}

void OwnedReplica::onNoContact()
{
    wakeWaiters();
}

void OwnedReplica::onAdaptersInUse(const HostId &host, std::vector<AdapterKey> weights)
{
    residency_.onInUse(host, std::move(weights), node_.now());
    if (residency_.waitingAdapters() > 0) { // an adapter slot may have become free
        wake();
    }
}

net::Task<std::optional<Residency::LeaseReply>>
OwnedReplica::waitForLease(ResidencyRequest request, std::function<void(Milliseconds)> onWaiting, core::Error &why)
{
    const auto self = shared_from_this();
    const auto until = node_.now() + request.maxWait;
    const auto &weights = request.weights;
    const auto onTimeBy = node_.now() + request.timeUntilLate;
    auto reply = residency_.requestLease(weights, request.minRevision, onTimeBy, true, node_.now(), request.claimant);
    if (reply.status == Residency::LeaseStatus::Ready) {
        co_return reply;
    }
    if (!canOrder()) {
        residency_.cancelRequest(weights, onTimeBy, request.claimant);
        why = core::Error{.step = core::Step::Admit, .peer = record_.id.value(), .reason = "the replica does not accept orders now"};
        co_return std::nullopt;
    }
    why = core::Error{.step = core::Step::Load, .peer = record_.id.value(), .reason = "the weights were not held in time"};
    const auto setTooLong = [&](Milliseconds expected) {
        why.reason = "the weights can't be held in time: " + std::to_string(expected.count()) + " ms are expected"
            + (residency_.hasGivenWay(weights) ? "; loads of callers with a lower rank, or within their usual, go first" : "");
        why.retryAfter = expected;
    };
    const auto setNoRoom = [&] {
        why.reason = "the replica has no room for adapters of base model \"" + weights.model.value() + "\"";
        why.retryAfter.reset();
    };
    if (!residency_.canHold(weights)) {
        residency_.cancelRequest(weights, onTimeBy, request.claimant);
        setNoRoom();
        co_return std::nullopt;
    }
    if (const auto expectedWait = residency_.expectedWaitBeyond(weights, until, node_.now())) {
        residency_.cancelRequest(weights, onTimeBy, request.claimant);
        setTooLong(*expectedWait);
        co_return std::nullopt;
    }
    onWaiting(residency_.expectedWait(weights, node_.now()));
    wake();
    while (isRunning_ && !isFenced_ && node_.now() < until) {
        const auto now = node_.now();
        const auto nextCheck = now < onTimeBy ? onTimeBy : now + lateCheckInterval;
        const auto timer = std::make_shared<asio::steady_timer>(node_.io, net::chronoOf(std::min(until, nextCheck) - now));
        waiters_.push_back(timer);
        co_await timer->async_wait(net::tuple);
        std::erase(waiters_, timer);
        reply = residency_.requestLease(weights, request.minRevision, onTimeBy, false, node_.now(), request.claimant);
        if (reply.status == Residency::LeaseStatus::Ready) {
            co_return reply;
        }
        if (!canOrder()) {
            why.step = core::Step::Admit;
            why.reason = "the replica stopped accepting orders";
            break;
        }
        if (!residency_.canHold(weights)) { // by a new configuration or report
            setNoRoom();
            break;
        }
        const bool mayBeOvertaken = request.claimant != Claimant(); // by whoever asked meanwhile
        const auto expectedWait = node_.now() >= nextCheck || mayBeOvertaken ? residency_.expectedWaitBeyond(weights, until, node_.now()) : std::nullopt;
        if (expectedWait) { // late requests rank behind others, so the wait has grown
            setTooLong(*expectedWait);
            break;
        }
    }
    residency_.cancelRequest(weights, onTimeBy, request.claimant);
    co_return std::nullopt;
}

bool OwnedReplica::canOrder() const
{
    return isRunning_ && !isFenced_ && !node_.reachability.isCutOff() && node_.mayContact(record_.id) && callbacks_.mayAct() && residency_.isReachable()
        && residency_.holdsModel();
}

net::Task<void> OwnedReplica::run()
{
    const auto self = shared_from_this();
    while (isRunning_) {
        std::string exception;
        bool isDone = false;
        try {
            isDone = co_await step();
        } catch (const std::exception &thrown) {
            exception = thrown.what();
        }
        if (!exception.empty()) { // the state is asked for again
            node_.log.error("orders_failed", {{"upstream", record_.id}, {"why", exception}});
            residency_.onReportFailed(node_.now());
        }
        if (isDone) {
            wakeWaiters();
            continue;
        }
        const auto now = node_.now();
        auto wakeAt = residency_.nextDue().value_or(now + idleInterval);
        wakeAt = std::max(wakeAt, now + node_.backoffs.remaining(record_.id, now));
        if (node_.reachability.isCutOff()) {
            wakeAt = std::max(wakeAt, now + inactiveInterval);
        }
        wakeAt = std::max(wakeAt, now + (callbacks_.mayAct() && residency_.holdsModel() ? Milliseconds(1) : inactiveInterval));
        timer_.expires_after(net::chronoOf(std::min(wakeAt, now + idleInterval) - now));
        co_await timer_.async_wait(net::tuple);
    }
}

net::Task<bool> OwnedReplica::step()
{
    const auto now = node_.now();
    if (node_.backoffs.isActive(record_.id, now) || node_.reachability.isCutOff()) {
        co_return false;
    }
    if (residency_.needsReport(now)) { // reading a report needs no valid ownership
        co_await fetchReport();
        co_return true;
    }
    if (isFenced_ || !node_.mayContact(record_.id) || !callbacks_.mayAct()) {
        co_return false;
    }
    if (engine_ && !residency_.holdsModel()) {
        if (const auto *needed = node_.mostNeededModel(engine_->models); needed != nullptr) {
            residency_.setWantedModel(needed->name);
        }
    }
    if (!residency_.wantsModel()) {
        releasePermit();
    } else if (!permit_) {
        permitService_ = record_.service;
        permit_ = callbacks_.acquireLoadPermit(permitService_);
    }
    const auto order = residency_.nextOrder(permit_.has_value(), now);
    node_.noteGivenWay("load", record_.id, residency_.takeGivenWay());
    if (!order) {
        co_return false;
    }
    co_await sendOrder(*order);
    co_return true;
}

net::Task<void> OwnedReplica::fetchReport()
{
    core::Error why;
    net::CallOptions options;
    options.timeout = reportTimeout;
    options.maxBodyBytes = maxReportBytes;
    options.closesAfterRefusal = true;
    const auto target = record_;
    const auto answer = co_await httpClient_.call(target.address, node_.codec.reportRequest(target.id), options, why);
    const auto report = answer ? node_.codec.readReport(*answer, why) : std::nullopt;
    node_.metrics.orders.add({"report", report ? "good" : "failed"});
    noteContact(target.id, answer.has_value(), why);
    if (answer) {
        node_.applyUpstreamState(target, *answer);
    }
    if (target.startTime != record_.startTime) {
        co_return; // the replica has restarted in the meantime
    }
    if (!report) {
        residency_.onReportFailed(node_.now());
        node_.log.info("report_failed", why, {{"upstream", target.id}});
        co_return;
    }
    if (report->sequence < reportedSequence_) { // a restart, seen before the replica's new record
        handleRestart();
        co_return;
    }
    reportedSequence_ = report->sequence;
    residency_.onReport(*report, node_.now());
    if (residency_.holdsModel()) {
        releasePermit();
    }
    node_.log.info(
        "report",
        {{"upstream", target.id}, {"sequence", report->sequence}, {"places", residency_.adapterSlotsTaken()}, {"holds_model", residency_.holdsModel()}});
}

void OwnedReplica::noteContact(const UpstreamId &id, bool isAnswered, const core::Error &why)
{
    if (isAnswered) {
        node_.reachability.onAnswer(id, node_.now());
    } else if (why.step == core::Step::Connect) {
        node_.reachability.onNoContact(id, node_.now());
    } else {
        node_.reachability.onLost(id, node_.now());
    }
}

net::Task<void> OwnedReplica::sendOrder(Order order)
{
    core::Error why;
    net::CallOptions options;
    options.timeout = orderTimeout;
    options.maxBodyBytes = maxOrderAnswerBytes;
    options.closesAfterRefusal = true;
    const auto target = record_;
    const auto sentAt = node_.now();
    const auto answer = co_await httpClient_.call(target.address, node_.codec.orderRequest(target.id, order, node_.settings.host, epoch_), options, why);
    auto outcome = answer ? node_.codec.readOrderAnswer(*answer) : why.outcome == core::Outcome::NotRun ? OrderOutcome::Refused : OrderOutcome::Unknown;
    node_.metrics.orders.add({kindText(order.kind), outcomeText(outcome)});
    noteContact(target.id, answer.has_value(), why);
    if (answer) {
        node_.applyUpstreamState(target, *answer);
    }
    node_.log.info("order",
                   {{"upstream", target.id},
                    {"kind", kindText(order.kind)},
                    {"weights", order.weights.text()},
                    {"revision", order.revision},
                    {"sequence", order.expectedSequence},
                    {"epoch", epoch_},
                    {"outcome", outcomeText(outcome)},
                    {"status", answer ? answer->status : 0},
                    {"answer", answer ? answer->body : why.reason},
                    {"took_ms", node_.now() - sentAt}});
    if (target.startTime != record_.startTime) {
        co_return; // the replica has restarted in the meantime
    }
    isFenced_ = outcome == OrderOutcome::Fenced;
    residency_.onOrderOutcome(order, outcome, node_.now());
    if (residency_.holdsModel()) {
        releasePermit();
    }
}

void OwnedReplica::wake()
{
    timer_.cancel();
}

void OwnedReplica::wakeWaiters()
{
    for (const auto &waiter : waiters_) {
        waiter->cancel();
    }
}

void OwnedReplica::releasePermit()
{
    if (permit_) {
        callbacks_.releaseLoadPermit(permitService_, *permit_);
        permit_.reset();
    }
}

} // namespace baobabstall::serving
