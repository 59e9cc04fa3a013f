// engines/enginetableimpl.h: the member definitions of BasicEngineTable. Include it only to instantiate a table with another eviction policy.
#pragma once

#include <algorithm>
#include <cmath>
#include <limits>

#include <engines/enginetable.h>

namespace baobabstall::engines {

namespace detail {

constexpr double newSampleWeight = 0.1;      // weight of a new sample in an exponential moving average
constexpr double permitWaitDecayMs = 2'000;  // time constant of the decay of the measured permit wait
constexpr double priorityChangeFactor = 1.5; // a permit request is sent again when the weight changes by this factor
constexpr Milliseconds prefetchTtl{2'000};   // a prefetch that has not started by then is dropped
constexpr int maxNotFoundRetries = 2;        // starts rejected by the engine because it did not hold the adapter, before the request is refused
constexpr int residentWaitFactor = 2; // multiple of maxQueueWait after which a request for a resident adapter is refused though its expected wait was shorter
constexpr Milliseconds initialServiceTime{1'000}; // used until service times are measured

/// A name that is never loaded: unloading it tests whether the engine accepts our fencing number.
inline EngineAdapterName fencingProbeName(Epoch epoch)
{
    return {{core::CustomerId("_"), core::AdapterName("fence"), core::AdapterVersion("0")}, epoch};
}

inline Milliseconds toMilliseconds(double ms)
{
    return Milliseconds(static_cast<std::int64_t>(std::llround(std::max(0.0, ms))));
}

inline void updateMean(double &mean, Milliseconds value)
{
    mean += newSampleWeight * (static_cast<double>(value.count()) - mean);
}

} // namespace detail

template<EvictionPolicyLike Eviction>
BasicEngineTable<Eviction>::BasicEngineTable(EngineInfo engine,
                                             Epoch epoch,
                                             const settings::Loads &loads,
                                             const settings::Admission &admission,
                                             Eviction eviction)
    : engine_(std::move(engine))
    , epoch_(epoch)
    , loads_(loads)
    , admission_(admission)
    , eviction_(std::move(eviction))
    , waiting_(static_cast<std::size_t>(admission.maxQueue))
    , admissionController_(admission, detail::initialServiceTime)
    , meanLoadMs_(static_cast<double>(loads.typical.count()))
{ }

// Requests

template<EvictionPolicyLike Eviction>
void BasicEngineTable<Eviction>::enqueue(Request request, Instant now)
{
    if (endReason_) {
        refuse(request.id, refusalError(*endReason_, Milliseconds(0)));
        return;
    }
    if (request.adapter == detail::fencingProbeName(epoch_).adapter) {
        refuse(request.id, refusalError("the adapter name is reserved", std::nullopt));
        return;
    }
    eviction_.used(request.adapter, request.share, now);
    if (auto late = latenessError(request, Milliseconds(0), now)) {
        refuse(request.id, std::move(*late));
        return;
    }
    startWaiting(now);
    admission::AdmissionContext expected = admissionContext(request.adapter, request.plan, request.share, now);
    expected.startBy = request.deadline;
    core::Error why;
    if (!admissionController_.admit(request.plan, expected, now, why)) {
        why.peer = engine_.id.value();
        refuse(request.id, std::move(why));
        return;
    }
    if (servableName(request.adapter) && batchSize() < admission_.engineConcurrency) {
        start({std::move(request), now, 0}, now);
    } else {
        enqueueWaiting({std::move(request), now, 0}, now);
    }
}

template<EvictionPolicyLike Eviction>
void BasicEngineTable<Eviction>::enqueueWaiting(WaitingRequest waiting, Instant now)
{
    const PlanId plan = waiting.request.plan;
    const double share = waiting.request.share;
    const auto pushed = waiting_.push(plan, share, std::move(waiting));
    if (pushed.refused) {
        const Request &refused = pushed.refused->request;
        core::Error why = admissionController_.displacementError(refused.plan, admissionContext(refused.adapter, refused.plan, refused.share, now), now);
        why.peer = engine_.id.value();
        refuse(refused.id, std::move(why));
    }
}

template<EvictionPolicyLike Eviction>
void BasicEngineTable<Eviction>::finished(const RequestId &id, RequestEnd end, Instant now)
{
    const auto found = running_.find(id);
    if (found == running_.end()) {
        return;
    }
    if (end == RequestEnd::Complete && !found->second.aborted) {
        admissionController_.onFinish(now, now - found->second.since);
    } else if (end == RequestEnd::Lost) {
        scheduleListing(now + relistInterval);
    }
    unpin(found->second, end);
    running_.erase(found);
}

template<EvictionPolicyLike Eviction>
void BasicEngineTable<Eviction>::cancel(const RequestId &id, Instant)
{
    waiting_.removeIf([&](const WaitingRequest &waiting) { return waiting.request.id == id; });
}

template<EvictionPolicyLike Eviction>
void BasicEngineTable<Eviction>::adapterNotFound(const RequestId &id, Instant now)
{
    const auto found = running_.find(id);
    if (found == running_.end()) {
        return;
    }
    RunningRequest running = std::move(found->second);
    running_.erase(found);
    unpin(running, RequestEnd::Complete);
    if (running.aborted) {
        return;
    }
    invalidateListing();
    if (endReason_) {
        refuse(id, refusalError(*endReason_, Milliseconds(0)));
    } else if (++running.queueEntry.notFoundRetries > detail::maxNotFoundRetries) {
        refuse(id, refusalError("the engine lists the adapter but rejects requests for it", relistInterval));
    } else {
        enqueueWaiting(std::move(running.queueEntry), now);
    }
}

template<EvictionPolicyLike Eviction>
void BasicEngineTable<Eviction>::prefetch(const AdapterRef &adapter, Instant now)
{
    if (endReason_ || servableName(adapter) || loadingSlot(adapter) != nullptr) {
        return;
    }
    LoadRequest &loadRequest = loadRequests_[adapter];
    loadRequest.isPrefetch = true;
    loadRequest.prefetchUntil = now + detail::prefetchTtl;
}

template<EvictionPolicyLike Eviction>
void BasicEngineTable<Eviction>::start(WaitingRequest waiting, Instant now)
{
    const EngineAdapterName name = *servableName(waiting.request.adapter);
    Slot &slot = slots_.at(name);
    markChanged(slot);
    const RequestId id = waiting.request.id;
    addAction(StartRequest{id, name});
    running_.emplace(id, RunningRequest{std::move(waiting), name, now});
}

template<EvictionPolicyLike Eviction>
void BasicEngineTable<Eviction>::unpin(const RunningRequest &running, RequestEnd end)
{
    const auto found = slots_.find(running.name);
    if (found == slots_.end()) {
        return;
    }
    Slot &slot = found->second;
    markChanged(slot);
    if (end == RequestEnd::Lost) {
        ++slot.unpinnedRunning;
        slot.lostAtEvent = lastEvent_;
    }
}

template<EvictionPolicyLike Eviction>
void BasicEngineTable<Eviction>::refuse(const RequestId &id, core::Error error)
{
    addAction(RefuseRequest{id, std::move(error)});
}

template<EvictionPolicyLike Eviction>
void BasicEngineTable<Eviction>::refuseWaiting(const AdapterRef &adapter, const core::Error &error)
{
    for (const WaitingRequest &waiting : waiting_.removeIf([&](const WaitingRequest &each) { return each.request.adapter == adapter; })) {
        refuse(waiting.request.id, error);
    }
}

/// Why a request has to be refused because its deadline passed or its adapter will not be resident in time. Its position in the queue is
/// checked only once, by the admission controller on arrival: checking it again as the queue grows would refuse requests that are about to start.
template<EvictionPolicyLike Eviction>
std::optional<core::Error> BasicEngineTable<Eviction>::latenessError(const Request &request, Milliseconds waitedFor, Instant now) const
{
    if (request.deadline <= now) {
        core::Error error = refusalError("the deadline passed before the request was started", std::nullopt);
        error.refusal = core::Refusal::Timeout;
        return error;
    }
    const bool isResident = servableName(request.adapter).has_value();
    if (waitedFor >= admission_.maxQueueWait * (isResident ? detail::residentWaitFactor : 1)) {
        return refusalError("the request waited too long in the queue", expectedLoadWait(request.adapter, now));
    }
    const Milliseconds wait = isResident ? Milliseconds(0) : expectedLoadWait(request.adapter, now);
    if (wait > admission_.maxQueueWait || now + wait > request.deadline) {
        return refusalError("the load of the adapter is expected to take another " + std::to_string(wait.count()) + " ms", wait);
    }
    return std::nullopt;
}

template<EvictionPolicyLike Eviction>
admission::AdmissionContext BasicEngineTable<Eviction>::admissionContext(const AdapterRef &adapter, const PlanId &plan, double share, Instant now) const
{
    const auto waitsForBatch = [&](const WaitingRequest &waiting) { return servableName(waiting.request.adapter).has_value(); };
    const admission::QueuePosition position = waiting_.position(plan, share, waitsForBatch);
    return {.position = position,
            .hasFreeSlot = batchSize() < admission_.engineConcurrency && position.totalWaiting == 0,
            .loadWait = servableName(adapter) ? Milliseconds(0) : expectedLoadWait(adapter, now),
            .startBy = std::nullopt};
}

/// The drain rate is measured only while a request waits for a place in the batch.
template<EvictionPolicyLike Eviction>
void BasicEngineTable<Eviction>::updateBacklog(Instant now)
{
    const auto waitsForBatch = [&](const WaitingRequest &waiting) { return servableName(waiting.request.adapter).has_value(); };
    admissionController_.setBacklogged(now, batchSize() >= admission_.engineConcurrency && waiting_.position(PlanId(), 1, waitsForBatch).totalWaiting > 0);
}

template<EvictionPolicyLike Eviction>
Milliseconds BasicEngineTable<Eviction>::expectedLoadWait(const AdapterRef &adapter, Instant now) const
{
    if (const Slot *slot = loadingSlot(adapter)) {
        const auto elapsed = static_cast<double>((now - slot->since).count());
        return detail::toMilliseconds(std::max(meanLoadMs_ - elapsed, meanLoadMs_ / 4));
    }
    double wait = meanLoadMs_;
    const auto loadRequest = loadRequests_.find(adapter);
    const LoadRequestState state = loadRequest == loadRequests_.end() ? LoadRequestState::Idle : loadRequest->second.state;
    if (state == LoadRequestState::Requested) {
        const auto elapsed = static_cast<double>((now - loadRequest->second.since).count());
        wait += std::max(expectedPermitWait(now) - elapsed, 0.0);
    } else if (state == LoadRequestState::Idle) {
        wait += expectedPermitWait(now);
        wait += freeSlots() + countEvictable() > 0 ? 0 : static_cast<double>(admissionController_.drainRate().meanServiceTime().count()) / 2;
    }
    const auto blocked = reloadBlockedUntil_.find(adapter);
    if (blocked != reloadBlockedUntil_.end()) {
        wait = std::max(wait, static_cast<double>((blocked->second - now).count()) + meanLoadMs_);
    }
    return detail::toMilliseconds(wait);
}

template<EvictionPolicyLike Eviction>
double BasicEngineTable<Eviction>::expectedPermitWait(Instant now) const
{
    const auto age = static_cast<double>((now - permitMeasuredAt_).count());
    return meanPermitWaitMs_ * std::exp(-age / detail::permitWaitDecayMs);
}

template<EvictionPolicyLike Eviction>
core::Error BasicEngineTable<Eviction>::refusalError(std::string reason, std::optional<Milliseconds> retryAfter) const
{
    return {.step = core::Step::Admit,
            .peer = engine_.id.value(),
            .reason = std::move(reason),
            .refusal = core::Refusal::Unavailable,
            .outcome = core::Outcome::NotRun,
            .retryAfter = retryAfter};
}

template<EvictionPolicyLike Eviction>
int BasicEngineTable<Eviction>::batchSize() const
{
    int size = static_cast<int>(running_.size());
    for (const auto &[name, slot] : slots_) {
        size += slot.unpinnedRunning;
    }
    return size;
}

template<EvictionPolicyLike Eviction>
int BasicEngineTable<Eviction>::pinCount(const EngineAdapterName &name) const
{
    return static_cast<int>(std::count_if(running_.begin(), running_.end(), [&](const auto &entry) { return entry.second.name == name; }));
}

template<EvictionPolicyLike Eviction>
std::map<AdapterRef, double> BasicEngineTable<Eviction>::waitingShares() const
{
    std::map<AdapterRef, double> shares;
    waiting_.forEach([&](const PlanId &, double share, const WaitingRequest &waiting) {
        if (!servableName(waiting.request.adapter)) {
            shares[waiting.request.adapter] += share;
        }
    });
    return shares;
}

// Permits

template<EvictionPolicyLike Eviction>
void BasicEngineTable<Eviction>::permitGranted(const AdapterRef &adapter, PermitId permit, Instant now)
{
    const auto found = loadRequests_.find(adapter);
    if (found == loadRequests_.end() || found->second.state == LoadRequestState::Granted) {
        addAction(ReleasePermit{permit});
        return;
    }
    LoadRequest &loadRequest = found->second;
    if (loadRequest.state == LoadRequestState::Requested) {
        meanPermitWaitMs_ = expectedPermitWait(now);
        detail::updateMean(meanPermitWaitMs_, now - loadRequest.since);
        permitMeasuredAt_ = now;
    }
    loadRequest.state = LoadRequestState::Granted;
    loadRequest.permit = permit;
}

template<EvictionPolicyLike Eviction>
void BasicEngineTable<Eviction>::permitRefused(const AdapterRef &adapter, Instant now)
{
    const auto found = loadRequests_.find(adapter);
    if (found != loadRequests_.end() && found->second.state == LoadRequestState::Requested) {
        found->second.state = LoadRequestState::Idle;
        found->second.notBefore = now + loads_.typical;
    }
}

template<EvictionPolicyLike Eviction>
void BasicEngineTable<Eviction>::permitRequestsLost(Instant)
{
    for (auto &[adapter, loadRequest] : loadRequests_) {
        if (loadRequest.state == LoadRequestState::Requested) {
            loadRequest.state = LoadRequestState::Idle;
        }
    }
}

template<EvictionPolicyLike Eviction>
void BasicEngineTable<Eviction>::releasePermit(std::optional<PermitId> &permit)
{
    if (permit) {
        addAction(ReleasePermit{*permit});
        permit.reset();
    }
}

// Replies of the engine

template<EvictionPolicyLike Eviction>
void BasicEngineTable<Eviction>::loadEnded(const EngineAdapterName &name, LoadOutcome outcome, Instant now)
{
    const auto found = slots_.find(name);
    if (found == slots_.end() || found->second.state != SlotState::Loading) {
        return;
    }
    Slot &slot = found->second;
    const bool isSameStart = slot.orderedAtStart == engineStart_;
    slot.isAnswered = true;
    markChanged(slot);
    if (outcome == LoadOutcome::Unknown || (outcome == LoadOutcome::Loaded && !isSameStart)) {
        slot.state = SlotState::Uncertain;
        invalidateListing();
        return;
    }
    releasePermit(slot.permit);
    if (outcome == LoadOutcome::Loaded) {
        slot.state = SlotState::Resident;
        detail::updateMean(meanLoadMs_, now - slot.since);
        onFencingAccepted(now);
        loadRequests_.erase(name.adapter);
        return;
    }
    eraseSlot(found);
    onLoadFailed(name, outcome, now);
}

template<EvictionPolicyLike Eviction>
void BasicEngineTable<Eviction>::onLoadFailed(const EngineAdapterName &name, LoadOutcome outcome, Instant now)
{
    if (outcome == LoadOutcome::StaleFencing) {
        endOwnership("the engine has a newer owner");
        return;
    }
    LoadRequest &loadRequest = loadRequests_[name.adapter];
    loadRequest.notBefore = now + loads_.typical;
    if (outcome == LoadOutcome::NoFreeSlot) {
        scheduleListing(now);
        return;
    }
    if (++loadRequest.failedLoads >= maxLoadAttempts) {
        core::Error error = refusalError("the adapter could not be loaded", loads_.typical * maxLoadAttempts * 2);
        error.step = core::Step::Load;
        refuseWaiting(name.adapter, error);
        loadRequests_.erase(name.adapter);
    }
}

template<EvictionPolicyLike Eviction>
void BasicEngineTable<Eviction>::unloadEnded(const EngineAdapterName &name, UnloadOutcome outcome, Instant now)
{
    if (outcome == UnloadOutcome::StaleFencing) {
        endOwnership("the engine has a newer owner");
    }
    const bool isAccepted = outcome == UnloadOutcome::Unloaded || outcome == UnloadOutcome::NotHeld;
    if (isAccepted) {
        onFencingAccepted(now);
    }
    if (name == detail::fencingProbeName(epoch_)) {
        fencingProbePending_ = false;
        fencingProbeNotBefore_ = now + relistInterval;
    }
    const auto found = slots_.find(name);
    if (found == slots_.end() || found->second.state != SlotState::Unloading) {
        return;
    }
    Slot &slot = found->second;
    slot.isAnswered = true;
    markChanged(slot);
    if (isAccepted) {
        removeUnloaded(found, now);
    } else if (outcome == UnloadOutcome::Unknown) {
        slot.unloadReplyLost = true;
        scheduleListing(now);
    }
}

/// An earlier order whose reply was lost may still reach the engine, so the adapter must not be loaded again for a while.
template<EvictionPolicyLike Eviction>
void BasicEngineTable<Eviction>::removeUnloaded(typename Slots::iterator slot, Instant now)
{
    if (slot->second.unloadReplyLost && slot->first.epoch == epoch_) {
        reloadBlockedUntil_[slot->first.adapter] = now + loads_.timeout;
    }
    eraseSlot(slot);
}

template<EvictionPolicyLike Eviction>
void BasicEngineTable<Eviction>::eraseSlot(typename Slots::iterator slot)
{
    erasedAtEvent_[slot->first] = ++lastEvent_;
    slots_.erase(slot);
}

template<EvictionPolicyLike Eviction>
void BasicEngineTable<Eviction>::listed(const Listing &listing, Instant now)
{
    if (!listingPending_) {
        return;
    }
    listingPending_ = false;
    listingScheduled_ = false;
    std::erase_if(erasedAtEvent_, [&](const auto &entry) { return entry.second <= listingRequestEvent_; });
    if (engineStart_ != listing.start) {
        if (engineStart_ != EngineStart()) {
            onEngineRestarted(now);
        }
        engineStart_ = listing.start;
    }
    engine_.slots = listing.slots > 0 ? listing.slots : engine_.slots;
    unparsedNames_ = 0;
    std::set<EngineAdapterName> names;
    for (const ListedAdapter &entry : listing.adapters) {
        const auto name = EngineAdapterName::parse(entry.name);
        if (!name) {
            ++unparsedNames_;
            continue;
        }
        if (erasedAtEvent_.contains(*name)) {
            scheduleListing(now + relistInterval);
            continue;
        }
        names.insert(*name);
        applyListed(*name, entry.running, now);
    }
    applyMissing(names, now);
    if (invalidatedAtEvent_ > listingRequestEvent_) {
        scheduleListing(now); // requested before the state last became uncertain
        return;
    }
    listingTrusted_ = true;
    if (needsRelisting()) {
        scheduleListing(now + relistInterval);
    }
}

template<EvictionPolicyLike Eviction>
void BasicEngineTable<Eviction>::listingFailed(Instant now)
{
    listingPending_ = false;
    scheduleListing(now + relistInterval);
}

template<EvictionPolicyLike Eviction>
void BasicEngineTable<Eviction>::onEngineRestarted(Instant now)
{
    for (auto &[id, running] : running_) {
        if (std::exchange(running.aborted, true)) {
            continue;
        }
        core::Error error = refusalError("the engine restarted while it was running the request", loads_.typical);
        error.step = core::Step::Upstream;
        error.refusal = core::Refusal::BadAnswer;
        error.outcome = core::Outcome::Unknown;
        addAction(AbortRequest{id, std::move(error)});
    }
    for (auto entry = slots_.begin(); entry != slots_.end();) {
        const auto current = entry++;
        current->second.unpinnedRunning = 0;
        if (current->second.isAnswered) {
            releasePermit(current->second.permit);
            removeUnloaded(current, now);
        }
    }
    fencingAcceptedAtEvent_.reset();
}

template<EvictionPolicyLike Eviction>
void BasicEngineTable<Eviction>::applyListed(const EngineAdapterName &name, int running, Instant now)
{
    if (name.epoch > epoch_) {
        endOwnership("the engine holds adapters loaded by a newer owner");
    }
    const auto [entry, isNew] = slots_.try_emplace(name);
    Slot &slot = entry->second;
    if (isNew) {
        slot.orderedAtStart = engineStart_;
        slot.since = now;
        slot.unpinnedRunning = running;
        slot.unloadReplyLost = name.epoch == epoch_ && reloadBlockedUntil_.contains(name.adapter);
        slot.state = slot.unloadReplyLost ? SlotState::Unloading : SlotState::Resident;
    }
    slot.confirmedAtEvent = listingRequestEvent_;
    const bool changedSince = slot.changedAtEvent > listingRequestEvent_;
    updateUnpinnedRunning(name, slot, running, changedSince);
    if (changedSince) {
        return;
    }
    if (slot.state == SlotState::Uncertain) {
        slot.state = SlotState::Resident;
        releasePermit(slot.permit);
        loadRequests_.erase(name.adapter);
    } else if (slot.state == SlotState::Unloading && slot.isAnswered && running == 0 && !endReason_) {
        orderUnload(name, slot);
    }
}

/// Must never be too low where an unload order may follow. A pinned request may already have ended on the engine, so the pins can't be
/// subtracted from the listed count.
template<EvictionPolicyLike Eviction>
void BasicEngineTable<Eviction>::updateUnpinnedRunning(const EngineAdapterName &name, Slot &slot, int running, bool changedSince)
{
    const auto gone = goneOwners_.find(name.epoch);
    const bool isSettled = gone != goneOwners_.end() && gone->second + settleTime <= listingRequestedAt_;
    const bool isFirstSettled = isSettled && !std::exchange(slot.listedAfterOwnerGone, isSettled);
    if (name.epoch != epoch_ && !isSettled) {
        slot.unpinnedRunning = std::max(0, running - pinCount(name)); // not evictable yet; only used for the batch size
    } else if (isFirstSettled) {
        slot.unpinnedRunning = running + (changedSince ? slot.unpinnedRunning : 0);
    } else if (pinCount(name) == 0 && !changedSince) {
        slot.unpinnedRunning = running;
    } else if (slot.lostAtEvent <= listingRequestEvent_) { // requests lost before the listing can only have ended since
        slot.unpinnedRunning = std::min(slot.unpinnedRunning, running);
    }
}

template<EvictionPolicyLike Eviction>
void BasicEngineTable<Eviction>::applyMissing(const std::set<EngineAdapterName> &listed, Instant now)
{
    for (auto entry = slots_.begin(); entry != slots_.end();) {
        const auto current = entry++;
        Slot &slot = current->second;
        if (listed.contains(current->first) || !slot.isAnswered || slot.changedAtEvent > listingRequestEvent_) {
            continue;
        }
        releasePermit(slot.permit);
        removeUnloaded(current, now);
    }
}

template<EvictionPolicyLike Eviction>
bool BasicEngineTable<Eviction>::needsRelisting() const
{
    return std::any_of(slots_.begin(), slots_.end(), [&](const auto &entry) {
        const auto &[name, slot] = entry;
        const bool awaitsListing = goneOwners_.contains(name.epoch) && !slot.listedAfterOwnerGone;
        const bool isUnsettled = slot.isAnswered && (slot.state == SlotState::Uncertain || slot.state == SlotState::Unloading);
        return slot.unpinnedRunning > 0 || awaitsListing || isUnsettled;
    });
}

template<EvictionPolicyLike Eviction>
void BasicEngineTable<Eviction>::invalidateListing()
{
    listingTrusted_ = false;
    invalidatedAtEvent_ = ++lastEvent_;
    listingScheduled_ = true;
    listingNotBefore_ = Instant(std::numeric_limits<std::int64_t>::min());
}

template<EvictionPolicyLike Eviction>
void BasicEngineTable<Eviction>::scheduleListing(Instant notBefore)
{
    listingNotBefore_ = listingScheduled_ ? std::min(listingNotBefore_, notBefore) : notBefore;
    listingScheduled_ = true;
}

// Ownership

template<EvictionPolicyLike Eviction>
void BasicEngineTable<Eviction>::ownerGone(Epoch old, Instant now)
{
    if (old >= epoch_ || !goneOwners_.try_emplace(old, now).second) {
        return;
    }
    const bool holdsItsNames = std::any_of(slots_.begin(), slots_.end(), [&](const auto &entry) { return entry.first.epoch == old; });
    if (holdsItsNames) {
        scheduleListing(now + settleTime);
    }
}

template<EvictionPolicyLike Eviction>
void BasicEngineTable<Eviction>::superseded(Instant)
{
    endOwnership("the engine has a newer owner");
}

template<EvictionPolicyLike Eviction>
void BasicEngineTable<Eviction>::drain(Instant)
{
    endOwnership("the engine is being handed over");
}

template<EvictionPolicyLike Eviction>
void BasicEngineTable<Eviction>::endOwnership(std::string reason)
{
    if (endReason_) {
        return;
    }
    endReason_ = std::move(reason);
    for (const WaitingRequest &waiting : waiting_.removeIf([](const WaitingRequest &) { return true; })) {
        refuse(waiting.request.id, refusalError(*endReason_, Milliseconds(0)));
    }
    for (auto &[adapter, loadRequest] : loadRequests_) {
        if (loadRequest.state == LoadRequestState::Requested) {
            addAction(CancelPermitRequest{adapter});
        }
        releasePermit(loadRequest.permit);
    }
    loadRequests_.clear();
}

template<EvictionPolicyLike Eviction>
bool BasicEngineTable<Eviction>::hasPendingOrders() const
{
    const bool hasSlotOrder = std::any_of(slots_.begin(), slots_.end(), [](const auto &entry) { return !entry.second.isAnswered; });
    return hasSlotOrder || fencingProbePending_;
}

// Decisions

template<EvictionPolicyLike Eviction>
std::vector<Action> BasicEngineTable<Eviction>::takeActions(Instant now)
{
    if (!endReason_) {
        std::erase_if(reloadBlockedUntil_, [&](const auto &entry) { return entry.second <= now; });
        startWaiting(now);
        refuseLate(now);
        updateLoadRequests(now);
        if (listingTrusted_) {
            probeFencing(now);
            useGrantedPermits(now);
            requestPermits(now);
        }
    }
    updateBacklog(now);
    requestListing(now);
    return std::exchange(actions_, {});
}

template<EvictionPolicyLike Eviction>
std::optional<Instant> BasicEngineTable<Eviction>::nextDeadline(Instant now) const
{
    std::optional<Instant> next;
    const auto consider = [&](Instant at) { next = next ? std::min(*next, at) : at; };
    if (listingScheduled_ && !listingPending_) {
        consider(std::max(now, listingNotBefore_));
    }
    if (!waiting_.empty()) {
        consider(deadlinesCheckedAt_ + deadlineCheckInterval);
    }
    for (const auto &[adapter, loadRequest] : loadRequests_) {
        if (loadRequest.state == LoadRequestState::Idle && loadRequest.notBefore > now) {
            consider(loadRequest.notBefore);
        }
        if (loadRequest.isPrefetch) {
            consider(loadRequest.prefetchUntil);
        }
    }
    if (engine_.checksFencing && !fencingAcceptedAtEvent_ && fencingProbeNotBefore_ > now) {
        consider(fencingProbeNotBefore_);
    }
    return next;
}

template<EvictionPolicyLike Eviction>
Hint BasicEngineTable<Eviction>::probe(const AdapterRef &adapter, Instant now) const
{
    admission::AdmissionContext ofAnyPlan = admissionContext(adapter, PlanId(), 1, now);
    ofAnyPlan.position = {.planWaiting = ofAnyPlan.position.totalWaiting, .totalWaiting = ofAnyPlan.position.totalWaiting, .serviceFraction = 1};
    return makeHint(adapter, admissionController_.expectedWait(ofAnyPlan, now));
}

template<EvictionPolicyLike Eviction>
Hint BasicEngineTable<Eviction>::probe(const AdapterRef &adapter, const PlanId &plan, double share, Instant now) const
{
    return makeHint(adapter, admissionController_.expectedWait(admissionContext(adapter, plan, share, now), now));
}

template<EvictionPolicyLike Eviction>
Hint BasicEngineTable<Eviction>::makeHint(const AdapterRef &adapter, Milliseconds expectedWait) const
{
    Hint hint;
    hint.accepting = !endReason_ && listingTrusted_;
    hint.queueLength = static_cast<int>(waiting_.size());
    hint.batchFill = std::min(1.0, static_cast<double>(batchSize()) / admission_.engineConcurrency);
    hint.freeSlots = freeSlots() + countEvictable();
    hint.expectedWait = expectedWait;
    if (servableName(adapter)) {
        hint.residency = Residency::Resident;
    } else if (loadingSlot(adapter) != nullptr || loadRequests_.contains(adapter)) {
        hint.residency = Residency::Loading;
    }
    return hint;
}

template<EvictionPolicyLike Eviction>
std::vector<EngineAdapterName> BasicEngineTable<Eviction>::residentAdapters() const
{
    std::vector<EngineAdapterName> names;
    for (const auto &[name, slot] : slots_) {
        if (isServable(name, slot)) {
            names.push_back(name);
        }
    }
    return names;
}

template<EvictionPolicyLike Eviction>
void BasicEngineTable<Eviction>::refuseLate(Instant now)
{
    if (now - deadlinesCheckedAt_ < deadlineCheckInterval) {
        return;
    }
    deadlinesCheckedAt_ = now;
    std::vector<RefuseRequest> refused;
    waiting_.removeIf([&](const WaitingRequest &waiting) {
        auto late = latenessError(waiting.request, now - waiting.since, now);
        if (late) {
            refused.push_back({waiting.request.id, std::move(*late)});
        }
        return late.has_value();
    });
    actions_.insert(actions_.end(), refused.begin(), refused.end());
}

template<EvictionPolicyLike Eviction>
void BasicEngineTable<Eviction>::startWaiting(Instant now)
{
    while (batchSize() < admission_.engineConcurrency) {
        auto next = waiting_.popIf([&](const WaitingRequest &waiting) { return servableName(waiting.request.adapter).has_value(); });
        if (!next) {
            return;
        }
        start(std::move(*next), now);
    }
}

/// Keeps one load request for each adapter that requests wait for or that is being prefetched.
template<EvictionPolicyLike Eviction>
void BasicEngineTable<Eviction>::updateLoadRequests(Instant now)
{
    const auto shares = waitingShares();
    for (const auto &[adapter, weight] : shares) {
        loadRequests_.try_emplace(adapter);
    }
    for (auto entry = loadRequests_.begin(); entry != loadRequests_.end();) {
        const auto current = entry++;
        LoadRequest &loadRequest = current->second;
        if (shares.contains(current->first) || (loadRequest.isPrefetch && now < loadRequest.prefetchUntil)) {
            continue;
        }
        if (loadRequest.state == LoadRequestState::Requested) {
            addAction(CancelPermitRequest{current->first});
        }
        releasePermit(loadRequest.permit);
        loadRequests_.erase(current);
    }
}

template<EvictionPolicyLike Eviction>
void BasicEngineTable<Eviction>::useGrantedPermits(Instant now)
{
    int freeCount = freeSlots();
    int unloadingSlots = countSlots(SlotState::Unloading);
    for (auto &[adapter, loadRequest] : loadRequests_) {
        if (loadRequest.state != LoadRequestState::Granted) {
            continue;
        }
        if (slots_.contains(EngineAdapterName{adapter, epoch_})) { // the same name is loading or unloading
            releasePermit(loadRequest.permit);
            loadRequest.state = LoadRequestState::Idle;
            continue;
        }
        if (freeCount > 0) {
            --freeCount;
            orderLoad(adapter, loadRequest, now);
            continue;
        }
        if (unloadingSlots > 0) {
            --unloadingSlots;
            continue;
        }
        const auto victim = selectVictim(now);
        if (victim == slots_.end()) {
            releasePermit(loadRequest.permit);
            loadRequest.state = LoadRequestState::Idle;
            loadRequest.notBefore = now + loads_.typical;
            continue;
        }
        orderUnload(victim->first, victim->second);
    }
}

template<EvictionPolicyLike Eviction>
void BasicEngineTable<Eviction>::requestPermits(Instant now)
{
    const auto shares = waitingShares();
    int availableSlots = freeSlots() + countSlots(SlotState::Unloading) + countEvictable();
    for (const auto &[adapter, loadRequest] : loadRequests_) {
        availableSlots -= loadRequest.state == LoadRequestState::Idle ? 0 : 1;
    }
    double victimRate = 0;
    if (freeSlots() <= 0) {
        const auto victim = selectVictim(now);
        victimRate = victim == slots_.end() ? 0 : eviction_.ratePerSecond(victim->first.adapter, now);
    }
    for (auto &[adapter, loadRequest] : loadRequests_) {
        const auto weight = shares.find(adapter);
        const LoadPriority priority{weight == shares.end() ? 0 : weight->second, victimRate};
        if (loadRequest.state == LoadRequestState::Requested) {
            const double previous = loadRequest.requestedPriority.waitingWeight;
            if (priority.waitingWeight > previous * detail::priorityChangeFactor || priority.waitingWeight * detail::priorityChangeFactor < previous) {
                loadRequest.requestedPriority = priority;
                addAction(RequestPermit{adapter, priority});
            }
            continue;
        }
        const bool isOrderPending = slots_.contains(EngineAdapterName{adapter, epoch_}); // the same name is loading or unloading
        const bool blocked = reloadBlockedUntil_.contains(adapter) || isOrderPending || now < loadRequest.notBefore;
        if (loadRequest.state == LoadRequestState::Granted || blocked || availableSlots <= 0) {
            continue;
        }
        --availableSlots;
        loadRequest.state = LoadRequestState::Requested;
        loadRequest.requestedPriority = priority;
        loadRequest.since = now;
        addAction(RequestPermit{adapter, priority});
    }
}

template<EvictionPolicyLike Eviction>
void BasicEngineTable<Eviction>::requestListing(Instant now)
{
    if (!listingScheduled_ || listingPending_ || now < listingNotBefore_) {
        return;
    }
    listingPending_ = true;
    listingScheduled_ = false;
    listingRequestEvent_ = lastEvent_;
    listingRequestedAt_ = now;
    addAction(FetchListing{});
}

/// Names of earlier owners are served once the engine has accepted an order with our fencing number. Unloading a name that is never
/// loaded is such an order without side effects.
template<EvictionPolicyLike Eviction>
void BasicEngineTable<Eviction>::probeFencing(Instant now)
{
    if (!engine_.checksFencing || fencingAcceptedAtEvent_ || fencingProbePending_ || now < fencingProbeNotBefore_) {
        return;
    }
    const bool holdsEarlierNames = std::any_of(slots_.begin(), slots_.end(), [&](const auto &entry) { return entry.first.epoch < epoch_; });
    if (holdsEarlierNames) {
        fencingProbePending_ = true;
        addAction(OrderUnload{detail::fencingProbeName(epoch_)});
    }
}

// Slots

template<EvictionPolicyLike Eviction>
bool BasicEngineTable<Eviction>::isServable(const EngineAdapterName &name, const Slot &slot) const
{
    const bool isAdopted = engine_.checksFencing && fencingAcceptedAtEvent_ && slot.confirmedAtEvent >= *fencingAcceptedAtEvent_ && name.epoch < epoch_;
    return listingTrusted_ && !endReason_ && slot.state == SlotState::Resident && (name.epoch == epoch_ || isAdopted);
}

template<EvictionPolicyLike Eviction>
bool BasicEngineTable<Eviction>::isEvictable(const EngineAdapterName &name, const Slot &slot) const
{
    const bool isIdle = slot.state == SlotState::Resident && pinCount(name) == 0 && slot.unpinnedRunning == 0;
    const bool isOurs = name.epoch == epoch_ || (goneOwners_.contains(name.epoch) && slot.listedAfterOwnerGone);
    return listingTrusted_ && !endReason_ && isIdle && isOurs && !(isServable(name, slot) && hasWaitingRequest(name.adapter));
}

template<EvictionPolicyLike Eviction>
bool BasicEngineTable<Eviction>::hasWaitingRequest(const AdapterRef &adapter) const
{
    bool isWaitedFor = false;
    waiting_.forEach([&](const PlanId &, double, const WaitingRequest &waiting) { isWaitedFor = isWaitedFor || waiting.request.adapter == adapter; });
    return isWaitedFor;
}

template<EvictionPolicyLike Eviction>
std::optional<EngineAdapterName> BasicEngineTable<Eviction>::servableName(const AdapterRef &adapter) const
{
    const auto begin = slots_.lower_bound(EngineAdapterName{adapter, Epoch()});
    std::optional<EngineAdapterName> best;
    for (auto entry = begin; entry != slots_.end() && entry->first.adapter == adapter; ++entry) {
        if (isServable(entry->first, entry->second)) {
            best = entry->first;
        }
    }
    return best;
}

template<EvictionPolicyLike Eviction>
typename BasicEngineTable<Eviction>::Slots::iterator BasicEngineTable<Eviction>::selectVictim(Instant now)
{
    auto best = slots_.end();
    double least = std::numeric_limits<double>::max();
    for (auto entry = slots_.begin(); entry != slots_.end(); ++entry) {
        if (!isEvictable(entry->first, entry->second)) {
            continue;
        }
        const double value = eviction_.value(entry->first.adapter, now);
        if (value < least) {
            least = value;
            best = entry;
        }
    }
    return best;
}

template<EvictionPolicyLike Eviction>
const typename BasicEngineTable<Eviction>::Slot *BasicEngineTable<Eviction>::loadingSlot(const AdapterRef &adapter) const
{
    const auto found = slots_.find(EngineAdapterName{adapter, epoch_});
    const bool isLoading = found != slots_.end() && (found->second.state == SlotState::Loading || found->second.state == SlotState::Uncertain);
    return isLoading ? &found->second : nullptr;
}

template<EvictionPolicyLike Eviction>
int BasicEngineTable<Eviction>::countSlots(SlotState state) const
{
    return static_cast<int>(std::count_if(slots_.begin(), slots_.end(), [&](const auto &entry) { return entry.second.state == state; }));
}

template<EvictionPolicyLike Eviction>
int BasicEngineTable<Eviction>::freeSlots() const
{
    return std::max(0, engine_.slots - loads_.spareSlots - unparsedNames_ - static_cast<int>(slots_.size()));
}

template<EvictionPolicyLike Eviction>
int BasicEngineTable<Eviction>::countEvictable() const
{
    return static_cast<int>(std::count_if(slots_.begin(), slots_.end(), [&](const auto &entry) { return isEvictable(entry.first, entry.second); }));
}

template<EvictionPolicyLike Eviction>
void BasicEngineTable<Eviction>::markChanged(Slot &slot)
{
    slot.changedAtEvent = ++lastEvent_;
}

/// From now on the engine rejects orders of earlier owners, so adapters that a listing shows stay until we unload them.
template<EvictionPolicyLike Eviction>
void BasicEngineTable<Eviction>::onFencingAccepted(Instant now)
{
    if (!engine_.checksFencing || fencingAcceptedAtEvent_) {
        return;
    }
    fencingAcceptedAtEvent_ = ++lastEvent_;
    const bool holdsEarlierNames = std::any_of(slots_.begin(), slots_.end(), [&](const auto &entry) { return entry.first.epoch < epoch_; });
    if (holdsEarlierNames) {
        scheduleListing(now);
    }
}

template<EvictionPolicyLike Eviction>
void BasicEngineTable<Eviction>::orderLoad(const AdapterRef &adapter, LoadRequest &loadRequest, Instant now)
{
    const EngineAdapterName name{adapter, epoch_};
    Slot &slot = slots_[name];
    slot.state = SlotState::Loading;
    slot.isAnswered = false;
    slot.orderedAtStart = engineStart_;
    slot.permit = loadRequest.permit;
    slot.since = now;
    markChanged(slot);
    loadRequest.state = LoadRequestState::Idle;
    loadRequest.permit.reset();
    addAction(OrderLoad{name, *slot.permit});
}

template<EvictionPolicyLike Eviction>
void BasicEngineTable<Eviction>::orderUnload(const EngineAdapterName &name, Slot &slot)
{
    slot.state = SlotState::Unloading;
    slot.isAnswered = false;
    markChanged(slot);
    addAction(OrderUnload{name});
}

} // namespace baobabstall::engines
