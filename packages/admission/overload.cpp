#include <admission/overload.h>

#include <algorithm>

namespace baobabstall::admission {

namespace {

constexpr double placesShare = 0.5; // of the drain promised to returning callers; the rest is for those who come meanwhile

} // namespace

AdmissionController::AdmissionController(const settings::Admission &options, Milliseconds typicalService)
    : options_(options)
    , drainRate_(options.engineConcurrency, typicalService)
{ }

std::optional<Milliseconds> AdmissionController::admit(const core::PlanId &plan, const AdmissionContext &prospect, Instant now, core::Error &why)
{
    const Milliseconds wait = expectedWait(prospect, now);
    if (wait > options_.maxQueueWait) {
        why = refusalError(plan, "the wait for this engine would be too long", wait - options_.maxQueueWait, prospect.position.serviceFraction, now);
        return std::nullopt;
    }
    if (prospect.startBy && now + wait > *prospect.startBy) {
        why = refusalError(plan, "it would start after its deadline", now + wait - *prospect.startBy, prospect.position.serviceFraction, now);
        return std::nullopt;
    }
    return wait;
}

core::Error AdmissionController::displacementError(const core::PlanId &plan, const AdmissionContext &prospect, Instant now)
{
    const Milliseconds halfDrained = expectedWait(prospect, now) / 2;
    core::Error why
        = refusalError(plan, "the engine's queue is full and the plan is over its share of it", halfDrained, prospect.position.serviceFraction, now);
    why.refusal = core::Refusal::TooMany;
    return why;
}

Milliseconds AdmissionController::expectedWait(const AdmissionContext &prospect, Instant now) const
{
    const double turns = static_cast<double>(prospect.position.planWaiting) + 1;
    const Milliseconds queueWait = prospect.hasFreeSlot ? Milliseconds(0) : drainRate_.timeToDrain(turns / prospect.position.serviceFraction, now);
    return std::max(queueWait, prospect.loadWait);
}

core::Error AdmissionController::refusalError(const core::PlanId &plan, const char *reason, Milliseconds untilRoom, double partOfService, Instant now)
{
    const double placesPerSecond = placesShare * partOfService * drainRate_.perSecond(now);
    return core::Error{.step = core::Step::Admit,
                       .peer = {},
                       .reason = reason,
                       .refusal = core::Refusal::Unavailable,
                       .outcome = core::Outcome::NotRun,
                       .retryAfter = retrySchedulers_[plan].nextRetryAfter(now, untilRoom, placesPerSecond)};
}

} // namespace baobabstall::admission
