#include <deque>
#include <functional>
#include <memory>
#include <random>
#include <set>

#include <gtest/gtest.h>

#include <core/clock.h>
#include <ownership/planner.h>

using namespace baobabstall::ownership;
using baobabstall::core::FakeClock;
using baobabstall::core::UpstreamId;
using baobabstall::peers::Listing;
using baobabstall::peers::Member;
using baobabstall::peers::MemberState;
namespace settings = baobabstall::settings;

namespace {

constexpr Milliseconds step{100};
constexpr Milliseconds retention{86'400'000};

/// The log as the planner's caller sees it.
struct Log {
    std::vector<std::pair<std::int64_t, ClaimRecord>> records;
    bool down = false;
};

enum class AppendEnd { Taken, Refused, Lost, LostButTaken };

/// One daemon's loop around its planner.
struct Daemon {
    Daemon(const std::string &host, const std::string &zone, std::uint64_t incarnation, const settings::Ownership &options)
        : self{HostId(host), ZoneId(zone), Incarnation(incarnation)}
        , planner(self, options, retention)
    { }

    void read(const Log &log)
    {
        if (log.down) {
            planner.onLogDown();
            return;
        }
        std::vector<StreamRecord> news;
        for (auto at = planner.lastReadOffset().value(); at < log.records.size(); ++at) {
            news.push_back({Offset(at + 1), log.records[at].first, log.records[at].second});
        }
        planner.onRecords(Offset(1), Offset(log.records.size() + 1), news);
    }

    void act(Log &log, Instant now)
    {
        auto plan = planner.tick(now);
        for (const auto &record : plan.appends) {
            ++appends;
            append(log, record, now);
        }
        for (const auto &list : {plan.handovers, plan.lost}) {
            for (const auto &holding : list) {
                planner.onDrained(holding);
            }
        }
        handovers += plan.handovers.size();
        lost += plan.lost.size();
        gained += plan.gained.size();
    }

    void append(Log &log, const ClaimRecord &record, Instant now)
    {
        auto end = log.down ? AppendEnd::Refused : nextEnd();
        if (end == AppendEnd::Taken || end == AppendEnd::LostButTaken) {
            log.records.emplace_back(now.sinceOrigin(), record);
        }
        if (end == AppendEnd::Taken) {
            planner.onAppended(record.id);
        } else if (end == AppendEnd::Refused) {
            planner.onAppendRefused(record.id);
        } else {
            planner.onAppendUnknown(record.id);
        }
    }

    OwnershipPlanner::Self self;
    OwnershipPlanner planner;
    std::function<AppendEnd()> nextEnd = [] { return AppendEnd::Taken; };
    bool frozen = false;
    std::size_t appends = 0;
    std::size_t handovers = 0;
    std::size_t lost = 0;
    std::size_t gained = 0;
};

struct Region : testing::Test {
    Daemon &start(const std::string &host, const std::string &zone, std::uint64_t incarnation = 1)
    {
        daemons.erase(host);
        auto &daemon = *daemons.emplace(host, std::make_unique<Daemon>(host, zone, incarnation, options)).first->second;
        members[HostId(host)] = {HostId(host), ZoneId(zone), Incarnation(incarnation), 0, MemberState::Alive, Listing::Listed};
        daemon.planner.setResources(things);
        tell();
        return daemon;
    }

    void startAll(int hosts, int zones, int engines)
    {
        for (int at = 0; at < engines; ++at) {
            things.push_back({engineResource(UpstreamId("e" + std::to_string(at))), ZoneId("z" + std::to_string(at % zones))});
        }
        things.push_back({loadBudgetResource(), ZoneId()});
        for (int at = 0; at < hosts; ++at) {
            start("h" + std::to_string(at), "z" + std::to_string(at % zones));
        }
        run(Milliseconds(10'000));
    }

    void kill(const std::string &host)
    {
        daemons.erase(host);
        setState(host, MemberState::Dead);
    }

    void setState(const std::string &host, MemberState state)
    {
        members[HostId(host)].state = state;
        tell();
    }

    void tell()
    {
        std::vector<Member> all;
        for (const auto &[host, member] : members) {
            all.push_back(member);
        }
        for (auto &[host, daemon] : daemons) {
            daemon->planner.setMembers(all);
        }
    }

    void run(Milliseconds length)
    {
        for (auto end = clock.now() + length; clock.now() < end; clock.advance(step)) {
            for (auto &[host, daemon] : daemons) {
                if (!daemon->frozen) {
                    daemon->read(log);
                    daemon->act(log, clock.now());
                }
            }
            expectOneActor();
        }
    }

    /// Never two daemons on one epoch; and among daemons that run and can read the log, never two on one thing.
    void expectOneActor()
    {
        for (const auto &placed : things) {
            std::set<Epoch> epochs;
            int running = 0;
            for (auto &[host, daemon] : daemons) {
                auto owner = daemon->planner.ownerOf(placed.resource);
                bool acts = owner && daemon->planner.mayAct(placed.resource, owner->epoch, clock.now());
                ASSERT_TRUE(!acts || epochs.insert(owner->epoch).second) << placed.resource.value();
                running += acts && !daemon->frozen && !log.down ? 1 : 0;
            }
            ASSERT_LE(running, 1) << placed.resource.value();
        }
    }

    /// How many things are owned by a daemon that runs, and acts on them.
    std::size_t served()
    {
        std::size_t count = 0;
        for (auto &[host, daemon] : daemons) {
            for (const auto &holding : daemon->planner.holdings()) {
                count += daemon->planner.mayAct(holding.resource, holding.epoch, clock.now()) ? 1 : 0;
            }
        }
        return count;
    }

    std::map<Resource, Owner> owners()
    {
        std::map<Resource, Owner> all;
        for (const auto &placed : things) {
            auto owner = daemons.begin()->second->planner.ownerOf(placed.resource);
            all[placed.resource] = owner.value_or(Owner{});
        }
        return all;
    }

    Resource ownedBy(const std::string &host) { return daemons.at(host)->planner.holdings().at(0).resource; }

    FakeClock clock;
    Log log;
    settings::Ownership options; // of daemons started from now on
    std::vector<PlacedResource> things;
    std::map<HostId, Member> members;
    std::map<std::string, std::unique_ptr<Daemon>> daemons;
};

using Planner = Region;

} // namespace

TEST_F(Planner, EachThingGetsOneOwnerInItsZone)
{
    startAll(8, 4, 22);
    EXPECT_EQ(served(), things.size());
    EXPECT_EQ(log.records.size(), things.size()) << "one append each";
    for (const auto &placed : things) {
        auto owner = owners()[placed.resource];
        EXPECT_TRUE(placed.zone.empty() || members[owner.host].zone == placed.zone);
    }
}

TEST_F(Planner, ADeadOwnersThingsMoveAndNoOthers)
{
    startAll(8, 4, 22);
    auto before = owners();
    kill("h3");
    run(Milliseconds(3'000));
    auto after = owners();
    for (const auto &[thing, owner] : before) {
        EXPECT_EQ(owner.host != HostId("h3"), after[thing] == owner) << thing.value();
    }
    EXPECT_EQ(served(), things.size());
}

TEST_F(Planner, SuspicionMovesNewWorkButNoOwnership)
{
    startAll(8, 4, 22);
    auto before = owners();
    auto thing = ownedBy("h3");
    setState("h3", MemberState::Suspect);
    EXPECT_FALSE(daemons.at("h0")->planner.isUsable(before[thing]));
    run(Milliseconds(60'000));
    EXPECT_EQ(owners(), before);
    setState("h3", MemberState::Alive);
    EXPECT_TRUE(daemons.at("h0")->planner.isUsable(before[thing]));
}

TEST_F(Planner, ARollingRestartMovesFewThings)
{
    startAll(8, 1, 160);
    auto most = 2 * things.size() / daemons.size(); // twice the fair share of one daemon
    for (std::uint64_t at = 0; at < 8; ++at) {
        auto host = "h" + std::to_string(at);
        auto appendsBefore = log.records.size();
        setState(host, MemberState::Leaving);
        daemons.at(host)->planner.stop();
        run(Milliseconds(2'000));
        EXPECT_TRUE(daemons.at(host)->planner.holdings().empty()) << "handed over before it ends";
        daemons.erase(host);
        run(Milliseconds(2'000));
        EXPECT_EQ(served(), things.size());
        start(host, "z0", 2);
        run(Milliseconds(8'000));
        EXPECT_EQ(served(), things.size());
        EXPECT_LE(log.records.size() - appendsBefore, 4 * most) << "release and claim, away and back";
    }
}

TEST_F(Planner, AHandoverWaitsUntilThePreferredOwnerStaysTheSame)
{
    startAll(4, 1, 40);
    auto before = log.records.size();
    for (int flap = 0; flap < 10; ++flap) {
        start("h9", "z0", 1);
        run(Milliseconds(2'000));
        kill("h9");
        run(Milliseconds(500));
    }
    EXPECT_EQ(log.records.size(), before) << "a daemon that comes and goes within the delay moves nothing";
    start("h9", "z0", 2);
    run(Milliseconds(6'000));
    EXPECT_FALSE(daemons.at("h9")->planner.holdings().empty());
    EXPECT_EQ(served(), things.size());
}

TEST_F(Planner, AnAppendWhoseAnswerIsLostIsReadBackOrTriedAgain)
{
    for (auto end : {AppendEnd::Lost, AppendEnd::LostButTaken}) {
        things.clear();
        daemons.clear();
        log = {};
        startAll(1, 1, 5);
        auto &daemon = start("h0", "z0", 2);
        bool first = true;
        daemon.nextEnd = [&] { return std::exchange(first, false) ? end : AppendEnd::Taken; };
        run(Milliseconds(10'000));
        EXPECT_EQ(served(), things.size());
        EXPECT_EQ(daemon.appends, things.size() + (end == AppendEnd::Lost ? 1 : 0));
    }
}

TEST_F(Planner, AnAppendOfUnknownEndWaitsForTwoReadsBeforeItIsTriedAgain)
{
    startAll(1, 1, 0);
    auto &daemon = start("h0", "z0", 2);
    daemon.nextEnd = [] { return AppendEnd::Lost; };
    while (daemon.appends == 0) {
        run(step);
    }
    auto &planner = daemon.planner;
    EXPECT_TRUE(planner.tick(clock.now()).appends.empty());
    daemon.read(log);
    EXPECT_TRUE(planner.tick(clock.now()).appends.empty()) << "that read may have been in flight before";
    daemon.read(log);
    EXPECT_EQ(planner.tick(clock.now()).appends.size(), 1U);
}

TEST_F(Planner, WhatIsDrainedIsNotActedOnAnyMore)
{
    startAll(2, 1, 10);
    auto &planner = daemons.at("h0")->planner;
    planner.stop();
    auto plan = planner.tick(clock.now());
    ASSERT_FALSE(plan.handovers.empty());
    auto holding = plan.handovers.front();
    EXPECT_TRUE(planner.isDraining(holding.resource));
    EXPECT_TRUE(planner.mayAct(holding.resource, holding.epoch, clock.now())) << "work in flight ends as usual";
    planner.onDrained(holding);
    EXPECT_FALSE(planner.mayAct(holding.resource, holding.epoch, clock.now())) << "before the release is even written";
}

TEST_F(Planner, AFrozenOwnerThatWakesActsOnNothingBeforeItReadsOfItsSuccessor)
{
    startAll(8, 4, 22);
    auto thing = ownedBy("h3");
    auto &sleeper = *daemons.at("h3");
    auto epoch = sleeper.planner.ownerOf(thing)->epoch;
    sleeper.frozen = true;
    setState("h3", MemberState::Dead);
    run(Milliseconds(5'000));
    sleeper.frozen = false;
    EXPECT_FALSE(sleeper.planner.mayAct(thing, epoch, clock.now())) << "before any event";
    sleeper.act(log, clock.now());
    EXPECT_FALSE(sleeper.planner.mayAct(thing, epoch, clock.now())) << "before a read";
    sleeper.planner.onRecords(Offset(1), sleeper.planner.lastReadOffset().next(), {});
    EXPECT_FALSE(sleeper.planner.mayAct(thing, epoch, clock.now())) << "a read that was in flight when it froze";
    setState("h3", MemberState::Alive);
    EXPECT_EQ(daemons.at("h0")->planner.evidence(thing, epoch), Evidence::None) << "a time-out is none";
    run(Milliseconds(1'000));
    EXPECT_GT(sleeper.lost, 0U);
    EXPECT_EQ(daemons.at("h0")->planner.evidence(thing, epoch), Evidence::Released) << "it drained and said so";
}

TEST_F(Planner, EvidenceIsAReleaseANewerRunOrTheHostListAndNeverATimeOut)
{
    startAll(8, 4, 22);
    auto thing = ownedBy("h3");
    auto &judge = daemons.at("h0")->planner;
    auto epoch = judge.ownerOf(thing)->epoch;
    kill("h3");
    run(Milliseconds(3'600'000));
    EXPECT_EQ(judge.evidence(thing, epoch), Evidence::None);
    members[HostId("h3")].listing = Listing::Delisted;
    tell();
    EXPECT_EQ(judge.evidence(thing, epoch), Evidence::HostGone);
    setState("h3", MemberState::Alive);
    EXPECT_EQ(judge.evidence(thing, epoch), Evidence::None) << "it answers, whatever the list says";
    members[HostId("h3")].incarnation = Incarnation(2);
    tell();
    EXPECT_EQ(judge.evidence(thing, epoch), Evidence::NewerIncarnation);
    EXPECT_EQ(judge.evidence(thing, judge.ownerOf(thing)->epoch), Evidence::None) << "the epoch in force";
}

TEST_F(Planner, ADaemonThatNeverSawTheHostTakesAMuchNewerHostListAsEvidence)
{
    startAll(8, 4, 22);
    auto thing = ownedBy("h3");
    auto epoch = daemons.at("h0")->planner.ownerOf(thing)->epoch;
    kill("h3");
    run(Milliseconds(3'000));
    members.erase(HostId("h3"));
    auto &late = start("h9", "z3");
    run(Milliseconds(3'000));
    late.planner.setHostListTime(clock.now().sinceOrigin());
    EXPECT_EQ(late.planner.evidence(thing, epoch), Evidence::None) << "the list may lag";
    late.planner.setHostListTime(clock.now().sinceOrigin() + OwnershipPlanner::hostListLagMs);
    EXPECT_EQ(late.planner.evidence(thing, epoch), Evidence::HostGone);
}

TEST_F(Planner, ALogOutageDuringAnOwnersDeathMovesNothingUntilTheLogIsBack)
{
    startAll(8, 4, 22);
    auto before = owners();
    auto thing = ownedBy("h3");
    auto records = log.records.size();
    log.down = true;
    kill("h3");
    run(Milliseconds(60'000));
    EXPECT_EQ(log.records.size(), records);
    std::size_t own = 0;
    for (const auto &[name, owner] : before) {
        own += owner.host != HostId("h3") ? 1 : 0;
    }
    EXPECT_EQ(served(), own) << "the others stay owners and act";
    log.down = false;
    run(Milliseconds(3'000));
    EXPECT_EQ(served(), things.size());
    EXPECT_NE(owners()[thing].host, HostId("h3"));
}

TEST_F(Planner, NothingIsClaimedBeforeTheStreamIsReadToItsEnd)
{
    startAll(4, 1, 10);
    kill("h2");
    auto &slow = *daemons.at("h1");
    auto next = Offset(log.records.size() + 100); // 99 more records stand that it has not read
    slow.planner.onLogDown();
    for (int round = 0; round < 5; ++round) {
        auto at = slow.planner.lastReadOffset().next();
        slow.planner.onRecords(Offset(1), next, {{at, 0, std::nullopt}});
        EXPECT_TRUE(slow.planner.tick(clock.now()).appends.empty());
    }
    EXPECT_FALSE(slow.planner.isCaughtUp());
}

TEST_F(Planner, ALostZonesThingsAreClaimedAtAPace)
{
    startAll(42, 3, 270);
    auto before = log.records.size();
    for (int at = 0; at < 42; at += 3) {
        kill("h" + std::to_string(at));
    }
    auto zoneThings = things.size() - served();
    EXPECT_GE(zoneThings, 90U);
    run(step);
    EXPECT_LE(log.records.size() - before, 28U * OwnershipPlanner::appendBurst);
    run(Milliseconds(2'000));
    EXPECT_EQ(served(), things.size());
    EXPECT_EQ(log.records.size() - before, zoneThings) << "one append each";
}

TEST_F(Planner, OneDaemonClaimsNoFasterThanItsPace)
{
    startAll(1, 1, 400);
    start("h0", "z0", 2);
    auto before = log.records.size();
    run(Milliseconds(3'000) + step * 2); // the wait after a start
    for (int round = 0; round < 20; ++round) {
        auto most = OwnershipPlanner::appendBurst + OwnershipPlanner::appendsPerSecond * (round + 3) * step.count() / 1'000;
        EXPECT_LE(log.records.size() - before, most);
        run(step);
    }
    run(Milliseconds(5'000));
    EXPECT_EQ(log.records.size() - before, things.size());
}

TEST_F(Planner, ADaemonCutOffFromItsPeersButNotFromTheLogClaimsNothing)
{
    startAll(8, 4, 22);
    auto before = owners();
    auto &cut = daemons.at("h5")->planner;
    std::vector<Member> view;
    for (auto [host, member] : members) {
        member.state = host == HostId("h5") ? MemberState::Alive : MemberState::Dead;
        view.push_back(member);
    }
    cut.setMembers(view);
    run(Milliseconds(30'000));
    EXPECT_EQ(owners(), before);
}

TEST_F(Planner, OfTwoEvenHalvesOnlyTheOneWithTheLowestHostClaims)
{
    startAll(4, 1, 30);
    for (auto &[name, daemon] : daemons) {
        std::vector<Member> view;
        bool low = name < "h2";
        for (auto [host, member] : members) {
            member.state = (host < HostId("h2")) == low ? MemberState::Alive : MemberState::Dead;
            view.push_back(member);
        }
        daemon->planner.setMembers(view);
    }
    run(Milliseconds(10'000));
    EXPECT_EQ(served(), things.size());
    for (const auto &[thing, owner] : owners()) {
        EXPECT_LT(owner.host, HostId("h2"));
    }
}

TEST_F(Planner, AnOwnerThatTheMembershipDoesNotKnowYetIsNotReplaced)
{
    startAll(4, 1, 30);
    auto before = owners();
    members.erase(HostId("h3")); // as a daemon sees it to which the news of h3 has not come
    tell();
    run(Milliseconds(10'000));
    EXPECT_EQ(owners(), before);
    members[HostId("h3")] = {HostId("h3"), ZoneId("z0"), Incarnation(), 0, MemberState::Dead, Listing::Listed};
    tell();
    run(Milliseconds(10'000));
    EXPECT_EQ(owners(), before) << "what is known of an earlier run says nothing of this one";
}

TEST_F(Planner, RegionsThatLoseEachOtherMoveNothing)
{
    startAll(4, 2, 20); // the stream, the host list and the membership hold one region only, so a split of regions is no event here
    auto before = owners();
    auto records = log.records.size();
    run(Milliseconds(3'600'000));
    EXPECT_EQ(owners(), before);
    EXPECT_EQ(log.records.size(), records);
}

TEST_F(Planner, OwnersRefreshBeforeHalfOfTheRetention)
{
    startAll(1, 1, 3);
    auto &daemon = *daemons.at("h0");
    auto before = owners();
    auto claimed = clock.now();
    while (log.records.size() < 2 * things.size() && clock.now() < claimed + retention) {
        clock.advance(Milliseconds(1'000));
        daemon.read(log);
        daemon.act(log, clock.now());
    }
    EXPECT_LT(clock.now() - claimed, retention / 2);
    EXPECT_EQ(owners(), before) << "under the same epochs";
    daemon.read(log);
    daemon.planner.onRecords(Offset(things.size() + 1), daemon.planner.lastReadOffset().next(), {});
    EXPECT_EQ(owners(), before) << "the claims themselves expired";
}

TEST_F(Planner, ARestartedDaemonClaimsWhatItsEarlierRunOwned)
{
    startAll(1, 1, 3);
    auto thing = things[0].resource;
    auto epoch = owners()[thing].epoch;
    auto &daemon = start("h0", "z0", 2);
    run(Milliseconds(5'000));
    EXPECT_EQ(served(), things.size());
    EXPECT_EQ(daemon.planner.evidence(thing, epoch), Evidence::NewerIncarnation);
}

TEST_F(Planner, AnOlderRunOfTheSameHostClaimsNothing)
{
    startAll(2, 1, 10);
    auto &old = *daemons.at("h1");
    members[HostId("h1")].incarnation = Incarnation(2);
    tell();
    auto records = log.records.size();
    kill("h0");
    members[HostId("h1")].state = MemberState::Alive;
    members[HostId("h0")].listing = Listing::Delisted;
    old.planner.setMembers({members[HostId("h0")], members[HostId("h1")]});
    run(Milliseconds(10'000));
    EXPECT_EQ(log.records.size(), records);
}

TEST_F(Planner, AThingThatIsTakenAwayIsToldAsLost)
{
    startAll(1, 1, 3);
    auto &daemon = *daemons.at("h0");
    auto gone = things.front();
    daemon.planner.setResources({things.begin() + 1, things.end()});
    run(step);
    EXPECT_EQ(daemon.lost, 1U);
    EXPECT_EQ(daemon.planner.holdings().size(), things.size() - 1);
}

/// Kills, freezes, restarts, lost answers, false news and log outages in any order: never two actors on one epoch (checked after each
/// step), and everything is served again once the faults end.
TEST_F(Planner, RandomFaultsNeverMakeTwoActorsAndAlwaysHeal)
{
    for (unsigned seed = 1; seed <= 30; ++seed) {
        std::mt19937 random(seed);
        things.clear();
        daemons.clear();
        members.clear();
        log = {};
        startAll(6, 3, 12);
        std::uint64_t incarnation = 1;
        for (int round = 0; round < 60; ++round) {
            auto host = "h" + std::to_string(random() % 6);
            bool runs = daemons.contains(host);
            switch (random() % 7) {
            case 0:
                kill(host);
                break;
            case 1:
                start(host, members[HostId(host)].zone.value(), ++incarnation);
                break;
            case 2:
                log.down = !log.down;
                break;
            case 3:
                setState(host, static_cast<MemberState>(random() % 3));
                break;
            case 4:
                if (runs) {
                    daemons.at(host)->frozen = !daemons.at(host)->frozen;
                }
                break;
            case 5:
                if (runs) {
                    daemons.at(host)->nextEnd = [&random] { return static_cast<AppendEnd>(random() % 4); };
                }
                break;
            default:
                break;
            }
            run(Milliseconds(500 + random() % 3'000));
            ASSERT_FALSE(HasFatalFailure()) << "seed " << seed;
        }
        log.down = false;
        for (int at = 0; at < 6; ++at) {
            auto host = "h" + std::to_string(at);
            if (!daemons.contains(host)) {
                start(host, members[HostId(host)].zone.value(), ++incarnation);
            }
            daemons.at(host)->frozen = false;
            daemons.at(host)->nextEnd = [] { return AppendEnd::Taken; };
            setState(host, MemberState::Alive);
        }
        run(Milliseconds(45'000));
        EXPECT_EQ(served(), things.size()) << "seed " << seed;
        auto verdict = owners();
        ClaimTable late; // a reader that starts now
        for (std::size_t at = 0; at < log.records.size(); ++at) {
            late.apply(Offset(at + 1), log.records[at].second, 0);
        }
        for (const auto &[thing, owner] : verdict) {
            EXPECT_EQ(late.ownerOf(thing), owner) << "seed " << seed;
        }
    }
}

TEST_F(Planner, ASuccessorOnAnotherHostWaitsALeaseBeforeItActs)
{
    options.leaseWait = Milliseconds(3'000);
    startAll(3, 1, 6);
    ASSERT_EQ(served(), things.size()) << "nobody held them before: no wait";
    const auto thing = ownedBy("h0");
    kill("h0");
    std::optional<Instant> claimedAt;
    for (int i = 0; i < 100; ++i) {
        run(step);
        const auto owner = daemons.at("h1")->planner.ownerOf(thing);
        if (owner->host == HostId("h0")) {
            continue;
        }
        claimedAt = claimedAt.value_or(clock.now());
        const auto since = clock.now() - *claimedAt;
        const bool acts = daemons.at(owner->host.value())->planner.mayAct(thing, owner->epoch, clock.now());
        EXPECT_FALSE(acts && since < options.leaseWait - step) << since.count();
        EXPECT_FALSE(!acts && since > options.leaseWait + step) << since.count();
    }
    EXPECT_TRUE(claimedAt);
}

TEST_F(Planner, TheSameHostStartedAgainWaitsForNoLease)
{
    options.leaseWait = Milliseconds(60'000);
    startAll(1, 1, 3);
    start("h0", "z0", 2);
    run(Milliseconds(10'000));
    EXPECT_EQ(served(), things.size());
}

TEST_F(Planner, AMinorityClaimsFromTheDeadOnlyAfterItsDelay)
{
    options.minorityDelay = Milliseconds(10'000);
    startAll(5, 1, 6);
    for (const auto *host : {"h1", "h2", "h3", "h4"}) {
        kill(host);
    }
    run(Milliseconds(9'000));
    EXPECT_LT(served(), things.size());
    run(Milliseconds(5'000));
    EXPECT_EQ(served(), things.size());
}

TEST_F(Planner, TheDelayBeforeTheFirstClaimIsSetApartFromThatOfHandovers)
{
    options.handoverDelay = Milliseconds(600'000);
    options.claimDelay = Milliseconds(1'000);
    startAll(2, 1, 4);
    EXPECT_EQ(served(), things.size());
}

TEST_F(Planner, WithADelayOfItsOwnARestartedHostRenewsItsEarlierClaimsAtOnce)
{
    options.claimDelay = Milliseconds(5'000);
    startAll(3, 1, 9);
    const auto held = daemons.at("h1")->planner.holdings().size();
    ASSERT_GT(held, 0U);
    start("h1", "z0", 2);
    run(Milliseconds(600));
    EXPECT_EQ(daemons.at("h1")->planner.holdings().size(), held);
}

// Pattern: all hosts lose power at once (swellcast-kgn-grown trouble-2: 632 of 678 conditional appends met another host's, so that claims were
// renewed only after 1 s). The claims of a host outlive its process where upstreams check fences and count orders.
TEST_F(Planner, AfterALossOfPowerEachHostGoesOnUnderItsEarlierClaimsWithoutWriting)
{
    options.claimsOf = "host";
    options.claimDelay = Milliseconds(1'000);
    options.leaseWait = Milliseconds(60'000);
    startAll(5, 1, 20);
    const auto before = owners();
    const auto records = log.records.size();
    for (int at = 0; at < 5; ++at) {
        start("h" + std::to_string(at), "z0", 2);
    }
    run(Milliseconds(300));
    EXPECT_EQ(served(), things.size());
    run(Milliseconds(10'000));
    EXPECT_EQ(log.records.size(), records);
    EXPECT_EQ(owners(), before);
}

TEST_F(Planner, AnotherMachineOfTheSameNameTakesNoClaimWithoutALease)
{
    options.claimsOf = "host";
    options.claimDelay = Milliseconds(1'000);
    options.leaseWait = Milliseconds(3'000);
    startAll(2, 1, 6);
    const auto held = daemons.at("h1")->planner.holdings().size();
    ASSERT_GT(held, 0U);
    start("h1", "z0", 2).planner.disownEarlierClaims();
    run(Milliseconds(2'500));
    for (const auto &holding : daemons.at("h1")->planner.holdings()) {
        EXPECT_FALSE(daemons.at("h1")->planner.mayAct(holding.resource, holding.epoch, clock.now())) << "the other machine's last order is not a lease away";
    }
    run(Milliseconds(10'000));
    EXPECT_EQ(served(), things.size());
}

TEST_F(Planner, ARunThatWentOnUnderAnEarlierClaimReleasesItWhenItStops)
{
    options.claimsOf = "host";
    options.claimDelay = Milliseconds(1'000);
    startAll(2, 1, 6);
    start("h1", "z0", 2);
    run(Milliseconds(1'000));
    const auto held = daemons.at("h1")->planner.holdings();
    ASSERT_FALSE(held.empty());
    daemons.at("h1")->planner.stop();
    run(Milliseconds(3'000));
    EXPECT_TRUE(daemons.at("h1")->planner.holdings().empty());
    for (const auto &holding : held) {
        EXPECT_TRUE(daemons.at("h0")->planner.ownerOf(holding.resource)->released) << "others may take it at once";
    }
}

// As RandomFaultsNeverMakeTwoActorsAndAlwaysHeal, with claims of hosts: run() checks at each step that nobody else acts.
TEST_F(Planner, ClaimsOfHostsMoveToOthersOnlyWhenTheHostStaysAway)
{
    options.claimsOf = "host";
    options.claimDelay = Milliseconds(1'000);
    options.leaseWait = Milliseconds(1'000);
    startAll(5, 1, 20);
    std::mt19937 random(7);
    std::uint64_t incarnation = 1;
    for (int round = 0; round < 60; ++round) {
        const auto host = "h" + std::to_string(random() % 5);
        kill(host);
        run(Milliseconds(static_cast<std::int64_t>(random() % 6'000)));
        start(host, "z0", ++incarnation);
        run(Milliseconds(static_cast<std::int64_t>(random() % 3'000)));
    }
    run(Milliseconds(20'000));
    EXPECT_EQ(served(), things.size());
}

// Pattern: all hosts start at once; for a second the membership has heard of few (737 of 1,600 asks in half a second found no owner to ask).
TEST_F(Planner, AnOwnerThatNobodyHasHeardOfYetMayBeAskedWhereClaimsAreOfHosts)
{
    for (const auto *claimsOf : {"run", "host"}) {
        options.claimsOf = claimsOf;
        things.clear();
        members.clear();
        daemons.clear();
        log.records.clear();
        startAll(2, 1, 6);
        const auto owner = *daemons.at("h0")->planner.ownerOf(ownedBy("h1"));
        members[HostId("h1")] = {HostId("h1"), ZoneId("z0"), Incarnation(), 0, MemberState::Suspect, Listing::Listed};
        tell();
        EXPECT_EQ(daemons.at("h0")->planner.isUsable(owner), std::string(claimsOf) == "host");
        setState("h1", MemberState::Dead);
        EXPECT_FALSE(daemons.at("h0")->planner.isUsable(owner));
    }
}

// Pattern: a replica starts anew under its id while orders of before are still under way (applied_late with srv_crash): it forgot the fence, and a late
// order may fit its new count. A higher epoch keeps such orders off.
TEST_F(Planner, ARenewedThingHasAHigherEpochAtOnceAndNoOtherActor)
{
    options.claimsOf = "host";
    options.leaseWait = Milliseconds(60'000);
    startAll(2, 1, 6);
    auto &daemon = *daemons.at("h1");
    const auto held = daemon.planner.holdings();
    ASSERT_FALSE(held.empty());
    daemon.planner.renewEpoch(held.front().resource);
    daemon.nextEnd = [&daemon] {
        daemon.nextEnd = [] { return AppendEnd::Taken; };
        return AppendEnd::Refused; // another host was first
    };
    run(Milliseconds(1'000));
    const auto owner = *daemon.planner.ownerOf(held.front().resource);
    EXPECT_EQ(owner.host, HostId("h1"));
    EXPECT_GT(owner.epoch, held.front().epoch);
    EXPECT_TRUE(daemon.planner.mayAct(held.front().resource, owner.epoch, clock.now()));
    EXPECT_FALSE(daemon.planner.mayAct(held.front().resource, held.front().epoch, clock.now()));
    EXPECT_EQ(daemon.planner.holdings().size(), held.size());
    const auto records = log.records.size();
    run(Milliseconds(5'000));
    EXPECT_LE(log.records.size(), records + 1) << "once, and the former epoch is retired";
}
