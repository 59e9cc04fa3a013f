// serving/claims.h: the order of all that wait for one resource, the same for each resource that callers compete for. No I/O.
//
//   Standing(claimant, isLate, aboveUsual) < Standing(...)   // goes first; those alike go as the resource orders them
//
// Lower rank; then what can be on time; then workspaces that take no more than usual. Without ranks and workspaces only the second differs.
#pragma once

#include <compare>
#include <cstdint>
#include <set>
#include <string_view>

#include <core/types.h>

namespace baobabstall::serving {

/// Who asks for a part of a resource.
struct Claimant {
    int rank = 0; // lower: more urgent
    core::WorkspaceId workspace;
    bool isLate = false; // it could not be on time any more when it asked

    friend auto operator<=>(const Claimant &, const Claimant &) = default;
    friend bool operator==(const Claimant &, const Claimant &) = default;
};

struct Standing {
    int rank = 0;
    bool isLate = false;
    bool isAboveUsual = false; // its workspace is

    Standing() = default;
    Standing(const Claimant &claimant, bool late, const std::set<core::WorkspaceId> &aboveUsual)
        : rank(claimant.rank)
        , isLate(late)
        , isAboveUsual(!claimant.workspace.empty() && aboveUsual.contains(claimant.workspace))
    { }

    friend auto operator<=>(const Standing &, const Standing &) = default;
    friend bool operator==(const Standing &, const Standing &) = default;
};

/// One that waited longer let another go first.
struct GivenWay {
    enum class Why : std::uint8_t { Rank, Late, Usual };

    Claimant from;
    Claimant to;
    Why why = Why::Rank;

    friend auto operator<=>(const GivenWay &, const GivenWay &) = default;
    friend bool operator==(const GivenWay &, const GivenWay &) = default;
};

/// Why the first goes after the second.
[[nodiscard]] inline GivenWay::Why whyAfter(const Standing &last, const Standing &first)
{
    return last.rank != first.rank ? GivenWay::Why::Rank : last.isLate != first.isLate ? GivenWay::Why::Late : GivenWay::Why::Usual;
}

[[nodiscard]] inline std::string_view textOf(GivenWay::Why why)
{
    return why == GivenWay::Why::Rank ? "rank" : why == GivenWay::Why::Late ? "late" : "usual";
}

} // namespace baobabstall::serving
