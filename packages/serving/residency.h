// serving/residency.h: which adapters one model replica holds, and what its owner orders next. No I/O.
//
// Index
//   LeaseBook        an entry's side: where weights were promised to stay, and until when
//   Residency        the owner's side, one for each owned model replica
//
//   Residency residency(options);
//   auto told = residency.ask(key, atLeast, now);      // Ready: promised for told.lease; Waiting: ask again when changed; Refused
//   if (residency.needsReport(now)) { residency.onReport(report, now); }
//   while (auto order = residency.nextOrder(now)) { residency.onOrder(*order, outcome, now); }
//
// A promise (lease) says that the adapter is not unloaded before it ends, so an entry may send without asking again. Weights
// that are asked for often get long promises, others one that is long enough for a request to begin.
// Orders carry the number of orders accepted so far: one whose answer was lost either was carried out, and then the number
// differs, or will be refused when it comes late.
#pragma once

#include <deque>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

#include <admission/rates.h>
#include <serving/model.h>

namespace baobabstall::serving {

/// What an entry knows about weights at a replica.
class LeaseBook
{
public:
    struct Lease {
        AdapterRevision revision;
        Instant until;
    };
    void grant(const UpstreamId &replica, const AdapterKey &key, AdapterRevision revision, Instant until);
    void drop(const UpstreamId &replica, const AdapterKey &key);
    void drop(const UpstreamId &replica); // all of a replica that restarted or left
    [[nodiscard]] std::optional<Lease> find(const UpstreamId &replica, const AdapterKey &key, Instant now) const;
    void expire(Instant now);
    [[nodiscard]] std::size_t size() const;

private:
    std::unordered_map<UpstreamId, std::map<AdapterKey, Lease>> leases_;
};

struct ResidencyOptions {
    int places = 8;                 // adapters held or under way
    int underWay = 4;               // adapters on their way to one replica at a time (platform's rule)
    Milliseconds fetch{250};        // of an adapter from the store
    Milliseconds nearFetch{25};     // of one that the replica held lately
    int nearbyFactor = 6;           // adapters held lately that load fast, as a multiple of the places
    Milliseconds shortLease{300};   // for a request to begin
    Milliseconds longLease{3'000};  // for weights in frequent use
    double frequentPerSecond = 0.7; // asks a second that make weights frequent
    Milliseconds rateHalfLife{4'000};
    int fetches = 2;               // of adapters from the store for one replica at a time while the store is slow; more only slow each other down
    double slowFetch = 1.4;        // a mean fetch at this multiple of `fetch` tells that the store is slow
    Milliseconds recheck{20};      // at least, between looks whether a load that takes longer has ended
    double recheckShare = 0.15;    // of the time that it has taken so far, likewise
    int unanswered = 3;            // sends of one order without an answer, before the replica's report is read
    Milliseconds inUse{450};       // weights that a request uses are not chosen to go so long after its host told so last; two reports
    Milliseconds late{10'000};     // an order that was given up may still be carried out so long after (seconds, by the platform's rule)
    int patientConflicts = 20;     // while an unload waits for its runs; over it the replica's report is read
    Milliseconds run{500};         // that a request uses a place (swellcast-kgn-grown scale-2: p50 of 511 ms for an answer)
    double lateWorth = 0.2;        // of a request that is late already, against one that can be on time
    Milliseconds settle{400};      // after a disagreement, until the replica's report is as new as its last order (some hundred ms)
    Milliseconds loadRecheck{250}; // the same for base weights
};

class Residency
{
public:
    enum class Answer : std::uint8_t { Ready, Waiting };
    struct Told {
        Answer answer = Answer::Waiting;
        AdapterRevision revision; // with Ready
        Milliseconds lease;       // with Ready
    };

    Residency(ResidencyOptions options, ModelSpec model);

    /// Someone wants the weights now, and is late after `onTimeBy`. Repeated asks by one waiter count once when `isNew` is false.
    [[nodiscard]] Told ask(const AdapterKey &key, AdapterRevision atLeast, Instant onTimeBy, bool isNew, Instant now);
    void withdraw(const AdapterKey &key, Instant onTimeBy); // one waiter fewer; the time that it asked with
    /// How long weights that are not held yet are expected to take: until a place is free, with what waits before them, and the load.
    [[nodiscard]] Milliseconds expectedWait(const AdapterKey &key, Instant now) const;
    /// The same where it ends after `until`. Grows for a waiter that has become late, as others pass it.
    [[nodiscard]] std::optional<Milliseconds> waitBeyond(const AdapterKey &key, Instant until, Instant now) const;
    void onRevision(const AdapterKey &key, AdapterRevision revision);            // a newer one is in force
    void onInUse(const HostId &host, std::vector<AdapterKey> keys, Instant now); // all that requests of the host use now
    void onRestart(Instant now);                                                 // holds nothing, and its counts began anew

    [[nodiscard]] bool needsReport(Instant now) const;
    void onReport(const ReplicaReport &report, Instant now);
    void onReportFailed(Instant now);

    /// The next order, if any is due. One at a time: onOrder() before the next. `mayLoadModel`: base weights may be fetched now.
    [[nodiscard]] std::optional<Order> nextOrder(bool mayLoadModel, Instant now);
    void onOrder(const Order &order, OrderOutcome outcome, Instant now);
    /// When nextOrder() may have something without a further event. None: never.
    [[nodiscard]] std::optional<Instant> nextDue() const;

    [[nodiscard]] bool holdsModel() const { return hasModel_; }
    /// False once orders and reports go unanswered; true again with the next report.
    [[nodiscard]] bool isReached() const { return isReached_; }
    [[nodiscard]] bool isHeld(const AdapterKey &key) const;
    [[nodiscard]] std::size_t placesTaken() const { return held_.size(); }
    [[nodiscard]] std::size_t waiting() const { return wants_.size(); }

private:
    enum class State : std::uint8_t { Coming, Held, Going };
    struct Place {
        State state = State::Coming;
        AdapterRevision revision;
        Instant protectedUntil;
        Instant checkAt;            // Coming, Going: when to look whether it has ended
        Instant since;              // Coming: when the order was accepted
        bool isFetch = false;       // Coming: from the store
        bool isReplacement = false; // Coming: waits for the runs of an older revision
    };
    /// The replica refuses other orders meanwhile.
    [[nodiscard]] static bool isWaitingForRuns(const Place &place)
    {
        return place.state == State::Going || (place.state == State::Coming && place.isReplacement);
    }
    struct Want {
        std::vector<Instant> onTimeBy; // of each waiter
        std::uint64_t order = 0;       // who came first
    };
    /// Higher goes first: what serves more requests on time for the time that it takes a place, then who came first.
    struct Rank {
        double value = 0; // requests a second
        std::uint64_t order = 0;
        [[nodiscard]] bool isBefore(const Rank &other) const { return value != other.value ? value > other.value : order < other.order; }
    };
    struct Uses {
        std::vector<AdapterKey> keys;
        Instant until;
    };

    [[nodiscard]] double rate(const AdapterKey &key, Instant now) const;
    void noteUse(const AdapterKey &key, Instant now);
    void noteNearby(const AdapterKey &key);
    [[nodiscard]] bool isNearby(const AdapterKey &key) const;
    [[nodiscard]] Order orderFor(OrderKind kind, const AdapterKey &key, AdapterRevision revision) const;
    [[nodiscard]] std::optional<Order> dueCheck(Instant now) const;
    [[nodiscard]] std::optional<Order> nextLoad(Instant now) const;
    [[nodiscard]] std::optional<AdapterKey> victim(Instant now) const;
    [[nodiscard]] Instant mayGoAt(const AdapterKey &key, const Place &place) const; // as far as is known
    [[nodiscard]] Rank rankOf(const AdapterKey &key, const Want &want, Instant now) const;
    [[nodiscard]] bool isFetch(const AdapterKey &key) const; // it would have to come from the store
    [[nodiscard]] Milliseconds loadTime(const AdapterKey &key) const;
    [[nodiscard]] Milliseconds placeWait(std::size_t before, Instant now) const; // until a place is free that nobody before takes
    [[nodiscard]] bool isPressed() const;                                        // somebody waits for a place
    [[nodiscard]] double fetchTime() const;                                      // ms
    [[nodiscard]] int coming() const;
    [[nodiscard]] bool waitsForRuns() const;
    [[nodiscard]] int fetching() const;
    [[nodiscard]] int fetchLimit() const;
    void onModelOrder(OrderOutcome outcome, Instant now);
    void onUnload(const AdapterKey &key, OrderOutcome outcome, Instant now);
    void onLoad(const Order &order, OrderOutcome outcome, Instant now);
    void noteHeld(const AdapterKey &key, Place &place, Instant now);
    void doubt(Instant now, Milliseconds wait); // what the replica holds is not known any more
    [[nodiscard]] AdapterRevision newest(const AdapterKey &key) const;
    void forgetIdleUsage(Instant now);

    ResidencyOptions options_;
    ModelSpec model_;
    bool isKnown_ = false; // a report was read since the start, the last disagreement or restart
    bool isReached_ = true;
    bool hasModel_ = false;
    bool modelComing_ = false;
    Instant modelCheckAt_;
    Instant reportAt_; // not before
    OrderSequence sequence_;
    std::map<AdapterKey, Place> held_;
    std::map<AdapterKey, Want> wants_;
    std::map<AdapterKey, AdapterRevision> newest_;
    std::map<AdapterKey, admission::DecayingCount> usage_; // asks
    std::map<HostId, Uses> uses_;
    std::deque<AdapterKey> nearby_; // held lately, newest last
    std::uint64_t wantCount_ = 0;
    int conflicts_ = 0;          // in a row
    int unanswered_ = 0;         // sends of the last order that got no answer
    std::optional<Order> again_; // that order
    Instant lateUntil_;          // an order given up before may be carried out until then
    double fetchMs_ = 0;         // mean of recent fetches; 0: none yet
};

} // namespace baobabstall::serving
