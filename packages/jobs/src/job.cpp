#include "rattanrack/jobs/job.h"

#include <algorithm>

namespace rattanrack::jobs {

namespace {

bool dependsOnEarlierSteps(const Step& step, int position)
{
    return std::all_of(
        step.dependsOn.begin(), step.dependsOn.end(), [&](int earlier) { return earlier >= 0 && earlier < position; });
}

bool hasSize(const Step& step)
{
    return step.size.processors.count() >= 0 && step.size.memory.count() >= 0 && step.size.accelerators.count() >= 0;
}

} // namespace

bool mayBeOfQueue(const Job& job, const QueueAddress& queue)
{
    return job.queueAddress.isEmpty() || job.queueAddress == queue;
}

std::string_view validationError(const JobSpec& spec)
{
    if (spec.text.size() > maxSpecBytes)
        return "spec too long";
    if (spec.steps.empty())
        return "no steps";
    if (spec.steps.size() > maxStepsPerJob)
        return "too many steps";
    std::int64_t tasks = 0;
    int position = 0;
    for (const Step& step : spec.steps) {
        if (step.count < 1 || step.count > maxTasksPerJob)
            return "count of a step out of range";
        if (!hasSize(step))
            return "negative size";
        if (!dependsOnEarlierSteps(step, position++))
            return "a step depends on one that is not earlier";
        tasks += step.count;
    }
    if (spec.schedule.repeatCount < 0 || spec.schedule.intervalMs < 0)
        return "negative schedule";
    if (tasks * spec.schedule.occurrences() > maxTasksPerJob)
        return "too many subtasks";
    return {};
}

} // namespace rattanrack::jobs
