// lists/lists.h: which version of the operators' two lists is in force, and what it allows a customer. No I/O.
//
// Index
//   Verdict          what became of one record of the stream `lists`
//   InForce          the version of one list that is in force here
//   Grant            what a customer may use
//   ListsState       feed it records in the order of their offsets; ask it on a request's way
//
// The rule by which every reader judges alike: a change is accepted when it is valid and based on the version in force of its list;
// the offset of the accepted record (of its last part) is the new version. Two operators who edit the same version race: the record
// with the lower offset wins, the other is rejected everywhere. A change depends on its own list only, so a customer may hold a plan
// that the plans list lacks: its requests are refused until both lists agree.
//
// The log keeps records for a limited time. Before they expire, some reader appends a snapshot of the version in force. A reader that
// missed records judges no change until a snapshot (or a peer's export) closes the gap: until then it serves what it has, and keeps what
// it reads meanwhile. A version never goes down, whatever is fed.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <core/error.h>
#include <core/types.h>
#include <lists/documents.h>
#include <lists/records.h>

namespace baobabstall::lists {

/// What became of one record.
struct Verdict {
    enum class Kind : std::uint8_t {
        Accepted, // a change; in force from now on
        Rejected, // a change or snapshot that counts for nothing; see reason
        Pending,  // a part of a group whose last part has not come
        Snapshot, // a snapshot, complete; what is in force stays as it is, or a gap is closed
        Unjudged, // a change read within a gap; judged when a snapshot closes the gap
        Repeated, // its offset had been read before; nothing was done
    };

    Kind kind = Kind::Rejected;
    std::string reason;           // Rejected: one line
    std::optional<ListName> list; // none when the record could not be read
    std::string group;            // the publish it belongs to
    std::string publisher;        // who published it
    core::Offset version;         // of the list in force here after this record
};

[[nodiscard]] std::string_view verdictText(Verdict::Kind kind); // "accepted", "rejected", ...

/// The version of one list that is in force here.
struct InForce {
    bool isUpToDate = false;  // false: records were missed, and a newer version may exist
    core::Offset version;     // 0: nothing published yet
    std::uint64_t digest = 0; // of the content; the same on every host with this version
    std::int64_t sinceMs = 0; // civil time at which the log took the change
    std::string publisher;
    std::size_t entryCount = 0;
    bool diverged = false; // a snapshot of this version by another reader had other content: report it, then restart this daemon
};

/// What a customer may use of what it asked for.
struct Grant {
    core::PlanId plan;
    double share = 1;          // of the capacity, relative to other plans
    int maxInFlight = 1;       // requests at once of this customer on one daemon
    core::BaseModel baseModel; // empty for a plain service
};

/// The two lists as read from the stream `lists`. Movable, not copyable.
class ListsState
{
public:
    ListsState();
    ~ListsState();
    ListsState(ListsState &&) noexcept;
    ListsState &operator=(ListsState &&) noexcept;

    // ---- Feeding it ----

    /// One record of the stream, with its offset and the time the log gave it. An offset over the next one expected is a gap.
    Verdict apply(core::Offset offset, std::int64_t timeMs, std::string_view record);
    /// The oldest record that the log still keeps is `first`: what lies between is lost. Nothing happens when none was missed.
    void skipTo(core::Offset first);
    /// All that the log has was applied. From an empty log this is what makes the empty lists known.
    void onCaughtUp();
    /// The last offset read. Read on from the next one.
    [[nodiscard]] core::Offset position() const;

    // ---- What is in force ----

    [[nodiscard]] InForce inForce(ListName list) const;
    /// Whether both lists are held, known or at least as they were before a gap. A daemon without them is not ready.
    [[nodiscard]] bool isReady() const;
    [[nodiscard]] const Customers &customers() const;
    [[nodiscard]] const Plans &plans() const;
    [[nodiscard]] ListDocument document(ListName list) const; // a copy

    // ---- On a request's way ----

    /// Whose key this is. The last comparison takes the same time for every key. Step Identify, refusal Unauthorized.
    [[nodiscard]] std::optional<core::CustomerId> findCustomer(const KeyDigest &key, core::Error &why) const;
    /// Whether `caller` may use this adapter in this version. Refused as Forbidden (another customer's, whether it exists or not),
    /// NotFound (no such adapter, or the version is not listed) or Unavailable (the customer's plan is missing). Step Lists.
    [[nodiscard]] std::optional<Grant> grant(const core::CustomerId &caller, const core::AdapterRef &ref, core::Error &why) const;
    /// The same for a plain service.
    [[nodiscard]] std::optional<Grant> grantService(const core::CustomerId &caller, const core::ServiceName &service, core::Error &why) const;
    /// Every adapter and version the customer may name, sorted.
    [[nodiscard]] std::vector<core::AdapterRef> modelsOf(const core::CustomerId &customer) const;

    // ---- Writing the log ----

    /// The records that publish a patch of `list` (as by patchBetween()) edited from version `basedOn`. `group` must be unique.
    [[nodiscard]] static std::optional<std::vector<OutgoingRecord>>
    changeRecords(ListName list, core::Offset basedOn, std::string_view patch, const std::string &by, const std::string &group, core::Error &why);
    /// Whether a snapshot must be appended: half of `retention` has passed since the last one. `rank` is this host's place among the
    /// live ones (0 first): later ranks wait a little longer, so one host writes and the others see its snapshot and don't.
    [[nodiscard]] bool isSnapshotDue(ListName list, std::int64_t nowMs, core::Milliseconds retention, int rank) const;
    /// The records of a snapshot of the version in force. Nothing within a gap, or while parts of a change may still come.
    [[nodiscard]] std::optional<std::vector<OutgoingRecord>>
    snapshotRecords(ListName list, std::int64_t nowMs, const std::string &group, core::Error &why) const;

    /// The records that put `document` into a log that has lost what was in force, as version `asOf`. Only for when no reader knows it.
    [[nodiscard]] static std::optional<std::vector<OutgoingRecord>>
    restoreRecords(const ListDocument &document, core::Offset asOf, std::int64_t nowMs, const std::string &by, const std::string &group, core::Error &why);

    // ---- From peer to peer, while the log is out ----

    /// Both lists as JSON text. Nothing within a gap, or while parts of a change may still come.
    [[nodiscard]] std::optional<std::string> exportSnapshot(std::int64_t nowMs) const;
    /// Takes a peer's export when it is newer or closes a gap; false when it was of no use. A bad one changes nothing.
    bool importSnapshot(std::string_view text, core::Error &why);

private:
    struct State;
    std::unique_ptr<State> state_;
};

} // namespace baobabstall::lists
