// Hosts that send requests with and without a crashing part to the same upstreams, on virtual time: real watches, counting and groups; the
// upstreams, the links and the faults are simulated.
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
        Milliseconds soundDistance{4};      // between two sound requests, over all hosts
        Milliseconds crashingDistance{150}; // between two requests with the crashing part; 0: none
        Instant crashingFrom{5'000};
        Milliseconds runTime{400};    // of a sound request
        Milliseconds downTime{2'000}; // of a crashed upstream
        Milliseconds linkLatency{20};
        std::uint64_t seed = 1;
    };

    explicit CrashSpread(const Options &options)
        : options_(options)
        , random_(options.seed)
    {
        for (int i = 0; i < options.hosts; ++i) {
            const HostId id("host-" + std::to_string(i));
            grouped_.push_back({id, ZoneId("zone-" + std::to_string(i % options.zones)), 100});
            hosts_.emplace(id, std::make_unique<Host>(id));
        }
        assignGroups();
        for (auto &[id, host] : hosts_) {
            at(Instant(draw(0, 99)), [this, id = id] { tick(id); });
        }
        upstreams_.resize(static_cast<std::size_t>(options.upstreams));
        at(Instant(0), [this] { sendSound(); });
        if (options.crashingDistance.count() > 0) {
            at(options.crashingFrom, [this] { sendCrashing(); });
        }
    }

    /// Ends a host; the others notice after 2,750 ms.
    void kill(const HostId &id)
    {
        hosts_.at(id)->isAlive = false;
        at(now() + Milliseconds(2'750), [this, id] {
            std::erase_if(grouped_, [&](const auto &each) { return each.host == id; });
            assignGroups();
        });
    }
    [[nodiscard]] HostId counter() const { return hosts_.begin()->second->groups.leaders(CrashCounting::purpose).front(); }
    /// An upstream crashes for a reason of its own.
    void crash(std::size_t upstream) { crashUpstream(upstream); }
    [[nodiscard]] std::size_t upstreamCount() const { return upstreams_.size(); }

    std::vector<Instant> crashesByPart;       // of upstreams, under the crashing part
    std::vector<Instant> crashingReached;     // requests with the part that reached an upstream
    std::map<std::int64_t, int> soundAsked;   // by second
    std::map<std::int64_t, int> soundRefused; // the same

    int draw(int from, int to) { return std::uniform_int_distribution<int>(from, to)(random_); }

private:
    struct Host {
        explicit Host(const HostId &id)
            : watch(id)
            , counting(id, watch, groups)
        { }
        CrashWatch watch;
        HostGroups groups;
        CrashCounting counting;
        bool isAlive = true;
    };
    struct Running {
        HostId host;
        std::vector<PromptPart> parts;
        int run = 0;
    };
    struct Upstream {
        std::vector<Running> running;
        Instant downUntil;
    };

    void assignGroups()
    {
        for (auto &[id, host] : hosts_) {
            host->groups.assign(grouped_, id);
        }
    }

    void tick(const HostId &id)
    {
        auto &host = *hosts_.at(id);
        if (!host.isAlive) {
            return;
        }
        const auto messages = host.counting.tick(now());
        if (messages.report) {
            at(now() + options_.linkLatency, [this, id, messages] {
                if (auto &receiver = *hosts_.at(messages.counter); receiver.isAlive) {
                    receiver.counting.onReport(id, *messages.report, now());
                }
            });
        }
        if (messages.verdicts) {
            share(id, host.groups.shareTargets(CrashCounting::purpose), *messages.verdicts);
        }
        constexpr Milliseconds interval{100};
        at(now() + interval, [this, id] { tick(id); });
    }

    void share(const HostId &sender, const std::vector<HostId> &targets, const std::vector<CrashVerdict> &verdicts)
    {
        for (const auto &target : targets) {
            at(now() + options_.linkLatency, [this, target, verdicts, sender] {
                if (auto &receiver = *hosts_.at(target); receiver.isAlive) {
                    share(target, receiver.groups.forwardTargets(sender, CrashCounting::purpose), verdicts);
                    receiver.counting.onVerdicts(verdicts, now());
                }
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

    void send(const std::vector<PromptPart> &parts, bool isCrashing)
    {
        auto host = hosts_.begin();
        std::advance(host, draw(0, options_.hosts - 1));
        if (!host->second->isAlive) {
            return;
        }
        const auto second = now().sinceOrigin() / 1'000;
        soundAsked[second] += isCrashing ? 0 : 1;
        const auto admission = host->second->watch.admit(parts, now());
        if (admission.blockedFor) {
            soundRefused[second] += isCrashing ? 0 : 1;
            return;
        }
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
        const int run = ++runs_;
        upstreams_[upstream].running.push_back({host->first, parts, run});
        if (isCrashing) {
            crashingReached.push_back(now());
        }
        const Milliseconds crashAfter(draw(50, 150));
        at(now() + (isCrashing ? crashAfter : options_.runTime), [this, upstream, run, isCrashing] { end(upstream, run, isCrashing); });
    }

    void end(std::size_t index, int run, bool isCrashing)
    {
        auto &running = upstreams_[index].running;
        const auto ended = std::find_if(running.begin(), running.end(), [run](const auto &each) { return each.run == run; });
        if (ended == running.end()) {
            return; // it was cut off
        }
        if (isCrashing) {
            crashesByPart.push_back(now());
            crashUpstream(index);
            return;
        }
        if (auto &host = *hosts_.at(ended->host); host.isAlive) {
            host.watch.onServed(ended->parts, now());
        }
        running.erase(ended);
    }

    void crashUpstream(std::size_t index)
    {
        auto &upstream = upstreams_[index];
        for (const auto &each : std::exchange(upstream.running, {})) {
            if (auto &host = *hosts_.at(each.host); host.isAlive) {
                host.watch.onCut(UpstreamId("upstream-" + std::to_string(index)), each.parts, now());
            }
        }
        upstream.downUntil = now() + options_.downTime;
    }

    Options options_;
    std::mt19937_64 random_;
    std::vector<GroupedHost> grouped_; // live ones
    std::map<HostId, std::unique_ptr<Host>> hosts_;
    std::vector<Upstream> upstreams_;
    int runs_ = 0;
};

} // namespace baobabstall::serving::tests
