#include "world.h"

#include <cmath>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <queue>
#include <random>

#include <admission/fairqueue.h>
#include <admission/overload.h>
#include <admission/planlimiter.h>
#include <admission/retrybudget.h>

namespace baobabstall::limits {

namespace {

using admission::FairQueue;
using admission::OverloadGate;
using admission::PlanLimiter;
using admission::PlanSlot;
using admission::Prospect;
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

struct Engine {
    explicit Engine(const settings::Admission &options)
        : gate(options)
        , queue(static_cast<std::size_t>(options.maxQueue))
    { }

    [[nodiscard]] std::size_t waiting() const { return queue.size() + fifo.size(); }

    bool failing = false;
    int running = 0;
    OverloadGate gate;
    FairQueue<RequestPtr> queue;
    std::deque<RequestPtr> fifo; // in place of the fair queue when nothing is limited
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
            engines_.push_back(std::make_unique<Engine>(world_.admission));
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

    /// Of two candidates the one whose owner expects the shorter wait for this plan.
    Engine &chooseEngine(const RequestPtr &request)
    {
        Engine &first = *engines_.at(random_() % engines_.size());
        Engine &second = *engines_.at(random_() % engines_.size());
        return expectedTurns(request, second) < expectedTurns(request, first) ? second : first;
    }

    [[nodiscard]] double expectedTurns(const RequestPtr &request, const Engine &engine) const
    {
        if (engine.running < world_.admission.engineConcurrency) {
            return static_cast<double>(engine.running) / world_.admission.engineConcurrency;
        }
        return 1 + static_cast<double>(engine.fifo.size()) + engine.queue.itemsAhead(request->load->plan, request->load->share);
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
        const PlanLoad &load = *request->load;
        core::Error why;
        if (!engine.gate.admit(load.plan, prospectOf(request, engine), now(), why)) {
            refuse(request, why);
            return;
        }
        const auto pushed = engine.queue.push(load.plan, load.share, request);
        if (pushed.refused) {
            displace(*pushed.refused, pushed.ticket.has_value(), engine);
        }
        engine.gate.onQueue(now(), engine.queue.size());
        startWaiting(engine);
    }

    Prospect prospectOf(const RequestPtr &request, const Engine &engine) const
    {
        const PlanLoad &load = *request->load;
        return Prospect{.queued = engine.queue.size(load.plan),
                        .partOfService = engine.queue.partOfService(load.plan, load.share),
                        .freeSlot = engine.running < world_.admission.engineConcurrency,
                        .loadWait = Milliseconds(0),
                        .deadline = request->deadline};
    }

    void displace(const RequestPtr &request, bool waited, Engine &engine)
    {
        if (waited) {
            result_.displacedWaits.push_back(now() - request->decisionPoint);
        }
        request->decisionPoint = now();
        refuse(request, engine.gate.refusalOfDisplaced(request->load->plan, prospectOf(request, engine), now()));
    }

    void refuseHopeless(Engine &engine)
    {
        const auto isHopeless = [&](const RequestPtr &request) { return engine.gate.isHopeless(request->deadline, now()); };
        for (const RequestPtr &request : engine.queue.removeIf(isHopeless)) {
            result_.hopelessWaits.push_back(now() - request->decisionPoint);
            refuse(request, engine.gate.refusalOfDisplaced(request->load->plan, prospectOf(request, engine), now()));
        }
    }

    void startWaiting(Engine &engine)
    {
        refuseHopeless(engine);
        while (engine.running < world_.admission.engineConcurrency && engine.waiting() > 0) {
            const RequestPtr request = takeNext(engine);
            if (now() > request->deadline) {
                ++request->tally->expired;
                noteRefusal(now() - request->decisionPoint);
                leave(request);
            } else {
                start(request, engine);
            }
        }
        engine.gate.onQueue(now(), engine.queue.size());
    }

    RequestPtr takeNext(Engine &engine) const
    {
        if (world_.queuesFairly) {
            return *engine.queue.pop();
        }
        RequestPtr request = engine.fifo.front();
        engine.fifo.pop_front();
        return request;
    }

    void start(const RequestPtr &request, Engine &engine)
    {
        ++engine.running;
        const Milliseconds took = serviceTime();
        timeline_.after(took, [this, request, &engine, took] {
            --engine.running;
            engine.gate.onFinish(now(), took);
            daemonOf(request).budget.onSuccess(now());
            ++(now() <= request->deadline ? request->tally->good : request->tally->late);
            leave(request);
            startWaiting(engine);
        });
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
