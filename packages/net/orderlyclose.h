// net/orderlyclose.h: the end of a connection that loses nothing of what was written to it. I/O.
#pragma once

#include <boost/asio/ip/tcp.hpp>

#include <net/asio.h>

namespace baobabstall::net {

constexpr core::Milliseconds finishTimeout{2'000}; // for a peer that has the last bytes and does not close

/// Shuts down sending, then waits until the peer has closed, or until `timeout` has passed since it last took bytes; the socket can be closed then.
/// A socket that is closed with unread bytes, or that gets more of them, resets its connection, and what is still on its way to the peer is dropped
/// (RFC 9112, 9.6). What the peer sends meanwhile stays unread. The socket stays valid until the end; it may be closed before.
boost::asio::awaitable<void> finishSending(boost::asio::ip::tcp::socket &socket, core::Milliseconds timeout = finishTimeout);

/// Bytes that the peer's side has not acknowledged; 0 where that can't be told.
[[nodiscard]] int bytesOnTheWay(boost::asio::ip::tcp::socket &socket);

/// Whether the connection has ended for both sides, as after a reset. The kernel gives a reset's error to one operation only, often to a write;
/// a read after it returns the end of the data, as after an orderly end.
[[nodiscard]] bool isOver(boost::asio::ip::tcp::socket &socket);

/// Whether the peer has closed its side, also where its end lies behind unread bytes.
[[nodiscard]] bool hasPeerClosed(boost::asio::ip::tcp::socket &socket);

} // namespace baobabstall::net
