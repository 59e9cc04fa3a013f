// The order of a Residency's loads: which weights are loaded next, which make room for them, and how long a load is expected to wait.
#include <serving/residency.h>

#include <algorithm>
#include <limits>

namespace baobabstall::serving {

namespace {

constexpr Milliseconds assumedTimeUntilLate{60'000}; // of the request that expectedWait() assumes when none waits
constexpr double idleRate = 0.1;                     // requests/s; adapters below it are unloaded before those of any rank
constexpr std::size_t maxGivenWay = 64;              // since they were last taken
constexpr double msPerSecond = 1'000;

} // namespace

bool Residency::mayLoadNow(const AdapterKey &key) const
{
    const auto slot = slots_.find(key);
    const bool isOutdated = slot != slots_.end() && slot->second.state == State::Held && slot->second.revision < newestRevision(key);
    return (slot == slots_.end() || isOutdated) && canHold(key) && (!needsStoreLoad(key) || storeLoadCount() < storeLoadLimit());
}

std::optional<Order> Residency::nextLoad(Instant now)
{
    const int loading = loadingCount();
    if (loading >= options_.maxConcurrentLoads) {
        return std::nullopt;
    }
    const auto above = usual_.above(now);
    const AdapterKey *first = nullptr;
    LoadPriority firstPriority;
    for (const auto &[key, waiters] : waiters_) {
        const auto priority = loadPriority(key, waiters, above, now);
        if (mayLoadNow(key) && (first == nullptr || priority.isBefore(firstPriority))) {
            first = &key;
            firstPriority = priority;
        }
    }
    const bool isLessUrgent = firstPriority.standing.isAboveUsual || (firstPriority.standing.rank > urgentRank_ && now < urgentRankUntil_);
    const bool isLastPlace = loading + 1 >= options_.maxConcurrentLoads || storeLoadCount() + 1 >= storeLoadLimit();
    if (first != nullptr && isLessUrgent && isLastPlace) {
        return std::nullopt;
    }
    if (first != nullptr) {
        noteGivenWay(*first, above, now);
        if (slots_.contains(*first) || fits(*first)) {
            return makeOrder(OrderKind::LoadAdapter, *first, newestRevision(*first));
        }
        if (const auto evicted = victim(now)) {
            return makeOrder(OrderKind::UnloadAdapter, *evicted, {});
        }
    }
    for (const auto &[key, slot] : slots_) { // newer revisions of held adapters are loaded even if no request waits
        if (slot.state == State::Held && slot.revision < newestRevision(key) && heldModels_.contains(key.model)) {
            return makeOrder(OrderKind::LoadAdapter, key, newestRevision(key));
        }
    }
    return std::nullopt;
}

void Residency::noteGivenWay(const AdapterKey &first, const std::set<core::WorkspaceId> &above, Instant now)
{
    const auto &to = waiters_.at(first);
    const auto standing = loadPriority(first, to, above, now).standing;
    for (auto &[key, waiters] : waiters_) {
        const auto other = loadPriority(key, waiters, above, now).standing;
        if (!waiters.hasGivenWay && waiters.arrival < to.arrival && standing < other && mayLoadNow(key) && givenWay_.size() < maxGivenWay) {
            waiters.hasGivenWay = true;
            givenWay_.push_back({mostUrgent(waiters, above), mostUrgent(to, above), whyAfter(other, standing)});
        }
    }
}

bool Residency::hasGivenWay(const AdapterKey &key) const
{
    const auto found = waiters_.find(key);
    return found != waiters_.end() && found->second.hasGivenWay;
}

std::optional<AdapterKey> Residency::victim(Instant now) const
{
    const auto above = usual_.above(now);
    std::optional<AdapterKey> last;
    std::optional<Standing> lastStanding;
    double lastRate = 0;
    for (const auto &[key, slot] : slots_) {
        if (slot.state != State::Held || waiters_.contains(key) || now < evictableAt(key, slot)) {
            continue;
        }
        const double rate = requestRate(key, now);
        const auto standing = evictionStanding(key, rate, above);
        const bool isAfter = standing == lastStanding ? rate < lastRate : !standing || (lastStanding && *lastStanding < *standing);
        if (!last || isAfter) {
            last = key;
            lastStanding = standing;
            lastRate = rate;
        }
    }
    return last;
}

std::optional<Standing> Residency::evictionStanding(const AdapterKey &key, double rate, const std::set<core::WorkspaceId> &above) const
{
    const auto asked = askedBy_.find(key);
    return rate < idleRate || asked == askedBy_.end() ? std::nullopt : std::optional(Standing(asked->second, false, above));
}

const Claimant &Residency::mostUrgent(const Waiters &waiters, const std::set<core::WorkspaceId> &above)
{
    const auto standing = [&above](const Waiter &each) { return Standing(each.claimant, false, above); };
    return std::min_element(waiters.requests.begin(), waiters.requests.end(), [&](const Waiter &a, const Waiter &b) { return standing(a) < standing(b); })
        ->claimant;
}

Residency::LoadPriority Residency::loadPriority(const AdapterKey &key, const Waiters &waiters, const std::set<core::WorkspaceId> &above, Instant now) const
{
    const auto loadTime = expectedLoadTime(key);
    const Standing standing(mostUrgent(waiters, above), false, above);
    double served = 0;
    for (const auto &each : waiters.requests) {
        const double weight = now + loadTime <= each.onTimeBy ? 1 : options_.lateRequestWeight;
        served += Standing(each.claimant, false, above) == standing ? weight : 0;
    }
    return {standing, served * msPerSecond / static_cast<double>((loadTime + options_.slotUseTime).count()), waiters.arrival};
}

bool Residency::isSlotShort() const
{
    return std::any_of(
        waiters_.begin(), waiters_.end(), [this](const auto &each) { return !slots_.contains(each.first) && canHold(each.first) && !fits(each.first); });
}

Milliseconds Residency::expectedSlotWait(const AdapterKey &key, std::size_t loadsAhead, Instant now) const
{
    const auto free = freePlaces(key.model);
    if (loadsAhead < free) {
        return Milliseconds(0);
    }
    std::vector<Milliseconds> waits; // until each slot may be reused
    for (const auto &[each, slot] : slots_) {
        if (slot.state == State::Held && !waiters_.contains(each)) {
            waits.push_back(std::max(Milliseconds(0), evictableAt(each, slot) - now));
        }
    }
    const auto index = loadsAhead - free;
    if (waits.empty()) {
        return options_.slotUseTime * static_cast<std::int64_t>(index + 1);
    }
    std::sort(waits.begin(), waits.end());
    return waits[index % waits.size()] + options_.slotUseTime * static_cast<std::int64_t>(index / waits.size());
}

Milliseconds Residency::expectedWait(const AdapterKey &key, Instant now) const
{
    const auto own = waiters_.find(key);
    const auto above = usual_.above(now);
    const Waiters assumed{{{now + assumedTimeUntilLate, {}}}, arrivalCount_ + 1};
    const auto ownPriority = loadPriority(key, own == waiters_.end() ? assumed : own->second, above, now);
    int storeLoads = storeLoadCount();
    int cachedLoads = 0;
    for (const auto &[each, waiters] : waiters_) {
        if (!slots_.contains(each) && loadPriority(each, waiters, above, now).isBefore(ownPriority)) {
            ++(needsStoreLoad(each) ? storeLoads : cachedLoads);
        }
    }
    const double cachedMs = static_cast<double>(options_.cachedLoadTime.count()) * (1 + cachedLoads);
    const double storeMs = needsStoreLoad(key) ? storeLoadMs() * (1 + static_cast<double>(storeLoads) / storeLoadLimit()) : 0;
    const auto slotWait
        = slots_.contains(key) ? Milliseconds(0) : expectedSlotWait(key, static_cast<std::size_t>(cachedLoads + storeLoads - storeLoadCount()), now);
    return slotWait + Milliseconds(static_cast<std::int64_t>(cachedMs + storeMs));
}

std::optional<Milliseconds> Residency::expectedWaitBeyond(const AdapterKey &key, Instant until, Instant now) const
{
    const auto expected = expectedWait(key, now);
    return now + expected > until ? std::optional(expected) : std::nullopt;
}

} // namespace baobabstall::serving
