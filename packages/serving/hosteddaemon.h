// serving/hosteddaemon.h: the daemon of one entry host on a platform with a shared store. I/O; one thread.
//
//   HostedDaemon daemon(io, settings, codec, store, incarnation, log);
//   auto addresses = daemon.start(why);
//   co_await daemon.stop(); // after SIGTERM
//
// Loops: three topics are followed (operators, upstreams, control); a tick drives membership and ownership; counts of running
// requests are summed over all hosts (loadexchange.h), and the adapters that they use are told to the owners of upstreams.
#pragma once

#include <deque>
#include <map>
#include <memory>
#include <set>

#include <engines/loadbudget.h>
#include <ownership/planner.h>
#include <peers/link.h>
#include <peers/membership.h>
#include <serving/callers.h>
#include <serving/follower.h>
#include <serving/forwarder.h>
#include <serving/hostgroups.h>
#include <serving/loadexchange.h>
#include <serving/ownedreplica.h>

namespace baobabstall::serving {

class HostedDaemon final : public ResidencySource
{
public:
    HostedDaemon(boost::asio::io_context &io,
                 const settings::Settings &settings,
                 const Codec &codec,
                 StoreLike &store,
                 core::Incarnation incarnation,
                 logging::Log log);
    ~HostedDaemon() override;

    /// False, with the reason, when a port can't be opened.
    [[nodiscard]] bool start(core::Error &why);
    /// Not ready at once, serves what comes until callers have left, ends before the grace time is over.
    net::Task<void> stop();
    /// Takes settings that may change while running; logs which did not.
    void reload(const settings::Settings &settings);
    /// The settings file was changed into something wrong.
    void keepSettings(const core::Error &why) { node_.log.error("settings_wrong", why); }

    net::Task<std::optional<ResidencyGrant>> ensure(ResidencyWish wish, core::Error &why) override;
    [[nodiscard]] bool canOrder(const UpstreamId &replica) const override;

private:
    struct Announced {
        net::Address peers;
        ZoneId zone;
        double linkMbps = 0;
    };

    [[nodiscard]] bool isReady() const;
    net::Task<void> handleOperators(net::Exchange &exchange);
    net::Task<void> handleMetrics(net::Exchange &exchange);
    void updateGauges();

    // Operators' topic.
    void takeOperators(const StoreRecord &record);
    void takeConfiguration(const StoreRecord &record);
    // Upstreams' topic.
    void takeUpstreamListing(const StoreListing &listing);
    void takeUpstream(const StoreRecord &record);
    [[nodiscard]] std::optional<ReplicaRecord> readUpstream(const StoreRecord &each) const;
    void noteUnreadable(Topic topic, const StoreRecord &record, const core::Error &why) const;
    void noteChange(const UpstreamId &id, BookChange change);
    void updateThings();
    // Control topic.
    void takeControl(const std::vector<StoreRecord> &records, core::Offset next);
    void takeAnnouncement(const StoreRecord &record);
    void openLinks(const std::string &key);
    net::Task<void> announce();
    [[nodiscard]] Milliseconds turnOf(const std::string &what) const; // to write, where all hosts may want to at once
    void useCopy();
    net::Task<void> keepCopy();
    net::Task<void> appendClaims(std::vector<ownership::ClaimRecord> records);
    // Ownership.
    net::Task<void> tickLoop();
    void tick();
    void send(std::vector<peers::Outgoing> messages);
    void carryOut(const ownership::Plan &plan);
    void gain(const ownership::Holding &holding);
    void lose(const ownership::Holding &holding, std::string_view how);
    [[nodiscard]] std::optional<ResidencyOptions> residencyOptions(const ReplicaRecord &record, ModelSpec &model) const;
    [[nodiscard]] std::optional<HostId> ownerOf(const UpstreamId &replica) const;
    // Peers.
    [[nodiscard]] peers::LinkHandlers linkHandlers();
    net::Task<void> serve(std::shared_ptr<peers::IncomingCall> call);
    using OnWaiting = std::function<void(Milliseconds)>;
    net::Task<std::optional<ResidencyGrant>> ensureHere(ResidencyWish wish, OnWaiting onWaiting, core::Error &why);
    net::Task<std::optional<ResidencyGrant>> ensureThere(HostId owner, ResidencyWish wish, core::Error &why);
    void takeNotice(const HostId &from, const peers::Notice &notice);
    void takeUses(const HostId &from, const peers::UsesNotice &notice);
    void tellUses();
    void exchangeLoads();
    void useLoads();
    void share(Topic topic, const SharedPage &shared);
    void sendFeed(const peers::FeedNotice &feed, const std::vector<HostId> &hosts);
    void takeFeed(const HostId &from, const peers::FeedNotice &feed);
    void updateGroups();

    Node node_;
    StoreLike &store_;
    net::HttpClient orders_;
    peers::Membership membership_;
    ownership::OwnershipPlanner planner_;
    std::unique_ptr<peers::Links> links_;
    Forwarder forwarder_;
    CallerServer callers_;
    net::HttpServer operators_;
    net::HttpServer metricsPage_;
    TopicFollower operatorsTopic_;
    TopicFollower upstreamsTopic_;
    TopicFollower controlTopic_;
    core::Incarnation incarnation_;
    std::map<HostId, Announced> announced_;
    std::map<HostId, Instant> silentUntil_;       // owners that did not answer
    std::map<UpstreamId, Instant> noOrdersUntil_; // upstreams whose owner could not order anything
    std::map<UpstreamId, std::shared_ptr<OwnedReplica>> owned_;
    HostGroups groups_; // hosts that share reads of the store, and counts of running requests
    LoadExchange exchange_;
    std::uint64_t loadTicks_ = 0;
    std::map<HostId, std::set<UpstreamId>> reported_; // upstreams whose adapters in use each owner was told of the last time
    std::optional<engines::FallbackBudget> loads_;
    std::string key_;
    std::string copy_; // of the upstreams, as it lies in the store
    bool isCopying_ = false;
    bool isAppending_ = false;
    bool isAnnounced_ = false;
    bool isRunning_ = false;
    std::uint64_t thingsVersion_ = ~std::uint64_t(0);
    Instant claimsFrom_; // hosts that start together claim one after the other, each in its turn from here on
    Milliseconds claimEach_{0};
    Instant lastTick_;
    Instant nextHousekeeping_;
};

} // namespace baobabstall::serving
