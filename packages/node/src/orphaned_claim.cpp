#include "rattanrack/node/orphaned_claim.h"

namespace rattanrack::node {

namespace {

std::optional<policy::ClaimState> finalState(platform::AttemptState state)
{
    switch (state) {
    case platform::AttemptState::Completed:
        return policy::ClaimState::Completed;
    case platform::AttemptState::Failed:
    case platform::AttemptState::Stopped:
        return policy::ClaimState::Failed;
    case platform::AttemptState::NeverSeen:
    case platform::AttemptState::Running:
    case platform::AttemptState::Revoked:
        break;
    }
    return std::nullopt;
}

} // namespace

std::optional<policy::Claim> resolveOrphanedClaim(const policy::Claim& claim, const WorkerDirectory& workers)
{
    for (const auto& worker : workers.all()) {
        const auto report = handle([&]() -> Result<platform::AttemptReport> { return worker->revoke(claim.attempt); },
            [](const Error&) { return platform::AttemptReport {}; });
        if (const auto state = finalState(report.state)) {
            policy::Claim resolved = claim;
            resolved.state = *state;
            resolved.output = report.output;
            return resolved;
        }
    }
    return std::nullopt;
}

} // namespace rattanrack::node
