#include <serving/backoffs.h>

#include <gtest/gtest.h>

namespace baobabstall::serving {
namespace {

const UpstreamId first("r1");
const UpstreamId second("r2");
constexpr Instant start(1'000);

TEST(BackoffsTest, binds_one_upstream_until_its_end)
{
    Backoffs backoffs;
    EXPECT_EQ(backoffs.begin(first, Milliseconds(500), start), Milliseconds(500));
    EXPECT_TRUE(backoffs.isActive(first, start + Milliseconds(499)));
    EXPECT_FALSE(backoffs.isActive(first, start + Milliseconds(500)));
    EXPECT_FALSE(backoffs.isActive(second, start));
    EXPECT_EQ(backoffs.remaining(first, start + Milliseconds(200)), Milliseconds(300));
    EXPECT_EQ(backoffs.remaining(second, start), Milliseconds(0));
}

TEST(BackoffsTest, a_shorter_delay_does_not_end_a_longer_one)
{
    Backoffs backoffs;
    backoffs.begin(first, Milliseconds(5'000), start);
    EXPECT_EQ(backoffs.begin(first, Milliseconds(100), start + Milliseconds(1'000)), Milliseconds(4'000));
}

TEST(BackoffsTest, a_huge_delay_is_shortened)
{
    Backoffs backoffs;
    EXPECT_EQ(backoffs.begin(first, Milliseconds(3'600'000), start), Backoffs::maxDelay);
    EXPECT_FALSE(backoffs.isActive(first, start + Backoffs::maxDelay));
}

TEST(BackoffsTest, ended_ones_are_returned_once_and_a_restart_ends_one_early)
{
    Backoffs backoffs;
    backoffs.begin(first, Milliseconds(100), start);
    backoffs.begin(second, Milliseconds(900), start);
    EXPECT_TRUE(backoffs.takeEnded(start + Milliseconds(99)).empty());
    EXPECT_EQ(backoffs.takeEnded(start + Milliseconds(100)), std::vector<UpstreamId>{first});
    EXPECT_TRUE(backoffs.takeEnded(start + Milliseconds(200)).empty());
    backoffs.end(second);
    EXPECT_FALSE(backoffs.isActive(second, start + Milliseconds(200)));
}

} // namespace
} // namespace baobabstall::serving
