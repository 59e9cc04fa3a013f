#include <gateway/node.h>

#include <core/hash.h>

namespace baobabstall::gateway {

namespace {

/// Differs between daemons and restarts, so that hosts do not act in step; nothing depends on its value.
std::uint64_t seedOf(const settings::Settings &settings, core::Incarnation incarnation)
{
    return core::hashText(settings.host.value(), incarnation.value());
}

} // namespace

Node::Node(asio::io_context &context, settings::Settings daemonSettings, core::Incarnation ownIncarnation, logging::Log daemonLog)
    : io(context)
    , settings(std::move(daemonSettings))
    , incarnation(ownIncarnation)
    , http(io)
    , membership({settings.host, settings.zone, incarnation}, settings.membership, seedOf(settings, incarnation))
    , planner({settings.host, settings.zone, incarnation}, settings.ownership, settings.platform.retention)
    , placement(settings.placement, settings.admission.engineConcurrency)
    , limiter(settings.admission)
    , retries(settings.retries)
    , log(std::move(daemonLog))
{ }

std::optional<ownership::Owner> Node::usableOwner(const ownership::Resource &thing) const
{
    auto owner = planner.ownerOf(thing);
    if (!owner || !planner.isUsable(*owner)) {
        return std::nullopt;
    }
    return owner;
}

int Node::daemonCount() const
{
    return std::max(1, static_cast<int>(listedDaemons.size()));
}

core::RequestId Node::newRequestId()
{
    ++requestCount;
    return core::RequestId(settings.host.value() + '-' + std::to_string(incarnation.value()) + '-' + std::to_string(requestCount));
}

core::RequestId Node::attemptId(const core::RequestId &request, int attempt)
{
    return core::RequestId(request.value() + '.' + std::to_string(attempt));
}

core::RequestId Node::requestOfAttempt(const core::RequestId &attempt)
{
    return core::RequestId(attempt.value().substr(0, attempt.value().rfind('.')));
}

void Node::trace(const core::RequestId &request, core::Step step, std::string peer, std::string note)
{
    traces.add(request, step, std::move(peer), std::move(note));
}

void Node::noteLeaving(const core::UpstreamId &upstream)
{
    if (leavingByWord.insert(upstream).second) {
        log.info("upstream_leaving", {{"peer", upstream}});
    }
    if (const auto engine = engines.find(upstream); engine != engines.end()) {
        engine->second.isLeaving = true;
    }
    if (const auto service = services.find(upstream); service != services.end()) {
        service->second.isLeaving = true;
    }
    updateAvailability();
}

void Node::noteAppend(bool isTaken, const core::Error &why)
{
    metrics.logCalls.add({"append", isTaken ? "ok" : why.outcome == core::Outcome::NotRun ? "refused" : "unknown"});
}

void Node::updateAvailability()
{
    for (const auto &[id, engine] : engines) {
        const bool hasOwner = usableOwner(ownership::engineResource(id)).has_value();
        placement.replicas().setAvailable(id, hasOwner && !engine.isLeaving);
    }
}

} // namespace baobabstall::gateway
