#include <serving/worktimes.h>

#include <gtest/gtest.h>

namespace baobabstall::serving {
namespace {

constexpr Milliseconds objective{150};

// Guards against a service of 30 ms that is judged by an assumed work time, so that half of its places stay empty (issue 50).
TEST(WorkTimes, the_work_time_is_learnt_from_answers_though_some_of_them_waited)
{
    WorkTimes work;
    EXPECT_EQ(work.expected(), WorkTimes::assumed);
    EXPECT_DOUBLE_EQ(work.maxFill(objective, Instant(0)), 2.5);
    for (int i = 0; i < 40; ++i) {
        work.add(Milliseconds(i % 2 == 0 ? 30 : 90));
    }
    EXPECT_EQ(work.expected(), Milliseconds(30));
    EXPECT_DOUBLE_EQ(work.maxFill(objective, Instant(0)), 4);
}

TEST(WorkTimes, a_service_that_becomes_slower_is_sent_less)
{
    WorkTimes work;
    for (int i = 0; i < 40; ++i) {
        work.add(Milliseconds(30));
    }
    for (int i = 0; i < 40; ++i) {
        work.add(Milliseconds(100));
    }
    EXPECT_EQ(work.expected(), Milliseconds(100));
    EXPECT_DOUBLE_EQ(work.maxFill(objective, Instant(0)), WorkTimes::minFill);
}

// Guards against queues of replicas that refuse more because a learnt work time is shorter than the assumed one (issue 50).
TEST(WorkTimes, after_a_replica_had_no_room_no_more_is_sent_than_by_the_assumed_work_time)
{
    WorkTimes work;
    for (int i = 0; i < 40; ++i) {
        work.add(Milliseconds(20));
    }
    work.onFull(Instant(1'000));
    EXPECT_DOUBLE_EQ(work.maxFill(objective, Instant(1'100)), 2.5);
    EXPECT_TRUE(work.isScarce(Instant(1'100)));
    EXPECT_DOUBLE_EQ(work.maxFill(objective, Instant(4'000)), 6);
    EXPECT_FALSE(work.isScarce(Instant(4'000)));
}

TEST(WorkTimes, a_service_is_crowded_while_and_shortly_after_most_of_its_places_are_taken)
{
    WorkTimes work;
    work.noteLoad(13, 18, Instant(0));
    EXPECT_FALSE(work.isScarce(Instant(0)));
    work.noteLoad(0, 0, Instant(0));
    EXPECT_FALSE(work.isScarce(Instant(0))) << "no replica is known";
    work.noteLoad(14, 18, Instant(100));
    work.noteLoad(2, 18, Instant(200));
    EXPECT_TRUE(work.isScarce(Instant(2'000)));
    EXPECT_FALSE(work.isScarce(Instant(2'100)));
}

} // namespace
} // namespace baobabstall::serving
