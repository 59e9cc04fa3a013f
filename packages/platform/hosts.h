// platform/hosts.h: the platform's list of hosts, typed. No I/O.
//
// Index
//   DaemonHost, EngineHost, ServiceHost   entries by kind
//   HostList                              the whole list and the platform's time of it
//   parseHostList()
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <core/error.h>
#include <core/types.h>
#include <net/http.h>

namespace baobabstall::platform {

/// A daemon of this system.
struct DaemonHost {
    core::HostId host;
    core::RegionId region;
    core::ZoneId zone;
    net::Address callers;
    net::Address peers;
    net::Address operators;
    bool isLeaving = false; // give it no new work

    friend bool operator==(const DaemonHost &, const DaemonHost &) = default;
};

/// A model engine.
struct EngineHost {
    core::UpstreamId id;
    core::RegionId region;
    core::ZoneId zone;
    net::Address address;
    core::BaseModel baseModel;
    int slots = 0;              // adapters it can hold at once
    bool checksFencing = false; // refuses orders with an old fencing number
    bool isLeaving = false;

    friend bool operator==(const EngineHost &, const EngineHost &) = default;
};

/// A replica of a plain service.
struct ServiceHost {
    core::UpstreamId id;
    core::RegionId region;
    core::ZoneId zone;
    net::Address address;
    core::ServiceName service;
    bool isLeaving = false;

    friend bool operator==(const ServiceHost &, const ServiceHost &) = default;
};

/// Live and leaving hosts. One that is gone is missing. Lags by seconds.
struct HostList {
    std::int64_t asOfMs = 0; // the platform's own time; compare only with itself
    std::vector<DaemonHost> daemons;
    std::vector<EngineHost> engines;
    std::vector<ServiceHost> services;
};

/// Reads the answer to GET /hosts. Entries of an unknown kind are left out. A malformed entry refuses the whole list: a host that is
/// missing counts as gone, so an entry that can't be read must not look like one. Step Hosts.
[[nodiscard]] std::optional<HostList> parseHostList(std::string_view text, core::Error &why);

} // namespace baobabstall::platform
