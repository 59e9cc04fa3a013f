// peers/messages.h: what daemons send each other over a link, and its encoded form. No I/O.
//
// Index
//   Hello, Proof     the first two frames of each side; nothing else counts before them
//   Gossip           a membership message
//   Notice           news that needs no answer: WidthNotice, PrefetchNotice, UsesNotice, LoadsNotice, FeedNotice
//   Call, Reply, Cancel   calls with any number of replies
//     ProbeCall      would this engine serve this adapter now?        -> HintReply
//     RunCall        serve this request on this engine                -> StartedReply, DataReply..., EndReply
//     PermitCall     may this engine load this adapter?               -> GrantReply; the permit lasts until the call is cancelled
//     ServiceCall    run this keyed call in its partition             -> WholeReply
//     ListsCall      what lists do you have in force?                 -> ListsReply
//     ResidencyCall  have this replica hold these weights             -> WaitingReply, ResidencyReply
//     any of them                                                     -> FailReply instead
//   encode(), decode()
//
// A frame is one byte that tells its kind, then CBOR. A malformed frame is an error of step Peer and ends the link.
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

/// Who is at this end. The nonce is fresh for each link.
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

/// Asks an engine's owner how soon it could begin.
struct ProbeCall {
    core::UpstreamId engine;
    std::string adapter; // customer/adapter@version
    core::PlanId plan;   // empty: whatever waits is counted as served before
    double share = 1;    // of the plan
};

/// Hands a request to the owner of an engine.
struct RunCall {
    core::RequestId request;
    core::UpstreamId engine;
    std::string adapter; // customer/adapter@version
    core::PlanId plan;
    double share = 1;           // of the plan, for fair order
    std::string path;           // "/v1/completions" or "/v1/chat/completions"
    std::string body;           // the caller's JSON; the owner puts the engine's name for the adapter into "model"
    std::int64_t timeoutMs = 0; // left of the request's time
};

/// Asks the owner of the region's load budget for a permit.
struct PermitCall {
    core::UpstreamId engine;
    std::string adapter;
    double waiting = 0; // engines::Worth
    double victimRate = 0;
};

/// A keyed call of a plain service, sent to the owner of the key's partition.
struct ServiceCall {
    core::RequestId request;
    core::CustomerId customer;
    std::string key; // Idempotency-Key
    int partition = 0;
    core::ServiceName service;
    std::string method;
    std::string target; // below the service
    std::string contentType;
    std::string body;
    std::int64_t timeoutMs = 0;
};

struct ListsCall { };

/// Asks the owner of a model replica to have it hold an adapter.
struct ResidencyCall {
    core::UpstreamId replica;
    core::BaseModel model;
    core::AdapterName adapter;
    std::uint64_t revision = 0; // at least this one; 0: any
    std::int64_t waitMs = 0;    // how long the asker waits for the answer
    std::int64_t onTimeMs = 0;  // how long until its request is late
};

using CallBody = std::variant<ProbeCall, RunCall, PermitCall, ServiceCall, ListsCall, ResidencyCall>;

/// How soon an engine would begin with a request.
struct HintReply {
    int residency = 0;       // 0 absent, 1 loading, 2 resident
    std::int64_t waitMs = 0; // expected
    double fill = 0;         // of the batch, 0 to 1
    int queue = 0;
    int freeSlots = 0;
    bool accepting = true;
};

/// The engine has taken the request.
struct StartedReply {
    std::string ranAs;        // the engine's name for the adapter
    std::int64_t queueMs = 0; // waited for a place
    std::int64_t stallMs = 0; // waited for the adapter to be loaded
};

/// A piece of the engine's answer.
struct DataReply {
    std::string data;
};

/// The engine's answer has ended as it should.
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

struct ErrorReply {
    core::Error error;
};

/// The replica holds the weights and goes on holding them for a while.
struct ResidencyReply {
    std::uint64_t revision = 0;
    std::int64_t leaseMs = 0; // from now on
};

/// The weights are on their way; a ResidencyReply or FailReply follows.
struct WaitingReply {
    std::int64_t expectedMs = 0; // from now on
};

using ReplyBody = std::variant<HintReply, StartedReply, DataReply, EndReply, GrantReply, ServiceReply, ListsReply, ErrorReply, ResidencyReply, WaitingReply>;

/// An adapter is wanted on more or fewer replicas than others.
struct WidthNotice {
    std::string adapter;
    int width = 0;
    std::int64_t validMs = 0;
};

/// The engine may load this adapter ahead, if a permit is to spare.
struct PrefetchNotice {
    core::UpstreamId engine;
    std::string adapter;
};

/// Adapters that requests of one host use at one upstream.
struct UpstreamUses {
    core::UpstreamId upstream;
    std::vector<std::pair<core::BaseModel, core::AdapterName>> adapters;
};

/// What requests of the sender use at upstreams that the receiver owns.
struct UsesNotice {
    std::vector<UpstreamUses> uses;
};

/// An upstream, the requests that run there, and the milliseconds that their prompts take which are still being read.
using UpstreamLoad = std::tuple<core::UpstreamId, int, int>;

/// Requests of the sender, of its group of hosts, or of all hosts.
struct LoadsNotice {
    int scope = 0; // serving::LoadScope
    std::vector<UpstreamLoad> loads;
};

/// One read of a topic of the store, shared by the host that made it.
struct StorePageNotice {
    std::string topic;
    std::uint64_t from = 0;                                   // offset of the first record
    std::uint64_t first = 0;                                  // oldest that is kept
    std::uint64_t next = 0;                                   // end of the topic as it was read
    std::uint64_t readTo = 0;                                 // where the next read goes on
    std::vector<std::pair<std::string, std::string>> records; // key and value
};

struct Notice {
    std::variant<WidthNotice, PrefetchNotice, UsesNotice, LoadsNotice, StorePageNotice> body;
};

/// A call; its id is unique on the link for the side that opened it.
struct Call {
    std::uint64_t id = 0;
    CallBody body;
};

struct Reply {
    std::uint64_t id = 0;
    ReplyBody body;
};

/// The caller of `id` wants no more replies.
struct Cancel {
    std::uint64_t id = 0;
};

using Frame = std::variant<Hello, Proof, Gossip, Call, Reply, Cancel, Notice>;

[[nodiscard]] std::string encode(const Frame &frame);
/// Nothing, and an Error of step Peer, on anything that encode() can't have written. Never throws.
[[nodiscard]] std::optional<Frame> decode(std::string_view bytes, core::Error &why);

/// Whether no further reply follows.
[[nodiscard]] bool isLastReply(const ReplyBody &body);

constexpr std::size_t nonceBytes = 32;

/// A fresh nonce, from OpenSSL's random source; nothing when that fails.
[[nodiscard]] std::optional<std::string> makeNonce();
/// The proof of the side that sent `own`, towards the side that sent `other`. The two sides' proofs differ, so one can't be sent back.
[[nodiscard]] std::string makeProof(std::string_view key, const Hello &own, const Hello &other);
/// Compares in constant time.
[[nodiscard]] bool proofsEqual(std::string_view a, std::string_view b);

} // namespace baobabstall::peers
