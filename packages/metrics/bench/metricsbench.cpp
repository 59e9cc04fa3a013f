#include <benchmark/benchmark.h>

#include <string>

#include <metrics/metrics.h>

namespace baobabstall::metrics {

namespace {

using core::Milliseconds;

void observeByLabels(benchmark::State &state)
{
    Metrics metrics;
    std::vector<std::string> customers;
    for (std::int64_t i = 0; i < state.range(0); ++i) {
        customers.push_back("customer-" + std::to_string(i));
    }
    std::size_t next = 0;
    for (auto _ : state) {
        next = (next + 1) % customers.size();
        metrics.queueWait.observe({customers[next], "gold"}, Milliseconds(17));
    }
}
BENCHMARK(observeByLabels)->Arg(16)->Arg(256)->Arg(8'000);

void observeOneToken(benchmark::State &state)
{
    Metrics metrics;
    const std::size_t series = metrics.timeBetweenTokens.series({"customer", "gold"});
    for (auto _ : state) {
        metrics.timeBetweenTokens.observe(series, Milliseconds(17));
    }
}
BENCHMARK(observeOneToken);

/// The text for one scrape, with so many customers in all four histograms by customer.
void scrape(benchmark::State &state)
{
    Metrics metrics;
    for (std::int64_t i = 0; i < state.range(0); ++i) {
        const std::string customer = "customer-" + std::to_string(i);
        for (Histogram *histogram : {&metrics.loadStall, &metrics.queueWait, &metrics.timeToFirstToken, &metrics.timeBetweenTokens}) {
            histogram->observe({customer, "gold"}, Milliseconds(17));
        }
    }
    std::size_t bytes = 0;
    for (auto _ : state) {
        bytes = metrics.registry.text().size();
    }
    state.counters["bytes"] = static_cast<double>(bytes);
}
BENCHMARK(scrape)->Arg(16)->Arg(64)->Arg(256)->Arg(8'000)->Unit(benchmark::kMicrosecond);

} // namespace

} // namespace baobabstall::metrics

BENCHMARK_MAIN(); // NOLINT
