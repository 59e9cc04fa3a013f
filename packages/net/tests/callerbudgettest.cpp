// Who gives way when callers make a host hold too much: those that send or read slowest, and none in calm.
#include <gtest/gtest.h>

#include <memory>
#include <vector>

#include <net/callerbudget.h>

namespace baobabstall::net::tests {
namespace {

constexpr std::size_t total = 1'000'000;
constexpr std::size_t forLong = total - total / CallerBudget::reserveShare;
constexpr std::size_t body = 250'000;

class CallerBudgetTest : public ::testing::Test
{
protected:
    struct Caller {
        Caller(CallerBudget &budget, Instant now)
            : holder(
                budget,
                [this](CallerPart part) { gaveWay = part; },
                now)
        { }
        std::optional<CallerPart> gaveWay;
        CallerBudget::Holder holder;
    };

    /// A caller that has begun to send, or to read, now.
    Caller &add()
    {
        callers_.push_back(std::make_unique<Caller>(budget_, now_));
        return *callers_.back();
    }
    Caller &addWith(std::size_t bytes, CallerPart part = CallerPart::Body)
    {
        auto &caller = add();
        EXPECT_TRUE(caller.holder.resize(part, bytes, now_));
        return caller;
    }
    void pass(std::int64_t milliseconds) { now_ = now_ + Milliseconds(milliseconds); }

    CallerBudget budget_{CallerBudgetLimits{.totalBytes = total}};
    std::vector<std::unique_ptr<Caller>> callers_;
    Instant now_{1'000};
};

TEST_F(CallerBudgetTest, what_a_connection_holds_is_freed_with_it)
{
    {
        Caller caller(budget_, now_);
        EXPECT_TRUE(caller.holder.resize(CallerPart::Body, body, now_));
        EXPECT_TRUE(caller.holder.resize(CallerPart::Input, 100, now_));
        EXPECT_TRUE(caller.holder.resize(CallerPart::Body, 50, now_));
        EXPECT_EQ(budget_.heldBytes(), 150U);
    }
    EXPECT_EQ(budget_.heldBytes(), 0U);
}

TEST_F(CallerBudgetTest, a_caller_that_sends_a_body_slowly_gives_way_to_one_that_has_just_begun)
{
    auto &slow = addWith(body);
    auto &quick = addWith(body);
    auto &other = addWith(body);
    pass(2'000);
    quick.holder.onProgress(CallerBudget::stepBytes, now_);
    other.holder.onProgress(CallerBudget::stepBytes, now_);
    auto &asker = add();
    EXPECT_TRUE(asker.holder.resize(CallerPart::Body, body, now_));
    EXPECT_EQ(slow.gaveWay, CallerPart::Body);
    EXPECT_FALSE(quick.gaveWay);
    EXPECT_FALSE(other.gaveWay);
    EXPECT_EQ(budget_.heldBytes(), forLong);
    EXPECT_FALSE(slow.holder.resize(CallerPart::Body, body, now_)) << "it has given way for good";
}

TEST_F(CallerBudgetTest, single_bytes_now_and_then_are_no_progress)
{
    auto &trickling = addWith(forLong);
    for (int second = 0; second < 5; ++second) {
        pass(1'000);
        trickling.holder.onProgress(1, now_);
    }
    auto &asker = add();
    EXPECT_TRUE(asker.holder.resize(CallerPart::Body, body, now_));
    EXPECT_TRUE(trickling.gaveWay);
}

TEST_F(CallerBudgetTest, the_slowest_of_several_gives_way_first_and_no_more_than_are_needed)
{
    std::vector<Caller *> slow;
    for (int number = 0; number < 3; ++number) {
        slow.push_back(&addWith(body));
        pass(300);
    }
    pass(2'000);
    EXPECT_TRUE(add().holder.resize(CallerPart::Body, body, now_));
    EXPECT_TRUE(slow[0]->gaveWay);
    EXPECT_FALSE(slow[1]->gaveWay);
    EXPECT_TRUE(add().holder.resize(CallerPart::Body, body, now_));
    EXPECT_TRUE(slow[1]->gaveWay);
    EXPECT_FALSE(slow[2]->gaveWay);
}

TEST_F(CallerBudgetTest, in_a_burst_of_quick_callers_the_one_that_asks_is_refused)
{
    std::vector<Caller *> quick;
    quick.reserve(3);
    for (int number = 0; number < 3; ++number) {
        quick.push_back(&addWith(body));
    }
    pass(900);
    EXPECT_FALSE(add().holder.resize(CallerPart::Body, body, now_));
    for (auto *caller : quick) {
        EXPECT_FALSE(caller->gaveWay);
    }
}

TEST_F(CallerBudgetTest, a_request_that_is_whole_and_runs_never_gives_way)
{
    auto &runs = addWith(forLong);
    runs.holder.rest();
    pass(20'000);
    EXPECT_FALSE(add().holder.resize(CallerPart::Body, body, now_));
    EXPECT_FALSE(runs.gaveWay);
}

TEST_F(CallerBudgetTest, small_requests_are_served_while_long_ones_take_all_they_may)
{
    auto &longest = addWith(forLong);
    longest.holder.rest();
    EXPECT_FALSE(add().holder.resize(CallerPart::Body, CallerBudget::smallBytes + 1, now_));
    EXPECT_TRUE(add().holder.resize(CallerPart::Body, CallerBudget::smallBytes, now_));
}

TEST_F(CallerBudgetTest, those_that_hold_little_are_not_asked_for_memory)
{
    auto &little = addWith(CallerBudget::smallBytes - 1);
    auto &much = addWith(forLong - CallerBudget::smallBytes);
    pass(5'000);
    EXPECT_TRUE(add().holder.resize(CallerPart::Body, body, now_));
    EXPECT_TRUE(much.gaveWay);
    EXPECT_FALSE(little.gaveWay);
}

TEST_F(CallerBudgetTest, a_single_request_is_served_in_calm_however_long_its_body)
{
    auto &only = add();
    EXPECT_TRUE(only.holder.resize(CallerPart::Body, 3 * total, now_));
    pass(10'000);
    EXPECT_TRUE(only.holder.resize(CallerPart::Body, 4 * total, now_));
    EXPECT_FALSE(only.gaveWay);
}

TEST_F(CallerBudgetTest, an_answer_is_never_refused_and_those_that_read_slowest_give_way_also_within_the_calm_time)
{
    auto &first = addWith(forLong, CallerPart::Answer);
    pass(100);
    auto &second = add();
    EXPECT_TRUE(second.holder.resize(CallerPart::Answer, body, now_));
    EXPECT_EQ(first.gaveWay, CallerPart::Answer);
    EXPECT_FALSE(second.gaveWay);
    auto &runs = addWith(body);
    runs.holder.rest();
    EXPECT_TRUE(runs.holder.resize(CallerPart::Answer, total, now_)) << "its request has run";
}

TEST_F(CallerBudgetTest, for_a_new_connection_slow_callers_give_way_then_idle_ones_and_never_one_whose_request_runs)
{
    budget_.setLimits({.totalBytes = total, .maxConnections = 3});
    auto &runs = add();
    runs.holder.rest();
    auto &idle = add();
    idle.holder.idle(now_);
    EXPECT_TRUE(budget_.makeRoomForConnection(now_));
    auto &silent = add();
    EXPECT_FALSE(budget_.makeRoomForConnection(now_)) << "all have just come";
    pass(2'000);
    EXPECT_TRUE(budget_.makeRoomForConnection(now_));
    EXPECT_EQ(silent.gaveWay, CallerPart::Connections);
    EXPECT_FALSE(idle.gaveWay);
    EXPECT_TRUE(budget_.makeRoomForConnection(now_));
    EXPECT_TRUE(idle.gaveWay);
    EXPECT_FALSE(budget_.makeRoomForConnection(now_));
    EXPECT_FALSE(runs.gaveWay);
}

TEST_F(CallerBudgetTest, the_total_follows_the_memory_of_the_host)
{
    constexpr std::size_t megabyte = 1024 * 1024;
    EXPECT_EQ(CallerBudget::limitsFor(120 * megabyte, 0).totalBytes, 30 * megabyte);
    EXPECT_EQ(CallerBudget::limitsFor(512 * megabyte, 0).totalBytes, 128 * megabyte);
    EXPECT_EQ(CallerBudget::limitsFor(0, 0).totalBytes, CallerBudget::defaultMemoryBytes / CallerBudget::memoryShare);
    EXPECT_EQ(CallerBudget::limitsFor(megabyte, 0).totalBytes, CallerBudget::minTotalBytes);
}

} // namespace
} // namespace baobabstall::net::tests
