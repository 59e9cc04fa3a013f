#include <serving/scarceroom.h>

#include <algorithm>
#include <cmath>
#include <numbers>
#include <numeric>
#include <tuple>

namespace baobabstall::serving {

namespace {

constexpr double learnWeight = 0.1;       // of the last value in a mean
constexpr double maxOvertaking = 0.95;    // a higher share is taken for all: nothing is left for those overtaken
constexpr double mostMs = 3'600'000;      // no turn
constexpr double longestHoldFactor = 6;   // of the time in which a request mostly ends; a place held longer is of a host that stands still
constexpr double lostHoldFactor = 2;      // the same after its host was lost
constexpr std::size_t minEnded = 8;       // before what is known of holds replaces the work time
constexpr double initialDeviation = 0.25; // of the hold time
constexpr double leastGranted = 0.01;     // requests of a rank that are worth counting
constexpr std::uint64_t spreadSteps = 1'024;

void blend(double &mean, double value)
{
    mean = mean == 0 ? value : mean + (value - mean) * learnWeight;
}

Milliseconds timeOf(double ms)
{
    return Milliseconds(static_cast<std::int64_t>(std::ceil(std::min(ms, mostMs))));
}

} // namespace

void ScarceRoom::learn(Milliseconds work, Milliseconds roundTrip)
{
    blend(workMs_, std::max(1.0, static_cast<double>(work.count())));
    blend(roundTripMs_, std::max(0.0, static_cast<double>(roundTrip.count())));
    if (ended_ < minEnded) {
        holdMs_ = workMs_ + roundTripMs_;
        deviationMs_ = holdMs_ * initialDeviation;
    }
}

int ScarceRoom::places() const
{
    const double inTransit = workMs_ > 0 ? slots_ * roundTripMs_ / workMs_ : 0;
    return slots_ + std::min(slots_, static_cast<int>(std::ceil(inTransit)));
}

SendHoldId ScarceRoom::request(const ScarceAsk &ask, Instant /*now*/)
{
    last_ = last_.next();
    waiting_.push_back({.id = last_, .ask = ask});
    return last_;
}

std::vector<ScarceRoom::Outcome> ScarceRoom::settle(Instant now)
{
    expire(now);
    order(now);
    std::vector<Outcome> outcomes;
    while (held() < places() && !waiting_.empty()) {
        grantNext(now, outcomes);
    }
    order(now);
    std::erase_if(waiting_, [&, position = std::size_t(0)](const Waiter &each) mutable {
        const bool isLost = now + timeOf(each.turnMs + holdMs_) > each.ask.deadline || position++ >= maxWaiting;
        if (isLost) {
            outcomes.push_back({each.id, false, spreadTurn(each)});
        }
        return isLost;
    });
    return outcomes;
}

void ScarceRoom::grantNext(Instant now, std::vector<Outcome> &outcomes)
{
    const auto next = waiting_.front();
    waiting_.erase(waiting_.begin());
    if (now + timeOf(holdMs_) > next.ask.deadline) {
        outcomes.push_back({next.id, false, spreadTurn(next)});
        return;
    }
    const auto until = std::min(next.ask.deadline, now + timeOf(finishMs() * longestHoldFactor));
    held_[next.id] = {.since = now, .until = until};
    const admission::DecayingCount none(rateHalfLife);
    granted_.try_emplace(next.ask.rank, Rates{none, none, none}).first->second.at(classOf(next)).add(now);
    usual_.take(next.ask.workspace, now);
    outcomes.push_back({next.id, true});
}

/// Sorts those that wait, with what can't be on time in its place.
void ScarceRoom::order(Instant now)
{
    const auto latestStart = [this](const Waiter &each) { return each.ask.onTimeBy - timeOf(finishMs()); };
    for (auto &each : waiting_) {
        each.isLate = now > latestStart(each);
    }
    const auto above = usual_.above(now);
    const auto key = [&above](const Waiter &each) {
        return std::tuple(Standing({each.ask.rank, each.ask.workspace}, each.isLate, above),
                          each.ask.mayRepeat,
                          each.isLate ? each.ask.deadline : each.ask.onTimeBy,
                          each.id);
    };
    const auto sort = [&] { std::sort(waiting_.begin(), waiting_.end(), [&](const Waiter &a, const Waiter &b) { return key(a) < key(b); }); };
    sort();
    updateShares(now);
    std::size_t ahead = 0;
    bool isChanged = false;
    for (auto &each : waiting_) {
        const double turn = turnMs(ahead, overtaking(each));
        if (!each.isLate && now + timeOf(turn) > latestStart(each)) {
            each.isLate = isChanged = true;
            continue; // those after it move up
        }
        each.turnMs = turn;
        ++ahead;
    }
    if (!isChanged) {
        return;
    }
    sort();
    for (std::size_t i = 0; i < waiting_.size(); ++i) {
        waiting_[i].turnMs = turnMs(i, overtaking(waiting_[i]));
    }
}

double ScarceRoom::turnMs(std::size_t ahead, double overtaken) const
{
    const double free = std::max(0, places() - held());
    const double waits = std::max(0.0, static_cast<double>(ahead) + 1 - free);
    if (waits == 0) {
        return 0;
    }
    return overtaken >= maxOvertaking ? mostMs : waits * holdMs_ / places() / (1 - overtaken);
}

void ScarceRoom::updateShares(Instant now)
{
    std::erase_if(granted_, [now](const auto &each) {
        return std::all_of(each.second.begin(), each.second.end(), [now](const auto &rate) { return rate.value(now) < leastGranted; });
    });
    const double shareOfOne = std::numbers::ln2 / static_cast<double>(rateHalfLife.count()) * holdMs_ / places();
    shares_.clear();
    for (const auto &[rank, rates] : granted_) {
        auto &shares = shares_[rank];
        std::transform(rates.begin(), rates.end(), shares.begin(), [&](const auto &rate) { return rate.value(now) * shareOfOne; });
    }
}

double ScarceRoom::overtaking(const Waiter &waiter) const
{
    double sum = 0;
    for (const auto &[rank, shares] : shares_) {
        if (rank > waiter.ask.rank) {
            break;
        }
        const auto upTo = rank < waiter.ask.rank ? shares.end() : shares.begin() + classOf(waiter);
        sum = std::accumulate(shares.begin(), upTo, sum);
    }
    return sum;
}

ScarceRoom::Class ScarceRoom::classOf(const Waiter &waiter)
{
    return waiter.isLate ? Late : waiter.ask.mayRepeat ? OnTime : OnceOnTime;
}

Milliseconds ScarceRoom::spreadTurn(const Waiter &waiter)
{
    const auto turn = std::clamp(timeOf(waiter.turnMs), leastTurn, longestTurn);
    const double share = 1 + static_cast<double>(waiter.ask.spread % spreadSteps) / spreadSteps;
    return timeOf(static_cast<double>(turn.count()) * share);
}

Milliseconds ScarceRoom::expectedTurn(SendHoldId id) const
{
    const auto found = std::find_if(waiting_.begin(), waiting_.end(), [id](const Waiter &each) { return each.id == id; });
    return found == waiting_.end() ? Milliseconds(0) : timeOf(found->turnMs);
}

void ScarceRoom::end(SendHoldId id, Instant now)
{
    std::erase_if(waiting_, [id](const Waiter &each) { return each.id == id; });
    const auto found = held_.find(id);
    if (found == held_.end()) {
        return;
    }
    const auto took = static_cast<double>((now - found->second.since).count());
    held_.erase(found);
    ++ended_;
    deviationMs_ += (std::abs(took - holdMs_) - deviationMs_) * learnWeight;
    blend(holdMs_, std::max(1.0, took));
}

void ScarceRoom::lose(SendHoldId id, Instant now)
{
    std::erase_if(waiting_, [id](const Waiter &each) { return each.id == id; });
    if (const auto found = held_.find(id); found != held_.end()) {
        found->second.until = std::min(found->second.until, now + timeOf(finishMs() * lostHoldFactor));
    }
}

void ScarceRoom::expire(Instant now)
{
    std::erase_if(held_, [now](const auto &each) { return now >= each.second.until; });
}

} // namespace baobabstall::serving
