// ownership/claims.h: the claim records of a region's stream, and the ownership table that every reader derives from it. No I/O.
//
// Index
//   Resource         what has one owner at a time: "engine/ID", "calls/PARTITION", "loads", "quota/PARTITION"
//   ClaimRecord      Claim, Refresh, Release, Retire; JSON text
//   Owner, Holder    the owner of a resource, the holder of an epoch
//   ClaimTable       apply() records in stream order; ownerOf(), holderOf()
//
// Rules, each decided from the stream alone:
//   1. A claim's offset is its epoch. The newest valid claim of a resource determines its owner.
//   2. A claim names the offset up to which its writer had read (`lastReadOffset`). It is void when another claim of the resource
//      lies between that offset and its own: of two racing claims the first wins, and a delayed one has no effect.
//   3. A claim is void when a higher incarnation of its host was seen before it.
//   4. A record whose id was seen before is ignored.
//   5. A Refresh, Release or Retire applies only to the epoch that it names, and only from the holder of that epoch.
//   6. Records expire. An owner appends a Refresh before half of the retention has passed and keeps its epoch. A Refresh or
//      Release also states that no claim between its epoch and its `lastReadOffset` was valid, so that a reader who starts after the
//      claim gets the same result. An owner whose last record expired owns nothing.
// Limit: when nothing was refreshed for a whole retention, two readers that started at different times can name different dead
// owners. They agree again after the next claim, since its validity depends only on the few records before it.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include <core/error.h>
#include <core/types.h>

namespace baobabstall::ownership {

using core::Epoch;
using core::HostId;
using core::Incarnation;
using core::Offset;

using Resource = core::Id<struct ResourceTag>;

[[nodiscard]] Resource engineResource(const core::UpstreamId &engine);            // "engine/ID"
[[nodiscard]] Resource partitionResource(int partition);                          // "calls/N"
[[nodiscard]] Resource loadBudgetResource();                                      // "loads"
[[nodiscard]] Resource quotaResource(int partition);                              // "quota/N"
[[nodiscard]] std::optional<core::UpstreamId> engineOf(const Resource &resource); // nullopt when it is not an engine
[[nodiscard]] std::optional<int> partitionOf(const Resource &resource);           // nullopt when it is not a partition
[[nodiscard]] std::optional<int> quotaPartitionOf(const Resource &resource);      // nullopt when it is not a partition of the quotas

/// The holder of one epoch of a resource.
struct Holder {
    Epoch epoch;
    HostId host;
    Incarnation incarnation;

    friend bool operator==(const Holder &, const Holder &) = default;
};

enum class ClaimKind : std::uint8_t {
    Claim,   // the writer claims ownership from this offset on
    Refresh, // the owner keeps its ownership
    Release, // the owner will never act under its epoch again; another host may claim at once
    Retire,  // the same, from a holder that was superseded or whose records expired
};

/// One record of the stream `claims-REGION`.
struct ClaimRecord {
    std::string id; // unique per record; a retried append has the same id
    ClaimKind kind = ClaimKind::Claim;
    Resource resource;
    HostId host;                       // the writer
    Incarnation incarnation;           // of the writer
    Epoch epoch;                       // Refresh, Release, Retire: the epoch it applies to; zero for a Claim
    Offset lastReadOffset;             // the offset up to which the writer had read the stream
    std::vector<Holder> formerHolders; // Claim, Refresh: earlier holders that have not released; the newest maxFormerHolders

    static constexpr std::size_t maxFormerHolders = 16;
    friend bool operator==(const ClaimRecord &, const ClaimRecord &) = default;
};

[[nodiscard]] std::string toJson(const ClaimRecord &record);
/// Returns nullopt and an Error of step Log for text that toJson() can't have written. Never throws.
[[nodiscard]] std::optional<ClaimRecord> claimFromJson(std::string_view text, core::Error &why);

/// The owner of a resource.
struct Owner {
    HostId host;
    Incarnation incarnation;
    Epoch epoch;
    bool released = false; // nobody acts on it; another host may claim at once

    friend bool operator==(const Owner &, const Owner &) = default;
};

/// What is known about the holder of one epoch.
struct HolderEntry {
    Holder holder;
    bool released = false;
    std::int64_t lastRecordedAt = 0; // civil milliseconds by the log's clock: the newest record of the holder, or the first that named it as a former holder
};

class ClaimTable
{
public:
    /// Applies a record; in stream order, each offset once. `recordedAt`: civil milliseconds of the log (`time_ms`). Returns whether an owner changed.
    bool apply(Offset offset, const ClaimRecord &record, std::int64_t recordedAt);
    /// Skips a record that is not a claim record; only advances lastReadOffset().
    void skip(Offset offset);
    /// Removes what is below `first`, the oldest offset kept by the log. Returns the resources whose owner was removed because its records expired.
    std::vector<Resource> trim(Offset first);

    [[nodiscard]] Offset lastReadOffset() const { return lastReadOffset_; }     // highest offset applied or skipped
    [[nodiscard]] std::optional<Owner> ownerOf(const Resource &resource) const; // nullopt: never claimed, or expired
    [[nodiscard]] Offset ownerRecordOffset(const Resource &resource) const;     // offset of the newest record of the owner; it expires with this record
    [[nodiscard]] std::optional<HolderEntry> holderOf(const Resource &resource, Epoch epoch) const;  // nullopt: epoch unknown
    [[nodiscard]] std::vector<Holder> unreleasedBefore(const Resource &resource, Epoch epoch) const; // for `formerHolders`, oldest first
    [[nodiscard]] Incarnation newestIncarnation(const HostId &host) const;                           // highest seen in the stream; zero: none
    [[nodiscard]] bool hasRecord(const std::string &id) const;
    [[nodiscard]] std::vector<Resource> ownedResources() const; // resources with an owner, sorted
    [[nodiscard]] std::size_t approximateBytes() const;         // memory used by the table

private:
    struct Row {
        std::optional<Owner> owner;
        Offset ownerRecordOffset; // newest record of the owner
        Offset lastClaim;         // offset, also of a void claim
        std::map<Epoch, HolderEntry> holders;
    };

    struct HostEntry {
        Incarnation incarnation; // highest seen
        Offset lastRecordOffset; // newest record of the host
    };

    static void recordHolder(Row &row, const Holder &holder, std::int64_t recordedAt);
    static void recordFormerHolders(Row &row, const ClaimRecord &record, std::int64_t recordedAt);
    static void trimHolders(Row &row, Offset first);
    void applyClaim(Row &row, Offset offset, const ClaimRecord &record, std::int64_t recordedAt);
    static void applyOwnerStatement(Row &row, Offset offset, const ClaimRecord &record);
    static void applyStatement(Row &row, Offset offset, const ClaimRecord &record, std::int64_t recordedAt);

    std::unordered_map<Resource, Row> rows_;
    std::unordered_map<HostId, HostEntry> hosts_;
    std::unordered_map<std::string, Offset> offsetsById_; // of the records kept in the log
    std::map<Offset, std::string> idsByOffset_;           // inverse of offsetsById_, for removal by trim()
    Offset lastReadOffset_;
    Offset firstKept_; // oldest offset kept in the log, as passed to trim()
};

} // namespace baobabstall::ownership
