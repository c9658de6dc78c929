#include "cell_state.h"
#include "rattanrack/jobs/lease_clock.h"

#include <algorithm>

/// Read-only queries of a cell.
namespace rattanrack::jobs {

namespace {

/// The store takes rows of 65,536 bytes. The rest is for the drained machines and the owner.
constexpr std::size_t maxWorkerBytes = 56'000;
constexpr std::size_t headerBytes = 24; ///< Of the texts and the lease of one worker, at most.

/// At most: the row has a worker's id twice while it is handed back.
std::size_t bytesInOwnerRow(const WorkerId& id, const MachineId& machine)
{
    return 2 * id.value().size() + machine.value().size() + headerBytes;
}

} // namespace

bool Cell::hasJobs(const QueueAddress& queue) const
{
    return std::any_of(m_state->jobs.begin(), m_state->jobs.end(),
        [&](const auto& each) { return mayBeOfQueue(each.second->job, queue); });
}

std::set<QueueId> Cell::queuesOfJobsWithoutAddress() const
{
    std::set<QueueId> queues;
    for (const auto& [id, entry] : m_state->jobs) {
        if (entry->job.queueAddress.isEmpty())
            queues.insert(entry->job.queue);
    }
    return queues;
}

bool Cell::hasUnstoredJobs(const QueueAddress& queue) const
{
    const auto isUnstoredOfQueue = [&](const JobId& job) {
        const JobEntry* entry = m_state->find(job);
        return entry && !entry->isStored && entry->job.queueAddress == queue;
    };
    return (m_state->jobOfRejectedCommit && isUnstoredOfQueue(*m_state->jobOfRejectedCommit))
        || std::any_of(m_state->dirtyJobs.begin(), m_state->dirtyJobs.end(), isUnstoredOfQueue)
        || std::any_of(m_state->jobsInCommit.begin(), m_state->jobsInCommit.end(), isUnstoredOfQueue);
}

std::vector<MachineId> Cell::movableMachines() const
{
    std::vector<MachineId> machines;
    for (const auto& [id, worker] : m_state->workers) {
        const bool isUsable = worker.isListed && worker.contact == WorkerContact::Responsive && !m_state->isRecovering;
        if (isUsable && !worker.hasLongRunning())
            machines.push_back(worker.description.machine);
    }
    return machines;
}

WorkerMachines Cell::knownWorkers() const
{
    WorkerMachines known = m_state->inheritedWorkers;
    for (const auto& [id, worker] : m_state->workers) {
        if (worker.isListed || !worker.runs.empty())
            known[id] = worker.description.machine;
    }
    return known;
}

WorkerMachines Cell::workersInUse() const
{
    const CellState& state = *m_state;
    WorkerMachines used = state.inheritedWorkers;
    for (const auto& [id, worker] : state.workers) {
        const bool isUsable = worker.isListed && worker.contact == WorkerContact::Responsive;
        if (isUsable || worker.hasUnfinishedWork())
            used[id] = worker.description.machine;
    }
    std::size_t bytes = 0;
    for (const auto& [id, machine] : used)
        bytes += bytesInOwnerRow(id, machine);
    const auto leaveOutIdle = [&](bool isStored) {
        std::erase_if(used, [&](const auto& each) {
            const auto known = state.workers.find(each.first);
            const bool isNeeded = state.inheritedWorkers.contains(each.first)
                || (known != state.workers.end() && known->second.hasUnfinishedWork());
            const bool isLeftOut
                = bytes > maxWorkerBytes && !isNeeded && state.storedWorkers.contains(each.first) == isStored;
            bytes -= isLeftOut ? bytesInOwnerRow(each.first, each.second) : 0;
            return isLeftOut;
        });
    };
    if (bytes > maxWorkerBytes)
        leaveOutIdle(false);
    if (bytes > maxWorkerBytes)
        leaveOutIdle(true);
    return used;
}

std::size_t Cell::workersWithoutRoom() const
{
    const WorkerMachines used = workersInUse();
    return static_cast<std::size_t>(
        std::count_if(m_state->workers.begin(), m_state->workers.end(), [&](const auto& each) {
            return each.second.isListed && each.second.contact == WorkerContact::Responsive
                && !used.contains(each.first);
        }));
}

OutstandingLeases Cell::outstandingLeases(TimePoint now) const
{
    const CellState& state = *m_state;
    OutstandingLeases leases;
    for (const auto& [id, machine] : workersInUse()) {
        const auto known = state.workers.find(id);
        // The next owner adds the slack again.
        TimePoint until = state.inheritedWorkers.contains(id) ? state.inheritedLeaseEnd.at(id) - takeoverSlack : now;
        if (known != state.workers.end()) {
            for (const auto& [task, run] : known->second.runs)
                until = std::max(until, state.leaseEndOf(known->second, run, now));
        }
        leases[id] = std::max(until - now, Duration {});
    }
    return leases;
}

std::optional<JobState> Cell::state(const JobId& job) const
{
    const JobEntry* entry = m_state->find(job);
    if (!entry || !entry->isStored || entry->isMarkedForRemoval)
        return std::nullopt;
    if (isTerminal(entry->storedState))
        return entry->storedState;
    return entry->progress.hasStarted() ? JobState::Active : JobState::Queued;
}

int Cell::unstartedJobs(const QueueId& queue) const
{
    return static_cast<int>(
        std::count_if(m_state->unfinishedJobs.begin(), m_state->unfinishedJobs.end(), [&](const JobEntry* entry) {
            return entry->isStored && entry->progress.state() == JobState::Queued && entry->job.queue == queue;
        }));
}

CellLoad Cell::load(TimePoint now) const
{
    CellLoad load { m_state->settings.pool, {}, m_state->waitingDemand, m_state->offeredLoad.rate(now) };
    for (const auto& [id, worker] : m_state->workers)
        load.used += worker.used.processors;
    return load;
}

std::size_t Cell::unfinishedJobs() const
{
    return static_cast<std::size_t>(std::count_if(m_state->unfinishedJobs.begin(), m_state->unfinishedJobs.end(),
        [](const JobEntry* entry) { return !entry->progress.hasEnded(); }));
}

SchedulingCost Cell::schedulingCost() const { return m_state->schedulingCost; }

} // namespace rattanrack::jobs
