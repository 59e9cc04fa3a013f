#include <quotas/quotahost.h>

#include <cmath>

namespace baobabstall::quotas {

namespace {

constexpr double msPerSecond = 1'000;
constexpr double demandSeconds = 0.5;        // over which recent demand is averaged
constexpr double typicalWeight = 0.1;        // of the newest request in the typical amount
constexpr Milliseconds answerMargin{50};     // credit in advance lasts this much longer than until the next ask
constexpr Milliseconds quickIdleAfter{500};  // the same where little is there for all
constexpr Milliseconds idleAfter{2'000};     // credit of a workspace without requests goes back
constexpr Milliseconds fallbackRetry{1'000}; // Retry-After of what can't be served without the owner
constexpr Milliseconds neverRetry{60'000};   // Retry-After of a request that the quota never allows
constexpr double minRetryMs = 1;
constexpr int expectedWaitWeight = 8; // of what was seen before against the newest answer

double seconds(Milliseconds time)
{
    return static_cast<double>(time.count()) / msPerSecond;
}

Milliseconds timeFor(double amount, double perSecond)
{
    const double wait = perSecond > 0 ? std::ceil(amount / perSecond * msPerSecond) : static_cast<double>(neverRetry.count());
    return Milliseconds(std::llround(std::clamp(wait, minRetryMs, static_cast<double>(neverRetry.count()))));
}

} // namespace

void QuotaHost::setQuotas(const Quotas &quotas, Instant now)
{
    update(now);
    std::erase_if(accounts_, [&](const auto &item) {
        const auto quota = quotas.find(item.first);
        return quota == quotas.end() || quota->second.isNone();
    });
    for (const auto &[id, quota] : quotas) {
        if (quota.isNone()) {
            continue;
        }
        const auto [found, isNew] = accounts_.try_emplace(id);
        auto &account = found->second;
        if (isNew) {
            account.fallbackFilledAt = account.demandAt = now;
        } else if (isInFallback_) {
            fillFallback(account, now);
        }
        const double before = isNew ? 0 : maxOutstanding(account.quota);
        account.quota = quota;
        if (before > maxOutstanding(quota)) {
            account.held = std::floor(account.held * maxOutstanding(quota) / before);
            account.isDirty = true;
        }
        account.fallbackStock = std::min(account.fallbackStock, fallbackDepth(account));
    }
}

void QuotaHost::onNewOwner()
{
    for (auto &[id, account] : accounts_) {
        account.isDirty |= account.held > 0 || account.isListed;
        account.isListed = false;
        account.emptyUntil.reset();
        account.askAgainAt.reset();
    }
    askSentAt_.reset(); // its grant no longer counts
    isAskWanted_ = true;
}

void QuotaHost::update(Instant now)
{
    if (!isInFallback_ && now - answeredAskSentAt_ > Timing::fallbackAfter) {
        beginFallback(now);
    }
    if (askSentAt_ && now - *askSentAt_ > Timing::grantLifetime) { // its grant is void
        askSentAt_.reset();
        for (auto &[id, account] : accounts_) {
            account.isDirty |= account.isListed;
            account.isListed = false;
        }
    }
}

void QuotaHost::beginFallback(Instant now)
{
    isInFallback_ = true;
    askSentAt_.reset();
    for (auto &[id, account] : accounts_) {
        account.held = 0;
        account.toReturn = 0;
        account.givenBack = 0;
        account.spentSinceAsk = 0;
        account.fallbackStock = 0;
        account.fallbackFilledAt = now;
        account.isDirty = false;
        account.isListed = false;
    }
}

double QuotaHost::share(const Account &account) const
{
    return hostCount_ <= 0 ? 0 : account.quota.perSecond / hostCount_;
}

double QuotaHost::fallbackDepth(const Account &account) const
{
    return hostCount_ <= 0 ? 0 : fallbackSeconds * share(account) + fallbackReserve(account.quota, allowance_) / hostCount_;
}

void QuotaHost::fillFallback(Account &account, Instant now) const
{
    account.fallbackStock = fallbackStockAt(account, now);
    account.fallbackFilledAt = now;
}

double QuotaHost::fallbackStockAt(const Account &account, Instant now) const
{
    return std::min(fallbackDepth(account), account.fallbackStock + share(account) * seconds(now - account.fallbackFilledAt));
}

Charge QuotaHost::takeInFallback(Account &account, double amount, Instant now)
{
    fillFallback(account, now);
    if (account.fallbackStock >= amount) {
        account.fallbackStock -= amount;
        counts_.spent += amount;
        return {.isTaken = true, .amount = amount};
    }
    ++counts_.refused;
    const bool isPossible = amount <= fallbackDepth(account);
    return {.retryAfter = isPossible ? timeFor(amount - account.fallbackStock, share(account)) : fallbackRetry};
}

double QuotaHost::demand(const Account &account, Instant now)
{
    return account.perSecond * std::exp(-seconds(now - account.demandAt) / demandSeconds);
}

void QuotaHost::noteDemand(Account &account, double amount, Instant now)
{
    account.perSecond = demand(account, now) + amount / demandSeconds;
    account.demandAt = now;
    account.usedAt = now;
    account.typical = account.typical <= 0 ? amount : account.typical + typicalWeight * (amount - account.typical);
}

Charge QuotaHost::tryTake(const WorkspaceId &workspace, double amount, Instant now)
{
    if (const auto found = accounts_.find(workspace); found != accounts_.end()) {
        noteDemand(found->second, std::max(0.0, std::ceil(amount)), now);
    }
    return tryAgain(workspace, amount, now);
}

Charge QuotaHost::tryAgain(const WorkspaceId &workspace, double amount, Instant now)
{
    const auto found = accounts_.find(workspace);
    if (found == accounts_.end()) {
        return {.isTaken = true};
    }
    update(now);
    return take(found->second, std::max(0.0, std::ceil(amount)), now);
}

Charge QuotaHost::take(Account &account, double amount, Instant now)
{
    if (amount > depthOf(account.quota)) {
        ++counts_.refused;
        return {.retryAfter = neverRetry};
    }
    if (isInFallback_) {
        return takeInFallback(account, amount, now);
    }
    if (account.held >= amount) {
        account.held -= amount;
        account.spentSinceAsk += amount;
        account.isDirty = true;
        counts_.spent += amount;
        return {.isTaken = true, .amount = amount};
    }
    const bool isEmpty = account.emptyUntil && now < *account.emptyUntil;
    const auto wait = isEmpty ? *account.emptyUntil - now : timeFor(amount - account.held, account.quota.perSecond);
    const bool isSoonAsked = !account.askAgainAt || *account.askAgainAt - now <= emptyGap;
    counts_.refused += isSoonAsked ? 0 : 1;
    return {.mayAsk = isSoonAsked, .retryAfter = wait};
}

void QuotaHost::giveBack(const WorkspaceId &workspace, double amount, Instant chargedAt, Instant now)
{
    const auto found = accounts_.find(workspace);
    if (found == accounts_.end()) {
        return;
    }
    update(now);
    auto &account = found->second;
    amount = std::max(0.0, std::ceil(amount));
    counts_.givenBack += amount;
    if (isInFallback_ || chargedAt < creditSince_) {
        return;
    }
    const double stillHeld = std::min(amount, account.spentSinceAsk); // the owner was not told of its use
    account.spentSinceAsk -= stillHeld;
    account.held += stillHeld;
    if (now - chargedAt <= Timing::giveBackWithin) {
        account.givenBack += amount - stillHeld;
    }
    account.isDirty = true;
}

void QuotaHost::wait(const WorkspaceId &workspace, double amount, Instant now)
{
    if (const auto found = accounts_.find(workspace); found != accounts_.end()) {
        update(now);
        found->second.waiting.insert(std::ceil(amount));
        found->second.waitingSum += std::ceil(amount);
    }
}

void QuotaHost::endWait(const WorkspaceId &workspace, double amount)
{
    const auto found = accounts_.find(workspace);
    if (found == accounts_.end()) {
        return;
    }
    auto &account = found->second;
    if (const auto one = account.waiting.find(std::ceil(amount)); one != account.waiting.end()) {
        account.waitingSum -= *one;
        account.waiting.erase(one);
    }
}

bool QuotaHost::isIdle(const Account &account, Instant now)
{
    return now - account.usedAt >= (hasLittleBurst(account) ? quickIdleAfter : idleAfter);
}

bool QuotaHost::hasLittleBurst(const Account &account)
{
    constexpr double littleBurstSeconds = 0.5;
    return account.quota.burst < littleBurstSeconds * account.quota.perSecond;
}

Milliseconds QuotaHost::reportInterval(const Account &account)
{
    return hasLittleBurst(account) ? quickReport : slowReport;
}

/// Credit to have at hand: for the requests until the next ask is answered. One request where they come one by one.
double QuotaHost::target(const Account &account, Instant now)
{
    const double expected = demand(account, now) * seconds(reportInterval(account) + answerMargin);
    const bool isRecent = !isIdle(account, now) && account.usedAt != Instant();
    return std::floor(std::max(expected, isRecent ? std::ceil(account.typical) : 0));
}

bool QuotaHost::isUrgent(const Account &account, Instant now) const
{
    return account.waitingSum > account.held && (!account.askAgainAt || now >= *account.askAgainAt) && now - lastAskAt_ >= askGap;
}

bool QuotaHost::isReportDue(const Account &account, Instant now) const
{
    return account.isDirty && now - lastAskAt_ >= reportInterval(account);
}

bool QuotaHost::isAskDue(Instant now)
{
    update(now);
    if (accounts_.empty() || askSentAt_) {
        return false;
    }
    if (isAskWanted_ || sequence_ == 0 || now - lastAskAt_ >= Timing::heartbeat) {
        return true;
    }
    return !isInFallback_
        && std::any_of(accounts_.begin(), accounts_.end(), [&](const auto &item) { return isUrgent(item.second, now) || isReportDue(item.second, now); });
}

void QuotaHost::returnUnused(Account &account, Instant now)
{
    const double wanted = target(account, now) + account.waitingSum;
    const bool isRemainder = account.waiting.empty() && account.held < account.typical / 2 && wanted <= std::ceil(account.typical);
    const double kept = isIdle(account, now) || isRemainder ? 0 : 2 * wanted;
    if (account.held > kept) {
        account.toReturn += account.held - kept;
        account.held = kept;
    }
}

AskEntry QuotaHost::entryFor(const WorkspaceId &id, const Account &account, Instant now)
{
    AskEntry entry{id, account.held};
    const double ahead = target(account, now);
    if (account.waitingSum > account.held) {
        entry.urgent = std::ceil(account.waitingSum - account.held);
        entry.inAdvance = ahead;
        entry.least = std::max(unitAmount, std::ceil(*account.waiting.begin() - account.held));
    } else if (const double free = account.held - account.waitingSum; free < ahead) {
        entry.inAdvance = std::ceil(ahead - free);
        entry.least = std::max(unitAmount, std::ceil(std::min(account.typical - free, entry.inAdvance)));
    }
    entry.returned = account.toReturn;
    entry.givenBack = account.givenBack;
    return entry;
}

Ask QuotaHost::makeAsk(Instant now)
{
    update(now);
    Ask ask{session_, ++sequence_, answered_, isInFallback_};
    for (auto &[id, account] : accounts_) {
        const bool isUnused = account.held > 0 && isIdle(account, now);
        const bool isWaiting = account.waitingSum > account.held;
        account.isListed = !isInFallback_ && (account.isDirty || isUnused || isWaiting);
        if (!account.isListed) {
            continue;
        }
        returnUnused(account, now);
        ask.entries.push_back(entryFor(id, account, now));
        account.toReturn = account.givenBack = 0; // lost with the ask: whether the owner has it can't be known
        account.spentSinceAsk = 0;
        account.isDirty = false;
    }
    askSentAt_ = lastAskAt_ = now;
    isAskWanted_ = false;
    return ask;
}

bool QuotaHost::onGrant(const Grant &grant, Instant now)
{
    update(now);
    if (grant.session != session_ || grant.sequence != sequence_ || !askSentAt_ || now - *askSentAt_ > Timing::grantLifetime) {
        return false;
    }
    expectedWait_ = (expectedWait_ * (expectedWaitWeight - 1) + (now - *askSentAt_)) / expectedWaitWeight;
    answered_ = grant.sequence;
    answeredAskSentAt_ = *askSentAt_;
    askSentAt_.reset();
    if (isInFallback_) {
        isInFallback_ = false;
        creditSince_ = now;
        isAskWanted_ = true;
        return true;
    }
    for (auto &[id, account] : accounts_) {
        account.isListed = false;
    }
    for (const auto &entry : grant.entries) {
        const auto found = accounts_.find(entry.workspace);
        if (found == accounts_.end()) {
            continue;
        }
        auto &account = found->second;
        if (entry.granted > 0) {
            account.held += entry.granted;
            account.emptyUntil.reset();
            account.askAgainAt.reset();
        } else {
            account.emptyUntil = now + entry.wait;
            account.askAgainAt = now + std::clamp(entry.wait, emptyGap, longestEmptyGap);
        }
    }
    return true;
}

bool QuotaHost::isInFallback(Instant now)
{
    update(now);
    return isInFallback_;
}

double QuotaHost::held(const WorkspaceId &workspace) const
{
    const auto found = accounts_.find(workspace);
    return found == accounts_.end() ? 0 : found->second.held;
}

double QuotaHost::spendable(const WorkspaceId &workspace, Instant now) const
{
    const auto found = accounts_.find(workspace);
    if (found == accounts_.end()) {
        return 0;
    }
    return isInFallback_ ? fallbackStockAt(found->second, now) : found->second.held;
}

} // namespace baobabstall::quotas
