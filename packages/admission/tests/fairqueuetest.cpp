#include <cmath>
#include <limits>
#include <map>
#include <memory>
#include <random>
#include <string>

#include <gtest/gtest.h>

#include <admission/fairqueue.h>

namespace baobabstall::admission {

namespace {

using core::PlanId;

const PlanId gold("gold");
const PlanId basic("basic");
const PlanId trial("trial");

std::map<std::string, int> popMany(FairQueue<std::string> &queue, int count)
{
    std::map<std::string, int> served;
    for (int i = 0; i < count; ++i) {
        ++served[queue.pop().value_or("none")];
    }
    return served;
}

} // namespace

TEST(FairQueue, serves_plans_by_their_shares)
{
    FairQueue<std::string> queue(1'000);
    for (int i = 0; i < 200; ++i) {
        EXPECT_TRUE(queue.push(basic, 1, "basic").ticket);
        EXPECT_TRUE(queue.push(gold, 3, "gold").ticket);
    }
    const auto served = popMany(queue, 100);
    EXPECT_NEAR(served.at("gold"), 75, 1);
    EXPECT_NEAR(served.at("basic"), 25, 1);
}

TEST(FairQueue, serves_items_of_a_plan_first_in_first_out)
{
    FairQueue<int> queue(10);
    for (int i = 0; i < 5; ++i) {
        queue.push(gold, 1, i);
    }
    for (int i = 0; i < 5; ++i) {
        EXPECT_EQ(queue.pop(), i);
    }
    EXPECT_FALSE(queue.pop());
}

TEST(FairQueue, charges_a_costly_item_more)
{
    FairQueue<std::string> queue(1'000);
    for (int i = 0; i < 100; ++i) {
        queue.push(gold, 1, "gold", 4);
        queue.push(basic, 1, "basic", 1);
    }
    const auto served = popMany(queue, 50);
    EXPECT_NEAR(served.at("basic"), 40, 2);
}

TEST(FairQueue, a_plan_does_not_save_up_service_while_idle)
{
    FairQueue<std::string> queue(1'000);
    for (int i = 0; i < 300; ++i) {
        queue.push(basic, 1, "basic");
    }
    popMany(queue, 100);
    for (int i = 0; i < 100; ++i) {
        queue.push(gold, 1, "gold");
    }
    EXPECT_NEAR(popMany(queue, 100).at("gold"), 50, 1);
}

TEST(FairQueue, refuses_a_new_item_of_the_plan_most_over_its_share)
{
    FairQueue<std::string> queue(4);
    for (int i = 0; i < 4; ++i) {
        queue.push(basic, 1, "old");
    }
    const auto pushed = queue.push(basic, 1, "new");
    EXPECT_FALSE(pushed.ticket);
    EXPECT_EQ(pushed.refused, "new");
    EXPECT_EQ(queue.size(), 4U);
}

TEST(FairQueue, a_new_item_within_its_share_displaces_the_newest_of_the_plan_most_over_its_share)
{
    FairQueue<std::string> queue(4);
    for (const auto *name : {"b1", "b2", "b3", "b4"}) {
        queue.push(basic, 1, name);
    }
    const auto pushed = queue.push(gold, 1, "g1");
    EXPECT_TRUE(pushed.ticket);
    EXPECT_EQ(pushed.refused, "b4");
    EXPECT_EQ(queue.size(basic), 3U);
    EXPECT_EQ(queue.size(gold), 1U);
}

TEST(FairQueue, displacement_stops_at_the_shares)
{
    FairQueue<std::string> queue(8);
    for (int i = 0; i < 100; ++i) {
        queue.push(basic, 1, "basic");
        queue.push(gold, 3, "gold");
    }
    EXPECT_EQ(queue.size(gold), 6U);
    EXPECT_EQ(queue.size(basic), 2U);
}

TEST(FairQueue, displacing_the_only_item_keeps_the_queue_consistent)
{
    FairQueue<std::string> queue(1);
    queue.push(basic, 1, "basic");
    EXPECT_EQ(queue.push(gold, 2, "gold").refused, "basic");
    EXPECT_EQ(queue.pop(), "gold");
    EXPECT_TRUE(queue.empty());
}

TEST(FairQueue, a_queue_without_capacity_refuses_all)
{
    FairQueue<std::string> queue(0);
    EXPECT_EQ(queue.push(gold, 1, "gold").refused, "gold");
    EXPECT_FALSE(queue.pop());
}

TEST(FairQueue, popIf_skips_items_that_do_not_match)
{
    FairQueue<int> queue(10);
    for (int i = 0; i < 3; ++i) {
        queue.push(basic, 1, i);
        queue.push(gold, 1, 10 + i);
    }
    const auto isGold = [](int item) { return item >= 10; };
    EXPECT_EQ(queue.popIf(isGold), 10);
    EXPECT_EQ(queue.popIf(isGold), 11);
    EXPECT_EQ(queue.pop(), 0) << "the skipped plan keeps its start tag";
    EXPECT_EQ(queue.pop(), 1);
    EXPECT_EQ(queue.popIf(isGold), 12);
    EXPECT_FALSE(queue.popIf(isGold));
    EXPECT_EQ(queue.size(), 1U);
}

TEST(FairQueue, a_removed_item_costs_its_plan_nothing)
{
    FairQueue<std::string> queue(10);
    const auto first = queue.push(basic, 1, "b1");
    queue.push(basic, 1, "b2");
    queue.push(gold, 1, "g1");
    EXPECT_EQ(queue.remove(*first.ticket), "b1");
    EXPECT_FALSE(queue.remove(*first.ticket));
    EXPECT_EQ(queue.pop(), "b2");
    EXPECT_EQ(queue.pop(), "g1");
}

TEST(FairQueue, removes_all_matching_items)
{
    FairQueue<int> queue(10);
    for (int i = 0; i < 6; ++i) {
        queue.push(i % 2 == 0 ? gold : basic, 1, i);
    }
    EXPECT_EQ(queue.removeIf([](int item) { return item < 4; }), (std::vector<int>{0, 2, 1, 3}));
    EXPECT_EQ(queue.size(), 2U);
}

TEST(FairQueue, position_counts_matching_items_only)
{
    FairQueue<int> queue(100);
    for (int i = 0; i < 50; ++i) {
        queue.push(basic, 1, i);
        queue.push(trial, 5, i);
    }
    const auto isSmall = [](int item) { return item < 10; };
    const QueuePosition basicPosition = queue.position(basic, 1, isSmall);
    EXPECT_EQ(basicPosition.planWaiting, 10U);
    EXPECT_EQ(basicPosition.totalWaiting, 20U);
    EXPECT_DOUBLE_EQ(basicPosition.serviceFraction, 1.0 / 6);
    const QueuePosition goldPosition = queue.position(gold, 4, isSmall);
    EXPECT_EQ(goldPosition.planWaiting, 0U);
    EXPECT_DOUBLE_EQ(goldPosition.serviceFraction, 0.4);
    EXPECT_DOUBLE_EQ(queue.position(gold, 4, [](int) { return false; }).serviceFraction, 1) << "items that can't be served take no service";
}

TEST(FairQueue, an_invalid_share_counts_as_one)
{
    FairQueue<int> queue(10);
    for (const double share : {0.0, -1.0, std::nan(""), std::numeric_limits<double>::infinity()}) {
        queue.push(gold, share, 1);
        EXPECT_DOUBLE_EQ(queue.position(basic, share, [](int) { return true; }).serviceFraction, 0.5);
    }
    EXPECT_EQ(queue.pop(), 1);
}

TEST(FairQueue, holds_move_only_items)
{
    FairQueue<std::unique_ptr<int>> queue(1);
    queue.push(gold, 1, std::make_unique<int>(7));
    EXPECT_EQ(**queue.pop(), 7);
}

TEST(FairQueue, counts_stay_consistent_under_random_use)
{
    constexpr int steps = 20'000;
    std::mt19937 random(7);
    FairQueue<int> queue(32);
    std::vector<std::pair<Ticket, std::string>> tickets;
    const std::vector<PlanId> plans = {gold, basic, trial};
    std::size_t pushed = 0;
    std::size_t removed = 0;
    for (int step = 0; step < steps; ++step) {
        if (random() % 5 < 3) {
            const PlanId &plan = plans.at(random() % plans.size());
            const auto result = queue.push(plan, 1.0 + random() % 4, step);
            ++pushed;
            removed += result.refused ? 1 : 0;
            if (result.ticket) {
                tickets.emplace_back(*result.ticket, plan.value());
            }
        } else if (random() % 2 == 0) {
            removed += queue.pop() ? 1 : 0;
        } else if (!tickets.empty()) {
            removed += queue.remove(tickets.at(random() % tickets.size()).first) ? 1 : 0;
        }
        std::size_t seen = 0;
        queue.forEach([&](const PlanId &, double, int) { ++seen; });
        ASSERT_EQ(seen, queue.size());
        ASSERT_EQ(pushed, removed + queue.size());
        ASSERT_EQ(queue.size(), queue.size(gold) + queue.size(basic) + queue.size(trial));
        ASSERT_LE(queue.size(), queue.capacity());
    }
}

} // namespace baobabstall::admission
