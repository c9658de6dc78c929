#include "rattanrack/jobs/job_codec.h"
#include "rattanrack/jobs/owned_part.h"
#include "rattanrack/jobs/queue_assignment.h"

#include <algorithm>
#include <utility>

namespace rattanrack::jobs {

namespace {

constexpr int maxClaimTries = 4;

/// The row of a queue; empty if there is none.
struct FoundAssignment {
    std::optional<QueueAssignment> assignment;
    RowVersion rowVersion { 0 };
};

Result<FoundAssignment> readAssignment(PartStore& store, const QueueAddress& queue)
{
    RowRange range { queueAssignmentTable, queueAssignmentPart, queue.value() };
    BOOST_LEAF_AUTO(page, store.read(range));
    if (page.rows.empty() || page.rows.front().row.key != queue.value())
        return FoundAssignment {};
    const PartRow& row = page.rows.front();
    BOOST_LEAF_AUTO(assignment, decodeQueueAssignment(row.value));
    assignment.rowVersion = row.version;
    return FoundAssignment { std::move(assignment), row.version };
}

bool hasQueue(const QueueAssignment& assignment, const QueueClaim& claim)
{
    return assignment.cell == claim.cell && claim.closedThrough < assignment.configurationVersion;
}

/// Whether a later configuration than the claim's has assigned or closed the queue.
bool isOutdated(const QueueAssignment& found, const QueueClaim& claim)
{
    const std::uint64_t closedThrough = found.cell == claim.cell ? claim.closedThrough : 0;
    return claim.configurationVersion <= std::max(found.configurationVersion, closedThrough);
}

Result<bool> isReleased(PartStore& store, const QueueAssignment& found, const QueueClaim& claim)
{
    if (found.cell == claim.cell)
        return true;
    BOOST_LEAF_AUTO(closed, readClosedQueues(store, found.cell));
    const auto closedThrough = closed.find(claim.queue);
    return closedThrough != closed.end() && closedThrough->second >= found.configurationVersion;
}

/// A job whose row can't be decoded may be of any queue.
bool mayBeOfQueue(const PartRow& row, const QueueAddress& queue)
{
    const auto job = valueOrNothing([&] { return decodeJob(row.value); });
    return !job || jobs::mayBeOfQueue(*job, queue);
}

Result<std::vector<EarlierJob>> readEarlierJobs(PartStore& store, const PoolId& cell, const QueueAddress& queue)
{
    BOOST_LEAF_AUTO(page, readAll(store, jobTable, cell.value()));
    std::vector<EarlierJob> jobs;
    for (const PartRow& row : page.rows) {
        if (mayBeOfQueue(row, queue))
            jobs.push_back({ JobId { row.row.key }, cell });
    }
    return jobs;
}

/// The row that the claim asks for, before cells without jobs are removed.
QueueAssignment claimedAssignment(const std::optional<QueueAssignment>& found, const QueueClaim& claim)
{
    if (found && hasQueue(*found, claim))
        return *found;
    QueueAssignment next { claim.cell, claim.configurationVersion };
    if (!found)
        return next;
    next.earlierCells = found->earlierCells;
    next.earlierCells.push_back(found->cell);
    std::sort(next.earlierCells.begin(), next.earlierCells.end());
    next.earlierCells.erase(std::unique(next.earlierCells.begin(), next.earlierCells.end()), next.earlierCells.end());
    std::erase(next.earlierCells, claim.cell);
    return next;
}

/// Reads the jobs of the earlier cells, and removes cells without any from `assignment`.
Result<std::vector<EarlierJob>> takeEarlierJobs(
    PartStore& store, const QueueAddress& queue, QueueAssignment& assignment)
{
    std::vector<EarlierJob> all;
    std::vector<PoolId> cellsWithJobs;
    for (const PoolId& cell : assignment.earlierCells) {
        BOOST_LEAF_AUTO(jobs, readEarlierJobs(store, cell, queue));
        if (!jobs.empty())
            cellsWithJobs.push_back(cell);
        all.insert(all.end(), jobs.begin(), jobs.end());
    }
    assignment.earlierCells = std::move(cellsWithJobs);
    return all;
}

} // namespace

Result<bool> removeUnusedAssignment(PartStore& store, AssignedQueue ended)
{
    BOOST_LEAF_AUTO(earlierJobs, takeEarlierJobs(store, ended.queue, ended.assignment));
    if (!earlierJobs.empty())
        return false;
    const RowKey key { queueAssignmentTable, ended.queue.value() };
    const TransactionOutcome outcome
        = store.commit({ queueAssignmentPart, { { key, ended.assignment.rowVersion } }, { { key, std::nullopt } } });
    return outcome.status == TransactionStatus::Done;
}

Result<QueueClaimResult> claimQueue(PartStore& store, const QueueClaim& claim)
{
    for (int tries = 0; tries < maxClaimTries; ++tries) {
        BOOST_LEAF_AUTO(found, readAssignment(store, claim.queue));
        const bool isConfirmed = found.assignment && hasQueue(*found.assignment, claim);
        if (found.assignment && !isConfirmed) {
            if (isOutdated(*found.assignment, claim))
                return QueueClaimResult { QueueClaimStatus::Outdated, *found.assignment, {} };
            BOOST_LEAF_AUTO(released, isReleased(store, *found.assignment, claim));
            if (!released)
                return QueueClaimResult { QueueClaimStatus::NotReleased, *found.assignment, {} };
        }
        QueueAssignment next = claimedAssignment(found.assignment, claim);
        BOOST_LEAF_AUTO(earlierJobs, takeEarlierJobs(store, claim.queue, next));
        if (isConfirmed && next.earlierCells == found.assignment->earlierCells)
            return QueueClaimResult { QueueClaimStatus::Claimed, std::move(next), std::move(earlierJobs) };
        const RowKey key { queueAssignmentTable, claim.queue.value() };
        const TransactionOutcome outcome
            = store.commit({ queueAssignmentPart, { { key, found.rowVersion } }, { { key, encode(next) } } });
        if (outcome.status == TransactionStatus::Done) {
            next.rowVersion = outcome.version;
            return QueueClaimResult { QueueClaimStatus::Claimed, std::move(next), std::move(earlierJobs) };
        }
        if (outcome.status == TransactionStatus::Refused || outcome.status == TransactionStatus::Unavailable)
            return fail(ErrorCode::Unavailable, "queue.claim", claim.queue.value(), outcome.detail);
        // Without a response, or after a conflict, the row shows what has been written.
    }
    return fail(ErrorCode::OutcomeUnknown, "queue.claim", claim.queue.value());
}

} // namespace rattanrack::jobs
