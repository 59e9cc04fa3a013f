// engines/loadbudget.h: rate limit on adapter loads from the weight store, shared by all engines of a region.
//
// Index
//   PermitId         permission for one load
//   LoadPriority     how urgent a load is to its requester
//   LoadBudget       the regional rate limiter, on one daemon: grants permits in order of priority
//   FallbackBudget   an engine owner's own part of the rate, while the owner of the budget can't be reached
//
// Requests and replies are sent as messages, so every operation is idempotent: a request for the same engine and adapter replaces
// the earlier one, and release() of an unknown permit does nothing.
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

/// Unique across all owners of the budget: the upper bits hold the owner's epoch. Zero is no permit.
using PermitId = core::Ordinal<struct PermitTag>;

struct LoadPriority {
    double waitingWeight = 0; // sum of the plan shares of the requests that wait for the load; 0: prefetch, which gets spare permits only
    double victimRate = 0;    // weighted requests per second for the adapter that the load would evict; 0 if a slot is free
};

/// Permission to order one load now.
struct Grant {
    PermitId permit;
    HostId host; // owner of the engine
    UpstreamId engine;
    AdapterRef adapter;
};

class LoadBudget
{
public:
    /// `ownedSince`: when this daemon became owner. Grants nothing in the first window, as permits of an earlier owner may still be in use.
    LoadBudget(Epoch epoch, const settings::Loads &loads, Instant ownedSince);

    // Events
    void requestPermit(const HostId &host,
                       const UpstreamId &engine,
                       const AdapterRef &adapter,
                       LoadPriority priority,
                       Instant now);                                                             // repeated: updates the priority, keeps the age
    void cancelRequest(const HostId &host, const UpstreamId &engine, const AdapterRef &adapter); // no request waits for the load any more
    void release(PermitId permit, Instant now);                                                  // the load has ended in any way, or was never ordered
    void adoptPermit(const HostId &host, PermitId permit, Instant now); // counts a permit of an earlier owner that is still in use as our own
    void removeHost(const HostId &host);                                // drops its requests; its permits expire by timeout, as its loads may continue

    // Decisions
    [[nodiscard]] std::vector<Grant> takeGrants(Instant now);             // highest score first; never above the rate and the concurrency
    [[nodiscard]] std::optional<Instant> nextDeadline(Instant now) const; // when to call takeGrants() again if no event occurs
    [[nodiscard]] Milliseconds expectedWait(Instant now) const;           // of a new request with a median score
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
        LoadPriority priority;
        Instant since;
    };
    struct Permit {
        HostId host;
        Instant until;
    };

    [[nodiscard]] double score(const PermitRequest &request, Instant now) const;
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

/// Bound: if n owners all use the count n, together they allow at most rate x time + n loads in any period, and n at once.
/// Count owners by the host list, not by heartbeats: otherwise each side of a network partition would count only itself.
class FallbackBudget
{
public:
    FallbackBudget(const settings::Loads &loads, Instant startedAt); // starts empty, so that switching back and forth gains no extra loads

    /// The time since the last attempt counts at the lowest rate that was set meanwhile.
    void setRate(double loadsPerSecond);
    [[nodiscard]] std::optional<PermitId> tryAcquire(int owners, Instant now); // nothing if it is too early or a load is in flight
    void release(PermitId permit);
    [[nodiscard]] static bool isFallbackPermit(PermitId permit); // issued by a fallback budget; never release it at the budget's owner

private:
    double loadsPerMs_;
    double refillPerMs_; // for the time since refilledAt_
    Milliseconds timeout_;
    double tokens_ = 0; // at most 1
    Instant refilledAt_;
    std::uint64_t nextPermit_;
    std::optional<PermitId> inFlight_;
    Instant inFlightUntil_;
};

} // namespace baobabstall::engines
