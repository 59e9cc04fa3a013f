// serving/replicabook.h: table of the known upstreams, built from the store's replica records. No I/O.
//
//   book.assign(records, now);   // replaces the table with a full listing
//   book.apply(record);          // applies a new or updated record
//   book.remove(id, now);        // the record was deleted or can't be parsed
//   book.markLeaving(id, start); // an answer of this run of the upstream said that it is leaving
//   book.noteStore(false, now);  // the store is unreachable; noteStore(true, now) once it is reachable again
//   for (const auto &id : book.usable(service)) ...
//
// Leaving is final for one run of a replica: a "ready" record that follows a "leaving" record of the same run is outdated.
// Records expire by themselves during an outage of the store and reappear within lapseGrace of its return. An upstream whose
// record is deleted during this time stays usable until the grace period ends.
#pragma once

#include <map>
#include <optional>
#include <vector>

#include <serving/model.h>

namespace baobabstall::serving {

enum class BookChange : std::uint8_t { None, Came, Restarted, Leaving, Gone, Back };

class ReplicaBook
{
public:
    static constexpr Milliseconds lapseAfter{
        2'000}; // without a page, after which the store counts as down; records expire after 3 heartbeats of 1.2 s, the first sent before the outage
    static constexpr Milliseconds lapseGrace{2'300}; // by the platform's rules, expired records reappear about 2 s after the store returns

    BookChange apply(const ReplicaRecord &record);
    BookChange remove(const UpstreamId &id, Instant now);
    /// The upstream itself said that it is leaving. Ignored when the book knows a later run than the one that said so.
    BookChange markLeaving(const UpstreamId &id, ReplicaStartTime startTime);
    /// Applies a full listing; upstreams missing from it are removed. Returns the ids that changed.
    std::vector<std::pair<UpstreamId, BookChange>> assign(const std::vector<ReplicaRecord> &records, Instant now);
    /// The store came back as an earlier copy; the next full listing is that copy. Upstreams missing from it get the grace period, in which
    /// they write their records again, and its records of removed upstreams name runs that may have ended: only a new record brings them back.
    void beginEra(Instant now);
    /// `readAt`: time of the last page, including pages read by other hosts. If the store is unreachable from this host only, no
    /// records expire, so this doesn't count as an outage.
    void noteStore(bool isReached, Instant now, Instant readAt = Instant());
    /// Removes the upstreams whose grace period has ended and returns their ids. Call periodically.
    std::vector<UpstreamId> expire(Instant now);

    [[nodiscard]] const ReplicaRecord *find(const UpstreamId &id) const;
    /// Whether new requests may be sent to it.
    [[nodiscard]] bool isUsable(const UpstreamId &id) const;
    [[nodiscard]] std::vector<UpstreamId> usable(const ServiceName &service) const;
    [[nodiscard]] std::vector<UpstreamId> all() const;
    [[nodiscard]] int holders(const BaseModel &model) const; // usable upstreams whose record lists the model
    [[nodiscard]] std::size_t size() const { return entries_.size(); }
    [[nodiscard]] std::uint64_t version() const { return version_; } // incremented when the result of usable() may change

private:
    struct Entry {
        ReplicaRecord record;
        std::optional<Instant> graceEnd; // set when the record was deleted during or just after a store outage
    };

    std::map<UpstreamId, Entry> entries_;
    struct RemovedRun {
        ReplicaStartTime startTime;
        bool wasLeaving = false;
    };

    std::map<UpstreamId, RemovedRun> removedRuns_; // the last known run of each removed upstream
    bool isCopyListed_ = false;                    // the next listing is an earlier copy of the store
    bool isStoreReached_ = true;
    std::optional<Instant> storeReachableSince_;
    std::uint64_t version_ = 0;
};

} // namespace baobabstall::serving
