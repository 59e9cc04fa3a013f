#include <serving/streamrecords.h>

#include <algorithm>
#include <array>

namespace baobabstall::serving {

std::string_view originSourceText(OriginSource source)
{
    constexpr std::array<std::string_view, 5> texts = {"none", "own", "told", "asked", "stored"};
    return texts.at(static_cast<std::size_t>(source));
}

void StreamRecords::announce(const RequestId &id, const StreamOrigin &origin, Instant until, Instant now)
{
    hold(id, origin, until, now);
    records_.at(id).isOwn = true;
}

void StreamRecords::handOver(const RequestId &id)
{
    if (const auto record = records_.find(id); record != records_.end()) {
        record->second.isOwn = false;
    }
}

void StreamRecords::onBegun(const RequestId &id)
{
    if (const auto record = records_.find(id); record != records_.end()) {
        record->second.isBegun = record->second.isOwn;
    }
}

void StreamRecords::onEnded(const RequestId &id)
{
    if (const auto record = records_.find(id); record != records_.end()) {
        record->second.isBegun = false;
    }
}

std::vector<StreamRecords::Announced> StreamRecords::begun(const std::function<bool(const ServiceName &)> &isWanted, Instant now) const
{
    std::vector<Announced> streams;
    for (const auto &[id, record] : records_) {
        if (record.isBegun && record.until >= now && isWanted(record.origin.service)) {
            streams.push_back({id, record.origin, record.until});
        }
    }
    return streams;
}

std::vector<HostId> StreamRecords::toTell(const RequestId &id, const std::function<bool(const HostId &)> &isLinked) const
{
    const auto hosts = keepers(id, keptHosts);
    std::vector<HostId> told;
    std::size_t unlinked = 0;
    for (std::size_t i = 0; i < hosts.size(); ++i) {
        const bool hasLink = isLinked(hosts[i]);
        if (i < toldHosts) {
            told.push_back(hosts[i]);
            unlinked += hasLink ? 0 : 1;
        } else if (unlinked > 0 && hasLink) {
            told.push_back(hosts[i]);
            --unlinked;
        }
    }
    return told;
}

void StreamRecords::hold(const RequestId &id, const StreamOrigin &origin, Instant until, Instant now)
{
    auto &record = place(id, now);
    if (origin.send >= record.origin.send) {
        record.origin = origin;
        record.until = until;
    }
}

StreamRecords::Record &StreamRecords::place(const RequestId &id, Instant now)
{
    while (!order_.empty() && (order_.size() >= maxStreams || records_.at(order_.front()).until < now)) {
        records_.erase(order_.front());
        order_.pop_front();
    }
    const auto [record, isNew] = records_.try_emplace(id);
    if (isNew) {
        record->second.place = order_.insert(order_.end(), id);
        record->second.since = now;
    }
    return record->second;
}

FoundStream StreamRecords::lookUp(const RequestId &id, Instant now) const
{
    const auto found = records_.find(id);
    if (found == records_.end() || found->second.until < now) {
        return {};
    }
    const auto &record = found->second;
    return {.origin = record.origin, .source = record.isOwn ? OriginSource::Own : OriginSource::Told, .age = now - record.since};
}

std::vector<HostId> StreamRecords::keepers(const RequestId &id, std::size_t count) const
{
    auto hosts = groups_.spread(id.value(), count + 1);
    std::erase(hosts, ownHost_);
    hosts.resize(std::min(hosts.size(), count));
    return hosts;
}

} // namespace baobabstall::serving
