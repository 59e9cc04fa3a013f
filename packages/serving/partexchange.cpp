#include <serving/partexchange.h>

#include <algorithm>

#include <settings/json.h>

namespace baobabstall::serving {

namespace {

peers::PartReportNotice noticeOf(const PartReport &report, Instant now)
{
    peers::PartReportNotice notice;
    for (const auto &crash : report.crashes) {
        notice.crashes.push_back({crash.upstream, (now - crash.at).count(), crash.parts});
    }
    for (const auto &[part, at] : report.served) {
        notice.served.emplace_back(part, (now - at).count());
    }
    notice.refused = report.refused;
    return notice;
}

PartReport reportOf(const peers::PartReportNotice &notice, Instant now)
{
    PartReport report;
    for (const auto &crash : notice.crashes) {
        report.crashes.push_back({crash.upstream, now - Milliseconds(crash.ageMs), crash.parts});
    }
    for (const auto &[part, ageMs] : notice.served) {
        report.served.emplace_back(part, now - Milliseconds(ageMs));
    }
    report.refused = notice.refused;
    return report;
}

peers::PartVerdictEntry entryOf(const PartVerdict &verdict, Instant now)
{
    return {verdict.part,
            static_cast<int>(verdict.state),
            (now - verdict.since).count(),
            (verdict.until - now).count(),
            verdict.probes,
            verdict.prober,
            (now - verdict.proberAt).count()};
}

std::optional<PartVerdict> verdictOf(const peers::PartVerdictEntry &entry, Instant now)
{
    if (entry.state < static_cast<int>(PartVerdict::State::Suspect) || entry.state > static_cast<int>(PartVerdict::State::Cleared)) {
        return std::nullopt;
    }
    return PartVerdict{entry.part,
                       static_cast<PartVerdict::State>(entry.state),
                       now - Milliseconds(entry.sinceAgeMs),
                       now + Milliseconds(entry.remainingMs),
                       entry.probes,
                       entry.prober,
                       now - Milliseconds(entry.proberAgeMs)};
}

/// Whether hosts have to hear of the difference at once.
bool isSameList(const std::vector<PartVerdict> &a, const std::vector<PartVerdict> &b)
{
    return std::equal(a.begin(), a.end(), b.begin(), b.end(), [](const PartVerdict &x, const PartVerdict &y) {
        return x.part == y.part && x.state == y.state && x.until == y.until && x.prober == y.prober;
    });
}

} // namespace

void PartExchange::tick()
{
    const auto now = node_.now();
    const auto &leaders = groups_.leaders(purpose);
    const bool isCounter = links_ == nullptr || leaders.empty() || leaders.front() == node_.settings.host;
    const auto counter = isCounter ? node_.settings.host : leaders.front();
    updateCounter(isCounter);
    const auto report = node_.parts.takeReport(counter, now);
    const bool isEmpty = report.crashes.empty() && report.served.empty() && report.refused.empty();
    if (isCounter) {
        applyReport(node_.settings.host, report);
        shareVerdicts(counter_->tick(now));
    } else if (!isEmpty) {
        links_->notify(counter, {noticeOf(report, now)});
    }
}

void PartExchange::updateCounter(bool isCounter)
{
    if (isCounter && !counter_) {
        counter_.emplace();
        counter_->adopt(node_.parts.verdicts(node_.now()), node_.now());
    } else if (!isCounter) {
        counter_.reset();
    }
}

void PartExchange::onReport(const HostId &from, const peers::PartReportNotice &notice)
{
    if (counter_) { // else the reports come again once both hosts know the same leader
        applyReport(from, reportOf(notice, node_.now()));
    }
}

void PartExchange::applyReport(const HostId &from, const PartReport &report)
{
    const auto now = node_.now();
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

void PartExchange::shareVerdicts(const std::vector<PartVerdict> &verdicts)
{
    const auto now = node_.now();
    for (const auto &change : counter_->takeChanges()) {
        const bool isBlamed = change.state == PartVerdict::State::Blamed;
        node_.metrics.beliefChanges.add({isBlamed ? "part_blamed" : "part_cleared"});
        if (isBlamed) {
            node_.log.warn("part_blamed",
                           {{"part", settings::printableText(change.part.value())},
                            {"for_ms", change.until - now},
                            {"probes", change.probes},
                            {"next", "requests with it are refused"}});
        } else {
            node_.log.info("part_cleared", {{"part", settings::printableText(change.part.value())}});
        }
    }
    const bool isSame = isSameList(verdicts, shared_);
    if (isSame && (verdicts.empty() || now - sharedAt_ < verdictInterval)) {
        return;
    }
    shared_ = verdicts;
    sharedAt_ = now;
    applyVerdicts(verdicts);
    peers::PartVerdictsNotice notice;
    for (const auto &verdict : verdicts) {
        notice.verdicts.push_back(entryOf(verdict, now));
    }
    send(notice, groups_.shareTargets(purpose));
}

void PartExchange::onVerdicts(const HostId &from, const peers::PartVerdictsNotice &notice)
{
    send(notice, groups_.forwardTargets(from, purpose));
    std::vector<PartVerdict> verdicts;
    for (const auto &entry : notice.verdicts) {
        if (auto verdict = verdictOf(entry, node_.now())) {
            verdicts.push_back(std::move(*verdict));
        }
    }
    applyVerdicts(verdicts);
}

void PartExchange::applyVerdicts(const std::vector<PartVerdict> &verdicts)
{
    const auto before = node_.parts.blamedParts();
    node_.parts.onVerdicts(verdicts, node_.now());
    if (const auto blamed = node_.parts.blamedParts(); blamed != before) {
        node_.log.info("parts_refused", {{"parts", blamed}, {"before", before}});
    }
}

void PartExchange::send(const peers::PartVerdictsNotice &notice, const std::vector<HostId> &hosts)
{
    if (links_ != nullptr) {
        for (const auto &host : hosts) {
            links_->notify(host, {notice});
        }
    }
}

} // namespace baobabstall::serving
