#include <serving/streamsearch.h>

#include <algorithm>

namespace baobabstall::serving {

StreamSearch::StreamSearch(const FoundStream &own, Instant now, Milliseconds patience)
    : beganAt_(now)
    , patience_(patience)
{
    apply(own);
}

std::vector<HostId> StreamSearch::takeHosts(const std::vector<HostId> &keepers, Instant now)
{
    keepers_ = keepers.size();
    const bool asksMore = !isKnown() && (now - beganAt_ >= settleTime || (!hosts_.empty() && allAnswered()));
    const auto count = std::min(keepers.size(), asksMore ? StreamRecords::keptHosts : StreamRecords::askedHosts);
    std::vector<HostId> taken;
    for (std::size_t i = 0; i < count; ++i) {
        const auto [asked, isNew] = hosts_.try_emplace(keepers[i]);
        const bool isDue = asked->second.state == State::Failed && now - asked->second.failedAt >= retryDelay;
        if (isNew || isDue) {
            asked->second.state = State::Asked;
            taken.push_back(keepers[i]);
        }
    }
    best_.asked = hosts_.size();
    return taken;
}

void StreamSearch::onAnswer(const HostId &host, const FoundStream &found)
{
    auto &asked = hosts_[host];
    if (asked.state != State::Answered) {
        asked.state = State::Answered;
        ++best_.answered;
        apply(found);
    }
}

void StreamSearch::onFailed(const HostId &host, Instant now)
{
    auto &asked = hosts_[host];
    if (asked.state == State::Asked) {
        asked = {State::Failed, now};
    }
}

void StreamSearch::apply(const FoundStream &found)
{
    if (!found.origin || (best_.origin && found.origin->send < best_.origin->send)) {
        return;
    }
    if (best_.origin && *found.origin == *best_.origin) {
        ++holders_;
        return;
    }
    best_.origin = found.origin;
    best_.source = found.source;
    best_.age = found.age;
    holders_ = 1;
}

bool StreamSearch::allAnswered() const
{
    return std::all_of(hosts_.begin(), hosts_.end(), [](const auto &each) { return each.second.state == State::Answered; });
}

bool StreamSearch::isDone(Instant now) const
{
    if (now - beganAt_ >= patience_) {
        return true;
    }
    if (!isKnown()) {
        return keepers_ > 0 && allAnswered() && hosts_.size() >= std::min(keepers_, StreamRecords::keptHosts);
    }
    const bool isSettled = now - beganAt_ >= settleTime || (!hosts_.empty() && allAnswered());
    return best_.source == OriginSource::Own || holders_ >= enoughHolders || isSettled;
}

} // namespace baobabstall::serving
