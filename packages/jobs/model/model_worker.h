#pragma once

#include "rattanrack/jobs/worker.h"

#include <map>
#include <set>

namespace rattanrack::jobs::model {

constexpr Duration longestLease = std::chrono::seconds { 5 }; ///< A longer one is shortened.

/// A run as the model's worker carries it out.
struct ModelRun {
    RunNumber number { 0 };
    TimePoint endsAt {};
    bool willFail { false };
    bool isLongRunning { false };
    ResourceSize size;
    TimePoint stopsAt {}; ///< Has been told to stop, and is listed until then.
};

/// How a subtask behaves wherever it runs.
struct TaskBehavior {
    ResourceSize size;
    Duration time {};
    bool alwaysFails { false };
    bool isLongRunning { false };
};

/// An end that the worker keeps until it is acknowledged.
struct KeptEnd {
    EndedRun entry;
    TimePoint endedAt {};
    bool hasLeaseLapsedSince { false };
};

/// What has come up at a worker, for the oracle.
struct WorkerNews {
    enum class Kind : std::uint8_t { Ended, Acknowledged };
    Kind kind { Kind::Ended };
    KeptEnd end;
};

/// A worker in virtual time: leases on its own slow clock, fences, numbered ends, tombstones, lives.
class ModelWorker {
public:
    ModelWorker(WorkerDescription description, double clockRate)
        : m_description(std::move(description))
        , m_clockRate(clockRate)
    {
    }

    const WorkerDescription& description() const { return m_description; }
    bool isUp() const { return m_isUp; }
    const std::map<TaskRef, ModelRun>& runs() const { return m_runs; }

    /// Ends what has come to its end or lost its lease by `now`.
    void advance(TimePoint now);

    CommandResult start(const StartCommand& order, const TaskBehavior& work, bool fails, TimePoint now);
    /// The run is listed as running for `time`, if it does not end by itself before.
    CommandResult stop(const StopCommand& order, Duration time, TimePoint now);

    /// Lists at most `maxEnds` ends.
    PollResult poll(const PollCommand& order, std::size_t maxEnds, TimePoint now);

    /// Whether the run goes on and has not been told to stop.
    bool isActive(const TaskRef& task, RunNumber run) const;
    bool wouldAccept(Fence fence) const { return m_isUp && fence >= m_fence; }
    void setDraining() { m_description.isDraining = true; }
    std::vector<WorkerNews> takeNews() { return std::exchange(m_news, {}); }

    /// Ends that are not acknowledged, by number.
    std::vector<EndedRun> unacknowledgedRuns() const;
    bool hasLease(TimePoint now) const { return clockMs(now) < m_leaseUntilMs; }

    void crash();
    void restart(std::int64_t incarnationUnixMs, TimePoint now);

private:
    std::int64_t clockMs(TimePoint now) const;
    void end(const TaskRef& task, RunOutcome kind, TimePoint now);
    void holdUntil(std::int64_t untilMs, TimePoint now);
    bool accepts(Fence fence);

    WorkerDescription m_description;
    double m_clockRate;
    bool m_isUp { true };
    TimePoint m_bornAt {};
    std::map<TaskRef, ModelRun> m_runs;
    std::map<TaskRef, RunNumber> m_highest; ///< Stopped or ended; lower ones and this one are refused.
    std::vector<KeptEnd> m_ends;
    std::vector<WorkerNews> m_news;
    std::int64_t m_lastEnd { 0 };
    std::int64_t m_leaseUntilMs { 0 };
    Fence m_fence { 0 };
};

} // namespace rattanrack::jobs::model
