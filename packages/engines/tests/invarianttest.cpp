#include <gtest/gtest.h>

#include "fakeengine.h"

namespace baobabstall::engines {

namespace {

constexpr std::uint64_t seeds = 25;

struct Case {
    std::string name;
    Faults faults;
};

const std::vector<Case> cases{
    {"calm", {}},
    {"lost answers", {.lostAnswers = true}},
    {"restarts", {.restarts = true}},
    {"successor without fencing", {.successor = true}},
    {"successor with fencing", {.checksFencing = true, .successor = true}},
    {"lost answers and successor with fencing", {.checksFencing = true, .lostAnswers = true, .successor = true}},
    {"all without fencing", {.restarts = true, .lostAnswers = true, .successor = true}},
    {"all with fencing", {.checksFencing = true, .restarts = true, .lostAnswers = true, .successor = true}},
};

/// How many of the seeds break something with this mechanism switched off.
int brokenSeeds(Faults faults, Flaw flaw)
{
    int broken = 0;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        World world(seed, faults, flaw);
        broken += world.run().empty() ? 0 : 1;
    }
    return broken;
}

} // namespace

TEST(Invariants, hold_under_seeded_faults)
{
    for (const Case &each : cases) {
        int ran = 0;
        for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
            World world(seed, each.faults, Flaw::None);
            const auto broken = world.run();
            ran += world.ran();
            ASSERT_TRUE(broken.empty()) << each.name << ", seed " << seed << ": " << broken.front();
        }
        EXPECT_GT(ran, static_cast<int>(seeds) * World::requests / 5) << each.name;
    }
}

TEST(Invariants, an_engine_with_fencing_serves_names_of_the_earlier_owner)
{
    int adopted = 0;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        World world(seed, {.checksFencing = true, .successor = true}, Flaw::None);
        (void)world.run();
        adopted += world.adopted();
    }
    EXPECT_GT(adopted, 0);
}

TEST(Invariants, break_without_pins)
{
    EXPECT_GT(brokenSeeds({}, Flaw::NoPins), 0);
}

TEST(Invariants, break_when_an_ordered_load_counts_as_done)
{
    EXPECT_GT(brokenSeeds({}, Flaw::BelievesOrders), 0);
}

TEST(Invariants, break_when_the_successor_keeps_the_epoch)
{
    EXPECT_GT(brokenSeeds({.successor = true}, Flaw::OneEpoch), 0);
}

TEST(Invariants, break_when_a_restart_is_not_noticed)
{
    EXPECT_GT(brokenSeeds({.restarts = true}, Flaw::ForgetsNoRestart), 0);
}

TEST(Invariants, break_when_silence_counts_as_evidence)
{
    EXPECT_GT(brokenSeeds({.successor = true}, Flaw::TimeoutIsEvidence), 0);
}

} // namespace baobabstall::engines
