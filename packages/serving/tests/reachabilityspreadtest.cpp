// Many hosts and their notices on virtual time: who is taken for cut off, when, and what it costs.
#include <serving/reachability.h>

#include <memory>
#include <random>
#include <set>

#include <numeric>

#include <gtest/gtest.h>

#include "virtualtime.h"

namespace baobabstall::serving {
namespace {

using tests::VirtualTime;

constexpr Milliseconds tickInterval{100};
constexpr Milliseconds contact{3'000};
constexpr Milliseconds connectTimeout{300};

enum class Cut : std::uint8_t { None, Hanging, Resetting, OnlyNew }; // OnlyNew: open connections live on

struct Host {
    HostId id;
    Reachability reachability;
    Cut cut = Cut::None;
    int requestsPerTick = 0;
    int connects = 0;
    int noticesReceived = 0;
    std::optional<Instant> cutOffAt; // first tick that saw it since the last change of the network
    std::optional<Instant> reachesAt;
    bool isWronglyCutOff = false;
};

class World
{
public:
    World(int hosts, int upstreamCount, std::uint64_t seed)
        : random(seed)
    {
        for (int i = 0; i < upstreamCount; ++i) {
            upstreams.push_back({UpstreamId("i-" + std::to_string(i)), ServiceName(i % 5 == 0 ? "shop" : "llm")});
        }
        for (int i = 0; i < hosts; ++i) {
            auto host = std::make_unique<Host>();
            host->id = HostId("h-" + std::to_string(i));
            host->requestsPerTick = i % 4; // a quarter has no traffic
            host->reachability.setUpstreams(upstreams, time.now());
            all.push_back(std::move(host));
            time.at(Instant(below(100)), [this, &host = *all.back()] { tick(host); });
        }
    }

    std::int64_t below(std::int64_t limit) { return static_cast<std::int64_t>(random() % static_cast<std::uint64_t>(limit)); }

    void connect(Host &host, const UpstreamId &id)
    {
        ++host.connects;
        const auto delay = Milliseconds(1 + below(40));
        const bool isDown = down.contains(id);
        if (host.cut == Cut::Hanging) {
            time.at(time.now() + connectTimeout, [this, &host, id] { host.reachability.onNoContact(id, time.now()); });
        } else if (host.cut != Cut::None || isDown) {
            time.at(time.now() + delay, [this, &host, id] { host.reachability.onNoContact(id, time.now()); });
        } else {
            time.at(time.now() + delay + Milliseconds(50), [this, &host, id] { host.reachability.onConnected(id, time.now()); });
        }
    }

    void tick(Host &host)
    {
        const auto now = time.now();
        auto &reachability = host.reachability;
        for (int i = 0; i < host.requestsPerTick; ++i) {
            const auto &id = upstreams[static_cast<std::size_t>(below(static_cast<std::int64_t>(upstreams.size())))].id;
            const bool isOpen = below(3) > 0; // an idle connection is there
            const bool isAnswered = host.cut == Cut::None || host.cut == Cut::OnlyNew;
            if (reachability.isCutOff()) {
                continue; // relayed
            }
            if (!isOpen) {
                connect(host, id);
                --host.connects; // its request's
            } else if (isAnswered && !down.contains(id)) {
                time.at(now + Milliseconds(10 + below(400)), [this, &host, id] { host.reachability.onAnswer(id, time.now()); });
            }
        }
        for (const auto &id : reachability.takeProbes(host.requestsPerTick, now)) {
            connect(host, id);
        }
        if (const auto notice = reachability.takeNotice(now)) {
            for (auto &other : all) {
                if (other.get() != &host) {
                    time.at(now + Milliseconds(1 + below(80)), [this, &host, &other = *other, reaches = *notice] {
                        ++other.noticesReceived;
                        other.reachability.onPeer(host.id, reaches, time.now());
                    });
                }
            }
        }
        if (reachability.isCutOff() && host.cut == Cut::None && !isEnding) {
            host.isWronglyCutOff = true;
        }
        auto &seen = reachability.isCutOff() ? host.cutOffAt : host.reachesAt;
        seen = seen.value_or(now);
        time.at(now + tickInterval + Milliseconds(below(20)), [this, &host] { tick(host); });
    }

    void run(Milliseconds length) { time.runUntil(time.now() + length); }

    void set(const std::vector<std::size_t> &hosts, Cut cut)
    {
        changedAt = time.now();
        isEnding = cut == Cut::None;
        for (const auto at : hosts) {
            all[at]->cut = cut;
            all[at]->cutOffAt.reset();
            all[at]->reachesAt.reset();
        }
    }

    [[nodiscard]] std::size_t wronglyCutOff() const
    {
        return static_cast<std::size_t>(std::count_if(all.begin(), all.end(), [](const auto &host) { return host->isWronglyCutOff; }));
    }

    std::mt19937_64 random;
    VirtualTime time;
    std::vector<Reachability::Upstream> upstreams;
    std::set<UpstreamId> down;
    std::vector<std::unique_ptr<Host>> all;
    Instant changedAt;
    bool isEnding = false;
};

struct Size {
    int hosts;
    int cut;
    int upstreams;
};

class ReachabilitySpread : public testing::TestWithParam<Size>
{ };

// Guards against hosts that notice a cut too late, or take themselves or others for cut off that aren't (RECOVER, issue 32).
TEST_P(ReachabilitySpread, every_cut_and_its_end_are_noticed_and_no_host_outside_is_taken_for_cut_off)
{
    const auto size = GetParam();
    for (const auto cut : {Cut::Hanging, Cut::Resetting, Cut::OnlyNew}) {
        for (std::uint64_t seed = 1; seed <= (size.hosts > 50 ? 2U : 5U); ++seed) {
            World world(size.hosts, size.upstreams, seed);
            world.run(Milliseconds(8'000));
            std::vector<std::size_t> hosts(static_cast<std::size_t>(size.cut));
            std::iota(hosts.begin(), hosts.end(), std::size_t(0));
            world.set(hosts, cut);
            world.run(contact);
            for (const auto at : hosts) {
                const auto &host = *world.all[at];
                ASSERT_TRUE(host.reachability.isCutOff()) << host.id.value() << " with " << host.requestsPerTick << " requests, seed " << seed;
                EXPECT_LT(*host.cutOffAt - world.changedAt, contact);
            }
            for (auto &host : world.all) {
                host->noticesReceived = host->connects = 0;
            }
            constexpr Milliseconds lasting{9'000};
            world.run(lasting);
            for (std::size_t at = 0; at < world.all.size(); ++at) {
                const auto &host = *world.all[at];
                EXPECT_EQ(host.reachability.isCutOff(), host.cut != Cut::None) << host.id.value();
                const auto known = host.reachability.cutOffPeers(world.time.now()).size();
                EXPECT_EQ(known, hosts.size() - (host.cut != Cut::None ? 1 : 0)) << host.id.value();
                const double perSecond = 1'000.0 / static_cast<double>(lasting.count());
                EXPECT_LE(host.noticesReceived * perSecond, static_cast<double>(size.cut)) << "notices a second";
                EXPECT_LE(host.connects * perSecond, 5) << "probes a second";
            }
            EXPECT_EQ(world.wronglyCutOff(), 0U);
            world.set(hosts, Cut::None);
            world.run(Milliseconds(1'500));
            for (const auto &host : world.all) {
                EXPECT_FALSE(host->reachability.isCutOff()) << host->id.value();
                EXPECT_TRUE(host->reachability.cutOffPeers(world.time.now()).empty());
            }
        }
    }
}

INSTANTIATE_TEST_SUITE_P(Sizes,
                         ReachabilitySpread,
                         testing::Values(Size{8, 1, 22}, Size{8, 4, 22}, Size{8, 7, 22}, Size{87, 29, 120}, Size{195, 65, 300}),
                         [](const auto &info) { return std::to_string(info.param.cut) + "_of_" + std::to_string(info.param.hosts); });

TEST(ReachabilitySpread, an_outage_of_all_upstreams_leaves_no_host_that_reaches_any)
{
    World world(8, 22, 1);
    world.run(Milliseconds(5'000));
    for (const auto &each : world.upstreams) {
        world.down.insert(each.id);
    }
    world.run(contact + Milliseconds(200));
    for (const auto &host : world.all) {
        EXPECT_EQ(host->reachability.cutOffPeers(world.time.now()).size(), 7U) << "nobody is worth asking to relay";
    }
    world.down.clear();
    world.run(Milliseconds(1'500));
    for (const auto &host : world.all) {
        EXPECT_FALSE(host->reachability.isCutOff());
        EXPECT_TRUE(host->reachability.cutOffPeers(world.time.now()).empty());
    }
}

TEST(ReachabilitySpread, half_of_the_hosts_flapping_each_second_changes_the_others_in_nothing)
{
    World world(8, 22, 1);
    world.run(Milliseconds(5'000));
    const std::vector<std::size_t> half = {0, 1, 2, 3};
    for (int second = 0; second < 30; ++second) {
        world.set(half, second % 2 == 0 ? Cut::Resetting : Cut::None);
        world.run(Milliseconds(1'000));
    }
    for (std::size_t at = 4; at < 8; ++at) {
        EXPECT_FALSE(world.all[at]->isWronglyCutOff);
    }
    world.set(half, Cut::None);
    world.run(contact);
    for (const auto &host : world.all) {
        EXPECT_FALSE(host->reachability.isCutOff()) << host->id.value();
    }
}

} // namespace
} // namespace baobabstall::serving
