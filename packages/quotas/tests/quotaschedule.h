// quotas/tests/quotaschedule.h: random demand, messages and failures over a few hosts and owners of a quota, in virtual time.
#pragma once

#include <algorithm>
#include <cmath>
#include <memory>
#include <random>

#include <quotas/quotahost.h>
#include <quotas/quotaowner.h>

namespace baobabstall::quotas::tests {

inline constexpr double msPerSecond = 1'000;
inline constexpr Milliseconds step{10};
inline constexpr Milliseconds scheduleTime{12'000};
inline constexpr Milliseconds longestConfigDelay{400};

inline const WorkspaceId workspace("w");

/// What the bound allows beyond the burst, in seconds of perSecond: slackSeconds without a burst. With one, what a new owner keeps while an earlier one's
/// credit is out lies within the burst.
inline double slackOf(const Quota &quota)
{
    const double newOwner = std::max(depthOf(quota) - maxOutstanding(quota), stockSeconds * quota.perSecond);
    const double owners = std::max(depthOf(quota), maxOutstanding(quota) + newOwner);
    return std::min(slackSeconds, fallbackSeconds + (owners - quota.burst) / quota.perSecond);
}

/// One random schedule of demand, messages and failures over a few hosts, in steps of virtual time.
class Schedule
{
public:
    explicit Schedule(std::uint64_t seed)
        : random_(seed)
        , hostCount_(integer(1, 6))
    {
        quota_ = randomQuota();
        if (chance(0.4)) {
            allowance_ = {.windowSeconds = 8, .tolerance = quota_.perSecond * real(0, 4), .overage = real(0, 0.2)};
        }
        canAnyoneAct_ = chance(0.6);
        limits_.emplace_back(Instant(0), quota_);
        for (int i = 0; i < hostCount_; ++i) {
            auto &host = hosts_.emplace_back();
            host.id = HostId("h" + std::to_string(i));
            host.clockOffset = Milliseconds(integer(0, 100'000));
            host.quota = quota_;
            start(host);
        }
        owner_ = chance(0.9) ? integer(0, hostCount_ - 1) : -1;
        termBegins_ = Instant(0);
        lossShare_ = chance(0.5) ? 0 : real(0, 0.4);
        slowShare_ = chance(0.5) ? 0 : real(0, 0.5);
        troubleShare_ = chance(0.2) ? 0 : real(0, 0.015);
        demandFactor_ = real(0.5, 8);
    }
    Schedule(const Schedule &) = delete;
    Schedule &operator=(const Schedule &) = delete;
    virtual ~Schedule() = default;

    void run()
    {
        for (; now_ < Instant(0) + scheduleTime; now_ = now_ + step) {
            makeTrouble();
            deliver();
            for (auto &host : hosts_) {
                stepHost(host);
            }
            potentials_.push_back({now_, potential()});
        }
    }

    /// As if every quota were allowed slackSeconds: what slackOf() allows less is added. The most that was spent, or could have been at any moment with what
    /// hosts and owners had, beyond perSecond x W + burst in any window, in seconds of perSecond; the unit that the bound allows is taken off. Windows over
    /// changes of the limit are held against the highest of all limits, others against the limit that binds in them.
    [[nodiscard]] double excessSeconds() const
    {
        Quota highest;
        double reserve = 0;
        bool isAlwaysLimited = true;
        for (const auto &[since, quota] : limits_) {
            isAlwaysLimited &= !quota.isNone();
            reserve = std::max(reserve, fallbackReserve(quota, allowance_));
            highest = {std::max(highest.perSecond, quota.perSecond), std::max(highest.burst, quota.burst)};
        }
        const double tighter = limits_.size() == 1 ? slackSeconds - slackOf(quota_) : 0;
        double worst = isAlwaysLimited ? excessSeconds(highest, reserve, Instant(0), now_) + tighter : 0;
        for (std::size_t i = 0; limits_.size() > 1 && i < limits_.size(); ++i) {
            const auto &[since, quota] = limits_[i];
            const auto begin = i == 0 ? since : since + longestConfigDelay + Timing::grantLifetime;
            const auto end = i + 1 < limits_.size() ? limits_[i + 1].first : now_;
            if (!quota.isNone() && begin < end) {
                worst = std::max(worst, excessSeconds(quota, fallbackReserve(quota, allowance_), begin, end) + slackSeconds - slackOf(quota));
            }
        }
        return worst;
    }

    [[nodiscard]] double spent() const
    {
        double sum = 0;
        for (const auto &spend : spends_) {
            sum += spend.isGivenBack ? 0 : spend.amount;
        }
        return sum;
    }

protected:
    /// Of windows from `begin` until before `end`.
    [[nodiscard]] double excessSeconds(const Quota &quota, double reserve, Instant begin, Instant end) const
    {
        double level = 0; // of a bucket that drains at perSecond
        double highest = 0;
        auto spend = std::find_if(spends_.begin(), spends_.end(), [begin](const Spend &each) { return each.at >= begin; });
        for (const auto &[at, potential] : potentials_) {
            if (at < begin || at >= end) {
                continue;
            }
            level = std::max(0.0, level - quota.perSecond * static_cast<double>(step.count()) / msPerSecond);
            for (; spend != spends_.end() && spend->at <= at; ++spend) {
                level += spend->isGivenBack ? 0 : spend->amount;
            }
            highest = std::max(highest, level + potential);
        }
        return (highest - quota.burst - unitAmount - reserve) / quota.perSecond;
    }

    struct Spend {
        Instant at;
        double amount = 0;
        bool isGivenBack = false;
    };

    struct Potential {
        Instant at;
        double amount = 0;
    };

    struct Wait {
        double amount = 0;
        Instant until;
    };

    struct Host {
        HostId id;
        Milliseconds clockOffset{0};
        std::uint64_t session = 0;
        std::unique_ptr<QuotaHost> quotas;
        std::unique_ptr<QuotaOwner> ownerRole;
        int ownerTerm = -1; // of ownerRole
        int knownOwner = -1;
        int knownTerm = -1;
        Instant learnsOwnerAt;
        Instant frozenUntil;
        Instant deadUntil;
        Instant cutUntil;
        bool isCutOneWay = false; // it still sends
        Instant actsOnUntil;      // although it was replaced
        std::vector<Wait> waits;
        Quota quota;
        Instant learnsQuotaAt;
        std::size_t quotaVersion = 0;
    };

    struct Message {
        Instant at;
        int from = 0;
        int to = 0;
        std::optional<Ask> ask;
        std::optional<Grant> grant;
    };

    /// What callers that are greedy enough could have had at once.
    [[nodiscard]] double potential()
    {
        double sum = 0;
        for (auto &host : hosts_) {
            if (isUp(host)) {
                sum += host.quotas->spendable(workspace, clockOf(host));
                const bool acts = host.ownerRole && mayAct(host, static_cast<int>(&host - hosts_.data()));
                sum += acts ? host.ownerRole->stock(workspace, clockOf(host)) : 0;
            }
        }
        return sum;
    }

    int integer(int low, int high) { return std::uniform_int_distribution<int>(low, high)(random_); }
    double real(double low, double high)
    {
        constexpr int droppedBits = 11; // of a 64-bit number, so that the rest is exact in a double
        return low + (high - low) * std::ldexp(static_cast<double>(random_() >> droppedBits), droppedBits - 64);
    }
    bool chance(double share) { return real(0, 1) < share; }
    Instant in(int low, int high) { return now_ + Milliseconds(integer(low, high)); }

    Quota randomQuota()
    {
        const double perSecond = chance(0.2) ? real(0.5, 10) : real(20, 3'000);
        return {perSecond, chance(0.3) ? 0 : perSecond * real(0, 3)};
    }

    [[nodiscard]] Instant clockOf(const Host &host) const { return now_ + host.clockOffset; }
    [[nodiscard]] Quotas quotasOf(const Host &host) const { return {{workspace, host.quota}}; }
    [[nodiscard]] bool isUp(const Host &host) const { return now_ >= host.deadUntil && now_ >= host.frozenUntil; }

    void start(Host &host)
    {
        host.quotas = std::make_unique<QuotaHost>(++host.session, clockOf(host));
        host.quotas->setQuotas(quotasOf(host), clockOf(host));
        host.quotas->setHostCount(hostCount_);
        host.quotas->setAllowance(allowance_);
        host.ownerRole.reset();
        host.actsOnUntil = Instant(0);
        host.ownerTerm = -1;
        host.knownOwner = -1;
        host.knownTerm = -1;
        host.learnsOwnerAt = in(0, 1'000);
        host.waits.clear();
    }

    void kill(int index, int longestMs)
    {
        auto &host = hosts_[static_cast<std::size_t>(index)];
        host.deadUntil = in(0, longestMs);
        start(host);
        if (index == owner_) {
            endTerm(300, 3'500);
        }
    }

    /// The planner lets nobody act for a while, then another host, or the same one again.
    void endTerm(int least, int longest)
    {
        if (owner_ >= 0 && chance(0.4)) {
            hosts_[static_cast<std::size_t>(owner_)].actsOnUntil = in(0, longest + 4'000);
        }
        owner_ = integer(0, hostCount_ - 1);
        ++term_;
        termBegins_ = in(least, longest);
        for (auto &host : hosts_) {
            host.learnsOwnerAt = in(least, longest + (chance(0.5) ? 1'000 : 5'000));
        }
    }

    virtual void makeTrouble()
    {
        if (!chance(troubleShare_)) {
            return;
        }
        const auto index = integer(0, hostCount_ - 1);
        auto &host = hosts_[static_cast<std::size_t>(index)];
        switch (integer(0, 7)) {
        case 0:
            kill(index, 1'000);
            break;
        case 1:
            for (int each = 0; each < hostCount_; ++each) {
                kill(each, 800);
            }
            break;
        case 2:
            host.frozenUntil = in(50, 4'000);
            break;
        case 3:
            host.cutUntil = in(100, 5'000);
            host.isCutOneWay = chance(0.5);
            break;
        case 4:
            endTerm(0, 200); // handover
            break;
        case 5:
            if (owner_ >= 0) {
                hosts_[static_cast<std::size_t>(owner_)].frozenUntil = in(50, 4'000);
                if (chance(0.5)) {
                    endTerm(1'000, 3'000);
                }
            }
            break;
        case 6:
            for (int each = 0; each < hostCount_; ++each) {
                if (chance(0.5)) {
                    hosts_[static_cast<std::size_t>(each)].cutUntil = in(100, 4'000);
                }
            }
            break;
        default:
            changeQuota();
        }
    }

    void changeQuota()
    {
        const double perSecond = quota_.perSecond > 0 ? quota_.perSecond : 100;
        quota_ = chance(0.2) ? Quota() : Quota{perSecond * real(0.1, 3), quota_.burst * real(0, 2)};
        limits_.emplace_back(now_, quota_);
        for (auto &host : hosts_) {
            host.learnsQuotaAt = in(0, static_cast<int>(longestConfigDelay.count()));
        }
    }

    void send(Message message)
    {
        const int copies = chance(lossShare_) ? 0 : chance(lossShare_) ? 2 : 1;
        for (int i = 0; i < copies; ++i) {
            message.at = chance(slowShare_) ? in(10, 2'500) : in(shortestDelay_, longestDelay_);
            messages_.push_back(message);
        }
    }

    /// Whether a message gets out of the one host and into the other.
    [[nodiscard]] bool reaches(const Host &from, const Host &to) const
    {
        return &from == &to || ((now_ >= from.cutUntil || from.isCutOneWay) && now_ >= to.cutUntil);
    }

    void deliver()
    {
        for (std::size_t i = 0; i < messages_.size();) {
            const auto &message = messages_[i];
            auto &to = hosts_[static_cast<std::size_t>(message.to)];
            const auto &from = hosts_[static_cast<std::size_t>(message.from)];
            if (message.at > now_ || (now_ < to.frozenUntil && now_ >= to.deadUntil)) {
                ++i; // a frozen host reads it later
                continue;
            }
            const auto taken = message;
            messages_[i] = messages_.back();
            messages_.pop_back();
            if (now_ < to.deadUntil || !reaches(from, to)) {
                continue;
            }
            receive(to, taken);
        }
    }

    /// A host that has lost the store goes on as the owner until it learns of the next one.
    [[nodiscard]] bool mayAct(const Host &host, int index) const
    {
        const bool isOwner = index == owner_ && now_ >= termBegins_ && host.ownerTerm == term_;
        return canAnyoneAct_ || isOwner || (host.ownerRole && now_ < host.actsOnUntil);
    }

    void receive(Host &to, const Message &message)
    {
        if (message.grant) {
            to.quotas->onGrant(*message.grant, clockOf(to));
        } else if (mayAct(to, message.to)) {
            if (!to.ownerRole) {
                beginRole(to);
            }
            if (auto grant = to.ownerRole->onAsk(hosts_[static_cast<std::size_t>(message.from)].id, *message.ask, clockOf(to))) {
                send({.from = message.to, .to = message.from, .grant = std::move(grant)});
            }
        }
    }

    void beginRole(Host &host) const
    {
        host.ownerRole = std::make_unique<QuotaOwner>(clockOf(host));
        host.ownerRole->setQuotas(quotasOf(host), clockOf(host));
        host.ownerRole->setHostCount(hostCount_, clockOf(host));
    }

    void stepHost(Host &host)
    {
        if (!isUp(host)) {
            return;
        }
        const int index = static_cast<int>(&host - hosts_.data());
        const auto clock = clockOf(host);
        if (host.quotaVersion + 1 != limits_.size() && now_ >= host.learnsQuotaAt) {
            host.quotaVersion = limits_.size() - 1;
            host.quota = quota_;
            host.quotas->setQuotas(quotasOf(host), clock);
            if (host.ownerRole) {
                host.ownerRole->setQuotas(quotasOf(host), clock);
            }
        }
        if (index == owner_ && now_ >= termBegins_ && host.ownerTerm != term_ && !canAnyoneAct_) {
            host.ownerTerm = term_;
            beginRole(host);
        }
        if (host.ownerRole && now_.sinceOrigin() % 500 < step.count()) {
            host.ownerRole->expire(clock);
        }
        if (host.knownTerm != term_ && now_ >= host.learnsOwnerAt) {
            host.knownTerm = term_;
            host.knownOwner = owner_;
            host.quotas->onNewOwner();
        }
        useCredit(host, clock);
        if (host.knownOwner >= 0 && host.quotas->isAskDue(clock)) {
            send({.from = index, .to = host.knownOwner, .ask = host.quotas->makeAsk(clock)});
        }
    }

    void useCredit(Host &host, Instant clock)
    {
        if (chance(0.005)) {
            isBusy_ = !isBusy_; // all callers pause, or come back together
        }
        auto &quotas = *host.quotas;
        std::erase_if(host.waits, [&](const Wait &wait) {
            const bool isTaken = take(host, wait.amount, clock, true).isTaken;
            if (isTaken || now_ >= wait.until) {
                quotas.endWait(workspace, wait.amount);
                return true;
            }
            return false;
        });
        makeDemand(host, clock);
    }

    virtual void makeDemand(Host &host, Instant clock)
    {
        const double perStep = demandFactor_ * std::max(host.quota.perSecond, 1.0) / hostCount_ * static_cast<double>(step.count()) / msPerSecond;
        for (double left = isBusy_ ? perStep : 0; left > 0;) {
            const double amount = std::ceil(std::max(1.0, real(0.01, 0.15) * host.quota.perSecond));
            if (left < amount && !chance(left / amount)) {
                break;
            }
            left -= amount;
            const auto charge = take(host, amount, clock);
            if (!charge.isTaken && charge.mayAsk) {
                host.waits.push_back({amount, in(20, 150)});
                host.quotas->wait(workspace, amount, clock);
            }
        }
        if (chance(0.01)) {
            giveBackSome(host, clock, 0.3, Milliseconds(1'500));
        }
    }

    Charge take(Host &host, double amount, Instant clock, bool isAgain = false)
    {
        const auto charge = isAgain ? host.quotas->tryAgain(workspace, amount, clock) : host.quotas->tryTake(workspace, amount, clock);
        if (charge.isTaken) {
            spends_.push_back({now_, amount});
            owners_.push_back(&host);
            sessions_.push_back(host.session);
        }
        return charge;
    }

    void giveBackSome(Host &host, Instant clock, double share, Milliseconds within)
    {
        for (std::size_t i = spends_.size(); i > 0 && now_ - spends_[i - 1].at < within; --i) {
            auto &spend = spends_[i - 1];
            if (owners_[i - 1] == &host && sessions_[i - 1] == host.session && !spend.isGivenBack && chance(share)) {
                spend.isGivenBack = true;
                host.quotas->giveBack(workspace, spend.amount, spend.at + host.clockOffset, clock);
            }
        }
    }

    std::mt19937_64 random_;
    int hostCount_;
    std::vector<Host> hosts_;
    std::vector<Message> messages_;
    std::vector<Spend> spends_;
    std::vector<Potential> potentials_; // one for each step
    std::vector<const Host *> owners_;  // of spends_
    std::vector<std::uint64_t> sessions_;
    std::vector<std::pair<Instant, Quota>> limits_;
    Quota quota_;
    Instant now_{0};
    int owner_ = -1;
    int term_ = 0;
    Instant termBegins_;
    double lossShare_ = 0;
    double slowShare_ = 0;
    double troubleShare_ = 0;
    double demandFactor_ = 1;
    bool isBusy_ = true;
    Allowance allowance_;
    bool canAnyoneAct_ = false; // whoever is asked answers
    int shortestDelay_ = 1;     // ms; of a message that is not slow
    int longestDelay_ = 20;     // the same
};

} // namespace baobabstall::quotas::tests
