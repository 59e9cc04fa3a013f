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
    {"lost replies", {.lostReplies = true}},
    {"restarts", {.restarts = true}},
    {"successor without fencing", {.successor = true}},
    {"successor with fencing", {.checksFencing = true, .successor = true}},
    {"lost replies and successor with fencing", {.checksFencing = true, .lostReplies = true, .successor = true}},
    {"all without fencing", {.restarts = true, .lostReplies = true, .successor = true}},
    {"all with fencing", {.checksFencing = true, .restarts = true, .lostReplies = true, .successor = true}},
};

/// Number of seeds that violate an invariant under this mutation.
int violatingSeeds(Faults faults, Mutation mutation)
{
    int violations = 0;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        EngineSimulation simulation(seed, faults, mutation);
        violations += simulation.run().empty() ? 0 : 1;
    }
    return violations;
}

} // namespace

TEST(Invariants, hold_under_seeded_faults)
{
    for (const Case &each : cases) {
        int requestsRun = 0;
        for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
            EngineSimulation simulation(seed, each.faults, Mutation::None);
            const auto violations = simulation.run();
            requestsRun += simulation.requestsRun();
            ASSERT_TRUE(violations.empty()) << each.name << ", seed " << seed << ": " << violations.front();
        }
        EXPECT_GT(requestsRun, static_cast<int>(seeds) * EngineSimulation::requests / 5) << each.name;
    }
}

TEST(Invariants, an_engine_with_fencing_serves_names_of_the_earlier_owner)
{
    int earlierNameStarts = 0;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        EngineSimulation simulation(seed, {.checksFencing = true, .successor = true}, Mutation::None);
        (void)simulation.run();
        earlierNameStarts += simulation.earlierNameStarts();
    }
    EXPECT_GT(earlierNameStarts, 0);
}

TEST(Invariants, are_violated_without_pins)
{
    EXPECT_GT(violatingSeeds({}, Mutation::NoPins), 0);
}

TEST(Invariants, are_violated_when_an_ordered_load_counts_as_complete)
{
    EXPECT_GT(violatingSeeds({}, Mutation::LoadsCompleteWhenOrdered), 0);
}

TEST(Invariants, are_violated_when_the_successor_keeps_the_epoch)
{
    EXPECT_GT(violatingSeeds({.successor = true}, Mutation::SharedEpoch), 0);
}

TEST(Invariants, are_violated_when_a_restart_is_hidden)
{
    EXPECT_GT(violatingSeeds({.restarts = true}, Mutation::RestartsHidden), 0);
}

TEST(Invariants, are_violated_when_a_timeout_counts_as_evidence)
{
    EXPECT_GT(violatingSeeds({.successor = true}, Mutation::TimeoutAsEvidence), 0);
}

} // namespace baobabstall::engines
