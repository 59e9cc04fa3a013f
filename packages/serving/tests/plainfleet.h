// Hosts in front of a plain service, on virtual time: real work times and rooms; replicas, messages, load reports and faults are simulated.
#pragma once

#include <algorithm>
#include <cmath>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <vector>

#include <serving/scarceroom.h>
#include <serving/worktimes.h>

#include "virtualtime.h"

namespace baobabstall::serving::tests {

enum class Rule : std::uint8_t {
    Assumed, // each host by itself, with a fixed work time
    Learnt,  // the same with the learnt work time
    Owners,  // places of the replicas' owners while the service is crowded
};

struct PlainCall {
    int kind = 0; // what it is counted as
    int rank = 0;
    bool mayRepeat = true;
    Milliseconds objective{150};
    Milliseconds timeout{2'000};
    int repeats = 0;     // by the caller, after a refusal
    bool leaves = false; // the caller leaves before its answer
};

struct PlainCounts {
    int asked = 0;
    int onTime = 0;
    int late = 0;
    int refused = 0;
    int left = 0;
    int ran = 0;
    double servedMs = 0;

    [[nodiscard]] double onTimeShare() const { return asked == 0 ? 0 : static_cast<double>(onTime) / asked; }
    [[nodiscard]] double meanMs() const { return onTime + late == 0 ? 0 : servedMs / (onTime + late); }
};

class PlainFleet
{
public:
    static constexpr int slots = 6;
    static constexpr int replicaQueue = 12;
    static constexpr std::int64_t minWorkMs = 24;
    static constexpr std::int64_t maxWorkMs = 36;
    static constexpr Milliseconds replicaWay{1};
    static constexpr Milliseconds reportInterval{100};
    static constexpr Milliseconds reportAge{200};

    PlainFleet(Rule rule, int hosts, int replicas, std::uint64_t seed = 1)
        : rule_(rule)
        , hosts_(static_cast<std::size_t>(hosts))
        , replicas_(static_cast<std::size_t>(replicas))
        , random_(seed)
    {
        for (auto &replica : replicas_) {
            replica.room.setSlots(slots);
        }
        countLoads();
        tickRooms();
    }

    /// Calls of one kind, at random times with this mean rate.
    void play(const PlainCall &call, double perSecond, Instant from, Instant to)
    {
        constexpr double msPerSecond = 1'000;
        std::exponential_distribution<double> gap(perSecond / msPerSecond);
        for (double at = static_cast<double>(from.sinceOrigin()) + gap(random_); at < static_cast<double>(to.sinceOrigin()); at += gap(random_)) {
            time_.at(Instant(static_cast<std::int64_t>(at)), [this, call] { arrive(call); });
        }
    }
    void runUntil(Instant end) { time_.runUntil(end); }
    void at(Instant when, std::function<void()> action) { time_.at(when, std::move(action)); }
    void killReplica(std::size_t index) { replicas_[index].isGone = true; }
    /// The owner's own host is late: what it hears and says waits for up to twice this time.
    void delayOwner(std::size_t index, Milliseconds mean) { replicas_[index].lateness = mean; }
    void silenceOwner(std::size_t index) { replicas_[index].isSilent = true; }
    /// Another host owns the replica from now on, and knows nothing of what was granted.
    void replaceOwner(std::size_t index)
    {
        replicas_[index].room = ScarceRoom();
        replicas_[index].room.setSlots(slots);
        replicas_[index].waiters.clear();
        replicas_[index].isSilent = false;
    }
    [[nodiscard]] PlainCounts &counts(int kind) { return counts_[kind]; }
    [[nodiscard]] int ownerCalls() const { return ownerCalls_; }
    [[nodiscard]] int replicaRefusals() const { return replicaRefusals_; }

private:
    struct Host {
        WorkTimes work;
        std::map<std::size_t, Instant> silentUntil;
        std::map<std::size_t, double> roundTripMs; // to the replicas' owners
    };
    enum class Wait : std::uint8_t { None, FirstAnswer, Turn };
    struct Request {
        PlainCall call;
        std::size_t host = 0;
        Instant arrivedAt;
        Instant sentAt;
        std::uint64_t hash = 0;
        std::vector<std::size_t> tried;
        int owners = 0;
        SendHoldId hold;
        std::size_t holdAt = 0;
        Wait wait = Wait::None;
        Instant askedAt; // an owner
        Instant lastWord;
        bool isByOwnCount = false; // an owner was silent
    };
    using RequestPtr = std::shared_ptr<Request>;
    struct Replica {
        int running = 0;
        std::deque<RequestPtr> queue;
        int sent = 0; // and not ended, over all hosts
        std::deque<std::pair<Instant, int>> loads;
        ScarceRoom room;
        std::map<SendHoldId, RequestPtr> waiters;
        bool isGone = false;
        bool isSilent = false;
        Milliseconds lateness{0}; // of its owner's host, mean
    };

    Milliseconds way()
    {
        constexpr std::int64_t least = 1;
        constexpr std::int64_t most = 10;
        return Milliseconds(std::uniform_int_distribution<std::int64_t>(least, most)(random_));
    }
    /// To a replica's owner.
    Milliseconds wayTo(std::size_t replica)
    {
        const auto most = replicas_[replica].lateness * 2;
        return way() + (most.count() == 0 ? most : Milliseconds(std::uniform_int_distribution<std::int64_t>(0, most.count())(random_)));
    }
    void after(Milliseconds delay, std::function<void()> action) { time_.at(time_.now() + delay, std::move(action)); }

    void countLoads()
    {
        constexpr Milliseconds step{10};
        for (auto &replica : replicas_) {
            replica.loads.emplace_back(time_.now(), replica.sent);
            while (replica.loads.size() > 1 && time_.now() - replica.loads[1].first >= reportAge + reportInterval) {
                replica.loads.pop_front();
            }
        }
        after(step, [this] { countLoads(); });
    }
    void tickRooms()
    {
        for (std::size_t i = 0; i < replicas_.size(); ++i) {
            settle(i);
            for (const auto &[id, request] : replicas_[i].waiters) {
                if (!replicas_[i].isSilent) {
                    sayThatItWaits(request, i);
                }
            }
        }
        after(reportInterval, [this] { tickRooms(); });
    }
    /// As the host knows it: from its last report interval, and reportAge old then.
    [[nodiscard]] int reported(std::size_t host, std::size_t replica) const
    {
        const auto phase = static_cast<std::int64_t>(host) * reportInterval.count() / static_cast<std::int64_t>(hosts_.size());
        const auto tick = Instant(time_.now().sinceOrigin() - (time_.now().sinceOrigin() + phase) % reportInterval.count());
        const auto &loads = replicas_[replica].loads;
        int load = loads.front().second;
        for (const auto &[at, sent] : loads) {
            load = at <= tick - reportAge ? sent : load;
        }
        return load;
    }

    void arrive(const PlainCall &call)
    {
        auto request = std::make_shared<Request>();
        request->call = call;
        request->host = std::uniform_int_distribution<std::size_t>(0, hosts_.size() - 1)(random_);
        request->arrivedAt = time_.now();
        request->hash = random_();
        ++counts_[call.kind].asked;
        choose(request);
    }

    void choose(const RequestPtr &request)
    {
        auto &host = hosts_[request->host];
        std::vector<std::size_t> open;
        int running = 0;
        for (std::size_t i = 0; i < replicas_.size(); ++i) {
            if (replicas_[i].isGone) {
                continue;
            }
            running += reported(request->host, i);
            if (std::find(request->tried.begin(), request->tried.end(), i) == request->tried.end()) {
                open.push_back(i);
            }
        }
        const int usable = static_cast<int>(std::count_if(replicas_.begin(), replicas_.end(), [](const auto &each) { return !each.isGone; }));
        host.work.noteLoad(running, usable * slots, time_.now());
        constexpr int maxOwners = 2;
        if (open.empty() || request->owners >= maxOwners || (retryAfter_ && *retryAfter_ >= ScarceRoom::longestTurn)) {
            refuse(request, std::nullopt);
            return;
        }
        std::shuffle(open.begin(), open.end(), random_);
        if (rule_ == Rule::Owners && !request->isByOwnCount && host.work.isScarce(time_.now())) {
            askOwner(request, open.front());
            return;
        }
        const auto best = *std::min_element(
            open.begin(), open.end(), [&](std::size_t a, std::size_t b) { return reported(request->host, a) < reported(request->host, b); });
        sendByOwnCount(request, best);
    }

    void sendByOwnCount(const RequestPtr &request, std::size_t replica)
    {
        const auto &work = hosts_[request->host].work;
        const double maxFill
            = rule_ == Rule::Assumed ? WorkTimes().maxFill(request->call.objective, time_.now()) : work.maxFill(request->call.objective, time_.now());
        if (static_cast<double>(reported(request->host, replica)) / slots >= maxFill) {
            refuse(request, std::nullopt);
            return;
        }
        send(request, replica);
    }

    /// A silent owner, or one that fell silent while the request waits: the host goes by its own count.
    void fallBack(const RequestPtr &request, std::size_t replica, Wait wait)
    {
        constexpr Milliseconds silentTime{1'000};
        if (request->wait != wait || request->holdAt != replica) {
            return;
        }
        request->wait = Wait::None;
        hosts_[request->host].silentUntil[replica] = time_.now() + silentTime;
        request->isByOwnCount = true;
        choose(request);
    }

    void askOwner(const RequestPtr &request, std::size_t replica)
    {
        const auto &host = hosts_[request->host];
        const auto silent = host.silentUntil.find(replica);
        if (silent != host.silentUntil.end() && time_.now() < silent->second) {
            request->isByOwnCount = true;
            choose(request);
            return;
        }
        ++ownerCalls_;
        constexpr Milliseconds patience{60};
        request->wait = Wait::FirstAnswer;
        request->askedAt = time_.now();
        request->holdAt = replica;
        after(patience, [this, request, replica] { fallBack(request, replica, Wait::FirstAnswer); });
        after(wayTo(replica), [this, request, replica] { beAsked(request, replica); });
    }

    [[nodiscard]] Milliseconds roundTrip(std::size_t host, std::size_t replica)
    {
        constexpr double assumedMs = 11;
        return Milliseconds(std::llround(hosts_[host].roundTripMs.try_emplace(replica, assumedMs).first->second));
    }
    /// The owner's first answer.
    void learnRoundTrip(const Request &request)
    {
        constexpr double weight = 0.1;
        auto &known = hosts_[request.host].roundTripMs[request.holdAt];
        known += (static_cast<double>((time_.now() - request.askedAt).count()) - known) * weight;
    }

    void beAsked(const RequestPtr &request, std::size_t replica)
    {
        auto &owned = replicas_[replica];
        if (owned.isSilent) {
            return;
        }
        owned.room.learn(hosts_[request->host].work.expected(), roundTrip(request->host, replica));
        const auto onTimeBy = request->arrivedAt + request->call.objective;
        request->hold = owned.room.request({request->call.rank, request->call.mayRepeat, onTimeBy, request->arrivedAt + request->call.timeout, request->hash},
                                           time_.now());
        owned.waiters[request->hold] = request;
        settle(replica);
        if (!owned.waiters.contains(request->hold)) {
            return;
        }
        sayThatItWaits(request, replica);
        if (request->call.leaves) {
            constexpr Milliseconds patienceOfCaller{20};
            after(patienceOfCaller, [this, request, replica] { leave(request, replica); });
        }
    }

    /// Of the owner, at once and with each tick.
    void sayThatItWaits(const RequestPtr &request, std::size_t replica)
    {
        after(way(), [this, request, replica] {
            static constexpr Milliseconds patience{250};
            if (request->wait == Wait::None || request->holdAt != replica) {
                return;
            }
            if (request->wait == Wait::FirstAnswer) {
                learnRoundTrip(*request);
            }
            request->wait = Wait::Turn;
            request->lastWord = time_.now();
            after(patience, [this, request, replica] {
                if (time_.now() - request->lastWord >= patience) {
                    fallBack(request, replica, Wait::Turn);
                }
            });
        });
    }

    void leave(const RequestPtr &request, std::size_t replica)
    {
        auto &owned = replicas_[replica];
        if (owned.waiters.erase(request->hold) != 0) {
            ++counts_[request->call.kind].left;
            request->wait = Wait::None;
            owned.room.end(request->hold, time_.now());
            settle(replica);
        }
    }

    void settle(std::size_t replica)
    {
        auto &owned = replicas_[replica];
        if (owned.isSilent) {
            return;
        }
        for (const auto &each : owned.room.settle(time_.now())) {
            const auto waiter = owned.waiters.find(each.id);
            if (waiter == owned.waiters.end()) {
                continue;
            }
            const auto request = waiter->second;
            owned.waiters.erase(waiter);
            after(way(), [this, request, replica, each] { onOutcome(request, replica, each); });
        }
    }

    void onOutcome(const RequestPtr &request, std::size_t replica, const ScarceRoom::Outcome &outcome)
    {
        if (request->wait == Wait::None) { // too late: the host went by its own count, and cancels
            if (outcome.isGranted && request->hold != outcome.id) {
                replicas_[replica].room.end(outcome.id, time_.now());
            }
            return;
        }
        if (request->wait == Wait::FirstAnswer) {
            learnRoundTrip(*request);
        }
        request->wait = Wait::None;
        if (outcome.isGranted) {
            send(request, replica);
            return;
        }
        ++request->owners;
        request->tried.push_back(replica);
        request->hold = SendHoldId();
        retryAfter_ = outcome.turn;
        choose(request);
    }

    void send(const RequestPtr &request, std::size_t replica)
    {
        ++replicas_[replica].sent;
        request->sentAt = time_.now();
        after(replicaWay, [this, request, replica] { reach(request, replica); });
    }

    void reach(const RequestPtr &request, std::size_t replica)
    {
        auto &target = replicas_[replica];
        if (target.running < slots) {
            ++target.running;
            work(request, replica);
        } else if (target.queue.size() < replicaQueue) {
            target.queue.push_back(request);
        } else {
            ++replicaRefusals_;
            after(replicaWay, [this, request, replica] {
                hosts_[request->host].work.onFull(time_.now());
                endSend(request, replica);
                if (std::find(request->tried.begin(), request->tried.end(), replica) == request->tried.end()) {
                    request->tried.push_back(replica);
                }
                choose(request);
            });
        }
    }

    void work(const RequestPtr &request, std::size_t replica)
    {
        ++counts_[request->call.kind].ran;
        after(Milliseconds(std::uniform_int_distribution<std::int64_t>(minWorkMs, maxWorkMs)(random_)), [this, request, replica] {
            auto &target = replicas_[replica];
            if (target.queue.empty()) {
                --target.running;
            } else {
                const auto next = target.queue.front();
                target.queue.pop_front();
                work(next, replica);
            }
            after(replicaWay, [this, request, replica] { finish(request, replica); });
        });
    }

    void finish(const RequestPtr &request, std::size_t replica)
    {
        hosts_[request->host].work.add(time_.now() - request->sentAt);
        endSend(request, replica);
        auto &counts = counts_[request->call.kind];
        const auto took = time_.now() - request->arrivedAt;
        counts.servedMs += static_cast<double>(took.count());
        ++(took <= request->call.objective ? counts.onTime : counts.late);
    }

    void endSend(const RequestPtr &request, std::size_t replica)
    {
        --replicas_[replica].sent;
        if (request->hold == SendHoldId() || request->holdAt != replica) {
            return;
        }
        after(wayTo(replica), [this, hold = std::exchange(request->hold, SendHoldId()), replica] {
            replicas_[replica].room.end(hold, time_.now());
            settle(replica);
        });
    }

    void refuse(const RequestPtr &request, std::optional<Milliseconds> /*retryAfter*/)
    {
        constexpr Milliseconds byItself{300};
        ++counts_[request->call.kind].refused;
        if (request->call.repeats > 0) {
            auto again = request->call;
            --again.repeats;
            after(retryAfter_.value_or(byItself), [this, again] { arrive(again); });
        }
        retryAfter_.reset();
    }

    Rule rule_;
    VirtualTime time_;
    std::vector<Host> hosts_;
    std::vector<Replica> replicas_;
    std::mt19937_64 random_;
    std::map<int, PlainCounts> counts_;
    std::optional<Milliseconds> retryAfter_; // of the refusal that is being handled
    int ownerCalls_ = 0;
    int replicaRefusals_ = 0;
};

} // namespace baobabstall::serving::tests
