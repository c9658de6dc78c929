#pragma once

#include "../model/cell_simulation.h"
#include "walk_seeds.h"

/// Random walks of random jobs under random faults, checked by the simulation's oracle.
namespace rattanrack::jobs::tests {

/// Plays and checks a walk for each seed. From the environment: RATTANRACK_WALK_TRACE (prefix of the jobs and workers
/// whose events are printed).
void runWalks(const model::FaultRates& faults, const WalkSeeds& seeds, int jobs, int longRunningJobs = 1);

model::FaultRates commonFaults();
model::FaultRates flaps();
model::FaultRates starvedOwnersAndFlaps();

/// Workers whose connections end with each response: their leases are not bound to an incarnation.
model::FaultRates withClosedConnections(model::FaultRates rates);

} // namespace rattanrack::jobs::tests
