#pragma once

#include "rattanrack/node/worker_directory.h"
#include "rattanrack/policy/claims.h"

#include <optional>

namespace rattanrack::node {

/// Finds out at the workers what became of a claim whose owner has gone, and makes sure that none of those asked starts
/// it any more. Blocks; not for the control thread.
///
/// Returns the claim in its final state when a worker ran it to an end. Empty otherwise: a claim is never declared as
/// not run here, since a VM that has left the fleet meanwhile may have run it.
std::optional<policy::Claim> resolveOrphanedClaim(const policy::Claim& claim, const WorkerDirectory& workers);

} // namespace rattanrack::node
