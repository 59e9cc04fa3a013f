#include <serving/follower.h>

#include <algorithm>

namespace baobabstall::serving {

namespace {

constexpr Milliseconds firstRetry{150};   // after a failed read
constexpr Milliseconds longestRetry{600}; // bounds how late the store's return is noticed
constexpr Milliseconds urgentPause{20};   // between reads whose end matters

std::string_view topicText(Topic topic)
{
    switch (topic) {
    case Topic::Operators:
        return "operators";
    case Topic::Upstreams:
        return "upstreams";
    default:
        return "control";
    }
}

} // namespace

TopicFollower::TopicFollower(Node &node, StoreLike &store, Topic topic, FollowOptions options, TopicEvents events)
    : node_(node)
    , store_(store)
    , topic_(topic)
    , options_(options)
    , events_(std::move(events))
    , timer_(node.io)
{ }

net::Task<void> TopicFollower::run()
{
    while (isRunning_) {
        if (co_await step()) {
            failures_ = 0;
            co_await pause(isUrgent_ ? urgentPause : options_.pause);
        } else if (!needsListing_ || failures_ > 0) {
            const auto wait = std::min(longestRetry, firstRetry * (std::int64_t(1) << std::min(failures_ - 1, 3)));
            co_await pause(wait);
        }
    }
}

void TopicFollower::stop()
{
    isRunning_ = false;
    timer_.cancel();
}

net::Task<bool> TopicFollower::step()
{
    core::Error why;
    if (needsListing_) {
        const auto listing = co_await store_.newest(topic_, why);
        node_.metrics.storeCalls.add({"newest", listing ? "good" : "failed"});
        if (!listing || !isRunning_) {
            ++failures_;
            note(false, why);
            co_return false;
        }
        needsListing_ = false;
        next_ = std::max(listing->next, core::Offset(1));
        readAt_ = node_.now();
        note(true, why);
        isKnown_ = true;
        events_.onListing(*listing);
        co_return true;
    }
    bool isGone = false;
    const auto page = co_await store_.read(topic_, next_, isUrgent_ ? Milliseconds(0) : options_.wait, isGone, why);
    node_.metrics.storeCalls.add({"read", page ? "good" : isGone ? "expired" : "failed"});
    if (isGone) {
        needsListing_ = true;
        node_.log.warn("records_expired", {{"topic", topicText(topic_)}, {"read_to", next_}});
        co_return false;
    }
    if (!page || !isRunning_) {
        ++failures_;
        note(false, why);
        co_return false;
    }
    next_ = page->readTo;
    readAt_ = node_.now();
    note(true, why);
    events_.onPage(*page);
    co_return true;
}

void TopicFollower::note(bool isReached, const core::Error &why)
{
    if (isReached != isReached_) {
        isReached_ = isReached;
        node_.metrics.events.add({isReached ? "store_regained" : "store_lost"});
        if (isReached) {
            node_.log.info("store_regained", {{"topic", topicText(topic_)}, {"read_to", next_}});
        } else {
            node_.log.warn("store_lost", why, {{"topic", topicText(topic_)}, {"last_read_ms_ago", node_.now() - readAt_}});
        }
    }
    events_.onReached(isReached);
}

net::Task<void> TopicFollower::pause(Milliseconds time)
{
    if (time.count() > 0 && isRunning_) {
        timer_.expires_after(net::chronoOf(time));
        co_await timer_.async_wait(net::tuple);
    }
}

} // namespace baobabstall::serving
