#pragma once

#include "rattanrack/jobs/worker.h"

#include <vector>

namespace rattanrack::jobs {

/// A worker as the choice of a place sees it.
struct Candidate {
    const WorkerDescription* worker { nullptr };
    ResourceSize free;
    ResourceSize freeAfterFiniteRuns; ///< Once all has ended there that ends by itself.
    int sameStepRuns { 0 }; ///< Runs of the step (and occurrence) there.
    int sameStepRunsInRack { 0 };
    int longRunning { 0 }; ///< Subtasks that last, other than fillers, on this worker.
    int serving { 0 }; ///< Runs with a latency target there.
    int bestEffortRuns { 0 };
    bool isReserved { false }; ///< Kept for something larger.
};

/// What one subtask of a step takes of a worker's room: fillers take no processors.
ResourceSize reservedSize(const Step& step);

/// Whether the step may run there at all, however full the worker is.
bool isEligible(const Step& step, const WorkerDescription& worker);

/// The best place for one more subtask, as an index into `candidates`; -1 when none has room. Data, then spread of what
/// lasts over racks and workers, then fillers away from what serves, then few workers for what lasts, then the emptiest
/// worker.
int chooseWorker(const Step& step, const std::vector<Candidate>& candidates);

} // namespace rattanrack::jobs
