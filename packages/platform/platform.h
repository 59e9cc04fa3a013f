// platform/platform.h: the platform's services as this system uses them: log and host list. Thin I/O over net::HttpClient.
//
// Index
//   LogRecord, LogPage        what a read of a stream gives
//   LogClient                 read(), appendOnce(), append()
//   Daemon, Engine, Service   entries of the host list
//   HostList, HostsClient     the whole list
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <core/error.h>
#include <core/types.h>
#include <net/http.h>
#include <settings/settings.h>

namespace baobabstall::platform {

struct LogRecord {
    core::Offset offset;
    std::int64_t timeMs = 0; // civil time of the log
    std::string data;        // JSON text
};

struct LogPage {
    core::Offset first;             // the oldest record still kept
    core::Offset next;              // the offset that the next append gets
    std::vector<LogRecord> records; // in order, from the offset asked for or from `first`
};

class LogClient
{
public:
    LogClient(net::HttpClient &http, net::Address address, const settings::Platform &settings);

    /// Reads from an offset on; waits up to `wait` for the first record. Step Log.
    net::Task<std::optional<LogPage>> read(std::string stream, core::Offset from, core::Milliseconds wait, core::Error &why);
    /// One try. Outcome NotRun: certainly not appended. Unknown: perhaps; the stream will tell.
    net::Task<std::optional<core::Offset>> appendOnce(std::string stream, std::string record, core::Error &why);
    /// Tries until the record is in the stream or the log refuses it: after an answer was lost it looks for a record whose "id" is
    /// `recordId` before it tries again. Gives up with an Error after `maxTries`.
    net::Task<std::optional<core::Offset>> append(std::string stream, std::string recordId, std::string record, core::Error &why);

    static constexpr int maxTries = 5;
    static constexpr int maxPageRecords = 500;

private:
    net::Task<std::optional<std::optional<core::Offset>>> findRecord(std::string stream, core::Offset from, std::string recordId, core::Error &why);

    net::HttpClient &http_;
    net::Address address_;
    settings::Platform settings_;
};

struct DaemonHost {
    core::HostId host;
    core::RegionId region;
    core::ZoneId zone;
    net::Address callers;
    net::Address peers;
    net::Address operators;
    bool isLeaving = false;
};

struct EngineHost {
    core::UpstreamId id;
    core::RegionId region;
    core::ZoneId zone;
    net::Address address;
    core::BaseModel baseModel;
    int slots = 0;
    bool checksFencing = false;
    bool isLeaving = false;
};

struct ServiceHost {
    core::UpstreamId id;
    core::RegionId region;
    core::ZoneId zone;
    net::Address address;
    core::ServiceName service;
    bool isLeaving = false;
};

/// Live and leaving hosts; the list lags. Entries that can't be read are left out and counted.
struct HostList {
    std::int64_t asOfMs = 0;
    std::vector<DaemonHost> daemons;
    std::vector<EngineHost> engines;
    std::vector<ServiceHost> services;
    int unreadable = 0;
};

/// Nothing, and an Error of step Hosts, on text that is no host list.
[[nodiscard]] std::optional<HostList> parseHostList(std::string_view text, core::Error &why);
/// Nothing, and an Error of step Log, on text that is no page of a stream.
[[nodiscard]] std::optional<LogPage> parseLogPage(std::string_view text, core::Error &why);

class HostsClient
{
public:
    HostsClient(net::HttpClient &http, net::Address address, const settings::Platform &settings);

    net::Task<std::optional<HostList>> read(core::Error &why);

private:
    net::HttpClient &http_;
    net::Address address_;
    settings::Platform settings_;
};

} // namespace baobabstall::platform
