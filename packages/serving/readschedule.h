// serving/readschedule.h: when a host reads a topic of the store that one host usually reads for all. No I/O.
//
//   ReadSchedule schedule({.wait = Milliseconds(2'000), .pause = Milliseconds(2'100)});
//   schedule.setTurn(groups.failoverDelay(ownHost, topic), groups.longestFailoverDelay(), groups.slowestLinkMbps());
//   schedule.onRead(now, PageExtent::Whole); // an own read or listing succeeded
//   schedule.onPage(readAt);             // a page of another host was applied; that host's read began then
//   schedule.onReadFailed(now, isKnown);
//   schedule.onAppended(now);            // another host has read records that it does not pass on: this host reads them soon
//   if (now >= schedule.nextRead()) { schedule.onReadBegun(now); ... }
//
// A topic with a bound (FollowOptions::bound) sets the times by itself: two reads, the transfer of a page, the longest turn of any host and
// an own read fit into it. The host whose turn is 0 reads continuously and shares its pages. Any other host reads when the newest read that it knows of began
// longer than `pause` plus its turn ago. Times count from the start of a read: what was appended before is in its page, however late the page comes.
#pragma once

#include <algorithm>
#include <optional>

#include <core/types.h>

namespace baobabstall::serving {

using core::Instant;
using core::Milliseconds;

struct FollowOptions {
    Milliseconds wait{0};  // how long the store may hold a read open until a record arrives; 0: it answers immediately
    Milliseconds pause{0}; // from the start of one read to that of the next
    Milliseconds standbyRetry{
        600};                   // longest time between failed reads of a host that does not read first: the first one shares its page when the store is back
    Milliseconds retryBound{0}; // longest time from the start of a failed read to the next one, turn included; 0: none
    Milliseconds bound{0};      // from an append until every host has the record; above 0 it sets `wait` and `pause` by the longest turn of any host
    Milliseconds gather{200};   // pause after a page with records, so that concurrent appends of many hosts arrive in one page rather than one by one
};

/// What an answer of the store has of the records that the topic had from the offset asked for.
enum class PageExtent : std::uint8_t {
    Empty, // there are none
    Whole,
    Cut, // the rest exceeds the size of an answer; it is read at once
};

/// Whether the newest record of each key brings a host to the end of a topic sooner than what it still has to read.
[[nodiscard]] constexpr bool isListingSooner(std::size_t bytesLeft, std::size_t listingBytes)
{
    constexpr std::size_t listingFactor = 2; // a listing is encoded as text, and parsed
    return bytesLeft > listingFactor * listingBytes;
}

class ReadSchedule
{
public:
    explicit ReadSchedule(FollowOptions options);

    // Events.
    void onReadBegun(Instant now);
    void onRead(Instant now, PageExtent extent, std::size_t bytes = 0);
    void onReadFailed(Instant now, bool isKnown); // `isKnown`: the topic has been listed, so only new records are missing
    void onExpired() { isReadRequested_ = true; } // the records to read are gone; the topic must be listed
    void onPage(Instant readAt) { readAt_ = std::max(readAt_, readAt); }
    void requestRead() { isReadRequested_ = true; }
    /// Records are known to wait in the topic. Hosts that hear of them at the same moment read a part of their turn apart.
    void onAppended(Instant now)
    {
        const auto readAt = now + readDelay_ / catchUpDivisor;
        catchUpAt_ = std::min(catchUpAt_.value_or(readAt), readAt);
    }
    void onCaughtUp() { catchUpAt_.reset(); } // this host has the records that onAppended() told of

    /// `readDelay`: 0: this host reads first. `longestTurn`: the longest such delay of any host. `slowestLinkMbps`: of any host; 0: not known.
    void setTurn(Milliseconds readDelay, Milliseconds longestTurn, double slowestLinkMbps = 0);
    /// The host has just started: no other host tells it of records yet. `spread`: the longest `readDelay` of hosts that start together.
    void setFirstTurn(Milliseconds readDelay, Milliseconds spread, double linkMbps);
    void setGather(Milliseconds delay) { options_.gather = delay; }
    void setUrgent(bool isUrgent) { isUrgent_ = isUrgent; } // reads don't wait for new records, because the caller needs to reach the end of the topic

    /// When the next read is due; changes with every event.
    [[nodiscard]] Instant nextRead() const;
    [[nodiscard]] Instant readAt() const { return readAt_; }   // start of the newest successful read, of this host or of one whose page it applied
    [[nodiscard]] Instant begunAt() const { return begunAt_; } // last own read, successful or not
    /// For the next read. After a failure the answer alone matters, and a call that the store does not answer ends sooner.
    [[nodiscard]] Milliseconds wait() const { return isUrgent_ || isRetrying() ? Milliseconds(0) : options_.wait; }
    [[nodiscard]] Milliseconds pause() const { return options_.pause; }
    [[nodiscard]] bool isUrgent() const { return isUrgent_; }

    static constexpr Milliseconds minRetryDelay{150};     // after the first failed read
    static constexpr Milliseconds maxRetryDelay{600};     // limits how late the return of the store is detected
    static constexpr Milliseconds urgentReadInterval{20}; // between reads in urgent mode
    static constexpr std::int64_t catchUpDivisor = 4;
    static constexpr std::size_t maxPageBytes = 1024 * 1024; // of an answer of the store

private:
    [[nodiscard]] bool isRetrying() const { return consecutiveFailures_ > 0 && readAt_ <= readAtOfFailure_; }
    [[nodiscard]] Milliseconds retryDelay() const;
    [[nodiscard]] Instant nextRetry() const;
    void applyBound();

    FollowOptions options_;
    Milliseconds readDelay_{0};
    Milliseconds longestTurn_{0};
    double slowestLinkMbps_ = 0;
    std::size_t bytesInARow_ = 0;                    // of pages since the last one that was not cut
    std::size_t largestBacklogBytes_ = maxPageBytes; // that one host had to read at a time
    Instant readAt_;
    Instant begunAt_;         // last own read
    Instant endedAt_;         // the same, successful or not
    Instant readAtOfFailure_; // readAt_ when the last read failed; a later page ends the retries
    int consecutiveFailures_ = 0;
    bool isKnown_ = false;             // see onReadFailed()
    std::optional<Instant> catchUpAt_; // see onAppended()
    PageExtent lastExtent_ = PageExtent::Empty;
    bool isReadRequested_ = true;
    bool isUrgent_ = false;
};

} // namespace baobabstall::serving
