// serving/forwarder.h: forwards a caller's request to an upstream and relays the response. I/O; one thread.
//
//   read -> route -> choose an upstream -> (wait until it holds the weights) -> send -> check -> relay -> finish
//
//   Forwarder forwarder(node);
//   co_await forwarder.handle(connection, request);
//
// The route determines what may be retried (model.h, RetryPolicy). A request that must not run more than once is sent again
// only after the upstream has guaranteed that it did not run. A 503 is returned only when every upstream that received the
// request gave this guarantee.
#pragma once

#include <serving/callers.h>
#include <serving/node.h>

namespace baobabstall::serving {

class Forwarder
{
public:
    explicit Forwarder(Node &node)
        : node_(node)
    { }

    net::Task<void> handle(CallerConnection &caller, CallerRequest &request);

private:
    Node &node_;
};

} // namespace baobabstall::serving
