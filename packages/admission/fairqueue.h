// admission/fairqueue.h: a bounded queue that serves plans in proportion to their shares (start-time fair queueing).
//
// Index
//   FairQueue        push, pop, popIf, remove, look inside
//   PushResult       the ticket of a pushed item, and the item to be refused, if any
//   QueuePosition    what a new item would wait behind
//
//   FairQueue<Waiting> queue(64);
//   auto pushed = queue.push(plan, share, waiting);
//   if (pushed.refused) { refuse(*pushed.refused); } // the new item, or a queued item of the plan most over its share
//   while (hasFreeSlot()) { start(queue.popIf([&](const Waiting &item) { return isResident(item.adapter); })); }
//
// Order. Each plan with waiting items has a start tag in virtual time. The plan with the lowest tag is served next
// and its tag rises by cost / share, so over any busy period plans are served in proportion to their shares. Within a plan
// items are served first in, first out. A plan is charged when an item is served, not when it is pushed: items that are
// removed or displaced cost their plan nothing. A plan that becomes active after being idle starts at the current virtual
// time: idle time earns no credit and leaves no debt.
//
// Full queue. The plan with the most waiting items per unit of share is the one most over its share. If that is the plan of
// the new item, the new item is refused. Otherwise the newest item of the plan most over its share is displaced and
// returned, so that its caller can be told at once. Refusing the new item instead would let the plan that filled the
// queue first keep all others out; displacing the newest item keeps those that have waited longest.
//
// Limits. Shares are relative to each other, so any scale works; keep one scale within a queue. The queue does not
// preempt running items. It has no clock; the caller enforces deadlines with removeIf().
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <list>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

#include <core/types.h>

namespace baobabstall::admission {

using Ticket = core::Ordinal<struct TicketTag>; // identifies a waiting item; unique within a queue, never reused

/// The result of a push.
template<typename T>
struct PushResult {
    std::optional<Ticket> ticket; // none: the new item itself was refused
    std::optional<T> refused;     // to be refused by the caller: the new item, or the item displaced by it
};

/// What a new item of a plan would wait behind.
struct QueuePosition {
    std::size_t planWaiting = 0;  // waiting items of the same plan
    std::size_t totalWaiting = 0; // waiting items of all plans
    double serviceFraction = 1;   // fraction of all service that its plan gets while the currently waiting plans and its own are backlogged
};

/// Weighted fair queue among plans. Push, pop and remove take O(log n) in the number of plans; popIf() and a push to a full queue
/// cost more, see there. Not thread-safe.
template<typename T>
class FairQueue
{
public:
    explicit FairQueue(std::size_t capacity) // maximum of waiting items of all plans together
        : capacity_(capacity)
    { }
    FairQueue(const FairQueue &) = delete; // plans are referenced by address
    FairQueue &operator=(const FairQueue &) = delete;

    /// Adds an item. A `share` that is not above 0 counts as 1; a changed share applies to the plan from its next served item on. `cost` is the
    /// service that the item takes, relative to other items. O(plans) when the queue is full.
    PushResult<T> push(const core::PlanId &plan, double share, T item, double cost = 1);

    /// The next item in fair order; nullopt when the queue is empty.
    std::optional<T> pop();
    /// The first item in fair order that `matches`; skipped plans keep their start tags, so they are served first once they match.
    /// O(n) when few items match.
    template<typename Predicate>
    std::optional<T> popIf(Predicate matches);

    /// Removes one item without serving it; nullopt when it has been served or removed already.
    std::optional<T> remove(Ticket ticket);
    /// Removes all matching items, in fair order of plans: expired deadlines, disconnected callers. O(n).
    template<typename Predicate>
    std::vector<T> removeIf(Predicate matches);

    /// The position of a new item of this plan among the waiting items for which `counts` is true. O(n).
    template<typename Predicate>
    [[nodiscard]] QueuePosition position(const core::PlanId &plan, double share, Predicate isCounted) const;
    [[nodiscard]] std::size_t size() const { return locations_.size(); }
    [[nodiscard]] std::size_t size(const core::PlanId &plan) const; // waiting items of one plan
    [[nodiscard]] std::size_t capacity() const { return capacity_; }
    [[nodiscard]] bool empty() const { return locations_.empty(); }
    /// Calls visit(plan, share, item) for each waiting item, plans in fair order.
    template<typename Visit>
    void forEach(Visit visit) const;

private:
    struct Entry {
        Ticket ticket;
        double cost = 1;
        T item;
    };
    struct PlanQueue {
        core::PlanId id;
        double share = 1;
        double startTag = 0;          // virtual start time of the next service; while idle: virtual end time of the last one
        std::uint64_t tieBreaker = 0; // orders equal start tags by arrival, so that the order is deterministic
        std::list<Entry> waiting;
    };
    struct InFairOrder {
        bool operator()(const PlanQueue *a, const PlanQueue *b) const { return std::pair(a->startTag, a->tieBreaker) < std::pair(b->startTag, b->tieBreaker); }
    };
    struct Location {
        PlanQueue *plan = nullptr;
        typename std::list<Entry>::iterator entry;
    };

    PlanQueue &updatePlan(const core::PlanId &id, double share);
    void enqueue(PlanQueue &plan, T item, double cost);
    PlanQueue *mostOverShare();
    void charge(PlanQueue &plan, double cost);
    T extract(PlanQueue &plan, typename std::list<Entry>::iterator entry);
    void resetIfEmpty();
    static double validShare(double share) { return share > 0 && share < maxShare ? share : 1; } // shares are received from other hosts, so they are checked
    static double backlogPerShare(const PlanQueue &plan, std::size_t added) { return static_cast<double>(plan.waiting.size() + added) / plan.share; }

    static constexpr double maxShare = 1e9;

    std::size_t capacity_;
    double virtualTime_ = 0;
    Ticket lastTicket_;
    std::uint64_t lastTieBreaker_ = 0;
    std::map<core::PlanId, PlanQueue> plans_;
    std::set<PlanQueue *, InFairOrder> backlogged_; // plans with waiting items
    std::unordered_map<Ticket, Location> locations_;
};

template<typename T>
PushResult<T> FairQueue<T>::push(const core::PlanId &id, double share, T item, double cost)
{
    PlanQueue &plan = updatePlan(id, share);
    PushResult<T> result;
    if (size() >= capacity_) {
        PlanQueue *mostOver = mostOverShare();
        if (mostOver == nullptr || backlogPerShare(*mostOver, 0) <= backlogPerShare(plan, 1)) {
            result.refused = std::move(item);
            return result;
        }
        result.refused = extract(*mostOver, std::prev(mostOver->waiting.end()));
    }
    enqueue(plan, std::move(item), cost);
    result.ticket = lastTicket_;
    return result;
}

template<typename T>
std::optional<T> FairQueue<T>::pop()
{
    return popIf([](const T &) { return true; });
}

template<typename T>
template<typename Predicate>
std::optional<T> FairQueue<T>::popIf(Predicate matches)
{
    for (PlanQueue *plan : backlogged_) {
        const auto entry = std::find_if(plan->waiting.begin(), plan->waiting.end(), [&](const Entry &each) { return matches(each.item); });
        if (entry != plan->waiting.end()) {
            charge(*plan, entry->cost);
            std::optional<T> item = extract(*plan, entry);
            resetIfEmpty();
            return item;
        }
    }
    return std::nullopt;
}

template<typename T>
std::optional<T> FairQueue<T>::remove(Ticket ticket)
{
    const auto found = locations_.find(ticket);
    if (found == locations_.end()) {
        return std::nullopt;
    }
    const Location location = found->second;
    std::optional<T> item = extract(*location.plan, location.entry);
    resetIfEmpty();
    return item;
}

template<typename T>
template<typename Predicate>
std::vector<T> FairQueue<T>::removeIf(Predicate matches)
{
    std::vector<Ticket> matching;
    for (const PlanQueue *plan : backlogged_) {
        for (const Entry &entry : plan->waiting) {
            if (matches(entry.item)) {
                matching.push_back(entry.ticket);
            }
        }
    }
    std::vector<T> items;
    items.reserve(matching.size());
    for (const Ticket ticket : matching) {
        items.push_back(*remove(ticket));
    }
    return items;
}

template<typename T>
template<typename Predicate>
QueuePosition FairQueue<T>::position(const core::PlanId &id, double share, Predicate isCounted) const
{
    QueuePosition result;
    double total = validShare(share);
    for (const PlanQueue *plan : backlogged_) {
        const auto counted
            = static_cast<std::size_t>(std::count_if(plan->waiting.begin(), plan->waiting.end(), [&](const Entry &entry) { return isCounted(entry.item); }));
        result.totalWaiting += counted;
        if (plan->id == id) {
            result.planWaiting = counted;
        } else if (counted > 0) {
            total += plan->share;
        }
    }
    result.serviceFraction = validShare(share) / total;
    return result;
}

template<typename T>
std::size_t FairQueue<T>::size(const core::PlanId &plan) const
{
    const auto found = plans_.find(plan);
    return found == plans_.end() ? 0 : found->second.waiting.size();
}

template<typename T>
template<typename Visit>
void FairQueue<T>::forEach(Visit visit) const
{
    for (const PlanQueue *plan : backlogged_) {
        for (const Entry &entry : plan->waiting) {
            visit(plan->id, plan->share, entry.item);
        }
    }
}

template<typename T>
typename FairQueue<T>::PlanQueue &FairQueue<T>::updatePlan(const core::PlanId &id, double share)
{
    PlanQueue &plan = plans_[id];
    if (plan.id.empty()) {
        plan.id = id;
    }
    plan.share = validShare(share);
    return plan;
}

template<typename T>
void FairQueue<T>::enqueue(PlanQueue &plan, T item, double cost)
{
    lastTicket_ = lastTicket_.next();
    const bool wasIdle = plan.waiting.empty();
    plan.waiting.push_back(Entry{lastTicket_, cost, std::move(item)});
    locations_[lastTicket_] = Location{&plan, std::prev(plan.waiting.end())};
    if (wasIdle) {
        plan.startTag = std::max(plan.startTag, virtualTime_);
        plan.tieBreaker = ++lastTieBreaker_;
        backlogged_.insert(&plan);
    }
}

template<typename T>
typename FairQueue<T>::PlanQueue *FairQueue<T>::mostOverShare()
{
    const auto lessOver = [](const PlanQueue *a, const PlanQueue *b) { return backlogPerShare(*a, 0) < backlogPerShare(*b, 0); };
    const auto most = std::max_element(backlogged_.begin(), backlogged_.end(), lessOver);
    return most == backlogged_.end() ? nullptr : *most;
}

template<typename T>
void FairQueue<T>::charge(PlanQueue &plan, double cost)
{
    backlogged_.erase(&plan);
    virtualTime_ = std::max(virtualTime_, plan.startTag);
    plan.startTag += cost / plan.share;
    backlogged_.insert(&plan);
}

template<typename T>
T FairQueue<T>::extract(PlanQueue &plan, typename std::list<Entry>::iterator entry)
{
    T item = std::move(entry->item);
    locations_.erase(entry->ticket);
    plan.waiting.erase(entry);
    if (plan.waiting.empty()) {
        backlogged_.erase(&plan);
    }
    return item;
}

/// Resets an empty queue, so that plans which no longer exist use no memory.
template<typename T>
void FairQueue<T>::resetIfEmpty()
{
    if (locations_.empty()) {
        plans_.clear();
        virtualTime_ = 0;
    }
}

} // namespace baobabstall::admission
