#include <serving/follower.h>

#include <algorithm>

namespace baobabstall::serving {

namespace {

constexpr Milliseconds firstRetry{150};   // after a failed read
constexpr Milliseconds longestRetry{600}; // bounds how late the store's return is noticed
constexpr Milliseconds urgentPause{20};   // between reads whose end matters

} // namespace

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

TopicFollower::TopicFollower(Node &node, AbstractStore &store, Topic topic, FollowOptions options, TopicEvents events)
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
            co_await waitTurn();
        } else if (!needsListing_ || failures_ > 0) {
            const auto wait = std::min(longestRetry, firstRetry * (std::int64_t(1) << std::min(failures_ - 1, 3)));
            co_await pause(wait + turn_); // who reads first also asks first whether it is back
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
        next_ = std::max(listing->nextOffset, core::Offset(1));
        readAt_ = node_.now();
        note(true, why);
        isKnown_ = true;
        events_.onListing(*listing);
        co_return true;
    }
    bool isGone = false;
    const auto from = next_; // another host's page may move next_ meanwhile
    const auto page = co_await store_.read(topic_, from, isUrgent_ ? Milliseconds(0) : options_.wait, isGone, why);
    node_.metrics.storeCalls.add({"read", page ? "good" : isGone ? "expired" : "failed"});
    if (isGone) {
        needsListing_ = true;
        node_.log.warn("records_expired", {{"topic", topicText(topic_)}, {"read_to", from}});
        co_return false;
    }
    if (!page || !isRunning_) {
        ++failures_;
        note(false, why);
        co_return false;
    }
    readAt_ = node_.now();
    note(true, why);
    if (page->nextOffset > next_ || page->records.empty()) { // else another host's page came first
        wasEmpty_ = page->records.empty();
        take(*page);
        events_.onRead({from, *page});
    }
    co_return true;
}

void TopicFollower::feed(const SharedPage &shared)
{
    const bool fits = isKnown_ && !needsListing_ && !isUrgent_ && shared.from <= next_ && shared.page.nextOffset >= next_;
    if (fits) {
        readAt_ = node_.now();
        take(shared.page);
    }
}

void TopicFollower::take(const StorePage &page)
{
    StorePage rest = page;
    std::erase_if(rest.records, [this](const StoreRecord &record) { return record.offset < next_; });
    next_ = std::max(next_, page.nextOffset);
    events_.onPage(rest);
}

/// Until this host's turn to read has come without news from others.
net::Task<void> TopicFollower::waitTurn()
{
    if (isUrgent_) {
        co_await pause(urgentPause);
        co_return;
    }
    while (isRunning_ && !isUrgent_ && !needsListing_) {
        const bool mayGoOn = turn_.count() == 0 && options_.wait.count() > 0; // the store itself makes this host wait
        const auto gather = wasEmpty_ ? Milliseconds(0) : options_.gather;
        const auto due = readAt_ + (mayGoOn ? gather : options_.pause + turn_);
        const auto left = due - node_.now();
        if (left.count() <= 0 || isHurried_) {
            break;
        }
        co_await pause(left);
    }
    isHurried_ = false;
}

void TopicFollower::note(bool isReached, const core::Error &why)
{
    if (isReached != isReached_) {
        isReached_ = isReached;
        node_.metrics.beliefChanges.add({isReached ? "store_regained" : "store_lost"});
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
