#include "cell_state.h"

#include <algorithm>
#include <utility>

/// Tasks that crash the workers that start them: evidence, trials of suspects, and verdicts.
namespace rattanrack::jobs {

namespace {

using namespace std::chrono_literals;

/// A run that is listed this long after its start was carried out has not crashed its worker, in ms of its clock.
constexpr std::int64_t survivalMs = 100;
constexpr Duration longestAwait = 6s; ///< Crashed workers are usually back before.
constexpr Duration untriedLossMemory = 10s; ///< Other workers that were lost within this time make a trial doubtful.
constexpr Duration rackLossTime = 1500ms; ///< Workers of a rack that are lost within this time share a cause.
constexpr Duration maxReportAge = 250ms; ///< Of a worker that is known to be up.
constexpr Duration longestTrial = 1500ms; ///< A start without a trace after this time keeps no other work away.
constexpr Duration settledAge = 5s; ///< A worker that restarted within this time may restart again by itself.

constexpr int crashesInCalm = 2; ///< The least number that allows a verdict.
constexpr int crashesInDoubt = 3;
constexpr int maxCrashes = 4; ///< With this many crashes no doubt is left.

bool isPlanned(const Worker& worker, const CellState& state)
{
    return worker.description.isDraining || state.drainingMachines.contains(worker.description.machine);
}

} // namespace

bool Worker::isSettled(TimePoint now) const { return now - startedAtLatest >= settledAge; }

bool Worker::hasFreshReport(TimePoint now) const { return now - lastReportAt <= maxReportAge; }

bool Worker::hasTrial(TimePoint now) const
{
    return std::any_of(unprovenStarts.begin(), unprovenStarts.end(), [&](const UnprovenStart& each) {
        return each.isTrial && each.lostAt == TimePoint {} && now - each.sentAt < longestTrial;
    });
}

bool JobEntry::isHeldForEvidence(const TaskRef& ref) const
{
    const Task& task = progress.task(ref);
    const bool isLongRunning = job.spec.steps[static_cast<std::size_t>(ref.step)].isLongRunning;
    const auto possibleCrashes = static_cast<int>(task.crashes.size() + task.lostStarts.size());
    return !task.lostStarts.empty() && possibleCrashes >= crashesInCalm && !isLongRunning;
}

/// A task that has crashed two workers is not started again on a worker that has just restarted: its start is stopped,
/// and the next trial is on another one.
bool CellState::hasCrashedRepeatedly(const TaskRef& task) const
{
    const JobEntry* entry = crashSuspicion.suspects.contains(task) ? find(task.job) : nullptr;
    return entry && static_cast<int>(entry->progress.task(task).crashes.size()) >= crashesInCalm;
}

/// Whether a start without a response may be sent again: always, but for a suspect only as its next trial.
bool CellState::mayRetryStart(const Worker& worker, const TaskRef& task) const
{
    const JobEntry* entry = crashSuspicion.suspects.contains(task) ? find(task.job) : nullptr;
    if (!entry)
        return true;
    const bool isStored = entry->storedRevision >= entry->failureRevision;
    const bool isBesideOthers = std::any_of(worker.unprovenStarts.begin(), worker.unprovenStarts.end(),
        [&](const UnprovenStart& each) { return each.task != task; });
    return isStored && !isBesideOthers && !entry->isHeldForEvidence(task);
}

bool CellState::isOnTrial(const TaskRef& task, const Step& step) const
{
    return !step.isGang && crashSuspicion.suspects.contains(task);
}

/// The job of a task that can still be given up; null for any other task.
JobEntry* CellState::findUndecided(const TaskRef& task)
{
    JobEntry* entry = find(task.job);
    const bool isUndecided = entry && entry->progress.contains(task) && !entry->progress.hasEnded()
        && entry->progress.task(task).phase != TaskPhase::Done;
    return isUndecided ? entry : nullptr;
}

void CellState::recordUnprovenStart(Worker& worker, const StartCommand& start, TimePoint now)
{
    discardUnprovenStart(worker, start.task, start.run);
    const JobEntry* entry = find(start.task.job);
    UnprovenStart unproven { start.task, start.run, worker.incarnationUnixMs, now };
    unproven.isTrial = entry && isOnTrial(start.task, stepOf(*entry, start.task));
    unproven.isConclusive = unproven.isTrial && worker.unprovenStarts.empty() && worker.isSettled(now);
    unproven.isWorkerUp = worker.hasFreshReport(now);
    worker.unprovenStarts.push_back(std::move(unproven));
}

void CellState::recordCarriedOut(Worker& worker, const StartCommand& start, std::int64_t workerClockMs)
{
    for (UnprovenStart& each : worker.unprovenStarts) {
        const bool isSame = each.task == start.task && each.run == start.run;
        if (isSame && workerClockMs > 0 && !each.carriedOutByMs)
            each.carriedOutByMs = workerClockMs;
        each.isWorkerUp = each.isWorkerUp || isSame;
    }
}

void CellState::discardUnprovenStart(Worker& worker, const TaskRef& task, RunNumber run)
{
    for (UnprovenStart& each : worker.unprovenStarts) {
        if (each.task == task && each.run == run)
            endAwait(each);
    }
    std::erase_if(
        worker.unprovenStarts, [&](const UnprovenStart& each) { return each.task == task && each.run == run; });
}

/// Stored, so that the next owner counts the crash if the worker returns restarted.
void CellState::beginAwait(const WorkerId& worker, UnprovenStart& start)
{
    JobEntry* entry = findUndecided(start.task);
    if (!entry || start.isAwaited || start.isSurvived)
        return;
    start.isAwaited = true;
    entry->progress.task(start.task).lostStarts.push_back({ worker, start.incarnationUnixMs, start.run });
    ++entry->lostStarts;
    crashSuspicion.suspects.insert(start.task);
    markChanged(*entry);
    isCommitUrgent = true;
}

void CellState::endAwait(UnprovenStart& start)
{
    JobEntry* entry = std::exchange(start.isAwaited, false) ? find(start.task.job) : nullptr;
    if (!entry || !entry->progress.contains(start.task))
        return;
    Task& task = entry->progress.task(start.task);
    --entry->lostStarts;
    std::erase_if(task.lostStarts, [&](const LostStart& each) {
        return each.run == start.run && each.incarnationUnixMs == start.incarnationUnixMs;
    });
    if (task.lostStarts.empty() && task.crashes.empty())
        crashSuspicion.suspects.erase(start.task);
}

/// Continues what the previous owner has stored of the tasks that may have crashed workers.
void CellState::inheritSuspects(JobEntry& entry)
{
    for (const StoredTask& stored : entry.progress.toStored().tasks) {
        const TaskRef task { entry.job.id, stored.occurrence, stored.step, stored.index };
        if (!stored.crashes.empty() || !stored.lostStarts.empty())
            crashSuspicion.suspects.insert(task);
        for (const LostStart& lost : stored.lostStarts) {
            Worker& worker = workers[lost.worker];
            worker.description.id = lost.worker;
            if (const auto known = inheritedWorkers.find(lost.worker); known != inheritedWorkers.end())
                worker.description.machine = known->second;
            UnprovenStart unproven { task, lost.run, lost.incarnationUnixMs };
            unproven.isAwaited = true;
            unproven.lostAt = takenOverAt;
            worker.unprovenStarts.push_back(std::move(unproven));
            ++entry.lostStarts;
        }
    }
}

/// Contact with the worker is lost: it may have crashed, or may only be unreachable.
void CellState::recordLostContact(Worker& worker, TimePoint now)
{
    if (isPlanned(worker, *this)) {
        dropUnprovenStarts(worker);
        return;
    }
    recordUntriedLoss(worker, now);
    for (UnprovenStart& each : worker.unprovenStarts) {
        each.lostAt = now;
        beginAwait(worker.description.id, each);
    }
}

void CellState::recordUntriedLoss(const Worker& worker, TimePoint now)
{
    std::deque<UntriedLoss>& losses = crashSuspicion.untriedLosses;
    if (!worker.hasTrial(now))
        losses.push_back({ now, worker.description.id, worker.description.rack });
    while (!losses.empty() && now - losses.front().at > untriedLossMemory)
        losses.pop_front();
}

void CellState::dropUnprovenStarts(Worker& worker)
{
    for (UnprovenStart& each : worker.unprovenStarts)
        endAwait(each);
    worker.unprovenStarts.clear();
}

/// A later incarnation of the worker, or a later worker on its machine, has begun: the starts that the earlier one had
/// not survived yet may have crashed it.
void CellState::recordRestart(Worker& worker, std::int64_t laterIncarnationUnixMs, TimePoint now)
{
    if (worker.contact == WorkerContact::Responsive)
        recordUntriedLoss(worker, now);
    std::vector<UnprovenStart> possibleCauses;
    std::erase_if(worker.unprovenStarts, [&](UnprovenStart& each) {
        const bool isEarlier = each.incarnationUnixMs < laterIncarnationUnixMs;
        if (isEarlier)
            possibleCauses.push_back(each);
        return isEarlier;
    });
    const bool isCounted = !isPlanned(worker, *this);
    for (UnprovenStart& each : possibleCauses) {
        endAwait(each);
        if (isCounted && !each.isSurvived)
            countCrash(worker, each, possibleCauses.size() == 1, now);
    }
}

/// Whether another worker of the rack was lost at about the same time.
bool CellState::isRackLost(const Worker& worker, const UnprovenStart& start, TimePoint now) const
{
    const TimePoint lostAt = start.lostAt == TimePoint {} ? now : start.lostAt;
    return std::any_of(
        crashSuspicion.untriedLosses.begin(), crashSuspicion.untriedLosses.end(), [&](const UntriedLoss& other) {
            return other.worker != worker.description.id && other.rack == worker.description.rack
                && other.at >= lostAt - rackLossTime && other.at <= lostAt + rackLossTime;
        });
}

void CellState::countCrash(const Worker& worker, const UnprovenStart& start, bool isAlone, TimePoint now)
{
    JobEntry* entry = findUndecided(start.task);
    const bool isConclusive = isAlone && start.isConclusive && start.isWorkerUp && !isRackLost(worker, start, now);
    const WorkerCrash crash { worker.description.id, start.incarnationUnixMs, isConclusive };
    if (!entry || !entry->progress.countCrash(start.task, crash))
        return;
    crashSuspicion.suspects.insert(start.task);
    markChanged(*entry);
    entry->failureRevision = entry->revision;
    isCommitUrgent = true;
    const Task& task = entry->progress.task(start.task);
    addRunEvent(RunEvent::Kind::Suspected, worker, start.task, start.run,
        std::string {
            isConclusive ? "a trial" : (isAlone ? "the worker's only recent start" : "one of several recent starts") }
            + ", crashes " + std::to_string(task.crashes.size()));
    if (isProvenToCrash(stepOf(*entry, start.task), task, now))
        giveUp(*entry, start.task, now);
}

/// In a calm cell, a crash during a trial is proof. Where other workers are lost without a trial, and for tasks that
/// run for long, one more such crash is required.
bool CellState::isProvenToCrash(const Step& step, const Task& task, TimePoint now) const
{
    const auto crashes = static_cast<int>(task.crashes.size());
    const auto conclusive = std::count_if(
        task.crashes.begin(), task.crashes.end(), [](const WorkerCrash& each) { return each.isConclusive; });
    const auto isByOtherCause = [&](const UntriedLoss& loss) {
        return now - loss.at <= untriedLossMemory
            && std::none_of(task.crashes.begin(), task.crashes.end(),
                [&](const WorkerCrash& each) { return each.worker == loss.worker; });
    };
    const auto& losses = crashSuspicion.untriedLosses;
    const bool isInDoubt = step.isLongRunning || std::any_of(losses.begin(), losses.end(), isByOtherCause);
    if (!isInDoubt && crashes >= crashesInCalm && conclusive > 0)
        return true;
    return (crashes >= crashesInDoubt && conclusive >= crashesInCalm) || crashes >= maxCrashes;
}

void CellState::giveUp(JobEntry& entry, const TaskRef& task, TimePoint now)
{
    std::string workers;
    for (const WorkerCrash& each : entry.progress.task(task).crashes)
        workers += (workers.empty() ? "" : " ") + each.worker.value();
    const std::string name
        = std::to_string(task.occurrence) + '.' + std::to_string(task.step) + '.' + std::to_string(task.index);
    addEvent(JobEvent { JobEvent::Kind::GivenUp, task.job, "task " + name + " has crashed workers " + workers,
        now - entry.acceptedAt });
    entry.progress.fail(unixMs);
    stopJob(entry, "job failed");
}

/// The worker has listed the run long enough after its start. Earlier starts of the task are not to blame either.
void CellState::recordSurvival(const Worker& worker, const TaskRef& task, RunNumber run)
{
    if (crashSuspicion.suspects.erase(task) == 0)
        return;
    for (auto& [id, other] : workers) {
        for (UnprovenStart& each : other.unprovenStarts) {
            if (each.task != task || each.run >= run)
                continue;
            endAwait(each);
            each.isSurvived = true;
        }
    }
    JobEntry* entry = find(task.job);
    if (!entry || !entry->progress.contains(task))
        return;
    entry->progress.task(task).crashes.clear();
    addRunEvent(RunEvent::Kind::Cleared, worker, task, run, "the worker survived its start");
}

/// Takes a report of the incarnation that received the starts. To be called after its runs have been processed.
void CellState::reviewUnprovenStarts(Worker& worker, const PollReport& report)
{
    std::vector<std::pair<TaskRef, RunNumber>> survived;
    std::erase_if(worker.unprovenStarts, [&](UnprovenStart& each) {
        endAwait(each);
        each.lostAt = {};
        const auto run = worker.runs.find(each.task);
        if (run == worker.runs.end() || !run->second.is(each.run))
            return true;
        const bool isListed = run->second.seenInPoll == worker.pollsProcessed;
        if (isListed && !each.carriedOutByMs)
            each.carriedOutByMs = report.workerClockMs;
        const bool isProven = isListed && report.workerClockMs >= *each.carriedOutByMs + survivalMs;
        if (isProven)
            survived.emplace_back(each.task, each.run);
        return isProven;
    });
    for (const auto& [task, run] : survived)
        recordSurvival(worker, task, run);
}

void CellState::expireCrashEvidence(TimePoint now)
{
    for (auto& [id, worker] : workers) {
        std::erase_if(worker.unprovenStarts, [&](UnprovenStart& each) {
            const bool isExpired = each.lostAt != TimePoint {} && now - each.lostAt >= longestAwait;
            if (isExpired)
                endAwait(each);
            return isExpired;
        });
    }
    std::erase_if(crashSuspicion.suspects, [&](const TaskRef& task) { return !findUndecided(task); });
}

} // namespace rattanrack::jobs
