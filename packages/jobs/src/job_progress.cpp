#include "rattanrack/jobs/job_progress.h"

#include <algorithm>
#include <utility>

namespace rattanrack::jobs {

JobProgress::JobProgress(const Job& job)
{
    const JobSpec& spec = job.spec;
    for (const Step& step : spec.steps) {
        m_dependsOn.push_back(step.dependsOn);
        m_isGang.push_back(step.isGang);
        m_totalTasks += step.count;
    }
    m_totalTasks *= spec.schedule.occurrences();
    m_waitingTasks = m_totalTasks;
    for (int number = 0; number < spec.schedule.occurrences(); ++number) {
        Occurrence occurrence;
        if (spec.schedule.repeatCount > 0)
            occurrence.dueUnixMs = spec.schedule.firstAtUnixMs + number * spec.schedule.intervalMs;
        for (const Step& step : spec.steps)
            occurrence.steps.push_back({ std::vector<Task>(static_cast<std::size_t>(step.count)), 0, step.count });
        m_occurrences.push_back(std::move(occurrence));
    }
}

JobProgress::JobProgress(const Job& job, const StoredProgress& stored)
    : JobProgress(job)
{
    m_isCancelled = stored.isCancelled;
    m_isFailed = stored.isFailed;
    m_endedAtUnixMs = stored.endedAtUnixMs;
    if (stored.isCompleted)
        m_doneTasks = m_totalTasks;
    for (const StoredTask& entry : stored.tasks) {
        const TaskRef ref { job.id, entry.occurrence, entry.step, entry.index };
        if (stored.isCompleted || !contains(ref))
            continue;
        // A run that is presumed to have ended may never have begun.
        m_hasStarted = m_hasStarted || entry.isDone || !entry.failedRuns.empty() || !entry.lostStarts.empty();
        task(ref).failedRuns = entry.failedRuns;
        task(ref).lostStarts = entry.lostStarts;
        task(ref).presumedEnded = entry.presumedEnded;
        if (entry.isDone)
            markDone(ref);
    }
}

JobState JobProgress::state() const
{
    if (m_isCancelled)
        return JobState::Cancelled;
    if (m_isFailed)
        return JobState::Failed;
    if (m_doneTasks == m_totalTasks)
        return JobState::Completed;
    return m_hasStarted ? JobState::Active : JobState::Queued;
}

Task& JobProgress::taskAt(int occurrence, int step, int index)
{
    return m_occurrences[static_cast<std::size_t>(occurrence)]
        .steps[static_cast<std::size_t>(step)]
        .tasks[static_cast<std::size_t>(index)];
}

const Task& JobProgress::task(int occurrence, int step, int index) const
{
    return m_occurrences[static_cast<std::size_t>(occurrence)]
        .steps[static_cast<std::size_t>(step)]
        .tasks[static_cast<std::size_t>(index)];
}

TaskPosition JobProgress::holderOf(const TaskPosition& task) const
{
    const bool isGang = m_isGang[static_cast<std::size_t>(task.step)];
    return { task.occurrence, task.step, isGang ? 0 : task.index };
}

std::string JobProgress::checkpoint(const TaskRef& ref) const
{
    const auto found = m_checkpoints.find(holderOf(positionOf(ref)));
    return found == m_checkpoints.end() ? std::string {} : found->second.state;
}

void JobProgress::recordCheckpoint(const TaskPosition& task, Checkpoint checkpoint)
{
    if (this->task(task.occurrence, task.step, task.index).phase == TaskPhase::Done)
        return;
    checkpoint.member = task.index;
    Checkpoint& known = m_checkpoints[holderOf(task)];
    const bool isOfSameRun = checkpoint.run == known.run;
    const bool hasLessProgress = checkpoint.member != known.member && checkpoint.percent < known.percent;
    if (checkpoint.run < known.run || (isOfSameRun && hasLessProgress))
        return;
    known = std::move(checkpoint);
}

bool JobProgress::contains(const TaskRef& ref) const
{
    if (ref.occurrence < 0 || ref.occurrence >= occurrences())
        return false;
    const auto& steps = m_occurrences[static_cast<std::size_t>(ref.occurrence)].steps;
    if (ref.step < 0 || ref.step >= static_cast<int>(steps.size()))
        return false;
    return ref.index >= 0 && ref.index < static_cast<int>(steps[static_cast<std::size_t>(ref.step)].tasks.size());
}

bool JobProgress::isReady(int occurrence, int step, std::int64_t unixMs) const
{
    if (unixMs < m_occurrences[static_cast<std::size_t>(occurrence)].dueUnixMs)
        return false;
    const auto& dependencies = m_dependsOn[static_cast<std::size_t>(step)];
    return std::all_of(
        dependencies.begin(), dependencies.end(), [&](int earlier) { return isStepDone(occurrence, earlier); });
}

bool JobProgress::isStepDone(int occurrence, int step) const
{
    const StepProgress& progress
        = m_occurrences[static_cast<std::size_t>(occurrence)].steps[static_cast<std::size_t>(step)];
    return progress.doneCount == static_cast<int>(progress.tasks.size());
}

int JobProgress::waitingTasks(int occurrence, int step) const
{
    return m_occurrences[static_cast<std::size_t>(occurrence)].steps[static_cast<std::size_t>(step)].waitingCount;
}

void JobProgress::setPhase(const TaskRef& ref, TaskPhase phase)
{
    StepProgress& step
        = m_occurrences[static_cast<std::size_t>(ref.occurrence)].steps[static_cast<std::size_t>(ref.step)];
    Task& changed = step.tasks[static_cast<std::size_t>(ref.index)];
    const int waitingChange = (phase == TaskPhase::Waiting ? 1 : 0) - (changed.phase == TaskPhase::Waiting ? 1 : 0);
    step.waitingCount += waitingChange;
    m_waitingTasks += waitingChange;
    step.doneCount += phase == TaskPhase::Done ? 1 : 0;
    m_doneTasks += phase == TaskPhase::Done ? 1 : 0;
    changed.phase = phase;
}

void JobProgress::onStartSent(const TaskRef& ref, RunNumber run)
{
    task(ref).lastRun = std::max(task(ref).lastRun, run);
    setPhase(ref, TaskPhase::Starting);
}

void JobProgress::onRunning(const TaskRef& ref)
{
    m_hasStarted = true;
    if (task(ref).phase != TaskPhase::Done)
        setPhase(ref, TaskPhase::Running);
}

void JobProgress::onRunEnded(const TaskRef& ref)
{
    if (task(ref).phase != TaskPhase::Done)
        setPhase(ref, TaskPhase::Waiting);
}

void JobProgress::presumeEnded(const TaskRef& ref, RunNumber run)
{
    task(ref).presumedEnded = std::max(task(ref).presumedEnded, run);
}

bool JobProgress::countFailure(const TaskRef& ref, RunNumber run)
{
    std::vector<RunNumber>& counted = task(ref).failedRuns;
    if (std::find(counted.begin(), counted.end(), run) != counted.end())
        return false;
    counted.push_back(run);
    return true;
}

void JobProgress::markDone(const TaskRef& ref)
{
    if (task(ref).phase == TaskPhase::Done)
        return;
    setPhase(ref, TaskPhase::Done);
    m_checkpoints.erase(positionOf(ref));
}

void JobProgress::onDone(const TaskRef& ref)
{
    m_hasStarted = true;
    if (!m_isGang[static_cast<std::size_t>(ref.step)]) {
        markDone(ref);
        return;
    }
    const auto& step
        = m_occurrences[static_cast<std::size_t>(ref.occurrence)].steps[static_cast<std::size_t>(ref.step)];
    for (int index = 0; index < static_cast<int>(step.tasks.size()); ++index)
        markDone({ ref.job, ref.occurrence, ref.step, index });
}

void JobProgress::cancel(std::int64_t unixMs)
{
    if (hasEnded())
        return;
    m_isCancelled = true;
    m_endedAtUnixMs = unixMs;
}

void JobProgress::fail(std::int64_t unixMs)
{
    if (hasEnded())
        return;
    m_isFailed = true;
    m_endedAtUnixMs = unixMs;
}

void JobProgress::recordCompletion(std::int64_t unixMs)
{
    if (state() == JobState::Completed && m_endedAtUnixMs == 0)
        m_endedAtUnixMs = unixMs;
}

StoredProgress JobProgress::toStored() const
{
    StoredProgress stored { m_endedAtUnixMs, m_isCancelled, m_isFailed, state() == JobState::Completed, {} };
    if (hasEnded())
        return stored;
    for (int occurrence = 0; occurrence < occurrences(); ++occurrence) {
        const auto& steps = m_occurrences[static_cast<std::size_t>(occurrence)].steps;
        for (int step = 0; step < static_cast<int>(steps.size()); ++step) {
            const auto& tasks = steps[static_cast<std::size_t>(step)].tasks;
            for (int index = 0; index < static_cast<int>(tasks.size()); ++index) {
                const Task& each = tasks[static_cast<std::size_t>(index)];
                const bool isDone = each.phase == TaskPhase::Done;
                if (isDone)
                    stored.tasks.push_back({ occurrence, step, index, isDone, each.failedRuns });
                else if (each.failures() > 0 || each.isSuspect() || each.presumedEnded > 0)
                    stored.tasks.push_back(
                        { occurrence, step, index, isDone, each.failedRuns, each.lostStarts, each.presumedEnded });
            }
        }
    }
    return stored;
}

} // namespace rattanrack::jobs
