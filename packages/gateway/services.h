// gateway/services.h: calls of plain services, with and without an idempotency key. I/O.
//
// Index
//   ServiceRequest   one call, as the caller made it
//   ServiceCaller    sends a call to a replica: at most once, or again when it may be repeated
//   PartitionHost    one partition of the at-most-once records that this daemon owns
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>

#include <calls/calls.h>
#include <gateway/node.h>
#include <platform/platform.h>

namespace baobabstall::gateway {

struct ServiceRequest {
    core::RequestId id;
    core::ServiceName service;
    std::string method;
    std::string target; // below the service, with its query
    std::string contentType;
    std::string idempotencyKey; // passed on; may be empty
    std::string body;
    core::Instant deadline;
};

class ServiceCaller
{
public:
    explicit ServiceCaller(Node &node)
        : node_(node)
    { }

    /// One call. Tried at another replica only when `mayRepeat`, or when not one byte can have reached the first one.
    /// Errors: step Upstream with the replica as its peer; outcome Unknown when the service may have acted.
    net::Task<std::optional<net::HttpResponse>> call(ServiceRequest request, bool mayRepeat, core::Error &why);

private:
    net::Task<std::optional<net::HttpResponse>> callReplica(ServiceRecord replica, ServiceRequest request, bool mayRepeat, core::Error &why);
    [[nodiscard]] std::vector<ServiceRecord> replicasOf(const core::ServiceName &service);

    Node &node_;
    std::uint64_t turn_ = 0; // spreads calls over the replicas
};

class PartitionHost final : public OwnedHost, public std::enable_shared_from_this<PartitionHost>
{
public:
    PartitionHost(Node &node, ServiceCaller &caller, platform::LogClient &log, const platform::Endpoint &endpoint, int partition, core::Epoch epoch);

    /// Begins to follow the partition's stream. Call once.
    void start();
    net::Task<void> serve(std::shared_ptr<peers::IncomingCall> call, peers::ServiceCall request);
    void drain() override { lose(); }
    void lose() override;
    [[nodiscard]] bool isIdle() const override { return waiting_.empty() && running_ == 0 && appending_ == 0 && partition_.isIdle(); }
    /// Keeps the partition's fence in the log before its record expires. Call about once a second.
    void refreshIfDue();
    [[nodiscard]] core::Epoch epoch() const { return epoch_; }
    void close() override { follower_.stop(); }

private:
    struct Waiting {
        std::shared_ptr<peers::IncomingCall> call;
        peers::ServiceCall request;
        core::Instant deadline;
        std::shared_ptr<Wakeup> settled; // raised when the key runs or is refused
    };

    [[nodiscard]] std::string stream() const;
    void decide(std::vector<calls::Action> decisions);
    void carryOut(const calls::Append &append);
    void carryOut(const calls::Run &run);
    void carryOut(const calls::NotRun &notRun);
    [[nodiscard]] platform::FollowerEvents events();
    net::Task<void> append(calls::CallRecord record);
    net::Task<void> run(calls::IdempotencyKey key, Waiting waiting);
    void answer(const calls::BeginResult &answer, const std::shared_ptr<peers::IncomingCall> &call);

    Node &node_;
    ServiceCaller &caller_;
    platform::LogClient &log_;
    int number_;
    core::Epoch epoch_;
    calls::CallPartition partition_;
    platform::LogFollower follower_;
    std::map<calls::IdempotencyKey, Waiting> waiting_; // for their intent to be read back
    core::Instant refreshedAt_;
    int running_ = 0;
    int appending_ = 0;
};

} // namespace baobabstall::gateway
