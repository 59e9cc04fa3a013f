// admission/overload.h: admission control at an engine's owner: refuses a request early that could not start in time.
//
// Index
//   AdmissionContext       what a new request would wait for
//   AdmissionController    admit(), then setBacklogged() and onFinish()
//
//   AdmissionController controller(settings.admission, typicalService);
//   auto wait = controller.admit(plan, {.position = queue.position(plan, share, canRun), .startBy = deadline}, now, why); // before queue.push()
//   if (!wait) { refuse(why); return; } // 503 with Retry-After; final
//   controller.setBacklogged(now, waitsForSlot); // when requests start or stop waiting for a slot in the batch
//   controller.onFinish(now, took); // after each request that ran
//
// A request is refused when its expected wait exceeds maxQueueWait or ends after the latest time at which it may start: running a
// request that nobody waits for any more delays those behind it. The expected wait follows the fair order, so the queue of a
// flooding plan does not count against other plans. Retry-After is the time until the queue has drained far enough at the
// measured rate; refused callers of one plan get successive times.
//
// Limits. The estimate assumes that requests of one engine take equally long; a long answer among short ones causes a longer wait
// than estimated. An adapter loads while its request is queued, so the longer of the two waits counts.
#pragma once

#include <map>
#include <optional>

#include <admission/fairqueue.h>
#include <admission/rates.h>
#include <core/error.h>
#include <settings/settings.h>

namespace baobabstall::admission {

/// What a new request would wait for.
struct AdmissionContext {
    QueuePosition position;         // FairQueue::position() among the items that wait for a slot only
    bool hasFreeSlot = false;       // the engine could start the request at once
    Milliseconds loadWait{0};       // expected time until its adapter is resident
    std::optional<Instant> startBy; // latest start; none: only maxQueueWait applies
};

/// One per owned engine. Not thread-safe.
class AdmissionController
{
public:
    AdmissionController(const settings::Admission &options, Milliseconds typicalService); // service time assumed for a request until measured

    /// The expected wait; nullopt when the request is refused, with `why`: step Admit, Unavailable, NotRun, Retry-After.
    [[nodiscard]] std::optional<Milliseconds> admit(const core::PlanId &plan, const AdmissionContext &context, Instant now, core::Error &why);
    /// The error for an item that a full queue refused (PushResult::refused): step Admit, TooMany, NotRun, Retry-After.
    [[nodiscard]] core::Error displacementError(const core::PlanId &plan, const AdmissionContext &context, Instant now);

    [[nodiscard]] Milliseconds expectedWait(const AdmissionContext &context, Instant now) const;

    void setBacklogged(Instant now, bool backlogged) { drainRate_.setBacklogged(now, backlogged); }
    void onFinish(Instant now, Milliseconds took) { drainRate_.onFinish(now, took); }
    [[nodiscard]] const DrainRate &drainRate() const { return drainRate_; }

private:
    [[nodiscard]] core::Error refusalError(const core::PlanId &plan, const char *reason, Milliseconds untilCapacity, double serviceFraction, Instant now);

    settings::Admission options_;
    DrainRate drainRate_;
    std::map<core::PlanId, RetryScheduler> retrySchedulers_; // of plans with refused requests; at most one per plan
};

} // namespace baobabstall::admission
