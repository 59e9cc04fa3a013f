#include <peers/peerclocks.h>

#include <gtest/gtest.h>

namespace baobabstall::peers {
namespace {

using core::HostId;
using core::Instant;
using core::Milliseconds;

const HostId peer("entry-2");
constexpr Milliseconds offset{-70'000}; // this host's clock minus the peer's

Instant peerTimeAt(Instant own)
{
    return own - offset;
}

TEST(PeerClocks, know_nothing_of_a_host_that_has_not_answered)
{
    PeerClocks clocks;
    EXPECT_TRUE(clocks.isQueryDue(peer, Instant(0)));
    EXPECT_FALSE(clocks.isQueryDue(peer, Instant(100)));
    EXPECT_TRUE(clocks.isQueryDue(peer, Instant(0) + PeerClocks::retryInterval));
    EXPECT_FALSE(clocks.earliest(peer, peerTimeAt(Instant(0)), Instant(100)));
}

// Guards against a message that waited on its way and counts as just sent (issue 23, CONFIG).
TEST(PeerClocks, a_message_is_never_taken_for_younger_than_it_is_however_long_it_or_an_answer_took)
{
    for (const int answerDelay : {0, 5, 900, 4'000}) {
        PeerClocks clocks;
        const Instant asked(1'000);
        const Instant read = asked + Milliseconds(answerDelay); // the whole delay lies before or after the peer's look at its clock
        clocks.onAnswer(peer, asked, peerTimeAt(read), read);
        clocks.onAnswer(peer, asked, peerTimeAt(asked), read);
        const Instant sent(10'000);
        const auto earliest = clocks.earliest(peer, peerTimeAt(sent), Instant(13'000));
        ASSERT_TRUE(earliest);
        EXPECT_LE(*earliest, sent);
        EXPECT_GE(*earliest, sent - Milliseconds(answerDelay));
    }
}

TEST(PeerClocks, keep_the_sharpest_of_several_answers)
{
    PeerClocks clocks;
    clocks.onAnswer(peer, Instant(1'000), peerTimeAt(Instant(1'002)), Instant(1'004));
    clocks.onAnswer(peer, Instant(6'000), peerTimeAt(Instant(6'900)), Instant(6'901));
    EXPECT_EQ(clocks.earliest(peer, peerTimeAt(Instant(8'000)), Instant(8'100)), Instant(7'998));
}

TEST(PeerClocks, forget_what_a_host_that_was_booted_again_or_has_long_been_silent_once_answered)
{
    PeerClocks clocks;
    clocks.onAnswer(peer, Instant(100'000), peerTimeAt(Instant(100'000)), Instant(100'001));
    const Instant bootedClock(50); // by the peer's clock, at 101'000 here
    clocks.onAnswer(peer, Instant(101'000), bootedClock, Instant(101'002));
    EXPECT_EQ(clocks.earliest(peer, bootedClock + Milliseconds(500), Instant(102'000)), Instant(101'500));
    EXPECT_FALSE(clocks.earliest(peer, bootedClock, Instant(102'000) + PeerClocks::lifetime * 2));
}

} // namespace
} // namespace baobabstall::peers
