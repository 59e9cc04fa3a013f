// quotas/credit.h: what hosts and the owner of a quota tell each other, and the bounds that both keep. No I/O.
//
// Index
//   Quota          limit of one workspace over all hosts
//   Ask, Grant     a host's question to the owner, and its answer
//   Timing         the times that both sides rely on
//   Allowance      what windows may hold beyond the quotas
//
// Bound. Over every window of W seconds all hosts together spend at most
//     perSecond x W + burst + slackSeconds x perSecond + fallbackReserve(), and one unit more,
// whatever is delayed, lost, frozen or killed. docs/design/quotas.md has the argument.
#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <vector>

#include <core/types.h>

namespace baobabstall::quotas {

using core::HostId;
using core::Instant;
using core::Milliseconds;
using core::WorkspaceId;

/// Amounts are requests or tokens; the two are never mixed within a workspace.
struct Quota {
    double perSecond = 0; // 0: none
    double burst = 0;

    [[nodiscard]] bool isNone() const { return perSecond <= 0; }
    friend bool operator==(const Quota &, const Quota &) = default;
};

using Quotas = std::map<WorkspaceId, Quota>;

struct Timing {
    static constexpr Milliseconds grantLifetime{500};        // since the ask was sent, by the host's clock; a later grant is void
    static constexpr Milliseconds servedTime{1'200};         // of a host at the owner, since it received an ask that was answered in time
    static constexpr Milliseconds fallbackAfter{1'800};      // of a host, since it sent the last ask that was answered in time
    static constexpr Milliseconds fallbackAfterStart{1'300}; // of a run; an owner had answered the former one before that ended
    static constexpr Milliseconds settleTime{2'500};         // then credit that an earlier owner granted is spent or dropped
    static constexpr Milliseconds heartbeat{400};            // between asks without use
    static constexpr Milliseconds giveBackWithin{1'500};     // of a charge; a later one stays spent
    static_assert(servedTime + grantLifetime < fallbackAfter, "an owner must not fill for a host that spends its fallback share");
    static_assert(servedTime < fallbackAfterStart && fallbackAfterStart <= fallbackAfter);
    static_assert(fallbackAfter + grantLifetime < settleTime);
};

constexpr double stockSeconds = 0.3;    // of perSecond: what may be out or in stock beyond the burst
constexpr double fallbackSeconds = 0.2; // of a host's share: the most that it saves up while it hears no owner
constexpr double slackSeconds = 2 * stockSeconds + fallbackSeconds;
constexpr double unitAmount = 1; // the smallest request

/// What a window may hold beyond perSecond x window + burst, as the deployment's settings say. None: nothing is known of it.
struct Allowance {
    double windowSeconds = 0;
    double tolerance = 0; // in the quotas' unit
    double overage = 0;   // as a share of the quota

    friend bool operator==(const Allowance &, const Allowance &) = default;
};

/// What all hosts together may save up while they hear no owner, besides fallbackSeconds: half of the tolerance at most, and less where requests
/// that are sent up to sendLagSeconds after their charge need the rest.
[[nodiscard]] inline double fallbackReserve(const Quota &quota, const Allowance &allowance)
{
    constexpr double usedShare = 0.5;
    constexpr double sendLagSeconds = 0.2;
    const double spareSeconds = allowance.overage * allowance.windowSeconds - slackSeconds - sendLagSeconds;
    return std::clamp(allowance.tolerance + spareSeconds * quota.perSecond, 0.0, usedShare * allowance.tolerance);
}

/// The most that is in the owner's stock and out at hosts together. A request of more can't be served.
[[nodiscard]] inline double depthOf(const Quota &quota)
{
    return std::max(quota.burst + stockSeconds * quota.perSecond, unitAmount);
}

/// The most that is out at hosts.
[[nodiscard]] inline double maxOutstanding(const Quota &quota)
{
    constexpr double burstShare = 0.75;
    return std::max(burstShare * quota.burst + stockSeconds * quota.perSecond, unitAmount);
}

/// The most that is out at hosts when one is granted more in advance; the rest is for requests that wait.
[[nodiscard]] inline double maxInAdvance(const Quota &quota)
{
    constexpr double burstShare = 0.3;
    constexpr double stockShare = 0.6;
    return std::max(burstShare * quota.burst + stockShare * stockSeconds * quota.perSecond, unitAmount);
}

struct AskEntry {
    WorkspaceId workspace;
    double held = 0;      // credit at the host when it asked
    double urgent = 0;    // more, for requests that wait
    double inAdvance = 0; // more, besides
    double least = 0;     // a smaller grant is of no use
    double returned = 0;  // credit that the host gives up
    double givenBack = 0; // charges that were not run

    friend bool operator==(const AskEntry &, const AskEntry &) = default;
};

/// Names what has changed since the last ask that was answered; workspaces that it doesn't name hold what they held.
struct Ask {
    std::uint64_t session = 0;  // rises with each run of the host
    std::uint64_t sequence = 0; // rises with each ask of the session
    std::uint64_t answered = 0; // newest ask whose grant came in time; grants for later ones, up to this, are void
    bool isInFallback = false;  // only says that the host is there; grants nothing
    std::vector<AskEntry> entries = {};
};

struct GrantEntry {
    WorkspaceId workspace;
    double granted = 0;
    Milliseconds wait{0}; // without a grant: until credit is there

    friend bool operator==(const GrantEntry &, const GrantEntry &) = default;
};

struct Grant {
    std::uint64_t session = 0;
    std::uint64_t sequence = 0; // of the ask
    std::vector<GrantEntry> entries = {};
};

} // namespace baobabstall::quotas
