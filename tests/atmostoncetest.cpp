// Point 5: a call that may not be repeated runs at most once.
#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <harness/world.h>

namespace baobabstall::harness {

using testing::IsEmpty;

namespace {

constexpr int partitions = 4;

class AtMostOnce : public testing::Test
{
public:
    AtMostOnce()
        : world([] {
            DeploymentOptions options;
            options.settings = quickSettings();
            options.settings["ownership"]["call_partitions"] = partitions;
            return options;
        }())
    {
        EXPECT_TRUE(waitUntil([this] { return bookOnce("warm-up").answer.status == 200; })) << "no partition serves";
    }

    Call bookOnce(const std::string &key) { return world.book("entry-1", key); }

    int executionsOf(const std::string &key)
    {
        int count = 0;
        for (const auto &service : world.services()) {
            for (const auto &execution : world.record(service, "executions")) {
                count += execution.at("idempotency_key") == key ? 1 : 0;
            }
        }
        return count;
    }

    /// Records of the calls' streams that name the key.
    int recordsOf(const std::string &key)
    {
        int count = 0;
        for (int partition = 0; partition < partitions; ++partition) {
            const auto read = world.client.get(world.platform(), "/log/calls-local-" + std::to_string(partition) + "?from=1").json();
            for (const auto &record : read.at("records")) {
                count += record.at("data").dump().find('"' + key + '"') != std::string::npos ? 1 : 0;
            }
        }
        return count;
    }

    /// Repeats the call until its answer is final: not "still running" and no refusal with a time to come back.
    Call settle(const std::string &daemon, const std::string &key)
    {
        Call call;
        waitUntil([&] {
            call = world.book(daemon, key);
            outcomes.add(call);
            return call.answer.status != 0 && call.answer.header("Retry-After").empty();
        });
        return call;
    }

    World world;
    Outcomes outcomes;
};

} // namespace

TEST_F(AtMostOnce, same_key_at_the_same_time_through_two_hosts)
{
    for (int number = 0; number < 10; ++number) {
        const auto key = "race-" + std::to_string(number);
        auto one = world.bookLater("entry-1", key);
        auto two = world.bookLater("entry-2", key);
        outcomes.add({.idempotencyKey = key, .answer = one.get()});
        outcomes.add({.idempotencyKey = key, .answer = two.get()});
        const auto third = settle("entry-3", key);
        EXPECT_EQ(third.answer.status, 200) << third.answer.body;
        EXPECT_EQ(executionsOf(key), 1);
    }
    EXPECT_THAT(outcomes.violations(world), IsEmpty());
}

TEST_F(AtMostOnce, same_key_with_another_body_is_a_conflict)
{
    ASSERT_EQ(settle("entry-1", "reused").answer.status, 200);
    const FieldList headers{{"Authorization", "Bearer " + customerKey("camp")}, {"Idempotency-Key", "reused"}};
    const auto other = world.client.post(world.callers("entry-2"), "/services/planning/visits", {{"room", "kitchen"}}, headers);
    EXPECT_EQ(other.status, 409) << other.body;
    EXPECT_EQ(executionsOf("reused"), 1);
}

TEST_F(AtMostOnce, answer_of_the_service_lost)
{
    for (const auto &service : world.services()) {
        world.fault(service, {{"lose_answers", 1}});
    }
    for (int number = 0; number < 4; ++number) {
        const auto key = "lost-" + std::to_string(number);
        for (const auto &daemon : world.daemons()) {
            const auto call = settle(daemon, key);
            EXPECT_NE(call.answer.errorField("outcome"), "not_run") << call.answer.body;
        }
        EXPECT_EQ(executionsOf(key), 1);
    }
    EXPECT_THAT(outcomes.violations(world), IsEmpty());
}

TEST_F(AtMostOnce, answer_of_an_append_lost)
{
    for (int number = 0; number < 6; ++number) {
        const auto key = "append-" + std::to_string(number);
        world.fault("platform", {{"lose_answers", 1}, {"on_path", "/log/calls"}});
        const auto call = settle("entry-" + std::to_string(1 + number % 3), key);
        EXPECT_EQ(call.answer.status, 200) << call.answer.body;
        EXPECT_EQ(executionsOf(key), 1);
    }
    EXPECT_THAT(outcomes.violations(world), IsEmpty());
}

TEST_F(AtMostOnce, log_down_refuses_and_says_when_to_come_back)
{
    world.fault("platform", {{"log_down", true}});
    const auto refused = bookOnce("outage");
    outcomes.add(refused);
    EXPECT_EQ(refused.answer.status, 503) << refused.answer.body;
    EXPECT_EQ(refused.answer.errorField("outcome"), "not_run");
    EXPECT_FALSE(refused.answer.header("Retry-After").empty());
    EXPECT_EQ(executionsOf("outage"), 0);
    world.fault("platform", {{"log_down", false}});
    EXPECT_EQ(settle("entry-2", "outage").answer.status, 200);
    EXPECT_EQ(executionsOf("outage"), 1);
    EXPECT_THAT(outcomes.violations(world), IsEmpty());
}

TEST_F(AtMostOnce, every_owner_killed_between_call_and_result)
{
    for (const auto &service : world.services()) {
        world.fault(service, {{"delay_ms", 1500}});
    }
    auto running = world.bookLater("entry-1", "killed");
    ASSERT_TRUE(waitUntil([this] { return executionsOf("killed") == 1; }));
    for (const auto &daemon : world.daemons()) {
        world.kill(daemon);
    }
    running.wait();
    for (const auto &daemon : world.daemons()) {
        world.start(daemon);
    }
    for (const auto &service : world.services()) {
        world.fault(service, {{"delay_ms", 0}});
    }
    for (const auto &daemon : world.daemons()) {
        const auto call = settle(daemon, "killed");
        EXPECT_EQ(call.answer.errorField("outcome"), "unknown") << call.answer.body;
    }
    EXPECT_EQ(executionsOf("killed"), 1);
    EXPECT_THAT(outcomes.violations(world), IsEmpty());
}

TEST_F(AtMostOnce, every_owner_killed_between_intent_and_call)
{
    for (const auto &service : world.services()) {
        world.fault(service, {{"stopped", true}});
    }
    auto running = world.bookLater("entry-1", "intent");
    ASSERT_TRUE(waitUntil([this] { return recordsOf("intent") > 0; }));
    for (const auto &daemon : world.daemons()) {
        world.kill(daemon);
    }
    running.wait();
    for (const auto &daemon : world.daemons()) {
        world.start(daemon);
    }
    for (const auto &service : world.services()) {
        world.fault(service, {{"stopped", false}});
    }
    for (const auto &daemon : world.daemons()) {
        settle(daemon, "intent");
    }
    EXPECT_LE(executionsOf("intent"), 1);
    EXPECT_THAT(outcomes.violations(world), IsEmpty());
}

TEST_F(AtMostOnce, without_a_key_a_lost_answer_is_not_tried_again)
{
    constexpr int calls = 6;
    for (const auto &service : world.services()) {
        world.fault(service, {{"lose_answers", 2}});
    }
    int unknown = 0;
    for (int number = 0; number < calls; ++number) {
        const auto call = world.book(world.daemons().at(number % 3), "");
        unknown += call.answer.errorField("outcome") == "unknown" ? 1 : 0;
        EXPECT_TRUE(call.answer.status == 200 || call.answer.errorField("outcome") == "unknown") << call.answer.body;
        outcomes.add(call);
    }
    EXPECT_GE(unknown, 2);
    EXPECT_EQ(executionsOf(""), calls);
    EXPECT_THAT(outcomes.violations(world), IsEmpty());
}

TEST_F(AtMostOnce, without_records_a_repeat_would_run_again)
{
    const FieldList headers{{"Idempotency-Key", "direct"}};
    world.client.post(world.address("planning-1"), "/visits", {{"room", "hall"}}, headers);
    world.client.post(world.address("planning-2"), "/visits", {{"room", "hall"}}, headers);
    EXPECT_THAT(outcomes.violations(world), testing::Not(IsEmpty()));
}

} // namespace baobabstall::harness
