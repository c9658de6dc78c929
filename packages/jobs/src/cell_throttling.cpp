#include "cell_state.h"

/// Throttling of best-effort tasks beside tasks with a latency target.
namespace rattanrack::jobs {

namespace {

bool isServing(const Step& step) { return step.isLongRunning && step.latencyTarget > Duration::zero(); }

} // namespace

void CellState::throttleBestEffort(Worker& worker, TimePoint now)
{
    if (worker.colocatedRuns.bestEffortRuns == 0) {
        worker.bestEffortThrottle = {};
        return;
    }
    double worstTail = 0;
    std::vector<TaskRef> bestEffortRuns;
    for (const auto& [task, run] : worker.runs) {
        const JobEntry* entry = find(task.job);
        if (!entry || !entry->progress.contains(task) || run.phase != RunPhase::Confirmed)
            continue;
        const Step& step = stepOf(*entry, task);
        if (step.isBestEffort)
            bestEffortRuns.push_back(task);
        else if (isServing(step))
            worstTail = std::max(worstTail, run.measuredValue * 1000 / static_cast<double>(step.latencyTarget.count()));
    }
    if (bestEffortRuns.empty()) {
        worker.bestEffortThrottle = {};
        return;
    }
    const int percent = worker.bestEffortThrottle.observe(worstTail, now);
    for (const TaskRef& task : bestEffortRuns) {
        Run& run = worker.runs.at(task);
        if (run.throttlePercent == percent)
            continue;
        run.throttlePercent = percent;
        output.commands.emplace_back(
            ThrottleCommand { worker.description.id, task, run.number, percent, settings.fence });
    }
}

} // namespace rattanrack::jobs
