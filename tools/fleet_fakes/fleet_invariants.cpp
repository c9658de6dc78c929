#include "fleet_fakes/fleet_invariants.h"

#include "rattanrack/base/invariant.h"

#include <algorithm>
#include <set>

namespace rattanrack::fakes {

using namespace policy;

namespace {

/// Counts of one pool, taken from the VMs' rows without the code under test.
PoolCounts recount(const FleetSnapshot& rows, const PoolId& pool)
{
    PoolCounts counts;
    for (const auto& [id, vm] : rows.vms) {
        const bool startsLoan = vm.purpose == DrainPurpose::Move && vm.operation.isEmpty();
        const PoolId& holder = startsLoan && vm.targetPool != vm.homePool ? vm.targetPool : vm.pool;
        counts.borrowed += holder == pool && vm.homePool != pool ? 1 : 0;
        counts.lent += holder != pool && vm.homePool == pool ? 1 : 0;
        if (vm.pool != pool)
            continue;
        counts.members++;
        counts.revisions += vm.revision;
        const bool isDown = vm.phase == VmPhase::Failed || vm.phase == VmPhase::Leaving;
        counts.permits += vm.holdsPermit ? 1 : 0;
        counts.failed += !vm.holdsPermit && isDown ? 1 : 0;
        counts.joining += !vm.holdsPermit && vm.phase == VmPhase::Returning ? 1 : 0;
    }
    return counts;
}

std::uint32_t servingIn(const FleetSnapshot& rows, const PoolId& pool)
{
    return static_cast<std::uint32_t>(std::count_if(rows.vms.begin(), rows.vms.end(),
        [&](const auto& entry) { return entry.second.pool == pool && entry.second.phase == VmPhase::Serving; }));
}

std::uint32_t largestDomain(const FleetSnapshot& rows, const PoolRecord& pool)
{
    std::map<std::string, std::uint32_t> serving;
    for (const auto& [id, vm] : rows.vms) {
        if (vm.pool != pool.id || vm.phase != VmPhase::Serving || pool.settings.survives == FailureDomain::None)
            continue;
        const bool byRack = pool.settings.survives == FailureDomain::Rack;
        serving[vm.dataCenter.value() + (byRack ? "/" + vm.rack.value() : "")]++;
    }
    std::uint32_t largest = 0;
    for (const auto& [domain, count] : serving)
        largest = std::max(largest, count);
    return largest;
}

void checkPool(const FleetSnapshot& after, const PoolRecord& pool)
{
    checkInvariant(pool.counts == recount(after, pool.id), "pool.counts_match_vms", pool.id.value());
}

/// No VM is taken out of service in the name of a roll-out that has been paused or ended.
void checkCause(const FleetSnapshot& after, const VmRecord& vm)
{
    if (vm.operation.isEmpty())
        return;
    const auto rollOut = after.rollOuts.find(vm.operation);
    const bool runs = rollOut != after.rollOuts.end() && rollOut->second.state == RollOutState::Running;
    checkInvariant(runs, "rollout.starts_only_while_running", vm.id.value());
}

/// A permit was spent in `pool` by this change.
void checkBudget(const FleetSnapshot& after, const PoolRecord& pool)
{
    const auto serving = servingIn(after, pool.id);
    checkInvariant(serving >= pool.settings.floor, "pool.floor_survives_planned_stop", pool.id.value());
    checkInvariant(serving >= pool.settings.floor + largestDomain(after, pool), "pool.floor_survives_domain_loss",
        pool.id.value());
    checkInvariant(pool.counts.permits + pool.counts.failed <= pool.settings.maxPlannedDown,
        "pool.permits_within_limit", pool.id.value());
}

void checkVm(const VmRecord* before, const VmRecord& after)
{
    checkInvariant(!after.pool.isEmpty(), "vm.has_one_pool", after.id.value());
    if (!before)
        return;
    checkInvariant(after.version > before->version, "vm.version_grows", after.id.value());
    const bool stops = before->phase == VmPhase::Serving && after.phase != VmPhase::Serving;
    const bool moves = before->pool != after.pool;
    checkInvariant(after.epoch >= before->epoch, "vm.epoch_never_falls", after.id.value());
    checkInvariant(after.epoch > before->epoch || (!stops && !moves), "vm.epoch_grows_with_owner", after.id.value());
    checkInvariant(!moves || before->phase == VmPhase::Draining, "vm.moves_only_when_drained", after.id.value());
}

bool spendsPermit(const VmRecord* before, const VmRecord& after)
{
    return before && !before->holdsPermit && after.holdsPermit;
}

/// Every pool whose counts the change may touch, whether or not it writes their rows.
std::set<PoolId> poolsOf(const Before& before, const FleetChange& change)
{
    std::set<PoolId> pools;
    const auto add = [&](const VmRecord& vm) {
        for (const auto& id : { vm.pool, vm.homePool, vm.targetPool }) {
            if (!id.isEmpty())
                pools.insert(id);
        }
    };
    for (const auto& [id, vm] : before.vms)
        add(vm);
    for (const auto& vm : change.vms)
        add(vm);
    for (const auto& pool : change.pools)
        pools.insert(pool.id);
    return pools;
}

void checkBorrowing(const Before& before, const FleetSnapshot& after)
{
    std::uint32_t away = 0;
    for (const auto& [id, pool] : after.pools)
        away += pool.counts.borrowed;
    checkInvariant(away == after.borrowing.inUse, "borrowing.counts_match_pools");
    const bool grows = after.borrowing.inUse > before.borrowing.inUse;
    checkInvariant(!grows || after.borrowing.inUse <= after.borrowing.total, "borrowing.within_budget");
}

} // namespace

void checkChange(const Before& before, const FleetSnapshot& after, const FleetChange& change)
{
    for (const auto& id : poolsOf(before, change))
        checkPool(after, after.pools.at(id));
    for (const auto& written : change.vms) {
        const auto& vm = after.vms.at(written.id);
        const auto old = before.vms.find(vm.id);
        const auto* oldVm = old == before.vms.end() ? nullptr : &old->second;
        checkVm(oldVm, vm);
        if (!spendsPermit(oldVm, vm))
            continue;
        checkBudget(after, after.pools.at(vm.pool));
        checkCause(after, vm);
    }
    checkBorrowing(before, after);
}

} // namespace rattanrack::fakes
