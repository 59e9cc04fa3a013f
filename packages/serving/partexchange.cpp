#include <serving/partexchange.h>

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

} // namespace

void PartExchange::tick()
{
    const auto now = node_.now();
    const auto before = node_.parts.blamedParts();
    const auto messages = counting_.tick(now, links_ == nullptr);
    logChanges(messages.changes);
    logRefusedParts(before);
    if (messages.report) {
        links_->notify(messages.counter, {noticeOf(*messages.report, now)});
    }
    if (messages.verdicts) {
        peers::PartVerdictsNotice notice;
        for (const auto &verdict : *messages.verdicts) {
            notice.verdicts.push_back(entryOf(verdict, now));
        }
        send(notice, groups_.shareTargets(PartCounting::purpose));
    }
}

void PartExchange::onReport(const HostId &from, const peers::PartReportNotice &notice)
{
    const auto now = node_.now();
    counting_.onReport(from, reportOf(notice, now), now);
}

void PartExchange::onVerdicts(const HostId &from, const peers::PartVerdictsNotice &notice)
{
    send(notice, groups_.forwardTargets(from, PartCounting::purpose));
    const auto now = node_.now();
    std::vector<PartVerdict> verdicts;
    for (const auto &entry : notice.verdicts) {
        if (auto verdict = verdictOf(entry, now)) {
            verdicts.push_back(std::move(*verdict));
        }
    }
    const auto before = node_.parts.blamedParts();
    counting_.onVerdicts(verdicts, now);
    logRefusedParts(before);
}

void PartExchange::logChanges(const std::vector<PartVerdict> &changes)
{
    for (const auto &change : changes) {
        const auto part = settings::printableText(change.part.value());
        if (change.state == PartVerdict::State::Blamed) {
            node_.metrics.beliefChanges.add({"part_blamed"});
            node_.log.warn("part_blamed",
                           {{"part", part}, {"for_ms", change.until - node_.now()}, {"probes", change.probes}, {"next", "requests with it are refused"}});
        } else {
            node_.metrics.beliefChanges.add({"part_cleared"});
            node_.log.info("part_cleared", {{"part", part}});
        }
    }
}

void PartExchange::logRefusedParts(std::size_t before)
{
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
