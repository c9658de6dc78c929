#pragma once

#include "rattanrack/jobs/worker.h"

#include <map>
#include <optional>
#include <set>

namespace rattanrack::jobs::model {

/// A run as the model's worker carries it out.
struct ModelRun {
    RunNumber number { 0 };
    TimePoint endsAt {};
    bool willFail { false };
    bool isLasting { false };
    ResourceSize size;
    std::optional<TimePoint> stopsAt; ///< Set once it was told to stop.
};

/// How a subtask behaves wherever it runs.
struct ModelWork {
    ResourceSize size;
    Duration time {};
    bool alwaysFails { false };
    bool isLasting { false };
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

    CallAnswer start(const StartOrder& order, const ModelWork& work, bool fails, TimePoint now);
    CallAnswer stop(const StopOrder& order, TimePoint now);
    LookAnswer look(const LookOrder& order, TimePoint now);

    /// Whether a look that waits would answer now.
    bool hasUnseenEnds() const { return !m_ends.empty(); }

    /// Ends that are not acknowledged, by number.
    const std::vector<EndEntry>& openEnds() const { return m_ends; }

    bool hasLease(TimePoint now) const { return clockMs(now) < m_leaseUntilMs; }

    /// How long a run goes on after it was told to stop; zero at first.
    void setStopTime(Duration time) { m_stopTime = time; }

    void crash();
    void rise(std::int64_t bornUnixMs, TimePoint now);

private:
    std::int64_t clockMs(TimePoint now) const;
    void end(const TaskRef& task, EndKind kind);
    bool accepts(Fence fence);

    WorkerDescription m_description;
    double m_clockRate;
    Duration m_stopTime {};
    bool m_isUp { true };
    TimePoint m_bornAt {};
    std::map<TaskRef, ModelRun> m_runs;
    std::map<TaskRef, RunNumber> m_highest; ///< Stopped or ended; lower ones and this one are refused.
    std::vector<EndEntry> m_ends;
    std::int64_t m_lastEnd { 0 };
    std::int64_t m_leaseUntilMs { 0 };
    Fence m_fence { 0 };
};

} // namespace rattanrack::jobs::model
