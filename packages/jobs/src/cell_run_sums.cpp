#include "cell_state.h"

#include <algorithm>

/// Sums over runs, kept up so that decisions need not go over the runs.
namespace rattanrack::jobs {

bool Worker::hasLongRunning() const
{
    return std::any_of(runs.begin(), runs.end(), [](const auto& each) { return each.second.isLongRunning; });
}

/// Takes a run into all sums over runs, or out of them.
void CellState::updateSums(Worker& worker, const TaskRef& task, const Run& run, int count)
{
    ResourceSize& lasting = worker.usedByLongRunning;
    if (count > 0)
        worker.used += run.size;
    else
        worker.used -= run.size;
    if (run.isLongRunning && count > 0)
        lasting += run.size;
    else if (run.isLongRunning)
        lasting -= run.size;
    worker.colocatedRuns.add(run, count);
    StepLocations& ofJob = locationsByJob[task.job];
    const StepLocation place { task.occurrence, task.step, &worker };
    if ((ofJob[place] += count) == 0)
        ofJob.erase(place);
    if (ofJob.empty())
        locationsByJob.erase(task.job);
}

/// Where runs of the step are.
StepLocationRange CellState::locationsOf(const JobId& job, int occurrence, int step) const
{
    static const StepLocations s_none;
    const auto ofJob = locationsByJob.find(job);
    const StepLocations& all = ofJob == locationsByJob.end() ? s_none : ofJob->second;
    return { all.lower_bound({ occurrence, step, nullptr }), all.lower_bound({ occurrence, step + 1, nullptr }) };
}

} // namespace rattanrack::jobs
