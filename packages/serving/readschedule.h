// serving/readschedule.h: when a host reads a topic of the store that one host usually reads for all. No I/O.
//
//   ReadSchedule schedule({.wait = Milliseconds(2'000), .pause = Milliseconds(2'100)});
//   schedule.setTurn(groups.failoverDelay(ownHost, topic));
//   schedule.onRead(now, hasRecords);    // an own read or listing succeeded
//   schedule.onPage(now);                // a page of another host was applied
//   schedule.onReadFailed(now, isKnown);
//   if (now >= schedule.nextRead()) { schedule.onReadBegun(); ... }
//
// The host whose turn is 0 reads continuously and shares its pages. Any other host reads when it has got no page for `pause` plus its turn.
#pragma once

#include <core/types.h>

namespace baobabstall::serving {

using core::Instant;
using core::Milliseconds;

struct FollowOptions {
    Milliseconds wait{0};  // how long the store may hold a read open until a record arrives; 0: it answers immediately
    Milliseconds pause{0}; // between reads
    Milliseconds standbyRetry{
        600};                   // longest time between failed reads of a host that does not read first: the first one shares its page when the store is back
    Milliseconds retryBound{0}; // longest time from the begin of a failed read to the next one, turn included; 0: none
    Milliseconds gather{200};   // pause after a page with records, so that concurrent appends of many hosts arrive in one page rather than one by one
};

/// For a topic whose records must have reached every host `bound` after they were appended.
[[nodiscard]] FollowOptions optionsWithin(Milliseconds bound);

class ReadSchedule
{
public:
    explicit ReadSchedule(FollowOptions options)
        : options_(options)
    { }

    // Events.
    void onReadBegun(Instant now);
    void onRead(Instant now, bool hasRecords);
    void onReadFailed(Instant now, bool isKnown); // `isKnown`: the topic has been listed, so only new records are missing
    void onExpired() { isReadRequested_ = true; } // the records to read are gone; the topic must be listed
    void onPage(Instant now) { readAt_ = now; }
    void requestRead() { isReadRequested_ = true; }

    void setTurn(Milliseconds readDelay) { readDelay_ = readDelay; } // 0: this host reads first
    void setGather(Milliseconds delay) { options_.gather = delay; }
    void setUrgent(bool isUrgent) { isUrgent_ = isUrgent; } // reads don't wait for new records, because the caller needs to reach the end of the topic

    /// When the next read is due; changes with every event.
    [[nodiscard]] Instant nextRead() const;
    [[nodiscard]] Instant readAt() const { return readAt_; } // last successful read, including pages from other hosts
    /// For the next read. After a failure the answer alone matters, and a call that the store does not answer ends sooner.
    [[nodiscard]] Milliseconds wait() const { return isUrgent_ || isRetrying() ? Milliseconds(0) : options_.wait; }
    [[nodiscard]] Milliseconds pause() const { return options_.pause; }
    [[nodiscard]] bool isUrgent() const { return isUrgent_; }

    static constexpr Milliseconds minRetryDelay{150};     // after the first failed read
    static constexpr Milliseconds maxRetryDelay{600};     // limits how late the return of the store is detected
    static constexpr Milliseconds urgentReadInterval{20}; // between reads in urgent mode

private:
    [[nodiscard]] bool isRetrying() const { return consecutiveFailures_ > 0 && readAt_ <= readAtOfFailure_; }
    [[nodiscard]] Milliseconds retryDelay() const;
    [[nodiscard]] Instant nextRetry() const;

    FollowOptions options_;
    Milliseconds readDelay_{0};
    Instant readAt_;
    Instant begunAt_;         // last own read
    Instant endedAt_;         // the same, successful or not
    Instant readAtOfFailure_; // readAt_ when the last read failed; a later page ends the retries
    int consecutiveFailures_ = 0;
    bool isKnown_ = false; // see onReadFailed()
    bool isLastPageEmpty_ = true;
    bool isReadRequested_ = true;
    bool isUrgent_ = false;
};

} // namespace baobabstall::serving
