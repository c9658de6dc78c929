#include "rattanrack/base/log.h"
#include "rattanrack/node/cell_host.h"

#include <utility>

/// Claims of queues for the cell, and closes of queues that the configuration assigns to other cells.
namespace rattanrack::node {

namespace {

using namespace std::chrono_literals;

constexpr Duration claimPeriod = 100ms; ///< Between two attempts to claim queues that other cells have not closed yet.
constexpr Duration earlierJobsPeriod = 20s; ///< Between two reads of the jobs of earlier cells.
/// In one transaction, whose rows are limited by the store.
constexpr std::size_t maxClosesInTransaction = 8;

const char* nameOf(jobs::QueueClaimStatus status)
{
    constexpr const char* names[] = { "claimed", "not released", "outdated" };
    return names[static_cast<std::size_t>(status)];
}

} // namespace

void CellHost::setRoutes(std::uint64_t version, std::shared_ptr<const jobs::QueueRoutes> routes)
{
    m_queues.configure(version, std::move(routes));
    m_nextClaimAt = {};
    wake();
}

/// They are claimed while the route still leads here, so that the next cell finds the jobs when it moves.
void CellHost::setQueuesOfEarlierRelease(const std::vector<jobs::Route>& routes)
{
    const std::set<jobs::QueueId> queues = m_cell.queuesOfJobsWithoutAddress();
    std::set<jobs::QueueAddress> addresses;
    for (const jobs::Route& route : routes) {
        if (route.queue.pool == m_pool && queues.contains(route.queue.id))
            addresses.insert(jobs::queueAddressOf(route));
    }
    m_queues.setQueuesOfEarlierRelease(std::move(addresses));
}

void CellHost::setAssignments(const jobs::QueueAssignments& assignments) { m_queues.setAssignments(assignments); }

void CellHost::claimQueue(const jobs::QueueAddress& queue, std::uint64_t callVersion)
{
    const auto claim = m_queues.claim(queue, callVersion);
    if (!claim || m_isHandingBack || !m_claimsInProgress.insert(queue).second)
        return;
    const bool isSubmitted = m_parts.storeThreads.submit([this, claim = *claim, alive = m_isAlive,
                                                             &store = m_parts.store, &control = m_parts.control] {
        auto result = valueOrNothing([&] { return jobs::claimQueue(store, claim); },
            [&](const Error& error) {
                logEvent("queue.not_claimed",
                    { { "cell", claim.cell.value() }, { "queue", claim.queue.value() }, { "error", describe(error) } },
                    LogLevel::Warning);
            });
        control.post([this, alive, queue = claim.queue, result = std::move(result)] {
            if (*alive)
                onQueueClaimed(queue, result);
        });
    });
    if (!isSubmitted)
        m_claimsInProgress.erase(queue);
}

void CellHost::onQueueClaimed(const jobs::QueueAddress& queue, const std::optional<jobs::QueueClaimResult>& result)
{
    m_claimsInProgress.erase(queue);
    if (result) {
        m_queues.onClaimResult(queue, *result);
        reportClaim(queue, *result);
        reportJobsInTwoCells(queue, *result);
    }
    m_parts.onQueueClaimed(queue);
    wake();
}

void CellHost::reportClaim(const jobs::QueueAddress& queue, const jobs::QueueClaimResult& result)
{
    m_parts.metrics.increment("rattanrack_queue_claims_total", { { "result", nameOf(result.status) } });
    const auto reported = m_reportedClaims.find(queue);
    if (reported != m_reportedClaims.end() && reported->second == result.status)
        return;
    m_reportedClaims[queue] = result.status;
    logEvent("queue.claim",
        { { "cell", m_pool.value() }, { "term", m_writer.term() }, { "queue", queue.value() },
            { "result", nameOf(result.status) }, { "assignedTo", result.assignment.cell.value() },
            { "byVersion", result.assignment.configurationVersion },
            { "earlierCells", result.assignment.earlierCells.size() }, { "earlierJobs", result.earlierJobs.size() } });
}

/// An id that both cells have accepted means that its tasks may run twice.
void CellHost::reportJobsInTwoCells(const jobs::QueueAddress& queue, const jobs::QueueClaimResult& result)
{
    for (const jobs::EarlierJob& job : result.earlierJobs) {
        if (!m_cell.state(job.id))
            continue;
        m_parts.metrics.increment("rattanrack_jobs_in_two_cells_total");
        logEvent("job.in_two_cells",
            { { "job", job.id.value() }, { "queue", queue.value() }, { "cell", m_pool.value() },
                { "earlierCell", job.cell.value() } },
            LogLevel::Error);
    }
}

void CellHost::claimQueuesIfDue()
{
    const TimePoint now = m_parts.clock.now();
    if (now >= m_nextClaimAt) {
        m_nextClaimAt = now + claimPeriod;
        for (const jobs::QueueAddress& queue : m_queues.queuesToClaim())
            claimQueue(queue);
    }
    if (now >= m_nextEarlierJobsReadAt) {
        m_nextEarlierJobsReadAt = now + earlierJobsPeriod;
        for (const jobs::QueueAddress& queue : m_queues.queuesWithEarlierCells())
            claimQueue(queue);
        removeEndedAssignments();
    }
}

/// Removes the assignments of queues that have no route and no jobs any more. An attempt that fails is repeated.
void CellHost::removeEndedAssignments()
{
    for (const jobs::AssignedQueue& ended : m_queues.closedQueuesWithoutSuccessor()) {
        if (m_cell.hasJobs(ended.queue))
            continue;
        const bool isSubmitted = m_parts.storeThreads.submit([ended, cell = m_pool.value(), &store = m_parts.store] {
            const auto isRemoved = valueOrNothing([&] { return jobs::removeUnusedAssignment(store, ended); });
            if (isRemoved.value_or(false))
                logEvent("queue.unassigned", { { "cell", cell }, { "queue", ended.queue.value() } });
        });
        if (!isSubmitted)
            return;
    }
}

std::vector<jobs::QueueAddress> CellHost::closableQueues()
{
    std::vector<jobs::QueueAddress> queues;
    for (const jobs::QueueAddress& queue : m_queues.queuesToClose()) {
        if (queues.size() < maxClosesInTransaction && !m_cell.hasUnstoredJobs(queue))
            queues.push_back(queue);
    }
    return queues;
}

} // namespace rattanrack::node
