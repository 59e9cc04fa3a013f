// Cost of placement at the target size: 880 replicas, 23,000 adapters.
#include <benchmark/benchmark.h>

#include <placement/placement.h>

namespace baobabstall::placement {

namespace {

constexpr int replicaCount = 880;
constexpr int adapterCount = 23'000;
constexpr int zoneCount = 4;
constexpr int concurrency = 16;
const BaseModel model("base-a");

std::vector<Replica> targetReplicas()
{
    std::vector<Replica> replicas;
    replicas.reserve(replicaCount);
    for (int number = 0; number < replicaCount; ++number) {
        replicas.push_back({UpstreamId("engine-" + std::to_string(number)), model, ZoneId("zone-" + std::to_string(number % zoneCount))});
    }
    return replicas;
}

std::vector<AdapterRef> targetAdapters()
{
    std::vector<AdapterRef> adapters;
    adapters.reserve(adapterCount);
    for (int number = 0; number < adapterCount; ++number) {
        adapters.push_back(*AdapterRef::parse("customer-" + std::to_string(number / 4) + "/task-" + std::to_string(number % 4) + "@v1"));
    }
    return adapters;
}

/// Candidates and choice for one request; the argument is the width of the adapter.
void chooseCandidate(benchmark::State &state)
{
    const settings::Placement settings{.candidates = static_cast<int>(state.range(0)), .maxCandidates = 8};
    Placement placement(settings, concurrency);
    placement.replicas().assign(targetReplicas());
    const auto adapters = targetAdapters();
    std::size_t next = 0;
    for (auto _ : state) {
        const AdapterRef &adapter = adapters[next++ % adapters.size()];
        std::vector<HintedCandidate> hinted;
        for (const Replica *replica : placement.candidates(adapter, model, Instant(0))) {
            hinted.push_back({replica, engines::Hint{}});
        }
        benchmark::DoNotOptimize(placement.choose(hinted, false));
    }
}
BENCHMARK(chooseCandidate)->Arg(2)->Arg(8)->Repetitions(9)->ReportAggregatesOnly();

/// One replica becomes unavailable and available again.
void applyMembershipChange(benchmark::State &state)
{
    Replicas replicas;
    replicas.assign(targetReplicas());
    const UpstreamId leaving("engine-440");
    bool available = false;
    for (auto _ : state) {
        replicas.setAvailable(leaving, available);
        available = !available;
    }
}
BENCHMARK(applyMembershipChange)->Unit(benchmark::kMicrosecond)->Repetitions(9)->ReportAggregatesOnly();

void applyReplicaList(benchmark::State &state)
{
    Replicas replicas;
    const auto list = targetReplicas();
    for (auto _ : state) {
        replicas.assign(list);
    }
}
BENCHMARK(applyReplicaList)->Unit(benchmark::kMicrosecond)->Repetitions(9)->ReportAggregatesOnly();

void measureWidth(benchmark::State &state)
{
    Widths widths({}, concurrency);
    const auto adapters = targetAdapters();
    std::size_t next = 0;
    Instant now(1'000'000);
    for (auto _ : state) {
        now = now + Milliseconds(1);
        benchmark::DoNotOptimize(widths.onRequestFinished(adapters[next++ % 2'000], Milliseconds(2'000), now));
    }
}
BENCHMARK(measureWidth)->Repetitions(9)->ReportAggregatesOnly();

} // namespace

} // namespace baobabstall::placement

BENCHMARK_MAIN();
