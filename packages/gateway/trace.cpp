#include <gateway/trace.h>

#include <core/clock.h>

namespace baobabstall::gateway {

void TraceLog::add(const core::RequestId &request, core::Step step, std::string peer, std::string note)
{
    const auto [entry, isNew] = steps_.try_emplace(request);
    if (isNew) {
        order_.push_back(request);
    }
    if (entry->second.size() < maxSteps) {
        entry->second.push_back({core::civilMilliseconds(), step, std::move(peer), std::move(note)});
    }
    if (order_.size() > maxRequests) {
        steps_.erase(order_.front());
        order_.pop_front();
    }
}

std::optional<std::vector<TraceStep>> TraceLog::find(const core::RequestId &request) const
{
    const auto found = steps_.find(request);
    if (found == steps_.end()) {
        return std::nullopt;
    }
    return found->second;
}

} // namespace baobabstall::gateway
