#pragma once

#include "rattanrack/policy/fleet_change.h"
#include "rattanrack/policy/fleet_transitions.h"

namespace rattanrack::policy {

/// Why a planned step can't be taken now.
enum class FleetRefusal : std::uint8_t {
    None,
    UnknownVm,
    UnknownPool,
    UnknownRollOut,
    AlreadyExists,
    NoTargets,
    NotServing, ///< The VM is disrupted already, failed or leaving.
    NotHeard, ///< The VM's worker has not been heard of late.
    WrongState, ///< The roll-out is not in a state that allows this.
    SamePool,
    TornSnapshot, ///< The pool's rows were read while they changed; ask again.
    PermitsSpent, ///< Planned stops and failures use up what the pool may lose.
    FloorReached, ///< One VM less would break the pool's floor.
    DomainLossNotCovered, ///< One VM less, and the loss of a failure domain would break the floor.
    BorrowLimit, ///< The target pool may not borrow more.
    LendLimit, ///< The home pool may not lend more.
    SharedBudgetSpent, ///< All VMs that may be away from home are.
};
std::string_view name(FleetRefusal);

/// Whether the pool's rows in the snapshot belong together. `tally` is that of the same snapshot.
bool isWhole(const PoolRecord&, const PoolTally& tally);

/// Whether a permit may be spent on a Serving VM, counting what `edit` already does and what this node does not hear.
FleetRefusal mayDisrupt(
    const FleetSnapshot&, const std::map<PoolId, PoolTally>& tallies, const FleetEdit&, const VmRecord&);

/// Whether limits allow the VM to be moved to `target`; `mayDisrupt` is asked apart.
FleetRefusal mayMove(const FleetEdit&, const VmRecord&, const PoolId& target);

} // namespace rattanrack::policy
