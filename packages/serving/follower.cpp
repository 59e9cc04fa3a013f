#include <serving/follower.h>

#include <algorithm>

namespace baobabstall::serving {

namespace {

constexpr Milliseconds minRetryDelay{150};     // after the first failed read
constexpr Milliseconds maxRetryDelay{600};     // limits how late the return of the store is detected
constexpr Milliseconds urgentReadInterval{20}; // between reads in urgent mode

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

TopicFollower::TopicFollower(Node &node, AbstractStore &store, Topic topic, FollowOptions options, TopicEvents callbacks)
    : node_(node)
    , store_(store)
    , topic_(topic)
    , options_(options)
    , callbacks_(std::move(callbacks))
    , timer_(node.io)
{ }

net::Task<void> TopicFollower::run()
{
    while (isRunning_) {
        if (co_await step()) {
            consecutiveFailures_ = 0;
            co_await waitUntilDue();
        } else if (!needsListing_ || consecutiveFailures_ > 0) {
            const auto failedAt = lastReadAt_;
            co_await pause(retryDelay() + readDelay_); // the host that reads first also retries first
            if (lastReadAt_ > failedAt) {              // another host reaches the store and shared its page
                consecutiveFailures_ = 0;
                co_await waitUntilDue();
            }
        }
    }
}

Milliseconds TopicFollower::retryDelay() const
{
    constexpr int maxDoublings = 6;
    const bool isStandby = readDelay_.count() > 0 && !needsListing_;
    const auto first = isStandby ? maxRetryDelay : minRetryDelay;
    const auto longest = isStandby ? std::max(maxRetryDelay, options_.standbyRetry) : maxRetryDelay;
    return std::min(longest, first * (std::int64_t(1) << std::clamp(consecutiveFailures_ - 1, 0, maxDoublings)));
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
            ++consecutiveFailures_;
            setReachable(false, why);
            co_return false;
        }
        setReachable(true, why);
        applyListing(*listing);
        co_return true;
    }
    bool isExpired = false;
    const auto from = nextOffset_; // feed() may advance nextOffset_ during the read
    const auto page = co_await store_.read(topic_, from, isUrgent_ ? Milliseconds(0) : options_.wait, isExpired, why);
    node_.metrics.storeCalls.add({"read", page ? "good" : isExpired ? "expired" : "failed"});
    if (isExpired) {
        needsListing_ = true;
        node_.log.warn("records_expired", why, {{"topic", topicText(topic_)}, {"read_to", core::positionOf(from)}, {"era", core::eraOf(from)}});
        co_return false;
    }
    if (!page || !isRunning_) {
        ++consecutiveFailures_;
        setReachable(false, why);
        co_return false;
    }
    lastReadAt_ = node_.now();
    setReachable(true, why);
    if (page->nextOffset > nextOffset_ || page->records.empty()) { // otherwise a page from another host was applied during the read
        wasLastPageEmpty_ = page->records.empty();
        applyPage(*page);
        callbacks_.onRead({from, *page});
    }
    co_return true;
}

/// Offsets of another era say nothing about this one, so whatever was read before is replaced by the listing.
void TopicFollower::applyListing(const StoreListing &listing)
{
    const auto before = era();
    needsListing_ = false;
    nextOffset_ = std::max(listing.nextOffset, core::Offset(1));
    lastReadAt_ = node_.now();
    if (hasListing_ && era() > before) {
        node_.metrics.beliefChanges.add({"store_era"});
        node_.log.warn("store_era", {{"topic", topicText(topic_)}, {"era", era()}, {"before", before}, {"records", listing.records.size()}});
        if (callbacks_.onNewEra) {
            callbacks_.onNewEra(era());
        }
    }
    hasListing_ = true;
    callbacks_.onListing(listing);
}

void TopicFollower::feed(const SharedPage &shared)
{
    if (hasListing_ && !needsListing_ && core::eraOf(shared.page.nextOffset) > era()) {
        needsListing_ = true;
        hurry();
        return;
    }
    const bool isApplicable = hasListing_ && !needsListing_ && !isUrgent_ && shared.from <= nextOffset_ && shared.page.nextOffset >= nextOffset_;
    if (isApplicable) {
        lastReadAt_ = node_.now();
        applyPage(shared.page);
    }
}

void TopicFollower::applyPage(const StorePage &page)
{
    StorePage newRecords = page;
    std::erase_if(newRecords.records, [this](const StoreRecord &record) { return record.offset < nextOffset_; });
    nextOffset_ = std::max(nextOffset_, page.nextOffset);
    callbacks_.onPage(newRecords);
}

/// Waits until this host's next read is due; a page from another host postpones it.
net::Task<void> TopicFollower::waitUntilDue()
{
    if (isUrgent_) {
        co_await pause(urgentReadInterval);
        co_return;
    }
    while (isRunning_ && !isUrgent_ && !needsListing_) {
        const bool readsFirst = readDelay_.count() == 0 && options_.wait.count() > 0; // the store paces the reads by holding them open
        const auto batchDelay = wasLastPageEmpty_ ? Milliseconds(0) : options_.gather;
        const auto due = lastReadAt_ + (readsFirst ? batchDelay : options_.pause + readDelay_);
        const auto remaining = due - node_.now();
        if (remaining.count() <= 0 || readNow_) {
            break;
        }
        co_await pause(remaining);
    }
    readNow_ = false;
}

void TopicFollower::setReachable(bool isReachable, const core::Error &why)
{
    if (isReachable != isReachable_) {
        isReachable_ = isReachable;
        node_.metrics.beliefChanges.add({isReachable ? "store_regained" : "store_lost"});
        if (isReachable) {
            node_.log.info("store_regained", {{"topic", topicText(topic_)}, {"read_to", core::positionOf(nextOffset_)}, {"era", era()}});
        } else {
            node_.log.warn("store_lost", why, {{"topic", topicText(topic_)}, {"last_read_ms_ago", node_.now() - lastReadAt_}});
        }
    }
    callbacks_.onReached(isReachable);
}

net::Task<void> TopicFollower::pause(Milliseconds duration)
{
    if (duration.count() > 0 && isRunning_) {
        timer_.expires_after(net::chronoOf(duration));
        co_await timer_.async_wait(net::tuple);
    }
}

} // namespace baobabstall::serving
