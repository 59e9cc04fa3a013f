#include <serving/backoffs.h>

#include <algorithm>

namespace baobabstall::serving {

Milliseconds Backoffs::begin(const UpstreamId &id, Milliseconds delay, Instant now)
{
    auto &end = endsAt_.try_emplace(id, now).first->second;
    end = std::max(end, now + std::min(delay, maxDelay));
    return end - now;
}

void Backoffs::end(const UpstreamId &id)
{
    endsAt_.erase(id);
}

std::vector<UpstreamId> Backoffs::takeEnded(Instant now)
{
    std::vector<UpstreamId> ended;
    for (auto it = endsAt_.begin(); it != endsAt_.end();) {
        if (now >= it->second) {
            ended.push_back(it->first);
            it = endsAt_.erase(it);
        } else {
            ++it;
        }
    }
    return ended;
}

Milliseconds Backoffs::remaining(const UpstreamId &id, Instant now) const
{
    const auto found = endsAt_.find(id);
    return found == endsAt_.end() ? Milliseconds(0) : std::max(Milliseconds(0), found->second - now);
}

} // namespace baobabstall::serving
