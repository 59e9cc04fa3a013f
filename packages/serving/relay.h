// serving/relay.h: sends a caller's request through another host. No I/O.
//
// Index
//   RelayTask     a request that is to be relayed, and what became of it
//   RelaySource   at the host that reaches no upstream
//   RelayedFrom   at the host that sends: what the other host did before
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <net/asio.h>
#include <serving/model.h>
#include <serving/tries.h>

namespace baobabstall::serving {

class CallerConnection;
struct CallerRequest;

struct RelayTask {
    /// More than one host sends a request, so that the sends of two peers are never counted alike.
    static constexpr int sendsOfPeer = 64;

    RelayTask(RequestId id, Tries &triesOfAttempt)
        : request(std::move(id))
        , tries(triesOfAttempt)
    { }

    RequestId request;
    Instant deadline;
    bool mayRepeat = false;            // even when it may have run
    bool isResumable = false;          // a stream that breaks off goes on at another peer
    int maxPeers = 0;                  // that refuse the request or are lost
    Tries &tries;                      // of all hosts
    int sends = 0;                     // of this host, with repeats; grows by sendsOfPeer with each peer that was asked
    int cuts = 0;                      // of all hosts: sends that their upstream broke off
    std::function<bool()> spendRepeat; // before the request is sent once more: false when it may not be

    std::optional<std::uint64_t> lastEventId; // of a stream of which the caller has part
    std::optional<SoftwareVersion> version;   // the same

    bool mayHaveRun = false;                // on one of them, or through a peer
    bool isAnswered = false;                // the caller has got a whole answer
    bool hasBegun = false;                  // the caller has got part of one
    bool hasPassedOn = false;               // the same, from a peer
    bool isTooLarge = false;                // for a link
    bool isFinal = false;                   // a peer says that no other host would do better
    int status = 0;                         // of the answer
    HostId host;                            // asked last
    std::string_view reason = "no_relay";   // without an answer
    std::string detail;                     // the same
    std::optional<Milliseconds> retryAfter; // the same
    std::optional<Milliseconds> firstBytes; // of the answer, since the request arrived

    std::function<void()> cancel; // set while a peer has the request: it is wanted no more
    bool isCancelled = false;
};

class RelaySource
{
public:
    static constexpr int maxPeers = 3; // that refuse one request or are lost with it

    virtual ~RelaySource() = default;
    /// Whether requests should go to a peer: this host reaches no upstream, while others do.
    [[nodiscard]] virtual bool isNeeded() const = 0;
    /// Writes the answer to the caller when a peer has one. Asks further peers only while the request may be sent again.
    virtual net::Task<void> relay(CallerConnection &caller, const CallerRequest &request, RelayTask &task) = 0;
};

struct RelayedFrom {
    HostId host;
    std::vector<UpstreamId> sentTo; // by any host; may hold empty ids
    std::optional<int> tries;       // further upstreams that this host may send to; nothing: the other host is of an older build and counts none
    int keptTries = 0;              // that the other host has left for itself and its next peers
    int sends = 0;
    int cuts = 0;
    bool mayHaveRun = false;
    bool hasBegun = false; // the caller has part of the stream
    std::optional<std::uint64_t> lastEventId;
    std::optional<SoftwareVersion> version;

    /// Set by the forwarder. `isDeclined`: the request did not end well here, and the other host decides what becomes of it.
    struct Account {
        bool isDeclined = false;
        std::vector<UpstreamId> sentTo; // by this host
        bool mayHaveRun = false;        // there
        int cuts = 0;
        bool isFinal = false; // nothing was sent, and no other host would do better
        std::string_view reason;
        std::optional<Milliseconds> retryAfter;
        std::optional<std::uint64_t> lastEventId; // that the caller has
        std::optional<SoftwareVersion> version;   // of the stream
    };
    Account account;
    std::function<void()> returnNow; // gives the request back by its account before the forwarder has ended

    /// The peers that an older build asked before this one; what they did is not known.
    [[nodiscard]] bool mayBeSentElsewhere() const { return !tries && sends >= RelayTask::sendsOfPeer && mayHaveRun; }
};

} // namespace baobabstall::serving
