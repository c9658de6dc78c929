#include "rattanrack/policy/fleet_snapshot.h"

#include "counting.h"

namespace rattanrack::policy {

bool isHeard(const FleetSnapshot& snapshot, const VmId& vm, TimePoint now, Duration patience)
{
    const auto found = snapshot.observations.find(vm);
    return found != snapshot.observations.end() && now - found->second.heardAt < patience;
}

bool takesWork(const FleetSnapshot& snapshot, const VmRecord& vm)
{
    const auto listed = snapshot.listed.find(vm.id);
    const bool isLeaving = listed != snapshot.listed.end() && listed->second.isLeaving;
    return vm.phase == VmPhase::Serving && !isLeaving;
}

std::map<PoolId, PoolTally> tallyPools(const FleetSnapshot& snapshot, TimePoint now, Duration patience)
{
    std::map<PoolId, PoolTally> tallies;
    for (const auto& [id, vm] : snapshot.vms) {
        auto& tally = tallies[vm.pool];
        countMember(tally.counts, vm, 1);
        if (isAway(vm)) {
            tallies[borrowerOf(vm)].counts.borrowed++;
            tallies[vm.homePool].counts.lent++;
        }
        if (vm.phase != VmPhase::Serving)
            continue;
        tally.servingByRack[domainOf(vm, FailureDomain::Rack)]++;
        tally.servingByDataCenter[domainOf(vm, FailureDomain::DataCenter)]++;
        if (!isHeard(snapshot, id, now, patience))
            tally.silent++;
    }
    return tallies;
}

} // namespace rattanrack::policy
