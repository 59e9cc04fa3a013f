#include <gtest/gtest.h>

#include <serving/versionhistory.h>

namespace baobabstall::serving::tests {
namespace {

const ServiceName llm("llm");
const SoftwareVersion v1("v1");
const SoftwareVersion v2("v2");
constexpr Milliseconds span{15'000};

ReplicaRecord recordOf(const std::string &id, const SoftwareVersion &version, const ServiceName &service = llm)
{
    ReplicaRecord record;
    record.id = UpstreamId(id);
    record.service = service;
    record.version = version;
    return record;
}

// Guards against a guess by a host that has not watched a service for as long as a stream may last.
TEST(VersionHistory, one_version_is_certain_only_after_the_longest_stream)
{
    ReplicaBook replicas;
    replicas.apply(recordOf("r1", v1));
    VersionHistory history(Instant(1'000));
    history.update(replicas, Instant(1'000));
    EXPECT_FALSE(history.only(llm, span, Instant(15'000)));
    EXPECT_EQ(history.only(llm, span, Instant(16'000)), v1);
    EXPECT_FALSE(history.only(ServiceName("other"), span, Instant(16'000))) << "without upstreams";
    replicas.apply(recordOf("r2", v2));
    history.update(replicas, Instant(17'000));
    EXPECT_FALSE(history.only(llm, span, Instant(17'000)));
    EXPECT_TRUE(history.isMixed(llm, span, Instant(17'000)));
}

TEST(VersionHistory, a_version_that_is_gone_counts_until_its_streams_have_ended)
{
    ReplicaBook replicas;
    replicas.apply(recordOf("r1", v1));
    replicas.apply(recordOf("r2", v2));
    VersionHistory history(Instant(0));
    history.update(replicas, Instant(0));
    replicas.remove(UpstreamId("r1"), Instant(50'000));
    history.update(replicas, Instant(50'000));
    EXPECT_FALSE(history.only(llm, span, Instant(64'000)));
    EXPECT_EQ(history.only(llm, span, Instant(66'000)), v2);
}

// Guards against a host that takes what was known some time ago for what holds now (review/7, ORDER).
TEST(VersionHistory, nothing_is_known_beyond_the_moment_to_which_somebody_vouches)
{
    ReplicaBook replicas;
    replicas.apply(recordOf("r1", v1));
    for (const int unvouchedMs : {0, 1, 7'000}) {
        VersionHistory history(Instant(100'000));
        history.update(replicas, Instant(100'000));
        history.adopt({.coveredFor = Milliseconds(60'000), .gone = {}, .unvouched = Milliseconds(unvouchedMs)}, Instant(100'000));
        EXPECT_EQ(history.only(llm, span, Instant(100'000)).has_value(), unvouchedMs == 0) << unvouchedMs;
        EXPECT_EQ(history.only(llm, span, Instant(115'000)), v1);
    }
}

TEST(VersionHistory, a_host_that_starts_goes_on_from_what_others_knew)
{
    ReplicaBook replicas;
    replicas.apply(recordOf("r1", v1));
    VersionHistory old(Instant(0));
    old.update(replicas, Instant(0));
    ReplicaBook later;
    later.apply(recordOf("r2", v2));
    VersionHistory calm(Instant(100'000));
    calm.update(replicas, Instant(100'000));
    calm.adopt(old.past(Instant(100'000)), Instant(100'000));
    EXPECT_EQ(calm.only(llm, span, Instant(100'000)), v1);
    old.update(later, Instant(95'000));
    VersionHistory changed(Instant(100'000));
    changed.update(later, Instant(100'000));
    changed.adopt(old.past(Instant(100'000)), Instant(100'000));
    EXPECT_FALSE(changed.only(llm, span, Instant(100'000))) << "v1 was there five seconds before";
    EXPECT_EQ(changed.only(llm, span, Instant(111'000)), v2);
}

// Patterns: a release, and a roll-back in its middle.
TEST(VersionHistory, the_version_whose_upstreams_leave_shrinks)
{
    ReplicaBook replicas;
    for (const auto *id : {"r1", "r2", "r3"}) {
        replicas.apply(recordOf(id, v1));
    }
    VersionHistory history(Instant(0));
    history.update(replicas, Instant(0));
    history.onLeaving(llm, v1, Instant(1'000));
    EXPECT_FALSE(history.isShrinking(llm, v1, Instant(1'000))) << "there is no other version";
    replicas.apply(recordOf("r4", v2));
    history.update(replicas, Instant(2'000));
    EXPECT_TRUE(history.isShrinking(llm, v1, Instant(2'000)));
    EXPECT_FALSE(history.isShrinking(llm, v2, Instant(2'000)));
    history.onLeaving(llm, v2, Instant(5'000));
    EXPECT_FALSE(history.isShrinking(llm, v1, Instant(5'000)));
    EXPECT_TRUE(history.isShrinking(llm, v2, Instant(5'000)));
    EXPECT_FALSE(history.isShrinking(llm, v2, Instant(5'000) + VersionHistory::shrinkingTime + Milliseconds(1)));
}

TEST(VersionHistory, versions_that_are_gone_are_bounded_and_forgotten)
{
    VersionHistory history(Instant(0));
    for (int i = 0; i < 200; ++i) {
        ReplicaBook replicas;
        replicas.apply(recordOf("r", SoftwareVersion("v" + std::to_string(i))));
        history.update(replicas, Instant(i * 100));
        history.onLeaving(llm, SoftwareVersion("v" + std::to_string(i)), Instant(i * 100));
    }
    EXPECT_LE(history.past(Instant(20'000)).gone.size(), VersionHistory::maxGonePerService);
    EXPECT_TRUE(history.past(Instant(20'000) + VersionHistory::memory).gone.empty());
}

} // namespace
} // namespace baobabstall::serving::tests
