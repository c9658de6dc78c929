#pragma once

#include "rattanrack/policy/fleet_records.h"

#include <string>

/// How one VM's row counts in the rows of pools.
namespace rattanrack::policy {

/// Where the VM is, or goes when a move is under way.
inline const PoolId& destination(const VmRecord& vm) { return vm.targetPool.isEmpty() ? vm.pool : vm.targetPool; }

inline bool isAway(const VmRecord& vm) { return destination(vm) != vm.homePool; }

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
    return !isAway(before) || (destination(before) == destination(after) && before.homePool == after.homePool);
}

} // namespace rattanrack::policy
