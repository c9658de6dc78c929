#include "simulated_queue_owner.h"

#include "rattanrack/jobs/job_codec.h"

#include <utility>

namespace rattanrack::jobs::tests {

namespace {

constexpr std::size_t maxJobsInCommit = 2;

Job jobNamed(const JobId& id)
{
    Job job { id, QueueId { "q" }, 5, { "text", { {} }, {} } };
    job.queueAddress = queue;
    return job;
}

} // namespace

SimulatedQueueOwner::SimulatedQueueOwner(const PoolId& ownedCell, OwnedPart ownedPart, ClosedQueues closed)
    : cell(ownedCell)
    , part(std::move(ownedPart))
    , queues(ownedCell, std::move(closed))
{
}

bool SimulatedQueueOwner::has(const JobId& job) const
{
    return storedJobs.contains(job) || unstoredJobs.contains(job) || jobsInCommit.contains(job)
        || queues.cellOfEarlierJob(queue, job).has_value();
}

void SimulatedQueueOwner::applyClaimResult()
{
    if (!claimResult)
        return;
    queues.onClaimResult(queue, *claimResult);
    claimResult.reset();
    isClaiming = false;
}

void SimulatedQueueOwner::beginTransaction()
{
    std::vector<RowWrite> rows;
    const std::vector<QueueAddress> queuesToClose = queues.queuesToClose();
    for (const QueueAddress& each : queuesToClose) {
        if (unstoredJobs.empty())
            rows.push_back(queues.closeQueue(each));
    }
    while (jobsInCommit.size() < maxJobsInCommit && !unstoredJobs.empty())
        jobsInCommit.insert(unstoredJobs.extract(unstoredJobs.begin()));
    for (const JobId& job : jobsInCommit)
        rows.push_back({ { jobTable, job.value() }, encode(jobNamed(job)) });
    removalsInCommit = std::exchange(jobsToRemove, {});
    for (const JobId& job : removalsInCommit)
        rows.push_back({ { jobTable, job.value() }, std::nullopt });
    part.beginTransaction(std::move(rows), {});
}

void SimulatedQueueOwner::commit(PartStore& store)
{
    if (isOver || isSending)
        return;
    if (!part.isInFlight())
        beginTransaction();
    isSending = true;
    const TransactionOutcome outcome = store.commit(part.transaction());
    isSending = false;
    resolve(outcome);
}

void SimulatedQueueOwner::resolve(const TransactionOutcome& outcome)
{
    switch (part.resolve(outcome)) {
    case OwnerWriteOutcome::Done:
        queues.onClosesStored();
        storedJobs.merge(jobsInCommit);
        jobsInCommit.clear();
        for (const JobId& job : removalsInCommit)
            storedJobs.erase(job);
        return;
    case OwnerWriteOutcome::NotApplied:
    case OwnerWriteOutcome::Rejected:
        part.abandon();
        queues.onClosesNotStored();
        jobsInCommit.clear();
        unstoredJobs.clear();
        return;
    case OwnerWriteOutcome::Lost:
        isOver = true;
        return;
    case OwnerWriteOutcome::Unresolved:
        return;
    }
}

} // namespace rattanrack::jobs::tests
