// Streams in the store, for the case that all hosts end (review/8, LOST).
#include <serving/storedstreams.h>

#include <gtest/gtest.h>

#include <serving/streamexchange.h>

#include "servingfixture.h"

namespace baobabstall::serving::tests {
namespace {

constexpr std::int64_t civilNow = 1'700'000'000'000;

StoredStream streamOf(const std::string &id, const std::string &version, std::uint64_t request = 7)
{
    return {storedIdOf(RequestId(id)), request, civilNow + 10'000, ServiceName("s"), SoftwareVersion(version)};
}

TEST(StoredStreams, are_read_as_they_were_written)
{
    const std::vector<StoredStream> streams = {streamOf("a", "v1"), streamOf("b", "v2", ~std::uint64_t(0)), streamOf("c", "v1", 0)};
    core::Error why;
    auto read = decodeStoredStreams(encodeStoredStreams(streams), why);
    ASSERT_TRUE(read) << why.text();
    std::sort(read->begin(), read->end());
    auto expected = streams;
    std::sort(expected.begin(), expected.end());
    EXPECT_EQ(*read, expected);
    EXPECT_EQ(decodeStoredStreams(encodeStoredStreams({}), why), std::vector<StoredStream>());
    for (const std::string malformed : {"", "{", "[7]", R"([["s","v1"]])", R"([["s","v1","00"]])", R"([["s","v1",7]])", "\xff"}) {
        EXPECT_FALSE(decodeStoredStreams(malformed, why)) << malformed;
    }
    auto other = encodeStoredStreams(streams);
    other[other.find("00")] = 'x';
    EXPECT_FALSE(decodeStoredStreams(other, why));
}

TEST(StoredStreams, tell_the_version_and_what_has_to_be_asked_for_again)
{
    StoredStreams stored;
    stored.assign({streamOf("a", "v1"), streamOf("b", "v2")}, civilNow);
    ASSERT_TRUE(stored.find(RequestId("b")));
    EXPECT_EQ(stored.find(RequestId("b"))->version, SoftwareVersion("v2"));
    EXPECT_EQ(stored.find(RequestId("b"))->request, 7U);
    EXPECT_FALSE(stored.find(RequestId("c")));
    stored.assign({streamOf("a", "v1"), streamOf("a", "v1")}, civilNow);
    EXPECT_TRUE(stored.find(RequestId("a"))) << "in the records of two hosts";
}

// Guards against a guess where an id stands twice.
TEST(StoredStreams, a_doubt_is_no_answer)
{
    StoredStreams stored;
    stored.assign({streamOf("a", "v1"), streamOf("a", "v2")}, civilNow);
    EXPECT_FALSE(stored.find(RequestId("a")));
    stored.assign({streamOf("a", "v1", 7), streamOf("a", "v1", 8), streamOf("a", "v1", 7)}, civilNow);
    EXPECT_FALSE(stored.find(RequestId("a")));
}

TEST(StoredStreams, are_forgotten_when_nobody_can_take_them_up_and_stay_bounded)
{
    StoredStreams stored;
    auto old = streamOf("a", "v1");
    old.until = civilNow - StoredStreams::maxClockSkew - 1;
    std::vector<StoredStream> streams = {old, streamOf("b", "v1")};
    stored.assign(streams, civilNow);
    EXPECT_EQ(stored.size(), 1U);
    for (std::size_t i = 0; i < StoredStreams::maxStreams + 10; ++i) {
        streams.push_back(streamOf("n" + std::to_string(i), "v1"));
    }
    stored.assign(streams, civilNow);
    EXPECT_EQ(stored.size(), StoredStreams::maxStreams);
    constexpr std::size_t maxRecordBytes = 262'144;
    streams.resize(StoredStreams::maxStreamsPerHost);
    EXPECT_LT(encodeStoredStreams(streams).size(), maxRecordBytes - 1'000);
}

/// The newest record of each host.
class StreamStore final : public AbstractStore
{
public:
    explicit StreamStore(asio::io_context &io)
        : io_(io)
    { }
    net::Task<std::optional<StoreListing>> newest(Topic topic, core::Error &why) override
    {
        EXPECT_EQ(topic, Topic::Streams);
        ++listings;
        co_await net::sleep(io_, listingTime);
        why.reason = "down";
        StoreListing listing;
        for (const auto &[key, value] : records) {
            listing.records.push_back({core::Offset(1), key, value});
        }
        co_return isDown ? std::nullopt : std::optional(listing);
    }
    net::Task<std::optional<StorePage>> read(Topic, core::Offset, Milliseconds, bool &, core::Error &) override { co_return std::nullopt; }
    net::Task<AppendOutcome> append(Topic topic, std::vector<std::pair<std::string, std::string>> all, core::Offset, core::Offset &, core::Error &why) override
    {
        EXPECT_EQ(topic, Topic::Streams);
        ++appends;
        why.reason = "full";
        if (isDown) {
            co_return AppendOutcome::Refused;
        }
        for (const auto &[key, value] : all) {
            value.empty() ? static_cast<void>(records.erase(key)) : static_cast<void>(records[key] = value);
        }
        co_return AppendOutcome::Done;
    }

    std::map<std::string, std::string> records;
    Milliseconds listingTime{20};
    bool isDown = false;
    int appends = 0;
    int listings = 0;

private:
    asio::io_context &io_;
};

class StreamExchangeTest : public ServingFixture
{
protected:
    void setUpVersions(const std::vector<std::string> &versions)
    {
        setUpService(route(RetryPolicy::Resumable, true, 2), std::vector<std::vector<ScriptedUpstream::Script>>(versions.size(), {{{"x"}}}), false, versions);
    }
    /// A host with the state of this one, as it is after a start.
    std::unique_ptr<StreamExchange> start() { return std::make_unique<StreamExchange>(node_, store_, groups_); }
    void begin(StreamExchange &exchange, const std::string &id, const std::string &version, bool hasEvent = true)
    {
        exchange.announce(RequestId(id), {SoftwareVersion(version), UpstreamId("r1"), ServiceName("s"), 7, 0}, node_.now() + Milliseconds(8'000));
        if (hasEvent) {
            exchange.onBegun(RequestId(id));
        }
    }
    void tickFor(StreamExchange &exchange, Milliseconds time)
    {
        const auto end = node_.now() + time;
        while (node_.now() < end) {
            exchange.tick();
            runFor(Milliseconds(50));
        }
    }
    FoundStream find(StreamExchange &exchange, const std::string &id, Milliseconds patience = Milliseconds(600))
    {
        FoundStream found;
        bool isDone = false;
        asio::co_spawn(
            io_,
            [&]() -> net::Task<void> {
                found = co_await exchange.find(RequestId(id), ServiceName("s"), patience);
                isDone = true;
            },
            asio::detached);
        while (!isDone) {
            io_.run_one_for(std::chrono::milliseconds(20));
        }
        return found;
    }

    StreamStore store_{io_};
};

// Guards against streams that nobody knows after all hosts have ended (review/8, LOST).
TEST_F(StreamExchangeTest, a_stream_that_has_begun_is_known_after_all_hosts_have_ended)
{
    setUpVersions({"v1", "v2"});
    auto exchange = start();
    begin(*exchange, "old", "v1");
    begin(*exchange, "new", "v2");
    begin(*exchange, "waits", "v2", false);
    tickFor(*exchange, Milliseconds(700));
    auto restarted = start();
    tickFor(*restarted, Milliseconds(100));
    const auto found = find(*restarted, "new");
    ASSERT_TRUE(found.origin);
    EXPECT_EQ(found.origin->version, SoftwareVersion("v2"));
    EXPECT_EQ(found.source, OriginSource::Stored);
    EXPECT_EQ(find(*restarted, "old").origin->version, SoftwareVersion("v1"));
    EXPECT_FALSE(find(*restarted, "waits").origin) << "it may have begun at another version";
}

TEST_F(StreamExchangeTest, what_an_earlier_run_of_the_host_wrote_stays_beside_its_own_streams)
{
    setUpVersions({"v1", "v2"});
    auto exchange = start();
    begin(*exchange, "first", "v1");
    tickFor(*exchange, Milliseconds(100));
    auto second = start();
    begin(*second, "second", "v2");
    tickFor(*second, Milliseconds(100));
    auto third = start();
    tickFor(*third, Milliseconds(100));
    EXPECT_TRUE(find(*third, "first").origin);
    EXPECT_TRUE(find(*third, "second").origin);
}

TEST_F(StreamExchangeTest, streams_that_began_at_one_version_are_stored_as_soon_as_another_one_comes)
{
    setUpVersions({"v1", "v1"});
    auto exchange = start();
    begin(*exchange, "early", "v1");
    tickFor(*exchange, Milliseconds(700));
    EXPECT_EQ(store_.appends, 0);
    auto record = *node_.replicas.find(UpstreamId("r2"));
    record.version = SoftwareVersion("v2");
    node_.replicas.apply(record);
    node_.versions.update(node_.replicas, node_.now());
    tickFor(*exchange, Milliseconds(200));
    EXPECT_EQ(store_.appends, 1);
    auto restarted = start();
    tickFor(*restarted, Milliseconds(50));
    EXPECT_TRUE(find(*restarted, "early").origin);
}

// Cost, and a record that outlives its streams.
TEST_F(StreamExchangeTest, streams_that_have_ended_are_dropped_and_nothing_is_written_twice)
{
    setUpVersions({"v1", "v2"});
    auto exchange = start();
    begin(*exchange, "one", "v1");
    tickFor(*exchange, Milliseconds(2'200));
    EXPECT_EQ(store_.appends, 1);
    exchange->onEnded(RequestId("one"));
    tickFor(*exchange, Milliseconds(700));
    EXPECT_EQ(store_.appends, 2);
    EXPECT_TRUE(store_.records.empty());
    tickFor(*exchange, Milliseconds(1'200));
    EXPECT_EQ(store_.appends, 2);
}

TEST_F(StreamExchangeTest, a_store_that_takes_nothing_delays_no_answer_beyond_the_callers_patience)
{
    setUpVersions({"v1", "v2"});
    store_.isDown = true;
    store_.listingTime = Milliseconds(2'000);
    auto exchange = start();
    begin(*exchange, "own", "v1");
    tickFor(*exchange, Milliseconds(700));
    EXPECT_EQ(find(*exchange, "own").source, OriginSource::Own);
    const auto begin = node_.now();
    EXPECT_FALSE(find(*exchange, "other", Milliseconds(300)).origin);
    EXPECT_LT(node_.now() - begin, Milliseconds(600));
    EXPECT_LE(store_.listings, 2);
}

/// Another host, to which this one has a link.
class LinkedStreamExchangeTest : public StreamExchangeTest
{
protected:
    LinkedStreamExchangeTest()
        : other_(node_, store_, otherGroups_)
        , otherLinks_(io_, self("entry-2"), "key", handlersOf(other_))
        , links_(io_, self("entry-1"), "key", handlersOf(none_))
    {
        groups_.assign({{HostId("entry-1"), ZoneId("a"), 1}, {HostId("entry-2"), ZoneId("b"), 1}}, HostId("entry-1"));
        core::Error why;
        links_.setAddress(HostId("entry-2"), *otherLinks_.listen({"127.0.0.1", 0}, why));
    }
    ~LinkedStreamExchangeTest() override
    {
        links_.close();
        otherLinks_.close();
        runFor(Milliseconds(50));
    }
    static peers::Links::Self self(const std::string &host) { return {HostId(host), core::Incarnation(1), core::RegionId("r")}; }
    static peers::LinkHandlers handlersOf(StreamExchange &exchange)
    {
        peers::LinkHandlers handlers;
        handlers.onNotice = [&exchange](const HostId &, const peers::Notice &notice) {
            if (const auto *origin = std::get_if<peers::StreamOriginNotice>(&notice.body)) {
                exchange.onNotice(*origin);
            }
        };
        return handlers;
    }

    HostGroups otherGroups_;
    StreamExchange other_;
    StreamExchange none_{node_, store_, otherGroups_};
    peers::Links otherLinks_;
    peers::Links links_;
};

// Guards against a stream that is refused because its host, which ends or falls silent as a release begins, had told nobody where it began while its
// service had one version (review/13, LOST).
TEST_F(LinkedStreamExchangeTest, a_stream_is_told_to_other_hosts_while_its_service_has_one_version)
{
    setUpVersions({"v1", "v1"});
    auto exchange = start();
    exchange->setLinks(links_);
    begin(*exchange, "opens the link", "v1");
    runFor(Milliseconds(300));
    EXPECT_TRUE(node_.onlyVersion(ServiceName("s")));
    begin(*exchange, "q", "v1");
    runFor(Milliseconds(100)); // this host does nothing more from here on
    const auto found = find(other_, "q");
    ASSERT_TRUE(found.origin);
    EXPECT_EQ(found.origin->version, SoftwareVersion("v1"));
    EXPECT_EQ(found.source, OriginSource::Told);
}

// Wiring: the forwarder tells when the first event of a stream has come, and when it has ended.
TEST_F(StreamExchangeTest, a_stream_has_begun_with_its_first_event)
{
    setUpService(route(RetryPolicy::Resumable, true, 1),
                 {{ScriptedUpstream::Script{{streamHead() + chunk(event(1)), chunk(event(2)) + finalChunk}, false, false, Milliseconds(100)}}});
    sendRequest(getRequest("q"), event(1));
    EXPECT_EQ(streams_.begun, std::vector<RequestId>{RequestId("q")});
    runFor(Milliseconds(10));
    EXPECT_TRUE(streams_.ended.empty());
    sendRequest(getRequest("p"), finalChunk);
    EXPECT_EQ(streams_.ended, std::vector<RequestId>{RequestId("p")});
}

} // namespace
} // namespace baobabstall::serving::tests
