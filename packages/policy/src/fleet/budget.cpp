#include "rattanrack/policy/fleet_budget.h"

#include "counting.h"

#include <algorithm>
#include <array>

namespace rattanrack::policy {

namespace {

using DomainCounts = std::map<std::string, std::uint32_t>;

/// Brings the counts of VMs that serve `pool` up to what `edit` leaves.
void follow(DomainCounts& serving, const FleetSnapshot& snapshot, const FleetEdit& edit, const PoolRecord& pool)
{
    const FailureDomain domain = pool.settings.survives;
    for (const auto& after : edit.vms()) {
        const auto before = snapshot.vms.find(after.id);
        const bool served = before != snapshot.vms.end() && before->second.phase == VmPhase::Serving;
        if (served && before->second.pool == pool.id)
            serving[domainOf(before->second, domain)]--;
        if (after.phase == VmPhase::Serving && after.pool == pool.id)
            serving[domainOf(after, domain)]++;
    }
}

/// VMs that the loss of the worst domain would cost once `vm` is out of service too.
std::uint32_t worstDomainLoss(const FleetSnapshot& snapshot, const PoolTally& tally, const FleetEdit& edit,
    const PoolRecord& pool, const VmRecord& vm)
{
    const FailureDomain domain = pool.settings.survives;
    if (domain == FailureDomain::None)
        return 0;
    DomainCounts serving = domain == FailureDomain::Rack ? tally.servingByRack : tally.servingByDataCenter;
    follow(serving, snapshot, edit, pool);
    serving[domainOf(vm, domain)]--;
    std::uint32_t worst = 0;
    for (const auto& [id, count] : serving)
        worst = std::max(worst, count);
    return worst;
}

} // namespace

std::string_view name(FleetRefusal refusal)
{
    static constexpr std::array<std::string_view, 17> s_names { "none", "unknown-vm", "unknown-pool",
        "unknown-roll-out", "already-exists", "no-targets", "not-serving", "not-heard", "wrong-state", "same-pool",
        "torn-snapshot", "permits-spent", "floor-reached", "domain-loss-not-covered", "borrow-limit", "lend-limit",
        "shared-budget-spent" };
    return s_names.at(static_cast<std::size_t>(refusal));
}

bool isWhole(const PoolRecord& pool, const PoolTally& tally)
{
    const auto& counts = tally.counts;
    return pool.counts.members == counts.members && pool.counts.permits == counts.permits
        && pool.counts.failed == counts.failed && pool.counts.joining == counts.joining
        && pool.counts.revisions == counts.revisions;
}

FleetRefusal mayDisrupt(const FleetSnapshot& snapshot, const std::map<PoolId, PoolTally>& tallies,
    const FleetEdit& edit, const VmRecord& vm)
{
    if (vm.phase != VmPhase::Serving || edit.touches(vm.id))
        return FleetRefusal::NotServing;
    const auto stored = snapshot.pools.find(vm.pool);
    const auto tally = tallies.find(vm.pool);
    if (stored == snapshot.pools.end() || tally == tallies.end())
        return FleetRefusal::UnknownPool;
    if (!isWhole(stored->second, tally->second))
        return FleetRefusal::TornSnapshot;
    const auto& pool = *edit.pool(vm.pool);
    const std::uint32_t down = pool.counts.permits + pool.counts.failed + tally->second.silent;
    if (down >= pool.settings.maxPlannedDown)
        return FleetRefusal::PermitsSpent;
    const std::uint32_t lost = tally->second.silent + 1;
    if (pool.counts.serving() < pool.settings.floor + lost)
        return FleetRefusal::FloorReached;
    const auto worst = worstDomainLoss(snapshot, tally->second, edit, pool, vm);
    if (pool.counts.serving() < pool.settings.floor + lost + worst)
        return FleetRefusal::DomainLossNotCovered;
    return FleetRefusal::None;
}

FleetRefusal mayMove(const FleetEdit& edit, const VmRecord& vm, const PoolId& target)
{
    if (vm.pool == target)
        return FleetRefusal::SamePool;
    const auto* borrower = edit.pool(target);
    if (!borrower)
        return FleetRefusal::UnknownPool;
    if (vm.homePool == target)
        return FleetRefusal::None;
    if (borrower->counts.borrowed >= borrower->settings.mayBorrow)
        return FleetRefusal::BorrowLimit;
    if (isAway(vm))
        return FleetRefusal::None;
    const auto* lender = edit.pool(vm.homePool);
    if (lender && lender->counts.lent >= lender->settings.mayLend)
        return FleetRefusal::LendLimit;
    if (edit.borrowing().inUse >= edit.borrowing().total)
        return FleetRefusal::SharedBudgetSpent;
    return FleetRefusal::None;
}

} // namespace rattanrack::policy
