#include <serving/paces.h>

#include <cmath>
#include <limits>
#include <random>

#include <gtest/gtest.h>

#include <peers/messages.h>
#include <serving/paceexchange.h>

namespace baobabstall::serving {
namespace {

const ServiceName service("models");

UpstreamId replicaId(int index)
{
    return UpstreamId("models-" + std::to_string(index));
}

std::vector<Paces::Replica> replicaList(int count)
{
    std::vector<Paces::Replica> list;
    list.reserve(count);
    for (int i = 0; i < count; ++i) {
        list.push_back({replicaId(i), service});
    }
    return list;
}

/// What a replica of this pace answers: prompts at 38 tokens per ms, ten events 37 ms apart, each measured with noise.
class Answers
{
public:
    explicit Answers(unsigned seed)
        : random_(seed)
    { }

    Paces::Answer answer(int replica, double pace, double promptTokens = 600, double fill = 0.4)
    {
        Paces::Answer answer{.upstream = replicaId(replica), .service = service, .promptTokens = promptTokens, .fill = fill, .events = 10};
        const double slowdown = (1 + 0.3 * fill) / pace;
        answer.untilFirst = Milliseconds(std::llround((40 + promptTokens / 38) * slowdown * noise(0.3)));
        const double pause = 37 * slowdown * noise(0.1);
        answer.rest = Milliseconds(std::llround(pause * 9));
        answer.longestPause = Milliseconds(std::llround(pause));
        return answer;
    }

    static Paces::Answer stalled(Paces::Answer answer, bool isBeforeFirst)
    {
        const Milliseconds stall{600};
        (isBeforeFirst ? answer.untilFirst : answer.rest) = (isBeforeFirst ? answer.untilFirst : answer.rest) + stall;
        answer.longestPause = answer.longestPause + (isBeforeFirst ? Milliseconds(0) : stall);
        return answer;
    }

private:
    double noise(double spread) { return std::exp(std::normal_distribution<double>(0, spread)(random_)); }

    std::mt19937_64 random_;
};

class PacesTest : public ::testing::Test
{
protected:
    PacesTest() { paces_.refresh(replicas_, now_); }

    /// Every replica answers once each 100 ms.
    template<typename PaceOf>
    std::vector<Paces::Change> run(int seconds, PaceOf &&paceOf)
    {
        std::vector<Paces::Change> changes;
        for (int step = 0; step < seconds * 10; ++step, now_ = now_ + Milliseconds(100)) {
            for (int i = 0; i < count; ++i) {
                paces_.add(answers_.answer(i, paceOf(i)), now_);
            }
            if (step % 10 == 9) {
                const auto found = paces_.refresh(replicas_, now_);
                changes.insert(changes.end(), found.begin(), found.end());
            }
        }
        return changes;
    }

    static constexpr int count = 12;
    std::vector<Paces::Replica> replicas_ = replicaList(count);
    Paces paces_;
    Answers answers_{1};
    Instant now_{100'000};
};

// Load: a quarter of the replicas at 0.45 of the others' pace, as a site's replicas were.
TEST_F(PacesTest, a_quarter_of_the_replicas_at_0_45_of_the_pace_is_slow_and_the_others_are_not)
{
    const auto changes = run(10, [](int i) { return i < 3 ? 0.45 : 1; });
    EXPECT_EQ(changes.size(), 3U);
    for (int i = 0; i < count; ++i) {
        EXPECT_NEAR(paces_.estimate(replicaId(i)), i < 3 ? 0.45 : 1, i < 3 ? 0.08 : 0.12) << i;
        EXPECT_NEAR(paces_.pace(replicaId(i)), i < 3 ? 0.42 : 1, 0.001) << i;
    }
}

TEST_F(PacesTest, paces_that_are_alike_within_noise_change_nothing)
{
    const auto changes = run(300, [](int i) { return 0.88 + 0.02 * i; });
    EXPECT_TRUE(changes.empty());
    for (int i = 0; i < count; ++i) {
        EXPECT_EQ(paces_.pace(replicaId(i)), 1) << i;
    }
}

// Failure: a replica stands still for 600 ms every 5 s. All its answers of that moment are late, by the first event or by one pause.
TEST_F(PacesTest, a_stall_of_600_ms_now_and_then_changes_the_pace_little)
{
    for (int step = 0; step < 600; ++step, now_ = now_ + Milliseconds(100)) {
        for (int i = 0; i < count; ++i) {
            const bool isStalled = i == 0 && step % 50 < 6;
            const auto answer = answers_.answer(i, 1);
            paces_.add(isStalled ? Answers::stalled(answer, step % 2 == 0) : answer, now_);
        }
        if (step % 10 == 9) {
            EXPECT_TRUE(paces_.refresh(replicas_, now_).empty());
            EXPECT_GT(paces_.estimate(replicaId(0)), 0.85);
        }
    }
}

TEST_F(PacesTest, one_late_answer_says_little)
{
    run(5, [](int) { return 1; });
    auto late = answers_.answer(0, 1);
    late.untilFirst = Milliseconds(4'000);
    paces_.add(late, now_);
    paces_.refresh(replicas_, now_);
    EXPECT_GT(paces_.estimate(replicaId(0)), 0.85);
}

TEST_F(PacesTest, a_replica_that_gets_faster_is_as_the_others_again_and_one_that_gets_slow_is_found)
{
    run(20, [](int i) { return i == 0 ? 0.45 : 1; });
    ASSERT_LT(paces_.pace(replicaId(0)), 1);
    const auto changes = run(20, [](int i) { return i == 1 ? 0.45 : 1; });
    EXPECT_EQ(changes.size(), 2U);
    EXPECT_EQ(paces_.pace(replicaId(0)), 1);
    EXPECT_LT(paces_.pace(replicaId(1)), 1);
}

// Load: one replica is the home of an adapter whose prompts are twenty times as long; another has a full batch.
TEST_F(PacesTest, long_prompts_and_a_full_batch_are_not_taken_for_a_slow_replica)
{
    for (int step = 0; step < 300; ++step, now_ = now_ + Milliseconds(100)) {
        for (int i = 0; i < count; ++i) {
            paces_.add(answers_.answer(i, 1, i == 0 || step % 10 == 0 ? 9'000 : 450, i == 1 ? 0.95 : 0.1 + 0.03 * (step % 10)), now_);
        }
    }
    EXPECT_TRUE(paces_.refresh(replicas_, now_).empty());
    EXPECT_GT(paces_.estimate(replicaId(0)), 0.8);
    EXPECT_GT(paces_.estimate(replicaId(1)), 0.8);
}

// Slow replicas have more requests running than the others: the reference must not take that for the reason.
TEST_F(PacesTest, slow_replicas_that_are_fuller_are_found_slow)
{
    for (int step = 0; step < 100; ++step, now_ = now_ + Milliseconds(100)) {
        for (int i = 0; i < count; ++i) {
            paces_.add(answers_.answer(i, i < 3 ? 0.45 : 1, 600, i < 3 ? 0.7 : 0.3), now_);
        }
    }
    EXPECT_EQ(paces_.refresh(replicas_, now_).size(), 3U);
}

// Load: a slow replica whose pace wanders. Each step that decisions see moves homes of adapters.
TEST_F(PacesTest, the_pace_that_decisions_use_holds_while_the_estimate_wanders)
{
    run(20, [](int i) { return i == 0 ? 0.43 : 1; });
    const double held = paces_.pace(replicaId(0));
    int moves = 0;
    for (int i = 0; i < 60; ++i) {
        const double wandering = 0.43 + 0.05 * std::sin(0.7 * i);
        run(5, [wandering](int replica) { return replica == 0 ? wandering : 1; });
        moves += paces_.pace(replicaId(0)) != held ? 1 : 0;
    }
    EXPECT_EQ(moves, 0);
}

TEST_F(PacesTest, a_new_replica_and_one_that_restarted_begin_as_the_others)
{
    run(10, [](int i) { return i == 0 ? 0.45 : 1; });
    ASSERT_LT(paces_.pace(replicaId(0)), 1);
    paces_.forget(replicaId(0));
    EXPECT_EQ(paces_.pace(replicaId(0)), 1);
    auto more = replicas_;
    more.push_back({replicaId(count), service});
    paces_.refresh(more, now_);
    EXPECT_EQ(paces_.pace(replicaId(0)), 1);
    EXPECT_EQ(paces_.estimate(replicaId(count)), 1);
}

TEST_F(PacesTest, what_is_known_ages)
{
    run(20, [](int i) { return i == 0 ? 0.45 : 1; });
    ASSERT_LT(paces_.pace(replicaId(0)), 1);
    now_ = now_ + Milliseconds(240'000);
    EXPECT_EQ(paces_.refresh(replicas_, now_).size(), 1U);
    EXPECT_EQ(paces_.pace(replicaId(0)), 1);
}

TEST_F(PacesTest, the_expected_time_until_the_first_event_is_that_of_the_service)
{
    EXPECT_EQ(paces_.expectedFirst(service, 600).count(), 0);
    for (int i = 0; i < 200; ++i) {
        paces_.add(answers_.answer(i % count, 1, i % 2 == 0 ? 300 : 9'000), now_);
    }
    EXPECT_NEAR(static_cast<double>(paces_.expectedFirst(service, 300).count()), 55, 20);
    EXPECT_NEAR(static_cast<double>(paces_.expectedFirst(service, 9'000).count()), 320, 110);
}

// ---- Reports between hosts ----

/// Hosts in groups of equal size, each group led by its first host, exchanging what due() returns each second.
class PaceHosts
{
public:
    PaceHosts(int groups, int groupSize, int replicas)
        : groupSize_(groupSize)
        , hosts_(groups * groupSize)
        , replicas_(replicaList(replicas))
    {
        for (std::size_t i = 0; i < hosts_.size(); ++i) {
            hosts_[i].refresh(replicas_, now_);
            hosts_[i].setLeading(i % groupSize_ == 0);
        }
    }

    static HostId name(int host) { return HostId("host-" + std::to_string(host)); }
    [[nodiscard]] int leaderOf(int host) const { return host / groupSize_ * groupSize_; }
    [[nodiscard]] int count() const { return static_cast<int>(hosts_.size()); }

    void exchange()
    {
        for (int i = 0; i < count(); ++i) {
            if (leaderOf(i) != i) {
                send(i, LoadScope::Host, {leaderOf(i)});
                continue;
            }
            std::vector<int> leaders;
            std::vector<int> members;
            for (int j = 0; j < count(); ++j) {
                if (j != i && leaderOf(j) == j) {
                    leaders.push_back(j);
                } else if (j != i && leaderOf(j) == i) {
                    members.push_back(j);
                }
            }
            send(i, LoadScope::Group, leaders);
            send(i, LoadScope::All, members);
        }
        for (auto &host : hosts_) {
            host.refresh(replicas_, now_);
        }
    }

    Paces &host(int index) { return hosts_[index]; }
    void pass(Milliseconds time) { now_ = now_ + time; }
    [[nodiscard]] Instant now() const { return now_; }
    [[nodiscard]] std::size_t bytes() const { return bytes_; }

private:
    void send(int from, LoadScope scope, const std::vector<int> &to)
    {
        std::vector<HostId> receivers;
        receivers.reserve(to.size());
        for (const int each : to) {
            receivers.push_back(name(each));
        }
        if (receivers.empty()) {
            return;
        }
        peers::LoadsNotice notice{static_cast<int>(scope), {}};
        const auto bare = peers::encode(peers::Notice{notice}).size();
        notice.paces = PaceExchange::encoded(hosts_[from].due(scope, receivers, now_));
        const bool isSaid = scope == LoadScope::All || !notice.paces->empty();
        const auto size = isSaid ? peers::encode(peers::Notice{notice}).size() - bare : 0;
        for (const int each : to) {
            bytes_ += size;
            if (isSaid) {
                hosts_[each].onReport(name(from), scope, PaceExchange::decoded(*notice.paces), now_);
            }
        }
    }

    int groupSize_;
    std::vector<Paces> hosts_;
    std::vector<Paces::Replica> replicas_;
    Instant now_{100'000};
    std::size_t bytes_ = 0; // sent, by all hosts
};

TEST(PaceReports, a_pace_learnt_at_one_host_reaches_the_hosts_of_all_groups)
{
    PaceHosts hosts(3, 4, 12);
    Answers answers(1);
    for (int second = 0; second < 10; ++second, hosts.pass(Milliseconds(1'000))) {
        for (int i = 0; i < 60; ++i) {
            hosts.host(5).add(answers.answer(i % 12, i % 12 == 0 ? 0.45 : 1), hosts.now());
        }
        hosts.exchange();
    }
    for (int i = 0; i < hosts.count(); ++i) {
        EXPECT_LT(hosts.host(i).pace(replicaId(0)), 1) << i;
        EXPECT_EQ(hosts.host(i).pace(replicaId(1)), 1) << i;
    }
}

// Load: 71 hosts that send 870 requests a second to 89 replicas, of which 22 are slow. No host alone sees enough of one replica.
TEST(PaceReports, at_71_hosts_and_89_replicas_all_slow_ones_are_found_for_less_than_200_bytes_a_second_and_host)
{
    constexpr int replicas = 89;
    constexpr int slow = 22;
    PaceHosts hosts(3, 24, replicas);
    Answers answers(1);
    std::mt19937_64 random(1);
    constexpr int seconds = 60;
    constexpr int learningSeconds = 20;
    std::size_t bytesBefore = 0;
    for (int second = 0; second < seconds; ++second, hosts.pass(Milliseconds(1'000))) {
        for (int i = 0; i < 870; ++i) {
            const int replica = std::uniform_int_distribution<int>(0, replicas - 1)(random);
            auto &host = hosts.host(std::uniform_int_distribution<int>(0, 70)(random));
            host.add(answers.answer(replica, replica < slow ? 0.45 : 1, 600, std::uniform_real_distribution<double>(0.2, 0.7)(random)), hosts.now());
        }
        hosts.exchange();
        bytesBefore = second + 1 == learningSeconds ? hosts.bytes() : bytesBefore;
    }
    const double perSecond = static_cast<double>(hosts.bytes() - bytesBefore) / (seconds - learningSeconds) / hosts.count();
    RecordProperty("bytes_per_host_second", std::to_string(perSecond));
    EXPECT_LT(perSecond, 200);
    for (int i = 0; i < hosts.count(); ++i) {
        for (int replica = 0; replica < replicas; ++replica) {
            EXPECT_EQ(hosts.host(i).pace(replicaId(replica)) < 1, replica < slow) << i << " " << replica;
        }
    }
}

TEST(PaceReports, a_host_whose_leader_is_of_an_older_build_learns_for_itself)
{
    Paces paces;
    const auto replicas = replicaList(12);
    Answers answers(1);
    Instant now(100'000);
    paces.refresh(replicas, now);
    for (int i = 0; i < 600; ++i, now = now + Milliseconds(16)) {
        paces.add(answers.answer(i % 12, i % 12 == 0 ? 0.45 : 1), now); // nothing was ever reported to it
    }
    EXPECT_EQ(paces.refresh(replicas, now).size(), 1U);
}

TEST(PaceReports, a_leader_that_falls_silent_counts_no_more_after_its_lifetime)
{
    Paces paces;
    const auto replicas = replicaList(12);
    Instant now(100'000);
    paces.refresh(replicas, now);
    paces.onReport(HostId("leader"), LoadScope::All, {{replicaId(0), 50, std::log(0.45)}}, now);
    EXPECT_EQ(paces.refresh(replicas, now).size(), 1U);
    now = now + Paces::leaderLifetime + Milliseconds(1);
    EXPECT_EQ(paces.refresh(replicas, now).size(), 1U);
    EXPECT_EQ(paces.pace(replicaId(0)), 1);
}

TEST(PaceReports, what_cannot_be_is_bounded_and_replicas_that_nobody_knows_are_left_out)
{
    Paces paces;
    const auto replicas = replicaList(3);
    const Instant now(100'000);
    paces.refresh(replicas, now);
    const double none = std::numeric_limits<double>::quiet_NaN();
    const double most = std::numeric_limits<double>::infinity();
    paces.onReport(HostId("a"), LoadScope::All, {{replicaId(0), none, 0}, {replicaId(1), 20, -most}, {replicaId(2), -5, -1}, {replicaId(9), 50, -1}}, now);
    EXPECT_TRUE(paces.refresh(replicas, now).empty());
    paces.onReport(HostId("a"), LoadScope::All, {{replicaId(0), 1e300, -1e300}}, now);
    EXPECT_EQ(paces.refresh(replicas, now).size(), 1U);
    EXPECT_GT(paces.pace(replicaId(0)), 0.25);
    EXPECT_EQ(paces.pace(replicaId(9)), 1);
}

} // namespace
} // namespace baobabstall::serving
