// serving/prefillturns.h: admits the prompts that all hosts send to one model replica in turn. No I/O.
//
// Index
//   PrefillRate      learns how fast the replicas of a service process prompts
//   PrefillTurns     the prompts admitted to one replica and those that wait
//
//   PrefillTurns turns;                                    // at the owner of the replica
//   turns.setLimit(tokens);
//   const auto turn = turns.request(promptTokens, startBy, now);
//   for (const auto started : turns.start(now)) ...        // these may be sent now
//   turns.end(turn);                                       // its first event arrived, or it was given up
//
// Prompts go in the order of claims.h, those alike by `startBy`. A prompt does not wait for less urgent ones that are being processed.
//
// A replica processes prompts between the tokens of its running streams, so prompts that arrive together pause all of its streams for the
// sum of their prefill times. The turns keep the prompts without a first event below a number of tokens. A prompt whose time is up starts
// in any case: turns shift work by a part of the latency objective, they refuse none.
#pragma once

#include <map>
#include <set>
#include <utility>
#include <vector>

#include <admission/usualrates.h>
#include <core/types.h>
#include <serving/claims.h>

namespace baobabstall::serving {

using core::Instant;
using core::Milliseconds;

/// Least squares of the time to the first event over the prompt's tokens, with recent requests weighing more. The slope is the time for each
/// token; the intercept takes up the wait and the first steps.
class PrefillRate
{
public:
    static constexpr double initialTokensPerMs = 38.1; // prefill rate of the replicas with the fastest specified engine; used until enough was seen
    static constexpr double minTokensPerMs = 2;
    static constexpr double maxTokensPerMs = 200;

    void add(double promptTokens, Milliseconds untilFirstEvent);
    [[nodiscard]] double tokensPerMs() const;

private:
    static constexpr double retention = 0.995; // weight of earlier samples for each new one: about 200 count
    static constexpr double minWeight = 30;    // samples

    double weight_ = 0;
    double tokens_ = 0;
    double times_ = 0;
    double tokensSquared_ = 0;
    double tokensTimes_ = 0;
};

using TurnId = core::Ordinal<struct TurnTag>;

class PrefillTurns
{
public:
    static constexpr Milliseconds maxTurn{2'000}; // a turn that was not ended by then is: its host may be gone

    void setLimit(double tokens) { limit_ = tokens; } // 0: none

    /// `startBy`: the prompt starts then whatever else runs.
    TurnId request(double promptTokens, Instant startBy, Instant now, Claimant claimant = {});
    void end(TurnId id);
    /// Starts what may start and returns it, in its order. Call after each request and end, and at each `startBy`.
    std::vector<TurnId> start(Instant now);
    /// Prompts that others went before, each once, since the last call.
    [[nodiscard]] std::vector<GivenWay> takeGivenWay() { return std::exchange(givenWay_, {}); }

    [[nodiscard]] bool isStarted(TurnId id) const;
    [[nodiscard]] std::size_t waiting() const { return waiting_.size(); }
    [[nodiscard]] double startedTokens() const { return startedTokens_; }

private:
    struct Waiter {
        double tokens = 0;
        Claimant claimant;
        bool hasGivenWay = false;
    };
    struct Started {
        double tokens = 0;
        Instant endsBy;
        Standing standing; // when it started
    };
    using Above = std::set<core::WorkspaceId>;
    using Waiting = std::map<std::pair<Instant, TurnId>, Waiter>; // by startBy

    void endOverdue(Instant now);
    /// The next one that may start now, or end().
    [[nodiscard]] Waiting::iterator next(const Above &above, Instant now);
    [[nodiscard]] bool hasRoom(double tokens, const Standing &standing) const;
    void noteGivenWay(Waiting::const_iterator starting, const Above &above);
    [[nodiscard]] static Standing standingOf(const Waiter &waiter, const Above &above) { return {waiter.claimant, waiter.claimant.isLate, above}; }

    double limit_ = 0; // tokens, 0: none; a longer prompt starts when nothing else is processed
    TurnId newest_;
    Waiting waiting_;
    std::map<TurnId, Started> started_;
    double startedTokens_ = 0;
    admission::UsualRates usual_; // tokens by workspace
    std::vector<GivenWay> givenWay_;
};

} // namespace baobabstall::serving
