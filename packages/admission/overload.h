// admission/overload.h: early refusal at an engine's owner, before a request waits for what it can't get in time.
//
//   OverloadGate gate(settings.admission);
//   Prospect prospect {.queued = queue.size(plan), .partOfService = queue.partOfService(plan, share), .deadline = deadline};
//   auto wait = gate.admit(plan, prospect, now, why); // before queue.push()
//   if (!wait) { refuse(why); return; } // 503 with Retry-After, decided here and final
//   gate.onQueue(now, queue.size()); // after each push, pop and remove
//   gate.onFinish(now, took); // after each request that ran
//
// A request is refused when the wait to expect is longer than maxQueueWait, or when wait and typical service would pass its
// deadline: work that nobody waits for any more costs those behind it. The wait to expect is counted in fair order, so the
// queue of a flooding plan does not count against others. Retry-After is the time until the queue has drained far enough, at the
// measured rate, with callers of one plan put in line one after the other.
//
// Limits. The estimate takes requests of one engine as alike; a long answer among short ones is waited for unforeseen. The
// wait for an adapter's load runs beside the wait in the queue: the longer of the two counts.
#pragma once

#include <map>
#include <optional>

#include <admission/rates.h>
#include <core/error.h>
#include <settings/settings.h>

namespace baobabstall::admission {

/// What a newcomer has to wait for.
struct Prospect {
    std::size_t queued = 0;          // waiting items of its plan: FairQueue::size(plan)
    double partOfService = 1;        // FairQueue::partOfService() of its plan
    bool freeSlot = false;           // the engine has room to begin at once
    Milliseconds loadWait{0};        // until its adapter is expected to be resident
    std::optional<Instant> deadline; // none: only maxQueueWait counts
};

/// One for each owned engine. Not thread-safe.
class OverloadGate
{
public:
    explicit OverloadGate(const settings::Admission &options);

    /// The wait to expect, or why the request is refused: step Admit, Unavailable, NotRun, Retry-After.
    [[nodiscard]] std::optional<Milliseconds> admit(const core::PlanId &plan, const Prospect &prospect, Instant now, core::Error &why);
    /// The refusal of an item that a full queue handed back (Pushed::refused): step Admit, TooMany, NotRun, Retry-After.
    [[nodiscard]] core::Error refusalOfDisplaced(const core::PlanId &plan, const Prospect &prospect, Instant now);

    /// Whether a waiting item can no longer be answered in time, even if it began now; give it its refusal at once.
    [[nodiscard]] bool isHopeless(Instant deadline, Instant now) const { return now + drain_.service() > deadline; }

    void onQueue(Instant now, std::size_t queued) { drain_.setBacklogged(now, queued > 0); }
    void onFinish(Instant now, Milliseconds took) { drain_.onFinish(now, took); }
    [[nodiscard]] const DrainRate &drain() const { return drain_; }

private:
    [[nodiscard]] Milliseconds queueWait(const Prospect &prospect, Instant now) const;
    [[nodiscard]] core::Error refusal(const core::PlanId &plan, const char *reason, Milliseconds untilRoom, double partOfService, Instant now);

    settings::Admission options_;
    DrainRate drain_;
    std::map<core::PlanId, ReturnLine> lines_; // of plans that were refused; as many as there are plans
};

} // namespace baobabstall::admission
