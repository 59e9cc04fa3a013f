#include <gtest/gtest.h>

#include "crashspread.h"

namespace baobabstall::serving::tests {
namespace {

// What the users ask of a part that crashes upstreams: few requests with it reach any of them once hosts have been in contact for `contact`
// after the fifth crash, and sound requests with the same first part are served from twice that time on.
constexpr Milliseconds contact{3'000};
constexpr std::size_t countedCrash = 5;
constexpr int maxLateRequests = 3;
constexpr Instant end{30'000};

/// Seeds to play; SEEDS= overrides the default.
std::uint64_t seedCount(std::uint64_t usual)
{
    return std::getenv("SEEDS") ? std::strtoull(std::getenv("SEEDS"), nullptr, 10) : usual;
}

int requestsAfterContact(const CrashSpread &spread)
{
    if (spread.crashes.size() < countedCrash) {
        return 0;
    }
    const auto from = spread.crashes[countedCrash - 1] + contact;
    return static_cast<int>(std::count_if(spread.crashingReached.begin(), spread.crashingReached.end(), [from](Instant each) { return each > from; }));
}

double refusedShare(const CrashSpread &spread, Instant from, Instant to)
{
    int asked = 0;
    int refused = 0;
    for (auto second = from.sinceOrigin() / 1'000; second < to.sinceOrigin() / 1'000; ++second) {
        const auto count = [second](const auto &counts) {
            const auto found = counts.find(second);
            return found == counts.end() ? 0 : found->second;
        };
        asked += count(spread.soundAsked);
        refused += count(spread.soundRefused);
    }
    return asked == 0 ? 1 : static_cast<double>(refused) / asked;
}

// Guards against a part that goes on crashing upstreams because no host counts for all (issue 26, BUDGET), and against blame for the parts
// that sound requests share with it (LOST).
TEST(CrashSpread, a_crashing_part_is_refused_everywhere_in_time_and_sound_parts_are_not)
{
    struct Case {
        int zones;
        int hosts;
        int upstreams;
        int crashingDistanceMs;
    };
    for (const auto &each : {Case{1, 1, 2, 500}, Case{1, 8, 18, 150}, Case{3, 87, 60, 100}, Case{5, 195, 59, 60}, Case{5, 195, 59, 3'000}}) {
        for (std::uint64_t seed = 1; seed <= seedCount(2); ++seed) {
            CrashSpread spread({.zones = each.zones,
                                .hosts = each.hosts,
                                .upstreams = each.upstreams,
                                .crashingDistance = Milliseconds(each.crashingDistanceMs),
                                .seed = seed});
            spread.runUntil(end);
            EXPECT_LE(requestsAfterContact(spread), maxLateRequests) << each.hosts << " hosts, seed " << seed;
            EXPECT_GE(spread.crashes.size(), static_cast<std::size_t>(CrashCounter::minCrashes)) << each.hosts << " hosts, seed " << seed;
            EXPECT_LE(refusedShare(spread, Instant(11'000), end), 0.02) << each.hosts << " hosts, seed " << seed;
        }
    }
}

// The same when the host that counts is lost at any moment.
TEST(CrashSpread, a_crashing_part_is_refused_in_time_when_the_host_that_counts_is_lost)
{
    for (int lostAt = 4'500; lostAt < 9'000; lostAt += 300) {
        CrashSpread spread({.zones = 3, .hosts = 24, .crashingDistance = Milliseconds(400), .seed = static_cast<std::uint64_t>(lostAt)});
        spread.at(Instant(lostAt), [&spread] { spread.kill(spread.counter()); });
        spread.runUntil(end);
        EXPECT_LE(requestsAfterContact(spread), maxLateRequests) << "lost at " << lostAt;
    }
}

// Guards against blame of sound parts for upstreams that crash by chance, many of them at once and again and again.
TEST(CrashSpread, sound_parts_are_not_blamed_for_upstreams_that_crash_by_chance)
{
    for (std::uint64_t seed = 1; seed <= seedCount(4); ++seed) {
        CrashSpread spread({.zones = 3, .hosts = 60, .upstreams = 40, .middleParts = 2'000, .crashingDistance = Milliseconds(0), .seed = seed});
        for (int time = 2'000; time < 25'000; time += spread.draw(100, 1'500)) {
            const int count = spread.draw(1, 10);
            for (int i = 0; i < count; ++i) {
                const auto upstream = static_cast<std::size_t>(spread.draw(0, static_cast<int>(spread.upstreamCount()) - 1));
                spread.at(Instant(time + spread.draw(0, 50)), [&spread, upstream] { spread.crash(upstream); });
            }
        }
        spread.runUntil(end);
        EXPECT_LE(refusedShare(spread, Instant(0), end), 0.01) << "seed " << seed;
    }
}

// ---- Requests (issue 29, BUDGET) ----

// What the users ask of a request that crashes upstreams: at most three tries reach any of them once hosts have been in contact for `contact`
// after the third crash.
constexpr std::size_t countedRequestCrash = 3;
constexpr int maxLateTries = 3;

int triesAfterContact(const CrashSpread &spread, const std::string &key)
{
    const auto crashes = spread.crashesByKey.find(key);
    if (crashes == spread.crashesByKey.end() || crashes->second.size() < countedRequestCrash) {
        return 0;
    }
    const auto from = crashes->second[countedRequestCrash - 1] + contact;
    const auto &reached = spread.reachedByKey.at(key);
    return static_cast<int>(std::count_if(reached.begin(), reached.end(), [from](Instant each) { return each > from; }));
}

constexpr Milliseconds crashTime{110};
const std::string bad = "bad request";

CrashSpread::Options requestOptions(int zones, int hosts, int upstreams, std::uint64_t seed = 1)
{
    return {.zones = zones, .hosts = hosts, .upstreams = upstreams, .crashingDistance = Milliseconds(0), .maxUpstreams = 2, .seed = seed};
}

// Guards against crashes of one try, 110 ms apart at one host, that count once.
TEST(CrashSpread, two_crashes_of_one_try_count_twice_and_a_third_makes_the_request_known)
{
    CrashSpread spread(requestOptions(1, 8, 4));
    spread.at(Instant(5'000), [&] { EXPECT_TRUE(spread.tryCrashing(spread.hostAt(2), bad, crashTime)); });
    spread.runUntil(Instant(6'000));
    EXPECT_EQ(spread.crashes.size(), 2U);
    EXPECT_EQ(spread.watchOf(spread.hostAt(5)).knownCrashes({CrashCause::Kind::Request, bad}), 2);
    spread.at(Instant(7'500), [&] { EXPECT_TRUE(spread.tryCrashing(spread.hostAt(5), bad, crashTime)); });
    spread.runUntil(Instant(9'000));
    EXPECT_EQ(spread.crashes.size(), 3U) << "a request in an earlier crash is not sent on";
    for (int i = 0; i < 8; ++i) {
        EXPECT_FALSE(spread.tryCrashing(spread.hostAt(i), bad, crashTime)) << "host " << i;
    }
}

// Guards against a request that each of several hosts would have to learn of by itself.
TEST(CrashSpread, crashes_at_three_hosts_within_one_second_are_known_to_all_in_time)
{
    struct Case {
        int zones;
        int hosts;
    };
    for (const auto &each : {Case{1, 8}, Case{3, 87}, Case{5, 195}}) {
        auto options = requestOptions(each.zones, each.hosts, 60);
        options.maxUpstreams = 1;
        CrashSpread spread(options);
        for (int i = 0; i < 3; ++i) {
            spread.at(Instant(5'000 + i * 350), [&, i] { spread.tryCrashing(spread.hostAt(i * 2), bad, crashTime); });
        }
        spread.runUntil(Instant(5'700) + crashTime + contact);
        ASSERT_EQ(spread.crashes.size(), 3U);
        for (int i = 0; i < each.hosts; ++i) {
            EXPECT_FALSE(spread.tryCrashing(spread.hostAt(i), bad, crashTime)) << "host " << i << " of " << each.hosts;
        }
    }
}

/// A hundred tries over ten minutes at hosts drawn at random, and `trouble` at moments in between.
void playHundredTries(CrashSpread &spread, const std::function<void(int)> &trouble)
{
    constexpr int tries = 100;
    constexpr int distance = 6'000;
    for (int i = 0; i < tries; ++i) {
        spread.at(Instant(5'000 + i * distance + spread.draw(0, 2'000)), [&spread] {
            auto host = spread.hostAt(spread.draw(0, 1'000));
            for (int j = 0; j < 1'000 && !spread.isRunning(host); ++j) {
                host = spread.hostAt(spread.draw(0, 1'000));
            }
            spread.tryCrashing(host, bad, crashTime);
        });
        spread.at(Instant(8'000 + i * distance), [&trouble, i] { trouble(i); });
    }
    spread.runUntil(Instant(5'000 + (tries + 1) * distance));
}

// Guards against a count that is lost with the hosts that held it.
TEST(CrashSpread, of_hundred_tries_over_ten_minutes_few_reach_upstreams_whatever_happens_to_hosts)
{
    const std::vector<std::pair<std::string, std::function<void(CrashSpread &, int)>>> troubles = {
        {"nothing", [](CrashSpread &, int) {}},
        {"hosts restart one by one", [](CrashSpread &spread, int i) { spread.restart(spread.hostAt(i), Milliseconds(1'000)); }},
        {"all but one restart at once",
         [](CrashSpread &spread, int i) {
             for (int host = 0; host < 8 && i % 4 == 1; ++host) {
                 if (host != (i / 4) % 8) {
                     spread.restart(spread.hostAt(host), Milliseconds(800));
                 }
             }
         }},
        {"the host that counts restarts", [](CrashSpread &spread, int) { spread.restart(spread.counter(), Milliseconds(600)); }},
        {"the host that counts stays away", [](CrashSpread &spread, int) { spread.restart(spread.counter(), Milliseconds(5'000)); }},
        {"the host that counts stands still", [](CrashSpread &spread, int) { spread.freeze(spread.counter(), Milliseconds(3'500)); }},
        {"the host that counts is cut off",
         [](CrashSpread &spread, int i) {
             const auto counter = spread.counter();
             if (i % 3 == 0) {
                 spread.partition([counter](const HostId &host) { return host == counter ? 1 : 0; }, Milliseconds(9'000));
             }
         }},
    };
    for (const auto &[name, trouble] : troubles) {
        for (std::uint64_t seed = 1; seed <= seedCount(3); ++seed) {
            auto options = requestOptions(2, 8, 6, seed);
            options.soundDistance = Milliseconds(50);
            CrashSpread spread(options);
            playHundredTries(spread, [&spread, &play = trouble](int i) { play(spread, i); });
            EXPECT_LE(triesAfterContact(spread, bad), maxLateTries) << name << ", seed " << seed;
            EXPECT_GE(spread.crashes.size(), countedRequestCrash) << name << ", seed " << seed;
        }
    }
}

// Guards against a count on each side of a partition that does not know the other's.
TEST(CrashSpread, hosts_that_are_cut_from_each_other_go_on_from_what_both_sides_knew)
{
    CrashSpread spread(requestOptions(2, 8, 6));
    spread.at(Instant(5'000), [&] { spread.tryCrashing(spread.hostAt(0), bad, crashTime); });
    spread.at(Instant(8'000), [&] { spread.partition([&](const HostId &host) { return host < spread.hostAt(4) ? 0 : 1; }, Milliseconds(60'000)); });
    for (int i = 0; i < 20; ++i) {
        spread.at(Instant(12'000 + i * 1'500), [&, i] { spread.tryCrashing(spread.hostAt(i), bad, crashTime); });
    }
    spread.runUntil(Instant(45'000));
    EXPECT_LE(spread.crashes.size(), 6U) << "two before, one on each side, a probe on each side";
}

// Guards against a crash that hosts see as silence only.
TEST(CrashSpread, a_request_under_which_upstreams_fall_silent_is_known_once_their_records_end)
{
    auto options = requestOptions(1, 8, 8);
    options.maxUpstreams = 1;
    CrashSpread spread(options);
    for (int i = 0; i < 40; ++i) {
        spread.at(Instant(5'000 + i * 2'000), [&, i] { spread.tryCrashing(spread.hostAt(i), bad, crashTime, CrashSpread::Sign::Silence); });
    }
    spread.runUntil(Instant(95'000));
    EXPECT_GE(spread.crashes.size(), 3U);
    EXPECT_LE(spread.crashes.size(), 3U + 2 + CrashCounter::maxProbes) << "two more until the records end, and the probes";
}

// Guards against blame of a slow upstream's requests.
TEST(CrashWatch, a_request_that_a_slow_upstream_did_not_answer_in_time_was_in_no_crash)
{
    CrashWatch watch;
    const auto causes = CrashSpread::causesOf("slow", {});
    for (int i = 0; i < 5; ++i) {
        const Instant now(1'000 + i * 1'000);
        watch.onUnanswered(UpstreamId("u"), causes, now - Milliseconds(300), now);
        watch.onAnswered(UpstreamId("u"), now + Milliseconds(50));
    }
    watch.onLost(UpstreamId("u"), std::nullopt, Instant(7'000));
    EXPECT_TRUE(watch.takeReport(HostId("other"), Instant(7'000)).crashes.empty());
    watch.onUnanswered(UpstreamId("u"), causes, Instant(7'700), Instant(8'000));
    watch.onLost(UpstreamId("u"), std::nullopt, Instant(10'000));
    EXPECT_EQ(watch.takeReport(HostId("other"), Instant(10'000)).crashes.size(), 1U);
}

// Guards against a blamed request that its own host refuses again right after a probe of it ended well, until the host that counts has told so.
TEST(CrashWatch, a_request_that_ended_well_since_its_last_crash_is_not_refused_where_that_was_seen)
{
    CrashWatch watch;
    const auto causes = CrashSpread::causesOf("sound", {});
    const Instant crashedAt(1'000);
    CrashVerdict verdict{.cause = causes.front(),
                         .state = CrashVerdict::State::Blamed,
                         .since = crashedAt,
                         .until = crashedAt + CrashCounter::firstBlameTime,
                         .crashes = 3,
                         .lastCrash = crashedAt,
                         .probesLeft = 1};
    watch.onVerdicts({verdict}, crashedAt);
    EXPECT_TRUE(watch.admit(causes, Instant(15'900)).blockedFor);
    EXPECT_TRUE(watch.admit(causes, Instant(16'000)).needsProbe);
    verdict.probesLeft = 0; // granted
    verdict.until = Instant(76'000);
    watch.onVerdicts({verdict}, Instant(16'050));
    watch.onServed(causes, Instant(16'100));
    const auto admission = watch.admit(causes, Instant(16'180));
    EXPECT_FALSE(admission.blockedFor);
    EXPECT_FALSE(admission.needsProbe);
    verdict.lastCrash = Instant(16'150);
    watch.onVerdicts({verdict}, Instant(16'200));
    EXPECT_TRUE(watch.admit(causes, Instant(16'300)).blockedFor) << "it crashed an upstream since";
}

// Guards against blame of sound requests that are cut beside a crashing one, and are repeated and cut beside it again.
TEST(CrashSpread, sound_requests_beside_a_crashing_one_are_served)
{
    for (std::uint64_t seed = 1; seed <= seedCount(10); ++seed) {
        CrashSpread spread(requestOptions(1, 8, 3, seed));
        constexpr int sound = 20;
        for (int i = 0; i < 10; ++i) {
            spread.at(Instant(5'000 + i * 2'200), [&, i] { spread.tryCrashing(spread.hostAt(i), bad, crashTime); });
            for (int j = 0; j < sound; ++j) {
                spread.at(Instant(5'000 + i * 2'200 + spread.draw(0, 200)), [&, i, j] {
                    const auto key = "sound-" + std::to_string(j);
                    if (spread.servedByKey[key] == 0) {
                        spread.trySound(spread.hostAt(i + j), key, Milliseconds(250));
                    }
                });
            }
        }
        spread.runUntil(Instant(40'000));
        EXPECT_LE(triesAfterContact(spread, bad), maxLateTries) << "seed " << seed;
        for (int j = 0; j < sound; ++j) {
            const auto key = "sound-" + std::to_string(j);
            EXPECT_EQ(spread.servedByKey[key], 1) << key << ", seed " << seed;
            EXPECT_TRUE(spread.trySound(spread.hostAt(j), key, Milliseconds(250))) << key << ", seed " << seed;
        }
    }
}

// Guards against lasting blame of a sound request that is cut in three chance crashes in a row.
TEST(CrashSpread, a_sound_request_in_three_chance_crashes_is_refused_for_fifteen_seconds_at_most)
{
    CrashSpread spread(requestOptions(1, 8, 4));
    for (int i = 0; i < 3; ++i) {
        spread.at(Instant(5'000 + i * 4'000), [&] { spread.trySound(spread.hostAt(0), "sound", Milliseconds(300)); });
        spread.at(Instant(5'100 + i * 4'000), [&] {
            for (std::size_t upstream = 0; upstream < spread.upstreamCount(); ++upstream) {
                spread.crash(upstream);
            }
        });
    }
    const Instant crashedAt(13'100);
    for (int time = 14'000; time < 32'000; time += 500) {
        spread.at(Instant(time), [&, time] { spread.trySound(spread.hostAt(time / 500), "sound", Milliseconds(300)); });
    }
    spread.runUntil(crashedAt + CrashCounter::firstBlameTime);
    EXPECT_EQ(spread.servedByKey["sound"], 0) << "three crashes and no success";
    spread.runUntil(crashedAt + CrashCounter::firstBlameTime + Milliseconds(2'000));
    EXPECT_GE(spread.servedByKey["sound"], 1);
    spread.runUntil(Instant(32'000));
    EXPECT_GE(spread.servedByKey["sound"], 3) << "served to all once the probe ended well";
}

// Guards against one kind of cause that takes the blame of the other.
TEST(CrashSpread, a_request_and_a_part_that_crash_upstreams_are_each_blamed_by_their_own)
{
    auto options = requestOptions(3, 24, 30);
    options.crashingDistance = Milliseconds(700);
    options.maxUpstreams = 1;
    CrashSpread spread(options);
    const std::vector<PromptPart> parts = {PromptPart("first"), PromptPart("middle-1"), PromptPart("only of the request")};
    for (int i = 0; i < 30; ++i) {
        spread.at(Instant(5'000 + i * 800), [&, i] { spread.tryCrashing(spread.hostAt(i), bad, crashTime, CrashSpread::Sign::Reset, parts); });
    }
    spread.runUntil(end);
    EXPECT_LE(triesAfterContact(spread, bad), maxLateTries);
    std::vector<CrashCause> blamed;
    for (const auto &verdict : spread.watchOf(spread.hostAt(7)).verdicts(spread.now())) {
        if (verdict.state == CrashVerdict::State::Blamed) {
            blamed.push_back(verdict.cause);
        }
    }
    const std::vector<CrashCause> expected = {{CrashCause::Kind::Part, "bad"}, {CrashCause::Kind::Request, bad}};
    EXPECT_EQ(blamed, expected);
    EXPECT_LE(refusedShare(spread, Instant(0), end), 0.02);
}

// Guards against a part that is never blamed because each request with it is blamed first: every request comes again until it is refused.
TEST(CrashSpread, a_part_whose_requests_all_come_again_is_blamed_in_time)
{
    CrashSpread spread(requestOptions(1, 8, 18));
    constexpr int requests = 12;
    for (int i = 0; i < requests; ++i) {
        for (int j = 0; j < 4; ++j) {
            spread.at(Instant(5'000 + i * 3'000 + j * 400), [&, i, j] {
                spread.tryCrashing(spread.hostAt(i + j),
                                   "request " + std::to_string(i),
                                   Milliseconds(60),
                                   CrashSpread::Sign::Reset,
                                   {PromptPart("first"), PromptPart("rare")});
            });
        }
    }
    spread.runUntil(Instant(5'000 + requests * 3'000));
    EXPECT_LE(requestsAfterContact(spread), maxLateRequests);
}

// Guards against blame of any of very many requests near chance crashes, and against state and messages that grow with them.
TEST(CrashSpread, ten_thousand_requests_near_chance_crashes_cost_bounded_state_and_no_blame)
{
    auto options = requestOptions(2, 16, 10);
    options.soundDistance = Milliseconds(0);
    CrashSpread spread(options);
    constexpr int requests = 10'000;
    for (int i = 0; i < requests; ++i) {
        spread.at(Instant(1'000 + i * 3), [&, i] { spread.trySound(spread.hostAt(i), "sound-" + std::to_string(i), Milliseconds(200)); });
    }
    for (int time = 1'500; time < 1'000 + requests * 3; time += 300) {
        spread.at(Instant(time), [&] { spread.crash(static_cast<std::size_t>(spread.draw(0, 9))); });
    }
    spread.runUntil(Instant(1'000 + requests * 3));
    EXPECT_LE(spread.largestMessage, CrashCounter::maxBlamed + CrashCounter::maxSuspects + CrashCounter::maxCleared);
    for (int i = 0; i < 16; ++i) {
        EXPECT_LE(spread.watchOf(spread.hostAt(i)).verdicts(spread.now()).size(), CrashWatch::maxHeld);
        EXPECT_EQ(spread.watchOf(spread.hostAt(i)).blamed(CrashCause::Kind::Request), 0U);
    }
}

// Pattern: a cause is blamed, and is sound after that.
TEST(CrashCounter, blame_ends_with_a_probe_that_ends_well_and_probes_are_few)
{
    for (const auto kind : {CrashCause::Kind::Part, CrashCause::Kind::Request}) {
        CrashCounter counter;
        const CrashCause cause{kind, "bad"};
        Instant now(1'000);
        const auto crash = [&](int upstream) { counter.onCrash({UpstreamId("u" + std::to_string(upstream)), now, {{cause, now - Milliseconds(100)}}}, now); };
        const auto blamed = [&]() -> std::optional<CrashVerdict> {
            for (const auto &verdict : counter.tick(now)) {
                if (verdict.state == CrashVerdict::State::Blamed) {
                    return verdict;
                }
            }
            return std::nullopt;
        };
        for (int i = 0; i < CrashCounter::minCrashes; ++i, now = now + Milliseconds(500)) {
            crash(i);
            EXPECT_EQ(blamed().has_value(), i + 1 == CrashCounter::minCrashes) << i;
        }
        EXPECT_FALSE(counter.takeProbe({cause}, now)) << "too early";
        for (int probe = 0; probe < CrashCounter::maxProbes; ++probe) {
            now = blamed()->until + Milliseconds(1);
            EXPECT_TRUE(counter.takeProbe({cause}, now));
            EXPECT_FALSE(counter.takeProbe({cause}, now)) << "one request only";
            now = now + Milliseconds(200);
            crash(10 + probe);
        }
        ASSERT_TRUE(blamed());
        now = blamed()->until + Milliseconds(1);
        EXPECT_FALSE(counter.takeProbe({cause}, now)) << "no probe is left";
        counter.onServed(cause, now, now);
        EXPECT_FALSE(blamed());
    }
}

// Guards against a verdict that is forgotten, or gets its probes anew, when a host starts to count that does not know it.
TEST(CrashCounter, takes_over_what_hosts_hold)
{
    CrashCounter counter;
    const CrashCause cause{CrashCause::Kind::Request, "bad"};
    const Instant now(100'000);
    const CrashVerdict suspect{.cause = cause, .since = now - Milliseconds(60'000), .crashes = 2, .lastCrash = now - Milliseconds(30'000)};
    counter.adopt({suspect}, now);
    static_cast<void>(counter.tick(now));
    counter.onCrash({UpstreamId("u"), now + Milliseconds(400), {{cause, now + Milliseconds(300)}}}, now + Milliseconds(400));
    const auto verdicts = counter.tick(now + Milliseconds(400));
    ASSERT_EQ(verdicts.size(), 1U);
    EXPECT_EQ(verdicts[0].state, CrashVerdict::State::Blamed);
    auto spent = verdicts[0];
    spent.probesLeft = 0;
    counter.adopt({spent}, now + Milliseconds(500));
    EXPECT_FALSE(counter.takeProbe({cause}, spent.until + Milliseconds(1)));
}

// Guards against state that grows with what callers send.
TEST(CrashCounter, state_is_bounded_and_ends)
{
    CrashCounter counter;
    CrashWatch watch;
    Instant now(1'000);
    for (int i = 0; i < 600; ++i, now = now + Milliseconds(70)) {
        constexpr int causesPerRequest = 20;
        std::vector<CrashCause> causes;
        CrashSighting sighting{UpstreamId("u" + std::to_string(i)), now, {}};
        for (int j = 0; j < causesPerRequest; ++j) {
            causes.push_back({j == 0 ? CrashCause::Kind::Request : CrashCause::Kind::Part, std::to_string(i % 300) + "-" + std::to_string(j)});
            sighting.cuts.push_back({causes.back(), now});
        }
        counter.onCrash(sighting, now);
        watch.onCut(sighting.upstream, causes, now, now);
        watch.onUnanswered(sighting.upstream, causes, now, now);
        watch.onServed(causes, now);
        const auto verdicts = counter.tick(now);
        EXPECT_LE(verdicts.size(), CrashCounter::maxBlamed + CrashCounter::maxSuspects + CrashCounter::maxCleared);
        watch.onVerdicts(verdicts, now);
        EXPECT_LE(watch.verdicts(now).size(), CrashWatch::maxHeld);
        const auto report = watch.takeReport(HostId("host-2"), now);
        EXPECT_LE(report.crashes.size(), CrashWatch::maxSightings);
        EXPECT_LE(report.held.size(), CrashWatch::maxHeldPerReport);
    }
    now = now + CrashCounter::forgetAfter + CrashCounter::requestCrashLifetime;
    static_cast<void>(counter.tick(now));
    now = now + CrashCounter::clearedLifetime;
    EXPECT_TRUE(counter.tick(now).empty());
    EXPECT_TRUE(watch.verdicts(now).empty());
}

} // namespace
} // namespace baobabstall::serving::tests
