#include <serving/crashcounting.h>

#include <algorithm>

namespace baobabstall::serving {

CrashCounting::Messages CrashCounting::tick(Instant now, bool isAlone)
{
    const auto &leaders = groups_.leaders(purpose);
    const bool isCounter = isAlone || leaders.empty() || leaders.front() == ownHost_;
    counterHost_ = isCounter ? ownHost_ : leaders.front();
    Messages messages{.counter = counterHost_};
    updateCounter(isCounter, now);
    updateHosts(now);
    auto report = watch_.takeReport(counterHost_, now);
    if (!isCounter) {
        if (!report.isEmpty()) {
            messages.report = std::move(report);
        }
        return messages;
    }
    onReport(report, now);
    messages.verdicts = dueVerdicts(counter_->tick(now), now);
    messages.changes = counter_->takeChanges();
    onVerdicts(messages.verdicts, now);
    return messages;
}

void CrashCounting::updateCounter(bool isCounter, Instant now)
{
    if (isCounter && !counter_) {
        counter_.emplace();
        counter_->adopt(watch_.verdicts(now), now);
    } else if (!isCounter) {
        counter_.reset();
        told_.clear();
    }
}

void CrashCounting::updateHosts(Instant now)
{
    if (groups_.size() >= mostHosts_ || now - mostHostsAt_ > partitionMemory) {
        mostHosts_ = groups_.size();
        mostHostsAt_ = now;
    }
}

std::vector<CrashVerdict> CrashCounting::dueVerdicts(const std::vector<CrashVerdict> &verdicts, Instant now)
{
    const auto isSame = [](const CrashVerdict &a, const CrashVerdict &b) {
        return a.state == b.state && a.until == b.until && a.probesLeft == b.probesLeft && a.crashes == b.crashes;
    };
    const bool isTellingAll = std::exchange(isTellingAll_, false);
    std::vector<CrashVerdict> due;
    std::map<CrashCause, Told> told;
    for (const auto &verdict : verdicts) {
        const auto before = told_.find(verdict.cause);
        const auto refresh = isTellingAll ? tellAllDistance : verdict.state == CrashVerdict::State::Suspect ? suspectRefresh : blameRefresh;
        const bool isDue = before == told_.end() || !isSame(before->second.verdict, verdict) || now - before->second.at >= refresh;
        if (isDue) {
            due.push_back(verdict);
        }
        told.emplace(verdict.cause, isDue ? Told{verdict, now} : before->second);
    }
    told_ = std::move(told);
    return due;
}

void CrashCounting::onReport(const CrashReport &report, Instant now)
{
    if (!counter_) {
        return; // the reports come again once both hosts know the same leader
    }
    counter_->adopt(report.held, now);
    for (const auto &crash : report.crashes) {
        counter_->onCrash(crash, now);
    }
    for (const auto &[cause, at] : report.served) {
        counter_->onServed(cause, at, now);
    }
    for (const auto &cause : report.refused) {
        counter_->onRefused(cause, now);
    }
}

bool CrashCounting::takeProbe(const std::vector<CrashCause> &causes, Instant now)
{
    const bool seesMostHosts = 2 * groups_.size() > mostHosts_;
    return counter_ && (mostHosts_ == 0 || seesMostHosts) && counter_->takeProbe(causes, now);
}

} // namespace baobabstall::serving
