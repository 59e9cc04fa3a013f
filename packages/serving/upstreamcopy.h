// serving/upstreamcopy.h: the upstreams as hosts last knew them, kept in their own topic of the store. No I/O.
//
//   if (copyOf(book) != inStore) { append(copyOf(book)); }
//   auto records = readCopy(text, why);   // a host that starts while the upstreams' own topic can't be read
//
// It names upstreams to try, nothing more: each request says which upstream it expects, and the first listing of the upstreams'
// topic replaces what came from here, as after any outage (replicabook.h).
#pragma once

#include <string>
#include <string_view>

#include <core/error.h>
#include <serving/replicabook.h>

namespace baobabstall::serving {

/// Ids, addresses, services and names of base weights; not which adapters are held, which is old within a second.
[[nodiscard]] std::string encodeUpstreamCopy(const ReplicaBook &book);
/// Step Log. Nothing, and no part of it, for what copyOf() can't have written.
[[nodiscard]] std::optional<std::vector<ReplicaRecord>> decodeUpstreamCopy(std::string_view text, core::Error &why);

} // namespace baobabstall::serving
