// admission/usualrates.h: tells which workspaces take far more of one resource than they usually do. No I/O.
//
//   UsualRates rates;                       // one for each resource
//   rates.take(workspace, now, amount);     // it got a part of the resource
//   rates.above(now)                        // those that take many times their usual
//
// Usual is a slow average of what a workspace took, so a burst is told from it. What is taken far above it counts little, so that a burst does
// not become usual; one that lasts for minutes does. A part of an equal share is always within the usual, and so are a few requests.
#pragma once

#include <map>
#include <set>

#include <admission/rates.h>

namespace baobabstall::admission {

class UsualRates
{
public:
    static constexpr Milliseconds recentHalfLife{2'000};
    static constexpr Milliseconds usualHalfLife{60'000};
    static constexpr Milliseconds lastingHalfLife{300'000};
    static constexpr Milliseconds settleTime{5'000}; // nothing is usual before
    static constexpr double usualFactor = 2;         // of the usual, that is not above it
    static constexpr double dampedFactor = 1.5;      // of the usual, from which on what is taken counts less in it
    static constexpr double dampedWeight = 0.25;
    static constexpr double equalShareFactor = 0.25;  // of an equal share among those that took lately; counts as usual
    static constexpr double minEvents = 4;            // lately, before a workspace is above its usual
    static constexpr std::size_t maxWorkspaces = 256; // the others are not told apart

    /// An empty workspace is not counted.
    void take(const core::WorkspaceId &workspace, Instant now, double amount = 1);
    [[nodiscard]] std::set<core::WorkspaceId> above(Instant now) const;
    [[nodiscard]] std::size_t size() const { return rates_.size(); }

private:
    struct Rates {
        DecayingCount events{recentHalfLife};
        DecayingCount recent{recentHalfLife};
        DecayingCount usual{usualHalfLife};
        DecayingCount lasting{lastingHalfLife};
    };

    [[nodiscard]] double equalShare(Instant now) const;
    /// What it took lately, as a multiple of its usual.
    [[nodiscard]] double multiple(const Rates &rates, double equalShare, Instant now) const;
    [[nodiscard]] bool isSettled(Instant now) const { return since_ && now - *since_ >= settleTime; }
    bool makeRoom(Instant now);

    std::map<core::WorkspaceId, Rates> rates_;
    std::optional<Instant> since_;
};

} // namespace baobabstall::admission
