// admission/overload.h: early refusal at an engine's owner, before a request waits for what it can't get in time.
//
//   OverloadGate gate(settings.admission, typicalService);
//   auto wait = gate.admit(plan, {.standing = queue.standing(plan, share, canRun), .startBy = deadline}, now, why); // before queue.push()
//   if (!wait) { refuse(why); return; } // 503 with Retry-After, decided here and final
//   gate.onQueue(now, waitsForPlace); // when something begins or ceases to wait for a place in the batch
//   gate.onFinish(now, took); // after each request that ran
//
// A request is refused when the wait to expect is longer than maxQueueWait, or would pass the time by which it has to start:
// work that nobody waits for any more costs those behind it. The wait to expect is counted in fair order, so the
// queue of a flooding plan does not count against others. Retry-After is the time until the queue has drained far enough, at the
// measured rate, with callers of one plan put in line one after the other.
//
// Limits. The estimate takes requests of one engine as alike; a long answer among short ones is waited for unforeseen. The
// wait for an adapter's load runs beside the wait in the queue: the longer of the two counts.
#pragma once

#include <map>
#include <optional>

#include <admission/fairqueue.h>
#include <admission/rates.h>
#include <core/error.h>
#include <settings/settings.h>

namespace baobabstall::admission {

/// What a newcomer has to wait for.
struct AdmissionContext {
    QueuePosition position;         // FairQueue::standing() among the items that wait for a place only
    bool hasFreeSlot = false;       // the engine could begin at once
    Milliseconds loadWait{0};       // until its adapter is expected to be resident
    std::optional<Instant> startBy; // none: only maxQueueWait counts
};

/// One for each owned engine. Not thread-safe.
class AdmissionController
{
public:
    AdmissionController(const settings::Admission &options, Milliseconds typicalService); // of one request, until measured

    /// The wait to expect, or why the request is refused: step Admit, Unavailable, NotRun, Retry-After.
    [[nodiscard]] std::optional<Milliseconds> admit(const core::PlanId &plan, const AdmissionContext &prospect, Instant now, core::Error &why);
    /// The refusal of an item that a full queue handed back (Pushed::refused): step Admit, TooMany, NotRun, Retry-After.
    [[nodiscard]] core::Error displacementError(const core::PlanId &plan, const AdmissionContext &prospect, Instant now);

    [[nodiscard]] Milliseconds expectedWait(const AdmissionContext &prospect, Instant now) const;

    void setBacklogged(Instant now, bool waitsForPlace) { drainRate_.setBacklogged(now, waitsForPlace); }
    void onFinish(Instant now, Milliseconds took) { drainRate_.onFinish(now, took); }
    [[nodiscard]] const DrainRate &drainRate() const { return drainRate_; }

private:
    [[nodiscard]] core::Error refusalError(const core::PlanId &plan, const char *reason, Milliseconds untilRoom, double partOfService, Instant now);

    settings::Admission options_;
    DrainRate drainRate_;
    std::map<core::PlanId, RetryScheduler> retrySchedulers_; // of plans that were refused; as many as there are plans
};

} // namespace baobabstall::admission
