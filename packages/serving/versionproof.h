// serving/versionproof.h: brings what this host knows of the named versions (versionledger.h) up to a moment. I/O; one thread.
//
//   VersionProof proof(node, store, controlTopic);
//   proof.seek(askedAt);   // until node.versionsReadAt is not before `askedAt`; call it again every now and then
//
// A host that has heard of one version only may be cut off from those that name another one. Streams begin at a version only once the control topic names it,
// so a read that begins after a caller has taken a stream up shows every version at which the stream may have begun, whatever the host has missed before.
// One read serves all that wait for it. A host that the store turns away gets there with the next page that another host shares.
#pragma once

#include <serving/follower.h>
#include <serving/node.h>

namespace baobabstall::serving {

class VersionProof
{
public:
    static constexpr Milliseconds retryTime{200};  // after a failed read
    static constexpr Milliseconds minInterval{50}; // between two reads: callers that name streams at random must not load the store
    static constexpr Milliseconds hostInterval{5}; // the same for each host: all of them together read 200 times a second at most

    VersionProof(Node &node, AbstractStore &store, TopicFollower &controlTopic)
        : node_(node)
        , store_(store)
        , controlTopic_(controlTopic)
    { }

    void seek(Instant askedAt);

private:
    net::Task<void> read();

    Node &node_;
    AbstractStore &store_;
    TopicFollower &controlTopic_;
    bool isReading_ = false;
    bool isFailing_ = false; // as last logged
    Instant nextTry_;
};

} // namespace baobabstall::serving
