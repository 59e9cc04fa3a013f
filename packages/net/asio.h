// net/asio.h: what this tree's coroutines have in common with Asio: the completion token, lengths of time, a sleep, probes of silent connections.
#pragma once

#include <chrono>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <core/types.h>

namespace baobabstall::net {

/// Awaits an operation and gives its error code and results; no exception.
constexpr auto tuple = boost::asio::as_tuple(boost::asio::use_awaitable);

[[nodiscard]] inline std::chrono::milliseconds chronoOf(core::Milliseconds time)
{
    return std::chrono::milliseconds(time.count());
}

inline boost::asio::awaitable<void> sleep(boost::asio::io_context &io, core::Milliseconds time)
{
    boost::asio::steady_timer timer(io, chronoOf(time));
    co_await timer.async_wait(tuple);
}

/// A connection can fall silent for good without a reset. Probes find that out, also while nothing is to be sent: within some 3 s.
inline void watchForSilence(int socket)
{
    constexpr int on = 1;
    constexpr int idleSeconds = 1;
    constexpr int intervalSeconds = 1;
    constexpr int probes = 2;
    setsockopt(socket, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof on);
    setsockopt(socket, IPPROTO_TCP, TCP_KEEPIDLE, &idleSeconds, sizeof idleSeconds);
    setsockopt(socket, IPPROTO_TCP, TCP_KEEPINTVL, &intervalSeconds, sizeof intervalSeconds);
    setsockopt(socket, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof probes);
}

} // namespace baobabstall::net
