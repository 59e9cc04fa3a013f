// calls/calls.h: at-most-once execution of service calls per idempotency key, based on records in the log stream `calls-REGION`. No I/O.
//
// Index
//   IdempotencyKey, partitionOf(), requestDigest()   what identifies a call, and its partition
//   CallRecord                                       Open, Intent or Result; JSON
//   CallResult                                       how a run ended
//   BeginResult                                      immediate result of begin()
//   Action                                           what later events require
//   CallPartition                                    state of one partition at its owner
//
//   CallPartition partition(number, writer);
//   execute(partition.beginOwnership(epoch));            // after reading the stream, when the claims stream names this daemon as owner: appends the fence
//   execute(partition.onRecord(offset, record));         // every record of this partition, from the beginning of the stream, in order
//   execute(partition.onCaughtUp());                     // when a read returned the last record of the stream
//   BeginResult result = partition.begin(key, digest);   // request of a caller
//   execute(partition.finished(key, result));            // after a Run
//
// Why two owners never both run a key: claims are in another stream, so the offset of a claim can't be compared with that of an intent.
// A new owner therefore appends an Open record with its epoch to the calls stream, the fence, and serves only after it has read that
// record back. An intent with an epoch lower than that of the newest fence before it is void for every reader. So
//   - an intent of an old owner that is appended after the fence never runs, even if its writer resumes later: it reads it back as void;
//   - an intent before the fence may have been run by its writer, or may still run when the writer resumes. The new owner has read it
//     before its own fence and never runs that key: a repeated call gets the recorded result if there is one, otherwise `unknown`;
//   - the writer needs no further check once it has read its intent back as valid: however late it runs, no other owner will.
// A key is remembered for the retention time of the log. After that the same key runs again: callers must not repeat a key later
// than that. NotRun refers to one attempt: a later attempt with the same key may run.
// A result that is too long to be recorded, or was evicted from memory, is reported as `ran` without its body.
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

/// The Idempotency-Key of a customer's request. Keys of different customers are independent, even if their text is equal.
struct IdempotencyKey {
    CustomerId customer;
    std::string key;

    friend auto operator<=>(const IdempotencyKey &, const IdempotencyKey &) = default;
    friend bool operator==(const IdempotencyKey &, const IdempotencyKey &) = default;
};

/// The partition of a key; `partitions` is settings.ownership.callPartitions and must be equal on all daemons.
[[nodiscard]] int partitionOf(const IdempotencyKey &key, int partitions);
/// Detects different requests under the same key. Not a cryptographic hash.
[[nodiscard]] std::uint64_t requestDigest(std::string_view method, std::string_view target, std::string_view body);

/// How a run ended.
struct CallResult {
    core::Outcome outcome = core::Outcome::Ran; // NotRun: certainly not run, the key is free again; Unknown: must never be run again
    int status = 0;                             // HTTP status of the service's response; 0 if there is none
    std::string contentType;
    std::string body;     // empty when not kept
    bool bodyKept = true; // false: the response was longer than settings.services.maxRecordedBytes, or was evicted from memory

    friend bool operator==(const CallResult &, const CallResult &) = default;
};

enum class RecordKind : std::uint8_t {
    Open,   // fence: the owner of `epoch` serves from here on; later intents with lower epochs are void
    Intent, // the owner is about to run the key
    Result, // how the intent with id `intentId` ended
};

/// One record of the stream `calls-REGION`.
struct CallRecord {
    RecordKind kind = RecordKind::Open;
    std::string id; // unique; unchanged when an append is retried
    int partition = 0;
    Epoch epoch;              // of the writer
    IdempotencyKey key;       // Intent, Result
    std::uint64_t digest = 0; // Intent, Result: of the request
    std::string intentId;     // Result: record id of the intent
    CallResult result;        // Result

    friend bool operator==(const CallRecord &, const CallRecord &) = default;
};

[[nodiscard]] std::string toJson(const CallRecord &record);
/// Returns nothing, and sets an Error of step Record, for text that toJson() can't have written. Never throws.
[[nodiscard]] std::optional<CallRecord> recordFromJson(std::string_view text, core::Error &why);

// Immediate results of begin().
struct AppendIntent {
    CallRecord record; // append it, then wait for Run or NotRun with this key
};
struct Replay {
    CallResult result; // of the first run; with bodyKept false: `ran`, without the body
};
struct AlreadyRunning {
    Milliseconds retryAfter; // 409: the first request with this key has not finished
};
struct Conflict { };       // 409: the key was used for a different request
struct OutcomeUnknown { }; // the call was started and its result is lost: `unknown`, never run again
struct Refused {
    core::Error why; // not_run, with retryAfter
};
using BeginResult = std::variant<AppendIntent, Replay, AlreadyRunning, Conflict, OutcomeUnknown, Refused>;

// What later events require.
struct Append {
    CallRecord record; // an Open, a Result, or a retried Intent
};
struct Run {
    IdempotencyKey key; // call the service now, exactly once; then call finished()
};
struct NotRun {
    IdempotencyKey key; // report `not_run` to the waiting caller
    core::Error why;
};
using Action = std::variant<Append, Run, NotRun>;

class CallPartition
{
public:
    struct WriterId {
        HostId host;
        Incarnation incarnation;
    };

    CallPartition(int partition, WriterId writer);

    // Ownership.
    [[nodiscard]] std::vector<Action> beginOwnership(Epoch epoch); // this daemon owns the partition under `epoch`
    void endOwnership();                                           // handed over or lost: starts no more calls; started ones run to completion
    [[nodiscard]] bool isServing() const;                          // own fence was read back, not superseded, and the log is up
    [[nodiscard]] bool isIdle() const;                             // no call in progress and no result left to write: a handover is drained

    // Requests.
    [[nodiscard]] BeginResult begin(const IdempotencyKey &key, std::uint64_t digest); // a key is 1 to 255 visible ASCII characters
    [[nodiscard]] std::vector<Action> abandon(const IdempotencyKey &key); // the caller timed out; NotRun if the call was not started, otherwise nothing
    [[nodiscard]] std::vector<Action> finished(const IdempotencyKey &key, CallResult result); // required after each Run; outcome NotRun frees the key

    // The log.
    [[nodiscard]] std::vector<Action> onRecord(Offset offset, const CallRecord &record); // in order; records of other partitions are ignored
    [[nodiscard]] std::vector<Action> onCaughtUp();                           // a read reached the end of the stream; retries appends with unknown outcome
    void onAppended(const std::string &id);                                   // accepted; takes effect once it is read back
    [[nodiscard]] std::vector<Action> onAppendRefused(const std::string &id); // certainly not stored: 429 or 503
    void onAppendUnknown(const std::string &id);                              // no reply
    [[nodiscard]] std::vector<Action> onLogDown();    // a read or append failed; waiting callers are notified, and new keys refused until onCaughtUp()
    void trim(Offset first);                          // oldest offset that the log retains
    [[nodiscard]] std::vector<Action> refreshFence(); // call at least every half retention time, so that an owner suspended for longer still reads our fence

    [[nodiscard]] std::size_t keyCount() const { return entries_.size(); }
    [[nodiscard]] std::size_t approximateBytes() const;

    static constexpr std::size_t maxKeyLength = 255;
    static constexpr std::size_t maxRetainedBodyBytes = 1024 * 1024; // memory for result bodies of one partition; the oldest are dropped first
    static constexpr int requiredFullReads = 2;                      // the first read may have been in flight before the reply was lost
    static constexpr Milliseconds runningRetryAfter{1'000};
    static constexpr Milliseconds logDownRetryAfter{5'000};
    static constexpr Milliseconds notServingRetryAfter{1'000};

private:
    enum class Phase : std::uint8_t {
        Free,       // no intent, or one that certainly was not run
        Appending,  // no intent in the stream; ours is not read back yet
        Running,    // our intent is valid, we run it
        Unresolved, // there is a valid intent of some owner, but no result
        Completed,  // the result is known
    };
    struct Entry {
        Phase phase = Phase::Free;
        bool abandoned = false; // Appending, Unresolved: our intent will not be run
        std::uint64_t digest = 0;
        std::string intentId;       // record id
        std::string notRunIntentId; // record id of an intent that was not run; duplicates of it are ignored
        Offset newestOffset;        // newest record of this key; zero: none
        CallResult result;
    };
    struct PendingAppend {
        CallRecord record;
        int inFlight = 1;         // appends without a reply
        bool maybeStored = false; // accepted, or the reply was lost
        bool needsRetry = false;
        int fullReads = 0; // reads to the end of the stream since the last failure
    };
    using Actions = std::vector<Action>;

    [[nodiscard]] std::string nextRecordId();
    [[nodiscard]] BeginResult resultForKnownKey(Entry &entry, std::uint64_t digest);
    [[nodiscard]] Refused refusal(const std::string &reason, Milliseconds retryAfter) const;
    void onOpen(const CallRecord &record, Actions &actions);
    void onIntent(Offset offset, const CallRecord &record, Actions &actions);
    void onResult(Offset offset, const CallRecord &record);
    void onOwnIntent(const IdempotencyKey &key, Entry &entry, Actions &actions);
    void voidIntent(const CallRecord &record, const std::string &reason, Actions &actions);
    void reportNotRun(const IdempotencyKey &key, Entry &entry, const std::string &reason, Actions &actions);
    void append(CallRecord record, Actions &actions);
    void appendResult(const IdempotencyKey &key, const Entry &entry, Actions &actions);
    void updateOffset(const IdempotencyKey &key, Entry &entry, Offset offset);
    void storeResult(const IdempotencyKey &key, Entry &entry, CallResult result);
    void dropBody(Entry &entry);

    int partition_;
    WriterId writer_;
    Epoch epoch_; // our epoch; zero: not the owner
    Epoch fence_; // newest fence that was read
    bool logDown_ = false;
    std::uint64_t nextId_ = 1;
    std::map<IdempotencyKey, Entry> entries_;
    std::map<Offset, IdempotencyKey> keysByOffset_;                 // by Entry::newestOffset
    std::unordered_map<std::string, PendingAppend> pendingAppends_; // our records that are not read back yet, by id
    std::deque<IdempotencyKey> keysWithBody_;                       // keys with a stored body, oldest first; may include keys whose body was dropped
    std::size_t retainedBodyBytes_ = 0;
    std::size_t runningCount_ = 0;
};

} // namespace baobabstall::calls
