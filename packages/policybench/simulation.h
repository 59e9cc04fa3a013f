// policybench/simulation.h: a region on virtual time. The tables, the load budget, placement and eviction are the real ones; engines,
// the weight store and the messages between hosts are small fakes.
//
// Index
//   Result            what one run measured
//   FakeEngine        continuous batching: a step takes longer the more requests share it
//   Simulation        one run of one policy over one list of arrivals
//   Policies          ours, and the three baselines
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <unordered_map>
#include <vector>

#include <engines/enginetableimpl.h>
#include <engines/loadbudget.h>
#include <placement/placement.h>
#include <policybench/workload.h>

namespace baobabstall::policybench {

struct Result {
    double stallP50 = 0; // ms from arrival to start over all counted requests; a refused one counts as Admission::maxQueueWait
    double stallP95 = 0;
    double stallP99 = 0;
    double waitShare = 0; // of the counted requests: did not start within a step, or were refused
    double loadsPerSecond = 0;
    double batchFill = 0; // requests running / concurrency, over the time in which an engine runs any
    double refusedShare = 0;
    double failedShare = 0; // cut by the restart of an engine
    double goodput = 0;     // counted requests that ended whole, a second of the measured time
    double worstPlan = 0;   // the least of the plans' shares of requests that were served; without the flooding plan
    std::size_t counted = 0;
};

constexpr Milliseconds messageDelay(1); // between hosts, and to engines and the store
constexpr int stepBaseMs = 20;          // time of a decoding step with one request
constexpr double stepSlopeMs = 0.5;     // more for each further request in the batch
constexpr Milliseconds typicalLoad(250);
constexpr int engineConcurrency = 16;
constexpr Milliseconds requestDeadline(30'000);
constexpr int entryHosts = 8; // owners of the engines, in turn

/// Events in order of time; equal times in order of insertion.
class Timeline
{
public:
    [[nodiscard]] Instant now() const { return now_; }
    void at(Instant when, std::function<void()> event) { events_.push({std::max(when, now_), next_++, std::move(event)}); }
    void after(Milliseconds delay, std::function<void()> event) { at(now_ + delay, std::move(event)); }
    void runUntil(Instant end)
    {
        while (!events_.empty() && events_.top().at <= end) {
            const Event event = events_.top();
            events_.pop();
            now_ = event.at;
            event.run();
        }
    }

private:
    struct Event {
        Instant at;
        std::uint64_t order = 0;
        std::function<void()> run;
        bool operator<(const Event &other) const { return std::pair(at, order) > std::pair(other.at, other.order); }
    };
    std::priority_queue<Event> events_;
    std::uint64_t next_ = 0;
    Instant now_;
};

class FakeEngine
{
public:
    explicit FakeEngine(Timeline &time)
        : time_(time)
    { }

    void run(const core::RequestId &id, const engines::EngineAdapterName &name, int steps, std::function<void(bool)> ended)
    {
        account();
        batch_.push_back({id, name, steps, std::move(ended)});
        if (!stepping_) {
            step();
        }
    }
    void restart()
    {
        account();
        const auto cut = std::exchange(batch_, {});
        held.clear();
        run_ = run_.next();
        for (const Member &member : cut) {
            member.ended(false);
        }
    }
    [[nodiscard]] engines::Listing list(int slots) const
    {
        engines::Listing listing{run_, slots, {}};
        for (const auto &name : held) {
            const auto running = std::count_if(batch_.begin(), batch_.end(), [&](const Member &member) { return member.name == name; });
            listing.adapters.push_back({name.text(), static_cast<int>(running)});
        }
        return listing;
    }
    [[nodiscard]] core::EngineStart start() const { return run_; }
    /// Adds up what ran until now.
    void account()
    {
        const Instant from = std::clamp(accountedTo_, measuredFrom, arrivalsEnd);
        const Instant to = std::clamp(time_.now(), measuredFrom, arrivalsEnd);
        const auto elapsed = static_cast<double>((to - from).count());
        runningMs += elapsed * static_cast<double>(batch_.size());
        busyMs += batch_.empty() ? 0 : elapsed;
        accountedTo_ = time_.now();
    }

    std::set<engines::EngineAdapterName> held;
    double runningMs = 0; // request-milliseconds
    double busyMs = 0;

private:
    struct Member {
        core::RequestId id;
        engines::EngineAdapterName name;
        int steps = 0;
        std::function<void(bool)> ended; // true: whole
    };

    void step()
    {
        stepping_ = !batch_.empty();
        if (!stepping_) {
            return;
        }
        const double took = stepBaseMs + stepSlopeMs * static_cast<double>(batch_.size() - 1);
        time_.after(Milliseconds(std::llround(took)), [this] {
            account();
            std::vector<Member> done;
            for (Member &member : batch_) {
                if (--member.steps <= 0) {
                    done.push_back(std::move(member));
                }
            }
            std::erase_if(batch_, [](const Member &member) { return member.steps <= 0; });
            for (const Member &member : done) {
                member.ended(true);
            }
            step();
        });
    }

    Timeline &time_;
    std::vector<Member> batch_;
    bool stepping_ = false;
    core::EngineStart run_{1};
    Instant accountedTo_;
};

/// Least recently used: the baselines' eviction.
class LeastRecentlyUsed
{
public:
    explicit LeastRecentlyUsed(Milliseconds) { }
    void used(const AdapterRef &adapter, double, Instant now) { usedAt_[adapter] = now; }
    [[nodiscard]] double ratePerSecond(const AdapterRef &, Instant) const { return 0; }
    [[nodiscard]] double value(const AdapterRef &adapter, Instant) const
    {
        const auto found = usedAt_.find(adapter);
        return found == usedAt_.end() ? 0 : static_cast<double>(found->second.sinceOrigin());
    }

private:
    std::unordered_map<AdapterRef, Instant> usedAt_;
};

/// What a policy sees of an engine when it chooses.
struct EngineView {
    const placement::Replica *replica = nullptr;
    std::function<engines::Hint()> probe;
    int load = 0; // running and waiting
};

struct Decision {
    std::size_t engine = 0;
    std::vector<std::size_t> prefetch;
};

/// Ours: the package `placement` over the engines' hints, decayed frequency, permits by worth.
class BaobabPolicy
{
public:
    using Eviction = engines::DecayedFrequency;
    static constexpr bool permitsByWorth = true;

    BaobabPolicy(const Deployment &deployment, const std::vector<placement::Replica> &replicas, std::uint64_t)
        : placement_({.profile = deployment.profile}, engineConcurrency)
    {
        placement_.replicas().assign(replicas);
        for (std::size_t index = 0; index < replicas.size(); ++index) {
            indexes_[replicas[index].id] = index;
        }
    }
    std::optional<Decision> choose(const AdapterRef &adapter, const std::vector<EngineView> &engines, Instant now)
    {
        const auto candidates = placement_.candidates(adapter, engines.front().replica->model, now);
        std::vector<placement::HintedCandidate> hinted;
        hinted.reserve(candidates.size());
        for (const auto *replica : candidates) {
            hinted.push_back({replica, engines[indexes_.at(replica->id)].probe()});
        }
        const auto choice = placement_.choose(hinted, placement_.isHot(adapter, now));
        if (!choice) {
            return std::nullopt;
        }
        Decision decision{indexes_.at(choice->replica->id), {}};
        for (const auto *replica : choice->prefetch) {
            decision.prefetch.push_back(indexes_.at(replica->id));
        }
        return decision;
    }
    void served(const AdapterRef &adapter, const placement::Replica &replica, Milliseconds runTime, Instant now)
    {
        const auto candidates = placement_.candidates(adapter, replica.model, now);
        if (!candidates.empty() && candidates[0].id == replica.id) {
            placement_.widths().onRequestFinished(adapter, runTime, now);
        }
    }

private:
    placement::Placement placement_;
    std::unordered_map<core::UpstreamId, std::size_t> indexes_;
};

/// What the baselines have in common. They run under the same queues, limits and store budget; permits go first come, first served.
class BaselinePolicy
{
public:
    using Eviction = LeastRecentlyUsed;
    static constexpr bool permitsByWorth = false;

    BaselinePolicy(const Deployment &, const std::vector<placement::Replica> &, std::uint64_t seed)
        : random_(seed)
    { }
    void served(const AdapterRef &, const placement::Replica &, Milliseconds, Instant) { }

protected:
    std::mt19937_64 random_;
};

class RandomPolicy : public BaselinePolicy
{
public:
    using BaselinePolicy::BaselinePolicy;
    std::optional<Decision> choose(const AdapterRef &, const std::vector<EngineView> &engines, Instant)
    {
        return Decision{static_cast<std::size_t>(random_() % engines.size()), {}};
    }
};

class FixedHashPolicy : public BaselinePolicy
{
public:
    FixedHashPolicy(const Deployment &deployment, const std::vector<placement::Replica> &replicas, std::uint64_t seed)
        : BaselinePolicy(deployment, replicas, seed)
    {
        replicas_.assign(replicas);
    }
    std::optional<Decision> choose(const AdapterRef &adapter, const std::vector<EngineView> &engines, Instant)
    {
        const auto candidates = replicas_.candidates(adapter, engines.front().replica->model, 1);
        for (std::size_t index = 0; index < engines.size(); ++index) {
            if (engines[index].replica->id == candidates[0].id) {
                return Decision{index, {}};
            }
        }
        return std::nullopt;
    }

private:
    placement::Replicas replicas_;
};

class LeastLoadedPolicy : public BaselinePolicy
{
public:
    using BaselinePolicy::BaselinePolicy;
    std::optional<Decision> choose(const AdapterRef &, const std::vector<EngineView> &engines, Instant)
    {
        std::vector<std::size_t> least;
        for (std::size_t index = 0; index < engines.size(); ++index) {
            if (least.empty() || engines[index].load < engines[least.front()].load) {
                least.clear();
            }
            if (least.empty() || engines[index].load == engines[least.front()].load) {
                least.push_back(index);
            }
        }
        return Decision{least[random_() % least.size()], {}};
    }
};

template<typename Policy>
class Simulation
{
public:
    Simulation(const Deployment &deployment, Scenario scenario, const std::vector<Arrival> &arrivals, std::uint64_t seed)
        : deployment_(deployment)
        , scenario_(scenario)
        , arrivals_(arrivals)
        , loads_{.perSecond = deployment.storePerSecond, .concurrent = deployment.storeConcurrent, .typical = typicalLoad}
        , admission_{.engineConcurrency = engineConcurrency}
        , replicas_(makeReplicas(deployment))
        , policy_(deployment, replicas_, seed)
        , budget_(core::Epoch(1), loads_, Instant())
        , records_(arrivals.size())
    {
        for (const auto &replica : replicas_) {
            const engines::EngineInfo info{replica.id, replica.model, deployment.slots, true};
            nodes_.push_back(std::make_unique<Node>(info, loads_, admission_, time_));
        }
    }

    Result run()
    {
        for (const auto &node : nodes_) {
            act(*node);
        }
        for (std::size_t index = 0; index < arrivals_.size(); ++index) {
            time_.at(arrivals_[index].at, [this, index] { arrive(index); });
        }
        if (scenario_ == Scenario::ReplicaRestart) {
            time_.at(eventAt, [this] { nodes_.front()->engine.restart(); });
        }
        time_.runUntil(arrivalsEnd + requestDeadline * 4);
        return measure();
    }

private:
    using Table = engines::BasicEngineTable<typename Policy::Eviction>;
    struct Node {
        Node(const engines::EngineInfo &info, const settings::Loads &loads, const settings::Admission &admission, Timeline &time)
            : table(info, core::Epoch(1), loads, admission)
            , engine(time)
        { }
        Table table;
        FakeEngine engine;
        std::uint64_t wake = 0;
    };
    enum class End : std::uint8_t { None, Whole, Cut, Refused };
    struct Record {
        Instant started;
        bool hasStarted = false;
        End end = End::None;
    };

    static std::vector<placement::Replica> makeReplicas(const Deployment &deployment)
    {
        std::vector<placement::Replica> replicas;
        replicas.reserve(static_cast<std::size_t>(deployment.replicas));
        for (int index = 0; index < deployment.replicas; ++index) {
            const core::ZoneId zone("zone-" + std::to_string(index % deployment.zones));
            replicas.push_back({core::UpstreamId("engine-" + std::to_string(index)), core::BaseModel("base"), zone});
        }
        return replicas;
    }
    [[nodiscard]] core::HostId hostOf(std::size_t engine) const { return core::HostId("entry-" + std::to_string(engine % entryHosts)); }
    [[nodiscard]] std::size_t indexOf(const Node &node) const { return indexOf(node.table.engine().id); }
    [[nodiscard]] std::size_t indexOf(const core::UpstreamId &id) const
    {
        const auto found = std::find_if(replicas_.begin(), replicas_.end(), [&](const auto &replica) { return replica.id == id; });
        return static_cast<std::size_t>(found - replicas_.begin());
    }

    void arrive(std::size_t index)
    {
        const Arrival &arrival = arrivals_[index];
        const AdapterRef adapter = adapterRef(arrival.adapter);
        std::vector<EngineView> views;
        views.reserve(nodes_.size());
        for (std::size_t engine = 0; engine < nodes_.size(); ++engine) {
            const Table &table = nodes_[engine]->table;
            views.push_back({&replicas_[engine],
                             [this, &table, &adapter] { return table.probe(adapter, time_.now()); },
                             static_cast<int>(table.runningCount() + table.waitingCount())});
        }
        const auto decision = policy_.choose(adapter, views, time_.now());
        if (!decision) {
            records_[index].end = End::Refused;
            return;
        }
        const Plan &plan = deployment_.plans[arrival.plan];
        Node &node = *nodes_[decision->engine];
        node.table.enqueue({core::RequestId(std::to_string(index)), adapter, plan.id, plan.share, arrival.at + requestDeadline}, time_.now());
        act(node);
        for (const std::size_t other : decision->prefetch) {
            nodes_[other]->table.prefetch(adapter, time_.now());
            act(*nodes_[other]);
        }
    }
    void act(Node &node)
    {
        for (const engines::Action &action : node.table.takeActions(time_.now())) {
            std::visit([&](const auto &each) { carryOut(node, each); }, action);
        }
        if (const auto next = node.table.nextDeadline(time_.now())) {
            const std::uint64_t wake = ++node.wake;
            time_.at(std::max(*next, time_.now() + Milliseconds(1)), [this, &node, wake] {
                if (wake == node.wake) {
                    act(node);
                }
            });
        }
    }
    /// An event at the node's table after a message's delay.
    template<typename Event>
    void tell(Node &node, Event event)
    {
        time_.after(messageDelay, [this, &node, event] {
            event(node.table);
            act(node);
        });
    }
    void carryOut(Node &node, const engines::StartRequest &start)
    {
        const auto index = static_cast<std::size_t>(std::stoul(start.id.value()));
        time_.after(messageDelay, [this, &node, start, index] {
            if (!node.engine.held.contains(start.name)) {
                tell(node, [this, start](Table &table) { table.adapterNotFound(start.id, time_.now()); });
                return;
            }
            Record &record = records_[index];
            record.started = time_.now();
            record.hasStarted = true;
            node.engine.run(start.id, start.name, arrivals_[index].steps, [this, &node, start, index](bool whole) { ended(node, start, index, whole); });
        });
    }
    void ended(Node &node, const engines::StartRequest &start, std::size_t index, bool whole)
    {
        records_[index].end = whole ? End::Whole : End::Cut;
        const Milliseconds runTime = time_.now() - records_[index].started;
        policy_.served(start.name.adapter, replicas_[indexOf(node)], runTime, time_.now());
        const auto how = whole ? engines::RequestEnd::Complete : engines::RequestEnd::Lost;
        tell(node, [this, start, how](Table &table) { table.finished(start.id, how, time_.now()); });
    }
    void carryOut(Node &, const engines::RefuseRequest &refuse) { records_[std::stoul(refuse.id.value())].end = End::Refused; }
    void carryOut(Node &, const engines::AbortRequest &abort) { records_[std::stoul(abort.id.value())].end = End::Cut; }
    void carryOut(Node &node, const engines::OrderLoad &order)
    {
        ++storeInFlight_;
        const bool counted = time_.now() >= measuredFrom && time_.now() < arrivalsEnd;
        loadCount_ += counted ? 1 : 0;
        const bool slow = scenario_ == Scenario::StoreSlowed && time_.now() >= eventAt && time_.now() < eventEnd;
        const double over = std::max(1.0, static_cast<double>(storeInFlight_) / deployment_.storeFullSpeed);
        const Milliseconds takes(std::llround(static_cast<double>(typicalLoad.count()) * over * (slow ? storeSlowdown : 1)));
        time_.after(messageDelay + takes, [this, &node, order, run = node.engine.start()] {
            --storeInFlight_;
            const bool crossed = run != node.engine.start();
            if (!crossed) {
                node.engine.held.insert(order.name);
            }
            const auto outcome = crossed ? engines::LoadOutcome::Unknown : engines::LoadOutcome::Loaded;
            tell(node, [this, order, outcome](Table &table) { table.loadEnded(order.name, outcome, time_.now()); });
        });
    }
    void carryOut(Node &node, const engines::OrderUnload &order)
    {
        time_.after(messageDelay, [this, &node, order] {
            const bool held = node.engine.held.erase(order.name) > 0;
            const auto outcome = held ? engines::UnloadOutcome::Unloaded : engines::UnloadOutcome::NotHeld;
            tell(node, [this, order, outcome](Table &table) { table.unloadEnded(order.name, outcome, time_.now()); });
        });
    }
    void carryOut(Node &node, const engines::RequestPermit &ask)
    {
        const engines::LoadPriority worth = Policy::permitsByWorth ? ask.priority : engines::LoadPriority{1, 0};
        const std::size_t index = indexOf(node);
        time_.after(messageDelay, [this, index, ask, worth] {
            budget_.requestPermit(hostOf(index), replicas_[index].id, ask.adapter, worth, time_.now());
            grant();
        });
    }
    void carryOut(Node &node, const engines::CancelPermitRequest &withdraw)
    {
        const std::size_t index = indexOf(node);
        time_.after(messageDelay, [this, index, withdraw] { budget_.cancelRequest(hostOf(index), replicas_[index].id, withdraw.adapter); });
    }
    void carryOut(Node &, const engines::ReleasePermit &permit)
    {
        time_.after(messageDelay, [this, permit] {
            budget_.release(permit.permit, time_.now());
            grant();
        });
    }
    void carryOut(Node &node, const engines::FetchListing &)
    {
        time_.after(messageDelay, [this, &node] {
            const auto listing = node.engine.list(deployment_.slots);
            tell(node, [this, listing](Table &table) { table.listed(listing, time_.now()); });
        });
    }
    void grant()
    {
        for (const engines::Grant &grant : budget_.takeGrants(time_.now())) {
            Node &node = *nodes_[indexOf(grant.engine)];
            tell(node, [this, grant](Table &table) { table.permitGranted(grant.adapter, grant.permit, time_.now()); });
        }
        if (const auto next = budget_.nextDeadline(time_.now())) {
            const std::uint64_t wake = ++grantWake_;
            time_.at(std::max(*next, time_.now() + Milliseconds(1)), [this, wake] {
                if (wake == grantWake_) {
                    grant();
                }
            });
        }
    }

    [[nodiscard]] Result measure()
    {
        Result result;
        std::vector<double> stalls;
        std::vector<double> offered(deployment_.plans.size());
        std::vector<double> served(deployment_.plans.size());
        double waited = 0;
        double refused = 0;
        double cut = 0;
        for (std::size_t index = 0; index < arrivals_.size(); ++index) {
            const Arrival &arrival = arrivals_[index];
            const bool fromFlooder = scenario_ == Scenario::PlanFlooding && arrival.plan == floodingPlan;
            if (arrival.at < measuredFrom || fromFlooder) {
                continue;
            }
            const Record &record = records_[index];
            const auto stall = record.hasStarted ? (record.started - arrival.at - messageDelay).count() : admission_.maxQueueWait.count();
            stalls.push_back(static_cast<double>(stall));
            waited += stall > stepBaseMs ? 1 : 0;
            refused += record.end == End::Refused ? 1 : 0;
            cut += record.end == End::Cut ? 1 : 0;
            offered[arrival.plan] += 1;
            served[arrival.plan] += record.end == End::Whole ? 1 : 0;
        }
        std::sort(stalls.begin(), stalls.end());
        const auto counted = static_cast<double>(stalls.size());
        const auto percentile = [&](double share) { return stalls[static_cast<std::size_t>(share * (counted - 1))]; };
        const double seconds = static_cast<double>((arrivalsEnd - measuredFrom).count()) / 1'000;
        result.counted = stalls.size();
        result.stallP50 = percentile(0.5);
        result.stallP95 = percentile(0.95);
        result.stallP99 = percentile(0.99);
        result.waitShare = waited / counted;
        result.refusedShare = refused / counted;
        result.failedShare = cut / counted;
        result.loadsPerSecond = loadCount_ / seconds;
        double runningMs = 0;
        double busyMs = 0;
        for (const auto &node : nodes_) {
            node->engine.account();
            runningMs += node->engine.runningMs;
            busyMs += node->engine.busyMs;
        }
        result.batchFill = runningMs / busyMs / engineConcurrency;
        result.worstPlan = 1;
        for (std::size_t plan = 0; plan < offered.size(); ++plan) {
            result.goodput += served[plan] / seconds;
            if (offered[plan] > 0) {
                result.worstPlan = std::min(result.worstPlan, served[plan] / offered[plan]);
            }
        }
        return result;
    }

    Deployment deployment_;
    Scenario scenario_;
    const std::vector<Arrival> &arrivals_;
    settings::Loads loads_;
    settings::Admission admission_;
    std::vector<placement::Replica> replicas_;
    Timeline time_;
    Policy policy_;
    engines::LoadBudget budget_;
    std::uint64_t grantWake_ = 0;
    std::vector<std::unique_ptr<Node>> nodes_;
    std::vector<Record> records_;
    int storeInFlight_ = 0;
    double loadCount_ = 0;
};

} // namespace baobabstall::policybench
