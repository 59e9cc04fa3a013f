// serving/crashcounting.h: which host counts crashes by parts of prompts, and what one host sends to others for it. No I/O.
//
//   CrashCounting counting(ownHost, watch, groups);
//   const auto messages = counting.tick(now);       // every 100 ms: a report for the host that counts, or its verdicts for all
//   counting.onReport(from, report, now);           // a peer saw crashes
//   counting.onVerdicts(verdicts, now);             // from the host that counts, or the leader that passes it on
//
// The overall leader of the groups counts. Any host that comes to lead takes over the verdicts that it knows, and gets the reports again.
#pragma once

#include <serving/crashcounter.h>
#include <serving/crashwatch.h>
#include <serving/hostgroups.h>

namespace baobabstall::serving {

class CrashCounting
{
public:
    struct Messages {
        HostId counter{};                                    // receives `report`
        std::optional<CrashReport> report{};                 // nothing: there is none, or this host counts
        std::optional<std::vector<CrashVerdict>> verdicts{}; // for all hosts; nothing: they need not hear now
        std::vector<CrashVerdict> changes{};                 // parts that this host blamed or cleared
    };

    CrashCounting(HostId ownHost, CrashWatch &watch, const HostGroups &groups)
        : ownHost_(std::move(ownHost))
        , watch_(watch)
        , groups_(groups)
    { }

    /// `isAlone`: other hosts can't be reached yet, so this one counts for itself.
    [[nodiscard]] Messages tick(Instant now, bool isAlone = false);
    void onReport(const HostId &from, const CrashReport &report, Instant now);
    void onVerdicts(const std::vector<CrashVerdict> &verdicts, Instant now) { watch_.onVerdicts(verdicts, now); }

    static constexpr std::string_view purpose = "crashes"; // for electing the host that counts
    static constexpr Milliseconds verdictInterval{500};    // between two lists without a change

private:
    void updateCounter(bool isCounter, Instant now);
    [[nodiscard]] bool isDue(const std::vector<CrashVerdict> &verdicts, Instant now) const;

    HostId ownHost_;
    CrashWatch &watch_;
    const HostGroups &groups_;
    std::optional<CrashCounter> counter_; // set while this host counts
    std::vector<CrashVerdict> shared_;    // the last list
    Instant sharedAt_;
};

} // namespace baobabstall::serving
