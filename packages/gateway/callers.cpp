#include <gateway/callers.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace baobabstall::gateway {

using core::Error;
using core::Milliseconds;
using core::Outcome;
using core::Refusal;
using core::Step;

namespace {

constexpr Milliseconds probeTimeout{150};     // for all candidates' hints together
constexpr Milliseconds ownerCheck{250};       // between looks whether an owner that is silent still lives
constexpr Milliseconds engineSilence{30'000}; // longest pause within a resumed answer
constexpr Milliseconds cancelTimeout{2'000};
constexpr Milliseconds comeBackSoon{1'000};
constexpr std::size_t maxWholeBytes = 16 * 1024 * 1024;
constexpr std::size_t maxKeyBytes = 255; // of an Idempotency-Key
constexpr std::string_view servicesPrefix = "/services/";

Error refusalOf(Step step, Refusal refusal, std::string reason, std::optional<Milliseconds> retryAfter = std::nullopt)
{
    return Error{.step = step, .reason = std::move(reason), .refusal = refusal, .retryAfter = retryAfter};
}

/// "/services/NAME/REST" as a call of the service NAME with the target "/REST".
ServiceRequest serviceRequestOf(const net::HttpRequest &message, const core::RequestId &id)
{
    const auto rest = std::string_view(message.target).substr(servicesPrefix.size());
    const auto name = rest.substr(0, rest.find_first_of("/?"));
    const auto target = rest.substr(name.size());
    ServiceRequest call;
    call.id = id;
    call.service = core::ServiceName(std::string(name));
    call.method = message.method;
    call.target = target.starts_with('/') ? std::string(target) : '/' + std::string(target);
    call.contentType = message.headers.find("Content-Type").value_or("");
    call.idempotencyKey = message.headers.find("Idempotency-Key").value_or("");
    call.body = message.body;
    return call;
}

/// What a caller gets of a service's answer: status, body, and the headers that mean something to it.
net::HttpResponse serviceAnswer(net::HttpResponse response, const core::RequestId &id)
{
    net::HttpResponse answer;
    answer.status = response.status;
    answer.body = std::move(response.body);
    answer.headers.set("X-Request-Id", id.value());
    for (const auto *header : {"Content-Type", "Idempotency-Replayed"}) {
        if (auto value = response.headers.find(header)) {
            answer.headers.set(header, std::move(*value));
        }
    }
    return answer;
}

bool isCompletionPath(std::string_view path)
{
    return path == "/v1/chat/completions" || path == "/v1/completions";
}

} // namespace

// ---- CallerApi ----

CallerApi::CallerApi(Node &node, ServiceCaller &services)
    : node_(node)
    , services_(services)
{ }

net::Task<void> CallerApi::handle(net::Exchange &exchange)
{
    CallerRequest request;
    request.id = node_.newRequestId();
    request.since = node_.now();
    request.deadline = request.since + node_.settings.callers.requestTimeout;
    if (exchange.request().path() == "/healthz" || exchange.request().path() == "/readyz") {
        const bool isReady = exchange.request().path() == "/healthz" || (!node_.isStopping && node_.lists.isReady());
        co_await exchange.respond(net::HttpResponse::json(isReady ? 200 : 503, isReady ? R"({"ready":true})" : R"({"ready":false})"));
        co_return;
    }
    if (node_.isStopping || !node_.lists.isReady()) {
        co_await refuse(exchange, request, refusalOf(Step::Limit, Refusal::Unavailable, "this host takes no requests now", comeBackSoon));
        co_return;
    }
    Error why;
    const auto customer = identify(exchange.request(), why);
    if (!customer) {
        co_await refuse(exchange, request, why);
        co_return;
    }
    request.customer = *customer;
    node_.trace(request.id, Step::Identify, "", "customer " + customer->value());
    co_await dispatch(exchange, request);
}

net::Task<void> CallerApi::dispatch(net::Exchange &exchange, CallerRequest request)
{
    const auto path = exchange.request().path();
    const auto &method = exchange.request().method;
    if (isCompletionPath(path) && method == "POST") {
        co_await completion(exchange, request);
    } else if (path == "/v1/models" && method == "GET") {
        auto response = net::HttpResponse::json(200, modelsBody(node_.lists.modelsOf(request.customer)));
        response.headers.set("X-Request-Id", request.id.value());
        co_await exchange.respond(std::move(response));
    } else if (path.starts_with(servicesPrefix)) {
        co_await service(exchange, request);
    } else {
        co_await refuse(exchange, request, refusalOf(Step::Receive, Refusal::NotFound, "no such path or method; see the README for the API"));
    }
}

std::optional<core::CustomerId> CallerApi::identify(const net::HttpRequest &request, Error &why) const
{
    constexpr std::string_view scheme = "Bearer ";
    const auto header = request.headers.find("Authorization");
    if (!header || !header->starts_with(scheme)) {
        why = refusalOf(Step::Identify, Refusal::Unauthorized, "no key; send Authorization: Bearer KEY");
        return std::nullopt;
    }
    return node_.lists.findCustomer(lists::digestOfKey(std::string_view(*header).substr(scheme.size())), why);
}

net::Task<void> CallerApi::refuse(net::Exchange &exchange, const CallerRequest &request, const Error &why)
{
    node_.trace(request.id, why.step, why.peer, "refused: " + why.reason);
    node_.metrics.onRefusal(why);
    node_.metrics.refusalDelay.observe({core::stepName(why.step)}, node_.now() - request.since);
    node_.log.info("request_refused", why, {{"request_id", request.id}, {"customer", request.customer}});
    co_await exchange.respond(errorResponse(why, request.id));
}

CallerApi::Place::Place(Node &node, admission::PlanSlot slot)
    : node_(node)
    , slot_(std::move(slot))
{
    showInFlight();
}

CallerApi::Place::~Place()
{
    node_.limiter.release(slot_, node_.now());
    showInFlight();
}

void CallerApi::Place::showInFlight()
{
    node_.metrics.inFlight.set({slot_.plan.value()}, node_.limiter.inFlight(slot_.plan));
}

std::unique_ptr<CallerApi::Place> CallerApi::enter(const core::CustomerId &customer, const lists::Grant &grant, Error &why)
{
    auto slot = node_.limiter.acquire(grant.plan, customer, node_.now(), why);
    return slot ? std::make_unique<Place>(node_, std::move(*slot)) : nullptr;
}

net::Task<void> CallerApi::completion(net::Exchange &exchange, CallerRequest request)
{
    Error why;
    const auto wanted = parseCompletion(exchange.request().body, why);
    const auto grant = wanted ? node_.lists.grant(request.customer, wanted->adapter, why) : std::nullopt;
    const auto place = grant ? enter(request.customer, *grant, why) : nullptr;
    if (!place) {
        co_await refuse(exchange, request, why);
        co_return;
    }
    Completion completion(node_, exchange, request, *wanted, *grant);
    co_await completion.run();
}

net::Task<void> CallerApi::service(net::Exchange &exchange, CallerRequest request)
{
    ServiceRequest call = serviceRequestOf(exchange.request(), request.id);
    call.deadline = std::min(request.deadline, request.since + node_.settings.services.timeout);
    Error why;
    const auto grant = node_.lists.grantService(request.customer, call.service, why);
    const auto place = grant ? enter(request.customer, *grant, why) : nullptr;
    if (!place) {
        co_await refuse(exchange, request, why);
        co_return;
    }
    if (call.idempotencyKey.size() > maxKeyBytes) {
        co_await refuse(exchange, request, refusalOf(Step::Receive, Refusal::BadRequest, "Idempotency-Key is longer than 255 bytes"));
        co_return;
    }
    const bool isSafe = call.method == "GET" || call.method == "HEAD";
    std::optional<net::HttpResponse> response;
    if (isSafe || call.idempotencyKey.empty()) {
        response = co_await services_.call(call, isSafe, why);
    } else {
        response = co_await keyedCall(request, call, why);
    }
    if (!response) {
        co_await refuse(exchange, request, why);
        co_return;
    }
    co_await exchange.respond(serviceAnswer(std::move(*response), request.id));
}

net::Task<std::optional<net::HttpResponse>> CallerApi::keyedCall(CallerRequest request, ServiceRequest call, Error &why)
{
    const int partition = calls::partitionOf({request.customer, call.idempotencyKey}, node_.settings.ownership.callPartitions);
    const auto thing = ownership::partitionResource(partition);
    const auto owner = node_.usableOwner(thing);
    if (!owner) {
        why = refusalOf(Step::Record, Refusal::Unavailable, "the record of keyed calls has no owner now; repeat with the same key", comeBackSoon);
        co_return std::nullopt;
    }
    peers::ServiceCall body;
    body.request = request.id;
    body.customer = request.customer;
    body.key = call.idempotencyKey;
    body.partition = partition;
    body.service = call.service;
    body.method = call.method;
    body.target = call.target;
    body.contentType = call.contentType;
    body.body = call.body;
    body.timeoutMs = (call.deadline - node_.now()).count();
    node_.trace(request.id, Step::Forward, owner->host.value(), "partition " + std::to_string(partition));
    const auto pending = node_.links->call(owner->host, std::move(body));
    for (;;) {
        const auto reply = co_await pending->next(ownerCheck, why);
        if (reply && std::holds_alternative<peers::ServiceReply>(*reply)) {
            const auto &whole = std::get<peers::ServiceReply>(*reply);
            auto response = net::HttpResponse::json(whole.status, whole.body);
            response.headers.set("Content-Type", whole.contentType);
            if (whole.isReplay) {
                response.headers.set("Idempotency-Replayed", "true");
            }
            co_return response;
        }
        if (reply && std::holds_alternative<peers::ErrorReply>(*reply)) {
            why = std::get<peers::ErrorReply>(*reply).error;
            co_return std::nullopt;
        }
        const auto current = node_.usableOwner(thing);
        const bool isOwnerLost = !current || current->epoch != owner->epoch;
        if (pending->isFinished() || isOwnerLost || node_.now() >= call.deadline + ownerCheck) {
            why.step = Step::Forward;
            why.peer = owner->host.value();
            why.reason = "the owner of the record did not answer; repeat with the same key: " + why.reason;
            why.refusal = Refusal::Unavailable;
            why.retryAfter = comeBackSoon;
            co_return std::nullopt;
        }
    }
}

// ---- Completion ----

Completion::Completion(Node &node, net::Exchange &exchange, CallerRequest request, CompletionRequest wanted, lists::Grant grant)
    : node_(node)
    , exchange_(exchange)
    , request_(std::move(request))
    , wanted_(std::move(wanted))
    , grant_(std::move(grant))
{ }

net::Task<void> Completion::run()
{
    exchange_.onPeerGone([this, isGone = isGone_] {
        *isGone = true;
        if (call_) {
            call_->cancel();
        }
    });
    Error why;
    bool mayHaveRun = false; // any attempt, also one before the last
    for (;;) {
        Error whyNot;
        const auto target = co_await choose(whyNot);
        if (!target) {
            if (attempts_ == 0) {
                why = whyNot;
            }
            break;
        }
        ++attempts_;
        tried_.insert(target->engine);
        if (co_await attempt(*target, why) == Progress::Answered) {
            node_.retries.onSuccess(node_.now());
            noteEnd(*isGone_ ? "cancelled" : "ok");
            co_return;
        }
        mayHaveRun = mayHaveRun || why.outcome != Outcome::NotRun;
        node_.log.info("attempt_failed", why, {{"request_id", request_.id}, {"engine", target->engine}, {"attempt", attempts_}});
        mayHaveRun_ = mayHaveRun_ || why.outcome != Outcome::NotRun;
        node_.trace(request_.id, why.step, why.peer, "attempt " + std::to_string(attempts_) + " failed: " + why.reason);
        if (!mayTryAgain(why)) {
            break;
        }
        const bool mayPay = node_.retries.spend(attempts_, node_.now());
        node_.metrics.retries.add({mayPay ? "made" : "refused_by_budget"});
        if (!mayPay) {
            break;
        }
    }
    if (mayHaveRun && why.outcome == Outcome::NotRun) {
        why.outcome = Outcome::Unknown;
    }
    co_await fail(why);
}

bool Completion::mayTryAgain(const Error &why) const
{
    const bool isWorthIt
        = why.refusal == Refusal::Unavailable || why.refusal == Refusal::TooMany || (why.refusal == Refusal::BadAnswer && why.step != Step::Check);
    return isWorthIt && !hasBegun_ && !*isGone_ && attempts_ < node_.settings.retries.maxAttempts && node_.now() < request_.deadline;
}

net::Task<std::optional<Completion::Target>> Completion::choose(Error &why)
{
    struct Probe {
        const placement::Replica *replica;
        Target target;
        std::unique_ptr<peers::OutgoingCall> call;
    };
    const auto candidates = node_.placement.candidates(wanted_.adapter, grant_.baseModel, node_.now());
    const bool isHot = node_.placement.isHot(wanted_.adapter, node_.now());
    std::vector<placement::Replica> replicas; // copies: the list may change while hints are awaited
    for (const auto *replica : candidates) {
        replicas.push_back(*replica);
    }
    std::vector<Probe> probes;
    for (const auto &replica : replicas) {
        const auto owner = node_.usableOwner(ownership::engineResource(replica.id));
        if (owner && !tried_.contains(replica.id)) {
            probes.push_back({&replica, {replica.id, owner->host, owner->epoch}, nullptr});
        }
    }
    for (auto &probe : probes) {
        probe.call = node_.links->call(probe.target.owner, peers::ProbeCall{probe.target.engine, wanted_.adapter.text(), grant_.plan, grant_.share});
    }
    std::vector<placement::HintedCandidate> hinted;
    std::optional<Milliseconds> soonest;
    for (auto &probe : probes) {
        const auto hint = co_await hintOf(*probe.call);
        if (hint) {
            soonest = std::min(soonest.value_or(hint->expectedWait), hint->expectedWait);
        }
        hinted.push_back({probe.replica, hint});
    }
    const auto choice = node_.placement.choose(hinted, isHot);
    if (!choice) {
        why = refusalOf(Step::Choose,
                        Refusal::Unavailable,
                        probes.empty() ? "no engine of this base model has an owner now" : "no engine can take this request in time",
                        std::max(soonest.value_or(comeBackSoon), comeBackSoon));
        co_return std::nullopt;
    }
    for (const auto *replica : choice->prefetch) {
        if (const auto owner = node_.usableOwner(ownership::engineResource(replica->id))) {
            node_.links->notify(owner->host, {peers::PrefetchNotice{replica->id, wanted_.adapter.text()}});
        }
    }
    for (const auto &probe : probes) {
        if (probe.replica == choice->replica) {
            node_.trace(request_.id, Step::Choose, probe.target.engine.value(), "owner " + probe.target.owner.value());
            co_return probe.target;
        }
    }
    co_return std::nullopt;
}

net::Task<std::optional<engines::Hint>> Completion::hintOf(peers::OutgoingCall &call)
{
    Error ignored;
    const auto reply = co_await call.next(probeTimeout, ignored);
    if (!reply || !std::holds_alternative<peers::HintReply>(*reply)) {
        co_return std::nullopt;
    }
    const auto &hint = std::get<peers::HintReply>(*reply);
    co_return engines::Hint{.residency = static_cast<engines::Residency>(std::clamp(hint.residency, 0, 2)),
                            .expectedWait = Milliseconds(hint.waitMs),
                            .queueLength = hint.queue,
                            .batchFill = hint.fill,
                            .freeSlots = hint.freeSlots,
                            .accepting = hint.accepting};
}

std::string Completion::attemptId() const
{
    return Node::attemptId(request_.id, attempts_).value();
}

net::Task<Completion::Progress> Completion::attempt(Target target, Error &why)
{
    check_.reset();
    events_ = EventReader();
    whole_.clear();
    peers::RunCall body;
    body.request = core::RequestId(attemptId());
    body.engine = target.engine;
    body.adapter = wanted_.adapter.text();
    body.plan = grant_.plan;
    body.share = grant_.share;
    body.path = std::string(exchange_.request().path());
    body.body = exchange_.request().body;
    body.timeoutMs = std::max<std::int64_t>(0, (request_.deadline - node_.now()).count());
    call_ = node_.links->call(target.owner, std::move(body));
    const auto progress = co_await relay(target, why);
    call_.reset();
    co_return progress;
}

bool Completion::isOwnerLost(const Target &target) const
{
    const auto current = node_.planner.ownerOf(ownership::engineResource(target.engine));
    return !current || (current->epoch == target.epoch && !current->released && !node_.planner.isUsable(*current));
}

net::Task<Completion::Progress> Completion::relay(Target target, Error &why)
{
    for (;;) {
        const auto reply = co_await call_->next(ownerCheck, why);
        if (*isGone_) {
            node_.trace(request_.id, Step::Respond, "", "the caller has gone");
            co_return Progress::Answered;
        }
        if (!reply) {
            if (isWorthWaiting(target)) {
                continue;
            }
            co_return co_await giveUpOwner(target, why);
        }
        if (const auto *failed = std::get_if<peers::ErrorReply>(&*reply)) {
            why = failed->error;
            const bool mayBeHeld = hasBegun_ && why.step == Step::Upstream; // the engine may hold the rest though it was cut
            co_return mayBeHeld ? co_await resume(target, why) : Progress::Failed;
        }
        if (std::holds_alternative<peers::EndReply>(*reply)) {
            co_return co_await end(why);
        }
        if (!co_await take(*reply, why)) {
            co_return *isGone_ ? Progress::Answered : Progress::Failed;
        }
    }
}

/// Whether a silent owner may still answer in time.
bool Completion::isWorthWaiting(const Target &target) const
{
    return !call_->isFinished() && node_.now() < request_.deadline && !isOwnerLost(target);
}

/// The owner was lost or the time is over; `why` says how the call ended.
net::Task<Completion::Progress> Completion::giveUpOwner(Target target, Error &why)
{
    if (node_.now() >= request_.deadline) {
        why = refusalOf(Step::Forward, Refusal::Timeout, "the request's time is over");
        why.outcome = Outcome::Unknown;
        co_return Progress::Failed;
    }
    why.step = Step::Forward;
    why.peer = target.owner.value();
    why.refusal = Refusal::BadAnswer;
    if (hasBegun_) {
        co_return co_await resume(target, why);
    }
    cancelOnEngine(target);
    co_return Progress::Failed;
}

net::Task<bool> Completion::take(const peers::ReplyBody &reply, Error &why)
{
    if (const auto *started = std::get_if<peers::StartedReply>(&reply)) {
        noteStart(*started);
        co_return true;
    }
    if (const auto *data = std::get_if<peers::DataReply>(&reply)) {
        co_return co_await take(*data, why);
    }
    why = refusalOf(Step::Forward, Refusal::Internal, "a reply of another kind than a request's");
    why.outcome = Outcome::Unknown;
    co_return false;
}

void Completion::noteStart(const peers::StartedReply &reply)
{
    node_.trace(request_.id, Step::Admit, "", "started as " + reply.ranAs + " after " + std::to_string(reply.queueMs) + " ms");
    const std::initializer_list<std::string_view> labels = {request_.customer.value(), grant_.plan.value()};
    node_.metrics.queueWait.observe(labels, Milliseconds(reply.queueMs));
    if (reply.stallMs > 0) {
        node_.metrics.loadStall.observe(labels, Milliseconds(reply.stallMs));
    }
    check_.emplace(AnswerCheck::Expected{request_.id, attemptId(), wanted_.adapter, reply.ranAs});
}

net::Task<bool> Completion::take(const peers::DataReply &reply, Error &why)
{
    if (!check_) {
        why = refusalOf(Step::Check, Refusal::BadAnswer, "an answer that was never started");
        why.outcome = Outcome::Unknown;
        co_return false;
    }
    if (!wanted_.isStream) {
        whole_ += reply.data;
        if (whole_.size() > maxWholeBytes) {
            why = refusalOf(Step::Check, Refusal::BadAnswer, "the engine's answer is longer than this host can hold");
            why.outcome = Outcome::Ran;
            co_return false;
        }
        co_return true;
    }
    events_.feed(reply.data);
    while (const auto event = events_.next()) {
        const auto checked = check_->checkEvent(*event, why);
        if (!checked) {
            co_return false;
        }
        if (!std::exchange(hasBegun_, true)) {
            net::Headers headers;
            headers.set("Content-Type", "text/event-stream");
            headers.set("Cache-Control", "no-store");
            headers.set("X-Request-Id", request_.id.value());
            co_await exchange_.begin(200, std::move(headers));
        }
        if (!co_await exchange_.write("data: " + *checked + "\n\n")) {
            *isGone_ = true;
            co_return false;
        }
        noteToken();
    }
    if (events_.pendingBytes() > EventReader::maxEventBytes) {
        why = refusalOf(Step::Check, Refusal::BadAnswer, "an event of the engine's answer has no end");
        why.outcome = Outcome::Ran;
        co_return false;
    }
    co_return true;
}

net::Task<Completion::Progress> Completion::end(Error &why)
{
    if (wanted_.isStream) {
        if (check_ && check_->isEnded()) {
            co_await exchange_.finish();
            node_.trace(request_.id, Step::Respond, "", "whole, " + std::to_string(check_->events()) + " events");
            co_return Progress::Answered;
        }
        why = refusalOf(Step::Check, Refusal::BadAnswer, "the engine's answer ended too early");
        why.outcome = Outcome::Ran;
        co_return Progress::Failed;
    }
    const auto checked = check_ ? check_->checkWhole(whole_, why) : std::nullopt;
    if (!checked) {
        co_return Progress::Failed;
    }
    auto response = net::HttpResponse::json(200, *checked);
    response.headers.set("X-Request-Id", request_.id.value());
    co_await exchange_.respond(std::move(response));
    node_.trace(request_.id, Step::Respond, "", "whole, " + std::to_string(checked->size()) + " bytes");
    co_return Progress::Answered;
}

net::Task<Completion::Progress> Completion::resume(Target target, Error &why)
{
    const auto engine = node_.engines.find(target.engine);
    if (engine == node_.engines.end()) {
        co_return Progress::Failed;
    }
    node_.trace(request_.id, Step::Upstream, target.engine.value(), "resumed from event " + std::to_string(check_->events()));
    events_ = EventReader();
    Error whyCheck;
    bool isGood = true;
    const auto onChunk = [&](std::string_view piece) -> net::Task<bool> {
        isGood = co_await take(peers::DataReply{std::string(piece)}, whyCheck);
        co_return isGood;
    };
    const std::string path = "/v1/streams/" + attemptId() + "?from=" + std::to_string(check_->events());
    net::CallOptions options;
    options.timeout = engineSilence;
    options.maxBodyBytes = maxEngineReplyBytes;
    const auto response = co_await node_.http.stream(engine->second.address, {.target = path}, options, onChunk, why);
    if (!isGood) {
        cancelOnEngine(target);
        why = whyCheck;
        co_return *isGone_ ? Progress::Answered : Progress::Failed;
    }
    if (!response || response->status != 200) {
        node_.metrics.resumes.add({"lost"});
        why = refusalOf(Step::Forward, Refusal::BadAnswer, "the answer was cut and the engine does not hold the rest of it");
        why.peer = target.owner.value();
        why.outcome = Outcome::Ran;
        co_return Progress::Failed;
    }
    const auto progress = co_await end(why);
    node_.metrics.resumes.add({progress == Progress::Answered ? "resumed" : "lost"});
    co_return progress;
}

void Completion::cancelOnEngine(const Target &target)
{
    const auto engine = node_.engines.find(target.engine);
    if (engine == node_.engines.end()) {
        return;
    }
    const auto cancel = [&node = node_, address = engine->second.address, path = "/v1/streams/" + attemptId() + "/cancel"]() -> net::Task<void> {
        Error ignored;
        net::CallOptions options;
        options.timeout = cancelTimeout;
        options.maxBodyBytes = maxEngineReplyBytes;
        co_await node.http.call(address, {.method = "POST", .target = path}, options, ignored);
    };
    asio::co_spawn(node_.io, cancel, asio::detached);
}

/// A token has been written to the caller.
void Completion::noteToken()
{
    const std::initializer_list<std::string_view> labels = {request_.customer.value(), grant_.plan.value()};
    const auto now = node_.now();
    if (check_->events() == 1) {
        node_.metrics.timeToFirstToken.observe(labels, now - request_.since);
    } else {
        node_.metrics.timeBetweenTokens.observe(labels, now - lastToken_);
    }
    lastToken_ = now;
}

void Completion::noteEnd(std::string_view outcome)
{
    node_.metrics.requests.add({grant_.plan.value(), outcome});
    node_.log.info("request_done",
                   {{"request_id", request_.id},
                    {"customer", request_.customer},
                    {"plan", grant_.plan},
                    {"outcome", outcome},
                    {"attempts", attempts_},
                    {"took_ms", node_.now() - request_.since}});
}

net::Task<void> Completion::fail(Error why)
{
    if (mayHaveRun_ && why.outcome == Outcome::NotRun) {
        why.outcome = Outcome::Unknown; // the last attempt was not run, but an earlier one may have been
    }
    if (why.refusal == Refusal::Unavailable) {
        why.retryAfter = std::max(why.retryAfter.value_or(comeBackSoon), comeBackSoon);
    }
    noteEnd(*isGone_ ? "cancelled" : (why.outcome == Outcome::NotRun ? "refused" : "failed"));
    node_.metrics.onRefusal(why);
    if (why.step == Step::Check) {
        node_.metrics.badAnswers.add({wanted_.isStream ? "stream" : "whole"});
        node_.log.warn("answer_mismatch", why, {{"request_id", request_.id}});
    }
    node_.log.info("request_failed", why, {{"request_id", request_.id}, {"customer", request_.customer}});
    node_.trace(request_.id, why.step, why.peer, "gave up: " + why.reason);
    if (*isGone_) {
        co_return;
    }
    if (!hasBegun_) {
        co_await exchange_.respond(errorResponse(why, request_.id));
        co_return;
    }
    co_await exchange_.write("data: " + errorBody(why, request_.id) + "\n\n");
    co_await exchange_.finish();
}

} // namespace baobabstall::gateway
