// serving/partcounting.h: which host counts crashes by parts of prompts, and what one host sends to others for it. No I/O.
//
//   PartCounting counting(ownHost, watch, groups);
//   const auto messages = counting.tick(now);       // every 100 ms: a report for the host that counts, or its verdicts for all
//   counting.onReport(from, report, now);           // a peer saw crashes
//   counting.onVerdicts(verdicts, now);             // from the host that counts, or the leader that passes it on
//
// The overall leader of the groups counts. Any host that comes to lead takes over the verdicts that it knows, and gets the reports again.
#pragma once

#include <serving/crashcounter.h>
#include <serving/hostgroups.h>
#include <serving/partwatch.h>

namespace baobabstall::serving {

class PartCounting
{
public:
    struct Messages {
        HostId counter{};                                   // receives `report`
        std::optional<PartReport> report{};                 // nothing: there is none, or this host counts
        std::optional<std::vector<PartVerdict>> verdicts{}; // for all hosts; nothing: they need not hear now
        std::vector<PartVerdict> changes{};                 // parts that this host blamed or cleared
    };

    PartCounting(HostId ownHost, PartWatch &watch, const HostGroups &groups)
        : ownHost_(std::move(ownHost))
        , watch_(watch)
        , groups_(groups)
    { }

    /// `isAlone`: other hosts can't be reached yet, so this one counts for itself.
    [[nodiscard]] Messages tick(Instant now, bool isAlone = false);
    void onReport(const HostId &from, const PartReport &report, Instant now);
    void onVerdicts(const std::vector<PartVerdict> &verdicts, Instant now) { watch_.onVerdicts(verdicts, now); }

    static constexpr std::string_view purpose = "crashes"; // for electing the host that counts
    static constexpr Milliseconds verdictInterval{500};    // between two lists without a change

private:
    void updateCounter(bool isCounter, Instant now);
    [[nodiscard]] bool isDue(const std::vector<PartVerdict> &verdicts, Instant now) const;

    HostId ownHost_;
    PartWatch &watch_;
    const HostGroups &groups_;
    std::optional<CrashCounter> counter_; // set while this host counts
    std::vector<PartVerdict> shared_;     // the last list
    Instant sharedAt_;
};

} // namespace baobabstall::serving
