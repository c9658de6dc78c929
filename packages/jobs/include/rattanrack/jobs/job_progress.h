#pragma once

#include "rattanrack/jobs/job.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace rattanrack::jobs {

enum class TaskPhase : std::uint8_t {
    Waiting, ///< Not anywhere.
    Starting, ///< Ordered; the worker has not confirmed it yet.
    Running,
    Done,
};

struct Task {
    TaskPhase phase { TaskPhase::Waiting };
    RunNumber lastRun { 0 }; ///< Highest number used so far.
    std::vector<RunNumber> failedRuns; ///< Each is counted once, in whatever order and how often workers list them.
    std::string checkpoint; ///< Newest one known; empty: none.

    int failures() const { return static_cast<int>(failedRuns.size()); }
};

/// What outlives an owner: ends that workers were told to forget. One entry a subtask that differs from a new one.
struct StoredTask {
    int occurrence { 0 };
    int step { 0 };
    int index { 0 };
    bool isDone { false };
    std::vector<RunNumber> failedRuns;

    friend bool operator==(const StoredTask&, const StoredTask&) = default;
};

struct StoredProgress {
    std::int64_t endedAtUnixMs { 0 }; ///< When the job came to its last state; 0 before.
    bool isCancelled { false };
    bool isFailed { false };
    bool isCompleted { false }; ///< The entries are left out then.
    std::vector<StoredTask> tasks;

    friend bool operator==(const StoredProgress&, const StoredProgress&) = default;
};

/// How far a job has come. The aggregate's rules: a step is ready when all that it comes after is done; a subtask that
/// is done stays so; a job that has come to a last state leaves it no more.
class JobProgress {
public:
    /// A new job; keeps no reference to `job`.
    explicit JobProgress(const Job& job);

    /// A job as its last owner stored it. Entries that name no subtask are ignored.
    JobProgress(const Job& job, const StoredProgress& stored);

    JobState state() const;
    bool hasEnded() const { return m_isCancelled || m_isFailed || m_doneTasks == m_totalTasks; }
    bool hasStarted() const { return m_hasStarted; }

    Task& task(const TaskRef& ref) { return taskAt(ref.occurrence, ref.step, ref.index); }
    const Task& task(const TaskRef& ref) const { return task(ref.occurrence, ref.step, ref.index); }
    const Task& task(int occurrence, int step, int index) const;
    bool contains(const TaskRef& ref) const;

    /// Whether the order of steps and the schedule let the step run at `unixMs`.
    bool isReady(int occurrence, int step, std::int64_t unixMs) const;
    bool isStepDone(int occurrence, int step) const;
    bool hasWaitingTasks() const { return m_waitingTasks > 0; }
    int waitingTasks(int occurrence, int step) const;

    /// Called when a subtask goes to a worker.
    void onStartSent(const TaskRef& ref, RunNumber run);
    void onRunning(const TaskRef& ref);

    /// The run of a subtask is over without being done.
    void onRunEnded(const TaskRef& ref);

    /// Counts a failed run of a subtask once, however often its end is listed. False: it had been counted.
    bool countFailure(const TaskRef& ref, RunNumber run);

    /// A subtask is done, or all of them when the step is a gang.
    void onDone(const TaskRef& ref);

    void cancel(std::int64_t unixMs);
    void fail(std::int64_t unixMs);

    /// Sets the time of the end once all is done.
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

    std::vector<std::vector<int>> m_after; ///< By step.
    std::vector<bool> m_isGang; ///< By step.
    std::vector<Occurrence> m_occurrences;
    int m_totalTasks { 0 };
    int m_waitingTasks { 0 };
    int m_doneTasks { 0 };
    bool m_hasStarted { false };
    bool m_isCancelled { false };
    bool m_isFailed { false };
    std::int64_t m_endedAtUnixMs { 0 };
};

} // namespace rattanrack::jobs
