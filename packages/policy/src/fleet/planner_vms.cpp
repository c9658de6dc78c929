#include "rattanrack/policy/fleet_planner.h"

#include "roll_out.h"
#include "round.h"

#include <algorithm>
#include <array>

namespace rattanrack::policy {

namespace {

/// Whether the worker has confirmed that it drains under the row's epoch.
bool isDrainingAs(const VmRecord& vm, const WorkerObservation& seen)
{
    return seen.isDraining && seen.epoch == vm.epoch;
}

bool isServingAs(const VmRecord& vm, const WorkerObservation& seen)
{
    return !seen.isDraining && seen.epoch == vm.epoch;
}

bool isListedAsLeaving(const FleetRound& round, const VmId& vm)
{
    const auto* listed = round.listing(vm);
    return listed && listed->isLeaving;
}

} // namespace

FleetPlanner::Follow FleetPlanner::followerOf(VmPhase phase)
{
    static constexpr std::array<Follow, 8> s_followers { &FleetPlanner::followServing, &FleetPlanner::followDraining,
        &FleetPlanner::followEmpty, &FleetPlanner::followRebooting, &FleetPlanner::followReplacing,
        &FleetPlanner::followReturning, &FleetPlanner::followFailed, &FleetPlanner::followLeaving };
    return s_followers.at(static_cast<std::size_t>(phase));
}

void FleetPlanner::followVm(FleetRound& round, const VmRecord& vm)
{
    const bool expectsToLeave = vm.phase == VmPhase::Leaving || vm.phase == VmPhase::Replacing;
    if (!expectsToLeave && isListedAsLeaving(round, vm.id)) {
        round.replace(markLeaving(vm), "vm.leaving");
        return;
    }
    (this->*followerOf(vm.phase))(round, vm);
}

bool FleetPlanner::isLost(const FleetRound& round, const VmRecord& vm, Duration patience) const
{
    const auto* seen = round.observation(vm.id);
    const TimePoint firstSeen = m_memory.at(vm.id).firstSeen;
    const TimePoint lastSign = seen ? std::max(seen->heardAt, firstSeen) : firstSeen;
    return round.hearsMost() && round.now() - lastSign >= patience;
}

bool FleetPlanner::isGone(const FleetRound& round, const VmRecord& vm) const
{
    return round.snapshot().hasList && !round.listing(vm.id) && isLost(round, vm, m_times.failedAfter);
}

const WorkerObservation* FleetPlanner::freshObservation(const FleetRound& round, const VmRecord& vm) const
{
    const auto* seen = round.observation(vm.id);
    return seen && seen->heardAt > m_memory.at(vm.id).firstSeen ? seen : nullptr;
}

void FleetPlanner::command(FleetRound& round, const VmRecord& vm, WorkerAction action, std::uint64_t bootId)
{
    auto& memory = m_memory.at(vm.id);
    if (!memory.nextCommand.hasPassed(round.now()))
        return;
    memory.nextCommand = Deadline::after(round.now(), m_times.commandInterval);
    round.command({ vm.id, action, vm.epoch, bootId });
}

void FleetPlanner::followServing(FleetRound& round, const VmRecord& vm)
{
    if (isLost(round, vm, m_times.failedAfter)) {
        round.replace(markFailed(vm), "vm.silent");
        return;
    }
    const auto* seen = freshObservation(round, vm);
    if (seen && (seen->bootId != vm.bootId || !isServingAs(vm, *seen)))
        round.replace(markFailed(vm), "vm.restarted");
}

void FleetPlanner::followDraining(FleetRound& round, const VmRecord& vm)
{
    if (hasLostItsCause(round, vm)) {
        round.replace(startReturn(vm), "drain.aborted");
        return;
    }
    if (isLost(round, vm, m_times.failedAfter)) {
        round.replace(markFailed(vm), "drain.silent");
        return;
    }
    const auto* seen = round.observation(vm.id);
    if (!seen)
        return;
    if (!isDrainingAs(vm, *seen)) {
        command(round, vm, WorkerAction::StopTakingWork, seen->bootId);
        return;
    }
    auto& memory = m_memory.at(vm.id);
    memory.drainingSince = std::min(memory.drainingSince, seen->heardAt);
    // An earlier report may not yet show work that began just before the worker was told.
    const bool showsAllWork = seen->heardAt - memory.drainingSince >= m_times.usageLag;
    if (seen->busySlots == 0 && showsAllWork) {
        round.replace(afterDrain(vm, seen->bootId), "drain.empty");
        return;
    }
    if (memory.hasAskedForCheckpoint || round.now() - memory.firstSeen < m_times.drainPatience)
        return;
    command(round, vm, WorkerAction::Checkpoint, seen->bootId);
    memory.hasAskedForCheckpoint = true;
}

void FleetPlanner::followEmpty(FleetRound& round, const VmRecord& vm)
{
    if (hasLostItsCause(round, vm)) {
        round.replace(startReturn(vm), "drain.ended");
        return;
    }
    if (isLost(round, vm, m_times.failedAfter)) {
        round.replace(markFailed(vm), "drain.silent");
        return;
    }
    // A worker that restarted by itself has forgotten its epoch.
    const auto* seen = round.observation(vm.id);
    if (seen && !isDrainingAs(vm, *seen))
        command(round, vm, WorkerAction::StopTakingWork, seen->bootId);
}

void FleetPlanner::followRebooting(FleetRound& round, const VmRecord& vm)
{
    const auto* seen = freshObservation(round, vm);
    if (seen && seen->bootId != vm.bootId) {
        round.replace(startReturn(vm), "reboot.done");
        return;
    }
    if (round.now() - m_memory.at(vm.id).firstSeen >= m_times.rebootTimeout) {
        round.replace(markFailed(vm), "reboot.timeout");
        return;
    }
    if (seen)
        command(round, vm, WorkerAction::Reboot, vm.bootId);
}

void FleetPlanner::followReplacing(FleetRound& round, const VmRecord& vm)
{
    if (isGone(round, vm)) {
        round.remove(vm, "replace.gone");
        return;
    }
    const auto* seen = freshObservation(round, vm);
    if (seen && seen->bootId != vm.bootId && !isListedAsLeaving(round, vm.id)) {
        round.replace(startReturn(vm), "replace.done");
        return;
    }
    if (round.now() - m_memory.at(vm.id).firstSeen >= m_times.rebootTimeout) {
        round.replace(markFailed(vm), "replace.timeout");
        return;
    }
    command(round, vm, WorkerAction::Replace, vm.bootId);
}

void FleetPlanner::followReturning(FleetRound& round, const VmRecord& vm)
{
    if (isLost(round, vm, m_times.failedAfter)) {
        round.replace(markFailed(vm), "return.silent");
        return;
    }
    const auto* seen = round.observation(vm.id);
    if (!seen)
        return;
    if (isServingAs(vm, *seen)) {
        VmRecord serving = confirmServing(vm, seen->bootId);
        pruneCompleted(round, serving);
        round.replace(serving, "vm.serving");
        return;
    }
    if (seen->epoch > vm.epoch) {
        VmRecord raised = vm;
        raised.epoch = seen->epoch + 1;
        round.replace(raised, "return.raise-epoch");
        return;
    }
    command(round, vm, WorkerAction::TakeWork, seen->bootId);
}

void FleetPlanner::followFailed(FleetRound& round, const VmRecord& vm)
{
    if (isGone(round, vm))
        round.remove(vm, "vm.gone");
    else if (freshObservation(round, vm) && isHeard(round.snapshot(), vm.id, round.now(), m_times.failedAfter))
        round.replace(startReturn(vm), "vm.recovered");
}

void FleetPlanner::followLeaving(FleetRound& round, const VmRecord& vm)
{
    if (isGone(round, vm)) {
        round.remove(vm, "vm.left");
        return;
    }
    const auto* seen = round.observation(vm.id);
    if (seen && !isDrainingAs(vm, *seen))
        command(round, vm, WorkerAction::StopTakingWork, seen->bootId);
}

} // namespace rattanrack::policy
