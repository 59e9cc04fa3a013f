// Versions that the store names, and streams that begin at others (review/7, ORDER).
#include <serving/versionwriter.h>

#include "servingfixture.h"

namespace baobabstall::serving::tests {
namespace {

/// Takes or refuses appends.
class AppendStore final : public AbstractStore
{
public:
    net::Task<std::optional<StoreListing>> newest(Topic, core::Error &) override { co_return std::nullopt; }
    net::Task<std::optional<StorePage>> read(Topic, core::Offset, Milliseconds, bool &, core::Error &) override { co_return std::nullopt; }
    net::Task<AppendOutcome> append(Topic, std::vector<VersionLedger::KeyValue> records, core::Offset, core::Offset &offset, core::Error &why) override
    {
        ++appends;
        why.reason = "turned away";
        offset = core::offsetOf(core::StoreEra(1), 1);
        if (outcome == AppendOutcome::Done) {
            written.insert(written.end(), records.begin(), records.end());
        }
        co_return outcome;
    }

    AppendOutcome outcome = AppendOutcome::Done;
    int appends = 0;
    std::vector<VersionLedger::KeyValue> written;
};

class VersionWriterTest : public ServingFixture
{
protected:
    VersionWriterTest()
        : writer_(node_, store_, groups_)
    {
        setUpService(route(RetryPolicy::Resumable, true, 2), std::vector<std::vector<ScriptedUpstream::Script>>(2, {whole_}), false, {"v1", "v1"});
    }

    void lead(const std::string &other)
    {
        groups_.assign({{HostId("entry-1"), ZoneId("a"), other.empty() ? 2.0 : 1.0}, {HostId("entry-2"), ZoneId("a"), other.empty() ? 1.0 : 2.0}},
                       HostId("entry-1"));
    }
    void list()
    {
        writer_.beginListing();
        writer_.endListing(core::StoreEra(1));
    }
    /// As the daemon does, every 100 ms.
    void tickFor(Milliseconds time)
    {
        const auto end = node_.now() + time;
        while (node_.now() < end) {
            if (writer_.isDue(true)) {
                asio::co_spawn(io_, writer_.write(), asio::detached);
            }
            runFor(Milliseconds(50));
        }
    }
    void setVersion(const std::string &id, const std::string &version)
    {
        auto record = *node_.replicas.find(UpstreamId(id));
        record.version = SoftwareVersion(version);
        node_.replicas.apply(record);
        node_.versions.update(node_.replicas, node_.now());
        writer_.onUpstreamsChanged();
    }
    /// This host leads, and has named the version of the service's upstreams.
    void startWithOneVersion()
    {
        lead({});
        list();
        tickFor(Milliseconds(200));
    }
    std::vector<std::size_t> beginStreams(int count)
    {
        for (int i = 0; i < count; ++i) {
            EXPECT_EQ(sendRequest(getRequest("s" + std::to_string(++streams_)), "0\r\n\r\n").status(), 200);
        }
        return {upstream(1).requests.size(), upstream(2).requests.size()};
    }

    const ServiceName service_{"s"};
    const ScriptedUpstream::Script whole_{{streamHead() + chunk(event(1)) + finalChunk}};
    AppendStore store_;
    HostGroups groups_;
    VersionWriter writer_;
    int streams_ = 0;
};

// Guards against streams that begin at a version which the store does not name yet, at a host that can't write (review/7, ORDER).
TEST_F(VersionWriterTest, streams_begin_at_a_new_version_only_once_the_store_names_it)
{
    startWithOneVersion();
    EXPECT_EQ(store_.written.size(), 2U);
    store_.outcome = AppendOutcome::Refused;
    setVersion("r1", "v2"); // the first choice of this host's streams
    tickFor(Milliseconds(1'200));
    EXPECT_EQ(beginStreams(6).front(), 0U);
    EXPECT_GE(store_.appends, 3) << "it is tried again";
    store_.outcome = AppendOutcome::Done;
    tickFor(Milliseconds(600));
    EXPECT_GT(beginStreams(6).front(), 0U);
}

// Guards against one host alone that writes, whom the store turns away (the same).
TEST_F(VersionWriterTest, another_host_writes_when_the_leader_does_not)
{
    lead("entry-2");
    list();
    tickFor(VersionWriter::takeoverTime - Milliseconds(200));
    EXPECT_TRUE(store_.written.empty());
    tickFor(Milliseconds(600));
    EXPECT_EQ(store_.written.size(), 2U);
    const auto before = store_.appends;
    tickFor(Milliseconds(700));
    EXPECT_EQ(store_.appends, before) << "nothing is lacking";
}

// Guards against a taken-up stream of a version that other hosts have named and this one has not seen yet.
TEST_F(VersionWriterTest, a_version_that_other_hosts_name_counts_before_an_upstream_of_it_is_seen)
{
    startWithOneVersion();
    EXPECT_TRUE(node_.onlyVersion(service_));
    core::Error why;
    EXPECT_TRUE(writer_.apply({core::Offset(9), "software/77", R"({"service":"s","version":"v2"})"}, why));
    EXPECT_FALSE(node_.onlyVersion(service_));
}

// Guards against a version that came and left while this host read nothing: the topic, listed anew, names it as gone (the class of review/11, ORDER).
TEST_F(VersionWriterTest, a_version_that_came_and_left_between_two_listings_counts)
{
    startWithOneVersion();
    EXPECT_TRUE(node_.onlyVersion(service_));
    writer_.beginListing();
    core::Error why;
    const auto goneAt = std::to_string(core::civilMilliseconds() - 1'000);
    EXPECT_TRUE(writer_.apply({core::Offset(9), "software/77", R"({"service":"s","version":"v2","gone_at":)" + goneAt + "}"}, why));
    writer_.endListing(core::StoreEra(1));
    EXPECT_FALSE(node_.onlyVersion(service_));
}

// The same where the store has lost the name as it came back as an earlier copy.
TEST_F(VersionWriterTest, no_version_is_the_only_one_until_streams_of_an_earlier_era_have_ended)
{
    startWithOneVersion();
    node_.longestStream = Milliseconds(300);
    EXPECT_TRUE(node_.onlyVersion(service_));
    writer_.beginListing();
    writer_.endListing(core::StoreEra(2));
    EXPECT_FALSE(node_.onlyVersion(service_));
    runFor(Milliseconds(350));
    EXPECT_TRUE(node_.onlyVersion(service_));
    list();
    EXPECT_FALSE(node_.onlyVersion(service_)) << "yet another copy";
}

} // namespace
} // namespace baobabstall::serving::tests
