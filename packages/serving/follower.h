// serving/follower.h: follows one topic of the store for as long as the process runs. I/O; one thread.
//
//   TopicFollower follower(node, store, Topic::Operators, {.wait = Milliseconds(2'000)}, events);
//   co_await follower.run();
//
// Hosts read by turns: whoever has waited longest without news reads and shares the page (onRead), and the others take it (feed())
// in place of a read of their own. Each host has a turn, so that mostly one reads: one that gets nothing reads by itself, `pause`
// and its turn after the last news.
//
// Begins with a listing of the newest record of each key, then reads on; lists again when records expired unread or after refresh().
// An error is told once, when reads begin to fail, and once when they succeed again.
#pragma once

#include <functional>

#include <boost/asio/steady_timer.hpp>

#include <serving/node.h>

namespace baobabstall::serving {

/// The same on all hosts; in log lines and shared pages.
[[nodiscard]] std::string_view topicText(Topic topic);

struct FollowOptions {
    Milliseconds wait{0};     // how long the store holds a read until there is a record; 0: answers at once
    Milliseconds pause{0};    // between two reads
    Milliseconds gather{200}; // after a page with records: where many hosts append at once, their records come in one page, not one by one
};

/// A page as another host read it.
struct SharedPage {
    core::Offset from;
    StorePage page;
};

struct TopicEvents {
    std::function<void(const StoreListing &listing)> onListing;
    std::function<void(const StorePage &page)> onPage; // also empty ones
    std::function<void(bool isReached)> onReached;
    std::function<void(const SharedPage &shared)> onRead; // to be shared
};

class TopicFollower
{
public:
    TopicFollower(Node &node, AbstractStore &store, Topic topic, FollowOptions options, TopicEvents events);

    net::Task<void> run();
    void stop();
    /// Reads at once when it pauses.
    void hurry()
    {
        isHurried_ = true;
        timer_.cancel();
    }
    [[nodiscard]] std::string_view name() const { return topicText(topic_); }
    [[nodiscard]] bool isKnown() const { return isKnown_; } // a listing was read
    [[nodiscard]] bool isReached() const { return isReached_; }
    [[nodiscard]] Instant readAt() const { return readAt_; }
    /// Takes a page that another host read, if it goes on where this one stands. Ignored while urgent: what lay in a buffer proves nothing.
    void feed(const SharedPage &shared);
    void setTurn(Milliseconds turn) { turn_ = turn; }       // 0: reads first
    void setUrgent(bool isUrgent) { isUrgent_ = isUrgent; } // reads don't wait for news: their end matters

private:
    net::Task<bool> step();
    void take(const StorePage &page); // what it has beyond next_
    void note(bool isReached, const core::Error &why);
    net::Task<void> pause(Milliseconds time);
    net::Task<void> waitTurn();

    Node &node_;
    AbstractStore &store_;
    Topic topic_;
    FollowOptions options_;
    TopicEvents events_;
    boost::asio::steady_timer timer_;
    bool isRunning_ = true;
    bool isKnown_ = false;
    bool isReached_ = true;
    bool isUrgent_ = false;
    bool isHurried_ = false;
    bool wasEmpty_ = true; // the page of the last read
    bool needsListing_ = true;
    int failures_ = 0;
    Milliseconds turn_{0};
    core::Offset next_;
    Instant readAt_;
};

} // namespace baobabstall::serving
