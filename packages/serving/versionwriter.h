// serving/versionwriter.h: keeps the versions that the control topic names up to date (versionledger.h). I/O; one thread.
//
//   VersionWriter writer(node, store, groups);
//   writer.beginListing(); writer.apply(record, why); writer.endListing(era);   // of the control topic; apply() also for later records
//   writer.onUpstreamsChanged();
//   if (writer.isDue(isCurrent)) { spawn(writer.write()); }                      // every 100 ms
//
// One host, the leader for this purpose, writes what the topic lacks. Any other one does so after takeoverTime, spread over all hosts: the leader may
// be turned away by the store while others are not.
#pragma once

#include <serving/hostgroups.h>
#include <serving/node.h>

namespace baobabstall::serving {

class VersionWriter
{
public:
    static constexpr Milliseconds takeoverTime{1'500}; // for the leader's record to reach the other hosts
    static constexpr Milliseconds takeoverStep{50};    // times the number of hosts: they are spread over it
    static constexpr Milliseconds retryTime{500};      // after a failure
    static constexpr Milliseconds checkInterval{500};  // while nothing changes

    VersionWriter(Node &node, AbstractStore &store, const HostGroups &groups)
        : node_(node)
        , store_(store)
        , groups_(groups)
    { }

    void beginListing() { node_.ledger.beginListing(); }
    /// Returns false for a record of others, or one that can't be read; the latter sets `why`.
    bool apply(const StoreRecord &record, core::Error &why);
    void endListing(core::StoreEra era);
    void onUpstreamsChanged();
    /// `isCurrent`: what this host knows of the upstreams has just been read.
    [[nodiscard]] bool isDue(bool isCurrent);
    net::Task<void> write();

private:
    void noteNamed();

    Node &node_;
    AbstractStore &store_;
    const HostGroups &groups_;
    core::StoreEra era_;
    bool hasAdopted_ = false; // the time before this host started
    bool isWriting_ = false;
    std::optional<Instant> dueSince_;
    Instant nextCheck_;
    std::vector<VersionLedger::KeyValue> due_;
};

} // namespace baobabstall::serving
