// HostedDaemon: the stored copy of the upstreams.
#include <serving/hosteddaemon.h>

#include <serving/upstreamcopy.h>

namespace baobabstall::serving {

using core::Error;
using core::Offset;

void HostedDaemon::applyUpstreamCopy(const std::string &text)
{
    Error why;
    auto copy = decodeUpstreamCopy(text, core::civilMilliseconds(), why);
    if (!copy) {
        logUnreadableRecord(Topic::Control, {Offset(), std::string(upstreamCopyKey), text}, why);
        copiedContent_.clear();
        return;
    }
    copiedContent_ = std::move(copy->content);
    if (!std::exchange(hasVersionHistory_, true)) { // that no other version came since is for the ledger to say
        node_.versions.adopt({Milliseconds(0), std::move(copy->past.gone)}, node_.now());
    }
    copiedUpstreams_ = std::move(copy->records);
    loadUpstreamCopy();
}

/// Applies the stored copy when listing the upstreams has failed and no listing has been read since the start.
void HostedDaemon::loadUpstreamCopy()
{
    if (upstreamsTopic_.isKnown() || upstreamsTopic_.isReached() || copiedUpstreams_.empty() || node_.replicas.size() > 0) {
        return;
    }
    node_.log.info("upstreams_from_copy", {{"upstreams", copiedUpstreams_.size()}});
    for (const auto &each : copiedUpstreams_) {
        onUpstreamChange(each.id, node_.replicas.apply(each));
    }
    updateResources();
}

/// The first leader stores a copy of the known upstreams when it differs from the stored one.
net::Task<void> HostedDaemon::saveUpstreamCopy()
{
    const bool isFirst = groups_.isOverallLeader(upstreamCopyKey);
    const bool isKnown = upstreamsTopic_.isKnown() && upstreamsTopic_.isReached() && controlTopic_.isKnown() && controlTopic_.isReached();
    if (isSavingCopy_ || !isFirst || !isKnown || node_.stop.hasBegun() || node_.replicas.size() == 0) {
        co_return;
    }
    const auto past = node_.versions.past(node_.now());
    auto content = copyContent(node_.replicas, past);
    if (content == copiedContent_) {
        co_return;
    }
    const auto copy = encodeUpstreamCopy(node_.replicas, past, core::civilMilliseconds());
    isSavingCopy_ = true;
    Error why;
    Offset offset;
    const auto outcome = co_await store_.append(Topic::Control, {{std::string(upstreamCopyKey), copy}}, Offset(0), offset, why);
    isSavingCopy_ = false;
    node_.metrics.storeCalls.add({"append", outcome == AppendOutcome::Done ? "good" : "failed"});
    if (outcome == AppendOutcome::Done) {
        copiedContent_ = std::move(content);
    } else {
        node_.log.warn("upstreams_not_copied", why);
    }
}

} // namespace baobabstall::serving
