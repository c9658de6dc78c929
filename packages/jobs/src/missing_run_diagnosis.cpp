#include "missing_run_diagnosis.h"

#include "rattanrack/jobs/placement.h"
#include "worker_bar.h"

#include <algorithm>

namespace rattanrack::jobs {

namespace {

MissingRunReason reasonOfUnresolved(const Run& run)
{
    if (run.phase == RunPhase::Stopping)
        return MissingRunReason::Stopping;
    return run.hasCommandInFlight ? MissingRunReason::StartInFlight : MissingRunReason::StartWithoutResponse;
}

/// An unresponsive worker may have crashed with all its runs.
ResourceSize freeOnceResolved(const Worker& worker)
{
    ResourceSize free = worker.description.capacity;
    if (worker.contact != WorkerContact::Responsive)
        return free;
    for (const auto& [task, run] : worker.runs) {
        if (run.phase == RunPhase::Confirmed)
            free -= run.size;
    }
    return free;
}

/// Tasks of this size that fit one after the other.
int tasksThatFit(const ResourceSize& size, ResourceSize free, int most)
{
    int count = 0;
    for (; count < most && fits(size, free); ++count)
        free -= size;
    return count;
}

std::string describeCounts(const std::array<int, missingRunReasons>& counts)
{
    std::string text;
    for (std::size_t reason = 0; reason < counts.size(); ++reason) {
        if (counts[reason] == 0)
            continue;
        text += (text.empty() ? "" : ", ") + std::string { describeForWorker(static_cast<MissingRunReason>(reason)) }
            + ' ' + std::to_string(counts[reason]);
    }
    return text;
}

} // namespace

MissingRunEvent MissingRunDiagnosis::diagnose(const JobEntry& entry, const TaskRef& task)
{
    const auto location = m_state.workerOfTask.find(task);
    if (location != m_state.workerOfTask.end()) {
        const Run& run = m_state.workers.at(location->second).runs.at(task);
        return { task, run.number, location->second, reasonOfUnresolved(run), {}, {} };
    }
    if (const auto reason = reasonOfJob(entry, task))
        return { task, 0, {}, *reason, {}, {} };
    surveyWorkers();
    if (hasUsableRoom(entry, task))
        return { task, 0, {}, reasonOfPass(task), {}, {} };
    const WorkerCounts counts = countBars(CellState::stepOf(entry, task), entry.job.id);
    const auto most = std::max_element(counts.begin(), counts.end());
    const auto reason
        = *most == 0 ? MissingRunReason::NoRoom : static_cast<MissingRunReason>(std::distance(counts.begin(), most));
    return { task, 0, {}, reason, describeCounts(counts), {} };
}

std::optional<MissingRunReason> MissingRunDiagnosis::reasonOfJob(const JobEntry& entry, const TaskRef& task) const
{
    if (!entry.isStored)
        return MissingRunReason::JobNotStored;
    if (entry.isTakenOver && m_state.isRecovering)
        return MissingRunReason::PreviousOwners;
    if (!m_mayStart)
        return MissingRunReason::OwnerMayStartNothing;
    if (CellState::attemptsOf(entry) == 0)
        return MissingRunReason::QueueNotConfigured;
    const bool isWaiting = entry.progress.task(task).phase == TaskPhase::Waiting;
    const bool isSuspect = entry.progress.task(task).isSuspect();
    if (isWaiting && !isSuspect && !entry.isStartable(task.occurrence, task.step, task.index))
        return MissingRunReason::FailureNotStored;
    if (isWaiting && isSuspect && !m_state.isLossStored(task))
        return MissingRunReason::FailureNotStored;
    if (isWaiting && isSuspect && m_state.isHeldForEvidence(entry.progress.task(task), m_now))
        return MissingRunReason::HeldForEvidence;
    const Step& step = CellState::stepOf(entry, task);
    const int wanted = step.isGang ? step.count : 1;
    if (m_state.tasksWithinQuota(entry, step, wanted) < wanted)
        return MissingRunReason::QuotaUsedUp;
    if (!CellState::requiresTickets(entry))
        return std::nullopt;
    const auto tickets = entry.tickets.find({ task.occurrence, task.step });
    const bool hasTickets = tickets != entry.tickets.end() && tickets->second.hasUsableAt(m_now);
    return hasTickets ? std::nullopt : std::optional { MissingRunReason::NoTicket };
}

void MissingRunDiagnosis::surveyWorkers()
{
    if (!m_workers.empty())
        return;
    m_workers.reserve(m_state.workers.size());
    for (const auto& [id, worker] : m_state.workers) {
        auto bar = barOf(worker, m_state, m_now);
        if (!bar && !m_state.storedWorkers.contains(id))
            bar = MissingRunReason::WorkerNotStored;
        ResourceSize free = worker.description.capacity;
        free -= worker.used;
        m_workers.push_back({ &worker, bar, free, freeOnceResolved(worker) });
    }
}

/// Whether workers that are not barred have room for the task, or for its whole step if that is a gang.
bool MissingRunDiagnosis::hasUsableRoom(const JobEntry& entry, const TaskRef& task) const
{
    const Step& step = CellState::stepOf(entry, task);
    const int wanted = step.isGang ? step.count : 1;
    int places = 0;
    for (const SurveyedWorker& each : m_workers) {
        if (places >= wanted)
            break;
        if (!barFor(each, step, entry.job.id))
            places += tasksThatFit(reservedSize(step), each.free, std::min(wanted, startsAllowedOn(each, step, task)));
    }
    return places >= wanted;
}

int MissingRunDiagnosis::startsAllowedOn(const SurveyedWorker& surveyed, const Step& step, const TaskRef& task) const
{
    if (step.maxPerWorker == 0)
        return step.count;
    int runsThere = 0;
    for (const auto& [location, runs] : m_state.locationsOf(task.job, task.occurrence, task.step))
        runsThere += location.worker == surveyed.worker ? runs : 0;
    return step.maxPerWorker - runsThere;
}

/// Of a worker that is large enough for a task of the step; nothing: it can be started there.
std::optional<MissingRunReason> MissingRunDiagnosis::barFor(
    const SurveyedWorker& surveyed, const Step& step, const JobId& job) const
{
    const ResourceSize needed = reservedSize(step);
    const bool fitsNow = fits(needed, surveyed.free);
    if (!fitsNow && !fits(needed, surveyed.freeOnceResolved))
        return MissingRunReason::NoRoom;
    if (surveyed.bar)
        return surveyed.bar;
    if (!fitsNow)
        return MissingRunReason::RoomHeldByUnresolvedRuns;
    if (surveyed.worker->isReserved)
        return MissingRunReason::WorkerReserved;
    if (m_state.areJobsKeptApart() && surveyed.worker->hasRecentStartOfOther(job, m_now))
        return MissingRunReason::WorkerTakesOtherJob;
    return isEligible(step, surveyed.worker->description) ? std::nullopt : std::optional { MissingRunReason::NoRoom };
}

MissingRunDiagnosis::WorkerCounts MissingRunDiagnosis::countBars(const Step& step, const JobId& job) const
{
    WorkerCounts counts {};
    for (const SurveyedWorker& each : m_workers) {
        if (isEligible(step, each.worker->description))
            ++counts[static_cast<std::size_t>(barFor(each, step, job).value_or(MissingRunReason::NoRoom))];
    }
    return counts;
}

MissingRunReason MissingRunDiagnosis::reasonOfPass(const TaskRef& task) const
{
    if (m_state.isGangHeldBack)
        return MissingRunReason::GangHeldBack;
    if (m_state.isWindowFull)
        return MissingRunReason::WindowFull;
    return m_state.isSuspect(task) ? MissingRunReason::WaitsForTrial : MissingRunReason::NotReached;
}

} // namespace rattanrack::jobs
