// serving/crashcounter.h: finds what crashes upstreams, from what all hosts report, at the one host that counts. No I/O.
//
//   CrashCounter counter;
//   counter.onCrash(sighting, now);                       // a host had requests there that broke off
//   counter.onServed(cause, servedAt, now);               // a request with the cause ended well
//   counter.onRefused(cause, now);                        // requests with a blamed cause still come
//   counter.adopt(verdicts, now);                         // what hosts hold of earlier counters
//   for (const auto &verdict : counter.tick(now)) { ...tell all hosts... }
//   if (counter.takeProbe(causes, now)) { ...one request may be sent... }
//
// A cause is a part of a prompt that requests share, or a whole request: its tries have one key (requestkey.h). A crash breaks off all
// requests of an upstream, so sound causes are in many crashes too. What sets the one that crashes upstreams apart is that no request with it
// ends well: a cause is blamed after several crashes since its last success, and only for crashes that no blamed cause explains. Before a
// cause is blamed, all hosts are asked for successes that the counter has not heard of.
//
// Crashes that don't depend on each other count. Many upstreams may be lost at the same moment, so crashes of a part that are close to each
// other count once. The tries of one request follow each other: a crash counts when its try was sent after the crash before.
//
// Of the causes that were in one crash only the one with the most crashes is blamed, and equal ones wait for more crashes. Between a part and a
// request with equal counts it is the request, as others may share the part. The crashes that a blamed request explains count once against a
// part, so that a part is blamed for crashes of several requests only.
//
// Blame ends with a request that is let through as a probe and ends well. A probe may crash one more upstream, so a cause gets few of them in
// all, whichever hosts ask. A cause that crashed its last probe stays blamed while requests with it come.
#pragma once

#include <deque>
#include <map>
#include <set>
#include <utility>
#include <vector>

#include <serving/model.h>

namespace baobabstall::serving {

/// What a request has that may crash upstreams.
struct CrashCause {
    enum class Kind : std::uint8_t {
        Part,    // of a prompt; other requests share it
        Request, // all of the request
    };

    Kind kind = Kind::Part;
    std::string id; // of the part, or the request's key

    friend auto operator<=>(const CrashCause &, const CrashCause &) = default;
    friend bool operator==(const CrashCause &, const CrashCause &) = default;
};

/// Requests with these causes broke off at an upstream at about the same moment.
struct CrashSighting {
    struct Cut {
        CrashCause cause;
        Instant sentAt;          // of the last request with it
        bool isFollowUp = false; // it was sent after the host had seen an earlier crash with the cause
    };

    UpstreamId upstream;
    Instant at;
    std::vector<Cut> cuts;
};

struct CrashVerdict {
    enum class State : std::uint8_t {
        Suspect, // hosts report whether a request with it ended well after `since`
        Blamed,  // hosts refuse requests with it, but for probes
        Cleared, // was a suspect or blamed a moment ago
    };

    CrashCause cause;
    State state = State::Suspect;
    Instant since;   // Suspect: first crash that counts; Blamed: when it was blamed
    Instant until;   // Blamed: when a host may ask for a probe
    int crashes = 0; // since the last success
    Instant lastCrash;
    UpstreamId lastUpstream; // of the last crash
    int probesLeft = 0;      // Blamed
};

class CrashCounter
{
public:
    static constexpr int minCrashes = 3;
    static constexpr int minTiedCrashes = 5;                       // of causes that were in the same crashes so far
    static constexpr Milliseconds minPartDistance{200};            // between crashes of a part that count by themselves
    static constexpr Milliseconds minRequestDistance{20};          // the same of a request, whose tries follow each other
    static constexpr Milliseconds sentTolerance{100};              // reports of two hosts differ by so much in their times
    static constexpr Milliseconds sameCrash{1'000};                // reports of one upstream within this are of one crash: it is back after seconds
    static constexpr Milliseconds confirmTime{300};                // for hosts to report successes of a suspect
    static constexpr Milliseconds crashLifetime{120'000};          // older crashes of a part don't count
    static constexpr Milliseconds requestCrashLifetime{3'600'000}; // the same of a request, since its last crash
    static constexpr Milliseconds firstBlameTime{15'000};          // before the first probe
    static constexpr Milliseconds laterBlameTime{60'000};          // before the next one
    static constexpr int maxProbes = 2;
    static constexpr int maxRequestCrashes = 5;            // beyond it a blamed cause gets a single probe; the users allow three sends after three crashes
    static constexpr int maxPartCrashes = 7;               // the same of a part; three after five
    static constexpr Milliseconds forgetAfter{86'400'000}; // without a request that names a blamed cause
    static constexpr Milliseconds clearedLifetime{10'000};
    static constexpr std::size_t maxCrashes = 64;
    static constexpr std::size_t maxCausesPerCrash = 512;
    static constexpr std::size_t maxBlamed = 256;   // beyond it the one whose requests came least recently is forgotten
    static constexpr std::size_t maxSuspects = 512; // told to other hosts; a cause that isn't told is not blamed
    static constexpr std::size_t maxCleared = 256;

    void onCrash(const CrashSighting &sighting, Instant now);
    void onServed(const CrashCause &cause, Instant at, Instant now);
    void onRefused(const CrashCause &cause, Instant now);
    /// Takes over what hosts hold of an earlier counter, or of another one while the hosts were partitioned.
    void adopt(const std::vector<CrashVerdict> &verdicts, Instant now);
    /// Whether one request with the causes may be sent. Uses up a probe of each that is blamed.
    [[nodiscard]] bool takeProbe(const std::vector<CrashCause> &causes, Instant now);
    /// All verdicts in force.
    [[nodiscard]] std::vector<CrashVerdict> tick(Instant now);
    /// Causes blamed or cleared by calls since the last one, and probes granted, for the log.
    [[nodiscard]] std::vector<CrashVerdict> takeChanges() { return std::exchange(changes_, {}); }

private:
    struct Sent {
        Instant at;
        bool isFollowUp = false;
    };
    struct Crash {
        UpstreamId upstream;
        Instant at;
        std::map<CrashCause, Sent> causes;
    };
    struct Blame {
        CrashVerdict verdict;
        Instant refusedAt; // last refusal of any host
    };
    struct Count {
        int crashes = 0; // that don't depend on each other
        int all = 0;     // the others too
        Instant first;
        Instant last; // that counts
        UpstreamId lastUpstream;
        Instant seenAt; // the last one, whether or not it counts
        UpstreamId seenUpstream;
    };
    using Counts = std::map<CrashCause, Count>;

    [[nodiscard]] bool countUnexplainedCrashes(); // whether counts_ may have changed
    [[nodiscard]] std::vector<CrashCause> blamedIn(const Crash &crash) const;
    static bool isIndependent(const Count &before, const Crash &crash, const CrashCause &cause, const Sent &sent);
    void updateSuspects(Instant now);
    void blameConfirmed(Instant now);
    [[nodiscard]] std::vector<CrashCause> confirmedCulprits(Instant now) const;
    void blame(const CrashCause &cause, Instant now);
    void makeRoomForBlame();
    void clear(CrashVerdict verdict, Instant now);
    void clearBlame(const CrashCause &cause, Instant now);
    void expire(Instant now);
    void keepRequestCounts(const Crash &crash);

    std::deque<Crash> crashes_;
    std::map<CrashCause, Instant> servedAt_; // of causes in crashes_ and earlier_
    Counts earlier_;                         // of requests: crashes that are not in crashes_ any more, or were counted elsewhere
    Counts counts_;                          // of crashes that no blamed cause explains
    bool areCountsStale_ = true;
    bool isCheckDue_ = false; // there may be a cause to blame
    std::map<CrashCause, Instant> suspectSince_;
    std::map<CrashCause, Blame> blames_;
    std::map<CrashCause, CrashVerdict> cleared_; // `until`: when to forget
    std::vector<CrashVerdict> changes_;
};

} // namespace baobabstall::serving
