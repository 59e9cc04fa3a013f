// quotas/quotahost.h: the credit that one host has of workspaces with a quota, and what it asks their owner for. No I/O.
//
//   QuotaHost host(session, now);                    // one for each partition of the workspaces; the session rises with each run
//   host.setQuotas(quotas, now);                     // after each change of the configuration; a lower limit takes effect at once
//   host.setHostCount(announced);
//   host.setAllowance(allowance);                    // of the deployment's settings
//   host.onNewOwner();                               // another host owns the partition
//   const auto charge = host.tryTake(workspace, amount, now);
//   if (charge.isTaken) ...                          // send it; host.giveBack(workspace, amount, chargedAt, now) when it was not run
//   else if (charge.mayAsk) ...                      // host.wait(workspace, amount), ask, tryAgain() after the grant, endWait()
//   else ...                                         // refuse; credit is there after charge.retryAfter
//   if (host.isAskDue(now)) send(host.makeAsk(now)); // every tick, and at once when a request begins to wait; only if an owner is known
//   host.onGrant(grant, now);
//
// Credit is asked for in advance by recent use, so that a request finds it here as a rule; what is not used goes back. Without an answer for
// Timing::fallbackAfter the host drops its credit and spends perSecond / hosts, from nothing on and without saving much (fallbackSeconds and its part of
// fallbackReserve()). A request of more than that depth is refused meanwhile. Before it is served again it tells the owner, which fills nothing for it until
// then.
//
// A workspace without a quota is not limited.
#pragma once

#include <set>
#include <unordered_map>

#include <quotas/credit.h>

namespace baobabstall::quotas {

struct Charge {
    bool isTaken = false;
    double amount = 0;          // taken; 0 of a workspace without a quota
    bool mayAsk = false;        // the owner may have credit; waiting for its answer makes sense
    Milliseconds retryAfter{0}; // of a refusal
};

class QuotaHost
{
public:
    struct Counts {
        double spent = 0;
        double givenBack = 0;      // charges that were not run
        std::uint64_t refused = 0; // without a question to the owner
    };

    QuotaHost(std::uint64_t session, Instant now)
        : session_(session)
        , answeredAskSentAt_(now - (Timing::fallbackAfter - Timing::fallbackAfterStart))
    { }

    void setQuotas(const Quotas &quotas, Instant now);
    void setHostCount(int hosts) { hostCount_ = hosts; }
    void setAllowance(const Allowance &allowance) { allowance_ = allowance; }
    void onNewOwner();

    [[nodiscard]] Charge tryTake(const WorkspaceId &workspace, double amount, Instant now);
    /// The same for a request that was tried before.
    [[nodiscard]] Charge tryAgain(const WorkspaceId &workspace, double amount, Instant now);
    /// A charge of `chargedAt` was not run.
    void giveBack(const WorkspaceId &workspace, double amount, Instant chargedAt, Instant now);
    /// A request of this amount waits for credit, from wait() until endWait().
    void wait(const WorkspaceId &workspace, double amount, Instant now);
    void endWait(const WorkspaceId &workspace, double amount);

    [[nodiscard]] bool isAskDue(Instant now);
    [[nodiscard]] Ask makeAsk(Instant now);
    /// Returns whether the grant counts: it answers the newest ask, and in time.
    bool onGrant(const Grant &grant, Instant now);

    [[nodiscard]] bool isInFallback(Instant now);
    [[nodiscard]] bool hasQuotas() const { return !accounts_.empty(); }
    [[nodiscard]] double held(const WorkspaceId &workspace) const;
    /// What requests could take at once: credit, or in fallback what is saved.
    [[nodiscard]] double spendable(const WorkspaceId &workspace, Instant now) const;
    [[nodiscard]] const Counts &counts() const { return counts_; }
    /// Typical time from an ask to its grant; for the caller's waits.
    [[nodiscard]] Milliseconds expectedWait() const { return expectedWait_; }

    static constexpr Milliseconds quickReport{40};      // after use, where little more than the rate may be out
    static constexpr Milliseconds slowReport{250};      // after use, elsewhere
    static constexpr Milliseconds askGap{20};           // between asks for requests that wait
    static constexpr Milliseconds emptyGap{100};        // the same after a grant that gave nothing
    static constexpr Milliseconds longestEmptyGap{400}; // others may want less by then than the owner thought

private:
    struct Account {
        Quota quota;
        double held = 0;
        double spentSinceAsk = 0; // of `held`; the owner still counts it as held
        double toReturn = 0;
        double givenBack = 0; // of charges that the owner was told of
        double fallbackStock = 0;
        Instant fallbackFilledAt;
        double perSecond = 0; // recent demand
        Instant demandAt;
        double typical = 0; // amount of a request
        Instant usedAt;
        std::multiset<double> waiting;
        double waitingSum = 0;
        std::optional<Instant> emptyUntil; // by the owner's word
        std::optional<Instant> askAgainAt;
        bool isDirty = false;  // the owner counts something else as held
        bool isListed = false; // in the ask under way
    };

    void update(Instant now);
    void beginFallback(Instant now);
    [[nodiscard]] double fallbackStockAt(const Account &account, Instant now) const;
    void fillFallback(Account &account, Instant now) const;
    [[nodiscard]] double share(const Account &account) const;
    [[nodiscard]] double fallbackDepth(const Account &account) const;
    [[nodiscard]] Charge take(Account &account, double amount, Instant now);
    [[nodiscard]] Charge takeInFallback(Account &account, double amount, Instant now);
    static void noteDemand(Account &account, double amount, Instant now);
    [[nodiscard]] static double demand(const Account &account, Instant now);
    [[nodiscard]] static bool isIdle(const Account &account, Instant now);
    [[nodiscard]] static bool hasLittleBurst(const Account &account);
    [[nodiscard]] static Milliseconds reportInterval(const Account &account);
    [[nodiscard]] static double target(const Account &account, Instant now);
    [[nodiscard]] bool isUrgent(const Account &account, Instant now) const;
    [[nodiscard]] bool isReportDue(const Account &account, Instant now) const;
    static void returnUnused(Account &account, Instant now);
    [[nodiscard]] static AskEntry entryFor(const WorkspaceId &id, const Account &account, Instant now);

    std::uint64_t session_;
    std::uint64_t sequence_ = 0;
    std::uint64_t answered_ = 0;
    Instant answeredAskSentAt_;        // of a former run: as late as it can have been
    std::optional<Instant> askSentAt_; // of the ask under way
    Instant lastAskAt_;
    Instant creditSince_; // earlier charges were not of an owner's credit
    bool isInFallback_ = false;
    bool isAskWanted_ = false; // a heartbeat at once: a new owner, or the end of a fallback
    int hostCount_ = 0;
    Allowance allowance_;
    Milliseconds expectedWait_{10};
    std::unordered_map<WorkspaceId, Account> accounts_;
    Counts counts_;
};

} // namespace baobabstall::quotas
