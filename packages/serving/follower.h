// serving/follower.h: reads one topic of the store continuously and delivers its records to callbacks. I/O; single-threaded.
//
//   TopicFollower follower(node, store, Topic::Operators, {.wait = Milliseconds(2'000)}, callbacks);
//   co_await follower.run();
//
// To limit load on the store, usually only one host reads: it shares each page (onRead) and the other hosts apply it with feed()
// instead of reading themselves. Each host has its own read delay, see setTurn(); a host that receives no page for `pause` plus its
// delay reads the store itself.
//
// Starts with a listing of the newest record of each key, then reads new records in order. Lists again when records expired before
// they were read, after an exception, and when the store came back as an earlier copy of itself (a new era): the own read or a page of another host shows it.
// Logs one line when reads start to fail and one when they succeed again.
#pragma once

#include <functional>

#include <boost/asio/steady_timer.hpp>

#include <serving/node.h>
#include <serving/readschedule.h>

namespace baobabstall::serving {

/// Used in log lines and shared pages; identical on all hosts.
[[nodiscard]] std::string_view topicText(Topic topic);
/// Of keys and values.
[[nodiscard]] std::size_t bytesOf(const std::vector<StoreRecord> &records);

/// A page read by another host.
struct SharedPage {
    core::Offset from; // offset at which the read started
    StorePage page;
    HostId sender{};                 // the host that this page came from
    std::optional<Instant> readAt{}; // when the read began at the latest, by this host's clock; nothing: not known, so the page proves no freshness

    [[nodiscard]] bool isToEnd() const { return page.nextOffset >= page.endOffset; }                // of the topic, at the read
    [[nodiscard]] bool isLeftOut() const { return page.records.empty() && page.nextOffset > from; } // the records are too large to pass on
};

struct TopicEvents {
    std::function<void(core::StoreEra era)> onNewEra; // before the first listing of a later era than the one followed so far; may be empty
    std::function<void(const StoreListing &listing)> onListing;
    std::function<void(const StorePage &page)> onPage;    // also called for empty pages
    std::function<void(bool isReachable)> onReached;      // after each read or listing; false if it failed
    std::function<void(const SharedPage &shared)> onRead; // a page to share with the other hosts
    std::function<void(Instant askedAt)> onCaughtUp{};    // all that the topic had at that moment has been applied; may be empty
};

class TopicFollower
{
public:
    TopicFollower(Node &node, AbstractStore &store, Topic topic, FollowOptions options, TopicEvents callbacks);

    net::Task<void> run();
    void stop();
    /// Ends the current pause and reads immediately.
    void hurry()
    {
        schedule_.requestRead();
        timer_.cancel();
    }
    [[nodiscard]] std::string_view name() const { return topicText(topic_); }
    [[nodiscard]] bool isKnown() const { return hasListing_; } // the first listing has been read
    [[nodiscard]] bool isReached() const { return isReachable_; }
    [[nodiscard]] core::Offset nextOffset() const { return nextOffset_; }         // of the first record that has not been applied
    [[nodiscard]] core::StoreEra era() const { return core::eraOf(nextOffset_); } // of the store, at the last listing
    [[nodiscard]] Instant readAt() const { return schedule_.readAt(); }           // start of the newest read known, including those of other hosts
    [[nodiscard]] Instant ownReadAt() const { return ownReadAt_; }                // last successful read or listing by this host
    [[nodiscard]] Milliseconds readTime() const { return readTime_; }             // how long that one took, waiting for a record included
    [[nodiscard]] std::uint64_t recordsLeft() const { return recordsLeft_; }      // in the topic after the page being applied, when it was read
    [[nodiscard]] const HostId &source() const { return source_; } // of the records being applied: the host that sent the page; empty: this host's own read
    /// Applies a page read by another host if it continues at this host's offset without a gap. Ignored in urgent mode, because a page
    /// that was buffered on the way doesn't prove that the topic was read to its current end. A page of a later era makes this host list.
    /// Returns whether the page was applied. A page that leaves a gap, or whose records are left out because of their size, makes this host
    /// read them itself soon.
    bool feed(const SharedPage &shared);
    /// A page that was applied without its time was read at `readAt`. `isToEnd`: SharedPage::isToEnd() of it.
    void onPageDated(Instant readAt, bool isToEnd = false);
    /// The same for a host that has just started (ReadSchedule::setFirstTurn()).
    void setFirstTurn(Milliseconds readDelay, Milliseconds spread, double linkMbps);
    void setTurn(Milliseconds readDelay, Milliseconds longestTurn, double slowestLinkMbps = 0); // see ReadSchedule, also for the next two
    void setGather(Milliseconds delay) { schedule_.setGather(delay); }
    void setUrgent(bool isUrgent) { schedule_.setUrgent(isUrgent); }

private:
    net::Task<void> step();
    void onException(const std::string &what); // records may have been passed over: the topic is listed again
    void tellCaughtUp(Instant askedAt);
    void readSoon(core::Offset end);    // the topic is known to have records up to there
    void wakeIfEarlier(Instant before); // the next read was due then before the schedule changed
    /// `page` ended before the topic: lists it instead of reading on where that is sooner.
    void chooseListing(const StorePage &page);
    [[nodiscard]] bool applyListing(StoreListing listing);
    void applyPage(const StorePage &page); // skips records before nextOffset_
    void setReachable(bool isReachable, const core::Error &why);
    net::Task<void> pause(Milliseconds time);
    net::Task<void> waitUntilDue();

    Node &node_;
    AbstractStore &store_;
    Topic topic_;
    ReadSchedule schedule_;
    TopicEvents callbacks_;
    boost::asio::steady_timer timer_;
    bool isRunning_ = true;
    bool hasListing_ = false;
    bool isReachable_ = true;
    bool needsListing_ = true;
    core::Offset nextOffset_;
    core::Offset knownEnd_; // of the topic, by pages of other hosts
    Instant ownReadAt_;
    Milliseconds readTime_;
    std::uint64_t recordsLeft_ = 0;
    std::size_t listingBytes_ = 0; // of the last listing
    HostId source_;
    std::string lastException_;
};

} // namespace baobabstall::serving
