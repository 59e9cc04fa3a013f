#include <serving/reachability.h>

#include <gtest/gtest.h>

namespace baobabstall::serving {
namespace {

const ServiceName llm("llm");
const ServiceName shop("shop");
constexpr Milliseconds contact{3'000};
constexpr Milliseconds tickInterval{100};
constexpr Milliseconds connectTimeout{300};

/// One host, its upstreams and its network on a fake clock. Connections open within a tick, fail after connectTimeout, or are reset at once.
class World
{
public:
    enum class Network { Sound, Hanging, Resetting };

    explicit World(int llms, int shops = 0)
    {
        for (int i = 0; i < llms; ++i) {
            upstreams.push_back({UpstreamId("l-" + std::to_string(i)), llm});
        }
        for (int i = 0; i < shops; ++i) {
            upstreams.push_back({UpstreamId("s-" + std::to_string(i)), shop});
        }
        host.setUpstreams(upstreams, now);
    }

    void connect(const UpstreamId &id)
    {
        ++connects;
        const bool isDown = down.contains(id);
        const bool isRefused = network == Network::Resetting || (isDown && network == Network::Sound);
        if (network == Network::Sound && !isDown) {
            ++opened;
            host.onConnected(id, now);
        } else if (isRefused) {
            host.onNoContact(id, now);
        } else {
            pending.emplace(now + connectTimeout, id);
        }
    }

    void tick()
    {
        now = now + tickInterval;
        while (!pending.empty() && pending.begin()->first <= now) {
            const auto id = pending.begin()->second;
            pending.erase(pending.begin());
            host.onNoContact(id, now);
        }
        if (onTick) {
            onTick();
        }
        for (const auto &id : host.takeProbes(runningSends, now)) {
            connect(id);
        }
        everCutOff |= host.isCutOff();
    }

    void run(Milliseconds time)
    {
        for (const auto until = now + time; now < until;) {
            tick();
        }
    }

    /// Time until isCutOff() is `wanted`; more than `limit` when it is not.
    Milliseconds timeUntil(bool wanted, Milliseconds limit = contact)
    {
        const auto begin = now;
        while (host.isCutOff() != wanted && now - begin <= limit) {
            tick();
        }
        return now - begin;
    }

    /// Every tick one upstream after the other answers over an open connection, as those that aren't down do.
    void answerAll(const ServiceName &service)
    {
        for (const auto &each : upstreams) {
            if (each.service == service && !down.contains(each.id)) {
                host.onAnswer(each.id, now);
            }
        }
    }

    std::vector<Reachability::Upstream> upstreams;
    Reachability host;
    Instant now{10'000};
    Network network = Network::Sound;
    std::set<UpstreamId> down;
    std::multimap<Instant, UpstreamId> pending;
    std::function<void()> onTick;
    int runningSends = 0;
    int connects = 0;
    int opened = 0;
    bool everCutOff = false;
};

using Network = World::Network;

class ReachabilityCut : public testing::TestWithParam<std::tuple<Network, int, bool>>
{ };

// Guards against a host that goes on sending to upstreams it has lost all links to (RECOVER, issue 32).
TEST_P(ReachabilityCut, is_noticed_within_the_time_of_contact_and_its_end_too)
{
    const auto [network, offset, hasTraffic] = GetParam();
    World world(18, 4);
    const bool isBusy = hasTraffic;
    world.onTick = [&] {
        if (isBusy && world.network == Network::Sound) {
            world.answerAll(llm);
        }
        world.runningSends = isBusy ? 3 : 0;
    };
    world.run(Milliseconds(5'000 + offset));
    world.network = network;
    EXPECT_LE(world.timeUntil(true).count(), 2'600);
    world.run(Milliseconds(12'000));
    EXPECT_TRUE(world.host.isCutOff());
    world.network = Network::Sound;
    EXPECT_LE(world.timeUntil(false).count(), 1'000);
}

INSTANTIATE_TEST_SUITE_P(Networks,
                         ReachabilityCut,
                         testing::Combine(testing::Values(Network::Hanging, Network::Resetting),
                                          testing::Values(0, 300, 600, 900, 1'200, 1'500),
                                          testing::Bool()));

// Guards against taking answers on connections that live on for a proof that new ones open.
TEST(Reachability, a_host_whose_open_connections_live_on_while_new_ones_are_refused_is_cut_off)
{
    World world(18, 4);
    std::size_t next = 0;
    world.onTick = [&] {
        world.runningSends = 3;
        world.answerAll(llm);
        world.connect(world.upstreams[next++ % world.upstreams.size()].id); // requests that find no idle connection
    };
    world.run(Milliseconds(2'000));
    EXPECT_FALSE(world.everCutOff);
    world.network = Network::Resetting;
    EXPECT_LE(world.timeUntil(true).count(), 2'000);
    world.run(Milliseconds(5'000));
    EXPECT_TRUE(world.host.isCutOff());
}

TEST(Reachability, the_outage_of_a_service_or_of_most_upstreams_is_no_cut_and_costs_few_connections)
{
    World world(18, 4);
    std::size_t next = 0;
    world.onTick = [&] {
        world.runningSends = 3;
        world.answerAll(shop);
        world.connect(world.upstreams[next++ % 18].id); // requests to the service that is out
        --world.connects;
    };
    world.run(Milliseconds(1'000));
    for (int i = 0; i < 18; ++i) {
        world.down.insert(world.upstreams[static_cast<std::size_t>(i)].id);
    }
    world.opened = 0;
    world.run(Milliseconds(20'000));
    EXPECT_FALSE(world.everCutOff);
    EXPECT_LE(world.opened, 20) << "one connection for each suspicion, one suspicion a second";
}

// Guards against taking the outage of the only service with traffic for a cut.
TEST(Reachability, the_outage_of_a_service_is_no_cut_though_nothing_was_heard_of_the_others_for_long)
{
    World world(18, 4);
    world.onTick = [&] {
        world.runningSends = 3;
        world.answerAll(llm);
    };
    world.run(Milliseconds(30'000));
    for (int i = 0; i < 18; ++i) {
        world.down.insert(world.upstreams[static_cast<std::size_t>(i)].id);
    }
    std::size_t next = 0;
    world.onTick = [&] {
        for (int i = 0; i < 5; ++i) {
            world.connect(world.upstreams[next++ % 18].id);
        }
    };
    world.run(Milliseconds(20'000));
    EXPECT_FALSE(world.everCutOff);
}

TEST(Reachability, the_crash_of_several_upstreams_at_once_is_no_cut)
{
    World world(9);
    world.onTick = [&] {
        world.runningSends = 3;
        world.answerAll(llm);
        for (int i = 0; i < 4; ++i) {
            world.connect(world.upstreams[static_cast<std::size_t>(i)].id);
        }
    };
    world.run(Milliseconds(1'000));
    for (int i = 0; i < 4; ++i) {
        world.down.insert(world.upstreams[static_cast<std::size_t>(i)].id);
    }
    world.run(Milliseconds(10'000));
    EXPECT_FALSE(world.everCutOff);
}

TEST(Reachability, one_upstream_that_is_down_when_an_idle_host_tries_it_is_no_cut)
{
    World world(9, 2);
    world.run(Milliseconds(10'000));
    for (const auto &each : world.upstreams) {
        world.host.onAnswer(each.id, world.now); // it is tried first
        world.down = {each.id};
        world.run(Milliseconds(4'000));
        EXPECT_FALSE(world.everCutOff) << each.id.value();
    }
}

TEST(Reachability, silence_of_a_second_at_a_sound_upstream_is_no_cut)
{
    for (const int count : {1, 2, 9}) {
        World world(count);
        world.runningSends = 1;
        world.onTick = [&] {
            if (world.now.sinceOrigin() % 4'000 < 3'000) { // the kernel of a silent upstream still opens connections
                world.answerAll(llm);
            }
        };
        world.run(Milliseconds(20'000));
        EXPECT_FALSE(world.everCutOff) << count;
        EXPECT_LE(world.opened, 2 * 5) << count;
    }
}

TEST(Reachability, a_host_that_stood_still_takes_no_timeout_for_a_cut)
{
    World world(9, 2);
    world.run(Milliseconds(1'000));
    world.now = world.now + Milliseconds(1'500);
    for (const auto &each : world.upstreams) {
        world.host.onNoContact(each.id, world.now);
    }
    world.tick();
    world.run(Milliseconds(1'000));
    EXPECT_FALSE(world.everCutOff);
}

TEST(Reachability, a_sound_host_without_traffic_opens_one_connection_in_an_idle_interval)
{
    World world(18, 4);
    world.run(Milliseconds(60'000));
    EXPECT_LE(world.connects, 60'000 / Reachability::Options().idleInterval.count());
    world.connects = 0;
    world.onTick = [&] { world.answerAll(shop); };
    world.run(Milliseconds(60'000));
    EXPECT_EQ(world.connects, 0) << "answers of any upstream are sign enough";
}

TEST(Reachability, probes_of_a_host_that_is_cut_off_are_bounded)
{
    World world(18, 4);
    world.network = Network::Hanging;
    world.run(contact);
    world.connects = 0;
    world.run(Milliseconds(20'000));
    EXPECT_LE(world.connects, 20'000 / Reachability::Options().retryInterval.count());
    world.network = Network::Sound;
    world.opened = 0;
    world.timeUntil(false);
    EXPECT_LE(world.opened, 3);
}

TEST(Reachability, fifty_cuts_in_series_are_each_noticed_and_ended)
{
    World world(18, 4);
    for (int cut = 0; cut < 50; ++cut) {
        world.network = cut % 2 == 0 ? Network::Hanging : Network::Resetting;
        EXPECT_LE(world.timeUntil(true).count(), contact.count()) << cut;
        world.run(Milliseconds(2'000));
        world.network = Network::Sound;
        EXPECT_LE(world.timeUntil(false).count(), contact.count()) << cut;
        world.run(Milliseconds(2'000));
    }
}

// Guards against requests that go back and forth between direct sends and relays with a link that flaps.
TEST(Reachability, a_link_that_flaps_each_second_stays_cut_off)
{
    World world(18, 4);
    world.runningSends = 3;
    int changes = 0;
    bool before = false;
    world.onTick = [&] {
        world.network = world.now.sinceOrigin() / 1'000 % 2 == 0 ? Network::Sound : Network::Resetting;
        changes += world.host.isCutOff() != before ? 1 : 0;
        before = world.host.isCutOff();
    };
    world.run(Milliseconds(10'000));
    changes = 0;
    world.run(Milliseconds(50'000));
    EXPECT_LE(changes, 6) << "of 50 changes of the link";
    world.onTick = nullptr;
    world.network = Network::Sound;
    EXPECT_LE(world.timeUntil(false).count(), contact.count());
}

TEST(Reachability, upstreams_that_leave_or_come_are_no_cut)
{
    World world(1);
    world.host.setUpstreams({}, world.now);
    world.run(Milliseconds(30'000));
    EXPECT_EQ(world.connects, 0);
    world.host.setUpstreams(world.upstreams, world.now);
    world.run(Milliseconds(5'000));
    EXPECT_FALSE(world.everCutOff);
    world.network = Network::Resetting;
    EXPECT_LE(world.timeUntil(true).count(), contact.count());
    world.host.setUpstreams({}, world.now);
    EXPECT_FALSE(world.host.isCutOff()) << "without upstreams there is nothing to relay to";
}

TEST(Reachability, a_suspicion_ends_though_the_upstream_that_it_still_tries_leaves)
{
    World world(2, 1);
    world.network = Network::Hanging;
    while (world.host.state() != Reachability::State::Suspecting || world.host.failing() < 2) {
        world.tick();
        ASSERT_LT(world.now, Instant(20'000));
    }
    auto left = world.upstreams;
    std::erase_if(left, [&](const auto &each) { return world.pending.empty() || each.id == world.pending.begin()->second; });
    world.host.setUpstreams(left, world.now);
    EXPECT_TRUE(world.host.isCutOff());
}

TEST(Reachability, what_a_peer_says_of_itself_lasts_for_its_lifetime)
{
    Reachability host;
    const HostId peer("h-2");
    EXPECT_TRUE(host.reaches(peer, Instant(0)));
    host.onPeer(peer, false, Instant(100));
    EXPECT_FALSE(host.reaches(peer, Instant(100) + Reachability::Options().noticeInterval * 2));
    EXPECT_EQ(host.cutOffPeers(Instant(200)), std::vector<HostId>{peer});
    EXPECT_TRUE(host.reaches(peer, Instant(100) + Reachability::Options().noticeLifetime));
    host.onPeer(peer, false, Instant(9'000));
    host.onPeer(peer, true, Instant(9'100));
    EXPECT_TRUE(host.reaches(peer, Instant(9'100)));
}

TEST(Reachability, peers_are_told_of_each_change_and_at_intervals_while_it_lasts)
{
    World world(3);
    std::vector<bool> told;
    world.onTick = [&] {
        if (const auto notice = world.host.takeNotice(world.now)) {
            told.push_back(*notice);
        }
    };
    world.run(Milliseconds(10'000));
    EXPECT_TRUE(told.empty());
    world.network = Network::Hanging;
    world.timeUntil(true);
    world.run(Reachability::Options().noticeInterval * 3 + tickInterval);
    EXPECT_EQ(told, std::vector<bool>(4, false));
    world.network = Network::Sound;
    world.timeUntil(false);
    world.run(Milliseconds(10'000));
    EXPECT_EQ(told.size(), 5u);
    EXPECT_TRUE(told.back());
}

} // namespace
} // namespace baobabstall::serving
