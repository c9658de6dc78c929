#pragma once

#include "rattanrack/node/worker_directory.h"
#include "rattanrack/policy/claims.h"

#include <optional>

namespace rattanrack::node {

/// Queries the workers for the outcome of a claim whose owner has gone, and revokes its attempt on each worker queried,
/// so that none of them starts it later. Blocks; must not be called on the control thread.
///
/// Returns the claim in its final state if a worker ran it to an end, and nothing otherwise: a claim is never reported
/// as not run here, since it may have run on a VM that has left the fleet meanwhile.
std::optional<policy::Claim> resolveOrphanedClaim(const policy::Claim& claim, const WorkerDirectory& workers);

} // namespace rattanrack::node
