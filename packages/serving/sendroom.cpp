#include <serving/sendroom.h>

#include <algorithm>
#include <cmath>

namespace baobabstall::serving {

namespace {

constexpr double holdWeight = 0.1;          // of the last request in the mean time that one holds its place
constexpr int raiseDivisor = 8;             // of the slots, for one step up; at least one
constexpr int lowestDivisor = 4;            // of the slots; refusals lower the bound to this at most, as they may be of requests that are not counted here
constexpr double initialHoldMs = 50;        // until one has ended
constexpr double maxExpectedWaitMs = 1'000; // a longer wait is no better known

} // namespace

void SendRoom::setBounds(const Bounds &bounds, Instant now)
{
    bounds_ = bounds;
    if (now - ownedSince_ < settleTime) {
        bounds_.reported.reset();
    }
    expire(now);
}

SendHoldId SendRoom::request(double tokens, Instant holdUntil, Instant now)
{
    expire(now);
    last_ = last_.next();
    holds_[last_] = {.tokens = tokens, .until = holdUntil};
    return last_;
}

std::vector<SendHoldId> SendRoom::start(Instant now)
{
    expire(now);
    std::vector<SendHoldId> started;
    for (auto &[id, hold] : holds_) {
        if (hold.startedAt) {
            continue;
        }
        if (!mayStart(hold, now)) {
            break;
        }
        hold.startedAt = now;
        ++held_;
        heldTokens_ += hold.tokens;
        notePeak(now);
        started.push_back(id);
    }
    return started;
}

bool SendRoom::mayStart(const Hold &hold, Instant now) const
{
    const auto refused = static_cast<int>(refusals_.size());
    const bool hasRoom = held_ + unpermitted(now) < capacity();
    const bool hasMemory = bounds_.memoryTokens <= 0 || held_ == 0 || heldTokens_ + hold.tokens <= bounds_.memoryTokens;
    if (!hasRoom || !hasMemory) {
        return false;
    }
    if (!bounds_.reported) { // each may be refused
        return held_ + refused < bounds_.maxRefusals;
    }
    if (refused == 0) {
        return true;
    }
    const auto unanswered
        = std::count_if(holds_.begin(), holds_.end(), [now](const auto &each) { return each.second.startedAt && now - *each.second.startedAt < answerTime; });
    return static_cast<double>(unanswered + refused) < bounds_.maxRefusals;
}

bool SendRoom::isStarted(SendHoldId id) const
{
    const auto found = holds_.find(id);
    return found != holds_.end() && found->second.startedAt;
}

void SendRoom::end(SendHoldId id, Instant now)
{
    const auto found = holds_.find(id);
    if (found == holds_.end() || found->second.isLost) {
        return;
    }
    if (found->second.startedAt) {
        const auto took = static_cast<double>((now - *found->second.startedAt).count());
        meanHoldMs_ = meanHoldMs_ == 0 ? took : meanHoldMs_ + (took - meanHoldMs_) * holdWeight;
    }
    release(found->second, now);
    holds_.erase(found);
}

void SendRoom::lose(SendHoldId id)
{
    if (const auto found = holds_.find(id); found != holds_.end()) {
        found->second.isLost = true;
    }
}

void SendRoom::onRefused(Instant now)
{
    refusals_.push_back(now);
    const int ran = std::min(capacity(), held_ + unpermitted(now) - 1);
    loweredTo_ = std::max({1, bounds_.slots / lowestDivisor, ran});
    raisedAt_ = now;
}

Milliseconds SendRoom::expectedWait() const
{
    const auto waiting = static_cast<double>(holds_.size()) - held_;
    const double meanMs = meanHoldMs_ == 0 ? initialHoldMs : meanHoldMs_;
    return Milliseconds(static_cast<std::int64_t>(std::ceil(std::min(maxExpectedWaitMs, meanMs * (waiting + 1) / capacity()))));
}

void SendRoom::expire(Instant now)
{
    while (!refusals_.empty() && now - refusals_.front() >= refusalWindow) {
        refusals_.pop_front();
    }
    if (loweredTo_ && now - raisedAt_ >= raiseInterval) {
        *loweredTo_ += std::max(1, bounds_.slots / raiseDivisor);
        raisedAt_ = now;
        if (*loweredTo_ >= bounds_.slots) {
            loweredTo_.reset();
        }
    }
    std::erase_if(holds_, [&](const auto &each) {
        const bool isOver = each.second.startedAt && now >= each.second.until;
        if (isOver) {
            release(each.second, now);
        }
        return isOver;
    });
    while (peaks_.size() > 1 && now - peaks_[1].first >= reportAge) {
        peaks_.pop_front();
    }
}

void SendRoom::release(const Hold &hold, Instant now)
{
    if (hold.startedAt) {
        --held_;
        heldTokens_ = held_ == 0 ? 0 : heldTokens_ - hold.tokens;
        notePeak(now);
    }
}

void SendRoom::notePeak(Instant now)
{
    if (!peaks_.empty() && peaks_.back().first == now) {
        peaks_.back().second = std::max(peaks_.back().second, held_);
    } else {
        peaks_.emplace_back(now, held_);
    }
}

int SendRoom::unpermitted(Instant now) const
{
    int peak = 0; // of permits held when the load was counted
    for (const auto &[at, held] : peaks_) {
        peak = now - at >= leastReportAge ? std::max(peak, held) : peak;
    }
    return std::max(0, bounds_.reported.value_or(0) - peak);
}

} // namespace baobabstall::serving
