#include <serving/streamexchange.h>

namespace baobabstall::serving {

namespace {

peers::StreamOriginEntry entryOf(const StreamOrigin &origin)
{
    return {origin.version.value(), origin.upstream, origin.service, origin.request, origin.send};
}

StreamOrigin originOf(const peers::StreamOriginEntry &entry)
{
    return {SoftwareVersion(entry.version), entry.upstream, entry.service, entry.request, entry.send};
}

} // namespace

bool StreamExchange::isSharedService(const ServiceName &service) const
{
    return !node_.versions.only(service, node_.longestStream, node_.now());
}

void StreamExchange::announce(const RequestId &id, const StreamOrigin &origin, Instant until)
{
    const auto now = node_.now();
    const auto hosts = records_.announce(id, origin, until, isSharedService(origin.service), now);
    if (links_ != nullptr) {
        for (const auto &host : hosts) {
            links_->notify(host, {peers::StreamOriginNotice{id, entryOf(origin), (until - now).count()}});
        }
    }
}

net::Task<FoundStream> StreamExchange::find(RequestId id)
{
    auto best = records_.lookUp(id, node_.now());
    std::vector<std::unique_ptr<peers::OutgoingCall>> calls;
    if (links_ != nullptr) {
        for (const auto &host : records_.keepers(id, StreamRecords::askedHosts)) {
            calls.push_back(links_->call(host, peers::StreamOriginCall{id}));
        }
    }
    best.asked = calls.size();
    const auto until = node_.now() + replyTimeout;
    for (const auto &call : calls) {
        core::Error why;
        const auto reply = co_await call->next(std::max(Milliseconds(1), until - node_.now()), why);
        const auto *answer = reply ? std::get_if<peers::StreamOriginReply>(&*reply) : nullptr;
        best.answered += answer != nullptr ? 1 : 0;
        if (answer != nullptr && answer->isKnown && (!best.origin || answer->origin.send > best.origin->send)) {
            best.origin = originOf(answer->origin);
            best.source = OriginSource::Asked;
            best.age = Milliseconds(answer->ageMs);
        }
    }
    co_return best;
}

void StreamExchange::tick()
{
    std::set<ServiceName> shared;
    for (const auto &service : node_.routes ? node_.routes->services() : std::vector<ServiceSpec>()) {
        if (!isSharedService(service.name)) {
            continue;
        }
        shared.insert(service.name);
        if (links_ == nullptr || sharedServices_.contains(service.name)) {
            continue;
        }
        const auto now = node_.now();
        for (const auto &[id, origin, until] : records_.takeUnshared(service.name, now)) {
            for (const auto &host : records_.keepers(id, StreamRecords::toldHosts)) {
                links_->notify(host, {peers::StreamOriginNotice{id, entryOf(origin), (until - now).count()}});
            }
        }
    }
    sharedServices_ = std::move(shared);
}

void StreamExchange::onNotice(const peers::StreamOriginNotice &notice)
{
    const auto now = node_.now();
    records_.hold(notice.id, originOf(notice.origin), now + Milliseconds(notice.remainingMs), now);
}

void StreamExchange::serve(peers::IncomingCall &call, const peers::StreamOriginCall &request)
{
    const auto found = records_.lookUp(request.id, node_.now());
    call.send(found.origin ? peers::StreamOriginReply{true, entryOf(*found.origin), found.age.count()} : peers::StreamOriginReply{});
}

} // namespace baobabstall::serving
