#include <admission/overload.h>

#include <algorithm>

namespace baobabstall::admission {

namespace {

constexpr double retryFraction = 0.5; // fraction of the drain rate offered to refused callers for retries; the rest is left for new requests

} // namespace

AdmissionController::AdmissionController(const settings::Admission &options, Milliseconds typicalService)
    : options_(options)
    , drainRate_(options.engineConcurrency, typicalService)
{ }

std::optional<Milliseconds> AdmissionController::admit(const core::PlanId &plan, const AdmissionContext &context, Instant now, core::Error &why)
{
    const Milliseconds wait = expectedWait(context, now);
    if (wait > options_.maxQueueWait) {
        why = refusalError(plan, "the wait for this engine would be too long", wait - options_.maxQueueWait, context.position.serviceFraction, now);
        return std::nullopt;
    }
    if (context.startBy && now + wait > *context.startBy) {
        why = refusalError(plan, "it would start after its deadline", now + wait - *context.startBy, context.position.serviceFraction, now);
        return std::nullopt;
    }
    return wait;
}

core::Error AdmissionController::displacementError(const core::PlanId &plan, const AdmissionContext &context, Instant now)
{
    const Milliseconds halfDrained = expectedWait(context, now) / 2;
    core::Error why = refusalError(plan, "the engine's queue is full and the plan is over its share of it", halfDrained, context.position.serviceFraction, now);
    why.refusal = core::Refusal::TooMany;
    return why;
}

Milliseconds AdmissionController::expectedWait(const AdmissionContext &context, Instant now) const
{
    const double items = static_cast<double>(context.position.planWaiting) + 1;
    const Milliseconds queueWait = context.hasFreeSlot ? Milliseconds(0) : drainRate_.timeToDrain(items / context.position.serviceFraction, now);
    return std::max(queueWait, context.loadWait);
}

core::Error AdmissionController::refusalError(const core::PlanId &plan, const char *reason, Milliseconds untilCapacity, double serviceFraction, Instant now)
{
    const double retriesPerSecond = retryFraction * serviceFraction * drainRate_.perSecond(now);
    return core::Error{.step = core::Step::Admit,
                       .peer = {},
                       .reason = reason,
                       .refusal = core::Refusal::Unavailable,
                       .outcome = core::Outcome::NotRun,
                       .retryAfter = retrySchedulers_[plan].nextRetryAfter(now, untilCapacity, retriesPerSecond)};
}

} // namespace baobabstall::admission
