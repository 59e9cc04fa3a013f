#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <platform/hosts.h>
#include <platform/retry.h>

namespace baobabstall::platform {

using core::Milliseconds;
using core::Offset;
using testing::HasSubstr;
using Step = AppendCourse::Step;

namespace {

constexpr std::uint64_t seed = 7;

AppendCourse courseOf(int tries = 3, std::uint64_t before = 5)
{
    return {"mine", Offset(before), tries, Backoff(Milliseconds(100), Milliseconds(1'000), seed)};
}

LogRecord recordOf(std::uint64_t offset, const std::string &id)
{
    return {Offset(offset), 0, R"({"id":")" + id + "\"}"};
}

LogPage pageOf(std::uint64_t first, std::uint64_t next, std::vector<LogRecord> records)
{
    return {Offset(first), Offset(next), std::move(records)};
}

constexpr AppendAnswer lostAnswer{};
constexpr AppendAnswer notSent{0, Offset(), true};

} // namespace

// ---- Appends ----

TEST(AppendCourse, an_answer_with_an_offset_ends_it)
{
    auto course = courseOf();
    EXPECT_EQ(course.step(), Step::Append);
    course.onAnswer({200, Offset(9)});
    EXPECT_EQ(course.step(), Step::Done);
    EXPECT_EQ(course.offset(), Offset(9));
}

TEST(AppendCourse, a_lost_answer_whose_record_is_found_is_not_sent_again)
{
    auto course = courseOf();
    course.onAnswer(lostAnswer);
    EXPECT_EQ(course.step(), Step::Wait);
    course.onWaited();
    ASSERT_EQ(course.step(), Step::Look);
    EXPECT_EQ(course.lookFrom(), Offset(5));
    course.onPage(pageOf(1, 9, {recordOf(5, "other"), recordOf(6, "other")}));
    ASSERT_EQ(course.step(), Step::Look);
    EXPECT_EQ(course.lookFrom(), Offset(7));
    course.onPage(pageOf(1, 9, {recordOf(7, "other"), recordOf(8, "mine")}));
    EXPECT_EQ(course.step(), Step::Done);
    EXPECT_EQ(course.offset(), Offset(8));
}

TEST(AppendCourse, a_lost_answer_whose_record_is_not_found_is_sent_again_but_may_have_taken_effect)
{
    auto course = courseOf(2);
    course.onAnswer(lostAnswer);
    course.onWaited();
    course.onPage(pageOf(1, 5, {}));
    ASSERT_EQ(course.step(), Step::Append);
    course.onAnswer(notSent);
    ASSERT_EQ(course.step(), Step::Failed);
    EXPECT_EQ(course.error().outcome, core::Outcome::Unknown) << "the first try may still arrive";
}

TEST(AppendCourse, tries_that_were_never_sent_or_were_refused_are_known_not_to_have_run)
{
    auto course = courseOf(3);
    course.onAnswer(notSent);
    course.onWaited();
    ASSERT_EQ(course.step(), Step::Append);
    course.onAnswer(AppendAnswer{.status = 503});
    course.onWaited();
    ASSERT_EQ(course.step(), Step::Append);
    course.onAnswer(AppendAnswer{.status = 429});
    ASSERT_EQ(course.step(), Step::Failed);
    EXPECT_EQ(course.error().outcome, core::Outcome::NotRun);
    EXPECT_EQ(course.error().refusal, core::Refusal::Unavailable);
    EXPECT_TRUE(course.error().retryAfter);
}

TEST(AppendCourse, a_record_that_the_log_refuses_is_not_tried_again)
{
    auto course = courseOf();
    course.onAnswer(AppendAnswer{.status = 413});
    EXPECT_EQ(course.step(), Step::Failed);
    EXPECT_THAT(course.error().reason, HasSubstr("413"));
}

TEST(AppendCourse, a_read_older_than_the_append_proves_nothing)
{
    auto course = courseOf();
    course.onAnswer(AppendAnswer{.status = 500});
    course.onWaited();
    course.onPage(pageOf(1, 3, {}));
    EXPECT_EQ(course.step(), Step::Wait);
    course.onWaited();
    EXPECT_EQ(course.step(), Step::Look);
    course.onReadFailed();
    EXPECT_EQ(course.step(), Step::Failed);
    EXPECT_EQ(course.error().outcome, core::Outcome::Unknown);
}

TEST(AppendCourse, records_of_another_form_are_passed_over)
{
    auto course = courseOf();
    course.onAnswer(lostAnswer);
    course.onWaited();
    course.onPage(pageOf(1, 8, {{Offset(5), 0, "[1]"}, {Offset(6), 0, R"({"id":7})"}, {Offset(7), 0, "null"}}));
    EXPECT_EQ(course.step(), Step::Append);
}

// ---- Waits ----

TEST(Backoff, grows_to_its_limit_with_jitter_that_the_seed_decides)
{
    Backoff a(Milliseconds(100), Milliseconds(400), seed);
    Backoff b(Milliseconds(100), Milliseconds(400), seed);
    Milliseconds longest(100);
    for (int i = 0; i < 6; ++i) {
        const auto wait = a.next();
        EXPECT_EQ(wait, b.next());
        EXPECT_GE(wait, longest / 2);
        EXPECT_LE(wait, longest);
        longest = std::min(Milliseconds(400), longest * 2);
    }
    a.reset();
    EXPECT_LE(a.next(), Milliseconds(100));
}

// ---- Following ----

TEST(FollowCursor, tells_each_record_once_in_order)
{
    FollowCursor cursor(Offset(1));
    auto news = cursor.onPage(pageOf(1, 4, {recordOf(1, "a"), recordOf(2, "b")}));
    EXPECT_EQ(news.records.size(), 2U);
    EXPECT_FALSE(news.caughtUp);
    news = cursor.onPage(pageOf(1, 4, {recordOf(2, "b"), recordOf(3, "c")}));
    ASSERT_EQ(news.records.size(), 1U);
    EXPECT_EQ(news.records[0].offset, Offset(3));
    EXPECT_TRUE(news.caughtUp);
    EXPECT_FALSE(news.gapUntil);
}

TEST(FollowCursor, tells_of_records_that_expired_unread)
{
    FollowCursor cursor(Offset(3));
    const auto news = cursor.onPage(pageOf(6, 8, {recordOf(6, "f"), recordOf(7, "g")}));
    EXPECT_EQ(news.gapUntil, Offset(6));
    EXPECT_EQ(news.records.size(), 2U);
    EXPECT_EQ(cursor.next(), Offset(8));
}

TEST(FollowCursor, a_stale_page_moves_nothing)
{
    FollowCursor cursor(Offset(5));
    const auto news = cursor.onPage(pageOf(1, 3, {recordOf(1, "a")}));
    EXPECT_TRUE(news.stale);
    EXPECT_FALSE(news.caughtUp);
    EXPECT_EQ(cursor.next(), Offset(5));
}

TEST(FollowCursor, a_hole_in_a_page_is_read_again)
{
    FollowCursor cursor(Offset(1));
    auto news = cursor.onPage(pageOf(1, 4, {recordOf(1, "a"), recordOf(3, "c")}));
    EXPECT_EQ(news.records.size(), 1U);
    EXPECT_EQ(cursor.next(), Offset(2));
    news = cursor.onPage(pageOf(1, 4, {recordOf(3, "c")}));
    EXPECT_TRUE(news.stale);
}

TEST(LogPage, is_read_as_the_platform_writes_it)
{
    core::Error why;
    const auto page = parseLogPage(R"({"first":2,"next":4,"records":[{"offset":2,"time_ms":5,"data":{"b":1,"a":[]}},{"offset":3,"time_ms":6,"data":7}]})", why);
    ASSERT_TRUE(page) << why.reason;
    EXPECT_EQ(page->records[0].data, R"({"a":[],"b":1})");
    EXPECT_EQ(page->records[1].timeMs, 6);
    for (const auto *text : {"",
                             "[]",
                             R"({"first":0,"next":1,"records":[]})",
                             R"({"first":1,"next":1})",
                             R"({"first":1,"next":2,"records":[{"offset":1}]})",
                             R"({"first":1,"next":3,"records":[{"offset":2,"time_ms":1,"data":1},{"offset":1,"time_ms":1,"data":1}]})"}) {
        EXPECT_FALSE(parseLogPage(text, why)) << text;
        EXPECT_EQ(why.step, core::Step::Log);
    }
}

TEST(LogPage, a_record_that_its_reader_would_refuse_does_not_hide_the_others)
{
    core::Error why;
    const auto nested = std::string(200, '[') + std::string(200, ']');
    EXPECT_TRUE(
        parseLogPage(R"({"first":1,"next":3,"records":[{"offset":1,"time_ms":1,"data":{"a":1,"a":2}},{"offset":2,"time_ms":1,"data":)" + nested + "}]}", why));
}

// ---- Hosts ----

TEST(HostList, entries_are_typed_by_kind_and_unknown_kinds_left_out)
{
    core::Error why;
    const auto list = parseHostList(R"({"as_of_ms":9,"hosts":[
        {"host":"entry-1","kind":"daemon","region":"r","zone":"z","state":"live","peers":"127.0.0.1:1","callers":"127.0.0.1:2","operators":"127.0.0.1:3"},
        {"host":"engine-1","kind":"engine","region":"r","zone":"z","state":"leaving","address":"127.0.0.1:4","base_model":"b","slots":8,"checks_fencing":true},
        {"host":"cache-1","kind":"cache","region":"r","zone":"z","state":"live"},
        {"host":"planning-1","kind":"service","region":"r","zone":"z","state":"live","address":"127.0.0.1:5","service":"planning"}]})",
                                    why);
    ASSERT_TRUE(list) << why.reason;
    ASSERT_EQ(list->hosts.size(), 3U);
    EXPECT_EQ(std::get<DaemonHost>(list->hosts[0].role).operators.port, 3);
    EXPECT_EQ(list->hosts[1].state, HostState::Leaving);
    EXPECT_TRUE(std::get<EngineHost>(list->hosts[1].role).checksFencing);
    EXPECT_EQ(std::get<ServiceHost>(list->find(core::HostId("planning-1"))->role).service.value(), "planning");
    EXPECT_EQ(list->find(core::HostId("cache-1")), nullptr);
}

TEST(HostList, an_entry_that_can_not_be_read_refuses_the_list_rather_than_look_gone)
{
    core::Error why;
    const std::string good
        = R"({"host":"e","kind":"engine","region":"r","zone":"z","state":"live","address":"127.0.0.1:4","base_model":"b","slots":8,"checks_fencing":true})";
    const auto listOf = [](const std::string &entries) { return R"({"as_of_ms":9,"hosts":[)" + entries + "]}"; };
    EXPECT_TRUE(parseHostList(listOf(good), why));
    EXPECT_FALSE(parseHostList(listOf(good + "," + good), why)) << "twice";
    for (const auto *field : {"host", "kind", "region", "zone", "state", "address", "base_model", "slots", "checks_fencing"}) {
        auto bad = good;
        bad.replace(bad.find("\"" + std::string(field) + "\""), 2, "\"_");
        EXPECT_FALSE(parseHostList(listOf(bad), why)) << field;
        EXPECT_THAT(why.reason, HasSubstr(field));
    }
    EXPECT_FALSE(parseHostList(listOf("7"), why));
    EXPECT_FALSE(parseHostList("[]", why));
    EXPECT_EQ(why.step, core::Step::Hosts);
}

} // namespace baobabstall::platform
