// serving/paceexchange.h: takes part in learning the paces of model replicas: reports beside the loads, and what the chooser gets. I/O; one thread.
//
//   PaceExchange exchange(node);
//   exchange.prepare(reports);                      // the reports of loads that are about to be sent
//   notice.paces = exchange.entries(report.scope);  // for each of them
//   exchange.onReport(from, notice);
//   exchange.tick();                                // every 100 ms
//   exchange.updateGauge();                         // before the metrics are read
#pragma once

#include <map>
#include <set>

#include <peers/messages.h>
#include <serving/node.h>

namespace baobabstall::serving {

class PaceExchange
{
public:
    explicit PaceExchange(Node &node)
        : node_(node)
    { }

    void prepare(const std::vector<LoadReport> &reports);
    [[nodiscard]] std::optional<std::vector<peers::UpstreamPace>> entries(LoadScope scope) const;
    void onReport(const HostId &from, const peers::LoadsNotice &notice);
    void tick();
    void updateGauge();

    /// As sent and as read; a weight or logarithm beyond what is plausible is for Paces to bound.
    [[nodiscard]] static std::vector<peers::UpstreamPace> encoded(const std::vector<PaceEntry> &entries);
    [[nodiscard]] static std::vector<PaceEntry> decoded(const std::vector<peers::UpstreamPace> &entries);

private:
    [[nodiscard]] std::vector<Paces::Replica> replicas() const; // of services with an engine

    Node &node_;
    Instant preparedAt_;
    Instant refreshedAt_;
    std::map<LoadScope, std::vector<peers::UpstreamPace>> due_; // of the reports now sent
    std::set<UpstreamId> shown_;                                // in the gauge
};

} // namespace baobabstall::serving
