#include <gtest/gtest.h>

#include <boost/asio/co_spawn.hpp>

#include <gateway/enginehost.h>

namespace baobabstall::gateway {

namespace {

settings::Settings settingsOf(const std::string &host)
{
    settings::Settings settings;
    settings.host = core::HostId(host);
    settings.zone = core::ZoneId("z");
    settings.region = core::RegionId("r");
    settings.logging.level = "error";
    return settings;
}

/// A daemon "a" that believes in an owner "b" of the load budget, and can't reach it.
class PermitSourceTest : public testing::Test
{
protected:
    PermitSourceTest()
        : node_(io_, settingsOf("a"), core::Incarnation(1), *logging::Log::open({.level = "error"}, core::HostId("a"), why_))
    {
        node_.links = std::make_unique<peers::Links>(
            io_, peers::Links::Self{core::HostId("a"), core::Incarnation(1), core::RegionId("r")}, "the key of a deployment", peers::LinkHandlers{});
        const auto alive = [](const std::string &host) {
            peers::Member member;
            member.host = core::HostId(host);
            member.zone = core::ZoneId("z");
            member.incarnation = core::Incarnation(1);
            member.state = peers::MemberState::Alive;
            member.listing = peers::Listing::Listed;
            return member;
        };
        node_.planner.setMembers({alive("a"), alive("b")});
        ownership::ClaimRecord claim;
        claim.id = "claim-1";
        claim.resource = ownership::loadBudgetResource();
        claim.host = core::HostId("b");
        claim.incarnation = core::Incarnation(1);
        node_.planner.onRecords(core::Offset(1), core::Offset(2), {{core::Offset(1), 1, claim}});
    }

    core::Error why_;
    asio::io_context io_;
    Node node_;
};

} // namespace

TEST_F(PermitSourceTest, an_owner_that_cannot_be_reached_ends_the_ask_at_once)
{
    ASSERT_TRUE(node_.usableOwner(ownership::loadBudgetResource()));
    PermitSource permits(node_);
    int looks = 0;
    std::optional<engines::PermitId> permit;
    bool hasEnded = false;
    const auto isWanted = [&looks] { return ++looks < 100; };
    asio::co_spawn(
        io_, permits.ask(core::UpstreamId("engine-1"), *core::AdapterRef::parse("a/b@c"), {}, isWanted), [&](const std::exception_ptr &, auto result) {
            permit = result;
            hasEnded = true;
            io_.stop();
        });
    io_.run();
    EXPECT_TRUE(hasEnded);
    EXPECT_FALSE(permit);
    EXPECT_EQ(looks, 1) << "asked again and again without waiting";
}

} // namespace baobabstall::gateway
