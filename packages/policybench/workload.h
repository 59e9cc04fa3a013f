// policybench/workload.h: deployments, scenarios and seeded arrivals of the policy bench. Virtual time in milliseconds from 0.
//
// Index
//   Deployment    sizes and traffic of the two deployments
//   Scenario      what happens in the middle of a run
//   Arrival       one request
//   makeArrivals  the same list for every policy
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include <core/types.h>
#include <settings/settings.h>

namespace baobabstall::policybench {

using core::AdapterRef;
using core::Instant;
using core::Milliseconds;

struct Plan {
    core::PlanId id;
    double share = 1;      // weight in the fair order
    int adaptersInTen = 0; // of each ten adapters this many belong to the plan
};

struct Deployment {
    std::string name;
    std::string profile;      // of placement
    bool stallsFirst = false; // the measure its users weigh most: stalls, else batch fill
    int replicas = 0;
    int zones = 0;
    int slots = 8; // adapters an engine holds at once
    int adapters = 3'000;
    double storePerSecond = 0;
    int storeConcurrent = 0;
    int storeFullSpeed = 0; // loads in flight at which a load gets slower
    double requestsPerSecond = 0;
    double zipf = 1;      // exponent of popularity over the adapters' ranks
    double meanSteps = 0; // decoding steps of a request, geometric
    std::vector<Plan> plans;
};

[[nodiscard]] Deployment vloerwerk();
[[nodiscard]] Deployment swellcast();

enum class Scenario : std::uint8_t { Steady, DawnShift, ReplicaRestart, StoreSlowed, PlanFlooding };
constexpr int scenarioCount = 5;
[[nodiscard]] std::string scenarioName(Scenario scenario);

constexpr Instant measuredFrom(60'000); // before it caches warm up
constexpr Instant eventAt(150'000);     // dawn, restart; begin of slow store and flood
constexpr Instant eventEnd(240'000);    // end of slow store and flood
constexpr Instant arrivalsEnd(300'000);
constexpr int storeSlowdown = 6;        // factor on a load's time while the store is slow
constexpr double floodFactor = 10;      // a flooding plan sends this multiple of its traffic on top
constexpr std::size_t floodingPlan = 0; // index into Deployment::plans

struct Arrival {
    Instant at;
    int adapter = 0;
    std::size_t plan = 0;
    int steps = 0;
    bool flood = false; // part of the flood; not counted in the measures
};

[[nodiscard]] std::vector<Arrival> makeArrivals(const Deployment &deployment, Scenario scenario, std::uint64_t seed);
[[nodiscard]] AdapterRef adapterRef(int adapter);

} // namespace baobabstall::policybench
