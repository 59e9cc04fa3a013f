#include "servingfixture.h"

namespace baobabstall::serving::tests {
namespace {

class AnswerStatusTest : public ServingFixture, public ::testing::WithParamInterface<std::string>
{
protected:
    static ScriptedUpstream::Script answerOf(const std::string &status)
    {
        return {{"HTTP/1.1 " + status + " Odd\r\nSeal: s\r\nId: @ID\r\nContent-Length: 4\r\n\r\nbody"}};
    }
};

// Guards against an answer whose status no caller knows: 000, or 600 and more (issue 49, MIXED).
TEST_P(AnswerStatusTest, outside_100_to_599_is_refused)
{
    setUpService(route(RetryPolicy::AtMostOnce, false, 1), {{answerOf(GetParam())}});
    const auto response = sendRequest(getRequest("q"), "\r\n\r\n");
    EXPECT_EQ(response.status(), 502);
    EXPECT_FALSE(response.contains("body"));
}

TEST_P(AnswerStatusTest, outside_100_to_599_sends_what_may_be_repeated_elsewhere)
{
    setUpService(route(RetryPolicy::Idempotent, false, 2), {{answerOf(GetParam())}, {{{completeResponse("whole")}}}});
    EXPECT_TRUE(sendRequest(getRequest("q"), "\r\n\r\n").bytes.starts_with("HTTP/1.1 200 "));
}

TEST_P(AnswerStatusTest, outside_100_to_599_begins_no_stream)
{
    setUpService(route(RetryPolicy::AtMostOnce, true, 1), {{answerOf(GetParam())}});
    EXPECT_EQ(sendRequest(getRequest("q"), "\r\n\r\n").status(), 502);
}

INSTANTIATE_TEST_SUITE_P(Statuses, AnswerStatusTest, ::testing::Values("000", "001", "099", "600", "999"));

} // namespace
} // namespace baobabstall::serving::tests
