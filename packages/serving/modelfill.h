// serving/modelfill.h: how full a model replica may be for one more request, by who asks. One for each service, at each host. No I/O.
//
//   if (fill >= modelFill.most(claimant, now)) ...   // refuse it: one more would wait longer than most objectives, or others go first
//   modelFill.onSend(claimant, now);
//
// Requests that the order of claims.h puts behind others leave the last part of a replica's room to them.
#pragma once

#include <admission/usualrates.h>
#include <serving/claims.h>

namespace baobabstall::serving {

class ModelFill
{
public:
    // Running requests per slot. Beyond the first a request would wait longer than most objectives.
    static constexpr double mostFill = 1.6;
    static constexpr double aboveUsualFill = 1.4;  // of workspaces that take far more than usual
    static constexpr double lessUrgentFill = 1.25; // the slots are taken, and a few wait for the next

    [[nodiscard]] double most(const Claimant &claimant, core::Instant now) const
    {
        const bool isAbove = !claimant.workspace.empty() && usual_.above(now).contains(claimant.workspace);
        return claimant.rank > 0 ? lessUrgentFill : isAbove ? aboveUsualFill : mostFill;
    }
    void onSend(const Claimant &claimant, core::Instant now) { usual_.take(claimant.workspace, now); }

private:
    admission::UsualRates usual_; // requests that this host sent
};

} // namespace baobabstall::serving
