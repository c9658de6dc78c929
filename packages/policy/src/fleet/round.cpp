#include "round.h"

#include "counting.h"

#include <algorithm>

namespace rattanrack::policy {

namespace {

constexpr std::size_t maxVmsPerChange = 16;

/// A node that hears fewer than half of the VMs that the platform lists as live says nothing about the others.
bool hearsMostOf(const FleetSnapshot& snapshot, TimePoint now, Duration patience)
{
    std::size_t expected = 0;
    std::size_t heard = 0;
    for (const auto& [id, vm] : snapshot.vms) {
        const auto listed = snapshot.listed.find(id);
        const bool isListed = listed != snapshot.listed.end() && !listed->second.isLeaving;
        if (snapshot.hasList && !isListed)
            continue;
        expected++;
        heard += isHeard(snapshot, id, now, patience) ? 1 : 0;
    }
    return heard * 2 >= expected;
}

template <typename Map, typename Id> const typename Map::mapped_type* findIn(const Map& map, const Id& id)
{
    const auto found = map.find(id);
    return found == map.end() ? nullptr : &found->second;
}

void addPools(std::set<PoolId>& pools, const VmRecord& vm, bool withLoan)
{
    pools.insert(vm.pool);
    if (withLoan && isAway(vm))
        pools.insert({ borrowerOf(vm), vm.homePool });
}

} // namespace

FleetRound::FleetRound(FleetPlanner& planner, const FleetSnapshot& snapshot, TimePoint now, const PlannerTimes& times)
    : m_planner(&planner)
    , m_snapshot(&snapshot)
    , m_now(now)
    , m_hearsMost(hearsMostOf(snapshot, now, times.failedAfter))
    , m_tallies(tallyPools(snapshot, now, times.silentAfter))
{
}

FleetRound::Batch* FleetRound::batchFor(const PoolId& pool)
{
    if (m_closed.contains(pool))
        return nullptr;
    auto& batch = m_batches.try_emplace(pool, Batch { FleetEdit { *m_snapshot }, {} }).first->second;
    return batch.edit.vmCount() < maxVmsPerChange ? &batch : nullptr;
}

bool FleetRound::claim(const std::set<PoolId>& pools, bool touchesBorrowing)
{
    if (touchesBorrowing && m_hasTouchedBorrowing)
        return false;
    const auto isTaken = [&](const PoolId& pool) { return m_closed.contains(pool) || m_batches.contains(pool); };
    if (std::any_of(pools.begin(), pools.end(), isTaken))
        return false;
    m_closed.insert(pools.begin(), pools.end());
    m_hasTouchedBorrowing |= touchesBorrowing;
    return true;
}

void FleetRound::push(FleetEdit& edit, const std::string& reason)
{
    m_changes.emplace_back(edit.finish(m_planner->nextAttempt(), reason));
}

/// A snapshot read in parts may lack the row of a pool that has VMs; its counts would be missed.
bool FleetRound::knowsAll(const std::set<PoolId>& pools) const
{
    return std::all_of(pools.begin(), pools.end(), [&](const PoolId& id) { return pool(id) != nullptr; });
}

bool FleetRound::replace(const VmRecord& after, const std::string& reason, const RollOutRecord* cause)
{
    if (touches(after.id))
        return false;
    const auto* before = findIn(m_snapshot->vms, after.id);
    const bool changesCounts = !before || !countsAlike(*before, after);
    const bool changesLoan = before ? !isAwayAlike(*before, after) : isAway(after);
    std::set<PoolId> pools;
    addPools(pools, after, changesLoan);
    if (before)
        addPools(pools, *before, changesLoan);
    if ((changesCounts || changesLoan) && !knowsAll(pools))
        return false;
    if (pools.size() == 1 && changesCounts) {
        auto* batch = batchFor(after.pool);
        if (!batch)
            return false;
        batch->edit.replace(after);
        if (cause)
            batch->edit.require(*cause);
        batch->reason = reason;
    } else {
        if ((changesCounts || changesLoan) && !claim(pools, changesLoan))
            return false;
        FleetEdit edit { *m_snapshot };
        edit.replace(after);
        if (cause)
            edit.require(*cause);
        push(edit, reason);
    }
    m_touched.insert(after.id);
    return true;
}

bool FleetRound::remove(const VmRecord& vm, const std::string& reason)
{
    if (touches(vm.id))
        return false;
    std::set<PoolId> pools;
    addPools(pools, vm, true);
    if (!knowsAll(pools))
        return false;
    if (isAway(vm)) {
        if (!claim(pools, true))
            return false;
        FleetEdit edit { *m_snapshot };
        edit.remove(vm);
        push(edit, reason);
    } else {
        auto* batch = batchFor(vm.pool);
        if (!batch)
            return false;
        batch->edit.remove(vm);
        batch->reason = reason;
    }
    m_touched.insert(vm.id);
    return true;
}

void FleetRound::replace(const RollOutRecord& rollOut, const std::string& reason)
{
    FleetEdit edit { *m_snapshot };
    edit.replace(rollOut);
    push(edit, reason);
}

void FleetRound::replaceSettings(const PoolId& id, const PoolSettings& settings)
{
    auto* batch = batchFor(id);
    if (!batch)
        return;
    const auto* current = batch->edit.pool(id);
    PoolRecord changed = current ? *current : PoolRecord { id };
    changed.settings = settings;
    batch->edit.replace(changed);
    batch->reason = "settings";
}

void FleetRound::replaceBudget(std::uint32_t total, std::uint64_t configVersion)
{
    if (!claim({}, true))
        return;
    BorrowingRecord changed = m_snapshot->borrowing;
    changed.total = total;
    changed.configVersion = configVersion;
    FleetEdit edit { *m_snapshot };
    edit.replace(changed);
    push(edit, "budget.settings");
}

FleetRefusal FleetRound::mayDisrupt(const VmRecord& vm) const
{
    if (touches(vm.id))
        return FleetRefusal::NotServing;
    const auto* batch = findIn(m_batches, vm.pool);
    return policy::mayDisrupt(*m_snapshot, m_tallies, batch ? batch->edit : FleetEdit { *m_snapshot }, vm);
}

FleetRefusal FleetRound::mayMove(const VmRecord& vm, const PoolId& target) const
{
    return policy::mayMove(FleetEdit { *m_snapshot }, vm, target);
}

const PoolRecord* FleetRound::pool(const PoolId& id) const
{
    const auto* batch = findIn(m_batches, id);
    return batch ? batch->edit.pool(id) : findIn(m_snapshot->pools, id);
}

const RollOutRecord* FleetRound::rollOut(const RollOutId& id) const { return findIn(m_snapshot->rollOuts, id); }

const WorkerObservation* FleetRound::observation(const VmId& vm) const { return findIn(m_snapshot->observations, vm); }

const ListedVm* FleetRound::listing(const VmId& vm) const { return findIn(m_snapshot->listed, vm); }

FleetSteps FleetRound::finish()
{
    for (auto& [id, batch] : m_batches) {
        if (!batch.reason.empty())
            push(batch.edit, batch.reason);
    }
    m_batches.clear();
    FleetSteps steps = std::move(m_changes);
    for (const auto& order : m_commands)
        steps.emplace_back(order);
    return steps;
}

} // namespace rattanrack::policy
