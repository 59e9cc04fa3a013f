#include <serving/crashwatch.h>

#include <algorithm>

namespace baobabstall::serving {

using State = CrashVerdict::State;

CrashAdmission CrashWatch::admit(const std::vector<CrashCause> &causes, Instant now)
{
    CrashAdmission admission;
    for (const auto &cause : causes) {
        const auto held = verdicts_.find(cause);
        if (held == verdicts_.end() || held->second.verdict.state != State::Blamed) {
            continue;
        }
        const auto &verdict = held->second.verdict;
        if (isServedSince(cause, verdict.lastCrash)) {
            continue; // this host has seen what ends the blame; its report is on the way
        }
        refused_.insert(cause);
        if (verdict.probesLeft > 0 && now >= verdict.until) {
            admission.needsProbe = true;
            continue;
        }
        const auto block = std::max(minBlock, verdict.probesLeft > 0 ? verdict.until - now : blockWithoutProbe);
        if (!admission.blockedFor || block > *admission.blockedFor) {
            admission.blockedFor = block;
            admission.verdict = verdict;
        }
    }
    return admission;
}

void CrashWatch::onCut(const UpstreamId &upstream, const std::vector<CrashCause> &causes, Instant sentAt, Instant now)
{
    addSighting(upstream, causes, sentAt, now);
    addUnanswered(upstream, now - CrashCounter::sameCrash, std::nullopt);
}

void CrashWatch::addSighting(const UpstreamId &upstream, const std::vector<CrashCause> &causes, Instant sentAt, Instant at)
{
    const auto isSame = [&](const HeldSighting &each) { return each.sighting.upstream == upstream && at - each.sighting.at < mergeTime; };
    auto held = std::find_if(sightings_.begin(), sightings_.end(), isSame);
    if (held == sightings_.end()) {
        if (sightings_.size() == maxSightings) {
            sightings_.pop_front();
        }
        held = sightings_.insert(sightings_.end(), HeldSighting{CrashSighting{upstream, at, {}}, HostId(), Instant()});
    }
    auto &cuts = held->sighting.cuts;
    for (const auto &cause : causes) {
        const auto hasCause = [&cause](const CrashSighting::Cut &cut) { return cut.cause == cause; };
        const bool isFollowUp = std::any_of(sightings_.begin(), sightings_.end(), [&](const HeldSighting &each) {
            const auto &earlier = each.sighting;
            return earlier.at <= sentAt && earlier.upstream != upstream && std::any_of(earlier.cuts.begin(), earlier.cuts.end(), hasCause);
        });
        const auto known = std::find_if(cuts.begin(), cuts.end(), hasCause);
        if (known != cuts.end()) {
            *known = {cause, std::max(known->sentAt, sentAt), known->isFollowUp || isFollowUp};
        } else if (cuts.size() < maxCutsPerSighting) {
            cuts.push_back({cause, sentAt, isFollowUp});
            held->reportedTo = HostId(); // the cause is new to the host that counts
        }
    }
}

void CrashWatch::onUnanswered(const UpstreamId &upstream, const std::vector<CrashCause> &causes, Instant sentAt, Instant now)
{
    if (unanswered_.size() == maxUnanswered) {
        unanswered_.pop_front();
    }
    unanswered_.push_back({upstream, causes, sentAt, now, std::nullopt});
}

void CrashWatch::onAnswered(const UpstreamId &upstream, Instant now)
{
    for (auto &each : unanswered_) {
        if (each.upstream == upstream && !each.answeredAt) {
            each.answeredAt = now;
        }
    }
}

void CrashWatch::onLost(const UpstreamId &upstream, std::optional<Instant> nextRunAt, Instant now)
{
    expire(now);
    addUnanswered(upstream, now - unansweredLifetime, nextRunAt);
}

void CrashWatch::addUnanswered(const UpstreamId &upstream, Instant endedAfter, std::optional<Instant> nextRunAt)
{
    for (const auto &each : unanswered_) {
        const bool wasAlive = each.answeredAt && (!nextRunAt || *each.answeredAt < *nextRunAt);
        if (each.upstream == upstream && each.endedAt >= endedAfter && !wasAlive) {
            addSighting(upstream, each.causes, each.sentAt, each.endedAt);
        }
    }
    std::erase_if(unanswered_, [&](const auto &each) { return each.upstream == upstream; });
}

void CrashWatch::onServed(const std::vector<CrashCause> &causes, Instant now)
{
    for (const auto &cause : causes) {
        if (const auto known = served_.find(cause); known != served_.end()) {
            known->second.at = now;
            servedOrder_.splice(servedOrder_.begin(), servedOrder_, known->second.place);
        } else {
            servedOrder_.push_front(cause);
            served_.emplace(cause, Served{now, servedOrder_.begin()});
        }
        if (verdicts_.contains(cause)) {
            servedToReport_[cause] = now;
        }
    }
    while (served_.size() > maxServed) {
        served_.erase(servedOrder_.back());
        servedOrder_.pop_back();
    }
}

int CrashWatch::knownCrashes(const CrashCause &cause) const
{
    const auto held = verdicts_.find(cause);
    const bool isSuspect = held != verdicts_.end() && !isServedSince(cause, held->second.verdict.lastCrash);
    return isSuspect ? held->second.verdict.crashes : 0;
}

CrashReport CrashWatch::takeReport(const HostId &counter, Instant now)
{
    expire(now);
    CrashReport report;
    for (auto &[sighting, reportedTo, reportedAt] : sightings_) {
        if (reportedTo == counter && now - reportedAt < repeatInterval) {
            continue;
        }
        reportedTo = counter;
        reportedAt = now;
        report.crashes.push_back(sighting);
        for (const auto &cut : sighting.cuts) {
            if (const auto at = servedAt(cut.cause)) {
                servedToReport_[cut.cause] = *at;
            }
        }
    }
    report.served.assign(servedToReport_.begin(), servedToReport_.end());
    servedToReport_.clear();
    report.refused.assign(refused_.begin(), refused_.end());
    refused_.clear();
    reportHeld(report, now);
    return report;
}

void CrashWatch::reportHeld(CrashReport &report, Instant now)
{
    report.held = std::exchange(unknownToCounter_, {});
    for (auto &[cause, held] : verdicts_) {
        const bool isRemembered = held.verdict.state == State::Blamed || cause.kind == CrashCause::Kind::Request;
        if (report.held.size() < maxHeldPerReport && isRemembered && now - held.namedAt > unnamedAfter && now - held.reportedAt > repeatInterval) {
            held.reportedAt = now;
            report.held.push_back(held.verdict);
        }
    }
}

void CrashWatch::onVerdicts(const std::vector<CrashVerdict> &verdicts, Instant now)
{
    for (const auto &verdict : verdicts) {
        onVerdict(verdict, now);
        const auto since = verdict.state == State::Blamed ? verdict.lastCrash : verdict.since;
        if (const auto at = servedAt(verdict.cause); at && *at >= since && verdict.state != State::Cleared) {
            servedToReport_[verdict.cause] = *at;
        }
    }
    while (verdicts_.size() > maxHeld) {
        verdicts_.erase(std::min_element(verdicts_.begin(), verdicts_.end(), [](const auto &a, const auto &b) { return a.second.namedAt < b.second.namedAt; }));
    }
    expire(now);
}

/// The host that counts may have started after this one heard of the cause. What its word shows it to lack is reported to it.
void CrashWatch::onVerdict(const CrashVerdict &verdict, Instant now)
{
    if (verdict.state == State::Cleared) {
        verdicts_.erase(verdict.cause);
        return;
    }
    auto &held = verdicts_[verdict.cause];
    const auto before = held.verdict;
    const bool isUnblamed = before.state == State::Blamed && verdict.state == State::Suspect;
    const bool lacksCrashes = before.crashes > verdict.crashes && before.state == verdict.state && before.since < verdict.since;
    const bool lacksProbe = before.state == State::Blamed && verdict.state == State::Blamed && before.probesLeft < verdict.probesLeft;
    if ((isUnblamed || lacksCrashes || lacksProbe) && unknownToCounter_.size() < maxHeldPerReport) {
        unknownToCounter_.push_back(before);
    }
    if (isUnblamed) {
        return;
    }
    held = {verdict, now, Instant()};
    if (before.state == State::Blamed) {
        held.verdict.probesLeft = std::min(before.probesLeft, verdict.probesLeft);
        held.verdict.until = std::max(before.until, verdict.until);
    }
}

std::vector<CrashVerdict> CrashWatch::verdicts(Instant now)
{
    expire(now);
    std::vector<CrashVerdict> all;
    for (const auto &[cause, held] : verdicts_) {
        all.push_back(held.verdict);
    }
    return all;
}

std::size_t CrashWatch::blamed(CrashCause::Kind kind) const
{
    return static_cast<std::size_t>(std::count_if(
        verdicts_.begin(), verdicts_.end(), [kind](const auto &each) { return each.first.kind == kind && each.second.verdict.state == State::Blamed; }));
}

std::optional<Instant> CrashWatch::servedAt(const CrashCause &cause) const
{
    const auto known = served_.find(cause);
    return known == served_.end() ? std::nullopt : std::optional(known->second.at);
}

bool CrashWatch::isServedSince(const CrashCause &cause, Instant at) const
{
    const auto served = servedAt(cause);
    return served && *served >= at;
}

void CrashWatch::expire(Instant now)
{
    std::erase_if(sightings_, [now](const auto &each) { return now - each.sighting.at > sightingLifetime; });
    std::erase_if(unanswered_, [now](const auto &each) { return now - each.endedAt > unansweredLifetime; });
    std::erase_if(verdicts_, [now](const auto &each) {
        const auto &[verdict, namedAt, reportedAt] = each.second;
        if (verdict.state == State::Blamed) {
            return now - namedAt > CrashCounter::forgetAfter;
        }
        return now - namedAt > (verdict.cause.kind == CrashCause::Kind::Part ? suspectPartLifetime : CrashCounter::requestCrashLifetime);
    });
}

} // namespace baobabstall::serving
