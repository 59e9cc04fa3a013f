#include <queue>
#include <random>
#include <set>

#include <gtest/gtest.h>

#include <serving/tries.h>

namespace baobabstall::serving::tests {
namespace {

std::vector<UpstreamId> ids(const std::vector<std::string> &names)
{
    return {names.begin(), names.end()};
}

TEST(TriesTest, a_send_counts_once_for_each_upstream)
{
    Tries tries(2);
    EXPECT_EQ(tries.left(), 2);
    tries.add(UpstreamId("a"));
    tries.add(UpstreamId("a"));
    EXPECT_EQ(tries.left(), 1);
    tries.add(UpstreamId("b"));
    EXPECT_EQ(tries.left(), 0);
    EXPECT_EQ(tries.reserve(), 0) << "nobody is asked once no try is left";
}

TEST(TriesTest, what_a_peer_does_not_account_for_is_used)
{
    Tries tries(3);
    EXPECT_EQ(tries.reserve(), Tries::triesPerCall);
    EXPECT_EQ(tries.left(), 2);
    tries.releaseUnknown();
    EXPECT_EQ(tries.used(), 1);
    EXPECT_EQ(tries.reserve(), 1);
    tries.release(ids({"a"}));
    EXPECT_EQ(tries.used(), 2);
    EXPECT_EQ(tries.reserve(), 1);
    tries.release({});
    EXPECT_EQ(tries.left(), 1) << "a peer that sent nothing gives its try back";
    EXPECT_EQ(tries.reserve(), 1);
    tries.releaseUnused();
    tries.releaseUnknown();
    EXPECT_EQ(tries.left(), 1) << "nothing is set aside any more";
}

TEST(TriesTest, a_peer_that_used_more_than_it_was_given_leaves_nothing)
{
    Tries tries(2);
    tries.reserve();
    tries.release(ids({"a", "b", "c"}));
    EXPECT_EQ(tries.left(), 0);
}

TEST(TriesTest, a_peer_never_sends_to_more_upstreams_than_it_was_given)
{
    Tries peer(ids({"a"}), 1, 3);
    EXPECT_EQ(peer.left(), 1);
    peer.add(UpstreamId("a"));
    EXPECT_EQ(peer.left(), 1);
    peer.add(UpstreamId("b"));
    EXPECT_EQ(peer.left(), 0);
    EXPECT_EQ(peer.own(), ids({"b"}));
    EXPECT_EQ(Tries(ids({"a"}), 5, 2).left(), 1) << "its own route allows two";
    EXPECT_EQ(Tries(ids({"a", "b"}), 1, 1).left(), 0) << "its own route allows fewer than were used";
    EXPECT_EQ(Tries({}, -3, 2).left(), 0);
}

// Guards against a peer of an older build, which counts the ids of a call against its own route, taking more than one try (issue 35).
TEST(TriesTest, ids_for_a_peer_leave_an_older_build_one_try)
{
    Tries tries(3);
    tries.add(UpstreamId("a"));
    tries.reserve();
    EXPECT_EQ(tries.sentToForPeer(), ids({"a", ""}));
    tries.releaseUnknown();
    tries.reserve();
    EXPECT_EQ(tries.sentToForPeer(), ids({"a", ""}));
    Tries single(1);
    single.reserve();
    EXPECT_TRUE(single.sentToForPeer().empty());
}

/// One client attempt over many hosts, on virtual time: a first host, peers that answer, are slow, silent, lost or of an older build.
class AttemptModel
{
public:
    AttemptModel(std::uint64_t seed, int hosts, int allowed)
        : random_(seed)
        , hosts_(hosts)
        , allowed_(allowed)
        , tries_(allowed)
    { }

    /// Returns how many upstreams the attempt reached.
    std::size_t run()
    {
        for (int step = 0; step < 12 && tries_.left() > 0; ++step) {
            if (chance(0.3)) {
                sendFromFirst();
            } else {
                callPeer();
            }
        }
        while (!late_.empty()) { // what was under way when the first host gave it up
            auto act = std::move(late_.front());
            late_.pop();
            act();
        }
        return reached_.size();
    }

private:
    bool chance(double share) { return std::uniform_real_distribution<>(0, 1)(random_) < share; }
    UpstreamId anyUpstream() { return UpstreamId("u" + std::to_string(std::uniform_int_distribution<>(1, hosts_ * 2)(random_))); }

    void sendFromFirst()
    {
        const auto upstream = anyUpstream();
        tries_.add(upstream);
        reached_.insert(upstream);
    }

    void callPeer()
    {
        const int lent = tries_.reserve();
        const auto sentTo = tries_.sentToForPeer();
        const bool isOld = chance(0.3);
        // An older build takes what its route leaves and gives no account.
        Tries peer = isOld ? Tries(sentTo, allowed_, allowed_) : Tries(sentTo, lent, allowed_ + (chance(0.2) ? 1 : 0));
        auto act = [this, peer]() mutable {
            while (peer.left() > 0 && chance(0.8)) {
                const auto upstream = anyUpstream();
                peer.add(upstream);
                reached_.insert(upstream);
            }
            return peer.own();
        };
        const double end = std::uniform_real_distribution<>(0, 1)(random_);
        if (end < 0.2) { // refused, or never written
            tries_.releaseUnused();
        } else if (end < 0.5) { // lost or silent; it reads the call later
            tries_.releaseUnknown();
            late_.emplace([act]() mutable { act(); });
        } else if (isOld) {
            act();
            tries_.releaseUnknown();
        } else {
            tries_.release(act());
        }
    }

    std::mt19937_64 random_;
    int hosts_;
    int allowed_;
    Tries tries_;
    std::set<UpstreamId> reached_;
    std::queue<std::function<void()>> late_;
};

// Guards against attempts that run on more upstreams than their route allows, whatever is lost on the way (issue 35, BUDGET).
TEST(TriesTest, an_attempt_reaches_no_more_upstreams_than_its_route_allows_in_any_order_of_events)
{
    constexpr std::uint64_t seeds = 4'000;
    for (const int hosts : {8, 87, 195}) {
        for (const int allowed : {1, 2, 3}) {
            for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
                ASSERT_LE(AttemptModel(seed, hosts, allowed).run(), static_cast<std::size_t>(allowed)) << "seed " << seed << ", " << hosts << " hosts";
            }
        }
    }
}

} // namespace
} // namespace baobabstall::serving::tests
