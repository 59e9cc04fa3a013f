// serving/follower.h: follows one topic of the store for as long as the process runs. I/O; one thread.
//
//   TopicFollower follower(node, store, Topic::Operators, {.wait = Milliseconds(2'000)}, events);
//   co_await follower.run();
//
// Begins with a listing of the newest record of each key, then reads on; lists again when records expired unread or after refresh().
// An error is told once, when reads begin to fail, and once when they succeed again.
#pragma once

#include <functional>

#include <boost/asio/steady_timer.hpp>

#include <serving/node.h>

namespace baobabstall::serving {

struct FollowOptions {
    Milliseconds wait{0};  // how long the store holds a read until there is a record; 0: answers at once
    Milliseconds pause{0}; // between two reads
};

struct TopicEvents {
    std::function<void(const StoreListing &listing)> onListing;
    std::function<void(const StorePage &page)> onPage; // also empty ones
    std::function<void(bool isReached)> onReached;
};

class TopicFollower
{
public:
    TopicFollower(Node &node, StoreLike &store, Topic topic, FollowOptions options, TopicEvents events);

    net::Task<void> run();
    void stop();
    void hurry() { timer_.cancel(); } // reads at once when it pauses
    [[nodiscard]] bool isKnown() const { return isKnown_; } // a listing was read
    [[nodiscard]] bool isReached() const { return isReached_; }
    [[nodiscard]] Instant readAt() const { return readAt_; }
    void setUrgent(bool isUrgent) { isUrgent_ = isUrgent; } // reads don't wait for news: their end matters

private:
    net::Task<bool> step();
    void note(bool isReached, const core::Error &why);
    net::Task<void> pause(Milliseconds time);

    Node &node_;
    StoreLike &store_;
    Topic topic_;
    FollowOptions options_;
    TopicEvents events_;
    boost::asio::steady_timer timer_;
    bool isRunning_ = true;
    bool isKnown_ = false;
    bool isReached_ = true;
    bool isUrgent_ = false;
    bool needsListing_ = true;
    int failures_ = 0;
    core::Offset next_;
    Instant readAt_;
};

} // namespace baobabstall::serving
