#include <serving/unreadablerecords.h>

#include <gtest/gtest.h>

namespace baobabstall::serving {
namespace {

using core::Instant;

// Guards against an odd entry that is logged at each read of its list (issue 32).
TEST(UnreadableRecords, are_new_once_for_each_topic_key_and_value)
{
    UnreadableRecords records;
    const Instant now(1'000);
    EXPECT_TRUE(records.isNew("upstreams", "i-1", "odd", now));
    EXPECT_FALSE(records.isNew("upstreams", "i-1", "odd", now + UnreadableRecords::interval * 3));
    EXPECT_TRUE(records.isNew("upstreams", "i-1", "odder", now));
    EXPECT_TRUE(records.isNew("upstreams", "i-2", "odd", now));
    EXPECT_TRUE(records.isNew("control", "i-1", "odd", now));
    EXPECT_EQ(records.takeLeftOut(), 0U);
}

// Guards against a writer of ever new odd entries that fills the log.
TEST(UnreadableRecords, are_bounded_in_an_interval_and_counted_beyond)
{
    UnreadableRecords records;
    const Instant now(1'000);
    int lines = 0;
    constexpr int written = 1'000;
    for (int i = 0; i < written; ++i) {
        lines += records.isNew("upstreams", "i-" + std::to_string(i), "odd", now) ? 1 : 0;
    }
    EXPECT_EQ(lines, UnreadableRecords::maxLines);
    EXPECT_TRUE(records.isNew("upstreams", "later", "odd", now + UnreadableRecords::interval));
    EXPECT_EQ(records.takeLeftOut(), std::uint64_t(written - UnreadableRecords::maxLines));
    EXPECT_EQ(records.takeLeftOut(), 0U);
}

} // namespace
} // namespace baobabstall::serving
