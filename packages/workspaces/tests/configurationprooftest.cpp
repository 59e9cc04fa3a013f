#include <workspaces/configurationproof.h>

#include <algorithm>
#include <array>
#include <vector>

#include <gtest/gtest.h>

namespace baobabstall::workspaces {
namespace {

using core::ConfigVersion;
using core::Instant;
using core::Milliseconds;
using core::StoreEra;

constexpr Milliseconds bound{1'000};

TEST(ConfigurationProof, nothing_is_proven_before_a_configuration_was_read)
{
    ConfigurationProof proof;
    EXPECT_FALSE(proof.isWithin(bound, Instant(0)));
    proof.onCaughtUp(Instant(10), StoreEra(0));
    EXPECT_FALSE(proof.isWithin(bound, Instant(10)));
    EXPECT_FALSE(proof.age(Instant(10)));
    proof.onRead(ConfigVersion(4), StoreEra(0));
    EXPECT_FALSE(proof.isWithin(bound, Instant(10))) << "that one was read does not show that it is the newest";
    proof.onCaughtUp(Instant(20), StoreEra(0));
    EXPECT_TRUE(proof.isWithin(bound, Instant(20)));
}

TEST(ConfigurationProof, its_age_counts_from_the_question)
{
    ConfigurationProof proof;
    proof.onRead(ConfigVersion(4), StoreEra(0));
    proof.onCaughtUp(Instant(500), StoreEra(0));
    EXPECT_EQ(proof.age(Instant(900)), Milliseconds(400));
    EXPECT_TRUE(proof.isWithin(bound, Instant(1'500)));
    EXPECT_FALSE(proof.isWithin(bound, Instant(1'501)));
}

TEST(ConfigurationProof, an_answer_that_comes_late_does_not_make_a_newer_proof_older)
{
    ConfigurationProof proof;
    proof.onRead(ConfigVersion(4), StoreEra(0));
    proof.onCaughtUp(Instant(800), StoreEra(0));
    proof.onCaughtUp(Instant(300), StoreEra(0));
    EXPECT_EQ(proof.age(Instant(900)), Milliseconds(100));
}

TEST(ConfigurationProof, is_taken_up_again_with_the_first_fresh_answer)
{
    ConfigurationProof proof;
    proof.onRead(ConfigVersion(4), StoreEra(0));
    proof.onCaughtUp(Instant(0), StoreEra(0));
    EXPECT_FALSE(proof.isWithin(bound, Instant(60'000)));
    proof.onCaughtUp(Instant(59'900), StoreEra(0));
    EXPECT_TRUE(proof.isWithin(bound, Instant(60'000)));
}

// Guards against withdrawn keys in use again after the store came back as an earlier copy of itself.
TEST(ConfigurationProof, an_earlier_copy_of_the_store_proves_nothing_until_it_has_the_newest_configuration)
{
    ConfigurationProof proof;
    proof.onRead(ConfigVersion(8), StoreEra(0));
    proof.onCaughtUp(Instant(0), StoreEra(0));
    proof.onRead(ConfigVersion(7), StoreEra(1));
    proof.onCaughtUp(Instant(5'000), StoreEra(1));
    EXPECT_FALSE(proof.isWithin(bound, Instant(5'000)));
    proof.onRead(ConfigVersion(9), StoreEra(1));
    proof.onCaughtUp(Instant(6'000), StoreEra(1));
    EXPECT_TRUE(proof.isWithin(bound, Instant(6'000)));
}

TEST(ConfigurationProof, an_answer_of_an_earlier_era_proves_nothing_once_a_later_one_was_seen)
{
    ConfigurationProof proof;
    proof.onRead(ConfigVersion(8), StoreEra(1));
    proof.onCaughtUp(Instant(100), StoreEra(0));
    EXPECT_FALSE(proof.isWithin(bound, Instant(100)));
}

/// One host, the store, and a caller, on steps that come in any order with any pauses.
struct Story {
    enum class Step : std::uint8_t { Withdraw, Ask, Answer, Request, Freeze, Send };

    /// What happens, with a pause of `pauses[i]` after step i. Returns false when a request ran that was sent too late.
    static bool isSound(const std::vector<Step> &steps, const std::array<std::int64_t, 6> &pauses)
    {
        constexpr std::int64_t freeze = 5'000;
        ConfigurationProof proof;
        proof.onRead(ConfigVersion(1), StoreEra(0));
        proof.onCaughtUp(Instant(0), StoreEra(0));
        bool hasKey = true; // by the configuration in force at the host
        Instant now;
        std::optional<Instant> withdrawnAt;
        std::optional<Instant> askedAt;
        std::optional<Instant> requestedAt;
        bool hasRun = false;
        for (std::size_t i = 0; i < steps.size(); ++i) {
            switch (steps[i]) {
            case Step::Withdraw:
                withdrawnAt = now;
                break;
            case Step::Ask:
                askedAt = now;
                break;
            case Step::Answer: // has all that the store had when it was asked, at least
                if (askedAt) {
                    const bool knows = withdrawnAt && *withdrawnAt <= *askedAt;
                    proof.onRead(ConfigVersion(knows ? 2 : 1), StoreEra(0));
                    hasKey = hasKey && !knows;
                    proof.onCaughtUp(*askedAt, StoreEra(0));
                }
                break;
            case Step::Request:
                requestedAt = now;
                break;
            case Step::Freeze:
                now = now + Milliseconds(freeze);
                break;
            case Step::Send:
                hasRun = requestedAt && hasKey && proof.isWithin(bound, now);
                break;
            }
            now = now + Milliseconds(pauses.at(i));
        }
        const bool isTooLate = requestedAt && withdrawnAt && *requestedAt - *withdrawnAt > bound;
        return !(hasRun && isTooLate);
    }
};

// Guards against requests that run though their key was withdrawn longer ago than the bound, in whatever order the withdrawal, the host's
// question and its answer, the request, a freeze of the host and the send come.
TEST(ConfigurationProof, no_order_of_events_lets_a_withdrawn_key_run_after_the_bound)
{
    using Step = Story::Step;
    constexpr std::array<std::int64_t, 4> lengths = {0, 400, 999, 1'300};
    std::vector<Step> steps = {Step::Withdraw, Step::Ask, Step::Answer, Step::Request, Step::Freeze, Step::Send};
    std::size_t stories = 0;
    do {
        constexpr std::size_t choices = 4 * 4 * 4 * 4 * 4;
        for (std::size_t choice = 0; choice < choices; ++choice) {
            std::array<std::int64_t, 6> pauses{};
            auto rest = choice;
            for (std::size_t i = 0; i + 1 < pauses.size(); ++i) {
                pauses.at(i) = lengths.at(rest % lengths.size());
                rest /= lengths.size();
            }
            ASSERT_TRUE(Story::isSound(steps, pauses)) << "story " << stories << ", choice " << choice;
            ++stories;
        }
    } while (std::next_permutation(steps.begin(), steps.end()));
    EXPECT_EQ(stories, 720U * 1'024U);
}

} // namespace
} // namespace baobabstall::workspaces
