// serving/model.h: platform-independent data types of the serving path. No I/O.
//
// Index
//   AdapterKey, AdapterRevision   identify the weights that a request names, and their version
//   Route, ServiceSpec, EngineSpec, CallerLimits, Configuration   the operators' configuration
//   ReplicaRecord                 an upstream as it describes itself
//   Occupancy                     running requests and pending prefill of an upstream
//   RequestMetadata               parsed request headers
//   ResponseMetadata              parsed response headers
//   ReplicaReport, Order, OrderOutcome   control of a model replica
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <core/types.h>
#include <net/http.h>

namespace baobabstall::serving {

using core::AdapterName;
using core::BaseModel;
using core::HostId;
using core::Instant;
using core::Milliseconds;
using core::PromptPart;
using core::RequestId;
using core::ServiceName;
using core::UpstreamId;
using core::WorkspaceId;
using core::ZoneId;

using AdapterRevision = core::Ordinal<struct AdapterRevisionTag>; // version of an adapter's weights; increases
using ConfigVersion = core::Ordinal<struct ConfigVersionTag>;     // version of the configuration; increases, may skip values
using OrderSequence = core::Ordinal<struct OrderSequenceTag>;     // number of orders that a replica has accepted since its start
using SoftwareVersion = core::Id<struct SoftwareVersionTag>;      // of an upstream's own software; two versions can't go on with each other's streams
using ReplicaStartTime = core::Ordinal<struct ReplicaStartTag>;   // Unix time in milliseconds; 0: unknown

/// Weights that a request names. An empty adapter means the base model itself.
struct AdapterKey {
    BaseModel model;
    AdapterName adapter;

    [[nodiscard]] std::string text() const { return model.value() + "/" + adapter.value(); }
    friend auto operator<=>(const AdapterKey &, const AdapterKey &) = default;
    friend bool operator==(const AdapterKey &, const AdapterKey &) = default;
};

/// How a request may be retried when it is unknown whether it has run.
enum class RetryPolicy : std::uint8_t {
    Idempotent, // may run again from the start
    AtMostOnce, // must not run more than once
    Resumable,  // a stream that another upstream may continue after the last complete event
};

struct WeightedService {
    ServiceName service;
    double weight = 1; // share of the route's requests, relative to the other services
};

struct WorkspaceQuota {
    double perSecond = 0; // 0: none
    double burst = 0;
    bool countsTokens = false;
    double flatTokens = 0; // of a request that names no tokens
};

struct Route {
    std::string name;
    std::string host;       // without a port
    std::string pathPrefix; // begins and ends with a slash
    RetryPolicy retryPolicy = RetryPolicy::AtMostOnce;
    bool isStream = false;
    Milliseconds timeout{5'000};          // after arrival, until the caller gets a response or an error
    Milliseconds latencyObjective{1'000}; // a response, or first event, within this time counts as on time
    Milliseconds maxEventPause{0};        // a longer pause between events counts as late; 0: not a stream
    int priority = 0;                     // 0: highest
    int maxUpstreams = 1;                 // distinct upstreams that one request may be sent to
    std::vector<WeightedService> services;
};

struct ModelSpec {
    BaseModel name;
    double weightsMb = 0;
    double adapterMb = 0;
    Milliseconds loadTime{0};     // from the weight store
    Milliseconds diskLoadTime{0}; // from a replica's own disk

    friend bool operator==(const ModelSpec &, const ModelSpec &) = default;
};

/// Model replicas of a service.
struct EngineSpec {
    int slots = 1;                  // concurrent requests of one batch
    double kvCacheTokens = 0;       // capacity: running requests and cached prompts
    double weightsMemoryMb = 0;     // capacity: base weights and adapters together
    int adapterSlots = 0;           // adapters loaded or loading
    double modelLoadsPerSecond = 0; // of base weights from the weight store, over all replicas
    std::vector<ModelSpec> models;

    friend bool operator==(const EngineSpec &, const EngineSpec &) = default;
};

struct ServiceSpec {
    ServiceName name;
    std::string healthPath;
    int maxConnections = 0; // that one replica accepts in total; 0: unknown
    std::optional<EngineSpec> engine;
};

struct CallerLimits {
    std::size_t maxHeaderBytes = 16 * 1024;
    std::size_t maxBodyBytes = 4 * 1024 * 1024;
    Milliseconds headerTimeout{3'000};
    Milliseconds idleTimeout{15'000};
};

struct Configuration {
    ConfigVersion version;
    std::vector<Route> routes;
    std::vector<ServiceSpec> services;
    CallerLimits limits;
};

struct HeldAdapter {
    AdapterName name;
    AdapterRevision revision;

    friend bool operator==(const HeldAdapter &, const HeldAdapter &) = default;
};

struct HeldModel {
    BaseModel name;
    std::vector<HeldAdapter> adapters;

    friend bool operator==(const HeldModel &, const HeldModel &) = default;
};

/// An upstream as it last described itself.
struct ReplicaRecord {
    UpstreamId id;
    ServiceName service;
    net::Address address;
    ZoneId zone;
    ReplicaStartTime startTime;
    SoftwareVersion version;
    bool isLeaving = false;
    std::optional<Milliseconds> timeToShutdown; // set with isLeaving when the replica stops at short notice
    int slots = 1;
    std::vector<HeldModel> models; // when the record was written; may be seconds old

    [[nodiscard]] bool holds(const BaseModel &model) const;
    [[nodiscard]] bool holds(const AdapterKey &weights) const; // base model and adapter

    friend bool operator==(const ReplicaRecord &, const ReplicaRecord &) = default;
};

/// Work at an upstream, as far as the observer knows.
struct Occupancy {
    int running = 0;   // requests
    int prefillMs = 0; // expected prefill time of the requests whose responses have not begun

    friend bool operator==(const Occupancy &, const Occupancy &) = default;
};

/// Parsed headers of a caller's request.
struct RequestMetadata {
    RequestId id;
    std::string caller;                   // what tells callers apart for the upstream; empty: nothing does
    std::optional<Milliseconds> deadline; // relative to the arrival
    AdapterKey weights;                   // empty model: the request names no weights
    double promptTokens = 0;
    double maxOutputTokens = 0;
    std::string promptPrefix;                 // shared prefix of the prompt; empty: none
    std::vector<PromptPart> sharedParts;      // of the prompt: all but the last, which is the request's own
    std::optional<std::uint64_t> lastEventId; // the caller takes up a stream after this event
    RequestId resumes;                        // the caller's request that brought the first event of that stream; empty: not given

    static constexpr std::size_t maxSharedParts = 32; // later ones are not read
};

/// Parsed headers of an upstream's response.
struct ResponseMetadata {
    RequestId id;                        // empty: not given
    bool isSealed = false;               // the seal proves that the upstream itself produced the response
    bool notRun = false;                 // the upstream guarantees that the request has not run and will not run
    bool isContentEncoded = false;       // the body was re-encoded on the way
    UpstreamId upstream;                 // empty: not given
    bool isMisdirected = false;          // with notRun: the replica or its weights are not the expected ones
    bool isLeaving = false;              // the upstream will stop soon and wants no further requests
    std::optional<Milliseconds> backoff; // with a refusal: the upstream wants nothing from this host for so long
    std::optional<double> requestLimit;  // requests a second that the upstream takes from all hosts together
    std::optional<double> maxRefusals;   // the upstream is brittle: it falls over when it refuses more requests in a second for want of room
    std::string unreadableRefusals;      // that field's text when it is not a number; the upstream is brittle, how much is not known
    std::string unreadableLimit;         // the field's text when it is not a number; the limit known so far stays
    std::string unreadableBackoff;       // the field's text when it is not a number of seconds; the refusal then names no delay
};

struct ReplicaReport {
    OrderSequence sequence;
    ReplicaStartTime startTime;   // of the run that answers
    bool isChangingModel = false; // a load or unload of base weights is in progress
    std::vector<HeldModel> models;
    std::vector<std::pair<AdapterKey, AdapterRevision>> loadingAdapters; // adapters being loaded
    int running = 0;
    int waiting = 0;
};

enum class OrderKind : std::uint8_t { LoadModel, LoadAdapter, UnloadAdapter };

struct Order {
    OrderKind kind = OrderKind::LoadAdapter;
    AdapterKey weights;
    AdapterRevision revision;       // 0: newest
    OrderSequence expectedSequence; // executed only if the replica has accepted this many orders

    friend bool operator==(const Order &, const Order &) = default;
};

enum class OrderOutcome : std::uint8_t {
    Accepted,  // in progress
    Completed, // executed now or earlier
    Conflict,  // another order is in progress, or the sequence differs
    Fenced,    // the replica has seen a higher fencing number
    WrongReplica,
    Refused, // not executed for another reason
    Unknown, // no response: may be executed now, later or never
};

} // namespace baobabstall::serving
