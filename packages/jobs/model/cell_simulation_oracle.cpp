#include "cell_simulation.h"

#include "rattanrack/jobs/job_codec.h"

#include <algorithm>

/// The part of `CellSimulation` that checks the invariants against what workers and callers can observe.
namespace rattanrack::jobs::model {

namespace {

using namespace std::chrono_literals;

constexpr Duration cancelGrace = 3s;
constexpr Duration startGrace = 1s;
constexpr Duration maxTimeWithoutRun = 6s; ///< Of a long-running task.
/// Without a disturbance, before a long-running task without a run is overdue: 3 s without it, and 4 s before them.
constexpr Duration undisturbedTime = 7s;
constexpr int roomNeeded = 2; ///< Times the room of a waiting task before it is missed.

} // namespace

void CellSimulation::addViolation(const std::string& what)
{
    m_violations.push_back(std::to_string(m_now.time_since_epoch().count() / 1000) + " ms: " + what);
}

void CellSimulation::processWorkerEvents(ModelWorker& worker)
{
    for (const ModelWorkerEvent& event : worker.takeEvents()) {
        m_oracle.onRunEvent(event);
        const bool hasEndedByItself
            = event.run.entry.outcome == RunOutcome::Done || event.run.entry.outcome == RunOutcome::Failed;
        if (event.kind != ModelWorkerEvent::Kind::Ended)
            continue;
        m_startSurvival.onRunEnded(event.run.entry.task, worker.description().id);
        if (hasEndedByItself)
            injectFaultsAtRunEnd(worker.description().id);
    }
    for (const std::string& each : m_oracle.takeViolations())
        addViolation(each);
}

void CellSimulation::recordEndedRuns(const PollReport& report)
{
    for (const EndedRun& endedRun : report.endedRuns) {
        if (endedRun.outcome == RunOutcome::Done)
            m_done[endedRun.task] = true;
        if (endedRun.outcome == RunOutcome::Failed)
            m_failed[endedRun.task].insert(endedRun.run);
    }
}

void CellSimulation::recordStoredProgress(const JobId& job, const std::string& progress)
{
    const auto decoded = valueOrNothing([&] { return decodeProgress(progress); }).value();
    for (const StoredTask& task : decoded.tasks) {
        if (task.isDone)
            m_doneStoredAt.emplace(TaskRef { job, task.occurrence, task.step, task.index }, m_now);
    }
}

/// By the platform's rules, a start that was issued before the success was stored may still take effect within a
/// second, or later if it was delayed. If the worker's lease did not expire between the end of the successful run and
/// the acknowledgement of that end, `RuleOracle` checks starts without this grace period.
void CellSimulation::checkStartAfterDone(const StartCommand& command, const CommandExecution& execution)
{
    const auto stored = m_doneStoredAt.find(command.task);
    if (stored == m_doneStoredAt.end())
        return;
    const bool isIssuedAfterStored = execution.issuedAt > stored->second;
    const bool isStartedAfterGracePeriod = !execution.isDelayed && m_now > stored->second + startGrace;
    if (isIssuedAfterStored || isStartedAfterGracePeriod)
        addViolation("started after it was done and stored: " + describe(command.task));
}

void CellSimulation::checkStart(
    const ModelWorker& worker, const StartCommand& command, const CommandExecution& execution)
{
    ++m_starts;
    const Job& job = m_jobs.at(command.task.job);
    const Step& step = job.spec.steps[static_cast<std::size_t>(command.task.step)];
    for (const ModelWorker& other : m_workers) {
        const bool isOther = other.description().id != worker.description().id;
        if (isOther && other.isUp() && other.runs().contains(command.task))
            addViolation("two runs at once of " + describe(command.task) + " on " + worker.description().id.value()
                + " and " + other.description().id.value());
    }
    for (const int dependency : step.dependsOn) {
        const int count = job.spec.steps[static_cast<std::size_t>(dependency)].count;
        for (int index = 0; index < count; ++index) {
            if (!m_done[{ job.id, command.task.occurrence, dependency, index }])
                addViolation("started before its dependencies were done: " + describe(command.task));
        }
    }
    const auto stored = m_progressRows.find(job.id);
    if (stored != m_progressRows.end()) {
        const auto progress = valueOrNothing([&] { return decodeProgress(stored->second); }).value();
        for (const StoredTask& task : progress.tasks) {
            const bool isSameTask = task.occurrence == command.task.occurrence && task.step == command.task.step
                && task.index == command.task.index;
            if (isSameTask && static_cast<int>(task.failedRuns.size()) >= maxAttempts && !step.isLongRunning)
                addViolation("started after its attempts were used up: " + describe(command.task));
        }
    }
    checkStartAfterDone(command, execution);
    const auto cancelled = m_cancelled.find(job.id);
    const bool hasCurrentFence = command.fence == m_term;
    if (cancelled != m_cancelled.end() && m_now > cancelled->second + cancelGrace && hasCurrentFence)
        addViolation("started long after its cancellation: " + describe(command.task));
}

int CellSimulation::runningOf(const JobId& job) const
{
    int count = 0;
    for (const ModelWorker& worker : m_workers) {
        for (const auto& [task, run] : worker.runs())
            count += task.job == job ? 1 : 0;
    }
    return count;
}

std::vector<std::string> CellSimulation::overdueLongRunningTasks() const
{
    std::vector<std::string> overdue;
    if (m_now < m_lastWorkerLostAt + undisturbedTime)
        return overdue;
    for (const auto& [task, state] : m_oracle.longRunningTasks()) {
        if (state.isActive || !m_accepted.contains(task.job) || m_cancelled.contains(task.job))
            continue;
        if (m_now >= state.inactiveSince + maxTimeWithoutRun)
            overdue.push_back(describe(task) + " has not run for "
                + std::to_string((m_now - state.inactiveSince).count() / 1000) + " ms, last worker lost "
                + std::to_string((m_now - m_lastWorkerLostAt).count() / 1000) + " ms ago");
    }
    return overdue;
}

/// Whether the step's dependencies are done.
bool CellSimulation::mayRun(const Job& job, int step) const
{
    const auto& dependsOn = job.spec.steps[static_cast<std::size_t>(step)].dependsOn;
    return std::all_of(dependsOn.begin(), dependsOn.end(), [&](int dependency) {
        const int count = job.spec.steps[static_cast<std::size_t>(dependency)].count;
        for (int index = 0; index < count; ++index) {
            const auto done = m_done.find({ job.id, 0, dependency, index });
            if (done == m_done.end() || !done->second)
                return false;
        }
        return true;
    });
}

bool CellSimulation::isHalfOfCapacityInUse() const
{
    ResourceSize used;
    ResourceSize capacity;
    for (const ModelWorker& worker : m_workers) {
        if (!worker.isUp())
            continue;
        used += worker.used();
        capacity += worker.capacity();
    }
    return 2 * used.processors.count() >= capacity.processors.count()
        || 2 * used.memory.count() >= capacity.memory.count();
}

/// Tasks of this size for which running workers have room.
int CellSimulation::roomFor(const ResourceSize& size) const
{
    int room = 0;
    for (const ModelWorker& worker : m_workers) {
        if (!worker.isUp() || worker.description().isDraining
            || linkState(m_ownerNumber, worker.description().id) != LinkState::Up)
            continue;
        ResourceSize free = worker.capacity();
        free -= worker.used();
        for (; fits(size, free) && room < roomNeeded; ++room)
            free -= size;
    }
    return room;
}

std::vector<TaskRef> CellSimulation::waitingTasksWithRoom() const
{
    std::vector<TaskRef> waiting;
    if (isHalfOfCapacityInUse())
        return waiting;
    for (const auto& [id, at] : m_accepted) {
        const auto& behaviors = m_behaviors.at(id);
        const bool crashesWorkers = std::any_of(
            behaviors.begin(), behaviors.end(), [](const TaskBehavior& each) { return each.crashingTask >= 0; });
        if (crashesWorkers || m_cancelled.contains(id) || runningOf(id) > 0)
            continue;
        const Job& job = m_jobs.at(id);
        for (int step = 0; step < static_cast<int>(job.spec.steps.size()); ++step) {
            const Step& spec = job.spec.steps[static_cast<std::size_t>(step)];
            if (!mayRun(job, step) || roomFor(spec.size) < roomNeeded)
                continue;
            for (int index = 0; index < spec.count; ++index) {
                const TaskRef task { id, 0, step, index };
                if (!m_done.contains(task))
                    waiting.push_back(task);
            }
        }
    }
    return waiting;
}

int CellSimulation::highestFailureCount(const JobId& job) const
{
    std::size_t most = 0;
    for (const auto& [task, runs] : m_failed) {
        if (task.job == job)
            most = std::max(most, runs.size());
    }
    return static_cast<int>(most);
}

std::string CellSimulation::describeUnfinishedJobs() const
{
    std::string unfinished;
    for (const auto& [id, at] : m_accepted) {
        const auto state = shownState(id);
        if (!state)
            unfinished += id.value() + " unknown; ";
        else if (*state == JobState::Queued || *state == JobState::Active)
            unfinished += id.value() + " open, " + std::to_string(runningOf(id)) + " running; ";
    }
    return unfinished;
}

} // namespace rattanrack::jobs::model
