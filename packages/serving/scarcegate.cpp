#include <serving/scarcegate.h>

#include <algorithm>
#include <cmath>

#include <boost/asio/steady_timer.hpp>

namespace baobabstall::serving {

namespace asio = boost::asio;

namespace {

/// A place of another host's replica that is held: its call.
struct RemotePlace {
    std::unique_ptr<peers::OutgoingCall> call;
};

constexpr std::int64_t longestMs = 3'600'000; // in messages
constexpr Milliseconds assumedRoundTrip{5};   // until one is measured
constexpr double roundTripWeight = 0.1;       // of the last in the mean
constexpr Milliseconds longestRoundTrip{200}; // a longer one is a host that stood still
constexpr Milliseconds wantedInterval{100};   // between two looks whether a request still wants its place
const SendPermit unwanted{.isLimited = true, .isGranted = false};

Milliseconds bounded(std::int64_t ms, std::int64_t least = 0)
{
    return Milliseconds(std::clamp(ms, least, longestMs));
}

} // namespace

/// At the owner itself: gives the place back at its end.
struct ScarceGate::Hold {
    Hold(OwnedPtr at, SendHoldId place)
        : owned(std::move(at))
        , id(place)
    { }
    Hold(const Hold &) = delete;
    Hold &operator=(const Hold &) = delete;
    ~Hold() { owned->end(id, false); }

    OwnedPtr owned;
    SendHoldId id;
};

void ScarceGate::Owned::end(SendHoldId id, bool isLinkLost)
{
    const auto now = core::SteadyClock().now();
    waiters.erase(id);
    if (isLinkLost) {
        room.lose(id, now);
    } else {
        room.end(id, now);
    }
    if (gate != nullptr) {
        gate->settle(*this);
    }
}

ScarceGate::~ScarceGate()
{
    for (const auto &[id, at] : owned_) {
        at->gate = nullptr;
    }
}

ScarceGate::OwnedPtr ScarceGate::owned(const UpstreamId &id)
{
    auto &found = owned_[id];
    if (!found) {
        found = std::make_shared<Owned>();
        found->gate = this;
    }
    const auto *record = node_.replicas.find(id);
    found->room.setSlots(record == nullptr ? 1 : record->slots);
    return found;
}

void ScarceGate::settle(Owned &owned)
{
    const auto now = node_.now();
    for (const auto &outcome : owned.room.settle(now)) {
        const auto waiter = owned.waiters.extract(outcome.id);
        node_.metrics.scarceWait.observe({outcome.isGranted ? "granted" : "refused"}, waiter.empty() ? Milliseconds(0) : now - waiter.mapped().since);
        if (!outcome.isGranted) {
            node_.metrics.scarceTurn.observe({}, outcome.turn);
        }
        if (!waiter.empty()) {
            waiter.mapped().onOutcome(outcome);
        }
    }
}

void ScarceGate::begin(Owned &owned, SendHoldId id, Waiter waiter)
{
    waiter.since = node_.now();
    owned.waiters[id] = std::move(waiter);
    settle(owned);
    if (const auto waits = owned.waiters.find(id); waits != owned.waiters.end()) {
        waits->second.onWait(owned.room.expectedTurn(id));
    }
}

net::Task<SendPermit> ScarceGate::request(SendRequest request)
{
    const auto now = node_.now();
    const auto &terms = *request.scarce;
    const auto at = owned(request.upstream);
    at->room.learn(terms.work, Milliseconds(0));
    const auto id = at->room.request(
        {.rank = terms.rank, .mayRepeat = terms.mayRepeat, .onTimeBy = now + terms.untilLate, .deadline = now + request.timeLeft, .spread = terms.spread}, now);
    auto hold = std::make_shared<Hold>(at, id);
    const auto outcome = std::make_shared<std::optional<ScarceRoom::Outcome>>();
    const auto timer = std::make_shared<asio::steady_timer>(node_.io);
    const auto onOutcome = [outcome, timer](const ScarceRoom::Outcome &each) {
        *outcome = each;
        timer->cancel();
    };
    begin(*at, id, {.onOutcome = onOutcome, .onWait = [](Milliseconds) {}});
    while (!*outcome && node_.now() < now + request.timeLeft && terms.isWanted()) {
        timer->expires_after(net::chronoOf(wantedInterval));
        co_await timer->async_wait(net::tuple);
    }
    if (!*outcome) {
        node_.metrics.scarceAsks.add({"left"});
        co_return unwanted;
    }
    node_.metrics.scarceAsks.add({(*outcome)->isGranted ? "granted" : "refused"});
    SendPermit permit{.isGranted = (*outcome)->isGranted, .wait = (*outcome)->turn};
    if (permit.isGranted) {
        permit.wait = Milliseconds(0);
        permit.hold = std::move(hold);
    }
    co_return permit;
}

Milliseconds ScarceGate::roundTrip(const HostId &owner) const
{
    const auto known = roundTripMs_.find(owner);
    return known == roundTripMs_.end() ? assumedRoundTrip : Milliseconds(std::llround(known->second));
}

net::Task<std::optional<SendPermit>> ScarceGate::requestAtOwner(peers::Links &links, HostId owner, SendRequest request)
{
    const auto terms = *request.scarce;
    const auto begin = node_.now();
    peers::SendCall body{.upstream = request.upstream, .perSecond = UpstreamLimits::unlimited, .maxWaitMs = 0, .holdMs = request.timeLeft.count()};
    body.workMs = std::max<std::int64_t>(1, terms.work.count());
    body.roundTripMs = roundTrip(owner).count();
    body.untilLateMs = terms.untilLate.count();
    body.rank = terms.rank;
    body.mayRepeat = terms.mayRepeat;
    body.spread = terms.spread;
    auto place = std::make_shared<RemotePlace>();
    place->call = links.call(owner, body);
    auto timeout = firstAnswerTime;
    while (node_.now() < begin + request.timeLeft && terms.isWanted()) {
        core::Error why;
        const auto reply = co_await place->call->next(timeout, why);
        if (timeout == firstAnswerTime && reply) {
            const auto took = static_cast<double>(std::min(node_.now() - begin, longestRoundTrip).count());
            auto [known, isNew] = roundTripMs_.try_emplace(owner, took);
            known->second += (took - known->second) * roundTripWeight;
        }
        if (reply && std::holds_alternative<peers::WaitingReply>(*reply)) {
            timeout = wordTime;
            continue;
        }
        const auto *permit = reply ? std::get_if<peers::SendReply>(&*reply) : nullptr;
        if (permit == nullptr || !permit->isLimited) { // silent, no owner any more, or of an older build
            node_.metrics.scarceAsks.add({"unanswered"});
            co_return std::nullopt;
        }
        node_.metrics.scarceAsks.add({permit->isGranted ? "granted" : "refused"});
        SendPermit result{.isGranted = permit->isGranted, .wait = permit->isGranted ? Milliseconds(0) : bounded(permit->waitMs)};
        if (permit->isHeld) {
            result.hold = std::move(place);
        }
        co_return result;
    }
    node_.metrics.scarceAsks.add({"left"});
    co_return unwanted;
}

void ScarceGate::serve(const std::shared_ptr<peers::IncomingCall> &call, const peers::SendCall &request)
{
    constexpr int halves = 2;
    const auto now = node_.now();
    const auto at = owned(request.upstream);
    const auto way = std::min(bounded(request.roundTripMs), longestRoundTrip);
    at->room.learn(bounded(request.workMs), way);
    const auto asked = now - Milliseconds(way.count() / halves);
    const auto id = at->room.request({.rank = request.rank,
                                      .mayRepeat = request.mayRepeat,
                                      .onTimeBy = asked + bounded(request.untilLateMs, -longestMs),
                                      .deadline = asked + bounded(request.holdMs),
                                      .spread = request.spread},
                                     now);
    call->onCancel([at, id, call] { at->end(id, call->isLinkLost()); }); // the link itself does not keep the call
    const auto onOutcome = [call](const ScarceRoom::Outcome &each) { call->send(peers::SendReply{true, each.isGranted, each.turn.count(), each.isGranted}); };
    begin(*at, id, {.onOutcome = onOutcome, .onWait = [call](Milliseconds expected) { call->send(peers::WaitingReply{expected.count()}); }});
}

void ScarceGate::remove(const UpstreamId &id)
{
    const auto found = owned_.extract(id);
    if (found.empty()) {
        return;
    }
    found.mapped()->gate = nullptr;
    // Another host owns the replica: those that wait may ask again.
    for (const auto &[hold, waiter] : std::exchange(found.mapped()->waiters, {})) {
        found.mapped()->room.end(hold, node_.now());
        waiter.onOutcome({.id = hold});
    }
}

bool ScarceGate::needsStrongOwner(const Node &node, const ReplicaRecord &record)
{
    const auto *service = node.routes ? node.routes->service(record.service) : nullptr;
    return node.settings.hosting.ownerPlaces > 0 && service != nullptr && !service->engine;
}

void ScarceGate::tick(const ReportedLoad &reportedLoad)
{
    noteLoads(reportedLoad);
    for (const auto &[id, at] : std::map(owned_)) {
        settle(*at);
        for (const auto &[hold, waiter] : std::map(at->waiters)) {
            waiter.onWait(at->room.expectedTurn(hold));
        }
    }
}

void ScarceGate::logCrowd(bool isBegun, const ServiceName &service, const ServiceLoad &load, const WorkTimes &work) const
{
    if (isBegun) {
        node_.log.info("crowd_begun", {{"service", service}, {"running", load.running}, {"places", load.places}, {"work_ms", work.expected()}});
    } else {
        node_.log.info("crowd_ended", {{"service", service}, {"running", load.running}, {"places", load.places}});
    }
}

void ScarceGate::noteLoads(const ReportedLoad &reportedLoad)
{
    std::map<ServiceName, ServiceLoad> loads;
    for (const auto &id : node_.replicas.all()) {
        const auto *record = node_.replicas.find(id);
        const auto *service = node_.routes ? node_.routes->service(record->service) : nullptr;
        if (service == nullptr || service->engine || !node_.replicas.isUsable(id)) {
            continue;
        }
        auto &load = loads[record->service];
        const auto reported = reportedLoad(id);
        load.isKnown = load.isKnown && reported;
        load.running += reported.value_or(0);
        load.places += record->slots;
    }
    const auto now = node_.now();
    for (const auto &[service, load] : loads) {
        auto &work = node_.workTimes[service];
        const bool wasScarce = work.isNotedScarce();
        if (load.isKnown) {
            work.noteLoad(load.running, load.places, now);
        }
        if (work.noteScarce(now) != wasScarce) {
            logCrowd(!wasScarce, service, load, work);
        }
    }
}

} // namespace baobabstall::serving
