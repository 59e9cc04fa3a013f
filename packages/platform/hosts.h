// platform/hosts.h: the platform's list of hosts, typed. No I/O.
//
// Index
//   DaemonHost, EngineHost, ServiceHost   what each kind tells
//   Host                                  one entry
//   HostList                              the whole list and the platform's time of it
//   parseHostList()
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include <core/error.h>
#include <core/types.h>
#include <net/http.h>

namespace baobabstall::platform {

/// A daemon of this system.
struct DaemonHost {
    net::Address peers;
    net::Address callers;
    net::Address operators;

    friend bool operator==(const DaemonHost &, const DaemonHost &) = default;
};

/// A model engine.
struct EngineHost {
    net::Address address;
    core::BaseModel baseModel;
    int slots = 0;              // adapters it can hold at once
    bool checksFencing = false; // refuses orders with an old fencing number

    friend bool operator==(const EngineHost &, const EngineHost &) = default;
};

/// A replica of a plain service.
struct ServiceHost {
    net::Address address;
    core::ServiceName service;

    friend bool operator==(const ServiceHost &, const ServiceHost &) = default;
};

enum class HostState : std::uint8_t {
    Live,
    Leaving, // give it no new work
};

struct Host {
    core::HostId id;
    core::RegionId region;
    core::ZoneId zone;
    HostState state = HostState::Live;
    std::variant<DaemonHost, EngineHost, ServiceHost> role;

    friend bool operator==(const Host &, const Host &) = default;
};

/// A host that is gone is missing. Lags by seconds.
struct HostList {
    std::int64_t asOfMs = 0; // the platform's own time; compare only with itself
    std::vector<Host> hosts;

    [[nodiscard]] const Host *find(const core::HostId &id) const; // none: gone, or not listed yet
};

/// Reads the answer to GET /hosts. Entries of an unknown kind are left out. A malformed entry refuses the whole list: a host that is
/// missing counts as gone, so an entry that can't be read must not look like one. Step Hosts.
[[nodiscard]] std::optional<HostList> parseHostList(std::string_view text, core::Error &why);

} // namespace baobabstall::platform
