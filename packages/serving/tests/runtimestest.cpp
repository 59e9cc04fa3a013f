#include <gtest/gtest.h>

#include <serving/runtimes.h>

namespace baobabstall::serving::tests {
namespace {

TEST(RunTimesTest, nothing_is_expected_of_a_service_of_which_too_few_runs_are_known)
{
    RunTimes times;
    for (std::size_t i = 0; i + 1 < RunTimes::minRuns; ++i) {
        times.add({.untilFirst = Milliseconds(10)});
        EXPECT_FALSE(times.expected(0, false));
    }
    times.add({.untilFirst = Milliseconds(10)});
    EXPECT_EQ(times.expected(0, false), Milliseconds(10));
}

// Guards against an estimate from what the longest of the last responses took, which any longer one exceeds (review/6, LOST).
TEST(RunTimesTest, a_stream_is_expected_to_take_the_slowest_start_and_the_slowest_pace_for_all_tokens_that_it_may_have)
{
    RunTimes times;
    times.add({.untilFirst = Milliseconds(300), .rest = Milliseconds(1'000), .events = 101});
    times.add({.untilFirst = Milliseconds(100), .rest = Milliseconds(400), .events = 21});
    times.add({.untilFirst = Milliseconds(100), .rest = Milliseconds(100), .events = 21});
    times.add({.untilFirst = Milliseconds(100), .rest = Milliseconds(100), .events = 21});
    EXPECT_EQ(times.expected(200, false), Milliseconds(300 + 200 * 20));
    EXPECT_FALSE(times.expected(0, false)) << "nothing bounds its length";
    EXPECT_EQ(times.expected(0, true), Milliseconds(300 + 1'000)) << "it may be taken up";
}

TEST(RunTimesTest, a_response_that_comes_as_a_whole_is_expected_to_take_the_slowest_start)
{
    RunTimes times;
    for (const int ms : {40, 120, 60, 80}) {
        times.add({.untilFirst = Milliseconds(ms)});
    }
    EXPECT_EQ(times.expected(0, false), Milliseconds(120));
    EXPECT_EQ(times.expected(200, false), Milliseconds(120));
}

TEST(RunTimesTest, old_runs_are_forgotten)
{
    RunTimes times;
    times.add({.untilFirst = Milliseconds(5'000)});
    for (std::size_t i = 0; i < RunTimes::keptRuns; ++i) {
        times.add({.untilFirst = Milliseconds(20)});
    }
    EXPECT_EQ(times.expected(0, false), Milliseconds(20));
}

} // namespace
} // namespace baobabstall::serving::tests
