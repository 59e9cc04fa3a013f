// limits_bench: limits, retries and refusals under load and faults, on virtual time, against bounds.
//
//   limits_bench [--seed N] [--json FILE]
//
// Each row has the measure with the mechanism and with it switched off. A row holds when the first keeps the bound and the second
// breaks it: a bound that nothing can break proves nothing. Exit code: 0 all rows hold, 1 a row does not, 2 wrong use.
#include <algorithm>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <string>

#include <boost/program_options.hpp>
#include <nlohmann/json.hpp>

#include "world.h"

namespace {

using namespace baobabstall;
using core::Milliseconds;
using core::PlanId;
using limits::Callers;
using limits::PlanLoad;
using limits::Result;
using limits::World;

constexpr double steadyLoad = 0.9;            // of its share of capacity, for a plan that behaves
constexpr double floodFactor = 10;            // times its share
constexpr Milliseconds floodCounted{300'000}; // enough requests of the smallest plan to tell a loss from chance
constexpr double overloadFactor = 3;          // times capacity

struct Row {
    std::string measure;
    double with = 0;
    double without = 0;
    double bound = 0;
    bool atMost = true; // else at least

    [[nodiscard]] bool keeps(double value) const { return atMost ? value <= bound : value >= bound; }
    [[nodiscard]] bool holds() const { return keeps(with) && !keeps(without); }
};

/// Four plans with shares 4:3:2:1, each at `load` times its share of capacity.
std::vector<PlanLoad> fourPlans(const World &world, double load)
{
    std::vector<PlanLoad> loads;
    const double sharesTotal = 10;
    for (const double share : {4.0, 3.0, 2.0, 1.0}) {
        const double perSecond = load * world.capacityPerSecond() * share / sharesTotal;
        loads.push_back({PlanId("share-" + std::to_string(static_cast<int>(share))), share, perSecond});
    }
    return loads;
}

/// Largest part of its goodput that any other plan loses when one floods; each plan is the flooding one in turn.
double worstLoss(const World &world)
{
    const std::vector<PlanLoad> steady = fourPlans(world, steadyLoad);
    const Result before = limits::run(world, steady);
    double worst = 0;
    for (std::size_t flooding = 0; flooding < steady.size(); ++flooding) {
        std::vector<PlanLoad> loads = steady;
        loads[flooding].perSecond *= floodFactor / steadyLoad;
        const Result after = limits::run(world, loads);
        for (const PlanLoad &load : steady) {
            if (load.plan != steady[flooding].plan) {
                const double loss = 1 - static_cast<double>(after.plans.at(load.plan).good) / before.plans.at(load.plan).good;
                worst = std::max(worst, loss);
            }
        }
    }
    return worst;
}

double peakGoodput(const World &world)
{
    double peak = 0;
    for (const double load : {0.7, 0.8, 0.9, 1.0, 1.1}) {
        peak = std::max(peak, limits::run(world, fourPlans(world, load)).goodPerSecond());
    }
    return peak;
}

World unlimited(World world)
{
    world.limitsPlans = false;
    world.queuesFairly = false;
    return world;
}

Row floodAtEngines(World world)
{
    world.counted = floodCounted;
    return {"flood at 10 x share, engines full: largest loss of goodput of another plan", worstLoss(world), worstLoss(unlimited(world)), 0.10, true};
}

/// Plain services: no owner queues before them, the daemons' slots are all that protects plans from each other.
Row floodAtEntry(World world)
{
    constexpr int concurrency = 114; // nine replicas take as many requests at once as two daemons
    world.counted = floodCounted;
    world.daemons = 2;
    world.admission.engineConcurrency = concurrency;
    world.admission.maxInFlight = world.engines * concurrency / world.daemons;
    world.queuesFairly = false;
    return {"flood at 10 x share, daemons full: largest loss of goodput of another plan", worstLoss(world), worstLoss(unlimited(world)), 0.10, true};
}

Row retriesOfHalfFailing(World world)
{
    constexpr double load = 0.5; // of the sound half
    world.failing = 0.5;
    World unbudgeted = world;
    unbudgeted.budgeted = false;
    const auto attempts = [&](const World &each) {
        const auto total = limits::run(each, fourPlans(each, load)).total();
        return static_cast<double>(total.attempts) / total.requests;
    };
    return {"half of the engines fail: attempts for each request", attempts(world), attempts(unbudgeted), 1.2, true};
}

Row overload(const World &world)
{
    const double peak = peakGoodput(world);
    const auto share = [&](const World &each) { return limits::run(each, fourPlans(each, overloadFactor)).goodPerSecond() / peak; };
    return {"3 x capacity: goodput as a share of the peak", share(world), share(unlimited(world)), 0.90, false};
}

Row refusalDelay(const World &world)
{
    const auto longest = [&](const World &each) { return static_cast<double>(limits::run(each, fourPlans(each, overloadFactor)).longestRefusal.count()); };
    return {"3 x capacity: longest time from decision point to refusal, ms", longest(world), longest(unlimited(world)), 50, true};
}

Row refusalsWithRetryAfter(const World &world)
{
    const auto share = [&](const World &each) {
        const auto total = limits::run(each, fourPlans(each, overloadFactor)).total();
        return static_cast<double>(total.refusedWithRetryAfter) / std::max(1, total.refused + total.expired);
    };
    return {"3 x capacity: share of refusals with Retry-After", share(world), share(unlimited(world)), 1, false};
}

Row refusedLater(const World &world)
{
    const auto share = [&](const World &each) {
        const Result result = limits::run(each, fourPlans(each, overloadFactor));
        const auto total = result.total();
        return static_cast<double>(result.waitsOfRefused.size()) / std::max(1, total.refused + total.expired);
    };
    return {"3 x capacity: share of refusals that hit what had been taken in", share(world), share(unlimited(world)), 0.01, true};
}

/// A burst of 2.5 times capacity for 20 s; refused callers return up to five times.
Row returningCallers(World world)
{
    constexpr double load = 0.5;
    world.burst = Milliseconds(20'000);
    world.burstFactor = 5;
    const auto served = [&](Callers callers) {
        world.callers = callers;
        const auto total = limits::run(world, fourPlans(world, load)).total();
        return static_cast<double>(total.good) / total.requests;
    };
    return {"burst, refused callers return as told: share served", served(Callers::ReturnAsTold), served(Callers::ReturnEverySecond), 0.95, false};
}

void print(const std::vector<Row> &rows)
{
    std::printf("%-78s %10s %10s %10s  %s\n", "measure", "with", "without", "bound", "verdict");
    for (const Row &row : rows) {
        const char *verdict = row.holds() ? "holds" : row.keeps(row.with) ? "VOID: holds without too" : "BROKEN";
        std::printf("%-78s %10.3f %10.3f %s %8.3f  %s\n", row.measure.c_str(), row.with, row.without, row.atMost ? "<=" : ">=", row.bound, verdict);
    }
}

bool writeJson(const std::string &path, unsigned seed, const std::vector<Row> &rows)
{
    nlohmann::json document{{"bench", "limits"}, {"seed", seed}, {"rows", nlohmann::json::array()}};
    for (const Row &row : rows) {
        document["rows"].push_back({{"measure", row.measure},
                                    {"with", row.with},
                                    {"without", row.without},
                                    {"bound", row.bound},
                                    {"direction", row.atMost ? "at_most" : "at_least"},
                                    {"holds", row.holds()}});
    }
    std::ofstream file(path);
    file << document.dump(2) << '\n';
    return file.good();
}

int runBench(unsigned seed, const std::string &jsonFile)
{
    World world;
    world.seed = seed;
    const std::vector<Row> rows = {floodAtEngines(world),
                                   floodAtEntry(world),
                                   retriesOfHalfFailing(world),
                                   overload(world),
                                   refusalDelay(world),
                                   refusalsWithRetryAfter(world),
                                   refusedLater(world),
                                   returningCallers(world)};
    std::printf("limits_bench, seed %u\n", seed);
    print(rows);
    const bool written = jsonFile.empty() || writeJson(jsonFile, seed, rows);
    const bool allHold = std::all_of(rows.begin(), rows.end(), [](const Row &row) { return row.holds(); });
    return written && allHold ? 0 : 1;
}

} // namespace

int main(int argc, char **argv)
{
    namespace options = boost::program_options;
    unsigned seed = 1;
    std::string jsonFile;
    options::options_description description("limits_bench: limits, retries and refusals against their bounds");
    description.add_options()("help", "this text")("seed", options::value(&seed)->default_value(1), "of arrivals and times of service")(
        "json", options::value(&jsonFile), "also write the rows to this file");
    options::variables_map chosen;
    try {
        options::store(options::parse_command_line(argc, argv, description), chosen);
        options::notify(chosen);
    } catch (const options::error &error) {
        std::cerr << "limits_bench: " << error.what() << "; see --help\n";
        return 2;
    }
    if (chosen.count("help") > 0) {
        std::cout << description;
        return 0;
    }
    return runBench(seed, jsonFile);
}
