#include <admission/planlimiter.h>

#include <algorithm>

namespace baobabstall::admission {

namespace {

constexpr double wakingReserve = 1.0 / 16; // part of maxInFlight that no plan may take beyond its share

bool refuse(core::Refusal refusal, const char *reason, core::Error &why)
{
    why = core::Error{.step = core::Step::Limit, .peer = {}, .reason = reason, .refusal = refusal};
    return false;
}

} // namespace

PlanLimiter::PlanLimiter(const settings::Admission &options)
    : options_(options)
{ }

void PlanLimiter::setPlans(const std::map<core::PlanId, PlanLimit> &plans)
{
    for (auto &[id, plan] : plans_) {
        plan.listed = false;
    }
    sharesTotal_ = 0;
    for (const auto &[id, limit] : plans) {
        Plan &plan = plans_[id];
        plan.limit = limit;
        plan.listed = true;
        sharesTotal_ += limit.share;
    }
    std::erase_if(plans_, [](const auto &each) { return !each.second.listed && each.second.inFlight == 0; });
}

std::optional<PlanSlot> PlanLimiter::acquire(const core::PlanId &id, const core::CustomerId &customer, Instant now, core::Error &why)
{
    const auto found = plans_.find(id);
    if (found == plans_.end() || !found->second.listed) {
        refuse(core::Refusal::Forbidden, "the plan is not in the list in force", why);
        return std::nullopt;
    }
    Plan &plan = found->second;
    if (!hasRoom(plan, customer, now, why)) {
        plan.peak.raiseTo(now, plan.inFlight + 1);
        why.retryAfter = retryAfter(plan, now);
        return std::nullopt;
    }
    return letIn(id, plan, customer, now);
}

bool PlanLimiter::hasRoom(const Plan &plan, const core::CustomerId &customer, Instant now, core::Error &why) const
{
    if (plan.limit.maxInFlight > 0 && inFlight(customer) >= plan.limit.maxInFlight) {
        return refuse(core::Refusal::TooMany, "the customer has as many requests at once as its plan allows", why);
    }
    if (total_ >= options_.maxInFlight) {
        return refuse(core::Refusal::Unavailable, "this host has as many requests at once as it takes", why);
    }
    if (plan.inFlight + 1 <= guaranteed(plan)) {
        return true;
    }
    if (plan.inFlight + 1 > longestBurst(plan)) {
        return refuse(core::Refusal::TooMany, "the plan is over its share of this host", why);
    }
    if (total_ + 1 + reservedForOthers(plan, now) > options_.maxInFlight) {
        return refuse(core::Refusal::TooMany, "the plan is over its share while other plans use theirs", why);
    }
    return true;
}

PlanSlot PlanLimiter::letIn(const core::PlanId &id, Plan &plan, const core::CustomerId &customer, Instant now)
{
    ++plan.inFlight;
    ++customers_[customer];
    ++total_;
    plan.peak.raiseTo(now, plan.inFlight);
    plan.drain.setBacklogged(now, true);
    return PlanSlot{id, customer, now};
}

void PlanLimiter::release(const PlanSlot &slot, Instant now)
{
    const auto found = plans_.find(slot.plan);
    if (found == plans_.end() || found->second.inFlight == 0) {
        return;
    }
    Plan &plan = found->second;
    --plan.inFlight;
    --total_;
    forget(slot.customer);
    plan.drain.onFinish(now, now - slot.since);
    plan.drain.setBacklogged(now, plan.inFlight > 0);
    if (!plan.listed && plan.inFlight == 0) {
        plans_.erase(found);
    }
}

void PlanLimiter::forget(const core::CustomerId &customer)
{
    const auto found = customers_.find(customer);
    if (found != customers_.end() && --found->second == 0) {
        customers_.erase(found);
    }
}

int PlanLimiter::inFlight(const core::CustomerId &customer) const
{
    const auto found = customers_.find(customer);
    return found == customers_.end() ? 0 : found->second;
}

int PlanLimiter::inFlight(const core::PlanId &plan) const
{
    const auto found = plans_.find(plan);
    return found == plans_.end() ? 0 : found->second.inFlight;
}

double PlanLimiter::guaranteed(const core::PlanId &plan) const
{
    const auto found = plans_.find(plan);
    return found == plans_.end() ? 0 : guaranteed(found->second);
}

double PlanLimiter::longestBurst(const core::PlanId &plan) const
{
    const auto found = plans_.find(plan);
    return found == plans_.end() ? 0 : longestBurst(found->second);
}

double PlanLimiter::guaranteed(const Plan &plan) const
{
    return std::max(1.0, options_.maxInFlight * plan.limit.share / sharesTotal_);
}

double PlanLimiter::longestBurst(const Plan &plan) const
{
    return std::min(options_.planBurst * guaranteed(plan), static_cast<double>(options_.maxInFlight));
}

double PlanLimiter::reservedForOthers(const Plan &except, Instant now) const
{
    double reserved = options_.maxInFlight * wakingReserve;
    for (const auto &[id, other] : plans_) {
        if (&other != &except && other.listed) {
            const double recentlyUsed = std::min(guaranteed(other), other.peak.value(now));
            reserved += std::max(0.0, recentlyUsed - other.inFlight);
        }
    }
    return reserved;
}

Milliseconds PlanLimiter::retryAfter(Plan &plan, Instant now)
{
    return plan.line.place(now, plan.drain.timeFor(1, now), plan.drain.perSecond(now));
}

} // namespace baobabstall::admission
