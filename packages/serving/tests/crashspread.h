// Hosts that send requests to the same upstreams, some of which crash on a part of the prompt or on one request, on virtual time: real watches,
// counting and groups; the upstreams, the links, membership and the faults are simulated.
#pragma once

#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include <serving/crashcounting.h>

#include "virtualtime.h"

namespace baobabstall::serving::tests {

class CrashSpread : public VirtualTime
{
public:
    struct Options {
        int zones = 1;
        int hosts = 8;
        int upstreams = 18;
        int middleParts = 200;              // sound ones, one in each request
        Milliseconds soundDistance{4};      // between two sound requests, over all hosts; 0: none
        Milliseconds crashingDistance{150}; // between two requests with the crashing part; 0: none
        Instant crashingFrom{5'000};
        Milliseconds runTime{400};    // of a sound request
        Milliseconds downTime{2'000}; // of a crashed upstream
        Milliseconds linkLatency{20};
        int maxUpstreams = 1; // that one try of a request may be sent to
        std::uint64_t seed = 1;
    };
    /// How callers notice a crash.
    enum class Sign : std::uint8_t { Reset, Silence };

    explicit CrashSpread(const Options &options)
        : options_(options)
        , random_(options.seed)
    {
        for (int i = 0; i < options.hosts; ++i) {
            const HostId id("host-" + std::to_string(i));
            hosts_.emplace(id, std::make_unique<Host>(id, ZoneId("zone-" + std::to_string(i % options.zones)), 0));
        }
        assignGroups();
        for (auto &[id, host] : hosts_) {
            at(Instant(draw(0, 99)), [this, id = id] { tick(id, 0); });
        }
        upstreams_.resize(static_cast<std::size_t>(options.upstreams));
        if (options.soundDistance.count() > 0) {
            at(Instant(0), [this] { sendSound(); });
        }
        if (options.crashingDistance.count() > 0) {
            at(options.crashingFrom, [this] { sendCrashing(); });
        }
    }

    // ---- Faults ----

    /// Ends a host; the others notice after detectionTime.
    void kill(const HostId &id)
    {
        hosts_.at(id)->isAlive = false;
        changeMembersAfter(detectionTime);
    }
    /// The host is killed and starts again after `downFor` without anything that it held.
    void restart(const HostId &id, Milliseconds downFor)
    {
        kill(id);
        at(now() + downFor, [this, id] {
            auto &place = hosts_.at(id);
            place = std::make_unique<Host>(id, place->zone, place->run + 1);
            assignGroups();
            tick(id, place->run);
        });
    }
    void freeze(const HostId &id, Milliseconds time)
    {
        hosts_.at(id)->frozenUntil = now() + time;
        changeMembersAfter(detectionTime);
        changeMembersAfter(time + rejoinTime);
    }
    /// Hosts of different sides don't reach each other; each side takes the others for dead after detectionTime.
    void partition(const std::function<int(const HostId &)> &sideOf, Milliseconds time)
    {
        for (auto &[id, host] : hosts_) {
            host->side = sideOf(id);
        }
        changeMembersAfter(detectionTime);
        at(now() + time, [this] {
            for (auto &[id, host] : hosts_) {
                host->side = 0;
            }
            changeMembersAfter(rejoinTime);
        });
    }
    /// An upstream crashes for a reason of its own.
    void crash(std::size_t upstream) { crashUpstream(upstream, Sign::Reset); }

    // ---- Requests ----

    /// One try of a request that crashes every upstream `crashAfter` after it was sent there. False: it was refused.
    bool tryCrashing(const HostId &host, const std::string &key, Milliseconds crashAfter, Sign sign = Sign::Reset, const std::vector<PromptPart> &parts = {})
    {
        return sendTry(host, causesOf(key, parts), Run{.crashAfter = crashAfter, .sign = sign}, 0);
    }
    /// One try of a sound request.
    bool trySound(const HostId &host, const std::string &key, Milliseconds runTime, const std::vector<PromptPart> &parts = {})
    {
        return sendTry(host, causesOf(key, parts), Run{.runTime = runTime}, 0);
    }
    [[nodiscard]] static std::vector<CrashCause> causesOf(const std::string &key, const std::vector<PromptPart> &parts)
    {
        std::vector<CrashCause> causes = {{CrashCause::Kind::Request, key}};
        for (const auto &part : parts) {
            causes.push_back({CrashCause::Kind::Part, part.value()});
        }
        return causes;
    }

    [[nodiscard]] HostId counter() const
    {
        const auto alive = std::find_if(hosts_.begin(), hosts_.end(), [](const auto &each) { return each.second->isAlive; });
        return alive->second->groups.leaders(CrashCounting::purpose).front();
    }
    [[nodiscard]] std::size_t upstreamCount() const { return upstreams_.size(); }
    [[nodiscard]] HostId hostAt(int index) const { return std::next(hosts_.begin(), index % options_.hosts)->first; }
    [[nodiscard]] bool isRunning(const HostId &id) const { return isRunning(*hosts_.at(id)); }
    [[nodiscard]] CrashWatch &watchOf(const HostId &id) { return hosts_.at(id)->watch; }

    std::vector<Instant> crashes;                             // of upstreams, under a request that crashes them
    std::vector<Instant> crashingReached;                     // such requests that reached an upstream
    std::map<std::string, std::vector<Instant>> reachedByKey; // the same by request
    std::map<std::string, std::vector<Instant>> crashesByKey; // the same
    std::map<std::string, int> servedByKey;                   // sound requests
    std::map<std::int64_t, int> soundAsked;                   // by second
    std::map<std::int64_t, int> soundRefused;                 // the same
    std::size_t largestMessage = 0;                           // verdicts in it

    int draw(int from, int to) { return std::uniform_int_distribution<int>(from, to)(random_); }

    static constexpr Milliseconds detectionTime{2'750};
    static constexpr Milliseconds rejoinTime{500};

private:
    struct Host {
        Host(const HostId &id, ZoneId ownZone, int ownRun)
            : counting(id, watch, groups)
            , zone(std::move(ownZone))
            , run(ownRun)
        { }
        CrashWatch watch;
        HostGroups groups;
        CrashCounting counting;
        ZoneId zone;
        int run = 0; // counts restarts
        bool isAlive = true;
        int side = 0;
        Instant frozenUntil;
    };
    struct Run {
        Milliseconds runTime{0};    // of a sound request
        Milliseconds crashAfter{0}; // 0: the request is sound
        Sign sign = Sign::Reset;
    };
    struct Running {
        HostId host;
        int hostRun = 0;
        std::vector<CrashCause> causes;
        Run run;
        Instant sentAt;
        int cuts = 0; // of this try, before
        int number = 0;
    };
    struct Upstream {
        std::vector<Running> running;
        Instant downUntil;
    };

    [[nodiscard]] bool isRunning(const Host &host) const { return host.isAlive && now() >= host.frozenUntil; }
    [[nodiscard]] static UpstreamId upstreamId(std::size_t index) { return UpstreamId("upstream-" + std::to_string(index)); }

    void changeMembersAfter(Milliseconds time)
    {
        at(now() + time, [this] { assignGroups(); });
    }

    /// A host that stands still keeps what it believed.
    void assignGroups()
    {
        for (auto &[id, host] : hosts_) {
            std::vector<GroupedHost> seen;
            for (auto &[other, each] : hosts_) {
                if (isRunning(*each) && each->side == host->side) {
                    seen.push_back({other, each->zone, 100});
                }
            }
            if (isRunning(*host)) {
                host->groups.assign(std::move(seen), id);
                host->counting.onMembersChanged();
            }
        }
    }

    /// Runs `action` at the receiver when a message arrives there; later when it stands still, never when it is gone or on another side.
    void deliver(const HostId &from, const HostId &to, std::function<void(Host &)> action)
    {
        const auto &receiver = *hosts_.at(to);
        if (receiver.side != hosts_.at(from)->side) {
            return;
        }
        at(std::max(now() + options_.linkLatency, receiver.frozenUntil), [this, to, run = receiver.run, action = std::move(action)] {
            if (auto &host = *hosts_.at(to); host.isAlive && host.run == run) {
                action(host);
            }
        });
    }

    void tick(const HostId &id, int run)
    {
        auto &host = *hosts_.at(id);
        if (!host.isAlive || host.run != run) {
            return;
        }
        if (now() < host.frozenUntil) {
            at(host.frozenUntil, [this, id, run] { tick(id, run); });
            return;
        }
        const auto messages = host.counting.tick(now());
        if (messages.report) {
            deliver(id, messages.counter, [this, messages](Host &receiver) { receiver.counting.onReport(*messages.report, now()); });
        }
        if (!messages.verdicts.empty()) {
            share(id, host.groups.shareTargets(CrashCounting::purpose), messages.verdicts);
        }
        constexpr Milliseconds interval{100};
        at(now() + interval, [this, id, run] { tick(id, run); });
    }

    void share(const HostId &sender, const std::vector<HostId> &targets, const std::vector<CrashVerdict> &verdicts)
    {
        for (const auto &target : targets) {
            largestMessage = std::max(largestMessage, verdicts.size());
            deliver(sender, target, [this, target, verdicts, sender](Host &receiver) {
                share(target, receiver.groups.forwardTargets(sender, CrashCounting::purpose), verdicts);
                receiver.counting.onVerdicts(verdicts, now());
            });
        }
    }

    void sendSound()
    {
        send({PromptPart("first"), PromptPart("middle-" + std::to_string(draw(0, options_.middleParts - 1)))}, false);
        at(now() + options_.soundDistance, [this] { sendSound(); });
    }

    void sendCrashing()
    {
        send({PromptPart("first"), PromptPart("bad"), PromptPart("middle-" + std::to_string(draw(0, options_.middleParts - 1)))}, true);
        at(now() + options_.crashingDistance, [this] { sendCrashing(); });
    }

    /// A request of its own, which does not come again.
    void send(const std::vector<PromptPart> &parts, bool isCrashing)
    {
        const auto host = hostAt(draw(0, options_.hosts - 1));
        if (!isRunning(host)) {
            return;
        }
        const auto second = now().sinceOrigin() / 1'000;
        soundAsked[second] += isCrashing ? 0 : 1;
        const Run run = isCrashing ? Run{.crashAfter = Milliseconds(draw(50, 150))} : Run{.runTime = options_.runTime};
        const bool isSent = sendTry(host, causesOf("request-" + std::to_string(++requests_), parts), run, 0);
        soundRefused[second] += isSent || isCrashing ? 0 : 1;
    }

    bool sendTry(const HostId &id, const std::vector<CrashCause> &causes, const Run &run, int cuts)
    {
        auto &host = *hosts_.at(id);
        const auto admission = isRunning(host) ? host.watch.admit(causes, now()) : CrashAdmission{.blockedFor = Milliseconds(1)};
        if (admission.blockedFor) {
            return false;
        }
        if (!admission.needsProbe) {
            begin(id, causes, run, cuts);
            return true;
        }
        deliver(id, host.counting.counter(), [this, id, hostRun = host.run, causes, run, cuts](Host &counter) {
            const auto &asking = *hosts_.at(id);
            if (counter.counting.takeProbe(causes, now()) && asking.isAlive && asking.run == hostRun) {
                begin(id, causes, run, cuts);
            }
        });
        return true;
    }

    void begin(const HostId &id, const std::vector<CrashCause> &causes, const Run &run, int cuts)
    {
        std::vector<std::size_t> up;
        for (std::size_t i = 0; i < upstreams_.size(); ++i) {
            if (now() >= upstreams_[i].downUntil) {
                up.push_back(i);
            }
        }
        if (up.empty()) {
            return;
        }
        const auto upstream = up[static_cast<std::size_t>(draw(0, static_cast<int>(up.size()) - 1))];
        const int number = ++runs_;
        upstreams_[upstream].running.push_back({id, hosts_.at(id)->run, causes, run, now(), cuts, number});
        const bool isCrashing = run.crashAfter.count() > 0;
        if (isCrashing) {
            crashingReached.push_back(now());
            reachedByKey[causes.front().id].push_back(now());
        }
        at(now() + (isCrashing ? run.crashAfter : run.runTime), [this, upstream, number] { end(upstream, number); });
    }

    void end(std::size_t index, int number)
    {
        auto &running = upstreams_[index].running;
        const auto ended = std::find_if(running.begin(), running.end(), [number](const auto &each) { return each.number == number; });
        if (ended == running.end()) {
            return; // it was cut off
        }
        if (ended->run.crashAfter.count() > 0) {
            crashes.push_back(now());
            crashesByKey[ended->causes.front().id].push_back(now());
            crashUpstream(index, ended->run.sign);
            return;
        }
        if (auto &host = *hosts_.at(ended->host); host.isAlive && host.run == ended->hostRun) {
            host.watch.onAnswered(upstreamId(index), now());
            host.watch.onServed(ended->causes, now());
            ++servedByKey[ended->causes.front().id];
        }
        running.erase(ended);
    }

    void crashUpstream(std::size_t index, Sign sign)
    {
        upstreams_[index].downUntil = now() + options_.downTime;
        for (const auto &each : std::exchange(upstreams_[index].running, {})) {
            if (sign == Sign::Reset) {
                onCut(index, each);
                continue;
            }
            constexpr Milliseconds responseTimeout{300};
            at(now() + responseTimeout, [this, index, each] {
                if (auto &host = *hosts_.at(each.host); host.isAlive && host.run == each.hostRun) {
                    host.watch.onUnanswered(upstreamId(index), each.causes, each.sentAt, now());
                }
            });
        }
        if (sign == Sign::Silence) { // the record of the upstream ends
            constexpr Milliseconds recordLifetime{3'600};
            for (const auto &[id, host] : hosts_) {
                at(now() + recordLifetime,
                   [this, index, id = id, upAt = upstreams_[index].downUntil] { hosts_.at(id)->watch.onLost(upstreamId(index), upAt, now()); });
            }
        }
    }

    void onCut(std::size_t index, const Running &cut)
    {
        auto &host = *hosts_.at(cut.host);
        if (!host.isAlive || host.run != cut.hostRun) {
            return;
        }
        const int before = host.watch.knownCrashes(cut.causes.front());
        host.watch.onCut(upstreamId(index), cut.causes, cut.sentAt, now());
        if (cut.cuts + 1 < options_.maxUpstreams && before + cut.cuts < 1) { // as the forwarder sends on
            at(now() + Milliseconds(4), [this, cut] { sendTry(cut.host, cut.causes, cut.run, cut.cuts + 1); });
        }
    }

    Options options_;
    std::mt19937_64 random_;
    std::map<HostId, std::unique_ptr<Host>> hosts_;
    std::vector<Upstream> upstreams_;
    int runs_ = 0;
    int requests_ = 0;
};

} // namespace baobabstall::serving::tests
