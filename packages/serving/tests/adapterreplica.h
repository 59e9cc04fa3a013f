// A model replica that executes orders by the platform's rules.
#pragma once

#include <map>
#include <optional>
#include <set>

#include <gtest/gtest.h>

#include <serving/model.h>

namespace baobabstall::serving {

/// Limited adapter slots, load times, one draining order at a time, a count of accepted orders.
class FakeReplica
{
public:
    FakeReplica(int adapterSlots, Milliseconds storeLoadTime, Milliseconds cachedLoadTime)
        : adapterSlots_(adapterSlots)
        , storeLoadTime_(storeLoadTime)
        , cachedLoadTime_(cachedLoadTime)
    { }

    OrderOutcome execute(const Order &order, Instant now)
    {
        finishDraining(now);
        if (order.expectedSequence != sequence_ || isBusy(now)) {
            return OrderOutcome::Conflict;
        }
        const auto held = loadedAt_.find(order.weights);
        if (order.kind == OrderKind::UnloadAdapter) {
            if (held == loadedAt_.end()) {
                return OrderOutcome::Completed;
            }
            sequence_ = sequence_.next();
            if (running_[order.weights] > 0) {
                draining_ = order.weights;
                return OrderOutcome::Accepted;
            }
            loadedAt_.erase(held);
            return OrderOutcome::Completed;
        }
        if (held != loadedAt_.end()) {
            return held->second <= now ? OrderOutcome::Completed : OrderOutcome::Accepted;
        }
        EXPECT_LT(loadedAt_.size(), static_cast<std::size_t>(adapterSlots_)) << "a replica crashes when its adapter slots are exceeded";
        sequence_ = sequence_.next();
        loadedAt_[order.weights] = now + (cached_.contains(order.weights) ? cachedLoadTime_ : storeLoadTime_);
        cached_.insert(order.weights);
        return OrderOutcome::Accepted;
    }

    [[nodiscard]] bool holds(const AdapterKey &key, Instant now) const
    {
        const auto held = loadedAt_.find(key);
        return held != loadedAt_.end() && held->second <= now;
    }
    void addRunning(const AdapterKey &key, int change) { running_[key] += change; }
    [[nodiscard]] ReplicaReport report(Instant now)
    {
        finishDraining(now);
        ReplicaReport report;
        report.sequence = sequence_;
        HeldModel model{BaseModel("m"), {}};
        for (const auto &[key, at] : loadedAt_) {
            if (at <= now) {
                model.adapters.push_back({key.adapter, AdapterRevision(1)});
            } else {
                report.loadingAdapters.emplace_back(key, AdapterRevision(1));
            }
        }
        report.models.push_back(model);
        return report;
    }

private:
    [[nodiscard]] bool isBusy(Instant) const { return draining_.has_value(); }
    void finishDraining(Instant)
    {
        if (draining_ && running_[*draining_] == 0) {
            loadedAt_.erase(*draining_);
            draining_.reset();
        }
    }

    int adapterSlots_;
    Milliseconds storeLoadTime_;
    Milliseconds cachedLoadTime_;
    OrderSequence sequence_;
    std::map<AdapterKey, Instant> loadedAt_; // time at which the load is complete
    std::set<AdapterKey> cached_;
    std::map<AdapterKey, int> running_;
    std::optional<AdapterKey> draining_;
};

} // namespace baobabstall::serving
