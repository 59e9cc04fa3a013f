// serving/streamkeeper.h: keeps the streams of this host in the store, and reads those of all hosts there (storedstreams.h). I/O; one thread.
//
//   StreamKeeper keeper(node, store);
//   if (keeper.isDue()) { keeper.save(streams); }   // those that have begun and may be taken up, of services with several versions
//   keeper.find(id)                                 // as of the last listing
//   keeper.refresh();                               // a stream is not known: lists the topic unless that was done a moment ago
//
// Each host has one record, with all its streams. What its earlier run wrote there stays until those streams can't be taken up any more. Nothing
// waits for a write: a stream that is not stored when all hosts end is refused when its caller takes it up.
#pragma once

#include <serving/node.h>
#include <serving/storedstreams.h>

namespace baobabstall::serving {

class StreamKeeper
{
public:
    static constexpr Milliseconds minInterval{250};  // between two writes of this host
    static constexpr Milliseconds hostInterval{10};  // the same for each host, so that all of them together stay below half of what one partition takes
    static constexpr Milliseconds minRefresh{1'000}; // between two listings
    static constexpr Milliseconds hostRefresh{20};   // the same for each host

    StreamKeeper(Node &node, AbstractStore &store)
        : node_(node)
        , store_(store)
    { }

    [[nodiscard]] bool isDue() const { return !isSaving_ && node_.now() >= nextSave_; }
    /// A service has several versions from now on: its streams are written at once.
    void hurry() { nextSave_ = Instant(); }
    void save(std::vector<StoredStream> streams);
    void refresh();
    [[nodiscard]] bool isRefreshing() const { return isListing_; }
    [[nodiscard]] std::optional<StreamOrigin> find(const RequestId &id) const { return stored_.find(id); }
    void forget() { stored_ = {}; } // no stream can need what was read

private:
    net::Task<void> write(std::vector<StoredStream> streams);
    net::Task<void> list();
    void noteOutcome(bool isDone, const core::Error &why);

    Node &node_;
    AbstractStore &store_;
    StoredStreams stored_;
    std::vector<StoredStream> earlier_; // of this host's earlier run
    std::vector<StoredStream> written_; // without their times
    bool hasListed_ = false;
    bool isListing_ = false;
    bool isSaving_ = false;
    bool isFailing_ = false; // as last logged
    Instant nextSave_;
    std::optional<Instant> listedAt_; // begin of the last listing
};

} // namespace baobabstall::serving
