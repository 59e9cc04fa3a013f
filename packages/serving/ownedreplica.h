// serving/ownedreplica.h: executes the decisions of a Residency for a model replica that this host owns. I/O; one thread.
//
//   auto owned = std::make_shared<OwnedReplica>(node, httpClient, record, options, epoch, callbacks);
//   owned->setEngine(engine); // of its service, whenever the configuration or the record may have changed
//   owned->start();
//   auto lease = co_await owned->waitForLease(request, onWaiting, why);
//   owned->stop();
#pragma once

#include <functional>
#include <memory>
#include <vector>

#include <boost/asio/steady_timer.hpp>

#include <serving/node.h>

namespace baobabstall::serving {

struct OwnedReplicaCallbacks {
    std::function<bool()> mayAct; // whether the ownership is valid now
    /// Permits one load of base weights from the store, by the rate of the service.
    std::function<std::optional<std::uint64_t>(const ServiceName &)> acquireLoadPermit;
    std::function<void(const ServiceName &, std::uint64_t)> releaseLoadPermit;
    std::function<void()> onRestart; // must renew the epoch: the replica forgot its fencing number, and late orders may match its new count
};

class OwnedReplica : public std::enable_shared_from_this<OwnedReplica>
{
public:
    OwnedReplica(Node &node, net::HttpClient &httpClient, ReplicaRecord record, ResidencyOptions options, core::Epoch epoch, OwnedReplicaCallbacks callbacks);

    void start();
    void stop();
    /// What its service's configuration in force says. Nothing: the service is not configured, or has no models; nothing is ordered.
    void setEngine(const std::optional<EngineSpec> &engine);
    void onRecord(const ReplicaRecord &record); // the address changed or the replica restarted
    void onRevision(const AdapterKey &weights, AdapterRevision revision);
    void onNoContact(); // the replica is leaving or asked for a backoff: tells the waiting requests
    void onAdaptersInUse(const HostId &host, std::vector<AdapterKey> weights);
    /// Returns nullopt when the weights can't be loaded in time, as soon as that is known. `onWaiting` gets the expected wait.
    net::Task<std::optional<Residency::LeaseReply>> waitForLease(ResidencyRequest request, std::function<void(Milliseconds)> onWaiting, core::Error &why);

    [[nodiscard]] core::Epoch epoch() const { return epoch_; }
    [[nodiscard]] const Residency &residency() const { return residency_; }

private:
    [[nodiscard]] bool canOrder() const;
    net::Task<void> run();
    net::Task<bool> step(); // returns false when nothing is due
    net::Task<void> fetchReport();
    net::Task<void> sendOrder(Order order);
    void noteContact(const UpstreamId &id, bool isAnswered, const core::Error &why); // of an order or a report
    void wake();
    void wakeWaiters();
    void releasePermit();
    void handleRestart();

    Node &node_;
    net::HttpClient &httpClient_;
    ReplicaRecord record_;
    Residency residency_;
    core::Epoch epoch_;
    OwnedReplicaCallbacks callbacks_;
    boost::asio::steady_timer timer_;
    std::vector<std::shared_ptr<boost::asio::steady_timer>> waiters_;
    std::optional<std::uint64_t> permit_;
    ServiceName permitService_;
    std::optional<EngineSpec> engine_; // of its service
    bool isRunning_ = false;
    bool isFenced_ = false;
    OrderSequence reportedSequence_; // number of accepted orders in the last report
};

} // namespace baobabstall::serving
