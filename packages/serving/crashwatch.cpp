#include <serving/crashwatch.h>

#include <algorithm>

namespace baobabstall::serving {

using State = CrashVerdict::State;

CrashAdmission CrashWatch::admit(const std::vector<PromptPart> &parts, Instant now)
{
    CrashAdmission admission;
    for (const auto &part : parts) {
        const auto held = verdicts_.find(part);
        if (held == verdicts_.end() || held->second.verdict.state != State::Blamed) {
            continue;
        }
        auto &[verdict, confirmedAt, isProbeSent] = held->second;
        if (verdict.prober == ownHost_ && !isProbeSent) {
            isProbeSent = true;
            admission.isProbe = true;
            continue;
        }
        refused_.insert(part);
        admission.blockedFor = std::max(admission.blockedFor.value_or(minBlock), verdict.until - now);
    }
    return admission;
}

void CrashWatch::onCut(const UpstreamId &upstream, const std::vector<PromptPart> &parts, Instant now)
{
    if (parts.empty()) {
        return;
    }
    const auto isSame = [&](const HeldSighting &each) { return each.sighting.upstream == upstream && now - each.sighting.at < mergeTime; };
    auto held = std::find_if(sightings_.begin(), sightings_.end(), isSame);
    if (held == sightings_.end()) {
        if (sightings_.size() == maxSightings) {
            sightings_.pop_front();
        }
        held = sightings_.insert(sightings_.end(), HeldSighting{CrashSighting{upstream, now, {}}, HostId(), Instant()});
    }
    auto &known = held->sighting.parts;
    for (const auto &part : parts) {
        if (known.size() < maxPartsPerSighting && std::find(known.begin(), known.end(), part) == known.end()) {
            known.push_back(part);
            held->reportedTo = HostId(); // the part is new to the host that counts
        }
    }
}

void CrashWatch::onServed(const std::vector<PromptPart> &parts, Instant now)
{
    for (const auto &part : parts) {
        if (const auto known = served_.find(part); known != served_.end()) {
            known->second.at = now;
            servedOrder_.splice(servedOrder_.begin(), servedOrder_, known->second.place);
        } else {
            servedOrder_.push_front(part);
            served_.emplace(part, Served{now, servedOrder_.begin()});
        }
        if (verdicts_.contains(part)) {
            servedToReport_[part] = now;
        }
    }
    while (served_.size() > maxServedParts) {
        served_.erase(servedOrder_.back());
        servedOrder_.pop_back();
    }
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
        for (const auto &part : sighting.parts) {
            if (const auto at = servedAt(part)) {
                servedToReport_[part] = *at;
            }
        }
    }
    report.served.assign(servedToReport_.begin(), servedToReport_.end());
    servedToReport_.clear();
    report.refused.assign(refused_.begin(), refused_.end());
    refused_.clear();
    return report;
}

void CrashWatch::onVerdicts(const std::vector<CrashVerdict> &verdicts, Instant now)
{
    for (const auto &verdict : verdicts) {
        if (verdict.state == State::Cleared) {
            verdicts_.erase(verdict.part);
            continue;
        }
        auto &held = verdicts_[verdict.part];
        const bool isNewProbe = held.verdict.prober != verdict.prober || verdict.proberAt - held.verdict.proberAt > CrashCounter::probeTimeout / 2;
        held = {verdict, now, held.isProbeSent && !isNewProbe};
        if (const auto at = servedAt(verdict.part); verdict.state == State::Suspect && at && *at >= verdict.since) {
            servedToReport_[verdict.part] = *at;
        }
    }
    expire(now);
}

std::vector<CrashVerdict> CrashWatch::verdicts(Instant now)
{
    expire(now);
    std::vector<CrashVerdict> all;
    for (const auto &[part, held] : verdicts_) {
        all.push_back(held.verdict);
    }
    return all;
}

std::size_t CrashWatch::blamedParts() const
{
    return static_cast<std::size_t>(
        std::count_if(verdicts_.begin(), verdicts_.end(), [](const auto &each) { return each.second.verdict.state == State::Blamed; }));
}

std::optional<Instant> CrashWatch::servedAt(const PromptPart &part) const
{
    const auto known = served_.find(part);
    return known == served_.end() ? std::nullopt : std::optional(known->second.at);
}

void CrashWatch::expire(Instant now)
{
    std::erase_if(sightings_, [now](const auto &each) { return now - each.sighting.at > sightingLifetime; });
    std::erase_if(verdicts_, [now](const auto &each) {
        const auto &held = each.second;
        return held.verdict.state == State::Blamed ? now - std::max(held.verdict.until, held.confirmedAt) > blameLifetime
                                                   : now - held.confirmedAt > suspectLifetime;
    });
}

} // namespace baobabstall::serving
