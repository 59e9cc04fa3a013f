#include <gtest/gtest.h>

#include <admission/overload.h>
#include <admission/planlimiter.h>
#include <admission/rates.h>
#include <admission/retrybudget.h>
#include <core/clock.h>

namespace baobabstall::admission {

namespace {

using core::CustomerId;
using core::PlanId;

const PlanId gold("gold");
const PlanId basic("basic");
const CustomerId swellCamp("swell-camp");
const CustomerId boardShop("board-shop");
constexpr Milliseconds second{1'000};

int acquireMany(PlanLimiter &limiter, const PlanId &plan, int count, Instant now)
{
    int acquired = 0;
    core::Error why;
    for (int i = 0; i < count; ++i) {
        acquired += limiter.acquire(plan, swellCamp, now, why) ? 1 : 0;
    }
    return acquired;
}

settings::Admission tenConcurrent()
{
    return settings::Admission{.engineConcurrency = 10, .maxQueueWait = Milliseconds(5'000)};
}

settings::Admission hundredSlots()
{
    settings::Admission options;
    options.maxInFlight = 100;
    options.planBurst = 2;
    return options;
}

} // namespace

TEST(DecayingCount, halves_every_half_life)
{
    core::FakeClock clock;
    DecayingCount count(second);
    count.add(clock.now(), 8);
    clock.advance(second * 2);
    EXPECT_DOUBLE_EQ(count.value(clock.now()), 2);
    count.raiseTo(clock.now(), 1);
    EXPECT_DOUBLE_EQ(count.value(clock.now()), 2);
    count.raiseTo(clock.now(), 5);
    EXPECT_DOUBLE_EQ(count.value(clock.now()), 5);
}

TEST(DrainRate, measures_the_rate_of_a_backlogged_queue)
{
    core::FakeClock clock;
    DrainRate drain(16, second);
    drain.setBacklogged(clock.now(), true);
    for (int i = 0; i < 200; ++i) {
        clock.advance(Milliseconds(100));
        drain.onFinish(clock.now(), second);
    }
    EXPECT_NEAR(drain.perSecond(clock.now()), 10, 1);
    EXPECT_NEAR(static_cast<double>(drain.timeToDrain(20, clock.now()).count()), 2'000, 200);
}

TEST(DrainRate, a_light_load_is_not_a_slow_drain)
{
    core::FakeClock clock;
    DrainRate drain(16, second);
    for (int i = 0; i < 20; ++i) {
        clock.advance(second * 10);
        drain.onFinish(clock.now(), second);
    }
    EXPECT_NEAR(drain.perSecond(clock.now()), 16, 0.1) << "16 at once, one second each";
}

TEST(DrainRate, decreases_when_an_upstream_stops)
{
    core::FakeClock clock;
    DrainRate drain(16, second);
    drain.onFinish(clock.now(), second);
    drain.setBacklogged(clock.now(), true);
    clock.advance(second * 30);
    EXPECT_LT(drain.perSecond(clock.now()), 2);
    EXPECT_GT(drain.perSecond(clock.now()), 0);
}

TEST(RetryScheduler, spaces_retries_by_the_service_rate)
{
    core::FakeClock clock;
    clock.advance(second * 1'000);
    RetryScheduler scheduler;
    const double perSecond = 4;
    EXPECT_EQ(scheduler.nextRetryAfter(clock.now(), second, perSecond), second);
    EXPECT_EQ(scheduler.nextRetryAfter(clock.now(), second, perSecond), Milliseconds(1'250));
    EXPECT_EQ(scheduler.nextRetryAfter(clock.now(), second, perSecond), Milliseconds(1'500));
    clock.advance(second * 5);
    EXPECT_EQ(scheduler.nextRetryAfter(clock.now(), second, perSecond), second) << "past retry times do not count";
}

TEST(RetryScheduler, never_exceeds_the_maximum)
{
    core::FakeClock clock;
    RetryScheduler scheduler;
    for (int i = 0; i < 100; ++i) {
        EXPECT_LE(scheduler.nextRetryAfter(clock.now(), second * 100, 1), RetryScheduler::maxRetryAfter);
    }
}

TEST(RetryBudget, successes_earn_retries)
{
    core::FakeClock clock;
    RetryBudget budget(settings::Retries{.maxAttempts = 3, .budgetShare = 0.1, .budgetReserve = 0});
    EXPECT_FALSE(budget.spend(1, clock.now()));
    for (int i = 0; i < 20; ++i) {
        budget.onSuccess(clock.now());
    }
    EXPECT_TRUE(budget.spend(1, clock.now()));
    EXPECT_TRUE(budget.spend(2, clock.now()));
    EXPECT_FALSE(budget.spend(1, clock.now()));
}

TEST(RetryBudget, the_reserve_allows_a_few_retries_and_is_restored)
{
    core::FakeClock clock;
    RetryBudget budget(settings::Retries{.maxAttempts = 3, .budgetShare = 0.1, .budgetReserve = 2});
    EXPECT_TRUE(budget.spend(1, clock.now()));
    EXPECT_TRUE(budget.spend(1, clock.now()));
    EXPECT_FALSE(budget.spend(1, clock.now()));
    clock.advance(RetryBudget::reserveHalfLife);
    EXPECT_TRUE(budget.spend(1, clock.now()));
}

TEST(RetryBudget, a_request_has_its_own_limit)
{
    core::FakeClock clock;
    RetryBudget budget(settings::Retries{.maxAttempts = 2, .budgetShare = 0.1, .budgetReserve = 100});
    EXPECT_TRUE(budget.spend(1, clock.now()));
    EXPECT_FALSE(budget.spend(2, clock.now()));
}

TEST(PlanLimiter, a_plan_may_burst_while_capacity_is_left)
{
    PlanLimiter limiter(hundredSlots());
    limiter.setPlans({{gold, {.share = 3}}, {basic, {.share = 1}}});
    EXPECT_EQ(acquireMany(limiter, basic, 100, Instant(0)), 50) << "twice its share of 25";
    EXPECT_EQ(limiter.inFlight(), 50);
}

TEST(PlanLimiter, recently_used_shares_of_other_plans_stay_reserved)
{
    PlanLimiter limiter(hundredSlots());
    limiter.setPlans({{gold, {.share = 3}}, {basic, {.share = 1}}});
    core::Error why;
    std::vector<PlanSlot> slots;
    slots.reserve(70);
    for (int i = 0; i < 70; ++i) {
        slots.push_back(*limiter.acquire(gold, swellCamp, Instant(0), why));
    }
    for (const PlanSlot &slot : slots) {
        limiter.release(slot, Instant(1'000));
    }
    const int basicAcquired = acquireMany(limiter, basic, 100, Instant(1'000));
    EXPECT_GE(basicAcquired, 25) << "its share";
    EXPECT_LE(basicAcquired, 30) << "gold used 70 a second ago";
    EXPECT_GE(acquireMany(limiter, gold, 100, Instant(1'000)), 70);
    EXPECT_LE(limiter.inFlight(), 100);
}

TEST(PlanLimiter, an_idle_plan_that_becomes_active_finds_capacity)
{
    PlanLimiter limiter(hundredSlots());
    limiter.setPlans({{gold, {.share = 1}}, {basic, {.share = 1}}});
    EXPECT_EQ(acquireMany(limiter, basic, 1'000, Instant(0)), 93) << "all but the reserve for idle plans";
    EXPECT_EQ(acquireMany(limiter, gold, 1'000, Instant(0)), 7);
}

TEST(PlanLimiter, refusals_have_a_reason_and_a_retry_time)
{
    PlanLimiter limiter(hundredSlots());
    limiter.setPlans({{gold, {.share = 1, .maxInFlight = 2}}});
    core::Error why;
    acquireMany(limiter, gold, 2, Instant(0));
    EXPECT_FALSE(limiter.acquire(gold, swellCamp, Instant(0), why));
    EXPECT_EQ(why.step, core::Step::Limit);
    EXPECT_EQ(why.refusal, core::Refusal::TooMany);
    EXPECT_EQ(why.outcome, core::Outcome::NotRun);
    ASSERT_TRUE(why.retryAfter);
    EXPECT_GT(*why.retryAfter, Milliseconds(0));
    EXPECT_FALSE(limiter.acquire(basic, swellCamp, Instant(0), why));
    EXPECT_EQ(why.refusal, core::Refusal::Forbidden);
}

TEST(PlanLimiter, the_plans_limit_applies_to_each_customer)
{
    PlanLimiter limiter(hundredSlots());
    limiter.setPlans({{gold, {.share = 1, .maxInFlight = 2}}});
    core::Error why;
    const auto slot = limiter.acquire(gold, swellCamp, Instant(0), why);
    acquireMany(limiter, gold, 10, Instant(0));
    EXPECT_EQ(limiter.inFlight(swellCamp), 2);
    EXPECT_TRUE(limiter.acquire(gold, boardShop, Instant(0), why)) << "another customer of the same plan";
    limiter.release(*slot, Instant(10));
    EXPECT_TRUE(limiter.acquire(gold, swellCamp, Instant(10), why));
}

TEST(PlanLimiter, a_full_host_refuses_all)
{
    settings::Admission options = hundredSlots();
    options.maxInFlight = 2;
    PlanLimiter limiter(options);
    limiter.setPlans({{gold, {.share = 1}}, {basic, {.share = 1}}, {PlanId("trial"), {.share = 1}}});
    core::Error why;
    EXPECT_TRUE(limiter.acquire(gold, swellCamp, Instant(0), why));
    EXPECT_TRUE(limiter.acquire(basic, swellCamp, Instant(0), why));
    EXPECT_FALSE(limiter.acquire(PlanId("trial"), swellCamp, Instant(0), why));
    EXPECT_EQ(why.refusal, core::Refusal::Unavailable);
    EXPECT_TRUE(why.retryAfter);
}

TEST(PlanLimiter, a_new_list_keeps_requests_in_flight)
{
    PlanLimiter limiter(hundredSlots());
    limiter.setPlans({{gold, {.share = 1}}});
    core::Error why;
    const auto slot = limiter.acquire(gold, swellCamp, Instant(0), why);
    ASSERT_TRUE(slot);
    limiter.setPlans({{basic, {.share = 1}}});
    EXPECT_EQ(limiter.inFlight(), 1);
    EXPECT_FALSE(limiter.acquire(gold, swellCamp, Instant(0), why));
    limiter.release(*slot, Instant(10));
    EXPECT_EQ(limiter.inFlight(), 0);
    limiter.release(*slot, Instant(10));
    EXPECT_EQ(limiter.inFlight(), 0) << "a second release changes nothing";
}

TEST(AdmissionController, refuses_a_request_that_would_wait_too_long)
{
    AdmissionController controller(tenConcurrent(), second);
    core::Error why;
    EXPECT_EQ(controller.admit(gold, {.position = {.planWaiting = 500}, .hasFreeSlot = true}, Instant(0), why), Milliseconds(0));
    EXPECT_EQ(controller.admit(gold, {.position = {.planWaiting = 19}}, Instant(0), why), second * 2);
    EXPECT_FALSE(controller.admit(gold, {.position = {.planWaiting = 79}}, Instant(0), why));
    EXPECT_EQ(why.step, core::Step::Admit);
    EXPECT_EQ(why.refusal, core::Refusal::Unavailable);
    EXPECT_EQ(why.outcome, core::Outcome::NotRun);
    EXPECT_EQ(why.retryAfter, second * 3) << "8 s to drain, of which 5 s may be waited";
}

TEST(AdmissionController, expected_wait_depends_on_the_service_fraction)
{
    AdmissionController controller(tenConcurrent(), second);
    core::Error why;
    EXPECT_EQ(controller.admit(gold, {.position = {.planWaiting = 9, .serviceFraction = 0.5}}, Instant(0), why), second * 2);
    EXPECT_FALSE(controller.admit(gold, {.position = {.planWaiting = 9, .serviceFraction = 0.1}}, Instant(0), why));
}

TEST(AdmissionController, refuses_a_request_that_would_start_too_late)
{
    AdmissionController controller(tenConcurrent(), second);
    core::Error why;
    EXPECT_TRUE(controller.admit(gold, {.position = {.planWaiting = 9}, .startBy = Instant(1'000)}, Instant(0), why));
    EXPECT_FALSE(controller.admit(gold, {.position = {.planWaiting = 9}, .startBy = Instant(900)}, Instant(0), why));
    EXPECT_TRUE(why.retryAfter);
    EXPECT_FALSE(controller.admit(gold, {.loadWait = Milliseconds(1'500), .startBy = Instant(1'400)}, Instant(0), why));
}

TEST(AdmissionController, a_displaced_request_is_refused_as_over_its_share)
{
    AdmissionController controller(tenConcurrent(), second);
    const core::Error why = controller.displacementError(basic, {.position = {.planWaiting = 63}}, Instant(0));
    EXPECT_EQ(why.refusal, core::Refusal::TooMany);
    EXPECT_EQ(why.retryAfter, Milliseconds(3'200));
}

TEST(AdmissionController, callers_of_one_plan_get_successive_retry_times)
{
    AdmissionController controller(tenConcurrent(), second);
    const AdmissionContext longQueue{.position = {.planWaiting = 79}};
    core::Error first;
    core::Error second;
    core::Error other;
    EXPECT_FALSE(controller.admit(gold, longQueue, Instant(0), first));
    EXPECT_FALSE(controller.admit(gold, longQueue, Instant(0), second));
    EXPECT_FALSE(controller.admit(basic, longQueue, Instant(0), other));
    EXPECT_GT(second.retryAfter, first.retryAfter);
    EXPECT_EQ(other.retryAfter, first.retryAfter) << "each plan has its own retry times";
}

} // namespace baobabstall::admission
