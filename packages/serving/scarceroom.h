// serving/scarceroom.h: orders the requests that wait for one replica of a crowded plain service, over all hosts, at the host that owns the
// replica. No I/O.
//
//   ScarceRoom room;                                  // one for each owned replica that was asked for
//   room.setSlots(record.slots);
//   room.learn(workTime, roundTrip);                  // as each asking host measured them
//   const auto id = room.request(ask, now);
//   for (const auto &each : room.settle(now)) ...     // granted: send it now; else refused: `turn` is when to come again
//   room.end(id, now);                                // the request has ended or its caller has left; then settle()
//   room.lose(id, now);                               // its host can't be reached; the request may still be at the replica
//
// Order: that of claims.h; then what may not be repeated; then what is due earliest. A request that is not expected to end
// within its deadline is refused at once, also one that waits and was overtaken. What is expected counts those ahead, the time that a place is
// held, and the share of the places that recently went to requests which overtake it.
//
// A place is held from the permit to the word of the request's end, so there are as many more places than slots as are empty meanwhile
// because messages are on their way. The replica's own queue, of a few requests, takes up what comes at the same time.
#pragma once

#include <array>
#include <map>
#include <vector>

#include <admission/rates.h>
#include <admission/usualrates.h>
#include <serving/claims.h>
#include <serving/sendroom.h>

namespace baobabstall::serving {

/// What one request that asks for a place says of itself.
struct ScarceAsk {
    int rank = 0;             // lower: more urgent
    bool mayRepeat = false;   // false: it must not run twice
    Instant onTimeBy;         // when its host has to have the answer
    Instant deadline;         // the same, for it to be of any use
    std::uint64_t spread = 0; // a hash; spreads the times of refused requests
    WorkspaceId workspace = {};
};

class ScarceRoom
{
public:
    struct Outcome {
        SendHoldId id;
        bool isGranted = false;
        Milliseconds turn{0}; // of a refused request: when it would have had its turn, spread
    };

    static constexpr std::size_t maxWaiting = 512;    // those last in the order are refused beyond it
    static constexpr Milliseconds rateHalfLife{500};  // of what is known of overtaking requests
    static constexpr Milliseconds longestTurn{1'000}; // a later turn is no better known
    static constexpr Milliseconds leastTurn{50};      // before a refused request comes again

    void setSlots(int slots) { slots_ = std::max(1, slots); }
    void learn(Milliseconds work, Milliseconds roundTrip);
    SendHoldId request(const ScarceAsk &ask, Instant now);
    /// Whatever is due now: call it after each other call, and when time has passed.
    [[nodiscard]] std::vector<Outcome> settle(Instant now);
    void end(SendHoldId id, Instant now);
    void lose(SendHoldId id, Instant now);
    /// Until a request that waits would get its place.
    [[nodiscard]] Milliseconds expectedTurn(SendHoldId id) const;

    [[nodiscard]] int places() const;
    [[nodiscard]] int held() const { return static_cast<int>(held_.size()); }
    [[nodiscard]] std::size_t waiting() const { return waiting_.size(); }
    [[nodiscard]] Milliseconds holdTime() const { return Milliseconds(static_cast<std::int64_t>(holdMs_)); }

private:
    enum Class : std::uint8_t { OnceOnTime, OnTime, Late, ClassCount };
    using Rates = std::array<admission::DecayingCount, ClassCount>;

    struct Waiter {
        SendHoldId id;
        ScarceAsk ask;
        double turnMs = 0; // expected
        bool isLate = false;
    };
    struct Hold {
        Instant since;
        Instant until;
    };

    void expire(Instant now);
    void order(Instant now);
    void grantNext(Instant now, std::vector<Outcome> &outcomes);
    [[nodiscard]] double turnMs(std::size_t ahead, double overtaken) const;
    [[nodiscard]] double finishMs() const { return holdMs_ + spreadWeight * deviationMs_; }
    void updateShares(Instant now);
    [[nodiscard]] double overtaking(const Waiter &waiter) const; // share of the places
    [[nodiscard]] static Class classOf(const Waiter &waiter);
    [[nodiscard]] static Milliseconds spreadTurn(const Waiter &waiter);

    static constexpr double spreadWeight = 2; // deviations above the mean hold time in which a request mostly ends

    int slots_ = 1;
    double workMs_ = 0;
    double roundTripMs_ = 0;
    double holdMs_ = 0;
    double deviationMs_ = 0;
    std::size_t ended_ = 0;
    SendHoldId last_;
    std::vector<Waiter> waiting_; // in order after order()
    std::map<SendHoldId, Hold> held_;
    admission::UsualRates usual_;                          // places by workspace
    std::map<int, Rates> granted_;                         // recently, by rank
    std::map<int, std::array<double, ClassCount>> shares_; // of the places, which these take
};

} // namespace baobabstall::serving
