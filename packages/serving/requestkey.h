// serving/requestkey.h: tells whether two requests are the same to an upstream. No I/O.
//
//   const auto key = requestKeyOf({method, host, target, caller, weights, body});
//
// Tries of one request have the same key on every host. What differs from try to try is left out: the request's id, its deadline, the event
// that a stream goes on after.
#pragma once

#include <string>
#include <string_view>

#include <core/types.h>

namespace baobabstall::serving {

using RequestKey = core::Id<struct RequestKeyTag>; // 16 hexadecimal digits

struct RequestIdentity {
    std::string_view method;
    std::string_view host;
    std::string_view target;  // path and query
    std::string_view caller;  // RequestMetadata::caller
    std::string_view weights; // model and adapter; empty: none
    std::string_view body;    // hashed once, not kept
};

[[nodiscard]] RequestKey requestKeyOf(const RequestIdentity &identity);

} // namespace baobabstall::serving
