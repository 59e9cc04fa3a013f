// Cost of at-most-once execution: CPU time of one call with an idempotency key, and memory of a partition by its number of keys.

#include <benchmark/benchmark.h>

#include <calls/calls.h>

using namespace baobabstall::calls;
using baobabstall::core::Outcome;

namespace {

/// Appends records as required and reads them back immediately.
class Owner
{
public:
    Owner() { execute(partition.beginOwnership(Epoch(1))); }

    void call(std::uint64_t index)
    {
        IdempotencyKey key{CustomerId("customer-" + std::to_string(index % 100)), "booking-" + std::to_string(index)};
        auto beginResult = partition.begin(key, index);
        execute({Append{std::get<AppendIntent>(beginResult).record}});
        execute(partition.finished(key, {Outcome::Ran, 201, "application/json", std::string(100, 'x'), true}));
    }

    CallPartition partition{0, {HostId("entry-1"), Incarnation(1'700'000'000'000)}};
    std::uint64_t offset = 0;

private:
    void execute(const std::vector<Action> &decisions)
    {
        for (const auto &decision : decisions) {
            if (const auto *append = std::get_if<Append>(&decision)) {
                execute(partition.onRecord(Offset(++offset), append->record));
            }
        }
    }
};

void wholeCall(benchmark::State &state)
{
    Owner owner;
    std::uint64_t index = 0;
    for (auto _ : state) {
        owner.call(++index);
        owner.partition.trim(Offset(owner.offset > 10'000 ? owner.offset - 10'000 : 1));
    }
}
BENCHMARK(wholeCall)->Unit(benchmark::kMicrosecond);

void partitionBytes(benchmark::State &state)
{
    Owner owner;
    for (std::int64_t index = 0; index < state.range(0); ++index) {
        owner.call(static_cast<std::uint64_t>(index));
    }
    for (auto _ : state) {
        benchmark::DoNotOptimize(owner.partition.keyCount());
    }
    state.counters["state_bytes"] = static_cast<double>(owner.partition.approximateBytes());
    state.counters["bytes_per_key"] = static_cast<double>(owner.partition.approximateBytes()) / static_cast<double>(state.range(0));
}
BENCHMARK(partitionBytes)->Arg(1'000)->Arg(10'000)->Arg(100'000);

} // namespace

BENCHMARK_MAIN();
