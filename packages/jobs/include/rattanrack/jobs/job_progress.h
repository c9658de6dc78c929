#pragma once

#include "rattanrack/jobs/job.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace rattanrack::jobs {

enum class TaskPhase : std::uint8_t {
    Waiting, ///< Has no run.
    Starting, ///< A start has been issued; the worker has not confirmed it yet.
    Running,
    Done,
};

/// A start of a task soon after which contact with its worker was lost. The worker may have crashed under the task.
struct LostStart {
    WorkerId worker;
    std::int64_t incarnationUnixMs { 0 }; ///< The incarnation that the start was sent to.
    RunNumber run { 0 };
    bool isCrash { false }; ///< The incarnation is known to be over. Otherwise the worker may only be unreachable.
    bool wasReceived { false }; ///< The worker was up when the start arrived.
    bool isOnSettledWorker { false }; ///< The worker had been up for a while.
    /// From sending the start until contact was lost, if it was the only recent start on the worker; 0: it was not.
    Duration exposure {};
    TimePoint lostAt {}; ///< When contact was lost, or when a later owner read the record; not stored.

    bool isAlone() const { return exposure > Duration {}; }

    friend bool operator==(const LostStart&, const LostStart&) = default;
};

/// A task within its job.
struct TaskPosition {
    int occurrence { 0 };
    int step { 0 };
    int index { 0 };

    friend auto operator<=>(const TaskPosition&, const TaskPosition&) = default;
};

/// The task without its job.
inline TaskPosition positionOf(const TaskRef& ref) { return { ref.occurrence, ref.step, ref.index }; }

/// A state from which a run can resume.
struct Checkpoint {
    std::string state;
    RunNumber run { 0 }; ///< The run that has saved it.
    /// Progress of that run as of the list that showed the checkpoint first, or the last list before its end; 0: not
    /// known.
    int percent { 0 };
    int member { 0 }; ///< Index of the task whose run has saved it.
};

struct Task {
    TaskPhase phase { TaskPhase::Waiting };
    RunNumber lastRun { 0 }; ///< Highest run number used so far.
    /// Each run is counted once, in whatever order and however often workers list it.
    std::vector<RunNumber> failedRuns;
    std::vector<LostStart> lostStarts; ///< One for each worker and incarnation; none once a worker survived a start.
    RunNumber presumedEnded { 0 }; ///< Highest run that is presumed to have ended; no worker has listed its end.
    bool isHarmless { false }; ///< A worker has survived a start of it under this owner.

    int failures() const { return static_cast<int>(failedRuns.size()); }

    /// Whether it may have crashed a worker.
    bool isSuspect() const { return !lostStarts.empty(); }
};

/// What the next owner must know of a task: its ended runs that workers have removed after their acknowledgement, and
/// those that are presumed to have ended, which a later run may follow. Only a task that differs from a new one has an
/// entry.
struct StoredTask {
    int occurrence { 0 };
    int step { 0 };
    int index { 0 };
    bool isDone { false };
    std::vector<RunNumber> failedRuns;
    std::vector<LostStart> lostStarts;
    RunNumber presumedEnded { 0 }; ///< As in `Task`; 0 once the task is done.

    friend bool operator==(const StoredTask&, const StoredTask&) = default;
};

struct StoredProgress {
    std::int64_t endedAtUnixMs { 0 }; ///< When the job reached a terminal state; 0 before.
    bool isCancelled { false };
    bool isFailed { false };
    bool isCompleted { false }; ///< `tasks` is empty then.
    std::vector<StoredTask> tasks;

    friend bool operator==(const StoredProgress&, const StoredProgress&) = default;
};

/// Progress of a job. Invariants: a step is ready only when all steps that it depends on are done; a task that is done
/// stays done; a job never leaves a terminal state.
class JobProgress {
public:
    /// Progress of a new job. Keeps no reference to `job`.
    explicit JobProgress(const Job& job);

    /// Progress as the previous owner stored it. Entries that match no task of the job are ignored.
    JobProgress(const Job& job, const StoredProgress& stored);

    JobState state() const;
    bool hasEnded() const { return m_isCancelled || m_isFailed || m_doneTasks == m_totalTasks; }
    bool hasStarted() const { return m_hasStarted; }

    Task& task(const TaskRef& ref) { return taskAt(ref.occurrence, ref.step, ref.index); }
    const Task& task(const TaskRef& ref) const { return task(ref.occurrence, ref.step, ref.index); }
    const Task& task(int occurrence, int step, int index) const;

    /// What tasks that share their checkpoint, and start only together, are recorded under: the first task of a gang,
    /// each other task by itself.
    TaskPosition holderOf(const TaskPosition& task) const;

    /// State of the newest checkpoint of the task; empty: none. The members of a gang share one, since they may only
    /// start with the same.
    std::string checkpoint(const TaskRef& ref) const;

    /// Records a checkpoint that a worker lists, unless a newer one is known: one of a later run, or of another member
    /// of the same gang run that had more progress. Of one member, the latest list has the newest.
    void recordCheckpoint(const TaskPosition& task, Checkpoint checkpoint);
    bool contains(const TaskRef& ref) const;

    /// Whether the step's dependencies are done and its occurrence is due at `unixMs`.
    bool isReady(int occurrence, int step, std::int64_t unixMs) const;
    bool isStepDone(int occurrence, int step) const;
    bool hasWaitingTasks() const { return m_waitingTasks > 0; }
    int waitingTasks(int occurrence, int step) const;

    /// To be called when a start of the task has been issued.
    void onStartSent(const TaskRef& ref, RunNumber run);
    void onRunning(const TaskRef& ref);

    /// To be called when the task's run has ended and the task is not done.
    void onRunEnded(const TaskRef& ref);

    /// Records that the run is presumed to have ended although no worker has listed its end.
    void presumeEnded(const TaskRef& ref, RunNumber run);

    /// Counts a failed run of a task once, however often workers list it. Returns false if it has been counted before.
    bool countFailure(const TaskRef& ref, RunNumber run);

    /// Marks the task as done, or all tasks of the step if it is a gang.
    void onDone(const TaskRef& ref);

    void cancel(std::int64_t unixMs);
    void fail(std::int64_t unixMs);

    /// Records `unixMs` as the time of the end if all tasks are done and no time is recorded yet.
    void recordCompletion(std::int64_t unixMs);

    StoredProgress toStored() const;
    std::int64_t endedAtUnixMs() const { return m_endedAtUnixMs; }
    int occurrences() const { return static_cast<int>(m_occurrences.size()); }

private:
    struct StepProgress {
        std::vector<Task> tasks;
        int doneCount { 0 };
        int waitingCount { 0 };
    };
    struct Occurrence {
        std::vector<StepProgress> steps;
        std::int64_t dueUnixMs { 0 };
    };

    Task& taskAt(int occurrence, int step, int index);
    void setPhase(const TaskRef& ref, TaskPhase phase);
    void markDone(const TaskRef& ref);

    std::vector<std::vector<int>> m_dependsOn; ///< By step.
    std::vector<bool> m_isGang; ///< By step.
    std::vector<Occurrence> m_occurrences;
    std::map<TaskPosition, Checkpoint> m_checkpoints; ///< Newest ones known of tasks that are not done, by holder.
    int m_totalTasks { 0 };
    int m_waitingTasks { 0 };
    int m_doneTasks { 0 };
    bool m_hasStarted { false };
    bool m_isCancelled { false };
    bool m_isFailed { false };
    std::int64_t m_endedAtUnixMs { 0 };
};

} // namespace rattanrack::jobs
