// serving/runtimes.h: how long requests to a service are expected to run, from the runs that this host has seen. No I/O.
//
//   RunTimes times;                                       // one for each service
//   times.add({.untilFirst = ..., .rest = ..., .events = 12}); // a run has ended
//   const auto expected = times.expected(300, false);     // nothing: too few runs are known, or nothing bounds the length of the response
//
// The slowest start of the last runs, plus their slowest pace for each output token that the caller allows; an event has one token or more. This is an
// estimate and no bound: an upstream may become slower than in all of the last runs. What must not be cut goes by its deadline (gracefulstop.h).
#pragma once

#include <array>
#include <cstddef>
#include <optional>

#include <core/clock.h>

namespace baobabstall::serving {

using core::Milliseconds;

class RunTimes
{
public:
    static constexpr std::size_t minRuns = 4;   // before anything is expected
    static constexpr std::size_t keptRuns = 32; // the latest

    struct Run {
        Milliseconds untilFirst{0}; // from the send to the first event, or to the whole response of a request that is no stream
        Milliseconds rest{0};       // from the first event to the last
        int events = 0;             // of a stream
    };

    void add(const Run &run);
    /// From the send of a request to the end of its response. `maxTokens`: output tokens that the caller allows; 0: not known, then a stream that
    /// may go on elsewhere is expected to take as long as the longest of the last ones.
    [[nodiscard]] std::optional<Milliseconds> expected(double maxTokens, bool mayGoOnElsewhere) const;

private:
    std::array<Run, keptRuns> runs_;
    std::size_t next_ = 0;
    std::size_t count_ = 0;
};

} // namespace baobabstall::serving
