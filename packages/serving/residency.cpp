#include <serving/residency.h>

#include <algorithm>
#include <numbers>

namespace baobabstall::serving {

namespace {

constexpr std::size_t maxUsage = 4'096;  // adapters whose use is remembered; over it those not used lately are forgotten
constexpr double idleAsks = 0.05;        // decayed asks below which they count as not used lately
constexpr Milliseconds reportRetry{300}; // after a report that could not be read
constexpr double msPerSecond = 1'000;
constexpr Milliseconds longestPatience{60'000}; // of a waiter that is only imagined

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

Residency::Told Residency::ask(const AdapterKey &key, AdapterRevision atLeast, Instant onTimeBy, bool isNew, Instant now)
{
    if (isNew) {
        noteUse(key, now);
    }
    auto &newest = newest_[key];
    newest = std::max(newest, atLeast);
    const auto place = held_.find(key);
    const bool isReady = isKnown_ && hasModel_ && place != held_.end() && place->second.state == State::Held && place->second.revision >= newest;
    if (isReady) {
        const bool isLong = rate(key, now) >= options_.frequentPerSecond && !isPressed();
        const auto lease = isLong ? options_.longLease : options_.shortLease;
        place->second.protectedUntil = std::max(place->second.protectedUntil, now + lease);
        return {Answer::Ready, place->second.revision, lease};
    }
    if (isNew) {
        auto &want = wants_[key];
        if (want.onTimeBy.empty()) {
            want.order = ++wantCount_;
        }
        want.onTimeBy.push_back(onTimeBy);
    }
    return {Answer::Waiting, {}, {}};
}

void Residency::withdraw(const AdapterKey &key, Instant onTimeBy)
{
    const auto want = wants_.find(key);
    if (want == wants_.end()) {
        return;
    }
    auto &waiters = want->second.onTimeBy;
    if (const auto waiter = std::find(waiters.begin(), waiters.end(), onTimeBy); waiter != waiters.end()) {
        waiters.erase(waiter);
    }
    if (waiters.empty()) {
        wants_.erase(want);
    }
}

void Residency::onRevision(const AdapterKey &key, AdapterRevision revision)
{
    auto &newest = newest_[key];
    newest = std::max(newest, revision);
}

void Residency::onInUse(const HostId &host, std::vector<AdapterKey> keys, Instant now)
{
    uses_[host] = {std::move(keys), now + options_.inUse};
}

Instant Residency::mayGoAt(const AdapterKey &key, const Place &place) const
{
    Instant at = place.protectedUntil;
    for (const auto &[host, uses] : uses_) {
        if (std::find(uses.keys.begin(), uses.keys.end(), key) != uses.keys.end()) {
            at = std::max(at, uses.until);
        }
    }
    return at;
}

void Residency::onRestart(Instant now)
{
    isKnown_ = false;
    hasModel_ = false;
    modelComing_ = false;
    held_.clear();
    again_.reset();
    unanswered_ = 0;
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
    isReached_ = true;
    hasModel_ = false;
    const auto add = [&](const AdapterKey &key, State state, AdapterRevision revision) {
        Place place;
        place.state = state;
        place.revision = revision;
        place.checkAt = now + options_.recheck;
        place.since = state == State::Coming ? now : Instant();
        if (const auto known = before.find(key); known != before.end()) {
            place.protectedUntil = known->second.protectedUntil;
        } else {
            place.protectedUntil = now + options_.shortLease; // what an earlier owner promised for longer is asked for again after a 421
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
    isReached_ = false;
    isKnown_ = false;
    reportAt_ = now + reportRetry;
}

std::optional<Order> Residency::nextOrder(bool mayLoadModel, Instant now)
{
    if (!isKnown_) {
        return std::nullopt;
    }
    if (again_) {
        return again_;
    }
    if (!hasModel_) {
        const bool isDue = modelComing_ ? now >= modelCheckAt_ : mayLoadModel;
        return isDue ? std::optional(orderFor(OrderKind::LoadModel, {model_.name, {}}, {})) : std::nullopt;
    }
    if (auto check = dueCheck(now)) {
        return check;
    }
    // A replica takes no other order while an unload or a replacement waits for its runs.
    return waitsForRuns() ? std::nullopt : nextLoad(now);
}

std::optional<Order> Residency::dueCheck(Instant now) const
{
    const bool isBusy = waitsForRuns();
    for (const auto &[key, place] : held_) {
        if (place.state != State::Held && now >= place.checkAt && (!isBusy || isWaitingForRuns(place))) {
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
    const bool mayFetch = fetching() < fetchLimit();
    const AdapterKey *first = nullptr;
    Rank firstRank;
    for (const auto &[key, want] : wants_) {
        const auto place = held_.find(key);
        const bool isOld = place != held_.end() && place->second.state == State::Held && place->second.revision < newest(key);
        const auto rank = rankOf(key, want, now);
        if ((place == held_.end() || isOld) && (!isFetch(key) || mayFetch) && (first == nullptr || rank.isBefore(firstRank))) {
            first = &key;
            firstRank = rank;
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
        const bool isFree = place.state == State::Held && !wants_.contains(key) && now >= mayGoAt(key, place);
        const double value = isFree ? rate(key, now) : 0;
        if (isFree && (!lowest || value < lowestRate)) {
            lowest = key;
            lowestRate = value;
        }
    }
    return lowest;
}

void Residency::doubt(Instant now, Milliseconds wait)
{
    if (unanswered_ > 0) {
        lateUntil_ = now + options_.late;
    }
    isReached_ = isReached_ && unanswered_ < options_.unanswered;
    isKnown_ = false;
    reportAt_ = now + wait;
    conflicts_ = 0;
    unanswered_ = 0;
    again_.reset();
}

bool Residency::waitsForRuns() const
{
    return std::any_of(held_.begin(), held_.end(), [](const auto &each) { return isWaitingForRuns(each.second); });
}

void Residency::onOrder(const Order &order, OrderOutcome outcome, Instant now)
{
    const auto place = held_.find(order.weights);
    const bool isWaiting = place != held_.end() && isWaitingForRuns(place->second);
    if (outcome == OrderOutcome::Unknown && ++unanswered_ < options_.unanswered) {
        again_ = order;
        return; // sent again as it is: the number of orders in it lets only one of the two be carried out
    }
    again_.reset();
    if (outcome == OrderOutcome::Conflict && unanswered_ > 0 && now >= lateUntil_) {
        outcome = OrderOutcome::Begun; // the one without an answer was carried out
    }
    if (outcome == OrderOutcome::Conflict && isWaiting && ++conflicts_ <= options_.patientConflicts) {
        place->second.checkAt = now + options_.recheck;
        return;
    }
    if (outcome != OrderOutcome::Begun && outcome != OrderOutcome::Holds) {
        isReached_ = isReached_ && outcome != OrderOutcome::Refused && outcome != OrderOutcome::WrongReplica;
        const bool mayBeLate = outcome == OrderOutcome::Conflict || outcome == OrderOutcome::Unknown;
        doubt(now, mayBeLate ? options_.settle : reportRetry);
        return;
    }
    unanswered_ = 0;
    conflicts_ = 0;
    switch (order.kind) {
    case OrderKind::LoadModel:
        onModelOrder(outcome, now);
        break;
    case OrderKind::UnloadAdapter:
        onUnload(order.weights, outcome, now);
        break;
    case OrderKind::LoadAdapter:
        onLoad(order, outcome, now);
        break;
    }
}

void Residency::onModelOrder(OrderOutcome outcome, Instant now)
{
    if (outcome == OrderOutcome::Begun) {
        sequence_ = modelComing_ ? sequence_ : sequence_.next();
        modelComing_ = true;
        modelCheckAt_ = now + options_.loadRecheck;
    } else {
        hasModel_ = true;
        modelComing_ = false;
    }
}

void Residency::onUnload(const AdapterKey &key, OrderOutcome outcome, Instant now)
{
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
}

void Residency::onLoad(const Order &order, OrderOutcome outcome, Instant now)
{
    const auto &key = order.weights;
    auto &place = held_[key];
    if (outcome == OrderOutcome::Holds) {
        place.revision = std::max(order.revision, place.revision); // not the newest known: that may have come after the order
        noteHeld(key, place, now);
        return;
    }
    const bool isRepeat = place.state == State::Coming && place.since.sinceOrigin() > 0;
    if (isRepeat) {
        const auto share = Milliseconds(static_cast<std::int64_t>(static_cast<double>((now - place.since).count()) * options_.recheckShare));
        place.checkAt = now + std::max(options_.recheck, share);
        return;
    }
    place.isReplacement = place.state == State::Held;
    place.isFetch = place.isReplacement || !isNearby(key);
    sequence_ = sequence_.next();
    place.since = now;
    place.checkAt = now + (place.isFetch ? options_.fetch : options_.nearFetch);
    place.state = State::Coming;
    place.revision = std::max(std::max(order.revision, place.revision), newest(key)); // the newest is loaded when none is named
}

void Residency::noteHeld(const AdapterKey &key, Place &place, Instant now)
{
    if (place.state == State::Coming && place.isFetch) {
        constexpr double weight = 0.2; // of the newest fetch in the mean
        const auto took = static_cast<double>((now - place.since).count());
        fetchMs_ = fetchMs_ == 0 ? took : fetchMs_ + (took - fetchMs_) * weight;
    }
    place.state = State::Held;
    place.isReplacement = false;
    place.since = Instant();
    place.protectedUntil = std::max(place.protectedUntil, now + options_.shortLease);
    noteNearby(key);
    wants_.erase(key);
}

bool Residency::isFetch(const AdapterKey &key) const
{
    return held_.contains(key) || !isNearby(key); // what is held is wanted in a newer revision
}

Milliseconds Residency::loadTime(const AdapterKey &key) const
{
    return isFetch(key) ? Milliseconds(static_cast<std::int64_t>(fetchTime())) : options_.nearFetch;
}

Residency::Rank Residency::rankOf(const AdapterKey &key, const Want &want, Instant now) const
{
    const auto takes = loadTime(key);
    double served = 0;
    for (const auto &onTimeBy : want.onTimeBy) {
        served += now + takes <= onTimeBy ? 1 : options_.lateWorth;
    }
    return {served * msPerSecond / static_cast<double>((takes + options_.run).count()), want.order};
}

double Residency::fetchTime() const
{
    return std::max(fetchMs_, static_cast<double>(options_.fetch.count()));
}

bool Residency::isPressed() const
{
    return held_.size() >= static_cast<std::size_t>(options_.places)
        && std::any_of(wants_.begin(), wants_.end(), [this](const auto &each) { return !held_.contains(each.first); });
}

Milliseconds Residency::placeWait(std::size_t before, Instant now) const
{
    const auto free = static_cast<std::size_t>(options_.places) - std::min<std::size_t>(options_.places, held_.size());
    if (before < free) {
        return Milliseconds(0);
    }
    std::vector<Milliseconds> waits; // until each place may be given to something else
    for (const auto &[key, place] : held_) {
        if (place.state == State::Held && !wants_.contains(key)) {
            waits.push_back(std::max(Milliseconds(0), mayGoAt(key, place) - now));
        }
    }
    const auto index = before - free;
    if (waits.empty()) {
        return options_.run * static_cast<std::int64_t>(index + 1);
    }
    std::sort(waits.begin(), waits.end());
    return waits[index % waits.size()] + options_.run * static_cast<std::int64_t>(index / waits.size());
}

Milliseconds Residency::expectedWait(const AdapterKey &key, Instant now) const
{
    const auto own = wants_.find(key);
    const auto ownRank = rankOf(key, own == wants_.end() ? Want{{now + longestPatience}, wantCount_ + 1} : own->second, now);
    int fetches = fetching();
    int nears = 0;
    for (const auto &[each, want] : wants_) {
        if (!held_.contains(each) && rankOf(each, want, now).isBefore(ownRank)) {
            ++(isFetch(each) ? fetches : nears);
        }
    }
    const double near = static_cast<double>(options_.nearFetch.count()) * (1 + nears);
    const double fetch = isFetch(key) ? fetchTime() * (1 + static_cast<double>(fetches) / fetchLimit()) : 0;
    const auto place = held_.contains(key) ? Milliseconds(0) : placeWait(static_cast<std::size_t>(nears + fetches - fetching()), now);
    return place + Milliseconds(static_cast<std::int64_t>(near + fetch));
}

std::optional<Milliseconds> Residency::waitBeyond(const AdapterKey &key, Instant until, Instant now) const
{
    const auto expected = expectedWait(key, now);
    return now + expected > until ? std::optional(expected) : std::nullopt;
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
                add(mayGoAt(key, place));
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

int Residency::fetchLimit() const
{
    return fetchMs_ > options_.slowFetch * static_cast<double>(options_.fetch.count()) ? options_.fetches : options_.underWay;
}

int Residency::fetching() const
{
    return static_cast<int>(
        std::count_if(held_.begin(), held_.end(), [](const auto &each) { return each.second.state == State::Coming && each.second.isFetch; }));
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
    return found == usage_.end() ? 0 : found->second.value(now) * perMs * msPerSecond;
}

void Residency::noteUse(const AdapterKey &key, Instant now)
{
    auto [found, isNew] = usage_.try_emplace(key, options_.rateHalfLife);
    found->second.add(now);
    if (isNew && usage_.size() > maxUsage) {
        forgetIdleUsage(now);
    }
}

void Residency::forgetIdleUsage(Instant now)
{
    std::erase_if(usage_, [&](const auto &each) { return each.second.value(now) < idleAsks; });
}

void Residency::noteNearby(const AdapterKey &key)
{
    std::erase(nearby_, key);
    nearby_.push_back(key);
    while (nearby_.size() > static_cast<std::size_t>(options_.nearbyFactor) * static_cast<std::size_t>(options_.places)) {
        nearby_.pop_front();
    }
}

bool Residency::isNearby(const AdapterKey &key) const
{
    return std::find(nearby_.begin(), nearby_.end(), key) != nearby_.end();
}

} // namespace baobabstall::serving
