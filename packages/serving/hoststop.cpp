// HostedDaemon: a planned stop.
#include <serving/hosteddaemon.h>

#include <algorithm>

#include <serving/hostend.h>

namespace baobabstall::serving {

namespace {

constexpr Milliseconds drainPollInterval{20};  // while stopping
constexpr Milliseconds linkFinishTimeout{100}; // for peers that are slow to read the last replies

} // namespace

net::Task<void> HostedDaemon::stop()
{
    const auto begin = node_.now();
    constexpr double msPerSecond = 1'000;
    const auto times = GracefulStop::timesOf(begin, Milliseconds(static_cast<std::int64_t>(node_.settings.hosting.graceSeconds * msPerSecond)));
    node_.log.info("stopping", {{"busy", callerServer_.busyConnections()}, {"connections", callerServer_.connections()}, {"owned", ownedReplicas_.size()}});
    callerServer_.beginStop();
    node_.stop.begin(times);
    if (links_) {
        sendMessages(membership_.leave(node_.now()));
    }
    planner_.stop();
    tick();
    while (node_.now() < std::min(times.endsAt, times.unbalancedAt)) {
        co_await net::sleep(node_.io, drainPollInterval);
    }
    HostEnd end(times.endsAt);
    const auto open = [this] {
        callerServer_.closeIdle();
        return HostEnd::Open{callerServer_.connections() + static_cast<std::size_t>(relayExchange_.running()), planner_.holdings().size()};
    };
    while (!end.isDue(open(), node_.now())) {
        co_await net::sleep(node_.io, drainPollInterval);
    }
    if (links_) {
        co_await links_->finish(linkFinishTimeout);
    }
    callerServer_.reportOpen();
    node_.log.info("stopped",
                   {{"unfinished", callerServer_.busyConnections()},
                    {"connections", callerServer_.connections()},
                    {"relayed", relayExchange_.running()},
                    {"last_accept_ms_ago", callerServer_.lastAcceptedAt() ? node_.now() - *callerServer_.lastAcceptedAt() : Milliseconds(-1)},
                    {"unreleased", planner_.holdings().size()},
                    {"took_ms", node_.now() - begin}});
    isRunning_ = false;
}

void HostedDaemon::logClosedConnection(const ConnectionEnd &end)
{
    const auto cause = connectionCauseText(end.cause);
    node_.metrics.closedConnections.add({cause});
    if (!end.isNotable()) {
        return;
    }
    node_.log.info("connection_closed",
                   {{"request_id", end.request},
                    {"cause", cause},
                    {"in_request", end.isInRequest},
                    {"requests", end.requests},
                    {"bytes_read", end.bytesRead},
                    {"bytes_written", end.bytesWritten},
                    {"bytes_unread", end.bytesUnread},
                    {"stopping", end.isStopping},
                    {"why", end.detail}});
}

} // namespace baobabstall::serving
