// Program policy_bench: the real decision classes against three baselines, same seed and arrivals, on virtual time.
#include <algorithm>
#include <array>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <set>
#include <string>

#include <boost/program_options.hpp>
#include <nlohmann/json.hpp>

#include <policybench/simulation.h>

namespace baobabstall::policybench {

namespace {

constexpr double worstOther = 1.05; // on the measure that users weigh less

struct Row {
    std::string deployment;
    Scenario scenario = Scenario::Steady;
    std::string policy;
    Result result;
};

using Run = Result (*)(const Deployment &, Scenario, const std::vector<Arrival> &, std::uint64_t);

template<typename Policy>
Result runPolicy(const Deployment &deployment, Scenario scenario, const std::vector<Arrival> &arrivals, std::uint64_t seed)
{
    return Simulation<Policy>(deployment, scenario, arrivals, seed).run();
}

struct NamedPolicy {
    const char *name;
    Run run;
};

constexpr std::array<NamedPolicy, 4> policies{{{"baobabstall", runPolicy<BaobabPolicy>},
                                               {"random+lru", runPolicy<RandomPolicy>},
                                               {"hash+lru", runPolicy<FixedHashPolicy>},
                                               {"least-loaded+lru", runPolicy<LeastLoadedPolicy>}}};

void printHeader(const Deployment &deployment, Scenario scenario)
{
    std::printf("\n%s, %s\n", deployment.name.c_str(), scenarioName(scenario).c_str());
    std::printf("  %-17s %8s %8s %8s %7s %7s %7s %8s %7s %8s %7s\n",
                "policy",
                "p50 ms",
                "p95 ms",
                "p99 ms",
                "waits",
                "loads/s",
                "fill",
                "refused",
                "cut",
                "goodput",
                "worst");
}

void printRow(const Row &row)
{
    const Result &r = row.result;
    std::printf("  %-17s %8.0f %8.0f %8.0f %6.1f%% %7.2f %6.1f%% %7.1f%% %6.2f%% %8.2f %6.1f%%\n",
                row.policy.c_str(),
                r.stallP50,
                r.stallP95,
                r.stallP99,
                100 * r.waitShare,
                r.loadsPerSecond,
                100 * r.batchFill,
                100 * r.refusedShare,
                100 * r.failedShare,
                r.goodput,
                100 * r.worstPlan);
}

/// Whether the stalls of `own` are better than `factor` times those of `other`. Two 95th percentiles at the longest wait allowed say
/// nothing, since refused requests count as just that: then the shares of refused requests decide.
bool hasBetterStalls(const Result &own, const Result &other, double factor)
{
    const auto longest = static_cast<double>(settings::Admission().maxQueueWait.count());
    if (own.stallP95 >= longest && other.stallP95 >= longest) {
        return own.refusedShare < other.refusedShare * factor;
    }
    return own.stallP95 < other.stallP95 * factor;
}

/// The broken bounds of one scenario, in words.
std::vector<std::string> checkBounds(const Deployment &deployment, const std::vector<Row> &rows)
{
    std::vector<std::string> broken;
    const Result &own = rows.front().result;
    for (std::size_t index = 1; index < rows.size(); ++index) {
        const Result &other = rows[index].result;
        const std::string where = deployment.name + ", " + scenarioName(rows[index].scenario) + ", against " + rows[index].policy + ": ";
        if (deployment.stallsFirst) {
            if (!hasBetterStalls(own, other, 1)) {
                broken.push_back(where + "stall p95 is not better");
            }
            if (own.waitShare >= other.waitShare) {
                broken.push_back(where + "the share that waits is not better");
            }
            if (own.batchFill * worstOther < other.batchFill) {
                broken.push_back(where + "batch fill is over 5% worse");
            }
        } else {
            if (own.batchFill <= other.batchFill) {
                broken.push_back(where + "batch fill is not better");
            }
            if (!hasBetterStalls(own, other, worstOther)) {
                broken.push_back(where + "stall p95 is over 5% worse");
            }
            if (own.waitShare > other.waitShare * worstOther) {
                broken.push_back(where + "the share that waits is over 5% worse");
            }
        }
    }
    return broken;
}

nlohmann::json toJson(const Row &row)
{
    const Result &r = row.result;
    return {{"deployment", row.deployment},
            {"scenario", scenarioName(row.scenario)},
            {"policy", row.policy},
            {"requests", r.counted},
            {"stall_p50_ms", r.stallP50},
            {"stall_p95_ms", r.stallP95},
            {"stall_p99_ms", r.stallP99},
            {"wait_share", r.waitShare},
            {"loads_per_second", r.loadsPerSecond},
            {"batch_fill", r.batchFill},
            {"refused_share", r.refusedShare},
            {"cut_share", r.failedShare},
            {"goodput_per_second", r.goodput},
            {"worst_plan_served_share", r.worstPlan}};
}

std::string aboutText()
{
    return "Drives the real engine tables, load budget, placement and eviction with fake engines on virtual time, beside three baselines\n"
           "(random replica, fixed hash, least loaded; each with LRU and first-come permits) under the same queues, limits and store budget.\n"
           "\n"
           "Assumed: 8 slots an engine, 16 requests at once, a step of 20 ms plus 0.5 ms for each further request in the batch, loads of 250 ms,\n"
           "1 ms a message; Zipf popularity over 3,000 adapters; plans large, medium and small with shares 4, 2 and 1 on 10, 30 and 60% of the\n"
           "adapters. vloerwerk: 9 replicas, 3 loads/s, 2 at once, 12 requests/s of 200 steps, exponent 1.3. swellcast: 18 replicas, 5 loads/s,\n"
           "3 at once, 10 requests/s of 100 steps, exponent 1.05. 300 s, measured from 60 s; at 150 s the dawn shift, the restart of one replica,\n"
           "or until 240 s a store six times slower, or one plan sending ten times its traffic on top (its own requests are then not counted).\n"
           "\n"
           "stall: from arrival to start; a refused request counts as max_queue_wait (5 s). waits: share of requests that did not\n"
           "start within 20 ms, refused ones included. fill: running requests / 16 over the time in which an engine runs any. worst: least\n"
           "share of a plan's requests that were answered whole. Exit code 1: a bound is broken.\n\n";
}

int runBench(std::uint64_t seed, const std::string &jsonFile)
{
    nlohmann::json all = nlohmann::json::array();
    std::vector<std::string> broken;
    for (const Deployment &deployment : {vloerwerk(), swellcast()}) {
        for (int number = 0; number < scenarioCount; ++number) {
            const auto scenario = static_cast<Scenario>(number);
            const auto arrivals = makeArrivals(deployment, scenario, seed);
            printHeader(deployment, scenario);
            std::vector<Row> rows;
            for (const NamedPolicy &policy : policies) {
                rows.push_back({deployment.name, scenario, policy.name, policy.run(deployment, scenario, arrivals, seed)});
                printRow(rows.back());
                all.push_back(toJson(rows.back()));
            }
            const auto here = checkBounds(deployment, rows);
            broken.insert(broken.end(), here.begin(), here.end());
        }
    }
    if (!jsonFile.empty()) {
        std::ofstream(jsonFile) << nlohmann::json{{"seed", seed}, {"rows", all}, {"broken", broken}}.dump(2) << '\n';
    }
    std::printf("\nseed %llu, %zu bounds broken\n", static_cast<unsigned long long>(seed), broken.size());
    for (const std::string &each : broken) {
        std::printf("  %s\n", each.c_str());
    }
    return broken.empty() ? 0 : 1;
}

} // namespace

} // namespace baobabstall::policybench

int main(int argc, char **argv)
{
    namespace options = boost::program_options;
    std::uint64_t seed = 1;
    std::string jsonFile;
    options::options_description description(baobabstall::policybench::aboutText() + "Options");
    description.add_options()("help", "this text")("seed", options::value(&seed)->default_value(1), "of arrivals and of the random baseline")(
        "json", options::value(&jsonFile), "also write the figures to this file");
    options::variables_map values;
    try {
        options::store(options::parse_command_line(argc, argv, description), values);
        options::notify(values);
    } catch (const options::error &failure) {
        std::cerr << "policy_bench: " << failure.what() << '\n';
        return 2;
    }
    if (values.count("help") > 0) {
        std::cout << description;
        return 0;
    }
    return baobabstall::policybench::runBench(seed, jsonFile);
}
