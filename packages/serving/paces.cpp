#include <serving/paces.h>

#include <algorithm>
#include <cmath>

namespace baobabstall::serving {

namespace {

constexpr double retention = 0.99;       // of earlier samples of a service for each new one: about 100 count
constexpr double promptScale = 256;      // tokens; below it a prompt's size matters little beside the first steps
constexpr double promptRidge = 0.5;      // samples' worth of belief that the slope is 0
constexpr double fillRidge = 2;          // the same
constexpr double maxFillSlope = 0.5;     // of the logarithm: a full batch is slower than an empty one by half at most
constexpr double crowdedFill = 0.8;      // beyond it the first event comes late because of a queue, which says nothing about the pace
constexpr double maxDifference = 0.5;    // of a sample's log ratio from what is known of the replica
constexpr double maxOutlier = 1;         // of a sample's logarithm from the reference, for the reference
constexpr double centreWeight = 2;       // samples' worth of belief that a replica is as fast as the others, for the bound of its samples
constexpr double priorWeight = 4;        // the same for its pace
constexpr double firstEventWeight = 0.5; // it varies with prompts that are processed at the same time
constexpr double stepsWeight = 1;
constexpr int minStepEvents = 5;        // of a stream, for the time between its events
constexpr double maxOwnWeight = 20;     // samples of this host, so that a busy one notices a change soon
constexpr Milliseconds lateOnce{1'000}; // late samples within this time of each other are those of one stall
constexpr double minWeight = 0.05;      // evidence below it is forgotten
constexpr double regainSupport = 3;     // samples
constexpr double lostSupport = 1;       // samples below which a slow replica counts as the others again
constexpr double maxReportedWeight = 10'000;
constexpr double maxReportedLog = 3;
constexpr std::array<double, 4> levels = {1, 0.6, 0.42, 0.3}; // steps of the pace
constexpr double levelMargin = 0.12;                          // of the logarithm, beyond the middle of two steps
constexpr double dueWeight = 2;                               // samples gained since the last report, at least
constexpr double dueWeightShare = 0.5;                        // the same, of what a group reported
constexpr double dueHostShare = 1;                            // the same, of what a host reported
constexpr double dueMean = 0.3;                               // difference of the mean log ratio
constexpr double dueEffect = 0.15;                            // of the log ratio that a receiver works with

double effectOf(const PaceEvidence &evidence)
{
    return evidence.sum / (evidence.weight + priorWeight);
}

void addAll(std::map<UpstreamId, PaceEvidence> &sum, const std::map<UpstreamId, PaceEvidence> &table, Instant now)
{
    for (const auto &[id, evidence] : table) {
        sum[id].add(evidence, now);
    }
}

void eraseWeak(std::map<UpstreamId, PaceEvidence> &table, Instant now)
{
    std::erase_if(table, [now](const auto &each) { return each.second.agedTo(now).weight < minWeight; });
}

} // namespace

// ---- PaceReference ----

PaceReference::Vector PaceReference::featuresOf(double promptTokens, double fill)
{
    return {1, std::log1p(std::max(0.0, promptTokens) / promptScale), std::clamp(fill, 0.0, 1.0)};
}

void PaceReference::add(double promptTokens, double fill, double ms)
{
    const auto x = featuresOf(promptTokens, fill);
    double y = std::log(std::max(1.0, ms));
    if (const auto expected = expectedLog(promptTokens, fill)) {
        y = std::clamp(y, *expected - maxOutlier, *expected + maxOutlier);
    }
    samples_ = samples_ * retention + 1;
    for (std::size_t i = 0; i < features; ++i) {
        for (std::size_t j = 0; j < features; ++j) {
            squares_[i][j] = squares_[i][j] * retention + x[i] * x[j];
        }
        products_[i] = products_[i] * retention + x[i] * y;
    }
    solve();
}

/// Eliminates the constant; the slopes of prompt and occupancy follow from their covariances.
void PaceReference::solve()
{
    const auto covariance = [this](std::size_t i, std::size_t j) { return squares_[i][j] - squares_[0][i] * squares_[0][j] / samples_; };
    const auto withResult = [this](std::size_t i) { return products_[i] - squares_[0][i] * products_[0] / samples_; };
    const double prompts = covariance(1, 1) + promptRidge;
    const double fills = covariance(2, 2) + fillRidge;
    const double both = covariance(1, 2);
    const double fillSlope = (withResult(2) * prompts - withResult(1) * both) / (fills * prompts - both * both);
    slopes_[2] = std::clamp(fillSlope, 0.0, maxFillSlope);
    slopes_[1] = std::max(0.0, (withResult(1) - both * slopes_[2]) / prompts);
    slopes_[0] = (products_[0] - slopes_[1] * squares_[0][1] - slopes_[2] * squares_[0][2]) / samples_;
}

std::optional<double> PaceReference::expectedLog(double promptTokens, double fill) const
{
    if (samples_ < minSamples * retention) {
        return std::nullopt;
    }
    const auto x = featuresOf(promptTokens, fill);
    return slopes_[0] + slopes_[1] * x[1] + slopes_[2] * x[2];
}

// ---- PaceEvidence ----

PaceEvidence PaceEvidence::agedTo(Instant now) const
{
    const auto age = static_cast<double>(std::max<std::int64_t>(0, (now - at).count()));
    const double share = std::exp2(-age / static_cast<double>(halfLife.count()));
    return {weight * share, sum * share, now};
}

void PaceEvidence::add(const PaceEvidence &other, Instant now)
{
    const auto aged = other.agedTo(now);
    *this = agedTo(now);
    weight += aged.weight;
    sum += aged.sum;
}

// ---- Learning ----

void Paces::add(const Answer &answer, Instant now)
{
    auto &references = references_[answer.service];
    if (answer.fill <= crowdedFill) {
        const auto ms = static_cast<double>(answer.untilFirst.count());
        const auto expected = references.first.expectedLog(answer.promptTokens, answer.fill);
        references.first.add(answer.promptTokens, answer.fill, ms);
        if (expected) {
            addSample(answer.upstream, *expected - std::log(std::max(1.0, ms)), firstEventWeight, now);
        }
    }
    if (answer.events >= minStepEvents) {
        const int steps = answer.events - 2; // without the longest pause, which may be a stall
        const double ms = std::max(1.0, static_cast<double>((answer.rest - answer.longestPause).count())) / steps;
        const auto expected = references.step.expectedLog(0, answer.fill);
        references.step.add(0, answer.fill, ms);
        if (expected) {
            addSample(answer.upstream, *expected - std::log(std::max(1.0, ms)), stepsWeight, now);
        }
    }
}

void Paces::addSample(const UpstreamId &id, double logRatio, double weight, Instant now)
{
    auto evidence = own_[id].agedTo(now);
    const double centre = evidence.sum / (evidence.weight + centreWeight);
    if (logRatio < centre - maxDifference) {
        const auto [late, isFirst] = lateAt_.try_emplace(id, now);
        const bool isSameStall = !isFirst && now - late->second < lateOnce;
        late->second = now;
        if (isSameStall) {
            return;
        }
    }
    evidence.weight += weight;
    evidence.sum += weight * std::clamp(logRatio, centre - maxDifference, centre + maxDifference);
    if (evidence.weight > maxOwnWeight) {
        evidence.sum *= maxOwnWeight / evidence.weight;
        evidence.weight = maxOwnWeight;
    }
    own_[id] = evidence;
}

Milliseconds Paces::expectedFirst(const ServiceName &service, double promptTokens) const
{
    constexpr double typicalFill = 0.5;
    const auto found = references_.find(service);
    const auto expected = found == references_.end() ? std::nullopt : found->second.first.expectedLog(promptTokens, typicalFill);
    return Milliseconds(expected ? static_cast<std::int64_t>(std::exp(*expected)) : 0);
}

// ---- What decisions use ----

std::vector<Paces::Change> Paces::refresh(std::span<const Replica> replicas, Instant now)
{
    forgetOthers(replicas);
    if (!hasLeader(now) || !hosts_.empty()) { // others may take this host for their leader
        merged_ = normalized(allEvidence(now));
    }
    const auto &evidence = hasLeader(now) ? leader_ : merged_;
    std::vector<Change> changes;
    for (const auto &[id, service] : replicas) {
        const auto found = evidence.find(id);
        const auto known = found == evidence.end() ? PaceEvidence() : found->second.agedTo(now);
        auto &learnt = learnt_[id];
        const bool wasSlow = learnt.pace < 1;
        learnt.meanLog = known.mean();
        learnt.weight = known.weight;
        updatePace(learnt);
        if (wasSlow != learnt.pace < 1) {
            changes.push_back({id, service, estimate(id), learnt.weight, !wasSlow});
        }
    }
    return changes;
}

void Paces::updatePace(Learnt &learnt)
{
    const double shrunk = learnt.meanLog * learnt.weight / (learnt.weight + priorWeight);
    if (learnt.pace >= 1 && (learnt.weight < minSupport || shrunk >= std::log(slowBelow))) {
        return;
    }
    const bool isRegained = learnt.weight >= regainSupport && learnt.meanLog > std::log(regainedAbove);
    if (isRegained || learnt.weight < lostSupport) {
        learnt.pace = 1;
        return;
    }
    if (learnt.pace < 1 && learnt.weight < regainSupport) {
        return;
    }
    const auto distance = [&](double level) { return std::abs(learnt.meanLog - std::log(level)); };
    const auto nearest = *std::min_element(levels.begin() + 1, levels.end(), [&](double a, double b) { return distance(a) < distance(b); });
    if (learnt.pace >= 1 || distance(nearest) + 2 * levelMargin < distance(learnt.pace)) {
        learnt.pace = nearest;
    }
}

double Paces::pace(const UpstreamId &id) const
{
    const auto found = learnt_.find(id);
    return found == learnt_.end() ? 1 : found->second.pace;
}

double Paces::estimate(const UpstreamId &id) const
{
    const auto found = learnt_.find(id);
    return found == learnt_.end() ? 1 : std::exp(found->second.meanLog * found->second.weight / (found->second.weight + priorWeight));
}

void Paces::forget(const UpstreamId &id)
{
    own_.erase(id);
    lateAt_.erase(id);
    leader_.erase(id);
    merged_.erase(id);
    learnt_.erase(id);
    for (auto *tables : {&hosts_, &groups_}) {
        for (auto &[host, table] : *tables) {
            table.erase(id);
        }
    }
    for (auto &[scope, sent] : sent_) {
        sent.evidence.erase(id);
    }
}

void Paces::forgetOthers(std::span<const Replica> replicas)
{
    std::map<UpstreamId, ServiceName> known;
    std::set<ServiceName> services;
    for (const auto &[id, service] : replicas) {
        known.emplace(id, service);
        services.insert(service);
    }
    for (const auto &[id, service] : services_) {
        if (!known.contains(id)) {
            forget(id);
        }
    }
    services_ = std::move(known);
    const auto isGone = [this](const auto &each) { return !services_.contains(each.first); };
    std::erase_if(own_, isGone);
    std::erase_if(lateAt_, isGone);
    std::erase_if(references_, [&](const auto &each) { return !services.contains(each.first); });
}

Paces::Table Paces::groupEvidence(Instant now) const
{
    Table sum;
    addAll(sum, own_, now);
    for (const auto &[host, table] : hosts_) {
        addAll(sum, table, now);
    }
    return sum;
}

Paces::Table Paces::allEvidence(Instant now) const
{
    auto sum = groupEvidence(now);
    for (const auto &[host, table] : groups_) {
        addAll(sum, table, now);
    }
    return sum;
}

Paces::Table Paces::normalized(Table evidence) const
{
    std::map<ServiceName, std::vector<double>> effects;
    for (const auto &[id, service] : services_) {
        if (const auto found = evidence.find(id); found != evidence.end() && found->second.weight >= regainSupport) {
            effects[service].push_back(found->second.mean());
        }
    }
    for (auto &[service, each] : effects) {
        std::nth_element(each.begin(), each.begin() + static_cast<std::ptrdiff_t>(each.size() / 2), each.end());
    }
    for (auto &[id, each] : evidence) {
        const auto service = services_.find(id);
        const auto found = service == services_.end() ? effects.end() : effects.find(service->second);
        if (found != effects.end()) {
            each.sum -= each.weight * found->second[found->second.size() / 2];
        }
    }
    return evidence;
}

// ---- Reports ----

void Paces::onReport(const HostId &from, LoadScope scope, const std::vector<PaceEntry> &entries, Instant now)
{
    auto &table = scope == LoadScope::Host ? hosts_[from] : scope == LoadScope::Group ? groups_[from] : leader_;
    if (scope == LoadScope::All) {
        leaderHeardAt_ = now;
    }
    for (const auto &[id, reportedWeight, reportedLog] : entries) {
        if (!services_.contains(id) || !std::isfinite(reportedWeight) || !std::isfinite(reportedLog)) {
            continue;
        }
        const double weight = std::clamp(reportedWeight, 0.0, maxReportedWeight);
        table[id] = {weight, weight * std::clamp(reportedLog, -maxReportedLog, maxReportedLog), now};
    }
    for (auto *tables : {&hosts_, &groups_}) {
        for (auto &[host, each] : *tables) {
            eraseWeak(each, now);
        }
        std::erase_if(*tables, [](const auto &each) { return each.second.empty(); });
    }
    eraseWeak(leader_, now);
}

bool Paces::isDue(LoadScope scope, const PaceEvidence &evidence, const PaceEvidence &sent)
{
    if (scope == LoadScope::All) {
        return std::abs(effectOf(evidence) - effectOf(sent)) >= dueEffect;
    }
    const bool isHeavier = evidence.weight - sent.weight >= std::max(dueWeight, (scope == LoadScope::Host ? dueHostShare : dueWeightShare) * sent.weight);
    return isHeavier || (sent.weight >= dueWeight && std::abs(evidence.mean() - sent.mean()) >= dueMean);
}

std::vector<PaceEntry> Paces::due(LoadScope scope, const std::vector<HostId> &receivers, Instant now)
{
    auto &sent = sent_[scope];
    const auto isKnown = [&](const HostId &host) { return sent.receivers.contains(host); };
    if (!std::all_of(receivers.begin(), receivers.end(), isKnown)) {
        sent.evidence.clear();
    }
    sent.receivers = {receivers.begin(), receivers.end()};
    Table all;
    if (scope == LoadScope::Host) {
        addAll(all, own_, now);
    } else {
        all = scope == LoadScope::Group ? groupEvidence(now) : merged_;
    }
    std::vector<PaceEntry> entries;
    for (const auto &[id, known] : all) {
        const auto evidence = known.agedTo(now);
        auto &last = sent.evidence[id];
        if (entries.size() < maxEntries && isDue(scope, evidence, last.agedTo(now))) {
            last = evidence;
            entries.push_back({id, evidence.weight, evidence.mean()});
        }
    }
    return entries;
}

} // namespace baobabstall::serving
