#include <admission/overload.h>

#include <algorithm>

namespace baobabstall::admission {

OverloadGate::OverloadGate(const settings::Admission &options)
    : options_(options)
    , drain_(options.engineConcurrency)
{ }

std::optional<Milliseconds> OverloadGate::admit(const core::PlanId &plan, const Prospect &prospect, Instant now, core::Error &why)
{
    const Milliseconds queueWait = prospect.freeSlot ? Milliseconds(0) : drain_.timeFor(prospect.itemsAhead + 1, now);
    const Milliseconds wait = std::max(queueWait, prospect.loadWait);
    const Instant expectedEnd = now + wait + drain_.service();
    if (wait > options_.maxQueueWait) {
        why = refusal(plan, "the wait for this engine would be too long", wait - options_.maxQueueWait, now);
        return std::nullopt;
    }
    if (prospect.deadline && expectedEnd > *prospect.deadline) {
        why = refusal(plan, "the answer would come after the request's deadline", expectedEnd - *prospect.deadline, now);
        if (wait == Milliseconds(0)) {
            why.retryAfter.reset(); // no wait to be shorter later: the deadline itself is too near
        }
        return std::nullopt;
    }
    return wait;
}

core::Error OverloadGate::refusalOfDisplaced(const core::PlanId &plan, std::size_t queued, Instant now)
{
    const Milliseconds halfDrained = drain_.timeFor(static_cast<double>(queued) / 2, now);
    core::Error why = refusal(plan, "the engine's queue is full and the plan is over its share of it", halfDrained, now);
    why.refusal = core::Refusal::TooMany;
    return why;
}

core::Error OverloadGate::refusal(const core::PlanId &plan, const char *reason, Milliseconds untilRoom, Instant now)
{
    return core::Error{.step = core::Step::Admit,
                       .peer = {},
                       .reason = reason,
                       .refusal = core::Refusal::Unavailable,
                       .outcome = core::Outcome::NotRun,
                       .retryAfter = lines_[plan].place(now, untilRoom, drain_.perSecond(now))};
}

} // namespace baobabstall::admission
