// serving/runtimes.h: how long requests to a service are expected to run, from the runs that this host has seen. No I/O.
//
//   RunTimes times;                                       // one for each service
//   times.add({.untilFirst = ..., .rest = ..., .size = 120}); // a run has ended
//   const auto expected = times.expected(300);            // nothing: too few runs are known
//
// An estimate is an upper one: the slowest start plus the slowest pace of the last runs. A host that stops sends only what it expects to
// end before it does, so that an estimate that is too high causes a refusal, and one that is too low a broken response.
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
        double size = 0;            // output tokens that the caller asked for; 0: not known
    };

    void add(const Run &run);
    /// From the send of a request of this size to the end of its response.
    [[nodiscard]] std::optional<Milliseconds> expected(double size) const;

private:
    std::array<Run, keptRuns> runs_;
    std::size_t next_ = 0;
    std::size_t count_ = 0;
};

} // namespace baobabstall::serving
