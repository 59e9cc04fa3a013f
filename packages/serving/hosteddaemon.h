// serving/hosteddaemon.h: the daemon of one entry host on a platform with a shared store. I/O; one thread.
//
//   HostedDaemon daemon(io, settings, codec, store, incarnation, log);
//   if (!daemon.start(why)) { ... }
//   co_await daemon.stop(); // after SIGTERM
//
// Background work: the daemon follows three topics of the store (operators, upstreams, control). A periodic tick drives
// membership and ownership, sums the counts of running requests over all hosts (loadexchange.h), and reports the adapters in
// use to the owners of the upstreams.
#pragma once

#include <deque>
#include <map>
#include <memory>
#include <set>
#include <span>

#include <engines/loadbudget.h>
#include <ownership/planner.h>
#include <peers/link.h>
#include <peers/membership.h>
#include <serving/callers.h>
#include <serving/crashexchange.h>
#include <serving/follower.h>
#include <serving/forwarder.h>
#include <serving/hostgroups.h>
#include <serving/loadexchange.h>
#include <serving/newestconfiguration.h>
#include <serving/ownedreplica.h>
#include <serving/paceexchange.h>
#include <serving/prefillgate.h>
#include <serving/quotaexchange.h>
#include <serving/relayexchange.h>
#include <serving/sendgate.h>
#include <serving/storepages.h>
#include <serving/streamexchange.h>
#include <serving/unreadablerecords.h>
#include <serving/versionproof.h>
#include <serving/versionwriter.h>

namespace baobabstall::serving {

class HostedDaemon final : public ResidencySource
{
public:
    HostedDaemon(boost::asio::io_context &io,
                 const settings::Settings &settings,
                 const Codec &codec,
                 AbstractStore &store,
                 core::Incarnation incarnation,
                 logging::Log log);
    ~HostedDaemon() override;

    /// Returns false and sets `why` when a port can't be opened.
    [[nodiscard]] bool start(core::Error &why);
    /// Reports not ready immediately, serves requests until the callers have disconnected, and returns before the grace period ends.
    net::Task<void> stop();
    /// Applies the settings that may change at run time; logs whether others need a restart.
    void reload(const settings::Settings &settings);
    /// Logs that answers of the store name no readable era; offsets are taken as those of the last era.
    void onUnreadableStoreEra(const core::Error &why) { node_.log.warn("store_era_unreadable", why); }
    void onUnreadableStoreEntry(const core::Error &why) { node_.log.warn("record_unreadable", why); }
    /// Logs that the changed settings file is invalid; the current settings stay in force.
    void onSettingsRejected(const core::Error &why) { node_.log.error("settings_wrong", why); }

    net::Task<std::optional<ResidencyGrant>> ensure(ResidencyRequest request, core::Error &why) override;
    net::Task<PrefillTurn> takePrefillTurn(PrefillRequest request) override;
    net::Task<SendPermit> takeSendPermit(SendRequest request) override;
    net::Task<bool> takeProbe(std::vector<CrashCause> causes) override;
    [[nodiscard]] bool canOrder(const UpstreamId &replica) const override;

private:
    struct HostAnnouncement {
        net::Address peerAddress;
        ZoneId zone;
        double linkMbps = 0;
    };

    void logClosedConnection(const ConnectionEnd &end);
    void spreadFirstReads();
    [[nodiscard]] bool isReady() const;
    net::Task<void> handleOperatorRequest(net::Exchange &exchange);
    net::Task<void> handleMetricsRequest(net::Exchange &exchange);
    void updateGauges();

    // Operators topic.
    void applyOperatorRecords(std::span<const StoreRecord> records);
    void applyRevision(const StoreRecord &record);
    void applyConfiguration(PlacedConfiguration newest, Instant begin); // `begin`: of the work on its page
    // Upstreams topic.
    void applyUpstreamListing(const StoreListing &listing);
    void applyUpstreamRecord(const StoreRecord &record);
    [[nodiscard]] std::optional<ReplicaRecord> parseUpstreamRecord(const StoreRecord &each);
    void logUnreadableRecord(Topic topic, const StoreRecord &record, const core::Error &why);
    /// `isEnded`: the change may mean that a run of the upstream has ended.
    void onUpstreamChange(const UpstreamId &id, BookChange change, bool isEnded = true);
    void updateResources();
    // Control topic.
    void applyControlRecords(const std::vector<StoreRecord> &records, core::Offset next);
    void applyHostAnnouncement(const StoreRecord &record);
    void openLinks(const std::string &key);
    void applyControlListing(const StoreListing &listing);
    void beginControlEra();
    void startAnnouncing();
    net::Task<void> announceHost();
    net::Task<void> settleEra();
    [[nodiscard]] Milliseconds appendDelay(const std::string &key) const; // spreads appends that all hosts may attempt at once
    void applyUpstreamCopy(const std::string &text);
    void loadUpstreamCopy();
    net::Task<void> saveUpstreamCopy();
    net::Task<void> appendClaims(std::vector<ownership::ClaimRecord> records);
    // Ownership.
    net::Task<void> tickLoop();
    void tickOnce();
    void tick();
    void logMembers(const std::vector<peers::Member> &changes) const;
    void sendMessages(std::vector<peers::OutgoingMessage> messages);
    void applyOwnershipActions(const ownership::OwnershipActions &actions);
    void onOwnershipGained(const ownership::Holding &holding);
    void onOwnershipLost(const ownership::Holding &holding, std::string_view change);
    [[nodiscard]] std::optional<EngineSpec> engineOf(const ReplicaRecord &record) const; // by the configuration in force
    void updateOwnedReplicas();
    void updateOwnedReplica(const ownership::Holding &holding);
    [[nodiscard]] OwnedReplicaCallbacks ownedReplicaCallbacks(const ownership::Holding &holding);
    [[nodiscard]] engines::FallbackBudget &modelLoadBudget(const ServiceName &service);
    void tellLimitEnded(const UpstreamId &id);
    void tellRefused(const UpstreamId &id);
    void tellBrittle();
    [[nodiscard]] std::optional<int> reportedLoad(const UpstreamId &id) const; // requests of all hosts at the upstream
    [[nodiscard]] bool mayGrantSends(const UpstreamId &id) const;              // this host owns the upstream, and the ownership is valid now
    [[nodiscard]] std::optional<HostId> ownerOf(const UpstreamId &replica) const;
    [[nodiscard]] QuotaExchange::Ownership quotaOwnership() const;
    // Peers.
    [[nodiscard]] peers::LinkHandlers linkHandlers();
    net::Task<void> handleCall(std::shared_ptr<peers::IncomingCall> call);
    using WaitCallback = std::function<void(Milliseconds)>;
    net::Task<std::optional<ResidencyGrant>> ensureLocally(ResidencyRequest request, WaitCallback onWaiting, core::Error &why);
    net::Task<std::optional<ResidencyGrant>> ensureAtOwner(HostId owner, ResidencyRequest request, core::Error &why);
    void handleNotice(const HostId &from, const peers::Notice &notice);
    void handleAdapterUses(const HostId &from, const peers::UsesNotice &notice);
    void sendAdapterUses();
    void exchangeLoads();
    void applyLoads();
    void updateGroups();
    // Reachability of upstreams.
    void checkReachability();
    void onReachabilityChange();
    net::Task<void> probeUpstream(UpstreamId id);

    Node node_;
    AbstractStore &store_;
    net::HttpClient orderClient_;
    peers::Membership membership_;
    ownership::OwnershipPlanner planner_;
    std::unique_ptr<peers::Links> links_;
    Forwarder forwarder_;
    RelayExchange relayExchange_;
    PrefillGate prefillGate_;
    SendGate sendGate_;
    QuotaExchange quotaExchange_;
    CallerServer callerServer_;
    net::HttpServer operatorServer_;
    net::HttpServer metricsServer_;
    TopicFollower operatorsTopic_;
    TopicFollower upstreamsTopic_;
    TopicFollower controlTopic_;
    core::Incarnation incarnation_;
    UnreadableRecords unreadable_;
    std::string lastTickException_;
    std::map<HostId, HostAnnouncement> announcedHosts_;
    std::map<HostId, Instant> unresponsiveUntil_;     // owners that did not respond
    std::map<HostId, Instant> turnBackoffUntil_;      // owners that gave no turn in time
    std::map<UpstreamId, Instant> orderBackoffUntil_; // upstreams whose owner could not issue orders
    std::map<UpstreamId, std::shared_ptr<OwnedReplica>> ownedReplicas_;
    HostGroups groups_; // hosts that share store reads and counts of running requests
    VersionWriter versionWriter_;
    VersionProof versionProof_;
    StorePages storePages_;
    CrashExchange crashExchange_;
    StreamExchange streamExchange_;
    LoadExchange loadExchange_;
    PaceExchange paceExchange_;
    std::uint64_t loadExchangeTicks_ = 0;
    std::map<HostId, Instant> silentOwners_;                          // until when; see takeSendPermit()
    std::map<UpstreamId, Instant> brittleToldAt_;                     // owned upstreams, to all hosts
    std::map<HostId, std::set<UpstreamId>> reportedUses_;             // per owner: upstreams in the last report of adapters in use
    std::map<ServiceName, engines::FallbackBudget> modelLoadBudgets_; // of this host's share
    std::string linkKey_;
    bool hasControlListing_ = false;
    bool isKeyStored_ = false;  // the control topic, as far as read in its era, has a key for the links
    core::StoreEra settledEra_; // see settleEra()
    Instant settleEraAt_;
    bool isSettlingEra_ = false;
    bool isAnnouncing_ = false;
    std::vector<ReplicaRecord> copiedUpstreams_; // as stored in the control topic
    std::string copiedContent_;                  // the same, see copyContent()
    bool hasVersionHistory_ = false;             // of the time before this host started, as far as there is any
    bool isSavingCopy_ = false;
    bool isAppendingClaims_ = false;
    bool wasCutOff_ = false; // as last logged
    std::set<HostId> cutOffHosts_;
    bool isAnnounced_ = false;
    bool isRunning_ = false;
    std::uint64_t resourcesVersion_ = ~std::uint64_t(0);
    Instant claimsStartAt_; // hosts that start together append their claims one after the other from this time on
    Milliseconds claimStagger_{0};
    Instant startedAt_;
    Instant lastTick_;
    Instant nextHousekeeping_;
};

} // namespace baobabstall::serving
