// serving/node.h: what the parts of one hosted daemon share. I/O; one thread.
//
// Index
//   ServingMetrics    every family of the metrics page of a hosted daemon
//   ResidencySource   how an entry gets an adapter held somewhere; the owner may be another host
//   Node              all shared parts
#pragma once

#include <map>
#include <memory>
#include <string>
#include <unordered_map>

#include <admission/rates.h>
#include <admission/retrybudget.h>
#include <core/clock.h>
#include <logging/logging.h>
#include <metrics/registry.h>
#include <serving/chooser.h>
#include <serving/protocol.h>
#include <serving/replicabook.h>
#include <serving/residency.h>
#include <serving/routes.h>
#include <serving/upstreams.h>
#include <settings/settings.h>

namespace baobabstall::serving {

struct ServingMetrics {
    ServingMetrics();

    metrics::Registry registry;
    metrics::Counter &requests;           // service, status, reason
    metrics::Histogram &requestDuration;  // service
    metrics::Histogram &firstEvent;       // service
    metrics::Histogram &eventPause;       // service
    metrics::Histogram &residencyWait;    // outcome
    metrics::Counter &sends;              // service, outcome
    metrics::Counter &orders;             // kind, outcome
    metrics::Counter &storeCalls;         // call, outcome
    metrics::Counter &unreadableRequests; // status
    metrics::Counter &beliefChanges;      // what changed a belief
    metrics::Gauge &retryBudget;          // service
    metrics::Gauge &configVersion;
    metrics::Gauge &configAge;
    metrics::Gauge &upstreamsAge;
    metrics::Gauge &knownUpstreams;
    metrics::Gauge &ownedUpstreams;
    metrics::Gauge &upstreamConnections; // state
    metrics::Gauge &callerConnections;   // state
    metrics::Gauge &residencyLeases;
    metrics::Gauge &logLinesDropped;
};

/// Weights that an entry may send to now.
struct ResidencyGrant {
    AdapterRevision revision;
    Instant until; // 0: no promise, only believed
};

/// What an entry wants held, and how long it can wait.
struct ResidencyRequest {
    UpstreamId replica;
    AdapterKey weights;
    AdapterRevision minRevision;
    Milliseconds maxWait;       // at most
    Milliseconds timeUntilLate; // then the request is late
};

class ResidencySource
{
public:
    virtual ~ResidencySource() = default;
    /// Has the replica hold the weights. Nothing when that can't be had in time; the error says whom it waited for.
    virtual net::Task<std::optional<ResidencyGrant>> ensure(ResidencyRequest wish, core::Error &why) = 0;
    /// Whether somebody can order weights there at present.
    [[nodiscard]] virtual bool canOrder(const UpstreamId &replica) const = 0;
};

struct ActiveRevision {
    AdapterRevision revision;
    Instant since;
};

struct Node {
    Node(boost::asio::io_context &io, const settings::Settings &settings, const Codec &codec, logging::Log log);

    [[nodiscard]] Instant now() const { return core::SteadyClock().now(); }
    [[nodiscard]] admission::RetryBudget &retryBudgetFor(const ServiceName &service);
    [[nodiscard]] std::optional<ActiveRevision> activeRevision(const AdapterKey &weights) const;
    void setHostCount(int hosts); // that serve, this one included
    void addDemand(const BaseModel &model);
    /// Of `models` the one that recent requests, and having no holder, speak for most. Nullptr when there are none.
    [[nodiscard]] const ModelSpec *mostNeededModel(const std::vector<ModelSpec> &models) const;
    /// A request begins or ends to use weights at an upstream.
    void adjustUseCount(const UpstreamId &upstream, const AdapterKey &weights, int change);
    [[nodiscard]] std::vector<AdapterKey> weightsInUse(const UpstreamId &upstream) const; // by requests of this host

    boost::asio::io_context &io;
    settings::Settings settings;
    const Codec &codec;
    logging::Log log;
    ServingMetrics metrics;
    std::shared_ptr<const RouteTable> routes; // empty until the first configuration is known
    Instant routesActiveSince;
    ReplicaBook replicas;
    Instant replicasReadAt;
    Chooser chooser;
    LeaseTable leases;
    UpstreamPool pool;
    std::map<AdapterKey, ActiveRevision> activeRevisions;
    std::map<UpstreamId, std::map<AdapterKey, int>> useCounts; // requests of this host that run, by the weights they use
    std::map<BaseModel, admission::DecayingCount> demand;      // recent requests of this host by base model
    ResidencySource *residency = nullptr;                      // set before the first request
    int hostCount = 1;
    bool isStopping = false;

private:
    std::map<ServiceName, admission::RetryBudget> budgets_;
};

} // namespace baobabstall::serving
