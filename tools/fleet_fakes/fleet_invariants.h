#pragma once

#include "rattanrack/policy/fleet_change.h"

namespace rattanrack::fakes {

/// Asserts what must hold of every change that takes effect: counts agree with the VMs' rows, epochs and versions only
/// grow, a planned stop leaves its pool's floor standing, and loans stay within their limits.
void checkChange(const policy::FleetSnapshot& before, const policy::FleetSnapshot& after, const policy::FleetChange&);

} // namespace rattanrack::fakes
