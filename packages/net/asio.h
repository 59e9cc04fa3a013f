// net/asio.h: what this tree's coroutines have in common with Asio: the completion token, lengths of time, a sleep.
#pragma once

#include <chrono>

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

} // namespace baobabstall::net
