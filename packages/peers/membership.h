// peers/membership.h: which daemons of the region live. A SWIM-like failure detector on a clock that its caller gives; no I/O.
//
// Index
//   MemberState, Member   what is known of one daemon
//   MemberUpdate          what daemons tell each other about a daemon
//   Message               Ping, Ack, PingRequest, SyncRequest, Sync; each carries updates and list versions
//   toCbor(), fromCbor()  the encoded form
//   Membership            hostList(), onMessage(), tick() -> messages to send; members(), live(), takeChanges(), leave()
//
//   Membership membership({host, zone, incarnation}, settings.membership, seed);
//   membership.hostList(listed);                                  // at every read of the platform's host list
//   for (auto &out : membership.onMessage(from, message, now)) { send(out); }
//   for (auto &out : membership.tick(now)) { send(out); }         // at nextTick() or earlier
//
// After a pause of the process, open probes and suspicions begin anew: silence that was our own says nothing about others.
//
// Limits. One view covers one region. The state of a member is a belief, not a fact: Dead says that nobody reached it for
// the suspicion time. Two halves of a cut region each hold the other for dead until the cut heals.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <variant>
#include <vector>

#include <core/error.h>
#include <core/types.h>
#include <settings/settings.h>

namespace baobabstall::peers {

using core::HostId;
using core::Incarnation;
using core::Instant;
using core::ZoneId;

/// What a daemon believes of another.
enum class MemberState : std::uint8_t {
    Alive,   // answers, or a peer says so
    Suspect, // did not answer, or was never heard of; gets no new work
    Dead,    // suspected for the whole suspicion time
    Leaving, // said itself that it stops; answers until it is gone
};

/// What the platform's host list says of a daemon. The list lags: absence means something only after presence.
enum class Listing : std::uint8_t {
    NeverListed, // not on any list read so far
    Listed,      // on the newest list
    Delisted,    // was on an earlier list, is not on the newest
};

/// One daemon as this one sees it.
struct Member {
    HostId host;
    ZoneId zone;                  // empty when only heard of and not told
    Incarnation incarnation;      // of its process; zero: never heard of
    std::uint32_t refutation = 0; // rises each time it objects to a suspicion within one incarnation
    MemberState state = MemberState::Suspect;
    Listing listing = Listing::NeverListed;

    friend bool operator==(const Member &, const Member &) = default;
};

/// A piece of news about one daemon. A higher (incarnation, refutation) replaces a lower one; at equal ones the worse state does.
struct MemberUpdate {
    HostId host;
    ZoneId zone;
    Incarnation incarnation;
    std::uint32_t refutation = 0;
    MemberState state = MemberState::Alive;

    friend bool operator==(const MemberUpdate &, const MemberUpdate &) = default;
};

/// Numbers of the newest lists that the sender has in force, so that peers learn who is behind.
struct ListVersions {
    std::uint64_t plans = 0;
    std::uint64_t customers = 0;

    friend bool operator==(const ListVersions &, const ListVersions &) = default;
};

/// "Are you there?" Answered by an Ack with the same sequence.
struct Ping {
    std::uint64_t sequence = 0;
    friend bool operator==(const Ping &, const Ping &) = default;
};

/// "`subject` is there." Sent by the subject, or passed on by the peer that was asked to probe it.
struct Ack {
    std::uint64_t sequence = 0;
    HostId subject;
    friend bool operator==(const Ack &, const Ack &) = default;
};

/// "Probe `subject` for me." Answered by an Ack only when the subject answered.
struct PingRequest {
    std::uint64_t sequence = 0;
    HostId subject;
    friend bool operator==(const PingRequest &, const PingRequest &) = default;
};

/// "Here is the digest of my view; send me yours whole if it differs."
struct SyncRequest {
    std::uint64_t digest = 0;
    friend bool operator==(const SyncRequest &, const SyncRequest &) = default;
};

/// A whole view, in the updates of the message. Not answered.
struct Sync {
    friend bool operator==(const Sync &, const Sync &) = default;
};

struct MembershipMessage {
    std::variant<Ping, Ack, PingRequest, SyncRequest, Sync> body;
    Incarnation incarnation;           // of the sender; a message is the best proof that its sender lives
    std::uint32_t refutation = 0;      // of the sender
    ListVersions lists;                // of the sender
    std::vector<MemberUpdate> updates; // at most settings.membership.maxUpdates and one on the receiver; in a Sync all

    friend bool operator==(const MembershipMessage &, const MembershipMessage &) = default;
};

struct OutgoingMessage {
    HostId to;
    MembershipMessage message;
};

constexpr std::size_t maxDecodedUpdates = 10'000; // a message with more is malformed

/// Whether CBOR text nests no deeper and has no longer arrays or objects than told. To be asked before json::from_cbor() of bytes from
/// the network: that one recurses without a limit and throws on absurd lengths.
[[nodiscard]] bool isBoundedCbor(std::span<const std::uint8_t> bytes, std::size_t maxDepth, std::size_t maxItems);

/// The encoded form: a CBOR array.
[[nodiscard]] std::vector<std::uint8_t> toCbor(const MembershipMessage &message);
/// Nothing, and an Error of step Peer, on anything that toCbor() can't have written. Never throws.
[[nodiscard]] std::optional<MembershipMessage> fromCbor(std::span<const std::uint8_t> bytes, core::Error &why);

/// One daemon of the platform's host list, of this region.
struct HostEntry {
    HostId host;
    ZoneId zone;
    bool isLeaving = false; // the platform takes it away soon
};

class Membership
{
public:
    struct Self {
        HostId host;
        ZoneId zone;
        Incarnation incarnation; // higher at each start of the process; from the civil clock
    };

    Membership(Self self, settings::Membership settings, std::uint64_t seed);

    // Events. Each answers with messages to send; one that can't be sent may be dropped.
    void setHostList(const std::vector<HostEntry> &hosts, Instant now); // daemons of this region; at every successful read
    [[nodiscard]] std::vector<OutgoingMessage> onMessage(const HostId &from, const MembershipMessage &message, Instant now); // `from` as the link proved it
    [[nodiscard]] std::vector<OutgoingMessage> tick(Instant now);          // at nextTick(), or earlier at will
    [[nodiscard]] std::vector<OutgoingMessage> leave(Instant now);         // planned stop: tells peers at once; goes on answering
    void setListVersions(ListVersions lists) { ownListVersions_ = lists; } // sent along from now on

    [[nodiscard]] Instant nextTick() const; // earliest time at which tick() has something to do

    // What is believed now.
    [[nodiscard]] std::vector<Member> members() const; // with this daemon, by host
    [[nodiscard]] std::vector<Member> live() const;    // only Alive ones, with this daemon unless it leaves; for rendezvous
    [[nodiscard]] std::optional<Member> findMember(const HostId &host) const;
    [[nodiscard]] std::optional<MemberState> stateOf(const HostId &host) const; // nothing for an unknown host
    [[nodiscard]] std::map<HostId, ListVersions> listVersions() const;          // as last told by each peer
    [[nodiscard]] std::vector<Member> takeChanges();                            // members changed since the last call, each once, as they are now

    [[nodiscard]] bool isOutdated() const { return isOutdated_; } // a later run of this host is known: this process is to end

    static constexpr int probesPerDeadProbe = 5;              // every so many probes go to a listed member believed dead, so that a healed cut is noticed
    static constexpr core::Milliseconds syncInterval{30'000}; // between two comparisons of whole views with a peer; shorter after a start
    static constexpr std::size_t announcementPeers = 8;       // peers told at once of a planned stop, or of an objection to a suspicion
    static constexpr std::int64_t minSuspicionRounds = 4; // settings.membership.suspicion is for regions below 2^this members; it grows with their logarithm
    static constexpr core::Milliseconds deadMemberRetention{600'000}; // a dead member that is on no list is forgotten

private:
    using Body = std::variant<Ping, Ack, PingRequest, SyncRequest, Sync>;
    using Messages = std::vector<OutgoingMessage>;
    struct Entry {
        Member member;
        Instant since;                             // of the state
        std::optional<Instant> recheckedSuspicion; // `since` of the suspicion that was checked once more
        bool isListedLeaving = false;
        bool isChanged = false; // since takeChanges()
        ListVersions lists;
    };
    struct PendingUpdate {
        MemberUpdate update;
        int sendCount = 0;
    };
    struct Probe {
        HostId subject;
        HostId requester;                    // empty: our own probe
        std::uint64_t requesterSequence = 0; // the asker's
        Instant deadline;                    // of the next step
        bool isIndirect = false;             // others were asked
    };

    [[nodiscard]] MembershipMessage makeMessage(Body body, const HostId &to);
    [[nodiscard]] std::vector<MemberUpdate> takePendingUpdates(const HostId &to);
    [[nodiscard]] int maxSendCount() const;
    [[nodiscard]] std::uint64_t digest() const;
    [[nodiscard]] Member effectiveMember(const Entry &entry) const;
    [[nodiscard]] Entry &self() { return entries_.at(self_.host); }
    void queueUpdate(const Member &member);
    void applyUpdate(const MemberUpdate &update, bool isRumour, Instant now);
    void applySender(const HostId &from, const MembershipMessage &message, Instant now);
    void refute(const MemberUpdate &update);
    void markSuspect(const HostId &host, Instant now);
    void handleBody(const HostId &from, const Ping &ping, Instant now, Messages &out);
    void handleBody(const HostId &from, const Ack &ack, Instant now, Messages &out);
    void handleBody(const HostId &from, const PingRequest &request, Instant now, Messages &out);
    void handleBody(const HostId &from, const SyncRequest &request, Instant now, Messages &out);
    void handleBody(const HostId &from, const Sync &sync, Instant now, Messages &out);
    void handlePause(Instant now);
    void checkProbes(Instant now, Messages &out);
    void startIndirectProbe(std::uint64_t sequence, Probe &probe, Instant now, Messages &out);
    void expireMembers(Instant now);
    void startProbe(Instant now, Messages &out);
    void announceSelf(Instant now, Messages &out);
    [[nodiscard]] core::Milliseconds suspicionTimeout() const;
    void startSync(Messages &out);
    void sendPing(Probe probe, Instant now, Messages &out);
    [[nodiscard]] std::optional<HostId> nextProbeSubject();
    [[nodiscard]] std::optional<HostId> suspectProbeSubject(Instant now);
    [[nodiscard]] std::optional<HostId> deadProbeSubject();
    [[nodiscard]] std::vector<HostId> pickRandomPeers(std::size_t count, const HostId &except, bool onlyAnswering);

    Self self_;
    settings::Membership settings_;
    std::mt19937_64 random_;
    ListVersions ownListVersions_;
    std::map<HostId, Entry> entries_; // with this daemon
    std::map<HostId, PendingUpdate> pendingUpdates_;
    std::map<std::uint64_t, Probe> probes_; // by our sequence
    std::vector<HostId> probeOrder_;        // of the present round, taken from the back
    std::uint64_t nextSequence_ = 1;
    std::uint64_t probeCount_ = 0;
    Instant nextProbe_;
    Instant nextSync_;
    std::optional<Instant> lastTick_;
    core::Milliseconds currentSyncInterval_;
    bool hasRefuted_ = false; // since the last message
    bool isOutdated_ = false;
    bool hasSynced_ = false; // a whole view was received
};

} // namespace baobabstall::peers
