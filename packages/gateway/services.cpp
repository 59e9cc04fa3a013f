#include <gateway/services.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <gateway/openai.h>

namespace baobabstall::gateway {

using core::Error;
using core::Milliseconds;
using core::Outcome;
using core::Refusal;
using core::Step;

namespace {

constexpr int httpUnavailable = 503;
constexpr Milliseconds unavailableRetryAfter{1'000};

peers::ErrorReply failure(Refusal refusal, std::string reason, Outcome outcome, std::optional<Milliseconds> retryAfter = std::nullopt)
{
    return {Error{.step = Step::Record, .reason = std::move(reason), .refusal = refusal, .outcome = outcome, .retryAfter = retryAfter}};
}

net::HttpRequest messageOf(const ServiceRequest &request)
{
    net::HttpRequest message{.method = request.method, .target = request.target, .body = request.body};
    message.headers.set("X-Request-Id", request.id.value());
    if (!request.contentType.empty()) {
        message.headers.set("Content-Type", request.contentType);
    }
    if (!request.idempotencyKey.empty()) {
        message.headers.set("Idempotency-Key", request.idempotencyKey);
    }
    return message;
}

} // namespace

// ---- ServiceCaller ----

std::vector<ServiceRecord> ServiceCaller::replicasOf(const core::ServiceName &service)
{
    std::vector<ServiceRecord> own; // of this daemon's zone
    std::vector<ServiceRecord> others;
    for (const auto &[id, record] : node_.services) {
        if (record.service == service && !record.isLeaving) {
            (record.zone == node_.settings.zone ? own : others).push_back(record);
        }
    }
    ++turn_;
    for (auto *group : {&own, &others}) {
        if (!group->empty()) {
            std::rotate(group->begin(), group->begin() + static_cast<std::ptrdiff_t>(turn_ % group->size()), group->end());
        }
    }
    own.insert(own.end(), others.begin(), others.end());
    return own;
}

net::Task<std::optional<net::HttpResponse>> ServiceCaller::call(ServiceRequest request, bool mayRepeat, Error &why)
{
    why = Error{.step = Step::Choose,
                .peer = request.service.value(),
                .reason = "no replica of this service takes work now",
                .refusal = Refusal::Unavailable,
                .retryAfter = unavailableRetryAfter};
    int attempts = 0;
    Outcome worst = Outcome::NotRun; // over all attempts: one that may have acted is never called "not run" later
    for (const ServiceRecord &replica : replicasOf(request.service)) {
        const bool mayGoOn = attempts == 0 || node_.retries.spend(attempts, node_.now());
        if (node_.now() >= request.deadline || !mayGoOn) {
            break;
        }
        ++attempts;
        auto response = co_await callReplica(replica, request, mayRepeat, why);
        if (response) {
            node_.retries.onSuccess(node_.now());
            co_return response;
        }
        worst = why.outcome == Outcome::NotRun ? worst : Outcome::Unknown;
        if (why.outcome != Outcome::NotRun && !mayRepeat) {
            break;
        }
    }
    why.outcome = worst;
    if (worst == Outcome::NotRun) {
        why.retryAfter = unavailableRetryAfter;
    }
    co_return std::nullopt;
}

net::Task<std::optional<net::HttpResponse>> ServiceCaller::callReplica(ServiceRecord replica, ServiceRequest request, bool mayRepeat, Error &why)
{
    net::CallOptions options;
    options.timeout = std::min(request.deadline - node_.now(), node_.settings.services.timeout);
    options.maxBodyBytes = node_.settings.services.maxAnswerBytes;
    options.freshConnection = !mayRepeat;
    node_.trace(request.id, Step::Upstream, replica.id.value(), "called");
    auto response = co_await node_.http.call(replica.address, messageOf(request), options, why);
    if (response && response->status == httpUnavailable && errorTypeOf(response->body) == "leaving") {
        node_.noteLeaving(replica.id);
        why = Error{.reason = "the replica is leaving", .outcome = Outcome::NotRun};
        response.reset();
    }
    if (response) {
        node_.trace(request.id, Step::Upstream, replica.id.value(), "answered with status " + std::to_string(response->status));
        co_return response;
    }
    why.step = Step::Upstream;
    why.peer = replica.id.value();
    why.refusal = why.outcome == Outcome::NotRun ? Refusal::Unavailable : Refusal::BadAnswer;
    node_.trace(request.id, Step::Upstream, replica.id.value(), "failed: " + why.reason);
    co_return std::nullopt;
}

// ---- PartitionHost ----

PartitionHost::PartitionHost(Node &node, ServiceCaller &caller, platform::LogClient &log, const platform::Endpoint &endpoint, int partition, core::Epoch epoch)
    : node_(node)
    , caller_(caller)
    , log_(log)
    , number_(partition)
    , epoch_(epoch)
    , partition_(partition, {node.settings.host, node.incarnation})
    , follower_(node.io, log, endpoint, stream(), events())
{ }

void PartitionHost::start()
{
    refreshedAt_ = node_.now();
    decide(partition_.beginOwnership(epoch_));
    asio::co_spawn(
        node_.io, [self = shared_from_this()] { return self->follower_.run(); }, asio::detached);
}

void PartitionHost::refreshIfDue()
{
    if (node_.now() - refreshedAt_ >= node_.settings.platform.retention * 2 / 5) {
        refreshedAt_ = node_.now();
        decide(partition_.refreshFence());
    }
}

std::string PartitionHost::stream() const
{
    return "calls-" + node_.settings.region.value() + '-' + std::to_string(number_);
}

void PartitionHost::lose()
{
    partition_.endOwnership();
}

net::Task<void> PartitionHost::serve(std::shared_ptr<peers::IncomingCall> call, peers::ServiceCall request)
{
    const calls::IdempotencyKey key{request.customer, request.key};
    const auto deadline = node_.now() + Milliseconds(request.timeoutMs);
    const auto digest = calls::requestDigest(request.method, request.service.value() + request.target, request.body);
    const auto first = partition_.begin(key, digest);
    if (!std::holds_alternative<calls::AppendIntent>(first)) {
        answer(first, call);
        co_return;
    }
    const auto settled = std::make_shared<Wakeup>(node_.io);
    waiting_[key] = Waiting{call, request, deadline, settled};
    carryOut(calls::Append{std::get<calls::AppendIntent>(first).record});
    const auto self = shared_from_this();
    co_await settled->wait(Milliseconds(request.timeoutMs));
    if (const auto found = waiting_.find(key); found != waiting_.end() && found->second.call == call) {
        decide(partition_.abandon(key));
        if (const auto still = waiting_.extract(key)) {
            call->send(failure(Refusal::Unavailable, "the intent's record was not confirmed in time", Outcome::Unknown));
        }
    }
}

void PartitionHost::answer(const calls::BeginResult &answer, const std::shared_ptr<peers::IncomingCall> &call)
{
    struct Visitor {
        peers::ReplyBody operator()(const calls::AppendIntent &) const { return peers::EndReply{}; }
        peers::ReplyBody operator()(const calls::Replay &replay) const
        {
            const auto &result = replay.result;
            if (result.status == 0) {
                return failure(Refusal::BadAnswer, "an earlier call under this key ended without an answer", result.outcome);
            }
            if (!result.bodyKept) {
                return failure(Refusal::Conflict, "the call ran before; its answer was too long to be kept", Outcome::Ran);
            }
            return peers::ServiceReply{result.status, result.contentType, result.body, true};
        }
        peers::ReplyBody operator()(const calls::AlreadyRunning &running) const
        {
            return failure(Refusal::Conflict, "a call under this key has not ended yet", Outcome::Unknown, running.retryAfter);
        }
        peers::ReplyBody operator()(const calls::Conflict &) const
        {
            return failure(Refusal::Conflict, "the key was used for another call; use a new one", Outcome::NotRun);
        }
        peers::ReplyBody operator()(const calls::OutcomeUnknown &) const
        {
            return failure(Refusal::BadAnswer, "a call under this key was begun and its result is lost; it is not run again", Outcome::Unknown);
        }
        peers::ReplyBody operator()(const calls::Refused &refuse) const { return peers::ErrorReply{refuse.why}; }
    };
    node_.metrics.atMostOnce.add({std::holds_alternative<calls::Refused>(answer)              ? "refused"
                                      : std::holds_alternative<calls::OutcomeUnknown>(answer) ? "unknown"
                                                                                              : "repeated"});
    call->send(std::visit(Visitor(), answer));
}

void PartitionHost::decide(std::vector<calls::Action> decisions)
{
    for (const auto &decision : decisions) {
        std::visit([this](const auto &each) { carryOut(each); }, decision);
    }
}

void PartitionHost::carryOut(const calls::Append &append)
{
    asio::co_spawn(
        node_.io, [self = shared_from_this(), record = append.record] { return self->append(record); }, asio::detached);
}

void PartitionHost::carryOut(const calls::Run &run)
{
    auto node = waiting_.extract(run.key);
    if (!node) {
        decide(partition_.finished(run.key, {.outcome = Outcome::NotRun}));
        return;
    }
    node.mapped().settled->raise();
    asio::co_spawn(
        node_.io, [self = shared_from_this(), key = run.key, waiting = std::move(node.mapped())] { return self->run(key, waiting); }, asio::detached);
}

void PartitionHost::carryOut(const calls::NotRun &notRun)
{
    if (auto node = waiting_.extract(notRun.key)) {
        node.mapped().settled->raise();
        node.mapped().call->send(peers::ErrorReply{notRun.why});
    }
}

net::Task<void> PartitionHost::append(calls::CallRecord record)
{
    const auto self = shared_from_this();
    ++appending_;
    Error why;
    const auto offset = co_await log_.appendOnce(stream(), calls::toJson(record), why);
    --appending_;
    node_.noteAppend(offset.has_value(), why);
    if (offset) {
        partition_.onAppended(record.id);
    } else if (why.outcome == Outcome::NotRun) {
        decide(partition_.onAppendRefused(record.id));
    } else {
        partition_.onAppendUnknown(record.id);
    }
}

net::Task<void> PartitionHost::run(calls::IdempotencyKey key, Waiting waiting)
{
    const auto self = shared_from_this();
    ++running_;
    ServiceRequest request;
    request.id = waiting.request.request;
    request.service = waiting.request.service;
    request.method = waiting.request.method;
    request.target = waiting.request.target;
    request.contentType = waiting.request.contentType;
    request.idempotencyKey = waiting.request.key;
    request.body = waiting.request.body;
    request.deadline = waiting.deadline;
    Error why;
    const auto response = co_await caller_.call(std::move(request), false, why);
    node_.metrics.atMostOnce.add({response ? "ran" : why.outcome == Outcome::NotRun ? "refused" : "unknown"});
    calls::CallResult result;
    if (response) {
        result.status = response->status;
        result.contentType = response->headers.find("Content-Type").value_or("");
        result.bodyKept = response->body.size() <= node_.settings.services.maxRecordedBytes;
        result.body = result.bodyKept ? response->body : std::string();
        waiting.call->send(peers::ServiceReply{response->status, result.contentType, response->body, false});
    } else {
        result.outcome = why.outcome;
        waiting.call->send(peers::ErrorReply{why});
    }
    --running_;
    decide(partition_.finished(key, result));
}

platform::FollowerEvents PartitionHost::events()
{
    platform::FollowerEvents events;
    events.onKept = [this](core::Offset first) { partition_.trim(first); };
    events.onRecord = [this](const platform::LogRecord &record) {
        Error ignored;
        if (const auto read = calls::recordFromJson(record.data, ignored)) {
            decide(partition_.onRecord(record.offset, *read));
        }
    };
    events.onCaughtUp = [this](core::Offset) { decide(partition_.onCaughtUp()); };
    events.onOutage = [this](const Error &) { decide(partition_.onLogDown()); };
    return events;
}

} // namespace baobabstall::gateway
