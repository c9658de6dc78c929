#pragma once

#include "rattanrack/jobs/queue_assignment.h"

#include <memory>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace rattanrack::jobs {

/// What the owner of a cell may do with new jobs of a queue.
enum class QueueAccess : std::uint8_t {
    Open, ///< The cell accepts them, and is the only one that does.
    Claimable, ///< The configuration assigns the queue to the cell, which has to claim it first.
    Elsewhere, ///< Another cell accepts them, or none does.
};

/// The jobs of earlier cells, read for one version of a queue's assignment.
struct EarlierJobs {
    RowVersion rowVersion { 0 };
    std::unordered_map<JobId, PoolId> cellByJob;
};

/// The queues of one cell, as its owner knows them: which ones are assigned to it, which ones it has to close because
/// the configuration assigns them to another cell, and which of their jobs earlier cells have. Pure. Not thread-safe.
///
/// Invariant: a queue is `Open` only while it is assigned to the cell by a later version than the one through which the
/// cell has closed it, stored or in flight. All other cells have closed it then.
class CellQueues {
public:
    /// `closed`: as read from the store after this owner took the cell over.
    CellQueues(PoolId cell, ClosedQueues closed);

    /// Applies a configuration. `routes` must not be null.
    void configure(std::uint64_t version, std::shared_ptr<const QueueRoutes> routes);

    /// Applies assignments as read from the store. Older ones than those known are ignored.
    void setAssignments(const QueueAssignments& assignments);

    /// Queues that the cell may have jobs of though no row assigns them, since an earlier release accepted these jobs.
    void setQueuesOfEarlierRelease(std::set<QueueAddress> queues);

    /// `callVersion`: the version by which a node has chosen this cell for a call, which may be later than the one that
    /// is applied here; 0 if none has.
    QueueAccess access(const QueueAddress& queue, std::uint64_t callVersion = 0) const;

    /// The cell that accepts new jobs of a queue that is `Elsewhere`; empty if it is not known.
    std::optional<PoolId> acceptingCell(const QueueAddress& queue) const;

    /// All other cells that may have jobs of the queue, ascending.
    std::vector<PoolId> otherCells(const QueueAddress& queue) const;

    /// The earlier cell that has the job, if it is known to have it.
    std::optional<PoolId> cellOfEarlierJob(const QueueAddress& queue, const JobId& job) const;

    /// The claim of a queue that is open or claimable; empty if it is elsewhere.
    std::optional<QueueClaim> claim(const QueueAddress& queue, std::uint64_t callVersion = 0) const;
    void onClaimResult(const QueueAddress& queue, const QueueClaimResult& result);

    /// Queues to claim without waiting for a call: those that another cell had, those whose earlier jobs have not been
    /// read, and those of an earlier release. Valid until the next call that changes this object.
    const std::vector<QueueAddress>& queuesToClaim();

    /// Queues with earlier cells, whose jobs have to be read anew from time to time.
    std::vector<QueueAddress> queuesWithEarlierCells() const;

    /// Queues that this cell has and must close. Their rows may be written once all of their jobs are stored. Valid as
    /// above.
    const std::vector<QueueAddress>& queuesToClose();

    /// Queues that this cell has closed for good, as long as no other cell has claimed them. Their assignments may be
    /// removed once the cell has no more jobs of them.
    std::vector<AssignedQueue> closedQueuesWithoutSuccessor() const;

    /// Returns the row that closes the queue. The queue is not open from now on.
    RowWrite closeQueue(const QueueAddress& queue);

    /// The rows of `closeQueue` have been stored, or will not be.
    void onClosesStored();
    void onClosesNotStored();

private:
    const QueueAssignment* assignmentOf(const QueueAddress& queue) const;
    bool isAssignedHere(const QueueAddress& queue) const;
    bool isRoutedHere(const QueueAddress& queue, std::uint64_t callVersion = 0) const;
    bool isRoutedAway(const QueueAddress& queue) const;
    const EarlierJobs* earlierJobsOf(const QueueAddress& queue) const;
    bool isMissingEarlierJobs(const QueueAddress& queue) const;
    std::uint64_t closedThrough(const QueueAddress& queue) const;
    void setAssignment(const QueueAddress& queue, const QueueAssignment& assignment);
    void updateLists();

    PoolId m_cell;
    ClosedQueues m_closed;
    ClosedQueues m_closesInFlight;
    std::uint64_t m_version { 0 }; ///< Of the configuration in force.
    std::shared_ptr<const QueueRoutes> m_routes;
    std::map<QueueAddress, QueueAssignment> m_assignments;
    std::set<QueueAddress> m_queuesOfEarlierRelease;
    std::map<QueueAddress, EarlierJobs> m_earlierJobs; ///< As read last; valid for one version of the assignment.
    bool m_areListsCurrent { false }; ///< Whether the two lists below are of the present state.
    std::vector<QueueAddress> m_queuesToClaim;
    std::vector<QueueAddress> m_queuesToClose;
};

} // namespace rattanrack::jobs
