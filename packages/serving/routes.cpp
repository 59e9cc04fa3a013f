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
