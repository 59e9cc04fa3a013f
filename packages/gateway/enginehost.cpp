#include <gateway/enginehost.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <nlohmann/json.hpp>

#include <gateway/openai.h>

namespace baobabstall::gateway {

using core::Error;
using core::Milliseconds;
using core::Outcome;
using core::Refusal;
using core::Step;
using nlohmann::json;

namespace {

constexpr Milliseconds longWait{3'600'000};   // for waits that an event ends
constexpr Milliseconds permitSlice{500};      // between looks whether the budget's owner is still worth waiting for
constexpr Milliseconds engineSilence{30'000}; // longest pause within an engine's answer
constexpr Milliseconds orderTimeout{2'000};   // for cancels and listings

constexpr int httpOk = 200;
constexpr int httpNotFound = 404;
constexpr int httpConflict = 409;
constexpr int httpServerError = 500;
constexpr int httpUnavailable = 503;
constexpr int httpNoSlot = 507;

std::optional<engines::Listing> listingOf(const std::string &body)
{
    const json value = json::parse(body, nullptr, false);
    if (!value.is_object() || !value.contains("data") || !value["data"].is_array() || !value.contains("start")) {
        return std::nullopt;
    }
    try {
        engines::Listing listing;
        listing.start = core::EngineStart(value["start"].get<std::uint64_t>());
        listing.slots = value.at("slots").get<int>();
        for (const json &model : value["data"]) {
            listing.adapters.push_back({model.at("id").get<std::string>(), model.value("running", 0)});
        }
        return listing;
    } catch (const json::exception &) {
        return std::nullopt;
    }
}

Error upstreamError(const core::UpstreamId &engine, std::string reason, Refusal refusal, Outcome outcome)
{
    return Error{.step = Step::Upstream, .peer = engine.value(), .reason = std::move(reason), .refusal = refusal, .outcome = outcome};
}

} // namespace

PermitSource::PermitSource(Node &node)
    : node_(node)
    , fallback_(node.settings.loads, node.now())
{ }

net::Task<std::optional<engines::PermitId>>
PermitSource::ask(core::UpstreamId engine, core::AdapterRef adapter, engines::LoadPriority worth, std::function<bool()> isWanted)
{
    const auto owner = node_.usableOwner(ownership::loadBudgetResource());
    if (!owner) {
        co_return fallback_.tryAcquire(node_.daemonCount(), node_.now());
    }
    auto call = node_.links->call(owner->host, peers::PermitCall{engine, adapter.text(), worth.waitingWeight, worth.victimRate});
    while (isWanted()) {
        Error why;
        const auto reply = co_await call->next(permitSlice, why);
        if (reply && std::holds_alternative<peers::GrantReply>(*reply)) {
            const engines::PermitId permit(std::get<peers::GrantReply>(*reply).permit);
            held_[permit] = std::move(call);
            co_return permit;
        }
        const bool isAnswered = reply.has_value() || call->isFinished(); // refused, or the link was lost
        const auto current = node_.usableOwner(ownership::loadBudgetResource());
        if (isAnswered || !current || current->epoch != owner->epoch) {
            co_return std::nullopt;
        }
    }
    co_return std::nullopt;
}

void PermitSource::release(engines::PermitId permit)
{
    if (engines::FallbackBudget::isFallbackPermit(permit)) {
        fallback_.release(permit);
    } else {
        held_.erase(permit); // cancels the call, which tells the budget's owner
    }
}

EngineHost::EngineHost(Node &node, PermitSource &permits, const EngineRecord &record, core::Epoch epoch)
    : node_(node)
    , permits_(permits)
    , thing_(ownership::engineResource(record.info.id))
    , address_(record.address)
    , table_(record.info, epoch, node.settings.loads, node.settings.admission, engines::DecayedFrequency(node.settings.placement.popularityHalfLife))
    , timer_(node.io)
{
    asio::post(node_.io, [self = weak_from_this()] {
        if (const auto host = self.lock()) {
            host->pump();
        }
    });
}

template<typename Coroutine>
void EngineHost::spawn(Coroutine coroutine)
{
    asio::co_spawn(node_.io, std::move(coroutine), asio::detached);
}

bool EngineHost::mayOrder() const
{
    return node_.planner.mayAct(thing_, table_.epoch(), node_.now());
}

void EngineHost::pump()
{
    isPumpDue_ = true;
    if (isPumping_) {
        return;
    }
    isPumping_ = true;
    while (std::exchange(isPumpDue_, false)) {
        for (const auto &action : table_.takeActions(node_.now())) {
            std::visit([this](const auto &each) { perform(each); }, action);
        }
    }
    isPumping_ = false;
    setTimer();
}

void EngineHost::setTimer()
{
    const auto deadline = table_.nextDeadline(node_.now());
    if (!deadline) {
        timer_.cancel();
        return;
    }
    timer_.expires_after(net::chronoOf(std::max(Milliseconds(1), *deadline - node_.now())));
    timer_.async_wait([self = weak_from_this()](boost::system::error_code cancelled) {
        if (const auto host = self.lock(); host && !cancelled) {
            host->pump();
        }
    });
}

// ---- Requests ----

net::Task<void> EngineHost::serve(CallPtr call, peers::RunCall run)
{
    const auto self = shared_from_this();
    const auto waiter = std::make_shared<Waiter>(node_.io);
    const auto adapter = core::AdapterRef::parse(run.adapter);
    if (!adapter || !waiters_.emplace(run.request, waiter).second) {
        call->send(peers::ErrorReply{upstreamError(table_.engine().id, "malformed or repeated request", Refusal::Internal, Outcome::NotRun)});
        co_return;
    }
    waiter->since = node_.now();
    waiter->isStalled = table_.probe(*adapter, node_.now()).residency != engines::Residency::Resident;
    call->onCancel([self, waiter, weakCall = std::weak_ptr(call), id = run.request] {
        const auto cancelled = weakCall.lock();
        waiter->isCancelled = true;
        self->table_.cancel(id, self->node_.now());
        waiter->wakeup.raise();
        if (waiter->start && cancelled && !cancelled->isLinkLost()) {
            self->spawn([self, id] { return self->cancelOnEngine(id); });
        }
        self->pump();
    });
    table_.enqueue({run.request, *adapter, run.plan, run.share, node_.now() + Milliseconds(run.timeoutMs)}, node_.now());
    pump();
    for (;;) {
        while (!waiter->start && !waiter->refusal && !waiter->isCancelled) {
            co_await waiter->wakeup.wait(longWait);
        }
        if (!waiter->start) {
            break;
        }
        if (co_await runOnEngine(call, run, waiter) == Ran::Ended) {
            break;
        }
        waiter->start.reset();
        table_.adapterNotFound(run.request, node_.now());
        pump();
    }
    if (waiter->refusal) {
        call->send(peers::ErrorReply{*waiter->refusal});
    }
    waiters_.erase(run.request);
    pump();
}

net::Task<EngineHost::Ran> EngineHost::runOnEngine(CallPtr call, peers::RunCall run, WaiterPtr waiter)
{
    const std::string ranAs = waiter->start->text();
    const auto wait = (node_.now() - waiter->since).count();
    net::HttpRequest request{.method = "POST", .target = run.path, .body = withModel(run.body, ranAs)};
    request.headers.set("Content-Type", "application/json");
    request.headers.set("X-Request-Id", run.request.value());
    bool isStarted = false;
    waiter->startedAt = node_.now();
    const auto onChunk = [&](std::string_view piece) -> net::Task<bool> {
        if (!std::exchange(isStarted, true)) {
            call->send(peers::StartedReply{ranAs, waiter->isStalled ? 0 : wait, waiter->isStalled ? std::max<std::int64_t>(wait, 1) : 0});
        }
        co_return call->send(peers::DataReply{std::string(piece)}) && !waiter->abort;
    };
    Error why;
    net::CallOptions options;
    options.timeout = std::min(engineSilence, Milliseconds(run.timeoutMs));
    options.maxBodyBytes = maxEngineReplyBytes;
    options.freshConnection = true;
    node_.trace(Node::requestOfAttempt(run.request), Step::Upstream, table_.engine().id.value(), "started on " + ranAs);
    auto response = co_await node_.http.stream(address_, std::move(request), options, onChunk, why);
    if (response && response->status == httpNotFound && errorTypeOf(response->body) == "unknown_model" && !waiter->abort && !waiter->isCancelled) {
        co_return Ran::UnknownName;
    }
    endRun(call, run.request, waiter, std::move(response), why);
    co_return Ran::Ended;
}

void EngineHost::endRun(const CallPtr &call,
                        const core::RequestId &attempt,
                        const WaiterPtr &waiter,
                        std::optional<net::HttpResponse> response,
                        const Error &why)
{
    if (waiter->abort) {
        table_.finished(attempt, engines::RequestEnd::Lost, node_.now()); // lifts the pin; serve() tells the entry daemon
        return;
    }
    const auto &engine = table_.engine().id;
    const bool isCut = !response && why.step != Step::Connect;
    const bool isLeftRunning = call->isLinkLost(); // the entry daemon may fetch the rest from the engine itself
    table_.finished(attempt, isCut || isLeftRunning ? engines::RequestEnd::Lost : engines::RequestEnd::Complete, node_.now());
    node_.metrics.upstreamCalls.add({"engine", response && response->status < httpServerError ? "ok" : "failed"});
    if (!response) {
        node_.trace(Node::requestOfAttempt(attempt), Step::Upstream, engine.value(), "failed: " + why.reason);
        call->send(peers::ErrorReply{upstreamError(engine, "the engine's answer was cut: " + why.reason, Refusal::BadAnswer, why.outcome)});
        return;
    }
    node_.trace(Node::requestOfAttempt(attempt), Step::Upstream, engine.value(), "answered with status " + std::to_string(response->status));
    if (response->status == httpOk) {
        call->send(peers::EndReply{});
        noteServed(waiter->start->adapter, node_.now() - waiter->startedAt);
        return;
    }
    if (response->status == httpUnavailable) {
        if (errorTypeOf(response->body) == "leaving") {
            node_.noteLeaving(engine);
        }
        call->send(peers::ErrorReply{upstreamError(engine, "the engine takes no request now", Refusal::Unavailable, Outcome::NotRun)});
        return;
    }
    const bool isOurFault = response->status >= httpServerError;
    const std::string reason = "the engine answered with status " + std::to_string(response->status);
    call->send(peers::ErrorReply{
        upstreamError(engine, reason, isOurFault ? Refusal::BadAnswer : Refusal::BadRequest, isOurFault ? Outcome::Unknown : Outcome::NotRun)});
}

/// The owner of an adapter's first candidate measures how wide the adapter has to be, and tells every daemon.
void EngineHost::noteServed(const core::AdapterRef &adapter, Milliseconds runTime)
{
    const auto now = node_.now();
    const auto candidates = node_.placement.candidates(adapter, table_.engine().baseModel, now);
    if (candidates.empty() || candidates[0].id != table_.engine().id) {
        return;
    }
    if (const auto update = node_.placement.widths().onRequestFinished(adapter, runTime, now)) {
        for (const auto &host : node_.listedDaemons) {
            node_.links->notify(host, {peers::WidthNotice{adapter.text(), update->width, update->validFor.count()}});
        }
    }
}

net::Task<void> EngineHost::cancelOnEngine(core::RequestId attempt)
{
    const auto self = shared_from_this();
    Error ignored;
    net::CallOptions options;
    options.timeout = orderTimeout;
    options.maxBodyBytes = maxEngineReplyBytes;
    co_await node_.http.call(address_, {.method = "POST", .target = "/v1/streams/" + attempt.value() + "/cancel"}, options, ignored);
}

peers::HintReply EngineHost::hint(const core::AdapterRef &adapter, const core::PlanId &plan, double share) const
{
    const auto hint = table_.probe(adapter, plan, share, node_.now());
    return {.residency = static_cast<int>(hint.residency),
            .waitMs = hint.expectedWait.count(),
            .fill = hint.batchFill,
            .queue = hint.queueLength,
            .freeSlots = hint.freeSlots,
            .accepting = hint.accepting};
}

void EngineHost::prefetch(const core::AdapterRef &adapter)
{
    table_.prefetch(adapter, node_.now());
    pump();
}

// ---- What the table decides ----

void EngineHost::perform(const engines::StartRequest &action)
{
    if (const auto found = waiters_.find(action.id); found != waiters_.end()) {
        node_.metrics.batchFill.observe({table_.engine().id.value()}, table_.probe(action.name.adapter, node_.now()).batchFill);
        found->second->start = action.name;
        found->second->wakeup.raise();
    }
}

void EngineHost::perform(const engines::RefuseRequest &action)
{
    if (const auto found = waiters_.find(action.id); found != waiters_.end()) {
        found->second->refusal = action.error;
        found->second->wakeup.raise();
    }
}

void EngineHost::perform(const engines::AbortRequest &action)
{
    if (const auto found = waiters_.find(action.id); found != waiters_.end()) {
        found->second->abort = action.error;
        found->second->refusal = action.error;
    }
}

void EngineHost::perform(const engines::OrderLoad &action)
{
    spawn([self = shared_from_this(), name = action.name] { return self->load(name); });
}

void EngineHost::perform(const engines::OrderUnload &action)
{
    spawn([self = shared_from_this(), name = action.name] { return self->unload(name); });
}

void EngineHost::perform(const engines::RequestPermit &action)
{
    const std::uint64_t turn = ++askCount_;
    asks_[action.adapter] = turn;
    spawn([self = shared_from_this(), action, turn] { return self->askPermit(action.adapter, action.priority, turn); });
}

void EngineHost::perform(const engines::CancelPermitRequest &action)
{
    asks_.erase(action.adapter);
}

void EngineHost::perform(const engines::ReleasePermit &action)
{
    permits_.release(action.permit);
}

void EngineHost::perform(const engines::FetchListing & /*action*/)
{
    spawn([self = shared_from_this()] { return self->list(); });
}

net::Task<std::optional<net::HttpResponse>> EngineHost::order(std::string path, std::string body, Error &why)
{
    net::HttpRequest request{.method = "POST", .target = std::move(path), .body = std::move(body)};
    request.headers.set("Content-Type", "application/json");
    request.headers.set("X-Fencing-Number", std::to_string(table_.epoch().value()));
    net::CallOptions options;
    options.timeout = node_.settings.loads.timeout;
    options.maxBodyBytes = maxEngineReplyBytes;
    options.freshConnection = true;
    co_return co_await node_.http.call(address_, std::move(request), options, why);
}

net::Task<void> EngineHost::load(engines::EngineAdapterName name)
{
    const auto self = shared_from_this();
    using engines::LoadOutcome;
    auto outcome = LoadOutcome::Failed;
    const auto begin = node_.now();
    if (mayOrder()) {
        Error why;
        const json body = {{"lora_name", name.text()}, {"lora_path", "store:" + name.adapter.text()}};
        const auto response = co_await order("/v1/load_lora_adapter", body.dump(), why);
        if (!response) {
            outcome = why.outcome == Outcome::NotRun ? LoadOutcome::Failed : LoadOutcome::Unknown;
        } else if (response->status == httpOk) {
            outcome = LoadOutcome::Loaded;
        } else if (response->status == httpNoSlot) {
            outcome = LoadOutcome::NoFreeSlot;
        } else if (response->status == httpConflict) {
            outcome = LoadOutcome::StaleFencing;
        }
    }
    const bool isLoaded = outcome == LoadOutcome::Loaded;
    node_.metrics.loads.add({table_.engine().id.value(), isLoaded ? "loaded" : outcome == LoadOutcome::StaleFencing ? "stale" : "failed"});
    node_.metrics.loadTime.observe({table_.engine().id.value()}, node_.now() - begin);
    node_.log.info("adapter_load", {{"peer", table_.engine().id}, {"name", name.text()}, {"loaded", isLoaded}, {"took_ms", node_.now() - begin}});
    table_.loadEnded(name, outcome, node_.now());
    pump();
}

net::Task<void> EngineHost::unload(engines::EngineAdapterName name)
{
    const auto self = shared_from_this();
    using engines::UnloadOutcome;
    auto outcome = UnloadOutcome::Unknown;
    if (mayOrder()) {
        Error why;
        const auto response = co_await order("/v1/unload_lora_adapter", json({{"lora_name", name.text()}}).dump(), why);
        if (response && response->status == httpOk) {
            outcome = UnloadOutcome::Unloaded;
        } else if (response && response->status == httpNotFound) {
            outcome = UnloadOutcome::NotHeld;
        } else if (response && response->status == httpConflict) {
            outcome = UnloadOutcome::StaleFencing;
        }
    }
    if (outcome == UnloadOutcome::Unloaded) {
        node_.metrics.evictions.add({table_.engine().id.value()});
    }
    node_.log.info("adapter_evict", {{"peer", table_.engine().id}, {"name", name.text()}, {"evicted", outcome == UnloadOutcome::Unloaded}});
    table_.unloadEnded(name, outcome, node_.now());
    pump();
}

net::Task<void> EngineHost::askPermit(core::AdapterRef adapter, engines::LoadPriority worth, std::uint64_t turn)
{
    const auto self = shared_from_this();
    const auto isCurrent = [self, adapter, turn] {
        const auto found = self->asks_.find(adapter);
        return found != self->asks_.end() && found->second == turn;
    };
    const auto permit = co_await permits_.ask(table_.engine().id, adapter, worth, isCurrent);
    if (!isCurrent()) {
        if (permit) {
            permits_.release(*permit);
        }
        co_return;
    }
    asks_.erase(adapter);
    if (permit) {
        table_.permitGranted(adapter, *permit, node_.now());
    } else {
        table_.permitRefused(adapter, node_.now());
    }
    pump();
}

net::Task<void> EngineHost::list()
{
    const auto self = shared_from_this();
    Error why;
    net::CallOptions options;
    options.timeout = orderTimeout;
    options.maxBodyBytes = maxEngineReplyBytes;
    const auto response = co_await node_.http.call(address_, {.target = "/v1/models"}, options, why);
    const auto listing = response && response->status == httpOk ? listingOf(response->body) : std::nullopt;
    if (listing) {
        foreignEpochs_.clear();
        for (const auto &listed : listing->adapters) {
            const auto name = engines::EngineAdapterName::parse(listed.name);
            if (name && name->epoch != table_.epoch()) {
                foreignEpochs_.insert(name->epoch);
            }
        }
        table_.listed(*listing, node_.now());
        checkEvidence();
    } else {
        table_.listingFailed(node_.now());
    }
    pump();
}

// ---- Ownership ----

void EngineHost::checkEvidence()
{
    for (const core::Epoch epoch : foreignEpochs_) {
        if (node_.planner.evidence(thing_, epoch) != ownership::Evidence::None) {
            table_.ownerGone(epoch, node_.now());
        }
    }
    pump();
}

void EngineHost::permitsLost()
{
    table_.permitRequestsLost(node_.now());
    pump();
}

void EngineHost::drain()
{
    table_.drain(node_.now());
    pump();
}

void EngineHost::lose()
{
    table_.superseded(node_.now());
    pump();
}

bool EngineHost::isIdle() const
{
    return waiters_.empty() && table_.runningCount() == 0 && !table_.hasPendingOrders();
}

} // namespace baobabstall::gateway
