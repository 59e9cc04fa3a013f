// serving/protocol.h: the interfaces to the platform. Implemented in the root folder platform/, mocked in tests. No I/O in Codec.
//
// Index
//   Codec           converts headers of requests and answers, records, reports and orders to and from the types of model.h
//   AbstractStore   the platform's store: ordered records by topic, newest record of each key, conditional append
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

/// A header field of a received message.
struct HeaderView {
    std::string_view name;
    std::string_view value;
};

/// Values of the header fields that the system itself adds to a forwarded request.
struct ForwardHeaders {
    Milliseconds remaining;
    UpstreamId replica;
    int priority = 0;                         // 0 to 9; 0 is the most urgent
    std::optional<AdapterRevision> revision;  // the upstream refuses any other
    std::optional<std::uint64_t> lastEventId; // last event that the caller received; the stream continues after it
    WorkspaceId workspace = {};               // of the caller; empty: none
};

/// One record of the store.
struct StoreRecord {
    core::Offset offset; // from 1
    std::string key;     // empty in a topic without keys
    std::string value;   // empty: the key was deleted

    [[nodiscard]] std::size_t bytes() const { return key.size() + value.size(); }
};

/// A record of the operators' topic: the active revision of an adapter.
struct RevisionUpdate {
    AdapterKey weights;
    AdapterRevision revision;
};

class Codec
{
public:
    virtual ~Codec() = default;
    /// Fails when the request's id is missing or repeated, or a field is malformed.
    [[nodiscard]] virtual std::optional<RequestMetadata> readRequest(std::span<const HeaderView> headers, core::Error &error) const = 0;
    /// Name of the header field that carries a request's id.
    [[nodiscard]] virtual std::string_view requestIdField() const = 0;
    /// Whether a caller's header field is forwarded; false for fields that only the system may set.
    [[nodiscard]] virtual bool isForwardedField(std::string_view field) const = 0;
    /// Whether the field holds a caller's key, or the name of a workspace. Not forwarded where workspaces are configured.
    [[nodiscard]] virtual bool isWorkspaceField(std::string_view field) const = 0;
    /// Appends the system's own header fields to `head`, each with its line end.
    virtual void appendForwardHeaders(const ForwardHeaders &facts, std::string &head) const = 0;
    [[nodiscard]] virtual ResponseMetadata readAnswer(int status, std::span<const HeaderView> headers) const = 0;

    [[nodiscard]] virtual std::optional<Configuration> readConfiguration(std::string_view value, core::Error &error) const = 0;
    [[nodiscard]] virtual bool isConfigurationKey(std::string_view key) const = 0;
    [[nodiscard]] virtual std::optional<RevisionUpdate> readRevision(std::string_view key, std::string_view value, core::Error &error) const = 0;
    [[nodiscard]] virtual std::optional<ReplicaRecord> readReplica(std::string_view key, std::string_view value, core::Error &error) const = 0;

    [[nodiscard]] virtual net::HttpRequest reportRequest(const UpstreamId &replica) const = 0;
    [[nodiscard]] virtual std::optional<ReplicaReport> readReport(const net::HttpResponse &answer, core::Error &error) const = 0;
    [[nodiscard]] virtual net::HttpRequest orderRequest(const UpstreamId &replica, const Order &order, const HostId &holder, core::Epoch epoch) const = 0;
    [[nodiscard]] virtual OrderOutcome readOrderAnswer(const net::HttpResponse &answer) const = 0;
};

/// The topics of the store that the serving path reads.
enum class Topic : std::uint8_t {
    Operators, // configuration and adapter revisions; written by operators
    Upstreams, // one record for each upstream; written by the upstreams
    Control,   // this system's own records: hosts, claims, the key for links between daemons
    Streams,   // one record for each host: at which version its streams began; read when it is needed
};

/// The newest record of each key.
struct StoreListing {
    std::vector<StoreRecord> records;
    core::Offset nextOffset; // reading on from here returns every record that the listing lacks, and those of its records that came meanwhile
};

struct StorePage {
    std::vector<StoreRecord> records;
    core::Offset oldestOffset; // oldest record that the store still has
    core::Offset endOffset;    // after the topic's last record at the time of the read
    core::Offset nextOffset;   // where the next read continues
};

enum class AppendOutcome : std::uint8_t {
    Done,
    Conflict, // the topic has newer records; nothing was written
    Refused,  // nothing was written
    Unknown,  // no answer: the records may still be written, now or later, if the condition holds
};

class AbstractStore
{
public:
    virtual ~AbstractStore() = default;
    /// The newest record of every key. Errors have step Log.
    virtual net::Task<std::optional<StoreListing>> newest(Topic topic, core::Error &error) = 0;
    /// Records from `from` on; waits up to `wait` for the first one. Returns nothing and sets `isGone` when they have expired.
    virtual net::Task<std::optional<StorePage>> read(Topic topic, core::Offset from, Milliseconds wait, bool &isGone, core::Error &error) = 0;
    /// Appends all records or none, and only if the topic ends before offset `at` (0: unconditionally). Sets `offset` to that of the first record.
    virtual net::Task<AppendOutcome>
    append(Topic topic, std::vector<std::pair<std::string, std::string>> records, core::Offset at, core::Offset &offset, core::Error &error) = 0;
};

} // namespace baobabstall::serving
