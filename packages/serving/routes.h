// serving/routes.h: finds the route of a request and the service that handles it. No I/O.
//
//   RouteTable table(configuration);
//   const Route *route = table.find("shop.example", "/book/2f"); // nullptr if no route matches
//   const ServiceName &service = table.serviceOf(*route, id);
//   const Workspace *workspace = table.workspaceOf(key);          // nullptr if no workspace has the key
//
// Among the routes of a host, the one with the longest matching path prefix is used. A weighted route selects the service by a hash of
// the request id, so that retries of a request go to the same service.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include <serving/model.h>
#include <workspaces/keytable.h>

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

    /// Whether callers need a key, except on anonymous routes.
    [[nodiscard]] bool hasWorkspaces() const { return keys_.has_value(); }
    /// Without their keys.
    [[nodiscard]] const std::vector<Workspace> &workspaces() const;
    /// Of the workspaces that have one.
    [[nodiscard]] std::map<WorkspaceId, WorkspaceQuota> quotas() const;
    /// Nullptr for a key of no workspace or of several. The result is valid as long as the table.
    [[nodiscard]] const Workspace *workspaceOf(std::string_view key) const;
    /// The workspace's name for metrics: that of one of the largest by quota, or "other".
    [[nodiscard]] std::string_view labelOf(const Workspace &workspace) const { return labelOf(workspace.name); }
    [[nodiscard]] std::string_view labelOf(const WorkspaceId &name) const;
    [[nodiscard]] bool hasSeveralPriorities() const;                     // of its routes
    [[nodiscard]] int mostUrgentRank() const { return mostUrgentRank_; } // of its routes and workspaces
    /// What of the configuration was not taken; names no key.
    [[nodiscard]] const std::vector<std::string> &refusedParts() const { return configuration_.refusedParts; }

    static constexpr std::size_t maxLabelledWorkspaces = 50;

private:
    void indexWorkspaces();

    Configuration configuration_;
    std::map<ServiceName, Milliseconds> shortestPauses_;
    std::optional<workspaces::KeyTable> keys_;
    int mostUrgentRank_ = 0;
    std::set<WorkspaceId> labelled_;                                         // workspaces that have metrics of their own
    std::unordered_map<std::string, std::vector<std::size_t>> routesByHost_; // indices into the configuration's routes, longest path prefix first
};

} // namespace baobabstall::serving
