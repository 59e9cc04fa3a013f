// serving/crashcounting.h: which host counts crashes by their causes, and what one host sends to others for it. No I/O.
//
//   CrashCounting counting(ownHost, watch, groups);
//   const auto messages = counting.tick(now);       // every 100 ms: a report for the host that counts, or its verdicts for all
//   counting.onReport(report, now);                 // a peer saw crashes
//   counting.onVerdicts(verdicts, now);             // from the host that counts, or the leader that passes it on
//   counting.counter()                              // who grants probes
//   counting.takeProbe(causes, now);                // at that host
//
// The overall leader of the groups counts. Any host that comes to lead takes over the verdicts that it knows, and gets the reports again.
// Verdicts are told when they change, and again and again for hosts that start, were cut off or lost a message. Probes are granted only while
// the host that counts sees most of the hosts that it saw in the last minutes: both sides of a partition would grant them otherwise.
#pragma once

#include <serving/crashcounter.h>
#include <serving/crashwatch.h>
#include <serving/hostgroups.h>

namespace baobabstall::serving {

class CrashCounting
{
public:
    struct Messages {
        HostId counter{};                     // receives `report`
        std::optional<CrashReport> report{};  // nothing: there is none, or this host counts
        std::vector<CrashVerdict> verdicts{}; // for all hosts
        std::vector<CrashVerdict> changes{};  // causes that this host blamed or cleared, or granted a probe
    };

    CrashCounting(HostId ownHost, CrashWatch &watch, const HostGroups &groups)
        : ownHost_(std::move(ownHost))
        , watch_(watch)
        , groups_(groups)
    { }

    /// `isAlone`: other hosts can't be reached yet, so this one counts for itself.
    [[nodiscard]] Messages tick(Instant now, bool isAlone = false);
    void onReport(const CrashReport &report, Instant now);
    void onVerdicts(const std::vector<CrashVerdict> &verdicts, Instant now) { watch_.onVerdicts(verdicts, now); }
    /// Hosts came or started again: they are told soon what is in force.
    void onMembersChanged() { isTellingAll_ = true; }
    /// The host that counts, as of the last tick.
    [[nodiscard]] const HostId &counter() const { return counterHost_; }
    /// Whether one request with the causes may be sent; false at a host that doesn't count.
    [[nodiscard]] bool takeProbe(const std::vector<CrashCause> &causes, Instant now);

    static constexpr std::string_view purpose = "crashes";  // for electing the host that counts
    static constexpr Milliseconds blameRefresh{1'000};      // between two messages that tell the same of a blamed or cleared cause
    static constexpr Milliseconds tellAllDistance{400};     // the same when hosts came
    static constexpr Milliseconds partitionMemory{600'000}; // how long a larger number of hosts is remembered
    static constexpr Milliseconds suspectRefresh{2'000};    // the same of a suspect

private:
    struct Told {
        CrashVerdict verdict;
        Instant at;
    };

    void updateCounter(bool isCounter, Instant now);
    void updateHosts(Instant now);
    [[nodiscard]] std::vector<CrashVerdict> dueVerdicts(const std::vector<CrashVerdict> &verdicts, Instant now);

    HostId ownHost_;
    CrashWatch &watch_;
    const HostGroups &groups_;
    HostId counterHost_;
    std::optional<CrashCounter> counter_; // set while this host counts
    std::map<CrashCause, Told> told_;     // to all hosts
    bool isTellingAll_ = false;
    std::size_t mostHosts_ = 0; // seen within partitionMemory
    Instant mostHostsAt_;
};

} // namespace baobabstall::serving
