// capacity: state, messages and processor time of the decision classes at a quarter, a half and the whole of the target's size,
// with the slopes from which docs/CAPACITY.md is worked out. Then the bounds of one daemon; exit code 1 when one is broken.
//
// Everything is the shipped code; only the network between daemons and the platform are left out. One region of two is measured: half
// of the daemons and replicas.
#include <array>
#include <cstdio>
#include <functional>
#include <limits>
#include <memory>

#include <nlohmann/json.hpp>

#include <admission/planlimiter.h>
#include <calls/calls.h>
#include <engines/enginetable.h>
#include <engines/loadbudget.h>
#include <lists/lists.h>
#include <metrics/metrics.h>
#include <ownership/planner.h>
#include <peers/messages.h>
#include <placement/placement.h>
#include <platform/hosts.h>

#include "measure.h"
#include "network.h"

namespace {

using namespace baobabstall;
using capacity::Series;
using core::Instant;
using core::Milliseconds;
using core::Offset;

constexpr int regionDaemons = 210;
constexpr int regionReplicas = 440;
constexpr int regionZones = 3;       // the larger region of the two
constexpr int customerCount = 8'000; // with 23,000 adapters, 2 to 4 of each customer
constexpr int planCount = 40;
constexpr int partitionCount = 64;
constexpr double msPerSecond = 1'000;
constexpr std::array<double, 3> parts = {0.25, 0.5, 1};

/// One series for each quantity that `measure` gives, at three sizes.
template<std::size_t Quantities>
std::vector<Series> atThreeSizes(const std::string &role,
                                 const std::string &sizeOf,
                                 int target,
                                 const std::array<std::string, Quantities> &quantities,
                                 const std::function<std::array<double, Quantities>(int)> &measure)
{
    std::vector<Series> all;
    all.reserve(Quantities);
    for (const std::string &quantity : quantities) {
        all.push_back({role, quantity, sizeOf, {}, {}});
    }
    for (const double part : parts) {
        const int size = static_cast<int>(target * part);
        const auto values = measure(size);
        for (std::size_t i = 0; i < Quantities; ++i) {
            all[i].sizes.push_back(size);
            all[i].values.push_back(values[i]);
        }
    }
    return all;
}

core::UpstreamId engineId(int engine)
{
    return core::UpstreamId("engine-" + std::to_string(engine));
}

core::AdapterRef adapterOf(int number)
{
    return {core::CustomerId("customer-" + std::to_string(number)), core::AdapterName("summary"), core::AdapterVersion("v1")};
}

std::vector<Series> peer()
{
    constexpr Milliseconds settle{30'000};
    constexpr Milliseconds counted{60'000};
    return atThreeSizes<4>("peer",
                           "daemons",
                           regionDaemons,
                           {"state, bytes", "sent, bytes/s a daemon", "sent, messages/s a daemon", "processor, us/s a daemon"},
                           [&](int daemons) -> std::array<double, 4> {
                               const std::size_t before = capacity::heapBytes();
                               capacity::Network network(daemons, regionZones);
                               network.run(settle);
                               const auto state = static_cast<double>(capacity::heapBytes() - before) / daemons;
                               const auto bytes = network.bytes();
                               const auto messages = network.messages();
                               const double cpu = capacity::cpuMicroseconds();
                               network.run(counted);
                               const double each = daemons * static_cast<double>(counted.count()) / msPerSecond;
                               return {state,
                                       static_cast<double>(network.bytes() - bytes) / each,
                                       static_cast<double>(network.messages() - messages) / each,
                                       (capacity::cpuMicroseconds() - cpu) / each};
                           });
}

/// A zone stops: time until every other daemon believes all its daemons dead, and bytes meanwhile.
void zoneLoss()
{
    constexpr Milliseconds settle{30'000};
    constexpr Milliseconds step{500};
    constexpr int maxSteps = 240;
    capacity::Network network(regionDaemons, regionZones);
    network.run(settle);
    int stopped = 0;
    for (int i = 0; i < regionDaemons; ++i) {
        if (network.zoneOf(i) == 0) {
            network.stop(i);
            ++stopped;
        }
    }
    const auto bytes = network.bytes();
    int steps = 0;
    while (!network.deathsKnown() && steps < maxSteps) {
        network.run(step);
        ++steps;
    }
    const double seconds = steps * static_cast<double>(step.count()) / msPerSecond;
    const double each = static_cast<double>(network.bytes() - bytes) / (regionDaemons - stopped);
    std::printf("\na zone of %d of %d daemons stops: all others know after %.1f s%s; bytes sent meanwhile by each: %.0f (%.0f a second)\n",
                stopped,
                regionDaemons,
                seconds,
                steps == maxSteps ? " (NOT YET)" : "",
                each,
                each / seconds);
}

ownership::StreamRecord claimAt(std::uint64_t offset, const ownership::Resource &thing, int daemon)
{
    ownership::ClaimRecord record;
    record.id = capacity::daemonId(daemon).value() + "/" + std::to_string(offset);
    record.resource = thing;
    record.host = capacity::daemonId(daemon);
    record.incarnation = core::Incarnation(1);
    record.lastReadOffset = Offset(offset - 1);
    return {Offset(offset), 1'000, record};
}

std::vector<ownership::PlacedResource> thingsOf(int replicas)
{
    std::vector<ownership::PlacedResource> things{{ownership::loadBudgetResource(), {}}};
    for (int i = 0; i < partitionCount; ++i) {
        things.push_back({ownership::partitionResource(i), {}});
    }
    for (int i = 0; i < replicas; ++i) {
        things.push_back({ownership::engineResource(engineId(i)), capacity::zoneId(i % regionZones)});
    }
    return things;
}

std::vector<peers::Member> membersOf(int daemons)
{
    std::vector<peers::Member> members;
    members.reserve(static_cast<std::size_t>(daemons));
    for (int i = 0; i < daemons; ++i) {
        members.push_back(
            {capacity::daemonId(i), capacity::zoneId(i % regionZones), core::Incarnation(1), 0, peers::MemberState::Alive, peers::Listing::Listed});
    }
    return members;
}

std::vector<Series> owner()
{
    constexpr int ticks = 200;
    constexpr int changes = 20;
    return atThreeSizes<5>(
        "owner",
        "replicas",
        regionReplicas,
        {"state of claims, bytes", "one claim record, bytes", "reading all claims, us", "one tick, us", "one member change, us"},
        [&](int replicas) -> std::array<double, 5> {
            const int daemons = replicas * regionDaemons / regionReplicas;
            const auto things = thingsOf(replicas);
            auto members = membersOf(daemons);
            const std::size_t before = capacity::heapBytes();
            ownership::OwnershipPlanner planner({capacity::daemonId(0), capacity::zoneId(0), core::Incarnation(1)}, {}, Milliseconds(86'400'000));
            planner.setResources(things);
            planner.setMembers(members);
            std::vector<ownership::StreamRecord> records;
            std::size_t recordBytes = 0;
            for (std::size_t i = 0; i < things.size(); ++i) {
                records.push_back(claimAt(i + 1, things[i].resource, static_cast<int>(i) % daemons));
                recordBytes += toJson(*records.back().claim).size();
            }
            const double reading = capacity::cpuOf(1, [&](int) { planner.onRecords(Offset(1), Offset(records.size() + 1), records); });
            records = {};
            planner.onRecords(Offset(1), Offset(things.size() + 1), {});
            std::int64_t at = 1'000'000;
            const double tick = capacity::cpuOf(ticks, [&](int) { (void)planner.tick(Instant(at += 200)); });
            const auto state = static_cast<double>(capacity::heapBytes() - before);
            const double change = capacity::cpuOf(changes, [&](int i) {
                members[1].state = i % 2 == 0 ? peers::MemberState::Dead : peers::MemberState::Alive;
                planner.setMembers(members);
            });
            return {state, static_cast<double>(recordBytes) / static_cast<double>(things.size()), reading, tick, change};
        });
}

nlohmann::json customersPatch(int from, int to)
{
    nlohmann::json customers;
    for (int i = from; i < to; ++i) {
        const std::string name = "customer-" + std::to_string(i);
        customers[name] = {{"plan", "plan-" + std::to_string(i % planCount)}, {"keys", {lists::keyDigestText(lists::digestOfKey(name))}}};
    }
    return {{"customers", customers}};
}

nlohmann::json plansPatch()
{
    constexpr std::array<int, 8> adaptersOfPlan = {2, 3, 3, 3, 3, 3, 3, 3}; // 23,000 adapters of 8,000 customers
    nlohmann::json plans;
    for (int i = 0; i < planCount; ++i) {
        nlohmann::json adapters;
        for (int adapter = 0; adapter < adaptersOfPlan.at(static_cast<std::size_t>(i) % adaptersOfPlan.size()); ++adapter) {
            adapters["adapter-" + std::to_string(adapter)] = {{"versions", {"v1", "v2"}}, {"base_model", "base-" + std::to_string(i % 3)}};
        }
        plans["plan-" + std::to_string(i)] = {{"share", 1 + i % 4}, {"max_in_flight", 8}, {"adapters", adapters}, {"services", {"planning"}}};
    }
    return {{"plans", plans}};
}

/// Publishes a patch and applies it; gives the bytes of its records.
std::size_t publish(lists::ListsState &state, lists::ListName list, const nlohmann::json &patch, const std::string &group)
{
    core::Error why;
    const auto records = lists::ListsState::changeRecords(list, state.inForce(list).version, patch.dump(), "operator", group, why);
    std::size_t bytes = 0;
    for (const auto &record : *records) {
        const auto verdict = state.apply(state.position().next(), 1'000, record.text);
        if (verdict.kind == lists::Verdict::Kind::Rejected) {
            std::fprintf(stderr, "a list was rejected: %s\n", verdict.reason.c_str());
        }
        bytes += record.text.size();
    }
    return bytes;
}

std::vector<Series> readerOfLists()
{
    constexpr int lookups = 20'000;
    constexpr int changes = 50;
    return atThreeSizes<6>(
        "reader of lists",
        "customers",
        customerCount,
        {"state, bytes", "both lists whole, bytes", "one change, bytes", "one change, us", "identify and grant, us", "snapshot of both lists, us"},
        [&](int customers) -> std::array<double, 6> {
            const auto all = customersPatch(0, customers);
            const auto plans = plansPatch();
            const std::size_t before = capacity::heapBytes();
            lists::ListsState state;
            state.onCaughtUp();
            const std::size_t whole = publish(state, lists::ListName::Plans, plans, "plans") + publish(state, lists::ListName::Customers, all, "customers");
            const auto held = static_cast<double>(capacity::heapBytes() - before);
            std::vector<nlohmann::json> one;
            one.reserve(changes);
            for (int i = 0; i < changes; ++i) {
                one.push_back(customersPatch(customers + i, customers + i + 1));
            }
            std::size_t changeBytes = 0;
            const double change = capacity::cpuOf(changes, [&](int i) {
                changeBytes = publish(state, lists::ListName::Customers, one[static_cast<std::size_t>(i)], "change-" + std::to_string(i));
            });
            core::Error why;
            const auto digest = lists::digestOfKey("customer-5");
            const core::AdapterRef ref{core::CustomerId("customer-5"), core::AdapterName("adapter-1"), core::AdapterVersion("v1")};
            const double lookup = capacity::cpuOf(lookups, [&](int) {
                const auto customer = state.findCustomer(digest, why);
                (void)state.grant(*customer, ref, why);
            });
            const double snapshot = capacity::cpuOf(2, [&](int) {
                (void)state.snapshotRecords(lists::ListName::Customers, 2'000, "snapshot", why);
                (void)state.snapshotRecords(lists::ListName::Plans, 2'000, "snapshot", why);
            });
            return {held, static_cast<double>(whole), static_cast<double>(changeBytes), change, lookup, snapshot};
        });
}

std::vector<Series> entry()
{
    constexpr int choices = 20'000;
    return atThreeSizes<3>("entry",
                           "replicas",
                           2 * regionReplicas,
                           {"state of replicas, bytes", "candidates of an adapter, us", "one replica change, us"},
                           [&](int replicas) -> std::array<double, 3> {
                               const std::size_t before = capacity::heapBytes();
                               placement::Placement placement(settings::Placement{}, settings::Admission{}.engineConcurrency);
                               std::vector<placement::Replica> all;
                               for (int i = 0; i < replicas; ++i) {
                                   const int model = i % 3;
                                   all.push_back({engineId(i), core::BaseModel("base-" + std::to_string(model)), capacity::zoneId(i % regionZones)});
                               }
                               placement.replicas().assign(std::move(all));
                               const auto state = static_cast<double>(capacity::heapBytes() - before);
                               const core::BaseModel model("base-1");
                               const double choice = capacity::cpuOf(choices, [&](int i) { (void)placement.candidates(adapterOf(i), model, Instant(1)); });
                               const double change = capacity::cpuOf(100, [&](int i) { placement.replicas().setAvailable(engineId(1), i % 2 == 0); });
                               return {state, choice, change};
                           });
}

std::vector<Series> metricsOfEntry()
{
    return atThreeSizes<3>("entry",
                           "customers",
                           static_cast<int>(metrics::Metrics::maxCustomers),
                           {"state of metrics, bytes", "one scrape, bytes", "one scrape, us"},
                           [&](int customers) -> std::array<double, 3> {
                               const std::size_t before = capacity::heapBytes();
                               metrics::Metrics all;
                               for (int i = 0; i < customers; ++i) {
                                   const std::string customer = "customer-" + std::to_string(i);
                                   for (auto *histogram : {&all.loadStall, &all.queueWait, &all.timeToFirstToken, &all.timeBetweenTokens}) {
                                       histogram->observe({customer, "gold"}, Milliseconds(17));
                                   }
                               }
                               const auto state = static_cast<double>(capacity::heapBytes() - before);
                               std::size_t bytes = 0;
                               const double scrape = capacity::cpuOf(5, [&](int) { bytes = all.registry.text().size(); });
                               return {state, static_cast<double>(bytes), scrape};
                           });
}

std::vector<Series> limiterOfEntry()
{
    constexpr int requests = 50'000;
    return atThreeSizes<1>("entry", "plans", planCount, {"one request let in and given back, us"}, [&](int plans) -> std::array<double, 1> {
        admission::PlanLimiter limiter(settings::Admission{});
        std::map<core::PlanId, admission::PlanLimit> limits;
        for (int i = 0; i < plans; ++i) {
            limits[core::PlanId("plan-" + std::to_string(i))].share = 1;
        }
        limiter.setPlans(limits);
        const core::PlanId plan("plan-1");
        const core::CustomerId customer("customer-1");
        core::Error why;
        return {capacity::cpuOf(requests, [&](int i) {
            const auto slot = limiter.acquire(plan, customer, Instant(i), why);
            limiter.release(*slot, Instant(i));
        })};
    });
}

/// Requests on one engine with all its adapters resident, some of them waiting.
std::vector<Series> engineOwner()
{
    constexpr int requests = 5'000;
    return atThreeSizes<2>("engine owner", "waiting", 64, {"state of one engine, bytes", "one request, us"}, [&](int waiting) -> std::array<double, 2> {
        settings::Admission admission;
        admission.maxQueue = 2 * waiting;
        admission.maxQueueWait = Milliseconds(1'000'000);
        const std::size_t before = capacity::heapBytes();
        engines::EngineTable table({engineId(1), core::BaseModel("base-1"), 8, true}, core::Epoch(1), settings::Loads{}, admission);
        std::uint64_t permit = 0;
        std::int64_t at = 0;
        std::vector<core::RequestId> running;
        const auto act = [&] {
            for (auto actions = table.takeActions(Instant(at)); !actions.empty(); actions = table.takeActions(Instant(at))) {
                for (const auto &action : actions) {
                    if (const auto *start = std::get_if<engines::StartRequest>(&action)) {
                        running.push_back(start->id);
                    } else if (const auto *ask = std::get_if<engines::RequestPermit>(&action)) {
                        table.permitGranted(ask->adapter, engines::PermitId(++permit), Instant(at));
                    } else if (const auto *load = std::get_if<engines::OrderLoad>(&action)) {
                        table.loadEnded(load->name, engines::LoadOutcome::Loaded, Instant(at));
                    } else if (std::holds_alternative<engines::FetchListing>(action)) {
                        table.listed({core::EngineStart(1), 8, {}}, Instant(at));
                    }
                }
            }
        };
        int next = 0;
        const auto enqueue = [&] {
            const int adapter = ++next % 8;
            table.enqueue({core::RequestId("r-" + std::to_string(next)), adapterOf(adapter), core::PlanId("plan-1"), 1, Instant(at + 1'000'000)}, Instant(at));
            act();
        };
        act();
        for (int i = 0; i < waiting + admission.engineConcurrency; ++i) {
            enqueue();
        }
        const auto state = static_cast<double>(capacity::heapBytes() - before);
        const double each = capacity::cpuOf(requests, [&](int) {
            ++at;
            const core::RequestId done = running.back();
            running.pop_back();
            table.finished(done, engines::RequestEnd::Complete, Instant(at));
            act();
            enqueue();
        });
        return {state, each};
    });
}

std::vector<Series> loadBudgetOwner()
{
    return atThreeSizes<2>("load-budget owner",
                           "replicas",
                           regionReplicas,
                           {"state with an ask from each, bytes", "one ask and its grant, us"},
                           [&](int replicas) -> std::array<double, 2> {
                               const std::size_t before = capacity::heapBytes();
                               engines::LoadBudget budget(core::Epoch(1), settings::Loads{}, Instant(0));
                               std::int64_t at = 10'000;
                               const auto ask = [&](int i) {
                                   budget.requestPermit(capacity::daemonId(i % regionDaemons), engineId(i % replicas), adapterOf(i), {1.0, 0}, Instant(at));
                               };
                               for (int i = 0; i < replicas; ++i) {
                                   ask(i);
                               }
                               const auto state = static_cast<double>(capacity::heapBytes() - before);
                               int next = replicas;
                               const double each = capacity::cpuOf(1'000, [&](int) {
                                   ask(next++);
                                   at += 1'000;
                                   for (const auto &grant : budget.takeGrants(Instant(at))) {
                                       budget.release(grant.permit, Instant(at));
                                   }
                               });
                               return {state, each};
                           });
}

std::vector<Series> partitionOwner()
{
    constexpr int keys = 4'000;
    return atThreeSizes<3>("partition owner",
                           "keys",
                           keys,
                           {"state of one partition, bytes", "records of one call, bytes", "one call, us"},
                           [&](int count) -> std::array<double, 3> {
                               const std::size_t before = capacity::heapBytes();
                               calls::CallPartition partition(1, {capacity::daemonId(1), core::Incarnation(1)});
                               std::uint64_t offset = 0;
                               std::size_t bytes = 0;
                               std::function<void(const std::vector<calls::Action> &)> act = [&](const std::vector<calls::Action> &decisions) {
                                   for (const auto &decision : decisions) {
                                       if (const auto *append = std::get_if<calls::Append>(&decision)) {
                                           bytes += toJson(append->record).size();
                                           act(partition.onRecord(Offset(++offset), append->record));
                                       } else if (const auto *run = std::get_if<calls::Run>(&decision)) {
                                           act(partition.finished(run->key, {core::Outcome::Ran, 200, "application/json", std::string(200, 'x'), true}));
                                       }
                                   }
                               };
                               act(partition.beginOwnership(core::Epoch(5)));
                               act(partition.onCaughtUp());
                               bytes = 0;
                               const double each = capacity::cpuOf(count, [&](int i) {
                                   const calls::IdempotencyKey key{core::CustomerId("customer-" + std::to_string(i % 100)), "key-" + std::to_string(i)};
                                   const auto answer = partition.begin(key, static_cast<std::uint64_t>(i));
                                   if (const auto *append = std::get_if<calls::AppendIntent>(&answer)) {
                                       act({calls::Append{append->record}});
                                   }
                               });
                               return {static_cast<double>(capacity::heapBytes() - before), static_cast<double>(bytes) / count, each};
                           });
}

std::string hostList(int hosts)
{
    nlohmann::json list{{"as_of_ms", 1'700'000'000'000}, {"hosts", nlohmann::json::array()}};
    for (int i = 0; i < hosts; ++i) {
        nlohmann::json host{{"host", "host-" + std::to_string(i)}, {"region", "nl-centraal"}, {"zone", "nl-a"}, {"state", "live"}};
        if (i % 3 == 0) {
            host.update({{"kind", "daemon"}, {"peers", "10.1.2.3:4001"}, {"callers", "10.1.2.3:4000"}, {"operators", "10.1.2.3:4002"}});
        } else {
            host.update({{"kind", "engine"}, {"address", "10.1.2.4:5001"}, {"base_model", "base-a"}, {"slots", 8}, {"checks_fencing", true}});
        }
        list["hosts"].push_back(host);
    }
    return list.dump();
}

std::vector<Series> readerOfHosts()
{
    constexpr int targetHosts = 1'300; // 420 daemons and 880 replicas
    return atThreeSizes<2>("reader of hosts", "hosts", targetHosts, {"one read, bytes", "one read, us"}, [&](int hosts) -> std::array<double, 2> {
        const std::string text = hostList(hosts);
        core::Error why;
        return {static_cast<double>(text.size()), capacity::cpuOf(20, [&](int) { (void)platform::parseHostList(text, why); })};
    });
}

void printFrame(const char *name, const peers::Frame &frame)
{
    constexpr int times = 5'000;
    const std::string bytes = peers::encode(frame);
    core::Error why;
    const double cpu = capacity::cpuOf(times, [&](int) { (void)peers::decode(peers::encode(frame), why); });
    std::printf("  %-28s %6zu bytes, encode and decode %.1f us\n", name, bytes.size(), cpu);
}

void frames()
{
    const std::string adapter = "customer-5000/visit-summary@v17";
    const core::RequestId request("entry-17-1700000000000-123");
    std::printf("\nframes between daemons\n");
    printFrame("ProbeCall", peers::Call{17, peers::ProbeCall{engineId(500), adapter, core::PlanId("plan-1"), 2}});
    printFrame("HintReply", peers::Reply{17, peers::HintReply{2, 120, 0.5, 3, 1, true}});
    peers::RunCall run;
    run.request = request;
    run.engine = engineId(500);
    run.adapter = adapter;
    run.plan = core::PlanId("plan-1");
    run.path = "/v1/chat/completions";
    run.body = std::string(1'000, 'x');
    printFrame("RunCall, 1000 bytes of body", peers::Call{18, run});
    printFrame("StartedReply", peers::Reply{18, peers::StartedReply{adapter + "#123456", 10, 0}});
    printFrame("DataReply, 200 bytes", peers::Reply{18, peers::DataReply{std::string(200, 'x')}});
    printFrame("EndReply", peers::Reply{18, peers::EndReply{}});
    printFrame("PermitCall", peers::Call{19, peers::PermitCall{engineId(500), adapter, 3, 0.1}});
    printFrame("GrantReply", peers::Reply{19, peers::GrantReply{123'456'789}});
    printFrame("WidthNotice", peers::Notice{peers::WidthNotice{adapter, 4, 300'000}});
}

/// What one daemon may take at the target. A line that the page names as not fitting is not among them.
struct Bound {
    const char *what;
    double value;
    double limit;
};

double atTarget(const std::vector<Series> &all, const std::string &role, const std::string &quantity)
{
    for (const Series &each : all) {
        if (each.role == role && each.quantity.starts_with(quantity)) {
            return each.values.back();
        }
    }
    std::fprintf(stderr, "not measured: %s, %s\n", role.c_str(), quantity.c_str());
    return std::numeric_limits<double>::infinity();
}

double stateOfDaemon(const std::vector<Series> &all)
{
    constexpr double enginesOwned = 2.1;
    return atTarget(all, "entry", "state of replicas") + atTarget(all, "entry", "state of metrics") + atTarget(all, "peer", "state")
        + atTarget(all, "owner", "state") + atTarget(all, "reader of lists", "state") + atTarget(all, "load-budget owner", "state")
        + enginesOwned * atTarget(all, "engine owner", "state");
}

/// Gossip, and two probes with their hints for each request, as entry and as owner.
double sentBySecond(const std::vector<Series> &all)
{
    constexpr double requestsPerSecond = 3'800.0 / 420;
    constexpr double candidates = 2;
    constexpr double headers = 48; // WebSocket, TCP and IP
    const auto probe = peers::encode(peers::Call{17, peers::ProbeCall{engineId(500), "customer-5000/visit-summary@v17", core::PlanId("plan-1"), 2}});
    const auto hint = peers::encode(peers::Reply{17, peers::HintReply{2, 120, 0.5, 3, 1, true}});
    const double gossip = atTarget(all, "peer", "sent, bytes") + headers * atTarget(all, "peer", "sent, messages");
    return gossip + requestsPerSecond * candidates * static_cast<double>(probe.size() + hint.size());
}

bool checkBounds(const std::vector<Series> &all)
{
    constexpr double msInUs = 1'000;
    constexpr double mebibyte = 1024.0 * 1024.0;
    const std::vector<Bound> bounds = {{"candidates of an adapter, us", atTarget(all, "entry", "candidates"), 10},
                                       {"a replica's change, ms", atTarget(all, "entry", "one replica change") / msInUs, 10},
                                       {"a member's change, ms", atTarget(all, "owner", "one member change") / msInUs, 10},
                                       {"a list's change, ms", atTarget(all, "reader of lists", "one change, us") / msInUs, 10},
                                       {"state of the decision packages, MiB", stateOfDaemon(all) / mebibyte, 128},
                                       {"gossip and probes sent, bytes/s", sentBySecond(all), 5'000}};
    bool allHold = true;
    std::printf("\n%-44s %12s %12s\n", "at the target, one daemon", "value", "bound");
    for (const Bound &bound : bounds) {
        const bool holds = bound.value <= bound.limit;
        std::printf("%-44s %12.2f %12.2f  %s\n", bound.what, bound.value, bound.limit, holds ? "holds" : "BROKEN");
        allHold = allHold && holds;
    }
    return allHold;
}

} // namespace

int main()
{
    std::vector<Series> all;
    for (const auto &measure :
         {entry, metricsOfEntry, limiterOfEntry, engineOwner, loadBudgetOwner, partitionOwner, peer, owner, readerOfLists, readerOfHosts}) {
        const auto series = measure();
        all.insert(all.end(), series.begin(), series.end());
    }
    capacity::print(all);
    frames();
    zoneLoss();
    return checkBounds(all) ? 0 : 1;
}
