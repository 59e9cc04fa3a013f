#include <serving/upstreamcopy.h>

#include <nlohmann/json.hpp>

#include <settings/json.h>

namespace baobabstall::serving {

namespace {

using nlohmann::json;

constexpr int maxSlots = 1'000'000;                       // of one upstream; records of upstreams have the same limit
constexpr std::int64_t maxUnixMs = 1'000'000'000'000'000; // the same

json toJson(const ReplicaRecord &record)
{
    json models = json::array();
    for (const auto &model : record.models) {
        models.push_back(model.name.value());
    }
    return {{"id", record.id.value()},
            {"service", record.service.value()},
            {"address", record.address.text()},
            {"zone", record.zone.value()},
            {"start", record.startTime.value()},
            {"version", record.version.value()},
            {"leaving", record.isLeaving},
            {"slots", record.slots},
            {"models", std::move(models)}};
}

/// Nothing unless the value is a whole number within the bounds.
std::optional<std::int64_t> wholeNumber(const json &value, std::int64_t least, std::int64_t most)
{
    const bool isSigned = value.is_number_integer() && !value.is_number_unsigned();
    const bool isWithin = isSigned ? value.get<std::int64_t>() >= least && value.get<std::int64_t>() <= most
                                   : value.is_number_unsigned() && value.get<std::uint64_t>() <= static_cast<std::uint64_t>(most)
            && static_cast<std::int64_t>(value.get<std::uint64_t>()) >= least;
    return isWithin ? std::optional(value.get<std::int64_t>()) : std::nullopt;
}

std::string textOf(const json &value)
{
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

/// Throws json::exception when a field is missing or has another type.
std::optional<ReplicaRecord> parseRecord(const json &from)
{
    ReplicaRecord record;
    record.id = UpstreamId(from.at("id").get<std::string>());
    record.service = ServiceName(from.at("service").get<std::string>());
    record.zone = ZoneId(from.at("zone").get<std::string>());
    const auto startTime = wholeNumber(from.at("start"), 0, maxUnixMs);
    record.version = SoftwareVersion(from.at("version").get<std::string>());
    record.isLeaving = from.at("leaving").get<bool>();
    const auto slots = wholeNumber(from.at("slots"), 1, maxSlots);
    for (const auto &model : from.at("models")) {
        record.models.push_back({BaseModel(model.get<std::string>()), {}});
    }
    const auto address = net::Address::parse(from.at("address").get<std::string>());
    if (!address || address->port == 0 || record.id.empty() || record.version.empty() || !slots || !startTime) {
        return std::nullopt;
    }
    record.startTime = ReplicaStartTime(static_cast<std::uint64_t>(*startTime));
    record.slots = static_cast<int>(*slots);
    record.address = *address;
    return record;
}

json recordsOf(const ReplicaBook &replicas)
{
    json records = json::array();
    for (const auto &id : replicas.all()) {
        records.push_back(toJson(*replicas.find(id)));
    }
    return records;
}

/// Throws json::exception when a field is missing or has another type.
VersionHistory::Past parsePast(const json &from, std::int64_t civilNow)
{
    const auto ageOf
        = [civilNow](const json &at) { return Milliseconds(std::max<std::int64_t>(0, civilNow - wholeNumber(at, 0, maxUnixMs).value_or(civilNow))); };
    VersionHistory::Past past{ageOf(from.at("versions_known_since")), {}};
    past.unvouched = Milliseconds(std::max<std::int64_t>(0, civilNow - wholeNumber(from.value("written_at", json(0)), 0, maxUnixMs).value_or(0)));
    for (const auto &each : from.at("gone")) {
        past.gone.push_back({ServiceName(each.at(0).get<std::string>()), SoftwareVersion(each.at(1).get<std::string>()), ageOf(each.at(2))});
    }
    return past;
}

std::string contentOf(const json &records, const VersionHistory::Past &past)
{
    auto text = textOf(records);
    for (const auto &each : past.gone) {
        text.append(" ").append(each.service.value()).append(" ").append(each.version.value());
    }
    return text;
}

} // namespace

std::string encodeUpstreamCopy(const ReplicaBook &replicas, const VersionHistory::Past &past, std::int64_t civilNow)
{
    json gone = json::array();
    for (const auto &each : past.gone) {
        gone.push_back(json::array({each.service.value(), each.version.value(), civilNow - each.age.count()}));
    }
    const json copy = {
        {"upstreams", recordsOf(replicas)}, {"versions_known_since", civilNow - past.coveredFor.count()}, {"written_at", civilNow}, {"gone", std::move(gone)}};
    return textOf(copy);
}

std::string copyContent(const ReplicaBook &replicas, const VersionHistory::Past &past)
{
    return contentOf(recordsOf(replicas), past);
}

std::optional<UpstreamCopy> decodeUpstreamCopy(std::string_view text, std::int64_t civilNow, core::Error &error)
{
    const auto value = settings::parseJson(text, "copy of the upstreams", {.comments = false}, error);
    error.step = core::Step::Log;
    if (!value) {
        return std::nullopt;
    }
    UpstreamCopy copy;
    try {
        const auto &records = value->at("upstreams");
        for (const auto &item : records) {
            const auto record = parseRecord(item);
            if (!record) {
                error.reason = "the copy of the upstreams contains a record without a valid id, address, version, start or number of slots";
                return std::nullopt;
            }
            copy.records.push_back(*record);
        }
        copy.past = parsePast(*value, civilNow);
        copy.content = contentOf(records, copy.past);
    } catch (const json::exception &exception) {
        error.reason = std::string("the copy of the upstreams can't be read: ") + exception.what();
        return std::nullopt;
    }
    for (const auto &record : copy.records) {
        copy.past.gone.push_back({record.service, record.version, Milliseconds(0)});
    }
    return copy;
}

} // namespace baobabstall::serving
