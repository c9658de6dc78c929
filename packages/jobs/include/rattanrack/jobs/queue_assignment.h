#pragma once

#include "rattanrack/jobs/configuration.h"
#include "rattanrack/jobs/part_store.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

/// Which cell accepts the jobs of a queue.
///
/// A job's id is unique within its queue, whichever pool serves the queue. The store therefore holds one row for each
/// queue, which names the only cell that accepts new jobs of the queue. A cell takes the queue over only once the
/// earlier cell has stored that it accepts no more of its jobs, and then reads which jobs the earlier cell has.
namespace rattanrack::jobs {

/// The row of a queue: the cell that accepts its jobs, and the cells that still have some.
struct QueueAssignment {
    PoolId cell; ///< The only cell that may accept new jobs of the queue.
    std::uint64_t configurationVersion { 0 }; ///< Version by which the cell has claimed the queue.
    std::vector<PoolId> earlierCells; ///< Cells that accept no more jobs of the queue but may still have some.
    RowVersion rowVersion { 0 }; ///< Of the row as read or written; not part of the row.

    friend bool operator==(const QueueAssignment&, const QueueAssignment&) = default;
};

std::string encode(const QueueAssignment&);

/// Errors: MalformedMessage.
Result<QueueAssignment> decodeQueueAssignment(const std::string& bytes);

/// The rows of all queues, as of one read.
struct QueueAssignments {
    std::map<QueueAddress, QueueAssignment> byQueue;
    RowVersion version { 0 }; ///< The store's version at the time of the read.
};

/// Cells that need an owner and whose machines are drained before they are maintained or moved: those that a route
/// names, and those that may have jobs of a queue whose route has moved or is gone.
std::set<PoolId> cellsInUse(const Configuration& configuration, const QueueAssignments& assignments);

/// The version of the configuration through which a cell accepts no jobs of a queue. A cell may accept jobs of a queue
/// that is assigned to it by a later version only.
using ClosedQueues = std::map<QueueAddress, std::uint64_t>;

constexpr const char* queueAssignmentTable = "queue";
constexpr const char* queueAssignmentPart = "queues";
constexpr const char* closedQueueTable = "closed"; ///< In the part of each cell.

/// Row that stores that its cell accepts no jobs of the queue through `configurationVersion`.
RowWrite closedQueueRow(const QueueAddress& queue, std::uint64_t configurationVersion);

/// Reads all assignments. Rows that can't be decoded are left out. Blocks. Errors: Unavailable, MalformedMessage.
Result<QueueAssignments> readQueueAssignments(PartStore& store);

/// Reads which queues the cell has closed. Blocks. Errors: Unavailable, MalformedMessage.
Result<ClosedQueues> readClosedQueues(PartStore& store, const PoolId& cell);

/// A cell's attempt to become the one that accepts the jobs of a queue.
struct QueueClaim {
    QueueAddress queue;
    PoolId cell;
    std::uint64_t configurationVersion { 0 }; ///< In force at the owner, and assigns the queue to the cell.
    std::uint64_t closedThrough { 0 }; ///< As the cell has stored it; 0: never closed.
};

enum class QueueClaimStatus : std::uint8_t {
    Claimed, ///< The queue is assigned to the cell.
    NotReleased, ///< The cell that has the queue may still accept jobs: retry later.
    Outdated, ///< The queue was assigned by the same or a later version of the configuration.
};

/// A job that an earlier cell of its queue has.
struct EarlierJob {
    JobId id;
    PoolId cell;

    friend bool operator==(const EarlierJob&, const EarlierJob&) = default;
};

struct QueueClaimResult {
    QueueClaimStatus status { QueueClaimStatus::NotReleased };
    QueueAssignment assignment; ///< As stored now.
    std::vector<EarlierJob> earlierJobs; ///< If claimed.
};

/// Claims the queue for the cell, or confirms that it has it, and reads which jobs earlier cells have. Earlier cells
/// without jobs of the queue are removed from its row. Blocks; must be called on a store thread. Errors: Unavailable,
/// OutcomeUnknown, MalformedMessage.
Result<QueueClaimResult> claimQueue(PartStore& store, const QueueClaim& claim);

struct AssignedQueue {
    QueueAddress queue;
    QueueAssignment assignment;
};

/// Removes the assignment of a queue that its cell has closed, if no earlier cell has jobs of the queue and the row has
/// not changed. Returns whether it is known to be removed. Blocks. Errors: Unavailable, MalformedMessage.
Result<bool> removeUnusedAssignment(PartStore& store, AssignedQueue ended);

} // namespace rattanrack::jobs
