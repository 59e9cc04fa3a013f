#include <platform/platform.h>

#include <nlohmann/json.hpp>

namespace baobabstall::platform {

using core::Error;
using core::Milliseconds;
using core::Offset;
using core::Step;
using nlohmann::json;

namespace {

constexpr int httpOk = 200;

Error platformError(Step step, const net::Address &address, std::string reason, core::Outcome outcome)
{
    return Error{.step = step, .peer = address.text(), .reason = std::move(reason), .refusal = core::Refusal::Unavailable, .outcome = outcome};
}

/// Calls `read` and turns the library's exceptions about missing or mistyped fields into nothing.
template<typename T, typename Read>
std::optional<T> guarded(Read read)
{
    try {
        return read();
    } catch (const json::exception &) {
        return std::nullopt;
    }
}

std::string textOf(const json &entry, const char *field)
{
    return entry.at(field).get<std::string>();
}

std::optional<net::Address> addressOf(const json &entry, const char *field)
{
    return net::Address::parse(entry.value(field, std::string()));
}

bool isLeaving(const json &entry)
{
    return textOf(entry, "state") == "leaving";
}

std::optional<DaemonHost> daemonOf(const json &entry)
{
    const auto callers = addressOf(entry, "callers");
    const auto peers = addressOf(entry, "peers");
    const auto operators = addressOf(entry, "operators");
    if (!callers || !peers || !operators) {
        return std::nullopt;
    }
    return DaemonHost{core::HostId(textOf(entry, "host")),
                      core::RegionId(textOf(entry, "region")),
                      core::ZoneId(textOf(entry, "zone")),
                      *callers,
                      *peers,
                      *operators,
                      isLeaving(entry)};
}

std::optional<EngineHost> engineOf(const json &entry)
{
    const auto address = addressOf(entry, "address");
    if (!address) {
        return std::nullopt;
    }
    return EngineHost{core::UpstreamId(textOf(entry, "host")),
                      core::RegionId(textOf(entry, "region")),
                      core::ZoneId(textOf(entry, "zone")),
                      *address,
                      core::BaseModel(textOf(entry, "base_model")),
                      entry.at("slots").get<int>(),
                      entry.value("checks_fencing", false),
                      isLeaving(entry)};
}

std::optional<ServiceHost> serviceOf(const json &entry)
{
    const auto address = addressOf(entry, "address");
    if (!address) {
        return std::nullopt;
    }
    return ServiceHost{core::UpstreamId(textOf(entry, "host")),
                       core::RegionId(textOf(entry, "region")),
                       core::ZoneId(textOf(entry, "zone")),
                       *address,
                       core::ServiceName(textOf(entry, "service")),
                       isLeaving(entry)};
}

template<typename T, typename Read>
bool addTo(std::vector<T> &hosts, const json &entry, Read read)
{
    auto host = guarded<T>([&] { return read(entry); });
    if (host) {
        hosts.push_back(std::move(*host));
    }
    return host.has_value();
}

bool addHost(HostList &list, const json &entry)
{
    const auto kind = entry.is_object() ? entry.value("kind", json()) : json();
    if (kind == "daemon") {
        return addTo(list.daemons, entry, daemonOf);
    }
    if (kind == "engine") {
        return addTo(list.engines, entry, engineOf);
    }
    return kind == "service" && addTo(list.services, entry, serviceOf);
}

} // namespace

std::optional<HostList> parseHostList(std::string_view text, Error &why)
{
    const json value = json::parse(text, nullptr, false);
    if (!value.is_object() || !value.contains("hosts") || !value["hosts"].is_array() || !value.contains("as_of_ms") || !value["as_of_ms"].is_number_integer()) {
        why = Error{.step = Step::Hosts, .reason = "not a host list", .refusal = core::Refusal::Unavailable};
        return std::nullopt;
    }
    HostList list;
    list.asOfMs = value["as_of_ms"].get<std::int64_t>();
    for (const json &entry : value["hosts"]) {
        list.unreadable += addHost(list, entry) ? 0 : 1;
    }
    return list;
}

std::optional<LogPage> parseLogPage(std::string_view text, Error &why)
{
    const json value = json::parse(text, nullptr, false);
    auto page = guarded<LogPage>([&] {
        LogPage read;
        read.first = Offset(value.at("first").get<std::uint64_t>());
        read.next = Offset(value.at("next").get<std::uint64_t>());
        for (const json &record : value.at("records")) {
            read.records.push_back({Offset(record.at("offset").get<std::uint64_t>()), record.at("time_ms").get<std::int64_t>(), record.at("data").dump()});
        }
        return std::optional(std::move(read));
    });
    if (!page) {
        why = Error{.step = Step::Log, .reason = "not a page of a stream", .refusal = core::Refusal::Unavailable};
    }
    return page;
}

LogClient::LogClient(net::HttpClient &http, net::Address address, const settings::Platform &settings)
    : http_(http)
    , address_(std::move(address))
    , settings_(settings)
{ }

net::Task<std::optional<LogPage>> LogClient::read(std::string stream, Offset from, Milliseconds wait, Error &why)
{
    net::CallOptions options;
    options.timeout = settings_.timeout + wait;
    const std::string target
        = "/log/" + stream + "?from=" + std::to_string(from.value()) + "&limit=" + std::to_string(maxPageRecords) + "&wait_ms=" + std::to_string(wait.count());
    const auto response = co_await http_.call(address_, {.target = target}, options, why);
    if (!response) {
        why.step = Step::Log;
        co_return std::nullopt;
    }
    if (response->status != httpOk) {
        why = platformError(Step::Log, address_, "read refused with status " + std::to_string(response->status), core::Outcome::NotRun);
        co_return std::nullopt;
    }
    co_return parseLogPage(response->body, why);
}

net::Task<std::optional<Offset>> LogClient::appendOnce(std::string stream, std::string record, Error &why)
{
    net::CallOptions options;
    options.timeout = settings_.timeout;
    const auto response = co_await http_.call(address_, {.method = "POST", .target = "/log/" + stream, .body = std::move(record)}, options, why);
    if (!response) {
        why.step = Step::Log;
        co_return std::nullopt;
    }
    if (response->status != httpOk) {
        why = platformError(Step::Log, address_, "append refused with status " + std::to_string(response->status), core::Outcome::NotRun);
        co_return std::nullopt;
    }
    const json value = json::parse(response->body, nullptr, false);
    auto offset = guarded<Offset>([&] { return std::optional(Offset(value.at("offset").get<std::uint64_t>())); });
    if (!offset) {
        why = platformError(Step::Log, address_, "the answer to an append has no offset", core::Outcome::Unknown);
    }
    co_return offset;
}

net::Task<std::optional<std::optional<Offset>>> LogClient::findRecord(std::string stream, Offset from, std::string recordId, Error &why)
{
    for (;;) {
        const auto page = co_await read(stream, from, Milliseconds(0), why);
        if (!page) {
            co_return std::nullopt;
        }
        for (const LogRecord &record : page->records) {
            const json value = json::parse(record.data, nullptr, false);
            if (value.is_object() && value.value("id", json()) == recordId) {
                co_return std::optional(std::optional(record.offset));
            }
            from = record.offset.next();
        }
        if (page->records.empty()) {
            co_return std::optional(std::optional<Offset>());
        }
    }
}

net::Task<std::optional<Offset>> LogClient::append(std::string stream, std::string recordId, std::string record, Error &why)
{
    const auto before = co_await read(stream, Offset(UINT32_MAX), Milliseconds(0), why);
    if (!before) {
        co_return std::nullopt;
    }
    const Offset searchFrom = std::max(before->next, Offset(1));
    for (int tries = 0; tries < maxTries; ++tries) {
        const auto offset = co_await appendOnce(stream, record, why);
        if (offset || why.outcome == core::Outcome::NotRun) {
            co_return offset;
        }
        const auto found = co_await findRecord(stream, searchFrom, recordId, why);
        if (found && *found) {
            co_return *found;
        }
        if (!found) {
            why.outcome = core::Outcome::Unknown;
            co_return std::nullopt;
        }
    }
    co_return std::nullopt;
}

HostsClient::HostsClient(net::HttpClient &http, net::Address address, const settings::Platform &settings)
    : http_(http)
    , address_(std::move(address))
    , settings_(settings)
{ }

net::Task<std::optional<HostList>> HostsClient::read(Error &why)
{
    net::CallOptions options;
    options.timeout = settings_.timeout;
    const auto response = co_await http_.call(address_, {.target = "/hosts"}, options, why);
    if (!response) {
        why.step = Step::Hosts;
        co_return std::nullopt;
    }
    if (response->status != httpOk) {
        why = platformError(Step::Hosts, address_, "refused with status " + std::to_string(response->status), core::Outcome::NotRun);
        co_return std::nullopt;
    }
    co_return parseHostList(response->body, why);
}

} // namespace baobabstall::platform
