// serving/crashexchange.h: sends what crashcounting.h has for other hosts over the links, and logs what changes. I/O; one thread.
//
//   CrashExchange exchange(node, groups);
//   exchange.setLinks(links);                        // until then this host counts for itself
//   exchange.tick();                                 // every 100 ms
//   exchange.onReport(notice);                       // a peer saw crashes
//   exchange.onVerdicts(from, notice);               // from the host that counts, or the leader that passes it on
//   if (co_await exchange.takeProbe(causes)) { ... } // one request with a blamed cause may be sent
//   exchange.serve(call, probeCall);                 // a peer asks for it
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
    void onReport(const peers::CrashReportNotice &notice);
    void onVerdicts(const HostId &from, const peers::CrashVerdictsNotice &notice);
    void onMembersChanged() { counting_.onMembersChanged(); }
    net::Task<bool> takeProbe(std::vector<CrashCause> causes);
    void serve(peers::IncomingCall &call, const peers::CrashProbeCall &request);

    static constexpr Milliseconds replyTimeout{200}; // for the answer of the host that counts: some round trips and a busy host

private:
    void logChanges(const std::vector<CrashVerdict> &changes);
    void logRefused(); // when the number of blamed causes changed
    void send(const peers::CrashVerdictsNotice &notice, const std::vector<HostId> &hosts);

    Node &node_;
    const HostGroups &groups_;
    CrashCounting counting_;
    peers::Links *links_ = nullptr;
    std::size_t blamedParts_ = 0; // as last logged
    std::size_t blamedRequests_ = 0;
};

} // namespace baobabstall::serving
