#include <admission/overload.h>

#include <algorithm>

namespace baobabstall::admission {

namespace {

constexpr double placesShare = 0.5; // of the drain promised to returning callers; the rest is for those who come meanwhile

} // namespace

OverloadGate::OverloadGate(const settings::Admission &options)
    : options_(options)
    , drain_(options.engineConcurrency)
{ }

std::optional<Milliseconds> OverloadGate::admit(const core::PlanId &plan, const Prospect &prospect, Instant now, core::Error &why)
{
    const Milliseconds wait = std::max(queueWait(prospect, now), prospect.loadWait);
    const Instant expectedEnd = now + wait + drain_.service();
    if (wait > options_.maxQueueWait) {
        why = refusal(plan, "the wait for this engine would be too long", wait - options_.maxQueueWait, prospect.partOfService, now);
        return std::nullopt;
    }
    if (prospect.deadline && expectedEnd > *prospect.deadline) {
        why = refusal(plan, "the answer would come after the request's deadline", expectedEnd - *prospect.deadline, prospect.partOfService, now);
        if (wait == Milliseconds(0)) {
            why.retryAfter.reset(); // no wait to be shorter later: the deadline itself is too near
        }
        return std::nullopt;
    }
    return wait;
}

core::Error OverloadGate::refusalOfDisplaced(const core::PlanId &plan, const Prospect &prospect, Instant now)
{
    const Milliseconds halfDrained = queueWait(prospect, now) / 2;
    core::Error why = refusal(plan, "the engine's queue is full and the plan is over its share of it", halfDrained, prospect.partOfService, now);
    why.refusal = core::Refusal::TooMany;
    return why;
}

Milliseconds OverloadGate::queueWait(const Prospect &prospect, Instant now) const
{
    const double turns = static_cast<double>(prospect.queued) + 1;
    return prospect.freeSlot ? Milliseconds(0) : drain_.timeFor(turns / prospect.partOfService, now);
}

core::Error OverloadGate::refusal(const core::PlanId &plan, const char *reason, Milliseconds untilRoom, double partOfService, Instant now)
{
    const double placesPerSecond = placesShare * partOfService * drain_.perSecond(now);
    return core::Error{.step = core::Step::Admit,
                       .peer = {},
                       .reason = reason,
                       .refusal = core::Refusal::Unavailable,
                       .outcome = core::Outcome::NotRun,
                       .retryAfter = lines_[plan].place(now, untilRoom, placesPerSecond)};
}

} // namespace baobabstall::admission
