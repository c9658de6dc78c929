#include "cell_state.h"

#include <algorithm>

/// Sums over runs, kept up so that decisions need not go over the runs.
namespace rattanrack::jobs {

bool Worker::holdsLasting() const
{
    return std::any_of(runs.begin(), runs.end(), [](const auto& each) { return each.second.isLasting; });
}

/// Takes a run into all sums over runs, or out of them.
void CellState::countRun(Worker& worker, const TaskRef& task, const Run& run, int count)
{
    ResourceSize& lasting = worker.usedByLasting;
    if (count > 0)
        worker.used += run.size;
    else
        worker.used -= run.size;
    if (run.isLongRunning && count > 0)
        lasting += run.size;
    else if (run.isLongRunning)
        lasting -= run.size;
    worker.colocatedRuns.add(run, count);
    StepPlaces& ofJob = runsOfJobs[task.job];
    const StepPlace place { task.occurrence, task.step, &worker };
    if ((ofJob[place] += count) == 0)
        ofJob.erase(place);
    if (ofJob.empty())
        runsOfJobs.erase(task.job);
}

/// Where runs of the step are.
StepPlaceRange CellState::locationsOf(const JobId& job, int occurrence, int step) const
{
    static const StepPlaces s_none;
    const auto ofJob = runsOfJobs.find(job);
    const StepPlaces& all = ofJob == runsOfJobs.end() ? s_none : ofJob->second;
    return { all.lower_bound({ occurrence, step, nullptr }), all.lower_bound({ occurrence, step + 1, nullptr }) };
}

} // namespace rattanrack::jobs
