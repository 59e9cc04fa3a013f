#include <quotas/quotaowner.h>

#include <cmath>
#include <limits>
#include <utility>

namespace baobabstall::quotas {

namespace {

constexpr double msPerSecond = 1'000;
constexpr Milliseconds wantLifetime{500};   // a host that still wants something asks again sooner
constexpr Milliseconds longestWait{30'000}; // a longer one is said to be this
constexpr Milliseconds peakTime{3'000};     // in which a charge that is given back was made
constexpr Milliseconds recentAsk = peakTime - Timing::giveBackWithin;
constexpr Milliseconds forgetHostAfter{60'000}; // no message is under way that long

double seconds(Milliseconds time)
{
    return static_cast<double>(time.count()) / msPerSecond;
}

} // namespace

void QuotaOwner::setQuotas(const Quotas &quotas, Instant now)
{
    advance(now);
    for (auto &[id, bucket] : buckets_) {
        fill(bucket, now);
    }
    std::erase_if(buckets_, [&](const auto &item) {
        const auto quota = quotas.find(item.first);
        return quota == quotas.end() || quota->second.isNone();
    });
    for (const auto &[id, quota] : quotas) {
        if (!quota.isNone()) {
            const auto [bucket, isNew] = buckets_.try_emplace(id);
            bucket->second.quota = quota;
            if (isNew) {
                bucket->second.filledAt = servedSeconds_;
                bucket->second.peakSince = now;
                bucket->second.peakBefore = std::numeric_limits<double>::infinity(); // what was before isn't known
            }
            fill(bucket->second, now); // a lower limit takes effect on the stock
        }
    }
}

void QuotaOwner::setHostCount(int hosts, Instant now)
{
    advance(now);
    hostCount_ = hosts;
}

/// Sums what was served up to `now`, also after a pause in which hosts ceased to be.
void QuotaOwner::advance(Instant now)
{
    const auto add = [this](Instant until) {
        if (until > servedAt_) {
            servedSeconds_ += servedPart() * seconds(until - servedAt_);
            servedAt_ = until;
        }
    };
    while (!served_.empty() && served_.begin()->first <= now) {
        const auto [until, id] = *served_.begin();
        add(until);
        setServed(id, hosts_.at(id), std::nullopt);
    }
    add(now);
}

double QuotaOwner::servedPart() const
{
    return hostCount_ <= 0 ? 0 : std::min(1.0, static_cast<double>(served_.size()) / hostCount_);
}

void QuotaOwner::setServed(const HostId &id, Host &host, std::optional<Instant> until)
{
    if (host.servedUntil) {
        served_.erase({*host.servedUntil, id});
    }
    host.servedUntil = until;
    if (until) {
        served_.emplace(*until, id);
    }
}

double QuotaOwner::limitOf(const Bucket &bucket, Instant now) const
{
    constexpr double majority = 0.5; // so that one of several owners keeps the smallest request
    const double part = servedPart();
    const double depth = depthOf(bucket.quota);
    const bool isSettled = now - ownedSince_ >= Timing::settleTime;
    const double whole = isSettled ? depth : std::min(depth, std::max(depth - maxOutstanding(bucket.quota), stockSeconds * bucket.quota.perSecond));
    return std::max(part > majority ? unitAmount : 0, whole * part);
}

void QuotaOwner::fill(Bucket &bucket, Instant now)
{
    bucket.stock += bucket.quota.perSecond * (servedSeconds_ - bucket.filledAt);
    bucket.filledAt = servedSeconds_;
    bucket.stock = std::max(0.0, std::min(bucket.stock, limitOf(bucket, now) - bucket.outstanding));
    notePeak(bucket, now);
}

void QuotaOwner::notePeak(Bucket &bucket, Instant now) const
{
    if (now - bucket.peakSince >= peakTime) {
        const bool isOld = now - bucket.peakSince >= peakTime * 2; // it was not looked at; it has only risen since
        bucket.peakBefore = isOld ? bucket.stock + bucket.outstanding : bucket.peak;
        bucket.peak = 0;
        bucket.peakSince = now;
    }
    bucket.peak = std::max(bucket.peak, bucket.stock + bucket.outstanding);
}

/// Adds credit of charges that were not run, as if it had not been spent.
void QuotaOwner::restore(Bucket &bucket, double amount, Instant now)
{
    const double room = depthOf(bucket.quota) - std::max(bucket.peak, bucket.peakBefore);
    const double back = std::max(0.0, std::min(amount, room));
    bucket.stock += back;
    counts_.returned += back;
    bucket.peakBefore += back;
    bucket.peak += back;
    fill(bucket, now);
}

void QuotaOwner::setOutstanding(Bucket &bucket, const HostId &host, double amount) const
{
    auto &held = bucket.outstandingByHost[host];
    bucket.outstanding += amount - held;
    held = amount;
    if (amount <= 0) {
        bucket.outstandingByHost.erase(host);
    }
    if (bucket.outstandingByHost.empty()) {
        bucket.outstanding = 0; // no remainders of sums
    }
}

void QuotaOwner::setWant(Bucket &bucket, const HostId &host, std::optional<Want> want)
{
    if (const auto before = bucket.wants.find(host); before != bucket.wants.end()) {
        bucket.wanted -= before->second.amount;
        bucket.wants.erase(before);
    }
    if (want) {
        bucket.wanted += want->amount;
        bucket.wants.emplace(host, *want);
    }
    if (bucket.wants.empty()) {
        bucket.wanted = 0;
    }
}

/// The last grant did not reach the host in time, and it will discard it.
void QuotaOwner::takeBack(const HostId &id, const Host &host, Instant now)
{
    for (const auto &entry : host.lastGrant) {
        const auto found = buckets_.find(entry.workspace);
        if (found == buckets_.end() || entry.granted <= 0) {
            continue;
        }
        auto &bucket = found->second;
        const auto held = bucket.outstandingByHost.find(id);
        const double back = held == bucket.outstandingByHost.end() ? 0 : std::min(entry.granted, held->second);
        if (back > 0) {
            setOutstanding(bucket, id, held->second - back);
            bucket.stock += back;
            fill(bucket, now);
        }
    }
}

void QuotaOwner::dropOutstanding(const HostId &id)
{
    for (auto &[workspace, bucket] : buckets_) {
        if (bucket.outstandingByHost.contains(id)) {
            setOutstanding(bucket, id, 0);
        }
        setWant(bucket, id, std::nullopt);
    }
}

std::optional<Grant> QuotaOwner::onAsk(const HostId &from, const Ask &ask, Instant now)
{
    advance(now);
    if (now - std::exchange(lastAskAt_, now) >= Timing::settleTime) { // others were asked meanwhile
        ownedSince_ = now;
    }
    auto &host = hosts_[from];
    if (ask.session < host.session || (ask.session == host.session && ask.sequence <= host.sequence)) {
        return std::nullopt;
    }
    if (ask.session != host.session) {
        setServed(from, host, std::nullopt);
        dropOutstanding(from); // the run that held it has ended
        host = Host{.session = ask.session};
    }
    if (ask.answered > host.sequence || host.sequence == 0) { // another owner may have answered it
        host.countsFrom = ask.isInFallback ? now : now + Timing::servedTime;
    }
    const bool isConfirmed = ask.answered == host.sequence && host.sequence > 0;
    const bool isRecent = isConfirmed && now - host.askedAt <= recentAsk; // it was sent after the last one had come
    if (ask.isInFallback) {                                               // it has dropped what it held
        setServed(from, host, std::nullopt);
        dropOutstanding(from);
    } else if (isConfirmed) {
        const auto until = host.askedAt + Timing::servedTime;
        setServed(from, host, until > now && now >= host.countsFrom ? std::optional(until) : std::nullopt);
    } else {
        takeBack(from, host, now);
    }
    host.sequence = ask.sequence;
    host.askedAt = now;
    host.isDropped = false;
    host.lastGrant.clear();
    Grant grant{ask.session, ask.sequence};
    for (const auto &entry : ask.isInFallback ? std::vector<AskEntry>() : ask.entries) {
        if (const auto answer = serve(from, entry, isRecent, now); answer.granted > 0 || answer.wait > Milliseconds(0)) {
            grant.entries.push_back(answer);
        }
    }
    host.lastGrant = grant.entries;
    return grant;
}

GrantEntry QuotaOwner::serve(const HostId &from, const AskEntry &entry, bool isRecent, Instant now)
{
    GrantEntry answer{entry.workspace};
    const auto found = buckets_.find(entry.workspace);
    if (found == buckets_.end()) {
        return answer;
    }
    auto &bucket = found->second;
    fill(bucket, now);
    const double back = std::max(0.0, entry.returned);
    setOutstanding(bucket, from, std::max(0.0, entry.held));
    bucket.stock += back;
    counts_.returned += back;
    fill(bucket, now);
    if (isRecent && entry.givenBack > 0) {
        restore(bucket, entry.givenBack, now);
    }
    const double urgent = std::max(0.0, entry.urgent);
    const double wanted = urgent + std::max(0.0, entry.inAdvance);
    if (wanted <= 0) {
        setWant(bucket, from, std::nullopt);
        return answer;
    }
    setWant(bucket, from, Want{wanted, now});
    const double mayBeOut = std::max(std::min(bucket.outstanding + urgent, maxOutstanding(bucket.quota)), maxInAdvance(bucket.quota));
    const double free = std::floor(std::min(bucket.stock, mayBeOut - bucket.outstanding));
    const double part = std::floor(bucket.stock * std::min(1.0, wanted / bucket.wanted));
    const double granted = std::min({wanted, free, std::max(part, entry.least)});
    if (granted <= 0 || granted < entry.least) {
        ++counts_.refused;
        answer.wait = urgent > 0 ? waitFor(bucket, from, std::max(unitAmount, entry.least)) : Milliseconds(0);
        return answer;
    }
    bucket.stock -= granted;
    setOutstanding(bucket, from, std::max(0.0, entry.held) + granted);
    setWant(bucket, from, granted < wanted ? std::optional(Want{wanted - granted, now}) : std::nullopt);
    counts_.granted += granted;
    answer.granted = granted;
    return answer;
}

/// Until credit is there for this and for what others are known to want.
Milliseconds QuotaOwner::waitFor(const Bucket &bucket, const HostId &host, double least) const
{
    const auto own = bucket.wants.find(host);
    const double others = std::max(0.0, bucket.wanted - (own == bucket.wants.end() ? 0 : own->second.amount));
    const double missing = std::max(0.0, least - bucket.stock) + others;
    const double part = servedPart() > 0 ? servedPart() : 1; // hosts that have just found this owner are about to count
    const auto longest = static_cast<double>(longestWait.count());
    const double wait = std::clamp(std::ceil(missing / (bucket.quota.perSecond * part) * msPerSecond), 1.0, longest);
    return Milliseconds(std::llround(wait));
}

void QuotaOwner::expire(Instant now)
{
    advance(now);
    for (auto host = hosts_.begin(); host != hosts_.end();) {
        const auto silentFor = now - host->second.askedAt;
        if (silentFor >= Timing::settleTime && !host->second.isDropped) { // it has spent what it held, or dropped it
            dropOutstanding(host->first);
            host->second.lastGrant.clear();
            host->second.isDropped = true;
        }
        host = silentFor >= forgetHostAfter ? hosts_.erase(host) : std::next(host);
    }
    for (auto &[id, bucket] : buckets_) {
        std::vector<HostId> stale;
        for (const auto &[host, want] : bucket.wants) {
            if (now - want.at > wantLifetime) {
                stale.push_back(host);
            }
        }
        for (const auto &host : stale) {
            setWant(bucket, host, std::nullopt);
        }
    }
}

double QuotaOwner::stock(const WorkspaceId &workspace, Instant now)
{
    advance(now);
    const auto bucket = buckets_.find(workspace);
    if (bucket == buckets_.end()) {
        return 0;
    }
    fill(bucket->second, now);
    return bucket->second.stock;
}

double QuotaOwner::outstanding(const WorkspaceId &workspace) const
{
    const auto bucket = buckets_.find(workspace);
    return bucket == buckets_.end() ? 0 : bucket->second.outstanding;
}

int QuotaOwner::servedHosts(Instant now)
{
    advance(now);
    return static_cast<int>(served_.size());
}

} // namespace baobabstall::quotas
