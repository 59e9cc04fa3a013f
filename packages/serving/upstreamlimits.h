// serving/upstreamlimits.h: upstreams that named a number of requests a second for all hosts together, as this host knows it. No I/O.
//
//   limits.onAnswer(id, limit, now);                // each answer of the upstream; nothing: it named no limit
//   if (auto limit = limits.find(id)) ...           // a request needs a permit of the upstream's owner (sendrate.h)
//   limits.block(id, now + wait);                   // the owner gave none
//   if (limits.isBlocked(id, now)) ...              // other upstreams are chosen meanwhile
#pragma once

#include <map>
#include <optional>

#include <serving/model.h>

namespace baobabstall::serving {

class UpstreamLimits
{
public:
    enum class Change : std::uint8_t { None, Begun, Changed, Ended };

    struct Limit {
        double perSecond = 0; // of all hosts together
        Instant namedAt;      // by the last answer with it
    };

    /// A limit ends with an answer that names none, but not within this after one that did: answers overtake each other, and a faulty one
    /// may lack its fields.
    static constexpr Milliseconds minDuration{1'000};

    Change onAnswer(const UpstreamId &id, std::optional<double> perSecond, Instant now);
    void end(const UpstreamId &id); // the upstream restarted or is gone, or its owner knows that the limit has ended

    [[nodiscard]] std::optional<Limit> find(const UpstreamId &id) const;
    void block(const UpstreamId &id, Instant until);
    [[nodiscard]] bool isBlocked(const UpstreamId &id, Instant now) const { return remainingBlock(id, now).count() > 0; }
    [[nodiscard]] Milliseconds remainingBlock(const UpstreamId &id, Instant now) const; // 0: none
    [[nodiscard]] std::size_t size() const { return entries_.size(); }

private:
    struct Entry {
        Limit limit;
        Instant blockedUntil;
    };

    std::map<UpstreamId, Entry> entries_;
};

} // namespace baobabstall::serving
