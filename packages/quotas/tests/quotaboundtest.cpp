#include <gtest/gtest.h>

#include <cstdlib>

#include "quotaattack.h"

namespace baobabstall::quotas::tests {
namespace {

constexpr std::uint64_t defaultSeeds = 10'000;

std::uint64_t numberFrom(const char *variable, std::uint64_t otherwise)
{
    const char *text = std::getenv(variable); // NOLINT(concurrency-mt-unsafe): the test has one thread
    return text == nullptr ? otherwise : std::strtoull(text, nullptr, 10);
}

// Load: greedy callers, in every second schedule around failures, under lost, late, doubled and reordered messages, killed, frozen and cut off hosts and
// owners, owners one after the other, and limits that change. BAOBAB_QUOTA_SEED plays one seed, BAOBAB_QUOTA_SEEDS another number of them.
TEST(QuotaBound, no_window_of_any_schedule_spends_more_than_the_bound)
{
    const auto one = numberFrom("BAOBAB_QUOTA_SEED", 0);
    const auto first = one > 0 ? one : 1;
    const auto last = one > 0 ? one : numberFrom("BAOBAB_QUOTA_SEEDS", defaultSeeds);
    double worst = 0;
    double spent = 0;
    for (auto seed = first; seed <= last; ++seed) {
        const auto schedule = seed % 2 == 0 ? std::make_unique<Attack>(seed) : std::make_unique<Schedule>(seed);
        schedule->run();
        const double excess = schedule->excessSeconds();
        ASSERT_LE(excess, slackSeconds + 1e-6) << "BAOBAB_QUOTA_SEED=" << seed;
        worst = std::max(worst, excess);
        spent += schedule->spent();
    }
    EXPECT_GT(spent, 0);
    RecordProperty("worst_excess_ms", static_cast<int>(worst * msPerSecond));
    std::printf("largest excess over perSecond x W + burst: %.3f s of perSecond, of %.3f allowed\n", worst, slackSeconds);
}

} // namespace
} // namespace baobabstall::quotas::tests
