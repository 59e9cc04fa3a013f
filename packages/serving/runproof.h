// serving/runproof.h: which run of an upstream a connection leads to, in the upstream's own words, and which upstreams a request asks again.
//
//   const auto report = co_await askReport(connection, codec, upstream); // nothing: no answer of an upstream that makes reports
//   RunProofs proofs;                                                    // of one request. No I/O
//   proofs.patience(timeLeft)                                            // for the next answer
//   proofs.onSilent(upstream);                                           // it did not answer in time
//   if (proofs.isSilent(upstream)) { ...choose another one... }
//   if (proofs.askAgain()) { ...no other one is left: they may be chosen again... }
#pragma once

#include <algorithm>
#include <optional>
#include <utility>
#include <vector>

#include <net/asio.h>
#include <serving/protocol.h>
#include <serving/upstreams.h>

namespace baobabstall::serving {

[[nodiscard]] net::Task<std::optional<ReplicaReport>> askReport(UpstreamConnection &connection, const Codec &codec, const UpstreamId &id);

class RunProofs
{
public:
    static constexpr Milliseconds firstPatience{300};   // while other upstreams may be sooner
    static constexpr Milliseconds longPatience{1'500};  // when none is left; callers leave after two seconds without an event
    static constexpr std::int64_t longPatienceShare{3}; // the same, of the remaining time: one part in this many

    [[nodiscard]] Milliseconds patience(Milliseconds timeLeft) const
    {
        return isAskedAgain_ ? std::max(firstPatience, std::min(longPatience, timeLeft / longPatienceShare)) : firstPatience;
    }
    void onSilent(const UpstreamId &id) { silent_.push_back(id); }
    [[nodiscard]] bool isSilent(const UpstreamId &id) const { return std::find(silent_.begin(), silent_.end(), id) != silent_.end(); }
    /// Once, and if there are any.
    bool askAgain()
    {
        if (silent_.empty() || std::exchange(isAskedAgain_, true)) {
            return false;
        }
        silent_.clear();
        return true;
    }

private:
    std::vector<UpstreamId> silent_;
    bool isAskedAgain_ = false;
};

} // namespace baobabstall::serving
