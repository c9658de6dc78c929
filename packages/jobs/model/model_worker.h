#pragma once

#include "rattanrack/jobs/worker.h"

#include <map>
#include <set>

namespace rattanrack::jobs::model {

constexpr Duration defaultLongestLease = std::chrono::seconds { 5 };

/// A run on a model worker.
struct ModelRun {
    RunNumber number { 0 };
    TimePoint endsAt {};
    bool willFail { false };
    bool isLongRunning { false };
    ResourceSize size;
    TimePoint stopsAt {}; ///< Set by a stop: the run is listed as running until then.
};

/// How a task behaves on any worker.
struct TaskBehavior {
    ResourceSize size;
    Duration time {};
    bool alwaysFails { false };
    bool isLongRunning { false };
    int crashingTask { -1 }; ///< Index of the task that crashes each worker soon after its start; -1: none.
};

/// An ended run, which the worker keeps until it is acknowledged.
struct KeptRun {
    EndedRun entry;
    TimePoint endedAt {};
    bool hasLeaseExpiredSinceEnd { false };
};

/// An event on a worker, for the oracle.
struct ModelWorkerEvent {
    enum class Kind : std::uint8_t { Ended, Acknowledged };
    Kind kind { Kind::Ended };
    KeptRun run;
};

/// A worker in virtual time, with leases on its own slow clock, fences, numbered ended runs, tombstones of old runs,
/// and incarnations.
class ModelWorker {
public:
    /// `longestLease`: a longer one is shortened.
    ModelWorker(WorkerDescription description, double clockRate, Duration longestLease = defaultLongestLease)
        : m_description(std::move(description))
        , m_clockRate(clockRate)
        , m_longestLease(longestLease)
        , m_capacity(m_description.capacity)
    {
    }

    const WorkerDescription& description() const { return m_description; }
    bool isUp() const { return m_isUp; }
    TimePoint startedAt() const { return m_startedAt; } ///< Of the current incarnation.
    const std::map<TaskRef, ModelRun>& runs() const { return m_runs; }

    /// Ends the runs that have finished or lost their lease by `now`.
    void advance(TimePoint now);

    CommandResult start(const StartCommand& command, const TaskBehavior& behavior, bool fails, TimePoint now);
    /// The run is listed as running for `time`, unless it ends by itself earlier.
    CommandResult stop(const StopCommand& command, Duration time, TimePoint now);

    /// Changes when the task's run ends by itself. The run must be there.
    void setEnd(const TaskRef& task, TimePoint at) { m_runs.at(task).endsAt = at; }
    /// The run must be there.
    void endEarly(const TaskRef& task, RunOutcome outcome, TimePoint now) { endRun(task, outcome, now); }

    /// Lists at most `maxEndedRuns` ended runs.
    PollResult poll(const PollCommand& command, std::size_t maxEndedRuns, TimePoint now);

    /// Whether the run is going on and no stop has been received for it.
    bool isActive(const TaskRef& task, RunNumber run) const;
    bool wouldAccept(Fence fence) const { return m_isUp && fence >= m_fence; }
    void setDraining() { m_description.isDraining = true; }

    /// Changes the capacity of the running worker, which its description shows only after `publishCapacity`.
    void setCapacity(const ResourceSize& capacity) { m_capacity = capacity; }
    void publishCapacity() { m_description.capacity = m_capacity; }

    /// Whether starts that do not fit are refused.
    void setEnforcesCapacity(bool enforces) { m_enforcesCapacity = enforces; }
    bool enforcesCapacity() const { return m_enforcesCapacity; }
    const ResourceSize& capacity() const { return m_capacity; }

    /// What the runs reserve that are listed as running, including those that are being stopped.
    ResourceSize used() const;
    std::vector<ModelWorkerEvent> takeEvents() { return std::exchange(m_events, {}); }

    /// Ended runs that are not acknowledged, ordered by sequence number.
    std::vector<EndedRun> unacknowledgedRuns() const;
    bool hasLease(TimePoint now) const { return clockMs(now) < m_leaseUntilMs; }

    void crash();
    /// `initialClock`: of the new incarnation.
    void restart(std::int64_t incarnationUnixMs, TimePoint now, Duration initialClock = std::chrono::seconds { 1 });

private:
    std::int64_t clockMs(TimePoint now) const;
    void endRun(const TaskRef& task, RunOutcome outcome, TimePoint now);
    void extendLease(std::int64_t untilMs, TimePoint now);
    bool acceptsFence(Fence fence);

    WorkerDescription m_description;
    double m_clockRate;
    Duration m_longestLease;
    ResourceSize m_capacity;
    bool m_enforcesCapacity { true };
    bool m_isUp { true };
    TimePoint m_startedAt {};
    Duration m_initialClock { std::chrono::seconds { 1 } };
    std::map<TaskRef, ModelRun> m_runs;
    /// Highest run that was stopped or has ended; starts up to this number are refused.
    std::map<TaskRef, RunNumber> m_highestRuns;
    std::vector<KeptRun> m_keptRuns;
    std::vector<ModelWorkerEvent> m_events;
    std::int64_t m_lastSequence { 0 };
    std::int64_t m_leaseUntilMs { 0 };
    Fence m_fence { 0 };
};

} // namespace rattanrack::jobs::model
