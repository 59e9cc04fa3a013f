#include <serving/versionproof.h>

#include <algorithm>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace baobabstall::serving {

void VersionProof::seek(Instant askedAt)
{
    if (isReading_ || node_.versionsReadAt >= askedAt || node_.now() < nextTry_ || !controlTopic_.isKnown()) {
        return;
    }
    isReading_ = true;
    nextTry_ = node_.now() + std::max(minInterval, hostInterval * node_.hostCount);
    boost::asio::co_spawn(node_.io, read(), boost::asio::detached);
}

net::Task<void> VersionProof::read()
{
    const auto begunAt = node_.now();
    const auto from = controlTopic_.nextOffset();
    bool isExpired = false;
    core::Error why;
    const auto page = co_await store_.read(Topic::Control, from, Milliseconds(0), isExpired, why);
    isReading_ = false;
    node_.metrics.storeCalls.add({"read", page ? "good" : isExpired ? "expired" : "failed"});
    const bool wasFailing = std::exchange(isFailing_, !page && !isExpired);
    if (page) {
        controlTopic_.feed({from, *page, HostId(), begunAt});
        co_return;
    }
    nextTry_ = std::max(nextTry_, node_.now() + retryTime);
    if (isExpired) {
        controlTopic_.hurry(); // it lists the topic
    } else if (!wasFailing) {
        node_.log.warn("versions_not_read", why);
    }
}

} // namespace baobabstall::serving
