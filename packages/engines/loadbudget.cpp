#include <engines/loadbudget.h>

#include <algorithm>
#include <cmath>

namespace baobabstall::engines {

namespace {

constexpr double millisecondsPerSecond = 1'000;
constexpr int epochShift = 24; // one owner can issue 16 million permits before its ids overlap those of the next owner
constexpr std::uint64_t fallbackBit = std::uint64_t(1) << 63;

std::size_t loadsPerWindow(double perSecond)
{
    return static_cast<std::size_t>(std::max(1.0, std::floor(perSecond)));
}

} // namespace

LoadBudget::LoadBudget(Epoch epoch, const settings::Loads &loads, Instant ownedSince)
    : loads_(loads)
    , grantsPerWindow_(loadsPerWindow(loads.perSecond))
    , window_(static_cast<std::int64_t>(std::ceil(millisecondsPerSecond * static_cast<double>(grantsPerWindow_) / loads.perSecond)))
    , ownedSince_(ownedSince)
    , nextPermit_((epoch.value() << epochShift) + 1)
{ }

void LoadBudget::requestPermit(const HostId &host, const UpstreamId &engine, const AdapterRef &adapter, LoadPriority priority, Instant now)
{
    const auto [entry, isNew] = requests_.try_emplace(RequestKey{host, engine, adapter});
    entry->second.priority = priority;
    if (isNew) {
        entry->second.since = now;
    }
}

void LoadBudget::cancelRequest(const HostId &host, const UpstreamId &engine, const AdapterRef &adapter)
{
    requests_.erase(RequestKey{host, engine, adapter});
}

void LoadBudget::release(PermitId permit, Instant)
{
    permits_.erase(permit);
}

void LoadBudget::adoptPermit(const HostId &host, PermitId permit, Instant now)
{
    permits_.try_emplace(permit, Permit{host, now + loads_.timeout});
}

void LoadBudget::removeHost(const HostId &host)
{
    std::erase_if(requests_, [&](const auto &entry) { return entry.first.host == host; });
}

std::vector<Grant> LoadBudget::takeGrants(Instant now)
{
    dropExpired(now);
    std::vector<Grant> grants;
    while (!requests_.empty() && permits_.size() < static_cast<std::size_t>(loads_.concurrent) && nextGrantTime(now) <= now) {
        const auto best
            = std::max_element(requests_.begin(), requests_.end(), [&](const auto &a, const auto &b) { return score(a.second, now) < score(b.second, now); });
        const PermitId permit(nextPermit_++);
        grants.push_back({permit, best->first.host, best->first.engine, best->first.adapter});
        permits_.emplace(permit, Permit{best->first.host, now + loads_.timeout});
        grantTimes_.push_back(now);
        requests_.erase(best);
    }
    return grants;
}

std::optional<Instant> LoadBudget::nextDeadline(Instant now) const
{
    if (requests_.empty()) {
        return std::nullopt;
    }
    if (permits_.size() < static_cast<std::size_t>(loads_.concurrent)) {
        return nextGrantTime(now);
    }
    Instant earliest = permits_.begin()->second.until;
    for (const auto &[id, permit] : permits_) {
        earliest = std::min(earliest, permit.until);
    }
    return std::max(earliest, nextGrantTime(now));
}

Milliseconds LoadBudget::expectedWait(Instant now) const
{
    const auto requestsAhead = static_cast<double>(requests_.size()) / 2;
    const auto queue = Milliseconds(static_cast<std::int64_t>(requestsAhead / loads_.perSecond * millisecondsPerSecond));
    return queue + std::max(Milliseconds(0), nextGrantTime(now) - now);
}

/// In weighted request-milliseconds: time that the waiting requests have waited and will wait, less the wait that the eviction causes.
double LoadBudget::score(const PermitRequest &request, Instant now) const
{
    if (request.priority.waitingWeight <= 0) {
        return -request.priority.victimRate - 1e12; // prefetch: below every load that a request waits for
    }
    const auto loadMs = static_cast<double>(loads_.typical.count());
    const double waited = static_cast<double>((now - request.since).count()) + loadMs;
    const double evictionCost = request.priority.victimRate * loadMs;
    return request.priority.waitingWeight * waited - evictionCost;
}

/// When the window allows one more grant; at most `now` if it allows one already.
Instant LoadBudget::nextGrantTime(Instant now) const
{
    const Instant firstWindowEnd = ownedSince_ + window_;
    const auto recentGrants = std::count_if(grantTimes_.begin(), grantTimes_.end(), [&](Instant at) { return at + window_ > now; });
    if (static_cast<std::size_t>(recentGrants) < grantsPerWindow_) {
        return std::max(firstWindowEnd, now);
    }
    return std::max(firstWindowEnd, grantTimes_[grantTimes_.size() - grantsPerWindow_] + window_);
}

void LoadBudget::dropExpired(Instant now)
{
    while (!grantTimes_.empty() && grantTimes_.front() + window_ <= now) {
        grantTimes_.pop_front();
    }
    std::erase_if(permits_, [&](const auto &entry) { return entry.second.until <= now; });
}

FallbackBudget::FallbackBudget(const settings::Loads &loads, Instant startedAt)
    : loadsPerMs_(loads.perSecond / millisecondsPerSecond)
    , refillPerMs_(loadsPerMs_)
    , timeout_(loads.timeout)
    , refilledAt_(startedAt)
    , nextPermit_(fallbackBit + 1)
{ }

void FallbackBudget::setRate(double loadsPerSecond)
{
    loadsPerMs_ = loadsPerSecond / millisecondsPerSecond;
    refillPerMs_ = std::min(refillPerMs_, loadsPerMs_);
}

std::optional<PermitId> FallbackBudget::tryAcquire(int owners, Instant now)
{
    const double elapsed = static_cast<double>((now - refilledAt_).count());
    tokens_ = std::min(1.0, tokens_ + elapsed * refillPerMs_ / std::max(1, owners));
    refillPerMs_ = loadsPerMs_;
    refilledAt_ = now;
    const bool busy = inFlight_ && now < inFlightUntil_;
    if (busy || tokens_ < 1.0) {
        return std::nullopt;
    }
    tokens_ = 0;
    inFlight_ = PermitId(nextPermit_++);
    inFlightUntil_ = now + timeout_;
    return inFlight_;
}

void FallbackBudget::release(PermitId permit)
{
    if (inFlight_ == permit) {
        inFlight_.reset();
    }
}

bool FallbackBudget::isFallbackPermit(PermitId permit)
{
    return (permit.value() & fallbackBit) != 0;
}

} // namespace baobabstall::engines
