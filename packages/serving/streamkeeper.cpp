#include <serving/streamkeeper.h>

#include <algorithm>
#include <tuple>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace baobabstall::serving {

void StreamKeeper::save(std::vector<StoredStream> streams)
{
    nextSave_ = node_.now() + std::max(minInterval, hostInterval * node_.hostCount);
    if (streams.empty() && written_.empty()) {
        return;
    }
    isSaving_ = true;
    boost::asio::co_spawn(node_.io, write(std::move(streams)), boost::asio::detached);
}

net::Task<void> StreamKeeper::write(std::vector<StoredStream> streams)
{
    if (!hasListed_ && !isListing_) { // the record of this host's earlier run must not be lost
        co_await list();
    }
    if (!hasListed_) {
        isSaving_ = false;
        co_return;
    }
    const auto civilNow = core::civilMilliseconds();
    std::erase_if(earlier_, [civilNow](const StoredStream &stream) { return stream.until < civilNow; });
    streams.insert(streams.end(), earlier_.begin(), earlier_.end());
    std::sort(streams.begin(), streams.end(), [](const auto &a, const auto &b) { return std::tie(b.until, a) < std::tie(a.until, b); });
    streams.erase(std::unique(streams.begin(), streams.end()), streams.end());
    streams.resize(std::min(streams.size(), StoredStreams::maxStreamsPerHost));
    auto content = streams;
    for (auto &stream : content) { // the clocks' steps are no reason to write it again
        stream.until = 0;
    }
    std::sort(content.begin(), content.end());
    if (content == written_) {
        isSaving_ = false;
        co_return;
    }
    const auto text = streams.empty() ? std::string() : encodeStoredStreams(streams);
    core::Error why;
    core::Offset offset;
    const auto outcome = co_await store_.append(Topic::Streams, {{node_.settings.host.value(), text}}, core::Offset(0), offset, why);
    isSaving_ = false;
    node_.metrics.storeCalls.add({"append", outcome == AppendOutcome::Done ? "good" : "failed"});
    noteOutcome(outcome == AppendOutcome::Done, why);
    if (outcome == AppendOutcome::Done) {
        written_ = std::move(content);
    }
}

void StreamKeeper::refresh()
{
    const auto interval = std::max(minRefresh, hostRefresh * node_.hostCount);
    if (!isListing_ && (!listedAt_ || node_.now() - *listedAt_ >= interval)) {
        boost::asio::co_spawn(node_.io, list(), boost::asio::detached);
    }
}

net::Task<void> StreamKeeper::list()
{
    isListing_ = true;
    listedAt_ = node_.now();
    core::Error why;
    const auto listing = co_await store_.newest(Topic::Streams, why);
    isListing_ = false;
    node_.metrics.storeCalls.add({"newest", listing ? "good" : "failed"});
    noteOutcome(listing.has_value(), why);
    if (!listing) {
        co_return;
    }
    std::vector<StoredStream> all;
    for (const auto &record : listing->records) {
        const auto streams = record.value.empty() ? std::nullopt : decodeStoredStreams(record.value, why);
        if (!streams && !record.value.empty()) {
            node_.log.warn("record_unreadable", why);
        }
        if (!streams) {
            continue;
        }
        all.insert(all.end(), streams->begin(), streams->end());
        if (!hasListed_ && record.key == node_.settings.host.value()) {
            earlier_ = *streams;
        }
    }
    hasListed_ = true;
    stored_.assign(all, core::civilMilliseconds());
    node_.log.info("stored_streams_read", {{"hosts", listing->records.size()}, {"streams", stored_.size()}, {"took_ms", node_.now() - *listedAt_}});
}

void StreamKeeper::noteOutcome(bool isDone, const core::Error &why)
{
    if (!isDone && !std::exchange(isFailing_, true)) {
        node_.log.warn("streams_not_stored", why);
    }
    isFailing_ = !isDone;
}

} // namespace baobabstall::serving
