// serving/sendrate.h: divides the requests that a limited upstream takes among all hosts, at the host that owns the upstream. No I/O.
//
//   SendRate rate;                                               // one for each owned upstream
//   auto permit = rate.request({.perSecond = 2.5, .namedAt = ...}, maxWait, now);
//   if (!permit.isLimited) ...                                   // the limit has ended in the meantime: send without permits
//   if (permit.isGranted) ...                                    // send after permit.wait
//   else ...                                                     // ask again after permit.wait
//   rate.onLimitEnded(now);                                      // a host got an answer that names no limit
//
// One count for all hosts bounds their sum, whatever each knows of the others. A new owner, also after a restart, begins without a stock of
// permits, so a change of the owner adds nothing. A permit that is not used is lost.
#pragma once

#include <functional>
#include <memory>
#include <optional>

#include <serving/upstreamlimits.h>

namespace baobabstall::serving {

struct SendPermit {
    bool isLimited = true;
    bool isGranted = false;
    Milliseconds wait{0};
    bool isAnswered = true;          // false: no owner answered
    std::shared_ptr<void> hold = {}; // at a brittle upstream: to be kept until the request has ended
};

/// A place that is asked for at a replica of a crowded plain service (scarceroom.h).
struct ScarceTerms {
    int rank = 0;                                         // lower: more urgent
    bool mayRepeat = false;                               // it may run twice
    Milliseconds untilLate{0};                            // below 0: it is late
    Milliseconds work{1};                                 // of the service, as this host learnt it
    std::uint64_t spread = 0;                             // a hash of the request
    std::function<bool()> isWanted = [] { return true; }; // asked while it waits
};

/// One request that is to be sent to a limited upstream, or to a replica of a crowded plain service.
struct SendRequest {
    UpstreamId upstream;
    UpstreamLimits::Limit limit; // as the asking host knows it, with times of this host's clock
    Milliseconds maxWait{0};     // for the permit
    Milliseconds timeLeft{0};    // until the request ends at the latest
    double tokens = 0;           // of memory that it holds at the upstream meanwhile
    std::optional<ScarceTerms> scarce{};
};

class SendRate
{
public:
    static constexpr double burstSeconds = 0.25; // permits that may be given at once, as a share of a second's; at least one
    static constexpr double minPerSecond = 0.25; // also of an upstream that takes none: some request must learn that it takes requests again

    /// `limit`: as the asking host knows it, with times of this host's clock. `maxWait`: how long the request may wait for its permit.
    [[nodiscard]] SendPermit request(const UpstreamLimits::Limit &limit, Milliseconds maxWait, Instant now);
    void onLimitEnded(Instant now);
    /// Whether the limit has ended since it was named.
    [[nodiscard]] bool isEnded(const UpstreamLimits::Limit &limit) const { return endedAt_ && limit.namedAt <= *endedAt_; }

private:
    void refill(Instant now);

    std::optional<UpstreamLimits::Limit> limit_;
    std::optional<Instant> endedAt_;
    double permits_ = 0; // below 0: promised to requests that wait
    Instant refilledAt_;
};

} // namespace baobabstall::serving
