// serving/routes.h: finds the route of a request and the service that handles it. No I/O.
//
//   RouteTable table(configuration);
//   const Route *route = table.find("shop.example", "/book/2f"); // nullptr if no route matches
//   const ServiceName &service = table.serviceOf(*route, id);
//
// Among the routes of a host, the one with the longest matching path prefix is used. A weighted route selects the service by a hash of
// the request id, so that retries of a request go to the same service.
#pragma once

#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include <serving/model.h>

namespace baobabstall::serving {

class RouteTable
{
public:
    RouteTable() = default;
    explicit RouteTable(Configuration configuration);

    [[nodiscard]] ConfigVersion version() const { return configuration_.version; }
    [[nodiscard]] std::size_t size() const { return configuration_.routes.size(); }
    [[nodiscard]] const CallerLimits &limits() const { return configuration_.limits; }
    [[nodiscard]] const std::vector<ServiceSpec> &services() const { return configuration_.services; }
    [[nodiscard]] const ServiceSpec *service(const ServiceName &name) const;
    /// The shortest pause between events that is on time on a route to the service; 0: no such route.
    [[nodiscard]] Milliseconds shortestPause(const ServiceName &service) const;
    /// The longest time limit of the routes whose streams may be taken up; 0: there is none.
    [[nodiscard]] Milliseconds longestStream() const;
    /// `host` may include a port and `target` a query string. The result is valid as long as the table.
    [[nodiscard]] const Route *find(std::string_view host, std::string_view target) const;
    [[nodiscard]] static const ServiceName &serviceOf(const Route &route, const RequestId &id);

private:
    Configuration configuration_;
    std::map<ServiceName, Milliseconds> shortestPauses_;
    std::unordered_map<std::string, std::vector<std::size_t>> routesByHost_; // indices into the configuration's routes, longest path prefix first
};

} // namespace baobabstall::serving
