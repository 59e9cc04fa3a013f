#include <gtest/gtest.h>

#include <cmath>
#include <functional>
#include <memory>

#include <quotas/quotahost.h>
#include <quotas/quotaowner.h>

namespace baobabstall::quotas {
namespace {

const WorkspaceId workspace("w");
const HostId hostA("a");
const HostId hostB("b");
constexpr Milliseconds tick{100};
constexpr double calmShare = 0.97; // of a quota that is to be had in calm

Instant at(std::int64_t ms)
{
    constexpr std::int64_t start = 10'000;
    return Instant(start + ms);
}

/// Hosts and one owner on virtual time. Messages take 2 ms; each host looks whether to ask every 100 ms, and when a request begins to wait.
class Site
{
public:
    Site(int hosts, Quotas quotas)
        : quotas_(std::move(quotas))
        , owner_(std::make_unique<QuotaOwner>(now_))
    {
        owner_->setQuotas(quotas_, now_);
        owner_->setHostCount(hosts, now_);
        for (int i = 0; i < hosts; ++i) {
            hosts_.push_back(std::make_unique<QuotaHost>(1, now_));
            hosts_.back()->setQuotas(quotas_, now_);
            hosts_.back()->setHostCount(hosts);
        }
    }

    /// `step` is called for each host every 2 ms.
    void run(Milliseconds time, const std::function<void(int host)> &step)
    {
        for (const auto end = now_ + time; now_ < end; now_ = now_ + latency) {
            for (int i = 0; i < size(); ++i) {
                step(i);
                const bool isTick = (now_.sinceOrigin() + i * latency.count()) % tick.count() == 0;
                exchange(i, isTick);
            }
            if (owner_) {
                owner_->expire(now_);
            }
        }
    }

    /// A request that waits for the owner's answer, once.
    bool request(int host, const WorkspaceId &id, double amount)
    {
        auto &asked = *hosts_.at(static_cast<std::size_t>(host));
        auto charge = asked.tryTake(id, amount, now_);
        if (!charge.isTaken && charge.mayAsk) {
            asked.wait(id, amount, now_);
            exchange(host, true);
            asked.endWait(id, amount);
            charge = asked.tryAgain(id, amount, now_);
        }
        last_ = charge;
        return charge.isTaken;
    }

    void removeOwner() { owner_.reset(); }
    void setQuotas(const Quotas &quotas)
    {
        quotas_ = quotas;
        owner_->setQuotas(quotas, now_);
        for (auto &host : hosts_) {
            host->setQuotas(quotas, now_);
        }
    }
    [[nodiscard]] int size() const { return static_cast<int>(hosts_.size()); }
    [[nodiscard]] QuotaHost &host(int index) { return *hosts_.at(static_cast<std::size_t>(index)); }
    [[nodiscard]] QuotaOwner &owner() { return *owner_; }
    [[nodiscard]] Instant now() const { return now_; }
    [[nodiscard]] const Charge &last() const { return last_; }
    [[nodiscard]] int asks() const { return asks_; }
    [[nodiscard]] int entries() const { return entries_; }

private:
    static constexpr Milliseconds latency{2};

    void exchange(int index, bool looks)
    {
        auto &host = *hosts_.at(static_cast<std::size_t>(index));
        if (!owner_ || !looks || !host.isAskDue(now_)) {
            return;
        }
        const auto ask = host.makeAsk(now_);
        ++asks_;
        entries_ += static_cast<int>(ask.entries.size());
        if (const auto grant = owner_->onAsk(HostId(std::to_string(index)), ask, now_)) {
            host.onGrant(*grant, now_);
        }
    }

    Instant now_ = at(0);
    Quotas quotas_;
    std::unique_ptr<QuotaOwner> owner_;
    std::vector<std::unique_ptr<QuotaHost>> hosts_;
    Charge last_;
    int asks_ = 0;
    int entries_ = 0;
};

/// Amounts that are asked for at a steady rate.
class Demand
{
public:
    /// `phase`: which part of the time between two requests has passed.
    Demand(double perSecond, double amount, double phase)
        : perStep_(perSecond * 0.002)
        , amount_(amount)
        , pending_(amount * phase)
    { }

    [[nodiscard]] int due()
    {
        pending_ += perStep_;
        const int count = static_cast<int>(pending_ / amount_);
        pending_ -= count * amount_;
        return count;
    }

private:
    double perStep_;
    double amount_;
    double pending_;
};

/// The same at each host, but not at the same moments.
std::vector<Demand> demandsOf(int hosts, double perSecond, double amount)
{
    constexpr double goldenRatio = 0.618034;
    std::vector<Demand> demands;
    demands.reserve(static_cast<std::size_t>(hosts));
    for (int i = 0; i < hosts; ++i) {
        demands.emplace_back(perSecond, amount, std::fmod(i * goldenRatio, 1.0));
    }
    return demands;
}

struct Calm {
    std::string name;
    int hosts = 1;
    Quota quota;
    double amount = 1;
    double factor = 1.5;         // of the quota that is asked for
    std::int64_t movesEvery = 0; // ms; 0: callers are at all hosts
    int busyHosts = 1;           // the callers' hosts at one time
};

class CalmTest : public testing::TestWithParam<Calm>
{ };

// Load: one workspace asks for more than its quota for 20 s while nothing fails.
TEST_P(CalmTest, a_workspace_gets_its_quota)
{
    const auto &calm = GetParam();
    Site site(calm.hosts, {{workspace, calm.quota}});
    constexpr Milliseconds warmUp{4'000};
    constexpr Milliseconds measured{20'000};
    double spent = 0;
    auto demands = demandsOf(calm.hosts, calm.quota.perSecond * calm.factor / calm.busyHosts, calm.amount);
    const auto step = [&](int host) {
        const auto moved = calm.movesEvery == 0 ? 0 : site.now().sinceOrigin() / calm.movesEvery;
        if ((host + moved * calm.busyHosts) % calm.hosts >= calm.busyHosts) {
            return;
        }
        for (int i = demands.at(static_cast<std::size_t>(host)).due(); i > 0; --i) {
            spent += site.request(host, workspace, calm.amount) ? calm.amount : 0;
        }
    };
    site.run(warmUp, step);
    spent = 0;
    site.run(measured, step);
    const double allowed = calm.quota.perSecond * 20;
    EXPECT_GE(spent, calmShare * allowed) << site.asks() << " asks";
    EXPECT_LE(spent, allowed + calm.quota.burst + slackSeconds * calm.quota.perSecond);
    std::printf("%s: %.3f of the quota, %.1f asks a host and second\n", calm.name.c_str(), spent / allowed, site.asks() / 24.0 / calm.hosts);
}

INSTANTIATE_TEST_SUITE_P(Loads,
                         CalmTest,
                         testing::Values(Calm{"one_host_of_76", 76, {30'000, 60'000}, 650, 1.5, 0, 1},
                                         Calm{"one_host_of_76_without_burst", 76, {30'000, 0}, 650, 1.5, 0, 1},
                                         Calm{"one_host_requests", 3, {200, 20}, 1, 3, 0, 1},
                                         Calm{"spread_over_76_hosts", 76, {30'000, 60'000}, 650, 1.5, 0, 76},
                                         Calm{"spread_over_76_hosts_without_burst", 76, {30'000, 0}, 650, 1.5, 0, 76},
                                         Calm{"spread_over_76_hosts_six_times", 76, {30'000, 60'000}, 650, 6, 0, 76},
                                         Calm{"spread_requests", 76, {1'000, 100}, 1, 1.5, 0, 76},
                                         Calm{"moving_every_second", 76, {30'000, 60'000}, 650, 1.5, 1'000, 1},
                                         Calm{"moving_in_groups_without_burst", 76, {30'000, 0}, 650, 1.5, 300, 8}),
                         [](const auto &each) { return each.param.name; });

// Load: demand at 80% of the quota, spread; nothing is to be refused once the bucket has filled.
TEST(Quota, demand_below_the_quota_is_not_refused)
{
    constexpr int hosts = 76;
    constexpr Milliseconds patience{60};
    Site site(hosts, {{workspace, {30'000, 30'000}}});
    auto demands = demandsOf(hosts, 30'000 * 0.8 / hosts, 650);
    std::vector<std::vector<Instant>> waiting(hosts); // until when
    int refused = 0;
    const auto step = [&](int host) {
        auto &waits = waiting.at(static_cast<std::size_t>(host));
        for (int i = demands.at(static_cast<std::size_t>(host)).due(); i > 0; --i) {
            waits.push_back(site.now() + patience);
        }
        std::erase_if(waits, [&](Instant until) {
            const bool isTaken = site.request(host, workspace, 650);
            const bool isRefused = !isTaken && (site.now() >= until || !site.last().mayAsk);
            refused += isRefused ? 1 : 0;
            return isTaken || isRefused;
        });
    };
    site.run(Milliseconds(6'000), step);
    refused = 0;
    site.run(Milliseconds(20'000), step);
    EXPECT_EQ(refused, 0);
}

TEST(Quota, a_workspace_without_a_quota_is_not_limited)
{
    Site site(1, {{WorkspaceId("other"), {1, 0}}, {workspace, {}}});
    EXPECT_TRUE(site.request(0, workspace, 1e9));
    EXPECT_TRUE(site.request(0, WorkspaceId("unknown"), 1e9));
}

TEST(Quota, a_new_owner_begins_with_an_empty_bucket)
{
    Site site(1, {{workspace, {100, 1'000}}});
    EXPECT_FALSE(site.request(0, workspace, 1));
}

TEST(Quota, a_bucket_fills_to_its_burst)
{
    Site site(1, {{workspace, {100, 200}}});
    site.run(Milliseconds(10'000), [](int) {});
    int taken = 0;
    for (int i = 0; i < 1'000 && site.request(0, workspace, 1); ++i) {
        ++taken;
        site.run(Milliseconds(22), [](int) {});
    }
    EXPECT_GE(taken, 200);
}

// Limit: a burst of 0 still lets through what the limit says.
TEST(Quota, a_quota_without_burst_and_far_below_one_request_a_second_serves)
{
    Site site(1, {{workspace, {0.5, 0}}});
    int taken = 0;
    site.run(Milliseconds(21'000), [&](int) { taken += site.request(0, workspace, 1) ? 1 : 0; });
    EXPECT_GE(taken, 9);
    EXPECT_LE(taken, 11);
}

// Limit: a request of more than the bucket ever holds is refused at once and doesn't wait for ever.
TEST(Quota, a_request_larger_than_the_bucket_is_refused_at_once)
{
    Site site(1, {{workspace, {100, 0}}});
    site.run(Milliseconds(5'000), [](int) {});
    const auto charge = site.host(0).tryTake(workspace, 1'000, site.now());
    EXPECT_FALSE(charge.isTaken);
    EXPECT_FALSE(charge.mayAsk);
    EXPECT_GE(charge.retryAfter, Milliseconds(30'000));
    EXPECT_TRUE(site.request(0, workspace, 20));
}

// A refusal names the time at which credit is there: then it is, and a little before it is not.
TEST(Quota, retry_after_is_when_credit_is_there)
{
    Site site(1, {{workspace, {100, 0}}});
    site.run(Milliseconds(5'000), [](int) {});
    const double amount = 28; // of 30 that the bucket holds
    while (site.request(0, workspace, amount) || site.last().mayAsk) {
        site.run(Milliseconds(2), [](int) {});
    }
    const auto wait = site.last().retryAfter;
    EXPECT_GT(wait, Milliseconds(100));
    EXPECT_LE(wait, Milliseconds(280));
    site.run(wait / 2, [](int) {});
    EXPECT_FALSE(site.request(0, workspace, amount));
    site.run(wait / 2 + Milliseconds(104), [](int) {}); // and a tick
    EXPECT_TRUE(site.request(0, workspace, amount));
}

TEST(Quota, a_lower_limit_takes_credit_at_once)
{
    Site site(1, {{workspace, {1'000, 2'000}}});
    site.run(Milliseconds(8'000), [&](int) { site.request(0, workspace, 1); });
    const double before = site.host(0).held(workspace);
    EXPECT_GT(before, 0);
    site.setQuotas({{workspace, {10, 0}}});
    EXPECT_LE(site.host(0).held(workspace), before / 100);
    EXPECT_LE(site.owner().stock(workspace, site.now()), depthOf({10, 0}));
    double spent = 0;
    site.run(Milliseconds(10'000), [&](int) { spent += site.request(0, workspace, 1) ? 1 : 0; });
    EXPECT_LE(spent, 10 * 10 + slackSeconds * 10 + unitAmount + maxOutstanding({10, 0}));
    EXPECT_GE(spent, calmShare * 100);
}

TEST(Quota, a_raised_limit_and_a_removed_one_serve_more)
{
    Site site(1, {{workspace, {10, 0}}});
    site.run(Milliseconds(5'000), [&](int) { site.request(0, workspace, 1); });
    site.setQuotas({{workspace, {100, 0}}});
    double spent = 0;
    site.run(Milliseconds(10'000), [&](int) { spent += site.request(0, workspace, 1) ? 1 : 0; });
    EXPECT_GE(spent, calmShare * 1'000);
    site.setQuotas({});
    EXPECT_TRUE(site.request(0, workspace, 1e9));
}

TEST(Quota, a_charge_that_was_not_run_can_be_spent_again)
{
    Site site(1, {{workspace, {100, 100}}});
    site.run(Milliseconds(6'000), [](int) {});
    double spent = 0;
    site.run(Milliseconds(10'000), [&](int) {
        if (site.request(0, workspace, 1)) {
            site.host(0).giveBack(workspace, 1, site.now(), site.now());
        } else {
            ++spent; // a refusal, though nothing was spent
        }
    });
    EXPECT_EQ(spent, 0);
}

// Failure: the owner is gone. A host spends its share from nothing on, and saves little.
TEST(Quota, a_host_without_an_owner_spends_its_share)
{
    Site site(4, {{workspace, {400, 400}}});
    site.run(Milliseconds(6'000), [&](int host) { site.request(host, workspace, 1); });
    site.removeOwner();
    site.run(Milliseconds(1'900), [](int) {});
    ASSERT_TRUE(site.host(0).isInFallback(site.now()));
    EXPECT_FALSE(site.request(0, workspace, 1));
    EXPECT_GT(site.last().retryAfter, Milliseconds(0));
    double spent = 0;
    site.run(Milliseconds(10'000), [&](int host) { spent += host == 0 && site.request(0, workspace, 1) ? 1 : 0; });
    EXPECT_NEAR(spent, 1'000, 20);
    site.run(Milliseconds(10'000), [](int) {});
    for (spent = 0; site.request(0, workspace, 1);) {
        ++spent;
    }
    EXPECT_LE(spent, fallbackSeconds * 100);
}

// Failure: the owner of a quota in tokens is gone; a 76th of it is less than a request in the 0.2 s that a host saves up. With the deployment's
// tolerance whole requests fit, and all hosts together stay within it.
TEST(Quota, a_host_without_an_owner_saves_up_whole_requests_within_the_tolerance)
{
    constexpr int hosts = 76;
    constexpr double amount = 650;
    const Quota quota{29'000, 29'000};
    const Allowance allowance{.windowSeconds = 8, .tolerance = 110'000, .overage = 0.1};
    const auto spentIn = [&](const Allowance &given, std::int64_t ms) {
        QuotaHost host(1, at(0));
        host.setQuotas({{workspace, quota}}, at(0));
        host.setHostCount(hosts);
        host.setAllowance(given);
        double spent = 0;
        for (std::int64_t now = 0; now < ms; now += 10) {
            spent += host.tryTake(workspace, amount, at(now)).isTaken ? amount : 0;
        }
        return spent;
    };
    EXPECT_EQ(spentIn({}, 20'000), 0);
    EXPECT_EQ(spentIn(allowance, Timing::fallbackAfterStart.count()), 0); // each start begins with nothing
    EXPECT_GT(spentIn(allowance, 10'000), 0.7 * 8 * quota.perSecond / hosts);
    EXPECT_LE(spentIn(allowance, 10'000), 8.7 * quota.perSecond / hosts);
    QuotaHost host(1, at(0));
    host.setQuotas({{workspace, quota}}, at(0));
    host.setHostCount(hosts);
    host.setAllowance(allowance);
    EXPECT_FALSE(host.tryTake(workspace, amount, at(2'500)).isTaken);
    double saved = 0;
    while (host.tryTake(workspace, 1, at(60'000)).isTaken) {
        ++saved;
    }
    EXPECT_GE(saved, amount);
    EXPECT_LE(saved * hosts, fallbackSeconds * quota.perSecond + allowance.tolerance / 2);
}

TEST(Quota, the_fallback_reserve_leaves_room_for_requests_that_are_sent_late)
{
    const Allowance allowance{.windowSeconds = 8, .tolerance = 110'000, .overage = 0.1};
    EXPECT_EQ(fallbackReserve({29'000, 0}, {}), 0);
    EXPECT_EQ(fallbackReserve({29'000, 0}, allowance), 55'000);
    EXPECT_LT(fallbackReserve({450'000, 0}, allowance), 55'000 / 2);
    EXPECT_EQ(fallbackReserve({1'000'000, 0}, allowance), 0);
    EXPECT_EQ(fallbackReserve({29'000, 0}, {.windowSeconds = 8, .tolerance = 20'000, .overage = 0}), 0);
}

// Failure: the host has started, hears no owner and knows no other host.
TEST(Quota, a_host_that_knows_no_hosts_spends_nothing_by_itself)
{
    QuotaHost host(1, at(0));
    host.setQuotas({{workspace, {100, 100}}}, at(0));
    for (std::int64_t ms = 0; ms < 10'000; ms += 100) {
        EXPECT_FALSE(host.tryTake(workspace, 1, at(ms)).isTaken);
    }
}

// Failure: a grant is under way for longer than it holds.
TEST(Quota, a_late_grant_is_discarded)
{
    QuotaHost host(1, at(0));
    host.setQuotas({{workspace, {100, 100}}}, at(0));
    const auto ask = host.makeAsk(at(0));
    const Grant grant{ask.session, ask.sequence, {{workspace, 10}}};
    EXPECT_FALSE(host.onGrant(grant, at(501)));
    EXPECT_EQ(host.held(workspace), 0);
    const auto next = host.makeAsk(at(510));
    EXPECT_EQ(next.answered, 0U);
    EXPECT_FALSE(host.onGrant(grant, at(511))) << "of an earlier ask";
    EXPECT_TRUE(host.onGrant({next.session, next.sequence, {{workspace, 10}}}, at(512)));
    EXPECT_FALSE(host.onGrant({next.session, next.sequence, {{workspace, 10}}}, at(513))) << "the same again";
    EXPECT_EQ(host.held(workspace), 10);
}

/// Asks without entries every 400 ms, the first one numbered 1; returns the number of the last.
std::uint64_t heartbeats(QuotaOwner &owner, const HostId &host, std::uint64_t count)
{
    for (std::uint64_t i = 1; i <= count; ++i) {
        EXPECT_TRUE(owner.onAsk(host, {1, i, i - 1}, at(static_cast<std::int64_t>(i) * 400)));
    }
    return count;
}

// Failure: a host hears no owner, so it spends by itself; the owner must not fill for it, before it knows that this has ended.
TEST(Quota, the_owner_fills_nothing_for_a_host_that_spends_by_itself)
{
    QuotaOwner owner(at(0));
    owner.setQuotas({{workspace, {100, 1'000}}}, at(0));
    owner.setHostCount(2, at(0));
    for (std::uint64_t i = 1; i <= 10; ++i) {
        ASSERT_TRUE(owner.onAsk(hostA, {1, i, i - 1}, at(static_cast<std::int64_t>(i) * 400)));
        ASSERT_TRUE(owner.onAsk(hostB, {1, i, 0, true}, at(static_cast<std::int64_t>(i) * 400)));
    }
    EXPECT_EQ(owner.servedHosts(at(4'000)), 1);
    EXPECT_NEAR(owner.stock(workspace, at(4'000)), 50 * 2.4, 1); // since A has asked for 1.2 s
    ASSERT_TRUE(owner.onAsk(hostB, {1, 11, 10}, at(4'000)));
    EXPECT_EQ(owner.servedHosts(at(4'000)), 2);
    EXPECT_EQ(owner.servedHosts(at(5'200)), 0);
}

// Failure: a host was served by another owner a moment ago, which may still fill for it.
TEST(Quota, a_host_that_comes_from_another_owner_counts_when_that_one_has_ceased_to_count_it)
{
    QuotaOwner owner(at(0));
    owner.setQuotas({{workspace, {100, 1'000}}}, at(0));
    owner.setHostCount(1, at(0));
    ASSERT_TRUE(owner.onAsk(hostA, {1, 21, 20}, at(0)));
    ASSERT_TRUE(owner.onAsk(hostA, {1, 22, 21}, at(400)));
    EXPECT_EQ(owner.servedHosts(at(400)), 0);
    ASSERT_TRUE(owner.onAsk(hostA, {1, 23, 22}, at(800)));
    ASSERT_TRUE(owner.onAsk(hostA, {1, 24, 23}, at(1'200)));
    EXPECT_EQ(owner.servedHosts(at(1'200)), 1);
    ASSERT_TRUE(owner.onAsk(hostA, {1, 31, 30}, at(1'600))) << "it was elsewhere in between";
    ASSERT_TRUE(owner.onAsk(hostA, {1, 32, 31}, at(2'000)));
    EXPECT_EQ(owner.servedHosts(at(2'000)), 0);
}

// Failure: an owner that can't know that it was replaced goes on for some hosts; two owners together must not save up two bursts.
TEST(Quota, the_stock_is_bounded_by_the_part_of_the_hosts_that_ask)
{
    QuotaOwner owner(at(0));
    owner.setQuotas({{workspace, {100, 100}}}, at(0));
    owner.setHostCount(4, at(0));
    heartbeats(owner, hostA, 100);
    EXPECT_LE(owner.stock(workspace, at(40'000)), depthOf({100, 100}) / 4);
}

// Failure: the owner stands still for a while; it does not fill for the time in which nobody was served.
TEST(Quota, a_thawed_owner_fills_only_for_the_served_time)
{
    QuotaOwner owner(at(0));
    owner.setQuotas({{workspace, {100, 10'000}}}, at(0));
    owner.setHostCount(1, at(0));
    heartbeats(owner, hostA, 10);
    const double before = owner.stock(workspace, at(4'000));
    EXPECT_NEAR(before, 240, 1);
    EXPECT_LE(owner.stock(workspace, at(60'000)), before + 80);
}

// Failure: messages come twice and in another order.
TEST(Quota, an_ask_counts_once)
{
    QuotaOwner owner(at(0));
    owner.setQuotas({{workspace, {100, 1'000}}}, at(0));
    owner.setHostCount(1, at(0));
    const auto last = heartbeats(owner, hostA, 10);
    const double before = owner.stock(workspace, at(4'000));
    const Ask ask{1, last + 2, last, false, {{workspace, 0, 0, 0, 0, 5}}};
    ASSERT_TRUE(owner.onAsk(hostA, ask, at(4'000)));
    EXPECT_FALSE(owner.onAsk(hostA, ask, at(4'000)));
    EXPECT_FALSE(owner.onAsk(hostA, {1, last + 1, last, false, ask.entries}, at(4'000)));
    EXPECT_NEAR(owner.stock(workspace, at(4'000)), before + 5, 0.01);
}

// Failure: a grant is lost; the next ask says so, and its credit is there again.
TEST(Quota, a_lost_grant_returns_to_the_bucket)
{
    QuotaOwner owner(at(0));
    owner.setQuotas({{workspace, {100, 1'000}}}, at(0));
    owner.setHostCount(1, at(0));
    const auto last = heartbeats(owner, hostA, 10);
    const auto grant = owner.onAsk(hostA, {1, last + 1, last, false, {{workspace, 0, 100, 0, 1, 0}}}, at(4'000));
    ASSERT_TRUE(grant && !grant->entries.empty());
    EXPECT_EQ(grant->entries.front().granted, 100);
    EXPECT_EQ(owner.outstanding(workspace), 100);
    const double left = owner.stock(workspace, at(4'000));
    ASSERT_TRUE(owner.onAsk(hostA, {1, last + 2, last}, at(4'000)));
    EXPECT_EQ(owner.outstanding(workspace), 0);
    EXPECT_NEAR(owner.stock(workspace, at(4'000)), left + 100, 0.01);
}

// Failure: requests are refused after their charge; credit that comes back to a full bucket must not let a window spend more.
TEST(Quota, charges_given_back_fill_no_more_than_they_would_have)
{
    QuotaOwner owner(at(0));
    owner.setQuotas({{workspace, {100, 100}}}, at(0));
    owner.setHostCount(1, at(0));
    auto last = heartbeats(owner, hostA, 20);
    ASSERT_NEAR(owner.stock(workspace, at(8'000)), depthOf({100, 100}), 0.01);
    ASSERT_TRUE(owner.onAsk(hostA, {1, last + 1, last, false, {{workspace, 0, 100, 0, 1}}}, at(8'000)));
    ASSERT_TRUE(owner.onAsk(hostA, {1, last + 2, last + 1, false, {{workspace, 0, 0, 0, 0, 0, 50}}}, at(8'100)));
    EXPECT_NEAR(owner.stock(workspace, at(8'100)), depthOf({100, 100}) - 100, 0.5) << "the bucket was full when they were charged";
}

TEST(Quota, hosts_that_want_more_than_there_is_get_parts_in_proportion)
{
    QuotaOwner owner(at(0));
    owner.setQuotas({{workspace, {100, 1'000}}}, at(0));
    owner.setHostCount(1, at(0));
    for (std::uint64_t i = 1; i <= 10; ++i) {
        ASSERT_TRUE(owner.onAsk(hostA, {1, i, i - 1}, at(static_cast<std::int64_t>(i) * 400)));
    }
    const double stock = owner.stock(workspace, at(4'000));
    ASSERT_TRUE(owner.onAsk(hostB, {1, 1, 0, false, {{workspace, 0, 3'000, 0, 3'000, 0}}}, at(4'000))); // nothing for it yet
    const auto grant = owner.onAsk(hostA, {1, 11, 10, false, {{workspace, 0, 1'000, 0, 1, 0}}}, at(4'000));
    ASSERT_TRUE(grant);
    EXPECT_NEAR(grant->entries.at(0).granted, stock / 4, 1);
}

} // namespace
} // namespace baobabstall::quotas
