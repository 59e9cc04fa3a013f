// Cost of a hosted daemon's decisions per request and per tick, with 880 upstreams and 420 hosts.
#include <benchmark/benchmark.h>

#include <core/hash.h>
#include <peers/messages.h>
#include <serving/chooser.h>
#include <serving/hostgroups.h>
#include <serving/loadexchange.h>
#include <serving/residency.h>
#include <serving/upstreamcopy.h>

using namespace baobabstall;
using namespace baobabstall::serving;

namespace {

constexpr int upstreams = 880;
constexpr int hosts = 420;
constexpr int zones = 5;
const Instant now(1'000'000);

std::vector<ReplicaRecord> records()
{
    std::vector<ReplicaRecord> all(upstreams);
    for (int i = 0; i < upstreams; ++i) {
        all[i].id = UpstreamId("i-" + std::to_string(1'000'000'000 + i));
        all[i].service = ServiceName("llm");
        all[i].address = {"10.1.2.3", 8'500};
        all[i].zone = ZoneId("zone-" + std::to_string(i % zones));
        all[i].slots = 16;
        all[i].models = {{BaseModel("base"), {}}};
    }
    return all;
}

std::vector<GroupedHost> groupedHosts()
{
    std::vector<GroupedHost> all;
    all.reserve(hosts);
    for (int i = 0; i < hosts; ++i) {
        all.push_back({HostId("edge-" + std::to_string(i)), ZoneId("zone-" + std::to_string(i % zones)), i < 2 * zones ? 200.0 : 10.0});
    }
    return all;
}

/// range: requests of this host for the adapter in the last second; above 0 the choice accounts for sends by all hosts.
void pickUpstream(benchmark::State &state)
{
    const auto all = records();
    std::vector<Candidate> candidates;
    Chooser chooser(ChooserOptions(), 1);
    chooser.setHostCount(hosts);
    for (const auto &record : all) {
        candidates.push_back({&record, true, true});
        chooser.setRemoteOccupancy(record.id, {8, 20}, now);
    }
    const auto affinityKey = core::hashText("hot", 1);
    for (int i = 0; i < state.range(0); ++i) {
        static_cast<void>(chooser.pick({candidates, affinityKey, ZoneId("zone-1")}, now));
    }
    std::uint64_t other = 0;
    for (auto _ : state) {
        benchmark::DoNotOptimize(chooser.pick({candidates, state.range(0) > 0 ? affinityKey : ++other * 2 + 1, ZoneId("zone-1")}, now));
    }
}
BENCHMARK(pickUpstream)->Arg(0)->Arg(2);

/// A group leader's share of one load exchange, including the encoding of one message.
void exchangeLoadsAsLeader(benchmark::State &state)
{
    const auto allHosts = groupedHosts();
    HostGroups groups;
    groups.assign(allHosts, HostId("edge-0"));
    const auto members = groups.members("loads");
    const auto leaders = groups.leaders("loads");
    LoadExchange exchange(members.front());
    UpstreamLoads loads;
    for (const auto &record : records()) {
        loads[record.id] = {8, 20};
    }
    for (const auto &member : members) {
        exchange.onReport(member, LoadScope::Host, loads, now);
    }
    for (const auto &leader : leaders) {
        exchange.onReport(leader, LoadScope::Group, loads, now);
    }
    std::size_t bytes = 0;
    for (auto _ : state) {
        const auto reports = exchange.tick(loads, members, leaders, now);
        peers::LoadsNotice notice;
        for (const auto &[id, load] : reports.back().loads) {
            notice.loads.emplace_back(id, load.running, load.prefillMs);
        }
        bytes = peers::encode(peers::Notice{notice}).size();
    }
    state.counters["bytes"] = static_cast<double>(bytes);
}
BENCHMARK(exchangeLoadsAsLeader)->Unit(benchmark::kMillisecond);

void composeCopyOfUpstreams(benchmark::State &state)
{
    ReplicaBook book;
    for (const auto &record : records()) {
        book.apply(record);
    }
    std::size_t bytes = 0;
    for (auto _ : state) {
        bytes = copyContent(book, {}).size();
    }
    state.counters["bytes"] = static_cast<double>(bytes);
}
BENCHMARK(composeCopyOfUpstreams)->Unit(benchmark::kMillisecond);

/// range: adapters that requests wait for at one replica, two requests each.
void expectWaitForWeights(benchmark::State &state)
{
    constexpr int places = 8;
    Residency residency{ResidencyOptions()};
    residency.setEngine(EngineSpec{8, 100'000, 70'000, places, 5, {ModelSpec{BaseModel("base"), 65'000, 12, Milliseconds(2'000), Milliseconds(1'000)}}},
                        Instant());
    ReplicaReport report;
    report.models = {{BaseModel("base"), {}}};
    for (int i = 0; i < places; ++i) {
        report.models.front().adapters.push_back({AdapterName("held" + std::to_string(i)), AdapterRevision(1)});
    }
    residency.onReport(report, now);
    for (int i = 0; i < state.range(0); ++i) {
        for (int waiter = 0; waiter < 2; ++waiter) {
            static_cast<void>(residency.requestLease({BaseModel("base"), AdapterName("a" + std::to_string(i))}, {}, now + Milliseconds(800), true, now));
        }
    }
    for (auto _ : state) {
        benchmark::DoNotOptimize(residency.expectedWait({BaseModel("base"), AdapterName("new")}, now));
    }
}
BENCHMARK(expectWaitForWeights)->Arg(4)->Arg(40);

} // namespace

BENCHMARK_MAIN(); // NOLINT
