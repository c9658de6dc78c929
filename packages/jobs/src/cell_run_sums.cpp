#include "cell_state.h"

#include <algorithm>

/// Sums over runs, updated with each run so that scheduling passes need not iterate over the runs.
namespace rattanrack::jobs {

bool Worker::hasLongRunning() const
{
    return std::any_of(runs.begin(), runs.end(), [](const auto& each) { return each.second.isLongRunning; });
}

/// Adds a run to all sums over runs, or removes it from them.
void CellState::updateSums(Worker& worker, const TaskRef& task, const Run& run, int count)
{
    ResourceSize& usedByLongRunning = worker.usedByLongRunning;
    if (count > 0)
        worker.used += run.size;
    else
        worker.used -= run.size;
    if (run.isLongRunning && count > 0)
        usedByLongRunning += run.size;
    else if (run.isLongRunning)
        usedByLongRunning -= run.size;
    if (run.account)
        run.account->runs += count;
    if (run.account && count > 0)
        run.account->used += run.requestedSize;
    else if (run.account)
        run.account->used -= run.requestedSize;
    worker.colocatedRuns.add(run, count);
    StepLocations& locations = locationsByJob[task.job];
    const StepLocation location { task.occurrence, task.step, &worker };
    if ((locations[location] += count) == 0)
        locations.erase(location);
    if (locations.empty())
        locationsByJob.erase(task.job);
}

/// Workers with runs of the step, and how many.
StepLocationRange CellState::locationsOf(const JobId& job, int occurrence, int step) const
{
    static const StepLocations s_none;
    const auto locations = locationsByJob.find(job);
    const StepLocations& all = locations == locationsByJob.end() ? s_none : locations->second;
    return { all.lower_bound({ occurrence, step, nullptr }), all.lower_bound({ occurrence, step + 1, nullptr }) };
}

} // namespace rattanrack::jobs
