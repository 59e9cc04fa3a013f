#include <serving/chooser.h>

#include <algorithm>
#include <cmath>
#include <numbers>

#include <core/hash.h>

namespace baobabstall::serving {

namespace {

constexpr int maxBlockDoublings = 6;
constexpr double blockedCost = 5'000;        // ms; blocked upstreams are picked only when no other is left
constexpr double drawSpread = 200;           // ms; random, far above the cost of another zone and below that of an upstream that fails
constexpr double tieSpread = 1;              // ms; random, so that requests spread over equal upstreams
constexpr int maxUnreportedSends = 64;       // bounds the time of one pick()
constexpr std::size_t maxDemandKeys = 4'096; // affinity keys with a demand count; beyond it those not requested recently are removed
constexpr double idleDemandCount = 0.1;      // decayed request count below which a key counts as not requested recently

} // namespace

Chooser::Chooser(ChooserOptions options, std::uint64_t seed)
    : options_(options)
    , random_(seed)
{ }

std::vector<const Candidate *> Chooser::preferredCandidates(const PickRequest &request) const
{
    std::vector<std::pair<std::uint64_t, const Candidate *>> ranked;
    ranked.reserve(request.candidates.size());
    for (const auto &each : request.candidates) {
        ranked.emplace_back(preference(each.replica->id, request.affinityKey), &each);
    }
    const auto count = std::min(std::max(options_.minPreferred, ranked.size() / options_.preferredDivisor), ranked.size());
    std::partial_sort(
        ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(count), ranked.end(), [](const auto &a, const auto &b) { return a.first > b.first; });
    std::vector<const Candidate *> preferred;
    for (std::size_t i = 0; i < count; ++i) {
        preferred.push_back(ranked[i].second);
    }
    return preferred;
}

/// Weighted rendezvous hashing: an upstream of pace 0.5 comes first for half as many keys. The order of the others stays as it is.
std::uint64_t Chooser::preference(const UpstreamId &id, std::uint64_t affinityKey) const
{
    const auto hash = core::hashText(id.value(), affinityKey);
    const double weight = pace(id);
    if (weight >= 1) {
        return hash;
    }
    constexpr int hashBits = 64;
    const double value = std::ldexp(std::pow(std::ldexp(static_cast<double>(hash), -hashBits), 1 / weight), hashBits);
    return value < std::ldexp(1.0, hashBits) ? static_cast<std::uint64_t>(value) : hash;
}

/// Draws only where a slow upstream is considered.
bool Chooser::explores(const std::vector<const Candidate *> &considered)
{
    const bool isAnySlow = std::any_of(considered.begin(), considered.end(), [this](const Candidate *each) { return pace(each->replica->id) < 1; });
    return isAnySlow && std::bernoulli_distribution(options_.explorationShare)(random_);
}

const Candidate *Chooser::pick(const PickRequest &request, Instant now)
{
    if (request.candidates.empty()) {
        return nullptr;
    }
    std::vector<const Candidate *> considered;
    if (request.affinityKey != 0) {
        considered = preferredCandidates(request);
        const bool allBlocked = std::all_of(considered.begin(), considered.end(), [&](const Candidate *each) { return isBlocked(each->replica->id, now); });
        if (allBlocked) {
            considered.clear();
        }
    }
    if (considered.empty()) {
        for (const auto &each : request.candidates) {
            considered.push_back(&each);
        }
    }
    const bool isExploring = explores(considered);
    std::vector<ScoredCandidate> choices;
    choices.reserve(considered.size());
    for (std::size_t rank = 0; rank < considered.size(); ++rank) {
        const double pace = isExploring && considered[rank]->holdsWeights ? 1 : this->pace(considered[rank]->replica->id);
        choices.push_back(score(*considered[rank], pace, request.affinityKey == 0 ? 0 : rank, request, now));
    }
    const auto cheapest = [&]() -> ScoredCandidate & {
        const auto cost = [this](const ScoredCandidate &each) { return each.baseCost + each.fillCost(options_); };
        return *std::min_element(choices.begin(), choices.end(), [&](const auto &a, const auto &b) { return cost(a) < cost(b); });
    };
    // This request is a random one of those that all hosts send before the remote occupancy shows them.
    const int sendsAhead = unreportedSends(request.affinityKey, now);
    const int position = std::uniform_int_distribution<int>(0, sendsAhead)(random_);
    for (int i = 0; i < position; ++i) {
        ++cheapest().running;
    }
    recordDemand(request.affinityKey, now);
    return cheapest().candidate;
}

const Candidate *Chooser::draw(const PickRequest &request, Instant now)
{
    const Candidate *drawn = nullptr;
    double least = 0;
    for (const auto &each : request.candidates) {
        const double cost = score(each, pace(each.replica->id), 0, request, now).baseCost + std::uniform_real_distribution<double>(0, drawSpread)(random_);
        if (drawn == nullptr || cost < least) {
            drawn = &each;
            least = cost;
        }
    }
    return drawn;
}

double Chooser::ScoredCandidate::fillCost(const ChooserOptions &options) const
{
    const double fill = static_cast<double>(running + 1) / std::max(1, candidate->replica->slots);
    return (fill * options.fillCost + std::max(0.0, fill - options.crowdedFillRatio) * options.crowdedCost) / pace;
}

Chooser::ScoredCandidate Chooser::score(const Candidate &candidate, double pace, std::size_t rank, const PickRequest &request, Instant now)
{
    const auto &replica = *candidate.replica;
    const auto occupied = occupancy(replica.id, now);
    double cost = static_cast<double>(rank) * options_.preferenceRankCost;
    cost += occupied.prefillMs * options_.prefillWaitFraction / pace;
    cost += static_cast<double>(request.expectedFirst.count()) * options_.firstEventShare * (1 / pace - 1);
    cost += failureShare(replica.id, now) * options_.failureCost;
    cost += replica.zone == request.zone ? 0 : options_.otherZoneCost;
    cost += isBlocked(replica.id, now) ? blockedCost : 0;
    if (!candidate.holdsWeights) {
        const double loadCost = options_.missingWeightsCost + (rank > 0 || pace < 1 ? options_.newHomeCost : 0);
        cost += candidate.canLoad ? loadCost : options_.noOwnerCost;
    }
    cost += std::uniform_real_distribution<double>(0, tieSpread)(random_);
    return {&candidate, cost, occupied.running, pace};
}

int Chooser::unreportedSends(std::uint64_t affinityKey, Instant now) const
{
    const auto found = affinityKey == 0 ? demand_.end() : demand_.find(affinityKey);
    if (found == demand_.end()) {
        return 0;
    }
    const double perMs = found->second.value(now) * std::numbers::ln2 / static_cast<double>(options_.demandHalfLife.count());
    return std::min(maxUnreportedSends, static_cast<int>(perMs * static_cast<double>(options_.occupancyAge.count()) * hostCount_));
}

void Chooser::recordDemand(std::uint64_t affinityKey, Instant now)
{
    if (affinityKey == 0) {
        return;
    }
    if (demand_.size() >= maxDemandKeys) {
        std::erase_if(demand_, [now](const auto &each) { return each.second.value(now) < idleDemandCount; });
    }
    demand_.try_emplace(affinityKey, options_.demandHalfLife).first->second.add(now);
}

void Chooser::endSend(const UpstreamId &id, SendOutcome outcome, Instant now)
{
    auto &state = upstreamState(id);
    state.local.running = std::max(0, state.local.running - 1);
    switch (outcome) {
    case SendOutcome::Succeeded:
        state.successes.add(now);
        state.consecutiveBlocks = 0;
        state.blockedUntil = Instant();
        break;
    case SendOutcome::Failed:
        state.failures.add(now);
        break;
    case SendOutcome::NoAnswer: {
        state.failures.add(now);
        if (state.local.running > 0 && now - state.eventAt >= options_.stallSilence) {
            ++state.silentFailures;
        }
        const auto blockTime = options_.initialBlockTime * (std::int64_t(1) << std::min(state.consecutiveBlocks, maxBlockDoublings));
        state.blockedUntil = now + std::min(blockTime, options_.maxBlockTime);
        ++state.consecutiveBlocks;
        break;
    }
    case SendOutcome::Full:
        state.blockedUntil = std::max(state.blockedUntil, now + options_.fullBlockTime);
        break;
    case SendOutcome::NotRun:
    case SendOutcome::Abandoned:
        break;
    }
}

void Chooser::onEvent(const UpstreamId &id, Instant now)
{
    const auto found = upstreams_.find(id);
    if (found == upstreams_.end()) {
        return;
    }
    auto &state = found->second;
    state.eventAt = now;
    if (state.silentFailures > 0) {
        state.failures.add(now, -std::min<double>(state.silentFailures, state.failures.value(now)));
        state.silentFailures = 0;
        state.consecutiveBlocks = 0;
        state.blockedUntil = Instant();
    }
}

void Chooser::setPace(const UpstreamId &id, double pace)
{
    if (pace != this->pace(id)) {
        upstreamState(id).pace = pace;
    }
}

double Chooser::pace(const UpstreamId &id) const
{
    const auto found = upstreams_.find(id);
    return found == upstreams_.end() ? 1 : found->second.pace;
}

void Chooser::remove(const UpstreamId &id)
{
    const auto found = upstreams_.find(id);
    if (found != upstreams_.end() && found->second.local.running == 0) {
        upstreams_.erase(found);
    }
}

void Chooser::setRemoteOccupancy(const UpstreamId &id, Occupancy occupancy, Instant now)
{
    auto &state = upstreamState(id);
    state.remote = occupancy;
    state.remoteAt = now;
}

Occupancy Chooser::localOccupancy(const UpstreamId &id) const
{
    const auto found = upstreams_.find(id);
    return found == upstreams_.end() ? Occupancy() : found->second.local;
}

Occupancy Chooser::occupancy(const UpstreamId &id, Instant now) const
{
    const auto found = upstreams_.find(id);
    if (found == upstreams_.end()) {
        return {};
    }
    const auto &state = found->second;
    const bool isRemoteValid = state.remoteAt && now - *state.remoteAt <= options_.remoteOccupancyTimeout;
    return isRemoteValid ? Occupancy{state.local.running + state.remote.running, state.local.prefillMs + state.remote.prefillMs}
                         : Occupancy{state.local.running * hostCount_, state.local.prefillMs};
}

double Chooser::failureShare(const UpstreamId &id, Instant now) const
{
    const auto found = upstreams_.find(id);
    if (found == upstreams_.end()) {
        return 0;
    }
    const double bad = found->second.failures.value(now);
    const double good = found->second.successes.value(now);
    return bad / (bad + good + 2); // two assumed successes, so that a single failure does not count as a share of 1
}

bool Chooser::isBlocked(const UpstreamId &id, Instant now) const
{
    const auto found = upstreams_.find(id);
    return found != upstreams_.end() && now < found->second.blockedUntil;
}

} // namespace baobabstall::serving
