#include <serving/prefillturns.h>

#include <algorithm>

namespace baobabstall::serving {

void PrefillRate::add(double promptTokens, Milliseconds untilFirstEvent)
{
    const auto time = static_cast<double>(untilFirstEvent.count());
    weight_ = weight_ * retention + 1;
    tokens_ = tokens_ * retention + promptTokens;
    times_ = times_ * retention + time;
    tokensSquared_ = tokensSquared_ * retention + promptTokens * promptTokens;
    tokensTimes_ = tokensTimes_ * retention + promptTokens * time;
}

double PrefillRate::tokensPerMs() const
{
    const double tokenSpread = weight_ * tokensSquared_ - tokens_ * tokens_;
    const double covariance = weight_ * tokensTimes_ - tokens_ * times_;
    if (weight_ < minWeight || tokenSpread <= 0 || covariance <= 0) {
        return initialTokensPerMs;
    }
    return std::clamp(tokenSpread / covariance, minTokensPerMs, maxTokensPerMs);
}

TurnId PrefillTurns::request(double promptTokens, Instant startBy, Instant now)
{
    newest_ = newest_.next();
    waiting_.emplace(std::pair(std::max(startBy, now), newest_), promptTokens);
    return newest_;
}

void PrefillTurns::end(TurnId id)
{
    if (const auto found = started_.find(id); found != started_.end()) {
        startedTokens_ -= found->second.tokens;
        started_.erase(found);
        return;
    }
    std::erase_if(waiting_, [id](const auto &each) { return each.first.second == id; });
}

std::vector<TurnId> PrefillTurns::start(Instant now)
{
    endOverdue(now);
    std::vector<TurnId> starting;
    while (!waiting_.empty()) {
        const auto &[key, tokens] = *waiting_.begin();
        const auto [startBy, id] = key;
        const bool mayStart = limit_ <= 0 || started_.empty() || startedTokens_ + tokens <= limit_ || startBy <= now;
        if (!mayStart) {
            break; // nothing overtakes it, else long prompts would only start when their time is up
        }
        started_[id] = {tokens, now + maxTurn};
        startedTokens_ += tokens;
        starting.push_back(id);
        waiting_.erase(waiting_.begin());
    }
    return starting;
}

void PrefillTurns::endOverdue(Instant now)
{
    std::vector<TurnId> overdue;
    for (const auto &[id, turn] : started_) {
        if (turn.endsBy <= now) {
            overdue.push_back(id);
        }
    }
    for (const auto id : overdue) {
        end(id);
    }
}

bool PrefillTurns::isStarted(TurnId id) const
{
    return started_.contains(id);
}

} // namespace baobabstall::serving
