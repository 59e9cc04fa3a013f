// serving/quotanotices.h: quotas::Ask and quotas::Grant as messages between hosts. No I/O.
#pragma once

#include <algorithm>
#include <cmath>

#include <peers/messages.h>
#include <quotas/credit.h>

namespace baobabstall::serving {

using core::Milliseconds;

constexpr double maxQuotaAmount = 1e15; // of a peer's word; whole numbers are exact up to here

[[nodiscard]] inline std::int64_t numberOf(double amount)
{
    return std::llround(std::clamp(amount, 0.0, maxQuotaAmount));
}

[[nodiscard]] inline double amountOf(std::int64_t number)
{
    return std::clamp(static_cast<double>(number), 0.0, maxQuotaAmount);
}

[[nodiscard]] inline peers::QuotaAskNotice noticeOf(int partition, const quotas::Ask &ask)
{
    peers::QuotaAskNotice notice{partition, ask.session, ask.sequence, ask.answered, ask.isInFallback, {}};
    for (const auto &entry : ask.entries) {
        notice.entries.push_back({entry.workspace,
                                  numberOf(std::ceil(entry.held)),
                                  numberOf(std::ceil(entry.urgent)),
                                  numberOf(std::ceil(entry.inAdvance)),
                                  numberOf(std::ceil(entry.least)),
                                  numberOf(std::floor(entry.returned)),
                                  numberOf(std::floor(entry.givenBack))});
    }
    return notice;
}

[[nodiscard]] inline quotas::Ask askOf(const peers::QuotaAskNotice &notice)
{
    quotas::Ask ask{notice.session, notice.sequence, notice.answered, notice.isInFallback};
    for (const auto &entry : notice.entries) {
        ask.entries.push_back({entry.workspace,
                               amountOf(entry.held),
                               amountOf(entry.urgent),
                               amountOf(entry.inAdvance),
                               amountOf(entry.least),
                               amountOf(entry.returned),
                               amountOf(entry.givenBack)});
    }
    return ask;
}

[[nodiscard]] inline peers::QuotaGrantNotice noticeOf(int partition, const quotas::Grant &grant)
{
    peers::QuotaGrantNotice notice{partition, grant.session, grant.sequence, {}};
    for (const auto &entry : grant.entries) {
        notice.entries.push_back({entry.workspace, numberOf(std::floor(entry.granted)), entry.wait.count()});
    }
    return notice;
}

[[nodiscard]] inline quotas::Grant grantOf(const peers::QuotaGrantNotice &notice)
{
    quotas::Grant grant{notice.session, notice.sequence};
    for (const auto &entry : notice.entries) {
        grant.entries.push_back({entry.workspace, amountOf(entry.granted), Milliseconds(std::max<std::int64_t>(0, entry.waitMs))});
    }
    return grant;
}

} // namespace baobabstall::serving
