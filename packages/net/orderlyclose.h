// net/orderlyclose.h: the end of a connection that loses nothing of what was written to it. I/O.
#pragma once

#include <boost/asio/ip/tcp.hpp>

#include <net/asio.h>

namespace baobabstall::net {

constexpr core::Milliseconds finishTimeout{2'000}; // for a peer that has the last bytes and does not close

/// Shuts down sending, then reads and drops what comes until the peer has closed or `timeout` is over; the socket can be closed then. A socket
/// that is closed with unread bytes, or that gets more of them, resets its connection, and what is still on its way to the peer is dropped (RFC 9112,
/// 9.6). Returns the number of bytes that were dropped. The socket stays valid until then.
boost::asio::awaitable<std::size_t> finishSending(boost::asio::ip::tcp::socket &socket, core::Milliseconds timeout = finishTimeout);

} // namespace baobabstall::net
