#include <serving/upstreams.h>

#include <thread>

#include <linux/filter.h>
#include <netinet/tcp.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

#include <core/clock.h>

namespace baobabstall::serving {
namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

const UpstreamId id("i-1");
constexpr Milliseconds found{3'000}; // silence for good, at the latest
constexpr Milliseconds timerSlack{300};

int optionOf(tcp::socket &socket, int level, int name)
{
    int value = 0;
    socklen_t size = sizeof value;
    EXPECT_EQ(getsockopt(socket.native_handle(), level, name, &value, &size), 0);
    return value;
}

/// The socket's kernel takes no packet any more, as if the host were behind a partition: no acknowledgement, no reset.
void fallSilent(int socket)
{
    sock_filter drop = BPF_STMT(BPF_RET | BPF_K, 0);
    const sock_fprog program{1, &drop};
    ASSERT_EQ(setsockopt(socket, SOL_SOCKET, SO_ATTACH_FILTER, &program, sizeof program), 0);
}

void speakAgain(int socket)
{
    const int unused = 0;
    ASSERT_EQ(setsockopt(socket, SOL_SOCKET, SO_DETACH_FILTER, &unused, sizeof unused), 0);
}

/// An upstream on loopback and one connection to it.
struct World {
    World()
        : acceptor(io, {asio::ip::address_v4::loopback(), 0})
        , pool(io, PoolOptions())
        , far(io)
    {
        pool.onNoContact = [this](const UpstreamId &) { ++failures; };
    }

    void open()
    {
        core::Error why;
        const net::Address address{"127.0.0.1", acceptor.local_endpoint().port()};
        asio::co_spawn(
            io,
            [&]() -> net::Task<void> {
                const auto onOpening = [this](const ConnectionPtr &opening) { current = opening; };
                connection = co_await pool.open(id, address, onOpening, why);
                isDone = true;
            },
            asio::detached);
        run(Milliseconds(2'000), [this] { return isDone; });
        reason = why.reason;
    }

    void connect()
    {
        open();
        ASSERT_TRUE(connection) << reason;
        acceptor.accept(far);
    }

    /// Time until `condition`, or `limit`.
    Milliseconds run(Milliseconds limit, const std::function<bool()> &condition)
    {
        const auto begin = core::SteadyClock().now();
        while (!condition() && core::SteadyClock().now() - begin < limit) {
            io.restart();
            io.run_for(std::chrono::milliseconds(5));
        }
        return core::SteadyClock().now() - begin;
    }

    /// Time until the connection ends while this host reads from it.
    Milliseconds timeUntilLost(Milliseconds limit)
    {
        bool isLost = false;
        char byte = 0;
        connection->socket.async_read_some(asio::buffer(&byte, 1), [&](boost::system::error_code error, std::size_t) { isLost = bool(error); });
        const auto took = run(limit, [&] { return isLost; });
        connection->close();
        run(Milliseconds(100), [&] { return isLost; });
        return took;
    }

    asio::io_context io;
    tcp::acceptor acceptor;
    UpstreamPool pool;
    tcp::socket far;
    ConnectionPtr connection;
    ConnectionPtr current;
    bool isDone = false;
    int failures = 0;
    std::string reason;
};

// Guards against time-outs of the kernel that override each other: a TCP_USER_TIMEOUT that is set also decides when keep-alive probes give up,
// whatever their count.
TEST(Upstreams, the_times_of_the_kernel_find_a_silent_connection_in_time_and_leave_one_that_is_silent_for_a_second)
{
    World world;
    world.connect();
    auto &socket = world.connection->socket;
    ASSERT_EQ(optionOf(socket, SOL_SOCKET, SO_KEEPALIVE), 1);
    const Milliseconds userTimeout(optionOf(socket, IPPROTO_TCP, TCP_USER_TIMEOUT));
    const Milliseconds idle(optionOf(socket, IPPROTO_TCP, TCP_KEEPIDLE) * 1'000);
    const Milliseconds interval(optionOf(socket, IPPROTO_TCP, TCP_KEEPINTVL) * 1'000);
    // When a probe is due, the connection ends instead if the peer was last heard userTimeout ago and one probe was sent.
    auto lostAt = idle + interval;
    int probes = 1;
    for (; lostAt < userTimeout; lostAt = lostAt + interval) {
        ++probes;
    }
    EXPECT_EQ(lostAt, found);
    EXPECT_LE(userTimeout, found);
    EXPECT_GE(probes, 2) << "a silence of a second hides one of them at most";
}

TEST(Upstreams, an_idle_connection_whose_peer_is_silent_for_good_ends_after_three_seconds)
{
    World world;
    world.connect();
    fallSilent(world.far.native_handle());
    const auto took = world.timeUntilLost(Milliseconds(5'000));
    EXPECT_GT(took, Milliseconds(2'000));
    EXPECT_LT(took, found + timerSlack);
}

TEST(Upstreams, a_connection_with_data_under_way_whose_peer_is_silent_for_good_ends_after_three_seconds)
{
    World world;
    world.connect();
    fallSilent(world.far.native_handle());
    asio::write(world.connection->socket, asio::buffer(std::string("GET / HTTP/1.1\r\n\r\n")));
    const auto took = world.timeUntilLost(Milliseconds(6'000));
    EXPECT_GT(took, Milliseconds(2'000));
    EXPECT_LT(took, found + timerSlack);
}

// Guards against cutting off a sound upstream that goes on after a second.
TEST(Upstreams, a_connection_whose_peer_is_silent_for_a_second_lives_on)
{
    for (const bool hasData : {false, true}) {
        World world;
        world.connect();
        fallSilent(world.far.native_handle());
        if (hasData) {
            asio::write(world.connection->socket, asio::buffer(std::string("x")));
        }
        world.run(Milliseconds(1'100), [] { return false; });
        speakAgain(world.far.native_handle());
        EXPECT_GE(world.timeUntilLost(Milliseconds(3'000)), Milliseconds(3'000)) << hasData;
    }
}

TEST(Upstreams, a_connection_that_does_not_open_is_given_up_and_told)
{
    World world;
    fallSilent(world.acceptor.native_handle());
    world.open();
    EXPECT_FALSE(world.connection);
    EXPECT_EQ(world.reason, "connection timed out");
    EXPECT_EQ(world.failures, 1);
}

// Guards against a host that stood still for longer than a connection may take to open, and then closed the one that had opened, with a request on it.
TEST(Upstreams, a_connection_that_opened_while_the_host_stood_still_stays_open)
{
    World world;
    core::Error why;
    const net::Address address{"127.0.0.1", world.acceptor.local_endpoint().port()};
    asio::co_spawn(
        world.io,
        [&]() -> net::Task<void> {
            world.connection = co_await world.pool.open(
                id, address, [](const ConnectionPtr &) {}, why);
            world.isDone = true;
        },
        asio::detached);
    world.io.poll_one();
    std::this_thread::sleep_for(net::chronoOf(PoolOptions().connectTimeout + Milliseconds(50)));
    world.run(Milliseconds(1'000), [&] { return world.isDone; });
    world.run(Milliseconds(50), [] { return false; });
    ASSERT_TRUE(world.connection) << why.reason;
    EXPECT_TRUE(world.connection->socket.is_open());
}

TEST(Upstreams, a_connection_that_the_caller_cancels_says_nothing_of_the_upstream)
{
    World world;
    fallSilent(world.acceptor.native_handle());
    asio::steady_timer timer(world.io, std::chrono::milliseconds(50));
    timer.async_wait([&](boost::system::error_code) { world.current->close(); });
    world.open();
    EXPECT_FALSE(world.connection);
    EXPECT_EQ(world.failures, 0);
}

} // namespace
} // namespace baobabstall::serving
