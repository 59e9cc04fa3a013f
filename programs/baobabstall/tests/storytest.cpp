#include "../story.h"

#include <sstream>

#include <gtest/gtest.h>

namespace baobabstall::cli {
namespace {

// Recorded from two hosts on a played day; the collector's own prefix stands before the brace.
constexpr auto recorded
    = R"(   5.9312 entry-2 {"event":"send_ended","host":"entry-2","left_ms":4210,"outcome":"cut","request_id":"q1","time":"2026-04-17T16:42:24.931Z","upstream":"i-a","why":"Connection reset by peer"}
   5.9313 entry-2 {"event":"request","host":"entry-2","reason":"upstream_failed","request_id":"q1","sends":1,"status":502,"time":"2026-04-17T16:42:24.932Z","upstream":"i-a"}
   5.1000 entry-1 {"change":"leaving","event":"upstream_changed","host":"entry-1","time":"2026-04-17T16:42:24.100Z","upstream":"i-a"}
   5.2000 entry-1 {"change":"leaving","event":"upstream_changed","host":"entry-1","time":"2026-04-17T16:42:24.200Z","upstream":"i-b"}
   1.0000 entry-1 {"change":"came","event":"upstream_changed","host":"entry-1","time":"2026-04-17T16:30:00.000Z","upstream":"i-a"}
   5.9000 entry-1 {"event":"request","host":"entry-1","reason":"served","request_id":"q2","status":200,"time":"2026-04-17T16:42:24.900Z","upstream":"i-a"}
a line that is no JSON {
)";

TEST(Story, has_the_requests_lines_and_what_was_believed_of_its_upstream_in_order_of_time)
{
    std::istringstream in(recorded);
    const auto story = storyOf(readLines(in), "q1");
    ASSERT_TRUE(story);
    ASSERT_EQ(story->lines.size(), 3U);
    EXPECT_EQ(story->lines[0].event, "upstream_changed");
    EXPECT_FALSE(story->lines[0].isOwn);
    EXPECT_EQ(story->lines[1].event, "send_ended");
    EXPECT_EQ(story->lines[1].rest, "left_ms=4210 outcome=cut upstream=i-a why=Connection reset by peer");
    EXPECT_EQ(story->lines[2].event, "request");
    EXPECT_EQ(story->unreadable, 1U);
}

TEST(Story, has_what_the_upstream_said_of_itself_and_what_its_host_learnt_of_the_store)
{
    std::istringstream in(std::string(recorded)
                          + R"({"event":"upstream_leaving","host":"entry-3","source":"answer","time":"2026-04-17T16:42:20.100Z","upstream":"i-a"}
{"event":"backoff_begun","for_ms":2500,"host":"entry-2","time":"2026-04-17T16:42:21.100Z","upstream":"i-a"}
{"event":"backoff_begun","for_ms":2500,"host":"entry-2","time":"2026-04-17T16:42:21.200Z","upstream":"i-b"}
{"before":1,"era":2,"event":"store_era","host":"entry-2","time":"2026-04-17T16:42:22.100Z","topic":"control"}
{"before":1,"era":2,"event":"store_era","host":"entry-9","time":"2026-04-17T16:42:22.200Z","topic":"control"}
)");
    const auto story = storyOf(readLines(in), "q1");
    ASSERT_TRUE(story);
    std::vector<std::string> events;
    for (const auto &line : story->lines) {
        events.push_back(line.event);
    }
    EXPECT_EQ(events, (std::vector<std::string>{"upstream_leaving", "backoff_begun", "store_era", "upstream_changed", "send_ended", "request"}));
}

TEST(Story, is_none_for_a_request_that_no_line_names)
{
    std::istringstream in(recorded);
    EXPECT_FALSE(storyOf(readLines(in), "q9"));
}

} // namespace
} // namespace baobabstall::cli
