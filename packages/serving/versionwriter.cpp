#include <serving/versionwriter.h>

namespace baobabstall::serving {

namespace {

constexpr std::string_view purpose = "software"; // for electing a leader

} // namespace

bool VersionWriter::apply(const StoreRecord &record, core::Error &why)
{
    if (!node_.ledger.apply(record.key, record.value, why)) {
        return false;
    }
    nextCheck_ = node_.now();
    if (node_.ledger.isListed()) {
        noteNamed();
    }
    return true;
}

/// Streams may begin at a named version at other hosts, also before this one sees an upstream of it.
void VersionWriter::noteNamed()
{
    node_.ledger.update(node_.replicas);
    for (const auto &[service, version] : node_.ledger.named()) {
        node_.versions.onNamed(service, version, node_.now());
    }
}

void VersionWriter::endListing(core::StoreEra era)
{
    const bool isFirst = !std::exchange(hasAdopted_, true);
    const bool hasLostRecords = !isFirst && era != era_; // names that this host hasn't read may be among them
    era_ = era;
    node_.ledger.endListing();
    auto past = node_.ledger.past(era, core::civilMilliseconds());
    if (hasLostRecords) {
        node_.versions.beginCoverage(node_.now());
    } else if (!isFirst) {
        past.coveredFor = Milliseconds(0); // what this host has watched itself counts on; only versions that came and left meanwhile are new to it
    }
    node_.versions.adopt(past, node_.now());
    noteNamed();
}

void VersionWriter::onUpstreamsChanged()
{
    node_.ledger.update(node_.replicas);
    nextCheck_ = node_.now();
}

bool VersionWriter::isDue(bool isCurrent)
{
    const auto now = node_.now();
    if (isWriting_ || !isCurrent || !hasAdopted_ || now < nextCheck_ || node_.stop.hasBegun()) {
        return false;
    }
    due_ = node_.ledger.due(node_.replicas, node_.versions.past(now), {now, core::civilMilliseconds(), node_.longestStream, era_});
    if (due_.empty()) {
        dueSince_.reset();
        nextCheck_ = now + checkInterval;
        return false;
    }
    dueSince_ = dueSince_.value_or(now);
    const auto wait
        = groups_.isOverallLeader(purpose) ? Milliseconds(0) : takeoverTime + staggerDelay(groups_.size(), takeoverStep, node_.settings.host.value());
    return now - *dueSince_ >= wait;
}

net::Task<void> VersionWriter::write()
{
    if (isWriting_ || due_.empty()) {
        co_return;
    }
    isWriting_ = true;
    const auto records = due_;
    core::Error why;
    core::Offset offset;
    const auto outcome = co_await store_.append(Topic::Control, records, core::Offset(0), offset, why);
    isWriting_ = false;
    node_.metrics.storeCalls.add({"append", outcome == AppendOutcome::Done ? "good" : "failed"});
    if (outcome != AppendOutcome::Done) {
        node_.log.warn("versions_not_recorded", why);
        nextCheck_ = node_.now() + retryTime;
        co_return;
    }
    dueSince_.reset();
    for (const auto &[key, value] : records) {
        node_.log.info("version_recorded", {{"record", key}, {"value", value}});
        if (core::eraOf(offset) == era_) {
            apply({offset, key, value}, why);
        }
    }
}

} // namespace baobabstall::serving
