#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <lists/tests/fakelog.h>

namespace baobabstall::lists {

using testing::HasSubstr;

namespace {

std::string refusal(const std::string &text)
{
    core::Error why;
    const auto document = parseListFile(text, "list.json", why);
    EXPECT_EQ(why.step, core::Step::Lists);
    return document ? std::string() : why.reason;
}

std::string planRefusal(const std::string &fields)
{
    return refusal(R"({"plans":{"school":{)" + fields + "}}}");
}

} // namespace

TEST(ListFile, customers_with_comments_are_read)
{
    core::Error why;
    const auto document
        = parseListFile("// summer\n{\"customers\":{\"surf-camp\":{\"plan\":\"school\",\"keys\":[\"" + keyText("k") + "\"]}}}", "list.json", why);
    ASSERT_TRUE(document) << why.reason;
    const auto &customers = std::get<Customers>(*document);
    EXPECT_EQ(customers.at(core::CustomerId("surf-camp")).plan.value(), "school");
    EXPECT_TRUE(customers.at(core::CustomerId("surf-camp")).keys.contains(digestOfKey("k")));
}

TEST(ListFile, reasons_for_invalid_plans_name_the_path_the_value_and_what_is_allowed)
{
    const std::string rest = R"("max_in_flight":20,"adapters":{})";
    EXPECT_EQ(planRefusal(R"("share":0,)" + rest), "list.json: plans.school.share: found the number 0; allowed: a number above 0, at most 1000");
    EXPECT_THAT(planRefusal(rest), HasSubstr("plans.school.share: found nothing: the key is missing"));
    EXPECT_THAT(planRefusal(R"("share":1,"adapters":{},"max_in_flight":0)"), HasSubstr("plans.school.max_in_flight: found the number 0"));
    EXPECT_THAT(planRefusal(R"("share":1,"nice":1,)" + rest),
                HasSubstr("plans.school.nice: found an unknown key; allowed: share, max_in_flight, adapters, services"));
    EXPECT_THAT(planRefusal(R"("share":1,"max_in_flight":1,"adapters":{"brief":{"versions":[],"base_model":"b"}})"),
                HasSubstr("plans.school.adapters.brief.versions: found an array of 0 values; allowed: an array of 1 to 64"));
    EXPECT_THAT(planRefusal(R"("share":1,"max_in_flight":1,"adapters":{"brief":{"versions":["v1","v1"],"base_model":"b"}})"), HasSubstr("\"v1\" twice"));
    EXPECT_THAT(planRefusal(R"("share":1,"max_in_flight":1,"adapters":{"a/b":{"versions":["v1"],"base_model":"b"}})"), HasSubstr("the name \"a/b\""));
}

TEST(ListFile, reasons_for_invalid_customers)
{
    EXPECT_THAT(refusal(R"({"customers":{"a":{"plan":"p","keys":["secret"]}}})"), HasSubstr("customers.a.keys: found the text \"secret\"; allowed: 0 to 16"));
    EXPECT_THAT(refusal(R"({"customers":{"a b":{"plan":"p","keys":[]}}})"), HasSubstr("found the name \"a b\""));
    EXPECT_THAT(refusal(R"({"customers":{"a":null}})"), HasSubstr("customers.a: found null; allowed: an object"));
    const auto keys = R"({"plan":"p","keys":[")" + keyText("k") + "\"]}";
    EXPECT_THAT(refusal(R"({"customers":{"a":)" + keys + R"(,"b":)" + keys + "}}"), HasSubstr("customers.b.keys: found a key that a holds too"));
}

TEST(ListFile, a_file_holds_exactly_one_list)
{
    EXPECT_THAT(refusal("{}"), HasSubstr("the one key \"customers\" or \"plans\""));
    EXPECT_THAT(refusal(R"({"customers":{},"plans":{}})"), HasSubstr("the one key"));
    EXPECT_THAT(refusal("[1]"), HasSubstr("the one key"));
    EXPECT_THAT(refusal("{"), HasSubstr("line 1, column"));
}

TEST(KeyDigest, only_its_own_text_form_is_parsed)
{
    const auto digest = digestOfKey("abc");
    EXPECT_EQ(keyDigestText(digest), "sha256:ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
    EXPECT_EQ(parseKeyDigest(keyDigestText(digest)), digest);
    EXPECT_FALSE(parseKeyDigest("sha256:BA7816BF8F01CFEA414140DE5DAE2223B00361A396177A9CB410FF61F20015AD"));
    EXPECT_FALSE(parseKeyDigest("sha256:00"));
}

TEST(Patch, contains_only_differences)
{
    core::Error why;
    const auto from = parseListFile(R"({"customers":{"a":{"plan":"p","keys":[]},"b":{"plan":"p","keys":[]}}})", "from", why);
    const auto to = parseListFile(R"({"customers":{"a":{"plan":"q","keys":[]},"c":{"plan":"p","keys":[]}}})", "to", why);
    EXPECT_EQ(patchBetween(*from, *to), R"({"customers":{"a":{"plan":"q"},"b":null,"c":{"keys":[],"plan":"p"}}})");
    EXPECT_EQ(patchBetween(*from, *from), "{}");
}

} // namespace baobabstall::lists
