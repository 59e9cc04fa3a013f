#include <gtest/gtest.h>

#include <gateway/openai.h>

namespace baobabstall::gateway {

namespace {

AnswerCheck checkOf()
{
    return AnswerCheck({.request = core::RequestId("r"), .attempt = "r-1", .adapter = *core::AdapterRef::parse("a/b@c"), .ranAs = "a/b@c#7"});
}

} // namespace

TEST(ParseCompletion, reads_model_and_stream)
{
    core::Error why;
    const auto request = parseCompletion(R"({"model":"a/b@c","stream":true,"prompt":"x"})", why);
    ASSERT_TRUE(request) << why.text();
    EXPECT_EQ(request->adapter.text(), "a/b@c");
    EXPECT_TRUE(request->isStream);
}

TEST(ParseCompletion, refuses_with_the_status_that_fits)
{
    core::Error why;
    for (const auto *body : {"", "[]", "{", R"({"model":1})", R"({"prompt":"x"})", R"({"model":"a/b@c","stream":1})"}) {
        EXPECT_FALSE(parseCompletion(body, why)) << body;
        EXPECT_EQ(why.refusal, core::Refusal::BadRequest) << body;
    }
    EXPECT_FALSE(parseCompletion(R"({"model":"base"})", why));
    EXPECT_EQ(why.refusal, core::Refusal::NotFound);
}

TEST(ErrorResponse, tells_when_to_come_back)
{
    const core::Error error{.step = core::Step::Admit, .reason = "full", .refusal = core::Refusal::TooMany, .retryAfter = core::Milliseconds(1'200)};
    const auto response = errorResponse(error, core::RequestId("r"));
    EXPECT_EQ(response.status, 429);
    EXPECT_EQ(response.headers.find("Retry-After"), "2");
    EXPECT_EQ(response.headers.find("X-Request-Id"), "r");
    EXPECT_NE(response.body.find(R"("outcome":"not_run")"), std::string::npos);
}

TEST(EventReader, joins_pieces)
{
    EventReader reader;
    reader.feed("data: {\"a\"");
    EXPECT_FALSE(reader.next());
    reader.feed(":1}\n\n: comment\n\ndata: [DONE]\n\n");
    EXPECT_EQ(reader.next(), R"({"a":1})");
    EXPECT_EQ(reader.next(), "[DONE]");
    EXPECT_FALSE(reader.next());
}

TEST(AnswerCheck, puts_the_callers_names_back)
{
    core::Error why;
    auto check = checkOf();
    const auto event = check.checkEvent(R"({"id":"r-1","model":"a/b@c#7","choices":[]})", why);
    ASSERT_TRUE(event) << why.text();
    EXPECT_EQ(*event, R"({"choices":[],"id":"r","model":"a/b@c"})");
    EXPECT_FALSE(check.isEnded());
    ASSERT_TRUE(check.checkEvent("[DONE]", why));
    EXPECT_TRUE(check.isEnded());
    EXPECT_EQ(check.events(), 1U);
}

TEST(AnswerCheck, a_wrong_answer_is_an_error)
{
    for (const auto *data : {R"({"id":"r-2","model":"a/b@c#7"})",
                             R"({"id":"r-1","model":"a/b@c#8"})",
                             R"({"id":"r-1","model":"a/x@c#7"})",
                             R"({"id":"r-1"})",
                             R"({"error":{}})",
                             "not json"}) {
        core::Error why;
        auto check = checkOf();
        EXPECT_FALSE(check.checkEvent(data, why)) << data;
        EXPECT_EQ(why.step, core::Step::Check);
        EXPECT_EQ(why.refusal, core::Refusal::BadAnswer);
    }
}

TEST(AnswerCheck, a_deeply_nested_answer_ends_no_process)
{
    core::Error why;
    constexpr std::size_t depth = 1'000'000;
    const std::string nested = R"({"id":"r-1","model":"a/b@c#7","x":)" + std::string(depth, '[') + std::string(depth, ']') + '}';
    EXPECT_FALSE(checkOf().checkWhole(nested, why));
    EXPECT_EQ(why.step, core::Step::Check);
}

TEST(AnswerCheck, nothing_follows_the_end)
{
    core::Error why;
    auto check = checkOf();
    ASSERT_TRUE(check.checkEvent("[DONE]", why));
    EXPECT_FALSE(check.checkEvent(R"({"id":"r-1","model":"a/b@c#7"})", why));
}

// Guards against a stream that ends with its connection and passes for complete: an engine's answer is whole with its end event only.
TEST(AnswerCheck, a_stream_without_its_end_event_is_not_ended)
{
    core::Error why;
    auto check = checkOf();
    EXPECT_FALSE(check.isEnded());
    ASSERT_TRUE(check.checkEvent("[DONE]", why));
    EXPECT_TRUE(check.isEnded());
}

TEST(CompletionBody, refuses_a_body_that_is_nested_too_deeply)
{
    const auto nested = [](int depth) {
        return R"({"model":"camp/brief@v1","x":)" + std::string(static_cast<std::size_t>(depth), '[') + std::string(static_cast<std::size_t>(depth), ']') + "}";
    };
    core::Error why;
    EXPECT_TRUE(parseCompletion(nested(60), why));
    EXPECT_FALSE(parseCompletion(nested(100'000), why));
    EXPECT_EQ(why.refusal, core::Refusal::BadRequest);
    EXPECT_TRUE(parseCompletion(R"({"model":"camp/brief@v1","prompt":"[[[[\"[[[[)" + std::string(200, '[') + "\"}", why)) << "brackets within a text";
}

} // namespace baobabstall::gateway
