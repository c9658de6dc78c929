#pragma once

#include "model_worker.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace rattanrack::jobs::model {

/// Circumstances under which a worker has carried out a command.
struct CommandExecution {
    TimePoint issuedAt {};
    bool isDelayed { false }; ///< Carried out seconds after it was issued.
    bool isByPresentOwner { true };
};

/// Checks five of the platform's rules against the commands that workers have carried out, the ended runs that they
/// have listed, and the acknowledgements that they have received: the limit of attempts, the limit of starts of a task
/// that crashes its workers, no start after a success, the tasks of a long-running step that may be unavailable at
/// once, no start on a draining worker, and no start that takes a worker over its capacity.
class RuleOracle {
public:
    struct LongRunningTaskState {
        RunNumber run { 0 };
        WorkerId worker;
        bool isActive { false };
        bool isStoppedByCommand { false };
        TimePoint inactiveSince {};
    };

    explicit RuleOracle(int maxAttempts)
        : m_maxAttempts(maxAttempts)
    {
    }

    void onSubmitted(const Job& job, TimePoint now);
    void onCancelled(const JobId& job) { m_cancelled.insert(job); }
    void onDrainListed(const WorkerId& worker, TimePoint now) { m_drainListedAt.emplace(worker, now); }
    void onStarted(const StartCommand& command, const CommandExecution& execution, TimePoint now);

    /// The worker has had `earlier` until now.
    void onCapacityChanged(const WorkerId& worker, const ResourceSize& earlier, TimePoint now)
    {
        m_earlierCapacities[worker].emplace_back(now, earlier);
    }

    /// To be called after a start with what then runs on the worker.
    void checkCapacity(const StartCommand& command, const ResourceSize& used, ResourceSize capacity, TimePoint now);

    /// Records the stop of an active run. To be called before the worker's event for it.
    void onStopped(const StopCommand& command, const CommandExecution& execution, TimePoint now);
    void onCrashed(const WorkerId& worker, TimePoint now);
    /// A worker has crashed under a task that crashes its workers.
    void onCrashedUnder(const TaskRef& task) { ++m_tasks[task].crashes; }
    int highestCrashCount(const JobId& job) const;
    void onRunEvent(const ModelWorkerEvent& event);

    /// Returns and clears the violations found since the last call.
    std::vector<std::string> takeViolations() { return std::exchange(m_violations, {}); }
    int stopsOfActiveRuns() const { return m_stopsOfActiveRuns; }
    const std::map<TaskRef, LongRunningTaskState>& longRunningTasks() const { return m_longRunningTasks; }

private:
    struct TaskRecord {
        std::vector<TimePoint> starts;
        std::map<RunNumber, TimePoint> failedAt; ///< Acknowledged ends.
        std::map<RunNumber, TimePoint> doneAt;
        int crashes { 0 }; ///< Workers that the task has crashed.
        int startsAfterMaxCrashes { 0 }; ///< By owners in touch.
    };

    const Step& stepOf(const TaskRef& task) const;
    void checkStarts(const TaskRef& task);
    void checkStartAfterCrashes(const TaskRef& task, const CommandExecution& execution);
    int countOtherUnavailableTasks(const TaskRef& task, TimePoint now) const;

    int m_maxAttempts;
    std::map<JobId, Job> m_jobs;
    std::set<JobId> m_cancelled;
    std::map<TaskRef, TaskRecord> m_tasks;
    std::map<TaskRef, LongRunningTaskState> m_longRunningTasks;
    std::map<WorkerId, TimePoint> m_drainListedAt;
    std::map<WorkerId, std::vector<std::pair<TimePoint, ResourceSize>>> m_earlierCapacities; ///< Until when.
    std::vector<std::string> m_violations;
    int m_stopsOfActiveRuns { 0 };
};

std::string describe(const TaskRef& task);

} // namespace rattanrack::jobs::model
