// lists/lists.h: determines which version of the operators' two lists is in force, and what it permits a customer. No I/O.
//
// Index
//   Verdict          result of applying one record of the stream `lists`
//   InForce          the version of one list that is in force on this host
//   Grant            what a customer may use
//   ListsState       replicated state machine: apply records in offset order; query it for each request
//
// All readers evaluate records by the same rule: a change is accepted if it is valid and based on the version of its list that is in
// force; the offset of the accepted record (of its last part) becomes the new version. If two operators edit the same version, the
// record with the lower offset wins, and all readers reject the other. A change depends on its own list only, so a customer may have
// a plan that the plans list lacks; its requests are refused until both lists match.
//
// The log retains records for a limited time. Before they expire, a reader appends a snapshot of the version in force. A reader that
// missed records evaluates no change until a snapshot or a peer's export closes the gap. Until then it serves the version that it has
// and buffers the changes that it reads. A version never decreases, whatever is applied.
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

/// Result of applying one record.
struct Verdict {
    enum class Kind : std::uint8_t {
        Accepted, // a change; in force from now on
        Rejected, // a change or snapshot without effect; see reason
        Pending,  // part of a group that is not complete yet
        Snapshot, // completes a snapshot: the version in force is unchanged, or a gap is closed
        Unjudged, // a change read within a gap; evaluated when a snapshot closes the gap
        Repeated, // its offset was read before; no effect
    };

    Kind kind = Kind::Rejected;
    std::string reason;           // Rejected: one line
    std::optional<ListName> list; // none if the record could not be parsed
    std::string group;            // the change or snapshot that it belongs to
    std::string publisher;        // who published it
    core::Offset version;         // of the list on this host after this record
};

[[nodiscard]] std::string_view verdictText(Verdict::Kind kind); // "accepted", "rejected", ...

/// The version of one list that is in force on this host.
struct InForce {
    bool isUpToDate = false;  // false: records were missed, a newer version may exist
    core::Offset version;     // 0: nothing was published yet
    std::uint64_t digest = 0; // of the content; equal on all hosts with this version
    std::int64_t sinceMs = 0; // civil time at which the log accepted the change
    std::string publisher;
    std::size_t entryCount = 0;
    bool diverged = false; // another reader's snapshot of this version has other content: report it and restart this daemon
};

/// What a customer may use for its request.
struct Grant {
    core::PlanId plan;
    double share = 1;          // of the capacity, relative to other plans
    int maxInFlight = 1;       // concurrent requests of this customer on one daemon
    core::BaseModel baseModel; // empty for a plain service
};

/// The state of both lists as read from the stream `lists`. Movable, not copyable.
class ListsState
{
public:
    ListsState();
    ~ListsState();
    ListsState(ListsState &&) noexcept;
    ListsState &operator=(ListsState &&) noexcept;

    // ---- Applying records ----

    /// Applies one record of the stream; offset and time are those of the log. An offset above the next expected one opens a gap.
    Verdict apply(core::Offset offset, std::int64_t timeMs, std::string_view record);
    /// `first` is the oldest record that the log still has; unread records before it are lost. No effect if none was missed.
    void skipTo(core::Offset first);
    /// All records of the log were applied. If the log is empty, this makes the empty lists up to date.
    void onCaughtUp();
    /// The last offset read; reading continues at the next one.
    [[nodiscard]] core::Offset position() const;

    // ---- Version in force ----

    [[nodiscard]] InForce inForce(ListName list) const;
    /// Whether a version of both lists is available, up to date or from before a gap. Without them a daemon is not ready.
    [[nodiscard]] bool isReady() const;
    [[nodiscard]] const Customers &customers() const;
    [[nodiscard]] const Plans &plans() const;
    [[nodiscard]] ListDocument document(ListName list) const; // a copy

    // ---- Per request ----

    /// The customer that holds the key. Digests are compared in constant time. Step Identify, refusal Unauthorized.
    [[nodiscard]] std::optional<core::CustomerId> findCustomer(const KeyDigest &key, core::Error &why) const;
    /// Whether `caller` may use this version of the adapter. Refusals: Forbidden (another customer's, whether it exists or not),
    /// NotFound (no such adapter, or the version is not listed), Unavailable (the customer's plan is missing) and Unauthorized (the
    /// customer is not in its list). Step Lists.
    [[nodiscard]] std::optional<Grant> grant(const core::CustomerId &caller, const core::AdapterRef &ref, core::Error &why) const;
    /// As grant(), for a plain service.
    [[nodiscard]] std::optional<Grant> grantService(const core::CustomerId &caller, const core::ServiceName &service, core::Error &why) const;
    /// All adapters and versions that the customer may name, sorted.
    [[nodiscard]] std::vector<core::AdapterRef> modelsOf(const core::CustomerId &customer) const;

    // ---- Records to append ----

    /// The records that publish a patch of `list` (see patchBetween()) edited from version `basedOn`. `group` must be unique.
    [[nodiscard]] static std::optional<std::vector<OutgoingRecord>>
    changeRecords(ListName list, core::Offset basedOn, std::string_view patch, const std::string &publisher, const std::string &group, core::Error &why);
    /// Whether a snapshot must be appended: half of `retention` has passed since the last one. `rank` is this host's position among
    /// the live hosts, from 0. Higher ranks wait longer, so that one host appends a snapshot and the others see it and append none.
    [[nodiscard]] bool isSnapshotDue(ListName list, std::int64_t nowMs, core::Milliseconds retention, int rank) const;
    /// The records of a snapshot of the version in force. None within a gap or while parts of a change may still arrive.
    [[nodiscard]] std::optional<std::vector<OutgoingRecord>>
    snapshotRecords(ListName list, std::int64_t nowMs, const std::string &group, core::Error &why) const;

    /// The records that restore `document` as version `asOf` in a log that has lost the version in force. Only for use when no reader
    /// has that version.
    [[nodiscard]] static std::optional<std::vector<OutgoingRecord>> restoreRecords(const ListDocument &document,
                                                                                   core::Offset asOf,
                                                                                   std::int64_t nowMs,
                                                                                   const std::string &publisher,
                                                                                   const std::string &group,
                                                                                   core::Error &why);

    // ---- Exchange between peers during an outage of the log ----

    /// Both lists as JSON text. None within a gap or while parts of a change may still arrive.
    [[nodiscard]] std::optional<std::string> exportSnapshot(std::int64_t nowMs) const;
    /// Installs a peer's export if it is newer or closes a gap; false if it was not used. An invalid export changes nothing.
    bool importSnapshot(std::string_view text, core::Error &why);

private:
    struct State;
    std::unique_ptr<State> state_;
};

} // namespace baobabstall::lists
