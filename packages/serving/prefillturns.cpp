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

TurnId PrefillTurns::request(double promptTokens, Instant startBy, Instant now, Claimant claimant)
{
    newest_ = newest_.next();
    waiting_.emplace(std::pair(std::max(startBy, now), newest_), Waiter{.tokens = promptTokens, .claimant = std::move(claimant)});
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
        const auto above = usual_.above(now);
        const auto first = next(above, now);
        if (first == waiting_.end()) {
            break;
        }
        noteGivenWay(first, above);
        const auto id = first->first.second;
        const auto &waiter = first->second;
        usual_.take(waiter.claimant.workspace, now, waiter.tokens);
        started_[id] = {waiter.tokens, now + maxTurn, standingOf(waiter, above)};
        startedTokens_ += waiter.tokens;
        starting.push_back(id);
        waiting_.erase(first);
    }
    return starting;
}

PrefillTurns::Waiting::iterator PrefillTurns::next(const Above &above, Instant now)
{
    auto first = waiting_.begin();
    auto standing = standingOf(first->second, above);
    for (auto each = std::next(first); each != waiting_.end(); ++each) {
        const auto other = standingOf(each->second, above);
        if (other < standing) {
            first = each;
            standing = other;
        }
    }
    if (limit_ <= 0 || hasRoom(first->second.tokens, standing)) {
        return first; // nothing overtakes it, else long prompts would only start when their time is up
    }
    const bool isTimeUp = waiting_.begin()->first.first <= now;
    return isTimeUp ? waiting_.begin() : waiting_.end();
}

bool PrefillTurns::hasRoom(double tokens, const Standing &standing) const
{
    double ahead = 0;
    bool isFirst = true;
    for (const auto &[id, turn] : started_) {
        if (turn.standing <= standing) {
            ahead += turn.tokens;
            isFirst = false;
        }
    }
    return isFirst || ahead + tokens <= limit_;
}

void PrefillTurns::noteGivenWay(Waiting::const_iterator starting, const Above &above)
{
    const auto &to = starting->second;
    const auto standing = standingOf(to, above);
    for (auto each = waiting_.begin(); each != waiting_.end() && each->first < starting->first; ++each) {
        auto &from = each->second;
        const auto other = standingOf(from, above);
        if (!from.hasGivenWay && standing < other) {
            from.hasGivenWay = true;
            givenWay_.push_back({from.claimant, to.claimant, whyAfter(other, standing)});
        }
    }
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
