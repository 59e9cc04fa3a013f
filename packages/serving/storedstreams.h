// serving/storedstreams.h: which version began a stream, as hosts write it to the store for the case that all of them end. No I/O.
//
//   encodeStoredStreams(streams)                     // the record of one host: its streams that have begun
//   auto streams = decodeStoredStreams(text, error);
//   StoredStreams stored;
//   stored.assign(std::move(streams), civilNow);     // of all hosts
//   stored.find(id)                                  // nothing: not known, or in doubt
//
// A stream is stored once its first event has come, as the request may go to an upstream of another version before. It stands there by a hash of its
// id, beside a hash of what its caller has to ask for again.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include <core/error.h>
#include <serving/streamrecords.h>

namespace baobabstall::serving {

struct StoredStream {
    std::uint64_t id = 0;      // see storedIdOf()
    std::uint64_t request = 0; // see StreamOrigin::request
    std::int64_t until = 0;    // Unix milliseconds; it may be taken up until then
    ServiceName service;
    SoftwareVersion version;

    friend auto operator<=>(const StoredStream &, const StoredStream &) = default;
    friend bool operator==(const StoredStream &, const StoredStream &) = default;
};

[[nodiscard]] std::uint64_t storedIdOf(const RequestId &id);
[[nodiscard]] std::string encodeStoredStreams(const std::vector<StoredStream> &streams);
/// Fails as a whole, with step Log, for a text that encodeStoredStreams() can't have written.
[[nodiscard]] std::optional<std::vector<StoredStream>> decodeStoredStreams(std::string_view text, core::Error &error);

class StoredStreams
{
public:
    static constexpr std::size_t maxStreams = 65'536;       // beyond it some are left out
    static constexpr std::size_t maxStreamsPerHost = 4'096; // in one record, which has 200 kB then; beyond it those that end first are left out
    static constexpr std::int64_t maxClockSkew = 5'000;     // milliseconds between the clocks of two hosts

    /// Replaces what was known.
    void assign(const std::vector<StoredStream> &streams, std::int64_t civilNow);
    [[nodiscard]] std::optional<StreamOrigin> find(const RequestId &id) const;
    [[nodiscard]] std::size_t size() const { return streams_.size(); }

private:
    struct Entry {
        StreamOrigin origin;
        bool isDoubtful = false; // two streams have the same hash
    };
    std::unordered_map<std::uint64_t, Entry> streams_; // by StoredStream::id
};

} // namespace baobabstall::serving
