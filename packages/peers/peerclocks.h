// peers/peerclocks.h: when something that another host dates by its own clock happened at the latest, by this host's clock. No I/O.
//
//   PeerClocks clocks;
//   if (clocks.isQueryDue(host, now)) { ...send now to the host, which answers with its clock... }
//   clocks.onAnswer(host, askedAt, peerTime, now);
//   clocks.earliest(host, peerTime); // not before this instant of this host's clock
//
// Monotonic clocks of two hosts differ by an unknown amount. The peer read its clock after it was asked, so one exchange bounds the amount
// from one side, however long the answer took. A message that waited on its way can therefore not pass for a recent one.
#pragma once

#include <map>
#include <optional>

#include <core/types.h>

namespace baobabstall::peers {

class PeerClocks
{
public:
    static constexpr core::Milliseconds queryInterval{5'000}; // between two queries to one host
    static constexpr core::Milliseconds retryInterval{500};   // the same while it has not answered
    static constexpr core::Milliseconds lifetime{30'000};     // of an answer: clocks that drift apart by 100 ppm differ by 3 ms after it

    /// Whether the host should be asked for its clock now; then counts it as asked.
    [[nodiscard]] bool isQueryDue(const core::HostId &host, core::Instant now);
    void onAnswer(const core::HostId &host, core::Instant askedAt, core::Instant peerTime, core::Instant now);
    /// The earliest instant at which the host's clock can have shown `peerTime`. Nothing without a recent answer.
    [[nodiscard]] std::optional<core::Instant> earliest(const core::HostId &host, core::Instant peerTime, core::Instant now) const;

private:
    struct Entry {
        core::Instant queriedAt;
        std::optional<core::Instant> answeredAt;
        core::Milliseconds offset; // lower bound of this host's clock minus the peer's
    };

    std::map<core::HostId, Entry> entries_;
};

} // namespace baobabstall::peers
