#include <serving/relaypeers.h>

#include <memory>

#include <gtest/gtest.h>

namespace baobabstall::serving::tests {
namespace {

constexpr Instant start(1'000);

GroupedHost hostOf(int number, const std::string &zone)
{
    return {HostId("host-" + std::to_string(number)), ZoneId(zone), 0};
}

RelayPeers::Wanted anyPeer()
{
    return {{}, [](const HostId &) { return true; }, [](const HostId &) { return true; }};
}

class RelayPeersTest : public ::testing::Test
{
protected:
    void setHosts(const std::vector<std::string> &zones)
    {
        std::vector<GroupedHost> hosts;
        for (std::size_t number = 0; number < zones.size(); ++number) {
            hosts.push_back(hostOf(static_cast<int>(number), zones[number]));
        }
        peers_.setHosts(hosts);
    }

    RelayPeers peers_{HostId("host-0"), ZoneId("a")};
};

// Guards against streams that are cut at a pause, as the peer that runs them has announced its stop and is taken for lost (issue 46, LOST).
TEST_F(RelayPeersTest, a_peer_that_leaves_gets_no_new_request_and_goes_on_with_those_that_it_has)
{
    setHosts({"a", "a", "a"});
    peers_.setHosts({hostOf(0, "a"), hostOf(1, "a")}, {HostId("host-2")});
    EXPECT_TRUE(peers_.isLive(HostId("host-2")));
    for (int request = 0; request < 4; ++request) {
        EXPECT_EQ(peers_.pick(anyPeer(), start), HostId("host-1"));
    }
    peers_.setHosts({hostOf(0, "a"), hostOf(1, "a")});
    EXPECT_FALSE(peers_.isLive(HostId("host-2"))) << "it is gone";
}

TEST_F(RelayPeersTest, never_picks_this_host_and_spreads_over_the_others)
{
    setHosts({"a", "a", "a", "a"});
    std::vector<std::unique_ptr<RelayPeers::Use>> uses;
    for (int request = 0; request < 9; ++request) {
        const auto host = peers_.pick(anyPeer(), start);
        ASSERT_TRUE(host);
        uses.push_back(std::make_unique<RelayPeers::Use>(peers_, *host));
    }
    EXPECT_EQ(peers_.inFlight(HostId("host-0")), 0);
    for (const auto *name : {"host-1", "host-2", "host-3"}) {
        EXPECT_EQ(peers_.inFlight(HostId(name)), 3) << name;
    }
    uses.clear();
    EXPECT_EQ(peers_.inFlight(HostId("host-1")), 0);
}

TEST_F(RelayPeersTest, prefers_the_own_zone_until_its_peers_have_more_to_do)
{
    setHosts({"a", "a", "b"});
    std::vector<std::unique_ptr<RelayPeers::Use>> uses;
    for (int request = 0; request < RelayPeers::farPenalty; ++request) {
        const auto host = peers_.pick(anyPeer(), start);
        EXPECT_EQ(host, HostId("host-1"));
        uses.push_back(std::make_unique<RelayPeers::Use>(peers_, *host));
    }
    for (int request = 0; request < 20; ++request) {
        uses.push_back(std::make_unique<RelayPeers::Use>(peers_, *peers_.pick(anyPeer(), start)));
    }
    EXPECT_EQ(peers_.inFlight(HostId("host-1")), 14);
    EXPECT_EQ(peers_.inFlight(HostId("host-2")), 10);
}

TEST_F(RelayPeersTest, leaves_out_who_refused_was_lost_was_tried_or_reaches_nothing)
{
    setHosts({"a", "a", "a", "a", "a"});
    peers_.onRefused(HostId("host-1"), Milliseconds(500), start);
    peers_.onLost(HostId("host-2"), start);
    const std::vector<HostId> tried = {HostId("host-3")};
    const RelayPeers::Wanted wanted{tried, [](const HostId &host) { return host != HostId("host-4"); }, [](const HostId &) { return true; }};
    EXPECT_FALSE(peers_.pick(wanted, start));
    EXPECT_EQ(peers_.pick(wanted, start + Milliseconds(500)), HostId("host-1"));
    peers_.onRefused(HostId("host-1"), Milliseconds(3'600'000), start + Milliseconds(500));
    EXPECT_EQ(peers_.pick(wanted, start + RelayPeers::lossPause), HostId("host-2"));
    EXPECT_FALSE(
        peers_.pick({{}, [](const HostId &host) { return host == HostId("host-1"); }, [](const HostId &) { return true; }}, start + Milliseconds(1'499)));
    EXPECT_TRUE(
        peers_.pick({{}, [](const HostId &host) { return host == HostId("host-1"); }, [](const HostId &) { return true; }}, start + Milliseconds(1'500)));
}

TEST_F(RelayPeersTest, a_peer_without_an_open_link_is_the_last_choice)
{
    setHosts({"a", "a", "b"});
    const RelayPeers::Wanted wanted{{}, [](const HostId &) { return true; }, [](const HostId &host) { return host == HostId("host-2"); }};
    EXPECT_EQ(peers_.pick(wanted, start), HostId("host-2"));
}

/// Requests that each of `count` hosts in `zones` zones sends for others, when each that is cut off has `each` requests in flight.
std::vector<int> relayedRequests(int count, int zones, const std::function<bool(int)> &isCutOff, int each)
{
    std::vector<GroupedHost> hosts;
    hosts.reserve(static_cast<std::size_t>(count));
    for (int number = 0; number < count; ++number) {
        hosts.push_back(hostOf(number, "z" + std::to_string(number % zones)));
    }
    const auto numberOf = [](const HostId &host) { return std::stoi(host.value().substr(5)); };
    const RelayPeers::Wanted wanted{{}, [&](const HostId &host) { return !isCutOff(numberOf(host)); }, [](const HostId &) { return true; }};
    std::vector<std::unique_ptr<RelayPeers>> cut;
    std::vector<std::unique_ptr<RelayPeers::Use>> uses;
    std::vector<int> sent(static_cast<std::size_t>(count), 0);
    for (int number = 0; number < count; ++number) {
        if (!isCutOff(number)) {
            continue;
        }
        const auto &own = hosts[static_cast<std::size_t>(number)];
        auto &peers = *cut.emplace_back(std::make_unique<RelayPeers>(own.host, own.zone));
        peers.setHosts(hosts);
        for (int request = 0; request < each; ++request) {
            const auto host = peers.pick(wanted, start);
            EXPECT_TRUE(host);
            uses.push_back(std::make_unique<RelayPeers::Use>(peers, *host));
            ++sent[static_cast<std::size_t>(numberOf(*host))];
        }
    }
    return sent;
}

// Guards against one host that sends for all others while its neighbours send for none (issue 32, RECOVER).
TEST(RelaySpreadTest, hosts_that_reach_upstreams_send_about_as_many_requests_each)
{
    struct Case {
        int hosts;
        int zones;
        std::function<bool(int)> isCutOff;
    };
    const std::vector<Case> cases = {
        {8, 3, [](int number) { return number < 1; }},
        {8, 3, [](int number) { return number < 4; }},
        {8, 3, [](int number) { return number < 7; }},
        {87, 3, [](int number) { return number % 3 == 0; }},
        {195, 5, [](int number) { return number % 5 == 0; }},
        {195, 4, [](int number) { return number % 4 != 0; }},
    };
    constexpr int each = 60;
    for (const auto &[hosts, zones, isCutOff] : cases) {
        const auto sent = relayedRequests(hosts, zones, isCutOff, each);
        int sum = 0;
        int senders = 0;
        for (int number = 0; number < hosts; ++number) {
            sum += sent[static_cast<std::size_t>(number)];
            senders += isCutOff(number) ? 0 : 1;
            EXPECT_TRUE(!isCutOff(number) || sent[static_cast<std::size_t>(number)] == 0);
        }
        EXPECT_EQ(sum, (hosts - senders) * each);
        EXPECT_LE(*std::max_element(sent.begin(), sent.end()), 2 * sum / senders + 3) << hosts << " hosts";
    }
}

class RelayGateTest : public ::testing::Test
{
protected:
    RelayGate gate_;
    RelayLoad load_{.isConfigured = true, .linkMbps = 10};
};

TEST_F(RelayGateTest, says_at_once_that_it_is_cut_off_stopping_or_not_ready)
{
    EXPECT_EQ(gate_.refusal(load_, 100), "");
    load_.isCutOff = true;
    EXPECT_EQ(gate_.refusal(load_, 100), RelayGate::reasonCutOff);
    load_ = {.isStopping = true, .isConfigured = true};
    EXPECT_EQ(gate_.refusal(load_, 100), RelayGate::reasonStopping);
    load_ = {};
    EXPECT_EQ(gate_.refusal(load_, 100), RelayGate::reasonNotReady);
}

// Guards against a small host that goes down with the callers of others: 10 Mbit/s carry 312,500 bytes in a quarter of a second.
TEST_F(RelayGateTest, bounds_the_bytes_on_their_way_by_the_link_and_the_requests_by_number)
{
    gate_.addBytes(300'000);
    EXPECT_EQ(gate_.refusal(load_, 12'500), "");
    EXPECT_EQ(gate_.refusal(load_, 12'501), RelayGate::reasonBytes);
    gate_.removeBytes(300'000);
    EXPECT_EQ(gate_.refusal(load_, 1'000'000), "") << "alone it is taken whatever its size";
    for (int request = 0; request < RelayGate::maxRequests; ++request) {
        gate_.begin();
    }
    EXPECT_EQ(gate_.refusal(load_, 0), RelayGate::reasonCount);
    gate_.end();
    EXPECT_EQ(gate_.refusal(load_, 0), "");
}

TEST_F(RelayGateTest, a_host_whose_loop_is_late_serves_its_own_callers_first)
{
    constexpr Milliseconds interval(100);
    auto now = start;
    gate_.onTick(interval, now);
    gate_.onTick(interval, now = now + Milliseconds(150));
    EXPECT_EQ(gate_.refusal(load_, 0), "");
    gate_.onTick(interval, now = now + Milliseconds(350));
    EXPECT_EQ(gate_.refusal(load_, 0), RelayGate::reasonLate);
    gate_.onTick(interval, now = now + interval);
    EXPECT_EQ(gate_.refusal(load_, 0), RelayGate::reasonLate);
    gate_.onTick(interval, now = now + interval);
    EXPECT_EQ(gate_.refusal(load_, 0), "");
}

} // namespace
} // namespace baobabstall::serving::tests
