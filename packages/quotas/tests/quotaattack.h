// quotas/tests/quotaattack.h: schedules that are greedier than random ones.
#pragma once

#include <array>

#include "quotaschedule.h"

namespace baobabstall::quotas::tests {

/// Quiet, so that all saves up; then hosts spend all there is as soon as it is there, around failures.
class Attack : public Schedule
{
public:
    explicit Attack(std::uint64_t seed)
        : Schedule(seed)
    {
        owner_ = std::max(owner_, 0);
        canAnyoneAct_ = chance(0.85);
        constexpr std::array delays{20, 20, 60, 200, 245, 245, 300, 490}; // with two of 245 ms a grant comes just in time
        longestDelay_ = delays.at(static_cast<std::size_t>(integer(0, delays.size() - 1)));
        shortestDelay_ = longestDelay_ - 15;
        lossShare_ = chance(0.6) ? 0 : real(0, 0.3);
        slowShare_ = chance(0.7) ? 0 : real(0, 0.3);
        failureKinds_ = {integer(0, 8), integer(0, 8)};
        beginRound();
    }

private:
    void beginRound()
    {
        constexpr std::array offsets{-3'000, -2'400, -1'800, -1'250, -700, -300, -100, -10, 0, 50, 300, 900}; // of the times that both sides rely on
        attackAt_ = in(400, chance(0.5) ? 1'500 : 4'500);
        attackEnd_ = attackAt_ + Milliseconds(integer(200, 3'000));
        isTrickling_ = chance(0.6);
        givesBack_ = chance(0.3);
        attackAmount_ = chance(0.5) ? 1 : real(0.01, 0.2);
        failures_.clear();
        for (int i = integer(0, 4); i > 0; --i) {
            const Milliseconds offset(offsets.at(static_cast<std::size_t>(integer(0, offsets.size() - 1))) + integer(-60, 60));
            failures_.push_back(std::max(now_, attackAt_ + offset));
        }
        const double hotShare = chance(0.3) ? 1 : real(0.1, 0.9);
        isHot_.resize(hosts_.size());
        for (std::size_t i = 0; i < hosts_.size(); ++i) {
            isHot_[i] = chance(hotShare);
        }
        isHot_[static_cast<std::size_t>(integer(0, hostCount_ - 1))] = true;
    }

    void makeDemand(Host &host, Instant clock) override
    {
        if (now_ < attackAt_) {
            demandFactor_ = isTrickling_ ? trickle : 0;
            Schedule::makeDemand(host, clock);
        } else if (isHot_.at(static_cast<std::size_t>(&host - hosts_.data()))) {
            spendAll(host, clock);
        }
    }

    void makeTrouble() override
    {
        if (now_ >= attackEnd_) {
            beginRound();
        }
        if (givesBack_ && now_ - attackAt_ >= Milliseconds(0) && now_ - attackAt_ < step) {
            for (auto &host : hosts_) {
                if (isUp(host)) {
                    giveBackSome(host, clockOf(host), 1, Milliseconds(5'000));
                }
            }
        }
        const auto due = static_cast<std::size_t>(std::erase_if(failures_, [this](Instant when) { return now_ >= when; }));
        for (std::size_t i = 0; i < due; ++i) {
            fail(failureKinds_.at(static_cast<std::size_t>(integer(0, 1))));
        }
    }

    void fail(int kind)
    {
        const auto next = integer(0, hostCount_ - 1);
        switch (kind) {
        case 0:
            kill(owner_, 300);
            break;
        case 1: // hosts don't agree on an owner
            for (auto &host : hosts_) {
                moveTo(host, integer(0, hostCount_ - 1));
            }
            break;
        case 2: // all at once
            owner_ = next;
            for (auto &host : hosts_) {
                moveTo(host, next);
            }
            break;
        case 3:
            for (auto &host : hosts_) {
                if (&host != &hosts_[static_cast<std::size_t>(owner_)] && chance(0.7)) {
                    host.frozenUntil = std::max(attackAt_, in(0, 2'500));
                }
            }
            break;
        case 4:
            hosts_[static_cast<std::size_t>(owner_)].frozenUntil = chance(0.5) ? attackAt_ : in(100, 3'000);
            break;
        case 5:
            hosts_[static_cast<std::size_t>(owner_)].cutUntil = in(300, 3'500);
            hosts_[static_cast<std::size_t>(owner_)].isCutOneWay = chance(0.5);
            break;
        case 6:
            for (int each = 0; each < hostCount_; ++each) {
                if (chance(0.8)) {
                    kill(each, 100);
                }
            }
            break;
        case 7:
            for (auto &host : hosts_) {
                if (chance(0.5)) {
                    host.cutUntil = in(200, 4'000);
                    host.isCutOneWay = chance(0.3);
                }
            }
            break;
        default: // of one host, again and again
            kill(next, 20);
            failures_.push_back(in(100, 1'000));
        }
    }

    void moveTo(Host &host, int owner)
    {
        if (isUp(host) && host.knownOwner != owner) {
            host.knownTerm = term_;
            host.knownOwner = owner;
            host.quotas->onNewOwner();
        }
    }

    /// Takes whatever is there.
    void spendAll(Host &host, Instant clock)
    {
        const double amount
            = std::ceil(std::max(1.0, attackAmount_ < 1 ? attackAmount_ * host.quota.perSecond : std::max(attackAmount_, host.quota.perSecond / 100)));
        constexpr int mostAtOnce = 400;
        for (int i = 0; i < mostAtOnce; ++i) {
            const auto charge = take(host, amount, clock);
            if (charge.isTaken) {
                continue;
            }
            constexpr std::size_t mostWaiting = 8;
            if (charge.mayAsk && host.waits.size() < mostWaiting) {
                host.waits.push_back({amount, in(100, 600)});
                host.quotas->wait(workspace, amount, clock);
            }
            break;
        }
    }

    static constexpr double trickle = 0.3; // of the quota
    Instant attackAt_;
    Instant attackEnd_;
    std::vector<bool> isHot_; // in the attack
    bool isTrickling_ = false;
    bool givesBack_ = false;  // charges from before the attack, when it begins
    double attackAmount_ = 1; // of a request; below 1: in seconds of perSecond
    std::array<int, 2> failureKinds_{};
    std::vector<Instant> failures_;
};

} // namespace baobabstall::quotas::tests
