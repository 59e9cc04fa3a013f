// serving/crashwatch.h: what one host knows about the causes of crashes, and what it reports to the host that counts (crashcounter.h). No I/O.
//
//   CrashWatch watch;
//   const auto admission = watch.admit(causes, now);     // before a request is sent; a blocked one is refused
//   watch.onCut(upstream, causes, sentAt, now);          // the upstream broke off a request with these causes
//   watch.onUnanswered(upstream, causes, sentAt, now);   // this host gave up waiting: the upstream is slow, or has crashed without a sign
//   watch.onAnswered(upstream, now);                     // it is alive, or runs again
//   watch.onLost(upstream, nextRunAt, now);              // its record ended, or names another run: what was unanswered was broken off
//   watch.onServed(causes, now);                         // a request with them ended well
//   auto report = watch.takeReport(counter, now);        // every 100 ms; for the host that counts
//   watch.onVerdicts(verdicts, now);                     // that host's word
//
// Reports are repeated for a while, and sent again when another host begins to count: a crash that was reported twice counts once.
// A verdict stays in force while the host that counts is away. Verdicts that the host that counts does not name are reported to it: it may have
// started after they were found, or have been partitioned from the host that found them.
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
    std::optional<Milliseconds> blockedFor{}; // until a request with the causes may be let through again
    std::optional<CrashVerdict> verdict{};    // that blocks it
    bool needsProbe = false;                  // it may be sent once, if the host that counts grants a probe
};

struct CrashReport {
    std::vector<CrashSighting> crashes;
    std::vector<std::pair<CrashCause, Instant>> served; // causes of the crashes and suspects, and their last success
    std::vector<CrashCause> refused;                    // blamed causes of requests that came since the last report
    std::vector<CrashVerdict> held;                     // verdicts that the host that counts has not named for a while

    [[nodiscard]] bool isEmpty() const { return crashes.empty() && served.empty() && refused.empty() && held.empty(); }
};

class CrashWatch
{
public:
    static constexpr std::size_t maxServed = 4'096; // causes whose last success is remembered
    static constexpr std::size_t maxSightings = 64;
    static constexpr std::size_t maxUnanswered = 256;
    static constexpr std::size_t maxCutsPerSighting = CrashCounter::maxCausesPerCrash;
    static constexpr std::size_t maxHeld = CrashCounter::maxBlamed + CrashCounter::maxSuspects; // verdicts; beyond it the oldest is forgotten
    static constexpr std::size_t maxHeldPerReport = 64;
    static constexpr Milliseconds sightingLifetime{10'000};   // the same crash is reported so long to a host that begins to count
    static constexpr Milliseconds unansweredLifetime{15'000}; // covers the time until the record of a silent upstream ends
    static constexpr Milliseconds repeatInterval{1'000};      // of a report, as it may get lost
    static constexpr Milliseconds mergeTime{100};             // requests cut within this at one upstream are one sighting
    static constexpr Milliseconds unnamedAfter{3'000};        // a verdict counts as not named: longer than the interval at which each is told
    static constexpr Milliseconds suspectPartLifetime{5'000}; // after the last verdict that names it
    static constexpr Milliseconds minBlock{1'000};            // told to callers
    static constexpr Milliseconds blockWithoutProbe{60'000};  // the same when nothing ends the blame but time

    [[nodiscard]] CrashAdmission admit(const std::vector<CrashCause> &causes, Instant now);
    void onCut(const UpstreamId &upstream, const std::vector<CrashCause> &causes, Instant sentAt, Instant now);
    void onUnanswered(const UpstreamId &upstream, const std::vector<CrashCause> &causes, Instant sentAt, Instant now);
    void onAnswered(const UpstreamId &upstream, Instant now);
    /// `nextRunAt`: start of the run that its record names now; an answer after it says nothing of the run before.
    void onLost(const UpstreamId &upstream, std::optional<Instant> nextRunAt, Instant now);
    void onServed(const std::vector<CrashCause> &causes, Instant now);
    /// Crashes since the last success, as far as this host was told.
    [[nodiscard]] int knownCrashes(const CrashCause &cause) const;

    /// What `counter` has not heard yet; nothing to report: an empty report.
    [[nodiscard]] CrashReport takeReport(const HostId &counter, Instant now);
    /// Some of the verdicts of the host that counts. Those that it doesn't name stay in force.
    void onVerdicts(const std::vector<CrashVerdict> &verdicts, Instant now);
    /// In force at this host, for a host that begins to count.
    [[nodiscard]] std::vector<CrashVerdict> verdicts(Instant now);
    [[nodiscard]] std::size_t blamed(CrashCause::Kind kind) const;

private:
    struct HeldVerdict {
        CrashVerdict verdict;
        Instant namedAt;    // by the host that counts
        Instant reportedAt; // to it
    };
    struct HeldSighting {
        CrashSighting sighting;
        HostId reportedTo;
        Instant reportedAt;
    };
    struct Unanswered {
        UpstreamId upstream;
        std::vector<CrashCause> causes;
        Instant sentAt;
        Instant endedAt;
        std::optional<Instant> answeredAt; // the first answer of the upstream after it
    };
    struct Served {
        Instant at;
        std::list<CrashCause>::iterator place;
    };

    void expire(Instant now);
    void addSighting(const UpstreamId &upstream, const std::vector<CrashCause> &causes, Instant sentAt, Instant at);
    void addUnanswered(const UpstreamId &upstream, Instant endedAfter, std::optional<Instant> nextRunAt);
    void onVerdict(const CrashVerdict &verdict, Instant now);
    void reportHeld(CrashReport &report, Instant now);
    [[nodiscard]] std::optional<Instant> servedAt(const CrashCause &cause) const;
    [[nodiscard]] bool isServedSince(const CrashCause &cause, Instant at) const; // by what this host saw itself

    std::map<CrashCause, HeldVerdict> verdicts_;
    std::deque<HeldSighting> sightings_;
    std::deque<Unanswered> unanswered_;
    std::map<CrashCause, Instant> servedToReport_;
    std::vector<CrashVerdict> unknownToCounter_; // its word shows that it lacks these
    std::set<CrashCause> refused_;
    std::list<CrashCause> servedOrder_; // the one that was served last comes first
    std::map<CrashCause, Served> served_;
};

} // namespace baobabstall::serving
