// serving/crashwatch.h: what one host knows about parts of prompts that crash upstreams, and what it reports to the host that counts
// (crashcounter.h). No I/O.
//
//   CrashWatch watch(ownHost);
//   const auto admission = watch.admit(parts, now);  // before a request is sent; a blocked one is refused
//   watch.onCut(upstream, parts, now);               // the upstream broke off a request with these parts
//   watch.onServed(parts, now);                      // a request with them ended well
//   auto report = watch.takeReport(counter, now);    // every 100 ms; for the host that counts
//   watch.onVerdicts(verdicts, now);                 // that host's word
//
// Reports are repeated for a while, and sent again when another host begins to count: a crash that was reported twice counts once.
// A verdict stays in force while the host that counts is away.
#pragma once

#include <deque>
#include <list>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include <serving/crashcounter.h>

namespace baobabstall::serving {

struct CrashAdmission {
    std::optional<Milliseconds> blockedFor{}; // until a request with the parts is let through again
    bool isProbe = false;                     // this request tells whether a blamed part still crashes upstreams; it is sent once
};

/// Requests with these parts broke off at an upstream at about the same moment.
struct CrashSighting {
    UpstreamId upstream;
    Instant at;
    std::vector<PromptPart> parts;
};

struct CrashReport {
    std::vector<CrashSighting> crashes;
    std::vector<std::pair<PromptPart, Instant>> served; // parts of the crashes and suspects, and their last success
    std::vector<PromptPart> refused;                    // blamed parts of requests that came since the last report

    [[nodiscard]] bool isEmpty() const { return crashes.empty() && served.empty() && refused.empty(); }
};

class CrashWatch
{
public:
    static constexpr std::size_t maxServedParts = 4'096; // whose last success is remembered
    static constexpr std::size_t maxSightings = 64;
    static constexpr std::size_t maxPartsPerSighting = CrashCounter::maxPartsPerCrash;
    static constexpr Milliseconds sightingLifetime{10'000}; // the same crash is reported so long to a host that begins to count
    static constexpr Milliseconds repeatInterval{1'000};    // of a report, as it may get lost
    static constexpr Milliseconds mergeTime{100};           // requests cut within this at one upstream are one sighting
    static constexpr Milliseconds suspectLifetime{2'000};   // after the last verdict that names it
    static constexpr Milliseconds blameLifetime{30'000};    // the same, after CrashVerdict::until
    static constexpr Milliseconds minBlock{1'000};          // told to callers

    explicit CrashWatch(HostId ownHost)
        : ownHost_(std::move(ownHost))
    { }

    [[nodiscard]] CrashAdmission admit(const std::vector<PromptPart> &parts, Instant now);
    void onCut(const UpstreamId &upstream, const std::vector<PromptPart> &parts, Instant now);
    void onServed(const std::vector<PromptPart> &parts, Instant now);

    /// What `counter` has not heard yet; nothing to report: an empty report.
    [[nodiscard]] CrashReport takeReport(const HostId &counter, Instant now);
    /// The whole list of the host that counts. A blamed part that it doesn't name stays blamed for a while.
    void onVerdicts(const std::vector<CrashVerdict> &verdicts, Instant now);
    /// In force at this host, for a host that begins to count.
    [[nodiscard]] std::vector<CrashVerdict> verdicts(Instant now);
    [[nodiscard]] std::size_t blamedParts() const;

private:
    struct HeldVerdict {
        CrashVerdict verdict;
        Instant confirmedAt;
        bool isProbeSent = false;
    };
    struct HeldSighting {
        CrashSighting sighting;
        HostId reportedTo;
        Instant reportedAt;
    };
    struct Served {
        Instant at;
        std::list<PromptPart>::iterator place;
    };

    void expire(Instant now);
    [[nodiscard]] std::optional<Instant> servedAt(const PromptPart &part) const;

    HostId ownHost_;
    std::map<PromptPart, HeldVerdict> verdicts_;
    std::deque<HeldSighting> sightings_;
    std::map<PromptPart, Instant> servedToReport_;
    std::set<PromptPart> refused_;
    std::list<PromptPart> servedOrder_; // the one that was served last comes first
    std::map<PromptPart, Served> served_;
};

} // namespace baobabstall::serving
