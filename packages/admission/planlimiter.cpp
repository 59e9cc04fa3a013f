#include <admission/planlimiter.h>

#include <algorithm>

namespace baobabstall::admission {

namespace {

constexpr double idlePlanReserve = 1.0 / 16; // fraction of maxInFlight reserved for idle plans that become active

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
    totalShare_ = 0;
    for (const auto &[id, limit] : plans) {
        PlanState &plan = plans_[id];
        plan.limit = limit;
        plan.listed = true;
        totalShare_ += limit.share;
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
    PlanState &plan = found->second;
    if (!hasCapacity(plan, customer, now, why)) {
        plan.recentPeak.raiseTo(now, plan.inFlight + 1);
        why.retryAfter = retryAfter(plan, now);
        return std::nullopt;
    }
    return grantSlot(id, plan, customer, now);
}

bool PlanLimiter::hasCapacity(const PlanState &plan, const core::CustomerId &customer, Instant now, core::Error &why) const
{
    if (plan.limit.maxInFlight > 0 && inFlight(customer) >= plan.limit.maxInFlight) {
        return refuse(core::Refusal::TooMany, "the customer has reached its plan's limit of concurrent requests", why);
    }
    if (inFlight_ >= options_.maxInFlight) {
        return refuse(core::Refusal::Unavailable, "this host has reached its limit of concurrent requests", why);
    }
    if (plan.inFlight + 1 <= guaranteedSlots(plan)) {
        return true;
    }
    if (plan.inFlight + 1 > burstSlots(plan)) {
        return refuse(core::Refusal::TooMany, "the plan has reached its burst limit on this host", why);
    }
    if (inFlight_ + 1 + reservedForOthers(plan, now) > options_.maxInFlight) {
        return refuse(core::Refusal::TooMany, "the plan is over its share and the rest is reserved for other plans", why);
    }
    return true;
}

PlanSlot PlanLimiter::grantSlot(const core::PlanId &id, PlanState &plan, const core::CustomerId &customer, Instant now)
{
    ++plan.inFlight;
    ++customerInFlight_[customer];
    ++inFlight_;
    plan.recentPeak.raiseTo(now, plan.inFlight);
    plan.drainRate.setBacklogged(now, true);
    return PlanSlot{id, customer, now};
}

void PlanLimiter::release(const PlanSlot &slot, Instant now)
{
    const auto found = plans_.find(slot.plan);
    if (found == plans_.end() || found->second.inFlight == 0) {
        return;
    }
    PlanState &plan = found->second;
    --plan.inFlight;
    --inFlight_;
    releaseCustomer(slot.customer);
    plan.drainRate.onFinish(now, now - slot.acquiredAt);
    plan.drainRate.setBacklogged(now, plan.inFlight > 0);
    if (!plan.listed && plan.inFlight == 0) {
        plans_.erase(found);
    }
}

void PlanLimiter::releaseCustomer(const core::CustomerId &customer)
{
    const auto found = customerInFlight_.find(customer);
    if (found != customerInFlight_.end() && --found->second == 0) {
        customerInFlight_.erase(found);
    }
}

int PlanLimiter::inFlight(const core::CustomerId &customer) const
{
    const auto found = customerInFlight_.find(customer);
    return found == customerInFlight_.end() ? 0 : found->second;
}

int PlanLimiter::inFlight(const core::PlanId &plan) const
{
    const auto found = plans_.find(plan);
    return found == plans_.end() ? 0 : found->second.inFlight;
}

double PlanLimiter::guaranteedSlots(const core::PlanId &plan) const
{
    const auto found = plans_.find(plan);
    return found == plans_.end() ? 0 : guaranteedSlots(found->second);
}

double PlanLimiter::burstSlots(const core::PlanId &plan) const
{
    const auto found = plans_.find(plan);
    return found == plans_.end() ? 0 : burstSlots(found->second);
}

double PlanLimiter::guaranteedSlots(const PlanState &plan) const
{
    return std::max(1.0, options_.maxInFlight * plan.limit.share / totalShare_);
}

double PlanLimiter::burstSlots(const PlanState &plan) const
{
    return std::min(options_.planBurst * guaranteedSlots(plan), static_cast<double>(options_.maxInFlight));
}

double PlanLimiter::reservedForOthers(const PlanState &except, Instant now) const
{
    double reserved = options_.maxInFlight * idlePlanReserve;
    for (const auto &[id, other] : plans_) {
        if (&other != &except && other.listed) {
            const double recentlyUsed = std::min(guaranteedSlots(other), other.recentPeak.value(now));
            reserved += std::max(0.0, recentlyUsed - other.inFlight);
        }
    }
    return reserved;
}

Milliseconds PlanLimiter::retryAfter(PlanState &plan, Instant now)
{
    return plan.retryScheduler.nextRetryAfter(now, plan.drainRate.timeToDrain(1, now), plan.drainRate.perSecond(now));
}

} // namespace baobabstall::admission
