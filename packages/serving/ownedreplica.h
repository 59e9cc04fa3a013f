// serving/ownedreplica.h: carries out what a Residency decides for one model replica that this host owns. I/O; one thread.
//
//   auto owned = std::make_shared<OwnedReplica>(node, http, record, model, epoch, guards);
//   owned->start();
//   auto told = co_await owned->ask(weights, atLeast, wait);
//   owned->stop();
#pragma once

#include <functional>
#include <memory>
#include <vector>

#include <boost/asio/steady_timer.hpp>

#include <serving/node.h>

namespace baobabstall::serving {

struct OwnedReplicaCallbacks {
    std::function<bool()> mayAct;                                    // ownership is in force now
    std::function<std::optional<std::uint64_t>()> acquireLoadPermit; // for base weights from the store
    std::function<void(std::uint64_t)> releaseLoadPermit;
    std::function<void()> onRestart; // another epoch is needed: the replica forgot the fence, and late orders of before may fit its new count
};

class OwnedReplica : public std::enable_shared_from_this<OwnedReplica>
{
public:
    OwnedReplica(Node &node,
                 net::HttpClient &http,
                 ReplicaRecord record,
                 ResidencyOptions options,
                 ModelSpec model,
                 core::Epoch epoch,
                 OwnedReplicaCallbacks guards);

    void start();
    void stop();
    void onRecord(const ReplicaRecord &record); // moved, or restarted
    void onRevision(const AdapterKey &weights, AdapterRevision revision);
    void onAdaptersInUse(const HostId &host, std::vector<AdapterKey> weights);
    /// Nothing when the weights can't be had in time; at once when that is known. `onWaiting` is called with the wait to expect.
    net::Task<std::optional<Residency::LeaseReply>> waitForLease(ResidencyRequest wish, std::function<void(Milliseconds)> onWaiting, core::Error &why);

    [[nodiscard]] core::Epoch epoch() const { return epoch_; }
    [[nodiscard]] const Residency &residency() const { return residency_; }

private:
    [[nodiscard]] bool canOrder() const;
    net::Task<void> run();
    net::Task<bool> step(); // false: nothing to do now
    net::Task<void> fetchReport();
    net::Task<void> sendOrder(Order order);
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
    bool isRunning_ = false;
    bool isFenced_ = false;
    OrderSequence reportedSequence_; // as of the last report
};

} // namespace baobabstall::serving
