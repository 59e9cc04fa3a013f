#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <random>

#include <engines/loadbudget.h>

namespace baobabstall::engines {

namespace {

const HostId host("entry-1");
const UpstreamId engine("engine-1");
const settings::Loads loads{.perSecond = 3, .concurrent = 2};

AdapterRef adapterNumber(int number)
{
    return *AdapterRef::parse("c/a" + std::to_string(number) + "@v1");
}

std::vector<PermitId> permitsOf(const std::vector<Grant> &grants)
{
    std::vector<PermitId> permits;
    permits.reserve(grants.size());
    for (const Grant &grant : grants) {
        permits.push_back(grant.permit);
    }
    return permits;
}

} // namespace

TEST(LoadBudget, grants_by_priority_and_prefetches_last)
{
    LoadBudget budget(Epoch(7), {.perSecond = 10, .concurrent = 1}, Instant(0));
    budget.requestPermit(host, engine, adapterNumber(1), {.waitingWeight = 0}, Instant(0));
    budget.requestPermit(host, engine, adapterNumber(2), {.waitingWeight = 1}, Instant(0));
    budget.requestPermit(host, engine, adapterNumber(3), {.waitingWeight = 5}, Instant(0));
    budget.requestPermit(host, engine, adapterNumber(4), {.waitingWeight = 2, .victimRate = 20}, Instant(0));
    std::vector<AdapterRef> order;
    for (Instant now(2'000); order.size() < 4; now = now + Milliseconds(200)) {
        for (const Grant &grant : budget.takeGrants(now)) {
            order.push_back(grant.adapter);
            budget.release(grant.permit, now);
        }
    }
    EXPECT_EQ(order, (std::vector{adapterNumber(3), adapterNumber(2), adapterNumber(4), adapterNumber(1)}));
}

TEST(LoadBudget, an_old_request_of_low_weight_precedes_new_ones_of_high_weight)
{
    LoadBudget budget(Epoch(7), loads, Instant(0));
    budget.requestPermit(host, engine, adapterNumber(1), {.waitingWeight = 1}, Instant(0));
    budget.requestPermit(host, engine, adapterNumber(2), {.waitingWeight = 3}, Instant(4'000));
    EXPECT_EQ(budget.takeGrants(Instant(4'000)).front().adapter, adapterNumber(1));
}

TEST(LoadBudget, never_exceeds_the_number_of_concurrent_loads)
{
    LoadBudget budget(Epoch(7), loads, Instant(0));
    for (int number = 0; number < 5; ++number) {
        budget.requestPermit(host, engine, adapterNumber(number), {.waitingWeight = 1}, Instant(0));
    }
    const auto grants = budget.takeGrants(Instant(1'000));
    EXPECT_EQ(grants.size(), 2U);
    EXPECT_TRUE(budget.takeGrants(Instant(3'000)).empty());
    budget.release(grants[0].permit, Instant(3'000));
    EXPECT_EQ(budget.takeGrants(Instant(3'000)).size(), 1U);
    EXPECT_EQ(budget.takeGrants(Instant(3'000) + loads.timeout).size(), 2U) << "permits expire by timeout";
}

TEST(LoadBudget, never_exceeds_the_load_rate_of_the_store_in_any_second)
{
    LoadBudget budget(Epoch(7), loads, Instant(0));
    std::mt19937_64 random(5);
    std::deque<Instant> granted;
    int nextAdapter = 0;
    for (Instant now(0); now < Instant(60'000); now = now + Milliseconds(10)) {
        if (random() % 4 == 0) {
            budget.requestPermit(host, engine, adapterNumber(nextAdapter++), {.waitingWeight = static_cast<double>(random() % 9)}, now);
        }
        for (const PermitId permit : permitsOf(budget.takeGrants(now))) {
            granted.push_back(now);
            budget.release(permit, now);
        }
        while (!granted.empty() && granted.front() + Milliseconds(1'000) <= now) {
            granted.pop_front();
        }
        ASSERT_LE(granted.size(), 3U) << now.sinceOrigin();
    }
}

TEST(LoadBudget, a_new_owner_counts_permits_of_the_previous_one)
{
    LoadBudget budget(Epoch(9), loads, Instant(0));
    budget.requestPermit(host, engine, adapterNumber(1), {.waitingWeight = 1}, Instant(0));
    EXPECT_TRUE(budget.takeGrants(Instant(500)).empty()) << "the previous owner may have used this window";
    budget.adoptPermit(host, PermitId(3), Instant(500));
    budget.adoptPermit(host, PermitId(4), Instant(500));
    EXPECT_TRUE(budget.takeGrants(Instant(2'000)).empty());
    budget.release(PermitId(4), Instant(2'000));
    EXPECT_EQ(budget.takeGrants(Instant(2'000)).size(), 1U);
}

TEST(LoadBudget, drops_the_requests_of_a_removed_host)
{
    LoadBudget budget(Epoch(9), loads, Instant(0));
    budget.requestPermit(host, engine, adapterNumber(1), {.waitingWeight = 1}, Instant(0));
    budget.removeHost(host);
    EXPECT_TRUE(budget.takeGrants(Instant(2'000)).empty());
    EXPECT_FALSE(budget.nextDeadline(Instant(2'000)));
}

TEST(FallbackBudget, all_owners_together_stay_within_the_documented_bound)
{
    constexpr int owners = 8;
    std::vector<FallbackBudget> budgets(owners, FallbackBudget(loads, Instant(0)));
    std::vector<Instant> acquiredAt;
    for (Instant now(0); now < Instant(60'000); now = now + Milliseconds(10)) {
        for (FallbackBudget &budget : budgets) {
            if (const auto permit = budget.tryAcquire(owners, now)) {
                acquiredAt.push_back(now);
                budget.release(*permit);
                EXPECT_TRUE(FallbackBudget::isFallbackPermit(*permit));
            }
        }
    }
    for (std::size_t first = 0; first < acquiredAt.size(); ++first) {
        for (std::size_t last = first; last < acquiredAt.size(); ++last) {
            const double seconds = static_cast<double>((acquiredAt[last] - acquiredAt[first]).count()) / 1'000;
            ASSERT_LE(static_cast<double>(last - first + 1), loads.perSecond * seconds + owners + 1e-6);
        }
    }
    EXPECT_GT(acquiredAt.size(), 150U);
}

TEST(FallbackBudget, a_rate_that_goes_up_is_followed_at_once)
{
    FallbackBudget budget({.perSecond = 0.01}, Instant(0));
    EXPECT_FALSE(budget.tryAcquire(1, Instant(1'000)));
    budget.setRate(4);
    std::vector<Instant> acquiredAt;
    for (Instant now(1'000); now < Instant(5'000); now = now + Milliseconds(10)) {
        if (const auto permit = budget.tryAcquire(1, now)) {
            acquiredAt.push_back(now);
            budget.release(*permit);
        }
    }
    EXPECT_GE(acquiredAt.size(), 14U);
    EXPECT_LE(acquiredAt.size(), 17U);
}

TEST(FallbackBudget, a_rate_that_goes_down_is_followed_at_once)
{
    FallbackBudget budget({.perSecond = 5}, Instant(0));
    const auto first = budget.tryAcquire(1, Instant(200));
    ASSERT_TRUE(first);
    budget.release(*first);
    budget.setRate(0.1);
    for (Instant now(210); now < Instant(9'900); now = now + Milliseconds(10)) {
        ASSERT_FALSE(budget.tryAcquire(1, now)) << now.sinceOrigin();
    }
    EXPECT_TRUE(budget.tryAcquire(1, Instant(10'300)));
}

// Guards against a load right after the last one when the configuration raises the rate, because the higher rate counts for the time before it
// (issue 42, CONFIG).
TEST(FallbackBudget, time_at_a_lower_rate_counts_as_such_after_the_rate_has_gone_up)
{
    FallbackBudget budget({.perSecond = 0.2}, Instant(0));
    const auto first = budget.tryAcquire(1, Instant(5'000));
    ASSERT_TRUE(first);
    budget.release(*first);
    budget.setRate(4); // known right before the next attempt
    EXPECT_FALSE(budget.tryAcquire(1, Instant(6'000))) << "a fifth of a load, at the rate until this attempt";
    EXPECT_FALSE(budget.tryAcquire(1, Instant(6'190)));
    EXPECT_TRUE(budget.tryAcquire(1, Instant(6'210)));
}

TEST(FallbackBudget, all_owners_together_stay_within_the_bound_of_each_rate_while_the_rate_changes)
{
    constexpr Milliseconds step{10};
    for (unsigned seed = 1; seed <= 40; ++seed) {
        const int owners = seed % 2 == 0 ? 1 : 4;
        std::mt19937 random(seed);
        const auto pick = [&random](int count) { return std::uniform_int_distribution<>(0, count - 1)(random); };
        double rate = 0.2;
        std::vector<FallbackBudget> budgets(static_cast<std::size_t>(owners), FallbackBudget({.perSecond = rate}, Instant(0)));
        std::vector<Instant> nextAttempts(budgets.size());
        double allowed = 0;           // by the rates so far
        std::vector<double> acquired; // what was allowed by then
        for (Instant now(0); now < Instant(60'000); now = now + step) {
            if (pick(300) == 0) {
                rate = pick(2) == 0 ? 0.2 : 5;
            }
            for (std::size_t each = 0; each < budgets.size(); ++each) {
                if (now < nextAttempts[each]) {
                    continue;
                }
                nextAttempts[each] = now + Milliseconds(10 + pick(3'000));
                budgets[each].setRate(rate);
                if (const auto permit = budgets[each].tryAcquire(owners, now)) {
                    acquired.push_back(allowed);
                    budgets[each].release(*permit);
                }
            }
            allowed += rate * static_cast<double>(step.count()) / 1'000;
        }
        for (std::size_t first = 0; first < acquired.size(); ++first) {
            for (std::size_t last = first; last < acquired.size(); ++last) {
                ASSERT_LE(static_cast<double>(last - first + 1), acquired[last] - acquired[first] + owners + 1e-6) << "seed " << seed;
            }
        }
        EXPECT_GE(acquired.size(), 7U) << "one in 8 s: 5 s at the lower rate, and 3 s until the next attempt; seed " << seed;
    }
}

} // namespace baobabstall::engines
