#include <serving/reachability.h>

#include <algorithm>
#include <array>

namespace baobabstall::serving {

std::string_view stateText(Reachability::State state)
{
    constexpr std::array<std::string_view, 3> texts = {"reaching", "suspecting", "cut_off"};
    return texts.at(static_cast<std::size_t>(state));
}

void Reachability::setUpstreams(const std::vector<Upstream> &upstreams, Instant now)
{
    std::map<UpstreamId, Entry> next;
    for (const auto &[id, service] : upstreams) {
        const auto known = upstreams_.find(id);
        auto &entry = next[id];
        if (known != upstreams_.end()) {
            entry = std::move(known->second);
        }
        entry.service = service;
    }
    if (upstreams_.empty()) {
        heardAt_ = now; // nothing could be heard before
    }
    upstreams_ = std::move(next);
    std::erase_if(witnesses_, [this](const UpstreamId &id) { return !upstreams_.contains(id); });
    if (upstreams_.empty() && state_ == State::CutOff) {
        endCut(now);
    } else if (witnesses_.empty() && state_ == State::Suspecting) {
        endSuspicion(now);
    } else {
        decide(now); // those that left may have been the last ones to try
    }
}

void Reachability::onConnected(const UpstreamId &id, Instant now)
{
    const auto found = upstreams_.find(id);
    if (found == upstreams_.end()) {
        return; // leaving or gone; those that stay decide
    }
    found->second.heardAt = now;
    found->second.failedAt.reset();
    found->second.probingAt.reset();
    heardAt_ = now;
    lostAt_.reset();
    failuresInRow_ = 0;
    if (state_ == State::Suspecting) {
        endSuspicion(now);
    } else if (state_ == State::CutOff) {
        reachedSince_ = reached_.empty() ? now : reachedSince_;
        reached_.insert(id);
        const auto needed = std::min(static_cast<std::size_t>(options_.endsAfter), upstreams_.size());
        if (reached_.size() >= needed && now - reachedSince_ >= hold_) {
            endCut(now);
        }
    }
    evidenceFrom_ = std::max(evidenceFrom_, now);
}

void Reachability::onNoContact(const UpstreamId &id, Instant now)
{
    const auto found = upstreams_.find(id);
    if (found == upstreams_.end()) {
        return;
    }
    found->second.failedAt = now;
    found->second.probingAt.reset();
    if (++failuresInRow_ >= 2) {
        reached_.clear();
    }
    decide(now);
}

void Reachability::onAnswer(const UpstreamId &id, Instant now)
{
    const auto found = upstreams_.find(id);
    if (found == upstreams_.end()) {
        return;
    }
    found->second.heardAt = now;
    heardAt_ = now;
    lostAt_.reset();
    if (state_ == State::Suspecting && recentFailures(now) == 0) {
        endSuspicion(now);
    }
}

void Reachability::onLost(const UpstreamId &id, Instant now)
{
    if (upstreams_.contains(id)) {
        lostAt_ = lostAt_.value_or(now);
    }
}

std::vector<UpstreamId> Reachability::takeProbes(int runningSends, Instant now)
{
    const bool hasPaused = lastTick_ && now - *lastTick_ >= options_.pause;
    lastTick_ = now;
    if (upstreams_.empty()) {
        return {};
    }
    heardAt_ = heardAt_.value_or(now);
    if (hasPaused && state_ != State::CutOff) { // answers that came meanwhile are read after the time-outs
        endSuspicion(now);
        heardAt_ = now;
        lostAt_.reset();
        evidenceFrom_ = now;
    }
    dropLateProbes(now);
    if (state_ == State::Reaching && isSuspicious(runningSends, now)) {
        beginSuspicion(now);
    }
    switch (state_) {
    case State::Suspecting:
        return witnessProbes(now);
    case State::CutOff:
        return retryProbes(now);
    default:
        return {};
    }
}

int Reachability::failing() const
{
    return static_cast<int>(std::count_if(upstreams_.begin(), upstreams_.end(), [](const auto &each) { return each.second.failedAt.has_value(); }));
}

int Reachability::recentFailures(Instant now) const
{
    return static_cast<int>(std::count_if(upstreams_.begin(), upstreams_.end(), [&](const auto &each) {
        const auto &failedAt = each.second.failedAt;
        return failedAt && *failedAt > evidenceFrom_ && now - *failedAt < options_.failureAge;
    }));
}

bool Reachability::isSuspicious(int runningSends, Instant now) const
{
    const int failures = recentFailures(now);
    const auto quiet = now - *heardAt_;
    const bool isExpecting = runningSends > 0 || failures > 0 || lostAt_;
    const bool hasPause = now - unfoundedAt_ < options_.suspicionPause && unfoundedAt_ != Instant();
    return (failures >= options_.suspectFailures && !hasPause) || quiet >= (isExpecting ? options_.quietInterval : options_.idleInterval);
}

/// Upstreams heard last come first; each service has one at least.
void Reachability::beginSuspicion(Instant now)
{
    evidenceFrom_ = std::max(evidenceFrom_, now - options_.failureAge);
    std::vector<UpstreamId> order;
    for (const auto &[id, entry] : upstreams_) {
        order.push_back(id);
    }
    std::stable_sort(order.begin(), order.end(), [this](const UpstreamId &a, const UpstreamId &b) { return upstreams_[a].heardAt > upstreams_[b].heardAt; });
    std::set<ServiceName> services;
    witnesses_.clear();
    for (const auto &id : order) {
        if (services.insert(upstreams_[id].service).second) {
            witnesses_.push_back(id);
        }
    }
    for (const auto &id : order) {
        const bool isChosen = std::find(witnesses_.begin(), witnesses_.end(), id) != witnesses_.end();
        if (static_cast<int>(witnesses_.size()) < options_.witnesses && !isChosen) {
            witnesses_.push_back(id);
        }
    }
    lastProbeAt_.reset();
    enter(State::Suspecting, now);
    decide(now);
}

void Reachability::decide(Instant now)
{
    const bool haveAllFailed = std::all_of(witnesses_.begin(), witnesses_.end(), [this](const UpstreamId &each) { return hasFailed(each); });
    if (state_ == State::Suspecting && haveAllFailed) {
        beginCut(now);
    }
}

void Reachability::endSuspicion(Instant now)
{
    if (state_ == State::Suspecting) {
        witnesses_.clear();
        unfoundedAt_ = now;
        enter(State::Reaching, now);
    }
}

void Reachability::beginCut(Instant now)
{
    const bool isOfSeries = lastCutEnded_ && now - *lastCutEnded_ < options_.seriesGap;
    hold_ = isOfSeries ? std::clamp(hold_ * 2, options_.firstHold, options_.maxHold) : Milliseconds(0);
    reached_.clear();
    witnesses_.clear();
    enter(State::CutOff, now);
}

void Reachability::endCut(Instant now)
{
    lastCutEnded_ = now;
    for (auto &[id, entry] : upstreams_) {
        entry.failedAt.reset();
    }
    enter(State::Reaching, now);
}

void Reachability::enter(State state, Instant now)
{
    state_ = state;
    since_ = now;
}

bool Reachability::hasFailed(const UpstreamId &id) const
{
    const auto found = upstreams_.find(id);
    return found == upstreams_.end() || (found->second.failedAt && *found->second.failedAt > evidenceFrom_);
}

void Reachability::dropLateProbes(Instant now)
{
    std::vector<UpstreamId> late;
    for (const auto &[id, entry] : upstreams_) {
        if (entry.probingAt && now - *entry.probingAt >= options_.probeTimeout) {
            late.push_back(id);
        }
    }
    for (const auto &id : late) {
        onNoContact(id, now);
    }
}

std::vector<UpstreamId> Reachability::witnessProbes(Instant now)
{
    if (lastProbeAt_ && now - *lastProbeAt_ < options_.witnessSpacing) {
        return {};
    }
    constexpr std::size_t maxSteps = 4; // with many services
    const std::size_t atOnce = (witnesses_.size() + maxSteps - 1) / maxSteps;
    std::vector<UpstreamId> probes;
    for (const auto &id : witnesses_) {
        auto &entry = upstreams_[id];
        if (probes.size() < atOnce && !hasFailed(id) && !entry.probingAt) {
            entry.probingAt = entry.probedAt = now;
            lastProbeAt_ = now;
            probes.push_back(id);
        }
    }
    return probes;
}

/// The upstream that was probed longest ago; after one that was reached, the next at once.
std::vector<UpstreamId> Reachability::retryProbes(Instant now)
{
    const bool isEnding = !reached_.empty() && hold_.count() == 0;
    if (lastProbeAt_ && now - *lastProbeAt_ < options_.retryInterval && !isEnding) {
        return {};
    }
    const auto next
        = std::min_element(upstreams_.begin(), upstreams_.end(), [](const auto &a, const auto &b) { return a.second.probedAt < b.second.probedAt; });
    if (next->second.probingAt) {
        return {};
    }
    next->second.probingAt = next->second.probedAt = now;
    lastProbeAt_ = now;
    return {next->first};
}

// ---- Peers ----

void Reachability::onPeer(const HostId &host, bool reaches, Instant now)
{
    if (reaches) {
        peersCutOffAt_.erase(host);
    } else {
        peersCutOffAt_[host] = now;
    }
}

bool Reachability::reaches(const HostId &host, Instant now) const
{
    const auto found = peersCutOffAt_.find(host);
    return found == peersCutOffAt_.end() || now - found->second >= options_.noticeLifetime;
}

std::vector<HostId> Reachability::cutOffPeers(Instant now) const
{
    std::vector<HostId> found;
    for (const auto &[host, at] : peersCutOffAt_) {
        if (!reaches(host, now)) {
            found.push_back(host);
        }
    }
    return found;
}

std::optional<bool> Reachability::takeNotice(Instant now)
{
    const bool isReaching = !isCutOff();
    const bool isChange = toldReaches_.value_or(true) != isReaching;
    const bool isDue = !isReaching && now - toldAt_ >= options_.noticeInterval;
    if (!isChange && !isDue) {
        return std::nullopt;
    }
    toldReaches_ = isReaching;
    toldAt_ = now;
    return isReaching;
}

} // namespace baobabstall::serving
