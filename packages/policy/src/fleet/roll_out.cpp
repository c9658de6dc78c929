#include "roll_out.h"

#include <algorithm>
#include <tuple>

namespace rattanrack::policy {

namespace {

bool hasEnded(RollOutState state) { return state == RollOutState::Finished || state == RollOutState::Aborted; }

DrainPurpose purposeOf(RollOutKind kind)
{
    switch (kind) {
    case RollOutKind::Reboot:
        return DrainPurpose::Reboot;
    case RollOutKind::Replace:
        return DrainPurpose::Replace;
    case RollOutKind::Drain:
        return DrainPurpose::Hold;
    case RollOutKind::Move:
        return DrainPurpose::Move;
    }
    return DrainPurpose::Hold;
}

bool isDone(const VmRecord& vm, const RollOutId& id)
{
    return std::find(vm.completed.begin(), vm.completed.end(), id) != vm.completed.end();
}

/// What the rows say about one roll-out.
struct Progress {
    std::uint32_t done { 0 }; ///< Completed, or gone for good.
    std::uint32_t underWay { 0 };
    std::uint32_t failed { 0 };
    std::vector<const VmRecord*> waiting; ///< Serving and not done.
};

Progress progressOf(const FleetSnapshot& snapshot, const RollOutRecord& rollOut)
{
    Progress progress;
    for (const auto& target : rollOut.targets) {
        const auto found = snapshot.vms.find(target);
        if (found == snapshot.vms.end() || isDone(found->second, rollOut.id)) {
            progress.done++;
            continue;
        }
        const VmRecord& vm = found->second;
        if (vm.operation == rollOut.id && vm.phase == VmPhase::Failed)
            progress.failed++;
        else if (vm.operation == rollOut.id)
            progress.underWay++;
        else if (vm.phase == VmPhase::Serving)
            progress.waiting.push_back(&vm);
    }
    return progress;
}

/// Rounds that each pool still needs under its permits; the longest bounds the roll-out.
std::map<PoolId, double> remainingRounds(const FleetRound& round, const std::vector<const VmRecord*>& waiting)
{
    std::map<PoolId, double> rounds;
    for (const auto* vm : waiting) {
        const auto* pool = round.pool(vm->pool);
        rounds[vm->pool] += pool ? 1.0 / std::max(1U, pool->settings.maxPlannedDown) : 0;
    }
    return rounds;
}

/// By data centre and rack, so that planned stops stay inside one failure domain. Under a common bound the pool that
/// needs longest goes first.
void order(const FleetRound& round, std::vector<const VmRecord*>& waiting, bool hasCommonBound)
{
    const auto rounds = remainingRounds(round, waiting);
    const auto place = [](const VmRecord& vm) { return std::tie(vm.dataCenter, vm.rack, vm.id); };
    std::sort(waiting.begin(), waiting.end(), [&](const VmRecord* left, const VmRecord* right) {
        if (hasCommonBound && rounds.at(left->pool) != rounds.at(right->pool))
            return rounds.at(left->pool) > rounds.at(right->pool);
        return place(*left) < place(*right);
    });
}

/// A VM that already is where it is to go only becomes that pool's own.
VmRecord settleInPlace(const VmRecord& vm, const RollOutId& id)
{
    VmRecord settled = vm;
    settled.homePool = vm.pool;
    settled.operation = id;
    return confirmServing(settled, vm.bootId);
}

void startTargets(FleetRound& round, const RollOutRecord& rollOut, Progress& progress)
{
    const bool hasCommonBound = rollOut.maxAtOnce > 0;
    order(round, progress.waiting, hasCommonBound);
    const Disruption disruption { purposeOf(rollOut.kind), rollOut.id, rollOut.targetPool };
    std::uint32_t underWay = progress.underWay;
    for (const auto* vm : progress.waiting) {
        if (hasCommonBound && underWay >= rollOut.maxAtOnce)
            return;
        if (rollOut.kind == RollOutKind::Move && vm->pool == rollOut.targetPool) {
            round.replace(settleInPlace(*vm, rollOut.id), "rollout.in-place", &rollOut);
            continue;
        }
        if (round.mayDisrupt(*vm) != FleetRefusal::None)
            continue;
        if (round.replace(startDrain(*vm, disruption), "rollout.drain", &rollOut))
            underWay++;
    }
}

void changeState(FleetRound& round, const RollOutRecord& rollOut, RollOutState state, std::uint32_t done)
{
    RollOutRecord changed = rollOut;
    changed.state = state;
    changed.done = done;
    round.replace(changed, "rollout." + std::string { name(state) });
}

} // namespace

void runRollOut(FleetRound& round, const RollOutRecord& rollOut)
{
    if (hasEnded(rollOut.state))
        return;
    Progress progress = progressOf(round.snapshot(), rollOut);
    if (progress.done == rollOut.targets.size())
        return changeState(round, rollOut, RollOutState::Finished, progress.done);
    if (rollOut.state != RollOutState::Running)
        return;
    if (progress.failed >= rollOut.maxFailures)
        return changeState(round, rollOut, RollOutState::Paused, progress.done);
    startTargets(round, rollOut, progress);
}

void pruneCompleted(const FleetRound& round, VmRecord& vm)
{
    std::erase_if(vm.completed, [&](const RollOutId& id) {
        const auto* rollOut = round.rollOut(id);
        return rollOut && hasEnded(rollOut->state);
    });
}

bool hasLostItsCause(const FleetRound& round, const VmRecord& vm)
{
    const auto* rollOut = round.rollOut(vm.operation);
    return rollOut && hasEnded(rollOut->state);
}

} // namespace rattanrack::policy
