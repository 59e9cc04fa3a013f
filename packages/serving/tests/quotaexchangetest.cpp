#include <serving/quotaexchange.h>

#include "servingfixture.h"

namespace baobabstall::serving::tests {
namespace {

/// The exchanges of an owner of all partitions and of another host, linked over loopback; ticked every 20 ms while the io_context runs.
class QuotaExchangeTest : public ServingFixture
{
protected:
    QuotaExchangeTest()
        : owner_(node_, core::Incarnation(1), ownership())
        , other_(otherNode(), core::Incarnation(1), ownership())
        , ownerLinks_(io_, self("owner"), "key", handlers(owner_))
        , links_(io_, self("entry-2"), "key", handlers(other_))
    {
        core::Error why;
        const auto ownerAddress = *ownerLinks_.listen({"127.0.0.1", 0}, why);
        const auto otherAddress = *links_.listen({"127.0.0.1", 0}, why);
        links_.setAddress(ownerHost_, ownerAddress);
        ownerLinks_.setAddress(HostId("entry-2"), otherAddress);
        owner_.setLinks(ownerLinks_);
        other_.setLinks(links_);
        owner_.setHosts(2);
        other_.setHosts(2);
    }

    static peers::Links::Self self(const std::string &host) { return {HostId(host), core::Incarnation(1), core::RegionId("r")}; }

    Node &otherNode()
    {
        node_.settings.host = ownerHost_;
        auto settings = node_.settings;
        settings.host = HostId("entry-2");
        otherNode_ = std::make_unique<Node>(io_, settings, codec_, log());
        return *otherNode_;
    }

    QuotaExchange::Ownership ownership()
    {
        return {.ownerOf = [this](int) { return std::optional(ownership::Owner{ownerHost_, core::Incarnation(1), core::Epoch(5), false}); }};
    }

    peers::LinkHandlers handlers(QuotaExchange &exchange)
    {
        peers::LinkHandlers handlers;
        handlers.onNotice = [this, &exchange](const HostId &from, const peers::Notice &notice) {
            if (const auto *ask = std::get_if<peers::QuotaAskNotice>(&notice.body); ask != nullptr && (isOwnerThere_ || &exchange != &owner_)) {
                exchange.onAsk(from, *ask);
            } else if (const auto *grant = std::get_if<peers::QuotaGrantNotice>(&notice.body)) {
                exchange.onGrant(from, *grant);
            }
        };
        return handlers;
    }

    void setQuota(const WorkspaceQuota &quota)
    {
        for (auto *exchange : {&owner_, &other_}) {
            exchange->setWorkspaces({{workspace_, quota}});
        }
    }

    void run(Milliseconds time)
    {
        for (const auto end = node_.now() + time; node_.now() < end;) {
            owner_.tick();
            other_.tick();
            runFor(Milliseconds(20));
        }
    }

    /// Asks for this at the exchange; nothing: there is no decision within the time.
    std::optional<QuotaDecision> take(QuotaExchange &exchange, double amount, Milliseconds maxWait)
    {
        std::optional<QuotaDecision> decision;
        asio::co_spawn(
            io_, [&]() -> net::Task<void> { decision = co_await exchange.take(workspace_, amount, maxWait); }, asio::detached);
        for (const auto end = node_.now() + maxWait + Milliseconds(200); !decision && node_.now() < end;) {
            io_.run_one_for(std::chrono::milliseconds(5));
        }
        return decision;
    }

    const HostId ownerHost_{"owner"};
    const WorkspaceId workspace_{"w"};
    std::unique_ptr<Node> otherNode_;
    bool isOwnerThere_ = true;
    QuotaExchange owner_;
    QuotaExchange other_;
    peers::Links ownerLinks_;
    peers::Links links_;
};

TEST_F(QuotaExchangeTest, a_workspace_without_a_quota_needs_no_owner)
{
    EXPECT_TRUE(owner_.resources().empty());
    const auto decision = take(other_, 1e9, Milliseconds(0));
    ASSERT_TRUE(decision);
    EXPECT_TRUE(decision->isGranted);
    EXPECT_EQ(decision->charge.amount, 0);
}

TEST_F(QuotaExchangeTest, a_request_at_another_host_gets_credit_of_the_owner)
{
    setQuota({.perSecond = 1'000, .burst = 1'000});
    EXPECT_EQ(owner_.resources().size(), static_cast<std::size_t>(QuotaExchange::partitions));
    run(Milliseconds(3'500)); // the owner counts hosts from 1.2 s on, and keeps little for 2.5 s
    const auto decision = take(other_, 100, Milliseconds(200));
    ASSERT_TRUE(decision);
    EXPECT_TRUE(decision->isGranted);
    EXPECT_EQ(decision->charge.amount, 100);
    const auto own = take(owner_, 100, Milliseconds(200));
    ASSERT_TRUE(own);
    EXPECT_TRUE(own->isGranted);
}

// Failure: the owner answers no more, and no other host can be asked; hosts spend their share after a while, and are served again when it answers.
TEST_F(QuotaExchangeTest, hosts_without_an_owner_that_answers_spend_their_share_until_one_answers)
{
    setQuota({.perSecond = 1'000, .burst = 0});
    run(Milliseconds(500));
    isOwnerThere_ = false;
    run(Milliseconds(2'300));
    EXPECT_EQ(otherNode_->metrics.quotaFallback.value(), 1);
    const auto decision = take(other_, 50, Milliseconds(0));
    ASSERT_TRUE(decision);
    EXPECT_TRUE(decision->isGranted);
    const auto large = take(other_, 250, Milliseconds(0)); // more than it saves up
    ASSERT_TRUE(large);
    EXPECT_FALSE(large->isGranted);
    EXPECT_GT(large->retryAfter, Milliseconds(0));
    isOwnerThere_ = true;
    run(Milliseconds(600));
    EXPECT_EQ(otherNode_->metrics.quotaFallback.value(), 0);
}

// Failure: the owner is gone, and nobody claims. Another host stands in within a second, before fallback begins; without a word of the store.
TEST_F(QuotaExchangeTest, a_stand_in_serves_while_the_owner_is_silent)
{
    setQuota({.perSecond = 1'000, .burst = 1'000});
    other_.noteHost(HostId("entry-2"), true);
    run(Milliseconds(1'500));
    isOwnerThere_ = false;
    run(Milliseconds(3'000)); // 1 s until it is silent, 1.2 s until the stand-in counts hosts
    EXPECT_EQ(otherNode_->metrics.quotaFallback.value().value_or(0), 0);
    const auto decision = take(other_, 100, Milliseconds(200));
    ASSERT_TRUE(decision);
    EXPECT_TRUE(decision->isGranted);
}

} // namespace
} // namespace baobabstall::serving::tests
