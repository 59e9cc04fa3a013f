// engines/loadbudget.h: the weight store's load rate, shared by a region.
//
// Index
//   PermitId         one allowed load
//   Worth            what a load is worth to the one that asks
//   LoadBudget       the region's one owner of the rate: gives permits in order of worth
//   FallbackBudget   an engine owner's own part of the rate, while the budget's owner can't be reached
//
// Asks and answers travel as messages, so each is idempotent: an ask for the same engine and adapter replaces the earlier
// one, and done() for an unknown permit does nothing.
#pragma once

#include <compare>
#include <deque>
#include <map>
#include <optional>
#include <vector>

#include <core/types.h>
#include <settings/settings.h>

namespace baobabstall::engines {

using core::AdapterRef;
using core::Epoch;
using core::HostId;
using core::Instant;
using core::Milliseconds;
using core::UpstreamId;

/// Unique over all owners of the budget: the owner's epoch stands in the upper bits. Zero is no permit.
using PermitId = core::Ordinal<struct PermitTag>;

struct LoadPriority {
    double waitingWeight = 0; // requests waiting for the load, each times its plan's share; 0: load ahead, only with spare permits
    double victimRate = 0;    // weighted requests a second of the adapter that has to go; 0 when a slot is free
};

/// One load that may be ordered now.
struct Grant {
    PermitId permit;
    HostId host; // owner of the engine
    UpstreamId engine;
    AdapterRef adapter;
};

class LoadBudget
{
public:
    /// `began`: when this daemon became owner. No grant in the first window, in which the permits of an earlier owner may be in use.
    LoadBudget(Epoch epoch, const settings::Loads &loads, Instant began);

    // Events
    void requestPermit(const HostId &host, const UpstreamId &engine, const AdapterRef &adapter, LoadPriority worth, Instant now); // again: new worth, same age
    void cancelRequest(const HostId &host, const UpstreamId &engine, const AdapterRef &adapter);                                  // nobody waits any more
    void release(PermitId permit, Instant now);                         // the load has ended in any way, or was never ordered
    void adoptPermit(const HostId &host, PermitId permit, Instant now); // a permit of an earlier owner still in use: counts as ours
    void removeHost(const HostId &host);                                // its asks are dropped; its permits run out by time, as its loads may go on

    // Decisions
    [[nodiscard]] std::vector<Grant> takeGrants(Instant now);             // best first; never over rate and concurrency
    [[nodiscard]] std::optional<Instant> nextDeadline(Instant now) const; // when takeGrants() may have more without an event
    [[nodiscard]] Milliseconds expectedWait(Instant now) const;           // of an ask of middling worth that came now
    [[nodiscard]] std::size_t pendingRequests() const { return requests_.size(); }
    [[nodiscard]] std::size_t permitsInUse() const { return permits_.size(); }

private:
    struct RequestKey {
        HostId host;
        UpstreamId engine;
        AdapterRef adapter;
        friend auto operator<=>(const RequestKey &, const RequestKey &) = default;
        friend bool operator==(const RequestKey &, const RequestKey &) = default;
    };
    struct PermitRequest {
        LoadPriority worth;
        Instant since;
    };
    struct Permit {
        HostId host;
        Instant until;
    };

    [[nodiscard]] double score(const PermitRequest &ask, Instant now) const;
    [[nodiscard]] Instant nextGrantTime(Instant now) const;
    void dropExpired(Instant now);

    settings::Loads loads_;
    std::size_t grantsPerWindow_;
    Milliseconds window_;
    Instant ownedSince_;
    std::uint64_t nextPermit_;
    std::map<RequestKey, PermitRequest> requests_;
    std::map<PermitId, Permit> permits_;
    std::deque<Instant> grantTimes_; // within the last window
};

/// Bound: n owners that all count n together allow at most rate x time + n loads in any stretch of time, and n at once.
/// Count owners by the host list, not by heartbeats: in a partition each side would else count only itself.
class FallbackBudget
{
public:
    FallbackBudget(const settings::Loads &loads, Instant began); // begins empty: switching to and fro gains nothing

    [[nodiscard]] std::optional<PermitId> tryAcquire(int owners, Instant now); // nothing: too early, or a load is in flight
    void release(PermitId permit);
    [[nodiscard]] static bool isFallbackPermit(PermitId permit); // given by a fallback budget, so never report it to the owner

private:
    double loadsPerMs_;
    Milliseconds timeout_;
    double tokens_ = 0; // at most 1
    Instant refilledAt_;
    std::uint64_t nextPermit_;
    std::optional<PermitId> inFlight_;
    Instant inFlightUntil_;
};

} // namespace baobabstall::engines
