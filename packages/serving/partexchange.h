// serving/partexchange.h: brings what hosts know about parts of prompts that crash upstreams to the host that counts, and its verdicts to all
// hosts. I/O; one thread.
//
//   PartExchange exchange(node, groups);
//   exchange.setLinks(links);            // until then this host counts by itself
//   exchange.tick();                     // every 100 ms
//   exchange.onReport(from, notice);     // a peer saw crashes
//   exchange.onVerdicts(from, notice);   // from the host that counts, or the leader that passes it on
//
// The overall leader of the groups counts. Any host that comes to lead takes over the verdicts that it knows, and gets the reports again.
#pragma once

#include <peers/link.h>
#include <serving/crashcounter.h>
#include <serving/hostgroups.h>
#include <serving/node.h>

namespace baobabstall::serving {

class PartExchange
{
public:
    PartExchange(Node &node, const HostGroups &groups)
        : node_(node)
        , groups_(groups)
    { }

    void setLinks(peers::Links &links) { links_ = &links; }
    void tick();
    void onReport(const HostId &from, const peers::PartReportNotice &notice);
    void onVerdicts(const HostId &from, const peers::PartVerdictsNotice &notice);

    static constexpr std::string_view purpose = "crashes"; // for electing the host that counts
    static constexpr Milliseconds verdictInterval{500};    // between two lists without a change

private:
    void updateCounter(bool isCounter);
    void applyReport(const HostId &from, const PartReport &report);
    void shareVerdicts(const std::vector<PartVerdict> &verdicts);
    void applyVerdicts(const std::vector<PartVerdict> &verdicts);
    void send(const peers::PartVerdictsNotice &notice, const std::vector<HostId> &hosts);

    Node &node_;
    const HostGroups &groups_;
    peers::Links *links_ = nullptr;
    std::optional<CrashCounter> counter_; // set while this host counts
    std::vector<PartVerdict> shared_;     // the last list
    Instant sharedAt_;
};

} // namespace baobabstall::serving
