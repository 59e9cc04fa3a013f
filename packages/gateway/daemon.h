// gateway/daemon.h: one daemon: its parts, the loops that drive them, start and stop. I/O.
//
// Index
//   Addresses   where it listens, with the ports that the kernel chose
//   Daemon      start(), stop(), operators' reports
//
// Loops: membership and ownership at a tick, the host list, and the streams `lists` and `claims-REGION`. All run on one thread;
// a loop that stops gets its last error into /status.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include <gateway/budgethost.h>
#include <gateway/callers.h>
#include <gateway/enginehost.h>
#include <gateway/node.h>
#include <gateway/services.h>
#include <platform/platform.h>

namespace baobabstall::gateway {

struct Addresses {
    net::Address callers;
    net::Address peers;
    net::Address operators;
};

class Daemon
{
public:
    Daemon(asio::io_context &io, const settings::Settings &settings, std::string key, core::Incarnation incarnation, logging::Log log);
    ~Daemon();
    Daemon(const Daemon &) = delete;
    Daemon &operator=(const Daemon &) = delete;

    /// Opens the ports and begins all loops.
    [[nodiscard]] std::optional<Addresses> start(core::Error &why);
    /// Planned stop: no new requests, hand over what is owned, let everything in flight end. Returns when done or at the time limit;
    /// false: requests were cut off by the limit.
    net::Task<bool> stop();

    /// Called once when a later run of this host is known: this process is to stop.
    void onOutdated(std::function<void()> callback) { onOutdated_ = std::move(callback); }

    /// Takes new requests: lists and hosts are known, and it is not stopping.
    [[nodiscard]] bool isReady() const;

private:
    // Loops.
    net::Task<void> tickLoop();
    [[nodiscard]] platform::FollowerEvents claimsEvents();
    [[nodiscard]] platform::FollowerEvents listsEvents();
    void takeClaims(core::Offset next);
    net::Task<void> askPeersForLists();
    void tick();
    void send(std::vector<peers::OutgoingMessage> messages);
    void takeHosts(const platform::HostList &hosts);
    void takeLists();
    net::Task<void> writeSnapshots();
    net::Task<void> pause(core::Milliseconds time);
    [[nodiscard]] bool isDrained() const;

    // Ownership.
    void carryOut(const ownership::OwnershipActions &plan);
    net::Task<void> appendClaim(ownership::ClaimRecord record);
    void gain(const ownership::Holding &holding);
    void handOver(const ownership::Holding &holding);
    void lose(const ownership::Holding &holding);
    void reportDrained();
    void noteOwnership(const ownership::Holding &holding, std::string_view change);
    void retire(const ownership::Resource &thing, const std::shared_ptr<OwnedHost> &host);

    // Peers.
    net::Task<void> serve(std::shared_ptr<peers::IncomingCall> call);
    void take(const core::HostId &from, const peers::Notice &notice);
    [[nodiscard]] peers::LinkHandlers linkHandlers();

    // Operators.
    net::Task<void> handleOperators(net::Exchange &exchange);
    [[nodiscard]] std::string statusBody() const;
    [[nodiscard]] std::string metricsBody();
    [[nodiscard]] std::string listsBody() const;
    [[nodiscard]] std::string traceBody(const core::RequestId &request, const std::vector<TraceStep> &steps) const;

    using OwnedKey = std::pair<ownership::Resource, core::Epoch>;
    struct Owned {
        std::shared_ptr<OwnedHost> host;
        bool isEnding = false; // handed over or lost: reported as drained once it is idle
    };
    struct LoopState {
        std::string lastError;    // empty: the last turn went well
        std::int64_t sinceMs = 0; // civil time since which it is so
    };
    void note(LoopState &state, const std::string &error);

    Node node_;
    platform::Endpoint endpoint_;
    platform::LogClient log_;
    platform::HostListFollower hosts_;
    platform::LogFollower claims_;
    platform::LogFollower lists_;
    core::Offset claimsKept_;                           // the oldest claim record that the log keeps
    std::vector<ownership::StreamRecord> claimRecords_; // read, and not yet given to the planner
    PermitSource permits_;
    ServiceCaller services_;
    CallerApi callers_;
    net::HttpServer callersServer_;
    net::HttpServer operatorsServer_;
    std::map<OwnedKey, Owned> owned_;                                 // everything owned, and what was lost but has not ended yet
    std::map<core::UpstreamId, std::shared_ptr<EngineHost>> engines_; // those that take calls
    std::map<int, std::shared_ptr<PartitionHost>> partitions_;        // likewise
    std::shared_ptr<BudgetHost> budget_;                              // likewise
    std::optional<core::Epoch> budgetEpoch_;                          // of the load budget's owner, as last seen
    LoopState logState_;
    LoopState hostsState_;
    std::int64_t hostsAsOfMs_ = 0;
    std::uint64_t reportedGossipBytes_ = 0; // already counted in the metrics
    std::function<void()> onOutdated_;
    bool hasHosts_ = false;
    bool isRunning_ = false;
};

} // namespace baobabstall::gateway
