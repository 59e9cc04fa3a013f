// CPU time of the engine table's decisions and of the regional load budget.
#include <benchmark/benchmark.h>

#include <engines/enginetable.h>

namespace baobabstall::engines {

namespace {

constexpr int slots = 8;

AdapterRef adapterNumber(int number)
{
    return *AdapterRef::parse("customer-" + std::to_string(number) + "/task@v1");
}

/// A table whose slots are all occupied, with `waiting` requests queued for other adapters.
class LoadedTable
{
public:
    explicit LoadedTable(int waiting)
        : table({UpstreamId("engine-1"), core::BaseModel("base"), slots, true}, Epoch(20), {}, {})
    {
        (void)table.takeActions(now);
        Listing listing{EngineStart(1), slots, {}};
        for (int number = 0; number < slots; ++number) {
            listing.adapters.push_back({EngineAdapterName{adapterNumber(number), Epoch(20)}.text(), 0});
        }
        table.listed(listing, now);
        for (int number = 0; number < waiting; ++number) {
            const std::string text = std::to_string(number);
            table.enqueue({RequestId("w" + text), adapterNumber(100 + number), PlanId("p" + text), 1, now + Milliseconds(60'000)}, now);
        }
        (void)table.takeActions(now);
    }

    EngineTable table;
    Instant now{10'000};
};

/// Enqueues, starts and finishes a request for a resident adapter.
void runRequest(benchmark::State &state)
{
    LoadedTable loaded(static_cast<int>(state.range(0)));
    const RequestId id("r");
    const AdapterRef adapter = adapterNumber(3);
    for (auto _ : state) {
        loaded.table.enqueue({id, adapter, PlanId("plan"), 1, loaded.now + Milliseconds(60'000)}, loaded.now);
        benchmark::DoNotOptimize(loaded.table.takeActions(loaded.now));
        loaded.table.finished(id, RequestEnd::Complete, loaded.now);
        benchmark::DoNotOptimize(loaded.table.takeActions(loaded.now));
    }
}
BENCHMARK(runRequest)->Arg(0)->Arg(16)->Arg(60)->Repetitions(9)->ReportAggregatesOnly();

void probeAdapter(benchmark::State &state)
{
    const LoadedTable loaded(static_cast<int>(state.range(0)));
    const AdapterRef adapter = adapterNumber(50);
    for (auto _ : state) {
        benchmark::DoNotOptimize(loaded.table.probe(adapter, loaded.now));
    }
}
BENCHMARK(probeAdapter)->Arg(0)->Arg(60)->Repetitions(9)->ReportAggregatesOnly();

/// One grant while the given number of permit requests is pending.
void grantLoad(benchmark::State &state)
{
    LoadBudget budget(Epoch(1), {.perSecond = 1'000'000, .concurrent = 1}, Instant(0));
    const HostId host("entry-1");
    Instant now(10'000);
    int next = 0;
    for (; next < state.range(0); ++next) {
        budget.requestPermit(host, UpstreamId("engine"), adapterNumber(next), {1, 0}, now);
    }
    for (auto _ : state) {
        budget.requestPermit(host, UpstreamId("engine"), adapterNumber(next++), {1, 0}, now);
        now = now + Milliseconds(1);
        for (const Grant &grant : budget.takeGrants(now)) {
            budget.release(grant.permit, now);
        }
    }
}
BENCHMARK(grantLoad)->Arg(10)->Arg(1'000)->Repetitions(9)->ReportAggregatesOnly();

} // namespace

} // namespace baobabstall::engines

BENCHMARK_MAIN();
