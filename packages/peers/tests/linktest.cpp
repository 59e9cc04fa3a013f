#include <gtest/gtest.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/connect.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <peers/link.h>

namespace baobabstall::peers {

namespace {

namespace asio = boost::asio;

constexpr core::Milliseconds longWait{10'000};

/// Links of several daemons on one io_context.
class LinkTest : public testing::Test
{
protected:
    std::unique_ptr<Links> makeLinks(const std::string &host, const std::string &key, LinkHandlers handlers = {})
    {
        auto links = std::make_unique<Links>(io_, Links::Self{HostId(host), Incarnation(1), core::RegionId("r")}, key, std::move(handlers));
        core::Error error;
        addresses_[host] = links->listen({"127.0.0.1", 0}, error).value_or(net::Address{});
        return links;
    }

    template<typename T>
    T run(net::Task<T> task)
    {
        std::optional<T> result;
        asio::co_spawn(io_, std::move(task), [&](const std::exception_ptr &failed, T value) {
            EXPECT_FALSE(failed);
            result.emplace(std::move(value));
            io_.stop();
        });
        io_.run();
        io_.restart();
        return std::move(*result);
    }

    std::optional<ReplyBody> callOnce(Links &links, const std::string &to, CallBody body)
    {
        const auto call = links.call(HostId(to), std::move(body));
        return run(call->next(longWait, error_));
    }

    asio::io_context io_;
    std::map<std::string, net::Address> addresses_;
    core::Error error_;
};

LinkHandlers replyWithHint(int waitMs)
{
    LinkHandlers handlers;
    handlers.onCall = [waitMs](std::shared_ptr<IncomingCall> call) -> net::Task<void> {
        HintReply hint;
        hint.waitMs = waitMs;
        call->send(hint);
        co_return;
    };
    return handlers;
}

const ProbeCall probe{core::UpstreamId("engine-1"), "a/b@c", core::PlanId("gold"), 2};

} // namespace

TEST(Frames, survive_encoding_and_decoding)
{
    core::Error error;
    const Call call{7, RunCall{.request = core::RequestId("r1"), .engine = core::UpstreamId("e"), .adapter = "a/b@c", .body = "{}"}};
    const auto frame = decode(encode(call), error);
    ASSERT_TRUE(frame) << error.text();
    EXPECT_EQ(std::get<RunCall>(std::get<Call>(*frame).body).request.value(), "r1");
    const core::Error sentError{
        .step = core::Step::Admit, .peer = "e", .reason = "full", .refusal = core::Refusal::TooMany, .retryAfter = core::Milliseconds(250)};
    const auto reply = decode(encode(Reply{7, ErrorReply{sentError}}), error);
    ASSERT_TRUE(reply) << error.text();
    const auto &read = std::get<ErrorReply>(std::get<Reply>(*reply).body).error;
    EXPECT_EQ(read.text(), sentError.text());
    EXPECT_EQ(read.refusal, sentError.refusal);
    EXPECT_EQ(read.retryAfter, sentError.retryAfter);
}

TEST(Frames, malformed_bytes_are_an_error)
{
    core::Error error;
    std::string whole = encode(Call{7, probe});
    for (std::size_t length = 0; length < whole.size(); ++length) {
        EXPECT_FALSE(decode(std::string_view(whole).substr(0, length), error)) << length;
    }
    whole[0] = 99;
    EXPECT_FALSE(decode(whole, error));
    EXPECT_EQ(error.step, core::Step::Peer);
}

/// Any peer can send a frame before the handshake is complete, and the CBOR parser recurses for each level.
TEST(Frames, deeply_nested_bytes_are_an_error)
{
    for (const char nesting : {'\x81', '\x9f', '\xa1'}) {
        for (char kind = 0; kind < 8; ++kind) {
            core::Error error;
            EXPECT_FALSE(decode(kind + std::string(Links::maxFrameBytes - 1, nesting), error));
        }
    }
    core::Error error;
    EXPECT_FALSE(decode(std::string("\x00\x9b\x7f\xff\xff\xff\xff\xff\xff\xff", 10), error)) << "an excessive length";
}

TEST_F(LinkTest, delivers_a_call_and_its_reply)
{
    const auto a = makeLinks("a", "the key of a deployment");
    const auto b = makeLinks("b", "the key of a deployment", replyWithHint(42));
    a->setAddress(HostId("b"), addresses_["b"]);
    const auto reply = callOnce(*a, "b", probe);
    ASSERT_TRUE(reply) << error_.text();
    EXPECT_EQ(std::get<HintReply>(*reply).waitMs, 42);
}

TEST_F(LinkTest, a_call_to_itself_needs_no_link)
{
    const auto a = makeLinks("a", "the key of a deployment", replyWithHint(1));
    ASSERT_TRUE(callOnce(*a, "a", probe));
    EXPECT_EQ(a->openLinks(), 0U);
}

TEST_F(LinkTest, a_peer_with_another_key_is_rejected_before_any_message_is_handled)
{
    int served = 0;
    std::string rejected;
    LinkHandlers handlers;
    handlers.onCall = [&](std::shared_ptr<IncomingCall>) -> net::Task<void> {
        ++served;
        co_return;
    };
    handlers.onRejected = [&](const std::string &, const core::Error &sentError) { rejected = sentError.reason; };
    const auto a = makeLinks("a", "a key of somebody else");
    const auto b = makeLinks("b", "the key of a deployment", handlers);
    a->setAddress(HostId("b"), addresses_["b"]);
    EXPECT_FALSE(callOnce(*a, "b", probe));
    EXPECT_EQ(error_.outcome, core::Outcome::NotRun);
    EXPECT_EQ(served, 0);
    EXPECT_EQ(rejected, "does not hold the deployment's key");
}

// Pattern: the store lost the deployment's key, and another host has written a new one.
TEST_F(LinkTest, links_open_again_with_a_changed_key_and_calls_in_flight_end)
{
    const auto a = makeLinks("a", "old");
    const auto b = makeLinks("b", "old", replyWithHint(7));
    a->setAddress(HostId("b"), addresses_["b"]);
    ASSERT_TRUE(callOnce(*a, "b", probe));
    a->setKey("new");
    b->setKey("new");
    std::optional<ReplyBody> reply;
    for (int attempt = 0; attempt < 100 && !reply; ++attempt) {
        const auto call = a->call(HostId("b"), probe);
        reply = run(call->next(core::Milliseconds(300), error_));
        io_.run_for(std::chrono::milliseconds(20)); // until a link may be opened again
        io_.restart();
    }
    EXPECT_TRUE(reply) << error_.reason;
    const auto c = makeLinks("c", "old");
    c->setAddress(HostId("b"), addresses_["b"]);
    EXPECT_FALSE(callOnce(*c, "b", probe)) << "the old key is no longer accepted";
}

TEST_F(LinkTest, an_unreachable_host_means_not_run)
{
    const auto a = makeLinks("a", "the key of a deployment");
    EXPECT_FALSE(callOnce(*a, "b", probe));
    EXPECT_EQ(error_.outcome, core::Outcome::NotRun);
    EXPECT_EQ(error_.peer, "b");
}

TEST_F(LinkTest, a_cancel_reaches_the_peer)
{
    bool isCancelled = false;
    LinkHandlers handlers;
    handlers.onCall = [&](std::shared_ptr<IncomingCall> call) -> net::Task<void> {
        call->send(StartedReply{});
        call->onCancel([&, call] {
            isCancelled = true;
            io_.stop();
        });
        co_return;
    };
    const auto a = makeLinks("a", "the key of a deployment");
    const auto b = makeLinks("b", "the key of a deployment", handlers);
    a->setAddress(HostId("b"), addresses_["b"]);
    {
        const auto call = a->call(HostId("b"), probe);
        ASSERT_TRUE(run(call->next(longWait, error_)));
    }
    io_.run();
    EXPECT_TRUE(isCancelled);
}

TEST_F(LinkTest, an_ended_call_releases_its_callback)
{
    const auto token = std::make_shared<int>(0);
    LinkHandlers handlers;
    handlers.onCall = [&](std::shared_ptr<IncomingCall> call) -> net::Task<void> {
        call->onCancel([call, token] {});
        call->send(HintReply{});
        co_return;
    };
    const auto a = makeLinks("a", "the key of a deployment", handlers);
    ASSERT_TRUE(callOnce(*a, "a", probe));
    EXPECT_EQ(token.use_count(), 1);
}

TEST_F(LinkTest, a_lost_link_fails_the_call_with_outcome_unknown)
{
    std::unique_ptr<Links> b;
    LinkHandlers handlers;
    handlers.onCall = [&](std::shared_ptr<IncomingCall>) -> net::Task<void> {
        asio::post(io_, [&] { b->close(); });
        co_return;
    };
    const auto a = makeLinks("a", "the key of a deployment");
    b = makeLinks("b", "the key of a deployment", handlers);
    a->setAddress(HostId("b"), addresses_["b"]);
    EXPECT_FALSE(callOnce(*a, "b", probe));
    EXPECT_EQ(error_.outcome, core::Outcome::Unknown);
}

TEST_F(LinkTest, gossip_arrives_with_its_authenticated_sender)
{
    HostId sender;
    LinkHandlers handlers;
    handlers.onGossip = [&](const HostId &from, const MembershipMessage &) {
        sender = from;
        io_.stop();
    };
    const auto a = makeLinks("a", "the key of a deployment");
    const auto b = makeLinks("b", "the key of a deployment", handlers);
    a->setAddress(HostId("b"), addresses_["b"]);
    a->sendGossip(HostId("b"), MembershipMessage{});
    io_.run();
    EXPECT_EQ(sender.value(), "a");
    EXPECT_GT(a->gossipBytes(), 0U);
}

} // namespace baobabstall::peers
