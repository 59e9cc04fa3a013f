#include <serving/crashcounting.h>

#include <algorithm>

namespace baobabstall::serving {

CrashCounting::Messages CrashCounting::tick(Instant now, bool isAlone)
{
    const auto &leaders = groups_.leaders(purpose);
    const bool isCounter = isAlone || leaders.empty() || leaders.front() == ownHost_;
    Messages messages{.counter = isCounter ? ownHost_ : leaders.front()};
    updateCounter(isCounter, now);
    auto report = watch_.takeReport(messages.counter, now);
    if (!isCounter) {
        if (!report.isEmpty()) {
            messages.report = std::move(report);
        }
        return messages;
    }
    onReport(ownHost_, report, now);
    auto verdicts = counter_->tick(now);
    messages.changes = counter_->takeChanges();
    if (isDue(verdicts, now)) {
        shared_ = verdicts;
        sharedAt_ = now;
        onVerdicts(verdicts, now);
        messages.verdicts = std::move(verdicts);
    }
    return messages;
}

void CrashCounting::updateCounter(bool isCounter, Instant now)
{
    if (isCounter && !counter_) {
        counter_.emplace();
        counter_->adopt(watch_.verdicts(now), now);
    } else if (!isCounter) {
        counter_.reset();
    }
}

bool CrashCounting::isDue(const std::vector<CrashVerdict> &verdicts, Instant now) const
{
    const bool isSame = std::equal(verdicts.begin(), verdicts.end(), shared_.begin(), shared_.end(), [](const CrashVerdict &a, const CrashVerdict &b) {
        return a.part == b.part && a.state == b.state && a.until == b.until && a.prober == b.prober;
    });
    return !isSame || (!verdicts.empty() && now - sharedAt_ >= verdictInterval);
}

void CrashCounting::onReport(const HostId &from, const CrashReport &report, Instant now)
{
    if (!counter_) {
        return; // the reports come again once both hosts know the same leader
    }
    for (const auto &crash : report.crashes) {
        counter_->onCrash(crash.upstream, crash.at, crash.parts, now);
    }
    for (const auto &[part, at] : report.served) {
        counter_->onServed(part, at, now);
    }
    for (const auto &part : report.refused) {
        counter_->onRefused(from, part, now);
    }
}

} // namespace baobabstall::serving
