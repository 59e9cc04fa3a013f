// serving/backoffs.h: upstreams that asked this host to send nothing for a while (Retry-After with a refusal). No I/O.
//
//   backoffs.begin(id, delay, now);      // the upstream refused a request and named a delay
//   if (backoffs.isActive(id, now)) ...  // checked before each request, order and report
//   for (const auto &id : backoffs.takeEnded(now)) ...
//
// The delay binds only the host that was refused. It ends early when the upstream restarts, since the new run has asked for nothing.
#pragma once

#include <map>
#include <vector>

#include <serving/model.h>

namespace baobabstall::serving {

class Backoffs
{
public:
    static constexpr Milliseconds maxDelay{60'000}; // a longer one is shortened, so that a wrong value can't take an upstream away for hours

    /// Does nothing when a running backoff ends later. Returns the delay in force from `now` on.
    Milliseconds begin(const UpstreamId &id, Milliseconds delay, Instant now);
    void end(const UpstreamId &id); // the upstream restarted
    /// Removes the backoffs that have ended and returns their upstreams. Call periodically.
    std::vector<UpstreamId> takeEnded(Instant now);

    [[nodiscard]] bool isActive(const UpstreamId &id, Instant now) const { return remaining(id, now).count() > 0; }
    [[nodiscard]] Milliseconds remaining(const UpstreamId &id, Instant now) const; // 0: none
    [[nodiscard]] std::size_t size() const { return endsAt_.size(); }

private:
    std::map<UpstreamId, Instant> endsAt_;
};

} // namespace baobabstall::serving
