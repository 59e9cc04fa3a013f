// settings/settings.h: everything an operator can set on a daemon, with its default. Read from JSON with comments.
//
// Index
//   Settings         the whole file; the nested structs follow the order of a request's way
//   parseSettings()  checks every key
//   loadSettings()   the same from a file
//   loadKey()        the deployment's key, never in the file itself
//
// A key of the file is the field's name in snake_case; a length of time ends in _ms. A missing optional key takes the
// default given here. An unknown key, a wrong type or a value out of range is an error that names file, path, what was
// found and what is allowed.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include <core/error.h>
#include <core/types.h>

namespace baobabstall::settings {

using core::Milliseconds;

/// Where the daemon listens. Required.
struct Listen {
    std::string callers;   // ip:port for callers
    std::string peers;     // ip:port for other daemons
    std::string operators; // ip:port for /metrics, /healthz, /readyz and the command line; keep it off the callers' network
};

/// The platform's services.
struct Platform {
    std::string address;                // ip:port of log and host list; required
    Milliseconds hostsPoll{1'000};      // between reads of the host list
    Milliseconds logWait{2'000};        // how long one read of a stream waits for news
    Milliseconds timeout{3'000};        // for one call
    Milliseconds retention{86'400'000}; // how long the log keeps records; lists in force are appended again at half of it
};

/// What one caller may use up.
struct Callers {
    std::size_t maxHeaderBytes = 16 * 1024; // over it: 431
    std::size_t maxBodyBytes = 1024 * 1024; // over it: 413
    std::size_t maxConnections = 2'048;     // over it: closed at accept
    Milliseconds receiveTimeout{10'000};    // for one whole request; over it: 408
    Milliseconds sendTimeout{10'000};       // for one write the caller does not read; over it: cut off
    Milliseconds requestTimeout{120'000};   // longest answer allowed; a stop waits at most this long
};

/// Membership among daemons.
struct Membership {
    Milliseconds probeInterval{500}; // one peer is probed each interval
    Milliseconds probeTimeout{250};  // without an answer, others are asked to probe
    Milliseconds suspicion{2'000};   // how long a suspect may object before it counts as dead
    int indirectProbes = 3;          // peers asked to probe for us
    int maxUpdates = 8;              // updates carried by one message
};

/// Ownership of engines, partitions and the load budget.
struct Ownership {
    Milliseconds handoverDelay{3'000}; // how long the preferred owner must stay the same before a live owner hands over
    int callPartitions = 64;           // partitions of the at-most-once records; the same on every daemon of a deployment
    Milliseconds claimDelay{0};   // from the start to the first claim, for the membership to settle; 0: as handover_delay_ms. Above 0 the claims of this host's
                                  // earlier run are renewed at once
    Milliseconds leaseWait{0};    // a new owner acts so long after the claim when another host held the thing before
    std::string claimsOf = "run"; // "run": a claim ends with its process; "host": the next process at the same address goes on under it, for
                                  // upstreams that check fencing numbers and count orders, so that late orders of the former do no harm
    Milliseconds minorityDelay{0}; // a daemon that reaches no majority claims from the dead after this; 0: never
};

/// Choosing a replica. The weights are in milliseconds of expected wait.
struct Placement {
    std::string profile = "stalls";          // "stalls" (rare load stalls first) or "batches" (full batches first)
    int candidates = 2;                      // replicas tried for a cold adapter
    int maxCandidates = 8;                   // replicas of the hottest adapter
    double widenAt = 0.7;                    // share of a replica's batch an adapter may fill before it gets one replica more
    Milliseconds popularityHalfLife{60'000}; // of the request rate that decides width and eviction
};

/// Loads and evictions of adapters.
struct Loads {
    double perSecond = 3;         // what the weight store allows the whole region
    int concurrent = 2;           // loads in flight in the region at full speed
    Milliseconds typical{250};    // one load at full speed
    Milliseconds timeout{10'000}; // after it a load order counts as unknown and the engine is asked what it holds
    int spareSlots = 0;           // slots of an engine kept free of adapters
};

/// Queues and limits.
struct Admission {
    int engineConcurrency = 16;       // requests at once on one engine
    int maxQueue = 64;                // waiting at one engine; over it: refused
    Milliseconds maxQueueWait{5'000}; // expected wait over which a request is refused at once
    int maxInFlight = 512;            // requests at once on one daemon
    double planBurst = 2;             // multiple of its share a plan may use while others leave room
};

/// Tries after the first.
struct Retries {
    int maxAttempts = 3;      // for one request
    double budgetShare = 0.1; // retries as a share of recent successes
    double budgetReserve = 5; // retries allowed with no recent success
};

/// Calls of plain services.
struct Services {
    Milliseconds timeout{10'000};             // for one call
    std::size_t maxAnswerBytes = 1024 * 1024; // over it: an error, not a cut answer
    std::size_t maxRecordedBytes = 4 * 1024;  // a longer result is not kept: a repeat is told "ran" without it
};

/// Stopping.
struct Stop {
    Milliseconds drainTimeout{150'000}; // longest wait for requests in flight; longer than callers.request_timeout_ms
    Milliseconds notReadyFirst{500};    // time for the balancer to see /readyz fail before new requests are refused
};

/// Logging.
struct Logging {
    std::string level = "info"; // "debug", "info", "warn", "error"
    std::string file;           // empty: standard error; "-": standard output, bounded and never waited for
    int linesPerSecond = 400;   // with file "-": over it lines are dropped and counted; errors have a budget of their own
};

/// Serving in front of a platform with a shared store (baobabstalld --hosted). The bounds are the platform's.
struct Hosting {
    std::string metrics;             // ip:port of /metrics; empty: none
    Milliseconds configApply{2'000}; // a configuration is in force on all hosts so long after the store has it
    Milliseconds drain{2'000};       // an upstream that leaves takes requests so long after the store knows
    Milliseconds revocation{0};      // a key that was withdrawn opens nothing so long after the store knows, at any host; 0: as soon as the host knows
    double graceSeconds = 8;         // from SIGTERM to SIGKILL
    double retryShare = 0.2;         // repeats as a share of a service's requests, over all hosts
    double retrySlack = 56;          // repeats beyond that in one window, over all hosts
    double quotaWindowSeconds = 0;   // over which the platform counts what a workspace's quota allows; 0: not told
    double quotaOverage = 0;         // by which share a workspace may exceed its quota in a window, over all hosts
    double quotaTolerance = 0;       // what it may have beyond that, in the unit of the quotas: requests or tokens
    double linkMbps = 0;             // of this host; those with the widest links do common work first; 0: not told
    int ownerPlaces = 0;             // 1: owners of replicas give places at crowded plain services; 0: each host goes by its own count
    int callerOrder = 1;    // callers of model replicas are ordered by rank and workspace: 0: never; 1: with workspaces; 2: with routes' priorities too
    int learnPaces = 0;     // 1: slow replicas get less; 0: all replicas of a service count as alike
    double memoryMb = 0;    // that this host may use; callers may make it hold a fourth of it; 0: not told, as for 512
    int maxDescriptors = 0; // that this host may open; bounds the connections of callers; 0: not told, up to 3,000 connections
};

struct Settings {
    core::HostId host;     // required, unique within the deployment
    core::ZoneId zone;     // required
    core::RegionId region; // required
    std::string keyFile;   // file with the deployment's key; this or key_env is required, but for --hosted, where the key lies in the store
    std::string keyEnv;    // environment variable with the key
    Listen listen;
    Platform platform;
    Callers callers;
    Membership membership;
    Ownership ownership;
    Placement placement;
    Loads loads;
    Admission admission;
    Retries retries;
    Services services;
    Stop stop;
    Logging logging;
    Hosting hosting;
};

/// Reads and checks the text of a settings file; `name` stands for the file in messages. Step Settings.
[[nodiscard]] std::optional<Settings> parseSettings(std::string_view text, const std::string &name, core::Error &why);
[[nodiscard]] std::optional<Settings> loadSettings(const std::string &path, core::Error &why);
/// For a hosted daemon: the hosting section counts and no key is asked for.
[[nodiscard]] std::optional<Settings> parseHostedSettings(std::string_view text, const std::string &name, core::Error &why);
[[nodiscard]] std::optional<Settings> loadHostedSettings(const std::string &path, core::Error &why);

/// The deployment's key from file or environment, without surrounding white space; at least 16 bytes.
[[nodiscard]] std::optional<std::string> loadKey(const Settings &settings, core::Error &why);

} // namespace baobabstall::settings
