#include <serving/givenway.h>

#include <gtest/gtest.h>

namespace baobabstall::serving {
namespace {

GivenWay wayOf(int rank, const std::string &workspace)
{
    return {{rank, core::WorkspaceId(workspace)}, {0, core::WorkspaceId("urgent")}, GivenWay::Why::Rank};
}

TEST(GivenWayLog, the_largest_counts_are_logged_once_a_second)
{
    GivenWayLog log;
    const core::Instant now(1'000);
    log.add("prompt", wayOf(2, "a"));
    EXPECT_EQ(log.take(now).size(), 1U) << "the first at once";
    for (int i = 0; i < 6; ++i) {
        for (int n = 0; n <= i; ++n) {
            log.add("load", wayOf(2, "w" + std::to_string(i)));
        }
    }
    EXPECT_TRUE(log.take(now + core::Milliseconds(999)).empty());
    const auto lines = log.take(now + core::Milliseconds(1'000));
    ASSERT_EQ(lines.size(), GivenWayLog::maxLines);
    EXPECT_EQ(lines[0].way.from.workspace.value(), "w5");
    EXPECT_EQ(lines[0].count, 6);
    EXPECT_EQ(lines[0].room, "load");
    EXPECT_TRUE(log.take(now + core::Milliseconds(5'000)).empty());
}

} // namespace
} // namespace baobabstall::serving
