// serving/replicabook.h: which upstreams there are, as the store's records say. No I/O.
//
//   book.assign(records, now);   // a whole listing
//   book.apply(record, now);     // one more record of an upstream
//   book.remove(id, now);        // its record was dropped, or can't be read
//   book.noteStore(false, now);  // the store can't be reached; noteStore(true, now) when it can again
//   for (const auto &id : book.usable(service)) ...
//
// Leaving is final for one run of a replica: a record that says "ready" again after "leaving" is an old one.
// Records lapse by themselves while the store is away and come back within lapseGrace of its return; one that was dropped in
// that time stays usable until the grace has passed.
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
    static constexpr Milliseconds lapseAfter{2'000}; // without a page; records lapse after three heartbeats of 1.2 s, the first of them before the outage
    static constexpr Milliseconds lapseGrace{2'300}; // lapsed records return about 2 s after the store does (platform's rule)

    BookChange apply(const ReplicaRecord &record);
    BookChange remove(const UpstreamId &id, Instant now);
    /// What the listing lacks is removed. Returns the ids that changed.
    std::vector<std::pair<UpstreamId, BookChange>> assign(const std::vector<ReplicaRecord> &records, Instant now);
    /// `readAt`: the last page, also one that another host read. A store that turns only this host away lets no records lapse.
    void noteStore(bool isReached, Instant now, Instant readAt = Instant());
    /// Drops records whose grace has passed; their ids. Call now and then.
    std::vector<UpstreamId> expire(Instant now);

    [[nodiscard]] const ReplicaRecord *find(const UpstreamId &id) const;
    /// May be sent new work.
    [[nodiscard]] bool isUsable(const UpstreamId &id) const;
    [[nodiscard]] std::vector<UpstreamId> usable(const ServiceName &service) const;
    [[nodiscard]] std::vector<UpstreamId> all() const;
    [[nodiscard]] int holders(const BaseModel &model) const; // usable ones whose record names the model
    [[nodiscard]] std::size_t size() const { return entries_.size(); }
    [[nodiscard]] std::uint64_t version() const { return version_; } // rises when usable() may differ

private:
    struct Entry {
        ReplicaRecord record;
        std::optional<Instant> lapsedUntil; // dropped around an outage of the store
    };

    std::map<UpstreamId, Entry> entries_;
    std::map<UpstreamId, ReplicaStartTime> left_; // runs that are leaving or gone: an older record brings none of them back
    bool isStoreReached_ = true;
    std::optional<Instant> storeBackAt_;
    std::uint64_t version_ = 0;
};

} // namespace baobabstall::serving
