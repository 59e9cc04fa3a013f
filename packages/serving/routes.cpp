#include <serving/routes.h>

#include <algorithm>
#include <cctype>

#include <core/hash.h>

namespace baobabstall::serving {

namespace {

std::string normalizedHost(std::string_view host)
{
    std::string name(host.substr(0, host.find(':')));
    std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return name;
}

} // namespace

RouteTable::RouteTable(Configuration configuration)
    : configuration_(std::move(configuration))
{
    const auto &routes = configuration_.routes;
    for (std::size_t i = 0; i < routes.size(); ++i) {
        routesByHost_[normalizedHost(routes[i].host)].push_back(i);
        for (const auto &each : routes[i].services) {
            if (routes[i].maxEventPause.count() > 0) {
                auto &shortest = shortestPauses_.try_emplace(each.service, routes[i].maxEventPause).first->second;
                shortest = std::min(shortest, routes[i].maxEventPause);
            }
        }
    }
    for (auto &[host, indices] : routesByHost_) {
        std::stable_sort(
            indices.begin(), indices.end(), [&](std::size_t a, std::size_t b) { return routes[a].pathPrefix.size() > routes[b].pathPrefix.size(); });
    }
    indexWorkspaces();
    std::set<int> ranks;
    for (const auto &route : routes) {
        ranks.insert(route.priority);
    }
    for (const auto &workspace : workspaces()) {
        if (workspace.priority) {
            ranks.insert(*workspace.priority);
        }
    }
    mostUrgentRank_ = ranks.empty() ? 0 : *ranks.begin();
}

void RouteTable::indexWorkspaces()
{
    if (!configuration_.workspaces) {
        return;
    }
    auto &all = *configuration_.workspaces;
    auto &keys = keys_.emplace();
    for (std::size_t i = 0; i < all.size(); ++i) {
        for (const auto &key : std::exchange(all[i].keys, {})) {
            if (!keys.add(key, workspaces::KeyOwner(i))) {
                configuration_.refusedParts.push_back("workspace \"" + all[i].name.value() + "\": a key is empty or too long");
            }
        }
    }
    for (const auto &[first, second] : keys.ambiguous()) {
        configuration_.refusedParts.push_back("workspaces \"" + all[first.value()].name.value() + "\" and \"" + all[second.value()].name.value()
                                              + "\": have a key in common, which opens neither");
    }
    std::vector<const Workspace *> largest;
    largest.reserve(all.size());
    for (const auto &each : all) {
        largest.push_back(&each);
    }
    std::stable_sort(largest.begin(), largest.end(), [](const auto *a, const auto *b) { return a->quota.perSecond > b->quota.perSecond; });
    largest.resize(std::min(largest.size(), maxLabelledWorkspaces));
    for (const auto *each : largest) {
        labelled_.insert(each->name);
    }
}

const std::vector<Workspace> &RouteTable::workspaces() const
{
    static const std::vector<Workspace> none;
    return configuration_.workspaces ? *configuration_.workspaces : none;
}

std::map<WorkspaceId, WorkspaceQuota> RouteTable::quotas() const
{
    std::map<WorkspaceId, WorkspaceQuota> found;
    for (const auto &each : workspaces()) {
        if (each.quota.perSecond > 0) {
            found[each.name] = each.quota;
        }
    }
    return found;
}

const Workspace *RouteTable::workspaceOf(std::string_view key) const
{
    const auto owner = keys_ ? keys_->find(key) : std::nullopt;
    return owner ? &(*configuration_.workspaces)[owner->value()] : nullptr;
}

std::string_view RouteTable::labelOf(const WorkspaceId &name) const
{
    const auto found = labelled_.find(name);
    return found == labelled_.end() ? std::string_view("other") : std::string_view(found->value());
}

bool RouteTable::hasSeveralPriorities() const
{
    const auto &routes = configuration_.routes;
    return std::any_of(routes.begin(), routes.end(), [&](const Route &each) { return each.priority != routes.front().priority; });
}

Milliseconds RouteTable::shortestPause(const ServiceName &service) const
{
    const auto found = shortestPauses_.find(service);
    return found == shortestPauses_.end() ? Milliseconds(0) : found->second;
}

const ServiceSpec *RouteTable::service(const ServiceName &name) const
{
    const auto &services = configuration_.services;
    const auto found = std::find_if(services.begin(), services.end(), [&](const ServiceSpec &each) { return each.name == name; });
    return found == services.end() ? nullptr : &*found;
}

Milliseconds RouteTable::longestStream() const
{
    Milliseconds longest;
    for (const auto &route : configuration_.routes) {
        longest = route.retryPolicy == RetryPolicy::Resumable ? std::max(longest, route.timeout) : longest;
    }
    return longest;
}

const Route *RouteTable::find(std::string_view host, std::string_view target) const
{
    const auto found = routesByHost_.find(normalizedHost(host));
    if (found == routesByHost_.end()) {
        return nullptr;
    }
    const auto path = target.substr(0, target.find('?'));
    for (const auto index : found->second) {
        if (path.starts_with(configuration_.routes[index].pathPrefix)) {
            return &configuration_.routes[index];
        }
    }
    return nullptr;
}

const ServiceName &RouteTable::serviceOf(const Route &route, const RequestId &id)
{
    double totalWeight = 0;
    for (const auto &each : route.services) {
        totalWeight += each.weight;
    }
    constexpr std::uint64_t resolution = 1'000'003; // fine enough for weights given in hundredths
    double point = static_cast<double>(core::hashText(id.value(), 0) % resolution) / static_cast<double>(resolution) * totalWeight;
    for (const auto &each : route.services) {
        if (point < each.weight) {
            return each.service;
        }
        point -= each.weight;
    }
    return route.services.back().service;
}

} // namespace baobabstall::serving
