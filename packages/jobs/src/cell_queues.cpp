#include "rattanrack/jobs/cell_queues.h"

#include <algorithm>
#include <utility>

namespace rattanrack::jobs {

CellQueues::CellQueues(PoolId cell, ClosedQueues closed)
    : m_cell(std::move(cell))
    , m_closed(std::move(closed))
    , m_routes(std::make_shared<const QueueRoutes>())
{
}

void CellQueues::configure(std::uint64_t version, std::shared_ptr<const QueueRoutes> routes)
{
    m_version = version;
    m_routes = std::move(routes);
    m_areListsCurrent = false;
}

void CellQueues::setQueuesOfEarlierRelease(std::set<QueueAddress> queues)
{
    m_queuesOfEarlierRelease = std::move(queues);
    m_areListsCurrent = false;
}

void CellQueues::setAssignments(const QueueAssignments& assignments)
{
    const std::size_t removed = std::erase_if(m_assignments, [&](const auto& known) {
        return !assignments.byQueue.contains(known.first) && known.second.rowVersion < assignments.version;
    });
    m_areListsCurrent = m_areListsCurrent && removed == 0;
    for (const auto& [queue, assignment] : assignments.byQueue)
        setAssignment(queue, assignment);
}

void CellQueues::setAssignment(const QueueAddress& queue, const QueueAssignment& assignment)
{
    const QueueAssignment* known = assignmentOf(queue);
    if (known && known->rowVersion >= assignment.rowVersion)
        return;
    m_assignments[queue] = assignment;
    m_areListsCurrent = false;
}

const QueueAssignment* CellQueues::assignmentOf(const QueueAddress& queue) const
{
    const auto found = m_assignments.find(queue);
    return found == m_assignments.end() ? nullptr : &found->second;
}

std::uint64_t CellQueues::closedThrough(const QueueAddress& queue) const
{
    const auto versionIn = [&](const ClosedQueues& closed) {
        const auto found = closed.find(queue);
        return found == closed.end() ? 0 : found->second;
    };
    return std::max(versionIn(m_closed), versionIn(m_closesInFlight));
}

bool CellQueues::isAssignedHere(const QueueAddress& queue) const
{
    const QueueAssignment* assignment = assignmentOf(queue);
    return assignment && assignment->cell == m_cell && closedThrough(queue) < assignment->configurationVersion;
}

bool CellQueues::isRoutedHere(const QueueAddress& queue, std::uint64_t callVersion) const
{
    if (callVersion > m_version)
        return true;
    const auto route = m_routes->find(queue);
    return route != m_routes->end() && route->second == m_cell;
}

/// A configuration that is not later than the assignment does not say where the queue has been routed since.
bool CellQueues::isRoutedAway(const QueueAddress& queue) const
{
    const QueueAssignment* assignment = assignmentOf(queue);
    return assignment && m_version > assignment->configurationVersion && !isRoutedHere(queue);
}

/// Null unless they have been read for the assignment in force.
const EarlierJobs* CellQueues::earlierJobsOf(const QueueAddress& queue) const
{
    const QueueAssignment* assignment = assignmentOf(queue);
    const auto found = m_earlierJobs.find(queue);
    const bool isCurrent
        = assignment && found != m_earlierJobs.end() && found->second.rowVersion == assignment->rowVersion;
    return isCurrent ? &found->second : nullptr;
}

bool CellQueues::isMissingEarlierJobs(const QueueAddress& queue) const
{
    const QueueAssignment* assignment = assignmentOf(queue);
    return assignment && !assignment->earlierCells.empty() && !earlierJobsOf(queue);
}

QueueAccess CellQueues::access(const QueueAddress& queue, std::uint64_t callVersion) const
{
    if (isAssignedHere(queue) && !isRoutedAway(queue))
        return isMissingEarlierJobs(queue) ? QueueAccess::Claimable : QueueAccess::Open;
    const QueueAssignment* assignment = assignmentOf(queue);
    const std::uint64_t latest = std::max(assignment ? assignment->configurationVersion : 0, closedThrough(queue));
    const bool isLater = std::max(m_version, callVersion) > latest;
    return isRoutedHere(queue, callVersion) && isLater ? QueueAccess::Claimable : QueueAccess::Elsewhere;
}

std::optional<PoolId> CellQueues::acceptingCell(const QueueAddress& queue) const
{
    const QueueAssignment* assignment = assignmentOf(queue);
    const auto route = m_routes->find(queue);
    const bool isAssignmentLater = assignment && assignment->configurationVersion >= m_version;
    if (isAssignmentLater && assignment->cell != m_cell)
        return assignment->cell;
    if (route != m_routes->end() && route->second != m_cell)
        return route->second;
    if (assignment && assignment->cell != m_cell)
        return assignment->cell;
    return std::nullopt;
}

std::vector<PoolId> CellQueues::otherCells(const QueueAddress& queue) const
{
    std::set<PoolId> cells;
    if (const QueueAssignment* assignment = assignmentOf(queue)) {
        cells.insert(assignment->earlierCells.begin(), assignment->earlierCells.end());
        cells.insert(assignment->cell);
        const auto route = m_routes->find(queue);
        if (route != m_routes->end())
            cells.insert(route->second);
    }
    cells.erase(m_cell);
    return { cells.begin(), cells.end() };
}

std::optional<PoolId> CellQueues::cellOfEarlierJob(const QueueAddress& queue, const JobId& job) const
{
    const EarlierJobs* jobs = earlierJobsOf(queue);
    if (!jobs)
        return std::nullopt;
    const auto found = jobs->cellByJob.find(job);
    return found == jobs->cellByJob.end() ? std::nullopt : std::optional { found->second };
}

std::optional<QueueClaim> CellQueues::claim(const QueueAddress& queue, std::uint64_t callVersion) const
{
    if (access(queue, callVersion) == QueueAccess::Elsewhere)
        return std::nullopt;
    return QueueClaim { queue, m_cell, std::max(m_version, callVersion), closedThrough(queue) };
}

void CellQueues::onClaimResult(const QueueAddress& queue, const QueueClaimResult& result)
{
    setAssignment(queue, result.assignment);
    if (result.status != QueueClaimStatus::Claimed)
        return;
    EarlierJobs jobs { result.assignment.rowVersion, {} };
    for (const EarlierJob& job : result.earlierJobs)
        jobs.cellByJob.emplace(job.id, job.cell);
    m_earlierJobs[queue] = std::move(jobs);
    m_areListsCurrent = false;
}

/// The owner asks in each pass, and the assignments of all cells change rarely.
void CellQueues::updateLists()
{
    if (std::exchange(m_areListsCurrent, true))
        return;
    m_queuesToClaim.clear();
    m_queuesToClose.clear();
    for (const auto& [queue, assignment] : m_assignments) {
        if (access(queue) == QueueAccess::Claimable)
            m_queuesToClaim.push_back(queue);
        if (isAssignedHere(queue) && isRoutedAway(queue))
            m_queuesToClose.push_back(queue);
    }
    for (const QueueAddress& queue : m_queuesOfEarlierRelease) {
        if (!assignmentOf(queue) && access(queue) == QueueAccess::Claimable)
            m_queuesToClaim.push_back(queue);
    }
}

const std::vector<QueueAddress>& CellQueues::queuesToClaim()
{
    updateLists();
    return m_queuesToClaim;
}

const std::vector<QueueAddress>& CellQueues::queuesToClose()
{
    updateLists();
    return m_queuesToClose;
}

std::vector<QueueAddress> CellQueues::queuesWithEarlierCells() const
{
    std::vector<QueueAddress> queues;
    for (const auto& [queue, assignment] : m_assignments) {
        if (!assignment.earlierCells.empty() && access(queue) == QueueAccess::Open)
            queues.push_back(queue);
    }
    return queues;
}

std::vector<AssignedQueue> CellQueues::closedQueuesWithoutSuccessor() const
{
    std::vector<AssignedQueue> queues;
    for (const auto& [queue, assignment] : m_assignments) {
        const bool isClosedHere
            = assignment.cell == m_cell && !isAssignedHere(queue) && !m_closesInFlight.contains(queue);
        if (isClosedHere && access(queue) == QueueAccess::Elsewhere)
            queues.push_back({ queue, assignment });
    }
    return queues;
}

RowWrite CellQueues::closeQueue(const QueueAddress& queue)
{
    m_closesInFlight[queue] = m_version;
    m_earlierJobs.erase(queue);
    m_areListsCurrent = false;
    return closedQueueRow(queue, m_version);
}

void CellQueues::onClosesStored()
{
    for (const auto& [queue, version] : m_closesInFlight)
        m_closed[queue] = version;
    m_closesInFlight.clear();
}

void CellQueues::onClosesNotStored()
{
    m_areListsCurrent = m_areListsCurrent && m_closesInFlight.empty();
    m_closesInFlight.clear();
}

} // namespace rattanrack::jobs
