// serving/sendroom.h: bounds the requests that are at a brittle upstream at one time, over all hosts, at the host that owns it. No I/O.
//
//   SendRoom room(ownedSince);                          // one for each owned upstream
//   room.setBounds({.slots = 8, .maxRefusals = 3, .reported = 5}, now); // before the calls below, whenever something of it may have changed
//   const auto id = room.request(tokens, holdUntil, now); // waits for its place, first come, first served
//   for (const auto started : room.start(now)) ...      // these may be sent now
//   room.onRefused(now);                                // any host's request was refused for want of room, with a permit or without
//   room.end(id, now);                                  // the request has ended, or waits no longer
//   room.lose(id);                                      // its host can't be reached; its place is kept until `holdUntil`
//
// Nothing waits at the upstream: no more requests are there than run at once. Requests without a permit, which hosts sent before they knew or
// with the permit of an earlier owner, are what the reported load exceeds the permits by. A refusal shows that less runs than the slots say:
// the bound goes down to what ran then, and up again step by step. While refusals of the last second count, no more requests are
// sent that may be refused as well than the upstream takes without falling over.
#pragma once

#include <algorithm>
#include <deque>
#include <map>
#include <optional>
#include <vector>

#include <serving/model.h>

namespace baobabstall::serving {

using SendHoldId = core::Ordinal<struct SendHoldTag>;

class SendRoom
{
public:
    struct Bounds {
        int slots = 1;               // requests that the upstream runs at once
        double memoryTokens = 0;     // that running requests hold together; 0: not known
        double maxRefusals = 0;      // in one second
        std::optional<int> reported; // requests of all hosts at the upstream, as they reported; nothing: not known
    };

    static constexpr Milliseconds refusalWindow{1'200}; // the upstream's second, and the time in which hosts report a refusal
    static constexpr Milliseconds answerTime{300};      // a refusal has been reported by then, or the request was taken
    static constexpr Milliseconds leastReportAge{150};  // of reported load
    static constexpr Milliseconds reportAge{600};       // the same, at most, while hosts report regularly
    static constexpr Milliseconds settleTime{500};      // of a new owner: then load reports of all hosts have come
    static constexpr Milliseconds raiseInterval{1'000}; // before a bound that refusals lowered is raised by a step

    explicit SendRoom(Instant ownedSince)
        : ownedSince_(ownedSince)
    { }

    void setBounds(const Bounds &bounds, Instant now);
    SendHoldId request(double tokens, Instant holdUntil, Instant now);
    /// The requests that got their place, in the order of their requests.
    [[nodiscard]] std::vector<SendHoldId> start(Instant now);
    [[nodiscard]] bool isStarted(SendHoldId id) const;
    void end(SendHoldId id, Instant now);
    void lose(SendHoldId id);
    void onRefused(Instant now);
    /// Until one more request would get its place.
    [[nodiscard]] Milliseconds expectedWait() const;
    [[nodiscard]] int held() const { return held_; }

private:
    struct Hold {
        double tokens = 0;
        Instant until;
        std::optional<Instant> startedAt;
        bool isLost = false;
    };

    [[nodiscard]] int capacity() const { return std::min(bounds_.slots, loweredTo_.value_or(bounds_.slots)); }
    [[nodiscard]] bool mayStart(const Hold &hold, Instant now) const;
    void expire(Instant now);
    void release(const Hold &hold, Instant now);
    void notePeak(Instant now);
    [[nodiscard]] int unpermitted(Instant now) const; // requests at the upstream without a permit

    Instant ownedSince_;
    Bounds bounds_;
    std::map<SendHoldId, Hold> holds_; // waiting and started
    SendHoldId last_;
    int held_ = 0; // started
    double heldTokens_ = 0;
    std::deque<std::pair<Instant, int>> peaks_; // held_ since that moment, within reportAge
    std::deque<Instant> refusals_;              // within refusalWindow
    std::optional<int> loweredTo_;              // by refusals
    Instant raisedAt_;
    double meanHoldMs_ = 0;
};

} // namespace baobabstall::serving
