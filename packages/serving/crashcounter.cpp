#include <serving/crashcounter.h>

#include <algorithm>
#include <tuple>

namespace baobabstall::serving {

using Kind = CrashCause::Kind;
using State = CrashVerdict::State;

void CrashCounter::onCrash(const CrashSighting &sighting, Instant now)
{
    const auto at = std::min(sighting.at, now);
    const auto isSame = [&](const Crash &each) { return each.upstream == sighting.upstream && at - each.at < sameCrash && each.at - at < sameCrash; };
    auto crash = std::find_if(crashes_.begin(), crashes_.end(), isSame);
    if (crash == crashes_.end()) {
        if (crashes_.size() == maxCrashes) {
            static_cast<void>(countUnexplainedCrashes());
            keepRequestCounts(crashes_.front());
            crashes_.pop_front();
        }
        const auto place = std::find_if(crashes_.begin(), crashes_.end(), [at](const Crash &each) { return each.at > at; });
        crash = crashes_.insert(place, Crash{sighting.upstream, at, {}});
    }
    for (const auto &[cause, sentAt, isFollowUp] : sighting.cuts) {
        if (crash->causes.size() >= maxCausesPerCrash) {
            break;
        }
        const auto [held, isNew] = crash->causes.try_emplace(cause, Sent{sentAt, isFollowUp});
        auto &sent = held->second;
        areCountsStale_ = areCountsStale_ || isNew || sentAt > sent.at || isFollowUp != sent.isFollowUp;
        sent = {std::max(sent.at, sentAt), sent.isFollowUp || isFollowUp};
        const auto blamed = blames_.find(cause);
        if (isNew && blamed != blames_.end() && at > blamed->second.verdict.lastCrash) {
            ++blamed->second.verdict.crashes;
            blamed->second.verdict.lastCrash = at;
            blamed->second.verdict.lastUpstream = sighting.upstream;
        }
    }
}

void CrashCounter::onServed(const CrashCause &cause, Instant at, Instant now)
{
    auto &servedAt = servedAt_[cause];
    areCountsStale_ = areCountsStale_ || at > servedAt;
    servedAt = std::max(servedAt, at);
    if (const auto earlier = earlier_.find(cause); earlier != earlier_.end() && at >= earlier->second.first) {
        auto &count = earlier->second;
        if (at >= count.last) {
            earlier_.erase(earlier);
        } else {
            count.first = count.last;
            count.crashes = count.all = 1;
        }
    }
    if (const auto blamed = blames_.find(cause); blamed != blames_.end() && at >= blamed->second.verdict.lastCrash) {
        clearBlame(cause, now);
    }
}

void CrashCounter::onRefused(const CrashCause &cause, Instant now)
{
    if (const auto blamed = blames_.find(cause); blamed != blames_.end()) {
        blamed->second.refusedAt = now;
    }
}

void CrashCounter::adopt(const std::vector<CrashVerdict> &verdicts, Instant now)
{
    for (const auto &verdict : verdicts) {
        const auto served = servedAt_.find(verdict.cause);
        const bool isOutdated = (served != servedAt_.end() && served->second >= verdict.lastCrash) || cleared_.contains(verdict.cause);
        if (isOutdated || verdict.state == State::Cleared) {
            continue;
        }
        if (verdict.state == State::Blamed) {
            if (!blames_.contains(verdict.cause)) {
                makeRoomForBlame();
            }
            auto &held = blames_.try_emplace(verdict.cause, Blame{verdict, now}).first->second.verdict;
            held.probesLeft = std::min(held.probesLeft, verdict.probesLeft);
            held.until = std::max(held.until, verdict.until);
            areCountsStale_ = true;
        } else if (verdict.cause.kind == Kind::Request) {
            auto &count = earlier_[verdict.cause];
            if (verdict.crashes > count.crashes) {
                count = {verdict.crashes, verdict.crashes, verdict.since, verdict.lastCrash, verdict.lastUpstream, verdict.lastCrash, verdict.lastUpstream};
                areCountsStale_ = true;
            }
        }
    }
}

bool CrashCounter::takeProbe(const std::vector<CrashCause> &causes, Instant now)
{
    std::vector<CrashVerdict *> blamed;
    for (const auto &cause : causes) {
        if (const auto found = blames_.find(cause); found != blames_.end()) {
            blamed.push_back(&found->second.verdict);
        }
    }
    const bool isDue = std::all_of(blamed.begin(), blamed.end(), [now](const auto *each) { return each->probesLeft > 0 && now >= each->until; });
    if (!isDue) {
        return false;
    }
    for (auto *verdict : blamed) {
        --verdict->probesLeft;
        verdict->until = now + laterBlameTime;
        changes_.push_back(*verdict);
    }
    return true;
}

std::vector<CrashVerdict> CrashCounter::tick(Instant now)
{
    expire(now);
    blameConfirmed(now);
    std::vector<CrashVerdict> verdicts;
    for (const auto &[cause, blame] : blames_) {
        verdicts.push_back(blame.verdict);
    }
    for (const auto &[cause, verdict] : cleared_) {
        verdicts.push_back(verdict);
    }
    for (const auto &[cause, since] : suspectSince_) {
        const auto &count = counts_.at(cause);
        verdicts.push_back({.cause = cause, .since = count.first, .crashes = count.crashes, .lastCrash = count.last, .lastUpstream = count.lastUpstream});
    }
    return verdicts;
}

std::vector<CrashCause> CrashCounter::blamedIn(const Crash &crash) const
{
    std::vector<CrashCause> blamed;
    for (const auto &[cause, sent] : crash.causes) {
        if (blames_.contains(cause)) {
            blamed.push_back(cause);
        }
    }
    return blamed;
}

bool CrashCounter::isIndependent(const Count &before, const Crash &crash, const CrashCause &cause, const Sent &sent)
{
    if (before.crashes == 0) {
        return true;
    }
    if (crash.upstream == before.lastUpstream && crash.at - before.last < sameCrash) {
        return false;
    }
    if (cause.kind == Kind::Part) {
        return crash.at - before.last >= minPartDistance;
    }
    return sent.isFollowUp || (crash.at - before.last >= minRequestDistance && sent.at + sentTolerance > before.last);
}

bool CrashCounter::countUnexplainedCrashes()
{
    if (!std::exchange(areCountsStale_, false)) {
        return false;
    }
    counts_ = earlier_;
    std::set<std::pair<CrashCause, CrashCause>> explained; // a part, and a blamed request that was in a crash with it
    for (const auto &crash : crashes_) {                   // in the order of their times
        const auto blamed = blamedIn(crash);
        const bool hasBlamedPart = std::any_of(blamed.begin(), blamed.end(), [](const auto &each) { return each.kind == Kind::Part; });
        for (const auto &[cause, sent] : crash.causes) {
            const auto served = servedAt_.find(cause);
            const bool isServedSince = served != servedAt_.end() && served->second >= crash.at;
            if (hasBlamedPart || isServedSince || (!blamed.empty() && cause.kind == Kind::Request)) {
                continue;
            }
            auto &count = counts_[cause];
            const bool isCounted = crash.at < count.seenAt || (crash.at == count.seenAt && crash.upstream == count.seenUpstream);
            if (count.crashes > 0 && isCounted) { // by an earlier counter
                continue;
            }
            ++count.all;
            count.seenAt = crash.at;
            count.seenUpstream = crash.upstream;
            const auto isNewRequest = [&, &cause = cause](const CrashCause &request) { return explained.insert({cause, request}).second; };
            const bool counts = blamed.empty() || std::any_of(blamed.begin(), blamed.end(), isNewRequest);
            if (counts && isIndependent(count, crash, cause, sent)) {
                count.first = count.crashes == 0 ? crash.at : count.first;
                ++count.crashes;
                count.last = crash.at;
                count.lastUpstream = crash.upstream;
            }
        }
    }
    std::erase_if(counts_, [this](const auto &each) { return each.second.crashes == 0 || blames_.contains(each.first); });
    return true;
}

/// A suspect that is none any more is told to be cleared, because hosts remember suspects while no host counts.
void CrashCounter::updateSuspects(Instant now)
{
    constexpr int minPartCrashes = 2;
    std::vector<std::pair<CrashCause, Count>> ranked;
    for (const auto &[cause, count] : counts_) {
        if (cause.kind == Kind::Request || count.crashes >= minPartCrashes) {
            ranked.emplace_back(cause, count);
        }
    }
    if (ranked.size() > maxSuspects) { // those with the fewest crashes are left out, the oldest first
        const auto rank = [](const auto &each) { return std::tuple(each.second.crashes, each.second.last); };
        std::nth_element(ranked.begin(), ranked.begin() + maxSuspects, ranked.end(), [&](const auto &a, const auto &b) { return rank(a) > rank(b); });
        ranked.resize(maxSuspects);
    }
    std::map<CrashCause, Instant> since;
    for (const auto &[cause, count] : ranked) {
        const auto known = suspectSince_.find(cause);
        since.emplace(cause, known == suspectSince_.end() ? now : known->second);
        cleared_.erase(cause);
    }
    for (const auto &[cause, at] : std::exchange(suspectSince_, std::move(since))) {
        if (!suspectSince_.contains(cause) && !blames_.contains(cause)) {
            clear({.cause = cause}, now);
        }
    }
    std::erase_if(earlier_, [this](const auto &each) { return !suspectSince_.contains(each.first); });
}

/// The causes to blame next: of the suspects in one crash, the one that explains the most crashes, or several that can't be told apart.
std::vector<CrashCause> CrashCounter::confirmedCulprits(Instant now) const
{
    using Rank = std::tuple<int, int, Kind>; // independent crashes, all crashes, a request before a part
    const auto isBlameable = [&](const std::vector<CrashCause> &causes) {
        const int needed = causes.size() > 1 ? minTiedCrashes : minCrashes;
        return !causes.empty() && std::all_of(causes.begin(), causes.end(), [&](const CrashCause &cause) {
            return counts_.at(cause).crashes >= needed && now - suspectSince_.at(cause) >= confirmTime;
        });
    };
    for (const auto &crash : crashes_) {
        Rank highest;
        std::vector<CrashCause> culprits;
        for (const auto &[cause, sent] : crash.causes) {
            if (!suspectSince_.contains(cause)) {
                continue;
            }
            const auto &count = counts_.at(cause);
            const Rank rank(count.crashes, count.all, cause.kind);
            if (culprits.empty() || rank > highest) {
                culprits.clear();
                highest = rank;
            }
            if (rank == highest) {
                culprits.push_back(cause);
            }
        }
        const auto isLastCrash = [&](const CrashCause &cause) {
            const auto &count = counts_.at(cause);
            return count.seenAt == crash.at && count.seenUpstream == crash.upstream;
        };
        if (std::all_of(culprits.begin(), culprits.end(), isLastCrash) && isBlameable(culprits)) {
            return culprits;
        }
    }
    return {};
}

/// Blames the causes of one crash at a time, because they may explain other crashes.
void CrashCounter::blameConfirmed(Instant now)
{
    while (true) {
        if (countUnexplainedCrashes()) {
            updateSuspects(now);
            isCheckDue_ = true;
        }
        const auto culprits = isCheckDue_ ? confirmedCulprits(now) : std::vector<CrashCause>();
        if (culprits.empty()) {
            isCheckDue_ = std::any_of(suspectSince_.begin(), suspectSince_.end(), [now](const auto &each) { return now - each.second < confirmTime; });
            return;
        }
        for (const auto &cause : culprits) {
            blame(cause, now);
        }
    }
}

void CrashCounter::makeRoomForBlame()
{
    if (blames_.size() >= maxBlamed) {
        blames_.erase(std::min_element(blames_.begin(), blames_.end(), [](const auto &a, const auto &b) { return a.second.refusedAt < b.second.refusedAt; }));
    }
}

void CrashCounter::blame(const CrashCause &cause, Instant now)
{
    makeRoomForBlame();
    const auto &count = counts_.at(cause);
    const int limit = cause.kind == Kind::Part ? maxPartCrashes : maxRequestCrashes;
    const CrashVerdict verdict{.cause = cause,
                               .state = State::Blamed,
                               .since = now,
                               .until = now + firstBlameTime,
                               .crashes = count.all,
                               .lastCrash = count.last,
                               .lastUpstream = count.lastUpstream,
                               .probesLeft = std::clamp(limit - count.all, 1, maxProbes)};
    blames_.insert_or_assign(cause, Blame{verdict, now});
    cleared_.erase(cause);
    earlier_.erase(cause);
    areCountsStale_ = true;
    changes_.push_back(verdict);
}

void CrashCounter::clear(CrashVerdict verdict, Instant now)
{
    if (cleared_.size() >= maxCleared) {
        cleared_.erase(std::min_element(cleared_.begin(), cleared_.end(), [](const auto &a, const auto &b) { return a.second.until < b.second.until; }));
    }
    verdict.state = State::Cleared;
    verdict.until = now + clearedLifetime;
    cleared_[verdict.cause] = verdict;
}

void CrashCounter::clearBlame(const CrashCause &cause, Instant now)
{
    const auto verdict = blames_.at(cause).verdict;
    blames_.erase(cause);
    areCountsStale_ = true;
    clear(verdict, now);
    changes_.push_back(cleared_.at(cause));
}

/// The crash is forgotten; what it counted of requests stays.
void CrashCounter::keepRequestCounts(const Crash &crash)
{
    for (const auto &[cause, sent] : crash.causes) {
        const auto count = cause.kind == Kind::Request ? counts_.find(cause) : counts_.end();
        if (count != counts_.end() && suspectSince_.contains(cause)) {
            earlier_[cause] = count->second;
        }
    }
    areCountsStale_ = true;
}

void CrashCounter::expire(Instant now)
{
    const auto hasExpired = [now](const Crash &each) { return now - each.at > crashLifetime; };
    if (std::any_of(crashes_.begin(), crashes_.end(), hasExpired)) {
        static_cast<void>(countUnexplainedCrashes());
        for (const auto &crash : crashes_) {
            if (hasExpired(crash)) {
                keepRequestCounts(crash);
            }
        }
        std::erase_if(crashes_, hasExpired);
    }
    const auto forgotten = std::erase_if(earlier_, [now](const auto &each) { return now - each.second.last > requestCrashLifetime; });
    areCountsStale_ = areCountsStale_ || forgotten > 0;
    if (areCountsStale_) {
        std::erase_if(servedAt_, [this](const auto &each) {
            const auto &cause = each.first;
            return !earlier_.contains(cause) && std::none_of(crashes_.begin(), crashes_.end(), [&](const auto &crash) { return crash.causes.contains(cause); });
        });
    }
    std::erase_if(cleared_, [now](const auto &each) { return now >= each.second.until; });
    std::vector<CrashCause> unasked;
    for (const auto &[cause, blamed] : blames_) {
        if (now - blamed.refusedAt > forgetAfter) {
            unasked.push_back(cause);
        }
    }
    for (const auto &cause : unasked) {
        clearBlame(cause, now);
    }
}

} // namespace baobabstall::serving
