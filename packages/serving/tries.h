// serving/tries.h: how many upstreams one client attempt was sent to, over all hosts that send it. No I/O.
//
//   Tries tries(route.maxUpstreams);                   // at the host that the caller spoke to
//   if (tries.left() > 0) { tries.add(upstream); ... } // right before a send of this host
//
//   const int lent = tries.reserve();                  // right before a peer is called; the call names it
//   tries.release(account.sentTo);                     // the peer's last reply says which upstreams it used
//   tries.releaseUnknown();                            // it ended without saying so: all that it was given is used
//   tries.releaseUnused();                             // the call never left this host, or the peer refused it
//
//   Tries tries(sentTo, lent, route.maxUpstreams);     // at the peer: never more than it was given
//
// Why one host counts: docs/design/relaying.md.
#pragma once

#include <algorithm>
#include <span>
#include <utility>
#include <vector>

#include <serving/model.h>

namespace baobabstall::serving {

class Tries
{
public:
    static constexpr int triesPerCall = 1; // that a peer gets; it comes back for the next

    explicit Tries(int allowed = 1)
        : allowed_(allowed)
    { }
    /// At a peer. `sentTo`: what counts as used already, by whomever.
    Tries(std::vector<UpstreamId> sentTo, int lent, int allowed)
        : allowed_(std::min(allowed, static_cast<int>(sentTo.size()) + std::max(0, lent)))
        , before_(sentTo.size())
        , sentTo_(std::move(sentTo))
    { }

    [[nodiscard]] int allowed() const { return allowed_; }
    [[nodiscard]] int used() const { return static_cast<int>(sentTo_.size()) + unknown_; }
    [[nodiscard]] int left() const { return std::max(0, allowed_ - used() - reserved_); }
    [[nodiscard]] bool has(const UpstreamId &upstream) const { return std::find(sentTo_.begin(), sentTo_.end(), upstream) != sentTo_.end(); }
    /// Call before the first byte is sent. An upstream that had the request before costs no further try.
    void add(const UpstreamId &upstream)
    {
        if (!has(upstream)) {
            sentTo_.push_back(upstream);
        }
    }

    /// Sets tries aside for a peer until one of the release functions is called. Returns how many; 0: none is left.
    int reserve()
    {
        reserved_ = std::min(triesPerCall, left());
        return reserved_;
    }
    void release(std::span<const UpstreamId> used)
    {
        reserved_ = 0;
        for (const auto &upstream : used) {
            add(upstream);
        }
    }
    void releaseUnknown() { unknown_ += std::exchange(reserved_, 0); }
    void releaseUnused() { reserved_ = 0; }

    [[nodiscard]] const std::vector<UpstreamId> &sentTo() const { return sentTo_; } // known ones, of all hosts
    /// Those that this host itself added, at a peer.
    [[nodiscard]] std::vector<UpstreamId> own() const { return {sentTo_.begin() + static_cast<std::ptrdiff_t>(before_), sentTo_.end()}; }
    /// For a call to a peer: an empty id stands for each try that is used without a known upstream, or that the peer is not given. A peer of
    /// an older build knows no number of tries and counts these ids against its route.
    [[nodiscard]] std::vector<UpstreamId> sentToForPeer() const
    {
        auto ids = sentTo_;
        ids.resize(std::max(ids.size(), static_cast<std::size_t>(std::max(0, allowed_ - reserved_))));
        return ids;
    }

private:
    int allowed_;
    std::size_t before_ = 0; // of sentTo_, at a peer: used by other hosts
    int unknown_ = 0;        // given to peers that did not say what they used
    int reserved_ = 0;       // given to a peer that has the request
    std::vector<UpstreamId> sentTo_;
};

} // namespace baobabstall::serving
