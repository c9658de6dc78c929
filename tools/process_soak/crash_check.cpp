#include "crash_check.h"

#include "task_name.h"

#include <algorithm>
#include <map>
#include <sstream>

namespace rattanrack::tools {

namespace {

using RunsOfTask = std::map<jobs::TaskRef, std::vector<const RunRecord*>>;

RunsOfTask runsOfCrashingTasks(const History& history)
{
    RunsOfTask runs;
    for (const RunRecord& run : history.runs) {
        const auto job = history.jobs.find(run.task.job);
        if (job != history.jobs.end() && job->second.crashesWorkers)
            runs[run.task].push_back(&run);
    }
    return runs;
}

/// When the last crash happened that leaves the number of starts open; nothing if there are fewer crashes.
std::optional<TimePoint> limitedFrom(const History& history, const std::vector<const RunRecord*>& runs)
{
    std::vector<TimePoint> crashes;
    for (const RunRecord* run : runs) {
        if (isCrash(history, *run))
            crashes.push_back(*run->endedAt);
    }
    if (crashes.size() < crashesBeforeLimit)
        return std::nullopt;
    std::sort(crashes.begin(), crashes.end());
    return crashes[crashesBeforeLimit - 1];
}

} // namespace

bool isCrash(const History& history, const RunRecord& run)
{
    const auto job = history.jobs.find(run.task.job);
    return job != history.jobs.end() && job->second.crashesWorkers && run.ending == Ending::Gone && run.endedAt;
}

bool mayBeGivenUp(const History& history, const jobs::JobId& job)
{
    const RunsOfTask tasks = runsOfCrashingTasks(history);
    return std::any_of(tasks.begin(), tasks.end(), [&](const auto& each) {
        return each.first.job == job
            && std::count_if(
                   each.second.begin(), each.second.end(), [&](const RunRecord* run) { return isCrash(history, *run); })
            >= crashesToGiveUp;
    });
}

void judgeCrashes(const History& history, std::vector<Violation>& found)
{
    for (const auto& [task, runs] : runsOfCrashingTasks(history)) {
        const auto from = limitedFrom(history, runs);
        if (!from)
            continue;
        const auto starts
            = std::count_if(runs.begin(), runs.end(), [&](const RunRecord* run) { return run->startedAt > *from; });
        if (starts < startsBeyondLimit)
            continue;
        std::ostringstream text;
        text << adapter::taskName(task) << " was started " << starts << " times after " << crashesBeforeLimit
             << " workers had crashed under it";
        found.push_back({ "BUDGET (crash)", task.job, text.str() });
    }
}

} // namespace rattanrack::tools
