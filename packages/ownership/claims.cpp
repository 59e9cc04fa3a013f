#include <ownership/claims.h>

#include <algorithm>
#include <charconv>

#include <nlohmann/json.hpp>

#include <settings/json.h>

namespace baobabstall::ownership {

namespace {

using nlohmann::json;

constexpr std::string_view enginePrefix = "engine/";
constexpr std::string_view callsPrefix = "calls/";
constexpr std::string_view quotaPrefix = "quota/";

std::string_view kindName(ClaimKind kind)
{
    switch (kind) {
    case ClaimKind::Claim:
        return "claim";
    case ClaimKind::Refresh:
        return "refresh";
    case ClaimKind::Release:
        return "release";
    case ClaimKind::Retire:
        return "retire";
    }
    return "";
}

std::optional<ClaimKind> kindOfName(std::string_view name)
{
    for (auto kind : {ClaimKind::Claim, ClaimKind::Refresh, ClaimKind::Release, ClaimKind::Retire}) {
        if (kindName(kind) == name) {
            return kind;
        }
    }
    return {};
}

bool readText(const json &from, const char *key, std::string &to)
{
    auto found = from.find(key);
    if (found == from.end() || !found->is_string()) {
        return false;
    }
    to = found->get<std::string>();
    return !to.empty();
}

std::optional<std::uint64_t> readNumber(const json &from, const char *key)
{
    auto found = from.find(key);
    if (found == from.end() || !found->is_number_unsigned()) {
        return {};
    }
    return found->get<std::uint64_t>();
}

std::optional<Holder> readHolder(const json &from)
{
    if (!from.is_array() || from.size() != 3 || !from[0].is_number_unsigned() || !from[1].is_string() || !from[2].is_number_unsigned()) {
        return {};
    }
    return Holder{Epoch(from[0].get<std::uint64_t>()), HostId(from[1].get<std::string>()), Incarnation(from[2].get<std::uint64_t>())};
}

bool readFormer(const json &from, std::vector<Holder> &to)
{
    auto found = from.find("former");
    if (found == from.end()) {
        return true;
    }
    if (!found->is_array() || found->size() > ClaimRecord::maxFormerHolders) {
        return false;
    }
    for (const auto &item : *found) {
        auto holder = readHolder(item);
        if (!holder) {
            return false;
        }
        to.push_back(*holder);
    }
    return true;
}

bool readIds(const json &from, ClaimRecord &to)
{
    std::string kind;
    std::string resource;
    std::string host;
    if (!readText(from, "id", to.id) || !readText(from, "kind", kind) || !readText(from, "thing", resource) || !readText(from, "host", host)) {
        return false;
    }
    auto known = kindOfName(kind);
    if (!known) {
        return false;
    }
    to.kind = *known;
    to.resource = Resource(std::move(resource));
    to.host = HostId(std::move(host));
    return true;
}

bool readNumbers(const json &from, ClaimRecord &to)
{
    auto incarnation = readNumber(from, "incarnation");
    auto epoch = readNumber(from, "epoch");
    auto lastReadOffset = readNumber(from, "read_to");
    if (!incarnation || !epoch || !lastReadOffset) {
        return false;
    }
    to.incarnation = Incarnation(*incarnation);
    to.epoch = Epoch(*epoch);
    to.lastReadOffset = Offset(*lastReadOffset);
    return (to.kind == ClaimKind::Claim) == (*epoch == 0);
}

std::optional<int> partitionAfter(std::string_view prefix, const Resource &resource)
{
    const auto &text = resource.value();
    if (!text.starts_with(prefix)) {
        return {};
    }
    int partition = 0;
    const char *end = text.data() + text.size();
    auto [stop, error] = std::from_chars(text.data() + prefix.size(), end, partition);
    if (error != std::errc() || stop != end || partition < 0) {
        return {};
    }
    return partition;
}

} // namespace

Resource engineResource(const core::UpstreamId &engine)
{
    return Resource(std::string(enginePrefix) + engine.value());
}

Resource partitionResource(int partition)
{
    return Resource(std::string(callsPrefix) + std::to_string(partition));
}

Resource quotaResource(int partition)
{
    return Resource(std::string(quotaPrefix) + std::to_string(partition));
}

Resource loadBudgetResource()
{
    return Resource("loads");
}

std::optional<core::UpstreamId> engineOf(const Resource &resource)
{
    if (!resource.value().starts_with(enginePrefix) || resource.value().size() == enginePrefix.size()) {
        return {};
    }
    return core::UpstreamId(resource.value().substr(enginePrefix.size()));
}

std::optional<int> partitionOf(const Resource &resource)
{
    return partitionAfter(callsPrefix, resource);
}

std::optional<int> quotaPartitionOf(const Resource &resource)
{
    return partitionAfter(quotaPrefix, resource);
}

std::string toJson(const ClaimRecord &record)
{
    json to{{"id", record.id},
            {"kind", kindName(record.kind)},
            {"thing", record.resource.value()},
            {"host", record.host.value()},
            {"incarnation", record.incarnation.value()},
            {"epoch", record.epoch.value()},
            {"read_to", record.lastReadOffset.value()}};
    for (const auto &holder : record.formerHolders) {
        to["former"].push_back(json::array({holder.epoch.value(), holder.host.value(), holder.incarnation.value()}));
    }
    return to.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::optional<ClaimRecord> claimFromJson(std::string_view text, core::Error &why)
{
    constexpr int maxDepth = 4;
    const auto from = settings::parseJson(text, "claim", {.comments = false, .maxDepth = maxDepth}, why);
    ClaimRecord record;
    if (!from || !from->is_object() || !readIds(*from, record) || !readNumbers(*from, record) || !readFormer(*from, record.formerHolders)) {
        why = {core::Step::Log, "", "not a claim record", core::Refusal::Internal, core::Outcome::NotRun, {}};
        return {};
    }
    return record;
}

bool ClaimTable::apply(Offset offset, const ClaimRecord &record, std::int64_t recordedAt)
{
    if (offset <= lastReadOffset_) {
        return false;
    }
    lastReadOffset_ = offset;
    if (!offsetsById_.try_emplace(record.id, offset).second) {
        return false;
    }
    idsByOffset_.emplace(offset, record.id);
    auto &row = rows_[record.resource];
    auto before = row.owner;
    if (record.kind == ClaimKind::Claim) {
        applyClaim(row, offset, record, recordedAt);
    } else {
        applyStatement(row, offset, record, recordedAt);
    }
    auto &known = hosts_[record.host];
    known.incarnation = std::max(known.incarnation, record.incarnation);
    known.lastRecordOffset = offset;
    return row.owner != before;
}

void ClaimTable::applyClaim(Row &row, Offset offset, const ClaimRecord &record, std::int64_t recordedAt)
{
    auto before = row.lastClaim;
    row.lastClaim = offset;
    bool isRacing = record.lastReadOffset < before;
    bool isOutdated = record.incarnation < newestIncarnation(record.host);
    if (isRacing || isOutdated) {
        return;
    }
    recordFormerHolders(row, record, recordedAt);
    row.owner = Owner{record.host, record.incarnation, Epoch(offset.value()), false};
    row.ownerRecordOffset = offset;
    recordHolder(row, {row.owner->epoch, record.host, record.incarnation}, recordedAt);
}

void ClaimTable::applyStatement(Row &row, Offset offset, const ClaimRecord &record, std::int64_t recordedAt)
{
    Holder holder{record.epoch, record.host, record.incarnation};
    recordHolder(row, holder, recordedAt);
    recordFormerHolders(row, record, recordedAt);
    auto &past = row.holders.at(record.epoch);
    if (past.holder != holder) {
        return;
    }
    past.released |= record.kind != ClaimKind::Refresh;
    if (record.kind != ClaimKind::Retire) {
        applyOwnerStatement(row, offset, record);
    }
}

/// The writer owned the resource at `lastReadOffset`, so this corrects a table with an earlier epoch or with a later claim that the writer had read.
void ClaimTable::applyOwnerStatement(Row &row, Offset offset, const ClaimRecord &record)
{
    auto currentEpoch = row.owner ? row.owner->epoch : Epoch();
    bool behind = currentEpoch < record.epoch;
    bool voided = currentEpoch > record.epoch && currentEpoch.value() <= record.lastReadOffset.value();
    if (voided) {
        row.holders.erase(currentEpoch);
    }
    if (behind || voided) {
        row.owner = Owner{record.host, record.incarnation, record.epoch, false};
    }
    if (row.owner->epoch == record.epoch) {
        row.owner->released = row.holders.at(record.epoch).released;
        row.ownerRecordOffset = offset;
    }
}

void ClaimTable::recordHolder(Row &row, const Holder &holder, std::int64_t recordedAt)
{
    auto [found, added] = row.holders.try_emplace(holder.epoch, HolderEntry{holder, false, recordedAt});
    if (!added && found->second.holder == holder) {
        found->second.lastRecordedAt = recordedAt;
    }
}

void ClaimTable::recordFormerHolders(Row &row, const ClaimRecord &record, std::int64_t recordedAt)
{
    for (const auto &holder : record.formerHolders) {
        row.holders.try_emplace(holder.epoch, HolderEntry{holder, false, recordedAt});
    }
}

void ClaimTable::skip(Offset offset)
{
    lastReadOffset_ = std::max(lastReadOffset_, offset);
}

std::vector<Resource> ClaimTable::trim(Offset first)
{
    std::vector<Resource> orphans;
    if (first <= firstKept_) {
        return orphans;
    }
    firstKept_ = first;
    while (!idsByOffset_.empty() && idsByOffset_.begin()->first < first) {
        offsetsById_.erase(idsByOffset_.begin()->second);
        idsByOffset_.erase(idsByOffset_.begin());
    }
    std::erase_if(hosts_, [first](const auto &item) { return item.second.lastRecordOffset < first; });
    for (auto row = rows_.begin(); row != rows_.end();) {
        if (row->second.owner && row->second.ownerRecordOffset < first) {
            row->second.owner.reset();
            orphans.push_back(row->first);
        }
        trimHolders(row->second, first);
        bool empty = !row->second.owner && row->second.lastClaim < first && row->second.holders.empty();
        row = empty ? rows_.erase(row) : std::next(row);
    }
    return orphans;
}

void ClaimTable::trimHolders(Row &row, Offset first)
{
    auto currentEpoch = row.owner ? row.owner->epoch : Epoch();
    std::erase_if(row.holders, [&](const auto &item) {
        bool expired = item.first.value() < first.value();
        return expired && item.second.released && item.first != currentEpoch;
    });
    while (row.holders.size() > ClaimRecord::maxFormerHolders + 1 && row.holders.begin()->first.value() < first.value()) {
        row.holders.erase(row.holders.begin());
    }
}

std::optional<Owner> ClaimTable::ownerOf(const Resource &resource) const
{
    auto row = rows_.find(resource);
    return row == rows_.end() ? std::nullopt : row->second.owner;
}

Offset ClaimTable::ownerRecordOffset(const Resource &resource) const
{
    auto row = rows_.find(resource);
    return row == rows_.end() ? Offset() : row->second.ownerRecordOffset;
}

std::optional<HolderEntry> ClaimTable::holderOf(const Resource &resource, Epoch epoch) const
{
    auto row = rows_.find(resource);
    if (row == rows_.end()) {
        return {};
    }
    auto holder = row->second.holders.find(epoch);
    if (holder == row->second.holders.end()) {
        return {};
    }
    return holder->second;
}

std::vector<Holder> ClaimTable::unreleasedBefore(const Resource &resource, Epoch epoch) const
{
    std::vector<Holder> found;
    auto row = rows_.find(resource);
    if (row == rows_.end()) {
        return found;
    }
    for (const auto &[heldEpoch, past] : row->second.holders) {
        if (heldEpoch < epoch && !past.released) {
            found.push_back(past.holder);
        }
    }
    if (found.size() > ClaimRecord::maxFormerHolders) {
        found.erase(found.begin(), found.end() - ClaimRecord::maxFormerHolders);
    }
    return found;
}

Incarnation ClaimTable::newestIncarnation(const HostId &host) const
{
    auto found = hosts_.find(host);
    return found == hosts_.end() ? Incarnation() : found->second.incarnation;
}

bool ClaimTable::hasRecord(const std::string &id) const
{
    return offsetsById_.contains(id);
}

std::vector<Resource> ClaimTable::ownedResources() const
{
    std::vector<Resource> found;
    for (const auto &[resource, row] : rows_) {
        if (row.owner) {
            found.push_back(resource);
        }
    }
    std::sort(found.begin(), found.end());
    return found;
}

std::size_t ClaimTable::approximateBytes() const
{
    constexpr std::size_t nodeBytes = 48; // pointers and hash of one container node
    std::size_t bytes = sizeof(*this);
    for (const auto &[resource, row] : rows_) {
        bytes += nodeBytes + sizeof(Resource) + resource.value().capacity() + sizeof(Row);
        for (const auto &[epoch, past] : row.holders) {
            bytes += nodeBytes + sizeof(Epoch) + sizeof(HolderEntry) + past.holder.host.value().capacity();
        }
    }
    for (const auto &[id, offset] : offsetsById_) {
        bytes += 2 * (nodeBytes + sizeof(std::string) + id.capacity() + sizeof(Offset));
    }
    for (const auto &[host, known] : hosts_) {
        bytes += nodeBytes + sizeof(HostId) + host.value().capacity() + sizeof(HostEntry);
    }
    return bytes;
}

} // namespace baobabstall::ownership
