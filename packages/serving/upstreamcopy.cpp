#include <serving/upstreamcopy.h>

#include <nlohmann/json.hpp>

#include <settings/json.h>

namespace baobabstall::serving {

namespace {

using nlohmann::json;

constexpr int mostSlots = 1'000'000; // of one upstream; more can't have been read from its record either

json jsonOf(const ReplicaRecord &record)
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
            {"leaving", record.isLeaving},
            {"slots", record.slots},
            {"models", std::move(models)}};
}

/// Throws json::exception where a field is missing or of another type.
std::optional<ReplicaRecord> recordOf(const json &from)
{
    ReplicaRecord record;
    record.id = UpstreamId(from.at("id").get<std::string>());
    record.service = ServiceName(from.at("service").get<std::string>());
    record.zone = ZoneId(from.at("zone").get<std::string>());
    record.startTime = ReplicaStartTime(from.at("start").get<std::uint64_t>());
    record.isLeaving = from.at("leaving").get<bool>();
    record.slots = from.at("slots").get<int>();
    for (const auto &model : from.at("models")) {
        record.models.push_back({BaseModel(model.get<std::string>()), {}});
    }
    const auto address = net::Address::parse(from.at("address").get<std::string>());
    if (!address || record.id.empty() || record.slots < 1 || record.slots > mostSlots) {
        return std::nullopt;
    }
    record.address = *address;
    return record;
}

} // namespace

std::string encodeUpstreamCopy(const ReplicaBook &book)
{
    json records = json::array();
    for (const auto &id : book.all()) {
        records.push_back(jsonOf(*book.find(id)));
    }
    return records.dump();
}

std::optional<std::vector<ReplicaRecord>> decodeUpstreamCopy(std::string_view text, core::Error &why)
{
    const auto value = settings::parseJson(text, "copy of the upstreams", {.comments = false}, why);
    why.step = core::Step::Log;
    if (!value) {
        return std::nullopt;
    }
    std::vector<ReplicaRecord> records;
    try {
        for (const auto &each : *value) {
            const auto record = recordOf(each);
            if (!record) {
                why.reason = "the copy of the upstreams holds one without an id, an address or slots";
                return std::nullopt;
            }
            records.push_back(*record);
        }
    } catch (const json::exception &failed) {
        why.reason = std::string("the copy of the upstreams can't be read: ") + failed.what();
        return std::nullopt;
    }
    return records;
}

} // namespace baobabstall::serving
