#include <serving/crashexchange.h>

#include <settings/json.h>

namespace baobabstall::serving {

namespace {

using Kind = CrashCause::Kind;

peers::CrashCauseEntry entryOf(const CrashCause &cause)
{
    return {static_cast<int>(cause.kind), cause.id};
}

/// Nothing for a kind that this version doesn't know.
std::optional<CrashCause> causeOf(const peers::CrashCauseEntry &entry)
{
    if (entry.kind != static_cast<int>(Kind::Part) && entry.kind != static_cast<int>(Kind::Request)) {
        return std::nullopt;
    }
    return CrashCause{static_cast<Kind>(entry.kind), entry.id};
}

std::vector<CrashCause> causesOf(const std::vector<peers::CrashCauseEntry> &entries)
{
    std::vector<CrashCause> causes;
    for (const auto &entry : entries) {
        if (auto cause = causeOf(entry)) {
            causes.push_back(std::move(*cause));
        }
    }
    return causes;
}

peers::CrashVerdictEntry entryOf(const CrashVerdict &verdict, Instant now)
{
    return {entryOf(verdict.cause),
            static_cast<int>(verdict.state),
            (now - verdict.since).count(),
            (verdict.until - now).count(),
            verdict.crashes,
            (now - verdict.lastCrash).count(),
            verdict.lastUpstream,
            verdict.probesLeft};
}

std::optional<CrashVerdict> verdictOf(const peers::CrashVerdictEntry &entry, Instant now)
{
    using State = CrashVerdict::State;
    auto cause = causeOf(entry.cause);
    if (!cause || entry.state < static_cast<int>(State::Suspect) || entry.state > static_cast<int>(State::Cleared)) {
        return std::nullopt;
    }
    return CrashVerdict{std::move(*cause),
                        static_cast<State>(entry.state),
                        now - Milliseconds(entry.sinceAgeMs),
                        now + Milliseconds(entry.remainingMs),
                        entry.crashes,
                        now - Milliseconds(entry.lastCrashAgeMs),
                        entry.lastUpstream,
                        entry.probesLeft};
}

std::vector<CrashVerdict> verdictsOf(const std::vector<peers::CrashVerdictEntry> &entries, Instant now)
{
    std::vector<CrashVerdict> verdicts;
    for (const auto &entry : entries) {
        if (auto verdict = verdictOf(entry, now)) {
            verdicts.push_back(std::move(*verdict));
        }
    }
    return verdicts;
}

std::vector<peers::CrashVerdictEntry> entriesOf(const std::vector<CrashVerdict> &verdicts, Instant now)
{
    std::vector<peers::CrashVerdictEntry> entries;
    entries.reserve(verdicts.size());
    for (const auto &verdict : verdicts) {
        entries.push_back(entryOf(verdict, now));
    }
    return entries;
}

peers::CrashReportNotice noticeOf(const CrashReport &report, Instant now)
{
    peers::CrashReportNotice notice;
    for (const auto &crash : report.crashes) {
        peers::CrashEntry entry{crash.upstream, (now - crash.at).count(), {}};
        for (const auto &cut : crash.cuts) {
            entry.cuts.emplace_back(entryOf(cut.cause), (now - cut.sentAt).count(), cut.isFollowUp);
        }
        notice.crashes.push_back(std::move(entry));
    }
    for (const auto &[cause, at] : report.served) {
        notice.served.emplace_back(entryOf(cause), (now - at).count());
    }
    for (const auto &cause : report.refused) {
        notice.refused.push_back(entryOf(cause));
    }
    notice.held = entriesOf(report.held, now);
    return notice;
}

CrashReport reportOf(const peers::CrashReportNotice &notice, Instant now)
{
    CrashReport report;
    for (const auto &crash : notice.crashes) {
        CrashSighting sighting{crash.upstream, now - Milliseconds(crash.ageMs), {}};
        for (const auto &[entry, ageMs, isFollowUp] : crash.cuts) {
            if (auto cause = causeOf(entry)) {
                sighting.cuts.push_back({std::move(*cause), now - Milliseconds(ageMs), isFollowUp});
            }
        }
        report.crashes.push_back(std::move(sighting));
    }
    for (const auto &[entry, ageMs] : notice.served) {
        if (auto cause = causeOf(entry)) {
            report.served.emplace_back(std::move(*cause), now - Milliseconds(ageMs));
        }
    }
    report.refused = causesOf(notice.refused);
    report.held = verdictsOf(notice.held, now);
    return report;
}

} // namespace

void CrashExchange::tick()
{
    const auto now = node_.now();
    const auto messages = counting_.tick(now, links_ == nullptr);
    logChanges(messages.changes);
    logRefused();
    if (messages.report) {
        links_->notify(messages.counter, {noticeOf(*messages.report, now)});
    }
    if (!messages.verdicts.empty()) {
        send({entriesOf(messages.verdicts, now)}, groups_.shareTargets(CrashCounting::purpose));
    }
}

void CrashExchange::onReport(const peers::CrashReportNotice &notice)
{
    const auto now = node_.now();
    counting_.onReport(reportOf(notice, now), now);
}

void CrashExchange::onVerdicts(const HostId &from, const peers::CrashVerdictsNotice &notice)
{
    send(notice, groups_.forwardTargets(from, CrashCounting::purpose));
    const auto now = node_.now();
    counting_.onVerdicts(verdictsOf(notice.verdicts, now), now);
    logRefused();
}

net::Task<bool> CrashExchange::takeProbe(std::vector<CrashCause> causes)
{
    if (links_ == nullptr || counting_.counter() == node_.settings.host) {
        co_return counting_.takeProbe(causes, node_.now());
    }
    peers::CrashProbeCall request;
    for (const auto &cause : causes) {
        request.causes.push_back(entryOf(cause));
    }
    const auto call = links_->call(counting_.counter(), std::move(request));
    core::Error why;
    const auto reply = co_await call->next(replyTimeout, why);
    const auto *answer = reply ? std::get_if<peers::CrashProbeReply>(&*reply) : nullptr;
    co_return answer != nullptr && answer->isGranted;
}

void CrashExchange::serve(peers::IncomingCall &call, const peers::CrashProbeCall &request)
{
    call.send(peers::CrashProbeReply{counting_.takeProbe(causesOf(request.causes), node_.now())});
}

void CrashExchange::logChanges(const std::vector<CrashVerdict> &changes)
{
    const auto now = node_.now();
    for (const auto &change : changes) {
        const auto cause = settings::printableText(change.cause.id);
        const bool isPart = change.cause.kind == Kind::Part;
        if (change.state == CrashVerdict::State::Cleared) {
            node_.metrics.beliefChanges.add({isPart ? "part_cleared" : "request_cleared"});
            node_.log.info("blame_ended", {{"kind", isPart ? "part" : "request"}, {"cause", cause}});
            continue;
        }
        node_.metrics.beliefChanges.add({isPart ? "part_blamed" : "request_blamed"});
        node_.log.warn("blamed",
                       {{"kind", isPart ? "part" : "request"},
                        {"cause", cause},
                        {"crashes", change.crashes},
                        {"last_crash_ms_ago", now - change.lastCrash},
                        {"last_upstream", change.lastUpstream},
                        {"for_ms", change.until - now},
                        {"probes_left", change.probesLeft},
                        {"next", "requests with it are refused"}});
    }
}

void CrashExchange::logRefused()
{
    const auto parts = node_.crashes.blamed(Kind::Part);
    const auto requests = node_.crashes.blamed(Kind::Request);
    if (parts != blamedParts_ || requests != blamedRequests_) {
        node_.log.info("blame_in_force", {{"parts", parts}, {"requests", requests}, {"parts_before", blamedParts_}, {"requests_before", blamedRequests_}});
        blamedParts_ = parts;
        blamedRequests_ = requests;
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
