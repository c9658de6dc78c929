#include "cell_state.h"

#include <algorithm>
#include <utility>

/// Tasks that crash the workers that start them: evidence and verdicts.
namespace rattanrack::jobs {

namespace {

using namespace std::chrono_literals;

constexpr Duration settledAge = 5s; ///< A worker that restarted within this time may restart again by itself.
constexpr Duration leastExposure = 25ms; ///< Times of events are no more precise.
constexpr Duration maxExposure = 2s; ///< A later loss says nothing about the start.
constexpr Duration undecidedLimit = 10s; ///< A lost start whose worker is not back by then counts no more.
constexpr Duration checkPeriod = 250ms;
constexpr Duration longestKept = 2s; ///< Until a trial starts beside finite runs that have not ended.
constexpr Duration crashMemory = 10s; ///< A crash soon after a start keeps jobs apart for this long.
constexpr std::size_t leastCrashesUnderStarts = 2; ///< That keep jobs apart.
constexpr Duration slowestClockMargin = 10ms; ///< A worker's clock may be 2 % slow within `survivalTime`.

bool isPlanned(const Worker& worker, const CellState& state, TimePoint now)
{
    const bool isDrained = state.mayBeTakenDown(worker.description.machine, now) || worker.isContactDueAfterDrain;
    return worker.description.isDraining || isDrained;
}

} // namespace

bool Worker::isSettled(TimePoint now) const { return now - startedAtLatest >= settledAge; }

bool Worker::hasRecentStart(TimePoint now) const
{
    return std::any_of(
        unprovenStarts.begin(), unprovenStarts.end(), [&](const UnprovenStart& each) { return each.isRecent(now); });
}

bool Worker::hasRecentStartOfOther(const JobId& job, TimePoint now) const
{
    return std::any_of(unprovenStarts.begin(), unprovenStarts.end(),
        [&](const UnprovenStart& each) { return each.task.job != job && each.isRecent(now); });
}

bool Worker::isKeptForTrial(TimePoint now) const
{
    return keptForTrialSince != TimePoint {} && now - keptForTrialAt < keptMemory;
}

bool Worker::isTrialOverdue(TimePoint now) const
{
    return isKeptForTrial(now) && now - keptForTrialSince >= longestKept;
}

bool Worker::hasTrial() const
{
    return std::any_of(
        unprovenStarts.begin(), unprovenStarts.end(), [](const UnprovenStart& each) { return each.isTrial; });
}

/// The job of a task that can still be given up; null for any other task.
JobEntry* CellState::findUndecided(const TaskRef& task)
{
    JobEntry* entry = find(task.job);
    const bool isUndecided = entry && entry->progress.contains(task) && !entry->progress.hasEnded()
        && entry->progress.task(task).phase != TaskPhase::Done;
    return isUndecided ? entry : nullptr;
}

void CellState::recordStartSent(Worker& worker, const StartCommand& start, TimePoint now)
{
    const JobEntry* entry = findUndecided(start.task);
    if (!entry || entry->progress.task(start.task).isHarmless)
        return;
    std::erase_if(worker.unprovenStarts, [&](const UnprovenStart& each) { return each.task == start.task; });
    UnprovenStart sent { start.task, start.run, worker.incarnationUnixMs, now };
    sent.isOnSettledWorker = worker.isSettled(now);
    sent.isTrial = entry->progress.task(start.task).isSuspect();
    for (UnprovenStart& each : worker.unprovenStarts) {
        // A job is given up as a whole, so that its tasks need not be told apart.
        if (each.task.job == start.task.job || !each.isRecent(now))
            continue;
        each.isAlone = false;
        sent.isAlone = false;
    }
    worker.unprovenStarts.push_back(std::move(sent));
}

void CellState::recordStartAnswered(
    Worker& worker, const StartCommand& start, std::int64_t workerClockMs, TimePoint now)
{
    for (UnprovenStart& each : worker.unprovenStarts) {
        if (each.task != start.task || each.run != start.run || each.answeredAt != TimePoint {})
            continue;
        each.answeredAt = now;
        if (workerClockMs > 0 && each.incarnationUnixMs == start.incarnationUnixMs)
            each.carriedOutByMs = workerClockMs;
    }
}

/// The start was not carried out.
void CellState::discardStart(Worker& worker, const TaskRef& task, RunNumber run)
{
    std::erase_if(
        worker.unprovenStarts, [&](const UnprovenStart& each) { return each.task == task && each.run == run; });
    removeLostStarts(task, [&](const LostStart& lost) {
        return lost.worker == worker.description.id && lost.run == run && !lost.isCrash;
    });
}

/// Contact with the worker is lost: it may have crashed, or may only be unreachable.
void CellState::recordContactLoss(Worker& worker, const ContactLoss& loss, TimePoint now)
{
    const bool isLossKnown = crashEvidence.possibleCauses.contains({ worker.description.id, worker.incarnationUnixMs });
    std::vector<UnprovenStart> sentLater;
    std::vector<UnprovenStart> blamed;
    for (UnprovenStart& each : std::exchange(worker.unprovenStarts, {})) {
        const bool isSurvived = loss.isConnectionEnded && !each.isRecent(loss.at);
        if (each.sentAt > loss.at)
            sentLater.push_back(std::move(each));
        else if (!isPlanned(worker, *this, now) && !isSurvived)
            blamed.push_back(std::move(each));
    }
    worker.unprovenStarts = std::move(sentLater);
    if (!blamed.empty()) {
        crashEvidence.lossesUnderStarts.push_back(loss.at);
        if (std::any_of(blamed.begin(), blamed.end(), [](const UnprovenStart& each) { return each.isTrial; }))
            crashEvidence.lossesUnderTrials.push_back(loss.at);
    }
    for (const UnprovenStart& each : blamed)
        addLostStart(worker, each, loss);
    const WorkerCrash crash { worker.description.id, worker.incarnationUnixMs };
    trialCounts.losses += crashEvidence.possibleCauses.contains(crash) && !isLossKnown ? 1 : 0;
    const bool isCounted = worker.lossCountedOfUnixMs >= crash.incarnationUnixMs;
    if (isCounted || isPlanned(worker, *this, now) || crashEvidence.possibleCauses.contains(crash))
        return;
    worker.lossCountedOfUnixMs = crash.incarnationUnixMs;
    crashEvidence.addOtherCause(now, !worker.isSettled(loss.at));
}

/// Whether workers have crashed soon after starts of late. A worker then takes the starts of one job at a time, so that
/// a further crash points to one job.
bool CellState::areJobsKeptApart() const { return crashEvidence.crashesUnderStarts.size() >= leastCrashesUnderStarts; }

/// The record must be stored before the task starts again, for the next owner.
void CellState::addLostStart(const Worker& worker, const UnprovenStart& start, const ContactLoss& loss)
{
    JobEntry* entry = findUndecided(start.task);
    if (!entry)
        return;
    Task& task = entry->progress.task(start.task);
    LostStart lost { worker.description.id, start.incarnationUnixMs, start.run };
    lost.lostAt = loss.at;
    lost.wasReceived = start.answeredAt != TimePoint {};
    const Duration exposure = std::max(loss.at - start.sentAt, leastExposure);
    lost.isOnSettledWorker = start.isOnSettledWorker;
    if (start.isAlone && exposure <= maxExposure)
        lost.exposure = exposure;
    const bool isKnown = std::any_of(task.lostStarts.begin(), task.lostStarts.end(),
        [&](const LostStart& each) { return crashOf(each) == crashOf(lost); });
    if (isKnown || task.isHarmless)
        return;
    task.lostStarts.push_back(lost);
    addSuspect(*entry, start.task, lost);
    storeBeforeNextStart(*entry, start.task);
}

/// The worker ended the connection on which the start was sent. Another start may have crashed it before this one
/// arrived, unless there was none.
void CellState::recordStartReceived(const StartCommand& start)
{
    JobEntry* entry = isSuspect(start.task) ? findUndecided(start.task) : nullptr;
    if (!entry)
        return;
    for (LostStart& lost : entry->progress.task(start.task).lostStarts) {
        const bool isOfStart = crashOf(lost) == WorkerCrash { start.worker, start.incarnationUnixMs }
            && lost.run == start.run && lost.isAlone();
        if (!isOfStart || lost.wasReceived)
            continue;
        lost.wasReceived = true;
        storeBeforeNextStart(*entry, start.task);
    }
}

void CellState::addSuspect(JobEntry& entry, const TaskRef& task, const LostStart& lost)
{
    entry.suspects += crashEvidence.suspects.insert(task).second ? 1 : 0;
    if (!lost.isCrash)
        crashEvidence.openByWorker[lost.worker].insert(task);
    crashEvidence.add(crashOf(lost));
}

/// Removes lost starts of a task. Crashes for which no suspect remains had another cause if `isCleared`.
void CellState::removeLostStarts(
    const TaskRef& ref, const std::function<bool(const LostStart&)>& isRemoved, bool isCleared, TimePoint now)
{
    JobEntry* entry = crashEvidence.suspects.contains(ref) ? find(ref.job) : nullptr;
    if (!entry)
        return;
    Task& task = entry->progress.task(ref);
    for (const LostStart& lost : task.lostStarts) {
        if (isRemoved(lost) && crashEvidence.remove(crashOf(lost)) && isCleared && lost.isCrash)
            crashEvidence.addOtherCause(now, !lost.isOnSettledWorker);
    }
    const bool isChanged = std::erase_if(task.lostStarts, isRemoved) > 0;
    if (isChanged && !entry->progress.hasEnded())
        markChanged(*entry); // The next owner must not inherit what is refuted.
    if (!task.isSuspect()) {
        crashEvidence.suspects.erase(ref);
        --entry->suspects;
    }
}

/// Continues with what the previous owner has stored.
void CellState::inheritSuspects(JobEntry& entry)
{
    for (const StoredTask& stored : entry.progress.toStored().tasks) {
        const TaskRef task { entry.job.id, stored.occurrence, stored.step, stored.index };
        for (LostStart& lost : entry.progress.task(task).lostStarts) {
            lost.lostAt = takenOverAt;
            if (lost.isCrash)
                crashEvidence.crashesUnderStarts[crashOf(lost)] = takenOverAt;
            addSuspect(entry, task, lost);
            const auto inherited = inheritedWorkers.find(lost.worker);
            if (lost.isCrash || inherited == inheritedWorkers.end())
                continue;
            Worker& worker = workers[lost.worker]; // A later worker on its machine proves the crash.
            worker.description.id = lost.worker;
            worker.description.machine = inherited->second;
            worker.description.incarnationUnixMs
                = std::max(worker.description.incarnationUnixMs, lost.incarnationUnixMs);
        }
    }
}

/// A later incarnation of the worker, or a later worker on its machine or at its address, has begun.
void CellState::recordRestart(Worker& worker, std::int64_t laterUnixMs, TimePoint now)
{
    if (laterUnixMs <= worker.restartRecordedUnixMs)
        return;
    worker.restartRecordedUnixMs = laterUnixMs;
    recordContactLoss(worker, { now, false }, now);
    confirmCrash(worker, laterUnixMs, now);
}

void CellState::confirmCrash(const Worker& worker, std::int64_t laterUnixMs, TimePoint now)
{
    const auto open = crashEvidence.openByWorker.find(worker.description.id);
    if (open == crashEvidence.openByWorker.end())
        return;
    const std::set<TaskRef> tasks = std::exchange(open->second, {});
    crashEvidence.openByWorker.erase(open);
    for (const TaskRef& ref : tasks) {
        JobEntry* entry = crashEvidence.suspects.contains(ref) ? findUndecided(ref) : nullptr;
        if (!entry)
            continue;
        for (LostStart& lost : entry->progress.task(ref).lostStarts) {
            if (lost.worker != worker.description.id || lost.isCrash)
                continue;
            if (lost.incarnationUnixMs >= laterUnixMs) {
                crashEvidence.openByWorker[lost.worker].insert(ref);
                continue;
            }
            lost.isCrash = true;
            crashEvidence.crashesUnderStarts[crashOf(lost)] = now;
            markChanged(*entry);
            addRunEvent(RunEvent::Kind::Suspected, worker, ref, lost.run,
                describe(lost, crashVerdict(entry->progress.task(ref), now)), now - lost.lostAt);
        }
        if (isProvenToCrash(entry->progress.task(ref), now))
            giveUp(*entry, ref);
    }
}

/// The worker is up long enough after the start.
void CellState::recordSurvival(const Worker& worker, const UnprovenStart& start, TimePoint now)
{
    JobEntry* entry = findUndecided(start.task);
    if (!entry)
        return;
    entry->progress.task(start.task).isHarmless = true;
    if (!entry->progress.task(start.task).isSuspect())
        return;
    ++trialCounts.cleared;
    addRunEvent(RunEvent::Kind::Cleared, worker, start.task, start.run, "its worker has survived its start");
    removeLostStarts(
        start.task, [](const LostStart&) { return true; }, true, now);
}

/// The worker has responded in the same incarnation to a poll sent at `sentAt`.
void CellState::reviewStarts(Worker& worker, const PollReport& report, TimePoint sentAt, TimePoint now)
{
    std::vector<UnprovenStart> survived;
    std::erase_if(worker.unprovenStarts, [&](UnprovenStart& each) {
        const auto run = worker.runs.find(each.task);
        const bool isPresent = run != worker.runs.end() && run->second.is(each.run);
        const auto isSame = [&](const auto& listed) { return listed.task == each.task && listed.run == each.run; };
        const auto ended = std::find_if(report.endedRuns.begin(), report.endedRuns.end(), isSame);
        const bool hasEnded = ended != report.endedRuns.end();
        if (hasEnded && isCutShort(ended->outcome))
            return true; // It may not have run for as long as a task takes to crash its worker.
        const bool isListed = hasEnded || std::any_of(report.running.begin(), report.running.end(), isSame);
        if (isListed && !each.carriedOutByMs) {
            each.answeredAt = now;
            each.carriedOutByMs = report.workerClockMs;
        }
        const bool isSurvived
            = each.carriedOutByMs && report.workerClockMs >= *each.carriedOutByMs + survivalTime.count() / 1000;
        if (isSurvived)
            survived.push_back(each);
        return isSurvived || (!isPresent && !each.carriedOutByMs);
    });
    for (const UnprovenStart& each : survived)
        recordSurvival(worker, each, now);
    const auto open = crashEvidence.openByWorker.find(worker.description.id);
    if (open == crashEvidence.openByWorker.end())
        return;
    for (const TaskRef& task : open->second) {
        removeLostStarts(task, [&](const LostStart& lost) {
            return crashOf(lost) == WorkerCrash { worker.description.id, report.incarnationUnixMs } && !lost.isCrash
                && lost.lostAt < sentAt;
        });
    }
    std::erase_if(open->second, [&](const TaskRef& task) { return !crashEvidence.suspects.contains(task); });
    if (open->second.empty())
        crashEvidence.openByWorker.erase(open);
}

void CellState::expireCrashEvidence(TimePoint now)
{
    const auto expire = [&](std::deque<TimePoint>& times, Duration memory) {
        while (!times.empty() && now - times.front() > memory)
            times.pop_front();
    };
    expire(crashEvidence.crashesByOtherCauses, otherCauseMemory);
    expire(crashEvidence.lossesUnderStarts, usualRestartTime);
    expire(crashEvidence.lossesUnderTrials, usualRestartTime);
    std::erase_if(crashEvidence.crashesUnderStarts, [&](const auto& each) { return now - each.second > crashMemory; });
    if (now < nextCrashCheckAt)
        return;
    nextCrashCheckAt = now + checkPeriod;
    observeRestartedWorkers(checkPeriod, now);
    const std::vector<TaskRef> suspects { crashEvidence.suspects.begin(), crashEvidence.suspects.end() };
    for (const TaskRef& task : suspects) {
        const bool isDecided = !findUndecided(task);
        removeLostStarts(task,
            [&](const LostStart& lost) { return isDecided || (!lost.isCrash && now - lost.lostAt >= undecidedLimit); });
    }
    for (auto& [worker, tasks] : crashEvidence.openByWorker)
        std::erase_if(tasks, [&](const TaskRef& task) { return !crashEvidence.suspects.contains(task); });
    std::erase_if(crashEvidence.openByWorker, [](const auto& each) { return each.second.empty(); });
}

/// Asks a worker, as soon as it can be known, whether it has survived the start of a suspect.
void CellState::sendSurvivalChecks(TimePoint now)
{
    if (crashEvidence.suspects.empty())
        return;
    for (auto& [id, worker] : workers) {
        const auto isDue = [&](const UnprovenStart& each) {
            return each.isTrial && each.answeredAt != TimePoint {}
            && now - each.answeredAt >= survivalTime + slowestClockMargin;
        };
        const bool isNeeded = std::any_of(worker.unprovenStarts.begin(), worker.unprovenStarts.end(), isDue);
        if (!isNeeded || worker.hasSurvivalCheckInFlight)
            continue;
        PollCommand check;
        check.worker = id;
        check.fence = settings.fence;
        check.incarnationUnixMs = worker.incarnationUnixMs;
        check.isSurvivalCheck = true;
        worker.hasSurvivalCheckInFlight = true;
        output.commands.emplace_back(std::move(check));
    }
}

/// Only what concerns starts: a poll sent beside this one may have reported a later state of the runs.
void CellState::onSurvivalCheck(
    Worker& worker, const PollCommand& check, const PollResult& result, TimePoint sentAt, TimePoint now)
{
    worker.hasSurvivalCheckInFlight = false;
    const bool isSame
        = result.status == CommandStatus::Done && result.report.incarnationUnixMs == worker.incarnationUnixMs;
    if (isSame) {
        reviewStarts(worker, result.report, sentAt, now);
        return;
    }
    worker.needsPoll = true;
    worker.nextPollAt = now;
    if (result.isConnectionEnded && check.incarnationUnixMs == worker.incarnationUnixMs)
        recordContactLoss(worker, { result.receivedAt == TimePoint {} ? now : result.receivedAt, true }, now);
}

} // namespace rattanrack::jobs
