// serving/storepages.h: passes pages of the store's topics between hosts, so that one host reads for all. I/O; one thread.
//
//   StorePages pages(node, groups, {&operators, &upstreams, &control});
//   pages.setLinks(links);
//   pages.share(Topic::Operators, shared);   // read by this host
//   pages.onNotice(from, notice);            // page, clock query or clock answer
//
// A page tells how long ago its read began. The receiver converts that to its own clock (peerclocks.h), so a page that waited in a slow
// host, a congested link or the socket of a suspended process is taken for as old as it is. A page from a host whose clock is not known
// yet is applied, but puts off no own read until the host has answered a query.
#pragma once

#include <array>
#include <map>

#include <peers/link.h>
#include <peers/peerclocks.h>
#include <serving/follower.h>
#include <serving/hostgroups.h>

namespace baobabstall::serving {

class StorePages
{
public:
    StorePages(Node &node, const HostGroups &groups, std::array<TopicFollower *, 3> followers);

    void setLinks(peers::Links &links) { links_ = &links; }
    void share(Topic topic, const SharedPage &shared);
    void onPage(const HostId &from, const peers::StorePageNotice &page);
    void onClockQuery(const HostId &from, const peers::ClockQuery &query);
    void onClockAnswer(const HostId &from, const peers::ClockAnswer &answer);

    static constexpr std::size_t maxSharedPageBytes = 256 * 1024; // of a larger page only the extent is passed on, and each host reads it itself

private:
    /// The newest page of a topic, applied before its sender's clock was known.
    struct UndatedPage {
        HostId sender;
        Instant sentAt; // by the sender's clock
        Milliseconds age;
        bool isToEnd = false;
        core::StoreEra era;
    };

    void send(const peers::StorePageNotice &page, const std::vector<HostId> &hosts);
    void queryClock(const HostId &host);
    /// The start of the page's read by this host's clock; nothing when the ages or clocks on its way are not known.
    [[nodiscard]] std::optional<Instant> dateOf(const HostId &from, const peers::StorePageNotice &page) const;
    [[nodiscard]] TopicFollower *followerOf(std::string_view topic) const;

    Node &node_;
    const HostGroups &groups_;
    std::array<TopicFollower *, 3> followers_;
    peers::Links *links_ = nullptr;
    peers::PeerClocks clocks_;
    std::map<TopicFollower *, UndatedPage> undatedPages_;
};

} // namespace baobabstall::serving
