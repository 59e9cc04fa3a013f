// Point 2: an adapter that a running request uses is never evicted beneath it.
#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <harness/world.h>

namespace baobabstall::harness {

using testing::IsEmpty;

namespace {

DeploymentOptions optionsWith(const std::string &fencing, int engines, int slots)
{
    DeploymentOptions options;
    options.engines = engines;
    options.slots = slots;
    options.fencing = fencing;
    options.settings = quickSettings();
    return options;
}

std::string cold(int number)
{
    return "camp/cold-" + std::to_string(number) + "@v1";
}

class Eviction : public testing::TestWithParam<const char *>
{ };

} // namespace

TEST_P(Eviction, more_adapters_than_slots_while_streams_run)
{
    World world(optionsWith(GetParam(), 2, 2));
    Outcomes outcomes;
    std::vector<Call> running;
    for (int round = 0; round < 3; ++round) {
        for (int number = 1; number <= 8; ++number) {
            running.push_back(world.stream(world.daemons().at(number % 3), cold(number), 10 + number));
        }
        for (int number = 9; number <= 12; ++number) {
            outcomes.add(world.complete(world.daemons().at(number % 3), cold(number), 3));
        }
    }
    for (auto &call : running) {
        world.finish(call);
        outcomes.add(call);
    }
    EXPECT_GT(outcomes.successes(), 4U);
    EXPECT_THAT(outcomes.violations(world), IsEmpty());
}

TEST_P(Eviction, owner_frozen_past_its_successors_claim_and_woken)
{
    World world(optionsWith(GetParam(), 1, 6));
    Outcomes outcomes;
    ASSERT_TRUE(succeeded(world.completeAtLast("entry-1", cold(1), 3)));
    const auto owner = world.ownerOf("engine/engine-1");
    ASSERT_FALSE(owner.empty());
    const auto entry = world.otherThan({owner});

    std::vector<Call> running;
    for (int number = 1; number <= 3; ++number) {
        running.push_back(world.stream(owner, cold(number), 100));
        running.back().stream->waitEvents(1);
    }
    world.freeze(owner);
    ASSERT_TRUE(waitUntil([&] {
        const auto now = world.ownerOf("engine/engine-1");
        return !now.empty() && now != owner;
    })) << "nobody claimed the engine of the frozen owner";
    for (int number = 4; number <= 6; ++number) {
        outcomes.add(world.completeAtLast(entry, cold(number), 4));
    }
    std::vector<Call> later;
    for (int number = 4; number <= 6; ++number) {
        later.push_back(world.stream(entry, cold(number), 200));
        later.back().stream->waitEvents(1);
    }
    world.wake(owner);
    for (int number = 7; number <= 14; ++number) {
        outcomes.add(world.complete(owner, cold(number), 4));
        outcomes.add(world.complete(entry, cold(number + 4), 4));
    }
    for (auto *group : {&running, &later}) {
        for (auto &call : *group) {
            world.finish(call);
            outcomes.add(call);
        }
    }
    EXPECT_THAT(outcomes.violations(world), IsEmpty());
    for (const auto &call : later) {
        EXPECT_TRUE(succeeded(call)) << "a stream of the successor ended early: " << faultOf(call);
    }
}

INSTANTIATE_TEST_SUITE_P(Fencing, Eviction, testing::Values("on", "off"), [](const auto &info) { return std::string("fencing_") + info.param; });

} // namespace baobabstall::harness
