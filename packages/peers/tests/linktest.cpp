#include <gtest/gtest.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/connect.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <net/tests/endlessserver.h>
#include <peers/link.h>

namespace baobabstall::peers {

namespace {

namespace asio = boost::asio;
using namespace std::string_literals;

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

    net::Task<bool> sleepFor(core::Milliseconds time)
    {
        co_await net::sleep(io_, time);
        co_return true;
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

// Guards against hosts of an earlier version that can't ask for permits, or whose permits can't be read, during a release (issue 32, LIMIT).
TEST(Frames, calls_for_permits_of_hosts_that_know_of_no_brittle_upstreams_are_read)
{
    const std::string older = "\x03"
                              "\x82\x07\x82\x07\xa4\x68upstream\x63i-1\x69perSecond\xfb\x40\x04\x00\x00\x00\x00\x00\x00\x65"
                              "ageMs\x18\x28\x69maxWaitMs\x00"s;
    core::Error error;
    const auto frame = decode(older, error);
    ASSERT_TRUE(frame) << error.text();
    const auto &call = std::get<SendCall>(std::get<Call>(*frame).body);
    EXPECT_EQ(call.upstream, core::UpstreamId("i-1"));
    EXPECT_EQ(call.perSecond, 2.5);
    EXPECT_LT(call.maxRefusals, 0);
    EXPECT_EQ(call.holdMs, 0);
    EXPECT_TRUE(isLastReply(SendReply{true, true, 0}));
    EXPECT_FALSE(isLastReply(SendReply{true, true, 0, true})) << "a permit that is held";
    const auto notice = decode(encode(Notice{BrittleNotice{{{core::UpstreamId("i-1"), 3, 40}}}}), error);
    ASSERT_TRUE(notice) << error.text();
    EXPECT_EQ(std::get<1>(std::get<BrittleNotice>(std::get<Notice>(*notice).body).upstreams.at(0)), 3);
}

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

// Guards against requests that a peer runs after they were given up, because their call waited for a link that was still opening (issue 35, BUDGET).
TEST_F(LinkTest, a_call_that_is_given_up_before_its_link_is_open_is_never_written)
{
    int calls = 0;
    LinkHandlers handlers;
    handlers.onCall = [&](std::shared_ptr<IncomingCall> call) -> net::Task<void> {
        ++calls;
        call->send(HintReply{});
        co_return;
    };
    const auto peer = makeLinks("b", "key", handlers);
    const auto own = makeLinks("a", "key");
    own->setAddress(HostId("b"), addresses_["b"]);
    const auto givenUp = own->call(HostId("b"), probe);
    const auto kept = own->call(HostId("b"), probe);
    core::Error error;
    EXPECT_FALSE(run(givenUp->next(core::Milliseconds(0), error)));
    EXPECT_EQ(error.outcome, core::Outcome::NotRun);
    givenUp->cancel();
    EXPECT_TRUE(run(kept->next(longWait, error)));
    run(sleepFor(core::Milliseconds(50)));
    EXPECT_EQ(calls, 1);
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

// Guards against the end of a relayed stream that is lost with the process that sends it (issue 46, LOST): its connections to peers are reset when it
// ends with unread frames, and what is queued for a slow peer is gone.
TEST_F(LinkTest, replies_that_a_slow_peer_has_not_read_reach_it_before_a_host_that_finishes_its_links_is_gone)
{
    constexpr int pieces = 200;
    constexpr std::size_t pieceBytes = 20'000;
    auto ending = std::make_unique<asio::io_context>();
    bool isServed = false;
    LinkHandlers handlers;
    handlers.onCall = [&isServed](std::shared_ptr<IncomingCall> call) -> net::Task<void> {
        for (int i = 0; i < pieces; ++i) {
            call->send(DataReply{std::string(pieceBytes, 'x')});
        }
        call->send(EndReply{});
        isServed = true;
        co_return;
    };
    auto b = std::make_unique<Links>(*ending, Links::Self{HostId("b"), Incarnation(1), core::RegionId("r")}, "the key of a deployment", std::move(handlers));
    const auto address = b->listen({"127.0.0.1", 0}, error_);
    ASSERT_TRUE(address);
    const auto a = makeLinks("a", "the key of a deployment");
    a->setAddress(HostId("b"), *address);
    const auto call = a->call(HostId("b"), probe);
    while (!isServed) {
        io_.run_for(std::chrono::milliseconds(2));
        ending->run_for(std::chrono::milliseconds(2));
    }
    for (int i = 0; i < 10; ++i) {
        a->sendGossip(HostId("b"), {});
    }
    io_.run_for(std::chrono::milliseconds(1));

    bool isFinished = false;
    asio::co_spawn(*ending, b->finish(longWait), [&isFinished](const std::exception_ptr &) { isFinished = true; });
    while (!isFinished) {
        ending->run_for(std::chrono::milliseconds(2));
        io_.run_for(std::chrono::milliseconds(2));
    }
    b.reset();
    ending.reset(); // its sockets are closed, as at the end of a process

    int received = 0;
    bool isEnded = false;
    while (!isEnded) {
        const auto reply = run(call->next(longWait, error_));
        ASSERT_TRUE(reply) << received << " pieces, then " << error_.text();
        isEnded = std::holds_alternative<EndReply>(*reply);
        received += isEnded ? 0 : 1;
    }
    EXPECT_EQ(received, pieces);
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

// Guards against a peer, or whatever took its address, that sends without end: the host would keep all of it, or wait for ever.
TEST_F(LinkTest, a_peer_that_sends_without_end_fails_a_call_in_time_and_little_is_kept)
{
    const auto answers = net::tests::endlessAnswers();
    const auto links = makeLinks("a", "key"); // its port is accepted on as long as io_ runs
    for (const bool isSlow : {false, true}) {
        std::vector<std::unique_ptr<net::tests::EndlessServer>> servers;
        std::vector<std::unique_ptr<OutgoingCall>> calls;
        for (std::size_t i = 0; i < answers.size(); ++i) {
            auto answer = answers[i];
            answer.filler.resize(isSlow ? 8 : answer.filler.size());
            servers.push_back(std::make_unique<net::tests::EndlessServer>(io_, answer, core::Milliseconds(isSlow ? 50 : 0)));
            const HostId host((isSlow ? "slow-" : "fast-") + std::to_string(i));
            links->setAddress(host, servers.back()->address());
            calls.push_back(links->call(host, probe));
        }
        const auto begin = std::chrono::steady_clock::now();
        for (std::size_t i = 0; i < calls.size(); ++i) {
            EXPECT_FALSE(run(calls[i]->next(longWait, error_))) << answers[i].name;
            EXPECT_EQ(error_.step, core::Step::Peer);
            EXPECT_NE(error_.reason, "") << answers[i].name;
        }
        EXPECT_LT(std::chrono::steady_clock::now() - begin, net::chronoOf(Links::handshakeTimeout) * 2);
        run(sleepFor(core::Milliseconds(200)));
        for (std::size_t i = 0; i < servers.size(); ++i) {
            EXPECT_EQ(servers[i]->closedByClient(), servers[i]->connections()) << answers[i].name;
            EXPECT_LT(servers[i]->sentBytes(), Links::maxHandshakeBytes + net::tests::EndlessServer::socketBufferBytes) << answers[i].name;
        }
    }
}

/// Sends `text` to the host's port, then `filler` without end. Returns the bytes that were taken until the host closed; nothing if it did not in time.
std::optional<std::size_t> sendWithoutEnd(asio::io_context &io, const net::Address &address, const std::string &text, const std::string &filler)
{
    constexpr core::Milliseconds timeout{10'000};
    std::optional<std::size_t> taken;
    const auto sender = [&]() -> net::Task<void> {
        asio::ip::tcp::socket socket(io);
        co_await socket.async_connect({asio::ip::make_address(address.ip), address.port}, net::tuple);
        co_await asio::async_write(socket, asio::buffer(text), net::tuple);
        std::size_t sent = 0;
        while (true) {
            const auto [failed, count] = co_await asio::async_write(socket, asio::buffer(filler), net::tuple);
            sent += count;
            if (failed) {
                taken = sent;
                io.stop();
                co_return;
            }
        }
    };
    asio::co_spawn(io, sender, asio::detached);
    io.run_for(net::chronoOf(timeout));
    io.restart();
    return taken;
}

TEST_F(LinkTest, a_connection_that_sends_without_end_before_its_proof_is_closed_and_little_is_kept)
{
    const auto links = makeLinks("a", "key");
    const std::string filler(64 * 1024, 'x');
    const std::string upgrade = "GET / HTTP/1.1\r\nHost: a\r\nUpgrade: websocket\r\nConnection: Upgrade\r\nSec-WebSocket-Version: 13\r\n"
                                "Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n\r\n";
    const std::string frameHead("\x82\xff\x00\x00\x00\x00\x00\x7f\xff\xff\x01\x02\x03\x04", 14); // 8 MB, within the limit for frames of peers
    const std::vector<std::pair<std::string, std::string>> cases = {
        {"no request", ""},
        {"a header field", "GET / HTTP/1.1\r\nMore: "},
        {"a body", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 9000000000\r\n\r\n"},
        {"a frame", upgrade + frameHead},
    };
    for (const auto &[name, text] : cases) {
        const auto taken = sendWithoutEnd(io_, addresses_.at("a"), text, filler);
        ASSERT_TRUE(taken) << name;
        EXPECT_LT(*taken, 4 * 1024 * 1024) << name;
    }
}

} // namespace baobabstall::peers
