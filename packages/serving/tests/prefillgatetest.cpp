#include <serving/prefillgate.h>

#include "servingfixture.h"

namespace baobabstall::serving::tests {
namespace {

/// The owner of replica r1 and another host, linked over loopback.
class PrefillGateTest : public ServingFixture
{
protected:
    PrefillGateTest()
        : gate_(node_)
        , ownerLinks_(io_, self("owner"), "key", ownerHandlers())
        , links_(io_, self("entry-2"), "key", {})
    {
        setUpService(route(RetryPolicy::AtMostOnce, true, 1), {{ScriptedUpstream::Script{{}}}}, true);
        core::Error why;
        links_.setAddress(owner_, *ownerLinks_.listen({"127.0.0.1", 0}, why));
    }

    static peers::Links::Self self(const std::string &host) { return {HostId(host), core::Incarnation(1), core::RegionId("r")}; }

    peers::LinkHandlers ownerHandlers()
    {
        peers::LinkHandlers handlers;
        handlers.onCall = [this](std::shared_ptr<peers::IncomingCall> call) -> net::Task<void> {
            const auto request = std::get<peers::PrefillCall>(call->body());
            co_await gate_.serve(std::move(call), request);
        };
        return handlers;
    }

    /// Asks for a turn from the other host. `turn` is set when it is granted.
    void askRemotely(std::optional<PrefillTurn> &turn, double tokens, Milliseconds maxWait)
    {
        asio::co_spawn(
            io_,
            [this, &turn, tokens, maxWait]() -> net::Task<void> {
                turn = co_await gate_.enterAtOwner(links_, owner_, {replica_, tokens, maxWait});
            },
            asio::detached);
    }

    bool runUntil(const std::function<bool()> &condition)
    {
        const auto end = node_.now() + Milliseconds(4'000);
        while (!condition() && node_.now() < end) {
            io_.run_one_for(std::chrono::milliseconds(5));
        }
        return condition();
    }

    const HostId owner_{"owner"};
    const UpstreamId replica_{"r1"};
    PrefillGate gate_;
    peers::Links ownerLinks_;
    peers::Links links_;
};

constexpr double wholeLimit = 100'000; // tokens; more than any limit of the fixture's route
constexpr Milliseconds patience{3'000};

// Guards against turns that end as soon as they are granted: a link keeps only a weak reference to a call that it serves.
TEST_F(PrefillGateTest, a_turn_of_another_host_lasts_until_that_host_ends_it)
{
    std::optional<PrefillTurn> first;
    std::optional<PrefillTurn> second;
    askRemotely(first, wholeLimit, patience);
    ASSERT_TRUE(runUntil([&] { return first.has_value(); }));
    ASSERT_TRUE(*first);
    askRemotely(second, wholeLimit, patience);
    runFor(Milliseconds(150));
    EXPECT_FALSE(second.has_value()) << "the first prompt is still being processed";
    first->reset();
    ASSERT_TRUE(runUntil([&] { return second.has_value(); }));
    EXPECT_TRUE(*second);
}

TEST_F(PrefillGateTest, turns_end_with_the_link_of_the_host_that_holds_them)
{
    std::optional<PrefillTurn> remote;
    askRemotely(remote, wholeLimit, patience);
    ASSERT_TRUE(runUntil([&] { return remote.has_value(); }));
    std::optional<PrefillTurn> local;
    asio::co_spawn(
        io_,
        [&]() -> net::Task<void> {
            local = co_await gate_.enter({replica_, wholeLimit, patience});
        },
        asio::detached);
    runFor(Milliseconds(100));
    EXPECT_FALSE(local.has_value());
    links_.close();
    ASSERT_TRUE(runUntil([&] { return local.has_value(); }));
}

TEST_F(PrefillGateTest, a_host_that_gets_no_answer_goes_on_without_a_turn)
{
    ownerLinks_.close();
    std::optional<PrefillTurn> turn;
    askRemotely(turn, wholeLimit, Milliseconds(100));
    ASSERT_TRUE(runUntil([&] { return turn.has_value(); }));
    EXPECT_FALSE(*turn);
}

} // namespace
} // namespace baobabstall::serving::tests
