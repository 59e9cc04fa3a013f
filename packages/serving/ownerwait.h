// serving/ownerwait.h: a request that no upstream can take, because the hosts that own them and order weights there don't answer, waits for one.
// Such an owner is mostly suspected wrongly or starts again, or another host claims its upstreams.
//
//   if (OwnerWait::isOwnerSilent(why)) { wait.onOwnerless(upstream); }
//   for (const auto &id : co_await wait.untilOwned(io, *residency, OwnerWait::longest(timeLeft), isOver)) { ...may be chosen again... }
#pragma once

#include <algorithm>
#include <functional>
#include <utility>
#include <vector>

#include <core/error.h>
#include <net/asio.h>
#include <serving/protocol.h>

namespace baobabstall::serving {

class OwnerWait
{
public:
    static constexpr Milliseconds maxWait{1'500}; // callers leave after two seconds without an event
    static constexpr std::int64_t waitShare{3};   // of the remaining time: one part in this many
    static constexpr Milliseconds step{50};

    /// An owner is known, and not given up. Where none is, nobody can tell whether there will be one in time.
    [[nodiscard]] static bool isOwnerSilent(const core::Error &why) { return why.step == core::Step::Peer && !why.peer.empty(); }
    [[nodiscard]] static Milliseconds longest(Milliseconds timeLeft) { return std::min(maxWait, timeLeft / waitShare); }

    void onOwnerless(const UpstreamId &id) { ownerless_.push_back(id); }
    /// The noted upstreams once the owner of one of them answers; none after `most`, when isOver() holds, or at a second call.
    net::Task<std::vector<UpstreamId>>
    untilOwned(boost::asio::io_context &io, const ResidencySource &residency, Milliseconds most, std::function<bool()> isOver)
    {
        const core::SteadyClock clock;
        const auto until = clock.now() + most;
        auto ownerless = std::exchange(ownerless_, {});
        while (!ownerless.empty() && !hasWaited_ && clock.now() < until && !isOver()) {
            if (std::any_of(ownerless.begin(), ownerless.end(), [&](const UpstreamId &id) { return residency.canOrder(id); })) {
                hasWaited_ = true;
                co_return ownerless;
            }
            co_await net::sleep(io, step);
        }
        hasWaited_ = true;
        co_return std::vector<UpstreamId>();
    }

private:
    std::vector<UpstreamId> ownerless_;
    bool hasWaited_ = false;
};

} // namespace baobabstall::serving
