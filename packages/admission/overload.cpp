#include <admission/overload.h>

#include <algorithm>

namespace baobabstall::admission {

namespace {

constexpr double placesShare = 0.5; // of the drain promised to returning callers; the rest is for those who come meanwhile

} // namespace

OverloadGate::OverloadGate(const settings::Admission &options, Milliseconds typicalService)
    : options_(options)
    , drain_(options.engineConcurrency, typicalService)
{ }

std::optional<Milliseconds> OverloadGate::admit(const core::PlanId &plan, const Prospect &prospect, Instant now, core::Error &why)
{
    const Milliseconds wait = expectedWait(prospect, now);
    if (wait > options_.maxQueueWait) {
        why = refusal(plan, "the wait for this engine would be too long", wait - options_.maxQueueWait, prospect.standing.part, now);
        return std::nullopt;
    }
    if (prospect.startBy && now + wait > *prospect.startBy) {
        why = refusal(plan, "it would start after its deadline", now + wait - *prospect.startBy, prospect.standing.part, now);
        return std::nullopt;
    }
    return wait;
}

core::Error OverloadGate::refusalOfDisplaced(const core::PlanId &plan, const Prospect &prospect, Instant now)
{
    const Milliseconds halfDrained = expectedWait(prospect, now) / 2;
    core::Error why = refusal(plan, "the engine's queue is full and the plan is over its share of it", halfDrained, prospect.standing.part, now);
    why.refusal = core::Refusal::TooMany;
    return why;
}

Milliseconds OverloadGate::expectedWait(const Prospect &prospect, Instant now) const
{
    const double turns = static_cast<double>(prospect.standing.own) + 1;
    const Milliseconds queueWait = prospect.freePlace ? Milliseconds(0) : drain_.timeFor(turns / prospect.standing.part, now);
    return std::max(queueWait, prospect.loadWait);
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
