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

std::optional<Milliseconds> RunTimes::expected(double size) const
{
    if (count_ < minRuns) {
        return std::nullopt;
    }
    Milliseconds slowestStart{0};
    Milliseconds longestRest{0};
    double msPerToken = 0;
    for (std::size_t i = 0; i < count_; ++i) {
        const auto &run = runs_.at(i);
        slowestStart = std::max(slowestStart, run.untilFirst);
        longestRest = std::max(longestRest, run.rest);
        msPerToken = std::max(msPerToken, run.size > 0 ? static_cast<double>(run.rest.count()) / run.size : 0);
    }
    const bool isPaceKnown = size > 0 && msPerToken > 0;
    return slowestStart + (isPaceKnown ? Milliseconds(static_cast<std::int64_t>(std::ceil(msPerToken * size))) : longestRest);
}

} // namespace baobabstall::serving
