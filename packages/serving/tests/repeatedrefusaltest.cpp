// A faulty upstream writes an earlier refusal once more on a kept connection (issue 32): no request that runs may be taken for one that did not.
#include "servingfixture.h"

namespace baobabstall::serving::tests {
namespace {

using Script = ScriptedUpstream::Script;
using Repeat = ScriptedUpstream::Repeat;

class RepeatedRefusalTest : public ServingFixture, public ::testing::WithParamInterface<Repeat>
{
protected:
    static std::string missing() { return "HTTP/1.1 421 Misdirected\r\nId: @ID\r\nReplica: r1\r\nContent-Length: 0\r\n\r\n"; }
    static std::string full() { return "HTTP/1.1 503 Full\r\nId: @ID\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"; }
    static std::string nameless() { return "HTTP/1.1 503 Full\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"; }
    static Script slow(std::vector<std::string> pieces) { return Script{std::move(pieces), false, false, Milliseconds(20)}; }

    /// The upstream that has just refused is sent to again.
    void forgetRefusals() { node_.chooser.remove(UpstreamId("r1")); }

    /// One upstream; at most one of them gets a request.
    void setUpOne(std::vector<Script> scripts, Repeat repeat, bool isEngine = false)
    {
        setUpService(route(RetryPolicy::AtMostOnce, false, 1), {std::move(scripts)}, isEngine);
        upstream(1).repeat = repeat;
    }
};

// Guards against a late copy of a 421 that is taken for the answer of the same attempt's second send: the request ran twice.
TEST_P(RepeatedRefusalTest, for_missing_weights_does_not_answer_the_second_send_of_the_same_request)
{
    setUpOne({Script{{missing()}}, slow({completeResponse("held")})}, GetParam(), true);
    EXPECT_TRUE(sendRequest(getRequest("q", "Weights: m/a1\r\n"), "held").contains("held"));
    runFor(Milliseconds(50));
    EXPECT_EQ(upstream(1).requests.size(), 2U) << "the first one was refused; only one may run";
}

// Guards against the same where the second send comes from outside: a caller, or a host that relays.
TEST_F(RepeatedRefusalTest, does_not_answer_a_request_that_is_sent_again_under_its_id)
{
    setUpOne({Script{{full()}}, slow({completeResponse("ran")})}, Repeat::BeforeNextAnswer);
    EXPECT_EQ(sendRequest(getRequest("q"), "\r\n\r\n").status(), 503);
    forgetRefusals();
    EXPECT_EQ(sendRequest(getRequest("q"), "\r\n\r\n").status(), 200);
    EXPECT_EQ(upstream(1).requests.size(), 2U);
}

// Guards against a late copy of a refusal without an id, which could be of any request.
TEST_F(RepeatedRefusalTest, without_an_id_does_not_answer_another_request)
{
    setUpOne({Script{{nameless()}}, slow({completeResponse("ran")})}, Repeat::BeforeNextAnswer);
    EXPECT_EQ(sendRequest(getRequest("a"), "\r\n\r\n").status(), 503);
    forgetRefusals();
    EXPECT_EQ(sendRequest(getRequest("b"), "\r\n\r\n").status(), 200);
    EXPECT_EQ(upstream(1).connections, 2);
}

// Guards against a refusal without an id of an upstream that names ids in its refusals: such an answer proves nothing.
TEST_F(RepeatedRefusalTest, without_an_id_proves_nothing_after_one_that_had_an_id)
{
    setUpOne({Script{{full()}}, slow({nameless()})}, Repeat::Never);
    EXPECT_EQ(sendRequest(getRequest("a"), "\r\n\r\n").status(), 503);
    forgetRefusals();
    EXPECT_EQ(sendRequest(getRequest("b"), "\r\n\r\n").status(), 502);
    EXPECT_EQ(upstream(1).connections, 1);
}

// Guards against a copy of another request's refusal, at each moment: "not run" is never said of a request that ran.
TEST_P(RepeatedRefusalTest, of_another_request_is_discarded_or_ends_the_connection)
{
    const std::string head = "HTTP/1.1 200 OK\r\nSeal: s\r\nId: @ID\r\nTransfer-Encoding: chunked\r\n\r\n";
    setUpOne({Script{{full()}}, slow({head, chunk("ran"), finalChunk})}, GetParam());
    EXPECT_EQ(sendRequest(getRequest("a"), "\r\n\r\n").status(), 503);
    runFor(Milliseconds(30));
    forgetRefusals();
    EXPECT_EQ(sendRequest(getRequest("b"), "\r\n\r\n").status(), GetParam() == Repeat::InNextAnswer ? 502 : 200);
    EXPECT_EQ(upstream(1).requests.size(), 2U);
}

INSTANTIATE_TEST_SUITE_P(Moments, RepeatedRefusalTest, ::testing::Values(Repeat::WhileIdle, Repeat::BeforeNextAnswer, Repeat::InNextAnswer));

// Guards against a status that is a promise to callers in an answer that does not say that the request was not run.
TEST_F(RepeatedRefusalTest, a_status_that_callers_take_for_not_run_is_not_relayed_without_proof)
{
    const auto answer = [](const std::string &status) { return Script{{"HTTP/1.1 " + status + "\r\nId: @ID\r\nContent-Length: 0\r\n\r\n"}}; };
    setUpOne({answer("408 Timeout"), answer("429 Busy"), answer("503 Busy")}, Repeat::Never);
    for (const auto *id : {"a", "b", "c"}) {
        EXPECT_EQ(sendRequest(getRequest(id), "\r\n\r\n").status(), 502);
        forgetRefusals();
    }
    EXPECT_EQ(upstream(1).requests.size(), 3U);
}

// Guards against connections that remember the refusals of a whole day.
TEST_F(RepeatedRefusalTest, is_kept_in_mind_for_a_bounded_number_of_requests)
{
    setUpOne({Script{{full()}}}, Repeat::Never);
    constexpr int requests = 100;
    for (int i = 0; i < requests; ++i) {
        sendRequest(getRequest("q" + std::to_string(i)), "\r\n\r\n");
        forgetRefusals();
    }
    EXPECT_EQ(upstream(1).requests.size(), std::size_t(requests));
    EXPECT_GT(upstream(1).connections, 1);
    EXPECT_LT(upstream(1).connections, requests / 10);
}

} // namespace
} // namespace baobabstall::serving::tests
