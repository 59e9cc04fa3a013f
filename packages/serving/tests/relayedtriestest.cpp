#include <algorithm>
#include <iterator>
#include <random>

#include <serving/relayexchange.h>

#include "brokencontinuations.h"
#include "servingfixture.h"

namespace baobabstall::serving::tests {
namespace {

using ReplyText = std::vector<ScriptedUpstream::Script>;

/// A host with its own callers' port, its own links to the other hosts and its own view of the upstreams.
class RelayingHost
{
public:
    RelayingHost(asio::io_context &io, const std::string &name, const Codec &codec, logging::Log log, FakeResidency &residency, FakeStreams &streams)
        : node(io, settingsOf(name), codec, std::move(log))
        , forwarder(node)
        , exchange(node, forwarder, {.isCutOff = [this] { return isCutOff; }, .reaches = [this](const HostId &host) { return reaches(host); }})
        , links(io, {HostId(name), core::Incarnation(1), core::RegionId("r")}, "key", handlers())
    {
        core::Error why;
        address = *links.listen({"127.0.0.1", 0}, why);
        exchange.setLinks(links);
        node.relays = &exchange;
        node.residency = &residency;
        node.streams = &streams;
    }

    peers::LinkHandlers handlers()
    {
        peers::LinkHandlers handlers;
        handlers.onCall = [this](std::shared_ptr<peers::IncomingCall> call) -> net::Task<void> {
            ++calls;
            if (serveDelay.count() > 0) {
                co_await net::sleep(node.io, serveDelay);
            }
            if (!isSilent) {
                co_await exchange.serve(std::move(call));
            }
        };
        handlers.onNotice = [this](const HostId &from, const peers::Notice &notice) {
            if (const auto *credit = std::get_if<peers::RelayCreditNotice>(&notice.body)) {
                exchange.onCredit(from, *credit);
            }
        };
        return handlers;
    }

    static settings::Settings settingsOf(const std::string &name)
    {
        settings::Settings settings;
        settings.host = HostId(name);
        settings.zone = ZoneId("a");
        return settings;
    }

    bool isCutOff = false;
    std::function<bool(const HostId &)> reaches = [](const HostId &) { return true; };
    Milliseconds serveDelay{0};
    bool isSilent = false; // takes calls and says nothing
    int calls = 0;
    Node node;
    Forwarder forwarder;
    RelayExchange exchange;
    peers::Links links;
    net::Address address;
};

/// One host that reaches no upstream and has the callers, and three that send for it. Peers are asked in the order of their numbers.
class RelayedTriesTest : public ServingFixture
{
protected:
    static constexpr int peerCount = 3;

    RelayedTriesTest()
        : first_(io_, "first", codec_, log(), residency_, streams_)
        , firstServer_(io_,
                       {.limits = [this] { return first_.node.routes->limits(); }, .onInvalidRequest = [](int, std::string_view) {}},
                       [this](CallerConnection &caller, CallerRequest &request) { return first_.forwarder.handle(caller, request); })
    {
        for (int number = 1; number <= peerCount; ++number) {
            peers_.push_back(std::make_unique<RelayingHost>(io_, "peer-" + std::to_string(number), codec_, log(), residency_, streams_));
        }
        std::vector<GroupedHost> hosts = {{HostId("first"), ZoneId("a"), 0}};
        for (const auto &each : peers_) {
            const auto &name = each->node.settings.host;
            hosts.push_back({name, ZoneId("a"), 0});
            first_.links.setAddress(name, each->address);
            each->links.setAddress(HostId("first"), first_.address);
        }
        first_.exchange.setHosts(hosts);
        for (const auto &each : peers_) {
            each->exchange.setHosts(hosts);
        }
        first_.isCutOff = true;
        first_.reaches = [this](const HostId &host) {
            const auto next = std::find_if(peers_.begin(), peers_.end(), [](const auto &each) { return each->calls == 0; });
            return next != peers_.end() && (*next)->node.settings.host == host;
        };
        core::Error why;
        address_ = *firstServer_.listen({"127.0.0.1", 0}, why); // callers of the fixture use the host that is cut off
    }

    ~RelayedTriesTest() override { runFor(Milliseconds(100)); } // requests that are under way refer to the hosts

    RelayingHost &peer(std::size_t number) { return *peers_.at(number - 1); }

    /// Peer n knows `perPeer` upstreams of its own: peer 1 has r1 and r2 of two, peer 2 has r3 and r4. So each send reaches another upstream.
    void setUpPeers(Route route, int perPeer, const std::vector<ReplyText> &scripts)
    {
        setUpService(std::move(route), scripts);
        first_.node.routes = node_.routes;
        for (std::size_t number = 1; number <= peers_.size(); ++number) {
            auto &node = peer(number).node;
            node.routes = node_.routes;
            for (int own = 1; own <= perPeer; ++own) {
                const auto index = (number - 1) * static_cast<std::size_t>(perPeer) + static_cast<std::size_t>(own);
                if (const auto *record = node_.replicas.find(UpstreamId("r" + std::to_string(index)))) {
                    node.replicas.apply(*record);
                }
            }
            node.versions.adopt({.coveredFor = VersionHistory::memory, .gone = {}}, node.now());
            node.versions.update(node.replicas, node.now());
        }
    }

    /// The upstreams that the request reached.
    [[nodiscard]] int reached() const
    {
        return static_cast<int>(std::count_if(upstreams_.begin(), upstreams_.end(), [](const auto &each) { return !each->requests.empty(); }));
    }

    void after(Milliseconds time, std::function<void()> action)
    {
        asio::co_spawn(
            io_,
            [this, time, action = std::move(action)]() -> net::Task<void> {
                co_await net::sleep(io_, time);
                action();
            },
            asio::detached);
    }

    /// `action` once the request has reached so many upstreams.
    void onceReached(int count, std::function<void()> action)
    {
        asio::co_spawn(
            io_,
            [this, count, action = std::move(action)]() -> net::Task<void> {
                while (reached() < count) {
                    co_await net::sleep(io_, Milliseconds(5));
                }
                action();
            },
            asio::detached);
    }

    static ReplyText cutAnswer() { return {{{"HTTP/1.1 200 OK\r\nSeal: s\r\nId: @ID\r\nContent-Length: 10\r\n\r\nhalf"}, false, true, Milliseconds(20)}}; }
    static ReplyText failure() { return {{{"HTTP/1.1 500 Broken\r\nSeal: s\r\nId: @ID\r\nContent-Length: 0\r\n\r\n"}}}; }
    static ReplyText lateAnswer() { return {{{completeResponse("late")}, false, false, Milliseconds(700)}}; }

    RelayingHost first_;
    CallerServer firstServer_;
    std::vector<std::unique_ptr<RelayingHost>> peers_;
    std::vector<std::unique_ptr<ScriptedUpstream>> earlierUpstreams_;
};

// Guards against a request that runs on more upstreams than its route allows, because no host counted what a lost peer had sent (issue 35, BUDGET).
TEST_F(RelayedTriesTest, a_peer_lost_after_it_has_sent_leaves_the_next_one_only_what_is_left)
{
    setUpPeers(route(RetryPolicy::Idempotent, false, 2), 2, {cutAnswer(), lateAnswer(), cutAnswer(), cutAnswer(), cutAnswer(), cutAnswer()});
    onceReached(2, [this] { peer(1).links.close(); });
    sendRequest(getRequest("q1"), "\r\n\r\n");
    runFor(Milliseconds(300));
    EXPECT_LE(reached(), 2);
}

TEST_F(RelayedTriesTest, a_lost_peer_costs_one_try_and_the_next_one_serves)
{
    setUpPeers(route(RetryPolicy::Idempotent, false, 2), 1, {lateAnswer(), {{{completeResponse("second")}}}, {{{completeResponse("never")}}}});
    onceReached(1, [this] { peer(1).links.close(); });
    EXPECT_TRUE(sendRequest(getRequest("q1"), "second").contains("second"));
    EXPECT_EQ(reached(), 2);
}

TEST_F(RelayedTriesTest, a_route_of_one_try_asks_nobody_after_a_lost_peer)
{
    setUpPeers(route(RetryPolicy::Idempotent, false, 1), 1, {lateAnswer(), {{{completeResponse("never")}}}});
    onceReached(1, [this] { peer(1).links.close(); });
    EXPECT_EQ(sendRequest(getRequest("q1"), "\r\n\r\n").status(), 502);
    EXPECT_EQ(peer(2).calls, 0);
    EXPECT_EQ(reached(), 1);
}

std::shared_ptr<const RouteTable> tableWithKey(Route route, const std::string &key)
{
    route.host = "h";
    route.pathPrefix = "/";
    route.services = {{ServiceName("s"), 1}};
    ServiceSpec service;
    service.name = ServiceName("s");
    Configuration configuration;
    configuration.version = ConfigVersion(2);
    configuration.routes = {std::move(route)};
    configuration.services = {std::move(service)};
    configuration.workspaces = std::vector<Workspace>{{.name = WorkspaceId("w"), .keys = {key}, .priority = std::nullopt, .quota = {}}};
    return std::make_shared<const RouteTable>(std::move(configuration));
}

// Guards against a host that ends when it gives back a request whose key it does not know, and against a refusal that ends the search for a peer.
TEST_F(RelayedTriesTest, a_peer_that_does_not_know_the_key_yet_gives_the_request_back_and_the_next_one_serves)
{
    const auto plain = route(RetryPolicy::Idempotent, false, 2);
    setUpPeers(plain, 1, {{{{completeResponse("never")}}}, {{{completeResponse("second")}}}, {{{completeResponse("never")}}}});
    first_.node.routes = peer(2).node.routes = tableWithKey(plain, "k1");
    peer(1).node.routes = tableWithKey(plain, "k0");
    EXPECT_TRUE(sendRequest(getRequest("q1", "Key: k1\r\nWorkspace: forged\r\n"), "second").contains("second"));
    EXPECT_EQ(reached(), 1);
    EXPECT_TRUE(upstream(2).requests.at(0).hasLine("Workspace: w"));
    EXPECT_EQ(upstream(2).requests.at(0).head.find("k1"), std::string::npos);
}

// Guards against a peer that sends what the first host has given up, and is not known to have it (issue 35, BUDGET).
TEST_F(RelayedTriesTest, a_peer_that_reads_a_call_after_it_was_given_up_sends_nothing)
{
    setUpPeers(
        route(RetryPolicy::Idempotent, false, 2), 1, {{{{completeResponse("never")}}}, {{{completeResponse("second")}}}, {{{completeResponse("never")}}}});
    peer(1).serveDelay = RelayExchange::acceptTimeout + Milliseconds(50);
    EXPECT_TRUE(sendRequest(getRequest("q1"), "second").contains("second"));
    runFor(Milliseconds(200));
    EXPECT_EQ(reached(), 1);
}

TEST_F(RelayedTriesTest, a_peer_whose_upstreams_fail_hands_the_request_back_and_the_rest_of_the_tries_goes_on)
{
    setUpPeers(route(RetryPolicy::Idempotent, false, 3),
               2,
               {failure(), failure(), failure(), failure(), {{{completeResponse("third")}}}, {{{completeResponse("third")}}}});
    EXPECT_TRUE(sendRequest(getRequest("q1"), "third").contains("third"));
    EXPECT_EQ(reached(), 3);
}

TEST_F(RelayedTriesTest, the_first_host_answers_when_no_try_is_left)
{
    setUpPeers(route(RetryPolicy::Idempotent, false, 2), 1, {cutAnswer(), cutAnswer(), {{{completeResponse("never")}}}});
    EXPECT_EQ(sendRequest(getRequest("q1"), "\r\n\r\n").status(), 502);
    EXPECT_EQ(reached(), 2);
}

TEST_F(RelayedTriesTest, refusals_of_upstreams_behind_two_peers_are_a_503_that_nothing_ran)
{
    const ReplyText full = {{{"HTTP/1.1 503 Full\r\nNot-Run: 1\r\nId: @ID\r\nBackoff: 700\r\nContent-Length: 0\r\n\r\n"}}};
    setUpPeers(route(RetryPolicy::AtMostOnce, false, 2), 1, {full, full, {{{completeResponse("never")}}}});
    const auto response = sendRequest(getRequest("q1"), "\r\n\r\n");
    EXPECT_EQ(response.status(), 503);
    EXPECT_TRUE(response.contains("Retry-After: 0."));
    EXPECT_EQ(reached(), 2);
}

TEST_F(RelayedTriesTest, a_stream_that_breaks_off_at_a_peer_goes_on_at_the_next_one)
{
    setUpPeers(route(RetryPolicy::Resumable, true, 3),
               1,
               {{{{streamHead() + chunk(event(1)), chunk(event(2))}, false, true, Milliseconds(30)}}, {{{streamHead() + chunk(event(3)) + finalChunk}}}});
    const auto response = sendRequest(getRequest("q1"), finalChunk);
    EXPECT_TRUE(response.bytes.ends_with(chunk(event(1)) + chunk(event(2)) + chunk(event(3)) + finalChunk)) << response.bytes;
    ASSERT_EQ(upstream(2).requests.size(), 1U);
    EXPECT_TRUE(upstream(2).requests[0].hasLine("Last: 2"));
}

class RelayedContinuationTest : public RelayedTriesTest, public ::testing::WithParamInterface<std::size_t>
{ };

// Guards against an error's text or head amid a stream that goes on through a peer (issue 35).
TEST_P(RelayedContinuationTest, leaves_the_stream_cut_after_its_last_event)
{
    const auto broken = brokenContinuations().at(GetParam());
    const ReplyText next = {{{broken.answer}, broken.closes}};
    setUpPeers(route(RetryPolicy::Resumable, true, 3), 1, {{{{streamHead() + chunk(event(1)), chunk(event(2))}, false, true, Milliseconds(10)}}, next, next});
    const auto response = sendRequest(getRequest("q1"));
    EXPECT_TRUE(response.isClosed) << broken.name;
    EXPECT_TRUE(response.bytes.ends_with("\r\n\r\n" + chunk(event(1)) + chunk(event(2)))) << broken.name << ": " << response.bytes;
    EXPECT_GT(peer(2).calls, 0) << "the stream was to go on through another peer";
}

INSTANTIATE_TEST_SUITE_P(Answers, RelayedContinuationTest, ::testing::Range<std::size_t>(0, brokenContinuations().size()));

// Guards against retries that multiply where several hosts send a request: each arrival beyond the first is charged once, at the first host (issue 35).
TEST_F(RelayedTriesTest, without_retry_budget_at_the_first_host_no_second_peer_is_asked)
{
    setUpPeers(route(RetryPolicy::Idempotent, false, 3), 1, {cutAnswer(), {{{completeResponse("never")}}}});
    auto &budget = first_.node.retryBudgetFor(ServiceName("s"));
    while (budget.spend(1, first_.node.now())) { }
    EXPECT_EQ(sendRequest(getRequest("q1"), "\r\n\r\n").status(), 502);
    EXPECT_EQ(reached(), 1);
}

TEST_F(RelayedTriesTest, each_arrival_beyond_the_first_is_charged_once)
{
    setUpPeers(route(RetryPolicy::Idempotent, false, 3), 2, {failure(), failure(), failure(), failure(), failure(), failure()});
    const auto before = first_.node.retryBudgetFor(ServiceName("s")).available(first_.node.now());
    const auto peersBefore = peer(2).node.retryBudgetFor(ServiceName("s")).available(peer(2).node.now());
    sendRequest(getRequest("q1"), "\r\n\r\n");
    EXPECT_EQ(reached(), 3);
    EXPECT_EQ(requestCount(), 3U);
    EXPECT_NEAR(before - first_.node.retryBudgetFor(ServiceName("s")).available(first_.node.now()), 2, 0.2);
    EXPECT_NEAR(peersBefore, peer(2).node.retryBudgetFor(ServiceName("s")).available(peer(2).node.now()), 0.2);
}

// Guards against a first host of an older build, which bounds nothing, asking a second peer after it lost the first one (issue 35).
TEST_F(RelayedTriesTest, a_call_of_an_older_build_is_refused_when_another_peer_may_have_sent_it)
{
    setUpPeers(route(RetryPolicy::Idempotent, false, 2), 2, {{{{completeResponse("one")}}}, {{{completeResponse("two")}}}});
    peers::RelayCall message;
    message.id = 1;
    message.method = "GET";
    message.target = "/x";
    message.host = "h";
    message.fields = {{"Host", "h"}, {"Id", "q1"}};
    const auto callOnce = [&](const peers::RelayCall &body) {
        std::vector<peers::ReplyBody> replies;
        const auto call = first_.links.call(HostId("peer-1"), body);
        bool isDone = false;
        asio::co_spawn(
            io_,
            [&]() -> net::Task<void> {
                core::Error why;
                while (auto reply = co_await call->next(Milliseconds(1'000), why)) {
                    replies.push_back(*reply);
                }
                isDone = true;
            },
            asio::detached);
        while (!isDone) {
            io_.run_one_for(std::chrono::milliseconds(50));
        }
        return replies;
    };
    message.sends = RelayTask::sendsOfPeer;
    message.mayHaveRun = true;
    const auto refused = callOnce(message);
    ASSERT_FALSE(refused.empty());
    const auto *refusal = std::get_if<peers::ErrorReply>(&refused.back());
    ASSERT_NE(refusal, nullptr);
    EXPECT_EQ(refusal->error.outcome, core::Outcome::NotRun);
    EXPECT_EQ(reached(), 0);
    message.id = 2;
    message.sends = 0;
    message.mayHaveRun = false;
    const auto served = callOnce(message);
    ASSERT_FALSE(served.empty());
    EXPECT_TRUE(std::holds_alternative<peers::EndReply>(served.back()));
    EXPECT_EQ(reached(), 1);
}

// Guards against attempts beyond their route when links, peers, patience, callers and deadlines end in any order (issue 35, BUDGET).
TEST_F(RelayedTriesTest, random_ends_of_links_peers_and_callers_never_exceed_the_route)
{
    constexpr std::uint64_t seeds = 16;
    int perPeer = 2;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        std::mt19937_64 random(seed);
        const auto pick = [&](int least, int most) { return std::uniform_int_distribution<>(least, most)(random); };
        std::move(upstreams_.begin(), upstreams_.end(), std::back_inserter(earlierUpstreams_)); // they may still answer
        upstreams_.clear();
        std::vector<ReplyText> scripts;
        for (int number = 0; number < peerCount * perPeer; ++number) {
            const ReplyText kinds[] = {cutAnswer(), lateAnswer(), {{{completeResponse("good")}, false, false, Milliseconds(pick(0, 200))}}};
            scripts.push_back(kinds[pick(0, 2)]);
        }
        const RetryPolicy policies[] = {RetryPolicy::AtMostOnce, RetryPolicy::Idempotent, RetryPolicy::Idempotent};
        const int allowed = pick(1, 3);
        setUpPeers(route(policies[pick(0, 2)], false, allowed), perPeer, scripts);
        for (std::size_t number = 1; number <= peers_.size(); ++number) {
            peer(number).calls = 0;
            for (const auto &id : peer(number).node.replicas.all()) {
                peer(number).node.pool.forget(id); // idle connections lead to the upstreams of the seed before
            }
            peer(number).serveDelay = Milliseconds(pick(0, 3) == 0 ? pick(0, 500) : 0);
        }
        const auto cutOff = pick(0, 1) == 0;
        first_.isCutOff = cutOff;
        const auto victim = static_cast<std::size_t>(pick(1, peerCount));
        std::string headers = "Deadline: " + std::to_string(pick(300, 900)) + "\r\n";
        if (pick(0, 1) == 0) {
            after(Milliseconds(pick(0, 300)), [this, victim] { peer(victim).links.setKey("other"); }); // its links are lost
        }
        sendRequest(getRequest("q" + std::to_string(seed), headers), "\r\n\r\n", Milliseconds(pick(0, 3) == 0 ? pick(50, 400) : 0));
        runFor(Milliseconds(350));
        EXPECT_LE(reached(), allowed) << "seed " << seed;
        peer(victim).links.setKey("key");
    }
}

} // namespace
} // namespace baobabstall::serving::tests
