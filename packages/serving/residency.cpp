#include <serving/residency.h>

#include <algorithm>
#include <numbers>

namespace baobabstall::serving {

namespace {

constexpr std::size_t maxUsage = 4'096;  // adapters whose use is remembered; over it those not used lately are forgotten
constexpr double idleAsks = 0.05;        // decayed asks below which they count as not used lately
constexpr Milliseconds reportRetry{300}; // after a report that could not be read
constexpr double msPerSecond = 1'000;
constexpr Milliseconds longestPatience{60'000}; // of a waiter that is only imagined

} // namespace

void LeaseTable::grant(const UpstreamId &replica, const AdapterKey &key, AdapterRevision revision, Instant until)
{
    leases_[replica][key] = {revision, until};
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

Residency::Residency(ResidencyOptions options, ModelSpec model)
    : options_(options)
    , model_(std::move(model))
{ }

Residency::LeaseReply Residency::requestLease(const AdapterKey &key, AdapterRevision atLeast, Instant onTimeBy, bool isNew, Instant now)
{
    if (isNew) {
        recordRequest(key, now);
    }
    auto &newest = newestRevisions_[key];
    newest = std::max(newest, atLeast);
    const auto place = slots_.find(key);
    const bool isReady = isStateKnown_ && hasModel_ && place != slots_.end() && place->second.state == State::Held && place->second.revision >= newest;
    if (isReady) {
        const bool isLong = requestRate(key, now) >= options_.frequentRequestRate && !isSlotShort();
        const auto lease = isLong ? options_.longLease : options_.shortLease;
        place->second.protectedUntil = std::max(place->second.protectedUntil, now + lease);
        return {LeaseStatus::Ready, place->second.revision, lease};
    }
    if (isNew) {
        auto &want = waiters_[key];
        if (want.onTimeBy.empty()) {
            want.arrival = ++arrivalCount_;
        }
        want.onTimeBy.push_back(onTimeBy);
    }
    return {LeaseStatus::Waiting, {}, {}};
}

void Residency::cancelRequest(const AdapterKey &key, Instant onTimeBy)
{
    const auto want = waiters_.find(key);
    if (want == waiters_.end()) {
        return;
    }
    auto &waiters = want->second.onTimeBy;
    if (const auto waiter = std::find(waiters.begin(), waiters.end(), onTimeBy); waiter != waiters.end()) {
        waiters.erase(waiter);
    }
    if (waiters.empty()) {
        waiters_.erase(want);
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

Instant Residency::evictableAt(const AdapterKey &key, const AdapterSlot &place) const
{
    Instant at = place.protectedUntil;
    for (const auto &[host, uses] : hostUsage_) {
        if (std::find(uses.keys.begin(), uses.keys.end(), key) != uses.keys.end()) {
            at = std::max(at, uses.validUntil);
        }
    }
    return at;
}

void Residency::onRestart(Instant now)
{
    isStateKnown_ = false;
    hasModel_ = false;
    isModelLoading_ = false;
    slots_.clear();
    unansweredOrder_.reset();
    unansweredSends_ = 0;
    nextReportAt_ = now;
}

bool Residency::needsReport(Instant now) const
{
    return !isStateKnown_ && now >= nextReportAt_;
}

void Residency::onReport(const ReplicaReport &report, Instant now)
{
    auto before = std::move(slots_);
    slots_.clear();
    sequence_ = report.sequence;
    isStateKnown_ = true;
    isReachable_ = true;
    hasModel_ = false;
    const auto add = [&](const AdapterKey &key, State state, AdapterRevision revision) {
        AdapterSlot place;
        place.state = state;
        place.revision = revision;
        place.checkAt = now + options_.minRecheckInterval;
        place.loadStartedAt = state == State::Loading ? now : Instant();
        if (const auto known = before.find(key); known != before.end()) {
            place.protectedUntil = known->second.protectedUntil;
        } else {
            place.protectedUntil = now + options_.shortLease; // what an earlier owner promised for longer is asked for again after a 421
        }
        slots_[key] = place;
    };
    for (const auto &model : report.models) {
        hasModel_ = hasModel_ || model.name == model_.name;
        for (const auto &adapter : model.adapters) {
            add({model.name, adapter.name}, State::Held, adapter.revision);
        }
    }
    for (const auto &[key, revision] : report.loadingAdapters) {
        add(key, State::Loading, revision);
    }
    isModelLoading_ = isModelLoading_ && !hasModel_;
    if (report.isChangingModel && !hasModel_) {
        isModelLoading_ = true;
        modelCheckAt_ = now + options_.modelRecheckInterval;
    }
}

void Residency::onReportFailed(Instant now)
{
    isReachable_ = false;
    isStateKnown_ = false;
    nextReportAt_ = now + reportRetry;
}

std::optional<Order> Residency::nextOrder(bool mayLoadModel, Instant now)
{
    if (!isStateKnown_) {
        return std::nullopt;
    }
    if (unansweredOrder_) {
        return unansweredOrder_;
    }
    if (!hasModel_) {
        const bool isDue = isModelLoading_ ? now >= modelCheckAt_ : mayLoadModel;
        return isDue ? std::optional(makeOrder(OrderKind::LoadModel, {model_.name, {}}, {})) : std::nullopt;
    }
    if (auto check = nextRecheck(now)) {
        return check;
    }
    // A replica takes no other order while an unload or a replacement waits for its runs.
    return isAnyDraining() ? std::nullopt : nextLoad(now);
}

std::optional<Order> Residency::nextRecheck(Instant now) const
{
    const bool isBusy = isAnyDraining();
    for (const auto &[key, place] : slots_) {
        if (place.state != State::Held && now >= place.checkAt && (!isBusy || isDraining(place))) {
            return makeOrder(place.state == State::Unloading ? OrderKind::UnloadAdapter : OrderKind::LoadAdapter, key, place.revision);
        }
    }
    return std::nullopt;
}

std::optional<Order> Residency::nextLoad(Instant now) const
{
    if (loadingCount() >= options_.maxConcurrentLoads) {
        return std::nullopt;
    }
    const bool mayFetch = storeLoadCount() < storeLoadLimit();
    const AdapterKey *first = nullptr;
    LoadPriority firstRank;
    for (const auto &[key, want] : waiters_) {
        const auto place = slots_.find(key);
        const bool isOld = place != slots_.end() && place->second.state == State::Held && place->second.revision < newestRevision(key);
        const auto rank = loadPriority(key, want, now);
        if ((place == slots_.end() || isOld) && (!needsStoreLoad(key) || mayFetch) && (first == nullptr || rank.isBefore(firstRank))) {
            first = &key;
            firstRank = rank;
        }
    }
    if (first != nullptr) {
        if (slots_.contains(*first) || slots_.size() < static_cast<std::size_t>(options_.adapterSlots)) {
            return makeOrder(OrderKind::LoadAdapter, *first, newestRevision(*first));
        }
        if (const auto out = victim(now)) {
            return makeOrder(OrderKind::UnloadAdapter, *out, {});
        }
    }
    for (const auto &[key, place] : slots_) { // a newer revision of what is held, though nobody waits for it
        if (place.state == State::Held && place.revision < newestRevision(key)) {
            return makeOrder(OrderKind::LoadAdapter, key, newestRevision(key));
        }
    }
    return std::nullopt;
}

std::optional<AdapterKey> Residency::victim(Instant now) const
{
    std::optional<AdapterKey> lowest;
    double lowestRate = 0;
    for (const auto &[key, place] : slots_) {
        const bool isFree = place.state == State::Held && !waiters_.contains(key) && now >= evictableAt(key, place);
        const double value = isFree ? requestRate(key, now) : 0;
        if (isFree && (!lowest || value < lowestRate)) {
            lowest = key;
            lowestRate = value;
        }
    }
    return lowest;
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
    const auto place = slots_.find(order.weights);
    const bool isWaiting = place != slots_.end() && isDraining(place->second);
    if (outcome == OrderOutcome::Unknown && ++unansweredSends_ < options_.maxUnansweredSends) {
        unansweredOrder_ = order;
        return; // sent again as it is: the number of orders in it lets only one of the two be carried out
    }
    unansweredOrder_.reset();
    if (outcome == OrderOutcome::Conflict && unansweredSends_ > 0 && now >= lateOrderUntil_) {
        outcome = OrderOutcome::Accepted; // the one without an answer was carried out
    }
    if (outcome == OrderOutcome::Conflict && isWaiting && ++conflicts_ <= options_.maxDrainConflicts) {
        place->second.checkAt = now + options_.minRecheckInterval;
        return;
    }
    if (outcome != OrderOutcome::Accepted && outcome != OrderOutcome::Completed) {
        isReachable_ = isReachable_ && outcome != OrderOutcome::Refused && outcome != OrderOutcome::WrongReplica;
        const bool mayBeLate = outcome == OrderOutcome::Conflict || outcome == OrderOutcome::Unknown;
        invalidateState(now, mayBeLate ? options_.conflictReportDelay : reportRetry);
        return;
    }
    unansweredSends_ = 0;
    conflicts_ = 0;
    switch (order.kind) {
    case OrderKind::LoadModel:
        onModelOrder(outcome, now);
        break;
    case OrderKind::UnloadAdapter:
        onUnload(order.weights, outcome, now);
        break;
    case OrderKind::LoadAdapter:
        onLoad(order, outcome, now);
        break;
    }
}

void Residency::onModelOrder(OrderOutcome outcome, Instant now)
{
    if (outcome == OrderOutcome::Accepted) {
        sequence_ = isModelLoading_ ? sequence_ : sequence_.next();
        isModelLoading_ = true;
        modelCheckAt_ = now + options_.modelRecheckInterval;
    } else {
        hasModel_ = true;
        isModelLoading_ = false;
    }
}

void Residency::onUnload(const AdapterKey &key, OrderOutcome outcome, Instant now)
{
    auto &place = slots_[key];
    if (place.state == State::Held) {
        sequence_ = sequence_.next();
        markCached(key);
    }
    if (outcome == OrderOutcome::Completed) {
        slots_.erase(key);
    } else {
        place.state = State::Unloading;
        place.checkAt = now + options_.minRecheckInterval;
    }
}

void Residency::onLoad(const Order &order, OrderOutcome outcome, Instant now)
{
    const auto &key = order.weights;
    auto &place = slots_[key];
    if (outcome == OrderOutcome::Completed) {
        place.revision = std::max(order.revision, place.revision); // not the newest known: that may have come after the order
        markHeld(key, place, now);
        return;
    }
    const bool isRepeat = place.state == State::Loading && place.loadStartedAt.sinceOrigin() > 0;
    if (isRepeat) {
        const auto share = Milliseconds(static_cast<std::int64_t>(static_cast<double>((now - place.loadStartedAt).count()) * options_.recheckFraction));
        place.checkAt = now + std::max(options_.minRecheckInterval, share);
        return;
    }
    place.isReplacement = place.state == State::Held;
    place.isStoreLoad = place.isReplacement || !isCached(key);
    sequence_ = sequence_.next();
    place.loadStartedAt = now;
    place.checkAt = now + (place.isStoreLoad ? options_.storeLoadTime : options_.cachedLoadTime);
    place.state = State::Loading;
    place.revision = std::max(std::max(order.revision, place.revision), newestRevision(key)); // the newest is loaded when none is named
}

void Residency::markHeld(const AdapterKey &key, AdapterSlot &place, Instant now)
{
    if (place.state == State::Loading && place.isStoreLoad) {
        constexpr double weight = 0.2; // of the newest fetch in the mean
        const auto took = static_cast<double>((now - place.loadStartedAt).count());
        meanStoreLoadMs_ = meanStoreLoadMs_ == 0 ? took : meanStoreLoadMs_ + (took - meanStoreLoadMs_) * weight;
    }
    place.state = State::Held;
    place.isReplacement = false;
    place.loadStartedAt = Instant();
    place.protectedUntil = std::max(place.protectedUntil, now + options_.shortLease);
    markCached(key);
    waiters_.erase(key);
}

bool Residency::needsStoreLoad(const AdapterKey &key) const
{
    return slots_.contains(key) || !isCached(key); // what is held is wanted in a newer revision
}

Milliseconds Residency::expectedLoadTime(const AdapterKey &key) const
{
    return needsStoreLoad(key) ? Milliseconds(static_cast<std::int64_t>(storeLoadMs())) : options_.cachedLoadTime;
}

Residency::LoadPriority Residency::loadPriority(const AdapterKey &key, const Waiters &want, Instant now) const
{
    const auto takes = expectedLoadTime(key);
    double served = 0;
    for (const auto &onTimeBy : want.onTimeBy) {
        served += now + takes <= onTimeBy ? 1 : options_.lateRequestWeight;
    }
    return {served * msPerSecond / static_cast<double>((takes + options_.slotUseTime).count()), want.arrival};
}

double Residency::storeLoadMs() const
{
    return std::max(meanStoreLoadMs_, static_cast<double>(options_.storeLoadTime.count()));
}

bool Residency::isSlotShort() const
{
    return slots_.size() >= static_cast<std::size_t>(options_.adapterSlots)
        && std::any_of(waiters_.begin(), waiters_.end(), [this](const auto &each) { return !slots_.contains(each.first); });
}

Milliseconds Residency::expectedSlotWait(std::size_t before, Instant now) const
{
    const auto free = static_cast<std::size_t>(options_.adapterSlots) - std::min<std::size_t>(options_.adapterSlots, slots_.size());
    if (before < free) {
        return Milliseconds(0);
    }
    std::vector<Milliseconds> waits; // until each place may be given to something else
    for (const auto &[key, place] : slots_) {
        if (place.state == State::Held && !waiters_.contains(key)) {
            waits.push_back(std::max(Milliseconds(0), evictableAt(key, place) - now));
        }
    }
    const auto index = before - free;
    if (waits.empty()) {
        return options_.slotUseTime * static_cast<std::int64_t>(index + 1);
    }
    std::sort(waits.begin(), waits.end());
    return waits[index % waits.size()] + options_.slotUseTime * static_cast<std::int64_t>(index / waits.size());
}

Milliseconds Residency::expectedWait(const AdapterKey &key, Instant now) const
{
    const auto own = waiters_.find(key);
    const auto ownRank = loadPriority(key, own == waiters_.end() ? Waiters{{now + longestPatience}, arrivalCount_ + 1} : own->second, now);
    int fetches = storeLoadCount();
    int nears = 0;
    for (const auto &[each, want] : waiters_) {
        if (!slots_.contains(each) && loadPriority(each, want, now).isBefore(ownRank)) {
            ++(needsStoreLoad(each) ? fetches : nears);
        }
    }
    const double near = static_cast<double>(options_.cachedLoadTime.count()) * (1 + nears);
    const double fetch = needsStoreLoad(key) ? storeLoadMs() * (1 + static_cast<double>(fetches) / storeLoadLimit()) : 0;
    const auto place = slots_.contains(key) ? Milliseconds(0) : expectedSlotWait(static_cast<std::size_t>(nears + fetches - storeLoadCount()), now);
    return place + Milliseconds(static_cast<std::int64_t>(near + fetch));
}

std::optional<Milliseconds> Residency::expectedWaitBeyond(const AdapterKey &key, Instant until, Instant now) const
{
    const auto expected = expectedWait(key, now);
    return now + expected > until ? std::optional(expected) : std::nullopt;
}

std::optional<Instant> Residency::nextDue() const
{
    std::optional<Instant> due;
    const auto add = [&due](Instant at) { due = due ? std::min(*due, at) : at; };
    if (!isStateKnown_) {
        return nextReportAt_;
    }
    if (!hasModel_) {
        add(isModelLoading_ ? modelCheckAt_ : Instant());
        return due;
    }
    bool hasUnmet = false;
    for (const auto &[key, place] : slots_) {
        if (place.state != State::Held) {
            add(place.checkAt);
        }
    }
    for (const auto &[key, want] : waiters_) {
        hasUnmet = hasUnmet || !slots_.contains(key);
    }
    if (hasUnmet) { // a place becomes free when a promise ends
        for (const auto &[key, place] : slots_) {
            if (place.state == State::Held) {
                add(evictableAt(key, place));
            }
        }
    }
    return due;
}

bool Residency::isHeld(const AdapterKey &key) const
{
    const auto place = slots_.find(key);
    return place != slots_.end() && place->second.state == State::Held;
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
    if (isNew && requestRates_.size() > maxUsage) {
        removeIdleRates(now);
    }
}

void Residency::removeIdleRates(Instant now)
{
    std::erase_if(requestRates_, [&](const auto &each) { return each.second.value(now) < idleAsks; });
}

void Residency::markCached(const AdapterKey &key)
{
    std::erase(cached_, key);
    cached_.push_back(key);
    while (cached_.size() > static_cast<std::size_t>(options_.cacheFactor) * static_cast<std::size_t>(options_.adapterSlots)) {
        cached_.pop_front();
    }
}

bool Residency::isCached(const AdapterKey &key) const
{
    return std::find(cached_.begin(), cached_.end(), key) != cached_.end();
}

} // namespace baobabstall::serving
