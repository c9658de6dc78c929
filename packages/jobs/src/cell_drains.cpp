#include "cell_state.h"

/// Machines that are drained before they are taken down.
namespace rattanrack::jobs {

namespace {

using namespace std::chrono_literals;

/// For this long after a takeover commands may arrive that rest on an announcement of an earlier owner: the owner's
/// announcements end `drainedMachinesTimeout` after its last transaction, and count for 1.25 s after their receipt; a
/// command arrives up to 3.3 s after its decision.
constexpr Duration earlierDrainTime = drainedMachinesTimeout + 5s;

} // namespace

void Cell::setDrainingMachines(std::set<MachineId> machines)
{
    if (machines == m_state->drainingMachines)
        return;
    for (auto& [id, worker] : m_state->workers) {
        const MachineId& machine = worker.description.machine;
        if (!m_state->drainingMachines.contains(machine) || machines.contains(machine))
            continue;
        worker.isContactDueAfterDrain = true;
        worker.isContactCheckSent = false;
        worker.needsPoll = true;
    }
    m_state->drainingMachines = std::move(machines);
}

bool CellState::mayBeTakenDown(const MachineId& machine, TimePoint now) const
{
    const bool isOfEarlierOwner = now < earlierDrainsOverAt && machinesDrainedByEarlierOwners.contains(machine);
    return isOfEarlierOwner || drainingMachines.contains(machine);
}

void CellState::drainMachines(TimePoint now)
{
    if (drainingMachines.empty() || isRecovering)
        return;
    std::vector<std::pair<WorkerId, TaskRef>> stops;
    for (const auto& [id, worker] : workers) {
        if (!drainingMachines.contains(worker.description.machine))
            continue;
        for (const auto& [task, run] : worker.runs) {
            const JobEntry* entry = find(task.job);
            if (!entry || !entry->progress.contains(task) || run.phase != RunPhase::Confirmed)
                continue;
            if (stepOf(*entry, task).isLongRunning)
                stops.emplace_back(id, task);
        }
    }
    for (const auto& [id, task] : stops) {
        const JobEntry& entry = *find(task.job);
        const int allowed = std::max(stepOf(entry, task).maxUnavailable, 1);
        if (unavailableMembers(entry, task, now) < allowed)
            sendStop(workers.at(id), task, workers.at(id).runs.at(task).number, "its machine is being drained");
    }
}

/// Draining machines that this owner uses, and on which it has no work, nor an end that is not stored.
DrainedMachines CellState::drainingMachinesWithoutWork() const
{
    if (drainingMachines.empty() || isRecovering)
        return {};
    std::map<MachineId, const Worker*> listed; // The latest of each machine.
    std::set<MachineId> inUse;
    for (const auto& [id, worker] : workers) {
        const MachineId& machine = worker.description.machine;
        if (!drainingMachines.contains(machine))
            continue;
        if (worker.isListed) {
            const auto [latest, isFirst] = listed.emplace(machine, &worker);
            if (!isFirst && latest->second->description.incarnationUnixMs < worker.description.incarnationUnixMs)
                latest->second = &worker;
        }
        // Until an ended run is stored, this owner alone has a record of it. A later owner may have renewed the lease
        // of a run that is presumed to have ended.
        if (worker.hasUnfinishedWork() || worker.presumedEndAt > ownershipConfirmedAt)
            inUse.insert(machine);
    }
    DrainedMachines drained;
    for (const auto& [machine, worker] : listed) {
        if (!inUse.contains(machine))
            drained.emplace(machine, worker->description.id);
    }
    return drained;
}

DrainedMachines Cell::drainedMachines() const
{
    DrainedMachines drained = m_state->drainingMachinesWithoutWork();
    std::erase_if(drained, [&](const auto& each) { return !m_state->storedDrainedMachines.contains(each.first); });
    return drained;
}

std::set<MachineId> Cell::drainedMachinesToStore(TimePoint now) const
{
    std::set<MachineId> machines;
    for (const auto& [machine, worker] : m_state->drainingMachinesWithoutWork())
        machines.insert(machine);
    if (now < m_state->earlierDrainsOverAt)
        machines.insert(m_state->machinesDrainedByEarlierOwners.begin(), m_state->machinesDrainedByEarlierOwners.end());
    return machines;
}

void Cell::setMachinesDrainedByEarlierOwners(std::set<MachineId> machines, TimePoint now)
{
    m_state->machinesDrainedByEarlierOwners = std::move(machines);
    m_state->earlierDrainsOverAt = now + earlierDrainTime;
}

void Cell::onDrainedMachinesSent(const std::set<MachineId>& machines)
{
    std::erase_if(m_state->storedDrainedMachines, [&](const MachineId& each) { return !machines.contains(each); });
}

void Cell::onDrainedMachinesStored(std::set<MachineId> machines)
{
    m_state->storedDrainedMachines = std::move(machines);
}

} // namespace rattanrack::jobs
