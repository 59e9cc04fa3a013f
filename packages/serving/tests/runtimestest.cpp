#include <gtest/gtest.h>

#include <serving/runtimes.h>

namespace baobabstall::serving::tests {
namespace {

TEST(RunTimesTest, nothing_is_expected_of_a_service_of_which_too_few_runs_are_known)
{
    RunTimes times;
    for (std::size_t i = 0; i + 1 < RunTimes::minRuns; ++i) {
        times.add({.untilFirst = Milliseconds(10)});
        EXPECT_FALSE(times.expected(0));
    }
    times.add({.untilFirst = Milliseconds(10)});
    EXPECT_EQ(times.expected(0), Milliseconds(10));
}

TEST(RunTimesTest, a_stream_is_expected_to_take_the_slowest_start_and_the_slowest_pace_for_its_size)
{
    RunTimes times;
    times.add({.untilFirst = Milliseconds(300), .rest = Milliseconds(1'000), .size = 100});
    times.add({.untilFirst = Milliseconds(100), .rest = Milliseconds(400), .size = 20});
    times.add({.untilFirst = Milliseconds(100), .rest = Milliseconds(100), .size = 20});
    times.add({.untilFirst = Milliseconds(100), .rest = Milliseconds(100), .size = 20});
    EXPECT_EQ(times.expected(200), Milliseconds(300 + 200 * 20));
    EXPECT_EQ(times.expected(0), Milliseconds(300 + 1'000)) << "without a size, the longest";
}

TEST(RunTimesTest, old_runs_are_forgotten)
{
    RunTimes times;
    times.add({.untilFirst = Milliseconds(5'000)});
    for (std::size_t i = 0; i < RunTimes::keptRuns; ++i) {
        times.add({.untilFirst = Milliseconds(20)});
    }
    EXPECT_EQ(times.expected(0), Milliseconds(20));
}

} // namespace
} // namespace baobabstall::serving::tests
