// The count of requests at one brittle upstream, and all hosts of a deployment in front of a service whose upstreams are brittle, on virtual
// time: real limits and rooms; upstreams, answers, calls, load reports and faults are simulated.
#include <serving/sendroom.h>

#include <algorithm>
#include <array>
#include <deque>
#include <functional>
#include <memory>
#include <random>
#include <set>

#include <gtest/gtest.h>

#include <serving/upstreamlimits.h>

#include "virtualtime.h"

namespace baobabstall::serving {
namespace {

SendRoom settledRoom(const SendRoom::Bounds &bounds)
{
    SendRoom room(Instant(0));
    room.setBounds(bounds, Instant(1'000));
    return room;
}

std::vector<SendHoldId> fill(SendRoom &room, int count, Instant now)
{
    for (int i = 0; i < count; ++i) {
        (void)room.request(0, now + Milliseconds(8'000), now);
    }
    return room.start(now);
}

TEST(SendRoom, no_more_requests_are_at_the_upstream_than_it_runs_at_once)
{
    auto room = settledRoom({.slots = 4, .maxRefusals = 3, .reported = 0});
    const auto started = fill(room, 10, Instant(1'000));
    EXPECT_EQ(started.size(), 4U);
    EXPECT_GT(room.expectedWait(), Milliseconds(0));
    room.end(started[1], Instant(1'100));
    EXPECT_EQ(room.start(Instant(1'100)).size(), 1U) << "the first that waits follows";
}

// Guards against places for requests that hosts sent before they knew that the upstream is brittle (issue 32, LIMIT).
TEST(SendRoom, requests_without_a_permit_take_places_as_long_as_hosts_report_them)
{
    auto room = settledRoom({.slots = 8, .maxRefusals = 3, .reported = 20});
    EXPECT_TRUE(fill(room, 10, Instant(1'000)).empty());
    room.setBounds({.slots = 8, .maxRefusals = 3, .reported = 6}, Instant(1'300));
    EXPECT_EQ(room.start(Instant(1'300)).size(), 2U);
    room.setBounds({.slots = 8, .maxRefusals = 3, .reported = 2}, Instant(1'600));
    EXPECT_EQ(room.start(Instant(1'600)).size(), 6U) << "the two that are reported are the two with permits";
}

// Guards against a new owner that sends as many requests as its predecessor already had at the upstream (issue 32, LIMIT).
TEST(SendRoom, an_owner_that_knows_no_load_sends_fewer_requests_than_may_be_refused)
{
    for (const double maxRefusals : {0.0, 1.0, 3.0}) {
        SendRoom room(Instant(900));
        room.setBounds({.slots = 8, .maxRefusals = maxRefusals, .reported = 0}, Instant(1'000)); // reports of all hosts can't have come yet
        EXPECT_EQ(static_cast<double>(fill(room, 10, Instant(1'000)).size()), maxRefusals);
    }
    auto unreported = settledRoom({.slots = 8, .maxRefusals = 2, .reported = std::nullopt});
    EXPECT_EQ(fill(unreported, 10, Instant(1'000)).size(), 2U);
}

// Guards against refusals that each host alone keeps few (issue 32, LIMIT).
TEST(SendRoom, refusals_of_all_hosts_stop_the_upstream_before_it_falls_over)
{
    auto room = settledRoom({.slots = 8, .maxRefusals = 3, .reported = 0});
    auto started = fill(room, 8, Instant(1'000));
    for (const auto id : started) {
        room.end(id, Instant(1'500));
    }
    room.onRefused(Instant(1'500));
    EXPECT_EQ(fill(room, 8, Instant(1'500)).size(), 2U) << "with the one refused no more than three can be refused";
    room.onRefused(Instant(1'550));
    room.onRefused(Instant(1'560));
    EXPECT_TRUE(room.start(Instant(2'400)).empty());
    EXPECT_FALSE(room.start(Instant(1'560) + SendRoom::refusalWindow).empty());
}

TEST(SendRoom, an_upstream_that_allows_no_refusal_gets_nothing_for_a_second_after_one)
{
    auto room = settledRoom({.slots = 8, .maxRefusals = 0, .reported = 0});
    const auto started = fill(room, 3, Instant(1'000));
    ASSERT_EQ(started.size(), 3U);
    room.onRefused(Instant(1'010));
    for (const auto id : started) {
        room.end(id, Instant(1'020));
    }
    EXPECT_TRUE(fill(room, 1, Instant(1'900)).empty());
    EXPECT_EQ(room.start(Instant(1'010) + SendRoom::refusalWindow).size(), 1U);
}

TEST(SendRoom, a_refusal_lowers_the_bound_to_what_ran_and_time_raises_it_again)
{
    auto room = settledRoom({.slots = 16, .maxRefusals = 100, .reported = 0});
    const auto started = fill(room, 12, Instant(1'000));
    room.onRefused(Instant(1'050));
    room.end(started.back(), Instant(1'050));
    EXPECT_TRUE(fill(room, 16, Instant(1'100)).empty()) << "eleven run, and it had no room for a twelfth";
    EXPECT_EQ(room.start(Instant(1'050) + SendRoom::raiseInterval).size(), 2U);
    EXPECT_EQ(room.start(Instant(1'050) + SendRoom::raiseInterval + SendRoom::raiseInterval).size(), 2U);
}

TEST(SendRoom, prompts_share_the_memory_of_the_upstream)
{
    auto room = settledRoom({.slots = 8, .memoryTokens = 1'000, .maxRefusals = 3, .reported = 0});
    const auto first = room.request(600, Instant(9'000), Instant(1'000));
    const auto second = room.request(600, Instant(9'000), Instant(1'000));
    EXPECT_EQ(room.start(Instant(1'000)), std::vector{first});
    room.end(first, Instant(1'500));
    EXPECT_EQ(room.start(Instant(1'500)), std::vector{second});
}

// Guards against places of requests that may still be at the upstream when their host can't be reached (issue 32, LIMIT).
TEST(SendRoom, a_lost_host_keeps_its_places_until_the_time_of_its_requests_is_over)
{
    auto room = settledRoom({.slots = 1, .maxRefusals = 3, .reported = 0});
    const auto lost = room.request(0, Instant(3'000), Instant(1'000));
    EXPECT_EQ(room.start(Instant(1'000)).size(), 1U);
    room.lose(lost);
    room.end(lost, Instant(1'200));
    const auto next = room.request(0, Instant(9'000), Instant(1'300));
    EXPECT_TRUE(room.start(Instant(2'999)).empty());
    EXPECT_EQ(room.start(Instant(3'000)), std::vector{next});
}

// ---- All hosts in front of one service ----

struct FleetOptions {
    int hosts = 8;
    int replicas = 18;
    int slots = 8;
    int waiting = 24; // that an upstream lets wait while it isn't brittle
    double maxRefusals = 4;
    int shortestMs = 100; // of a request at an upstream
    int longestMs = 1'200;
    double load = 0.7;         // of what all upstreams can run
    bool answersAtEnd = false; // as plain services do; else the head of a stream comes at once
    bool withPermits = true;
    bool withFaults = true;
    int seed = 1;
};

class BrittleFleet : public tests::VirtualTime
{
public:
    static constexpr Instant brittleFrom{6'000};
    static constexpr Milliseconds contact{3'000};
    static constexpr Instant brittleUntil{26'000};
    static constexpr Instant burstFrom{14'000}; // five times the load for four seconds
    static constexpr Instant burstUntil{18'000};

    explicit BrittleFleet(const FleetOptions &options)
        : options_(options)
        , random_(static_cast<std::uint64_t>(options.seed))
        , hosts_(static_cast<std::size_t>(options.hosts))
        , replicas_(static_cast<std::size_t>(options.replicas))
    {
        for (std::size_t i = 0; i < replicas_.size(); ++i) {
            replicas_[i].id = UpstreamId("i-" + std::to_string(i));
            replicas_[i].owner = i % hosts_.size();
            replicas_[i].room = std::make_unique<SendRoom>(Instant(0));
        }
        scheduleArrival();
        every(Milliseconds(50), [this] { sampleLoads(); });
        every(Milliseconds(100), [this] { tickOwners(); });
        if (options_.withFaults) {
            scheduleFaults();
        }
    }

    void play() { runUntil(Instant(30'000)); }
    [[nodiscard]] int falls() const { return falls_; } // that count: most of what was refused came from hosts in touch
    [[nodiscard]] int allowedFalls() const { return 2 + options_.replicas / 10; }
    [[nodiscard]] int served() const { return served_; } // while the upstreams were brittle, without the burst
    [[nodiscard]] int asked() const { return asked_; }

private:
    struct Host {
        UpstreamLimits limits;
        int incarnation = 0;
        Instant upAt;
        std::vector<int> running;
    };
    struct Replica {
        UpstreamId id;
        std::size_t owner = 0;
        bool isOwned = true;
        std::unique_ptr<SendRoom> room;
        std::map<SendHoldId, std::function<void()>> waiting; // called with the place
        std::optional<double> known;                         // refusals, by what the owner was told
        Instant knownAt;
        Instant toldAt;
        int running = 0;
        std::deque<std::function<void()>> queue;
        std::deque<std::pair<Instant, bool>> refusals; // of a host that is in touch
        int run = 0;                                   // counts starts
        bool isUp = true;
        int reported = 0; // requests that hosts have there, now
        std::deque<int> samples;
    };
    struct Request {
        std::size_t host = 0;
        int incarnation = 0;
        int tries = 0;
        int asked = 0;
        std::set<std::size_t> excluded;
        Instant end;
        bool counts = false;
    };
    using RequestPtr = std::shared_ptr<Request>;
    struct Place {
        SendRoom *room = nullptr; // of the owner that gave it
        SendHoldId id;
    };

    int draw(int from, int to) { return std::uniform_int_distribution<int>(from, to)(random_); }
    void every(Milliseconds interval, const std::function<void()> &action)
    {
        at(now() + interval, [this, interval, action] {
            action();
            every(interval, action);
        });
    }
    void later(int from, int to, std::function<void()> action) { at(now() + Milliseconds(draw(from, to)), std::move(action)); }
    [[nodiscard]] bool isBrittle() const { return now() >= brittleFrom && now() < brittleUntil; }
    [[nodiscard]] std::optional<double> named() const { return isBrittle() ? std::optional(options_.maxRefusals) : std::nullopt; }
    [[nodiscard]] bool isAlive(const Request &request) const
    {
        const auto &host = hosts_[request.host];
        return host.incarnation == request.incarnation && now() >= host.upAt;
    }

    void scheduleArrival()
    {
        const double meanMs = (options_.shortestMs + options_.longestMs) / 2.0;
        const bool isBurst = now() >= burstFrom && now() < burstUntil;
        const double perMs = options_.load * (isBurst ? 5 : 1) * options_.replicas * options_.slots / meanMs;
        dueMs_ += std::exponential_distribution<double>(perMs)(random_);
        at(Instant(static_cast<std::int64_t>(dueMs_)), [this, isBurst] {
            auto request = std::make_shared<Request>();
            request->counts = isBrittle() && now() >= brittleFrom + contact && !isBurst;
            asked_ += request->counts ? 1 : 0;
            enter(request);
            scheduleArrival();
        });
    }

    void enter(const RequestPtr &request)
    {
        do {
            request->host = static_cast<std::size_t>(draw(0, options_.hosts - 1));
        } while (now() < hosts_[request->host].upAt);
        request->incarnation = hosts_[request->host].incarnation;
        request->excluded.clear();
        request->asked = 0;
        request->end = now() + Milliseconds(options_.answersAtEnd ? 2'000 : 8'000);
        choose(request);
    }

    /// The caller returns a few times, sooner than told.
    void refuse(const RequestPtr &request)
    {
        if (++request->tries < 3) {
            later(50, 300, [this, request] { enter(request); });
        }
    }

    void choose(const RequestPtr &request)
    {
        if (!isAlive(*request)) {
            return;
        }
        auto &host = hosts_[request->host];
        std::vector<std::size_t> open;
        for (std::size_t i = 0; i < replicas_.size(); ++i) {
            if (!request->excluded.contains(i) && !host.limits.isBlocked(replicas_[i].id, now())) {
                open.push_back(i);
            }
        }
        if (open.empty()) {
            refuse(request);
            return;
        }
        const auto first = open[static_cast<std::size_t>(draw(0, static_cast<int>(open.size()) - 1))];
        const auto second = open[static_cast<std::size_t>(draw(0, static_cast<int>(open.size()) - 1))];
        host.running.resize(replicas_.size());
        const auto best = host.running[second] < host.running[first] ? second : first;
        std::optional<double> maxRefusals;
        Instant namedAt;
        for (const auto &each : replicas_) {
            if (const auto limit = host.limits.find(each.id); limit && limit->maxRefusals) {
                maxRefusals = limit->maxRefusals;
                namedAt = std::max(namedAt, limit->namedAt);
            }
        }
        const bool mayBeUntold = host.upAt != Instant() && now() - host.upAt < Milliseconds(1'500);
        if (!options_.withPermits || (!maxRefusals && !mayBeUntold)) {
            send(request, best, std::nullopt);
            return;
        }
        const bool mayGoElsewhere = ++request->asked < 3 && open.size() > 1;
        later(1, 20, [=, this] { askOwner(request, best, maxRefusals, namedAt, Milliseconds(mayGoElsewhere ? 0 : 400)); });
    }

    void askOwner(const RequestPtr &request, std::size_t index, std::optional<double> maxRefusals, Instant namedAt, Milliseconds maxWait)
    {
        auto &replica = replicas_[index];
        if (!maxRefusals && (!replica.isOwned || !replica.known)) {
            later(1, 20, [=, this] { onPermit(request, index, std::nullopt); });
            return;
        }
        if (!replica.isOwned) {
            later(1, 20, [=, this] { onNoPermit(request, index, Milliseconds(300)); });
            return;
        }
        if (!replica.known) {
            replica.known = maxRefusals;
        }
        replica.knownAt = std::max(replica.knownAt, namedAt);
        updateBounds(replica);
        startWaiting(replica);
        auto &room = *replica.room;
        const auto expected = room.expectedWait();
        const auto id = room.request(0, request->end + maxWait, now());
        const Place place{&room, id};
        replica.waiting[id] = [=, this] { later(1, 20, [=, this] { onPermit(request, index, place); }); };
        startWaiting(replica);
        if (room.isStarted(id)) {
            return;
        }
        const auto giveUp = [=, this, roomOf = replica.room.get()] {
            auto &there = replicas_[index];
            if (there.room.get() == roomOf && there.waiting.erase(id) > 0) {
                there.room->end(id, now());
                later(1, 20, [=, this] { onNoPermit(request, index, expected); });
            }
        };
        if (expected > maxWait) {
            giveUp();
        } else {
            at(now() + maxWait, giveUp);
        }
    }

    void onNoPermit(const RequestPtr &request, std::size_t index, Milliseconds wait)
    {
        if (isAlive(*request)) {
            hosts_[request->host].limits.block(replicas_[index].id, now() + wait);
            request->excluded.insert(index);
            request->asked < 3 ? choose(request) : refuse(request);
        }
    }

    void onPermit(const RequestPtr &request, std::size_t index, std::optional<Place> place)
    {
        if (isAlive(*request)) {
            send(request, index, place);
        } else {
            release(index, place);
        }
    }

    void release(std::size_t index, std::optional<Place> place)
    {
        if (place) {
            later(1, 20, [this, index, place] {
                auto &replica = replicas_[index];
                if (replica.room.get() == place->room) {
                    replica.room->end(place->id, now());
                    startWaiting(replica);
                }
            });
        }
    }

    void send(const RequestPtr &request, std::size_t index, std::optional<Place> place)
    {
        auto &replica = replicas_[index];
        ++replica.reported;
        ++hosts_[request->host].running[index];
        later(1, 10, [this, request, index, place] { arrive(request, index, place); });
    }

    void arrive(const RequestPtr &request, std::size_t index, std::optional<Place> place)
    {
        auto &replica = replicas_[index];
        if (!replica.isUp) {
            finish(request, index, place, false, std::nullopt);
            return;
        }
        if (replica.running < options_.slots) {
            begin(request, index, place);
            return;
        }
        const bool lettingFewWait = isBrittle() && now() >= brittleFrom + contact;
        if (static_cast<int>(replica.queue.size()) < (lettingFewWait ? 0 : options_.waiting)) {
            replica.queue.emplace_back([this, request, index, place] { begin(request, index, place); });
            return;
        }
        const auto &host = hosts_[request->host];
        replica.refusals.emplace_back(now(), isAlive(*request) && (host.upAt == Instant() || now() - host.upAt >= contact));
        while (now() - replica.refusals.front().first >= Milliseconds(1'000)) {
            replica.refusals.pop_front();
        }
        if (lettingFewWait && static_cast<double>(replica.refusals.size()) > options_.maxRefusals) {
            fall(replica);
        }
        if (named()) {
            later(1, 40, [this, index, roomOf = replica.room.get()] {
                if (replicas_[index].room.get() == roomOf && replicas_[index].isOwned) {
                    replicas_[index].room->onRefused(now());
                }
            });
        }
        finish(request, index, place, false, named());
    }

    void begin(const RequestPtr &request, std::size_t index, std::optional<Place> place)
    {
        auto &replica = replicas_[index];
        ++replica.running;
        if (!options_.answersAtEnd) {
            answer(request, index, named());
        }
        at(now() + Milliseconds(draw(options_.shortestMs, options_.longestMs)), [this, request, index, place, run = replica.run] {
            auto &there = replicas_[index];
            const bool isSameRun = there.run == run;
            finish(request, index, place, isSameRun, isSameRun ? named() : std::nullopt);
            if (!isSameRun) {
                return;
            }
            --there.running;
            if (!there.queue.empty()) {
                const auto next = std::move(there.queue.front());
                there.queue.pop_front();
                next();
            }
        });
    }

    void answer(const RequestPtr &request, std::size_t index, std::optional<double> refusals)
    {
        later(1, 10, [this, request, index, refusals] {
            if (isAlive(*request)) {
                (void)hosts_[request->host].limits.onAnswer(replicas_[index].id, std::nullopt, now(), refusals);
            }
        });
    }

    void finish(const RequestPtr &request, std::size_t index, std::optional<Place> place, bool isServed, std::optional<double> refusals)
    {
        answer(request, index, refusals);
        --replicas_[index].reported;
        served_ += isServed && request->counts ? 1 : 0;
        if (isAlive(*request)) {
            --hosts_[request->host].running[index];
            release(index, place);
            if (!isServed) {
                refuse(request);
            }
        } else if (place && replicas_[index].room.get() == place->room) {
            place->room->lose(place->id);
        }
    }

    void fall(Replica &replica)
    {
        const auto inTouch = std::count_if(replica.refusals.begin(), replica.refusals.end(), [](const auto &each) { return each.second; });
        falls_ += 2 * inTouch > static_cast<std::ptrdiff_t>(replica.refusals.size()) ? 1 : 0;
        ++replica.run;
        replica.isUp = false;
        replica.running = 0;
        replica.queue.clear();
        replica.refusals.clear();
        later(2'000, 4'000, [&replica] { replica.isUp = true; });
    }

    void updateBounds(Replica &replica)
    {
        const bool isReported = replica.samples.size() >= 6; // 300 ms old
        replica.room->setBounds(
            {.slots = options_.slots, .maxRefusals = replica.known.value_or(0), .reported = isReported ? std::optional(replica.samples.front()) : std::nullopt},
            now());
    }

    void startWaiting(Replica &replica)
    {
        for (const auto id : replica.room->start(now())) {
            const auto found = replica.waiting.find(id);
            const auto action = std::move(found->second);
            replica.waiting.erase(found);
            action();
        }
    }

    void sampleLoads()
    {
        for (auto &replica : replicas_) {
            replica.samples.push_back(replica.reported);
            if (replica.samples.size() > 6) {
                replica.samples.pop_front();
            }
        }
    }

    void tickOwners()
    {
        for (auto &replica : replicas_) {
            if (!replica.isOwned || !replica.known) {
                continue;
            }
            updateBounds(replica);
            startWaiting(replica);
            if (replica.toldAt == Instant() || now() - replica.toldAt >= Milliseconds(1'000)) {
                replica.toldAt = now();
                for (auto &host : hosts_) {
                    later(1, 20, [this, &host, &replica, refusals = *replica.known, namedAt = replica.knownAt] {
                        if (now() >= host.upAt) {
                            (void)host.limits.onNotice(replica.id, refusals, namedAt);
                        }
                    });
                }
            }
        }
    }

    /// The host is killed and starts again at once; others own its upstreams after a second or two.
    void restart(std::size_t index)
    {
        auto &host = hosts_[index];
        ++host.incarnation;
        host.limits = UpstreamLimits();
        host.running.clear();
        host.upAt = now() + Milliseconds(700);
        for (auto &replica : replicas_) { // owners tell a host that they have just seen
            at(host.upAt + Milliseconds(draw(1, 300)), [&replica] { replica.toldAt = Instant(); });
        }
        for (auto &replica : replicas_) {
            if (replica.owner != index) {
                continue;
            }
            replica.isOwned = false;
            replica.waiting.clear();
            retired_.push_back(std::move(replica.room));
            replica.room = std::make_unique<SendRoom>(now());
            later(1'000, 2'000, [this, &replica] {
                replica.owner = static_cast<std::size_t>(draw(0, options_.hosts - 1));
                replica.isOwned = true;
                replica.known.reset();
                replica.toldAt = Instant();
                retired_.push_back(std::move(replica.room));
                replica.room = std::make_unique<SendRoom>(now());
            });
        }
    }

    void scheduleFaults()
    {
        for (int fault = 0; fault < 6; ++fault) {
            at(Instant(draw(5'000, 25'000)), [this] { restart(static_cast<std::size_t>(draw(0, options_.hosts - 1))); });
        }
    }

    FleetOptions options_;
    std::mt19937_64 random_;
    std::vector<Host> hosts_;
    std::vector<Replica> replicas_;
    std::vector<std::unique_ptr<SendRoom>> retired_; // so that no address is used twice
    double dueMs_ = 0;
    int falls_ = 0;
    int served_ = 0;
    int asked_ = 0;
};

class BrittleFleetTest : public ::testing::TestWithParam<int>
{
protected:
    static FleetOptions options(int seed)
    {
        FleetOptions options;
        options.hosts = GetParam();
        options.seed = seed;
        options.replicas = 12 + seed % 3 * 12;
        options.maxRefusals = std::array{4.0, 2.0, 8.0, 1.0}[static_cast<std::size_t>(seed % 4)];
        if (seed % 2 == 1) { // a plain service
            options.slots = 6;
            options.replicas = 4 + seed % 3 * 4;
            options.shortestMs = 20;
            options.longestMs = 140;
            options.answersAtEnd = true;
        }
        return options;
    }
};

// Guards against upstreams that fall over because all hosts together send more than they let wait (issue 32, LIMIT).
TEST_P(BrittleFleetTest, few_upstreams_fall_over_with_a_burst_hosts_that_start_and_owners_that_are_lost)
{
    int worst = 0;
    int asked = 0;
    int served = 0;
    for (int seed = 1; seed <= 40; ++seed) {
        BrittleFleet fleet(options(seed));
        fleet.play();
        EXPECT_LE(fleet.falls(), fleet.allowedFalls()) << "seed " << seed;
        worst = std::max(worst, fleet.falls() - fleet.allowedFalls());
        asked += fleet.asked();
        served += fleet.served();
    }
    RecordProperty("served_percent", static_cast<int>(100.0 * served / asked));
    std::printf("%d hosts: served %.1f%%, worst %d above the allowed falls\n", GetParam(), 100.0 * served / asked, worst);
    EXPECT_GE(served, asked * 0.85) << "what the upstreams can run is sent to them";
}

// The same without permits: a bound that nothing breaks would prove nothing.
TEST_P(BrittleFleetTest, without_permits_most_upstreams_fall_over)
{
    int broken = 0;
    for (int seed = 1; seed <= 10; ++seed) {
        auto unpermitted = options(seed);
        unpermitted.withPermits = false;
        BrittleFleet fleet(unpermitted);
        fleet.play();
        broken += fleet.falls() > fleet.allowedFalls() ? 1 : 0;
    }
    EXPECT_GE(broken, 9);
}

INSTANTIATE_TEST_SUITE_P(Hosts, BrittleFleetTest, ::testing::Values(8, 87, 195));

} // namespace
} // namespace baobabstall::serving
