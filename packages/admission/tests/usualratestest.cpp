#include <admission/usualrates.h>

#include <gtest/gtest.h>

namespace baobabstall::admission {
namespace {

using core::WorkspaceId;

const WorkspaceId hot("hot");
const WorkspaceId other("other");

class UsualRatesTest : public ::testing::Test
{
protected:
    /// Each takes one in so many milliseconds.
    void play(Milliseconds time, int hotEvery, int otherEvery = 100)
    {
        for (const auto until = now_ + time; now_ < until; now_ = now_ + Milliseconds(1)) {
            if (now_.sinceOrigin() % hotEvery == 0) {
                rates_.take(hot, now_);
            }
            if (now_.sinceOrigin() % otherEvery == 0) {
                rates_.take(other, now_);
            }
        }
    }
    [[nodiscard]] bool isHotAbove() const { return rates_.above(now_).contains(hot); }

    UsualRates rates_;
    Instant now_{1'000};
};

TEST_F(UsualRatesTest, nobody_is_above_a_usual_that_is_not_known_yet_or_at_a_steady_rate)
{
    play(UsualRates::settleTime - Milliseconds(500), 10);
    EXPECT_TRUE(rates_.above(now_).empty());
    play(Milliseconds(60'000), 10);
    EXPECT_TRUE(rates_.above(now_).empty());
}

TEST_F(UsualRatesTest, six_times_the_usual_is_above_it_soon_and_stays_so_for_a_minute)
{
    play(Milliseconds(10'000), 60);
    EXPECT_FALSE(isHotAbove());
    play(Milliseconds(2'000), 10);
    EXPECT_TRUE(isHotAbove());
    for (int i = 0; i < 60; ++i) {
        play(Milliseconds(1'000), 10);
        EXPECT_EQ(rates_.above(now_), std::set{hot}) << i;
    }
    play(Milliseconds(8'000), 60);
    EXPECT_FALSE(isHotAbove()) << "back at its usual";
    play(Milliseconds(400'000), 10);
    EXPECT_FALSE(isHotAbove()) << "usual by now";
}

TEST_F(UsualRatesTest, a_new_workspace_has_a_part_of_an_equal_share)
{
    play(Milliseconds(30'000), 1'000'000, 20);
    play(Milliseconds(4'000), 200, 20);
    EXPECT_FALSE(isHotAbove()) << "a tenth of what the other takes";
    play(Milliseconds(4'000), 20, 20);
    EXPECT_TRUE(isHotAbove());
}

TEST_F(UsualRatesTest, callers_without_a_workspace_are_not_counted_and_the_number_of_workspaces_is_bounded)
{
    rates_.take(WorkspaceId(), now_);
    EXPECT_EQ(rates_.size(), 0U);
    for (int i = 0; i < 1'000; ++i) {
        rates_.take(WorkspaceId("w" + std::to_string(i)), now_);
    }
    EXPECT_EQ(rates_.size(), UsualRates::maxWorkspaces);
    rates_.take(hot, now_ + Milliseconds(60'000));
    EXPECT_EQ(rates_.size(), 1U) << "those that took nothing lately are forgotten";
}

} // namespace
} // namespace baobabstall::admission
