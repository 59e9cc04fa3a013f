// The order of requests at one replica of a crowded plain service, and 71 hosts in front of three of them, on virtual time.
#include <serving/scarceroom.h>

#include <set>

#include <gtest/gtest.h>

#include "plainfleet.h"

namespace baobabstall::serving {
namespace {

using tests::PlainCounts;
using tests::PlainFleet;
using tests::Rule;

constexpr int hosts = 71;
constexpr int replicas = 3;
constexpr double capacity = 600; // requests a second: 18 places, 30 ms each
constexpr Instant begin(1'000);
constexpr Instant end(11'000);

/// Ends with its last answers.
PlainCounts playAt(Rule rule, double demand, std::uint64_t seed = 1)
{
    PlainFleet fleet(rule, hosts, replicas, seed);
    fleet.play({}, capacity * demand, begin, end);
    fleet.runUntil(end + Milliseconds(3'000));
    return fleet.counts(0);
}

ScarceRoom roomOf(int slots, Milliseconds work = Milliseconds(30))
{
    ScarceRoom room;
    room.setSlots(slots);
    room.learn(work, Milliseconds(0));
    return room;
}

ScarceAsk askBy(Milliseconds onTimeBy, Milliseconds deadline = Milliseconds(5'000))
{
    return {.rank = 0, .mayRepeat = true, .onTimeBy = Instant(0) + onTimeBy, .deadline = Instant(0) + deadline};
}

std::vector<SendHoldId> grantedOf(const std::vector<ScarceRoom::Outcome> &outcomes)
{
    std::vector<SendHoldId> granted;
    for (const auto &each : outcomes) {
        if (each.isGranted) {
            granted.push_back(each.id);
        }
    }
    return granted;
}

TEST(ScarceRoom, places_go_by_rank_then_to_what_can_be_on_time_then_to_what_may_not_be_repeated_then_by_time)
{
    auto room = roomOf(1);
    const auto running = room.request(askBy(Milliseconds(200)), Instant(0));
    ASSERT_EQ(grantedOf(room.settle(Instant(0))).size(), 1U);
    const auto late = room.request(askBy(Milliseconds(10)), Instant(0));
    const auto later = room.request(askBy(Milliseconds(900)), Instant(0));
    const auto sooner = room.request(askBy(Milliseconds(800)), Instant(0));
    auto once = askBy(Milliseconds(1'000));
    once.mayRepeat = false;
    const auto payment = room.request(once, Instant(0));
    auto deferrable = askBy(Milliseconds(700));
    deferrable.rank = 1;
    const auto last = room.request(deferrable, Instant(0));
    EXPECT_TRUE(room.settle(Instant(0)).empty()) << "all wait";
    std::vector<SendHoldId> order;
    auto held = running;
    for (int i = 1; i <= 5; ++i) {
        const Instant now(30 * i);
        room.end(held, now);
        const auto granted = grantedOf(room.settle(now));
        ASSERT_EQ(granted.size(), 1U);
        order.push_back(held = granted.front());
    }
    EXPECT_EQ(order, (std::vector{payment, sooner, later, late, last}));
}

TEST(ScarceRoom, a_workspace_that_takes_far_more_than_usual_goes_behind_others_of_its_rank)
{
    auto room = roomOf(1);
    Instant now(0);
    const auto askOf = [&now](const std::string &workspace, Milliseconds onTimeBy) {
        return ScarceAsk{.onTimeBy = now + onTimeBy, .deadline = now + Milliseconds(5'000), .workspace = WorkspaceId(workspace)};
    };
    const auto serve = [&](const std::string &workspace, Milliseconds until) {
        const auto id = room.request(askOf(workspace, Milliseconds(200)), now);
        EXPECT_EQ(grantedOf(room.settle(now)), std::vector{id});
        room.end(id, now + Milliseconds(10));
        now = now + until;
    };
    for (int i = 0; i < 100; ++i) {
        serve("hot", Milliseconds(50));
        serve("other", Milliseconds(50));
    }
    const auto nextAfterOne = [&] {
        const auto running = room.request(askOf("other", Milliseconds(200)), now);
        (void)room.settle(now);
        const auto hot = room.request(askOf("hot", Milliseconds(200)), now);
        const auto other = room.request(askOf("other", Milliseconds(300)), now);
        room.end(running, now);
        const auto granted = grantedOf(room.settle(now));
        room.end(hot, now);
        room.end(other, now);
        return !granted.empty() && granted.front() == hot ? "hot" : "other";
    };
    EXPECT_EQ(nextAfterOne(), std::string("hot")) << "due first";
    for (int i = 0; i < 150; ++i) {
        serve("hot", Milliseconds(15));
    }
    EXPECT_EQ(nextAfterOne(), std::string("other"));
}

TEST(ScarceRoom, what_is_not_served_within_its_deadline_is_refused_at_once_with_its_turn)
{
    auto room = roomOf(1);
    for (int i = 0; i < 5; ++i) {
        (void)room.request(askBy(Milliseconds(1'000), Milliseconds(1'000)), Instant(0));
    }
    EXPECT_EQ(room.settle(Instant(0)).size(), 1U) << "one runs, none is refused";
    auto ask = askBy(Milliseconds(100), Milliseconds(100));
    ask.rank = 1;
    const auto id = room.request(ask, Instant(0));
    const auto outcomes = room.settle(Instant(0));
    ASSERT_EQ(outcomes.size(), 1U);
    EXPECT_EQ(outcomes[0].id, id);
    EXPECT_FALSE(outcomes[0].isGranted);
    EXPECT_GE(outcomes[0].turn, Milliseconds(150)) << "five of 30 ms are ahead";
    EXPECT_LE(outcomes[0].turn, Milliseconds(400));
}

TEST(ScarceRoom, the_turns_of_refused_requests_are_spread)
{
    std::set<Milliseconds> turns;
    auto room = roomOf(1);
    for (int i = 0; i < 10; ++i) {
        (void)room.request(askBy(Milliseconds(2'000), Milliseconds(2'000)), Instant(0));
    }
    (void)room.settle(Instant(0));
    for (std::uint64_t i = 0; i < 20; ++i) {
        auto ask = askBy(Milliseconds(50), Milliseconds(50));
        ask.spread = i * 51;
        (void)room.request(ask, Instant(0));
        for (const auto &each : room.settle(Instant(0))) {
            EXPECT_FALSE(each.isGranted);
            turns.insert(each.turn);
        }
    }
    EXPECT_GE(turns.size(), 18U);
}

TEST(ScarceRoom, an_urgent_newcomer_pushes_others_back_and_those_that_lose_their_deadline_so_are_refused_at_once)
{
    auto room = roomOf(1);
    (void)room.request(askBy(Milliseconds(1'000)), Instant(0));
    (void)room.settle(Instant(0));
    auto deferrable = askBy(Milliseconds(75), Milliseconds(75));
    deferrable.rank = 1;
    const auto tight = room.request(deferrable, Instant(0));
    deferrable = askBy(Milliseconds(75), Milliseconds(5'000));
    deferrable.rank = 1;
    const auto patient = room.request(deferrable, Instant(0));
    EXPECT_TRUE(room.settle(Instant(0)).empty());
    const auto urgent = room.request(askBy(Milliseconds(150)), Instant(0));
    const auto outcomes = room.settle(Instant(0));
    ASSERT_EQ(outcomes.size(), 1U);
    EXPECT_EQ(outcomes[0].id, tight);
    EXPECT_FALSE(outcomes[0].isGranted);
    EXPECT_LT(room.expectedTurn(urgent), room.expectedTurn(patient));
}

// Guards against places of a killed or frozen host that never come back.
TEST(ScarceRoom, places_of_hosts_that_are_lost_or_stand_still_come_back)
{
    auto room = roomOf(2);
    const auto lost = room.request(askBy(Milliseconds(150)), Instant(0));
    (void)room.request(askBy(Milliseconds(150)), Instant(0));
    ASSERT_EQ(grantedOf(room.settle(Instant(0))).size(), 2U);
    (void)room.request(askBy(Milliseconds(4'000)), Instant(0));
    (void)room.request(askBy(Milliseconds(4'000)), Instant(0));
    room.lose(lost, Instant(0));
    EXPECT_TRUE(grantedOf(room.settle(Instant(20))).empty()) << "it may still be at the replica";
    EXPECT_EQ(grantedOf(room.settle(Instant(150))).size(), 1U);
    EXPECT_EQ(grantedOf(room.settle(Instant(500))).size(), 1U) << "the other said nothing for many times its work";
}

TEST(ScarceRoom, there_are_more_places_than_slots_for_permits_on_their_way_but_never_twice_as_many)
{
    ScarceRoom room;
    room.setSlots(6);
    EXPECT_EQ(room.places(), 6);
    room.learn(Milliseconds(30), Milliseconds(10));
    EXPECT_EQ(room.places(), 8);
    room.learn(Milliseconds(30), Milliseconds(5'000));
    EXPECT_EQ(room.places(), 12);
}

// Load: up to three times what the service can serve, asked for by 71 hosts (issue 50). The same with the rule that each host follows by itself.
TEST(PlainFleet, at_twice_the_demand_a_service_serves_nearly_what_it_serves_at_its_best)
{
    int best = 0;
    for (const double demand : {0.8, 0.9, 1.0, 1.2, 1.5}) {
        best = std::max(best, playAt(Rule::Owners, demand).onTime);
    }
    for (const double demand : {2.0, 3.0}) {
        const auto owners = playAt(Rule::Owners, demand);
        EXPECT_GE(owners.onTime, 0.9 * best);
        EXPECT_GE(owners.onTime, 0.9 * capacity * 10);
        EXPECT_LE(owners.late, owners.onTime / 50);
        EXPECT_LE(playAt(Rule::Assumed, demand).onTime, 0.8 * capacity * 10) << "places stand empty while hosts refuse";
    }
}

TEST(PlainFleet, a_calm_service_is_sent_what_it_was_sent_before_and_no_owner_is_asked)
{
    constexpr double calm = 0.25;
    PlainFleet owners(Rule::Owners, hosts, replicas);
    PlainFleet assumed(Rule::Assumed, hosts, replicas);
    for (auto *fleet : {&owners, &assumed}) {
        fleet->play({}, capacity * calm, begin, end);
        fleet->runUntil(end + Milliseconds(1'000));
    }
    EXPECT_EQ(owners.ownerCalls(), 0);
    EXPECT_EQ(owners.counts(0).onTime, owners.counts(0).asked);
    EXPECT_EQ(owners.counts(0).onTime, assumed.counts(0).onTime);
    EXPECT_EQ(owners.counts(0).servedMs, assumed.counts(0).servedMs);
}

constexpr int urgentKind = 0;
constexpr int deferrableKind = 1;

// Load: deferrable work at twice what the service serves, beside urgent work at half of it.
TEST(PlainFleet, urgent_work_is_on_time_beside_a_burst_of_deferrable_work)
{
    const auto play = [](Rule rule) {
        PlainFleet fleet(rule, hosts, replicas);
        fleet.play({.kind = urgentKind, .rank = 0}, capacity / 2, begin, end);
        fleet.play({.kind = deferrableKind, .rank = 1, .objective = Milliseconds(1'500), .timeout = Milliseconds(4'000)},
                   capacity * 2,
                   Instant(4'000),
                   Instant(6'000));
        fleet.runUntil(end + Milliseconds(5'000));
        return std::pair(fleet.counts(urgentKind), fleet.counts(deferrableKind));
    };
    const auto [urgent, deferrable] = play(Rule::Owners);
    EXPECT_GE(urgent.onTimeShare(), 0.98);
    EXPECT_GE(deferrable.onTime, 0.8 * capacity / 2 * 2) << "what urgent work leaves in the burst alone";
    EXPECT_LE(play(Rule::Assumed).first.onTimeShare(), 0.95);
}

// Load: urgent work alone at twice what the service serves; deferrable work gives way and isn't held for nothing.
TEST(PlainFleet, a_burst_of_urgent_work_takes_all_places)
{
    PlainFleet fleet(Rule::Owners, hosts, replicas);
    fleet.play({.kind = urgentKind, .rank = 0}, capacity * 2, begin, end);
    fleet.play({.kind = deferrableKind, .rank = 1, .objective = Milliseconds(1'500), .timeout = Milliseconds(4'000)}, capacity / 2, begin, end);
    fleet.runUntil(end + Milliseconds(5'000));
    EXPECT_GE(fleet.counts(urgentKind).onTime, 0.88 * capacity * 10);
    EXPECT_GE(fleet.counts(urgentKind).onTimeShare(), fleet.counts(deferrableKind).onTimeShare());
}

// Load: 1.2 times what the service serves with all of its replicas, of which a quarter goes.
TEST(PlainFleet, with_a_quarter_of_the_replicas_gone_the_others_serve_what_they_can)
{
    constexpr int four = 4;
    PlainFleet fleet(Rule::Owners, hosts, four);
    fleet.killReplica(3);
    fleet.play({}, capacity * four / replicas * 1.2, begin, end);
    fleet.runUntil(end + Milliseconds(3'000));
    EXPECT_GE(fleet.counts(0).onTime, 0.9 * capacity * 10);
    EXPECT_LE(fleet.counts(0).late, fleet.counts(0).onTime / 50);
}

// Load: 1.5 times what the service serves, by callers that come again up to three times, at the time they were told.
TEST(PlainFleet, callers_that_repeat_three_times_do_not_lower_what_is_served)
{
    PlainFleet fleet(Rule::Owners, hosts, replicas);
    fleet.play({.repeats = 3}, capacity * 1.5, begin, end);
    fleet.runUntil(end + Milliseconds(9'000));
    EXPECT_GE(fleet.counts(0).onTime, 0.9 * capacity * 10);
    EXPECT_LE(fleet.counts(0).late, fleet.counts(0).onTime / 50);
}

// Load: twice what the service serves, half of it by callers that leave while they wait.
TEST(PlainFleet, callers_that_leave_take_no_places)
{
    PlainFleet fleet(Rule::Owners, hosts, replicas);
    fleet.play({.kind = 0}, capacity, begin, end);
    fleet.play({.kind = 1, .leaves = true}, capacity, begin, end);
    fleet.runUntil(end + Milliseconds(3'000));
    EXPECT_GE(fleet.counts(1).left, 100);
    EXPECT_GE(fleet.counts(0).onTime + fleet.counts(1).onTime, 0.9 * capacity * 10);
}

// Load: lookups at twice what the service serves, payments at a third, both of one rank.
TEST(PlainFleet, payments_go_before_lookups_of_one_rank)
{
    const auto play = [](Rule rule) {
        PlainFleet fleet(rule, hosts, replicas);
        fleet.play({.kind = 0, .mayRepeat = false}, capacity / 3, begin, end);
        fleet.play({.kind = 1}, capacity * 2, begin, end);
        fleet.runUntil(end + Milliseconds(3'000));
        return std::pair(fleet.counts(0), fleet.counts(1));
    };
    const auto [payments, lookups] = play(Rule::Owners);
    EXPECT_GE(payments.onTimeShare(), 0.97);
    EXPECT_GE(payments.onTime + lookups.onTime, 0.9 * capacity * 10);
    EXPECT_LE(play(Rule::Assumed).first.onTimeShare(), 0.6);
}

// Load: twice what the service serves, while the owner of one replica is killed and another one takes its place after three seconds.
TEST(PlainFleet, a_killed_owner_costs_no_more_than_its_replica_by_the_hosts_own_counts)
{
    PlainFleet fleet(Rule::Owners, hosts, replicas);
    fleet.play({}, capacity * 2, begin, end);
    fleet.at(Instant(4'000), [&] { fleet.silenceOwner(0); });
    fleet.at(Instant(7'000), [&] { fleet.replaceOwner(0); });
    fleet.runUntil(end + Milliseconds(3'000));
    EXPECT_GE(fleet.counts(0).onTime, 0.8 * capacity * 10);
    EXPECT_EQ(fleet.counts(0).asked, fleet.counts(0).onTime + fleet.counts(0).late + fleet.counts(0).refused) << "nothing hangs";
}

// Load: twice what the service serves, while no owner answers: hosts go by their own counts.
TEST(PlainFleet, with_silent_owners_no_less_is_served_than_by_the_hosts_own_counts)
{
    PlainFleet fleet(Rule::Owners, hosts, replicas);
    for (int i = 0; i < replicas; ++i) {
        fleet.silenceOwner(static_cast<std::size_t>(i));
    }
    fleet.play({}, capacity * 2, begin, end);
    fleet.runUntil(end + Milliseconds(3'000));
    EXPECT_GE(fleet.counts(0).onTime, 0.9 * playAt(Rule::Assumed, 2).onTime);
    EXPECT_EQ(fleet.counts(0).asked, fleet.counts(0).onTime + fleet.counts(0).late + fleet.counts(0).refused) << "nothing hangs";
}

// Load: twice what the service serves, while the owners' hosts are late by some ms, as strong ones are; then by as much as weak ones are.
TEST(PlainFleet, owners_that_are_late_cost_what_they_gain)
{
    const auto play = [](Milliseconds lateness) {
        PlainFleet fleet(Rule::Owners, hosts, replicas);
        for (int i = 0; i < replicas; ++i) {
            fleet.delayOwner(static_cast<std::size_t>(i), lateness);
        }
        fleet.play({}, capacity * 2, begin, end);
        fleet.runUntil(end + Milliseconds(3'000));
        return fleet.counts(0).onTime;
    };
    const int own = playAt(Rule::Assumed, 2).onTime;
    EXPECT_GE(play(Milliseconds(10)), 0.88 * capacity * 10);
    EXPECT_LE(play(Milliseconds(30)), own) << "so owners are chosen among the strongest hosts (ScarceGate::needsStrongOwner)";
    EXPECT_GE(play(Milliseconds(80)), 0.85 * own);
}

} // namespace
} // namespace baobabstall::serving
