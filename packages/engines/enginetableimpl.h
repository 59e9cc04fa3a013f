// engines/enginetableimpl.h: the bodies of BasicEngineTable. Include it only to build a table with another eviction policy.
#pragma once

#include <algorithm>
#include <cmath>
#include <limits>

#include <engines/enginetable.h>

namespace baobabstall::engines {

namespace detail {

constexpr double newSampleWeight = 0.1;      // of a new sample in a running mean
constexpr double permitWaitDecayMs = 2'000;  // time constant by which an old permit wait is forgotten
constexpr double priorityChangeFactor = 1.5; // factor of change that is worth a message to the budget's owner
constexpr Milliseconds prefetchTtl{2'000};   // how long a load ahead is still of use
constexpr int maxNotFoundRetries = 2;        // "unknown name" answers before a request is refused
constexpr int residentWaitFactor = 2; // multiple of maxQueueWait after which a request for a resident adapter that waits longer than expected is given up
constexpr Milliseconds initialServiceTime{1'000}; // until requests were measured

/// A name that is never loaded.
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
    , gate_(admission, detail::initialServiceTime)
    , loadMs_(static_cast<double>(loads.typical.count()))
{ }

// Requests

template<EvictionPolicyLike Eviction>
void BasicEngineTable<Eviction>::enqueue(Request request, Instant now)
{
    if (ended_) {
        refuse(request.id, refusal(*ended_, Milliseconds(0)));
        return;
    }
    if (request.adapter == detail::fencingProbeName(epoch_).adapter) {
        refuse(request.id, refusal("a reserved name", std::nullopt));
        return;
    }
    eviction_.used(request.adapter, request.share, now);
    if (auto late = lateness(request, Milliseconds(0), now)) {
        refuse(request.id, std::move(*late));
        return;
    }
    startWaiting(now);
    admission::AdmissionContext expected = prospect(request.adapter, request.plan, request.share, now);
    expected.startBy = request.deadline;
    core::Error why;
    if (!gate_.admit(request.plan, expected, now, why)) {
        why.peer = engine_.id.value();
        refuse(request.id, std::move(why));
        return;
    }
    if (servedName(request.adapter) && batchUsed() < admission_.engineConcurrency) {
        start({std::move(request), now, 0}, now);
    } else {
        queue({std::move(request), now, 0}, now);
    }
}

template<EvictionPolicyLike Eviction>
void BasicEngineTable<Eviction>::queue(Waiting waiting, Instant now)
{
    const PlanId plan = waiting.request.plan;
    const double share = waiting.request.share;
    const auto pushed = waiting_.push(plan, share, std::move(waiting));
    if (pushed.refused) {
        const Request &refused = pushed.refused->request;
        core::Error why = gate_.displacementError(refused.plan, prospect(refused.adapter, refused.plan, refused.share, now), now);
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
        gate_.onFinish(now, now - found->second.since);
    } else if (end == RequestEnd::Lost) {
        wantListing(now + relistInterval);
    }
    unpin(found->second, end);
    running_.erase(found);
}

template<EvictionPolicyLike Eviction>
void BasicEngineTable<Eviction>::cancel(const RequestId &id, Instant)
{
    waiting_.removeIf([&](const Waiting &waiting) { return waiting.request.id == id; });
}

template<EvictionPolicyLike Eviction>
void BasicEngineTable<Eviction>::adapterNotFound(const RequestId &id, Instant now)
{
    const auto found = running_.find(id);
    if (found == running_.end()) {
        return;
    }
    Running running = std::move(found->second);
    running_.erase(found);
    unpin(running, RequestEnd::Complete);
    if (running.aborted) {
        return;
    }
    doubt();
    if (ended_) {
        refuse(id, refusal(*ended_, Milliseconds(0)));
    } else if (++running.waited.bounces > detail::maxNotFoundRetries) {
        refuse(id, refusal("the engine lists the adapter but does not run it", relistInterval));
    } else {
        queue(std::move(running.waited), now);
    }
}

template<EvictionPolicyLike Eviction>
void BasicEngineTable<Eviction>::prefetch(const AdapterRef &adapter, Instant now)
{
    if (ended_ || servedName(adapter) || loadingSlot(adapter) != nullptr) {
        return;
    }
    Want &want = wants_[adapter];
    want.ahead = true;
    want.aheadUntil = now + detail::prefetchTtl;
}

template<EvictionPolicyLike Eviction>
void BasicEngineTable<Eviction>::start(Waiting waiting, Instant now)
{
    const EngineAdapterName name = *servedName(waiting.request.adapter);
    Slot &slot = slots_.at(name);
    touch(slot);
    const RequestId id = waiting.request.id;
    act(StartRequest{id, name});
    running_.emplace(id, Running{std::move(waiting), name, now});
}

template<EvictionPolicyLike Eviction>
void BasicEngineTable<Eviction>::unpin(const Running &running, RequestEnd end)
{
    const auto found = slots_.find(running.name);
    if (found == slots_.end()) {
        return;
    }
    Slot &slot = found->second;
    touch(slot);
    if (end == RequestEnd::Lost) {
        ++slot.elsewhere;
        slot.lostAt = lastEvent_;
    }
}

template<EvictionPolicyLike Eviction>
void BasicEngineTable<Eviction>::refuse(const RequestId &id, core::Error error)
{
    act(RefuseRequest{id, std::move(error)});
}

template<EvictionPolicyLike Eviction>
void BasicEngineTable<Eviction>::refuseAdapter(const AdapterRef &adapter, const core::Error &error)
{
    for (const Waiting &waiting : waiting_.removeIf([&](const Waiting &each) { return each.request.adapter == adapter; })) {
        refuse(waiting.request.id, error);
    }
}

/// The refusal of a request whose deadline passed or whose adapter will not be there in time. Its place in the queue is judged once, by
/// the gate when it comes: to judge it again as the queue grows behind it would refuse what is about to start.
template<EvictionPolicyLike Eviction>
std::optional<core::Error> BasicEngineTable<Eviction>::lateness(const Request &request, Milliseconds waited, Instant now) const
{
    if (request.deadline <= now) {
        core::Error error = refusal("deadline passed before a start", std::nullopt);
        error.refusal = core::Refusal::Timeout;
        return error;
    }
    const bool isResident = servedName(request.adapter).has_value();
    if (waited >= admission_.maxQueueWait * (isResident ? detail::residentWaitFactor : 1)) {
        return refusal("waited too long", loadWait(request.adapter, now));
    }
    const Milliseconds wait = isResident ? Milliseconds(0) : loadWait(request.adapter, now);
    if (wait > admission_.maxQueueWait || now + wait > request.deadline) {
        return refusal("its adapter is expected only in " + std::to_string(wait.count()) + " ms", wait);
    }
    return std::nullopt;
}

template<EvictionPolicyLike Eviction>
admission::AdmissionContext BasicEngineTable<Eviction>::prospect(const AdapterRef &adapter, const PlanId &plan, double share, Instant now) const
{
    const auto waitsForPlace = [&](const Waiting &waiting) { return servedName(waiting.request.adapter).has_value(); };
    const admission::QueuePosition standing = waiting_.position(plan, share, waitsForPlace);
    return {.position = standing,
            .hasFreeSlot = batchUsed() < admission_.engineConcurrency && standing.totalWaiting == 0,
            .loadWait = servedName(adapter) ? Milliseconds(0) : loadWait(adapter, now),
            .startBy = std::nullopt};
}

/// The drain is measured only while something waits for a place in the batch.
template<EvictionPolicyLike Eviction>
void BasicEngineTable<Eviction>::noteBacklog(Instant now)
{
    const auto waitsForPlace = [&](const Waiting &waiting) { return servedName(waiting.request.adapter).has_value(); };
    gate_.setBacklogged(now, batchUsed() >= admission_.engineConcurrency && waiting_.position(PlanId(), 1, waitsForPlace).totalWaiting > 0);
}

template<EvictionPolicyLike Eviction>
Milliseconds BasicEngineTable<Eviction>::loadWait(const AdapterRef &adapter, Instant now) const
{
    if (const Slot *slot = loadingSlot(adapter)) {
        const auto elapsed = static_cast<double>((now - slot->since).count());
        return detail::toMilliseconds(std::max(loadMs_ - elapsed, loadMs_ / 4));
    }
    double wait = loadMs_;
    const auto want = wants_.find(adapter);
    const WantState state = want == wants_.end() ? WantState::Idle : want->second.state;
    if (state == WantState::Asked) {
        const auto elapsed = static_cast<double>((now - want->second.since).count());
        wait += std::max(permitWait(now) - elapsed, 0.0);
    } else if (state == WantState::Idle) {
        wait += permitWait(now);
        wait += freeSlots() + evictableSlots() > 0 ? 0 : static_cast<double>(gate_.drainRate().meanServiceTime().count()) / 2;
    }
    const auto blocked = quarantine_.find(adapter);
    if (blocked != quarantine_.end()) {
        wait = std::max(wait, static_cast<double>((blocked->second - now).count()) + loadMs_);
    }
    return detail::toMilliseconds(wait);
}

template<EvictionPolicyLike Eviction>
double BasicEngineTable<Eviction>::permitWait(Instant now) const
{
    const auto age = static_cast<double>((now - permitMeasuredAt_).count());
    return permitMs_ * std::exp(-age / detail::permitWaitDecayMs);
}

template<EvictionPolicyLike Eviction>
core::Error BasicEngineTable<Eviction>::refusal(std::string reason, std::optional<Milliseconds> retryAfter) const
{
    return {.step = core::Step::Admit,
            .peer = engine_.id.value(),
            .reason = std::move(reason),
            .refusal = core::Refusal::Unavailable,
            .outcome = core::Outcome::NotRun,
            .retryAfter = retryAfter};
}

template<EvictionPolicyLike Eviction>
int BasicEngineTable<Eviction>::batchUsed() const
{
    int used = static_cast<int>(running_.size());
    for (const auto &[name, slot] : slots_) {
        used += slot.elsewhere;
    }
    return used;
}

template<EvictionPolicyLike Eviction>
int BasicEngineTable<Eviction>::pins(const EngineAdapterName &name) const
{
    return static_cast<int>(std::count_if(running_.begin(), running_.end(), [&](const auto &entry) { return entry.second.name == name; }));
}

template<EvictionPolicyLike Eviction>
std::map<AdapterRef, double> BasicEngineTable<Eviction>::demand() const
{
    std::map<AdapterRef, double> weights;
    waiting_.forEach([&](const PlanId &, double share, const Waiting &waiting) {
        if (!servedName(waiting.request.adapter)) {
            weights[waiting.request.adapter] += share;
        }
    });
    return weights;
}

// Permits

template<EvictionPolicyLike Eviction>
void BasicEngineTable<Eviction>::permitGranted(const AdapterRef &adapter, PermitId permit, Instant now)
{
    const auto found = wants_.find(adapter);
    if (found == wants_.end() || found->second.state == WantState::Granted) {
        act(ReleasePermit{permit});
        return;
    }
    Want &want = found->second;
    if (want.state == WantState::Asked) {
        permitMs_ = permitWait(now);
        detail::updateMean(permitMs_, now - want.since);
        permitMeasuredAt_ = now;
    }
    want.state = WantState::Granted;
    want.permit = permit;
}

template<EvictionPolicyLike Eviction>
void BasicEngineTable<Eviction>::permitRefused(const AdapterRef &adapter, Instant now)
{
    const auto found = wants_.find(adapter);
    if (found != wants_.end() && found->second.state == WantState::Asked) {
        found->second.state = WantState::Idle;
        found->second.notBefore = now + loads_.typical;
    }
}

template<EvictionPolicyLike Eviction>
void BasicEngineTable<Eviction>::permitRequestsLost(Instant)
{
    for (auto &[adapter, want] : wants_) {
        if (want.state == WantState::Asked) {
            want.state = WantState::Idle;
        }
    }
}

template<EvictionPolicyLike Eviction>
void BasicEngineTable<Eviction>::returnPermit(std::optional<PermitId> &permit)
{
    if (permit) {
        act(ReleasePermit{*permit});
        permit.reset();
    }
}

// Answers of the engine

template<EvictionPolicyLike Eviction>
void BasicEngineTable<Eviction>::loadEnded(const EngineAdapterName &name, LoadOutcome outcome, Instant now)
{
    const auto found = slots_.find(name);
    if (found == slots_.end() || found->second.state != SlotState::Loading) {
        return;
    }
    Slot &slot = found->second;
    const bool sameRun = slot.orderedUnder == start_;
    slot.answered = true;
    touch(slot);
    if (outcome == LoadOutcome::Unknown || (outcome == LoadOutcome::Loaded && !sameRun)) {
        slot.state = SlotState::Uncertain;
        doubt();
        return;
    }
    returnPermit(slot.permit);
    if (outcome == LoadOutcome::Loaded) {
        slot.state = SlotState::Resident;
        detail::updateMean(loadMs_, now - slot.since);
        fenceTaken(now);
        wants_.erase(name.adapter);
        return;
    }
    erase(found);
    loadFailed(name, outcome, now);
}

template<EvictionPolicyLike Eviction>
void BasicEngineTable<Eviction>::loadFailed(const EngineAdapterName &name, LoadOutcome outcome, Instant now)
{
    if (outcome == LoadOutcome::StaleFencing) {
        endOwnership("the engine has a later owner");
        return;
    }
    Want &want = wants_[name.adapter];
    want.notBefore = now + loads_.typical;
    if (outcome == LoadOutcome::NoFreeSlot) {
        wantListing(now);
        return;
    }
    if (++want.failures >= maxLoadAttempts) {
        core::Error error = refusal("the adapter could not be loaded", loads_.typical * maxLoadAttempts * 2);
        error.step = core::Step::Load;
        refuseAdapter(name.adapter, error);
        wants_.erase(name.adapter);
    }
}

template<EvictionPolicyLike Eviction>
void BasicEngineTable<Eviction>::unloadEnded(const EngineAdapterName &name, UnloadOutcome outcome, Instant now)
{
    if (outcome == UnloadOutcome::StaleFencing) {
        endOwnership("the engine has a later owner");
    }
    const bool taken = outcome == UnloadOutcome::Unloaded || outcome == UnloadOutcome::NotHeld;
    if (taken) {
        fenceTaken(now);
    }
    if (name == detail::fencingProbeName(epoch_)) {
        fenceProbeOut_ = false;
        fenceNotBefore_ = now + relistInterval;
    }
    const auto found = slots_.find(name);
    if (found == slots_.end() || found->second.state != SlotState::Unloading) {
        return;
    }
    Slot &slot = found->second;
    slot.answered = true;
    touch(slot);
    if (taken) {
        forgetUnloaded(found, now);
    } else if (outcome == UnloadOutcome::Unknown) {
        slot.lostAnswer = true;
        wantListing(now);
    }
}

/// An earlier order with a lost answer may still reach the engine, so the name stays blocked for a while.
template<EvictionPolicyLike Eviction>
void BasicEngineTable<Eviction>::forgetUnloaded(typename Slots::iterator slot, Instant now)
{
    if (slot->second.lostAnswer && slot->first.epoch == epoch_) {
        quarantine_[slot->first.adapter] = now + loads_.timeout;
    }
    erase(slot);
}

template<EvictionPolicyLike Eviction>
void BasicEngineTable<Eviction>::erase(typename Slots::iterator slot)
{
    erased_[slot->first] = ++lastEvent_;
    slots_.erase(slot);
}

template<EvictionPolicyLike Eviction>
void BasicEngineTable<Eviction>::listed(const Listing &listing, Instant now)
{
    if (!listingAsked_) {
        return;
    }
    listingAsked_ = false;
    listingWanted_ = false;
    std::erase_if(erased_, [&](const auto &entry) { return entry.second <= listingAskedAt_; });
    if (start_ != listing.start) {
        if (start_ != EngineStart()) {
            restarted(now);
        }
        start_ = listing.start;
    }
    engine_.slots = listing.slots > 0 ? listing.slots : engine_.slots;
    unreadable_ = 0;
    std::set<EngineAdapterName> names;
    for (const ListedAdapter &entry : listing.adapters) {
        const auto name = EngineAdapterName::parse(entry.name);
        if (!name) {
            ++unreadable_;
            continue;
        }
        if (erased_.contains(*name)) {
            wantListing(now + relistInterval);
            continue;
        }
        names.insert(*name);
        applyListed(*name, entry.running, now);
    }
    applyMissing(names, now);
    if (doubtAt_ > listingAskedAt_) {
        wantListing(now); // asked for before the last reason for doubt
        return;
    }
    listingTrusted_ = true;
    if (isUncertain()) {
        wantListing(now + relistInterval);
    }
}

template<EvictionPolicyLike Eviction>
void BasicEngineTable<Eviction>::listingFailed(Instant now)
{
    listingAsked_ = false;
    wantListing(now + relistInterval);
}

template<EvictionPolicyLike Eviction>
void BasicEngineTable<Eviction>::restarted(Instant now)
{
    for (auto &[id, running] : running_) {
        if (std::exchange(running.aborted, true)) {
            continue;
        }
        core::Error error = refusal("the engine restarted while it ran the request", loads_.typical);
        error.step = core::Step::Upstream;
        error.refusal = core::Refusal::BadAnswer;
        error.outcome = core::Outcome::Unknown;
        act(AbortRequest{id, std::move(error)});
    }
    for (auto entry = slots_.begin(); entry != slots_.end();) {
        const auto current = entry++;
        current->second.elsewhere = 0;
        if (current->second.answered) {
            returnPermit(current->second.permit);
            forgetUnloaded(current, now);
        }
    }
    fenceTakenAt_.reset();
}

template<EvictionPolicyLike Eviction>
void BasicEngineTable<Eviction>::applyListed(const EngineAdapterName &name, int running, Instant now)
{
    if (name.epoch > epoch_) {
        endOwnership("the engine holds names of a later owner");
    }
    const auto [entry, isNew] = slots_.try_emplace(name);
    Slot &slot = entry->second;
    if (isNew) {
        slot.orderedUnder = start_;
        slot.since = now;
        slot.elsewhere = running;
        slot.lostAnswer = name.epoch == epoch_ && quarantine_.contains(name.adapter);
        slot.state = slot.lostAnswer ? SlotState::Unloading : SlotState::Resident;
    }
    slot.confirmedAt = listingAskedAt_;
    const bool changedSince = slot.changedAt > listingAskedAt_;
    countElsewhere(name, slot, running, changedSince);
    if (changedSince) {
        return;
    }
    if (slot.state == SlotState::Uncertain) {
        slot.state = SlotState::Resident;
        returnPermit(slot.permit);
        wants_.erase(name.adapter);
    } else if (slot.state == SlotState::Unloading && slot.answered && running == 0 && !ended_) {
        orderUnload(name, slot);
    }
}

/// Never too low where an evict order may follow: a pinned request may have ended on the engine already, so pins can't be subtracted.
template<EvictionPolicyLike Eviction>
void BasicEngineTable<Eviction>::countElsewhere(const EngineAdapterName &name, Slot &slot, int running, bool changedSince)
{
    const auto gone = gone_.find(name.epoch);
    const bool settled = gone != gone_.end() && gone->second + settleTime <= listingAskedTime_;
    const bool firstSettled = settled && !std::exchange(slot.seenAfterGone, settled);
    if (name.epoch != epoch_ && !settled) {
        slot.elsewhere = std::max(0, running - pins(name)); // not evictable yet; for the size of the batch only
    } else if (firstSettled) {
        slot.elsewhere = running + (changedSince ? slot.elsewhere : 0);
    } else if (pins(name) == 0 && !changedSince) {
        slot.elsewhere = running;
    } else if (slot.lostAt <= listingAskedAt_) { // what was lost before can only have ended since
        slot.elsewhere = std::min(slot.elsewhere, running);
    }
}

template<EvictionPolicyLike Eviction>
void BasicEngineTable<Eviction>::applyMissing(const std::set<EngineAdapterName> &listed, Instant now)
{
    for (auto entry = slots_.begin(); entry != slots_.end();) {
        const auto current = entry++;
        Slot &slot = current->second;
        if (listed.contains(current->first) || !slot.answered || slot.changedAt > listingAskedAt_) {
            continue;
        }
        returnPermit(slot.permit);
        forgetUnloaded(current, now);
    }
}

template<EvictionPolicyLike Eviction>
bool BasicEngineTable<Eviction>::isUncertain() const
{
    return std::any_of(slots_.begin(), slots_.end(), [&](const auto &entry) {
        const auto &[name, slot] = entry;
        const bool awaitsEvidence = gone_.contains(name.epoch) && !slot.seenAfterGone;
        const bool unsettled = slot.answered && (slot.state == SlotState::Uncertain || slot.state == SlotState::Unloading);
        return slot.elsewhere > 0 || awaitsEvidence || unsettled;
    });
}

template<EvictionPolicyLike Eviction>
void BasicEngineTable<Eviction>::doubt()
{
    listingTrusted_ = false;
    doubtAt_ = ++lastEvent_;
    listingWanted_ = true;
    listingNotBefore_ = Instant(std::numeric_limits<std::int64_t>::min());
}

template<EvictionPolicyLike Eviction>
void BasicEngineTable<Eviction>::wantListing(Instant notBefore)
{
    listingNotBefore_ = listingWanted_ ? std::min(listingNotBefore_, notBefore) : notBefore;
    listingWanted_ = true;
}

// Ownership

template<EvictionPolicyLike Eviction>
void BasicEngineTable<Eviction>::ownerGone(Epoch old, Instant now)
{
    if (old >= epoch_ || !gone_.try_emplace(old, now).second) {
        return;
    }
    const bool holdsSome = std::any_of(slots_.begin(), slots_.end(), [&](const auto &entry) { return entry.first.epoch == old; });
    if (holdsSome) {
        wantListing(now + settleTime);
    }
}

template<EvictionPolicyLike Eviction>
void BasicEngineTable<Eviction>::superseded(Instant)
{
    endOwnership("the engine has a later owner");
}

template<EvictionPolicyLike Eviction>
void BasicEngineTable<Eviction>::drain(Instant)
{
    endOwnership("the engine is being handed over");
}

template<EvictionPolicyLike Eviction>
void BasicEngineTable<Eviction>::endOwnership(std::string reason)
{
    if (ended_) {
        return;
    }
    ended_ = std::move(reason);
    for (const Waiting &waiting : waiting_.removeIf([](const Waiting &) { return true; })) {
        refuse(waiting.request.id, refusal(*ended_, Milliseconds(0)));
    }
    for (auto &[adapter, want] : wants_) {
        if (want.state == WantState::Asked) {
            act(CancelPermitRequest{adapter});
        }
        returnPermit(want.permit);
    }
    wants_.clear();
}

template<EvictionPolicyLike Eviction>
bool BasicEngineTable<Eviction>::hasPendingOrders() const
{
    const bool slotOrders = std::any_of(slots_.begin(), slots_.end(), [](const auto &entry) { return !entry.second.answered; });
    return slotOrders || fenceProbeOut_;
}

// Decisions

template<EvictionPolicyLike Eviction>
std::vector<Action> BasicEngineTable<Eviction>::takeActions(Instant now)
{
    if (!ended_) {
        std::erase_if(quarantine_, [&](const auto &entry) { return entry.second <= now; });
        startWaiting(now);
        refuseLate(now);
        updateWants(now);
        if (listingTrusted_) {
            proveFencing(now);
            useGrants(now);
            askPermits(now);
        }
    }
    noteBacklog(now);
    askListing(now);
    return std::exchange(actions_, {});
}

template<EvictionPolicyLike Eviction>
std::optional<Instant> BasicEngineTable<Eviction>::nextDeadline(Instant now) const
{
    std::optional<Instant> next;
    const auto consider = [&](Instant at) { next = next ? std::min(*next, at) : at; };
    if (listingWanted_ && !listingAsked_) {
        consider(std::max(now, listingNotBefore_));
    }
    if (!waiting_.empty()) {
        consider(sweptAt_ + deadlineCheckInterval);
    }
    for (const auto &[adapter, want] : wants_) {
        if (want.state == WantState::Idle && want.notBefore > now) {
            consider(want.notBefore);
        }
        if (want.ahead) {
            consider(want.aheadUntil);
        }
    }
    if (engine_.checksFencing && !fenceTakenAt_ && fenceNotBefore_ > now) {
        consider(fenceNotBefore_);
    }
    return next;
}

template<EvictionPolicyLike Eviction>
Hint BasicEngineTable<Eviction>::probe(const AdapterRef &adapter, Instant now) const
{
    admission::AdmissionContext ofAny = prospect(adapter, PlanId(), 1, now);
    ofAny.position = {.planWaiting = ofAny.position.totalWaiting, .totalWaiting = ofAny.position.totalWaiting, .serviceFraction = 1};
    return hintOf(adapter, gate_.expectedWait(ofAny, now));
}

template<EvictionPolicyLike Eviction>
Hint BasicEngineTable<Eviction>::probe(const AdapterRef &adapter, const PlanId &plan, double share, Instant now) const
{
    return hintOf(adapter, gate_.expectedWait(prospect(adapter, plan, share, now), now));
}

template<EvictionPolicyLike Eviction>
Hint BasicEngineTable<Eviction>::hintOf(const AdapterRef &adapter, Milliseconds expectedWait) const
{
    Hint hint;
    hint.accepting = !ended_ && listingTrusted_;
    hint.queueLength = static_cast<int>(waiting_.size());
    hint.batchFill = std::min(1.0, static_cast<double>(batchUsed()) / admission_.engineConcurrency);
    hint.freeSlots = freeSlots() + evictableSlots();
    hint.expectedWait = expectedWait;
    if (servedName(adapter)) {
        hint.residency = Residency::Resident;
    } else if (loadingSlot(adapter) != nullptr || wants_.contains(adapter)) {
        hint.residency = Residency::Loading;
    }
    return hint;
}

template<EvictionPolicyLike Eviction>
std::vector<EngineAdapterName> BasicEngineTable<Eviction>::residentAdapters() const
{
    std::vector<EngineAdapterName> names;
    for (const auto &[name, slot] : slots_) {
        if (servable(name, slot)) {
            names.push_back(name);
        }
    }
    return names;
}

template<EvictionPolicyLike Eviction>
void BasicEngineTable<Eviction>::refuseLate(Instant now)
{
    if (now - sweptAt_ < deadlineCheckInterval) {
        return;
    }
    sweptAt_ = now;
    std::vector<RefuseRequest> refused;
    waiting_.removeIf([&](const Waiting &waiting) {
        auto late = lateness(waiting.request, now - waiting.since, now);
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
    while (batchUsed() < admission_.engineConcurrency) {
        auto next = waiting_.popIf([&](const Waiting &waiting) { return servedName(waiting.request.adapter).has_value(); });
        if (!next) {
            return;
        }
        start(std::move(*next), now);
    }
}

/// Keeps one want for each adapter that requests wait for, or that is to be loaded ahead.
template<EvictionPolicyLike Eviction>
void BasicEngineTable<Eviction>::updateWants(Instant now)
{
    const auto weights = demand();
    for (const auto &[adapter, weight] : weights) {
        wants_.try_emplace(adapter);
    }
    for (auto entry = wants_.begin(); entry != wants_.end();) {
        const auto current = entry++;
        Want &want = current->second;
        if (weights.contains(current->first) || (want.ahead && now < want.aheadUntil)) {
            continue;
        }
        if (want.state == WantState::Asked) {
            act(CancelPermitRequest{current->first});
        }
        returnPermit(want.permit);
        wants_.erase(current);
    }
}

template<EvictionPolicyLike Eviction>
void BasicEngineTable<Eviction>::useGrants(Instant now)
{
    int free = freeSlots();
    int coming = countSlots(SlotState::Unloading);
    for (auto &[adapter, want] : wants_) {
        if (want.state != WantState::Granted) {
            continue;
        }
        if (slots_.contains(EngineAdapterName{adapter, epoch_})) { // the same name is loading or unloading
            returnPermit(want.permit);
            want.state = WantState::Idle;
            continue;
        }
        if (free > 0) {
            --free;
            orderLoad(adapter, want, now);
            continue;
        }
        if (coming > 0) {
            --coming;
            continue;
        }
        const auto evicted = victim(now);
        if (evicted == slots_.end()) {
            returnPermit(want.permit);
            want.state = WantState::Idle;
            want.notBefore = now + loads_.typical;
            continue;
        }
        orderUnload(evicted->first, evicted->second);
    }
}

template<EvictionPolicyLike Eviction>
void BasicEngineTable<Eviction>::askPermits(Instant now)
{
    const auto weights = demand();
    int room = freeSlots() + countSlots(SlotState::Unloading) + evictableSlots();
    for (const auto &[adapter, want] : wants_) {
        room -= want.state == WantState::Idle ? 0 : 1;
    }
    double victimRate = 0;
    if (freeSlots() <= 0) {
        const auto evicted = victim(now);
        victimRate = evicted == slots_.end() ? 0 : eviction_.ratePerSecond(evicted->first.adapter, now);
    }
    for (auto &[adapter, want] : wants_) {
        const auto weight = weights.find(adapter);
        const LoadPriority worth{weight == weights.end() ? 0 : weight->second, victimRate};
        if (want.state == WantState::Asked) {
            const double before = want.asked.waitingWeight;
            if (worth.waitingWeight > before * detail::priorityChangeFactor || worth.waitingWeight * detail::priorityChangeFactor < before) {
                want.asked = worth;
                act(RequestPermit{adapter, worth});
            }
            continue;
        }
        const bool ordersOut = slots_.contains(EngineAdapterName{adapter, epoch_}); // the same name is loading or unloading
        const bool blocked = quarantine_.contains(adapter) || ordersOut || now < want.notBefore;
        if (want.state == WantState::Granted || blocked || room <= 0) {
            continue;
        }
        --room;
        want.state = WantState::Asked;
        want.asked = worth;
        want.since = now;
        act(RequestPermit{adapter, worth});
    }
}

template<EvictionPolicyLike Eviction>
void BasicEngineTable<Eviction>::askListing(Instant now)
{
    if (!listingWanted_ || listingAsked_ || now < listingNotBefore_) {
        return;
    }
    listingAsked_ = true;
    listingWanted_ = false;
    listingAskedAt_ = lastEvent_;
    listingAskedTime_ = now;
    act(FetchListing{});
}

/// Earlier owners' names are served once the engine has taken an order with our number. A name that is never loaded makes a harmless one.
template<EvictionPolicyLike Eviction>
void BasicEngineTable<Eviction>::proveFencing(Instant now)
{
    if (!engine_.checksFencing || fenceTakenAt_ || fenceProbeOut_ || now < fenceNotBefore_) {
        return;
    }
    const bool holdsEarlier = std::any_of(slots_.begin(), slots_.end(), [&](const auto &entry) { return entry.first.epoch < epoch_; });
    if (holdsEarlier) {
        fenceProbeOut_ = true;
        act(OrderUnload{detail::fencingProbeName(epoch_)});
    }
}

// Slots

template<EvictionPolicyLike Eviction>
bool BasicEngineTable<Eviction>::servable(const EngineAdapterName &name, const Slot &slot) const
{
    const bool isAdopted = engine_.checksFencing && fenceTakenAt_ && slot.confirmedAt >= *fenceTakenAt_ && name.epoch < epoch_;
    return listingTrusted_ && !ended_ && slot.state == SlotState::Resident && (name.epoch == epoch_ || isAdopted);
}

template<EvictionPolicyLike Eviction>
bool BasicEngineTable<Eviction>::evictable(const EngineAdapterName &name, const Slot &slot) const
{
    const bool isIdle = slot.state == SlotState::Resident && pins(name) == 0 && slot.elsewhere == 0;
    const bool isOurs = name.epoch == epoch_ || (gone_.contains(name.epoch) && slot.seenAfterGone);
    return listingTrusted_ && !ended_ && isIdle && isOurs && !(servable(name, slot) && isWanted(name.adapter));
}

template<EvictionPolicyLike Eviction>
bool BasicEngineTable<Eviction>::isWanted(const AdapterRef &adapter) const
{
    bool wanted = false;
    waiting_.forEach([&](const PlanId &, double, const Waiting &waiting) { wanted = wanted || waiting.request.adapter == adapter; });
    return wanted;
}

template<EvictionPolicyLike Eviction>
std::optional<EngineAdapterName> BasicEngineTable<Eviction>::servedName(const AdapterRef &adapter) const
{
    const auto begin = slots_.lower_bound(EngineAdapterName{adapter, Epoch()});
    std::optional<EngineAdapterName> best;
    for (auto entry = begin; entry != slots_.end() && entry->first.adapter == adapter; ++entry) {
        if (servable(entry->first, entry->second)) {
            best = entry->first;
        }
    }
    return best;
}

template<EvictionPolicyLike Eviction>
typename BasicEngineTable<Eviction>::Slots::iterator BasicEngineTable<Eviction>::victim(Instant now)
{
    auto best = slots_.end();
    double least = std::numeric_limits<double>::max();
    for (auto entry = slots_.begin(); entry != slots_.end(); ++entry) {
        if (!evictable(entry->first, entry->second)) {
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
    return std::max(0, engine_.slots - loads_.spareSlots - unreadable_ - static_cast<int>(slots_.size()));
}

template<EvictionPolicyLike Eviction>
int BasicEngineTable<Eviction>::evictableSlots() const
{
    return static_cast<int>(std::count_if(slots_.begin(), slots_.end(), [&](const auto &entry) { return evictable(entry.first, entry.second); }));
}

template<EvictionPolicyLike Eviction>
void BasicEngineTable<Eviction>::touch(Slot &slot)
{
    slot.changedAt = ++lastEvent_;
}

/// From here on orders of earlier owners are refused, so what a listing shows now stays until we evict it.
template<EvictionPolicyLike Eviction>
void BasicEngineTable<Eviction>::fenceTaken(Instant now)
{
    if (!engine_.checksFencing || fenceTakenAt_) {
        return;
    }
    fenceTakenAt_ = ++lastEvent_;
    const bool holdsEarlier = std::any_of(slots_.begin(), slots_.end(), [&](const auto &entry) { return entry.first.epoch < epoch_; });
    if (holdsEarlier) {
        wantListing(now);
    }
}

template<EvictionPolicyLike Eviction>
void BasicEngineTable<Eviction>::orderLoad(const AdapterRef &adapter, Want &want, Instant now)
{
    const EngineAdapterName name{adapter, epoch_};
    Slot &slot = slots_[name];
    slot.state = SlotState::Loading;
    slot.answered = false;
    slot.orderedUnder = start_;
    slot.permit = want.permit;
    slot.since = now;
    touch(slot);
    want.state = WantState::Idle;
    want.permit.reset();
    act(OrderLoad{name, *slot.permit});
}

template<EvictionPolicyLike Eviction>
void BasicEngineTable<Eviction>::orderUnload(const EngineAdapterName &name, Slot &slot)
{
    slot.state = SlotState::Unloading;
    slot.answered = false;
    touch(slot);
    act(OrderUnload{name});
}

} // namespace baobabstall::engines
