#include <serving/residency.h>

#include <algorithm>
#include <numbers>

namespace baobabstall::serving {

namespace {

constexpr std::size_t maxUsage = 4'096; // adapters whose use is remembered; over it those not used lately are forgotten
constexpr double idleAsks = 0.05;       // decayed asks below which they count as not used lately
constexpr Milliseconds reportRetry{300}; // after a report that could not be read
constexpr double msPerSecond = 1'000;

} // namespace

void LeaseBook::grant(const UpstreamId &replica, const AdapterKey &key, AdapterRevision revision, Instant until)
{
    leases_[replica][key] = {revision, until};
}

void LeaseBook::drop(const UpstreamId &replica, const AdapterKey &key)
{
    const auto found = leases_.find(replica);
    if (found != leases_.end()) {
        found->second.erase(key);
    }
}

void LeaseBook::drop(const UpstreamId &replica)
{
    leases_.erase(replica);
}

std::optional<LeaseBook::Lease> LeaseBook::find(const UpstreamId &replica, const AdapterKey &key, Instant now) const
{
    const auto found = leases_.find(replica);
    if (found == leases_.end()) {
        return std::nullopt;
    }
    const auto lease = found->second.find(key);
    return lease == found->second.end() || lease->second.until <= now ? std::nullopt : std::optional(lease->second);
}

void LeaseBook::expire(Instant now)
{
    for (auto &[replica, leases] : leases_) {
        std::erase_if(leases, [&](const auto &each) { return each.second.until <= now; });
    }
    std::erase_if(leases_, [](const auto &each) { return each.second.empty(); });
}

std::size_t LeaseBook::size() const
{
    std::size_t count = 0;
    for (const auto &[replica, leases] : leases_) {
        count += leases.size();
    }
    return count;
}

Residency::Residency(ResidencyOptions options, ModelSpec model)
    : options_(options)
    , model_(std::move(model))
{ }

Residency::Told Residency::ask(const AdapterKey &key, AdapterRevision atLeast, bool isNew, Instant now)
{
    if (isNew) {
        noteUse(key, now);
    }
    auto &newest = newest_[key];
    newest = std::max(newest, atLeast);
    const auto place = held_.find(key);
    const bool isReady = isKnown_ && hasModel_ && place != held_.end() && place->second.state == State::Held && place->second.revision >= newest;
    if (isReady) {
        const auto lease = rate(key, now) >= options_.frequentPerSecond ? options_.longLease : options_.shortLease;
        place->second.protectedUntil = std::max(place->second.protectedUntil, now + lease);
        return {Answer::Ready, place->second.revision, lease};
    }
    if (isNew) {
        auto &want = wants_[key];
        if (want.waiters++ == 0) {
            want.order = ++wantCount_;
        }
    }
    return {Answer::Waiting, {}, {}};
}

void Residency::withdraw(const AdapterKey &key)
{
    const auto want = wants_.find(key);
    if (want != wants_.end() && --want->second.waiters <= 0) {
        wants_.erase(want);
    }
}

void Residency::onRevision(const AdapterKey &key, AdapterRevision revision)
{
    auto &newest = newest_[key];
    newest = std::max(newest, revision);
}

void Residency::onInUse(const AdapterKey &key, Instant now)
{
    const auto place = held_.find(key);
    if (place != held_.end()) {
        place->second.protectedUntil = std::max(place->second.protectedUntil, now + options_.inUse);
    }
}

void Residency::onRestart(Instant now)
{
    isKnown_ = false;
    hasModel_ = false;
    modelComing_ = false;
    held_.clear();
    reportAt_ = now;
}

bool Residency::needsReport(Instant now) const
{
    return !isKnown_ && now >= reportAt_;
}

void Residency::onReport(const ReplicaReport &report, Instant now)
{
    auto before = std::move(held_);
    held_.clear();
    sequence_ = report.sequence;
    isKnown_ = true;
    hasModel_ = false;
    const auto add = [&](const AdapterKey &key, State state, AdapterRevision revision) {
        Place place;
        place.state = state;
        place.revision = revision;
        place.checkAt = now + options_.recheck;
        if (const auto known = before.find(key); known != before.end()) {
            place.protectedUntil = known->second.protectedUntil;
        } else {
            place.protectedUntil = now + options_.longLease; // an earlier owner may have promised it
        }
        held_[key] = place;
    };
    for (const auto &model : report.models) {
        hasModel_ = hasModel_ || model.name == model_.name;
        for (const auto &adapter : model.adapters) {
            add({model.name, adapter.name}, State::Held, adapter.revision);
        }
    }
    for (const auto &[key, revision] : report.underWay) {
        add(key, State::Coming, revision);
    }
    modelComing_ = modelComing_ && !hasModel_;
    if (report.isBusy && !hasModel_) {
        modelComing_ = true;
        modelCheckAt_ = now + options_.loadRecheck;
    }
}

void Residency::onReportFailed(Instant now)
{
    isKnown_ = false;
    reportAt_ = now + reportRetry;
}

std::optional<Order> Residency::nextOrder(bool mayLoadModel, Instant now)
{
    if (!isKnown_) {
        return std::nullopt;
    }
    if (!hasModel_) {
        const bool isDue = modelComing_ ? now >= modelCheckAt_ : mayLoadModel;
        return isDue ? std::optional(orderFor(OrderKind::LoadModel, {model_.name, {}}, {})) : std::nullopt;
    }
    if (auto check = dueCheck(now)) {
        return check;
    }
    // A replica takes no other order while an unload waits for its runs.
    const bool isGoing = std::any_of(held_.begin(), held_.end(), [](const auto &each) { return each.second.state == State::Going; });
    return isGoing ? std::nullopt : nextLoad(now);
}

std::optional<Order> Residency::dueCheck(Instant now) const
{
    for (const auto &[key, place] : held_) {
        if (place.state != State::Held && now >= place.checkAt) {
            return orderFor(place.state == State::Going ? OrderKind::UnloadAdapter : OrderKind::LoadAdapter, key, place.revision);
        }
    }
    return std::nullopt;
}

std::optional<Order> Residency::nextLoad(Instant now) const
{
    if (coming() >= options_.underWay) {
        return std::nullopt;
    }
    const AdapterKey *first = nullptr;
    std::uint64_t firstOrder = 0;
    for (const auto &[key, want] : wants_) {
        const auto place = held_.find(key);
        const bool isOut = place == held_.end();
        const bool isOld = !isOut && place->second.state == State::Held && place->second.revision < newest(key);
        if ((isOut || isOld) && (first == nullptr || want.order < firstOrder)) {
            first = &key;
            firstOrder = want.order;
        }
    }
    if (first != nullptr) {
        if (held_.contains(*first) || held_.size() < static_cast<std::size_t>(options_.places)) {
            return orderFor(OrderKind::LoadAdapter, *first, newest(*first));
        }
        if (const auto out = victim(now)) {
            return orderFor(OrderKind::UnloadAdapter, *out, {});
        }
    }
    for (const auto &[key, place] : held_) { // a newer revision of what is held, though nobody waits for it
        if (place.state == State::Held && place.revision < newest(key)) {
            return orderFor(OrderKind::LoadAdapter, key, newest(key));
        }
    }
    return std::nullopt;
}

std::optional<AdapterKey> Residency::victim(Instant now) const
{
    std::optional<AdapterKey> lowest;
    double lowestRate = 0;
    for (const auto &[key, place] : held_) {
        const bool isFree = place.state == State::Held && now >= place.protectedUntil && !wants_.contains(key);
        const double value = isFree ? rate(key, now) : 0;
        if (isFree && (!lowest || value < lowestRate)) {
            lowest = key;
            lowestRate = value;
        }
    }
    return lowest;
}

void Residency::onOrder(const Order &order, OrderOutcome outcome, Instant now)
{
    const auto &key = order.weights;
    const bool isModel = order.kind == OrderKind::LoadModel;
    if (outcome == OrderOutcome::Conflict && ++conflicts_ <= options_.patientConflicts) {
        const auto place = held_.find(key);
        if (place != held_.end() && place->second.state == State::Going) {
            place->second.checkAt = now + options_.recheck;
            return;
        }
    }
    conflicts_ = 0;
    if (outcome == OrderOutcome::Conflict || outcome == OrderOutcome::Refused || outcome == OrderOutcome::Unknown || outcome == OrderOutcome::Fenced
        || outcome == OrderOutcome::WrongReplica) {
        isKnown_ = false;
        reportAt_ = now + (outcome == OrderOutcome::Conflict || outcome == OrderOutcome::Unknown ? options_.settle : reportRetry);
        return;
    }
    if (isModel) {
        if (outcome == OrderOutcome::Begun) {
            sequence_ = modelComing_ ? sequence_ : sequence_.next();
            modelComing_ = true;
            modelCheckAt_ = now + options_.loadRecheck;
        } else {
            hasModel_ = true;
            modelComing_ = false;
        }
        return;
    }
    if (order.kind == OrderKind::UnloadAdapter) {
        auto &place = held_[key];
        if (place.state == State::Held) {
            sequence_ = sequence_.next();
            noteNearby(key);
        }
        if (outcome == OrderOutcome::Holds) {
            held_.erase(key);
        } else {
            place.state = State::Going;
            place.checkAt = now + options_.recheck;
        }
        return;
    }
    auto &place = held_[key];
    if (outcome == OrderOutcome::Begun) {
        const bool isRepeat = place.state == State::Coming && place.checkAt.sinceOrigin() > 0;
        if (!isRepeat) {
            sequence_ = sequence_.next();
        }
        place.checkAt = now + (isRepeat ? options_.recheck : isNearby(key) ? options_.nearFetch : options_.fetch);
        place.state = State::Coming;
        place.revision = std::max(order.revision, place.revision);
        return;
    }
    place.state = State::Held;
    place.revision = std::max({order.revision, place.revision, newest(key)});
    place.protectedUntil = std::max(place.protectedUntil, now + options_.shortLease);
    noteNearby(key);
    wants_.erase(key);
}

std::optional<Instant> Residency::nextDue() const
{
    std::optional<Instant> due;
    const auto add = [&due](Instant at) { due = due ? std::min(*due, at) : at; };
    if (!isKnown_) {
        return reportAt_;
    }
    if (!hasModel_) {
        add(modelComing_ ? modelCheckAt_ : Instant());
        return due;
    }
    bool hasUnmet = false;
    for (const auto &[key, place] : held_) {
        if (place.state != State::Held) {
            add(place.checkAt);
        }
    }
    for (const auto &[key, want] : wants_) {
        hasUnmet = hasUnmet || !held_.contains(key);
    }
    if (hasUnmet) { // a place becomes free when a promise ends
        for (const auto &[key, place] : held_) {
            if (place.state == State::Held) {
                add(place.protectedUntil);
            }
        }
    }
    return due;
}

bool Residency::isHeld(const AdapterKey &key) const
{
    const auto place = held_.find(key);
    return place != held_.end() && place->second.state == State::Held;
}

int Residency::coming() const
{
    return static_cast<int>(std::count_if(held_.begin(), held_.end(), [](const auto &each) { return each.second.state == State::Coming; }));
}

AdapterRevision Residency::newest(const AdapterKey &key) const
{
    const auto found = newest_.find(key);
    return found == newest_.end() ? AdapterRevision() : found->second;
}

Order Residency::orderFor(OrderKind kind, const AdapterKey &key, AdapterRevision revision) const
{
    return Order{kind, key, revision, sequence_};
}

double Residency::rate(const AdapterKey &key, Instant now) const
{
    const auto found = usage_.find(key);
    const double perMs = std::numbers::ln2 / static_cast<double>(options_.rateHalfLife.count());
    return found == usage_.end() ? 0 : found->second.asks.value(now) * perMs * msPerSecond;
}

void Residency::noteUse(const AdapterKey &key, Instant now)
{
    auto [found, isNew] = usage_.try_emplace(key, Usage{admission::DecayingCount(options_.rateHalfLife)});
    found->second.asks.add(now);
    if (isNew && usage_.size() > maxUsage) {
        forgetIdleUsage(now);
    }
}

void Residency::forgetIdleUsage(Instant now)
{
    std::erase_if(usage_, [&](const auto &each) { return each.second.asks.value(now) < idleAsks; });
}

void Residency::noteNearby(const AdapterKey &key)
{
    std::erase(nearby_, key);
    nearby_.push_back(key);
    while (nearby_.size() > static_cast<std::size_t>(options_.nearbyFactor * options_.places)) {
        nearby_.pop_front();
    }
}

bool Residency::isNearby(const AdapterKey &key) const
{
    return std::find(nearby_.begin(), nearby_.end(), key) != nearby_.end();
}

} // namespace baobabstall::serving
