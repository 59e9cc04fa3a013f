// serving/crashcounter.h: finds the parts of prompts that crash upstreams, from what all hosts report, at the one host that counts. No I/O.
//
//   CrashCounter counter;
//   counter.onCrash(upstream, crashedAt, parts, now);     // a host had requests there that broke off
//   counter.onServed(part, servedAt, now);                // a request with the part ended well
//   counter.onRefused(host, part, now);                   // requests with a blamed part still come
//   for (const auto &verdict : counter.tick(now)) { ...tell all hosts... }
//
// A crash breaks off all requests of an upstream, so sound parts are in many crashes too. What sets a crashing part apart is that no request
// with it ends well: a part is blamed after several crashes since its last success, and only for crashes that no blamed part explains. Crashes
// close to each other count once, because many upstreams may be lost at the same moment. Before a part is blamed, all hosts are asked for
// successes that the counter has not heard of.
//
// Blame ends. After a while one host may send one request with the part; if that ends well, the part is cleared, and if it crashes its
// upstream, the next such request is let through after twice the time.
#pragma once

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include <serving/model.h>

namespace baobabstall::serving {

using core::PromptPart;

struct CrashVerdict {
    enum class State : std::uint8_t {
        Suspect, // hosts report whether a request with it ended well after `since`
        Blamed,  // hosts refuse requests with it, but for `prober`
        Cleared, // was blamed a moment ago
    };

    PromptPart part;
    State state = State::Suspect;
    Instant since;      // Suspect: first crash that counts; Blamed: when it was blamed
    Instant until;      // Blamed: when a request is let through as a probe
    int probes = 0;     // Blamed: that crashed their upstreams
    HostId prober{};    // Blamed: the host that may send one request, empty before `until`
    Instant proberAt{}; // Blamed: when it was chosen
};

class CrashCounter
{
public:
    static constexpr int minCrashes = 3;
    static constexpr int minTiedCrashes = 5;              // of parts that were in the same crashes so far
    static constexpr Milliseconds minDistance{200};       // between crashes that count by themselves
    static constexpr Milliseconds sameCrash{1'000};       // reports of one upstream within this are of one crash: it is back after seconds
    static constexpr Milliseconds confirmTime{300};       // for hosts to report successes of a suspect
    static constexpr Milliseconds crashLifetime{120'000}; // older crashes don't count
    static constexpr Milliseconds firstBlameTime{15'000}; // doubles with each probe that crashes its upstream
    static constexpr Milliseconds maxBlameTime{600'000};
    static constexpr Milliseconds probeTimeout{5'000};    // before another host is chosen
    static constexpr Milliseconds refuserLifetime{3'000}; // a host that refused a request within this may be chosen
    static constexpr Milliseconds forgetAfter{300'000};   // without a request that names the part
    static constexpr Milliseconds clearedLifetime{3'000};
    static constexpr std::size_t maxCrashes = 64;
    static constexpr std::size_t maxPartsPerCrash = 256;
    static constexpr std::size_t maxBlamedParts = 256;
    static constexpr std::size_t maxSuspects = 512; // told to other hosts; a part that isn't told is not blamed

    void onCrash(const UpstreamId &upstream, Instant at, const std::vector<PromptPart> &parts, Instant now);
    void onServed(const PromptPart &part, Instant at, Instant now);
    void onRefused(const HostId &host, const PromptPart &part, Instant now);
    /// This host begins to count: takes over what an earlier counter told.
    void adopt(const std::vector<CrashVerdict> &verdicts, Instant now);
    /// All verdicts in force.
    [[nodiscard]] std::vector<CrashVerdict> tick(Instant now);
    /// Parts blamed or cleared by calls since the last one, for the log.
    [[nodiscard]] std::vector<CrashVerdict> takeChanges() { return std::exchange(changes_, {}); }

private:
    struct Crash {
        UpstreamId upstream;
        Instant at;
        std::set<PromptPart> parts;
    };
    struct Blame {
        CrashVerdict verdict;
        Instant refusedAt; // last refusal of any host
        std::map<HostId, Instant> refusers;
    };
    struct Count {
        int crashes = 0;
        Instant first;
        Instant last;
    };

    void countUnexplainedCrashes();
    [[nodiscard]] bool isExplained(const Crash &crash) const;
    void updateSuspects(Instant now);
    void blameConfirmed(Instant now);
    void blame(const PromptPart &part, Instant now);
    void clear(const PromptPart &part, Instant now);
    void updateProbers(Instant now);
    void expire(Instant now);
    void expireVerdicts(Instant now);

    std::deque<Crash> crashes_;
    std::map<PromptPart, Instant> servedAt_; // of parts in crashes_
    std::map<PromptPart, Count> counts_;     // of crashes that no blamed part explains
    bool areCountsStale_ = true;
    std::map<PromptPart, Instant> suspectSince_;
    std::map<PromptPart, Blame> blames_;
    std::map<PromptPart, CrashVerdict> cleared_;
    std::vector<CrashVerdict> changes_;
};

} // namespace baobabstall::serving
