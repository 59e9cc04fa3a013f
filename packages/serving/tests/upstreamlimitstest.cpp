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
    limits.end(id, Instant(0));
    EXPECT_FALSE(limits.isBlocked(id, Instant(1'000)));
}

// Guards against brittle upstreams that count as sound again because one answer, or one that came late, lacked the field (issue 32, LIMIT).
TEST(UpstreamLimits, an_upstream_is_brittle_as_long_as_its_answers_say_so)
{
    UpstreamLimits limits;
    EXPECT_EQ(limits.onAnswer(id, std::nullopt, Instant(100), 3), Change::Begun);
    EXPECT_EQ(limits.find(id)->maxRefusals, 3);
    EXPECT_FALSE(limits.isRateLimited(id));
    EXPECT_EQ(limits.brittleCount(), 1U);
    EXPECT_EQ(limits.onAnswer(id, std::nullopt, Instant(600)), Change::None);
    EXPECT_EQ(limits.onAnswer(id, 2.5, Instant(700), 0), Change::Changed);
    EXPECT_TRUE(limits.isRateLimited(id));
    EXPECT_EQ(limits.onAnswer(id, 2.5, Instant(900)), Change::None);
    EXPECT_EQ(limits.onAnswer(id, 2.5, Instant(1'700)), Change::Changed) << "the rate goes on without the other";
    EXPECT_FALSE(limits.find(id)->maxRefusals);
    EXPECT_EQ(limits.brittleCount(), 0U);
    EXPECT_EQ(limits.onAnswer(id, std::nullopt, Instant(1'800), 1), Change::Changed);
    EXPECT_EQ(limits.onAnswer(id, std::nullopt, Instant(3'000)), Change::Ended);
    EXPECT_EQ(limits.brittleCount(), 0U);
}

TEST(UpstreamLimits, a_notice_begins_nothing_that_ended_after_what_it_tells)
{
    UpstreamLimits limits;
    EXPECT_EQ(limits.onNotice(id, 3, Instant(1'000)), Change::Begun);
    EXPECT_EQ(limits.onNotice(id, 2, Instant(900)), Change::None) << "older than what is known";
    EXPECT_EQ(limits.onAnswer(id, std::nullopt, Instant(2'500)), Change::Ended);
    EXPECT_EQ(limits.onNotice(id, 3, Instant(2'400)), Change::None);
    EXPECT_EQ(limits.onNotice(id, 3, Instant(2'600)), Change::Begun);
}

TEST(UpstreamLimits, an_upstream_that_starts_again_is_still_brittle_but_has_no_rate)
{
    UpstreamLimits limits;
    limits.onAnswer(id, 2.5, Instant(100), 3);
    limits.restart(id);
    EXPECT_EQ(limits.find(id)->maxRefusals, 3);
    EXPECT_FALSE(limits.isRateLimited(id));
    limits.onAnswer(UpstreamId("i-2"), 2.5, Instant(100));
    limits.restart(UpstreamId("i-2"));
    EXPECT_FALSE(limits.find(UpstreamId("i-2")));
    limits.remove(id);
    EXPECT_EQ(limits.brittleCount(), 0U);
}

} // namespace
} // namespace baobabstall::serving
