// gateway/budgethost.h: the region's load budget at its owner: open permit calls of the engines' owners. I/O.
#pragma once

#include <map>
#include <memory>

#include <engines/loadbudget.h>
#include <gateway/node.h>

namespace baobabstall::gateway {

class BudgetHost final : public OwnedHost, public std::enable_shared_from_this<BudgetHost>
{
public:
    BudgetHost(Node &node, core::Epoch epoch);

    /// Answers when a permit is due; the permit lasts until the caller cancels or its link is lost.
    net::Task<void> serve(std::shared_ptr<peers::IncomingCall> call, peers::PermitCall ask);
    void drain() override { lose(); }
    void lose() override;                                       // open asks are refused, so that they are asked at the next owner
    [[nodiscard]] bool isIdle() const override { return true; } // permits in use run out by themselves
    void close() override { timer_.cancel(); }
    [[nodiscard]] const engines::LoadBudget &budget() const { return budget_; }
    [[nodiscard]] core::Epoch epoch() const { return epoch_; }

private:
    struct AskKey {
        core::HostId host;
        core::UpstreamId engine;
        core::AdapterRef adapter;
        friend auto operator<=>(const AskKey &, const AskKey &) = default;
    };

    void pump();
    void grant(const engines::Grant &grant);

    Node &node_;
    core::Epoch epoch_;
    engines::LoadBudget budget_;
    asio::steady_timer timer_;
    std::map<AskKey, std::shared_ptr<peers::IncomingCall>> asks_; // newest call of each ask
    bool isClosed_ = false;
};

} // namespace baobabstall::gateway
