#include <serving/paceexchange.h>

#include <algorithm>
#include <cmath>

namespace baobabstall::serving {

namespace {

constexpr double weightUnit = 10;
constexpr double logUnit = 1'000;

} // namespace

std::vector<peers::UpstreamPace> PaceExchange::encoded(const std::vector<PaceEntry> &entries)
{
    std::vector<peers::UpstreamPace> result;
    result.reserve(entries.size());
    for (const auto &[id, weight, meanLog] : entries) {
        result.emplace_back(id, std::llround(weight * weightUnit), std::llround(meanLog * logUnit));
    }
    return result;
}

std::vector<PaceEntry> PaceExchange::decoded(const std::vector<peers::UpstreamPace> &entries)
{
    std::vector<PaceEntry> result;
    result.reserve(entries.size());
    for (const auto &[id, weight, meanLog] : entries) {
        result.push_back({id, static_cast<double>(weight) / weightUnit, static_cast<double>(meanLog) / logUnit});
    }
    return result;
}

void PaceExchange::prepare(const std::vector<LoadReport> &reports)
{
    due_.clear();
    const auto now = node_.now();
    if (node_.settings.hosting.learnPaces == 0 || now - preparedAt_ < Paces::reportInterval) {
        return;
    }
    preparedAt_ = now;
    std::map<LoadScope, std::vector<HostId>> receivers;
    for (const auto &report : reports) {
        receivers[report.scope].push_back(report.to);
    }
    node_.paces.setLeading(!receivers.contains(LoadScope::Host));
    for (const auto &[scope, hosts] : receivers) {
        due_[scope] = encoded(node_.paces.due(scope, hosts, now));
    }
}

std::optional<std::vector<peers::UpstreamPace>> PaceExchange::entries(LoadScope scope) const
{
    const auto found = due_.find(scope);
    const bool isSaid = found != due_.end() && (scope == LoadScope::All || !found->second.empty());
    return isSaid ? std::optional(found->second) : std::nullopt;
}

void PaceExchange::onReport(const HostId &from, const peers::LoadsNotice &notice)
{
    const auto scope = static_cast<LoadScope>(notice.scope);
    const bool isKnown = scope == LoadScope::Host || scope == LoadScope::Group || scope == LoadScope::All;
    if (node_.settings.hosting.learnPaces > 0 && notice.paces && isKnown) {
        node_.paces.onReport(from, scope, decoded(*notice.paces), node_.now());
    }
}

std::vector<Paces::Replica> PaceExchange::replicas() const
{
    std::vector<Paces::Replica> found;
    for (const auto &id : node_.replicas.all()) {
        const auto *record = node_.replicas.find(id);
        const auto *service = node_.routes ? node_.routes->service(record->service) : nullptr;
        if (service != nullptr && service->engine) {
            found.push_back({id, record->service});
        }
    }
    return found;
}

void PaceExchange::tick()
{
    const auto now = node_.now();
    if (node_.settings.hosting.learnPaces == 0 || now - refreshedAt_ < Paces::reportInterval) {
        return;
    }
    refreshedAt_ = now;
    const auto known = replicas();
    for (const auto &change : node_.paces.refresh(known, now)) {
        if (change.isSlow) {
            node_.log.info("upstream_slow", {{"upstream", change.id}, {"service", change.service}, {"pace", change.pace}, {"samples", change.weight}});
        } else {
            node_.log.info("upstream_pace_regained", {{"upstream", change.id}, {"service", change.service}, {"pace", change.pace}, {"samples", change.weight}});
        }
    }
    for (const auto &replica : known) {
        node_.chooser.setPace(replica.id, node_.paces.pace(replica.id));
    }
}

void PaceExchange::updateGauge()
{
    std::set<UpstreamId> shown;
    for (const auto &replica : replicas()) {
        node_.metrics.upstreamPace.set({replica.id.value()}, node_.paces.estimate(replica.id));
        shown.insert(replica.id);
    }
    for (const auto &id : shown_) {
        if (!shown.contains(id)) {
            node_.metrics.upstreamPace.clear({id.value()});
        }
    }
    shown_ = std::move(shown);
}

} // namespace baobabstall::serving
