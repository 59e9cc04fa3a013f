#include <ownership/planner.h>

#include <algorithm>

#include <core/hash.h>

namespace baobabstall::ownership {

using peers::Listing;
using peers::Member;
using peers::MemberState;

namespace {

constexpr std::int64_t milli = 1'000; // thousandths in one append of the budget
constexpr int refreshNumerator = 2;   // a refresh is due after 2/5 of the retention, so that a paced one stands before half of it
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
    adopts_ = settings_.claimsOf == "host";
}

void OwnershipPlanner::setThings(std::vector<PlacedThing> things)
{
    std::map<Thing, State> states;
    for (auto &placed : things) {
        auto known = states_.extract(placed.thing);
        auto &state = known ? states.insert(std::move(known)).position->second : states[placed.thing];
        state.zone = std::move(placed.zone);
        choosePreferred(placed.thing, state);
    }
    for (const auto &[thing, state] : states_) {
        if (state.held) {
            vanished_.push_back({thing, *state.held});
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
    auto &self = members_[self_.host]; // whatever others think of it, this daemon runs
    self.host = self_.host;
    self.zone = self_.zone;
    self.state = MemberState::Alive;
    setCandidates(candidatesAmong(members_));
}

std::map<HostId, ZoneId> OwnershipPlanner::candidatesAmong(const std::map<HostId, Member> &members) const
{
    std::map<HostId, ZoneId> candidates;
    for (const auto &[host, member] : members) {
        bool wanted = member.state == MemberState::Alive && !(stopping_ && host == self_.host);
        if (wanted) {
            candidates.emplace(host, member.zone);
        }
    }
    return candidates;
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
    auto zonesBefore = std::exchange(candidatesIn_, {});
    for (const auto &[host, zone] : candidates_) {
        ++candidatesIn_[zone];
    }
    for (auto &[thing, state] : states_) {
        bool zoneLives = candidatesIn_.contains(state.zone);
        if (zoneLives != zonesBefore.contains(state.zone)) {
            choosePreferred(thing, state);
        } else {
            updatePreferred(thing, state, added, removed);
        }
    }
}

bool OwnershipPlanner::isEligible(const State &state, const ZoneId &zone) const
{
    return !candidatesIn_.contains(state.zone) || state.zone == zone;
}

void OwnershipPlanner::choosePreferred(const Thing &thing, State &state) const
{
    state.preferred = HostId();
    state.weight = 0;
    updatePreferred(thing, state, candidates_, {});
}

/// Only the hosts that came or went can change the choice; all are weighed again when the preferred one went.
void OwnershipPlanner::updatePreferred(const Thing &thing, State &state, const std::map<HostId, ZoneId> &added, const std::map<HostId, ZoneId> &removed) const
{
    if (removed.contains(state.preferred)) {
        choosePreferred(thing, state);
        return;
    }
    for (const auto &[host, zone] : added) {
        if (!isEligible(state, zone)) {
            continue;
        }
        auto weight = core::rendezvousWeight(thing.value(), host.value());
        bool better = state.preferred.empty() || weight > state.weight || (weight == state.weight && host < state.preferred);
        if (better) {
            state.preferred = host;
            state.weight = weight;
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
        forget(record.claim->id);
    }
    table_.trim(first);
    logDown_ = false;
    bool atEnd = table_.readTo().next() >= next || records.empty();
    if (!atEnd) {
        return;
    }
    if (next.value() > 0) {
        table_.skip(Offset(next.value() - 1));
    }
    ++endReads_;
    caughtUp_ = caughtUp_ || endReads_ >= endReadsNeeded;
    for (auto &[id, pending] : pending_) {
        ++pending.reads;
    }
}

void OwnershipPlanner::onLogDown()
{
    logDown_ = true;
    caughtUp_ = false;
    endReads_ = 0;
}

void OwnershipPlanner::onAppended(const std::string &id)
{
    auto found = pending_.find(id);
    if (found != pending_.end()) {
        found->second.unknown = false;
    }
}

void OwnershipPlanner::onAppendRefused(const std::string &id)
{
    forget(id);
}

void OwnershipPlanner::onAppendUnknown(const std::string &id)
{
    auto found = pending_.find(id);
    if (found != pending_.end()) {
        found->second.unknown = true;
        found->second.reads = 0;
    }
}

void OwnershipPlanner::forget(const std::string &id)
{
    auto found = pending_.find(id);
    if (found != pending_.end()) {
        pendingFor_.erase(found->second.record.thing);
        pending_.erase(found);
    }
}

void OwnershipPlanner::onDrained(const Holding &holding)
{
    auto found = states_.find(holding.thing);
    if (found == states_.end()) {
        return;
    }
    auto &state = found->second;
    if (state.dropping.erase(holding.epoch) > 0) {
        state.retired.insert(holding.epoch);
    } else if (state.draining && state.held == holding.epoch) {
        state.drained = true;
    }
}

void OwnershipPlanner::stop()
{
    stopping_ = true;
    setCandidates(candidatesAmong(members_));
}

void OwnershipPlanner::renew(const Thing &thing)
{
    const auto found = states_.find(thing);
    if (found != states_.end() && found->second.held) {
        found->second.renewing = true;
    }
}

Plan OwnershipPlanner::tick(Instant now)
{
    Plan plan;
    noteTick(now);
    plan.lost = std::exchange(vanished_, {});
    for (auto &[thing, state] : states_) {
        noteOwnership(thing, state, plan, now);
    }
    retryAppends(plan, now);
    for (auto &[thing, state] : states_) {
        planThing(thing, state, plan, now);
    }
    return plan;
}

void OwnershipPlanner::noteTick(Instant now)
{
    if (lastTick_) {
        auto passed = now - *lastTick_;
        refill(passed);
        if (passed > pauseLimit) {
            caughtUp_ = false;
            endReads_ = 0;
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

void OwnershipPlanner::refill(Milliseconds passed)
{
    constexpr std::int64_t most = appendBurst * milli;
    auto fill = passed.count() * appendsPerSecond; // ms * 1/s is thousandths
    budgetMilli_ = std::min(most, budgetMilli_ + fill);
}

void OwnershipPlanner::retryAppends(Plan &plan, Instant now)
{
    std::vector<std::string> dropped;
    for (auto &[id, pending] : pending_) {
        bool ready = pending.unknown && pending.reads >= endReadsNeeded && caughtUp_ && !logDown_;
        if (!ready || budgetMilli_ < milli) {
            continue;
        }
        auto state = states_.find(pending.record.thing);
        bool wanted = state != states_.end() && (pending.record.kind != ClaimKind::Claim || wantsClaim(state->first, state->second, now));
        if (!wanted) {
            dropped.push_back(id);
            continue;
        }
        pending.unknown = false;
        budgetMilli_ -= milli;
        plan.appends.push_back(pending.record);
    }
    for (const auto &id : dropped) {
        forget(id);
    }
}

void OwnershipPlanner::noteOwnership(const Thing &thing, State &state, Plan &plan, Instant now)
{
    if (state.notedPreferred != state.preferred) {
        state.notedPreferred = state.preferred;
        state.preferredSince = now;
    }
    auto owner = table_.ownerOf(thing);
    auto epoch = owner ? owner->epoch : Epoch();
    if (state.notedEpoch != epoch) {
        state.notedEpoch = epoch;
        state.ownerSince = now;
        noteActFrom(state, owner, now);
    }
    bool ours = owner && isOurs(*owner) && !owner->released;
    if (state.held && (!ours || owner->epoch != *state.held)) {
        bool weReleased = owner && owner->epoch == *state.held && owner->released;
        if (!weReleased) {
            noteLoss(thing, state, plan);
        }
        state.held.reset();
        state.renewing = false;
        state.draining = false;
        state.drained = false;
    }
    if (ours && !state.held) {
        state.held = owner->epoch;
        state.refreshedBy = Offset();
        plan.gained.push_back({thing, owner->epoch});
    }
    auto support = table_.supportOf(thing);
    if (ours && state.refreshedBy != support) {
        state.refreshedBy = support;
        state.refreshedAt = now;
    }
}

/// An owner that this daemon never saw may have been superseded a moment ago, so only an unclaimed thing or our own host's is free at once.
void OwnershipPlanner::noteActFrom(State &state, const std::optional<Owner> &owner, Instant now) const
{
    if (!owner) {
        return;
    }
    const bool wasOurs = state.notedOwner == self_.host && (adopts_ || settings_.claimsOf != "host");
    const bool hasFormer = !state.notedOwner.empty();
    state.actFrom = hasFormer && !wasOurs ? now + settings_.leaseWait : now;
    state.notedOwner = owner->host;
}

void OwnershipPlanner::noteLoss(const Thing &thing, State &state, Plan &plan)
{
    auto past = table_.holderOf(thing, *state.held);
    plan.lost.push_back({thing, *state.held});
    if (!past || !past->released) {
        state.dropping.insert(*state.held);
    }
}

void OwnershipPlanner::planThing(const Thing &thing, State &state, Plan &plan, Instant now)
{
    if (state.held) {
        planOwned(thing, state, *state.held, plan, now);
        return;
    }
    if (!mayAppend(thing)) {
        return;
    }
    if (!state.retired.empty()) {
        append(ClaimKind::Retire, thing, *state.retired.begin(), plan);
        state.retired.erase(state.retired.begin());
        return;
    }
    if (wantsClaim(thing, state, now)) {
        append(ClaimKind::Claim, thing, Epoch(), plan);
    }
}

void OwnershipPlanner::planOwned(const Thing &thing, State &state, Epoch epoch, Plan &plan, Instant now)
{
    if (!state.draining && wantsHandover(state, now)) {
        state.draining = true;
        plan.handovers.push_back({thing, epoch});
        return;
    }
    if (!mayAppend(thing)) {
        return;
    }
    if (state.renewing && !state.draining) {
        append(ClaimKind::Claim, thing, Epoch(), plan);
    } else if (state.drained) {
        append(ClaimKind::Release, thing, epoch, plan);
    } else if (!state.retired.empty()) {
        append(ClaimKind::Retire, thing, *state.retired.begin(), plan);
        state.retired.erase(state.retired.begin());
    } else if (isRefreshDue(state, now)) {
        append(ClaimKind::Refresh, thing, epoch, plan);
    }
}

bool OwnershipPlanner::wantsHandover(const State &state, Instant now) const
{
    if (stopping_) {
        return true;
    }
    bool otherPreferred = !state.preferred.empty() && state.preferred != self_.host;
    bool settled = now - state.preferredSince >= settings_.handoverDelay;
    return otherPreferred && settled && caughtUp_ && !logDown_ && seesMajority();
}

bool OwnershipPlanner::isRefreshDue(const State &state, Instant now) const
{
    return now - state.refreshedAt >= retention_ * refreshNumerator / refreshDenominator;
}

bool OwnershipPlanner::wantsClaim(const Thing &thing, const State &state, Instant now) const
{
    auto owner = table_.ownerOf(thing);
    bool wasOurs = settings_.claimDelay.count() > 0 && owner && owner->host == self_.host && owner->incarnation < self_.incarnation;
    if (wasOurs && readySince_ && !stopping_ && !(newestIncarnation(self_.host) > self_.incarnation)) {
        return true; // nobody else holds it, and no lease of another has to end
    }
    auto startDelay = settings_.claimDelay.count() > 0 ? settings_.claimDelay : settings_.handoverDelay;
    bool started = readySince_ && now - *readySince_ >= startDelay;
    bool superseded = newestIncarnation(self_.host) > self_.incarnation;
    if (stopping_ || superseded || !started || state.preferred != self_.host) {
        return false;
    }
    return !owner || owner->released || isReplaceable(*owner, state, now);
}

bool OwnershipPlanner::mayAppend(const Thing &thing) const
{
    return caughtUp_ && !logDown_ && budgetMilli_ >= milli && !pendingFor_.contains(thing);
}

void OwnershipPlanner::append(ClaimKind kind, const Thing &thing, Epoch epoch, Plan &plan)
{
    ClaimRecord record;
    record.id = self_.host.value() + "/" + std::to_string(self_.incarnation.value()) + "/" + std::to_string(nextId_++);
    record.kind = kind;
    record.thing = thing;
    record.host = self_.host;
    record.incarnation = self_.incarnation;
    record.epoch = epoch;
    if (const auto past = table_.holderOf(thing, epoch); past && kind != ClaimKind::Claim) {
        record.incarnation = past->holder.incarnation; // of the run that claimed: a statement of another holder is not believed
    }
    record.readTo = table_.readTo();
    if (kind == ClaimKind::Claim || kind == ClaimKind::Refresh) {
        auto before = kind == ClaimKind::Claim ? Epoch(table_.readTo().next().value()) : epoch;
        record.former = table_.unreleasedBefore(thing, before);
    }
    budgetMilli_ -= milli;
    pendingFor_.emplace(thing, record.id);
    pending_.emplace(record.id, Pending{record});
    plan.appends.push_back(std::move(record));
}

bool OwnershipPlanner::isOurs(const Owner &owner) const
{
    const bool isEarlierRun = adopts_ && owner.incarnation < self_.incarnation && newestIncarnation(self_.host) <= self_.incarnation;
    return owner.host == self_.host && (owner.incarnation == self_.incarnation || isEarlierRun);
}

bool OwnershipPlanner::isRestarted(const Owner &owner) const
{
    return settings_.claimsOf != "host" && newestIncarnation(owner.host) > owner.incarnation;
}

/// A daemon that just started can own a thing before the membership tells of it; what is known of an earlier run of it says nothing.
bool OwnershipPlanner::isReplaceable(const Owner &owner, const State &state, Instant now) const
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
        return seesMajority();
    }
    if (member->listing == Listing::Gone && !answers(*member)) {
        return true;
    }
    auto since = deadSince_.find(owner.host);
    bool mayDecideAlone = settings_.minorityDelay.count() > 0 && since != deadSince_.end() && now - since->second >= settings_.minorityDelay;
    return member->state == MemberState::Dead && (seesMajority() || mayDecideAlone);
}

bool OwnershipPlanner::seesMajority() const
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
    auto told = member == nullptr ? Incarnation() : member->incarnation;
    return std::max(told, table_.newestIncarnation(host));
}

const Member *OwnershipPlanner::memberOf(const HostId &host) const
{
    auto found = members_.find(host);
    return found == members_.end() ? nullptr : &found->second;
}

bool OwnershipPlanner::mayAct(const Thing &thing, Epoch epoch, Instant now) const
{
    auto found = states_.find(thing);
    if (found == states_.end() || found->second.drained) {
        return false;
    }
    auto owner = table_.ownerOf(thing);
    bool ours = owner && isOurs(*owner) && !owner->released && owner->epoch == epoch;
    bool awake = lastTick_ && now - *lastTick_ <= pauseLimit;
    return ours && awake && (caughtUp_ || logDown_) && now >= found->second.actFrom;
}

bool OwnershipPlanner::isDraining(const Thing &thing) const
{
    auto found = states_.find(thing);
    return found != states_.end() && found->second.draining;
}

bool OwnershipPlanner::isUsable(const Owner &owner) const
{
    const auto *member = memberOf(owner.host);
    // After a start of all hosts at once most are not heard of for a second: a call to one that is away fails soon.
    const bool isUntested = settings_.claimsOf == "host" && member != nullptr && member->incarnation == Incarnation() && member->state != MemberState::Dead;
    return member != nullptr && (answers(*member) || isUntested) && !isRestarted(owner) && !owner.released;
}

HostId OwnershipPlanner::preferredOwner(const Thing &thing) const
{
    auto found = states_.find(thing);
    return found == states_.end() ? HostId() : found->second.preferred;
}

Evidence OwnershipPlanner::evidence(const Thing &thing, Epoch epoch) const
{
    auto past = table_.holderOf(thing, epoch);
    if (!past) {
        return Evidence::None;
    }
    if (past->released) {
        return Evidence::Released;
    }
    if (newestIncarnation(past->holder.host) > past->holder.incarnation) {
        return Evidence::NewerIncarnation;
    }
    const auto *member = memberOf(past->holder.host);
    bool answering = member != nullptr && answers(*member);
    bool gone = member != nullptr && member->listing == Listing::Gone;
    bool neverListed = member == nullptr || member->listing == Listing::Never;
    bool listIsNewer = hostListTime_ > past->knownSince + listLagMs;
    return !answering && (gone || (neverListed && listIsNewer)) ? Evidence::HostGone : Evidence::None;
}

std::vector<Holding> OwnershipPlanner::holdings() const
{
    std::vector<Holding> found;
    for (const auto &[thing, state] : states_) {
        if (state.held) {
            found.push_back({thing, *state.held});
        }
    }
    return found;
}

} // namespace baobabstall::ownership
