#include <serving/versionledger.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <iterator>
#include <limits>

#include <nlohmann/json.hpp>

#include <core/hash.h>
#include <settings/json.h>

namespace baobabstall::serving {

namespace {

using nlohmann::json;

constexpr std::string_view versionPrefix = "software/";
constexpr std::string_view sinceKey = "software_since";

bool isWholeNumber(const json &value)
{
    return value.is_number_unsigned() && value.get<std::uint64_t>() <= static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max());
}

} // namespace

std::string VersionLedger::keyOf(const Name &name)
{
    constexpr int hexadecimal = 16;
    std::array<char, 2 * sizeof(std::uint64_t)> digits{};
    const auto hash = core::hashText(name.first.value() + "\n" + name.second.value(), 0);
    const auto [end, failed] = std::to_chars(digits.data(), digits.data() + digits.size(), hash, hexadecimal);
    return std::string(versionPrefix).append(digits.data(), end);
}

std::string VersionLedger::valueOf(const Name &name, std::int64_t goneAt)
{
    json value = {{"service", name.first.value()}, {"version", name.second.value()}};
    if (goneAt > 0) {
        value["gone_at"] = goneAt;
    }
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

void VersionLedger::beginListing()
{
    isListed_ = false;
    entries_.clear();
    since_ = {};
}

bool VersionLedger::apply(std::string_view key, std::string_view value, core::Error &error)
{
    const bool isVersion = key.starts_with(versionPrefix);
    if (!isVersion && key != sinceKey) {
        return false;
    }
    if (value.empty()) {
        isVersion ? static_cast<void>(entries_.erase(std::string(key))) : static_cast<void>(since_ = {});
        return true;
    }
    const auto read = settings::parseJson(value, std::string(key), {.comments = false}, error);
    error.step = core::Step::Log;
    if (!read) {
        return false;
    }
    try {
        const auto &number = isVersion ? read->value("gone_at", json(0U)) : read->at("since");
        if (!isWholeNumber(number)) {
            error.reason = "the record " + std::string(key) + " names a time that is no whole number of milliseconds";
            return false;
        }
        if (isVersion) {
            const Name name(ServiceName(read->at("service").get<std::string>()), SoftwareVersion(read->at("version").get<std::string>()));
            entries_.insert_or_assign(std::string(key), Entry{name, number.get<std::int64_t>()});
        } else {
            since_ = {number.get<std::int64_t>(), core::StoreEra(read->at("era").get<std::uint64_t>())};
        }
    } catch (const json::exception &exception) {
        error.reason = "the record " + std::string(key) + " can't be read: " + exception.what();
        return false;
    }
    return true;
}

bool VersionLedger::names(const ServiceName &service, const SoftwareVersion &version) const
{
    const Name name(service, version);
    const auto entry = entries_.find(keyOf(name));
    return entry != entries_.end() && entry->second.goneAt == 0 && entry->second.name == name;
}

std::vector<VersionLedger::Name> VersionLedger::named() const
{
    std::vector<Name> all;
    for (const auto &[key, entry] : entries_) {
        if (entry.goneAt == 0) {
            all.push_back(entry.name);
        }
    }
    return all;
}

void VersionLedger::update(const ReplicaBook &replicas)
{
    heldBack_.clear();
    if (!isListed_) {
        return;
    }
    std::set<Name> unnamed;
    std::set<ServiceName> namedServices; // with a usable upstream of a named version
    for (const auto &id : replicas.all()) {
        const auto &record = *replicas.find(id);
        if (!names(record.service, record.version)) {
            unnamed.emplace(record.service, record.version);
        } else if (replicas.isUsable(id)) {
            namedServices.insert(record.service);
        }
    }
    std::copy_if(
        unnamed.begin(), unnamed.end(), std::inserter(heldBack_, heldBack_.end()), [&](const Name &name) { return namedServices.contains(name.first); });
}

VersionHistory::Past VersionLedger::past(core::StoreEra era, std::int64_t civilNow) const
{
    const auto age = [civilNow](std::int64_t at) { return Milliseconds(std::max<std::int64_t>(0, civilNow - at)); };
    VersionHistory::Past past;
    past.coveredFor = since_.at > 0 && since_.era == era ? age(since_.at) : Milliseconds(0);
    for (const auto &[key, entry] : entries_) {
        past.gone.push_back({entry.name.first, entry.name.second, entry.goneAt == 0 ? Milliseconds(0) : age(entry.goneAt + maxClockSkew.count())});
    }
    return past;
}

std::vector<VersionLedger::KeyValue> VersionLedger::due(const ReplicaBook &replicas, const VersionHistory::Past &own, const Times &times)
{
    std::map<std::string, std::string> records; // by key
    std::set<Name> present;
    for (const auto &id : replicas.all()) {
        const auto &record = *replicas.find(id);
        present.emplace(record.service, record.version);
    }
    for (const auto &name : present) {
        if (!names(name.first, name.second)) {
            records[keyOf(name)] = valueOf(name, 0);
        }
    }
    for (const auto &[service, version, age] : own.gone) { // an earlier copy of the store may have lost it
        const Name name(service, version);
        if (age <= times.longest && !present.contains(name) && !entries_.contains(keyOf(name))) {
            records[keyOf(name)] = valueOf(name, times.civilNow);
        }
    }
    for (const auto &[key, entry] : entries_) {
        if (present.contains(entry.name)) {
            absentSince_.erase(key);
        } else if (entry.goneAt == 0 && times.now - absentSince_.try_emplace(key, times.now).first->second >= absentTime) {
            records[key] = valueOf(entry.name, times.civilNow);
        } else if (entry.goneAt > 0 && times.civilNow - entry.goneAt > VersionHistory::memory.count()) {
            records[key] = {};
        }
    }
    std::erase_if(absentSince_, [this](const auto &each) { return !entries_.contains(each.first); });
    std::vector<KeyValue> due(records.begin(), records.end());
    if (since_.at == 0 || since_.era != times.era) { // after what it says is complete
        const json value = {{"since", times.civilNow - own.coveredFor.count()}, {"era", times.era.value()}};
        due.emplace_back(sinceKey, value.dump());
    }
    return due;
}

} // namespace baobabstall::serving
