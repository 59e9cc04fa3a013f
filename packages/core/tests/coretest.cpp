#include <gtest/gtest.h>

#include <core/clock.h>
#include <core/error.h>
#include <core/hash.h>
#include <core/types.h>

namespace baobabstall::core {

TEST(AdapterRef, reads_what_it_prints)
{
    const auto ref = AdapterRef::parse("swell-camp/brief@v3");
    ASSERT_TRUE(ref);
    EXPECT_EQ(ref->customer.value(), "swell-camp");
    EXPECT_EQ(ref->text(), "swell-camp/brief@v3");
}

TEST(AdapterRef, refuses_text_that_names_no_single_version)
{
    for (const auto *text : {"", "a", "a/b", "/b@c", "a/@c", "a/b@", "a/b@c@d", "a/b/c@d", "a b/c@d", "a/b@c#4"}) {
        EXPECT_FALSE(AdapterRef::parse(text)) << text;
    }
}

TEST(Error, says_step_and_peer)
{
    const Error error{.step = Step::Upstream, .peer = "engine-1", .reason = "connection reset"};
    EXPECT_EQ(error.text(), "upstream engine-1: connection reset");
}

TEST(Error, names_are_read_back)
{
    EXPECT_EQ(stepOfName(stepName(Step::Peer)), Step::Peer);
    EXPECT_EQ(refusalOfName(refusalName(Refusal::Unavailable)), Refusal::Unavailable);
    EXPECT_EQ(outcomeOfName(outcomeName(Outcome::Unknown)), Outcome::Unknown);
    EXPECT_FALSE(stepOfName("nowhere"));
    EXPECT_EQ(httpStatus(Refusal::TooMany), 429);
}

TEST(Hash, does_not_change_between_releases)
{
    EXPECT_EQ(hashText("adapter", 0), hashText("adapter", 0));
    EXPECT_NE(hashText("adapter", 0), hashText("adapter", 1));
    EXPECT_NE(rendezvousWeight("key", "a"), rendezvousWeight("key", "b"));
}

TEST(FakeClock, moves_only_when_told)
{
    FakeClock clock;
    const Instant begin = clock.now();
    clock.advance(Milliseconds(250));
    EXPECT_EQ(clock.now() - begin, Milliseconds(250));
}

} // namespace baobabstall::core
