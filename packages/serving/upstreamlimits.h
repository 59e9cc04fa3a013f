// serving/upstreamlimits.h: upstreams that named a number of requests a second for all hosts together, or said that they are brittle, as this
// host knows it. No I/O.
//
//   limits.onAnswer(id, limit, now, maxRefusals);   // each answer of the upstream; nothing: it named none
//   limits.onNotice(id, maxRefusals, namedAt);      // the owner of a brittle upstream tells all hosts
//   if (auto limit = limits.find(id)) ...           // a request needs a permit of the upstream's owner (sendrate.h, sendroom.h)
//   limits.block(id, now + wait);                   // the owner gave none
//   if (limits.isBlocked(id, now)) ...              // other upstreams are chosen meanwhile
#pragma once

#include <map>
#include <optional>
#include <set>

#include <serving/model.h>

namespace baobabstall::serving {

class UpstreamLimits
{
public:
    enum class Change : std::uint8_t { None, Begun, Changed, Ended };

    static constexpr double unlimited = 1e15; // requests a second; more than any upstream can name

    struct Limit {
        double perSecond = 0;                // of all hosts together; `unlimited`: the upstream names none
        Instant namedAt;                     // by the last answer with it
        std::optional<double> maxRefusals{}; // the upstream is brittle: it falls over when it refuses more requests in a second for want of room

        [[nodiscard]] bool isRate() const { return perSecond < unlimited; }
        /// The host knows of no limit, but has just started, so the owner may know of one.
        [[nodiscard]] bool isUnknown() const { return !isRate() && !maxRefusals; }
    };

    /// A limit ends with an answer that names none, but not within this after one that did: answers overtake each other, and a faulty one
    /// may lack its fields.
    static constexpr Milliseconds minDuration{1'000};

    Change onAnswer(const UpstreamId &id, std::optional<double> perSecond, Instant now, std::optional<double> maxRefusals = std::nullopt);
    /// Another host's answer said at `namedAt` that the upstream is brittle.
    Change onNotice(const UpstreamId &id, double maxRefusals, Instant namedAt);
    void end(const UpstreamId &id, Instant now); // its owner knows that the limit has ended
    void restart(const UpstreamId &id);          // the upstream started again: brittle until its answers say otherwise, as the others of its service
    void remove(const UpstreamId &id);           // it is gone

    [[nodiscard]] std::optional<Limit> find(const UpstreamId &id) const;
    /// Whether an answer or a notice told of this run of the upstream, with a limit or without.
    [[nodiscard]] bool isHeard(const UpstreamId &id) const { return heard_.contains(id); }
    [[nodiscard]] bool isRateLimited(const UpstreamId &id) const;
    /// When the last limit of the upstream ended; nothing: it had none.
    [[nodiscard]] std::optional<Instant> endedAt(const UpstreamId &id) const;
    void block(const UpstreamId &id, Instant until);
    [[nodiscard]] bool isBlocked(const UpstreamId &id, Instant now) const { return remainingBlock(id, now).count() > 0; }
    [[nodiscard]] Milliseconds remainingBlock(const UpstreamId &id, Instant now) const; // 0: none
    [[nodiscard]] std::size_t size() const { return entries_.size(); }
    [[nodiscard]] std::size_t brittleCount() const { return brittle_; }

private:
    struct Entry {
        Limit limit{unlimited, {}, {}};
        Instant rateNamedAt;
        Instant brittleNamedAt;
        Instant blockedUntil;
    };

    void setRefusals(Entry &entry, std::optional<double> maxRefusals);
    void erase(std::map<UpstreamId, Entry>::iterator entry);

    std::map<UpstreamId, Entry> entries_;
    std::map<UpstreamId, Instant> endedAt_;
    std::set<UpstreamId> heard_;
    std::size_t brittle_ = 0; // entries with maxRefusals
};

} // namespace baobabstall::serving
