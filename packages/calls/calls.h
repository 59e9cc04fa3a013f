// calls/calls.h: at most one run for each idempotency key, by records in the stream `calls-REGION`. No I/O.
//
// Index
//   CallKey, partitionOf(), bodyDigest()   what is protected, and by which partition
//   CallRecord                             Open, Intent, Result; JSON text
//   CallResult                             how a run ended
//   Answer                                 what begin() says at once
//   Decision                               what later events lead to
//   CallPartition                          one partition at its owner
//
//   CallPartition partition(number, self);
//   decide(partition.own(epoch));                       // the claims stream made this daemon the owner: appends the fence
//   decide(partition.onRecord(offset, record));         // every record of this partition, from the stream's beginning, in order
//   decide(partition.onReadToEnd());                    // when a read left nothing
//   Answer answer = partition.begin(key, digest, now);  // a caller's request
//   decide(partition.finished(key, result));            // after a Run
//
// Why two owners never both run a key. Claims stand in another stream, so a claim's place says nothing about an intent's place. A
// new owner therefore appends an Open record with its epoch to the calls stream and serves only after it read that record back:
// the fence. An intent whose epoch is not that of the newest fence before it is void, for every reader. So
//   - an intent of an old owner that lands behind the fence never runs, also when its writer wakes: the writer reads it back as void;
//   - an intent that stands before the fence may have been run by its writer, or may be run when the writer wakes. The new owner
//     has read it before its own fence, and never runs that key: a repeat gets the result if one stands, else `unknown`;
//   - the writer needs no check after it read its intent back as valid: however late it runs, nobody else will.
// The window in which a key is remembered is the log's retention. After it the same key runs again: callers must not repeat a
// key later than that. A result longer than what is recorded, or pushed out of memory, is told as "ran" without its body.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <variant>
#include <vector>

#include <core/error.h>
#include <core/types.h>

namespace baobabstall::calls {

using core::CustomerId;
using core::Epoch;
using core::HostId;
using core::Incarnation;
using core::Instant;
using core::Milliseconds;
using core::Offset;

/// A customer's Idempotency-Key. Two customers with the same text have nothing to do with each other.
struct CallKey {
    CustomerId customer;
    std::string key;

    friend auto operator<=>(const CallKey &, const CallKey &) = default;
    friend bool operator==(const CallKey &, const CallKey &) = default;
};

/// The partition of a key; `partitions` is settings.ownership.callPartitions, alike on every daemon.
[[nodiscard]] int partitionOf(const CallKey &key, int partitions);
/// Tells two requests under one key apart. Not for secrets.
[[nodiscard]] std::uint64_t bodyDigest(std::string_view method, std::string_view target, std::string_view body);

/// How a run ended.
struct CallResult {
    core::Outcome outcome = core::Outcome::Ran; // NotRun: certainly not run, the key is free again; Unknown: never to be run again
    int status = 0;                             // of the service's answer; 0 when there is none
    std::string contentType;
    std::string body;     // empty when not kept
    bool bodyKept = true; // false: the answer was longer than settings.services.maxRecordedBytes, or was pushed out of memory

    friend bool operator==(const CallResult &, const CallResult &) = default;
};

enum class RecordKind : std::uint8_t {
    Open,   // the owner of `epoch` serves from here on; lower epochs' intents behind it are void
    Intent, // the owner is about to run the key
    Result, // how the intent `intent` ended
};

/// One record of the stream `calls-REGION`.
struct CallRecord {
    RecordKind kind = RecordKind::Open;
    std::string id; // unique; the same when an append is tried again
    int partition = 0;
    Epoch epoch;              // of the writer
    CallKey key;              // Intent, Result
    std::uint64_t digest = 0; // Intent, Result: of the request
    std::string intent;       // Result: the intent's id
    CallResult result;        // Result

    friend bool operator==(const CallRecord &, const CallRecord &) = default;
};

[[nodiscard]] std::string toJson(const CallRecord &record);
/// Nothing, and an Error of step Record, on text that toJson() can't have written. Never throws.
[[nodiscard]] std::optional<CallRecord> recordFromJson(std::string_view text, core::Error &why);

// What begin() says at once.
struct AppendIntent {
    CallRecord record; // append it, then wait for Run, NotRun or a later word on this key
};
struct Replay {
    CallResult result; // what the first run gave; with bodyKept false: `ran`, without its body
};
struct AlreadyRunning {
    Milliseconds retryAfter; // 409: the first request under this key has not ended
};
struct Conflict { };   // 409: the key was used with another request
struct WasUnknown { }; // the key was begun and its result is lost: `unknown`, never run again
struct Refuse {
    core::Error why; // not_run, with retryAfter
};
using Answer = std::variant<AppendIntent, Replay, AlreadyRunning, Conflict, WasUnknown, Refuse>;

// What later events lead to.
struct Append {
    CallRecord record; // an Open, a Result, or an intent tried again
};
struct Run {
    CallKey key; // call the service now, once; then finished()
};
struct NotRun {
    CallKey key; // tell the waiting caller `not_run`
    core::Error why;
};
using Decision = std::variant<Append, Run, NotRun>;

class CallPartition
{
public:
    struct Self {
        HostId host;
        Incarnation incarnation;
    };

    CallPartition(int partition, Self self);

    // Ownership.
    [[nodiscard]] std::vector<Decision> own(Epoch epoch); // this daemon owns the partition under `epoch`
    [[nodiscard]] std::vector<Decision> disown();         // handed over or lost: begins nothing more; runs in flight may still be finished()
    [[nodiscard]] bool isServing() const;                 // own fence read back, not superseded, log up
    [[nodiscard]] bool isIdle() const;                    // nothing begun and not ended; then a handover is drained

    // Requests.
    [[nodiscard]] Answer begin(const CallKey &key, std::uint64_t digest, Instant now);
    [[nodiscard]] std::vector<Decision> giveUp(const CallKey &key); // the caller's deadline passed before Run: NotRun if it can still be said, else nothing
    [[nodiscard]] std::vector<Decision> finished(const CallKey &key, const CallResult &result); // after a Run, always

    // The log.
    [[nodiscard]] std::vector<Decision> onRecord(Offset offset, const CallRecord &record); // in order; of other partitions: passed over
    [[nodiscard]] std::vector<Decision> onReadToEnd();                                     // a read that left nothing; appends of unknown end are tried again
    void onAppended(const std::string &id);                                                // taken; counts once it is read back
    [[nodiscard]] std::vector<Decision> onAppendRefused(const std::string &id);            // certainly not taken
    void onAppendUnknown(const std::string &id);                                           // no answer
    void onLogDown();                              // reads or appends fail; until onReadToEnd() everything new is refused
    void trim(Offset first);                       // the log keeps nothing below it
    [[nodiscard]] std::vector<Decision> refresh(); // at less than half of the retention: keeps the fence in the log

    [[nodiscard]] std::size_t keys() const { return entries_.size(); }
    [[nodiscard]] std::size_t approximateBytes() const;

    static constexpr std::size_t maxKeptBytes = 1024 * 1024; // bodies of results in memory, for one partition; the oldest go first
    static constexpr Milliseconds runningRetryAfter{1'000};
    static constexpr Milliseconds logDownRetryAfter{5'000};
    static constexpr Milliseconds notServingRetryAfter{1'000};

private:
    enum class Phase : std::uint8_t {
        Appending, // our intent is not read back yet
        Running,   // our intent stands, we run it
        Begun,     // a valid intent of somebody stands, and no result
        Ended,     // the result is known
    };
    struct Entry {
        Phase phase = Phase::Appending;
        std::uint64_t digest = 0;
        std::string intent; // its record id
        Offset at;          // newest record of this key
        CallResult result;
        bool givenUp = false; // the caller was told not_run; never to be run
    };
    struct Pending {
        CallRecord record;
        bool unknown = false;
    };

    [[nodiscard]] std::string newId();
    [[nodiscard]] Answer answerFor(const Entry &entry, std::uint64_t digest) const;
    [[nodiscard]] Refuse refusal() const;
    void onOpen(const CallRecord &record, std::vector<Decision> &out);
    void onIntent(Offset offset, const CallRecord &record, std::vector<Decision> &out);
    void onResult(Offset offset, const CallRecord &record);
    void onOwnIntent(Entry &entry, const CallRecord &record, std::vector<Decision> &out);
    void failWaiting(const std::string &reason, std::vector<Decision> &out);
    void append(CallRecord record, std::vector<Decision> &out);
    void appendResult(const CallKey &key, const Entry &entry, const CallResult &result, std::vector<Decision> &out);
    void keepBody(const CallKey &key, std::size_t bytes);

    int partition_;
    Self self_;
    Epoch epoch_; // ours; zero: not the owner
    Epoch fence_; // newest Open read
    bool logDown_ = false;
    std::uint64_t nextId_ = 1;
    std::map<CallKey, Entry> entries_;
    std::unordered_map<std::string, Pending> pending_; // our records that were not read back, by id
    std::deque<CallKey> bodies_;                       // keys with a body, oldest first
    std::size_t keptBytes_ = 0;
};

} // namespace baobabstall::calls
