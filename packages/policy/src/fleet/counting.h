#pragma once

#include "rattanrack/policy/fleet_records.h"

#include <string>

/// How one VM's row counts in the rows of pools.
namespace rattanrack::policy {

/// The pool that has the VM on loan. A loan begins when the VM starts on its way and ends when it is home again, so
/// that a move that fails half-way never needs more than was granted. A move within a roll-out changes the owner and is
/// none.
inline const PoolId& borrowerOf(const VmRecord& vm)
{
    const bool isLoan = vm.operation.isEmpty() && !vm.targetPool.isEmpty() && vm.targetPool != vm.homePool;
    return isLoan ? vm.targetPool : vm.pool;
}

inline bool isAway(const VmRecord& vm) { return borrowerOf(vm) != vm.homePool; }

/// Which of the counts beside `members` the VM stands in; null for one that serves.
inline std::uint32_t PoolCounts::*countFor(const VmRecord& vm)
{
    if (vm.holdsPermit)
        return &PoolCounts::permits;
    if (vm.phase == VmPhase::Failed || vm.phase == VmPhase::Leaving)
        return &PoolCounts::failed;
    if (vm.phase == VmPhase::Returning)
        return &PoolCounts::joining;
    return nullptr;
}

/// Adds (`sign` 1) or removes (-1) a member.
inline void countMember(PoolCounts& counts, const VmRecord& vm, int sign)
{
    const auto step = static_cast<std::uint32_t>(sign);
    counts.members += step;
    counts.revisions += sign > 0 ? vm.revision : 0 - vm.revision;
    if (const auto count = countFor(vm))
        counts.*count += step;
}

inline std::string domainOf(const VmRecord& vm, FailureDomain domain)
{
    if (domain == FailureDomain::Rack)
        return vm.dataCenter.value() + "/" + vm.rack.value();
    return vm.dataCenter.value();
}

/// Whether the change leaves the counts of members untouched.
inline bool countsAlike(const VmRecord& before, const VmRecord& after)
{
    return before.pool == after.pool && countFor(before) == countFor(after);
}

/// Whether the change leaves the counts of loans untouched.
inline bool isAwayAlike(const VmRecord& before, const VmRecord& after)
{
    if (isAway(before) != isAway(after))
        return false;
    return !isAway(before) || (borrowerOf(before) == borrowerOf(after) && before.homePool == after.homePool);
}

} // namespace rattanrack::policy
