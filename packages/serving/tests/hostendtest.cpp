#include <gtest/gtest.h>

#include <serving/hostend.h>

namespace baobabstall::serving::tests {
namespace {

constexpr Instant begin(10'000);
constexpr Instant limit = begin + Milliseconds(7'400);
constexpr Milliseconds interval{20};

TEST(HostEnd, a_host_without_requests_and_claims_ends_at_the_second_look)
{
    HostEnd end(limit);
    EXPECT_FALSE(end.isDue({}, begin));
    EXPECT_TRUE(end.isDue({}, begin + interval));
}

TEST(HostEnd, a_host_ends_at_its_limit_whatever_is_open)
{
    HostEnd end(limit);
    EXPECT_FALSE(end.isDue({.requests = 1, .claims = 1}, limit - interval));
    EXPECT_TRUE(end.isDue({.requests = 1, .claims = 1}, limit));
}

TEST(HostEnd, an_unreachable_store_delays_the_end_for_a_bounded_time)
{
    HostEnd end(limit);
    EXPECT_FALSE(end.isDue({.claims = 1}, begin));
    EXPECT_FALSE(end.isDue({.claims = 1}, begin + HostEnd::releaseTimeout - interval));
    EXPECT_TRUE(end.isDue({.claims = 1}, begin + HostEnd::releaseTimeout));
}

// Guards against a stream that is cut because it turned up while the host released its ownership (issue 46, LOST).
TEST(HostEnd, a_request_that_turns_up_while_ownership_is_released_is_waited_for)
{
    HostEnd end(limit);
    EXPECT_FALSE(end.isDue({.claims = 1}, begin));
    const auto later = begin + HostEnd::releaseTimeout;
    EXPECT_FALSE(end.isDue({.requests = 1, .claims = 1}, later));
    EXPECT_FALSE(end.isDue({.requests = 1}, later + Milliseconds(3'000)));
    EXPECT_FALSE(end.isDue({}, later + Milliseconds(3'020)));
    EXPECT_TRUE(end.isDue({}, later + Milliseconds(3'040)));
}

} // namespace
} // namespace baobabstall::serving::tests
