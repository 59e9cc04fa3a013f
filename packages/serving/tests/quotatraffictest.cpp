#include <gtest/gtest.h>

#include <cmath>
#include <memory>

#include <quotas/quotahost.h>
#include <quotas/quotaowner.h>
#include <serving/quotanotices.h>

namespace baobabstall::serving::tests {
namespace {

using core::Instant;
using core::WorkspaceId;

TEST(QuotaNotices, survive_encoding_and_decoding)
{
    const quotas::Ask ask{1'700'000'000'000, 7, 6, true, {{WorkspaceId("w"), 1, 2, 3, 4, 5, 6}, {WorkspaceId("v"), 0, 9}, {WorkspaceId("u")}}};
    core::Error error;
    const auto askFrame = peers::decode(peers::encode(peers::Notice{noticeOf(1, ask)}), error);
    ASSERT_TRUE(askFrame) << error.text();
    const auto &askNotice = std::get<peers::QuotaAskNotice>(std::get<peers::Notice>(*askFrame).body);
    const auto read = askOf(askNotice);
    EXPECT_EQ(askNotice.partition, 1);
    EXPECT_EQ(read.session, ask.session);
    EXPECT_EQ(read.sequence, ask.sequence);
    EXPECT_EQ(read.answered, ask.answered);
    EXPECT_TRUE(read.isInFallback);
    EXPECT_EQ(read.entries, ask.entries);
    const quotas::Grant grant{5, 7, {{WorkspaceId("w"), 650}, {WorkspaceId("v"), 0, Milliseconds(120)}}};
    const auto grantFrame = peers::decode(peers::encode(peers::Notice{noticeOf(0, grant)}), error);
    ASSERT_TRUE(grantFrame) << error.text();
    const auto readGrant = grantOf(std::get<peers::QuotaGrantNotice>(std::get<peers::Notice>(*grantFrame).body));
    EXPECT_EQ(readGrant.session, grant.session);
    EXPECT_EQ(readGrant.sequence, grant.sequence);
    EXPECT_EQ(readGrant.entries, grant.entries);
}

struct Load {
    int hosts = 76;
    int workspaces = 16;
    double requestsPerSecond = 1'000; // over all hosts and workspaces
    double tokens = 650;              // of one
    double use = 0.8;                 // of the quotas
    std::int64_t warmUpMs = 4'000;
    std::int64_t runMs = 12'000;
};

struct Traffic {
    double sentPerHost = 0; // bytes a second: a host's asks
    double readPerHost = 0; // and their grants
    double served = 0;      // share of the requests
};

/// Hosts, two partitions and their owners on virtual time, in steps of 10 ms; each message is encoded as on a link, without its TCP segments.
Traffic trafficOf(const Load &load)
{
    constexpr int partitions = 2;
    constexpr std::int64_t stepMs = 10;
    constexpr std::int64_t tickMs = 100;
    constexpr double msPerSecond = 1'000;
    constexpr double goldenRatio = 0.618034;
    const double perSecond = load.requestsPerSecond * load.tokens / load.workspaces / load.use;
    std::vector<quotas::Quotas> limits(partitions);
    std::vector<WorkspaceId> names;
    for (int w = 0; w < load.workspaces; ++w) {
        names.emplace_back("workspace-" + std::to_string(w));
        limits[static_cast<std::size_t>(w % partitions)][names.back()] = {perSecond, 2 * perSecond};
    }
    std::vector<quotas::QuotaOwner> owners(partitions, quotas::QuotaOwner(Instant(0)));
    std::vector<std::vector<quotas::QuotaHost>> hosts;
    for (int p = 0; p < partitions; ++p) {
        owners[static_cast<std::size_t>(p)].setQuotas(limits[static_cast<std::size_t>(p)], Instant(0));
        owners[static_cast<std::size_t>(p)].setHostCount(load.hosts, Instant(0));
        hosts.emplace_back(static_cast<std::size_t>(load.hosts), quotas::QuotaHost(1'700'000'000'000, Instant(0)));
        for (auto &host : hosts.back()) {
            host.setQuotas(limits[static_cast<std::size_t>(p)], Instant(0));
            host.setHostCount(load.hosts);
        }
    }
    std::size_t sent = 0;
    std::size_t read = 0;
    int requests = 0;
    int served = 0;
    const auto exchange = [&](std::size_t partition, std::size_t index, Instant now) {
        auto &host = hosts[partition][index];
        if (!host.isAskDue(now)) {
            return;
        }
        const auto ask = host.makeAsk(now);
        sent += peers::encode(peers::Notice{noticeOf(static_cast<int>(partition), ask)}).size();
        if (const auto grant = owners[partition].onAsk(core::HostId(std::to_string(index)), ask, now)) {
            read += peers::encode(peers::Notice{noticeOf(static_cast<int>(partition), *grant)}).size();
            host.onGrant(*grant, now);
        }
    };
    double due = 0;
    std::uint64_t number = 0;
    for (std::int64_t ms = 0; ms < load.runMs; ms += stepMs) {
        const Instant now(ms);
        if (ms == load.warmUpMs) {
            sent = read = 0;
            requests = served = 0;
        }
        for (due += load.requestsPerSecond * static_cast<double>(stepMs) / msPerSecond; due >= 1; due -= 1) {
            const auto index = static_cast<std::size_t>(std::fmod(static_cast<double>(++number) * goldenRatio, 1.0) * load.hosts);
            const auto workspace = number % names.size();
            const auto partition = workspace % partitions;
            auto &host = hosts[partition][index];
            auto charge = host.tryTake(names[workspace], load.tokens, now);
            for (int i = 0; i < 3 && !charge.isTaken && charge.mayAsk; ++i) {
                const Instant later(ms + i * quotas::QuotaHost::askGap.count());
                host.wait(names[workspace], load.tokens, later);
                exchange(partition, index, later);
                host.endWait(names[workspace], load.tokens);
                charge = host.tryAgain(names[workspace], load.tokens, later);
            }
            ++requests;
            served += charge.isTaken ? 1 : 0;
        }
        for (std::size_t partition = 0; partition < partitions; ++partition) {
            for (std::size_t index = 0; index < hosts[partition].size(); ++index) {
                if ((ms / stepMs + static_cast<std::int64_t>(index)) % (tickMs / stepMs) == 0) {
                    exchange(partition, index, now);
                }
            }
            owners[partition].expire(now);
        }
    }
    const double perHost = static_cast<double>(load.runMs - load.warmUpMs) / msPerSecond * load.hosts;
    const Traffic traffic{static_cast<double>(sent) / perHost, static_cast<double>(read) / perHost, static_cast<double>(served) / requests};
    std::printf("%d hosts, %d workspaces, %.0f requests a second: %.0f B/s asked, %.0f B/s granted a host; served %.4f\n",
                load.hosts,
                load.workspaces,
                load.requestsPerSecond,
                traffic.sentPerHost,
                traffic.readPerHost,
                traffic.served);
    return traffic;
}

// Load: a site whose callers are spread over all hosts. The messages of one host stay small.
TEST(QuotaTraffic, of_76_hosts_and_16_workspaces_is_below_1_kB_a_second_each_way)
{
    constexpr double bound = 1'000;
    const auto traffic = trafficOf({});
    EXPECT_LT(traffic.sentPerHost, bound);
    EXPECT_LT(traffic.readPerHost, bound);
    EXPECT_GT(traffic.served, 0.99);
}

TEST(QuotaTraffic, rises_with_a_host_s_requests_not_with_hosts_or_workspaces)
{
    const auto idle = trafficOf({.requestsPerSecond = 1});
    const auto few = trafficOf({.hosts = 76, .workspaces = 16, .requestsPerSecond = 760});
    const auto many = trafficOf({.hosts = 420, .workspaces = 2'000, .requestsPerSecond = 4'200, .warmUpMs = 2'000, .runMs = 4'000});
    EXPECT_LT(idle.sentPerHost, 400);
    EXPECT_LT(many.sentPerHost, 4 * few.sentPerHost);
}

} // namespace
} // namespace baobabstall::serving::tests
