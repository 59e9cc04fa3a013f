#include <gtest/gtest.h>

#include <serving/versionledger.h>

namespace baobabstall::serving::tests {
namespace {

const ServiceName llm("llm");
const SoftwareVersion v1("v1");
const SoftwareVersion v2("v2");
const SoftwareVersion v3("v3");
constexpr Milliseconds longest{15'000};
constexpr std::int64_t civilStart = 1'700'000'000'000;

ReplicaRecord recordOf(const std::string &id, const SoftwareVersion &version, const ServiceName &service = llm)
{
    ReplicaRecord record;
    record.id = UpstreamId(id);
    record.service = service;
    record.version = version;
    return record;
}

/// The control topic, and hosts that read it at once.
class VersionLedgerTest : public ::testing::Test
{
protected:
    struct Host {
        explicit Host(Instant now)
            : history(now)
        { }
        ReplicaBook replicas;
        VersionLedger ledger;
        VersionHistory history;
    };

    [[nodiscard]] std::int64_t civilNow() const { return civilStart + (now_ - Instant(0)).count(); }
    [[nodiscard]] VersionLedger::Times times() const { return {now_, civilNow(), longest, era_}; }

    Host start(const std::vector<ReplicaRecord> &replicas)
    {
        Host host(now_);
        list(host);
        host.history.adopt(host.ledger.past(era_, civilNow()), now_);
        setReplicas(host, replicas);
        return host;
    }
    void list(Host &host)
    {
        core::Error why;
        host.ledger.beginListing();
        for (const auto &[key, value] : topic_) {
            EXPECT_TRUE(value.empty() || host.ledger.apply(key, value, why)) << key << " " << why.text();
        }
        host.ledger.endListing();
    }
    void setReplicas(Host &host, const std::vector<ReplicaRecord> &replicas)
    {
        host.replicas.assign(replicas, now_);
        host.history.update(host.replicas, now_);
        host.ledger.update(host.replicas);
    }
    /// Returns how many records it wrote.
    std::size_t write(Host &host)
    {
        const auto due = host.ledger.due(host.replicas, host.history.past(now_), times());
        for (const auto &[key, value] : due) {
            core::Error why;
            topic_[key] = value;
            EXPECT_TRUE(host.ledger.apply(key, value, why)) << key;
        }
        host.ledger.update(host.replicas);
        return due.size();
    }
    void pass(Milliseconds time) { now_ = now_ + time; }
    [[nodiscard]] std::optional<SoftwareVersion> only(const Host &host) const { return host.history.only(llm, longest, now_); }

    std::map<std::string, std::string> topic_;
    Instant now_{100'000};
    core::StoreEra era_{1};
};

// Guards against streams that begin at a version which no host that starts later knows of (review/7, ORDER).
TEST_F(VersionLedgerTest, no_stream_begins_at_a_version_before_the_topic_names_it)
{
    auto host = start({recordOf("r1", v1)});
    EXPECT_TRUE(host.ledger.mayBegin(llm, v1)) << "the first version of a service is served at once";
    write(host);
    setReplicas(host, {recordOf("r1", v1), recordOf("r2", v2)});
    EXPECT_FALSE(host.ledger.mayBegin(llm, v2));
    EXPECT_TRUE(host.ledger.mayBegin(llm, v1));
    write(host);
    EXPECT_TRUE(host.ledger.mayBegin(llm, v2));
    setReplicas(host, {recordOf("r1", v1), recordOf("r2", v2), recordOf("r3", v2), recordOf("r4", v1, ServiceName("other"))});
    EXPECT_TRUE(host.ledger.mayBegin(llm, v2)) << "a new upstream of a known version";
    EXPECT_TRUE(host.ledger.mayBegin(ServiceName("other"), v1));
}

TEST_F(VersionLedgerTest, any_version_will_do_while_no_upstream_of_a_named_one_is_usable)
{
    auto host = start({recordOf("r1", v1)});
    write(host);
    auto leaving = recordOf("r1", v1);
    leaving.isLeaving = true;
    setReplicas(host, {leaving, recordOf("r2", v2)});
    EXPECT_TRUE(host.ledger.mayBegin(llm, v2));
}

// The same fault: all hosts end while one of them, which alone wrote, can't write, and what came meanwhile has left when they start.
TEST_F(VersionLedgerTest, a_version_that_came_and_left_is_known_to_a_host_that_starts_afterwards)
{
    auto unable = start({recordOf("r1", v1)});
    write(unable);
    pass(Milliseconds(60'000));
    EXPECT_EQ(only(start({recordOf("r1", v1)})), v1);
    auto other = start({recordOf("r1", v1), recordOf("r2", v2)});
    write(other);
    pass(Milliseconds(5'000));
    auto restarted = start({recordOf("r1", v1)});
    EXPECT_FALSE(only(restarted));
    pass(longest + Milliseconds(1));
    EXPECT_EQ(only(restarted), v1) << "every stream of v2 has ended";
}

TEST_F(VersionLedgerTest, a_version_that_is_gone_counts_until_its_streams_have_ended)
{
    auto host = start({recordOf("r1", v1)});
    write(host);
    pass(Milliseconds(60'000));
    setReplicas(host, {recordOf("r2", v2)});
    write(host);
    pass(VersionLedger::absentTime);
    write(host);
    EXPECT_FALSE(only(start({recordOf("r2", v2)})));
    pass(longest);
    EXPECT_FALSE(only(start({recordOf("r2", v2)}))) << "clocks may differ";
    pass(VersionLedger::maxClockSkew + Milliseconds(1));
    EXPECT_EQ(only(start({recordOf("r2", v2)})), v2);
    EXPECT_EQ(only(host), v2) << "the host that saw it go doesn't wait for a record of that";
    setReplicas(host, {recordOf("r2", v2), recordOf("r3", v1)});
    EXPECT_FALSE(host.ledger.mayBegin(llm, v1)) << "it is back, and has to be named again";
    pass(VersionHistory::memory);
    auto later = start({recordOf("r2", v2)});
    EXPECT_EQ(write(later), 1U) << "its record is dropped";
    EXPECT_EQ(write(later), 0U);
}

TEST_F(VersionLedgerTest, three_versions_within_the_time_of_one_stream_are_all_known)
{
    auto host = start({recordOf("r1", v1)});
    for (const auto &version : {v1, v2, v3}) {
        setReplicas(host, {recordOf("r1", version)});
        write(host);
        pass(VersionLedger::absentTime);
        write(host);
    }
    const auto restarted = start({recordOf("r1", v3)});
    EXPECT_FALSE(only(restarted));
    EXPECT_EQ(restarted.ledger.past(era_, civilNow()).gone.size(), 3U);
}

// Guards against what an earlier copy of the store has lost being taken for never having been.
TEST_F(VersionLedgerTest, what_an_earlier_copy_of_the_store_lost_is_written_again_or_counts_as_not_known)
{
    auto host = start({recordOf("r1", v1)});
    write(host);
    pass(Milliseconds(60'000));
    const auto copy = topic_;
    setReplicas(host, {recordOf("r1", v1), recordOf("r2", v2)});
    write(host);
    setReplicas(host, {recordOf("r1", v1)});
    topic_ = copy;
    era_ = core::StoreEra(2);
    EXPECT_FALSE(only(start({recordOf("r1", v1)}))) << "all hosts were killed beside it";
    list(host);
    write(host);
    EXPECT_FALSE(only(start({recordOf("r1", v1)}))) << "a host that lived on has written v2 again";
    pass(longest + VersionLedger::maxClockSkew + Milliseconds(1));
    EXPECT_EQ(only(start({recordOf("r1", v1)})), v1);
}

TEST_F(VersionLedgerTest, a_host_that_has_not_listed_the_topic_holds_nothing_back_and_knows_no_version)
{
    Host host(now_);
    setReplicas(host, {recordOf("r1", v1), recordOf("r2", v2)});
    EXPECT_TRUE(host.ledger.mayBegin(llm, v2));
    EXPECT_FALSE(only(host));
}

// Cost: a service that never changes its version, and one that lapses for a moment.
TEST_F(VersionLedgerTest, nothing_is_written_while_no_version_comes_or_leaves)
{
    auto host = start({recordOf("r1", v1)});
    EXPECT_EQ(write(host), 2U) << "the version, and since when the topic names all";
    std::size_t written = 0;
    for (int i = 0; i < 7'200; ++i) {
        pass(Milliseconds(500));
        if (i % 100 == 7) {
            setReplicas(host, {});
        } else if (i % 100 == 9) {
            setReplicas(host, {recordOf("r1", v1)});
        }
        written += write(host);
    }
    EXPECT_EQ(written, 0U);
    EXPECT_EQ(only(start({recordOf("r1", v1)})), v1);
}

TEST_F(VersionLedgerTest, malformed_records_name_nothing)
{
    auto host = start({recordOf("r1", v1)});
    write(host);
    core::Error why;
    for (const std::string value : {"{", "7", R"({"service":"llm"})", R"({"service":"llm","version":7})", R"({"service":"llm","version":"v2","gone_at":-1})"}) {
        why = {};
        EXPECT_FALSE(host.ledger.apply("software/7", value, why)) << value;
        EXPECT_FALSE(why.reason.empty()) << value;
    }
    for (const std::string value : {"[]", R"({"since":"x","era":1})", R"({"since":1})"}) {
        EXPECT_FALSE(host.ledger.apply("software_since", value, why)) << value;
    }
    why = {};
    EXPECT_FALSE(host.ledger.apply("host/entry-1", "{}", why));
    EXPECT_TRUE(why.reason.empty()) << "a record of others";
    EXPECT_TRUE(host.ledger.names(llm, v1));
}

} // namespace
} // namespace baobabstall::serving::tests
