#include <serving/worktimes.h>

#include <algorithm>

namespace baobabstall::serving {

namespace {

constexpr std::size_t quartileDivisor = 4;
constexpr Milliseconds leastWork{1};
constexpr double usedObjectiveShare = 0.8; // of the objective, for the time at the replica; the rest is for the way to it and for work that takes longer

double fillFor(Milliseconds time, Milliseconds work)
{
    return std::max(WorkTimes::minFill, static_cast<double>(time.count()) / static_cast<double>(work.count()));
}

} // namespace

void WorkTimes::add(Milliseconds took)
{
    answers_.at(next_) = std::max(leastWork, took);
    next_ = (next_ + 1) % keptAnswers;
    count_ = std::min(count_ + 1, keptAnswers);
}

void WorkTimes::noteLoad(int running, int places, Instant now)
{
    if (running > 0 && running >= scarceShare * places) {
        scarceAt_ = now;
    }
}

Milliseconds WorkTimes::expected() const
{
    if (!isLearnt()) {
        return assumed;
    }
    auto sorted = answers_;
    const auto quartile = sorted.begin() + static_cast<std::ptrdiff_t>(count_ / quartileDivisor);
    std::nth_element(sorted.begin(), quartile, sorted.begin() + static_cast<std::ptrdiff_t>(count_));
    return *quartile;
}

double WorkTimes::maxFill(Milliseconds objective, Instant now) const
{
    const double assumedFill = fillFor(objective, assumed);
    if (!isLearnt()) {
        return assumedFill;
    }
    const double learnt = fillFor(Milliseconds(static_cast<std::int64_t>(static_cast<double>(objective.count()) * usedObjectiveShare)), expected());
    const bool wasFull = fullAt_ && now - *fullAt_ < fullMemory;
    return wasFull ? std::min(learnt, assumedFill) : learnt;
}

} // namespace baobabstall::serving
