#include <serving/prefillturns.h>

#include <random>

#include <gtest/gtest.h>

namespace baobabstall::serving {
namespace {

constexpr Instant start(10'000);
constexpr double limit = 2'000;

class PrefillTurnsTest : public ::testing::Test
{
protected:
    PrefillTurnsTest() { turns_.setLimit(limit); }

    TurnId request(double tokens, Milliseconds maxWait, Instant now) { return turns_.request(tokens, now + maxWait, now); }

    PrefillTurns turns_;
};

TEST_F(PrefillTurnsTest, prompts_start_at_once_while_they_fit_together)
{
    const auto first = request(900, Milliseconds(400), start);
    const auto second = request(900, Milliseconds(400), start);
    const auto third = request(900, Milliseconds(400), start);
    EXPECT_EQ(turns_.start(start), (std::vector<TurnId>{first, second}));
    EXPECT_FALSE(turns_.isStarted(third));
    turns_.end(first);
    EXPECT_EQ(turns_.start(start + Milliseconds(30)), std::vector<TurnId>{third});
}

TEST_F(PrefillTurnsTest, a_prompt_longer_than_the_limit_runs_alone)
{
    const auto small = request(500, Milliseconds(400), start);
    const auto large = request(5'000, Milliseconds(400), start);
    EXPECT_EQ(turns_.start(start), std::vector<TurnId>{small});
    turns_.end(small);
    EXPECT_EQ(turns_.start(start), std::vector<TurnId>{large});
    request(100, Milliseconds(400), start);
    EXPECT_TRUE(turns_.start(start).empty());
}

TEST_F(PrefillTurnsTest, the_most_urgent_goes_first_and_is_not_overtaken_by_a_smaller_one)
{
    const auto running = request(1'500, Milliseconds(400), start);
    ASSERT_EQ(turns_.start(start), std::vector<TurnId>{running});
    const auto patient = request(300, Milliseconds(400), start);
    const auto urgent = request(1'200, Milliseconds(100), start);
    EXPECT_TRUE(turns_.start(start).empty()) << "the small one would fit";
    turns_.end(running);
    EXPECT_EQ(turns_.start(start), (std::vector<TurnId>{urgent, patient}));
}

TEST_F(PrefillTurnsTest, a_prompt_whose_time_is_up_starts_whatever_runs)
{
    request(2'000, Milliseconds(400), start);
    turns_.start(start);
    const auto waiting = request(2'000, Milliseconds(100), start);
    EXPECT_TRUE(turns_.start(start + Milliseconds(99)).empty());
    EXPECT_EQ(turns_.start(start + Milliseconds(100)), std::vector<TurnId>{waiting});
}

TEST_F(PrefillTurnsTest, a_turn_that_nobody_ends_does_not_block_the_replica)
{
    request(2'000, Milliseconds(0), start);
    turns_.start(start);
    const auto next = request(2'000, Milliseconds(60'000), start);
    EXPECT_TRUE(turns_.start(start + PrefillTurns::maxTurn - Milliseconds(1)).empty());
    EXPECT_EQ(turns_.start(start + PrefillTurns::maxTurn), std::vector<TurnId>{next});
}

TEST_F(PrefillTurnsTest, a_request_that_is_given_up_leaves_the_queue)
{
    request(2'000, Milliseconds(400), start);
    turns_.start(start);
    const auto gone = request(1'000, Milliseconds(400), start);
    turns_.end(gone);
    EXPECT_EQ(turns_.waiting(), 0U);
    EXPECT_EQ(turns_.startedTokens(), 2'000);
}

TEST_F(PrefillTurnsTest, without_a_limit_nobody_waits)
{
    turns_.setLimit(0);
    request(9'000, Milliseconds(400), start);
    request(9'000, Milliseconds(400), start);
    EXPECT_EQ(turns_.start(start).size(), 2U);
}

Claimant claimantOf(int rank, const std::string &workspace = "", bool isLate = false)
{
    return {rank, core::WorkspaceId(workspace), isLate};
}

TEST_F(PrefillTurnsTest, the_lower_rank_goes_first_then_what_can_be_on_time_then_what_has_to_start_first)
{
    turns_.request(2'000, start + Milliseconds(400), start, claimantOf(0));
    ASSERT_EQ(turns_.start(start).size(), 1U);
    const auto second = turns_.request(100, start + Milliseconds(500), start, claimantOf(1));
    const auto late = turns_.request(100, start + Milliseconds(300), start, claimantOf(1, "", true));
    const auto first = turns_.request(100, start + Milliseconds(900), start, claimantOf(0));
    EXPECT_TRUE(turns_.start(start).empty());
    turns_.setLimit(4'000);
    EXPECT_EQ(turns_.start(start), (std::vector{first, second, late}));
    const auto given = turns_.takeGivenWay();
    ASSERT_EQ(given.size(), 2U);
    EXPECT_EQ(given[0].why, GivenWay::Why::Rank);
    EXPECT_EQ(given[0].from.rank, 1);
    EXPECT_TRUE(turns_.takeGivenWay().empty());
}

// Guards against urgent prompts that wait for deferrable ones which are being read.
TEST_F(PrefillTurnsTest, an_urgent_prompt_does_not_wait_for_less_urgent_ones_that_are_processed)
{
    turns_.request(2'000, start + Milliseconds(400), start, claimantOf(2));
    ASSERT_EQ(turns_.start(start).size(), 1U);
    const auto urgent = turns_.request(2'000, start + Milliseconds(400), start, claimantOf(0));
    turns_.request(100, start + Milliseconds(400), start, claimantOf(2));
    turns_.request(100, start + Milliseconds(400), start, claimantOf(0));
    EXPECT_EQ(turns_.start(start), std::vector{urgent});
}

/// As before ranks: by time alone.
class TurnsByTime
{
public:
    void request(TurnId id, double tokens, Instant startBy) { waiting_[{startBy, id}] = tokens; }
    void end(TurnId id)
    {
        started_.erase(id);
        std::erase_if(waiting_, [id](const auto &each) { return each.first.second == id; });
    }
    std::vector<TurnId> start(Instant now)
    {
        std::erase_if(started_, [now](const auto &each) { return each.second.second <= now; });
        std::vector<TurnId> starting;
        while (!waiting_.empty()) {
            const auto [key, tokens] = *waiting_.begin();
            double sum = 0;
            for (const auto &[id, each] : started_) {
                sum += each.first;
            }
            if (!started_.empty() && sum + tokens > limit && key.first > now) {
                break;
            }
            started_[key.second] = {tokens, now + PrefillTurns::maxTurn};
            starting.push_back(key.second);
            waiting_.erase(waiting_.begin());
        }
        return starting;
    }

private:
    std::map<std::pair<Instant, TurnId>, double> waiting_;
    std::map<TurnId, std::pair<double, Instant>> started_; // tokens, until
};

TEST_F(PrefillTurnsTest, without_ranks_and_workspaces_the_order_is_by_time_alone)
{
    std::mt19937 random(11);
    TurnsByTime byTime;
    std::vector<TurnId> all;
    Instant now = start;
    int started = 0;
    for (int i = 0; i < 5'000; ++i) {
        now = now + Milliseconds(random() % 4);
        if (random() % 2 == 0 || all.empty()) {
            const double tokens = 100 + random() % 1'500;
            const Milliseconds wait(random() % 400);
            all.push_back(turns_.request(tokens, now + wait, now));
            byTime.request(all.back(), tokens, now + wait);
        } else {
            const auto place = all.begin() + static_cast<std::ptrdiff_t>(random() % all.size());
            turns_.end(*place);
            byTime.end(*place);
            all.erase(place);
        }
        const auto starting = turns_.start(now);
        ASSERT_EQ(starting, byTime.start(now)) << i;
        started += static_cast<int>(starting.size());
    }
    EXPECT_GT(started, 1'000);
    EXPECT_TRUE(turns_.takeGivenWay().empty());
}

/// One replica that processes prompts between the tokens of its streams, in steps of at most 4,096 prompt tokens. Returns the share of
/// windows of one event (three steps) that last longer than `longestPause`, as running streams see them.
double latePauseShare(PrefillTurns &turns, double promptsPerSecond, double longestPause)
{
    constexpr double stepMs = 8.2;
    constexpr double tokensPerMs = 25.8;
    constexpr double chunk = 4'096;
    std::mt19937 random(3);
    std::exponential_distribution<double> gap(promptsPerSecond / 1'000);
    std::lognormal_distribution<double> size(7.0, 0.7); // median 1,100 tokens
    struct Prompt {
        double tokens = 0;
        int stepsToFirstEvent = 3;
    };
    std::map<TurnId, Prompt> sent;
    std::map<TurnId, double> sizes;
    double now = 0;
    double nextArrival = gap(random);
    std::vector<double> steps;
    while (now < 300'000) {
        for (; nextArrival <= now; nextArrival += gap(random)) {
            const double tokens = std::min(size(random), 4'700.0);
            const auto id = turns.request(tokens, Instant(static_cast<std::int64_t>(nextArrival) + 450), Instant(static_cast<std::int64_t>(now)));
            sizes[id] = tokens;
        }
        for (const auto id : turns.start(Instant(static_cast<std::int64_t>(now)))) {
            sent[id] = {sizes[id], 3};
        }
        double room = chunk;
        for (auto &[id, prompt] : sent) {
            const double part = std::min(room, prompt.tokens);
            prompt.tokens -= part;
            room -= part;
        }
        steps.push_back(stepMs + (chunk - room) / tokensPerMs);
        now += steps.back();
        for (auto it = sent.begin(); it != sent.end();) {
            const bool isDone = it->second.tokens <= 0 && --it->second.stepsToFirstEvent == 0;
            if (isDone) {
                turns.end(it->first);
            }
            it = isDone ? sent.erase(it) : std::next(it);
        }
    }
    int late = 0;
    for (std::size_t i = 2; i < steps.size(); ++i) {
        late += steps[i] + steps[i - 1] + steps[i - 2] > longestPause ? 1 : 0;
    }
    return static_cast<double>(late) / static_cast<double>(steps.size());
}

// Pattern: prompts of many hosts reach one replica at random moments, a third to a half of its time, and pause its running streams.
TEST(PrefillLoadTest, in_turn_prompts_pause_running_streams_far_less_often)
{
    constexpr double longestPause = 250;
    for (const double promptsPerSecond : {6.0, 9.0}) {
        PrefillTurns free;
        PrefillTurns inTurn;
        inTurn.setLimit(longestPause * 0.3 * 25.8);
        const double before = latePauseShare(free, promptsPerSecond, longestPause);
        const double after = latePauseShare(inTurn, promptsPerSecond, longestPause);
        EXPECT_GT(before, 0.005) << promptsPerSecond;
        EXPECT_LT(after, before / 3) << promptsPerSecond;
    }
}

TEST(PrefillRateTest, finds_the_rate_from_first_events_that_also_hold_a_wait)
{
    PrefillRate rate;
    EXPECT_EQ(rate.tokensPerMs(), PrefillRate::initialTokensPerMs);
    std::mt19937 random(5);
    std::uniform_real_distribution<double> tokens(200, 4'000);
    std::exponential_distribution<double> wait(1.0 / 20);
    for (int i = 0; i < 300; ++i) {
        const double prompt = tokens(random);
        rate.add(prompt, Milliseconds(static_cast<std::int64_t>(25 + prompt / 25.8 + wait(random))));
    }
    EXPECT_NEAR(rate.tokensPerMs(), 25.8, 2.5);
}

TEST(PrefillRateTest, prompts_of_one_size_or_without_any_effect_tell_nothing)
{
    PrefillRate same;
    PrefillRate flat;
    for (int i = 0; i < 300; ++i) {
        same.add(700, Milliseconds(50 + i % 7));
        flat.add(100 + i, Milliseconds(50));
    }
    EXPECT_EQ(same.tokensPerMs(), PrefillRate::initialTokensPerMs);
    EXPECT_EQ(flat.tokensPerMs(), PrefillRate::initialTokensPerMs);
}

} // namespace
} // namespace baobabstall::serving
