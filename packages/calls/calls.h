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
//   decide(partition.own(epoch));                       // once all before is read: the claims stream made this daemon the owner: appends the fence
//   decide(partition.onRecord(offset, record));         // every record of this partition, from the stream's beginning, in order
//   decide(partition.onReadToEnd());                    // when a read left nothing
//   Answer answer = partition.begin(key, digest);       // a caller's request
//   decide(partition.finished(key, result));            // after a Run
//
// Why two owners never both run a key. Claims stand in another stream, so a claim's place says nothing about an intent's place. A
// new owner therefore appends an Open record with its epoch to the calls stream and serves only after it read that record back:
// the fence. An intent whose epoch is lower than the newest fence before it is void, for every reader. So
//   - an intent of an old owner that lands behind the fence never runs, also when its writer wakes: the writer reads it back as void;
//   - an intent that stands before the fence may have been run by its writer, or may be run when the writer wakes. The new owner
//     has read it before its own fence, and never runs that key: a repeat gets the result if one stands, else `unknown`;
//   - the writer needs no check after it read its intent back as valid: however late it runs, nobody else will.
// The window in which a key is remembered is the log's retention. After it the same key runs again: callers must not repeat a
// key later than that. NotRun speaks of one attempt: a later attempt under the same key may run.
// A result longer than what is recorded, or pushed out of memory, is told as "ran" without its body.
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
struct IdempotencyKey {
    CustomerId customer;
    std::string key;

    friend auto operator<=>(const IdempotencyKey &, const IdempotencyKey &) = default;
    friend bool operator==(const IdempotencyKey &, const IdempotencyKey &) = default;
};

/// The partition of a key; `partitions` is settings.ownership.callPartitions, alike on every daemon.
[[nodiscard]] int partitionOf(const IdempotencyKey &key, int partitions);
/// Tells two requests under one key apart. Not for secrets.
[[nodiscard]] std::uint64_t requestDigest(std::string_view method, std::string_view target, std::string_view body);

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
    IdempotencyKey key;       // Intent, Result
    std::uint64_t digest = 0; // Intent, Result: of the request
    std::string intentId;     // Result: the intent's id
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
struct Conflict { };       // 409: the key was used with another request
struct OutcomeUnknown { }; // the key was begun and its result is lost: `unknown`, never run again
struct Refused {
    core::Error why; // not_run, with retryAfter
};
using BeginResult = std::variant<AppendIntent, Replay, AlreadyRunning, Conflict, OutcomeUnknown, Refused>;

// What later events lead to.
struct Append {
    CallRecord record; // an Open, a Result, or an intent tried again
};
struct Run {
    IdempotencyKey key; // call the service now, once; then finished()
};
struct NotRun {
    IdempotencyKey key; // tell the waiting caller `not_run`
    core::Error why;
};
using Action = std::variant<Append, Run, NotRun>;

class CallPartition
{
public:
    struct Self {
        HostId host;
        Incarnation incarnation;
    };

    CallPartition(int partition, Self self);

    // Ownership.
    [[nodiscard]] std::vector<Action> beginOwnership(Epoch epoch); // this daemon owns the partition under `epoch`
    void endOwnership();                                           // handed over or lost: begins nothing more; what was begun goes on to its end
    [[nodiscard]] bool isServing() const;                          // own fence read back, not superseded, log up
    [[nodiscard]] bool isIdle() const;                             // nothing begun that has not ended, no result unwritten; then a handover is drained

    // Requests.
    [[nodiscard]] BeginResult begin(const IdempotencyKey &key, std::uint64_t digest); // a key is 1 to 255 visible ASCII characters
    [[nodiscard]] std::vector<Action> abandon(const IdempotencyKey &key); // the caller's time is over; NotRun if the call was not begun, else nothing
    [[nodiscard]] std::vector<Action> finished(const IdempotencyKey &key, CallResult result); // after a Run, always; outcome NotRun frees the key

    // The log.
    [[nodiscard]] std::vector<Action> onRecord(Offset offset, const CallRecord &record); // in order; of other partitions: passed over
    [[nodiscard]] std::vector<Action> onCaughtUp();                                      // a read that left nothing; appends of unknown end are tried again
    void onAppended(const std::string &id);                                              // taken; counts once it is read back
    [[nodiscard]] std::vector<Action> onAppendRefused(const std::string &id);            // certainly not taken: 429 or 503
    void onAppendUnknown(const std::string &id);                                         // no answer
    [[nodiscard]] std::vector<Action> onLogDown();    // a read or append failed; waiting callers are told, and new keys refused until onReadToEnd()
    void trim(Offset first);                          // the log keeps nothing below it
    [[nodiscard]] std::vector<Action> refreshFence(); // call it before half of the retention passed: an owner that slept longer must find our fence

    [[nodiscard]] std::size_t keyCount() const { return entries_.size(); }
    [[nodiscard]] std::size_t approximateBytes() const;

    static constexpr std::size_t maxKeyLength = 255;
    static constexpr std::size_t maxRetainedBodyBytes = 1024 * 1024; // bodies of results in memory, for one partition; the oldest go first
    static constexpr int requiredFullReads = 2;                      // the first may have been in flight before the answer was lost
    static constexpr Milliseconds runningRetryAfter{1'000};
    static constexpr Milliseconds logDownRetryAfter{5'000};
    static constexpr Milliseconds notServingRetryAfter{1'000};

private:
    enum class Phase : std::uint8_t {
        Free,       // nothing stands, or what stood was certainly not run
        Appending,  // free in the stream; our intent is not read back yet
        Running,    // our intent stands, we run it
        Unresolved, // a valid intent of somebody stands, and no result
        Completed,  // the result is known
    };
    struct Entry {
        Phase phase = Phase::Free;
        bool abandoned = false; // Appending, Begun: our intent that will not be run
        std::uint64_t digest = 0;
        std::string intentId;       // record id
        std::string notRunIntentId; // of an intent that was not run; a second copy of it means nothing
        Offset newestOffset;        // newest record of this key; zero: none
        CallResult result;
    };
    struct PendingAppend {
        CallRecord record;
        int inFlight = 1;         // appends without an answer
        bool maybeStored = false; // an answer was lost, or it was taken
        bool needsRetry = false;
        int fullReads = 0; // to the end of the stream since then
    };
    using Actions = std::vector<Action>;

    [[nodiscard]] std::string nextRecordId();
    [[nodiscard]] BeginResult resultForKnownKey(Entry &entry, std::uint64_t digest);
    [[nodiscard]] Refused refusal(const std::string &reason, Milliseconds retryAfter) const;
    void onOpen(const CallRecord &record, Actions &out);
    void onIntent(Offset offset, const CallRecord &record, Actions &out);
    void onResult(Offset offset, const CallRecord &record);
    void onOwnIntent(const IdempotencyKey &key, Entry &entry, Actions &out);
    void voidIntent(const CallRecord &record, const std::string &reason, Actions &out);
    void reportNotRun(const IdempotencyKey &key, Entry &entry, const std::string &reason, Actions &out);
    void append(CallRecord record, Actions &out);
    void appendResult(const IdempotencyKey &key, const Entry &entry, Actions &out);
    void updateOffset(const IdempotencyKey &key, Entry &entry, Offset offset);
    void storeResult(const IdempotencyKey &key, Entry &entry, CallResult result);
    void dropBody(Entry &entry);

    int partition_;
    Self self_;
    Epoch epoch_; // ours; zero: not the owner
    Epoch fence_; // newest Open read
    bool logDown_ = false;
    std::uint64_t nextId_ = 1;
    std::map<IdempotencyKey, Entry> entries_;
    std::map<Offset, IdempotencyKey> keysByOffset_;                 // by Entry::at
    std::unordered_map<std::string, PendingAppend> pendingAppends_; // our records that were not read back, by id
    std::deque<IdempotencyKey> keysWithBody_;                       // keys with a body, oldest first; may name keys that have none any more
    std::size_t retainedBodyBytes_ = 0;
    std::size_t runningCount_ = 0;
};

} // namespace baobabstall::calls
