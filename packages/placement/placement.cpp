#include <placement/placement.h>

#include <algorithm>
#include <cmath>
#include <limits>
#include <numbers>

#include <core/hash.h>

namespace baobabstall::placement {

namespace {

constexpr CostWeights stallWeights{.load = 500, .fullBatch = -100, .rank = 25};
constexpr CostWeights batchWeights{.load = 1'000, .fullBatch = -200, .rank = 25};
constexpr int widthValidHalfLives = 5;     // lifetime of a width that is not refreshed
constexpr double narrowFraction = 0.3;     // fraction of the widening threshold below which the width is reduced
constexpr std::size_t maxMeasured = 8'192; // measured adapters; beyond it idle ones are removed

/// Combines two hashes into a rendezvous weight. All hosts must compute the same value.
std::uint64_t mix(std::uint64_t adapter, std::uint64_t replica)
{
    std::uint64_t value = adapter ^ (replica * 0x9E3779B97F4A7C15ULL);
    value = (value ^ (value >> 30)) * 0xBF58476D1CE4E5B9ULL;
    value = (value ^ (value >> 27)) * 0x94D049BB133111EBULL;
    return value ^ (value >> 31);
}

struct Ranked {
    std::uint64_t weight = 0;
    std::uint32_t replica = 0;
};

/// The entries of one zone with the highest weights, highest first.
class ZoneBest
{
public:
    explicit ZoneBest(std::size_t limit)
        : limit_(limit)
    { }

    void offer(std::uint64_t weight, std::uint32_t replica)
    {
        if (size_ == limit_ && weight <= items_[size_ - 1].weight) {
            return;
        }
        std::size_t position = size_ < limit_ ? size_++ : size_ - 1;
        while (position > 0 && items_[position - 1].weight < weight) {
            items_[position] = items_[position - 1];
            --position;
        }
        items_[position] = {weight, replica};
    }
    [[nodiscard]] std::size_t size() const { return size_; }
    [[nodiscard]] const Ranked &operator[](std::size_t index) const { return items_[index]; }

private:
    std::array<Ranked, maxAdapterWidth> items_{};
    std::size_t size_ = 0;
    std::size_t limit_;
};

} // namespace

// Replicas

void Replicas::assign(std::vector<Replica> replicas)
{
    replicas_ = std::move(replicas);
    std::unordered_set<UpstreamId> present;
    for (const Replica &replica : replicas_) {
        present.insert(replica.id);
    }
    std::erase_if(unavailable_, [&](const UpstreamId &id) { return !present.contains(id); });
    rebuild();
}

void Replicas::setAvailable(const UpstreamId &id, bool available)
{
    const bool changed = available ? unavailable_.erase(id) > 0 : unavailable_.insert(id).second;
    if (changed) {
        rebuild();
    }
}

bool Replicas::isAvailable(const UpstreamId &id) const
{
    return !unavailable_.contains(id);
}

void Replicas::rebuild()
{
    zonesByModel_.clear();
    for (std::uint32_t index = 0; index < replicas_.size(); ++index) {
        const Replica &replica = replicas_[index];
        if (!isAvailable(replica.id)) {
            continue;
        }
        auto &zones = zonesByModel_[replica.model];
        auto group = std::find_if(zones.begin(), zones.end(), [&](const ZoneGroup &zone) { return zone.zone == replica.zone; });
        if (group == zones.end()) {
            group = zones.insert(zones.end(), ZoneGroup{replica.zone, {}});
        }
        group->entries.push_back({core::hashText(replica.id.value(), 0), index});
    }
}

CandidateList Replicas::candidates(const AdapterRef &adapter, const BaseModel &model, int width) const
{
    CandidateList list;
    const auto found = zonesByModel_.find(model);
    if (found == zonesByModel_.end()) {
        return list;
    }
    const auto wanted = static_cast<std::size_t>(std::clamp(width, 1, maxAdapterWidth));
    const std::uint64_t key = core::hashText(adapter.text(), 0);
    struct RankedInZone {
        std::size_t round = 0; // rank within its zone
        Ranked ranked;
    };
    std::vector<RankedInZone> ranked;
    ranked.reserve(found->second.size() * wanted);
    for (const ZoneGroup &zone : found->second) {
        ZoneBest best(wanted);
        for (const Entry &entry : zone.entries) {
            best.offer(mix(key, entry.hash), entry.replica);
        }
        for (std::size_t round = 0; round < best.size(); ++round) {
            ranked.push_back({round, best[round]});
        }
    }
    const std::size_t count = std::min(wanted, ranked.size());
    const auto isBefore
        = [](const RankedInZone &a, const RankedInZone &b) { return a.round != b.round ? a.round < b.round : a.ranked.weight > b.ranked.weight; };
    std::partial_sort(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(count), ranked.end(), isBefore);
    for (std::size_t index = 0; index < count; ++index) {
        list.add(replicas_[ranked[index].ranked.replica]);
    }
    return list;
}

// Widths

Widths::Widths(const settings::Placement &settings, int engineConcurrency)
    : settings_(settings)
    , engineConcurrency_(engineConcurrency)
    , timeConstantMs_(static_cast<double>(settings.popularityHalfLife.count()) / std::numbers::ln2)
{ }

std::optional<WidthUpdate> Widths::onRequestFinished(const AdapterRef &adapter, Milliseconds runTime, Instant now)
{
    if (measured_.size() > maxMeasured) {
        removeIdle(now);
    }
    MeasuredConcurrency &measurement = measured_[adapter];
    measurement.decayedRunMs = concurrency(measurement, now) * timeConstantMs_ + static_cast<double>(runTime.count());
    measurement.updatedAt = now;
    const double current = concurrency(measurement, now);
    const double threshold = settings_.widenAt * engineConcurrency_;
    const int before = width(adapter, now);
    const int maxWidth = std::min(settings_.maxCandidates, maxAdapterWidth);
    int after = before;
    if (current > threshold && before < maxWidth) {
        ++after;
    } else if (current < threshold * narrowFraction && before > settings_.candidates) {
        --after;
    }
    const bool refresh = before > settings_.candidates && now - measurement.announcedAt > settings_.popularityHalfLife;
    const bool settled = now - measurement.announcedAt > settings_.popularityHalfLife / 4; // the measurement needs time to reflect the last change
    if ((after == before && !refresh) || !(settled || measurement.announcedAt == Instant())) {
        return std::nullopt;
    }
    measurement.announcedAt = now;
    const WidthUpdate update{adapter, after, settings_.popularityHalfLife * widthValidHalfLives};
    apply(update, now);
    return update;
}

void Widths::apply(const WidthUpdate &update, Instant now)
{
    if (update.width <= settings_.candidates) {
        activeWidths_.erase(update.adapter);
        return;
    }
    activeWidths_[update.adapter] = {std::min(update.width, maxAdapterWidth), now + update.validFor};
}

int Widths::width(const AdapterRef &adapter, Instant now) const
{
    const auto found = activeWidths_.find(adapter);
    const bool isWide = found != activeWidths_.end() && now < found->second.expiresAt;
    return isWide ? found->second.width : settings_.candidates;
}

double Widths::concurrency(const MeasuredConcurrency &measurement, Instant now) const
{
    const auto age = static_cast<double>((now - measurement.updatedAt).count());
    return measurement.decayedRunMs * std::exp(-age / timeConstantMs_) / timeConstantMs_;
}

void Widths::removeIdle(Instant now)
{
    std::erase_if(measured_, [&](const auto &entry) { return concurrency(entry.second, now) < narrowFraction; });
    std::erase_if(activeWidths_, [&](const auto &entry) { return entry.second.expiresAt <= now; });
    if (measured_.size() > maxMeasured) {
        measured_.clear();
    }
}

// Placement

std::optional<CostWeights> weightsOfProfile(std::string_view profile)
{
    if (profile == "stalls") {
        return stallWeights;
    }
    if (profile == "batches") {
        return batchWeights;
    }
    return std::nullopt;
}

Placement::Placement(const settings::Placement &settings, int engineConcurrency)
    : settings_(settings)
    , weights_(weightsOfProfile(settings.profile).value_or(stallWeights))
    , widths_(settings, engineConcurrency)
{ }

CandidateList Placement::candidates(const AdapterRef &adapter, const BaseModel &model, Instant now) const
{
    return replicas_.candidates(adapter, model, widths_.width(adapter, now));
}

std::optional<Choice> Placement::choose(std::span<const HintedCandidate> candidates, bool isHot) const
{
    const HintedCandidate *best = nullptr;
    double lowestCost = std::numeric_limits<double>::max();
    for (std::size_t rank = 0; rank < candidates.size(); ++rank) {
        const HintedCandidate &candidate = candidates[rank];
        if (!candidate.hint || !candidate.hint->accepting) {
            continue;
        }
        const double cost = this->cost(*candidate.hint, rank);
        if (cost < lowestCost) {
            lowestCost = cost;
            best = &candidate;
        }
    }
    if (best == nullptr) {
        return std::nullopt;
    }
    Choice choice{best->replica, best->hint->expectedWait, {}};
    for (const HintedCandidate &candidate : candidates) {
        const bool isMissing = candidate.hint && candidate.hint->accepting && candidate.hint->residency == engines::Residency::Absent;
        if (isHot && &candidate != best && isMissing) {
            choice.prefetch.push_back(candidate.replica);
        }
    }
    return choice;
}

bool Placement::isHot(const AdapterRef &adapter, Instant now) const
{
    return widths_.width(adapter, now) > settings_.candidates;
}

double Placement::cost(const engines::Hint &hint, std::size_t rank) const
{
    const bool causesLoad = hint.residency == engines::Residency::Absent;
    const auto wait = static_cast<double>(hint.expectedWait.count());
    return wait + (causesLoad ? weights_.load : 0) + weights_.fullBatch * hint.batchFill + weights_.rank * static_cast<double>(rank);
}

} // namespace baobabstall::placement
