// serving/crashexchange.h: sends what crashcounting.h has for other hosts over the links, and logs what changes. I/O; one thread.
//
//   CrashExchange exchange(node, groups);
//   exchange.setLinks(links);            // until then this host counts for itself
//   exchange.tick();                     // every 100 ms
//   exchange.onReport(from, notice);     // a peer saw crashes
//   exchange.onVerdicts(from, notice);   // from the host that counts, or the leader that passes it on
#pragma once

#include <peers/link.h>
#include <serving/crashcounting.h>
#include <serving/node.h>

namespace baobabstall::serving {

class CrashExchange
{
public:
    CrashExchange(Node &node, const HostGroups &groups)
        : node_(node)
        , groups_(groups)
        , counting_(node.settings.host, node.crashes, groups)
    { }

    void setLinks(peers::Links &links) { links_ = &links; }
    void tick();
    void onReport(const HostId &from, const peers::CrashReportNotice &notice);
    void onVerdicts(const HostId &from, const peers::CrashVerdictsNotice &notice);

private:
    void logChanges(const std::vector<CrashVerdict> &changes);
    void logRefusedParts(std::size_t before); // when their number changed
    void send(const peers::CrashVerdictsNotice &notice, const std::vector<HostId> &hosts);

    Node &node_;
    const HostGroups &groups_;
    CrashCounting counting_;
    peers::Links *links_ = nullptr;
};

} // namespace baobabstall::serving
