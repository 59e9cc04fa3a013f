// serving/model.h: what the serving path knows of its deployment, in the project's own words. No I/O, no names of any platform.
//
// Index
//   AdapterKey, AdapterRevision   which weights a request names, and how new they are
//   Route, ServiceSpec, EngineSpec, CallerLimits, Configuration   what operators have in force
//   ReplicaRecord                 what an upstream says of itself
//   RequestFacts                  what a caller's headers say
//   AnswerFacts                   what an upstream's headers say
//   ReplicaReport, Order, OrderAnswer   control of a model replica
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
using core::RequestId;
using core::ServiceName;
using core::UpstreamId;
using core::ZoneId;

using AdapterRevision = core::Ordinal<struct AdapterRevisionTag>; // version of an adapter's weights; rises
using ConfigVersion = core::Ordinal<struct ConfigVersionTag>;     // version of the configuration; rises, not by ones
using OrderSequence = core::Ordinal<struct OrderSequenceTag>;     // orders that a replica has accepted since its start
using ReplicaStartTime = core::Ordinal<struct ReplicaStartTag>;   // civil millisecond of a replica's start; 0: not told

/// Weights that a request names. An empty adapter is the base model itself.
struct AdapterKey {
    BaseModel model;
    AdapterName adapter;

    [[nodiscard]] std::string text() const { return model.value() + "/" + adapter.value(); }
    friend auto operator<=>(const AdapterKey &, const AdapterKey &) = default;
    friend bool operator==(const AdapterKey &, const AdapterKey &) = default;
};

/// What may be done again with a request whose fate is unknown.
enum class RetryPolicy : std::uint8_t {
    Idempotent, // idempotent: may run again from the start
    AtMostOnce, // may run once at most
    Resumable,  // a stream that may go on elsewhere after its last whole event
};

struct WeightedService {
    ServiceName service;
    double weight = 1; // share of the route's requests, relative to the others
};

struct Route {
    std::string name;
    std::string host;       // without a port
    std::string pathPrefix; // begins and ends with a slash
    RetryPolicy retryPolicy = RetryPolicy::AtMostOnce;
    bool isStream = false;
    Milliseconds timeout{5'000};          // longest time a caller is kept waiting
    Milliseconds latencyObjective{1'000}; // answer, or first event, that earns full credit
    Milliseconds maxEventPause{0};        // longest pause between events that is still on time; 0: not a stream
    int priority = 0;                     // 0: most urgent
    int maxUpstreams = 1;                 // upstreams that one request may be sent to
    std::vector<WeightedService> services;
};

struct ModelSpec {
    BaseModel name;
    double weightsMb = 0;
    double adapterMb = 0;
    Milliseconds loadTime{0};     // from the weight store
    Milliseconds diskLoadTime{0}; // from a replica's own disk
};

/// Model replicas of a service.
struct EngineSpec {
    int slots = 1;                  // requests in one batch
    double kvCacheTokens = 0;       // tokens of running requests and kept prompts
    double weightsMemoryMb = 0;     // weights and adapters together
    int adapterSlots = 0;           // adapters held or under way
    double modelLoadsPerSecond = 0; // of base weights from the store, over all replicas
    std::vector<ModelSpec> models;
};

struct ServiceSpec {
    ServiceName name;
    std::string healthPath;
    int maxConnections = 0; // that one replica takes from all callers; 0: not told
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

/// One upstream as it last described itself.
struct ReplicaRecord {
    UpstreamId id;
    ServiceName service;
    net::Address address;
    ZoneId zone;
    ReplicaStartTime startTime;
    bool isLeaving = false;
    std::optional<Milliseconds> timeToShutdown; // with isLeaving at short notice: what is left then
    int slots = 1;
    std::vector<HeldModel> models; // as of the record; may be seconds old

    [[nodiscard]] bool holds(const BaseModel &model) const;
    [[nodiscard]] bool holds(const AdapterKey &weights) const; // adapter and all

    friend bool operator==(const ReplicaRecord &, const ReplicaRecord &) = default;
};

/// What occupies an upstream, as far as somebody knows.
struct Occupancy {
    int running = 0;   // requests
    int prefillMs = 0; // that the prompts among them take to read, from requests whose answers have not begun

    friend bool operator==(const Occupancy &, const Occupancy &) = default;
};

/// What a caller's headers say of its request.
struct RequestMetadata {
    RequestId id;
    std::optional<Milliseconds> deadline; // from the arrival on
    AdapterKey weights;                   // empty model: names none
    double promptTokens = 0;
    double maxOutputTokens = 0; // at most
    std::string promptPrefix;   // first shared part of the prompt; empty: none
    std::optional<std::uint64_t> lastEventId;
};

/// What an upstream's headers say of its answer.
struct ResponseMetadata {
    RequestId id;                  // empty: not said
    bool isSealed = false;         // proves that the upstream itself made the answer
    bool notRun = false;           // the upstream promises that the request has not run and will not
    bool isContentEncoded = false; // the body is not the upstream's own bytes
    UpstreamId upstream;           // empty: not said
    bool isMisdirected = false;    // with notRun: another replica, or other weights, than asked for
};

struct ReplicaReport {
    OrderSequence sequence;
    bool isChangingModel = false; // a load or unload of base weights is under way
    std::vector<HeldModel> models;
    std::vector<std::pair<AdapterKey, AdapterRevision>> loadingAdapters; // adapters on their way
    int running = 0;
    int waiting = 0;
};

enum class OrderKind : std::uint8_t { LoadModel, LoadAdapter, UnloadAdapter };

struct Order {
    OrderKind kind = OrderKind::LoadAdapter;
    AdapterKey weights;
    AdapterRevision revision;       // 0: the newest
    OrderSequence expectedSequence; // carried out only when the replica has accepted this many

    friend bool operator==(const Order &, const Order &) = default;
};

enum class OrderOutcome : std::uint8_t {
    Accepted,  // accepted; takes time
    Completed, // done already, or done at once
    Conflict,  // another order is under way, or the sequence differs
    Fenced,    // a higher fencing number was seen
    WrongReplica,
    Refused, // not carried out for another reason
    Unknown, // no answer: may be carried out now, later or never
};

} // namespace baobabstall::serving
