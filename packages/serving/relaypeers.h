// serving/relaypeers.h: which peer sends the requests of a host that reaches no upstream, and how many such requests a host takes on. No I/O.
//
// Index
//   RelayPeers   at the host that is cut off: picks a peer for each request
//   RelayGate    at the host that sends: bounds what it takes on for others
//
//   RelayPeers peers(ownHost, ownZone);
//   peers.setHosts(hosts, leaving);                      // whenever one of the sets changes
//   auto host = peers.pick({tried, reaches, isLinked}, now);
//   RelayPeers::Use use(peers, *host);                   // while the request is there
//   peers.onRefused(*host, retryAfter, now);             // it is cut off itself, busy or stopping
//   peers.onLost(*host, now);                            // its link was lost, or it is silent
//
// A host sees only its own requests in flight. Peers that take on too much refuse, and the refusal spreads the requests of many hosts.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

#include <serving/hostgroups.h>
#include <serving/model.h>

namespace baobabstall::serving {

class RelayPeers
{
public:
    static constexpr int farPenalty = 4;                  // requests in flight that a peer of another zone counts as having more
    static constexpr int unlinkedPenalty = 8;             // the same for a peer without an open link
    static constexpr Milliseconds refusalPause{300};      // after a refusal that names no time
    static constexpr Milliseconds maxRefusalPause{1'000}; // a longer one is shortened: the peer may reach upstreams again
    static constexpr Milliseconds lossPause{1'000};       // after a lost link, or silence

    struct Wanted {
        std::span<const HostId> excluded;
        std::function<bool(const HostId &)> reaches;  // whether the peer may reach upstreams, as far as it has told
        std::function<bool(const HostId &)> isLinked; // whether a call would be written at once
    };

    RelayPeers(HostId ownHost, ZoneId ownZone)
        : ownHost_(std::move(ownHost))
        , ownZone_(std::move(ownZone))
    { }

    /// A request is in flight at the peer.
    class Use
    {
    public:
        Use(RelayPeers &peers, HostId host)
            : peers_(peers)
            , host_(std::move(host))
        {
            ++peers_.inFlight_[host_];
        }
        ~Use()
        {
            if (--peers_.inFlight_[host_] == 0) {
                peers_.inFlight_.erase(host_);
            }
        }
        Use(const Use &) = delete;
        Use &operator=(const Use &) = delete;

    private:
        RelayPeers &peers_;
        HostId host_;
    };

    /// `hosts` may include this one. `leaving`: those that have announced their stop; they get no new request and answer until they are gone.
    void setHosts(const std::vector<GroupedHost> &hosts, std::vector<HostId> leaving = {});
    /// The peer with the fewest requests in flight from this host, of its own zone when they are about as few. Nothing when no peer is left.
    [[nodiscard]] std::optional<HostId> pick(const Wanted &wanted, Instant now);
    /// Whether the peer goes on with what it has taken on.
    [[nodiscard]] bool isLive(const HostId &host) const;
    /// `retryAfter`: what the peer named.
    void onRefused(const HostId &host, std::optional<Milliseconds> retryAfter, Instant now);
    void onLost(const HostId &host, Instant now);
    [[nodiscard]] int inFlight(const HostId &host) const;

private:
    HostId ownHost_;
    ZoneId ownZone_;
    std::vector<GroupedHost> peers_; // in an order that differs from host to host
    std::vector<HostId> leaving_;
    std::size_t next_ = 0; // among equal ones
    std::map<HostId, int> inFlight_;
    std::map<HostId, Instant> pausedUntil_;
};

/// What a host that others relay through has at hand.
struct RelayLoad {
    bool isCutOff = false;     // it reaches no upstream itself
    bool isStopping = false;   // no new requests
    bool isConfigured = false; // it knows routes
    double linkMbps = 0;       // 0: not known
};

class RelayGate
{
public:
    static constexpr int maxRequests = 512;                              // relayed at a time: a fifth of what a host serves its own callers
    static constexpr std::size_t unknownLinkBytes = 8 * 1024 * 1024;     // on their way, when the host's link is not known
    static constexpr Milliseconds linkTime{250};                         // the bytes on their way take the link for this long at most
    static constexpr Milliseconds maxLateness{100};                      // of the host's loop; its own callers wait as long
    static constexpr Milliseconds busyRetryAfter{300};                   // to be tried again
    static constexpr std::string_view reasonCutOff = "cut_off";          // names of refusals
    static constexpr std::string_view reasonStopping = "stopping";       //
    static constexpr std::string_view reasonNotReady = "not_ready";      //
    static constexpr std::string_view reasonCount = "too_many_requests"; //
    static constexpr std::string_view reasonBytes = "too_many_bytes";    //
    static constexpr std::string_view reasonLate = "host_busy";          //

    /// Why a request of `bytes` can't be taken on now; empty: it can. One request is taken whatever its size.
    [[nodiscard]] std::string_view refusal(const RelayLoad &load, std::size_t bytes) const;
    void begin() { ++requests_; }
    void end() { --requests_; }
    void addBytes(std::size_t bytes) { bytes_ += bytes; } // are on their way to or from the host that relays
    void removeBytes(std::size_t bytes) { bytes_ -= std::min(bytes, bytes_); }
    /// Call at a constant interval; measures how late the loop is.
    void onTick(Milliseconds interval, Instant now);

    [[nodiscard]] int requests() const { return requests_; }
    [[nodiscard]] std::size_t bytes() const { return bytes_; }

private:
    int requests_ = 0;
    std::size_t bytes_ = 0;
    std::optional<Instant> lastTick_;
    Milliseconds lateness_{0}; // recent maximum, halved with each tick
};

} // namespace baobabstall::serving
