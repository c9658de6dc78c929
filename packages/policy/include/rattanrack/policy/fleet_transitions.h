#pragma once

#include "rattanrack/policy/fleet_records.h"

/// The allowed changes of a VM's row, as pure functions from one row to the next.
namespace rattanrack::policy {

/// Why a VM is to be drained.
struct Disruption {
    DrainPurpose purpose { DrainPurpose::Hold };
    RollOutId operation; ///< Empty for moves that follow demand.
    PoolId targetPool; ///< For Move.
};

/// Serving to Draining: a new epoch, and a permit of its pool.
VmRecord startDrain(const VmRecord&, const Disruption&);

/// Draining to what follows once the worker, running boot `bootId`, is empty. A move within a roll-out also changes the
/// home pool; any other move is a loan.
VmRecord afterDrain(const VmRecord&, std::uint64_t bootId);

/// To Returning under a new epoch; the permit, if any, is kept until `confirmServing`.
VmRecord startReturn(const VmRecord&);

/// Returning to Serving once the worker, running boot `bootId`, takes work under the row's epoch. The roll-out that
/// disrupted it is noted as completed.
VmRecord confirmServing(const VmRecord&, std::uint64_t bootId);

/// To Failed: a permit it held turns into a counted failure, a move under way ends where it started.
VmRecord markFailed(const VmRecord&);

/// To Leaving; a permit it holds is kept.
VmRecord markLeaving(const VmRecord&);

} // namespace rattanrack::policy
