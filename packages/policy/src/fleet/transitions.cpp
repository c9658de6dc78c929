#include "rattanrack/policy/fleet_transitions.h"

#include <algorithm>

namespace rattanrack::policy {

namespace {

void clearDisruption(VmRecord& vm)
{
    vm.purpose = DrainPurpose::None;
    vm.targetPool = {};
    vm.holdsPermit = false;
}

void noteCompleted(VmRecord& vm)
{
    if (vm.operation.isEmpty())
        return;
    if (vm.completed.size() == maxCompletedKept)
        vm.completed.erase(vm.completed.begin());
    vm.completed.push_back(vm.operation);
}

} // namespace

VmRecord startDrain(const VmRecord& vm, const Disruption& disruption)
{
    VmRecord next = vm;
    next.epoch++;
    next.phase = VmPhase::Draining;
    next.purpose = disruption.purpose;
    next.operation = disruption.operation;
    next.targetPool = disruption.targetPool;
    next.holdsPermit = true;
    return next;
}

VmRecord afterDrain(const VmRecord& vm, std::uint64_t bootId)
{
    if (vm.purpose == DrainPurpose::Move) {
        VmRecord moved = startReturn(vm);
        moved.pool = vm.targetPool;
        if (!vm.operation.isEmpty())
            moved.homePool = vm.targetPool;
        return moved;
    }
    VmRecord next = vm;
    next.bootId = bootId;
    next.phase = VmPhase::Empty;
    if (vm.purpose == DrainPurpose::Reboot)
        next.phase = VmPhase::Rebooting;
    if (vm.purpose == DrainPurpose::Replace)
        next.phase = VmPhase::Replacing;
    return next;
}

VmRecord startReturn(const VmRecord& vm)
{
    VmRecord next = vm;
    next.epoch++;
    if (vm.phase == VmPhase::Failed)
        next.operation = {};
    next.phase = VmPhase::Returning;
    next.purpose = DrainPurpose::None;
    next.targetPool = {};
    return next;
}

VmRecord confirmServing(const VmRecord& vm, std::uint64_t bootId)
{
    VmRecord next = vm;
    next.phase = VmPhase::Serving;
    next.bootId = bootId;
    clearDisruption(next);
    noteCompleted(next);
    next.operation = {};
    return next;
}

VmRecord markFailed(const VmRecord& vm)
{
    VmRecord next = vm;
    next.epoch++;
    next.phase = VmPhase::Failed;
    clearDisruption(next);
    return next;
}

VmRecord markLeaving(const VmRecord& vm)
{
    VmRecord next = vm;
    next.epoch++;
    next.phase = VmPhase::Leaving;
    next.purpose = DrainPurpose::None;
    next.targetPool = {};
    return next;
}

} // namespace rattanrack::policy
