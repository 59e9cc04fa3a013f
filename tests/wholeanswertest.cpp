// Point 3: a caller gets the whole answer to its own request and nobody else's.
#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <harness/world.h>

namespace baobabstall::harness {

using testing::IsEmpty;

namespace {

constexpr int forever = 1'000'000;
const std::string model = "camp/brief@v1";

class WholeAnswer : public testing::Test
{
public:
    WholeAnswer()
        : world([] {
            DeploymentOptions options;
            options.settings = quickSettings();
            return options;
        }())
    {
        for (const auto &daemon : world.daemons()) {
            EXPECT_TRUE(succeeded(world.completeAtLast(daemon, model, 1)));
        }
    }

    void faultEngines(const Json &faults)
    {
        for (const auto &engine : world.engines()) {
            world.fault(engine, faults);
        }
    }

    Call streamToEnd(const std::string &daemon, int tokens)
    {
        auto call = world.stream(daemon, model, tokens);
        world.finish(call);
        outcomes.add(call);
        return call;
    }

    /// How the engines' record says that the request ended; "" while it runs or when it is not found.
    std::string endOf(const std::string &requestId)
    {
        for (const auto &engine : world.engines()) {
            for (const auto &request : world.record(engine, "requests")) {
                if (!requestId.empty() && request.at("request_id").get<std::string>().starts_with(requestId) && !request.at("end").get<std::string>().empty()) {
                    return request.at("end");
                }
            }
        }
        return "";
    }

    World world;
    Outcomes outcomes;
};

} // namespace

TEST_F(WholeAnswer, crossed_answers_become_errors)
{
    faultEngines({{"cross_answers", forever}});
    for (const auto &daemon : world.daemons()) {
        const auto whole = world.complete(daemon, model, 3);
        EXPECT_EQ(whole.answer.status, 502) << whole.answer.body;
        outcomes.add(whole);
        EXPECT_FALSE(succeeded(streamToEnd(daemon, 5)));
    }
    faultEngines({{"cross_after", 3}});
    EXPECT_FALSE(succeeded(streamToEnd("entry-1", 6)));
    EXPECT_THAT(outcomes.violations(world), IsEmpty());
}

TEST_F(WholeAnswer, cut_streams_are_resumed_on_the_engine)
{
    faultEngines({{"cut_streams", 1}, {"cut_after", 2}});
    for (const auto &daemon : world.daemons()) {
        EXPECT_TRUE(succeeded(streamToEnd(daemon, 8)));
    }
    EXPECT_THAT(outcomes.violations(world), IsEmpty());
}

TEST_F(WholeAnswer, cut_streams_that_the_engine_forgot_end_with_an_error)
{
    faultEngines({{"cut_streams", forever}, {"cut_after", 2}, {"forget_cut", true}});
    for (const auto &daemon : world.daemons()) {
        const auto call = streamToEnd(daemon, 8);
        EXPECT_FALSE(succeeded(call));
        EXPECT_EQ(faultOf(call), "");
    }
    EXPECT_THAT(outcomes.violations(world), IsEmpty());
}

TEST_F(WholeAnswer, duplicated_and_late_answers_arrive_once)
{
    faultEngines({{"duplicate_answers", forever}});
    for (const auto &daemon : world.daemons()) {
        streamToEnd(daemon, 4);
    }
    faultEngines({{"duplicate_answers", 0}, {"delay_ms", 300}, {"on_path", "/v1/completions"}});
    std::vector<std::future<Call>> late;
    late.reserve(9);
    for (int number = 0; number < 9; ++number) {
        late.push_back(std::async(std::launch::async, [this, number] { return world.complete(world.daemons().at(number % 3), model, 2 + number); }));
    }
    for (auto &call : late) {
        outcomes.add(call.get());
    }
    EXPECT_GE(outcomes.successes(), 9U);
    EXPECT_THAT(outcomes.violations(world), IsEmpty());
}

TEST_F(WholeAnswer, a_caller_gone_in_mid_stream_is_cancelled_on_the_engine)
{
    constexpr int longAnswer = 2'000;
    for (const auto &daemon : world.daemons()) {
        const auto call = world.stream(daemon, model, longAnswer);
        call.stream->waitEvents(2);
        call.stream->drop();
        const auto id = requestIdOf(call);
        ASSERT_FALSE(id.empty());
        EXPECT_TRUE(waitUntil([&] { return !endOf(id).empty(); }));
        EXPECT_EQ(endOf(id), "cancelled") << "entered through " << daemon;
    }
}

TEST_F(WholeAnswer, owner_killed_in_mid_stream)
{
    std::vector<Call> running;
    std::set<std::string> owners;
    for (const auto &engine : world.engines()) {
        owners.insert(world.ownerOf("engine/" + engine));
    }
    const auto victim = *owners.begin();
    const auto entry = world.otherThan({victim});
    for (int number = 0; number < 6; ++number) {
        running.push_back(world.stream(entry, number % 2 == 0 ? model : "shop/swell@v2", 100 + number));
        running.back().stream->waitEvents(1);
    }
    world.kill(victim);
    for (auto &call : running) {
        world.finish(call);
        outcomes.add(call);
    }
    EXPECT_TRUE(succeeded(world.completeAtLast(entry, model, 3)));
    EXPECT_THAT(outcomes.violations(world), IsEmpty());
}

} // namespace baobabstall::harness
