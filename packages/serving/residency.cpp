#include <serving/residency.h>

#include <algorithm>
#include <limits>
#include <numbers>

namespace baobabstall::serving {

namespace {

constexpr std::size_t maxRequestRates = 4'096; // adapters with a request rate; beyond it those not requested recently are removed
constexpr double idleRequestCount = 0.05;      // decayed request count below which an adapter counts as not requested recently
constexpr Milliseconds reportRetryDelay{300};  // after a failed report or a refused order
constexpr double msPerSecond = 1'000;

} // namespace

void LeaseTable::grant(const UpstreamId &replica, const AdapterKey &key, AdapterRevision revision, Instant expiresAt)
{
    leases_[replica][key] = {revision, expiresAt};
}

void LeaseTable::drop(const UpstreamId &replica, const AdapterKey &key)
{
    const auto found = leases_.find(replica);
    if (found != leases_.end()) {
        found->second.erase(key);
    }
}

void LeaseTable::drop(const UpstreamId &replica)
{
    leases_.erase(replica);
}

std::optional<LeaseTable::Lease> LeaseTable::find(const UpstreamId &replica, const AdapterKey &key, Instant now) const
{
    const auto found = leases_.find(replica);
    if (found == leases_.end()) {
        return std::nullopt;
    }
    const auto lease = found->second.find(key);
    return lease == found->second.end() || lease->second.expiresAt <= now ? std::nullopt : std::optional(lease->second);
}

void LeaseTable::expire(Instant now)
{
    for (auto &[replica, leases] : leases_) {
        std::erase_if(leases, [&](const auto &each) { return each.second.expiresAt <= now; });
    }
    std::erase_if(leases_, [](const auto &each) { return each.second.empty(); });
}

std::size_t LeaseTable::size() const
{
    std::size_t count = 0;
    for (const auto &[replica, leases] : leases_) {
        count += leases.size();
    }
    return count;
}

Residency::Residency(ResidencyOptions options)
    : options_(options)
{ }

void Residency::setEngine(std::optional<EngineSpec> engine, Instant now)
{
    if (engine && engine->models.empty()) {
        engine.reset();
    }
    if (engine == engine_) {
        return;
    }
    engine_ = std::move(engine);
    if (engine_) {
        for (const auto &model : engine_->models) {
            sizes_[model.name] = {model.weightsMb, model.adapterMb};
        }
    }
    if (unansweredOrder_) { // it may exceed what fits now
        invalidateState(now, options_.conflictReportDelay);
    }
}

// ---- What fits ----

const Residency::ModelSize *Residency::sizeOf(const BaseModel &model) const
{
    const auto found = sizes_.find(model);
    return found == sizes_.end() ? nullptr : &found->second;
}

bool Residency::holdsModel() const
{
    return engine_ && std::any_of(engine_->models.begin(), engine_->models.end(), [this](const ModelSpec &each) { return heldModels_.contains(each.name); });
}

double Residency::modelsMb() const
{
    constexpr double unknown = std::numeric_limits<double>::infinity();
    double sum = 0;
    for (const auto &model : heldModels_) {
        const auto *size = sizeOf(model);
        sum += size == nullptr ? unknown : size->weightsMb;
    }
    double loading = 0;
    if (loadingModel_) {
        const auto *size = sizeOf(*loadingModel_);
        loading = size == nullptr ? unknown : size->weightsMb;
    } else if (isOtherModelLoading_) {
        for (const auto &[model, size] : sizes_) {
            loading = heldModels_.contains(model) ? loading : std::max(loading, size.weightsMb);
        }
    }
    return sum + loading;
}

double Residency::adaptersMb() const
{
    double sum = 0;
    for (const auto &[key, slot] : slots_) {
        const auto *size = sizeOf(key.model);
        sum += size == nullptr ? 0 : size->adapterMb; // of an unknown model, which leaves no room at all
    }
    return sum;
}

bool Residency::fits(const AdapterKey &key) const
{
    return freePlaces(key.model) > 0;
}

std::size_t Residency::freePlaces(const BaseModel &model) const
{
    const auto *size = sizeOf(model);
    if (!engine_ || size == nullptr || static_cast<int>(slots_.size()) >= engine_->adapterSlots) {
        return 0;
    }
    const auto places = static_cast<std::size_t>(engine_->adapterSlots) - slots_.size();
    const double freeMb = engine_->weightsMemoryMb - modelsMb() - adaptersMb();
    if (freeMb < size->adapterMb) {
        return 0;
    }
    return size->adapterMb > 0 ? std::min(places, static_cast<std::size_t>(freeMb / size->adapterMb)) : places;
}

bool Residency::canHold(const AdapterKey &key) const
{
    const auto *size = sizeOf(key.model);
    const bool isConfigured
        = engine_ && std::any_of(engine_->models.begin(), engine_->models.end(), [&key](const ModelSpec &each) { return each.name == key.model; });
    return isConfigured && heldModels_.contains(key.model) && engine_->adapterSlots > 0 && modelsMb() + size->adapterMb <= engine_->weightsMemoryMb;
}

std::optional<BaseModel> Residency::modelToLoad() const
{
    if (!engine_ || loadingModel_ || isOtherModelLoading_) {
        return std::nullopt;
    }
    const double freeMb = engine_->weightsMemoryMb - modelsMb() - adaptersMb();
    const ModelSpec *first = nullptr;
    for (const auto &model : engine_->models) {
        const bool isBetter = first == nullptr || model.name == wantedModel_;
        first = model.weightsMb <= freeMb && isBetter ? &model : first;
    }
    return first == nullptr ? std::nullopt : std::optional(first->name);
}

Residency::LeaseReply
Residency::requestLease(const AdapterKey &key, AdapterRevision minRevision, Instant onTimeBy, bool isNew, Instant now, const Claimant &claimant)
{
    if (isNew) {
        recordRequest(key, now);
        askedBy_[key] = claimant;
        if (claimant.rank <= urgentRank_ || now >= urgentRankUntil_) {
            urgentRank_ = claimant.rank;
            urgentRankUntil_ = now + options_.urgentRankTime;
        }
    }
    auto &newest = newestRevisions_[key];
    newest = std::max(newest, minRevision);
    const auto slot = slots_.find(key);
    const bool isReady = isStateKnown_ && holdsModel() && slot != slots_.end() && slot->second.state == State::Held && slot->second.revision >= newest;
    if (isReady) {
        const bool isLong = requestRate(key, now) >= options_.frequentRequestRate && !isSlotShort();
        const auto lease = isLong ? options_.longLease : options_.shortLease;
        slot->second.protectedUntil = std::max(slot->second.protectedUntil, now + lease);
        return {LeaseStatus::Ready, slot->second.revision, lease};
    }
    if (isNew) {
        auto &waiters = waiters_[key];
        if (waiters.requests.empty()) {
            waiters.arrival = ++arrivalCount_;
        }
        waiters.requests.push_back({onTimeBy, claimant});
    }
    return {LeaseStatus::Waiting, {}, {}};
}

void Residency::cancelRequest(const AdapterKey &key, Instant onTimeBy, const Claimant &claimant)
{
    const auto found = waiters_.find(key);
    if (found == waiters_.end()) {
        return;
    }
    auto &requests = found->second.requests;
    const auto isIt = [&](const Waiter &each) { return each.onTimeBy == onTimeBy && each.claimant == claimant; };
    if (const auto waiter = std::find_if(requests.begin(), requests.end(), isIt); waiter != requests.end()) {
        requests.erase(waiter);
    }
    if (requests.empty()) {
        waiters_.erase(found);
    }
}

void Residency::onRevision(const AdapterKey &key, AdapterRevision revision)
{
    auto &newest = newestRevisions_[key];
    newest = std::max(newest, revision);
}

void Residency::onInUse(const HostId &host, std::vector<AdapterKey> keys, Instant now)
{
    hostUsage_[host] = {std::move(keys), now + options_.inUseTimeout};
}

Instant Residency::evictableAt(const AdapterKey &key, const AdapterSlot &slot) const
{
    Instant at = slot.protectedUntil;
    for (const auto &[host, usage] : hostUsage_) {
        if (std::find(usage.keys.begin(), usage.keys.end(), key) != usage.keys.end()) {
            at = std::max(at, usage.validUntil);
        }
    }
    return at;
}

void Residency::onRestart(Instant now)
{
    isStateKnown_ = false;
    heldModels_.clear();
    loadingModel_.reset();
    isOtherModelLoading_ = false;
    slots_.clear();
    unansweredOrder_.reset();
    unansweredSends_ = 0;
    nextReportAt_ = now;
}

bool Residency::needsReport(Instant now) const
{
    return engine_ && (!isStateKnown_ || isOtherModelLoading_) && now >= nextReportAt_;
}

void Residency::onReport(const ReplicaReport &report, Instant now)
{
    auto before = std::move(slots_);
    slots_.clear();
    sequence_ = report.sequence;
    isStateKnown_ = true;
    isReachable_ = true;
    heldModels_.clear();
    const auto add = [&](const AdapterKey &key, State state, AdapterRevision revision) {
        AdapterSlot slot;
        slot.state = state;
        slot.revision = revision;
        slot.checkAt = now + options_.minRecheckInterval;
        slot.loadStartedAt = state == State::Loading ? now : Instant();
        if (const auto known = before.find(key); known != before.end()) {
            slot.protectedUntil = known->second.protectedUntil;
        } else {
            slot.protectedUntil = now + options_.shortLease; // a longer lease of an earlier owner: its holder gets a 421 and asks again
        }
        slots_[key] = slot;
    };
    for (const auto &model : report.models) {
        heldModels_.insert(model.name);
        for (const auto &adapter : model.adapters) {
            add({model.name, adapter.name}, State::Held, adapter.revision);
        }
    }
    for (const auto &[key, revision] : report.loadingAdapters) {
        add(key, State::Loading, revision);
    }
    if (loadingModel_ && heldModels_.contains(*loadingModel_)) {
        loadingModel_.reset();
    }
    isOtherModelLoading_ = report.isChangingModel && !loadingModel_;
    if (isOtherModelLoading_) {
        nextReportAt_ = now + options_.modelRecheckInterval;
    }
    removeUnusedSizes();
}

void Residency::onReportFailed(Instant now)
{
    isReachable_ = false;
    isStateKnown_ = false;
    nextReportAt_ = now + reportRetryDelay;
}

std::optional<Order> Residency::nextOrder(bool mayLoadModel, Instant now)
{
    if (!isStateKnown_ || !engine_) {
        return std::nullopt;
    }
    if (unansweredOrder_) {
        return unansweredOrder_;
    }
    if (!holdsModel()) {
        const auto model = loadingModel_ ? loadingModel_ : modelToLoad();
        const bool isDue = loadingModel_ ? now >= modelCheckAt_ : mayLoadModel;
        return model && isDue ? std::optional(makeOrder(OrderKind::LoadModel, {*model, {}}, {})) : std::nullopt;
    }
    if (auto check = nextRecheck(now)) {
        return check;
    }
    // A replica accepts no other order while an unload or a replacement waits for running requests.
    return isAnyDraining() ? std::nullopt : nextLoad(now);
}

std::optional<Order> Residency::nextRecheck(Instant now) const
{
    const bool isBusy = isAnyDraining();
    for (const auto &[key, slot] : slots_) {
        if (slot.state != State::Held && now >= slot.checkAt && (!isBusy || isDraining(slot))) {
            return makeOrder(slot.state == State::Unloading ? OrderKind::UnloadAdapter : OrderKind::LoadAdapter, key, slot.revision);
        }
    }
    return std::nullopt;
}

void Residency::invalidateState(Instant now, Milliseconds wait)
{
    if (unansweredSends_ > 0) {
        lateOrderUntil_ = now + options_.lateOrderWindow;
    }
    isReachable_ = isReachable_ && unansweredSends_ < options_.maxUnansweredSends;
    isStateKnown_ = false;
    nextReportAt_ = now + wait;
    conflicts_ = 0;
    unansweredSends_ = 0;
    unansweredOrder_.reset();
}

bool Residency::isAnyDraining() const
{
    return std::any_of(slots_.begin(), slots_.end(), [](const auto &each) { return isDraining(each.second); });
}

void Residency::onOrderOutcome(const Order &order, OrderOutcome outcome, Instant now)
{
    const auto slot = slots_.find(order.weights);
    const bool isSlotDraining = slot != slots_.end() && isDraining(slot->second);
    if (outcome == OrderOutcome::Unknown && ++unansweredSends_ < options_.maxUnansweredSends) {
        unansweredOrder_ = order;
        return; // resent unchanged: its sequence number ensures that only one copy is carried out
    }
    unansweredOrder_.reset();
    if (outcome == OrderOutcome::Conflict && unansweredSends_ > 0 && now >= lateOrderUntil_) {
        outcome = OrderOutcome::Accepted; // an earlier copy, whose response was lost, was carried out
    }
    if (outcome == OrderOutcome::Conflict && isSlotDraining && ++conflicts_ <= options_.maxDrainConflicts) {
        slot->second.checkAt = now + options_.minRecheckInterval;
        return;
    }
    if (outcome != OrderOutcome::Accepted && outcome != OrderOutcome::Completed) {
        isReachable_ = isReachable_ && outcome != OrderOutcome::Refused && outcome != OrderOutcome::WrongReplica;
        const bool mayBeLate = outcome == OrderOutcome::Conflict || outcome == OrderOutcome::Unknown;
        invalidateState(now, mayBeLate ? options_.conflictReportDelay : reportRetryDelay);
        return;
    }
    unansweredSends_ = 0;
    conflicts_ = 0;
    switch (order.kind) {
    case OrderKind::LoadModel:
        onModelOrder(order, outcome, now);
        break;
    case OrderKind::UnloadAdapter:
        onUnload(order.weights, outcome, now);
        break;
    case OrderKind::LoadAdapter:
        onLoad(order, outcome, now);
        break;
    }
}

void Residency::onModelOrder(const Order &order, OrderOutcome outcome, Instant now)
{
    if (outcome == OrderOutcome::Accepted) {
        sequence_ = loadingModel_ ? sequence_ : sequence_.next();
        loadingModel_ = order.weights.model;
        modelCheckAt_ = now + options_.modelRecheckInterval;
    } else {
        heldModels_.insert(order.weights.model);
        loadingModel_.reset();
    }
}

void Residency::removeUnusedSizes()
{
    const auto isUsed = [this](const BaseModel &model) {
        const bool isConfigured
            = engine_ && std::any_of(engine_->models.begin(), engine_->models.end(), [&](const ModelSpec &each) { return each.name == model; });
        return isConfigured || heldModels_.contains(model) || loadingModel_ == model || isOtherModelLoading_;
    };
    std::erase_if(sizes_, [&](const auto &each) { return !isUsed(each.first); });
}

void Residency::onUnload(const AdapterKey &key, OrderOutcome outcome, Instant now)
{
    auto &slot = slots_[key];
    if (slot.state == State::Held) {
        sequence_ = sequence_.next();
        markCached(key);
    }
    if (outcome == OrderOutcome::Completed) {
        slots_.erase(key);
    } else {
        slot.state = State::Unloading;
        slot.checkAt = now + options_.minRecheckInterval;
    }
}

void Residency::onLoad(const Order &order, OrderOutcome outcome, Instant now)
{
    const auto &key = order.weights;
    auto &slot = slots_[key];
    if (outcome == OrderOutcome::Completed) {
        slot.revision = std::max(order.revision, slot.revision); // not the newest known revision, which may have become known after the order
        markHeld(key, slot, now);
        return;
    }
    const bool isRepeat = slot.state == State::Loading && slot.loadStartedAt.sinceOrigin() > 0;
    if (isRepeat) {
        const auto interval = Milliseconds(static_cast<std::int64_t>(static_cast<double>((now - slot.loadStartedAt).count()) * options_.recheckFraction));
        slot.checkAt = now + std::max(options_.minRecheckInterval, interval);
        return;
    }
    if (const auto waiting = waiters_.find(key); waiting != waiters_.end()) {
        usual_.take(mostUrgent(waiting->second, usual_.above(now)).workspace, now);
    }
    slot.isReplacement = slot.state == State::Held;
    slot.isStoreLoad = slot.isReplacement || !isCached(key);
    sequence_ = sequence_.next();
    slot.loadStartedAt = now;
    slot.checkAt = now + (slot.isStoreLoad ? options_.storeLoadTime : options_.cachedLoadTime);
    slot.state = State::Loading;
    slot.revision = std::max(std::max(order.revision, slot.revision), newestRevision(key)); // the replica loads the newest when the order names none
}

void Residency::markHeld(const AdapterKey &key, AdapterSlot &slot, Instant now)
{
    if (slot.state == State::Loading && slot.isStoreLoad) {
        constexpr double weight = 0.2; // of the latest load in the moving average
        const auto loadMs = static_cast<double>((now - slot.loadStartedAt).count());
        meanStoreLoadMs_ = meanStoreLoadMs_ == 0 ? loadMs : meanStoreLoadMs_ + (loadMs - meanStoreLoadMs_) * weight;
    }
    slot.state = State::Held;
    slot.isReplacement = false;
    slot.loadStartedAt = Instant();
    slot.protectedUntil = std::max(slot.protectedUntil, now + options_.shortLease);
    markCached(key);
    waiters_.erase(key);
}

bool Residency::needsStoreLoad(const AdapterKey &key) const
{
    return slots_.contains(key) || !isCached(key); // if held, a newer revision is wanted, which is not in the cache
}

Milliseconds Residency::expectedLoadTime(const AdapterKey &key) const
{
    return needsStoreLoad(key) ? Milliseconds(static_cast<std::int64_t>(storeLoadMs())) : options_.cachedLoadTime;
}

double Residency::storeLoadMs() const
{
    return std::max(meanStoreLoadMs_, static_cast<double>(options_.storeLoadTime.count()));
}

std::optional<Instant> Residency::nextDue() const
{
    std::optional<Instant> due;
    const auto add = [&due](Instant at) { due = due ? std::min(*due, at) : at; };
    if (!engine_) {
        return std::nullopt;
    }
    if (!isStateKnown_) {
        return nextReportAt_;
    }
    if (isOtherModelLoading_) {
        add(nextReportAt_);
    }
    if (!holdsModel()) {
        add(loadingModel_ ? modelCheckAt_ : isOtherModelLoading_ ? nextReportAt_ : Instant());
        return due;
    }
    bool isLoadWaiting = false;
    for (const auto &[key, slot] : slots_) {
        if (slot.state != State::Held) {
            add(slot.checkAt);
        }
    }
    for (const auto &[key, waiters] : waiters_) {
        isLoadWaiting = isLoadWaiting || !slots_.contains(key);
    }
    if (isLoadWaiting) { // a slot becomes free when a lease expires
        for (const auto &[key, slot] : slots_) {
            if (slot.state == State::Held) {
                add(evictableAt(key, slot));
            }
        }
    }
    return due;
}

bool Residency::isHeld(const AdapterKey &key) const
{
    const auto slot = slots_.find(key);
    return slot != slots_.end() && slot->second.state == State::Held;
}

int Residency::storeLoadLimit() const
{
    return meanStoreLoadMs_ > options_.slowStoreFactor * static_cast<double>(options_.storeLoadTime.count()) ? options_.maxStoreLoadsWhenSlow
                                                                                                             : options_.maxConcurrentLoads;
}

int Residency::storeLoadCount() const
{
    return static_cast<int>(
        std::count_if(slots_.begin(), slots_.end(), [](const auto &each) { return each.second.state == State::Loading && each.second.isStoreLoad; }));
}

int Residency::loadingCount() const
{
    return static_cast<int>(std::count_if(slots_.begin(), slots_.end(), [](const auto &each) { return each.second.state == State::Loading; }));
}

AdapterRevision Residency::newestRevision(const AdapterKey &key) const
{
    const auto found = newestRevisions_.find(key);
    return found == newestRevisions_.end() ? AdapterRevision() : found->second;
}

Order Residency::makeOrder(OrderKind kind, const AdapterKey &key, AdapterRevision revision) const
{
    return Order{kind, key, revision, sequence_};
}

double Residency::requestRate(const AdapterKey &key, Instant now) const
{
    const auto found = requestRates_.find(key);
    const double perMs = std::numbers::ln2 / static_cast<double>(options_.requestRateHalfLife.count());
    return found == requestRates_.end() ? 0 : found->second.value(now) * perMs * msPerSecond;
}

void Residency::recordRequest(const AdapterKey &key, Instant now)
{
    auto [found, isNew] = requestRates_.try_emplace(key, options_.requestRateHalfLife);
    found->second.add(now);
    if (isNew && requestRates_.size() > maxRequestRates) {
        removeIdleRates(now);
    }
}

void Residency::removeIdleRates(Instant now)
{
    std::erase_if(requestRates_, [&](const auto &each) { return each.second.value(now) < idleRequestCount; });
    std::erase_if(askedBy_, [this](const auto &each) { return !requestRates_.contains(each.first); });
}

void Residency::markCached(const AdapterKey &key)
{
    std::erase(cached_, key);
    cached_.push_back(key);
    const auto places = static_cast<std::size_t>(engine_ ? std::max(1, engine_->adapterSlots) : 1);
    while (cached_.size() > static_cast<std::size_t>(options_.cacheFactor) * places) {
        cached_.pop_front();
    }
}

bool Residency::isCached(const AdapterKey &key) const
{
    return std::find(cached_.begin(), cached_.end(), key) != cached_.end();
}

} // namespace baobabstall::serving
