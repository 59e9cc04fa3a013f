// The order of requests at one replica of a crowded plain service, and 71 hosts in front of three of them, on virtual time.
#include <serving/scarceroom.h>

#include <iostream>

#include <gtest/gtest.h>

#include "plainfleet.h"

namespace baobabstall::serving {
namespace {

using tests::PlainCall;
using tests::PlainCounts;
using tests::PlainFleet;
using tests::Rule;

constexpr int hosts = 71;
constexpr int replicas = 3;
constexpr double capacity = 600; // requests a second: 18 places, 30 ms each
constexpr Instant begin(1'000);
constexpr Instant end(11'000);

PlainCounts playAt(Rule rule, double demand, std::uint64_t seed = 1)
{
    PlainFleet fleet(rule, hosts, replicas, seed);
    fleet.play({}, capacity * demand, begin, end);
    fleet.runUntil(end + Milliseconds(3'000));
    auto counts = fleet.counts(0);
    std::cout << "rule " << static_cast<int>(rule) << " demand " << demand << ": asked " << counts.asked << ", on time " << counts.onTime << ", late "
              << counts.late << ", refused " << counts.refused << ", mean " << counts.meanMs() << " ms, replicas refused " << fleet.replicaRefusals()
              << ", owner calls " << fleet.ownerCalls() << '\n';
    return counts;
}

TEST(ScarceTrial, sweep)
{
    for (const auto rule : {Rule::Assumed, Rule::Learnt, Rule::Owners}) {
        for (const double demand : {0.5, 0.7, 0.9, 1.0, 1.2, 1.6, 2.0, 3.0}) {
            playAt(rule, demand);
        }
    }
}

} // namespace
} // namespace baobabstall::serving
