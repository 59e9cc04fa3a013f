// All hosts of a deployment in front of one limited upstream, on virtual time: real limits and rates; answers, calls and faults are simulated.
#include <serving/sendrate.h>

#include <algorithm>
#include <deque>
#include <functional>
#include <memory>
#include <random>

#include <gtest/gtest.h>

#include "virtualtime.h"

namespace baobabstall::serving {
namespace {

const UpstreamId upstream("i-1");
constexpr Milliseconds window{4'000};

class LimitedFleet : public tests::VirtualTime
{
public:
    LimitedFleet(int hosts, double perSecond, double demand, int seed)
        : hosts_(static_cast<std::size_t>(hosts))
        , perSecond_(perSecond)
        , demand_(demand)
        , random_(static_cast<std::uint64_t>(seed))
    {
        owner_ = std::make_unique<SendRate>();
        scheduleNextRequest();
    }

    void setLimited(bool isLimited) { isLimited_ = isLimited; }
    /// Another host becomes owner, or the owner starts again.
    void replaceOwner() { owner_ = std::make_unique<SendRate>(); }
    void setOwnerReached(std::size_t host, bool isReached) { hosts_[host].isOwnerReached = isReached; }
    void restart(std::size_t host)
    {
        hosts_[host].limits = UpstreamLimits();
        hosts_[host].toldAt.reset();
    }
    /// The host uses its permits and handles answers only after `until`.
    void suspend(std::size_t host, Instant until)
    {
        hosts_[host].suspendedUntil = until;
        hosts_[host].toldAt.reset(); // excused
    }
    int draw(int from, int to) { return std::uniform_int_distribution<int>(from, to)(random_); }
    [[nodiscard]] std::size_t hostCount() const { return hosts_.size(); }

    /// The most requests in one window of those that came from hosts that had passed on an answer with the limit 0.5 s before.
    [[nodiscard]] int most() const
    {
        int most = 0;
        std::deque<Instant> recent;
        for (const auto &arrival : arrivals_) {
            if (!arrival.isTold) {
                continue;
            }
            recent.push_back(arrival.at);
            while (arrival.at - recent.front() >= window) {
                recent.pop_front();
            }
            most = std::max(most, static_cast<int>(recent.size()));
        }
        return most;
    }
    [[nodiscard]] int arrivalsBetween(Instant from, Instant to) const
    {
        return static_cast<int>(std::count_if(arrivals_.begin(), arrivals_.end(), [&](const auto &each) { return each.at >= from && each.at < to; }));
    }
    [[nodiscard]] int allowed() const { return static_cast<int>(perSecond_ * 1.5 * 4) + 5; }

private:
    struct Host {
        UpstreamLimits limits;
        std::optional<Instant> toldAt;
        Instant suspendedUntil;
        bool isOwnerReached = true;
    };
    struct Arrival {
        Instant at;
        bool isTold = false;
    };
    void scheduleNextRequest()
    {
        const auto gap = std::exponential_distribution<double>(demand_ / 1'000)(random_);
        dueMs_ += gap;
        at(Instant(static_cast<std::int64_t>(dueMs_)), [this] {
            onRequest(hosts_[static_cast<std::size_t>(draw(0, static_cast<int>(hosts_.size()) - 1))]);
            scheduleNextRequest();
        });
    }

    void onRequest(Host &host)
    {
        if (now() < host.suspendedUntil) {
            return;
        }
        const auto limit = host.limits.find(upstream);
        if (!limit) {
            send(host);
            return;
        }
        if (host.limits.isBlocked(upstream, now())) {
            return;
        }
        if (!host.isOwnerReached) {
            host.limits.block(upstream, now() + Milliseconds(300));
            return;
        }
        const auto permit = owner_->request(*limit, Milliseconds(0), now());
        if (!permit.isLimited) {
            host.limits.end(upstream, now());
            send(host);
        } else if (!permit.isGranted) {
            host.limits.block(upstream, now() + std::min(permit.wait, Milliseconds(1'000)));
        } else {
            send(host);
        }
    }

    /// The request arrives after the time for a connection, at a suspended host after its resumption; its answer comes later.
    void send(Host &host)
    {
        const auto sentAt = std::max(now(), host.suspendedUntil);
        at(sentAt + Milliseconds(draw(1, 60)), [this, &host] {
            const bool isTold = isLimited_ && host.toldAt && now() - *host.toldAt >= Milliseconds(500);
            arrivals_.push_back({now(), isTold});
            const auto named = isLimited_ ? std::optional(perSecond_) : std::nullopt;
            at(now() + Milliseconds(draw(20, 400)), [this, &host, named] { answer(host, named); });
        });
    }

    void answer(Host &host, std::optional<double> named)
    {
        if (now() < host.suspendedUntil) {
            at(host.suspendedUntil, [this, &host, named] { answer(host, named); });
            return;
        }
        if (host.limits.onAnswer(upstream, named, now()) == UpstreamLimits::Change::Ended) {
            owner_->onLimitEnded(now());
        }
        if (named && !host.toldAt) {
            host.toldAt = now();
        }
    }

    std::vector<Host> hosts_;
    double perSecond_;
    double demand_; // requests a second over all hosts
    std::mt19937_64 random_;
    double dueMs_ = 0;
    std::unique_ptr<SendRate> owner_;
    bool isLimited_ = false;
    std::vector<Arrival> arrivals_;
};

// Guards against the sum over all hosts exceeding a limit that each host alone keeps to (issue 23, LIMIT).
TEST(SendRate, the_sum_over_any_number_of_hosts_keeps_to_the_limit_and_uses_it)
{
    for (const int hosts : {1, 8, 87, 195, 420}) {
        for (const double perSecond : {0.5, 2.1, 3.6, 30.0}) {
            LimitedFleet fleet(hosts, perSecond, perSecond * 6 + 20, hosts);
            fleet.runUntil(Instant(2'000));
            fleet.setLimited(true);
            constexpr int firstMs = 16'000; // with 420 hosts some learn the limit late
            fleet.runUntil(Instant(60'000));
            EXPECT_LE(fleet.most(), fleet.allowed()) << hosts << " hosts, " << perSecond;
            EXPECT_GE(fleet.arrivalsBetween(Instant(firstMs), Instant(60'000)), perSecond * (60.0 - firstMs / 1'000.0) * 0.6)
                << hosts << " hosts, " << perSecond;
        }
    }
}

// Pattern: hosts that have just started, stand still, or are cut from the owner, and owners that change, while an upstream names a limit.
TEST(SendRate, faults_of_hosts_and_changes_of_the_owner_add_nothing_to_the_sum)
{
    for (int seed = 1; seed <= 60; ++seed) {
        LimitedFleet fleet(std::array{8, 60, 195}[static_cast<std::size_t>(seed % 3)], 1.5 + seed % 4, 40, seed);
        fleet.runUntil(Instant(2'000));
        fleet.setLimited(true);
        for (int fault = 0; fault < 60; ++fault) {
            const auto host = static_cast<std::size_t>(fleet.draw(0, static_cast<int>(fleet.hostCount()) - 1));
            const Instant time(fleet.draw(5'000, 35'000));
            const Milliseconds duration(fleet.draw(100, 5'000));
            switch (fault % 4) {
            case 0:
                fleet.at(time, [&fleet, host] { fleet.restart(host); });
                break;
            case 1:
                fleet.at(time, [&fleet, host, time, duration] { fleet.suspend(host, time + duration); });
                break;
            case 2:
                fleet.at(time, [&fleet, host] { fleet.setOwnerReached(host, false); });
                fleet.at(time + duration, [&fleet, host] { fleet.setOwnerReached(host, true); });
                break;
            default:
                fleet.at(time, [&fleet] { fleet.replaceOwner(); });
            }
        }
        fleet.runUntil(Instant(45'000));
        EXPECT_LE(fleet.most(), fleet.allowed()) << "seed " << seed;
    }
}

// Pattern: an upstream recovers; hosts that were refused hear of it from its owner, not only from an answer of their own.
TEST(SendRate, all_hosts_send_freely_soon_after_the_limit_has_ended)
{
    LimitedFleet fleet(195, 2, 60, 7);
    fleet.setLimited(true);
    fleet.runUntil(Instant(20'000));
    fleet.setLimited(false);
    fleet.runUntil(Instant(40'000));
    EXPECT_GE(fleet.arrivalsBetween(Instant(24'000), Instant(34'000)), 60 * 10 * 0.85);
}

TEST(SendRate, a_request_that_may_wait_is_promised_a_time_and_others_are_told_when_to_ask_again)
{
    SendRate rate;
    const UpstreamLimits::Limit limit{2, Instant(0)};
    EXPECT_FALSE(rate.request(limit, Milliseconds(0), Instant(1'000)).isGranted) << "a new owner has no stock of permits";
    const auto promised = rate.request(limit, Milliseconds(600), Instant(1'000));
    EXPECT_TRUE(promised.isGranted);
    EXPECT_EQ(promised.wait, Milliseconds(500));
    const auto refused = rate.request(limit, Milliseconds(600), Instant(1'000));
    EXPECT_FALSE(refused.isGranted);
    EXPECT_EQ(refused.wait, Milliseconds(1'000));
}

TEST(SendRate, a_limit_named_before_its_end_is_over_and_one_named_after_it_holds)
{
    SendRate rate;
    rate.onLimitEnded(Instant(5'000));
    EXPECT_FALSE(rate.request({2, Instant(4'900)}, Milliseconds(0), Instant(6'000)).isLimited);
    EXPECT_TRUE(rate.request({2, Instant(5'100)}, Milliseconds(0), Instant(6'000)).isLimited);
}

} // namespace
} // namespace baobabstall::serving
