#include <platform/hosts.h>

#include <set>
#include <string>
#include <type_traits>

#include <nlohmann/json.hpp>

#include <settings/json.h>

namespace baobabstall::platform {

namespace {

using nlohmann::json;

/// Reads the fields of one entry and remembers whether all were there.
class EntryReader
{
public:
    explicit EntryReader(const json &entry)
        : entry_(entry)
    { }

    std::string text(const char *key)
    {
        const auto found = entry_.find(key);
        if (found == entry_.end() || !found->is_string() || found->get_ref<const std::string &>().empty()) {
            fault(key);
            return {};
        }
        return found->get<std::string>();
    }

    net::Address address(const char *key)
    {
        const auto parsed = net::Address::parse(text(key));
        if (!parsed) {
            fault(key);
        }
        return parsed.value_or(net::Address());
    }

    int count(const char *key)
    {
        constexpr int maxCount = 100'000;
        const auto found = entry_.find(key);
        if (found == entry_.end() || !found->is_number_integer() || *found < 1 || *found > maxCount) {
            fault(key);
            return 1;
        }
        return found->get<int>();
    }

    bool flag(const char *key)
    {
        const auto found = entry_.find(key);
        if (found == entry_.end() || !found->is_boolean()) {
            fault(key);
            return false;
        }
        return found->get<bool>();
    }

    void fault(const char *key)
    {
        if (fault_.empty()) {
            fault_ = key;
        }
    }

    [[nodiscard]] const std::string &faultyKey() const { return fault_; }

private:
    const json &entry_;
    std::string fault_;
};

bool isLeaving(EntryReader &reader)
{
    const auto state = reader.text("state");
    if (state != "live" && state != "leaving") {
        reader.fault("state");
    }
    return state == "leaving";
}

/// What all kinds have in common.
template<typename HostType>
HostType readCommon(EntryReader &reader)
{
    HostType host;
    if constexpr (std::is_same_v<HostType, DaemonHost>) {
        host.host = core::HostId(reader.text("host"));
    } else {
        host.id = core::UpstreamId(reader.text("host"));
        host.address = reader.address("address");
    }
    host.region = core::RegionId(reader.text("region"));
    host.zone = core::ZoneId(reader.text("zone"));
    host.isLeaving = isLeaving(reader);
    return host;
}

DaemonHost readDaemon(EntryReader &reader)
{
    auto host = readCommon<DaemonHost>(reader);
    host.callers = reader.address("callers");
    host.peers = reader.address("peers");
    host.operators = reader.address("operators");
    return host;
}

EngineHost readEngine(EntryReader &reader)
{
    auto host = readCommon<EngineHost>(reader);
    host.baseModel = core::BaseModel(reader.text("base_model"));
    host.slots = reader.count("slots");
    host.checksFencing = reader.flag("checks_fencing");
    return host;
}

ServiceHost readService(EntryReader &reader)
{
    auto host = readCommon<ServiceHost>(reader);
    host.service = core::ServiceName(reader.text("service"));
    return host;
}

void readEntry(EntryReader &reader, HostList &into)
{
    const auto kind = reader.text("kind");
    if (kind == "daemon") {
        into.daemons.push_back(readDaemon(reader));
    } else if (kind == "engine") {
        into.engines.push_back(readEngine(reader));
    } else if (kind == "service") {
        into.services.push_back(readService(reader));
    }
}

bool readHosts(const json &entries, HostList &into, core::Error &why)
{
    std::set<std::string> seen;
    std::size_t number = 0;
    for (const auto &entry : entries) {
        EntryReader reader(entry);
        if (!entry.is_object() || !seen.insert(reader.text("host")).second) {
            reader.fault("host");
        }
        readEntry(reader, into);
        if (!reader.faultyKey().empty()) {
            why.reason = "entry " + std::to_string(number) + " of the host list is not valid: \"" + reader.faultyKey() + '"';
            return false;
        }
        ++number;
    }
    return true;
}

} // namespace

std::optional<HostList> parseHostList(std::string_view text, core::Error &why)
{
    why = core::Error{.step = core::Step::Hosts, .reason = "not a host list", .refusal = core::Refusal::BadAnswer};
    const auto whole = settings::parseJson(text, "host list", settings::JsonOptions{.comments = false}, why);
    if (!whole || !whole->is_object() || !whole->contains("as_of_ms") || !(*whole)["as_of_ms"].is_number_integer() || !whole->contains("hosts")
        || !(*whole)["hosts"].is_array()) {
        return std::nullopt;
    }
    HostList list;
    list.asOfMs = (*whole)["as_of_ms"].get<std::int64_t>();
    if (!readHosts((*whole)["hosts"], list, why)) {
        return std::nullopt;
    }
    return list;
}

} // namespace baobabstall::platform
