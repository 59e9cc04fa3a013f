#include <serving/loadexchange.h>

#include <algorithm>

namespace baobabstall::serving {

namespace {

void add(Loads &sum, const Loads &loads)
{
    for (const auto &[id, each] : loads) {
        auto &place = sum[id];
        place.running += each.running;
        place.readingMs += each.readingMs;
    }
}

} // namespace

std::vector<LoadNews> LoadExchange::tick(const Loads &own, const std::vector<HostId> &members, const std::vector<HostId> &leaders, Instant now)
{
    std::vector<LoadNews> news;
    isLeader_ = !members.empty() && members.front() == own_;
    reported_ = own;
    if (members.empty()) {
        return news;
    }
    if (!isLeader_) {
        news.push_back({members.front(), LoadScope::Host, own});
    }
    std::erase_if(hosts_, [now](const auto &each) { return now - each.second.at > valid; });
    std::erase_if(groups_, [now](const auto &each) { return now - each.second.at > valid; });
    if (!isLeader_ && hosts_.empty()) {
        return news;
    }
    const auto group = sumOf(hosts_, own, now); // also for hosts that believe this one to lead while it does not know
    if (isLeader_) {
        for (const auto &leader : leaders) {
            if (leader != own_) {
                news.push_back({leader, LoadScope::Group, group});
            }
        }
    }
    const auto all = sumOf(groups_, group, now);
    for (const auto &[host, told] : hosts_) {
        news.push_back({host, LoadScope::All, all});
    }
    return news;
}

void LoadExchange::take(const HostId &from, LoadScope scope, Loads loads, Instant now)
{
    for (auto &[id, each] : loads) {
        each.running = std::max(0, each.running);
        each.readingMs = std::max(0, each.readingMs);
    }
    switch (scope) {
    case LoadScope::Host:
        hosts_[from] = {std::move(loads), now};
        break;
    case LoadScope::Group:
        groups_[from] = {std::move(loads), now};
        break;
    case LoadScope::All:
        all_ = {std::move(loads), now};
        break;
    }
}

std::optional<Loads> LoadExchange::others(Instant now) const
{
    if (isLeader_) {
        return sumOf(groups_, sumOf(hosts_, {}, now), now);
    }
    if (!all_ || now - all_->at > valid) {
        return std::nullopt;
    }
    auto others = all_->loads;
    for (const auto &[id, own] : reported_) {
        const auto place = others.find(id);
        if (place != others.end()) {
            place->second.running = std::max(0, place->second.running - own.running);
            place->second.readingMs = std::max(0, place->second.readingMs - own.readingMs);
        }
    }
    return others;
}

Loads LoadExchange::sumOf(const std::map<HostId, Told> &told, Loads sum, Instant now) const
{
    for (const auto &[host, each] : told) {
        if (now - each.at <= valid) {
            add(sum, each.loads);
        }
    }
    return sum;
}

} // namespace baobabstall::serving
