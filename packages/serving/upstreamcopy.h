// serving/upstreamcopy.h: encodes a copy of the known upstreams, which hosts keep in the control topic of the store. No I/O.
//
//   if (encodeUpstreamCopy(replicas) != stored) { append(encodeUpstreamCopy(replicas)); }
//   auto records = decodeUpstreamCopy(text, error);   // when a host starts while the upstreams' own topic can't be read
//
// The copy only lists upstreams to try: each request names the upstream that it expects, and the first listing of the upstreams'
// topic replaces records that came from the copy, as after any outage (replicabook.h).
#pragma once

#include <string>
#include <string_view>

#include <core/error.h>
#include <serving/replicabook.h>

namespace baobabstall::serving {

/// Ids, addresses, services and base models; not the adapters held, which change within a second.
[[nodiscard]] std::string encodeUpstreamCopy(const ReplicaBook &replicas);
/// Fails as a whole, with step Log, for a text that encodeUpstreamCopy() can't have written.
[[nodiscard]] std::optional<std::vector<ReplicaRecord>> decodeUpstreamCopy(std::string_view text, core::Error &error);

} // namespace baobabstall::serving
