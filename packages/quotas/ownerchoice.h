// quotas/ownerchoice.h: which host to ask for credit of a partition: its owner as claimed, or a stand-in while that one is not known or silent. No I/O.
//
//   OwnerChoice choice("quotas-0", now);
//   const auto chosen = choice.choose(named, now, [&] { return hosts; }); // every tick; the hosts are only looked at when another one is to be asked
//   choice.onAnswer(now);                                                 // each grant that counts
//
// Any host that is asked acts as an owner: the bound holds for several at a time, because a host asks one of them and each fills only for those
// that ask it. That they agree only matters for how well credit finds those that want it, so all hosts take stand-ins in the same order, and each
// stays with one that answers.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include <core/types.h>

namespace baobabstall::quotas {

using core::HostId;
using core::Instant;
using core::Milliseconds;

class OwnerChoice
{
public:
    /// The owner as claimed in the store.
    struct Named {
        HostId host;
        core::Epoch epoch;

        friend bool operator==(const Named &, const Named &) = default;
    };

    static constexpr Milliseconds firstWait{1'500};    // for an owner to be named after the start; in fallback by then
    static constexpr Milliseconds silentAfter{1'000};  // without an answer of the named owner: more than two asks
    static constexpr Milliseconds standInAfter{600};   // the same of others, or when the owner is named no more: more than one ask
    static constexpr Milliseconds returnAfter{20'000}; // to a named owner that was silent; each change costs a time without credit
    static constexpr std::size_t maxStandIns = 4;

    OwnerChoice(std::string key, Instant now)
        : key_(std::move(key))
        , heardAt_(now)
    { }

    [[nodiscard]] std::optional<HostId> choose(const std::optional<Named> &named, Instant now, const std::function<std::vector<HostId>()> &hosts);
    void onAnswer(Instant now) { heardAt_ = now; }

private:
    [[nodiscard]] Milliseconds patience(const std::optional<Named> &named) const;
    [[nodiscard]] std::vector<HostId> order(std::vector<HostId> hosts) const;
    void moveTo(std::optional<HostId> host, Instant now);

    std::string key_;
    std::optional<Named> named_; // as last told
    std::optional<HostId> asked_;
    Instant heardAt_; // or since when it is asked
    Instant movedAt_;
};

} // namespace baobabstall::quotas
