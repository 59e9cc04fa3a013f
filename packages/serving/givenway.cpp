#include <serving/givenway.h>

#include <algorithm>

namespace baobabstall::serving {

void GivenWayLog::add(std::string_view room, const GivenWay &way)
{
    const std::pair key(std::string(room), way);
    if (counts_.size() < maxPairs || counts_.contains(key)) {
        ++counts_[key];
    }
}

std::vector<GivenWayLog::Line> GivenWayLog::take(core::Instant now)
{
    std::vector<Line> lines;
    if (counts_.empty() || (takenAt_ && now - *takenAt_ < interval)) {
        return lines;
    }
    for (const auto &[key, count] : std::exchange(counts_, {})) {
        lines.push_back({key.first, key.second, count});
    }
    std::stable_sort(lines.begin(), lines.end(), [](const Line &a, const Line &b) { return a.count > b.count; });
    lines.resize(std::min(lines.size(), maxLines));
    takenAt_ = now;
    return lines;
}

} // namespace baobabstall::serving
