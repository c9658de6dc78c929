#pragma once

#include "round.h"

/// Moves roll-outs forward within the budgets.
namespace rattanrack::policy {

/// Starts targets of a running roll-out, and ends or pauses it when it is time.
void runRollOut(FleetRound&, const RollOutRecord&);

/// Forgets completed roll-outs that have ended.
void pruneCompleted(const FleetRound&, VmRecord&);

/// True when the roll-out that disrupts the VM has ended.
bool hasLostItsCause(const FleetRound&, const VmRecord&);

} // namespace rattanrack::policy
