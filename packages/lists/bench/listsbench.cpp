// Cost of the lists at the target size of 8,000 customers with three adapters each, and at two more sizes to show how it scales.
// The program fails if a change takes longer than its limit.
#include <array>
#include <chrono>
#include <iostream>

#include <benchmark/benchmark.h>
#include <nlohmann/json.hpp>

#include <lists/lists.h>

namespace baobabstall::lists {

namespace {

using core::Offset;
using nlohmann::json;

constexpr double maxChangeMs = 10;                // one change, at the target size
constexpr std::array sizes{2'000, 8'000, 32'000}; // customers
constexpr std::int64_t timeMs = 1'000'000;

std::string customerName(std::int64_t i)
{
    return "customer-" + std::to_string(i);
}

json customerJson(std::int64_t i, const std::string &plan)
{
    return {{"plan", plan}, {"keys", {keyDigestText(digestOfKey(customerName(i)))}}};
}

std::string plansPatch(int revision)
{
    json adapters;
    for (const auto *task : {"brief", "comparison", "outlook"}) {
        adapters[task] = {{"versions", {"v" + std::to_string(revision)}}, {"base_model", "base-a"}};
    }
    return json{{"plans", {{"school", {{"share", 2}, {"max_in_flight", 20}, {"adapters", adapters}}}}}}.dump();
}

/// Writes records and applies them immediately, without a log.
class BenchmarkLists
{
public:
    explicit BenchmarkLists(std::int64_t customers)
    {
        json patch;
        for (std::int64_t i = 0; i < customers; ++i) {
            patch["customers"][customerName(i)] = customerJson(i, "school");
        }
        apply(ListName::Plans, plansPatch(0));
        apply(ListName::Customers, patch.dump());
    }

    std::vector<OutgoingRecord> write(ListName list, const std::string &patch)
    {
        core::Error why;
        return ListsState::changeRecords(list, state.inForce(list).version, patch, "ops", "group-" + std::to_string(++groups_), why).value();
    }

    void apply(ListName list, const std::string &patch)
    {
        for (const auto &record : write(list, patch)) {
            applyRecord(record.text);
        }
    }

    Verdict applyRecord(const std::string &record) { return state.apply(state.position().next(), timeMs, record); }

    ListsState state;

private:
    int groups_ = 0;
};

/// Measures only `work`, with `prepare` before each iteration.
template<typename Prepare, typename Work>
void measure(benchmark::State &state, Prepare prepare, Work work)
{
    for (auto _ : state) {
        auto input = prepare();
        const auto begin = std::chrono::steady_clock::now();
        work(input);
        state.SetIterationTime(std::chrono::duration<double>(std::chrono::steady_clock::now() - begin).count());
    }
}

void applyCustomerChange(benchmark::State &state)
{
    BenchmarkLists lists(state.range(0));
    std::int64_t revision = 0;
    std::size_t bytes = 0;
    const auto prepare = [&] {
        const auto customer = ++revision % state.range(0);
        const json patch{{"customers", {{customerName(customer), {{"plan", "plan-" + std::to_string(revision)}}}}}};
        auto record = lists.write(ListName::Customers, patch.dump()).at(0).text;
        bytes = record.size();
        return record;
    };
    measure(state, prepare, [&](const std::string &record) { benchmark::DoNotOptimize(lists.applyRecord(record)); });
    state.counters["record_bytes"] = static_cast<double>(bytes);
}

void applyPlanChange(benchmark::State &state)
{
    BenchmarkLists lists(state.range(0));
    int revision = 0;
    const auto prepare = [&] { return lists.write(ListName::Plans, plansPatch(++revision)).at(0).text; };
    measure(state, prepare, [&](const std::string &record) { benchmark::DoNotOptimize(lists.applyRecord(record)); });
}

void findCustomer(benchmark::State &state)
{
    const BenchmarkLists lists(state.range(0));
    const auto key = digestOfKey(customerName(state.range(0) / 2));
    core::Error why;
    for (auto _ : state) {
        benchmark::DoNotOptimize(lists.state.findCustomer(key, why));
    }
}

void grant(benchmark::State &state)
{
    const BenchmarkLists lists(state.range(0));
    const core::CustomerId customer(customerName(state.range(0) / 2));
    const core::AdapterRef ref{customer, core::AdapterName("outlook"), core::AdapterVersion("v0")};
    core::Error why;
    for (auto _ : state) {
        benchmark::DoNotOptimize(lists.state.grant(customer, ref, why));
    }
}

void writeSnapshot(benchmark::State &state)
{
    const BenchmarkLists lists(state.range(0));
    core::Error why;
    std::size_t bytes = 0;
    for (auto _ : state) {
        const auto records = lists.state.snapshotRecords(ListName::Customers, timeMs, "s", why).value();
        bytes = 0;
        for (const auto &record : records) {
            bytes += record.text.size();
        }
    }
    state.counters["bytes"] = static_cast<double>(bytes);
}

/// A reader that starts after the changes expired reads all parts of the snapshot.
void readSnapshot(benchmark::State &state)
{
    const BenchmarkLists lists(state.range(0));
    core::Error why;
    const auto records = lists.state.snapshotRecords(ListName::Customers, timeMs, "s", why).value();
    for (auto _ : state) {
        ListsState reader;
        auto offset = lists.state.position().next();
        for (const auto &record : records) {
            reader.apply(offset, timeMs, record.text);
            offset = offset.next();
        }
        if (reader.inForce(ListName::Customers).entryCount != static_cast<std::size_t>(state.range(0))) {
            state.SkipWithError("the snapshot was rejected");
        }
    }
}

void importFromPeer(benchmark::State &state)
{
    const BenchmarkLists lists(state.range(0));
    const auto text = lists.state.exportSnapshot(timeMs).value();
    core::Error why;
    for (auto _ : state) {
        ListsState reader;
        if (!reader.importSnapshot(text, why)) {
            state.SkipWithError("the export was rejected");
        }
    }
}

template<typename Function>
void addAll(const char *name, Function function, bool manualTime, benchmark::TimeUnit unit)
{
    auto *bench = benchmark::RegisterBenchmark(name, function)->Unit(unit);
    for (const auto size : sizes) {
        bench->Arg(size);
    }
    if (manualTime) {
        bench->UseManualTime();
    }
}

/// Prints to the console and records whether a change exceeded its limit or a benchmark failed.
class LimitReporter : public benchmark::ConsoleReporter
{
public:
    void ReportRuns(const std::vector<Run> &runs) override
    {
        ConsoleReporter::ReportRuns(runs);
        for (const auto &run : runs) {
            const bool isChange = run.benchmark_name().starts_with("apply");
            const auto ms = run.real_accumulated_time / static_cast<double>(std::max<benchmark::IterationCount>(run.iterations, 1)) * msPerSecond;
            if (run.error_occurred || (isChange && ms > maxChangeMs)) {
                std::cout << "limit exceeded: " << run.benchmark_name() << " took " << ms << " ms, allowed " << maxChangeMs << " ms\n";
                failed_ = true;
            }
        }
    }

    [[nodiscard]] bool failed() const { return failed_; }

private:
    static constexpr double msPerSecond = 1'000;
    bool failed_ = false;
};

} // namespace

} // namespace baobabstall::lists

int main(int argc, char **argv)
{
    using namespace baobabstall::lists;
    benchmark::Initialize(&argc, argv);
    addAll("applyCustomerChange", applyCustomerChange, true, benchmark::kMicrosecond);
    addAll("applyPlanChange", applyPlanChange, true, benchmark::kMicrosecond);
    addAll("findCustomer", findCustomer, false, benchmark::kNanosecond);
    addAll("grant", grant, false, benchmark::kNanosecond);
    addAll("writeSnapshot", writeSnapshot, false, benchmark::kMillisecond);
    addAll("readSnapshot", readSnapshot, false, benchmark::kMillisecond);
    addAll("importFromPeer", importFromPeer, false, benchmark::kMillisecond);
    LimitReporter reporter;
    benchmark::RunSpecifiedBenchmarks(&reporter);
    return reporter.failed() ? 1 : 0;
}
