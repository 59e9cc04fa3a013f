// All points together: one seeded run of kills, freezes, engine restarts, lost answers, outages of the log, a slow store and racing
// publishes under load. Every answer is checked, and afterwards what engines and services recorded.
//
// SEED= and SECONDS= of the environment set the run; `make soak` does so. Without them: seed 1 and a fixed number of requests.
#include <atomic>
#include <chrono>
#include <cstdlib>
#include <iostream>
#include <random>
#include <thread>

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <harness/world.h>

namespace baobabstall::harness {

using testing::IsEmpty;

namespace {

constexpr int callerThreads = 6;
constexpr std::size_t boundedRequests = 900; // without SECONDS
constexpr std::size_t boundedFaults = 14;    // without SECONDS

int numberOf(const char *variable, int otherwise)
{
    const auto *text = std::getenv(variable);             // NOLINT(concurrency-mt-unsafe)
    return text == nullptr ? otherwise : std::atoi(text); // NOLINT(cert-err34-c)
}

DeploymentOptions mixedOptions()
{
    DeploymentOptions options;
    options.daemons = 4;
    options.engines = 4;
    options.slots = 4;
    options.fencing = "mixed";
    options.settings = quickSettings();
    options.settings["ownership"]["call_partitions"] = 8;
    options.settings["loads"]["timeout_ms"] = 2000;
    return options;
}

class MixedFaults
{
public:
    MixedFaults(int seed, int seconds)
        : seed_(seed)
        , deadline_(std::chrono::steady_clock::now() + std::chrono::seconds(seconds))
        , timed_(seconds > 0)
        , world_(mixedOptions())
    { }

    void run()
    {
        std::vector<std::thread> callers;
        callers.reserve(callerThreads);
        for (int number = 0; number < callerThreads; ++number) {
            callers.emplace_back([this, number] { callUntilEnd(number); });
        }
        injectUntilEnd();
        for (auto &caller : callers) {
            caller.join();
        }
    }

    /// After the faults have ended everything serves again.
    bool heals()
    {
        const auto all = world_.daemons();
        return std::all_of(all.begin(), all.end(), [this](const std::string &daemon) { return succeeded(world_.completeAtLast(daemon, "camp/brief@v1", 2)); });
    }

    std::vector<std::string> violations() { return outcomes_.violations(world_); }
    std::size_t requests() const { return outcomes_.size(); }
    std::size_t successes() const { return outcomes_.successes(); }
    int end() { return world_.end(); }

private:
    bool isOver() const { return timed_ ? std::chrono::steady_clock::now() > deadline_ : outcomes_.size() >= boundedRequests && faults_ >= boundedFaults; }

    void callUntilEnd(int number)
    {
        std::mt19937 random(static_cast<unsigned>(seed_ * 1000 + number));
        while (!isOver()) {
            const auto daemon = world_.daemons().at(random() % world_.daemons().size());
            const auto model = std::string(random() % 2 == 0 ? "camp/" : "shop/") + (random() % 2 == 0 ? "brief" : "cold-" + std::to_string(1 + random() % 20))
                + (random() % 4 == 0 ? "@v2" : "@v1");
            const int tokens = 1 + static_cast<int>(random() % 40);
            switch (random() % 4) {
            case 0:
                outcomes_.add(world_.complete(daemon, model, tokens));
                break;
            case 1:
                outcomes_.add(world_.book(daemon, "mixed-" + std::to_string(random() % 200)));
                break;
            default: {
                auto call = world_.stream(daemon, model, tokens);
                world_.finish(call);
                outcomes_.add(call);
            }
            }
        }
    }

    void injectUntilEnd()
    {
        std::mt19937 random(static_cast<unsigned>(seed_));
        while (!isOver()) {
            inject(random);
            faults_ += 1;
        }
        for (const auto &name : {"platform"}) {
            world_.fault(name, {{"log_down", false}, {"weights_slow", 1}, {"lose_answers", 0}});
        }
    }

    static void pause(int milliseconds) { std::this_thread::sleep_for(std::chrono::milliseconds(milliseconds)); }

    void inject(std::mt19937 &random)
    {
        const auto daemon = world_.daemons().at(random() % world_.daemons().size());
        const auto engine = world_.engines().at(random() % world_.engines().size());
        const auto service = world_.services().at(random() % world_.services().size());
        const int time = 100 + static_cast<int>(random() % 900);
        switch (random() % 10) {
        case 0:
            world_.kill(daemon);
            pause(time);
            world_.start(daemon, false);
            break;
        case 1:
            world_.freeze(daemon);
            pause(time * 2);
            world_.wake(daemon);
            break;
        case 2:
            world_.stop(daemon);
            world_.start(daemon, false);
            break;
        case 3:
            world_.fault(engine, {{"restart", true}});
            break;
        case 4:
            world_.fault(engine, {{"lose_answers", 3}, {"on_path", random() % 2 == 0 ? "/v1/" : "/v1/load"}});
            break;
        case 5:
            world_.fault(engine, {{"cut_streams", 3}, {"cross_answers", 2}, {"wrong_names", 2}, {"fail_loads", 2}});
            break;
        case 6:
            world_.fault(service, {{"lose_answers", 2}});
            break;
        case 7:
            world_.fault("platform", {{"log_down", true}});
            pause(time);
            world_.fault("platform", {{"log_down", false}});
            break;
        case 8:
            world_.fault("platform", {{"lose_answers", 3}, {"on_path", "/log/"}, {"weights_slow", 5}});
            pause(time);
            world_.fault("platform", {{"weights_slow", 1}});
            break;
        default:
            publishRace();
        }
        pause(time / 2);
    }

    /// Two operators edit the same version; both keep the versions that the callers name.
    void publishRace()
    {
        const Json patch{{"plans", {{"gold", world_.goldPlan({"v1", "v2", "v" + std::to_string(100 + faults_)})}}}};
        const auto first = world_.publish("plans", patch);
        if (first != 0) {
            world_.publish("plans", {{"plans", {{"gold", world_.goldPlan({"v1", "v2", "late"})}}}}, first - 1);
        }
    }

    int seed_;
    std::chrono::steady_clock::time_point deadline_;
    bool timed_;
    World world_;
    Outcomes outcomes_;
    std::atomic<std::size_t> faults_ = 0;
};

} // namespace

TEST(MixedFaults, nothing_that_must_hold_is_broken)
{
    const int seed = numberOf("SEED", 1);
    MixedFaults run(seed, numberOf("SECONDS", 0));
    run.run();
    EXPECT_TRUE(run.heals()) << "seed " << seed;
    EXPECT_THAT(run.violations(), IsEmpty()) << "seed " << seed;
    EXPECT_GT(run.successes() * 4, run.requests()) << "under a quarter of the requests succeeded";
    std::cout << "seed " << seed << ": " << run.requests() << " requests, " << run.successes() << " successes\n";
    EXPECT_EQ(run.end(), 0);
}

} // namespace baobabstall::harness
