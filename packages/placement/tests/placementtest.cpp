#include <gtest/gtest.h>

#include <map>
#include <set>

#include <placement/placement.h>

namespace baobabstall::placement {

namespace {

using engines::Hint;
using engines::Residency;

const BaseModel model("base-a");
const settings::Placement options{.profile = "stalls", .candidates = 2, .maxCandidates = 6};
constexpr int concurrency = 16;

std::vector<Replica> replicasInZones(int count, int zones)
{
    std::vector<Replica> replicas;
    replicas.reserve(static_cast<std::size_t>(count));
    for (int number = 0; number < count; ++number) {
        replicas.push_back({UpstreamId("engine-" + std::to_string(number)), model, ZoneId("zone-" + std::to_string(number % zones))});
    }
    return replicas;
}

AdapterRef adapterNumber(int number)
{
    return *AdapterRef::parse("c/a" + std::to_string(number) + "@v1");
}

std::vector<UpstreamId> idsOf(const CandidateList &list)
{
    std::vector<UpstreamId> ids;
    ids.reserve(list.size());
    for (const Replica *replica : list) {
        ids.push_back(replica->id);
    }
    return ids;
}

} // namespace

TEST(Replicas, candidates_are_spread_evenly_and_over_zones)
{
    Replicas replicas;
    replicas.assign(replicasInZones(9, 3));
    std::map<UpstreamId, int> firstCount;
    for (int number = 0; number < 3'000; ++number) {
        const auto list = replicas.candidates(adapterNumber(number), model, 3);
        ASSERT_EQ(list.size(), 3U);
        ++firstCount[list[0].id];
        EXPECT_EQ((std::set{list[0].zone, list[1].zone, list[2].zone}).size(), 3U);
    }
    for (const auto &[id, count] : firstCount) {
        EXPECT_NEAR(count, 333, 70) << id.value();
    }
}

TEST(Replicas, a_wider_list_begins_with_the_narrow_one)
{
    Replicas replicas;
    replicas.assign(replicasInZones(18, 4));
    const auto narrow = idsOf(replicas.candidates(adapterNumber(1), model, 2));
    auto wide = idsOf(replicas.candidates(adapterNumber(1), model, 8));
    ASSERT_EQ(wide.size(), 8U);
    wide.resize(2);
    EXPECT_EQ(wide, narrow);
}

TEST(Replicas, an_unavailable_replica_moves_only_its_own_adapters)
{
    Replicas replicas;
    replicas.assign(replicasInZones(9, 3));
    const UpstreamId leaving("engine-4");
    Replicas after = replicas;
    after.setAvailable(leaving, false);
    for (int number = 0; number < 500; ++number) {
        const auto before = idsOf(replicas.candidates(adapterNumber(number), model, 1));
        const auto now = idsOf(after.candidates(adapterNumber(number), model, 1));
        EXPECT_NE(now.front(), leaving);
        if (before.front() != leaving) {
            EXPECT_EQ(before, now);
        }
    }
    after.setAvailable(leaving, true);
    EXPECT_EQ(idsOf(after.candidates(adapterNumber(7), model, 4)), idsOf(replicas.candidates(adapterNumber(7), model, 4)));
}

TEST(Replicas, a_replica_of_another_model_is_not_a_candidate)
{
    Replicas replicas;
    replicas.assign(replicasInZones(3, 3));
    EXPECT_TRUE(replicas.candidates(adapterNumber(1), BaseModel("base-b"), 2).empty());
}

TEST(Widths, width_follows_the_load_of_an_adapter)
{
    Widths widths(options, concurrency);
    Widths peer(options, concurrency);
    Instant now(1'000'000);
    for (int request = 0; request < 40'000; ++request) { // 20 per second, 1 s each: 20 at once, more than a replica's batch
        now = now + Milliseconds(50);
        if (const auto update = widths.onRequestFinished(adapterNumber(1), Milliseconds(1'000), now)) {
            peer.apply(*update, now);
        }
    }
    EXPECT_EQ(widths.width(adapterNumber(1), now), options.maxCandidates);
    EXPECT_EQ(peer.width(adapterNumber(1), now), options.maxCandidates);
    EXPECT_EQ(peer.width(adapterNumber(2), now), options.candidates);
    for (int request = 0; request < 100; ++request) {
        now = now + Milliseconds(20'000);
        widths.onRequestFinished(adapterNumber(1), Milliseconds(1'000), now);
    }
    EXPECT_EQ(widths.width(adapterNumber(1), now), options.candidates);
    EXPECT_EQ(peer.width(adapterNumber(1), now), options.candidates) << "a width that is not refreshed expires";
}

TEST(Placement, prefers_the_resident_candidate_unless_its_queue_costs_more_than_a_load)
{
    Placement placement(options, concurrency);
    placement.replicas().assign(replicasInZones(9, 3));
    const auto list = placement.candidates(adapterNumber(1), model, Instant(0));
    const Hint absent{.residency = Residency::Absent, .expectedWait = Milliseconds(300)};
    const Hint resident{.residency = Residency::Resident, .expectedWait = Milliseconds(0), .batchFill = 0.5};
    const Hint queued{.residency = Residency::Resident, .expectedWait = Milliseconds(4'000), .batchFill = 1};
    const Hint closed{.accepting = false};
    const auto chosen = [&](const Hint &first, const Hint &second) {
        const std::vector<HintedCandidate> hinted{{&list[0], first}, {&list[1], second}};
        const auto choice = placement.choose(hinted, false);
        return choice ? choice->replica : nullptr;
    };
    EXPECT_EQ(chosen(absent, resident), &list[1]);
    EXPECT_EQ(chosen(queued, absent), &list[1]);
    EXPECT_EQ(chosen(resident, resident), &list[0]);
    EXPECT_EQ(chosen(closed, absent), &list[1]);
    EXPECT_EQ(chosen(closed, closed), nullptr);
}

TEST(Placement, profiles_differ_in_the_wait_accepted_for_a_fuller_batch)
{
    const auto chosenFill = [](const std::string &profile, Milliseconds waitAtFuller) {
        settings::Placement settings = options;
        settings.profile = profile;
        Placement placement(settings, concurrency);
        placement.replicas().assign(replicasInZones(9, 3));
        const auto list = placement.candidates(adapterNumber(1), model, Instant(0));
        const Hint idle{.residency = Residency::Resident, .batchFill = 0.1};
        const Hint full{.residency = Residency::Resident, .expectedWait = waitAtFuller, .batchFill = 0.9};
        const std::vector<HintedCandidate> hinted{{&list[0], idle}, {&list[1], full}};
        return placement.choose(hinted, false)->replica == &list[1] ? 0.9 : 0.1;
    };
    EXPECT_EQ(chosenFill("stalls", Milliseconds(0)), 0.9);
    EXPECT_EQ(chosenFill("stalls", Milliseconds(100)), 0.1);
    EXPECT_EQ(chosenFill("batches", Milliseconds(100)), 0.9);
    EXPECT_EQ(chosenFill("batches", Milliseconds(500)), 0.1);
}

TEST(Placement, a_hot_adapter_is_prefetched_on_candidates_without_it)
{
    Placement placement(options, concurrency);
    placement.replicas().assign(replicasInZones(9, 3));
    const auto list = placement.candidates(adapterNumber(1), model, Instant(0));
    const std::vector<HintedCandidate> hinted{{&list[0], Hint{.residency = Residency::Resident}}, {&list[1], Hint{}}};
    EXPECT_TRUE(placement.choose(hinted, false)->prefetch.empty());
    EXPECT_EQ(placement.choose(hinted, true)->prefetch, (std::vector<const Replica *>{&list[1]}));
}

} // namespace baobabstall::placement
