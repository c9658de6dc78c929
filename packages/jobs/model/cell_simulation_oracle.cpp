#include "cell_simulation.h"

#include "rattanrack/jobs/job_codec.h"

#include <algorithm>

/// What must always hold, as workers and callers see it.
namespace rattanrack::jobs::model {

namespace {

using namespace std::chrono_literals;

constexpr Duration cancelTime = 3s;
constexpr Duration startGrace = 1s;

} // namespace

void CellSimulation::violate(const std::string& what)
{
    m_violations.push_back(std::to_string(m_now.time_since_epoch().count() / 1000) + " ms: " + what);
}

void CellSimulation::hear(ModelWorker& worker)
{
    for (const WorkerNews& news : worker.takeNews()) {
        m_oracle.heard(news);
        const bool isOwn = news.end.entry.outcome == RunOutcome::Done || news.end.entry.outcome == RunOutcome::Failed;
        if (news.kind == WorkerNews::Kind::Ended && isOwn)
            misfortuneAtEnd(worker.description().id);
    }
    for (const std::string& each : m_oracle.takeViolations())
        violate(each);
}

void CellSimulation::noteEnds(const PollReport& report)
{
    for (const EndedRun& end : report.endedRuns) {
        if (end.outcome == RunOutcome::Done)
            m_done[end.task] = true;
        if (end.outcome == RunOutcome::Failed)
            m_failed[end.task].insert(end.run);
    }
}

void CellSimulation::noteStored(const JobId& job, const std::string& progress)
{
    const auto decoded = valueOrNothing([&] { return decodeProgress(progress); }).value();
    for (const StoredTask& task : decoded.tasks) {
        if (task.isDone)
            m_doneStoredAt.emplace(TaskRef { job, task.occurrence, task.step, task.index }, m_now);
    }
}

/// As the rules have it: a start that was ordered before may begin within a second, or later when it was held up. A
/// success acknowledged within its lease is judged by the rule oracle without such a time.
void CellSimulation::checkStartAfterDone(const StartCommand& order, const CarriedOut& how)
{
    const auto stored = m_doneStoredAt.find(order.task);
    if (stored == m_doneStoredAt.end())
        return;
    const bool isOrderedAfter = how.orderedAt > stored->second;
    const bool isBegunLongAfter = !how.isHeldUp && m_now > stored->second + startGrace;
    if (isOrderedAfter || isBegunLongAfter)
        violate("started after it was done and stored: " + describe(order.task));
}

void CellSimulation::checkStart(const ModelWorker& worker, const StartCommand& order, const CarriedOut& how)
{
    ++m_starts;
    const Job& job = m_jobs.at(order.task.job);
    const Step& step = job.spec.steps[static_cast<std::size_t>(order.task.step)];
    for (const ModelWorker& other : m_workers) {
        const bool isOther = other.description().id != worker.description().id;
        if (isOther && other.isUp() && other.runs().contains(order.task))
            violate("two runs at once of " + describe(order.task) + " on " + worker.description().id.value() + " and "
                + other.description().id.value());
    }
    for (const int earlier : step.dependsOn) {
        const int count = job.spec.steps[static_cast<std::size_t>(earlier)].count;
        for (int index = 0; index < count; ++index) {
            if (!m_done[{ job.id, order.task.occurrence, earlier, index }])
                violate("started before what it comes after: " + describe(order.task));
        }
    }
    const auto stored = m_progressRows.find(job.id);
    if (stored != m_progressRows.end()) {
        const auto progress = valueOrNothing([&] { return decodeProgress(stored->second); }).value();
        for (const StoredTask& task : progress.tasks) {
            const bool isIt = task.occurrence == order.task.occurrence && task.step == order.task.step
                && task.index == order.task.index;
            if (isIt && static_cast<int>(task.failedRuns.size()) >= attempts && !step.isLongRunning)
                violate("started after its attempts were used up: " + describe(order.task));
        }
    }
    checkStartAfterDone(order, how);
    const auto cancelled = m_cancelled.find(job.id);
    const bool isByPresentOwner = order.fence == m_term;
    if (cancelled != m_cancelled.end() && m_now > cancelled->second + cancelTime && isByPresentOwner)
        violate("started long after its cancel: " + describe(order.task));
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

int CellSimulation::mostFailures(const JobId& job) const
{
    std::size_t most = 0;
    for (const auto& [task, runs] : m_failed) {
        if (task.job == job)
            most = std::max(most, runs.size());
    }
    return static_cast<int>(most);
}

std::string CellSimulation::unfinishedJobs() const
{
    std::string open;
    for (const auto& [id, at] : m_accepted) {
        const auto state = shown(id);
        if (!state)
            open += id.value() + " unknown; ";
        else if (*state == JobState::Queued || *state == JobState::Active)
            open += id.value() + " open, " + std::to_string(runningOf(id)) + " running; ";
    }
    return open;
}

} // namespace rattanrack::jobs::model
