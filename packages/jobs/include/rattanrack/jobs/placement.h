#pragma once

#include "rattanrack/jobs/worker.h"

#include <vector>

namespace rattanrack::jobs {

/// A worker that may be chosen for a task.
struct Candidate {
    const WorkerDescription* worker { nullptr };
    ResourceSize free;
    ResourceSize freeAfterFiniteRuns; ///< Once all finite runs there have ended.
    int sameStepRuns { 0 }; ///< Runs of the step (and occurrence) there.
    int sameStepRunsInRack { 0 };
    int longRunning { 0 }; ///< Long-running tasks there, other than best-effort ones.
    int serving { 0 }; ///< Runs with a latency target there.
    int bestEffortRuns { 0 };
    bool isReserved { false }; ///< Kept free for a larger task.
    bool isClosed { false }; ///< Another job has just started there, and only that may start there now.
};

/// What one task of the step reserves of a worker's capacity. Best-effort tasks reserve no processors.
ResourceSize reservedSize(const Step& step);

/// Whether the worker has the label that the step requires and is large enough, regardless of what runs there.
bool isEligible(const Step& step, const WorkerDescription& worker);

/// Chooses the worker for one more task, as an index into `candidates`; -1 when it fits on none. The preferences are,
/// in this order: the rack with the step's data; the rack with most tasks of the step, if it prefers one rack; few
/// serving runs beside a best-effort task; a spread of long-running tasks over workers and racks; few best-effort and
/// serving runs beside a long-running task; few workers with long-running tasks; the emptiest worker.
int chooseWorker(const Step& step, const std::vector<Candidate>& candidates);

} // namespace rattanrack::jobs
