#include <gtest/gtest.h>

#include <quotas/ownerchoice.h>
#include <quotas/quotahost.h>

namespace baobabstall::quotas {
namespace {

const OwnerChoice::Named owner{HostId("owner"), core::Epoch(3)};
const std::vector<HostId> hosts{HostId("a"), HostId("b"), HostId("c"), HostId("owner")};

std::vector<HostId> allHosts()
{
    return hosts;
}

/// A choice that asks the owner and has had its answer at 0.
OwnerChoice settled()
{
    OwnerChoice choice("quotas-0", Instant(0));
    EXPECT_EQ(choice.choose(owner, Instant(0), allHosts), owner.host);
    choice.onAnswer(Instant(0));
    return choice;
}

// Failure: the owner is killed, and nobody else has claimed yet. Another host is asked before this one is in fallback, the same one by all.
TEST(OwnerChoice, a_silent_owner_is_replaced_by_the_same_stand_in_everywhere_before_fallback)
{
    auto one = settled();
    auto other = settled();
    EXPECT_EQ(one.choose(owner, Instant(1'000), allHosts), owner.host);
    const auto standIn = one.choose(owner, Instant(1'001), allHosts);
    ASSERT_TRUE(standIn);
    EXPECT_NE(*standIn, owner.host);
    EXPECT_LT(OwnerChoice::silentAfter + Timing::grantLifetime, Timing::fallbackAfter);
    EXPECT_EQ(other.choose(std::nullopt, Instant(700), [] { return std::vector<HostId>(hosts.rbegin(), hosts.rend()); }), standIn); // known to be gone
}

// Failure: an owner is suspected for a moment, but answers.
TEST(OwnerChoice, one_that_answers_is_kept)
{
    auto choice = settled();
    for (std::int64_t ms = 0; ms < 10'000; ms += 100) {
        choice.onAnswer(Instant(ms));
        EXPECT_EQ(choice.choose(std::nullopt, Instant(ms), allHosts), owner.host);
    }
}

// Failure: stand-ins are gone, too.
TEST(OwnerChoice, silent_stand_ins_are_passed_over_and_the_owner_is_asked_again)
{
    auto choice = settled();
    std::set<HostId> asked;
    bool isOwnerAgain = false;
    for (std::int64_t ms = 0; ms < 5'000; ms += 100) {
        const auto host = choice.choose(owner, Instant(ms), allHosts);
        isOwnerAgain |= asked.size() > 1 && host == owner.host;
        asked.insert(*host);
    }
    EXPECT_EQ(asked.size(), hosts.size());
    EXPECT_TRUE(isOwnerAgain);
}

TEST(OwnerChoice, a_new_claim_moves_all_hosts_to_it_and_a_late_answer_brings_them_back)
{
    auto choice = settled();
    const auto standIn = choice.choose(owner, Instant(1'100), allHosts);
    ASSERT_NE(standIn, owner.host);
    for (std::int64_t ms = 1'100; ms < 21'000; ms += 400) {
        choice.onAnswer(Instant(ms));
        EXPECT_EQ(choice.choose(owner, Instant(ms), allHosts), standIn);
    }
    EXPECT_EQ(choice.choose(owner, Instant(21'100), allHosts), owner.host);
    const OwnerChoice::Named next{HostId("b"), core::Epoch(4)};
    EXPECT_EQ(choice.choose(next, Instant(21'200), allHosts), next.host);
}

// Load: all hosts start at once; an owner is claimed after a while. Until then each is in fallback soon, and nobody is asked in vain.
TEST(OwnerChoice, after_a_start_the_claim_is_waited_for)
{
    OwnerChoice choice("quotas-0", Instant(0));
    EXPECT_FALSE(choice.choose(std::nullopt, Instant(1'500), allHosts));
    EXPECT_TRUE(choice.choose(std::nullopt, Instant(1'501), allHosts));
    OwnerChoice alone("quotas-0", Instant(0));
    EXPECT_FALSE(alone.choose(std::nullopt, Instant(5'000), [] { return std::vector<HostId>(); }));
    EXPECT_GT(OwnerChoice::firstWait, Timing::fallbackAfterStart);
}

} // namespace
} // namespace baobabstall::quotas
