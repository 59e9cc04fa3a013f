// serving/connectionend.h: whether a response that ends with its connection is whole. I/O.
//
//   const bool isWhole = co_await endsInOrder(connection); // after the last byte of a response without length and chunks
//
// Each half of a connection may hold the only trace of a reset: while the request is being sent, the kernel gives the error to the write, and the read
// sees the end of the data, as after an orderly end. So both halves are asked.
#pragma once

#include <net/asio.h>
#include <serving/upstreams.h>

namespace baobabstall::serving {

/// Whether the upstream ended the connection in order and has taken the whole request. Waits until the request is sent and acknowledged, or the
/// connection is over, or it is closed here, as at a deadline. An upstream that answers before it has read a long request, ends its response with a FIN
/// and reads on is waited for; one that is reset or lost before it has taken the request has answered nothing that can be relied on.
[[nodiscard]] net::Task<bool> endsInOrder(ConnectionPtr connection);

} // namespace baobabstall::serving
