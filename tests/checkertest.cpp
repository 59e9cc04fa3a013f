// The checker that every proof rests on finds each kind of broken answer.
#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <harness/world.h>

namespace baobabstall::harness {

using testing::HasSubstr;

namespace {

const std::string model = "camp/brief@v1";

Call answered(int status, const std::string &body)
{
    Call call{.model = model, .tokens = 2};
    call.answer.status = status;
    call.answer.headers.set("X-Request-Id", "r1");
    call.answer.body = body;
    return call;
}

Call completed(const std::string &text)
{
    return answered(200, Json{{"choices", Json::array({{{"text", text}}})}}.dump());
}

} // namespace

TEST(Checker, takes_a_whole_answer_of_the_request_or_of_one_try_of_it)
{
    EXPECT_EQ(faultOf(completed(textOf(model, "r1", 2))), "");
    EXPECT_EQ(faultOf(completed(textOf(model, "r1.2", 2))), "");
}

TEST(Checker, finds_wrong_crossed_cut_doubled_and_mixed_answers)
{
    EXPECT_THAT(faultOf(completed(textOf("camp/brief@v2", "r1", 2))), HasSubstr("got text of camp/brief@v2"));
    EXPECT_THAT(faultOf(completed(textOf(model, "r2", 2))), HasSubstr("another request"));
    EXPECT_THAT(faultOf(completed(textOf(model, "r11", 2))), HasSubstr("another request"));
    EXPECT_THAT(faultOf(completed(textOf(model, "r1", 1))), HasSubstr("1 tokens"));
    EXPECT_THAT(faultOf(completed(textOf(model, "r1", 3))), HasSubstr("3 tokens"));
    EXPECT_THAT(faultOf(completed(textOf(model, "r1", 1) + textOf(model, "r1", 1))), HasSubstr("doubled"));
    EXPECT_THAT(faultOf(completed("camp/brief@v1|r1.1|0 camp/brief@v1|r1.2|1 ")), HasSubstr("two tries"));
    EXPECT_THAT(faultOf(completed("something else ")), HasSubstr("no engine"));
}

TEST(Checker, takes_errors_only_when_they_say_what_happened)
{
    const Json error{{"type", "unavailable"}, {"message", "m"}, {"step", "admit"}, {"peer", ""}, {"outcome", "not_run"}, {"request_id", "r1"}};
    EXPECT_EQ(faultOf(answered(503, Json{{"error", error}}.dump())), "");
    for (const auto *field : {"type", "message", "step", "outcome", "request_id"}) {
        auto part = error;
        part.erase(field);
        EXPECT_THAT(faultOf(answered(503, Json{{"error", part}}.dump())), HasSubstr(field));
    }
    auto vague = error;
    vague["outcome"] = "perhaps";
    EXPECT_THAT(faultOf(answered(503, Json{{"error", vague}}.dump())), HasSubstr("unknown outcome"));
    EXPECT_THAT(faultOf(answered(503, "<html>")), HasSubstr("without a JSON error"));
    EXPECT_THAT(faultOf(answered(0, "")), HasSubstr("no answer"));
}

} // namespace baobabstall::harness
