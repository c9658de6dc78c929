#pragma once

#include "fleet.h"

namespace review {

/// Nodes are replaced by others at new addresses, one after the other; then consumers call each node. Returns 1 if a
/// node does not answer for an accepted job, 0 if all do, 2 if the case can't run. Without `hasTrouble` the nodes are
/// restarted as often at the addresses that they had.
int runReplacedNodesCase(Fleet& fleet, bool hasTrouble);

} // namespace review
