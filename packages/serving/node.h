// serving/node.h: state shared by the parts of one hosted daemon. I/O; one thread.
//
// Index
//   ServingMetrics    all metric families of a hosted daemon
//   QuotaSource       charges requests to their workspace's quota
//   ResidencySource   gets weights loaded on a replica, which another host may own
//   Node              all shared state
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>

#include <admission/rates.h>
#include <admission/retrybudget.h>
#include <core/clock.h>
#include <logging/logging.h>
#include <metrics/registry.h>
#include <net/callerbudget.h>
#include <serving/backoffs.h>
#include <serving/chooser.h>
#include <serving/crashwatch.h>
#include <serving/givenway.h>
#include <serving/gracefulstop.h>
#include <serving/modelfill.h>
#include <serving/paces.h>
#include <serving/prefillturns.h>
#include <serving/protocol.h>
#include <serving/reachability.h>
#include <serving/relay.h>
#include <serving/replicabook.h>
#include <serving/residency.h>
#include <serving/responsebudget.h>
#include <serving/routes.h>
#include <serving/runtimes.h>
#include <serving/sendrate.h>
#include <serving/streamrecords.h>
#include <serving/upstreamlimits.h>
#include <serving/upstreams.h>
#include <serving/versionhistory.h>
#include <serving/versionledger.h>
#include <serving/worktimes.h>
#include <settings/settings.h>
#include <workspaces/configurationproof.h>

namespace baobabstall::serving {

struct ServingMetrics {
    ServingMetrics();

    metrics::Registry registry;
    metrics::Counter &requests;          // service, status, reason
    metrics::Histogram &requestDuration; // service
    metrics::Histogram &firstEvent;      // service
    metrics::Histogram &eventPause;      // service
    metrics::Histogram &residencyWait;   // outcome
    metrics::Histogram &prefillWait;     // where
    metrics::Counter &gaveWay;           // room, why, workspace
    metrics::Counter &sends;             // service, outcome
    metrics::Counter &takenUpStreams;    // record, age, reason
    metrics::Counter &sendPermits;       // outcome
    metrics::Counter &relays;            // side, outcome
    metrics::Counter &brittleRefusals;   // service
    metrics::Counter &quotaCredit;       // what
    metrics::Counter &quotaRefusals;     // where
    metrics::Gauge &quotaFallback;
    metrics::Gauge &quotaServedHosts; // partition
    metrics::Counter &scarceAsks;     // outcome
    metrics::Histogram &scarceWait;   // outcome
    metrics::Histogram &scarceTurn;
    metrics::Counter &orders;              // kind, outcome
    metrics::Counter &storeCalls;          // call, outcome
    metrics::Counter &unreadableRequests;  // status
    metrics::Counter &callerLimits;        // part, status
    metrics::Counter &beliefChanges;       // what
    metrics::Counter &workspaceRequests;   // workspace, status
    metrics::Histogram &workspaceDuration; // workspace
    metrics::Gauge &retryBudget;           // service
    metrics::Gauge &configVersion;
    metrics::Gauge &configAge;
    metrics::Gauge &operatorsAge;
    metrics::Gauge &configProofAge;
    metrics::Gauge &upstreamsAge;
    metrics::Gauge &knownUpstreams;
    metrics::Gauge &ownedUpstreams;
    metrics::Gauge &limitedUpstreams;
    metrics::Counter &upstreamProbes; // outcome
    metrics::Gauge &cutOff;
    metrics::Gauge &cutOffPeers;
    metrics::Gauge &brittleUpstreams;
    metrics::Gauge &blamedParts;
    metrics::Gauge &blamedRequests;
    metrics::Gauge &upstreamPace;        // upstream
    metrics::Gauge &upstreamConnections; // state
    metrics::Gauge &callerConnections;   // state
    metrics::Counter &closedConnections; // cause
    metrics::Gauge &residencyLeases;
    metrics::Gauge &logLinesDropped;
};

/// Weights on a replica that this host may send requests to.
struct ResidencyGrant {
    AdapterRevision revision;
    Instant until; // 0: without a lease; the weights are only believed to be held
};

/// Weights that a request needs on a replica, and how long it can wait for them.
struct ResidencyRequest {
    UpstreamId replica;
    AdapterKey weights;
    AdapterRevision minRevision;
    Milliseconds maxWait;       // for the grant
    Milliseconds timeUntilLate; // until the request misses its objective
    Claimant claimant = {};     // of Node::claimant()
};

/// A request's prompt is being processed by a replica, as far as its owner counts. Ends with its destruction.
class TurnHolder
{
public:
    virtual ~TurnHolder() = default;
};
using PrefillTurn = std::unique_ptr<TurnHolder>;

/// A prompt that is to be sent to a replica.
struct PrefillRequest {
    UpstreamId replica;
    double promptTokens = 0;
    Milliseconds maxWait;   // the prompt is sent after this at the latest
    Claimant claimant = {}; // of Node::claimant()
};

class ResidencySource
{
public:
    virtual ~ResidencySource() = default;
    /// Gets the weights loaded if the replica doesn't hold them. Nothing when that takes too long; the error names the host it waited for.
    virtual net::Task<std::optional<ResidencyGrant>> ensure(ResidencyRequest request, core::Error &error) = 0;
    /// Waits until the prompt may be sent without pausing the replica's running streams for too long. Nullptr when no host counts them.
    virtual net::Task<PrefillTurn> takePrefillTurn(PrefillRequest request) = 0;
    /// Asks for one request to an upstream that named a limit or is brittle.
    virtual net::Task<SendPermit> takeSendPermit(SendRequest request) = 0;
    /// Whether one request with these causes of crashes, of which at least one is blamed, may be sent.
    virtual net::Task<bool> takeProbe(std::vector<CrashCause> causes) = 0;
    /// Whether some host can currently send load orders to the replica.
    [[nodiscard]] virtual bool canOrder(const UpstreamId &replica) const = 0;
};

/// Where streams began, over all hosts.
class StreamDirectory
{
public:
    virtual ~StreamDirectory() = default;
    /// A stream of this host is about to begin; it may be taken up at any host until `until`.
    virtual void announce(const RequestId &id, const StreamOrigin &origin, Instant until) = 0;
    /// Another host sends the request from now on, so the stream may begin elsewhere than announced.
    virtual void handOver(const RequestId &id) = 0;
    /// The first event of an announced stream has come, so that no other upstream begins it; later, that it has ended whole.
    virtual void onBegun(const RequestId &id) = 0;
    virtual void onEnded(const RequestId &id) = 0;
    /// Where the stream began that a caller takes up now at `service`; an empty `id`: the caller names none. Without an origin: no host that can be
    /// reached within `patience` knows it. While the service had one version, Node::provenVersion() is known afterwards as far as the patience allows.
    virtual net::Task<FoundStream> find(RequestId id, ServiceName service, Milliseconds patience) = 0;
};

/// Credit of a workspace that a request was charged with.
struct QuotaCharge {
    WorkspaceId workspace;
    double amount = 0; // 0: nothing was charged
    Instant at;
};

struct QuotaDecision {
    bool isGranted = false;
    Milliseconds retryAfter{0}; // of a refusal: until credit is there
    QuotaCharge charge = {};
};

/// The quotas of workspaces over all hosts.
class QuotaSource
{
public:
    virtual ~QuotaSource() = default;
    /// Charges one request; it waits `maxWait` at most. A workspace without a quota is granted at once.
    virtual net::Task<QuotaDecision> take(WorkspaceId workspace, double amount, Milliseconds maxWait) = 0;
    /// The request was not run.
    virtual void giveBack(const QuotaCharge &charge) = 0;
};

struct ActiveRevision {
    AdapterRevision revision;
    Instant since;
};

struct Node {
    Node(boost::asio::io_context &io, const settings::Settings &settings, const Codec &codec, logging::Log log);

    [[nodiscard]] Instant now() const { return core::SteadyClock().now(); }
    /// The version at which every stream of the service began that a caller may still take up, as far as this host has heard: it may be cut off from
    /// those that name another one. Nothing: there were several, or this host hasn't watched for long enough.
    [[nodiscard]] std::optional<SoftwareVersion> onlyVersion(const ServiceName &service) const { return versions.only(service, longestStream, now()); }
    /// The same, for a stream that was taken up at `askedAt`. Nothing also if this host has not applied all that the control topic named then: a stream
    /// begins at a version only once the topic names it.
    [[nodiscard]] std::optional<SoftwareVersion> provenVersion(const ServiceName &service, Instant askedAt) const
    {
        return versionsReadAt >= askedAt ? onlyVersion(service) : std::nullopt;
    }
    /// A caller ran into a limit of what it may make this host hold; status 0: its connection was closed without an answer.
    void noteCallerLimit(net::CallerPart part, int status);
    [[nodiscard]] admission::RetryBudget &retryBudgetFor(const ServiceName &service);
    /// An answer of a model replica came whole; `answer` without occupancy.
    void learnPace(Paces::Answer answer);
    /// As what a request counts where callers compete for model replicas: nothing where the configuration and the settings rank nobody.
    [[nodiscard]] Claimant claimant(const RouteTable &table, Claimant asked) const;
    /// For logs and metrics. `room`: "prompt" or "load".
    void noteGivenWay(std::string_view room, const UpstreamId &replica, const std::vector<GivenWay> &all);
    [[nodiscard]] std::optional<ActiveRevision> activeRevision(const AdapterKey &weights) const;
    void setHostCount(int count); // serving hosts, including this one
    void addDemand(const BaseModel &model);
    /// The model with the most recent requests for its number of holders. Nullptr when `models` is empty.
    [[nodiscard]] const ModelSpec *mostNeededModel(const std::vector<ModelSpec> &models) const;
    /// Prompt tokens that one replica may process at a time without a pause of its streams beyond what their routes allow; 0: no limit is known.
    [[nodiscard]] double prefillLimit(const UpstreamId &replica) const;
    [[nodiscard]] double prefillLimit(const ServiceName &service) const;
    /// A request starts (1) or stops (-1) using weights at an upstream.
    void adjustUseCount(const UpstreamId &upstream, const AdapterKey &weights, int change);
    /// Whether anything may be sent to the upstream: it is known, not leaving, and has not asked this host to back off.
    [[nodiscard]] bool mayContact(const UpstreamId &id) const { return replicas.isUsable(id) && !backoffs.isActive(id, now()); }
    /// The same for a request: besides, no permit was refused a moment ago for the upstream's limit.
    [[nodiscard]] bool maySend(const UpstreamId &id) const { return mayContact(id) && !limits.isBlocked(id, now()); }
    /// Until maySend() may hold again for an upstream that stays; 0: it does.
    [[nodiscard]] Milliseconds remainingPause(const UpstreamId &id) const { return std::max(backoffs.remaining(id, now()), limits.remainingBlock(id, now())); }
    /// The owner of the upstream knows that its limit has ended.
    void endLimit(const UpstreamId &id);
    /// Another host knows of an answer at `namedAt` which says that the upstream is brittle.
    void applyBrittle(const UpstreamId &id, double maxRefusals, Instant namedAt);
    /// What binds a request to the upstream: what it named itself, or that others of its service are brittle. They mostly are together, and one
    /// that has started a moment ago may be so before any host has an answer of it.
    [[nodiscard]] std::optional<UpstreamLimits::Limit> sendLimit(const ReplicaRecord &replica) const;
    /// Whether owners may not have told this host yet which upstreams are brittle. Begins with the first call.
    [[nodiscard]] bool mayBeUntold();
    /// Applies what an answer says about the upstream itself. `replica` is the record that the call was sent with.
    void applyUpstreamState(const ReplicaRecord &replica, const ResponseMetadata &answer);
    /// The same for the answer to an order or a report.
    void applyUpstreamState(const ReplicaRecord &replica, const net::HttpResponse &answer);
    void applyLimit(const UpstreamId &id, const ResponseMetadata &answer);
    /// Whether the configuration in force is known to be the newest one, as far as the settings ask for that.
    [[nodiscard]] bool isConfigurationProven() const;
    /// Whether the upstream is known to have started again since its record was written.
    [[nodiscard]] bool isOutdated(const ReplicaRecord &replica) const;
    [[nodiscard]] std::vector<AdapterKey> weightsInUse(const UpstreamId &upstream) const; // by requests of this host

    boost::asio::io_context &io;
    settings::Settings settings;
    const Codec &codec;
    logging::Log log;
    ServingMetrics metrics;
    std::shared_ptr<const RouteTable> routes; // null until the first configuration has been read
    Instant routesActiveSince;
    workspaces::ConfigurationProof configurationProof;
    Instant operatorsReadAt; // when the operators topic was last read, by this host or the one whose page it applied
    ReplicaBook replicas;
    Instant replicasReadAt;
    Instant versionsReadAt;                            // all that the control topic named at that moment has been applied
    std::function<void(Instant askedAt)> seekVersions; // brings versionsReadAt up to that moment if the store can be reached; may be empty
    static constexpr Milliseconds maxTickGap{600};     // a longer one means that the host or process was suspended
    Chooser chooser;
    LeaseTable leases;
    Backoffs backoffs;
    UpstreamLimits limits;
    ResponseBudget responseBudget;
    GracefulStop stop;
    std::map<ServiceName, RunTimes> runTimes;   // learnt from the requests of this host
    std::map<ServiceName, WorkTimes> workTimes; // the same, of plain services
    CrashWatch crashes;
    Reachability reachability;
    VersionHistory versions;
    VersionLedger ledger;                                   // of the versions that the store names
    Milliseconds longestStream{60'000};                     // that a caller may still take up
    std::map<UpstreamId, ReplicaStartTime> outdatedRecords; // runs that ended though the upstream's record still names them
    std::function<void(const UpstreamId &)> onNoContact;    // the upstream is leaving or asked this host to back off; may be empty
    std::function<void(const UpstreamId &)> onRefused;      // a brittle upstream had no room for a request of this host; may be empty
    std::function<void(const UpstreamId &)> onLimitEnded;   // an answer named no limit any more; may be empty
    UpstreamPool pool;
    std::map<AdapterKey, ActiveRevision> activeRevisions;
    std::map<UpstreamId, std::map<AdapterKey, int>> useCounts; // running requests of this host, by the weights that they use
    std::map<ServiceName, PrefillRate> prefillRates;           // learnt from the requests of this host
    std::map<ServiceName, ModelFill> modelFills;               // of the requests of this host
    Paces paces;                                               // of model replicas
    std::map<BaseModel, admission::DecayingCount> demand;      // recent requests of this host by base model
    ResidencySource *residency = nullptr;                      // set before the first request
    StreamDirectory *streams = nullptr;                        // the same
    QuotaSource *quotas = nullptr;                             // null: no workspace is limited
    RelaySource *relays = nullptr;                             // null: requests are sent by this host only
    int hostCount = 1;
    GivenWayLog givenWay; // at owned replicas

private:
    std::optional<Instant> servingSince_;

    void logLimit(const UpstreamId &id, const std::optional<UpstreamLimits::Limit> &before, std::string_view source);

    std::map<ServiceName, admission::RetryBudget> budgets_;
};

} // namespace baobabstall::serving
