// serving/versionledger.h: which software versions of services the control topic names. No I/O.
//
//   VersionLedger ledger;
//   ledger.beginListing();                     // before the records of a listing
//   ledger.apply(key, value, error);           // a record of the topic; false: none of the ledger
//   ledger.endListing();
//   ledger.update(replicas);                   // whenever the ledger or the known upstreams changed
//   ledger.mayBegin(service, version)          // a stream, which may then be taken up at any host
//   ledger.past(era, civilNow)                 // for a host that starts
//   ledger.due(replicas, own, times)           // what the topic lacks, to be appended
//
// A stream begins at a version only once the topic names it, so a host that starts later knows every version at which a stream may have begun, even if
// all hosts ended meanwhile. While no upstream of a named version is usable, any version will do: then the upstreams themselves tell that there was
// another one. A version counts as named until a record says that its last upstream is gone, and for `longest` after that. The record of the time since
// which all this holds counts for the era of the store in which it was written: an earlier copy of the store may have lost versions.
//
// Civil times are Unix milliseconds.
#pragma once

#include <map>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <core/error.h>
#include <core/types.h>
#include <serving/versionhistory.h>

namespace baobabstall::serving {

class VersionLedger
{
public:
    using Name = std::pair<ServiceName, SoftwareVersion>;
    using KeyValue = std::pair<std::string, std::string>;

    static constexpr Milliseconds absentTime{2'000};   // without an upstream, before a version is recorded as gone: other hosts may see one for so long
    static constexpr Milliseconds maxClockSkew{5'000}; // between the clocks of two hosts

    struct Times {
        Instant now;
        std::int64_t civilNow = 0;
        Milliseconds longest; // that a stream may last
        core::StoreEra era;
    };

    void beginListing();
    void endListing() { isListed_ = true; }
    /// Returns false for a record that is none of the ledger, or can't be read; the latter sets `error` (step Log).
    bool apply(std::string_view key, std::string_view value, core::Error &error);
    void update(const ReplicaBook &replicas);

    [[nodiscard]] bool isListed() const { return isListed_; }
    [[nodiscard]] bool names(const ServiceName &service, const SoftwareVersion &version) const;
    [[nodiscard]] std::vector<Name> named() const;
    [[nodiscard]] bool mayBegin(const ServiceName &service, const SoftwareVersion &version) const
    {
        return heldBack_.empty() || !heldBack_.contains({service, version});
    }
    [[nodiscard]] VersionHistory::Past past(core::StoreEra era, std::int64_t civilNow) const;
    /// `own`: what this host itself knows of the time up to now.
    [[nodiscard]] std::vector<KeyValue> due(const ReplicaBook &replicas, const VersionHistory::Past &own, const Times &times);

private:
    struct Entry {
        Name name;
        std::int64_t goneAt = 0; // 0: it has upstreams
    };
    struct Since {
        std::int64_t at = 0; // 0: not known
        core::StoreEra era;
    };

    [[nodiscard]] static std::string keyOf(const Name &name);
    [[nodiscard]] static std::string valueOf(const Name &name, std::int64_t goneAt);

    std::map<std::string, Entry, std::less<>> entries_; // by key
    std::map<std::string, Instant> absentSince_;        // named, without an upstream
    Since since_;
    std::set<Name> heldBack_;
    bool isListed_ = false;
};

} // namespace baobabstall::serving
