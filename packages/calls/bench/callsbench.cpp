// Cost of at-most-once: one keyed call through its partition, and the state of a partition by the number of its keys.

#include <benchmark/benchmark.h>

#include <calls/calls.h>

using namespace baobabstall::calls;
using baobabstall::core::Outcome;

namespace {

/// Appends whatever is decided and reads it back at once.
class Owner
{
public:
    Owner() { take(partition.beginOwnership(Epoch(1))); }

    void call(std::uint64_t at)
    {
        IdempotencyKey key{CustomerId("customer-" + std::to_string(at % 100)), "booking-" + std::to_string(at)};
        auto answer = partition.begin(key, at);
        take({Append{std::get<AppendIntent>(answer).record}});
        take(partition.finished(key, {Outcome::Ran, 201, "application/json", std::string(100, 'x'), true}));
    }

    CallPartition partition{0, {HostId("entry-1"), Incarnation(1'700'000'000'000)}};
    std::uint64_t offset = 0;

private:
    void take(const std::vector<Action> &decisions)
    {
        for (const auto &decision : decisions) {
            if (const auto *append = std::get_if<Append>(&decision)) {
                take(partition.onRecord(Offset(++offset), append->record));
            }
        }
    }
};

void wholeCall(benchmark::State &state)
{
    Owner owner;
    std::uint64_t at = 0;
    for (auto _ : state) {
        owner.call(++at);
        owner.partition.trim(Offset(owner.offset > 10'000 ? owner.offset - 10'000 : 1));
    }
}
BENCHMARK(wholeCall)->Unit(benchmark::kMicrosecond);

void partitionBytes(benchmark::State &state)
{
    Owner owner;
    for (std::int64_t at = 0; at < state.range(0); ++at) {
        owner.call(static_cast<std::uint64_t>(at));
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
