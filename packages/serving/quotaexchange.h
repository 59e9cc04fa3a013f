// serving/quotaexchange.h: charges requests to the quotas of their workspaces over all hosts; sends what packages/quotas has for other hosts over
// the links. I/O; one thread.
//
//   QuotaExchange exchange(node, incarnation, {.ownerOf = ...});
//   exchange.setWorkspaces(quotas);                 // after each change of the configuration; a lower limit takes effect at once
//   if (exchange.hasQuotas()) ...                   // resources() are to have owners
//   exchange.setLinks(links);
//   exchange.setHosts(announced);
//   exchange.noteHost(host, true);                  // it understands asks; one of an earlier build would close its link
//   exchange.tick();                                // every 100 ms
//   exchange.onAsk(from, notice);                   // a peer asks; answered by any host that is asked
//   exchange.onGrant(from, notice);
//   const auto decision = co_await exchange.take(workspace, amount, maxWait);
//   if (!decision.isGranted) ...                    // 429, with decision.retryAfter
//   exchange.giveBack(decision.charge);             // the request was not run
//
// Charge a request as close to its send as possible: what counts for a quota is when requests are sent.
//
// The workspaces are put into partitions by their names, each with one owner; a stand-in is asked while none is known that answers. Without workspaces that
// have a quota nothing is sent.
#pragma once

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <set>

#include <boost/asio/steady_timer.hpp>

#include <ownership/claims.h>
#include <peers/link.h>
#include <quotas/ownerchoice.h>
#include <quotas/quotahost.h>
#include <quotas/quotaowner.h>
#include <serving/node.h>

namespace baobabstall::serving {

class QuotaExchange final : public QuotaSource
{
public:
    static constexpr int partitions = 2;

    struct Ownership {
        std::function<std::optional<ownership::Owner>(int partition)> ownerOf; // that may be asked; nothing: none is known
    };

    QuotaExchange(Node &node, core::Incarnation incarnation, Ownership ownership);

    void setLinks(peers::Links &links) { links_ = &links; }
    void setHosts(int announced);
    void noteHost(const HostId &host, bool understandsAsks);
    void setWorkspaces(const std::map<WorkspaceId, WorkspaceQuota> &workspaces);
    [[nodiscard]] bool hasQuotas() const { return hasQuotas_; }
    /// What is to have an owner: nothing while no workspace has a quota.
    [[nodiscard]] std::vector<ownership::Resource> resources() const;
    void tick();
    void onAsk(const HostId &from, const peers::QuotaAskNotice &notice);
    void onGrant(const HostId &from, const peers::QuotaGrantNotice &notice);

    net::Task<QuotaDecision> take(WorkspaceId workspace, double amount, Milliseconds maxWait) override;
    void giveBack(const QuotaCharge &charge) override;

    [[nodiscard]] static int partitionOf(const WorkspaceId &workspace);

private:
    using Waiter = std::shared_ptr<boost::asio::steady_timer>;

    struct Partition {
        Partition(quotas::QuotaHost credit, quotas::OwnerChoice ownerChoice)
            : host(std::move(credit))
            , choice(std::move(ownerChoice))
        { }

        quotas::QuotaHost host;
        quotas::Quotas limits;
        quotas::OwnerChoice choice;
        std::optional<HostId> asked;             // the owner or a stand-in
        core::Epoch namedEpoch;                  // of the owner as claimed
        std::optional<quotas::QuotaOwner> owned; // since this host was first asked
        std::vector<Waiter> waiters;
        bool wasInFallback = false;
        quotas::QuotaHost::Counts told; // in metrics
        quotas::QuotaOwner::Counts ownedTold;
    };

    [[nodiscard]] Partition &partitionFor(const WorkspaceId &workspace) { return parts_.at(static_cast<std::size_t>(partitionOf(workspace))); }
    void followOwner(int index);
    void askIfDue(int index);
    [[nodiscard]] std::optional<quotas::Grant> answer(int index, const HostId &from, const quotas::Ask &ask);
    void apply(Partition &part, const quotas::Grant &grant);
    void logFallback(int index);
    void countCredit(int index);

    Node &node_;
    Ownership ownership_;
    std::vector<Partition> parts_;
    peers::Links *links_ = nullptr;
    int hostCount_ = 0;
    std::set<HostId> standIns_; // that may be asked while no owner is known that answers
    bool hasQuotas_ = false;
    std::uint64_t ticks_ = 0;
};

} // namespace baobabstall::serving
