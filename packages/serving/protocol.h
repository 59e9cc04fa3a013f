// serving/protocol.h: the platform as the serving path sees it. Implemented in the root folder platform/, mocked in tests. No I/O in Codec.
//
// Index
//   Codec          headers of requests and answers, records, reports and orders, to and from our types
//   StoreLike      the platform's store: ordered records by topic, newest record of each key, conditional append
#pragma once

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <core/error.h>
#include <core/types.h>
#include <net/http.h>
#include <serving/model.h>

namespace baobabstall::serving {

/// A header field as it stands in a message.
struct HeaderView {
    std::string_view name;
    std::string_view value;
};

/// What the system itself tells an upstream with a request.
struct ForwardHeaders {
    Milliseconds remaining;
    UpstreamId replica;
    int priority = 0;                         // 0 to 9, 0 first
    std::optional<AdapterRevision> revision;  // refuse any other
    std::optional<std::uint64_t> lastEventId; // the last event that the caller has
};

/// One record of the store.
struct StoreRecord {
    core::Offset offset; // from 1
    std::string key;     // empty in a topic without keys
    std::string value;   // empty: the key was dropped
};

/// News of the operator's topic.
struct RevisionUpdate {
    AdapterKey weights;
    AdapterRevision revision;
};

class Codec
{
public:
    virtual ~Codec() = default;
    /// Nothing, with the reason, when the request can't be told apart or a field can't be read.
    [[nodiscard]] virtual std::optional<RequestMetadata> readRequest(std::span<const HeaderView> headers, core::Error &why) const = 0;
    /// The field that carries a request's id.
    [[nodiscard]] virtual std::string_view requestIdField() const = 0;
    /// Whether a caller's field is passed on; false for what only the system may set.
    [[nodiscard]] virtual bool isForwardedField(std::string_view field) const = 0;
    /// Appends the system's own fields, each with its line end.
    virtual void appendForwardHeaders(const ForwardHeaders &facts, std::string &head) const = 0;
    [[nodiscard]] virtual ResponseMetadata readAnswer(int status, std::span<const HeaderView> headers) const = 0;

    [[nodiscard]] virtual std::optional<Configuration> readConfiguration(std::string_view value, core::Error &why) const = 0;
    [[nodiscard]] virtual bool isConfigurationKey(std::string_view key) const = 0;
    [[nodiscard]] virtual std::optional<RevisionUpdate> readRevision(std::string_view key, std::string_view value, core::Error &why) const = 0;
    [[nodiscard]] virtual std::optional<ReplicaRecord> readReplica(std::string_view key, std::string_view value, core::Error &why) const = 0;

    [[nodiscard]] virtual net::HttpRequest reportRequest(const UpstreamId &replica) const = 0;
    [[nodiscard]] virtual std::optional<ReplicaReport> readReport(const net::HttpResponse &answer, core::Error &why) const = 0;
    [[nodiscard]] virtual net::HttpRequest orderRequest(const UpstreamId &replica, const Order &order, const HostId &holder, core::Epoch epoch) const = 0;
    [[nodiscard]] virtual OrderOutcome readOrderAnswer(const net::HttpResponse &answer) const = 0;
};

/// The topics of the store that the serving path reads.
enum class Topic : std::uint8_t {
    Operators, // configuration and revisions of adapters; written by operators
    Upstreams, // one record for each upstream; written by the upstreams
    Control,   // ours: hosts, claims, the key of the links
};

/// The newest record of each key, and where to read on.
struct StoreListing {
    std::vector<StoreRecord> records;
    core::Offset nextOffset; // reads from here miss nothing of what the listing lacks
};

struct StorePage {
    std::vector<StoreRecord> records;
    core::Offset oldestOffset; // oldest kept
    core::Offset endOffset;    // after the last record of the topic as it was read
    core::Offset nextOffset;   // where the next read goes on
};

enum class AppendOutcome : std::uint8_t {
    Done,
    Conflict, // the topic had moved on; nothing was written
    Refused,  // nothing was written
    Unknown,  // no answer: may be written now or later, if its condition still holds
};

class AbstractStore
{
public:
    virtual ~AbstractStore() = default;
    /// All keys. Error: step Log.
    virtual net::Task<std::optional<StoreListing>> newest(Topic topic, core::Error &why) = 0;
    /// Records from `from` on; waits up to `wait` for the first. Nothing and `isGone` when they have expired.
    virtual net::Task<std::optional<StorePage>> read(Topic topic, core::Offset from, Milliseconds wait, bool &isGone, core::Error &why) = 0;
    /// Writes all records or none, and only when the topic ends before `at`; at 0: wherever it ends. `offset`: of the first.
    virtual net::Task<AppendOutcome>
    append(Topic topic, std::vector<std::pair<std::string, std::string>> records, core::Offset at, core::Offset &offset, core::Error &why) = 0;
};

} // namespace baobabstall::serving
