// tests/harness/world.h: a deployment with customers, plans and adapters, calls on their behalf, and what must hold of each answer.
//
// Index
//   World       a deployment with lists in force; calls by its customers
//   Outcomes    what callers were told, checked against what engines and services recorded
//
// Customers: "camp" and "shop", each with its own key, both on plan "gold": adapters "brief", "swell", "tides" and "cold-1" to
// "cold-20" in versions v1 and v2 of base-a, and the service "planning".
#pragma once

#include <mutex>
#include <set>
#include <string>
#include <vector>

#include <harness/deployment.h>

namespace baobabstall::harness {

/// What one customer's caller asked for and was told.
struct Call {
    std::string model; // of a completion; empty: a service call
    int tokens = 0;    // asked for
    std::string idempotencyKey;
    Answer answer;
    std::shared_ptr<Stream> stream; // of a streamed completion
    std::string daemon;             // that it entered through
    int kills = 0;                  // of that daemon, when the call began
    bool mayBeCut = false;          // that daemon was killed meanwhile, or was down or told to stop before the call began
};

/// Daemon settings under which members notice a death within a second, so that tests need not wait for the defaults.
[[nodiscard]] Json quickSettings();

class World : public Deployment
{
public:
    /// Starts it, publishes the lists, and returns when they are in force and each daemon has served a request.
    explicit World(const DeploymentOptions &options = {});

    // Lists.
    /// Appends a change of "customers" or "plans" based on `basedOn` (the newest accepted when absent); gives its offset.
    std::uint64_t publish(const std::string &list, const Json &patch, std::optional<std::uint64_t> basedOn = std::nullopt);
    [[nodiscard]] Json goldPlan(const std::vector<std::string> &versions) const;
    /// Whether this daemon lets the customer name the model.
    [[nodiscard]] bool offers(const std::string &daemon, const std::string &model);
    [[nodiscard]] bool everyDaemonOffers(const std::string &model, bool offered = true);

    // Calls. The customer is the part of the model before "/".
    Call complete(const std::string &daemon, const std::string &model, int tokens);
    /// Begins a stream; finish() gives it its answer.
    Call stream(const std::string &daemon, const std::string &model, int tokens);
    /// Waits for the stream's end and returns whether it is whole.
    bool finish(Call &call);
    /// Calls until one succeeds; for the time after a fault in which refusals are right. Gives the last call.
    Call completeAtLast(const std::string &daemon, const std::string &model, int tokens);
    Call book(const std::string &daemon, const std::string &idempotencyKey);
    std::future<Answer> bookLater(const std::string &daemon, const std::string &idempotencyKey);

    // Ownership, as the claims in the log say.
    [[nodiscard]] std::string ownerOf(const std::string &thing); // host of the newest claim; "" when none or released
    [[nodiscard]] std::vector<Json> claims();
    /// A daemon other than these.
    [[nodiscard]] std::string otherThan(const std::set<std::string> &hosts) const;
    /// Whether an engine holds the model, under any epoch.
    [[nodiscard]] bool holds(const std::string &engine, const std::string &model);

private:
    [[nodiscard]] bool isServing();
    [[nodiscard]] FieldList keyOf(const std::string &model) const;
    [[nodiscard]] Call callThrough(const std::string &daemon) const;
    void noteKills(Call &call) const;
    [[nodiscard]] std::uint64_t offsetOfRecord(const std::string &id);

    std::map<std::string, std::uint64_t> versions_; // newest accepted of each list
    int records_ = 0;
};

[[nodiscard]] std::string customerKey(const std::string &customer);

/// "" when the answer is whole and the caller's own, or an error that says clearly what happened; else what is wrong with it.
[[nodiscard]] std::string faultOf(const Call &call);
[[nodiscard]] bool succeeded(const Call &call);
[[nodiscard]] std::string requestIdOf(const Call &call);

/// What callers were told, to be compared with what really ran.
class Outcomes
{
public:
    void add(Call call);
    [[nodiscard]] std::size_t size() const;
    [[nodiscard]] std::size_t successes() const;
    /// Every broken rule, one line each: wrong or cut answers, "not run" that ran, a call executed twice, an eviction beneath a request.
    [[nodiscard]] std::vector<std::string> violations(World &world) const;

private:
    mutable std::mutex mutex_;
    std::vector<Call> calls_;
};

} // namespace baobabstall::harness
