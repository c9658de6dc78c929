#include "rattanrack/policy/fleet_planner.h"

#include "roll_out.h"
#include "round.h"

#include <algorithm>

namespace rattanrack::policy {

namespace {

/// Whether `settings` say something else than the row, and come from a later configuration.
bool isNewer(const PoolSettings& settings, PoolSettings stored)
{
    if (settings.configVersion <= stored.configVersion)
        return false;
    stored.configVersion = settings.configVersion;
    return settings != stored;
}

void reconcileSettings(FleetRound& round)
{
    const auto& snapshot = round.snapshot();
    for (const auto& [id, settings] : snapshot.settings) {
        const auto* pool = round.pool(id);
        if (!pool || isNewer(settings, pool->settings))
            round.replaceSettings(id, settings);
    }
    const auto& borrowing = snapshot.borrowing;
    const bool isDue = borrowing.version == 0 || snapshot.configVersion > borrowing.configVersion;
    if (isDue && borrowing.total != snapshot.sharedBudget)
        round.replaceBudget(snapshot.sharedBudget, snapshot.configVersion);
}

/// VMs that a pool owns, wherever they serve.
std::int64_t owned(const PoolRecord& pool)
{
    return std::int64_t { pool.counts.members } - pool.counts.borrowed + pool.counts.lent;
}

/// The pool that lacks most of its own VMs; the spare pool when none does.
PoolId poolInNeed(const FleetRound& round)
{
    PoolId best = round.snapshot().sparePool;
    std::int64_t largest = 0;
    for (const auto& [id, settings] : round.snapshot().settings) {
        const auto* pool = round.pool(id);
        if (!pool)
            continue;
        const std::int64_t deficit = std::int64_t { pool->settings.desired } - owned(*pool);
        if (deficit <= largest)
            continue;
        largest = deficit;
        best = id;
    }
    return best;
}

void grantWishes(FleetRound& round, const std::vector<MoveWish>& wishes)
{
    for (const auto& wish : wishes) {
        const auto vm = round.snapshot().vms.find(wish.vm);
        if (vm == round.snapshot().vms.end())
            continue;
        if (round.mayDisrupt(vm->second) != FleetRefusal::None)
            continue;
        if (round.mayMove(vm->second, wish.target) != FleetRefusal::None)
            continue;
        round.replace(startDrain(vm->second, { DrainPurpose::Move, {}, wish.target }), "move.drain");
    }
}

} // namespace

FleetPlanner::FleetPlanner(NodeId self, PlannerTimes times)
    : m_self(std::move(self))
    , m_times(times)
{
}

AttemptId FleetPlanner::nextAttempt() { return AttemptId { m_self.value() + "/" + std::to_string(++m_attempts) }; }

void FleetPlanner::remember(const FleetSnapshot& snapshot, TimePoint now)
{
    for (const auto& [id, vm] : snapshot.vms) {
        auto& memory = m_memory[id];
        if (memory.version == vm.version)
            continue;
        memory = {};
        memory.version = vm.version;
        memory.firstSeen = now;
    }
    std::erase_if(m_memory, [&](const auto& entry) { return !snapshot.vms.contains(entry.first); });
}

void FleetPlanner::adoptListed(FleetRound& round)
{
    // While a pool's row is yet to be inserted its need is not known, and the spare pool would get its VMs.
    const FleetSnapshot& snapshot = round.snapshot();
    const bool areAllPoolsKnown = std::all_of(snapshot.settings.begin(), snapshot.settings.end(),
        [&](const auto& entry) { return snapshot.pools.contains(entry.first); });
    if (!areAllPoolsKnown)
        return;
    for (const auto& [id, listed] : round.snapshot().listed) {
        if (listed.isLeaving || round.snapshot().vms.contains(id))
            continue;
        if (!isHeard(round.snapshot(), id, round.now(), m_times.failedAfter))
            continue;
        const PoolId pool = poolInNeed(round);
        if (!round.pool(pool))
            continue;
        VmRecord vm;
        vm.id = id;
        vm.pool = pool;
        vm.homePool = pool;
        vm.rack = listed.rack;
        vm.dataCenter = listed.dataCenter;
        // A worker that outlived its row must not take orders from before for new ones.
        vm.epoch = round.observation(id)->epoch + 1;
        round.replace(vm, "vm.adopt");
    }
}

FleetSteps FleetPlanner::plan(const FleetSnapshot& snapshot, TimePoint now, const std::vector<MoveWish>& wishes)
{
    remember(snapshot, now);
    FleetRound round { *this, snapshot, now, m_times };
    reconcileSettings(round);
    for (const auto& [id, vm] : snapshot.vms)
        followVm(round, vm);
    adoptListed(round);
    for (const auto& [id, rollOut] : snapshot.rollOuts)
        runRollOut(round, rollOut);
    grantWishes(round, wishes);
    return round.finish();
}

} // namespace rattanrack::policy
