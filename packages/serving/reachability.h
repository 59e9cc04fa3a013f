// serving/reachability.h: whether this host has lost its links to all upstreams, and which other hosts say so of themselves. No I/O.
//
//   Reachability reachability;                         // member of Node
//   reachability.setUpstreams(upstreams, now);         // after each change of the usable upstreams
//   reachability.onConnected(id, now);                 // a new connection brought an answer, or that of a probe opened and stayed open
//   reachability.onNoContact(id, now);                 // opening one failed or timed out, or it was lost before it brought anything
//   reachability.onAnswer(id, now);                    // bytes came on an open connection
//   reachability.onLost(id, now);                      // an open connection was lost, or its request was given up without an answer
//   for (const auto &id : reachability.takeProbes(runningSends, now)) ...  // every 100 ms: open a connection to each and keep it for requests
//   if (reachability.isCutOff()) ...                   // relay requests through a host that reaches(host, now)
//   if (auto reaches = reachability.takeNotice(now)) ...     // tell all hosts
//
// New connections decide: those that are open may live on through a cut, or fall silent for good without one. What else fails raises a
// suspicion only. A suspicion picks up to Options::witnesses upstreams, at least one of each service and those first that were heard last, and
// opens a connection to one after the other. The first that opens ends the suspicion; when none does, the host is cut off. So the failure of
// some upstreams or of one service is no cut. The failure of all of them looks like one at every host; then no host reaches().
// While cut off, one upstream is tried every Options::retryInterval. The cut ends when Options::endsAfter were reached, and cuts that
// follow each other closely end only when upstreams were reached for some time, so that a link that flaps moves nothing back and forth.
//
// Cost: nothing while answers come at least every Options::idleInterval. A host without traffic opens one connection in that time, which stays
// in the pool for its next request. A suspicion without cause costs one connection as a rule.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string_view>
#include <vector>

#include <serving/model.h>

namespace baobabstall::serving {

class Reachability
{
public:
    struct Options {
        int witnesses = 4;                  // that must all fail
        int suspectFailures = 2;            // upstreams that new connections failed to, which raise a suspicion though answers come on open ones
        Milliseconds failureAge{2'000};     // after which a failure counts no more; it was an upstream's own
        Milliseconds quietInterval{500};    // without a sign of any upstream, while requests run or after a failure: raises a suspicion
        Milliseconds idleInterval{1'700};   // the same for a host without requests
        Milliseconds suspicionPause{1'000}; // after a suspicion without cause: one service that is out must not cost probes all the time
        Milliseconds witnessSpacing{80};    // between the connections of a suspicion: one that opens makes the others superfluous
        Milliseconds probeTimeout{1'000};   // a probe without a result counts as failed
        Milliseconds retryInterval{250};    // between probes while cut off
        int endsAfter = 2;                  // distinct upstreams that are reached; two failures in a row begin the count again
        Milliseconds seriesGap{5'000};      // a cut that begins so soon after the last one ended belongs to a series
        Milliseconds firstHold{500};        // time for which upstreams must be reached before the second cut of a series ends; doubles with each cut
        Milliseconds maxHold{2'000};        // the most of it
        Milliseconds pause{700};            // without a call of takeProbes(): the process stood still, so that its time-outs prove nothing
        Milliseconds noticeInterval{2'000}; // between notices while cut off
        Milliseconds noticeLifetime{5'000}; // of what a peer said: longer than two intervals
    };

    enum class State : std::uint8_t { Reaching, Suspecting, CutOff };

    struct Upstream {
        UpstreamId id;
        ServiceName service;
    };

    Reachability() = default;
    explicit Reachability(Options options)
        : options_(options)
    { }

    void setUpstreams(const std::vector<Upstream> &upstreams, Instant now); // those that requests may be sent to
    void onConnected(const UpstreamId &id, Instant now);
    void onNoContact(const UpstreamId &id, Instant now);
    void onAnswer(const UpstreamId &id, Instant now);
    void onLost(const UpstreamId &id, Instant now);

    /// Upstreams to open a connection to now. Each must lead to onConnected() or onNoContact(). `runningSends`: requests of this host that
    /// upstreams have not answered.
    [[nodiscard]] std::vector<UpstreamId> takeProbes(int runningSends, Instant now);

    [[nodiscard]] State state() const { return state_; }
    /// Whether new connections fail to all upstreams, as far as this host knows.
    [[nodiscard]] bool isCutOff() const { return state_ == State::CutOff; }
    [[nodiscard]] Instant since() const { return since_; }                    // of state()
    [[nodiscard]] int failing() const;                                        // upstreams whose last new connection failed
    [[nodiscard]] std::optional<Instant> heardAt() const { return heardAt_; } // any upstream

    /// What a peer says of itself. A host that reaches upstreams says so once, when its cut has ended.
    void onPeer(const HostId &host, bool reaches, Instant now);
    /// Whether the peer may relay requests: it didn't say lately that it is cut off.
    [[nodiscard]] bool reaches(const HostId &host, Instant now) const;
    [[nodiscard]] std::vector<HostId> cutOffPeers(Instant now) const;
    void forgetPeer(const HostId &host) { peersCutOffAt_.erase(host); }
    /// Whether this host reaches upstreams, when its peers have to be told now.
    [[nodiscard]] std::optional<bool> takeNotice(Instant now);

private:
    struct Entry {
        ServiceName service;
        std::optional<Instant> heardAt;   // connected or answered
        std::optional<Instant> failedAt;  // of a new connection, since the last one that opened
        std::optional<Instant> probingAt; // a probe without a result yet
        Instant probedAt;
    };

    [[nodiscard]] int recentFailures(Instant now) const;
    [[nodiscard]] bool isSuspicious(int runningSends, Instant now) const;
    void beginSuspicion(Instant now);
    void endSuspicion(Instant now);
    void decide(Instant now); // whether all witnesses have failed
    void beginCut(Instant now);
    void endCut(Instant now);
    void enter(State state, Instant now);
    [[nodiscard]] bool hasFailed(const UpstreamId &id) const; // since the suspicion's evidence began
    void dropLateProbes(Instant now);
    [[nodiscard]] std::vector<UpstreamId> witnessProbes(Instant now);
    [[nodiscard]] std::vector<UpstreamId> retryProbes(Instant now);

    Options options_;
    std::map<UpstreamId, Entry> upstreams_;
    State state_ = State::Reaching;
    Instant since_;
    std::optional<Instant> heardAt_;     // any upstream
    std::optional<Instant> lostAt_;      // an open connection, since anything was heard
    Instant evidenceFrom_;               // of the suspicion: failures before count no more
    std::vector<UpstreamId> witnesses_;  // of the suspicion
    Instant unfoundedAt_;                // when the last suspicion ended without a cut
    std::optional<Instant> lastProbeAt_; // of any upstream
    std::optional<Instant> lastTick_;
    std::set<UpstreamId> reached_; // while cut off
    Instant reachedSince_;         // the first of them
    int failuresInRow_ = 0;        // while cut off
    Milliseconds hold_{0};         // of the present cut
    std::optional<Instant> lastCutEnded_;
    std::optional<bool> toldReaches_; // the last notice
    Instant toldAt_;
    std::map<HostId, Instant> peersCutOffAt_; // when they last said so
};

[[nodiscard]] std::string_view stateText(Reachability::State state);

} // namespace baobabstall::serving
