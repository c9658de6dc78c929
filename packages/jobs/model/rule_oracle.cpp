#include "rule_oracle.h"

#include <algorithm>

namespace rattanrack::jobs::model {

namespace {

using namespace std::chrono_literals;

constexpr Duration drainGrace = 2s;
/// A capacity that has shrunk counts from this time on: the platform's stable window and one heartbeat.
constexpr Duration shrinkGrace = 4500ms;
/// A task that has not been active for this long counts as unavailable, whatever the cause.
constexpr Duration unavailableAfter = 4500ms;
constexpr int maxCrashes = 3; ///< Of workers under one task.
constexpr int startsThatBreakTheRule = 3; ///< After `maxCrashes`.

} // namespace

std::string describe(const TaskRef& task)
{
    return task.job.value() + '.' + std::to_string(task.occurrence) + '.' + std::to_string(task.step) + '.'
        + std::to_string(task.index);
}

const Step& RuleOracle::stepOf(const TaskRef& task) const
{
    return m_jobs.at(task.job).spec.steps[static_cast<std::size_t>(task.step)];
}

void RuleOracle::onSubmitted(const Job& job, TimePoint now)
{
    m_jobs[job.id] = job;
    for (int step = 0; step < static_cast<int>(job.spec.steps.size()); ++step) {
        const Step& spec = job.spec.steps[static_cast<std::size_t>(step)];
        for (int index = 0; spec.isLongRunning && index < spec.count; ++index)
            m_longRunningTasks[{ job.id, 0, step, index }].inactiveSince = now;
    }
}

void RuleOracle::onStarted(const StartCommand& command, const CommandExecution& execution, TimePoint now)
{
    const auto drain = m_drainListedAt.find(command.worker);
    const bool isDrainKnown = drain != m_drainListedAt.end() && execution.issuedAt > drain->second + drainGrace;
    if (isDrainKnown && execution.isByPresentOwner)
        m_violations.push_back("DRAIN: start of " + describe(command.task) + " on " + command.worker.value());
    m_tasks[command.task].starts.push_back(now);
    checkStarts(command.task);
    checkStartAfterCrashes(command.task, execution);
    if (stepOf(command.task).isLongRunning)
        m_longRunningTasks[command.task] = { command.run, command.worker, true, false, {} };
}

void RuleOracle::checkCapacity(
    const StartCommand& command, const ResourceSize& used, ResourceSize capacity, TimePoint now)
{
    for (const auto& [until, earlier] : m_earlierCapacities[command.worker]) {
        if (now - until > shrinkGrace)
            continue;
        capacity.processors = std::max(capacity.processors, earlier.processors);
        capacity.memory = std::max(capacity.memory, earlier.memory);
        capacity.accelerators = std::max(capacity.accelerators, earlier.accelerators);
    }
    if (!fits(used, capacity))
        m_violations.push_back("LIMIT: start of " + describe(command.task) + " run " + std::to_string(command.run)
            + " on " + command.worker.value() + ", which then uses " + std::to_string(used.processors.count()) + " of "
            + std::to_string(capacity.processors.count()) + " millicores, " + std::to_string(used.memory.count())
            + " of " + std::to_string(capacity.memory.count()) + " MiB");
}

/// A start that was carried out late, or that a replaced owner has sent, does not count.
void RuleOracle::checkStartAfterCrashes(const TaskRef& task, const CommandExecution& execution)
{
    TaskRecord& record = m_tasks[task];
    if (record.crashes < maxCrashes || execution.isDelayed || !execution.isByPresentOwner)
        return;
    if (++record.startsAfterMaxCrashes == startsThatBreakTheRule)
        m_violations.push_back("BUDGET: start of " + describe(task) + " after " + std::to_string(record.crashes)
            + " workers have crashed under it");
}

int RuleOracle::highestCrashCount(const JobId& job) const
{
    int most = 0;
    for (const auto& [task, record] : m_tasks)
        most = task.job == job ? std::max(most, record.crashes) : most;
    return most;
}

int RuleOracle::countOtherUnavailableTasks(const TaskRef& task, TimePoint now) const
{
    int unavailable = 0;
    TaskRef other = task;
    for (other.index = 0; other.index < stepOf(task).count; ++other.index) {
        const LongRunningTaskState& state = m_longRunningTasks.at(other);
        const bool hasBeenInactiveTooLong = !state.isActive && now - state.inactiveSince >= unavailableAfter;
        const bool isUnavailable = state.isStoppedByCommand || hasBeenInactiveTooLong;
        unavailable += other.index != task.index && isUnavailable ? 1 : 0;
    }
    return unavailable;
}

void RuleOracle::onStopped(const StopCommand& command, const CommandExecution& execution, TimePoint now)
{
    const auto found = m_longRunningTasks.find(command.task);
    if (found == m_longRunningTasks.end() || found->second.run != command.run || !found->second.isActive)
        return;
    LongRunningTaskState& state = found->second;
    const bool isExempt
        = execution.isDelayed || m_cancelled.contains(command.task.job) || m_drainListedAt.contains(command.worker);
    const int maxUnavailable = stepOf(command.task).maxUnavailable;
    const int unavailable = countOtherUnavailableTasks(command.task, now);
    ++m_stopsOfActiveRuns;
    if (!isExempt && maxUnavailable > 0 && unavailable >= maxUnavailable)
        m_violations.push_back("AVAIL: stop of " + describe(command.task) + " run " + std::to_string(command.run)
            + " on " + command.worker.value() + " while " + std::to_string(unavailable)
            + " other tasks are unavailable");
    state.isActive = false;
    state.isStoppedByCommand = true;
    state.inactiveSince = now;
}

void RuleOracle::onCrashed(const WorkerId& worker, TimePoint now)
{
    for (auto& [task, state] : m_longRunningTasks) {
        if (state.worker != worker || !state.isActive)
            continue;
        state.isActive = false;
        state.inactiveSince = now;
    }
}

void RuleOracle::onRunEvent(const ModelWorkerEvent& event)
{
    const EndedRun& endedRun = event.run.entry;
    if (event.kind == ModelWorkerEvent::Kind::Ended) {
        const auto state = m_longRunningTasks.find(endedRun.task);
        if (state == m_longRunningTasks.end() || state->second.run != endedRun.run || !state->second.isActive)
            return;
        state->second.isActive = false;
        state->second.inactiveSince = event.run.endedAt;
        return;
    }
    // The worker has received the acknowledgement of the ended run.
    if (event.run.hasLeaseExpiredSinceEnd)
        return;
    TaskRecord& record = m_tasks[endedRun.task];
    if (endedRun.outcome == RunOutcome::Failed)
        record.failedAt.emplace(endedRun.run, event.run.endedAt);
    if (endedRun.outcome == RunOutcome::Done)
        record.doneAt.emplace(endedRun.run, event.run.endedAt);
    checkStarts(endedRun.task);
}

/// Checks every start of the task against the acknowledged ends of earlier runs. A run that ended before a start may be
/// acknowledged after that start, so the starts are checked again at each acknowledgement.
void RuleOracle::checkStarts(const TaskRef& task)
{
    if (stepOf(task).isLongRunning)
        return;
    const TaskRecord& record = m_tasks[task];
    for (const TimePoint start : record.starts) {
        const auto endedBeforeStart = [&](const auto& end) { return end.second < start; };
        const auto failures = std::count_if(record.failedAt.begin(), record.failedAt.end(), endedBeforeStart);
        if (failures >= m_maxAttempts)
            m_violations.push_back("BUDGET: start of " + describe(task) + " after " + std::to_string(failures)
                + " failures, at " + std::to_string(start.time_since_epoch().count() / 1000) + " ms");
        if (std::any_of(record.doneAt.begin(), record.doneAt.end(), endedBeforeStart))
            m_violations.push_back("TWICE: start of " + describe(task) + " after it was done, at "
                + std::to_string(start.time_since_epoch().count() / 1000) + " ms");
    }
}

} // namespace rattanrack::jobs::model
