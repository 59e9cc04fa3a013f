// serving/versionhistory.h: which software versions each service had lately. No I/O.
//
//   VersionHistory history(now);
//   history.update(replicas, now);                   // whenever the known upstreams changed
//   history.onLeaving(service, version, now);        // an upstream says that it will stop
//   history.onNamed(service, version, now);          // other hosts may have begun streams at it up to now
//   history.only(service, span, now)                 // the one version that it had throughout the last `span`; nothing: several, or not known
//   history.isShrinking(service, version, now)       // its upstreams leave, and those of another version stay
//   history.adopt(past, now);                        // what another host knew before this one started
//
// A stream goes on only at the version that began it. While a service had one version for longer than any stream lasts, every stream began at
// it; otherwise it takes a record of the stream (streamrecords.h).
#pragma once

#include <map>
#include <set>
#include <vector>

#include <serving/replicabook.h>

namespace baobabstall::serving {

class VersionHistory
{
public:
    /// What a host that starts later needs. Ages count from a moment that both know.
    struct Past {
        struct Gone {
            ServiceName service;
            SoftwareVersion version;
            Milliseconds age; // since its last upstream was gone

            friend bool operator==(const Gone &, const Gone &) = default;
        };

        Milliseconds coveredFor; // without a gap, up to `unvouched` ago
        std::vector<Gone> gone;
        Milliseconds unvouched{0}; // up to now, a time of which nobody says that no other version came and left
    };

    explicit VersionHistory(Instant startedAt)
        : coveredSince_(startedAt)
    { }

    void update(const ReplicaBook &replicas, Instant now);
    void onLeaving(const ServiceName &service, const SoftwareVersion &version, Instant now) { leftAt_[service][version] = now; }
    void onNamed(const ServiceName &service, const SoftwareVersion &version, Instant now);
    void adopt(const Past &past, Instant now);
    /// Versions may have come and left before `now` that nobody tells this host of.
    void beginCoverage(Instant now) { coveredSince_ = now; }
    [[nodiscard]] Past past(Instant now) const;

    [[nodiscard]] std::optional<SoftwareVersion> only(const ServiceName &service, Milliseconds span, Instant now) const;
    /// Whether it had several versions within the last `span`, as far as this host knows.
    [[nodiscard]] bool isMixed(const ServiceName &service, Milliseconds span, Instant now) const;
    [[nodiscard]] bool isShrinking(const ServiceName &service, const SoftwareVersion &version, Instant now) const;

    static constexpr Milliseconds memory{300'000};       // of versions that are gone; longer than any stream lasts
    static constexpr Milliseconds shrinkingTime{60'000}; // after the last upstream of the version said that it leaves
    static constexpr std::size_t maxGonePerService = 32;

private:
    using Versions = std::map<SoftwareVersion, Instant>;

    [[nodiscard]] std::set<SoftwareVersion> versionsWithin(const ServiceName &service, Milliseconds span, Instant now) const;

    Instant coveredSince_;
    std::map<ServiceName, std::set<SoftwareVersion>> present_;
    std::map<ServiceName, Versions> goneAt_;
    std::map<ServiceName, Versions> leftAt_; // last time that an upstream of the version said that it leaves
};

} // namespace baobabstall::serving
