// peers/messages.h: the messages between daemons, and their encoding. No I/O.
//
// Index
//   Hello, Proof     the handshake: the first two frames of each side; any other frame before them is rejected
//   Gossip           a membership message
//   Notice           one-way message: WidthNotice, PrefetchNotice, UsesNotice, LoadsNotice, StorePageNotice, ClockQuery, ClockAnswer, LimitEndNotice,
//                    CrashReportNotice, CrashVerdictsNotice, StreamOriginNotice, ReachNotice, RelayCreditNotice, SendRefusedNotice, BrittleNotice,
//                    QuotaAskNotice, QuotaGrantNotice
//   Call, Reply, Cancel   calls with any number of replies
//     ProbeCall      how soon could this engine serve this adapter?   -> HintReply
//     RunCall        run this request on this engine                  -> StartedReply, DataReply..., EndReply
//     PermitCall     may this engine load this adapter?               -> GrantReply; the permit lasts until the call is cancelled
//     ServiceCall    run this keyed call in its partition             -> ServiceReply
//     ListsCall      which lists are active on the peer?              -> ListsReply
//     ResidencyCall  load these weights on this replica               -> WaitingReply, ResidencyReply
//     SendCall       may this request be sent to this limited upstream? -> SendReply; a held permit lasts until the call is cancelled
//     CrashProbeCall may one request with these causes of crashes be sent? -> CrashProbeReply
//     StreamOriginCall  where did the stream of this request begin?   -> StreamOriginReply
//     RelayCall      send this caller's request to an upstream       -> StartedReply, RelayHeadReply, DataReply..., EndReply
//     any of them                                                     -> ErrorReply instead
//   encode(), decode()
//
// A frame is one byte for its kind, followed by CBOR. A malformed frame is an error of step Peer and closes the link.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <utility>
#include <variant>
#include <vector>

#include <core/error.h>
#include <core/types.h>
#include <peers/membership.h>

namespace baobabstall::peers {

/// Identity of the sender. The nonce is new for each link.
struct Hello {
    core::HostId host;
    core::Incarnation incarnation;
    core::RegionId region;
    std::string nonce; // nonceBytes random bytes, as hexadecimal digits
};

/// Proof that the sender holds the deployment's key: HMAC-SHA256 over both Hellos, as hexadecimal digits.
struct Proof {
    std::string mac;
};

struct Gossip {
    MembershipMessage message;
};

/// Asks an engine's owner how soon it could start a request.
struct ProbeCall {
    core::UpstreamId engine;
    std::string adapter; // customer/adapter@version
    core::PlanId plan;   // empty: all waiting requests are counted as served first
    double share = 1;    // of the plan
};

/// Forwards a request to the owner of an engine.
struct RunCall {
    core::RequestId request;
    core::UpstreamId engine;
    std::string adapter; // customer/adapter@version
    core::PlanId plan;
    double share = 1;           // of the plan, for fair queuing
    std::string path;           // "/v1/completions" or "/v1/chat/completions"
    std::string body;           // the caller's JSON; the owner sets "model" to the engine's name for the adapter
    std::int64_t timeoutMs = 0; // left until the request's deadline
};

/// Asks the owner of the region's load budget for a permit.
struct PermitCall {
    core::UpstreamId engine;
    std::string adapter;
    double waiting = 0; // engines::Worth
    double victimRate = 0;
};

/// A request with an idempotency key to a plain service, sent to the owner of the key's partition.
struct ServiceCall {
    core::RequestId request;
    core::CustomerId customer;
    std::string key; // Idempotency-Key
    int partition = 0;
    core::ServiceName service;
    std::string method;
    std::string target; // path below the service
    std::string contentType;
    std::string body;
    std::int64_t timeoutMs = 0;
};

struct ListsCall { };

/// Asks the owner of a model replica to get an adapter loaded there.
struct ResidencyCall {
    core::UpstreamId replica;
    core::BaseModel model;
    core::AdapterName adapter;
    std::uint64_t revision = 0; // minimum; 0: any
    std::int64_t waitMs = 0;    // how long the caller waits for the reply
    std::int64_t onTimeMs = 0;  // until the caller's request misses its objective

    // Written where the configuration ranks callers. Older hosts skip these.
    int rank = 0; // lower: more urgent
    core::WorkspaceId workspace;
};

/// Asks the owner of a model replica for the turn of a prompt. A GrantReply starts the turn; it lasts until the call is cancelled.
struct PrefillCall {
    core::UpstreamId replica;
    double promptTokens = 0;
    std::int64_t waitMs = 0; // the turn starts after this at the latest

    // Written where the configuration ranks callers. Older hosts skip these.
    int rank = 0; // lower: more urgent
    core::WorkspaceId workspace;
    bool isLate = false; // it can't be on time any more
};

/// Asks the owner of an upstream that named a limit for all hosts together, or is brittle, whether one request may be sent to it.
struct SendCall {
    core::UpstreamId upstream;
    double perSecond = 0;       // the limit, as the caller knows it
    std::int64_t ageMs = 0;     // since the upstream last named it
    std::int64_t maxWaitMs = 0; // how long the request may wait for its permit
    double maxRefusals = -1;    // serving::UpstreamLimits::Limit; negative: not known to be brittle. This and the next two are missing from older hosts
    std::int64_t holdMs = 0;    // until the request ends at the latest; 0: the caller can't hold a permit
    double tokens = 0;          // of memory that it holds at the upstream

    // A place at a replica of a crowded plain service. Older hosts skip these and know of no limit.
    std::int64_t workMs = 0;      // of the service, as the caller learnt it; 0: no such place is asked for
    std::int64_t roundTripMs = 0; // to the owner
    std::int64_t untilLateMs = 0; // below 0: it is late
    int rank = 0;                 // lower: more urgent
    bool mayRepeat = false;       // it may run twice
    std::uint64_t spread = 0;     // a hash of the request
};

/// serving::CrashCause, as [kind, id].
struct CrashCauseEntry {
    int kind = 0;
    std::string id;
};

/// Asks the host that counts crashes for leave to send one request with these causes, of which at least one is blamed.
struct CrashProbeCall {
    std::vector<CrashCauseEntry> causes;
};

/// serving::StreamOrigin.
struct StreamOriginEntry {
    std::string version;
    core::UpstreamId upstream;
    core::ServiceName service;
    std::uint64_t request = 0;
    int send = 0;
};

/// Asks where the stream of this request began.
struct StreamOriginCall {
    core::RequestId id;
};

/// Hands a caller's request to a host that reaches upstreams. StartedReply: the host has accepted it. An ErrorReply of outcome NotRun: nothing was sent.
struct RelayCall {
    std::uint64_t id = 0; // of the calling process's relayed requests; names this one in RelayCreditNotice
    std::string method;
    std::string target;
    std::string host; // of the Host field
    std::vector<std::pair<std::string, std::string>> fields;
    std::string body;
    std::int64_t ageMs = 0;               // since the first byte from the caller
    std::vector<core::UpstreamId> sentTo; // by any host; an empty id is an upstream that nobody knows, or a try that the peer is not given
    int sends = 0;                        // of the calling host and the peers that it asked before, with repeats
    bool mayHaveRun = false;              // on one of them, or through another host
    bool hasBegun = false;                // the caller has part of the stream; what follows goes on after it, without a head
    std::int64_t lastEventId = -1;        // of this part; negative: none
    std::string version;                  // software version of this part
    int tries = -1;                       // further upstreams that the peer may send to; negative: the caller is an older host that does not count
    int keptTries = 0;                    // that the calling host has left for itself and its next peers
    int cuts = 0;                         // sends that their upstream broke off. This and the two before are missing from older hosts
    bool confirms = false;                // the calling host says once the call is accepted that its caller is still there (RelayCreditNotice::ageMs)
};

using CallBody
    = std::variant<ProbeCall, RunCall, PermitCall, ServiceCall, ListsCall, ResidencyCall, PrefillCall, SendCall, CrashProbeCall, StreamOriginCall, RelayCall>;

/// How soon an engine would start a request.
struct HintReply {
    int residency = 0;       // 0 absent, 1 loading, 2 resident
    std::int64_t waitMs = 0; // expected
    double fill = 0;         // of the batch; 0 to 1
    int queue = 0;
    int freeSlots = 0;
    bool accepting = true;
};

/// The engine has accepted the request.
struct StartedReply {
    std::string ranAs;        // the engine's name for the adapter
    std::int64_t queueMs = 0; // waited for a slot
    std::int64_t stallMs = 0; // waited for the adapter to load
};

/// A part of the engine's answer.
struct DataReply {
    std::string data;
};

/// The engine's answer is complete.
struct EndReply { };

struct GrantReply {
    std::uint64_t permit = 0;
};

struct ServiceReply {
    int status = 200;
    std::string contentType;
    std::string body;
    bool isReplay = false; // the recorded result of an earlier run
};

struct ListsReply {
    std::string snapshot; // ListsState::exportSnapshot()
};

/// What a host did with a request that was relayed through it and did not end well there.
struct RelayAccount {
    std::vector<core::UpstreamId> sentTo; // by this host
    int cuts = 0;                         // of these sends, broken off by their upstream
    bool isFinal = false;                 // nothing was sent, and no other host would do better
    std::int64_t lastEventId = -1;        // of what this host passed on; negative: the stream can't go on elsewhere
    std::string version;                  // software version of this part
};

struct ErrorReply {
    core::Error error;
    std::optional<RelayAccount> relayed = {}; // of a RelayCall that names its tries; older hosts never have it
};

/// The replica holds the weights and keeps them until the lease ends.
struct ResidencyReply {
    std::uint64_t revision = 0;
    std::int64_t leaseMs = 0; // counted from the reply
};

/// The weights are being loaded; a ResidencyReply or ErrorReply follows.
struct WaitingReply {
    std::int64_t expectedMs = 0; // counted from the reply
};

struct SendReply {
    bool isLimited = true; // false: the limit has ended; send without asking
    bool isGranted = false;
    std::int64_t waitMs = 0; // until the request may be sent; without a grant, until asking again makes sense
    bool isHeld = false;     // the permit lasts until the call is cancelled; missing from older hosts
};

struct CrashProbeReply {
    bool isGranted = false;
};

struct StreamOriginReply {
    bool isKnown = false;
    StreamOriginEntry origin;
    std::int64_t ageMs = 0; // since the peer learnt it
};

/// The head of the answer to a relayed request.
struct RelayHeadReply {
    int status = 0;
    std::string fields; // each with its line end
};

using ReplyBody = std::variant<HintReply,
                               StartedReply,
                               DataReply,
                               EndReply,
                               GrantReply,
                               ServiceReply,
                               ListsReply,
                               ErrorReply,
                               ResidencyReply,
                               WaitingReply,
                               SendReply,
                               CrashProbeReply,
                               StreamOriginReply,
                               RelayHeadReply>;

/// Number of replicas that an adapter should be resident on, where it differs from the usual one.
struct WidthNotice {
    std::string adapter;
    int width = 0;
    std::int64_t validMs = 0;
};

/// The engine may prefetch this adapter if a load permit is available.
struct PrefetchNotice {
    core::UpstreamId engine;
    std::string adapter;
};

/// Adapters that one host's requests use on one upstream.
struct UpstreamUses {
    core::UpstreamId upstream;
    std::vector<std::pair<core::BaseModel, core::AdapterName>> adapters;
};

/// Adapters that the sender's requests use on upstreams that the receiver owns.
struct UsesNotice {
    std::vector<UpstreamUses> uses;
};

/// An upstream, its running requests, and the milliseconds that the prompts still being processed take.
using UpstreamLoad = std::tuple<core::UpstreamId, int, int>;

/// An upstream, the weight of what is known of its pace in tenths of a sample, and the mean logarithm of its pace in thousandths.
using UpstreamPace = std::tuple<core::UpstreamId, std::int64_t, std::int64_t>;

/// Load by requests of the sender, of its group of hosts, or of all hosts.
struct LoadsNotice {
    int scope = 0; // serving::LoadScope
    std::vector<UpstreamLoad> loads;
    std::optional<std::vector<UpstreamPace>> paces = {}; // that changed; nothing: the sender has no report of them now, or is of an older build
};

/// The result of one read of a store topic, shared by the host that made the read.
struct StorePageNotice {
    std::string topic;
    std::uint64_t from = 0;                                   // offset of the first record
    std::uint64_t first = 0;                                  // oldest record that the store still has
    std::uint64_t next = 0;                                   // end of the topic at the time of the read
    std::uint64_t readTo = 0;                                 // where the next read continues
    std::vector<std::pair<std::string, std::string>> records; // key and value
    std::int64_t sentAt = 0;                                  // by the sender's monotonic clock
    std::int64_t ageMs = 0;                                   // at sentAt, since the read began; negative: not known
};

/// Asks for the receiver's monotonic clock.
struct ClockQuery {
    std::int64_t askedAt = 0; // by the sender's monotonic clock
};

struct ClockAnswer {
    std::int64_t askedAt = 0; // of the query
    std::int64_t clock = 0;   // the sender's, when it had the query
};

/// Tells the owner of an upstream that an answer of it named no limit any more.
struct LimitEndNotice {
    core::UpstreamId upstream;
};

/// Tells the owner of a brittle upstream that it refused a request of the sender for want of room.
struct SendRefusedNotice {
    core::UpstreamId upstream;
};

/// Tells all hosts that upstreams of the sender are brittle: how many refusals a second each takes, and the age of the last answer that said so.
struct BrittleNotice {
    std::vector<std::tuple<core::UpstreamId, double, std::int64_t>> upstreams;
};

/// Requests of the sender that an upstream broke off at one moment.
struct CrashEntry {
    core::UpstreamId upstream;
    std::int64_t ageMs = 0;
    std::vector<std::tuple<CrashCauseEntry, std::int64_t, bool>> cuts; // age of the last request with the cause, serving::CrashSighting::Cut::isFollowUp
};

/// What a host holds of a cause of crashes: serving::CrashVerdict. Times count from the sending.
struct CrashVerdictEntry {
    CrashCauseEntry cause;
    int state = 0;
    std::int64_t sinceAgeMs = 0;
    std::int64_t remainingMs = 0; // negative: it is over
    int crashes = 0;
    std::int64_t lastCrashAgeMs = 0;
    core::UpstreamId lastUpstream;
    int probesLeft = 0;
};

/// Tells the host that counts crashes what the sender saw and holds. Ages count from the sending.
struct CrashReportNotice {
    std::vector<CrashEntry> crashes;
    std::vector<std::pair<CrashCauseEntry, std::int64_t>> served; // age of the last success
    std::vector<CrashCauseEntry> refused;                         // blamed causes of requests that still come
    std::vector<CrashVerdictEntry> held;                          // that the receiver has not named for a while
};

/// Verdicts of the host that counts, to all others.
struct CrashVerdictsNotice {
    std::vector<CrashVerdictEntry> verdicts;
};

/// Tells a host that keeps it where a stream of the sender begins.
struct StreamOriginNotice {
    core::RequestId id;
    StreamOriginEntry origin;
    std::int64_t remainingMs = 0; // from the sending; then nobody takes the stream up any more
};

/// Whether the sender reaches upstreams: on each change to all hosts, and again at intervals while it reaches none.
struct ReachNotice {
    bool reaches = true;
};

/// The sender has passed on so many bytes of the answer to its RelayCall `id`; as many more may be sent.
struct RelayCreditNotice {
    std::uint64_t id = 0;
    std::int64_t bytes = 0;
    std::int64_t ageMs = -1; // from 0 on: the caller is still there, and sent the first byte so long ago
};

/// quotas::AskEntry.
struct QuotaAskEntry {
    core::WorkspaceId workspace;
    std::int64_t held = 0;
    std::int64_t urgent = 0;
    std::int64_t inAdvance = 0;
    std::int64_t least = 0;
    std::int64_t returned = 0;
    std::int64_t givenBack = 0;
};

/// Asks the owner of a partition of the workspaces for credit; quotas::Ask. Only sent to hosts that have claimed such a partition or announce
/// quotas, so that no host of an earlier build gets one.
struct QuotaAskNotice {
    int partition = 0;
    std::uint64_t session = 0;
    std::uint64_t sequence = 0;
    std::uint64_t answered = 0;
    bool isInFallback = false;
    std::vector<QuotaAskEntry> entries;
};

/// quotas::GrantEntry.
struct QuotaGrantEntry {
    core::WorkspaceId workspace;
    std::int64_t granted = 0;
    std::int64_t waitMs = 0;
};

/// Answers a QuotaAskNotice; quotas::Grant.
struct QuotaGrantNotice {
    int partition = 0;
    std::uint64_t session = 0;
    std::uint64_t sequence = 0;
    std::vector<QuotaGrantEntry> entries;
};

struct Notice {
    std::variant<WidthNotice,
                 PrefetchNotice,
                 UsesNotice,
                 LoadsNotice,
                 StorePageNotice,
                 ClockQuery,
                 ClockAnswer,
                 LimitEndNotice,
                 CrashReportNotice,
                 CrashVerdictsNotice,
                 StreamOriginNotice,
                 ReachNotice,
                 RelayCreditNotice,
                 SendRefusedNotice,
                 BrittleNotice,
                 QuotaAskNotice,
                 QuotaGrantNotice>
        body;
};

/// A call; its id is unique among the calls of one side of the link.
struct Call {
    std::uint64_t id = 0;
    CallBody body;
};

struct Reply {
    std::uint64_t id = 0;
    ReplyBody body;
};

/// The caller wants no more replies to call `id`.
struct Cancel {
    std::uint64_t id = 0;
};

using Frame = std::variant<Hello, Proof, Gossip, Call, Reply, Cancel, Notice>;

[[nodiscard]] std::string encode(const Frame &frame);
/// Nothing, and an error of step Peer, for input that encode() can't have produced. Never throws.
[[nodiscard]] std::optional<Frame> decode(std::string_view bytes, core::Error &error);

/// Whether this is the last reply of its call.
[[nodiscard]] bool isLastReply(const ReplyBody &body);

constexpr std::size_t nonceBytes = 32;

/// A new nonce from OpenSSL's random generator; nothing when that fails.
[[nodiscard]] std::optional<std::string> makeNonce();
/// The proof that the sender of `own` sends to the sender of `other`. The proofs of the two sides differ, which prevents reflection.
[[nodiscard]] std::string makeProof(std::string_view key, const Hello &own, const Hello &other);
/// Compares in constant time.
[[nodiscard]] bool proofsEqual(std::string_view a, std::string_view b);

} // namespace baobabstall::peers
