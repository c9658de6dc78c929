#include "rattanrack/policy/fleet_commands.h"

#include "rattanrack/policy/fleet_planner.h"

namespace rattanrack::policy {

namespace {

/// Whether the pool's settings rule out any planned stop, whatever the state of its VMs.
FleetRefusal canEverDisrupt(const PoolRecord& pool)
{
    if (pool.settings.maxPlannedDown == 0)
        return FleetRefusal::PermitsSpent;
    if (pool.counts.members <= pool.settings.floor)
        return FleetRefusal::FloorReached;
    return FleetRefusal::None;
}

FleetRefusal checkTarget(const FleetSnapshot& snapshot, const VmId& target)
{
    const auto vm = snapshot.vms.find(target);
    if (vm == snapshot.vms.end())
        return FleetRefusal::UnknownVm;
    if (vm->second.phase == VmPhase::Leaving)
        return FleetRefusal::NotServing;
    const auto pool = snapshot.pools.find(vm->second.pool);
    if (pool == snapshot.pools.end())
        return FleetRefusal::UnknownPool;
    return canEverDisrupt(pool->second);
}

/// Changes the state of a roll-out that is in one of two states.
CommandAnswer changeState(const FleetSnapshot& snapshot, const RollOutId& id, const AttemptId& attempt,
    std::array<RollOutState, 2> from, RollOutState to)
{
    const auto found = snapshot.rollOuts.find(id);
    if (found == snapshot.rollOuts.end())
        return CommandRefused { FleetRefusal::UnknownRollOut, id.value() };
    if (found->second.state != from[0] && found->second.state != from[1])
        return CommandRefused { FleetRefusal::WrongState, id.value() };
    RollOutRecord changed = found->second;
    changed.state = to;
    FleetEdit edit { snapshot };
    edit.replace(changed);
    return edit.finish(attempt, "rollout." + std::string { name(to) });
}

} // namespace

CommandAnswer startRollOut(const FleetSnapshot& snapshot, const StartRollOut& request, const AttemptId& attempt)
{
    if (snapshot.rollOuts.contains(request.id))
        return CommandRefused { FleetRefusal::AlreadyExists, request.id.value() };
    if (request.targets.empty())
        return CommandRefused { FleetRefusal::NoTargets, request.id.value() };
    if (request.kind == RollOutKind::Move && !snapshot.pools.contains(request.targetPool))
        return CommandRefused { FleetRefusal::UnknownPool, request.targetPool.value() };
    for (const auto& target : request.targets) {
        const FleetRefusal refusal = checkTarget(snapshot, target);
        if (refusal != FleetRefusal::None)
            return CommandRefused { refusal, target.value() };
    }
    RollOutRecord rollOut;
    rollOut.id = request.id;
    rollOut.kind = request.kind;
    rollOut.targets = request.targets;
    rollOut.targetPool = request.targetPool;
    rollOut.maxAtOnce = request.maxAtOnce;
    rollOut.startedBy = request.startedBy;
    FleetEdit edit { snapshot };
    edit.replace(rollOut);
    return edit.finish(attempt, "rollout.start");
}

CommandAnswer pauseRollOut(const FleetSnapshot& snapshot, const RollOutId& id, const AttemptId& attempt)
{
    return changeState(snapshot, id, attempt, { RollOutState::Running, RollOutState::Running }, RollOutState::Paused);
}

CommandAnswer resumeRollOut(const FleetSnapshot& snapshot, const RollOutId& id, const AttemptId& attempt)
{
    return changeState(snapshot, id, attempt, { RollOutState::Paused, RollOutState::Paused }, RollOutState::Running);
}

CommandAnswer abortRollOut(const FleetSnapshot& snapshot, const RollOutId& id, const AttemptId& attempt)
{
    return changeState(snapshot, id, attempt, { RollOutState::Running, RollOutState::Paused }, RollOutState::Aborted);
}

std::vector<VmId> vmsIn(const FleetSnapshot& snapshot, const DataCenterId& dataCenter, const RackId& rack)
{
    std::vector<VmId> found;
    for (const auto& [id, vm] : snapshot.vms) {
        if (vm.dataCenter == dataCenter && (rack.isEmpty() || vm.rack == rack))
            found.push_back(id);
    }
    return found;
}

FleetRefusal explain(const FleetSnapshot& snapshot, const VmId& id, TimePoint now)
{
    const auto vm = snapshot.vms.find(id);
    if (vm == snapshot.vms.end())
        return FleetRefusal::UnknownVm;
    const PlannerTimes times;
    if (!isHeard(snapshot, id, now, times.silentAfter))
        return FleetRefusal::NotHeard;
    return mayDisrupt(snapshot, tallyPools(snapshot, now, times.silentAfter), FleetEdit { snapshot }, vm->second);
}

} // namespace rattanrack::policy
