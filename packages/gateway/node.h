// gateway/node.h: what the parts of one daemon share. Owned by Daemon; every part keeps a reference.
//
// Index
//   EngineRecord, ServiceRecord   upstreams as the host list tells
//   Node                          settings, clock, I/O, and the decision state that is not tied to one owned thing
//   Wakeup                        lets a coroutine wait for an event of another
//   OwnedHost                     what a daemon does with each thing it owns
#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>

#include <admission/planlimiter.h>
#include <admission/retrybudget.h>
#include <core/clock.h>
#include <core/types.h>
#include <engines/enginetable.h>
#include <gateway/trace.h>
#include <lists/lists.h>
#include <logging/logging.h>
#include <metrics/metrics.h>
#include <net/asio.h>
#include <net/http.h>
#include <ownership/planner.h>
#include <peers/link.h>
#include <peers/membership.h>
#include <placement/placement.h>
#include <settings/settings.h>

namespace baobabstall::gateway {

constexpr std::size_t maxEngineReplyBytes = 4 * 1024 * 1024; // of an answer that is no completion: a listing of adapters, an error, the answer to an order

namespace asio = boost::asio;

/// A model engine of this region.
struct EngineRecord {
    engines::EngineInfo info;
    core::ZoneId zone;
    net::Address address;
    bool isLeaving = false; // by the host list or its own word: gets no new work
};

/// A replica of a plain service of this region.
struct ServiceRecord {
    core::UpstreamId id;
    core::ServiceName service;
    core::ZoneId zone;
    net::Address address;
    bool isLeaving = false;
};

/// Waits of one coroutine for an event that another part raises.
class Wakeup
{
public:
    explicit Wakeup(asio::io_context &io)
        : timer_(io)
    { }

    void raise() { timer_.cancel(); }
    /// Returns at the next raise() or after `atMost`. The waiter checks what it waits for before and after.
    net::Task<void> wait(core::Milliseconds atMost)
    {
        timer_.expires_after(net::chronoOf(atMost));
        co_await timer_.async_wait(net::tuple);
    }

private:
    asio::steady_timer timer_;
};

/// One thing that this daemon owns under one epoch, while it owns it and until everything begun under the epoch has ended.
class OwnedHost
{
public:
    virtual ~OwnedHost() = default;
    virtual void drain() = 0;                      // planned handover: no new work
    virtual void lose() = 0;                       // owned by another: no new work and no orders
    [[nodiscard]] virtual bool isIdle() const = 0; // nothing begun under the epoch goes on
    virtual void close() = 0;                      // idle, and never used again
};

struct Node {
    Node(asio::io_context &context, settings::Settings daemonSettings, core::Incarnation ownIncarnation, logging::Log daemonLog);

    [[nodiscard]] core::Instant now() const { return clock.now(); }
    /// The owner that new work for a thing goes to; nothing while there is none that is worth asking.
    [[nodiscard]] std::optional<ownership::Owner> usableOwner(const ownership::Resource &thing) const;
    /// Daemons that share the region, by the host list; at least 1.
    [[nodiscard]] int daemonCount() const;
    /// An id that no other request of the deployment has.
    [[nodiscard]] core::RequestId newRequestId();
    void trace(const core::RequestId &request, core::Step step, std::string peer, std::string note);
    /// The id of one attempt of a request: unique on the engine, so that a late answer of another attempt can't pass for it.
    [[nodiscard]] static core::RequestId attemptId(const core::RequestId &request, int attempt);
    [[nodiscard]] static core::RequestId requestOfAttempt(const core::RequestId &attempt);
    /// Marks an engine or service replica as leaving by its own word, until the host list no longer shows it.
    void noteLeaving(const core::UpstreamId &upstream);
    /// Counts one append to the platform's log by its result.
    void noteAppend(bool isTaken, const core::Error &why);
    /// Tells placement which engines can take new work, after a change of hosts, members or owners.
    void updateAvailability();

    asio::io_context &io;
    settings::Settings settings;
    core::SteadyClock clock;
    core::Incarnation incarnation;
    net::HttpClient http;
    lists::ListsState lists;
    peers::Membership membership;
    ownership::OwnershipPlanner planner;
    placement::Placement placement;
    admission::PlanLimiter limiter;
    admission::RetryBudget retries;
    std::unique_ptr<peers::Links> links; // set by Daemon before anything runs
    std::map<core::UpstreamId, EngineRecord> engines;
    std::map<core::UpstreamId, ServiceRecord> services;
    std::set<core::UpstreamId> leavingByWord;
    std::set<core::HostId> listedDaemons;
    TraceLog traces;
    logging::Log log;
    metrics::Metrics metrics;
    bool isStopping = false; // takes no new requests
    std::int64_t startedMs = core::civilMilliseconds();
    std::uint64_t requestCount = 0;
};

} // namespace baobabstall::gateway
