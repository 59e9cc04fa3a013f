// peers/membership.h: which daemons of the region are alive. A SWIM-like failure detector with caller-provided time. No I/O.
//
// Index
//   MemberState, Member   what is known about one daemon
//   MemberUpdate          what daemons tell each other about a daemon
//   MembershipMessage     Ping, Ack, PingRequest, SyncRequest, Sync; each carries updates and list versions
//   toCbor(), fromCbor()  encoding
//   Membership            setHostList(), onMessage(), tick() -> messages to send; members(), live(), takeChanges(), leave()
//
//   Membership membership({host, zone, incarnation}, settings.membership, seed);
//   membership.setHostList(listed, now);                          // after every read of the platform's host list
//   for (auto &out : membership.onMessage(from, message, now)) { send(out); }
//   for (auto &out : membership.tick(now)) { send(out); }         // at nextTick() or earlier
//
// After a pause of this process, pending probes are dropped and suspicions start over: messages missed during the pause say nothing
// about other members.
//
// Limits. One view covers one region. The state of a member is not certain: Dead means that no member reached it for the
// suspicion timeout. The two halves of a partitioned region consider each other dead until the partition heals.
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

/// State of a daemon as seen by another.
enum class MemberState : std::uint8_t {
    Alive,   // answers, or a peer reports so
    Suspect, // did not answer, or has never been heard from; gets no new work
    Dead,    // suspected for the whole suspicion timeout
    Leaving, // announced its stop; answers until it is gone
};

/// Whether a daemon is on the platform's host list. The list lags, so a daemon that was never on it may still exist.
enum class Listing : std::uint8_t {
    NeverListed, // on no list read so far
    Listed,      // on the newest list
    Delisted,    // on an earlier list, but not on the newest
};

/// One daemon as seen by this one.
struct Member {
    HostId host;
    ZoneId zone;                  // empty when unknown
    Incarnation incarnation;      // of its process; zero: never heard from
    std::uint32_t refutation = 0; // incremented each time the daemon refutes a suspicion within one incarnation, and when it leaves
    MemberState state = MemberState::Suspect;
    Listing listing = Listing::NeverListed;

    friend bool operator==(const Member &, const Member &) = default;
};

/// A state change of one daemon. A higher (incarnation, refutation) replaces a lower one; of equal ones the worse state wins.
struct MemberUpdate {
    HostId host;
    ZoneId zone;
    Incarnation incarnation;
    std::uint32_t refutation = 0;
    MemberState state = MemberState::Alive;

    friend bool operator==(const MemberUpdate &, const MemberUpdate &) = default;
};

/// Versions of the lists that are active at the sender, which show peers who is behind.
struct ListVersions {
    std::uint64_t plans = 0;
    std::uint64_t customers = 0;

    friend bool operator==(const ListVersions &, const ListVersions &) = default;
};

/// Probes the receiver, which answers by an Ack with the same sequence.
struct Ping {
    std::uint64_t sequence = 0;
    friend bool operator==(const Ping &, const Ping &) = default;
};

/// Reports that `subject` is alive. Sent by the subject, or forwarded by the peer that was asked to probe it.
struct Ack {
    std::uint64_t sequence = 0;
    HostId subject;
    friend bool operator==(const Ack &, const Ack &) = default;
};

/// Asks the receiver to probe `subject`. Answered by an Ack only if the subject answers.
struct PingRequest {
    std::uint64_t sequence = 0;
    HostId subject;
    friend bool operator==(const PingRequest &, const PingRequest &) = default;
};

/// Carries the digest of the sender's view. The receiver answers by a Sync, with its complete view if the digests differ.
struct SyncRequest {
    std::uint64_t digest = 0;
    friend bool operator==(const SyncRequest &, const SyncRequest &) = default;
};

/// The answer to a SyncRequest; the view is in the message's updates. Not answered.
struct Sync {
    friend bool operator==(const Sync &, const Sync &) = default;
};

struct MembershipMessage {
    std::variant<Ping, Ack, PingRequest, SyncRequest, Sync> body;
    Incarnation incarnation;           // of the sender; any message proves that its sender is alive
    std::uint32_t refutation = 0;      // of the sender
    ListVersions lists;                // of the sender
    std::vector<MemberUpdate> updates; // at most settings.membership.maxUpdates and one about the receiver; a Sync with a complete view has all

    friend bool operator==(const MembershipMessage &, const MembershipMessage &) = default;
};

struct OutgoingMessage {
    HostId to;
    MembershipMessage message;
};

constexpr std::size_t maxDecodedUpdates = 10'000; // messages with more are malformed

/// Whether the CBOR data stays within a nesting depth and a number of items per array or object. Call it before json::from_cbor() on
/// bytes from the network: from_cbor() recurses without a limit and throws on excessive lengths.
[[nodiscard]] bool isBoundedCbor(std::span<const std::uint8_t> bytes, std::size_t maxDepth, std::size_t maxItems);

/// Encodes the message as a CBOR array.
[[nodiscard]] std::vector<std::uint8_t> toCbor(const MembershipMessage &message);
/// Nothing, and an error of step Peer, for input that toCbor() can't have produced. Never throws.
[[nodiscard]] std::optional<MembershipMessage> fromCbor(std::span<const std::uint8_t> bytes, core::Error &error);

/// One daemon of this region on the platform's host list.
struct HostEntry {
    HostId host;
    ZoneId zone;
    bool isLeaving = false; // the platform will remove it soon
};

class Membership
{
public:
    struct Self {
        HostId host;
        ZoneId zone;
        Incarnation incarnation; // from the civil clock; higher at each start of the process
    };

    Membership(Self self, settings::Membership settings, std::uint64_t seed);

    // Events. They return messages to send; a message that can't be sent may be dropped.
    void setHostList(const std::vector<HostEntry> &hosts, Instant now); // daemons of this region; after every successful read
    [[nodiscard]] std::vector<OutgoingMessage>
    onMessage(const HostId &from, const MembershipMessage &message, Instant now); // `from`: as authenticated by the link
    [[nodiscard]] std::vector<OutgoingMessage> tick(Instant now);                 // at nextTick() or earlier
    [[nodiscard]] std::vector<OutgoingMessage> leave(Instant now);                // planned stop: informs peers at once and keeps answering
    void setListVersions(ListVersions lists) { ownListVersions_ = lists; }        // sent with every message from now on

    [[nodiscard]] Instant nextTick() const; // when tick() next has something to do

    // Current view.
    [[nodiscard]] std::vector<Member> members() const; // including this daemon, ordered by host
    [[nodiscard]] std::vector<Member> live() const;    // only Alive ones, including this daemon unless it is leaving; for rendezvous hashing
    [[nodiscard]] std::optional<Member> findMember(const HostId &host) const;
    [[nodiscard]] std::optional<MemberState> stateOf(const HostId &host) const; // nothing for an unknown host
    [[nodiscard]] std::map<HostId, ListVersions> listVersions() const;          // as last reported by each peer, and of this daemon
    [[nodiscard]] std::vector<Member> takeChanges();                            // members changed since the last call, each once, in their current state

    [[nodiscard]] bool isOutdated() const { return isOutdated_; } // a later incarnation of this host is known: this process has to exit

    static constexpr int probesPerDeadProbe = 5;              // one of so many probes goes to a listed member in state Dead, to detect a healed partition
    static constexpr core::Milliseconds syncInterval{30'000}; // between two comparisons of complete views with a peer; shorter after a start
    static constexpr std::size_t announcementPeers = 8;       // peers informed at once of a planned stop or of a refuted suspicion
    static constexpr std::int64_t minSuspicionRounds = 4; // up to 2^this members the suspicion setting applies; beyond, the timeout grows with their logarithm
    static constexpr core::Milliseconds deadMemberRetention{600'000}; // after which a dead member that is not listed is removed

private:
    using Body = std::variant<Ping, Ack, PingRequest, SyncRequest, Sync>;
    using Messages = std::vector<OutgoingMessage>;
    struct Entry {
        Member member;
        Instant since;                             // of the current state
        std::optional<Instant> recheckedSuspicion; // `since` of the suspicion that was probed once more
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
        HostId requester;                    // empty: this daemon itself
        std::uint64_t requesterSequence = 0; // of the requester's probe
        Instant deadline;                    // of the next step
        bool isIndirect = false;             // peers were asked to probe the subject
    };

    [[nodiscard]] MembershipMessage makeMessage(Body body, const HostId &to);
    [[nodiscard]] std::vector<MemberUpdate> takePendingUpdates(const HostId &to);
    [[nodiscard]] int maxSendCount() const;
    [[nodiscard]] std::uint64_t digest() const;
    [[nodiscard]] Member effectiveMember(const Entry &entry) const;
    [[nodiscard]] Entry &self() { return entries_.at(self_.host); }
    void queueUpdate(const Member &member);
    void applyUpdate(const MemberUpdate &update, bool shouldSpread, Instant now);
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
    std::map<HostId, Entry> entries_; // including this daemon
    std::map<HostId, PendingUpdate> pendingUpdates_;
    std::map<std::uint64_t, Probe> probes_; // by own sequence
    std::vector<HostId> probeOrder_;        // subjects left in the current round, taken from the back
    std::uint64_t nextSequence_ = 1;
    std::uint64_t probeCount_ = 0;
    Instant nextProbe_;
    Instant nextSync_;
    std::optional<Instant> lastTick_;
    core::Milliseconds currentSyncInterval_;
    bool hasRefuted_ = false; // since the last message was handled
    bool isOutdated_ = false;
    bool hasSynced_ = false; // a Sync was received
};

} // namespace baobabstall::peers
