#include "cell_state.h"

/// Reports long-running tasks that have no active run, and what keeps each from its next one.
namespace rattanrack::jobs {

namespace {

using namespace std::chrono_literals;

constexpr Duration checkPeriod = 500ms;
constexpr Duration reportPeriod = 3s; ///< Of one task; also the time until its first report.

std::string_view describeUnresolved(const Run& run)
{
    if (run.phase == RunPhase::Stopping)
        return "its run is being stopped";
    if (run.hasCommandInFlight)
        return "its start is in flight";
    return "its start got no response";
}

} // namespace

void CellState::checkMissingRuns(bool mayStart, TimePoint now)
{
    if (now < nextMissingRunCheckAt)
        return;
    nextMissingRunCheckAt = now + checkPeriod;
    std::erase_if(missingRuns, [&](const auto& each) {
        const JobEntry* entry = find(each.first.job);
        return !entry || entry->progress.hasEnded();
    });
    for (const JobEntry* entry : unfinishedJobs) {
        if (entry->progress.hasEnded())
            continue;
        for (int step = 0; step < static_cast<int>(entry->job.spec.steps.size()); ++step) {
            const Step& spec = entry->job.spec.steps[static_cast<std::size_t>(step)];
            if (!spec.isLongRunning || !entry->progress.isReady(0, step, unixMs))
                continue;
            for (int index = 0; index < spec.count; ++index)
                checkMissingRun(*entry, { entry->job.id, 0, step, index }, mayStart, now);
        }
    }
}

void CellState::checkMissingRun(const JobEntry& entry, const TaskRef& task, bool mayStart, TimePoint now)
{
    if (entry.progress.task(task).phase == TaskPhase::Running) {
        missingRuns.erase(task);
        return;
    }
    MissingRun& missing = missingRuns.try_emplace(task, MissingRun { now, now + reportPeriod }).first->second;
    if (now < missing.reportAt)
        return;
    missing.reportAt = now + reportPeriod;
    MissingRunEvent event = describeMissingRun(entry, task, mayStart);
    event.age = now - missing.since;
    addEvent(std::move(event));
}

MissingRunEvent CellState::describeMissingRun(const JobEntry& entry, const TaskRef& task, bool mayStart) const
{
    const auto location = workerOfTask.find(task);
    if (location != workerOfTask.end()) {
        const Run& run = workers.at(location->second).runs.at(task);
        return { task, run.number, location->second, std::string { describeUnresolved(run) } };
    }
    if (!entry.isStored)
        return { task, 0, {}, "its job is not stored" };
    if (entry.isTakenOver && isRecovering)
        return { task, 0, {}, "workers of previous owners may still run it" };
    if (!mayStart)
        return { task, 0, {}, "its owner may start nothing at present" };
    if (attemptsOf(entry) == 0)
        return { task, 0, {}, "its queue is not configured" };
    return { task, 0, {}, isWindowFull ? "other starts are in flight" : "no worker has room for it" };
}

} // namespace rattanrack::jobs
