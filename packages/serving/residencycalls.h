// serving/residencycalls.h: requests for weights and turns as messages between hosts. No I/O.
#pragma once

#include <peers/messages.h>
#include <serving/node.h>

namespace baobabstall::serving {

[[nodiscard]] inline peers::ResidencyCall callOf(const ResidencyRequest &request)
{
    return {.replica = request.replica,
            .model = request.weights.model,
            .adapter = request.weights.adapter,
            .revision = request.minRevision.value(),
            .waitMs = request.maxWait.count(),
            .onTimeMs = request.timeUntilLate.count(),
            .rank = request.claimant.rank,
            .workspace = request.claimant.workspace};
}

[[nodiscard]] inline ResidencyRequest requestOf(const peers::ResidencyCall &call)
{
    return {.replica = call.replica,
            .weights = {call.model, call.adapter},
            .minRevision = AdapterRevision(call.revision),
            .maxWait = Milliseconds(call.waitMs),
            .timeUntilLate = Milliseconds(call.onTimeMs),
            .claimant = {call.rank, call.workspace}};
}

[[nodiscard]] inline peers::PrefillCall callOf(const PrefillRequest &request)
{
    const auto &[rank, workspace, isLate] = request.claimant;
    return {.replica = request.replica,
            .promptTokens = request.promptTokens,
            .waitMs = request.maxWait.count(),
            .rank = rank,
            .workspace = workspace,
            .isLate = isLate};
}

[[nodiscard]] inline PrefillRequest requestOf(const peers::PrefillCall &call)
{
    return {
        .replica = call.replica, .promptTokens = call.promptTokens, .maxWait = Milliseconds(call.waitMs), .claimant = {call.rank, call.workspace, call.isLate}};
}

} // namespace baobabstall::serving
