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

namespace baobabstall::serving {

class CallerConnection;
struct CallerRequest;

struct RelayTask {
    /// More than one host sends a request, so that the sends of two peers are never counted alike.
    static constexpr int sendsOfPeer = 64;

    RequestId request;
    Instant deadline;
    bool mayRepeat = false;         // even when it may have run
    int maxPeers = 0;               // that are asked
    std::vector<UpstreamId> sentTo; // by this host
    int sends = 0;                  // the same, with repeats; grows by sendsOfPeer with each peer that was asked

    std::optional<std::uint64_t> lastEventId; // of a stream of which the caller has part
    std::optional<SoftwareVersion> version;   // the same

    bool mayHaveRun = false;                // on one of them, or through a peer
    bool isAnswered = false;                // the caller has got a whole answer
    bool hasBegun = false;                  // the caller has got part of one
    bool hasPassedOn = false;               // the same, from a peer
    bool isTooLarge = false;                // for a link
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
    static constexpr int maxPeers = 3; // that are asked for one request

    virtual ~RelaySource() = default;
    /// Whether requests should go to a peer: this host reaches no upstream, while others do.
    [[nodiscard]] virtual bool isNeeded() const = 0;
    /// Writes the answer to the caller when a peer has one. Asks further peers only while the request may be sent again.
    virtual net::Task<void> relay(CallerConnection &caller, const CallerRequest &request, RelayTask &task) = 0;
};

struct RelayedFrom {
    HostId host;
    std::vector<UpstreamId> sentTo;
    int sends = 0;
    bool mayHaveRun = false;
    bool hasBegun = false; // the caller has part of the stream
    std::optional<std::uint64_t> lastEventId;
    std::optional<SoftwareVersion> version;
    bool isDeclined = false; // set by the forwarder: nothing was sent and nothing written to the caller; another host may be able to
};

} // namespace baobabstall::serving
