// gateway/trace.h: what happened to recent requests, for `baobabstall explain`. No I/O.
#pragma once

#include <cstddef>
#include <deque>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include <core/error.h>
#include <core/types.h>

namespace baobabstall::gateway {

/// One step of a request on this daemon.
struct TraceStep {
    std::int64_t atMs = 0; // civil time
    core::Step step = core::Step::Receive;
    std::string peer; // host or upstream; empty when none
    std::string note; // plain English; no keys and no caller's text
};

/// The steps of the most recent requests; older requests are forgotten.
class TraceLog
{
public:
    static constexpr std::size_t maxRequests = 2'000;
    static constexpr std::size_t maxSteps = 64; // of one request; later ones are dropped

    void add(const core::RequestId &request, core::Step step, std::string peer, std::string note);
    [[nodiscard]] std::optional<std::vector<TraceStep>> find(const core::RequestId &request) const;

private:
    std::unordered_map<core::RequestId, std::vector<TraceStep>> steps_;
    std::deque<core::RequestId> order_; // oldest first
};

} // namespace baobabstall::gateway
