// serving/forwarder.h: a request's way from the caller to an upstream and back. I/O; one thread.
//
//   read -> route -> choose an upstream -> (have it hold the weights) -> send -> check -> relay -> finish
//
//   Forwarder forwarder(node);
//   co_await forwarder.handle(connection, request);
//
// What may be done again follows from the route (model.h, Repeat). A request that may run once at most is sent again only
// after an upstream's promise that it has not run; a refusal (503) is given only when every upstream it went to said so.
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
