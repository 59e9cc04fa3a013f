#include <policybench/workload.h>

#include <algorithm>
#include <cmath>
#include <numeric>
#include <random>

namespace baobabstall::policybench {

namespace {

constexpr double millisecondsPerSecond = 1'000;

std::vector<Plan> plansOfBoth()
{
    return {{core::PlanId("large"), 4, 1}, {core::PlanId("medium"), 2, 3}, {core::PlanId("small"), 1, 6}};
}

std::size_t planOf(const Deployment &deployment, int adapter)
{
    int place = adapter % 10;
    for (std::size_t plan = 0; plan < deployment.plans.size(); ++plan) {
        place -= deployment.plans[plan].adaptersInTen;
        if (place < 0) {
            return plan;
        }
    }
    return 0;
}

/// Draws adapters by popularity: rank k has weight k^-zipf, and a seeded permutation says which adapter has which rank.
class Popularity
{
public:
    Popularity(const Deployment &deployment, std::mt19937_64 &random)
        : adapterOfRank_(static_cast<std::size_t>(deployment.adapters))
    {
        std::iota(adapterOfRank_.begin(), adapterOfRank_.end(), 0);
        permute(random);
        double sum = 0;
        cumulative_.reserve(adapterOfRank_.size());
        for (std::size_t rank = 1; rank <= adapterOfRank_.size(); ++rank) {
            sum += std::pow(static_cast<double>(rank), -deployment.zipf);
            cumulative_.push_back(sum);
        }
    }
    void permute(std::mt19937_64 &random)
    {
        for (std::size_t last = adapterOfRank_.size() - 1; last > 0; --last) {
            std::swap(adapterOfRank_[last], adapterOfRank_[random() % (last + 1)]);
        }
    }
    int draw(double uniform) const
    {
        const auto found = std::lower_bound(cumulative_.begin(), cumulative_.end(), uniform * cumulative_.back());
        const auto rank = std::min<std::ptrdiff_t>(found - cumulative_.begin(), static_cast<std::ptrdiff_t>(adapterOfRank_.size()) - 1);
        return adapterOfRank_[static_cast<std::size_t>(rank)];
    }

private:
    std::vector<int> adapterOfRank_;
    std::vector<double> cumulative_;
};

/// Uniform in (0, 1), the same with every standard library.
double uniform(std::mt19937_64 &random)
{
    return (static_cast<double>(random() >> 11) + 0.5) / 9007199254740992.0;
}

int drawSteps(const Deployment &deployment, std::mt19937_64 &random)
{
    return 1 + static_cast<int>(-std::log(uniform(random)) * (deployment.meanSteps - 1));
}

void addFlood(const Deployment &deployment, std::vector<Arrival> &arrivals, const Popularity &popularity, std::mt19937_64 &random)
{
    const auto ofPlan = std::count_if(arrivals.begin(), arrivals.end(), [](const Arrival &arrival) { return arrival.plan == floodingPlan; });
    const double perMs = floodFactor * static_cast<double>(ofPlan) / static_cast<double>(arrivalsEnd.sinceOrigin());
    double at = static_cast<double>(eventAt.sinceOrigin());
    while (true) {
        at += -std::log(uniform(random)) / perMs;
        if (at >= static_cast<double>(eventEnd.sinceOrigin())) {
            break;
        }
        int adapter = popularity.draw(uniform(random));
        while (planOf(deployment, adapter) != floodingPlan) {
            adapter = popularity.draw(uniform(random));
        }
        arrivals.push_back({Instant(static_cast<std::int64_t>(at)), adapter, floodingPlan, drawSteps(deployment, random), true});
    }
    std::stable_sort(arrivals.begin(), arrivals.end(), [](const Arrival &a, const Arrival &b) { return a.at < b.at; });
}

} // namespace

Deployment vloerwerk()
{
    return {.name = "vloerwerk",
            .profile = "batches",
            .stallsFirst = false,
            .replicas = 9,
            .zones = 3,
            .storePerSecond = 3,
            .storeConcurrent = 2,
            .storeFullSpeed = 16,
            .requestsPerSecond = 12,
            .zipf = 1.3,
            .meanSteps = 200,
            .plans = plansOfBoth()};
}

Deployment swellcast()
{
    return {.name = "swellcast",
            .profile = "stalls",
            .stallsFirst = true,
            .replicas = 18,
            .zones = 4,
            .storePerSecond = 5,
            .storeConcurrent = 3,
            .storeFullSpeed = 24,
            .requestsPerSecond = 10,
            .zipf = 1.05,
            .meanSteps = 100,
            .plans = plansOfBoth()};
}

std::string scenarioName(Scenario scenario)
{
    switch (scenario) {
    case Scenario::Steady:
        return "steady";
    case Scenario::DawnShift:
        return "dawn shift";
    case Scenario::ReplicaRestart:
        return "replica restart";
    case Scenario::StoreSlowed:
        return "store slowed";
    case Scenario::PlanFlooding:
        return "plan flooding";
    }
    return {};
}

std::vector<Arrival> makeArrivals(const Deployment &deployment, Scenario scenario, std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    Popularity popularity(deployment, random);
    std::vector<Arrival> arrivals;
    bool shifted = false;
    double at = 0;
    while (true) {
        at += -std::log(uniform(random)) * millisecondsPerSecond / deployment.requestsPerSecond;
        const Instant when(static_cast<std::int64_t>(at));
        if (when >= arrivalsEnd) {
            break;
        }
        if (scenario == Scenario::DawnShift && !shifted && when >= eventAt) {
            popularity.permute(random);
            shifted = true;
        }
        const int adapter = popularity.draw(uniform(random));
        arrivals.push_back({when, adapter, planOf(deployment, adapter), drawSteps(deployment, random), false});
    }
    if (scenario == Scenario::PlanFlooding) {
        addFlood(deployment, arrivals, popularity, random);
    }
    return arrivals;
}

AdapterRef adapterRef(int adapter)
{
    return {core::CustomerId("c" + std::to_string(adapter)), core::AdapterName("a"), core::AdapterVersion("1")};
}

} // namespace baobabstall::policybench
