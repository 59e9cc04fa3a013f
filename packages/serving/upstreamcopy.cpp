#include <serving/upstreamcopy.h>

#include <nlohmann/json.hpp>

#include <settings/json.h>

namespace baobabstall::serving {

namespace {

using nlohmann::json;

constexpr int maxSlots = 1'000'000; // of one upstream; records of upstreams have the same limit

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

/// Throws json::exception when a field is missing or has another type.
std::optional<ReplicaRecord> parseRecord(const json &from)
{
    ReplicaRecord record;
    record.id = UpstreamId(from.at("id").get<std::string>());
    record.service = ServiceName(from.at("service").get<std::string>());
    record.zone = ZoneId(from.at("zone").get<std::string>());
    record.startTime = ReplicaStartTime(from.at("start").get<std::uint64_t>());
    record.version = SoftwareVersion(from.at("version").get<std::string>());
    record.isLeaving = from.at("leaving").get<bool>();
    record.slots = from.at("slots").get<int>();
    for (const auto &model : from.at("models")) {
        record.models.push_back({BaseModel(model.get<std::string>()), {}});
    }
    const auto address = net::Address::parse(from.at("address").get<std::string>());
    if (!address || record.id.empty() || record.version.empty() || record.slots < 1 || record.slots > maxSlots) {
        return std::nullopt;
    }
    record.address = *address;
    return record;
}

} // namespace

std::string encodeUpstreamCopy(const ReplicaBook &replicas)
{
    json records = json::array();
    for (const auto &id : replicas.all()) {
        records.push_back(toJson(*replicas.find(id)));
    }
    return records.dump();
}

std::optional<std::vector<ReplicaRecord>> decodeUpstreamCopy(std::string_view text, core::Error &error)
{
    const auto value = settings::parseJson(text, "copy of the upstreams", {.comments = false}, error);
    error.step = core::Step::Log;
    if (!value) {
        return std::nullopt;
    }
    std::vector<ReplicaRecord> records;
    try {
        for (const auto &item : *value) {
            const auto record = parseRecord(item);
            if (!record) {
                error.reason = "the copy of the upstreams contains a record without a valid id, address or number of slots";
                return std::nullopt;
            }
            records.push_back(*record);
        }
    } catch (const json::exception &exception) {
        error.reason = std::string("the copy of the upstreams can't be read: ") + exception.what();
        return std::nullopt;
    }
    return records;
}

} // namespace baobabstall::serving
