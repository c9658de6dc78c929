#pragma once

#include "rattanrack/policy/fleet_change.h"

namespace rattanrack::fakes {

/// The rows that a change replaces, as they were.
struct Before {
    std::map<VmId, policy::VmRecord> vms;
    policy::BorrowingRecord borrowing;
};

/// Asserts what must hold of every change that takes effect: counts agree with the VMs' rows, epochs and versions only
/// grow, a planned stop leaves its pool's floor standing, and loans stay within their limits.
void checkChange(const Before&, const policy::FleetSnapshot& after, const policy::FleetChange&);

} // namespace rattanrack::fakes
