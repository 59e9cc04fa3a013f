#include <serving/upstreamcopy.h>

#include <gtest/gtest.h>

namespace baobabstall::serving {
namespace {

ReplicaRecord record(const std::string &id, bool isLeaving = false)
{
    ReplicaRecord record;
    record.id = UpstreamId(id);
    record.service = ServiceName("llm");
    record.address = {"10.1.0.7", 8500};
    record.zone = ZoneId("a");
    record.startTime = ReplicaStartTime(1'700'000'000'123);
    record.isLeaving = isLeaving;
    record.slots = 16;
    record.models = {{BaseModel("m"), {{AdapterName("a1"), AdapterRevision(3)}}}};
    return record;
}

TEST(UpstreamCopy, says_whom_to_try_and_not_which_adapters_they_hold)
{
    ReplicaBook book;
    book.apply(record("r1"));
    book.apply(record("r2", true));
    core::Error why;
    const auto read = decodeUpstreamCopy(encodeUpstreamCopy(book), why);
    ASSERT_TRUE(read) << why.text();
    ASSERT_EQ(read->size(), 2U);
    auto expected = record("r1");
    expected.models.front().adapters.clear();
    EXPECT_EQ(read->front(), expected);
    EXPECT_TRUE(read->back().isLeaving);
    EXPECT_TRUE(decodeUpstreamCopy(encodeUpstreamCopy(ReplicaBook()), why)->empty());
}

TEST(UpstreamCopy, of_what_it_can_not_have_written_nothing_is_believed)
{
    ReplicaBook book;
    book.apply(record("r1"));
    const auto good = encodeUpstreamCopy(book);
    core::Error why;
    for (const std::string bad : {"", "{", "7", R"([{"id":"r1"}])", R"([[]])", "\xff\xfe"}) {
        EXPECT_FALSE(decodeUpstreamCopy(bad, why)) << bad;
        EXPECT_FALSE(why.reason.empty());
    }
    auto wrongAddress = good;
    wrongAddress.replace(wrongAddress.find("10.1.0.7"), 8, "10.1.0.x");
    EXPECT_FALSE(decodeUpstreamCopy(wrongAddress, why));
    auto noSlots = good;
    noSlots.replace(noSlots.find("\"slots\":16"), 10, "\"slots\":-1");
    EXPECT_FALSE(decodeUpstreamCopy(noSlots, why));
}

// Pattern: all hosts lose power while the upstreams' topic alone is out (vloerwerk-plan-grown trouble-1: 5,000 requests refused in 2 s).
// What the copy named stays until the listing that comes back says otherwise, for the grace that lapsed records have.
TEST(UpstreamCopy, holds_until_the_upstreams_own_records_are_back)
{
    ReplicaBook book;
    book.apply(record("r1"));
    book.apply(record("r2"));
    core::Error why;
    const auto copy = decodeUpstreamCopy(encodeUpstreamCopy(book), why);
    Instant now(10'000);
    ReplicaBook started;
    started.noteStore(false, now);
    for (const auto &each : *copy) {
        started.apply(each);
    }
    EXPECT_EQ(started.usable(ServiceName("llm")).size(), 2U);
    now = now + Milliseconds(500);
    started.noteStore(true, now);
    started.assign({record("r1")}, now);
    EXPECT_TRUE(started.isUsable(UpstreamId("r2"))) << "its record may still come back";
    now = now + ReplicaBook::lapseGrace;
    started.expire(now);
    EXPECT_TRUE(started.isUsable(UpstreamId("r1")));
    EXPECT_FALSE(started.isUsable(UpstreamId("r2")));
}

} // namespace
} // namespace baobabstall::serving
