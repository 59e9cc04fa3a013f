#include "world.h"

#include <cmath>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>

#include <admission/planlimiter.h>
#include <admission/retrybudget.h>
#include <engines/enginetable.h>

namespace baobabstall::limits {

namespace {

using admission::PlanLimiter;
using admission::PlanSlot;
using admission::RetryBudget;
using core::Instant;

constexpr double msPerSecond = 1'000;
constexpr double serviceSpread = 0.5; // sigma of the log-normal time of service
constexpr int maxReturns = 5;         // of one caller after refusals
constexpr Milliseconds fixedReturn{1'000};
constexpr Milliseconds afterTheLast{300'000}; // arrival, until all returns are over

double toMs(Milliseconds time)
{
    return static_cast<double>(time.count());
}

/// Events in order of time, then of being scheduled.
class Timeline
{
public:
    [[nodiscard]] Instant now() const { return now_; }
    void after(Milliseconds delay, std::function<void()> action) { events_.push(Event{now_ + delay, ++scheduled_, std::move(action)}); }
    void runUntil(Instant end)
    {
        while (!events_.empty() && events_.top().at < end) {
            const Event event = events_.top();
            events_.pop();
            now_ = event.at;
            event.action();
        }
    }

private:
    struct Event {
        Instant at;
        std::uint64_t order = 0;
        std::function<void()> action;
        bool operator<(const Event &other) const { return std::pair(other.at, other.order) < std::pair(at, order); }
    };
    Instant now_;
    std::uint64_t scheduled_ = 0;
    std::priority_queue<Event> events_;
};

struct Request {
    const PlanLoad *load = nullptr;
    Tally *tally = nullptr; // where it counts
    Instant deadline;
    Instant decisionPoint; // when it reached whoever decides on it
    int daemon = 0;
    int attempts = 0;
    int returns = 0;
    std::optional<PlanSlot> slot;
};
using RequestPtr = std::shared_ptr<Request>;

/// The adapter of a plan's requests; each engine has a slot for every plan, so that no load disturbs the measurement.
core::AdapterRef adapterOf(const core::PlanId &plan)
{
    return {core::CustomerId(plan.value()), core::AdapterName("adapter"), core::AdapterVersion("1")};
}

struct Engine {
    Engine(const World &world, int slots)
        : table({.id = core::UpstreamId("engine"), .baseModel = {}, .slots = slots, .checksFencing = true}, core::Epoch(1), world.loads, world.admission)
    { }

    bool failing = false;
    int running = 0;
    engines::EngineTable table;
    std::map<core::RequestId, RequestPtr> requests; // waiting and running in the table
    std::set<std::string> held;                     // names the engine holds
    std::optional<Instant> wakeAt;                  // next call of the table without an event
    std::deque<RequestPtr> fifo;                    // in place of the table when nothing is limited
};

struct Daemon {
    Daemon(const World &world, const std::map<core::PlanId, admission::PlanLimit> &plans)
        : limiter(world.admission)
        , budget(world.retries)
    {
        limiter.setPlans(plans);
    }

    PlanLimiter limiter;
    RetryBudget budget;
};

class Run
{
public:
    Run(const World &world, const std::vector<PlanLoad> &loads)
        : world_(world)
        , loads_(loads)
        , random_(world.seed)
    {
        std::map<core::PlanId, admission::PlanLimit> plans;
        for (const PlanLoad &load : loads_) {
            plans[load.plan].share = load.share;
        }
        for (int i = 0; i < world_.daemons; ++i) {
            daemons_.emplace_back(world_, plans);
        }
        const auto failing = std::lround(world_.failing * world_.engines);
        for (int i = 0; i < world_.engines; ++i) {
            engines_.push_back(std::make_unique<Engine>(world_, static_cast<int>(loads_.size())));
            engines_.back()->failing = i < failing;
        }
    }

    Result simulate()
    {
        for (const PlanLoad &load : loads_) {
            result_.plans[load.plan];
            scheduleArrival(load, 0);
        }
        timeline_.runUntil(end() + afterTheLast);
        result_.seconds = static_cast<double>(world_.counted.count()) / msPerSecond;
        return result_;
    }

private:
    [[nodiscard]] Instant end() const { return Instant() + world_.warmUp + world_.counted; }
    [[nodiscard]] Instant now() const { return timeline_.now(); }

    void scheduleArrival(const PlanLoad &load, double atMs)
    {
        const bool inBurst = atMs >= toMs(world_.warmUp) && atMs < toMs(world_.warmUp + world_.burst);
        const double perMs = load.perSecond * (inBurst ? world_.burstFactor : 1) / msPerSecond;
        const double nextMs = atMs + std::exponential_distribution<double>(perMs)(random_);
        const Instant at(static_cast<std::int64_t>(nextMs));
        if (at >= end()) {
            return;
        }
        timeline_.after(at - now(), [this, &load, nextMs] {
            arrive(load);
            scheduleArrival(load, nextMs);
        });
    }

    void arrive(const PlanLoad &load)
    {
        auto request = std::make_shared<Request>();
        request->load = &load;
        request->tally = now() < Instant() + world_.warmUp ? &ignored_ : &result_.plans[load.plan];
        request->deadline = now() + world_.deadline;
        ++request->tally->requests;
        enter(request);
    }

    /// The request, or its return after a refusal, comes to an entry daemon.
    void enter(const RequestPtr &request)
    {
        ++request->tally->calls;
        request->daemon = static_cast<int>(random_() % daemons_.size());
        request->decisionPoint = now();
        core::Error why;
        if (world_.limitsPlans) {
            request->slot = daemonOf(request).limiter.acquire(request->load->plan, core::CustomerId(request->load->plan.value()), now(), why);
            if (!request->slot) {
                refuse(request, why);
                return;
            }
        }
        attempt(request);
    }

    void attempt(const RequestPtr &request)
    {
        ++request->attempts;
        ++request->tally->attempts;
        Engine &engine = chooseEngine(request);
        timeline_.after(world_.hop, [this, request, &engine] { reachEngine(request, engine); });
    }

    /// Of two candidates the one whose owner expects the shorter wait, then the one with the emptier batch.
    Engine &chooseEngine(const RequestPtr &request)
    {
        Engine &first = *engines_.at(random_() % engines_.size());
        Engine &second = *engines_.at(random_() % engines_.size());
        return prospect(request, second) < prospect(request, first) ? second : first;
    }

    [[nodiscard]] std::pair<Milliseconds, double> prospect(const RequestPtr &request, const Engine &engine) const
    {
        if (!world_.queuesFairly || engine.failing) {
            return {Milliseconds(static_cast<std::int64_t>(engine.fifo.size())), engine.running};
        }
        const engines::Hint hint = engine.table.probe(adapterOf(request->load->plan), request->load->plan, request->load->share, now());
        return {hint.expectedWait, hint.batchFill};
    }

    void reachEngine(const RequestPtr &request, Engine &engine)
    {
        request->decisionPoint = now();
        if (engine.failing) {
            timeline_.after(world_.errorAfter, [this, request] { afterFailure(request); });
        } else if (world_.queuesFairly) {
            admit(request, engine);
        } else {
            engine.fifo.push_back(request);
            startWaiting(engine);
        }
    }

    void afterFailure(const RequestPtr &request)
    {
        const bool again = world_.budgeted ? daemonOf(request).budget.spend(request->attempts, now()) : request->attempts < world_.retries.maxAttempts;
        if (again) {
            attempt(request);
            return;
        }
        ++request->tally->failed;
        leave(request);
    }

    void admit(const RequestPtr &request, Engine &engine)
    {
        const core::RequestId id("r-" + std::to_string(++lastRequest_));
        engine.requests[id] = request;
        const PlanLoad &load = *request->load;
        engine.table.enqueue({.id = id, .adapter = adapterOf(load.plan), .plan = load.plan, .share = load.share, .deadline = request->deadline}, now());
        drive(engine);
    }

    void drive(Engine &engine)
    {
        for (auto actions = engine.table.takeActions(now()); !actions.empty(); actions = engine.table.takeActions(now())) {
            for (const engines::Action &action : actions) {
                std::visit([&](const auto &each) { carryOut(each, engine); }, action);
            }
        }
        wakeLater(engine);
    }

    void wakeLater(Engine &engine)
    {
        const auto next = engine.table.nextDeadline(now());
        if (!next || (engine.wakeAt && *engine.wakeAt <= *next)) {
            return;
        }
        engine.wakeAt = std::max(*next, now() + Milliseconds(1));
        timeline_.after(*engine.wakeAt - now(), [this, &engine] {
            engine.wakeAt.reset();
            drive(engine);
        });
    }

    void carryOut(const engines::StartRequest &action, Engine &engine)
    {
        ++engine.running;
        const Milliseconds took = serviceTime();
        timeline_.after(took, [this, id = action.id, &engine] {
            --engine.running;
            finish(takeOut(id, engine));
            engine.table.finished(id, engines::RequestEnd::Complete, now());
            drive(engine);
        });
    }

    void carryOut(const engines::RefuseRequest &action, Engine &engine)
    {
        const RequestPtr request = takeOut(action.id, engine);
        noteWait(request);
        refuse(request, action.error);
    }

    void carryOut(const engines::OrderLoad &action, Engine &engine)
    {
        engine.held.insert(action.name.text());
        engine.table.loadEnded(action.name, engines::LoadOutcome::Loaded, now());
    }

    void carryOut(const engines::OrderUnload &action, Engine &engine)
    {
        engine.held.erase(action.name.text());
        engine.table.unloadEnded(action.name, engines::UnloadOutcome::Unloaded, now());
    }

    void carryOut(const engines::RequestPermit &action, Engine &engine) { engine.table.permitGranted(action.adapter, nextPermit(), now()); }

    void carryOut(const engines::FetchListing & /*action*/, Engine &engine)
    {
        engines::Listing listing{.start = core::EngineStart(1), .slots = static_cast<int>(loads_.size()), .adapters = {}};
        for (const std::string &name : engine.held) {
            listing.adapters.push_back({name, 0});
        }
        engine.table.listed(listing, now());
    }

    template<typename Other>
    void carryOut(const Other & /*action*/, Engine & /*engine*/) // nothing to do for an engine that never fails
    { }

    engines::PermitId nextPermit()
    {
        lastPermit_ = lastPermit_.next();
        return lastPermit_;
    }

    RequestPtr takeOut(const core::RequestId &id, Engine &engine) const
    {
        const auto found = engine.requests.find(id);
        RequestPtr request = found->second;
        engine.requests.erase(found);
        return request;
    }

    /// Without the table: first in, first out, however long it takes; callers that gave up are noticed when their turn comes.
    void startWaiting(Engine &engine)
    {
        while (engine.running < world_.admission.engineConcurrency && !engine.fifo.empty()) {
            const RequestPtr request = engine.fifo.front();
            engine.fifo.pop_front();
            if (now() > request->deadline) {
                ++request->tally->expired;
                noteWait(request);
                noteRefusal(now() - request->decisionPoint);
                leave(request);
            } else {
                start(request, engine);
            }
        }
    }

    void start(const RequestPtr &request, Engine &engine)
    {
        ++engine.running;
        timeline_.after(serviceTime(), [this, request, &engine] {
            --engine.running;
            finish(request);
            startWaiting(engine);
        });
    }

    void finish(const RequestPtr &request)
    {
        daemonOf(request).budget.onSuccess(now());
        ++(now() <= request->deadline ? request->tally->good : request->tally->late);
        leave(request);
    }

    Milliseconds serviceTime()
    {
        const double mean = static_cast<double>(world_.service.count());
        const double mu = std::log(mean) - serviceSpread * serviceSpread / 2;
        return Milliseconds(std::llround(std::lognormal_distribution<double>(mu, serviceSpread)(random_)));
    }

    void refuse(const RequestPtr &request, const core::Error &why)
    {
        ++request->tally->refused;
        request->tally->refusedWithRetryAfter += why.retryAfter ? 1 : 0;
        noteRefusal(world_.hop);
        leave(request);
        if (world_.callers != Callers::GiveUp && why.retryAfter && request->returns < maxReturns) {
            ++request->returns;
            const Milliseconds delay = world_.callers == Callers::ReturnAsTold ? *why.retryAfter : fixedReturn;
            timeline_.after(delay, [this, request] {
                request->deadline = now() + world_.deadline;
                enter(request);
            });
        }
    }

    /// Of a request that is refused now: had it been taken in before?
    void noteWait(const RequestPtr &request)
    {
        if (now() > request->decisionPoint && request->tally != &ignored_) {
            result_.waitsOfRefused.push_back(now() - request->decisionPoint);
        }
    }

    void noteRefusal(Milliseconds sinceDecision) { result_.longestRefusal = std::max(result_.longestRefusal, sinceDecision); }

    void leave(const RequestPtr &request)
    {
        if (request->slot) {
            daemonOf(request).limiter.release(*request->slot, now());
            request->slot.reset();
        }
    }

    Daemon &daemonOf(const RequestPtr &request) { return daemons_.at(static_cast<std::size_t>(request->daemon)); }

    const World &world_;
    const std::vector<PlanLoad> &loads_;
    std::mt19937_64 random_;
    Timeline timeline_;
    std::vector<Daemon> daemons_;
    std::vector<std::unique_ptr<Engine>> engines_;
    Tally ignored_;
    std::uint64_t lastRequest_ = 0;
    engines::PermitId lastPermit_;
    Result result_;
};

} // namespace

double World::capacityPerSecond() const
{
    return engines * (1 - failing) * admission.engineConcurrency * msPerSecond / static_cast<double>(service.count());
}

Tally &Tally::operator+=(const Tally &other)
{
    requests += other.requests;
    calls += other.calls;
    attempts += other.attempts;
    good += other.good;
    late += other.late;
    refused += other.refused;
    refusedWithRetryAfter += other.refusedWithRetryAfter;
    expired += other.expired;
    failed += other.failed;
    return *this;
}

Tally Result::total() const
{
    Tally sum;
    for (const auto &[plan, tally] : plans) {
        sum += tally;
    }
    return sum;
}

Result run(const World &world, const std::vector<PlanLoad> &loads)
{
    return Run(world, loads).simulate();
}

} // namespace baobabstall::limits
