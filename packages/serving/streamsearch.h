// serving/streamsearch.h: whom a host asks where a stream began that a caller takes up, and when it knows enough. No I/O.
//
//   StreamSearch search(records.lookUp(id, now), now, patience);
//   while (!search.isDone(now)) {
//       for (const auto &host : search.takeHosts(records.keepers(id, StreamRecords::keptHosts), now)) { ...ask it... }
//       ...wait for an answer, or for stepTime: hosts come and links open meanwhile...
//       search.onAnswer(host, found, now);   // what that host knows
//       search.onFailed(host, now);          // no link, or it was lost: the host is asked again
//   }
//   search.result()
//
// A record may be outdated at one of its keepers: a request that was sent to a second upstream before its first event is told again. So a record
// counts at once when this host began the stream or two hosts agree, and after settleTime or when all have answered otherwise. While no host
// knows the stream, those that have not answered are waited for as long as the caller's time allows: a refusal costs more than the wait.
#pragma once

#include <map>
#include <vector>

#include <serving/streamrecords.h>

namespace baobabstall::serving {

class StreamSearch
{
public:
    static constexpr Milliseconds settleTime{150}; // for other hosts to contradict the first that knows the stream; then more hosts are asked
    static constexpr Milliseconds retryDelay{100}; // before a host is asked again
    static constexpr Milliseconds stepTime{50};
    static constexpr Milliseconds upstreamTime{150}; // for learning at which upstream a stream began, when its version is known without that
    static constexpr int enoughHolders = 2;          // that agree

    /// `own`: what this host itself knows.
    StreamSearch(const FoundStream &own, Instant now, Milliseconds patience);

    /// The hosts to ask now; `keepers`: by this host's present view, in order.
    [[nodiscard]] std::vector<HostId> takeHosts(const std::vector<HostId> &keepers, Instant now);
    void onAnswer(const HostId &host, const FoundStream &found);
    void onFailed(const HostId &host, Instant now);
    [[nodiscard]] bool isDone(Instant now) const;
    [[nodiscard]] Milliseconds timeLeft(Instant now) const { return std::max(Milliseconds(1), beganAt_ + patience_ - now); }
    [[nodiscard]] const FoundStream &result() const { return best_; }

private:
    enum class State : std::uint8_t { Asked, Answered, Failed };
    struct Asked {
        State state = State::Asked;
        Instant failedAt;
    };

    void apply(const FoundStream &found);
    [[nodiscard]] bool isKnown() const { return best_.origin.has_value(); }
    [[nodiscard]] bool allAnswered() const;

    Instant beganAt_;
    Milliseconds patience_;
    FoundStream best_;
    int holders_ = 0;         // that agree with best_
    std::size_t keepers_ = 0; // at the last takeHosts()
    std::map<HostId, Asked> hosts_;
};

} // namespace baobabstall::serving
