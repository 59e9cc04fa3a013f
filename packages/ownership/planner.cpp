#include <ownership/planner.h>

#include <algorithm>

#include <core/hash.h>

namespace baobabstall::ownership {

using peers::Listing;
using peers::Member;
using peers::MemberState;

namespace {

constexpr std::int64_t appendCostMilli = 1'000; // budget used by one append, in thousandths
constexpr int refreshNumerator = 2;             // a refresh is due after 2/5 of the retention, so that a rate-limited one is stored before half of it
constexpr int refreshDenominator = 5;

bool answers(const Member &member)
{
    return member.state == MemberState::Alive || member.state == MemberState::Leaving;
}

} // namespace

OwnershipPlanner::OwnershipPlanner(Self self, settings::Ownership settings, Milliseconds retention)
    : self_(std::move(self))
    , settings_(settings)
    , retention_(retention)
{
    adoptsEarlierClaims_ = settings_.claimsOf == "host";
}

void OwnershipPlanner::setResources(std::vector<PlacedResource> resources)
{
    std::map<Resource, ResourceState> states;
    for (auto &placed : resources) {
        auto known = states_.extract(placed.resource);
        auto &state = known ? states.insert(std::move(known)).position->second : states[placed.resource];
        state.zone = std::move(placed.zone);
        state.needsStrength = placed.needsStrength;
        choosePreferredHost(placed.resource, state);
    }
    for (const auto &[resource, state] : states_) {
        if (state.heldEpoch) {
            removedHoldings_.push_back({resource, *state.heldEpoch});
        }
    }
    states_ = std::move(states);
}

void OwnershipPlanner::setMembers(const std::vector<Member> &members)
{
    members_.clear();
    for (const auto &member : members) {
        members_.emplace(member.host, member);
    }
    auto &self = members_[self_.host]; // this daemon is alive, whatever its peers report
    self.host = self_.host;
    self.zone = self_.zone;
    self.state = MemberState::Alive;
    setCandidates(candidatesAmong(members_));
}

void OwnershipPlanner::setStrengths(std::map<HostId, double> strengths)
{
    if (strengths == strengths_) {
        return;
    }
    strengths_ = std::move(strengths);
    for (auto &[resource, state] : states_) {
        if (state.needsStrength) {
            choosePreferredHost(resource, state);
        }
    }
}

void OwnershipPlanner::setCutOff(std::set<HostId> hosts, Instant now)
{
    cutOff_ = std::move(hosts);
    if (reachesUpstreams(self_.host)) {
        cutOffSince_.reset();
    } else {
        cutOffSince_ = cutOffSince_.value_or(now);
    }
    setCandidates(candidatesAmong(members_));
}

/// Those that reach upstreams. While none does, those that were candidates before, so that nothing moves.
std::map<HostId, ZoneId> OwnershipPlanner::candidatesAmong(const std::map<HostId, Member> &members) const
{
    std::map<HostId, ZoneId> alive;
    for (const auto &[host, member] : members) {
        bool isWanted = member.state == MemberState::Alive && !(stopping_ && host == self_.host);
        if (isWanted) {
            alive.emplace(host, member.zone);
        }
    }
    const auto among = [&alive](const auto &isChosen) {
        std::map<HostId, ZoneId> chosen;
        std::copy_if(alive.begin(), alive.end(), std::inserter(chosen, chosen.end()), [&](const auto &each) { return isChosen(each.first); });
        return chosen;
    };
    auto candidates = among([this](const HostId &host) { return reachesUpstreams(host); });
    if (candidates.empty()) {
        candidates = among([this](const HostId &host) { return candidates_.contains(host); });
    }
    return candidates.empty() ? alive : candidates;
}

void OwnershipPlanner::setCandidates(std::map<HostId, ZoneId> candidates)
{
    std::map<HostId, ZoneId> added;
    std::map<HostId, ZoneId> removed;
    std::set_difference(candidates.begin(), candidates.end(), candidates_.begin(), candidates_.end(), std::inserter(added, added.end()));
    std::set_difference(candidates_.begin(), candidates_.end(), candidates.begin(), candidates.end(), std::inserter(removed, removed.end()));
    if (added.empty() && removed.empty()) {
        return;
    }
    candidates_ = std::move(candidates);
    auto zonesBefore = std::exchange(candidatesPerZone_, {});
    for (const auto &[host, zone] : candidates_) {
        ++candidatesPerZone_[zone];
    }
    for (auto &[resource, state] : states_) {
        bool zoneLives = candidatesPerZone_.contains(state.zone);
        if (zoneLives != zonesBefore.contains(state.zone)) {
            choosePreferredHost(resource, state);
        } else {
            updatePreferredHost(resource, state, added, removed);
        }
    }
}

bool OwnershipPlanner::isEligible(const ResourceState &state, const ZoneId &zone) const
{
    return !candidatesPerZone_.contains(state.zone) || state.zone == zone;
}

OwnershipPlanner::Weight OwnershipPlanner::weightOf(const Resource &resource, const ResourceState &state, const HostId &host) const
{
    const auto strength = state.needsStrength ? strengths_.find(host) : strengths_.end();
    return {strength == strengths_.end() ? 0 : strength->second, core::rendezvousWeight(resource.value(), host.value())};
}

void OwnershipPlanner::choosePreferredHost(const Resource &resource, ResourceState &state) const
{
    state.preferredHost = HostId();
    state.preferredWeight = Weight();
    updatePreferredHost(resource, state, candidates_, {});
}

/// Only added and removed hosts can change the choice; all are compared again when the preferred one was removed.
void OwnershipPlanner::updatePreferredHost(const Resource &resource,
                                           ResourceState &state,
                                           const std::map<HostId, ZoneId> &added,
                                           const std::map<HostId, ZoneId> &removed) const
{
    if (removed.contains(state.preferredHost)) {
        choosePreferredHost(resource, state);
        return;
    }
    for (const auto &[host, zone] : added) {
        if (!isEligible(state, zone)) {
            continue;
        }
        const auto weight = weightOf(resource, state, host);
        bool better = state.preferredHost.empty() || weight > state.preferredWeight || (weight == state.preferredWeight && host < state.preferredHost);
        if (better) {
            state.preferredHost = host;
            state.preferredWeight = weight;
        }
    }
}

void OwnershipPlanner::onRecords(Offset first, Offset next, const std::vector<StreamRecord> &records)
{
    for (const auto &record : records) {
        if (!record.claim) {
            table_.skip(record.offset);
            continue;
        }
        table_.apply(record.offset, *record.claim, record.recordedAt);
        removePending(record.claim->id);
    }
    table_.trim(first);
    logDown_ = false;
    bool atEnd = table_.lastReadOffset().next() >= next || records.empty();
    if (!atEnd) {
        return;
    }
    if (next.value() > 0) {
        table_.skip(Offset(next.value() - 1));
    }
    ++fullReads_;
    caughtUp_ = caughtUp_ || fullReads_ >= requiredFullReads;
    for (auto &[id, pending] : pending_) {
        ++pending.fullReads;
    }
}

void OwnershipPlanner::onLogDown()
{
    logDown_ = true;
    caughtUp_ = false;
    fullReads_ = 0;
}

void OwnershipPlanner::beginEra(Instant now)
{
    const bool isAwake = lastTick_ && now - *lastTick_ <= maxTickGap;
    const bool wasCurrent = isAwake && (caughtUp_ || logDown_); // else another daemon may have claimed while this one was paused
    for (auto &[resource, state] : states_) {
        if (state.heldEpoch) {
            removedHoldings_.push_back({resource, *state.heldEpoch});
        }
        state.reclaims = state.heldEpoch && !state.draining && wasCurrent;
        state.heldEpoch.reset();
        state.draining = false;
        state.drained = false;
        state.renewing = false;
        state.lostEpochs.clear();
        state.epochsToRetire.clear();
        state.ownerRecordOffset = Offset();
    }
    if (!wasCurrent) {
        delayActions(now + settings_.leaseWait);
    }
    table_ = ClaimTable();
    pending_.clear();
    pendingByResource_.clear();
    caughtUp_ = false;
    fullReads_ = 0;
    eraBegan_ = now;
}

void OwnershipPlanner::onAppended(const std::string &id)
{
    auto found = pending_.find(id);
    if (found != pending_.end()) {
        found->second.outcomeUnknown = false;
    }
}

void OwnershipPlanner::onAppendRefused(const std::string &id)
{
    removePending(id);
}

void OwnershipPlanner::onAppendUnknown(const std::string &id)
{
    auto found = pending_.find(id);
    if (found != pending_.end()) {
        found->second.outcomeUnknown = true;
        found->second.fullReads = 0;
    }
}

void OwnershipPlanner::removePending(const std::string &id)
{
    auto found = pending_.find(id);
    if (found != pending_.end()) {
        pendingByResource_.erase(found->second.record.resource);
        pending_.erase(found);
    }
}

void OwnershipPlanner::onDrained(const Holding &holding)
{
    auto found = states_.find(holding.resource);
    if (found == states_.end()) {
        return;
    }
    auto &state = found->second;
    if (state.lostEpochs.erase(holding.epoch) > 0) {
        // Where claims outlive processes, a new owner waits for a lease and needs no statement of the former one. Such a log keeps the newest
        // record of each resource only, so the statement would take the place of the owner's claim.
        if (settings_.claimsOf != "host") {
            state.epochsToRetire.insert(holding.epoch);
        }
    } else if (state.draining && state.heldEpoch == holding.epoch) {
        state.drained = true;
    }
}

void OwnershipPlanner::stop()
{
    stopping_ = true;
    setCandidates(candidatesAmong(members_));
}

void OwnershipPlanner::renewEpoch(const Resource &resource)
{
    const auto found = states_.find(resource);
    if (found != states_.end() && found->second.heldEpoch) {
        found->second.renewing = true;
    }
}

OwnershipActions OwnershipPlanner::tick(Instant now)
{
    OwnershipActions actions;
    recordTick(now);
    actions.lost = std::exchange(removedHoldings_, {});
    for (auto &[resource, state] : states_) {
        updateOwnership(resource, state, actions, now);
    }
    retryAppends(actions, now);
    for (auto &[resource, state] : states_) {
        planResource(resource, state, actions, now);
    }
    return actions;
}

void OwnershipPlanner::recordTick(Instant now)
{
    if (lastTick_) {
        auto passed = now - *lastTick_;
        refillAppendBudget(passed);
        if (passed > maxTickGap) {
            caughtUp_ = false;
            fullReads_ = 0;
        }
    }
    lastTick_ = now;
    for (const auto &[host, member] : members_) {
        if (member.state == MemberState::Dead) {
            deadSince_.emplace(host, now);
        } else {
            deadSince_.erase(host);
        }
    }
    if (!readySince_ && caughtUp_ && !members_.empty()) {
        readySince_ = now;
    }
}

void OwnershipPlanner::refillAppendBudget(Milliseconds passed)
{
    constexpr std::int64_t maxMilli = appendBurst * appendCostMilli;
    auto refilled = passed.count() * appendsPerSecond; // ms * 1/s yields thousandths
    appendBudgetMilli_ = std::min(maxMilli, appendBudgetMilli_ + refilled);
}

void OwnershipPlanner::retryAppends(OwnershipActions &actions, Instant now)
{
    std::vector<std::string> dropped;
    for (auto &[id, pending] : pending_) {
        bool ready = pending.outcomeUnknown && pending.fullReads >= requiredFullReads && caughtUp_ && !logDown_;
        if (!ready || appendBudgetMilli_ < appendCostMilli) {
            continue;
        }
        auto state = states_.find(pending.record.resource);
        bool isWanted = state != states_.end() && (pending.record.kind != ClaimKind::Claim || shouldClaim(state->first, state->second, now));
        if (!isWanted) {
            dropped.push_back(id);
            continue;
        }
        pending.outcomeUnknown = false;
        appendBudgetMilli_ -= appendCostMilli;
        actions.appends.push_back(pending.record);
    }
    for (const auto &id : dropped) {
        removePending(id);
    }
}

void OwnershipPlanner::updateOwnership(const Resource &resource, ResourceState &state, OwnershipActions &actions, Instant now)
{
    if (state.lastPreferredHost != state.preferredHost) {
        state.lastPreferredHost = state.preferredHost;
        state.preferredSince = now;
    }
    auto owner = table_.ownerOf(resource);
    auto epoch = owner ? owner->epoch : Epoch();
    if (state.lastEpoch != epoch) {
        state.lastEpoch = epoch;
        state.ownerSince = now;
        updateActFrom(state, owner, now);
    }
    bool ours = owner && isOurs(*owner) && !owner->released;
    if (state.heldEpoch && (!ours || owner->epoch != *state.heldEpoch)) {
        bool weReleased = owner && owner->epoch == *state.heldEpoch && owner->released;
        if (!weReleased) {
            recordLoss(resource, state, actions);
        }
        state.heldEpoch.reset();
        state.renewing = false;
        state.draining = false;
        state.drained = false;
    }
    if (ours && !state.heldEpoch) {
        state.reclaims = false;
        state.heldEpoch = owner->epoch;
        state.ownerRecordOffset = Offset();
        actions.gained.push_back({resource, owner->epoch});
    }
    auto ownerRecord = table_.ownerRecordOffset(resource);
    if (ours && state.ownerRecordOffset != ownerRecord) {
        state.ownerRecordOffset = ownerRecord;
        state.refreshedAt = now;
    }
}

/// An earlier owner may have issued its last order just now, so only a resource without an earlier owner, or one of this host, can be acted on at once.
void OwnershipPlanner::updateActFrom(ResourceState &state, const std::optional<Owner> &owner, Instant now) const
{
    if (!owner) {
        return;
    }
    const bool wasOurs = state.lastOwner == self_.host && (adoptsEarlierClaims_ || settings_.claimsOf != "host");
    const bool hasFormer = !state.lastOwner.empty();
    state.actFrom = hasFormer && !wasOurs ? now + settings_.leaseWait : now;
    state.lastOwner = owner->host;
}

void OwnershipPlanner::recordLoss(const Resource &resource, ResourceState &state, OwnershipActions &actions)
{
    auto entry = table_.holderOf(resource, *state.heldEpoch);
    actions.lost.push_back({resource, *state.heldEpoch});
    if (!entry || !entry->released) {
        state.lostEpochs.insert(*state.heldEpoch);
    }
}

void OwnershipPlanner::planResource(const Resource &resource, ResourceState &state, OwnershipActions &actions, Instant now)
{
    if (state.heldEpoch) {
        planOwnedResource(resource, state, *state.heldEpoch, actions, now);
        return;
    }
    if (!mayAppend(resource)) {
        return;
    }
    if (!state.epochsToRetire.empty()) {
        appendRecord(ClaimKind::Retire, resource, *state.epochsToRetire.begin(), actions);
        state.epochsToRetire.erase(state.epochsToRetire.begin());
        return;
    }
    if (shouldClaim(resource, state, now)) {
        appendRecord(ClaimKind::Claim, resource, Epoch(), actions);
    }
}

void OwnershipPlanner::planOwnedResource(const Resource &resource, ResourceState &state, Epoch epoch, OwnershipActions &actions, Instant now)
{
    if (!state.draining && shouldHandOver(state, now)) {
        state.draining = true;
        actions.handovers.push_back({resource, epoch});
        return;
    }
    if (!mayAppend(resource)) {
        return;
    }
    if (state.renewing && !state.draining) {
        appendRecord(ClaimKind::Claim, resource, Epoch(), actions);
    } else if (state.drained) {
        appendRecord(ClaimKind::Release, resource, epoch, actions);
    } else if (!state.epochsToRetire.empty()) {
        appendRecord(ClaimKind::Retire, resource, *state.epochsToRetire.begin(), actions);
        state.epochsToRetire.erase(state.epochsToRetire.begin());
    } else if (isRefreshDue(state, now)) {
        appendRecord(ClaimKind::Refresh, resource, epoch, actions);
    }
}

bool OwnershipPlanner::shouldHandOver(const ResourceState &state, Instant now) const
{
    if (stopping_) {
        return true;
    }
    bool otherPreferred = !state.preferredHost.empty() && state.preferredHost != self_.host;
    bool settled = now - state.preferredSince >= settings_.handoverDelay;
    return otherPreferred && (settled || isCutOffForLong(now)) && caughtUp_ && !logDown_ && reachesMajority();
}

bool OwnershipPlanner::isCutOffForLong(Instant now) const
{
    const bool doOthersReach = std::any_of(candidates_.begin(), candidates_.end(), [this](const auto &each) { return reachesUpstreams(each.first); });
    return cutOffSince_ && now - *cutOffSince_ >= cutOffDelay && doOthersReach;
}

bool OwnershipPlanner::isRefreshDue(const ResourceState &state, Instant now) const
{
    return now - state.refreshedAt >= retention_ * refreshNumerator / refreshDenominator;
}

bool OwnershipPlanner::shouldClaim(const Resource &resource, const ResourceState &state, Instant now) const
{
    auto owner = table_.ownerOf(resource);
    bool wasOurs = settings_.claimDelay.count() > 0 && owner && owner->host == self_.host && owner->incarnation < self_.incarnation;
    if (wasOurs && readySince_ && !stopping_ && !(newestIncarnation(self_.host) > self_.incarnation)) {
        return true; // no other host holds it, so there is no lease to wait for
    }
    const bool isNewEra = eraBegan_ && now - *eraBegan_ < settings_.leaseWait;
    const bool isSuperseded = newestIncarnation(self_.host) > self_.incarnation;
    if (isNewEra && state.reclaims && !stopping_ && !isSuperseded) {
        return true;
    }
    const bool isLeftToLastOwner = isNewEra && !owner && !state.lastOwner.empty() && state.lastOwner != self_.host;
    if (isLeftToLastOwner) {
        return false;
    }
    auto startDelay = settings_.claimDelay.count() > 0 ? settings_.claimDelay : settings_.handoverDelay;
    bool started = readySince_ && now - *readySince_ >= startDelay;
    if (stopping_ || isSuperseded || !started || state.preferredHost != self_.host) {
        return false;
    }
    return !owner || owner->released || isReplaceable(*owner, state, now);
}

bool OwnershipPlanner::mayAppend(const Resource &resource) const
{
    return caughtUp_ && !logDown_ && appendBudgetMilli_ >= appendCostMilli && !pendingByResource_.contains(resource);
}

void OwnershipPlanner::appendRecord(ClaimKind kind, const Resource &resource, Epoch epoch, OwnershipActions &actions)
{
    ClaimRecord record;
    record.id = self_.host.value() + "/" + std::to_string(self_.incarnation.value()) + "/" + std::to_string(nextId_++);
    record.kind = kind;
    record.resource = resource;
    record.host = self_.host;
    record.incarnation = self_.incarnation;
    record.epoch = epoch;
    if (const auto entry = table_.holderOf(resource, epoch); entry && kind != ClaimKind::Claim) {
        record.incarnation = entry->holder.incarnation; // of the run that claimed: readers ignore a statement from another holder
    }
    record.lastReadOffset = table_.lastReadOffset();
    if (kind == ClaimKind::Claim || kind == ClaimKind::Refresh) {
        auto before = kind == ClaimKind::Claim ? Epoch(table_.lastReadOffset().next().value()) : epoch;
        record.formerHolders = table_.unreleasedBefore(resource, before);
    }
    appendBudgetMilli_ -= appendCostMilli;
    pendingByResource_.emplace(resource, record.id);
    pending_.emplace(record.id, PendingAppend{record});
    actions.appends.push_back(std::move(record));
}

bool OwnershipPlanner::isOurs(const Owner &owner) const
{
    const bool isEarlierRun = adoptsEarlierClaims_ && owner.incarnation < self_.incarnation && newestIncarnation(self_.host) <= self_.incarnation;
    return owner.host == self_.host && (owner.incarnation == self_.incarnation || isEarlierRun);
}

bool OwnershipPlanner::isRestarted(const Owner &owner) const
{
    return settings_.claimsOf != "host" && newestIncarnation(owner.host) > owner.incarnation;
}

/// A daemon that just started can own a resource before the membership lists it; information about an earlier run does not apply to it.
bool OwnershipPlanner::isReplaceable(const Owner &owner, const ResourceState &state, Instant now) const
{
    if (isRestarted(owner)) {
        return true;
    }
    const auto *member = memberOf(owner.host);
    bool unknown = member == nullptr || member->incarnation < owner.incarnation;
    if (unknown && now - state.ownerSince < unknownOwnerDelay) {
        return false;
    }
    if (member == nullptr) {
        return reachesMajority();
    }
    if (member->listing == Listing::Delisted && !answers(*member)) {
        return true;
    }
    auto since = deadSince_.find(owner.host);
    bool mayDecideAlone = settings_.minorityDelay.count() > 0 && since != deadSince_.end() && now - since->second >= settings_.minorityDelay;
    return member->state == MemberState::Dead && (reachesMajority() || mayDecideAlone);
}

bool OwnershipPlanner::reachesMajority() const
{
    std::size_t listed = 0;
    std::size_t reached = 0;
    bool reachedLowest = false;
    for (const auto &[host, member] : members_) {
        bool counts = member.listing == Listing::Listed || host == self_.host;
        if (!counts) {
            continue;
        }
        bool reaches = answers(member);
        reachedLowest |= listed == 0 && reaches;
        ++listed;
        reached += reaches ? 1 : 0;
    }
    return 2 * reached > listed || (2 * reached == listed && reachedLowest);
}

Incarnation OwnershipPlanner::newestIncarnation(const HostId &host) const
{
    const auto *member = memberOf(host);
    auto memberIncarnation = member == nullptr ? Incarnation() : member->incarnation;
    return std::max(memberIncarnation, table_.newestIncarnation(host));
}

const Member *OwnershipPlanner::memberOf(const HostId &host) const
{
    auto found = members_.find(host);
    return found == members_.end() ? nullptr : &found->second;
}

bool OwnershipPlanner::mayAct(const Resource &resource, Epoch epoch, Instant now) const
{
    auto found = states_.find(resource);
    if (found == states_.end() || found->second.drained) {
        return false;
    }
    auto owner = table_.ownerOf(resource);
    bool ours = owner && isOurs(*owner) && !owner->released && owner->epoch == epoch;
    bool awake = lastTick_ && now - *lastTick_ <= maxTickGap;
    return ours && awake && (caughtUp_ || logDown_) && now >= std::max(found->second.actFrom, earliestAction_);
}

bool OwnershipPlanner::isDraining(const Resource &resource) const
{
    auto found = states_.find(resource);
    return found != states_.end() && found->second.draining;
}

bool OwnershipPlanner::isUsable(const Owner &owner) const
{
    const auto *member = memberOf(owner.host);
    // When all hosts start at once, most are not in the membership for a second. Calling one of them is worth trying: a call to a host that is down fails
    // quickly.
    const bool isUntested = settings_.claimsOf == "host" && member != nullptr && member->incarnation == Incarnation() && member->state != MemberState::Dead;
    return member != nullptr && (answers(*member) || isUntested) && !isRestarted(owner) && !owner.released;
}

HostId OwnershipPlanner::preferredOwner(const Resource &resource) const
{
    auto found = states_.find(resource);
    return found == states_.end() ? HostId() : found->second.preferredHost;
}

Evidence OwnershipPlanner::evidence(const Resource &resource, Epoch epoch) const
{
    auto entry = table_.holderOf(resource, epoch);
    if (!entry) {
        return Evidence::None;
    }
    if (entry->released) {
        return Evidence::Released;
    }
    if (newestIncarnation(entry->holder.host) > entry->holder.incarnation) {
        return Evidence::NewerIncarnation;
    }
    const auto *member = memberOf(entry->holder.host);
    bool answering = member != nullptr && answers(*member);
    bool gone = member != nullptr && member->listing == Listing::Delisted;
    bool neverListed = member == nullptr || member->listing == Listing::NeverListed;
    bool listIsNewer = hostListTime_ > entry->lastRecordedAt + hostListLagMs;
    return !answering && (gone || (neverListed && listIsNewer)) ? Evidence::HostGone : Evidence::None;
}

std::vector<Holding> OwnershipPlanner::holdings() const
{
    std::vector<Holding> found;
    for (const auto &[resource, state] : states_) {
        if (state.heldEpoch) {
            found.push_back({resource, *state.heldEpoch});
        }
    }
    return found;
}

} // namespace baobabstall::ownership
