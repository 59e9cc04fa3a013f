// Cost of ownership at the target size: 420 daemons, 880 engines, 64 partitions and the load budget, all in one region.

#include <benchmark/benchmark.h>

#include <ownership/planner.h>

using namespace baobabstall::ownership;
using baobabstall::core::UpstreamId;
using baobabstall::peers::Listing;
using baobabstall::peers::Member;
using baobabstall::peers::MemberState;
namespace settings = baobabstall::settings;

namespace {

constexpr int daemons = 420;
constexpr int engines = 880;
constexpr int partitions = 64;
constexpr int zones = 5;

HostId host(std::int64_t at)
{
    return HostId("entry-" + std::to_string(at));
}

ZoneId zone(std::int64_t at)
{
    return ZoneId("zone-" + std::to_string(at % zones));
}

std::vector<Member> members(std::int64_t count)
{
    std::vector<Member> all;
    for (std::int64_t at = 0; at < count; ++at) {
        all.push_back({host(at), zone(at), Incarnation(1'700'000'000'000), 0, MemberState::Alive, Listing::Listed});
    }
    return all;
}

std::vector<PlacedResource> resources(std::int64_t engineCount)
{
    std::vector<PlacedResource> all{{loadBudgetResource(), ZoneId()}};
    for (std::int64_t at = 0; at < engineCount; ++at) {
        all.push_back({engineResource(UpstreamId("engine-" + std::to_string(at))), zone(at)});
    }
    for (int at = 0; at < partitions; ++at) {
        all.push_back({partitionResource(at), ZoneId()});
    }
    return all;
}

std::vector<StreamRecord> claims(const std::vector<PlacedResource> &placed)
{
    std::vector<StreamRecord> all;
    for (std::size_t at = 0; at < placed.size(); ++at) {
        auto owner = host(static_cast<std::int64_t>(at % daemons));
        auto id = owner.value() + "/1700000000000/" + std::to_string(at);
        ClaimRecord record{id, ClaimKind::Claim, placed[at].resource, owner, Incarnation(1'700'000'000'000), Epoch(), Offset(at), {}};
        all.push_back({Offset(at + 1), 1'700'000'000'000, record});
    }
    return all;
}

OwnershipPlanner makePlanner(std::int64_t daemonCount, std::int64_t engineCount)
{
    OwnershipPlanner planner({host(0), zone(0), Incarnation(1'700'000'000'000)}, settings::Ownership{}, Milliseconds(86'400'000));
    auto placed = resources(engineCount);
    auto records = claims(placed);
    planner.setResources(placed);
    planner.setMembers(members(daemonCount));
    planner.onRecords(Offset(1), Offset(records.size() + 1), records);
    planner.onRecords(Offset(1), Offset(records.size() + 1), {});
    return planner;
}

/// One daemon fails and returns: two membership changes.
void memberChange(benchmark::State &state)
{
    auto planner = makePlanner(state.range(0), state.range(1));
    auto all = members(state.range(0));
    auto without = all;
    without[7].state = MemberState::Dead;
    for (auto _ : state) {
        planner.setMembers(without);
        planner.setMembers(all);
    }
    state.SetItemsProcessed(2 * state.iterations());
}
BENCHMARK(memberChange)->Args({105, 220})->Args({210, 440})->Args({daemons, engines})->Unit(benchmark::kMicrosecond);

/// All daemons of a zone fail at once.
void zoneLost(benchmark::State &state)
{
    auto planner = makePlanner(daemons, engines);
    auto all = members(daemons);
    auto without = all;
    for (std::size_t at = 0; at < without.size(); at += zones) {
        without[at].state = MemberState::Dead;
    }
    for (auto _ : state) {
        planner.setMembers(without);
        planner.setMembers(all);
    }
    state.SetItemsProcessed(2 * state.iterations());
}
BENCHMARK(zoneLost)->Unit(benchmark::kMicrosecond);

/// One claim of another daemon, read from the stream.
void claimApplied(benchmark::State &state)
{
    auto planner = makePlanner(daemons, engines);
    std::uint64_t offset = planner.lastReadOffset().value();
    for (auto _ : state) {
        ++offset;
        auto resource = engineResource(UpstreamId("engine-" + std::to_string(offset % engines)));
        ClaimRecord record{std::to_string(offset), ClaimKind::Claim, resource, host(3), Incarnation(1'700'000'000'000), Epoch(), Offset(offset - 1), {}};
        planner.onRecords(Offset(offset > 5'000 ? offset - 5'000 : 1), Offset(offset + 1), {{Offset(offset), 1'700'000'000'000, record}});
    }
}
BENCHMARK(claimApplied)->Unit(benchmark::kMicrosecond);

/// A tick() without changes.
void quietTick(benchmark::State &state)
{
    auto planner = makePlanner(state.range(0), state.range(1));
    Instant now;
    for (auto _ : state) {
        now = now + Milliseconds(200);
        benchmark::DoNotOptimize(planner.tick(now));
    }
}
BENCHMARK(quietTick)->Args({105, 220})->Args({210, 440})->Args({daemons, engines})->Unit(benchmark::kMicrosecond);

/// Size of the claim table after one claim and three refreshes of each resource, which equals the records of one day.
void tableBytes(benchmark::State &state)
{
    ClaimTable table;
    std::uint64_t offset = 0;
    auto records = claims(resources(state.range(0)));
    for (int round = 0; round < 4; ++round) {
        for (const auto &claim : records) {
            auto record = *claim.claim;
            record.id += "/" + std::to_string(round);
            record.kind = round == 0 ? ClaimKind::Claim : ClaimKind::Refresh;
            record.epoch = round == 0 ? Epoch() : Epoch(claim.offset.value());
            table.apply(Offset(++offset), record, 1'700'000'000'000);
        }
    }
    for (auto _ : state) {
        benchmark::DoNotOptimize(table.approximateBytes());
    }
    state.counters["state_bytes"] = static_cast<double>(table.approximateBytes());
    state.counters["record_bytes"] = static_cast<double>(toJson(*records.back().claim).size());
}
BENCHMARK(tableBytes)->Arg(220)->Arg(440)->Arg(engines)->Unit(benchmark::kMicrosecond);

} // namespace

BENCHMARK_MAIN();
