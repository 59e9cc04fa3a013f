// The stand-ins keep to the protocols of docs/ARCHITECTURE.md, and their faults do what they say: proofs rest on both.
#include <gtest/gtest.h>

#include <harness/deployment.h>

namespace baobabstall::harness {

namespace {

const std::string name = "camp/brief@v1#5";

class StandIns : public testing::Test
{
public:
    StandIns()
        : world({.daemons = 0, .engines = 2, .services = 1, .slots = 2, .fencing = "mixed"})
    { }

    Answer order(const std::string &engine, const std::string &verb, const std::string &adapter, int fencing)
    {
        const Json body{{"lora_name", adapter}, {"lora_path", "store:" + adapter}};
        return world.client.post(world.address(engine), "/v1/" + verb + "_lora_adapter", body, {{"X-Fencing-Number", std::to_string(fencing)}});
    }

    std::shared_ptr<Stream> complete(const std::string &id, int tokens)
    {
        const Json body{{"model", name}, {"stream", true}, {"max_tokens", tokens}, {"prompt", "p"}};
        return world.client.stream(world.address("engine-1"), "/v1/completions", body, {{"X-Request-Id", id}});
    }

    Json readLog(const std::string &query) { return world.client.get(world.platform(), "/log/lists?" + query).json(); }

    Deployment world;
};

} // namespace

TEST_F(StandIns, log_keeps_order_loses_answers_and_has_outages)
{
    const auto append = [this](int value) { return world.client.post(world.platform(), "/log/lists", value); };
    EXPECT_EQ(append(10).json().at("offset"), 1);
    world.fault("platform", {{"lose_answers", 1}, {"on_path", "/log/"}});
    EXPECT_EQ(append(11).status, 0);
    EXPECT_EQ(append(12).json().at("offset"), 3);
    EXPECT_EQ(readLog("from=2").at("records").at(0).at("data"), 11);
    world.fault("platform", {{"hide_newest", 1}});
    EXPECT_EQ(readLog("from=1").at("next"), 3);
    world.fault("platform", {{"hide_newest", 0}, {"keep_records", 1}});
    EXPECT_EQ(readLog("from=1").at("first"), 3);
    world.fault("platform", {{"log_down", true}});
    EXPECT_EQ(append(13).status, 503);
    EXPECT_EQ(world.client.get(world.platform(), "/log/lists?from=1").status, 503);
}

TEST_F(StandIns, host_list_lags_and_freezes)
{
    const auto states = [this] { return world.client.get(world.platform(), "/hosts").json().at("hosts").at(0).at("state").get<std::string>(); };
    world.fault("platform", {{"hosts_frozen", true}});
    EXPECT_EQ(states(), "live");
    world.setHost("engine-1", {{"state", "leaving"}});
    EXPECT_EQ(states(), "live");
    world.fault("platform", {{"hosts_frozen", false}});
    EXPECT_EQ(states(), "leaving");
}

TEST_F(StandIns, engine_takes_orders_by_fencing_number_only_where_it_checks)
{
    EXPECT_EQ(order("engine-1", "load", name, 5).status, 200);
    EXPECT_EQ(order("engine-1", "load", "camp/swell@v1#4", 4).status, 409);
    EXPECT_EQ(order("engine-2", "load", name, 5).status, 200);
    EXPECT_EQ(order("engine-2", "load", "camp/swell@v1#4", 4).status, 200);
    EXPECT_EQ(order("engine-2", "load", "camp/tides@v1#5", 5).status, 507);
    EXPECT_EQ(order("engine-2", "unload", name, 5).status, 200);
    EXPECT_EQ(order("engine-2", "unload", name, 5).status, 404);
}

TEST_F(StandIns, engine_streams_resumes_and_cancels)
{
    ASSERT_EQ(order("engine-1", "load", name, 5).status, 200);
    const auto whole = complete("r1", 3);
    EXPECT_EQ(whole->waitEnd().status, 200);
    EXPECT_EQ(whole->text(), textOf("camp/brief@v1", "r1", 3));
    EXPECT_TRUE(whole->isDone());

    world.fault("engine-1", {{"cut_streams", 1}, {"cut_after", 2}});
    const auto cut = complete("r2", 5);
    EXPECT_EQ(cut->waitEnd().status, 0);
    EXPECT_EQ(cut->events().size(), 2U);
    const auto rest = world.client.get(world.address("engine-1"), "/v1/streams/r2?from=2");
    EXPECT_EQ(rest.status, 200);
    EXPECT_NE(rest.body.find("|r2|2 "), std::string::npos);
    EXPECT_NE(rest.body.find("[DONE]"), std::string::npos);

    const auto cancelled = complete("r3", 1000);
    cancelled->waitEvents(1);
    EXPECT_EQ(world.client.post(world.address("engine-1"), "/v1/streams/r3/cancel", Json::object()).status, 200);
    EXPECT_EQ(cancelled->waitEnd().status, 0);
    EXPECT_EQ(world.record("engine-1", "requests").at(2).at("end"), "cancelled");
}

TEST_F(StandIns, engine_records_an_unload_beneath_a_running_request)
{
    ASSERT_EQ(order("engine-1", "load", name, 5).status, 200);
    const auto running = complete("r1", 1000);
    running->waitEvents(1);
    EXPECT_EQ(order("engine-1", "unload", name, 5).status, 200);
    EXPECT_EQ(running->waitEnd().status, 0);
    EXPECT_EQ(world.record("engine-1", "violations").at(0).at("request_id"), "r1");
}

TEST_F(StandIns, engine_restarts_empty_under_a_new_start_number)
{
    ASSERT_EQ(order("engine-1", "load", name, 5).status, 200);
    const auto running = complete("r1", 1000);
    running->waitEvents(1);
    world.fault("engine-1", {{"restart", true}});
    EXPECT_EQ(running->waitEnd().status, 0);
    const auto models = world.client.get(world.address("engine-1"), "/v1/models").json();
    EXPECT_EQ(models.at("start"), 2);
    EXPECT_TRUE(models.at("data").empty());
}

TEST_F(StandIns, service_records_each_execution_also_when_its_answer_is_lost)
{
    const auto book = [this] { return world.client.post(world.address("planning-1"), "/visits", {{"room", 1}}, {{"Idempotency-Key", "k1"}}); };
    EXPECT_EQ(book().status, 200);
    world.fault("planning-1", {{"lose_answers", 1}});
    EXPECT_EQ(book().status, 0);
    const auto executions = world.record("planning-1", "executions");
    ASSERT_EQ(executions.size(), 2U);
    EXPECT_EQ(executions.at(1).at("idempotency_key"), "k1");
}

TEST_F(StandIns, processes_stop_start_and_end_well)
{
    EXPECT_EQ(world.stop("engine-1").at("exit"), 0);
    EXPECT_EQ(world.client.get(world.address("engine-1"), "/load").status, 0);
    world.start("engine-1");
    EXPECT_EQ(world.client.get(world.address("engine-1"), "/v1/models").json().at("start"), 2);
    EXPECT_EQ(world.end(), 0);
}

} // namespace baobabstall::harness
