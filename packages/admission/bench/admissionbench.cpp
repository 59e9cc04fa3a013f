#include <benchmark/benchmark.h>

#include <string>

#include <admission/fairqueue.h>
#include <admission/overload.h>
#include <admission/planlimiter.h>
#include <admission/retrybudget.h>

namespace baobabstall::admission {

namespace {

using core::PlanId;

const core::CustomerId customer("swell-camp");

PlanId planOf(std::int64_t i)
{
    return PlanId("plan-" + std::to_string(i));
}

std::map<PlanId, PlanLimit> plansOf(std::int64_t count)
{
    std::map<PlanId, PlanLimit> plans;
    for (std::int64_t i = 0; i < count; ++i) {
        plans[planOf(i)].share = static_cast<double>(1 + i % 4);
    }
    return plans;
}

/// Acquires and releases one slot within the plan's share.
void limitWithinShare(benchmark::State &state)
{
    PlanLimiter limiter(settings::Admission{});
    limiter.setPlans(plansOf(state.range(0)));
    core::Error why;
    std::int64_t nowMs = 0;
    for (auto _ : state) {
        const Instant now(++nowMs);
        const auto slot = limiter.acquire(planOf(0), customer, now, why);
        limiter.release(*slot, now);
    }
}
BENCHMARK(limitWithinShare)->Arg(4)->Arg(16)->Arg(64);

/// Acquires and releases one slot beyond the plan's share, which sums the recent use of all other plans.
void limitBeyondShare(benchmark::State &state)
{
    PlanLimiter limiter(settings::Admission{});
    limiter.setPlans(plansOf(state.range(0)));
    core::Error why;
    while (limiter.inFlight(planOf(0)) < limiter.guaranteedSlots(planOf(0))) {
        benchmark::DoNotOptimize(limiter.acquire(planOf(0), customer, Instant(0), why));
    }
    std::int64_t nowMs = 0;
    for (auto _ : state) {
        const Instant now(++nowMs);
        const auto slot = limiter.acquire(planOf(0), customer, now, why);
        limiter.release(*slot, now);
    }
}
BENCHMARK(limitBeyondShare)->Arg(4)->Arg(16)->Arg(64);

/// Refuses a request of a plan far over its share, with Retry-After.
void limitRefusal(benchmark::State &state)
{
    PlanLimiter limiter(settings::Admission{});
    limiter.setPlans(plansOf(state.range(0)));
    core::Error why;
    const PlanId flooding = planOf(0);
    while (limiter.acquire(flooding, customer, Instant(0), why)) { }
    std::int64_t nowMs = 0;
    for (auto _ : state) {
        benchmark::DoNotOptimize(limiter.acquire(flooding, customer, Instant(++nowMs), why));
    }
}
BENCHMARK(limitRefusal)->Arg(4)->Arg(16)->Arg(64);

/// Admission, push and pop at an engine's queue with 48 of 64 places taken.
void queueOneRequest(benchmark::State &state)
{
    constexpr int filled = 48;
    settings::Admission options;
    FairQueue<int> queue(static_cast<std::size_t>(options.maxQueue));
    AdmissionController controller(options, Milliseconds(500));
    const std::int64_t plans = state.range(0);
    for (int i = 0; i < filled; ++i) {
        queue.push(planOf(i % plans), 1, i);
    }
    const PlanId plan = planOf(0);
    core::Error why;
    std::int64_t nowMs = 0;
    for (auto _ : state) {
        const AdmissionContext context{.position = queue.position(plan, 1, [](int) { return true; })};
        benchmark::DoNotOptimize(controller.admit(plan, context, Instant(++nowMs), why));
        queue.push(plan, 1, 0);
        benchmark::DoNotOptimize(queue.pop());
    }
}
BENCHMARK(queueOneRequest)->Arg(4)->Arg(16)->Arg(32);

/// A push to a full queue that displaces an item.
void pushToFullQueue(benchmark::State &state)
{
    const auto capacity = static_cast<std::size_t>(state.range(0));
    FairQueue<int> queue(capacity);
    for (std::size_t i = 0; i < capacity; ++i) {
        queue.push(planOf(0), 1, 0);
    }
    const PlanId withinShare = planOf(1);
    for (auto _ : state) {
        const auto pushed = queue.push(withinShare, 1, 1);
        queue.remove(*pushed.ticket);
        queue.push(planOf(0), 1, 0);
    }
}
BENCHMARK(pushToFullQueue)->Arg(64)->Arg(512)->Arg(4096);

void spendRetry(benchmark::State &state)
{
    RetryBudget budget(settings::Retries{});
    std::int64_t nowMs = 0;
    for (auto _ : state) {
        const Instant now(++nowMs);
        budget.onSuccess(now);
        benchmark::DoNotOptimize(budget.spend(1, now));
    }
}
BENCHMARK(spendRetry);

} // namespace

} // namespace baobabstall::admission

BENCHMARK_MAIN(); // NOLINT
