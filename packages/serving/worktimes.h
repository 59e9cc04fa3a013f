// serving/worktimes.h: how long a plain service works on a request, and when its replicas are crowded, as this host sees it. No I/O.
//
//   WorkTimes work;                                  // one for each plain service
//   work.add(took);                                  // from a send to the end of its answer
//   work.onFull(now);                                // a replica had no room
//   work.noteLoad(running, places, now);             // over all usable replicas and all hosts, as reported
//   if (work.isScarce(now)) ...                      // requests need a place that the replica's owner gives (scarceroom.h)
//   if (fill >= work.maxFill(objective, now)) ...    // without an owner: one more would be late
//
// The work time is a low quartile of recent answers: most of those above it waited at the replica. Until enough are known it is an assumed one.
#pragma once

#include <array>
#include <cstddef>
#include <optional>

#include <core/types.h>

namespace baobabstall::serving {

using core::Instant;
using core::Milliseconds;

class WorkTimes
{
public:
    static constexpr Milliseconds assumed{60};
    static constexpr std::size_t minAnswers = 8;       // before the work time is learnt
    static constexpr std::size_t keptAnswers = 32;     // the latest
    static constexpr double minFill = 2;               // requests per slot that are always sent: load reports are old
    static constexpr double scarceShare = 0.75;        // of the places, from which on a service is crowded
    static constexpr Milliseconds scarceMemory{2'000}; // a service counts as crowded for so long after it was; several load reports
    static constexpr Milliseconds fullMemory{2'000};   // after a replica had no room, for so long no more is sent than by the assumed work time

    void add(Milliseconds took);
    void onFull(Instant now) { fullAt_ = scarceAt_ = now; }
    void noteLoad(int running, int places, Instant now);

    /// The same as isScarce(), kept for isNotedScarce().
    bool noteScarce(Instant now) { return isNotedScarce_ = isScarce(now); }
    [[nodiscard]] bool isNotedScarce() const { return isNotedScarce_; }

    [[nodiscard]] Milliseconds expected() const;
    [[nodiscard]] bool isLearnt() const { return count_ >= minAnswers; }
    [[nodiscard]] bool isScarce(Instant now) const { return scarceAt_ && now - *scarceAt_ < scarceMemory; }
    /// Requests per slot at a replica, of which the last is still on time.
    [[nodiscard]] double maxFill(Milliseconds objective, Instant now) const;

private:
    std::array<Milliseconds, keptAnswers> answers_;
    std::size_t next_ = 0;
    std::size_t count_ = 0;
    std::optional<Instant> scarceAt_;
    std::optional<Instant> fullAt_;
    bool isNotedScarce_ = false;
};

} // namespace baobabstall::serving
