#include <serving/upstreamlimits.h>

#include <gtest/gtest.h>

namespace baobabstall::serving {
namespace {

using Change = UpstreamLimits::Change;

const UpstreamId id("i-1");

TEST(UpstreamLimits, last_as_long_as_the_upstream_names_them)
{
    UpstreamLimits limits;
    EXPECT_EQ(limits.onAnswer(id, std::nullopt, Instant(0)), Change::None);
    EXPECT_FALSE(limits.find(id));
    EXPECT_EQ(limits.onAnswer(id, 2.5, Instant(100)), Change::Begun);
    EXPECT_EQ(limits.onAnswer(id, 2.5, Instant(4'000)), Change::None);
    EXPECT_EQ(limits.onAnswer(id, 3.5, Instant(4'100)), Change::Changed);
    EXPECT_EQ(limits.find(id)->perSecond, 3.5);
    EXPECT_EQ(limits.onAnswer(id, std::nullopt, Instant(4'100) + UpstreamLimits::minDuration), Change::Ended);
    EXPECT_FALSE(limits.find(id));
}

TEST(UpstreamLimits, one_answer_without_the_field_among_others_with_it_ends_nothing)
{
    UpstreamLimits limits;
    limits.onAnswer(id, 2.5, Instant(100));
    EXPECT_EQ(limits.onAnswer(id, std::nullopt, Instant(300)), Change::None);
    EXPECT_TRUE(limits.find(id));
}

TEST(UpstreamLimits, a_block_lasts_until_its_time_or_the_end_of_the_limit)
{
    UpstreamLimits limits;
    limits.block(id, Instant(900));
    EXPECT_FALSE(limits.isBlocked(id, Instant(0))) << "without a limit there is nothing to wait for";
    limits.onAnswer(id, 2.5, Instant(0));
    limits.block(id, Instant(900));
    limits.block(id, Instant(500));
    EXPECT_EQ(limits.remainingBlock(id, Instant(600)), Milliseconds(300));
    EXPECT_FALSE(limits.isBlocked(id, Instant(900)));
    limits.block(id, Instant(2'000));
    limits.end(id);
    EXPECT_FALSE(limits.isBlocked(id, Instant(1'000)));
}

} // namespace
} // namespace baobabstall::serving
