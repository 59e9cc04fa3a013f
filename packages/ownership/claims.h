// ownership/claims.h: claim records of a region's stream, and the table that every reader of the stream computes alike. No I/O.
//
// Index
//   Thing            what has one owner at a time: "engine/ID", "calls/PARTITION", "loads"
//   ClaimRecord      Claim, Refresh, Release; JSON text
//   Owner, Holder    who owns a thing, who held an earlier epoch
//   ClaimTable       apply() records in the order of the stream; ownerOf(), holderOf()
//
// The rules, each decided from the stream alone:
//   1. A claim's offset is its epoch. The newest valid claim of a thing owns it.
//   2. A claim names the offset up to which its writer had read (`readTo`). It is void when another claim of the thing stands
//      between that offset and its own: of two that race the first wins, and one that lands late changes nothing.
//   3. A claim is void when a higher incarnation of its host was seen before it.
//   4. A record whose id was seen before counts as not there.
//   5. A refresh, release or retirement counts only for the epoch that it names, from the holder of that epoch.
//   6. Records expire. An owner appends a refresh before half of the retention has passed; it keeps the epoch. A refresh or
//      release also tells that no claim between its epoch and its `readTo` was valid, so a reader who starts behind the claim reaches the same
//      verdict. An owner whose last record expired owns nothing.
// Limit: when nobody was there to refresh for a whole retention, two readers who started at different times can name different dead
// owners; the next claim brings them together, since its validity rests on the few records before it only.
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

[[nodiscard]] Resource engineResource(const core::UpstreamId &engine);         // "engine/ID"
[[nodiscard]] Resource partitionResource(int partition);                       // "calls/N"
[[nodiscard]] Resource loadBudgetResource();                                   // "loads"
[[nodiscard]] std::optional<core::UpstreamId> engineOf(const Resource &thing); // nothing when it is no engine
[[nodiscard]] std::optional<int> partitionOf(const Resource &thing);           // nothing when it is no partition

/// Who held an epoch of a thing.
struct Holder {
    Epoch epoch;
    HostId host;
    Incarnation incarnation;

    friend bool operator==(const Holder &, const Holder &) = default;
};

enum class ClaimKind : std::uint8_t {
    Claim,   // the writer wants to own the thing from here on
    Refresh, // the owner still owns it
    Release, // the owner will never act under its epoch again; a successor may claim
    Retire,  // the same, from a holder that was superseded or expired meanwhile
};

/// One record of the stream `claims-REGION`.
struct ClaimRecord {
    std::string id; // unique for each decision to append; the same when an append is tried again
    ClaimKind kind = ClaimKind::Claim;
    Resource resource;
    HostId host;                       // the writer
    Incarnation incarnation;           // of the writer
    Epoch epoch;                       // Refresh, Release: the epoch spoken of; zero for a claim
    Offset lastReadOffset;             // the writer had read the stream to here
    std::vector<Holder> formerHolders; // Claim, Refresh: earlier holders who have not released; at most maxFormer, the newest

    static constexpr std::size_t maxFormerHolders = 16;
    friend bool operator==(const ClaimRecord &, const ClaimRecord &) = default;
};

[[nodiscard]] std::string toJson(const ClaimRecord &record);
/// Nothing, and an Error of step Log, on text that toJson() can't have written. Never throws.
[[nodiscard]] std::optional<ClaimRecord> claimFromJson(std::string_view text, core::Error &why);

/// The verdict on a thing.
struct Owner {
    HostId host;
    Incarnation incarnation;
    Epoch epoch;
    bool released = false; // nobody acts; a successor may claim at once

    friend bool operator==(const Owner &, const Owner &) = default;
};

/// An earlier epoch of a thing, as far as it is known.
struct HolderEntry {
    Holder holder;
    bool released = false;
    std::int64_t lastRecordedAt = 0; // civil milliseconds of the newest record of the holder, or the first that named it as former, by the log's clock
};

class ClaimTable
{
public:
    /// Records in the order of the stream, each offset once. `recordedAt`: the log's civil milliseconds (`time_ms`). Returns whether an owner changed.
    bool apply(Offset offset, const ClaimRecord &record, std::int64_t recordedAt);
    /// A record that is no claim record; only moves readTo().
    void skip(Offset offset);
    /// The log keeps nothing below `first` any more. Drops owners whose records expired; returns the things that lost their owner.
    std::vector<Resource> trim(Offset first);

    [[nodiscard]] Offset lastReadOffset() const { return lastReadOffset_; }                       // highest offset applied or skipped
    [[nodiscard]] std::optional<Owner> ownerOf(const Resource &thing) const;                      // nothing: never claimed, or expired
    [[nodiscard]] Offset ownerRecordOffset(const Resource &thing) const;                          // the newest record that keeps the owner in the table
    [[nodiscard]] std::optional<HolderEntry> holderOf(const Resource &thing, Epoch epoch) const;  // of any epoch still known
    [[nodiscard]] std::vector<Holder> unreleasedBefore(const Resource &thing, Epoch epoch) const; // for `former`, oldest first
    [[nodiscard]] Incarnation newestIncarnation(const HostId &host) const;                        // seen in the stream; zero: none
    [[nodiscard]] bool hasRecord(const std::string &id) const;
    [[nodiscard]] std::vector<Resource> ownedResources() const; // with an owner
    [[nodiscard]] std::size_t approximateBytes() const;         // of the table's state

private:
    struct Row {
        std::optional<Owner> owner;
        Offset ownerRecordOffset; // newest record for the owner
        Offset lastClaim;         // valid or not
        std::map<Epoch, HolderEntry> holders;
    };

    struct HostEntry {
        Incarnation incarnation; // the highest seen
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
    std::unordered_map<std::string, Offset> offsetsById_; // ids of records still kept
    std::map<Offset, std::string> idsByOffset_;           // the same by offset, to forget them
    Offset lastReadOffset_;
    Offset firstKept_; // oldest offset of the log, as last told
};

} // namespace baobabstall::ownership
