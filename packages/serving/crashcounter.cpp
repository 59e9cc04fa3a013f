#include <serving/crashcounter.h>

#include <algorithm>

namespace baobabstall::serving {

void CrashCounter::onCrash(const UpstreamId &upstream, Instant at, const std::vector<PromptPart> &parts, Instant now)
{
    const auto isSame = [&](const Crash &each) { return each.upstream == upstream && at - each.at < sameCrash && each.at - at < sameCrash; };
    auto crash = std::find_if(crashes_.begin(), crashes_.end(), isSame);
    if (crash == crashes_.end()) {
        if (crashes_.size() == maxCrashes) {
            crashes_.pop_front();
        }
        const auto place = std::find_if(crashes_.begin(), crashes_.end(), [at](const Crash &each) { return each.at > at; });
        crash = crashes_.insert(place, Crash{upstream, at, {}});
    }
    for (const auto &part : parts) {
        if (crash->parts.size() < maxPartsPerCrash) {
            areCountsStale_ = crash->parts.insert(part).second || areCountsStale_;
        }
        const auto blamed = blames_.find(part);
        if (blamed != blames_.end() && !blamed->second.verdict.prober.empty() && at >= blamed->second.verdict.proberAt) {
            ++blamed->second.verdict.probes;
            blame(part, now);
        }
    }
}

void CrashCounter::onServed(const PromptPart &part, Instant at, Instant now)
{
    auto &servedAt = servedAt_[part];
    areCountsStale_ = areCountsStale_ || at > servedAt;
    servedAt = std::max(servedAt, at);
    if (const auto blamed = blames_.find(part); blamed != blames_.end() && at > blamed->second.verdict.since) {
        clear(part, now);
    }
}

void CrashCounter::onRefused(const HostId &host, const PromptPart &part, Instant now)
{
    if (const auto blamed = blames_.find(part); blamed != blames_.end()) {
        blamed->second.refusedAt = now;
        blamed->second.refusers[host] = now;
    }
}

void CrashCounter::adopt(const std::vector<CrashVerdict> &verdicts, Instant now)
{
    for (const auto &verdict : verdicts) {
        if (verdict.state == CrashVerdict::State::Blamed && blames_.size() < maxBlamedParts) {
            blames_.try_emplace(verdict.part, Blame{verdict, now, {}});
        }
    }
}

std::vector<CrashVerdict> CrashCounter::tick(Instant now)
{
    expire(now);
    blameConfirmed(now);
    updateProbers(now);
    std::vector<CrashVerdict> verdicts;
    for (const auto &[part, blame] : blames_) {
        verdicts.push_back(blame.verdict);
    }
    for (const auto &[part, verdict] : cleared_) {
        verdicts.push_back(verdict);
    }
    for (const auto &[part, since] : suspectSince_) {
        verdicts.push_back({.part = part, .since = counts_.at(part).first});
    }
    return verdicts;
}

bool CrashCounter::isExplained(const Crash &crash) const
{
    return std::any_of(crash.parts.begin(), crash.parts.end(), [this](const auto &part) { return blames_.contains(part); });
}

void CrashCounter::countUnexplainedCrashes()
{
    if (!std::exchange(areCountsStale_, false)) {
        return;
    }
    counts_.clear();
    for (const auto &crash : crashes_) { // in the order of their times
        if (isExplained(crash)) {
            continue;
        }
        for (const auto &part : crash.parts) {
            const auto served = servedAt_.find(part);
            if (served != servedAt_.end() && served->second >= crash.at) {
                continue;
            }
            auto &count = counts_[part];
            if (count.crashes == 0) {
                count.first = crash.at;
            }
            if (count.crashes == 0 || crash.at - count.last >= minDistance) {
                ++count.crashes;
                count.last = crash.at;
            }
        }
    }
}

void CrashCounter::updateSuspects(Instant now)
{
    constexpr int minSuspectCrashes = 2;
    std::erase_if(suspectSince_, [&](const auto &each) {
        const auto count = counts_.find(each.first);
        return count == counts_.end() || count->second.crashes < minSuspectCrashes;
    });
    for (const auto &[part, count] : counts_) {
        if (count.crashes >= minSuspectCrashes && (suspectSince_.size() < maxSuspects || suspectSince_.contains(part))) {
            suspectSince_.try_emplace(part, now);
        }
    }
}

/// Blames one part at a time, because it may explain the crashes of the others.
void CrashCounter::blameConfirmed(Instant now)
{
    while (true) {
        countUnexplainedCrashes();
        updateSuspects(now);
        int most = 0;
        std::vector<PromptPart> worst;
        for (const auto &[part, since] : suspectSince_) {
            const int crashes = counts_.at(part).crashes;
            if (crashes > most) {
                worst.clear();
            }
            if (crashes >= most) {
                worst.push_back(part);
                most = crashes;
            }
        }
        const bool isConfirmed = std::all_of(worst.begin(), worst.end(), [&](const auto &part) { return now - suspectSince_.at(part) >= confirmTime; });
        if (most < (worst.size() > 1 ? minTiedCrashes : minCrashes) || !isConfirmed) {
            return;
        }
        for (const auto &part : worst) {
            blame(part, now);
        }
    }
}

void CrashCounter::blame(const PromptPart &part, Instant now)
{
    if (blames_.size() >= maxBlamedParts && !blames_.contains(part)) {
        blames_.erase(std::min_element(blames_.begin(), blames_.end(), [](const auto &a, const auto &b) { return a.second.refusedAt < b.second.refusedAt; }));
    }
    auto &blamed = blames_.try_emplace(part, Blame{{.part = part}, now, {}}).first->second;
    constexpr int maxDoublings = 10;
    blamed.verdict.state = CrashVerdict::State::Blamed;
    blamed.verdict.since = now;
    blamed.verdict.until = now + std::min(maxBlameTime, firstBlameTime * (std::int64_t(1) << std::min(blamed.verdict.probes, maxDoublings)));
    blamed.verdict.prober = HostId();
    cleared_.erase(part);
    areCountsStale_ = true;
    changes_.push_back(blamed.verdict);
}

void CrashCounter::clear(const PromptPart &part, Instant now)
{
    auto verdict = blames_.at(part).verdict;
    blames_.erase(part);
    areCountsStale_ = true;
    verdict.state = CrashVerdict::State::Cleared;
    verdict.until = now + clearedLifetime;
    verdict.prober = HostId();
    cleared_[part] = verdict;
    changes_.push_back(verdict);
}

void CrashCounter::updateProbers(Instant now)
{
    for (auto &[part, blamed] : blames_) {
        auto &verdict = blamed.verdict;
        std::erase_if(blamed.refusers, [now](const auto &each) { return now - each.second > refuserLifetime; });
        const bool isWaiting = !verdict.prober.empty() && now - verdict.proberAt < probeTimeout;
        if (now < verdict.until || isWaiting || blamed.refusers.empty()) {
            continue;
        }
        const auto latest = std::max_element(blamed.refusers.begin(), blamed.refusers.end(), [](const auto &a, const auto &b) { return a.second < b.second; });
        verdict.prober = latest->first;
        verdict.proberAt = now;
        blamed.refusers.erase(latest); // the next one is another host, if others refuse requests too
    }
}

void CrashCounter::expire(Instant now)
{
    const auto expired = std::erase_if(crashes_, [now](const auto &each) { return now - each.at > crashLifetime; });
    areCountsStale_ = areCountsStale_ || expired > 0;
    if (areCountsStale_) {
        std::erase_if(servedAt_, [this](const auto &each) {
            return std::none_of(crashes_.begin(), crashes_.end(), [&](const auto &crash) { return crash.parts.contains(each.first); });
        });
    }
    expireVerdicts(now);
}

void CrashCounter::expireVerdicts(Instant now)
{
    std::erase_if(cleared_, [now](const auto &each) { return now >= each.second.until; });
    std::vector<PromptPart> forgotten;
    for (const auto &[part, blamed] : blames_) {
        if (now >= blamed.verdict.until && now - blamed.refusedAt > forgetAfter) {
            forgotten.push_back(part);
        }
    }
    for (const auto &part : forgotten) {
        clear(part, now);
    }
}

} // namespace baobabstall::serving
