#pragma once

#include "rattanrack/jobs/cell_queues.h"
#include "rattanrack/jobs/owned_part.h"

#include <optional>
#include <set>

namespace rattanrack::jobs::tests {

/// The only queue of the walk.
inline const QueueAddress queue { "a.example/jobs/" };

/// One owner of a cell. It may have been replaced without having noticed.
struct SimulatedQueueOwner {
    SimulatedQueueOwner(const PoolId& ownedCell, OwnedPart ownedPart, ClosedQueues closed);

    /// Whether a caller may be told that the job is accepted.
    bool has(const JobId& job) const;
    bool hasJobs() const { return !storedJobs.empty() || !unstoredJobs.empty() || !jobsInCommit.empty(); }

    /// Sends the next transaction, or the one without an outcome again.
    void commit(PartStore& store);
    void applyClaimResult();

    PoolId cell;
    OwnedPart part;
    CellQueues queues;
    std::set<JobId> storedJobs;
    std::set<JobId> unstoredJobs;
    std::set<JobId> jobsInCommit;
    std::set<JobId> jobsToRemove;
    std::set<JobId> removalsInCommit;
    std::optional<QueueClaimResult> claimResult; ///< Of a claim that has ended, not applied yet.
    std::uint64_t version { 0 };
    bool isOver { false };
    bool isSending { false };
    bool isClaiming { false };

private:
    void beginTransaction();
    void resolve(const TransactionOutcome& outcome);
};

} // namespace rattanrack::jobs::tests
