#include <serving/follower.h>

#include <algorithm>
#include <numeric>

namespace baobabstall::serving {

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

std::size_t bytesOf(const std::vector<StoreRecord> &records)
{
    return std::accumulate(records.begin(), records.end(), std::size_t(0), [](std::size_t sum, const auto &each) { return sum + each.bytes(); });
}

TopicFollower::TopicFollower(Node &node, AbstractStore &store, Topic topic, FollowOptions options, TopicEvents callbacks)
    : node_(node)
    , store_(store)
    , topic_(topic)
    , schedule_(options)
    , callbacks_(std::move(callbacks))
    , timer_(node.io)
{ }

net::Task<void> TopicFollower::run()
{
    while (isRunning_) {
        schedule_.onReadBegun(node_.now());
        std::string exception;
        try {
            co_await step();
        } catch (const std::exception &thrown) {
            exception = thrown.what();
        }
        if (!exception.empty()) {
            onException(exception);
        }
        co_await waitUntilDue();
    }
}

void TopicFollower::onException(const std::string &what)
{
    needsListing_ = true;
    schedule_.onReadFailed(node_.now(), false);
    if (std::exchange(lastException_, what) != what) {
        node_.log.error("list_not_applied", {.step = core::Step::Log, .reason = what}, {{"topic", topicText(topic_)}, {"next", "the topic is listed again"}});
    }
}

void TopicFollower::setTurn(Milliseconds readDelay, Milliseconds longestTurn, double slowestLinkMbps)
{
    const auto before = schedule_.nextRead();
    schedule_.setTurn(readDelay, longestTurn, slowestLinkMbps);
    wakeIfEarlier(before);
}

void TopicFollower::setFirstTurn(Milliseconds readDelay, Milliseconds spread, double linkMbps)
{
    const auto before = schedule_.nextRead();
    schedule_.setFirstTurn(readDelay, spread, linkMbps);
    wakeIfEarlier(before);
}

void TopicFollower::stop()
{
    isRunning_ = false;
    timer_.cancel();
}

net::Task<void> TopicFollower::step()
{
    core::Error why;
    if (needsListing_) {
        auto listing = co_await store_.newest(topic_, why);
        node_.metrics.storeCalls.add({"newest", listing ? "good" : "failed"});
        if (!listing || !isRunning_) {
            schedule_.onReadFailed(node_.now(), false);
            setReachable(false, why);
            co_return;
        }
        setReachable(true, why);
        if (applyListing(std::move(*listing))) {
            tellCaughtUp(schedule_.begunAt());
        } else {
            schedule_.requestRead();
        }
        co_return;
    }
    bool isExpired = false;
    const auto from = nextOffset_; // feed() may advance nextOffset_ during the read
    const auto page = co_await store_.read(topic_, from, schedule_.wait(), isExpired, why);
    node_.metrics.storeCalls.add({"read", page ? "good" : isExpired ? "expired" : "failed"});
    if (isExpired) {
        needsListing_ = true;
        schedule_.onExpired();
        node_.log.warn("records_expired", why, {{"topic", topicText(topic_)}, {"read_to", core::positionOf(from)}, {"era", core::eraOf(from)}});
        co_return;
    }
    if (!page || !isRunning_) {
        schedule_.onReadFailed(node_.now(), true);
        setReachable(false, why);
        co_return;
    }
    const auto extent = page->records.empty() ? PageExtent::Empty : page->nextOffset < page->endOffset ? PageExtent::Cut : PageExtent::Whole;
    schedule_.onRead(node_.now(), extent, bytesOf(page->records));
    ownReadAt_ = node_.now();
    readTime_ = ownReadAt_ - schedule_.begunAt();
    source_ = HostId();
    setReachable(true, why);
    if (page->nextOffset > nextOffset_ || page->records.empty()) { // otherwise a page from another host was applied during the read
        applyPage(*page);
        if (extent == PageExtent::Cut) {
            chooseListing(*page);
        }
        callbacks_.onRead({from, *page, node_.settings.host, schedule_.begunAt()});
    }
    if (extent != PageExtent::Cut) {
        tellCaughtUp(schedule_.begunAt());
    }
}

/// Not while records may have been passed over.
void TopicFollower::tellCaughtUp(Instant askedAt)
{
    if (hasListing_ && !needsListing_ && callbacks_.onCaughtUp) {
        callbacks_.onCaughtUp(askedAt);
    }
}

void TopicFollower::onPageDated(Instant readAt, bool isToEnd)
{
    schedule_.onPage(readAt);
    if (isToEnd) {
        tellCaughtUp(readAt);
    }
}

void TopicFollower::chooseListing(const StorePage &page)
{
    const auto largest = std::max_element(page.records.begin(), page.records.end(), [](const auto &a, const auto &b) { return a.bytes() < b.bytes(); });
    const auto bytesLeft = bytesOf(page.records) / page.records.size() * recordsLeft_;
    if (isListingSooner(bytesLeft, listingBytes_ + largest->bytes())) {
        needsListing_ = true;
        node_.log.info("listing_instead_of_backlog", {{"topic", topicText(topic_)}, {"records_left", recordsLeft_}, {"bytes_left", bytesLeft}});
    }
}

/// Offsets of another era say nothing about this one, so whatever was read before is replaced by the listing.
/// Records appended while it was listed are left to the reads that follow, which have them in order: later pages hold only some of them, and
/// their offsets would make the others look as if they had been applied. Returns false if there are any.
bool TopicFollower::applyListing(StoreListing listing)
{
    const auto before = era();
    needsListing_ = false;
    listingBytes_ = bytesOf(listing.records);
    nextOffset_ = std::max(listing.nextOffset, core::Offset(1));
    schedule_.onRead(node_.now(), PageExtent::Empty);
    ownReadAt_ = node_.now();
    readTime_ = ownReadAt_ - schedule_.begunAt();
    recordsLeft_ = 0;
    source_ = HostId();
    if (hasListing_ && era() > before) {
        node_.metrics.beliefChanges.add({"store_era"});
        node_.log.warn("store_era", {{"topic", topicText(topic_)}, {"era", era()}, {"before", before}, {"records", listing.records.size()}});
        if (callbacks_.onNewEra) {
            callbacks_.onNewEra(era());
        }
    }
    hasListing_ = true;
    const auto newer = std::erase_if(listing.records, [this](const StoreRecord &record) { return record.offset >= nextOffset_; });
    callbacks_.onListing(listing);
    return newer == 0;
}

bool TopicFollower::feed(const SharedPage &shared)
{
    if (hasListing_ && !needsListing_ && core::eraOf(shared.page.nextOffset) > era()) {
        needsListing_ = true;
        hurry();
        return false;
    }
    if (hasListing_ && !needsListing_ && (shared.isLeftOut() || shared.from > nextOffset_)) {
        readSoon(shared.page.nextOffset);
        return false;
    }
    const bool isApplicable = hasListing_ && !needsListing_ && !schedule_.isUrgent() && shared.from <= nextOffset_ && shared.page.nextOffset >= nextOffset_;
    if (isApplicable) {
        if (shared.readAt) {
            schedule_.onPage(*shared.readAt);
        }
        source_ = shared.sender;
        try {
            applyPage(shared.page);
            if (shared.readAt && shared.isToEnd()) {
                tellCaughtUp(*shared.readAt);
            }
        } catch (const std::exception &thrown) {
            onException(thrown.what());
            hurry();
        }
    }
    return isApplicable;
}

void TopicFollower::readSoon(core::Offset end)
{
    if (core::eraOf(end) != era() || end <= nextOffset_) {
        return;
    }
    knownEnd_ = std::max(knownEnd_, end);
    const auto before = schedule_.nextRead();
    schedule_.onAppended(node_.now());
    wakeIfEarlier(before);
}

void TopicFollower::wakeIfEarlier(Instant before)
{
    if (schedule_.nextRead() < before) {
        timer_.cancel();
    }
}

void TopicFollower::applyPage(const StorePage &page)
{
    StorePage newRecords = page;
    std::erase_if(newRecords.records, [this](const StoreRecord &record) { return record.offset < nextOffset_; });
    nextOffset_ = std::max(nextOffset_, page.nextOffset);
    if (nextOffset_ >= knownEnd_) {
        schedule_.onCaughtUp();
    }
    recordsLeft_ = page.endOffset > nextOffset_ ? page.endOffset.value() - nextOffset_.value() : 0;
    callbacks_.onPage(newRecords);
}

/// Waits until this host's next read is due; a page from another host postpones it.
net::Task<void> TopicFollower::waitUntilDue()
{
    for (auto remaining = schedule_.nextRead() - node_.now(); isRunning_ && remaining.count() > 0; remaining = schedule_.nextRead() - node_.now()) {
        co_await pause(remaining);
    }
}

void TopicFollower::setReachable(bool isReachable, const core::Error &why)
{
    if (isReachable != isReachable_) {
        isReachable_ = isReachable;
        node_.metrics.beliefChanges.add({isReachable ? "store_regained" : "store_lost"});
        if (isReachable) {
            node_.log.info("store_regained", {{"topic", topicText(topic_)}, {"read_to", core::positionOf(nextOffset_)}, {"era", era()}});
        } else {
            node_.log.warn("store_lost", why, {{"topic", topicText(topic_)}, {"last_read_ms_ago", node_.now() - schedule_.readAt()}});
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
