// serving/streamrecords.h: where streams began, as one host knows it, and which hosts know it of a stream. No I/O.
//
//   StreamRecords records(ownHost, groups);
//   records.announce(id, origin, until, now);                          // before the request is sent
//   for (const auto &host : records.toTell(id, isLinked)) { ... }      // right after it
//   records.hold(id, origin, until, now);                              // another host told it
//   records.find(id, now), records.keepers(id)                         // what this host knows; the hosts to ask
//
// A caller may take up a stream at any host, right after its first event, when the host that began it is gone. The record of a stream is
// therefore told to a few hosts, in different zones as far as there are any, before the request is sent to its upstream. Which ones follows from
// the stream's id, so any host finds them, also one that started later. More are asked than were told, as hosts come and go in between, and while
// there is no link to one of the first, another one is told too. That holds while the service has one version as well: a host that falls silent just
// before another version comes can tell nothing any more.
#pragma once

#include <cstdint>
#include <functional>
#include <list>
#include <unordered_map>
#include <vector>

#include <serving/hostgroups.h>
#include <serving/model.h>

namespace baobabstall::serving {

struct StreamOrigin {
    SoftwareVersion version; // of the upstream that the first event comes from
    UpstreamId upstream;     // which holds the weights, also while no owner can say so
    ServiceName service;
    std::uint64_t request = 0; // hash of what the caller has to ask for again
    int send = 0;              // counts the upstreams that the request was sent to before its first event; the last one holds

    friend bool operator==(const StreamOrigin &, const StreamOrigin &) = default;
};

/// How a host learnt where a stream began. Own: it began there; Told: another host told it; Asked: another host that it asked knew; Stored: the store.
enum class OriginSource : std::uint8_t { None, Own, Told, Asked, Stored };
[[nodiscard]] std::string_view originSourceText(OriginSource source);

/// What a host knows of a stream that a caller takes up.
struct FoundStream {
    std::optional<StreamOrigin> origin;
    OriginSource source = OriginSource::None;
    Milliseconds age; // since the request was sent to its first upstream, or since this was told
    std::size_t asked = 0;
    std::size_t answered = 0; // of the hosts asked, in time
};

class StreamRecords
{
public:
    static constexpr std::size_t maxStreams = 16'384; // beyond it the oldest is forgotten
    static constexpr std::size_t toldHosts = 3;
    static constexpr std::size_t askedHosts = 5;         // at first
    static constexpr std::size_t keptHosts = 8;          // that may have been told
    static constexpr Milliseconds extraLifetime{10'000}; // after the deadline of the request that began the stream

    struct Announced {
        RequestId id;
        StreamOrigin origin;
        Instant until;
    };

    StreamRecords(HostId ownHost, const HostGroups &groups)
        : ownHost_(std::move(ownHost))
        , groups_(groups)
    { }

    /// Holds the origin of a stream that this host begins. The caller tells the hosts of toTell() now.
    void announce(const RequestId &id, const StreamOrigin &origin, Instant until, Instant now);
    /// Another host may begin the stream instead, at another version: other hosts that hold a record of it decide.
    void handOver(const RequestId &id);
    void onBegun(const RequestId &id);
    void onEnded(const RequestId &id);
    /// Streams that this host began, have an event and have not ended whole.
    [[nodiscard]] std::vector<Announced> begun(const std::function<bool(const ServiceName &)> &isWanted, Instant now) const;
    [[nodiscard]] std::vector<HostId> toTell(const RequestId &id, const std::function<bool(const HostId &)> &isLinked) const;
    void hold(const RequestId &id, const StreamOrigin &origin, Instant until, Instant now);
    [[nodiscard]] std::optional<StreamOrigin> find(const RequestId &id, Instant now) const { return lookUp(id, now).origin; }
    [[nodiscard]] FoundStream lookUp(const RequestId &id, Instant now) const; // what this host itself knows
    /// The first `count` other hosts that keep the record.
    [[nodiscard]] std::vector<HostId> keepers(const RequestId &id, std::size_t count) const;
    [[nodiscard]] std::size_t size() const { return records_.size(); }

private:
    struct Record {
        StreamOrigin origin;
        Instant until;
        Instant since;
        bool isOwn = false;
        bool isBegun = false;
        std::list<RequestId>::iterator place;
    };

    Record &place(const RequestId &id, Instant now);

    HostId ownHost_;
    const HostGroups &groups_;
    std::unordered_map<RequestId, Record> records_;
    std::list<RequestId> order_; // oldest first
};

} // namespace baobabstall::serving
