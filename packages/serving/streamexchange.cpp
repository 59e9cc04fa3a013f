#include <serving/streamexchange.h>

#include <algorithm>
#include <iterator>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>

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

/// One search; its calls end with it.
struct StreamExchange::RunningSearch {
    RunningSearch(boost::asio::io_context &io, const StreamSearch &begun)
        : search(begun)
        , signal(io)
    { }

    StreamSearch search;
    boost::asio::steady_timer signal; // of an answer
    std::vector<std::shared_ptr<peers::OutgoingCall>> calls;
};

void StreamExchange::announce(const RequestId &id, const StreamOrigin &origin, Instant until)
{
    records_.announce(id, origin, until, node_.now());
    if (links_ == nullptr) {
        return;
    }
    const auto isLinked = [this](const HostId &host) { return links_->isOpen(host); };
    for (const auto &host : records_.toTell(id, isLinked)) {
        links_->notify(host, {peers::StreamOriginNotice{id, entryOf(origin), (until - node_.now()).count()}});
    }
}

net::Task<FoundStream> StreamExchange::find(RequestId id, ServiceName service, Milliseconds patience)
{
    const auto askedAt = node_.now();
    const auto running = std::make_shared<RunningSearch>(node_.io, StreamSearch(records_.lookUp(id, askedAt), askedAt, patience));
    searches_.emplace(running.get(), running);
    auto &search = running->search;
    const bool isNamed = !id.empty();
    std::optional<StreamOrigin> stored;
    while (true) {
        const bool isUnknown = !search.result().origin;
        const bool hasOneVersion = isUnknown && node_.onlyVersion(service).has_value();
        const bool isProven = hasOneVersion && node_.provenVersion(service, askedAt).has_value();
        if (hasOneVersion && !isProven && node_.seekVersions) {
            node_.seekVersions(askedAt);
        }
        const bool mayBeStored = isNamed && isUnknown && !hasOneVersion;
        stored = mayBeStored ? keeper_.find(id) : std::nullopt;
        if (mayBeStored && !stored) {
            keeper_.refresh();
        }
        const bool isOver = search.timeLeft(node_.now()) <= Milliseconds(1);
        const bool awaitsStore = mayBeStored && keeper_.isRefreshing() && !isOver;
        const bool awaitsVersions = hasOneVersion && !isProven && !isOver;
        const bool isEnough = !isNamed || search.isDone(node_.now()) || (isProven && node_.now() - askedAt >= StreamSearch::upstreamTime);
        if (stored || (isEnough && !awaitsStore && !awaitsVersions)) {
            break;
        }
        if (links_ != nullptr && isNamed) {
            for (const auto &host : search.takeHosts(records_.keepers(id, StreamRecords::keptHosts), node_.now())) {
                boost::asio::co_spawn(node_.io, ask(running, host, id), boost::asio::detached);
            }
        }
        running->signal.expires_after(net::chronoOf(std::min(StreamSearch::stepTime, search.timeLeft(node_.now()))));
        co_await running->signal.async_wait(net::tuple);
    }
    searches_.erase(running.get());
    auto found = search.result();
    if (stored) {
        found.origin = stored;
        found.source = OriginSource::Stored;
    }
    for (const auto &call : running->calls) {
        call->cancel();
    }
    co_return found;
}

void StreamExchange::onVersionsRead(Instant askedAt)
{
    node_.versionsReadAt = std::max(node_.versionsReadAt, askedAt);
    for (const auto &[key, each] : searches_) {
        if (const auto running = each.lock()) {
            running->signal.cancel();
        }
    }
}

net::Task<void> StreamExchange::ask(std::shared_ptr<RunningSearch> running, HostId host, RequestId id)
{
    const std::shared_ptr<peers::OutgoingCall> call = links_->call(host, peers::StreamOriginCall{id});
    running->calls.push_back(call);
    core::Error why;
    const auto reply = co_await call->next(running->search.timeLeft(node_.now()), why);
    if (const auto *answer = reply ? std::get_if<peers::StreamOriginReply>(&*reply) : nullptr) {
        running->search.onAnswer(host,
                                 {.origin = answer->isKnown ? std::optional(originOf(answer->origin)) : std::nullopt,
                                  .source = OriginSource::Asked,
                                  .age = Milliseconds(answer->ageMs)});
    } else {
        running->search.onFailed(host, node_.now());
    }
    running->signal.cancel();
}

void StreamExchange::tick()
{
    const auto now = node_.now();
    bool mayNeedStored = false; // by a stream that nobody knows
    std::set<ServiceName> mixed;
    for (const auto &service : node_.routes ? node_.routes->services() : std::vector<ServiceSpec>()) {
        if (node_.onlyVersion(service.name)) {
            continue;
        }
        mayNeedStored = true;
        if (node_.versions.isMixed(service.name, node_.longestStream, now)) {
            mixed.insert(service.name);
        }
    }
    if (!std::includes(mixedServices_.begin(), mixedServices_.end(), mixed.begin(), mixed.end())) {
        keeper_.hurry();
    }
    mixedServices_ = std::move(mixed);
    if (!mayNeedStored) {
        keeper_.forget();
    }
    if (!keeper_.isDue()) {
        return;
    }
    std::vector<StoredStream> streams;
    const auto civilNow = core::civilMilliseconds();
    if (!mixedServices_.empty()) {
        for (const auto &[id, origin, until] : records_.begun([this](const ServiceName &service) { return mixedServices_.contains(service); }, now)) {
            streams.push_back({storedIdOf(id), origin.request, civilNow + (until - now).count(), origin.service, origin.version});
        }
    }
    keeper_.save(std::move(streams));
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
