#include <platform/hosts.h>

#include <algorithm>
#include <set>

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

HostState stateOf(EntryReader &reader)
{
    const auto state = reader.text("state");
    if (state != "live" && state != "leaving") {
        reader.fault("state");
    }
    return state == "leaving" ? HostState::Leaving : HostState::Live;
}

/// None: an unknown kind, or a fault that the reader remembers.
std::optional<Host> readHost(EntryReader &reader)
{
    Host host{core::HostId(reader.text("host")), core::RegionId(reader.text("region")), core::ZoneId(reader.text("zone")), stateOf(reader), {}};
    const auto kind = reader.text("kind");
    if (kind == "daemon") {
        host.role = DaemonHost{reader.address("peers"), reader.address("callers"), reader.address("operators")};
    } else if (kind == "engine") {
        host.role = EngineHost{reader.address("address"), core::BaseModel(reader.text("base_model")), reader.count("slots"), reader.flag("checks_fencing")};
    } else if (kind == "service") {
        host.role = ServiceHost{reader.address("address"), core::ServiceName(reader.text("service"))};
    } else {
        return std::nullopt;
    }
    return host;
}

bool readHosts(const json &entries, std::vector<Host> &into, core::Error &why)
{
    std::set<core::HostId> seen;
    for (const auto &entry : entries) {
        EntryReader reader(entry);
        auto host = entry.is_object() ? readHost(reader) : std::nullopt;
        if (!entry.is_object() || !reader.faultyKey().empty() || (host && !seen.insert(host->id).second)) {
            why.reason = "entry " + std::to_string(into.size()) + " of the host list is not valid: \""
                + (reader.faultyKey().empty() ? "host" : reader.faultyKey()) + '"';
            return false;
        }
        if (host) {
            into.push_back(std::move(*host));
        }
    }
    return true;
}

} // namespace

const Host *HostList::find(const core::HostId &id) const
{
    const auto found = std::find_if(hosts.begin(), hosts.end(), [&](const Host &host) { return host.id == id; });
    return found == hosts.end() ? nullptr : &*found;
}

std::optional<HostList> parseHostList(std::string_view text, core::Error &why)
{
    why = core::Error{.step = core::Step::Hosts, .reason = "not a host list", .refusal = core::Refusal::BadAnswer};
    const auto whole = settings::parseJson(text, "host list", settings::JsonOptions{.comments = false}, why);
    if (!whole || !whole->is_object() || !whole->contains("as_of_ms") || !(*whole)["as_of_ms"].is_number_integer() || !whole->contains("hosts")
        || !(*whole)["hosts"].is_array()) {
        return std::nullopt;
    }
    HostList list{(*whole)["as_of_ms"].get<std::int64_t>(), {}};
    if (!readHosts((*whole)["hosts"], list.hosts, why)) {
        return std::nullopt;
    }
    return list;
}

} // namespace baobabstall::platform
