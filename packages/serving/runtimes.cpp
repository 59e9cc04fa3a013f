#include <serving/runtimes.h>

#include <algorithm>
#include <cmath>

namespace baobabstall::serving {

void RunTimes::add(const Run &run)
{
    runs_.at(next_) = run;
    next_ = (next_ + 1) % keptRuns;
    count_ = std::min(count_ + 1, keptRuns);
}

std::optional<Milliseconds> RunTimes::expected(double maxTokens, bool mayGoOnElsewhere) const
{
    if (count_ < minRuns) {
        return std::nullopt;
    }
    Milliseconds slowestStart{0};
    Milliseconds longestRest{0};
    double msPerEvent = 0; // 0: responses come as a whole
    for (std::size_t i = 0; i < count_; ++i) {
        const auto &run = runs_.at(i);
        slowestStart = std::max(slowestStart, run.untilFirst);
        longestRest = std::max(longestRest, run.rest);
        msPerEvent = std::max(msPerEvent, static_cast<double>(run.rest.count()) / std::max(1, run.events - 1));
    }
    const bool isBounded = maxTokens > 0 || longestRest.count() == 0;
    if (!isBounded && !mayGoOnElsewhere) {
        return std::nullopt;
    }
    return slowestStart + (isBounded ? Milliseconds(static_cast<std::int64_t>(std::ceil(msPerEvent * maxTokens))) : longestRest);
}

} // namespace baobabstall::serving
