// serving/access.h: whether a caller's key admits a request. No I/O.
//
//   const auto access = accessOf(*node.routes, *route, metadata.key, node.isConfigurationProven());
//   if (admits(access.verdict)) { ...access.workspace, null for a caller without one... }
//
// Asked when a request arrives and again right before each send, by the configuration in force then: a request may have waited meanwhile,
// or the host may have stood still.
#pragma once

#include <string_view>

#include <serving/routes.h>

namespace baobabstall::serving {

enum class AccessVerdict : std::uint8_t {
    Open,       // no key is needed, and none names a workspace
    Granted,    // by the key of a workspace
    UnknownKey, // missing, or of no workspace
    Unproven,   // the configuration in force may lack the withdrawal of the key
};

struct Access {
    AccessVerdict verdict = AccessVerdict::Open;
    const Workspace *workspace = nullptr; // valid as long as the route table
};

[[nodiscard]] constexpr bool admits(AccessVerdict verdict)
{
    return verdict == AccessVerdict::Open || verdict == AccessVerdict::Granted;
}

/// `isProven`: that the configuration is the newest one, as far as its deployment asks for a proof.
[[nodiscard]] inline Access accessOf(const RouteTable &routes, const Route &route, std::string_view key, bool isProven)
{
    if (!routes.hasWorkspaces()) {
        return {};
    }
    const auto *workspace = routes.workspaceOf(key);
    if (workspace == nullptr) {
        return {.verdict = route.isAnonymous ? AccessVerdict::Open : AccessVerdict::UnknownKey};
    }
    return {.verdict = isProven ? AccessVerdict::Granted : AccessVerdict::Unproven, .workspace = workspace};
}

} // namespace baobabstall::serving
