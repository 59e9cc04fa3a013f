#include <random>

#include <gtest/gtest.h>

#include <ownership/claims.h>

using namespace baobabstall::ownership;
using baobabstall::core::Error;
using baobabstall::core::UpstreamId;

namespace {

const Resource engine = engineResource(UpstreamId("e1"));
const HostId a("a");
const HostId b("b");

ClaimRecord claim(const HostId &host, std::uint64_t lastReadOffset, const std::string &id, std::uint64_t incarnation = 1)
{
    return {id, ClaimKind::Claim, engine, host, Incarnation(incarnation), Epoch(), Offset(lastReadOffset), {}};
}

ClaimRecord statement(ClaimKind kind, const HostId &host, std::uint64_t epoch, std::uint64_t lastReadOffset, const std::string &id)
{
    return {id, kind, engine, host, Incarnation(1), Epoch(epoch), Offset(lastReadOffset), {}};
}

Owner owner(const HostId &host, std::uint64_t epoch, bool released = false, std::uint64_t incarnation = 1)
{
    return {host, Incarnation(incarnation), Epoch(epoch), released};
}

} // namespace

TEST(Resource, NamesAndKinds)
{
    EXPECT_EQ(engineOf(engine), UpstreamId("e1"));
    EXPECT_EQ(partitionOf(partitionResource(17)), 17);
    EXPECT_FALSE(engineOf(loadBudgetResource()));
    for (const char *bad : {"calls/", "calls/x", "calls/-1", "calls/1x", "calls/99999999999", "engine/", ""}) {
        EXPECT_FALSE(partitionOf(Resource(bad))) << bad;
    }
}

TEST(ClaimRecord, RoundTripsThroughJson)
{
    auto record = claim(a, 7, "a/1/1");
    record.formerHolders = {{Epoch(3), b, Incarnation(9)}, {Epoch(5), a, Incarnation(8)}};
    Error why;
    EXPECT_EQ(claimFromJson(toJson(record), why), record);
    auto release = statement(ClaimKind::Release, b, 5, 9, "b/1/2");
    EXPECT_EQ(claimFromJson(toJson(release), why), release);
}

TEST(ClaimRecord, MalformedTextIsAnErrorWithoutAThrow)
{
    auto good = toJson(claim(a, 7, "a/1/1"));
    std::mt19937 random(1);
    Error why;
    for (int round = 0; round < 5'000; ++round) {
        auto bad = good.substr(0, random() % (good.size() + 1));
        if (!bad.empty()) {
            bad[random() % bad.size()] = static_cast<char>(random());
        }
        auto record = claimFromJson(bad, why);
        EXPECT_TRUE(!record || claimFromJson(toJson(*record), why)) << bad;
    }
    EXPECT_FALSE(claimFromJson("[]", why));
    EXPECT_EQ(why.step, baobabstall::core::Step::Log);
    EXPECT_FALSE(claimFromJson(R"({"id":"x","kind":"claim","thing":"t","host":"h","incarnation":-1,"epoch":0,"read_to":0})", why));
    EXPECT_FALSE(claimFromJson(R"({"id":"x","kind":"release","thing":"t","host":"h","incarnation":1,"epoch":0,"read_to":0})", why)) << "no epoch";
}

TEST(ClaimTable, TheFirstOfTwoRacingClaimsWins)
{
    ClaimTable table;
    EXPECT_TRUE(table.apply(Offset(1), claim(a, 0, "a1"), 0));
    EXPECT_FALSE(table.apply(Offset(2), claim(b, 0, "b1"), 0));
    EXPECT_EQ(table.ownerOf(engine), owner(a, 1));
    EXPECT_TRUE(table.apply(Offset(3), claim(b, 2, "b2"), 0)) << "its writer had read the earlier claim";
    EXPECT_EQ(table.ownerOf(engine), owner(b, 3));
    EXPECT_FALSE(table.apply(Offset(4), claim(a, 1, "a2"), 0)) << "a delayed claim";
    EXPECT_EQ(table.ownerOf(engine), owner(b, 3));
}

TEST(ClaimTable, ARepeatedRecordIsIgnored)
{
    ClaimTable table;
    table.apply(Offset(1), claim(a, 0, "a1"), 0);
    table.apply(Offset(2), claim(a, 0, "a1"), 0);
    EXPECT_EQ(table.ownerOf(engine), owner(a, 1));
    table.apply(Offset(3), statement(ClaimKind::Release, a, 1, 2, "a2"), 0);
    table.apply(Offset(4), claim(a, 0, "a1"), 0);
    EXPECT_EQ(table.ownerOf(engine), owner(a, 1, true));
    EXPECT_EQ(table.lastReadOffset(), Offset(4));
}

TEST(ClaimTable, AClaimOfAnOlderIncarnationIsVoid)
{
    ClaimTable table;
    table.apply(Offset(1), claim(a, 0, "a2", 2), 0);
    EXPECT_FALSE(table.apply(Offset(2), claim(a, 1, "a1", 1), 0));
    EXPECT_EQ(table.ownerOf(engine), owner(a, 1, false, 2));
}

TEST(ClaimTable, OnlyTheOwnerReleases)
{
    ClaimTable table;
    table.apply(Offset(1), claim(a, 0, "a1"), 0);
    table.apply(Offset(2), statement(ClaimKind::Release, b, 1, 1, "b1"), 0);
    EXPECT_EQ(table.ownerOf(engine), owner(a, 1));
    table.apply(Offset(3), claim(b, 2, "b2"), 0);
    table.apply(Offset(4), statement(ClaimKind::Retire, a, 1, 3, "a2"), 0);
    EXPECT_EQ(table.ownerOf(engine), owner(b, 3)) << "the holder of an earlier epoch does not change the owner";
    EXPECT_TRUE(table.holderOf(engine, Epoch(1))->released) << "but the epoch is marked as released";
}

TEST(ClaimTable, ARefreshOfASupersededEpochChangesNothing)
{
    ClaimTable table;
    table.apply(Offset(1), claim(a, 0, "a1"), 0);
    table.apply(Offset(2), claim(b, 1, "b1"), 0);
    table.apply(Offset(3), statement(ClaimKind::Refresh, a, 1, 1, "a2"), 0);
    EXPECT_EQ(table.ownerOf(engine), owner(b, 2));
    EXPECT_EQ(table.ownerRecordOffset(engine), Offset(2));
}

TEST(ClaimTable, ALateReaderAgreesOnceTheOwnerRefreshed)
{
    ClaimTable early;
    ClaimTable late; // starts after offset 1
    early.apply(Offset(1), claim(a, 0, "a1"), 0);
    for (auto *table : {&early, &late}) {
        table->apply(Offset(2), claim(b, 0, "b1"), 0); // void: raced with the record at offset 1
    }
    EXPECT_EQ(early.ownerOf(engine), owner(a, 1));
    for (auto *table : {&early, &late}) {
        table->apply(Offset(3), statement(ClaimKind::Refresh, a, 1, 2, "a2"), 0);
        EXPECT_EQ(table->ownerOf(engine), owner(a, 1));
        table->trim(Offset(3));
        EXPECT_EQ(table->ownerOf(engine), owner(a, 1)) << "the refresh keeps the owner";
    }
}

TEST(ClaimTable, ALateReaderGetsFormerHoldersFromTheOwner)
{
    ClaimTable late;
    auto record = claim(b, 8, "b1");
    record.formerHolders = {{Epoch(3), a, Incarnation(1)}};
    late.apply(Offset(9), record, 1'000);
    ASSERT_TRUE(late.holderOf(engine, Epoch(3)));
    EXPECT_EQ(late.holderOf(engine, Epoch(3))->holder.host, a);
    EXPECT_EQ(late.unreleasedBefore(engine, Epoch(9)), record.formerHolders);
}

TEST(ClaimTable, AnOwnerWhoseRecordsExpiredOwnsNothing)
{
    ClaimTable table;
    table.apply(Offset(1), claim(a, 0, "a1"), 0);
    EXPECT_TRUE(table.trim(Offset(1)).empty());
    EXPECT_EQ(table.trim(Offset(2)), std::vector<Resource>{engine});
    EXPECT_FALSE(table.ownerOf(engine));
    EXPECT_FALSE(table.hasRecord("a1"));
}

/// Two writers with lagging reads, repeated appends and releases. A reader that starts at any offset must agree with the reader of the
/// whole stream as soon as it reads a record of the current owner.
TEST(ClaimTable, ReadersThatStartAnywhereAgreeOverRandomStreams)
{
    for (unsigned seed = 1; seed <= 2'000; ++seed) {
        std::mt19937 random(seed);
        std::vector<ClaimRecord> log;
        ClaimTable writer[2];
        std::uint64_t next = 0;
        for (int step = 0; step < 40; ++step) {
            unsigned writerIndex = random() % 2;
            HostId host(writerIndex == 0 ? "a" : "b");
            auto &table = writer[writerIndex];
            auto upTo = table.lastReadOffset().value() + random() % (log.size() - table.lastReadOffset().value() + 1); // reads lag
            while (table.lastReadOffset().value() < upTo) {
                table.apply(table.lastReadOffset().next(), log[table.lastReadOffset().value()], 0);
            }
            auto owned = table.ownerOf(engine);
            bool ours = owned && owned->host == host && !owned->released;
            auto id = std::to_string(++next);
            if (!ours) {
                log.push_back(claim(host, table.lastReadOffset().value(), id));
            } else {
                auto kind = random() % 4 == 0 ? ClaimKind::Release : ClaimKind::Refresh;
                log.push_back(statement(kind, host, owned->epoch.value(), table.lastReadOffset().value(), id));
            }
            if (random() % 8 == 0) {
                log.push_back(log[random() % log.size()]); // a retried append
            }
        }
        ClaimTable all;
        std::vector<ClaimTable> later(log.size());
        for (std::size_t at = 0; at < log.size(); ++at) {
            all.apply(Offset(at + 1), log[at], 0);
            for (std::size_t start = 0; start <= at; ++start) {
                later[start].apply(Offset(at + 1), log[at], 0);
            }
        }
        auto expected = all.ownerOf(engine);
        ASSERT_TRUE(expected);
        auto kind = expected->released ? ClaimKind::Release : ClaimKind::Refresh;
        log.push_back(statement(kind, expected->host, expected->epoch.value(), log.size(), "last"));
        all.apply(Offset(log.size()), log.back(), 0);
        for (std::size_t start = 0; start + 1 < log.size(); ++start) {
            later[start].apply(Offset(log.size()), log.back(), 0);
            EXPECT_EQ(later[start].ownerOf(engine), expected) << "seed " << seed << " start " << start;
        }
    }
}

// Guards against a record nested so deep that passes over it end the process (issue 32).
TEST(ClaimRecord, DeepOrOddTextIsNoClaim)
{
    Error why;
    const std::string deep = std::string(100'000, '[') + std::string(100'000, ']');
    const auto sound = toJson(claim(a, 1, "c1"));
    ASSERT_TRUE(claimFromJson(sound, why));
    for (const auto &field : {std::string("id"), std::string("former"), std::string("other")}) {
        const auto text = std::string("{\"").append(field).append("\":").append(deep).append(",").append(sound, 1);
        EXPECT_FALSE(claimFromJson(text, why)) << field;
        EXPECT_LT(why.reason.size(), 300U);
    }
    for (const std::string number : {"1e400", "-1", "1e300", "18446744073709551616", "0.5"}) {
        auto text = sound;
        text.replace(text.find("\"read_to\":1"), 11, "\"read_to\":" + number);
        EXPECT_FALSE(claimFromJson(text, why)) << number;
    }
}
