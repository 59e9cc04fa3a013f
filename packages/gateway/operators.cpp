// The operators' endpoints of Daemon: health, status, lists, explain, metrics.
#include <gateway/daemon.h>

#include <nlohmann/json.hpp>

namespace baobabstall::gateway {

using nlohmann::json;

namespace {

constexpr int httpOk = 200;
constexpr int httpNotFound = 404;
constexpr int httpUnavailable = 503;
constexpr std::string_view explainPrefix = "/explain/";

std::string dump(const json &value)
{
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::string_view stateName(peers::MemberState state)
{
    switch (state) {
    case peers::MemberState::Alive:
        return "alive";
    case peers::MemberState::Suspect:
        return "suspect";
    case peers::MemberState::Dead:
        return "dead";
    case peers::MemberState::Leaving:
        return "leaving";
    }
    return "unknown";
}

json inForceJson(const lists::InForce &inForce)
{
    return {{"version", inForce.version.value()},
            {"known", inForce.isUpToDate},
            {"digest", lists::digestText(inForce.digest)},
            {"since_ms", inForce.sinceMs},
            {"by", inForce.publisher},
            {"entries", inForce.entryCount},
            {"diverged", inForce.diverged}};
}

} // namespace

net::Task<void> Daemon::handleOperators(net::Exchange &exchange)
{
    const auto path = std::string(exchange.request().path());
    if (path == "/healthz") {
        co_await exchange.respond(net::HttpResponse::json(httpOk, R"({"healthy":true})"));
    } else if (path == "/readyz") {
        co_await exchange.respond(net::HttpResponse::json(isReady() ? httpOk : httpUnavailable, dump({{"ready", isReady()}})));
    } else if (path == "/status") {
        co_await exchange.respond(net::HttpResponse::json(httpOk, statusBody()));
    } else if (path == "/metrics") {
        net::HttpResponse response;
        response.headers.set("Content-Type", "text/plain; version=0.0.4");
        response.body = metricsBody();
        co_await exchange.respond(std::move(response));
    } else if (path == "/lists") {
        co_await exchange.respond(net::HttpResponse::json(httpOk, listsBody()));
    } else if (path.starts_with(explainPrefix)) {
        const core::RequestId request(path.substr(explainPrefix.size()));
        const auto steps = node_.traces.find(request);
        co_await exchange.respond(steps ? net::HttpResponse::json(httpOk, traceBody(request, *steps))
                                        : net::HttpResponse::json(httpNotFound, R"({"error":{"message":"no trace of this request here"}})"));
    } else {
        co_await exchange.respond(
            net::HttpResponse::json(httpNotFound, R"({"error":{"message":"no such path; there are /healthz /readyz /status /lists /explain/ID /metrics"}})"));
    }
}

/// Sets the gauges to what is true now and gives the text.
std::string Daemon::metricsBody()
{
    auto &metrics = node_.metrics;
    for (const auto &[id, host] : engines_) {
        metrics.engineRunning.set({id.value()}, static_cast<double>(host->table().runningCount()));
        metrics.engineQueue.set({id.value()}, static_cast<double>(host->table().waitingCount()));
        metrics.engineSlotsUsed.set({id.value()}, static_cast<double>(host->table().residentAdapters().size()));
    }
    std::map<std::string_view, double> states = {{"alive", 0}, {"suspect", 0}, {"dead", 0}, {"leaving", 0}};
    for (const auto &member : node_.membership.members()) {
        states[stateName(member.state)] += 1;
    }
    for (const auto &[state, count] : states) {
        metrics.peers.set({state}, count);
    }
    for (const auto list : {lists::ListName::Customers, lists::ListName::Plans}) {
        const auto inForce = node_.lists.inForce(list);
        metrics.listVersion.set({lists::listNameText(list)}, static_cast<double>(inForce.version.value()));
        metrics.listSince.set({lists::listNameText(list)}, static_cast<double>(inForce.sinceMs) / 1000);
    }
    metrics.ownedThings.set({"engine"}, static_cast<double>(engines_.size()));
    metrics.ownedThings.set({"calls"}, static_cast<double>(partitions_.size()));
    metrics.ownedThings.set({"loads"}, budget_ ? 1 : 0);
    metrics.gossipBytes.add({}, static_cast<double>(node_.links->gossipBytes() - reportedGossipBytes_));
    reportedGossipBytes_ = node_.links->gossipBytes();
    metrics.logUp.set(logState_.lastError.empty() ? 1 : 0);
    metrics.ready.set(isReady() ? 1 : 0);
    return metrics.registry.text();
}

std::string Daemon::listsBody() const
{
    return dump(
        {{"customers", inForceJson(node_.lists.inForce(lists::ListName::Customers))}, {"plans", inForceJson(node_.lists.inForce(lists::ListName::Plans))}});
}

std::string Daemon::traceBody(const core::RequestId &request, const std::vector<TraceStep> &steps) const
{
    json list = json::array();
    for (const auto &step : steps) {
        list.push_back({{"at_ms", step.atMs}, {"step", core::stepName(step.step)}, {"peer", step.peer}, {"note", step.note}});
    }
    return dump({{"host", node_.settings.host.value()}, {"request_id", request.value()}, {"steps", std::move(list)}});
}

std::string Daemon::statusBody() const
{
    json members = json::array();
    for (const auto &member : node_.membership.members()) {
        members.push_back(
            {{"host", member.host.value()}, {"zone", member.zone.value()}, {"state", stateName(member.state)}, {"incarnation", member.incarnation.value()}});
    }
    json owned = json::array();
    for (const auto &[id, host] : engines_) {
        json resident = json::array();
        for (const auto &name : host->table().residentAdapters()) {
            resident.push_back(name.text());
        }
        owned.push_back({{"engine", id.value()},
                         {"epoch", host->epoch().value()},
                         {"running", host->table().runningCount()},
                         {"waiting", host->table().waitingCount()},
                         {"resident", std::move(resident)}});
    }
    json owners = json::object();
    for (const auto &[id, engine] : node_.engines) {
        const auto owner = node_.planner.ownerOf(ownership::engineResource(id));
        owners[id.value()]
            = owner ? json{{"host", owner->host.value()}, {"epoch", owner->epoch.value()}, {"usable", node_.planner.isUsable(*owner)}} : json(nullptr);
    }
    const auto budgetOwner = node_.planner.ownerOf(ownership::loadBudgetResource());
    return dump({{"host", node_.settings.host.value()},
                 {"zone", node_.settings.zone.value()},
                 {"region", node_.settings.region.value()},
                 {"version", BAOBABSTALL_VERSION},
                 {"incarnation", node_.incarnation.value()},
                 {"started_ms", node_.startedMs},
                 {"ready", isReady()},
                 {"stopping", node_.isStopping},
                 {"in_flight", node_.limiter.inFlight()},
                 {"members", std::move(members)},
                 {"engines_owned", std::move(owned)},
                 {"engine_owners", std::move(owners)},
                 {"load_budget_owner", budgetOwner ? json(budgetOwner->host.value()) : json(nullptr)},
                 {"partitions_owned", partitions_.size()},
                 {"lists", json::parse(listsBody())},
                 {"log", {{"error", logState_.lastError}, {"since_ms", logState_.sinceMs}}},
                 {"hosts", {{"error", hostsState_.lastError}, {"since_ms", hostsState_.sinceMs}, {"as_of_ms", hostsAsOfMs_}}},
                 {"links", node_.links->openLinks()},
                 {"gossip_bytes", node_.links->gossipBytes()}});
}

} // namespace baobabstall::gateway
