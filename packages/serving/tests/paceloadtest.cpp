// Hosts that send a load to replicas of different pace, on virtual time.
#include <algorithm>
#include <cmath>
#include <random>
#include <set>

#include <gtest/gtest.h>

#include <core/hash.h>
#include <serving/chooser.h>
#include <serving/paces.h>

#include "virtualtime.h"

namespace baobabstall::serving {
namespace {

const ServiceName service("models");

struct Load {
    int replicas = 12;
    int slots = 12;
    int hosts = 6;
    double perSecond = 110;
    int seconds = 40;
    unsigned seed = 1;
    bool usesPaces = true;
    std::function<double(int, Instant)> paceOf = [](int, Instant) { return 1.0; };
    int stalledReplica = -1; // stands still for 600 ms every 5 s
};

struct Outcome {
    std::vector<int> started;        // first events of each replica
    std::vector<double> firstEvents; // ms, of the requests that began after the first 10 s
    int unanswered = 0;              // sends that were given up

    [[nodiscard]] double quantile(double share)
    {
        std::sort(firstEvents.begin(), firstEvents.end());
        return firstEvents.at(static_cast<std::size_t>(share * static_cast<double>(firstEvents.size() - 1)));
    }
    [[nodiscard]] int late() const
    {
        return static_cast<int>(std::count_if(firstEvents.begin(), firstEvents.end(), [](double ms) { return ms > 500; }));
    }
};

class PaceLoad
{
public:
    explicit PaceLoad(Load load)
        : load_(std::move(load))
        , slots_(load_.replicas, std::vector<double>(load_.slots, 0))
        , hosts_(load_.hosts)
    {
        outcome.started.assign(load_.replicas, 0);
        for (int i = 0; i < load_.replicas; ++i) {
            ReplicaRecord record;
            record.id = UpstreamId("models-" + std::to_string(i));
            record.service = service;
            record.slots = load_.slots;
            records_.push_back(record);
            known_.push_back({record.id, service});
        }
        for (const auto &record : records_) {
            candidates_.push_back({&record, true, true});
        }
        for (int i = 0; i < load_.hosts; ++i) {
            choosers_.emplace_back(ChooserOptions(), i + 1);
            choosers_.back().setHostCount(load_.hosts);
            hosts_[i].setLeading(i == 0);
            hosts_[i].refresh(known_, start);
        }
    }

    void run()
    {
        time_.runUntil(start);
        time_.at(start, [this] { arrive(); });
        time_.at(start, [this] { report(); });
        time_.at(start, [this] { exchangePaces(); });
        time_.runUntil(end());
    }

    [[nodiscard]] double pace(int host, int replica) const { return choosers_[host].pace(records_[replica].id); }

    Outcome outcome;
    static constexpr Instant start{100'000};
    static constexpr Milliseconds settling{10'000};
    std::vector<int> startedBefore; // set with countFrom
    std::optional<Instant> countFrom;

private:
    static constexpr Milliseconds patience{600}; // for the first event, before the request is sent elsewhere
    static constexpr double eventMs = 37;
    static constexpr int events = 10;

    struct Request {
        int host = 0;
        std::uint64_t affinityKey = 0;
        double promptTokens = 0;
        Instant arrivedAt;
        std::vector<int> excluded;
    };

    [[nodiscard]] Instant end() const { return start + Milliseconds(1'000 * load_.seconds); }

    /// When work that takes so long is done, at a replica that may stand still meanwhile.
    [[nodiscard]] double workedUntil(int replica, double from, double ms) const
    {
        constexpr double every = 5'000;
        constexpr double stall = 600;
        if (replica != load_.stalledReplica) {
            return from + ms;
        }
        while (true) {
            const double phase = std::fmod(from, every);
            if (phase < stall) {
                from += stall - phase;
                continue;
            }
            if (phase + ms <= every) {
                return from + ms;
            }
            ms -= every - phase;
            from += every - phase;
        }
    }

    void arrive()
    {
        const double gap = std::exponential_distribution<double>(load_.perSecond / 1'000)(random_);
        nextArrival_ += gap;
        time_.at(start + Milliseconds(std::llround(nextArrival_)), [this] { arrive(); });
        const double draw = std::uniform_real_distribution<double>(0, 1)(random_);
        const int adapter = static_cast<int>(std::pow(200.0, draw)); // few get most
        send({std::uniform_int_distribution<int>(0, load_.hosts - 1)(random_),
              core::hashText("adapter-" + std::to_string(adapter), 1) | 1,
              std::exp(std::normal_distribution<double>(6.2, 0.6)(random_)),
              time_.now(),
              {}});
    }

    void send(Request request)
    {
        const auto now = time_.now();
        std::vector<Candidate> left;
        for (int i = 0; i < load_.replicas; ++i) {
            if (std::find(request.excluded.begin(), request.excluded.end(), i) == request.excluded.end()) {
                left.push_back(candidates_[i]);
            }
        }
        auto &chooser = choosers_[request.host];
        const auto expected = load_.usesPaces ? hosts_[request.host].expectedFirst(service, request.promptTokens) : Milliseconds(0);
        const auto *best = chooser.pick({left, request.affinityKey, ZoneId(), expected}, now);
        const int replica = static_cast<int>(best->replica - records_.data());
        run(request, replica);
    }

    void run(const Request &request, int replica)
    {
        const auto now = time_.now();
        auto &chooser = choosers_[request.host];
        const auto id = records_[replica].id;
        const int prefillMs = static_cast<int>(request.promptTokens / 38);
        chooser.beginSend(id);
        chooser.beginPrefill(id, prefillMs);
        auto &slot = *std::min_element(slots_[replica].begin(), slots_[replica].end());
        const auto at = static_cast<double>(now.sinceOrigin());
        const double begin = std::max(at, slot);
        const auto busy = std::count_if(slots_[replica].begin(), slots_[replica].end(), [&](double until) { return until > begin; });
        const double slowdown = (1 + 0.3 * static_cast<double>(busy) / load_.slots) / load_.paceOf(replica, now);
        const double first = workedUntil(replica, begin, (40 + request.promptTokens / 38) * slowdown * noise(0.3));
        const bool isUnanswered = first - at > static_cast<double>(patience.count());
        if (isUnanswered) {
            time_.at(now + patience, [this, request, replica, id, prefillMs] {
                choosers_[request.host].endPrefill(id, prefillMs);
                choosers_[request.host].endSend(id, SendOutcome::NoAnswer, time_.now());
                ++outcome.unanswered;
                auto next = request;
                next.excluded.push_back(replica);
                if (next.excluded.size() < 3) {
                    send(next);
                } else {
                    recordFirst(request, replica);
                }
            });
            slot = std::max(slot, at + static_cast<double>(patience.count()));
            return;
        }
        time_.at(now + Milliseconds(std::llround(first - at)), [this, request, replica, id, prefillMs] {
            choosers_[request.host].endPrefill(id, prefillMs);
            choosers_[request.host].onEvent(id, time_.now());
            recordFirst(request, replica);
        });
        double last = first;
        double longest = 0;
        for (int i = 1; i < events; ++i) {
            const double next = workedUntil(replica, last, eventMs * slowdown * noise(0.1));
            longest = std::max(longest, next - last);
            last = next;
            time_.at(now + Milliseconds(std::llround(next - at)), [this, host = request.host, id] { choosers_[host].onEvent(id, time_.now()); });
        }
        slot = last;
        Paces::Answer answer{.upstream = id,
                             .service = service,
                             .promptTokens = request.promptTokens,
                             .untilFirst = Milliseconds(std::llround(first - at)),
                             .rest = Milliseconds(std::llround(last - first)),
                             .longestPause = Milliseconds(std::llround(longest)),
                             .events = events};
        time_.at(now + Milliseconds(std::llround(last - at)), [this, host = request.host, answer]() mutable {
            auto &ended = choosers_[host];
            ended.endSend(answer.upstream, SendOutcome::Succeeded, time_.now());
            answer.fill = static_cast<double>(ended.occupancy(answer.upstream, time_.now()).running) / load_.slots;
            hosts_[host].add(answer, time_.now());
        });
    }

    void recordFirst(const Request &request, int replica)
    {
        if (countFrom && time_.now() >= *countFrom && startedBefore.empty()) {
            startedBefore = outcome.started;
        }
        if (request.arrivedAt >= start + settling) {
            ++outcome.started[replica];
            outcome.firstEvents.push_back(static_cast<double>((time_.now() - request.arrivedAt).count()));
        }
    }

    /// What other hosts run is known 200 ms later.
    void report()
    {
        std::vector<std::vector<Occupancy>> local(load_.hosts);
        for (int host = 0; host < load_.hosts; ++host) {
            for (const auto &record : records_) {
                local[host].push_back(choosers_[host].localOccupancy(record.id));
            }
        }
        time_.at(time_.now() + Milliseconds(200), [this, local] {
            for (int host = 0; host < load_.hosts; ++host) {
                for (int i = 0; i < load_.replicas; ++i) {
                    Occupancy others;
                    for (int other = 0; other < load_.hosts; ++other) {
                        others.running += other == host ? 0 : local[other][i].running;
                        others.prefillMs += other == host ? 0 : local[other][i].prefillMs;
                    }
                    choosers_[host].setRemoteOccupancy(records_[i].id, others, time_.now());
                }
            }
        });
        time_.at(time_.now() + Milliseconds(100), [this] { report(); });
    }

    void exchangePaces()
    {
        const auto now = time_.now();
        const auto name = [](int host) { return HostId("host-" + std::to_string(host)); };
        std::vector<HostId> members;
        for (int i = 1; i < load_.hosts; ++i) {
            hosts_[0].onReport(name(i), LoadScope::Host, hosts_[i].due(LoadScope::Host, {name(0)}, now), now);
            members.push_back(name(i));
        }
        const auto entries = hosts_[0].due(LoadScope::All, members, now);
        for (int i = 0; i < load_.hosts; ++i) {
            if (i > 0) {
                hosts_[i].onReport(name(0), LoadScope::All, entries, now);
            }
            hosts_[i].refresh(known_, now);
            for (const auto &record : records_) {
                if (load_.usesPaces) {
                    choosers_[i].setPace(record.id, hosts_[i].pace(record.id));
                }
            }
        }
        time_.at(now + Paces::reportInterval, [this] { exchangePaces(); });
    }

    double noise(double spread) { return std::exp(std::normal_distribution<double>(0, spread)(random_)); }

    Load load_;
    tests::VirtualTime time_;
    std::mt19937_64 random_{load_.seed};
    double nextArrival_ = 0; // ms after the start
    std::vector<ReplicaRecord> records_;
    std::vector<Candidate> candidates_;
    std::vector<Paces::Replica> known_;
    std::vector<std::vector<double>> slots_; // when each is free again
    std::vector<Chooser> choosers_;
    std::vector<Paces> hosts_;
};

Outcome play(Load load)
{
    PaceLoad run(std::move(load));
    run.run();
    return run.outcome;
}

/// Requests of a replica relative to the mean of the last eight, which are never slow here.
double shareOf(const std::vector<int> &started, int replica)
{
    double sum = 0;
    for (std::size_t i = started.size() - 8; i < started.size(); ++i) {
        sum += started[i];
    }
    return started[replica] * 8 / sum;
}

double quarterIsSlow(int replica, Instant /*now*/)
{
    return replica < 3 ? 0.45 : 1;
}

// Load: a quarter of the replicas at 0.45 of the others' pace, and 60% of what all can serve, from six hosts.
TEST(PaceLoad, replicas_at_0_45_of_the_pace_get_their_part_of_the_work_and_no_more)
{
    struct Sum {
        double share = 0;
        double longest = 0; // ms until the first event, of one in a thousand
        int late = 0;
    };
    constexpr int seeds = 5;
    const auto playAll = [](bool usesPaces) {
        Sum sum;
        for (unsigned seed = 1; seed <= seeds; ++seed) {
            auto outcome = play({.perSecond = 165, .seed = seed, .usesPaces = usesPaces, .paceOf = quarterIsSlow});
            sum.share += (shareOf(outcome.started, 0) + shareOf(outcome.started, 1) + shareOf(outcome.started, 2)) / 3 / seeds;
            sum.longest += outcome.quantile(0.999) / seeds;
            sum.late += outcome.late();
        }
        return sum;
    };
    const auto with = playAll(true);
    const auto without = playAll(false);
    RecordProperty("share_with", std::to_string(with.share));
    RecordProperty("share_without", std::to_string(without.share));
    RecordProperty("p999_ms_with", std::to_string(with.longest));
    RecordProperty("p999_ms_without", std::to_string(without.longest));
    RecordProperty("late_with", with.late);
    RecordProperty("late_without", without.late);
    EXPECT_LT(with.share, 0.45);
    EXPECT_GT(with.share, 0.05) << "they still serve";
    EXPECT_LT(with.share, without.share);
    EXPECT_LT(with.longest, without.longest);
    EXPECT_LT(with.late, without.late / 2);
}

// Load: more than all replicas together can serve.
TEST(PaceLoad, slow_replicas_work_when_the_others_are_crowded)
{
    Load load;
    load.perSecond = 270;
    load.paceOf = quarterIsSlow;
    const auto with = play(load);
    const double share = (shareOf(with.started, 0) + shareOf(with.started, 1) + shareOf(with.started, 2)) / 3;
    RecordProperty("share", std::to_string(share));
    EXPECT_GT(share, 0.25);
    EXPECT_LT(share, 0.55);
}

// Failure: one replica stands still for 600 ms every 5 s, an eighth of the time.
TEST(PaceLoad, a_replica_that_stalls_600_ms_now_and_then_keeps_its_part)
{
    constexpr unsigned seeds = 3;
    double stalling = 0;
    double calm = 0;
    for (unsigned seed = 1; seed <= seeds; ++seed) {
        Load load{.hosts = 24, .seed = seed};
        calm += shareOf(play(load).started, 0) / seeds;
        load.stalledReplica = 0;
        PaceLoad run(load);
        run.run();
        stalling += shareOf(run.outcome.started, 0) / seeds;
        for (int host = 0; host < load.hosts; ++host) {
            EXPECT_EQ(run.pace(host, 0), 1) << host;
        }
    }
    RecordProperty("share", std::to_string(stalling));
    RecordProperty("share_in_calm", std::to_string(calm));
    EXPECT_GT(stalling, 0.7 * calm);
}

// Failure ends: a replica at 0.45 of the pace works as the others from 20 s on.
TEST(PaceLoad, a_replica_that_gets_faster_gets_its_part_back)
{
    Load load;
    load.perSecond = 150;
    load.seconds = 90;
    load.paceOf = [](int replica, Instant now) { return replica == 0 && now < PaceLoad::start + Milliseconds(20'000) ? 0.45 : 1; };
    PaceLoad run(load);
    run.countFrom = PaceLoad::start + Milliseconds(60'000);
    run.run();
    auto after = run.outcome.started;
    for (std::size_t i = 0; i < after.size(); ++i) {
        after[i] -= run.startedBefore[i];
    }
    load.paceOf = [](int, Instant) { return 1; };
    const auto calm = play(load);
    RecordProperty("share_after", std::to_string(shareOf(after, 0)));
    RecordProperty("share_in_calm", std::to_string(shareOf(calm.started, 0)));
    EXPECT_GT(shareOf(after, 0), 0.75 * shareOf(calm.started, 0));
}

// Nothing changes where paces are alike: with what is learnt from noisy answers each request goes where it would have gone without.
TEST(PaceLoad, without_slow_replicas_the_same_requests_go_to_the_same_replicas)
{
    Load load;
    load.perSecond = 200;
    load.paceOf = [](int replica, Instant) { return 0.9 + 0.02 * replica; };
    const auto with = play(load);
    load.usesPaces = false;
    const auto without = play(load);
    EXPECT_EQ(with.started, without.started);
    EXPECT_EQ(with.firstEvents, without.firstEvents);
}

} // namespace
} // namespace baobabstall::serving
