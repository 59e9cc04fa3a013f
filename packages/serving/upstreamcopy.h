// serving/upstreamcopy.h: encodes a copy of the known upstreams, which hosts keep in the control topic of the store. No I/O.
//
//   if (copyContent(replicas, past) != storedContent) { append(encodeUpstreamCopy(replicas, past, civilNow)); }
//   auto copy = decodeUpstreamCopy(text, civilNow, error);
//   copy->records   // when a host starts while the upstreams' own topic can't be read
//   copy->past      // which versions services had before a host started
//
// The copy only lists upstreams to try: each request names the upstream that it expects, and the first listing of the upstreams'
// topic replaces records that came from the copy, as after any outage (replicabook.h).
#pragma once

#include <string>
#include <string_view>

#include <core/error.h>
#include <serving/replicabook.h>
#include <serving/versionhistory.h>

namespace baobabstall::serving {

constexpr std::string_view upstreamCopyKey = "upstreams"; // in the control topic

struct UpstreamCopy {
    std::vector<ReplicaRecord> records;
    VersionHistory::Past past; // a version of `records` counts as gone now
    std::string content;       // see copyContent()
};

/// Ids, addresses, services, versions and base models; not the adapters held, which change within a second. `civilNow`: Unix milliseconds.
[[nodiscard]] std::string encodeUpstreamCopy(const ReplicaBook &replicas, const VersionHistory::Past &past, std::int64_t civilNow);
/// Fails as a whole, with step Log, for a text that encodeUpstreamCopy() can't have written.
[[nodiscard]] std::optional<UpstreamCopy> decodeUpstreamCopy(std::string_view text, std::int64_t civilNow, core::Error &error);
/// What a copy says without its times: it is written again when this changes.
[[nodiscard]] std::string copyContent(const ReplicaBook &replicas, const VersionHistory::Past &past);

} // namespace baobabstall::serving
