#include "cell_state.h"
#include "rattanrack/jobs/placement.h"

#include <algorithm>
#include <utility>

/// Runs of tasks on workers: starts, stops, what workers list as running or ended, and what each list proves.
namespace rattanrack::jobs {

namespace {

using namespace std::chrono_literals;

std::string_view name(RunOutcome kind)
{
    constexpr std::string_view names[] = { "done", "failed", "stopped", "lapsed", "broken", "alone" };
    return names[static_cast<std::size_t>(kind)];
}

} // namespace

bool Worker::hasLeaseInFlight() const
{
    return hasRenewalInFlight
        || std::any_of(runs.begin(), runs.end(), [](const auto& each) { return each.second.hasStartInFlight; });
}

bool Worker::hasConfirmedRun() const
{
    return std::any_of(
        runs.begin(), runs.end(), [](const auto& each) { return each.second.acknowledgedAt != TimePoint {}; });
}

Run& CellState::addRun(Worker& worker, const TaskRef& task, RunNumber number, const Step* step)
{
    const auto present = worker.runs.find(task);
    if (present != worker.runs.end())
        updateSums(worker, task, present->second, -1);
    Run run;
    run.number = number;
    run.isSizeUnknown = !step;
    if (step) {
        run.size = reservedSize(*step);
        run.requestedSize = step->size;
        run.isLongRunning = step->isLongRunning;
        run.isBestEffort = step->isBestEffort;
        run.isServing = step->latencyTarget > Duration::zero();
    }
    const JobEntry* entry = customers.isEmpty() ? nullptr : find(task.job);
    run.account = entry ? entry->account : nullptr;
    updateSums(worker, task, run, 1);
    workerOfTask[task] = worker.description.id;
    return worker.runs.insert_or_assign(task, std::move(run)).first->second;
}

bool CellState::releaseRun(Worker& worker, const TaskRef& task)
{
    const auto found = worker.runs.find(task);
    if (found != worker.runs.end()) {
        updateSums(worker, task, found->second, -1);
        worker.runs.erase(found);
    }
    const Worker* other = workerRunning(task);
    const auto location = workerOfTask.find(task);
    if (location != workerOfTask.end() && location->second == worker.description.id) {
        if (other)
            location->second = other->description.id;
        else
            workerOfTask.erase(location);
    }
    return !other;
}

/// Some worker that has a run of the task, or null. There may be several after a late start by a previous owner.
const Worker* CellState::workerRunning(const TaskRef& task) const
{
    for (const auto& [location, count] : locationsOf(task.job, task.occurrence, task.step)) {
        if (location.worker->runs.contains(task))
            return location.worker;
    }
    return nullptr;
}

void CellState::presumeEnded(Worker& worker, const TaskRef& taskInRuns, const EndEvidence& evidence, TimePoint now)
{
    const TaskRef task = taskInRuns; // The argument may be a key in the map that the run is removed from.
    JobEntry* entry = find(task.job);
    const bool isKnownTask = entry && entry->progress.contains(task);
    const auto found = worker.runs.find(task);
    if (found != worker.runs.end()) {
        const RunNumber number = found->second.number;
        const TimePoint sentAt = found->second.startSentAt;
        RunEvent& event = addRunEvent(
            evidence.kind, worker, task, number, evidence.text, sentAt == TimePoint {} ? Duration {} : now - sentAt);
        event.ownershipAge = ownershipAge(now);
        event.overSince = now - evidence.overAt;
        const bool isPresumed = evidence.kind == RunEvent::Kind::PresumedEnded;
        worker.presumedEndAt = isPresumed ? now : worker.presumedEndAt;
        if (isPresumed && isKnownTask && entry->progress.task(task).phase != TaskPhase::Done) {
            entry->progress.presumeEnded(task, number);
            storeBeforeNextStart(*entry, task);
        }
    }
    const bool hasNoRun = releaseRun(worker, task);
    if (hasNoRun && isKnownTask)
        entry->progress.onRunEnded(task);
}

void CellState::onWorkerLost(Worker& worker, std::string_view evidence, TimePoint now)
{
    std::vector<TaskRef> tasks;
    for (const auto& [task, run] : worker.runs)
        tasks.push_back(task);
    for (const TaskRef& task : tasks)
        presumeEnded(worker, task, { .text = evidence, .overAt = now }, now);
    releaseInherited(worker.description.id, now);
    recordRestart(worker, std::max(worker.incarnationUnixMs, worker.description.incarnationUnixMs) + 1, now);
}

void CellState::sendStop(Worker& worker, const TaskRef& task, RunNumber number, std::string_view reason)
{
    const auto found = worker.runs.find(task);
    if (found == worker.runs.end() || !found->second.is(number))
        return;
    Run& run = found->second;
    if (run.phase != RunPhase::Stopping)
        addRunEvent(RunEvent::Kind::Stopping, worker, task, number, reason);
    run.phase = RunPhase::Stopping;
    if (run.hasCommandInFlight)
        return; // The stop is sent after the result of the start.
    run.hasCommandInFlight = true;
    output.commands.emplace_back(StopCommand { worker.description.id, task, number, settings.fence });
}

void CellState::stopJob(JobEntry& entry, std::string_view reason)
{
    const auto locations = locationsByJob.find(entry.job.id);
    if (locations == locationsByJob.end())
        return;
    std::map<WorkerId, Worker*> workersOfJob;
    for (const auto& [location, count] : locations->second)
        workersOfJob.emplace(location.worker->description.id, location.worker);
    for (const auto& [id, workerOfJob] : workersOfJob) {
        Worker& worker = *workerOfJob;
        schedulingCost.runsExamined += worker.runs.size();
        std::vector<std::pair<TaskRef, RunNumber>> runs;
        for (const auto& [task, run] : worker.runs) {
            if (task.job == entry.job.id && run.phase != RunPhase::Stopping)
                runs.emplace_back(task, run.number);
        }
        for (const auto& [task, number] : runs)
            sendStop(worker, task, number, reason);
    }
}

void CellState::storeBeforeNextStart(JobEntry& entry, const TaskRef& task)
{
    if (entry.progress.hasEnded())
        return;
    markChanged(entry);
    entry.holdUntilStored(positionOf(task));
    isCommitUrgent = true;
}

bool CellState::isDoneCounted(const Worker& worker, const JobEntry& entry, const EndedRun& ended) const
{
    if (!entry.isTakenOver || !isRecovering)
        return true;
    const bool isOfPreviousOwner = ended.run <= firstRun;
    const bool isWorkerReleased = isOfPreviousOwner && !workersAtTakeover.contains(worker.description.id);
    return !isWorkerReleased && ended.run > entry.progress.task(ended.task).presumedEnded;
}

void CellState::failIfOutOfAttempts(JobEntry& entry, const TaskRef& failed)
{
    if (entry.progress.hasEnded())
        return;
    const Step& step = stepOf(entry, failed);
    const int attempts = attemptsOf(entry);
    if (!step.isLongRunning && attempts > 0 && entry.progress.task(failed).failures() >= attempts)
        entry.progress.fail(unixMs);
}

void CellState::processEndedRun(Worker& worker, const EndedRun& ended, TimePoint now)
{
    if (ended.sequence <= worker.processedThrough)
        return;
    worker.processedThrough = ended.sequence;
    worker.unacknowledgedRuns.push_back({ ended.sequence, ended.task.job, 0 });
    const auto found = worker.runs.find(ended.task);
    const bool isKnownRun = found != worker.runs.end() && found->second.is(ended.run);
    addRunEvent(RunEvent::Kind::Ended, worker, ended.task, ended.run, name(ended.outcome),
        isKnownRun ? now - found->second.confirmedAt : Duration {});
    JobEntry* entry = find(ended.task.job);
    if (!entry || !entry->progress.contains(ended.task)) {
        if (isKnownRun)
            releaseRun(worker, ended.task);
        return;
    }
    const Step& step = stepOf(*entry, ended.task);
    if (ended.outcome == RunOutcome::Done && isKnownRun && found->second.confirmedAt != TimePoint {})
        runtimes.observe(entry->job.queue, step.declaredRunTime, now - found->second.confirmedAt);
    recordCheckpoint(ended.task, ended.run, ended.checkpoint, isKnownRun ? &found->second : nullptr);
    const bool hasNoRun = isKnownRun && releaseRun(worker, ended.task);
    const bool isUnfinished = !entry->progress.hasEnded();
    if (ended.outcome == RunOutcome::Done && isDoneCounted(worker, *entry, ended)) {
        worker.consecutiveFailures = 0;
        worker.failingUntil = {};
        if (isUnfinished && entry->progress.task(ended.task).phase != TaskPhase::Done) {
            entry->progress.onDone(ended.task);
            entry->isCriticalPathStale = true;
            markChanged(*entry);
            isCommitUrgent = isCommitUrgent || entry->progress.hasEnded();
        }
        const auto elsewhere = workerOfTask.find(ended.task);
        if (elsewhere != workerOfTask.end()) {
            Worker& other = workers.at(elsewhere->second);
            sendStop(other, ended.task, other.runs.at(ended.task).number, "done elsewhere");
        }
    } else {
        const bool isFailure = ended.outcome == RunOutcome::Failed;
        const TaskRef counted { ended.task.job, ended.task.occurrence, ended.task.step,
            step.isGang ? 0 : ended.task.index };
        // A task that has failed before says little about the worker.
        if (isFailure && entry->progress.task(counted).failures() == 0)
            recordFailure(worker, now);
        if (hasNoRun)
            entry->progress.onRunEnded(ended.task);
        if (isFailure && isUnfinished && !step.isLongRunning && entry->progress.countFailure(counted, ended.run)) {
            storeBeforeNextStart(*entry, counted);
            failIfOutOfAttempts(*entry, counted);
        }
    }
    worker.unacknowledgedRuns.back().revision = entry->revision; // What the end has changed may be in flight.
}

void CellState::advanceAcks(const WorkerId& id, Worker& worker)
{
    const std::int64_t ackedBefore = worker.ackedThrough;
    while (!worker.unacknowledgedRuns.empty()) {
        const UnacknowledgedRun& ended = worker.unacknowledgedRuns.front();
        const JobEntry* entry = find(ended.job);
        if (entry && entry->storedRevision < ended.revision)
            break;
        worker.ackedThrough = ended.sequence;
        worker.unacknowledgedRuns.pop_front();
    }
    if (worker.ackedThrough > ackedBefore)
        addEvent(WorkerEvent { WorkerEvent::Kind::EndedRunsAcknowledged, id, std::to_string(worker.ackedThrough) });
}

void CellState::advanceAllAcks()
{
    for (auto& [id, worker] : workers)
        advanceAcks(id, worker);
}

void CellState::adoptRun(Worker& worker, const RunningRun& running, TimePoint now)
{
    if (worker.runs.contains(running.task))
        return; // Another run of the task is being resolved there; this one will be listed again afterwards.
    JobEntry* entry = find(running.task.job);
    const bool isKnownTask = entry && entry->progress.contains(running.task);
    const bool hadWorker = workerOfTask.contains(running.task);
    const bool isWanted = isKnownTask && !hadWorker && !entry->progress.hasEnded()
        && entry->progress.task(running.task).phase == TaskPhase::Waiting;
    const WorkerId earlierWorker = hadWorker ? workerOfTask.at(running.task) : WorkerId {};
    Run& run = addRun(worker, running.task, running.run, isKnownTask ? &stepOf(*entry, running.task) : nullptr);
    if (hadWorker)
        workerOfTask[running.task] = earlierWorker;
    run.phase = RunPhase::Confirmed;
    run.seenInIncarnation = worker.incarnationUnixMs;
    run.confirmedAt = now;
    run.safeFromEarlierStopAt = now + settings.longestStop;
    run.acknowledgedAt = now;
    run.percent = running.percent;
    run.measuredValue = running.measuredValue;
    addRunEvent(RunEvent::Kind::Adopted, worker, running.task, running.run, isWanted ? "wanted" : "not wanted");
    if (!isWanted) {
        if (!isKnownTask || !entry->hasUnstoredFailure())
            sendStop(worker, running.task, running.run, "not wanted");
        return;
    }
    entry->progress.onStartSent(running.task, running.run);
    entry->progress.onRunning(running.task);
    recordCheckpoint(running.task, running.run, running.checkpoint, &run);
}

/// A checkpoint that the worker has listed before is not recorded again: another member of its gang may have saved a
/// newer one since.
void CellState::recordCheckpoint(const TaskRef& task, RunNumber number, const std::string& checkpoint, Run* known)
{
    JobEntry* entry = checkpoint.empty() || (known && known->checkpoint == checkpoint) ? nullptr : find(task.job);
    if (!entry || !entry->progress.contains(task) || !stepOf(*entry, task).hasCheckpoints)
        return;
    if (known)
        known->checkpoint = checkpoint;
    entry->progress.recordCheckpoint(positionOf(task), { checkpoint, number, known ? known->percent : 0 });
}

void CellState::processRunning(Worker& worker, const PollReport& report, TimePoint sentAt, TimePoint now)
{
    const std::uint64_t poll = ++worker.pollsProcessed;
    worker.lastPollSentAt = std::max(worker.lastPollSentAt, sentAt);
    for (const RunningRun& running : report.running) {
        const auto found = worker.runs.find(running.task);
        if (found == worker.runs.end() || !found->second.is(running.run)) {
            adoptRun(worker, running, now);
            continue;
        }
        Run& run = found->second;
        run.seenInPoll = poll;
        run.seenInIncarnation = worker.incarnationUnixMs;
        run.percent = running.percent;
        run.measuredValue = running.measuredValue;
        const bool isNew = run.phase == RunPhase::Starting;
        JobEntry* entry = isNew ? find(running.task.job) : nullptr;
        if (isNew) {
            run.phase = RunPhase::Confirmed;
            run.confirmedAt = now;
            run.acknowledgedAt = now;
            if (entry && entry->progress.contains(running.task))
                entry->progress.onRunning(running.task);
        }
        run.mayStartLate = false;
        recordCheckpoint(running.task, running.run, running.checkpoint, &run);
    }
    std::vector<TaskRef> missing;
    for (const auto& [task, run] : worker.runs) {
        const bool isAcknowledged
            = run.acknowledgedAt != TimePoint {} && run.acknowledgedAt < sentAt && !run.hasCommandInFlight;
        if (isAcknowledged && report.areEndedRunsComplete && run.seenInPoll != poll)
            missing.push_back(task);
    }
    for (const TaskRef& task : missing)
        presumeEnded(worker, task, { .text = "no longer listed by the worker", .overAt = now }, now);
}

} // namespace rattanrack::jobs
