// serving/unreadablerecords.h: which records that can't be read are logged. Decides only; no I/O.
//
//   UnreadableRecords unreadable;
//   if (unreadable.isNew("upstreams", record.key, record.value, now)) { log the record with unreadable.takeLeftOut(); }
//
// A record that stays in the store is read again with each listing, and another writer may write one after the other: each record is logged
// once, as long as it is among the last `maxKnown`, and at most `maxLines` in `interval`. The rest is counted.
#pragma once

#include <cstdint>
#include <deque>
#include <string_view>

#include <core/types.h>

namespace baobabstall::serving {

class UnreadableRecords
{
public:
    static constexpr std::size_t maxKnown = 256;
    static constexpr int maxLines = 20;
    static constexpr core::Milliseconds interval{10'000};

    /// Whether the record is to be logged now.
    [[nodiscard]] bool isNew(std::string_view topic, std::string_view key, std::string_view value, core::Instant now);
    /// Records that were not logged, as there were too many, since the last call.
    [[nodiscard]] std::uint64_t takeLeftOut();

private:
    std::deque<std::uint64_t> known_; // hashes, oldest first
    core::Instant intervalStart_;
    int lines_ = 0; // since then
    std::uint64_t leftOut_ = 0;
};

} // namespace baobabstall::serving
