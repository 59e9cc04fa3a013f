#include <serving/replicabook.h>

#include <algorithm>

namespace baobabstall::serving {

bool ReplicaRecord::holds(const BaseModel &model) const
{
    return std::any_of(models.begin(), models.end(), [&](const HeldModel &each) { return each.name == model; });
}

bool ReplicaRecord::holds(const AdapterKey &weights) const
{
    for (const auto &model : models) {
        if (model.name == weights.model) {
            const auto hasName = [&](const HeldAdapter &each) { return each.name == weights.adapter; };
            return weights.adapter.empty() || std::any_of(model.adapters.begin(), model.adapters.end(), hasName);
        }
    }
    return false;
}

int ReplicaBook::holders(const BaseModel &model) const
{
    const auto hasModel = [&](const auto &each) { return !each.second.record.isLeaving && each.second.record.holds(model); };
    return static_cast<int>(std::count_if(entries_.begin(), entries_.end(), hasModel));
}

BookChange ReplicaBook::apply(const ReplicaRecord &record)
{
    const auto found = entries_.find(record.id);
    if (found == entries_.end()) {
        const auto removed = removedRuns_.find(record.id);
        const bool hasLeft = removed != removedRuns_.end() && removed->second.wasLeaving;
        if (hasLeft && record.startTime.value() > 0 && record.startTime <= removed->second.startTime && !record.isLeaving) {
            return BookChange::None;
        }
        ++version_;
        entries_[record.id] = {record, std::nullopt};
        return record.isLeaving ? BookChange::Leaving : BookChange::Came;
    }
    auto &entry = found->second;
    if (record.startTime < entry.record.startTime) {
        return BookChange::None; // the record belongs to an earlier run
    }
    const bool isRestart = record.startTime > entry.record.startTime || record.version != entry.record.version;
    const bool wasLeaving = entry.record.isLeaving;
    const bool wasInGracePeriod = entry.graceEnd.has_value();
    entry.graceEnd.reset();
    const bool isSameEndpoint = entry.record.address == record.address && entry.record.service == record.service;
    entry.record = record;
    if (isRestart) {
        ++version_;
        return BookChange::Restarted;
    }
    entry.record.isLeaving = wasLeaving || record.isLeaving;
    if (!isSameEndpoint || wasInGracePeriod || entry.record.isLeaving != wasLeaving) {
        ++version_;
    }
    if (entry.record.isLeaving && !wasLeaving) {
        return BookChange::Leaving;
    }
    return wasInGracePeriod ? BookChange::Back : BookChange::None;
}

BookChange ReplicaBook::remove(const UpstreamId &id, Instant now)
{
    const auto found = entries_.find(id);
    if (found == entries_.end()) {
        return BookChange::None;
    }
    const bool isGracePeriod = !isStoreReached_ || (storeReachableSince_ && now - *storeReachableSince_ < lapseGrace);
    if (isGracePeriod && !found->second.record.isLeaving) {
        if (!found->second.graceEnd) {
            found->second.graceEnd = (isStoreReached_ ? *storeReachableSince_ : now) + lapseGrace;
        }
        return BookChange::None;
    }
    removedRuns_[id] = {found->second.record.startTime, found->second.record.isLeaving};
    entries_.erase(found);
    ++version_;
    return BookChange::Gone;
}

BookChange ReplicaBook::markLeaving(const UpstreamId &id, ReplicaStartTime startTime)
{
    const auto found = entries_.find(id);
    if (found == entries_.end() || found->second.record.isLeaving || startTime < found->second.record.startTime) {
        return BookChange::None;
    }
    found->second.record.isLeaving = true;
    ++version_;
    return BookChange::Leaving;
}

std::vector<std::pair<UpstreamId, BookChange>> ReplicaBook::assign(const std::vector<ReplicaRecord> &records, Instant now)
{
    std::vector<std::pair<UpstreamId, BookChange>> changes;
    std::map<UpstreamId, bool> listed;
    for (const auto &record : records) {
        listed[record.id] = true;
        const auto removed = removedRuns_.find(record.id);
        if (isCopyListed_ && removed != removedRuns_.end() && record.startTime <= removed->second.startTime && !entries_.contains(record.id)) {
            continue;
        }
        if (const auto change = apply(record); change != BookChange::None) {
            changes.emplace_back(record.id, change);
        }
    }
    for (const auto &id : all()) {
        if (!listed.contains(id)) {
            if (const auto change = remove(id, now); change != BookChange::None) {
                changes.emplace_back(id, change);
            }
        }
    }
    isCopyListed_ = false;
    return changes;
}

void ReplicaBook::beginEra(Instant now)
{
    isCopyListed_ = true;
    storeReachableSince_ = now;
}

void ReplicaBook::noteStore(bool isReached, Instant now, Instant readAt)
{
    const bool isStoreUp = isReached || now - readAt < lapseAfter;
    if (isStoreUp && !isStoreReached_) {
        storeReachableSince_ = now;
    }
    isStoreReached_ = isStoreUp;
}

std::vector<UpstreamId> ReplicaBook::expire(Instant now)
{
    std::vector<UpstreamId> removed;
    for (auto it = entries_.begin(); it != entries_.end();) {
        if (isStoreReached_ && it->second.graceEnd && now >= *it->second.graceEnd) {
            removed.push_back(it->first);
            removedRuns_[it->first] = {it->second.record.startTime, it->second.record.isLeaving};
            it = entries_.erase(it);
            ++version_;
        } else {
            ++it;
        }
    }
    return removed;
}

const ReplicaRecord *ReplicaBook::find(const UpstreamId &id) const
{
    const auto found = entries_.find(id);
    return found == entries_.end() ? nullptr : &found->second.record;
}

bool ReplicaBook::isUsable(const UpstreamId &id) const
{
    const auto *record = find(id);
    return record != nullptr && !record->isLeaving;
}

std::vector<UpstreamId> ReplicaBook::usable(const ServiceName &service) const
{
    std::vector<UpstreamId> ids;
    for (const auto &[id, entry] : entries_) {
        if (entry.record.service == service && !entry.record.isLeaving) {
            ids.push_back(id);
        }
    }
    return ids;
}

std::vector<UpstreamId> ReplicaBook::all() const
{
    std::vector<UpstreamId> ids;
    ids.reserve(entries_.size());
    for (const auto &[id, entry] : entries_) {
        ids.push_back(id);
    }
    return ids;
}

} // namespace baobabstall::serving
