#include <serving/crashexchange.h>

#include <settings/json.h>

namespace baobabstall::serving {

namespace {

peers::CrashReportNotice noticeOf(const CrashReport &report, Instant now)
{
    peers::CrashReportNotice notice;
    for (const auto &crash : report.crashes) {
        notice.crashes.push_back({crash.upstream, (now - crash.at).count(), crash.parts});
    }
    for (const auto &[part, at] : report.served) {
        notice.served.emplace_back(part, (now - at).count());
    }
    notice.refused = report.refused;
    return notice;
}

CrashReport reportOf(const peers::CrashReportNotice &notice, Instant now)
{
    CrashReport report;
    for (const auto &crash : notice.crashes) {
        report.crashes.push_back({crash.upstream, now - Milliseconds(crash.ageMs), crash.parts});
    }
    for (const auto &[part, ageMs] : notice.served) {
        report.served.emplace_back(part, now - Milliseconds(ageMs));
    }
    report.refused = notice.refused;
    return report;
}

peers::CrashVerdictEntry entryOf(const CrashVerdict &verdict, Instant now)
{
    return {verdict.part,
            static_cast<int>(verdict.state),
            (now - verdict.since).count(),
            (verdict.until - now).count(),
            verdict.probes,
            verdict.prober,
            (now - verdict.proberAt).count()};
}

std::optional<CrashVerdict> verdictOf(const peers::CrashVerdictEntry &entry, Instant now)
{
    if (entry.state < static_cast<int>(CrashVerdict::State::Suspect) || entry.state > static_cast<int>(CrashVerdict::State::Cleared)) {
        return std::nullopt;
    }
    return CrashVerdict{entry.part,
                        static_cast<CrashVerdict::State>(entry.state),
                        now - Milliseconds(entry.sinceAgeMs),
                        now + Milliseconds(entry.remainingMs),
                        entry.probes,
                        entry.prober,
                        now - Milliseconds(entry.proberAgeMs)};
}

} // namespace

void CrashExchange::tick()
{
    const auto now = node_.now();
    const auto before = node_.crashes.blamedParts();
    const auto messages = counting_.tick(now, links_ == nullptr);
    logChanges(messages.changes);
    logRefusedParts(before);
    if (messages.report) {
        links_->notify(messages.counter, {noticeOf(*messages.report, now)});
    }
    if (messages.verdicts) {
        peers::CrashVerdictsNotice notice;
        for (const auto &verdict : *messages.verdicts) {
            notice.verdicts.push_back(entryOf(verdict, now));
        }
        send(notice, groups_.shareTargets(CrashCounting::purpose));
    }
}

void CrashExchange::onReport(const HostId &from, const peers::CrashReportNotice &notice)
{
    const auto now = node_.now();
    counting_.onReport(from, reportOf(notice, now), now);
}

void CrashExchange::onVerdicts(const HostId &from, const peers::CrashVerdictsNotice &notice)
{
    send(notice, groups_.forwardTargets(from, CrashCounting::purpose));
    const auto now = node_.now();
    std::vector<CrashVerdict> verdicts;
    for (const auto &entry : notice.verdicts) {
        if (auto verdict = verdictOf(entry, now)) {
            verdicts.push_back(std::move(*verdict));
        }
    }
    const auto before = node_.crashes.blamedParts();
    counting_.onVerdicts(verdicts, now);
    logRefusedParts(before);
}

void CrashExchange::logChanges(const std::vector<CrashVerdict> &changes)
{
    for (const auto &change : changes) {
        const auto part = settings::printableText(change.part.value());
        if (change.state == CrashVerdict::State::Blamed) {
            node_.metrics.beliefChanges.add({"part_blamed"});
            node_.log.warn("part_blamed",
                           {{"part", part}, {"for_ms", change.until - node_.now()}, {"probes", change.probes}, {"next", "requests with it are refused"}});
        } else {
            node_.metrics.beliefChanges.add({"part_cleared"});
            node_.log.info("part_cleared", {{"part", part}});
        }
    }
}

void CrashExchange::logRefusedParts(std::size_t before)
{
    if (const auto blamed = node_.crashes.blamedParts(); blamed != before) {
        node_.log.info("parts_refused", {{"parts", blamed}, {"before", before}});
    }
}

void CrashExchange::send(const peers::CrashVerdictsNotice &notice, const std::vector<HostId> &hosts)
{
    if (links_ != nullptr) {
        for (const auto &host : hosts) {
            links_->notify(host, {notice});
        }
    }
}

} // namespace baobabstall::serving
