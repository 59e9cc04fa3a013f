// serving/paces.h: how fast each replica works, relative to the median replica of its service, learnt from the answers of all hosts. No I/O.
//
// Index
//   PaceReference    the time that a service's replicas take as a rule, by prompt size and occupancy
//   PaceEvidence     what is known of one replica: a sum of log ratios and their weight, which age
//   Paces            learns from this host's answers, takes in what others learnt, and says which replicas count as slow
//
//   Paces paces;                                          // member of Node
//   paces.add({.upstream = id, .service = service, ...}, now); // an answer came whole
//   paces.onReport(from, scope, entries, now);            // from a peer, beside its loads
//   for (const auto &change : paces.refresh(replicas, now)) ... // every second: replicas that became slow or are no longer
//   const double pace = paces.pace(id);                   // 1: as the others; 0.5: takes twice the time
//   for (const auto &entry : paces.due(LoadScope::All, receivers, now)) ... // at most every second
//
// An answer gives up to two samples, each the logarithm of the expected time over the measured one: the time until the first event, and the mean
// time between events without the longest pause. A sample counts with no more than a bounded difference from what is known of the replica, and
// late samples that come close together count once, so a stall moves the pace little. A send that ends without an answer says nothing about pace.
//
// pace() changes in steps, and only where the evidence supports it: a replica is slow from slowBelow on, and again as the others from regainedAbove
// on. A host with a leader that reports paces takes the leader's, so that all hosts decide alike; else it has what it learnt itself.
#pragma once

#include <array>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string_view>
#include <vector>

#include <serving/loadexchange.h>
#include <serving/model.h>

namespace baobabstall::serving {

/// Least squares of the logarithm of a time over prompt size and occupancy, with recent samples weighing more. The slope over occupancy is bounded:
/// slow replicas are fuller than others, and a free slope would take that for the cause.
class PaceReference
{
public:
    static constexpr double minSamples = 8;

    void add(double promptTokens, double fill, double ms);
    /// Of the time in ms. Nothing while too few samples are known.
    [[nodiscard]] std::optional<double> expectedLog(double promptTokens, double fill) const;

private:
    static constexpr std::size_t features = 3; // constant, prompt, occupancy
    using Vector = std::array<double, features>;

    [[nodiscard]] static Vector featuresOf(double promptTokens, double fill);
    void solve();

    double samples_ = 0;                     // decayed
    std::array<Vector, features> squares_{}; // decayed sums of products of features
    Vector products_{};                      // and of each with the logarithm
    Vector slopes_{};
};

struct PaceEvidence {
    static constexpr Milliseconds halfLife{12'000};

    double weight = 0; // samples
    double sum = 0;    // of log ratios; below 0: slower than the reference
    Instant at;

    [[nodiscard]] PaceEvidence agedTo(Instant now) const;
    [[nodiscard]] double mean() const { return weight > 0 ? sum / weight : 0; }
    void add(const PaceEvidence &other, Instant now);
};

/// What a host tells others of one replica.
struct PaceEntry {
    UpstreamId upstream;
    double weight = 0;
    double meanLog = 0;
};

class Paces
{
public:
    static constexpr double slowBelow = 0.7;
    static constexpr double regainedAbove = 0.85;
    static constexpr double minSupport = 8;               // samples before a replica counts as slow
    static constexpr Milliseconds reportInterval{1'000};  // between reports, and of refresh()
    static constexpr std::size_t maxEntries = 32;         // in one report; the rest follows with the next
    static constexpr Milliseconds leaderLifetime{10'000}; // without a report the leader's evidence counts no more

    /// An answer that began and ended with one send.
    struct Answer {
        UpstreamId upstream;
        ServiceName service;
        double promptTokens = 0;
        double fill = 0;              // running requests per slot
        Milliseconds untilFirst{0};   // from the send to the first event, or to the whole answer
        Milliseconds rest{0};         // from the first event to the last
        Milliseconds longestPause{0}; // between two events
        int events = 0;
    };
    struct Replica {
        UpstreamId id;
        ServiceName service;
    };
    struct Change {
        UpstreamId id;
        ServiceName service;
        double pace = 1;
        double weight = 0;
        bool isSlow = false;
    };

    void add(const Answer &answer, Instant now);
    /// Expected time until the first event of a request to a replica as fast as the median one; 0: not known.
    [[nodiscard]] Milliseconds expectedFirst(const ServiceName &service, double promptTokens) const;
    /// Forgets replicas that are not among these, and works out which ones are slow. Returns those for which that changed.
    std::vector<Change> refresh(std::span<const Replica> replicas, Instant now);
    /// The pace that decisions use; changes in steps.
    [[nodiscard]] double pace(const UpstreamId &id) const;
    /// The pace as estimated by the last refresh(); 1 where nothing is known.
    [[nodiscard]] double estimate(const UpstreamId &id) const;
    void forget(const UpstreamId &id); // it restarted

    /// A leader's report (LoadScope::All) may be empty and says that it has all others' paces. Builds without paces send none.
    void onReport(const HostId &from, LoadScope scope, const std::vector<PaceEntry> &entries, Instant now);
    /// Whether this host leads its group: it then has the evidence itself and takes no other leader's word.
    void setLeading(bool isLeading) { isLeading_ = isLeading; }
    /// What is to be reported now to the receivers of this scope: what changed since the last report, and everything when one of them is new.
    [[nodiscard]] std::vector<PaceEntry> due(LoadScope scope, const std::vector<HostId> &receivers, Instant now);

private:
    using Table = std::map<UpstreamId, PaceEvidence>;
    struct References {
        PaceReference first;
        PaceReference step;
    };
    struct Learnt {
        double meanLog = 0; // relative to the median replica of the service
        double weight = 0;
        double pace = 1; // in steps
    };
    struct Sent {
        Table evidence;
        std::set<HostId> receivers;
    };

    void addSample(const UpstreamId &id, double logRatio, double weight, Instant now);
    void forgetOthers(std::span<const Replica> replicas);
    [[nodiscard]] bool hasLeader(Instant now) const { return !isLeading_ && leaderHeardAt_ && now - *leaderHeardAt_ <= leaderLifetime; }
    [[nodiscard]] Table groupEvidence(Instant now) const; // of this host and those that report to it
    [[nodiscard]] Table allEvidence(Instant now) const;
    [[nodiscard]] Table normalized(Table evidence) const; // relative to the median replica of each service
    [[nodiscard]] static bool isDue(LoadScope scope, const PaceEvidence &evidence, const PaceEvidence &sent);
    static void updatePace(Learnt &learnt);

    std::map<ServiceName, References> references_;
    std::map<UpstreamId, ServiceName> services_; // of the replicas known, by the last refresh()
    Table own_;
    std::map<UpstreamId, Instant> lateAt_; // of the last sample that was late beyond its bound
    std::map<HostId, Table> hosts_;
    std::map<HostId, Table> groups_;
    Table leader_;
    Table merged_; // of all hosts, by the last refresh()
    bool isLeading_ = false;
    std::optional<Instant> leaderHeardAt_;
    std::map<UpstreamId, Learnt> learnt_;
    std::map<LoadScope, Sent> sent_;
};

} // namespace baobabstall::serving
