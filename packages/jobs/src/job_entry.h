#pragma once

#include "rattanrack/jobs/cell.h"
#include "rattanrack/jobs/job_progress.h"
#include "step_tickets.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace rattanrack::jobs {

/// Whether a job stays in this state for good.
constexpr bool isTerminal(JobState state) { return state != JobState::Queued && state != JobState::Active; }

/// The state's name in log lines.
std::string_view nameOf(JobState state);

struct CustomerAccount;

/// A job of a cell, and what of it is stored.
struct JobEntry {
    JobEntry(Job accepted, JobProgress initialProgress)
        : job(std::move(accepted))
        , progress(std::move(initialProgress))
    {
    }

    Job job;
    JobProgress progress;
    CustomerAccount* account { nullptr }; ///< Of its customer; null if it has none.
    bool isBeyondWeight { false }; ///< Submitted beyond the weight of its customer.
    const QueueSettings* queue { nullptr }; ///< Its settings; null while the configuration does not contain the queue.
    bool isAmongUnfinished { false }; ///< Whether `CellState::unfinishedJobs` contains the job.
    bool isTakenOver { false }; ///< Taken over from a previous owner, which may have started some of its tasks.
    bool isStored { false };
    bool isMarkedForRemoval { false }; ///< Its rows are to be removed.
    std::uint64_t revision { 0 }; ///< Increases with each change that is to be stored.
    std::uint64_t revisionInCommit { 0 };
    std::uint64_t storedRevision { 0 };
    std::size_t bytesInCommit { 0 }; ///< Of its rows.
    /// Size of its rows that the store has rejected; 0: none. They are written again only once they are smaller.
    std::size_t rejectedBytes { 0 };
    /// By task, of a gang by its first one: the revision that contains the latest failure, lost start or presumed end
    /// of a run. Only those that are not stored yet, so that a large job needs no memory for its other tasks.
    std::map<TaskPosition, std::uint64_t> unstoredEnds;
    int suspects { 0 }; ///< Tasks that may have crashed a worker.
    JobState stateInCommit { JobState::Queued };
    JobState storedState { JobState::Queued };
    std::vector<CallerToken> waitingCallers; ///< Callers that wait for the next commit.
    std::vector<CallerToken> callersInCommit; ///< Callers that wait for the commit in flight.
    TimePoint acceptedAt {};
    Duration criticalPath {}; ///< Time of the longest chain of dependent work that is left.
    TimePoint dueAt {}; ///< The job is late after this time.
    std::int64_t declaredWork { 0 }; ///< Declared, in millicores times milliseconds.
    std::int64_t taskCount { 0 };
    bool isCriticalPathStale { true };
    std::map<std::pair<int, int>, StepTickets> tickets; ///< By occurrence and step.

    /// Whether the task waits for its start. After a failure it also waits until the failure is stored, since the next
    /// owner would not count a failure that it receives only after a further run has started. The same holds for a run
    /// that is presumed to have ended: only a transaction that is sent afterwards proves that no later owner has
    /// renewed the run's lease or received its end, and the next owner must know that a further run may exist. Suspects
    /// start in trials instead, unless they belong to a gang.
    bool isStartable(int occurrence, int step, int index) const;

    /// Whether the latest failure, lost start or presumed end of the task's runs is stored; of a gang, of all members.
    bool areEndsStored(const TaskPosition& task) const;

    /// The task, or its gang, starts again only once the present revision is stored.
    void holdUntilStored(const TaskPosition& task) { unstoredEnds[progress.holderOf(task)] = revision; }

    /// A transaction that contains this revision has succeeded.
    void onStored(std::uint64_t stored);
    int startableTasks(int occurrence, int step) const;

    /// Whether the job has failed and no transaction has confirmed it yet. A later owner may have decided otherwise, so
    /// its runs go on until then.
    bool hasUnstoredFailure() const { return progress.state() == JobState::Failed && storedState != JobState::Failed; }
};

} // namespace rattanrack::jobs
