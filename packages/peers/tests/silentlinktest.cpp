#include <gtest/gtest.h>

#include <core/clock.h>
#include <peers/link.h>

#include "silentproxy.h"

namespace baobabstall::peers::tests {

namespace {

using core::Milliseconds;

const ProbeCall probe{core::UpstreamId("engine-1"), "a/b@c", core::PlanId("gold"), 2};
constexpr Milliseconds shortWait{200};
constexpr Milliseconds deadAfter{20'000}; // of the test; a link is replaced after 1.5 s on a machine that isn't busy

/// Host a has a link to host b through a proxy. A call is answered at once, or after 3 s where its engine is "slow".
class SilentLinkTest : public testing::Test
{
protected:
    SilentLinkTest()
    {
        LinkHandlers handlers;
        handlers.onCall = [this](std::shared_ptr<IncomingCall> call) -> net::Task<void> {
            ++callsRead_;
            if (std::get<ProbeCall>(call->body()).engine == core::UpstreamId("slow")) {
                co_await net::sleep(io_, slowReply);
            }
            call->send(HintReply{});
        };
        core::Error why;
        b_ = std::make_unique<Links>(io_, Links::Self{HostId("b"), Incarnation(1), core::RegionId("r")}, key, std::move(handlers));
        proxy_ = std::make_unique<SilentProxy>(io_, b_->listen({"127.0.0.1", 0}, why).value_or(net::Address{}));
        LinkHandlers own;
        own.onSilent = [this](const HostId &, Milliseconds) { ++silentLinks_; };
        a_ = std::make_unique<Links>(io_, Links::Self{HostId("a"), Incarnation(1), core::RegionId("r")}, key, std::move(own));
        a_->setAddress(HostId("b"), proxy_->address());
    }
    ~SilentLinkTest() override
    {
        a_->close();
        b_->close();
        proxy_.reset();
        io_.run_for(std::chrono::milliseconds(20));
    }

    bool isAnswered(OutgoingCall &call, Milliseconds wait)
    {
        std::optional<bool> isAnswered;
        asio::co_spawn(
            io_,
            [&]() -> net::Task<void> {
                core::Error why;
                isAnswered = (co_await call.next(wait, why)).has_value();
                io_.stop();
            },
            asio::detached);
        io_.restart();
        io_.run();
        return *isAnswered;
    }
    bool isServed() { return isAnswered(*a_->call(HostId("b"), probe), shortWait); }
    /// Calls again and again, as a host does.
    bool isServedAgain()
    {
        const core::SteadyClock clock;
        const auto until = clock.now() + deadAfter;
        while (clock.now() < until) {
            if (isServed()) {
                return true;
            }
        }
        return false;
    }

    static constexpr Milliseconds slowReply{3'000};
    static constexpr auto key = "the key of a deployment";
    asio::io_context io_;
    std::unique_ptr<Links> a_;
    std::unique_ptr<Links> b_;
    std::unique_ptr<SilentProxy> proxy_;
    int callsRead_ = 0;
    int silentLinks_ = 0;
};

} // namespace

// Guards against hosts that take each other for dead for good: their connections fell silent without a reset, and nobody opened others
// (review/3, RECOVER).
TEST_F(SilentLinkTest, a_link_that_falls_silent_is_replaced)
{
    ASSERT_TRUE(isServed());
    proxy_->silence(SilentProxy::Direction::ToServer);
    proxy_->silence(SilentProxy::Direction::ToClient);
    EXPECT_FALSE(isServed());
    EXPECT_TRUE(isServedAgain());
    EXPECT_EQ(proxy_->connections(), 2U);
    EXPECT_EQ(silentLinks_, 1);
}

TEST_F(SilentLinkTest, one_that_is_silent_in_one_direction_only_is_replaced)
{
    for (const auto direction : {SilentProxy::Direction::ToServer, SilentProxy::Direction::ToClient}) {
        ASSERT_TRUE(isServedAgain());
        proxy_->silence(direction);
        EXPECT_FALSE(isServed());
        EXPECT_TRUE(isServedAgain());
    }
    EXPECT_EQ(proxy_->connections(), 3U);
}

// Work that a peer has begun isn't given up because the peer was silent for a while.
TEST_F(SilentLinkTest, the_reply_to_a_call_that_was_sent_before_the_silence_still_arrives)
{
    ASSERT_TRUE(isServed());
    const auto before = a_->call(HostId("b"), ProbeCall{core::UpstreamId("slow"), "a/b@c", core::PlanId("gold"), 2});
    EXPECT_FALSE(isAnswered(*before, shortWait));
    proxy_->silence(SilentProxy::Direction::ToClient);
    EXPECT_TRUE(isServedAgain());
    proxy_->resume();
    EXPECT_TRUE(isAnswered(*before, deadAfter));
}

TEST_F(SilentLinkTest, a_link_that_answers_is_kept_while_its_calls_take_long)
{
    ASSERT_TRUE(isServed());
    const auto slow = a_->call(HostId("b"), ProbeCall{core::UpstreamId("slow"), "a/b@c", core::PlanId("gold"), 2});
    EXPECT_TRUE(isAnswered(*slow, deadAfter));
    EXPECT_TRUE(isServed());
    EXPECT_EQ(proxy_->connections(), 1U);
    EXPECT_EQ(silentLinks_, 0);
}

// Cost: each stream is told to three hosts, and at dozens of hosts each such notice brought a ping and its answer as well.
TEST_F(SilentLinkTest, a_notice_that_several_hosts_get_asks_for_no_sign_of_life)
{
    ASSERT_TRUE(isServed());
    io_.restart();
    io_.run_for(std::chrono::milliseconds(100)); // the answer to the ping of that call
    proxy_->silence(SilentProxy::Direction::ToServer);
    proxy_->silence(SilentProxy::Direction::ToClient);
    for (int i = 0; i < 25; ++i) {
        a_->notify(HostId("b"), {StreamOriginNotice{core::RequestId("q" + std::to_string(i)), {}, 1'000}});
        io_.restart();
        io_.run_for(std::chrono::milliseconds(100));
    }
    EXPECT_EQ(silentLinks_, 0);
    EXPECT_TRUE(isServedAgain()) << "what needs the link finds out";
    EXPECT_EQ(silentLinks_, 1);
}

} // namespace baobabstall::peers::tests
