// serving/routes.h: which route a request takes, and which service answers it. No I/O.
//
//   RouteTable table(configuration);
//   const Route *route = table.find("shop.example", "/book/2f"); // nullptr: no route
//   const ServiceName &service = table.serviceOf(*route, id);
//
// Of the routes of a host the one with the longest prefix of the path is taken. A route that is split sends each request to
// the service that its id falls to, so that a repeat within one request stays where it was.
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
    [[nodiscard]] const CallerLimits &limits() const { return configuration_.limits; }
    [[nodiscard]] const std::vector<ServiceSpec> &services() const { return configuration_.services; }
    [[nodiscard]] const ServiceSpec *service(const ServiceName &name) const;
    /// `host` may carry a port; `target` may carry a query. Valid as long as the table.
    [[nodiscard]] const Route *find(std::string_view host, std::string_view target) const;
    [[nodiscard]] static const ServiceName &serviceOf(const Route &route, const RequestId &id);

private:
    Configuration configuration_;
    std::unordered_map<std::string, std::vector<std::size_t>> byHost_; // longest prefix first
};

} // namespace baobabstall::serving
