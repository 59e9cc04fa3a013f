// Cost of finding a key's workspace among those of a large deployment.
#include <benchmark/benchmark.h>

#include <workspaces/keytable.h>

namespace {

using baobabstall::workspaces::KeyOwner;
using baobabstall::workspaces::KeyTable;

void findKey(benchmark::State &state)
{
    KeyTable table;
    std::vector<std::string> keys;
    for (std::int64_t i = 0; i < state.range(0); ++i) {
        keys.push_back("kvwxyz0123456789" + std::to_string(i));
        table.add(keys.back(), KeyOwner(static_cast<std::uint64_t>(i)));
    }
    std::size_t next = 0;
    constexpr std::size_t stride = 7'919; // visits keys out of order
    for (auto each : state) {
        benchmark::DoNotOptimize(table.find(keys[next]));
        next = (next + stride) % keys.size();
    }
    state.counters["table_bytes"] = static_cast<double>(table.bytes());
}
BENCHMARK(findKey)->Arg(320)->Arg(40'000);

} // namespace

BENCHMARK_MAIN(); // NOLINT
