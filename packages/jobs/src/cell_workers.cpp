#include "cell_state.h"
#include "rattanrack/base/milliseconds.h"
#include "rattanrack/jobs/placement.h"

#include <algorithm>
#include <utility>

/// Contact with workers: polls, retries, draining, and avoidance of failing workers.
namespace rattanrack::jobs {

namespace {

using namespace std::chrono_literals;

constexpr Duration maxPollTime = 1000ms;
constexpr Duration maxPollTimeBesideBestEffort = 500ms;
constexpr Duration pollPause = 50ms; ///< Runs that end within this time are listed by the same poll.
constexpr Duration unresponsivePollPause = 250ms;
constexpr Duration minAvoidance = 1s; ///< Of a worker on which all runs fail; doubles with each further failure.
constexpr Duration maxAvoidance = 8s;
constexpr int failuresBeforeAvoidance = 3;
constexpr int workersPerAvoided = 3; ///< One worker of this many may be avoided for its failures at once.

/// The least age of an incarnation whose clock shows this value.
Duration ageAtLeast(std::int64_t workerClockMs)
{
    const Duration shown = Duration { workerClockMs * 1000 };
    return std::max(shown - maxInitialClock, Duration {});
}

std::string_view reasonNotRetried(bool isDraining, bool hasCrashed)
{
    if (isDraining)
        return "start got no response, and the worker is draining";
    return hasCrashed ? "start got no response, and its worker may have crashed"
                      : "start got no response, and the worker's capacity has shrunk";
}

/// Times since a worker's incarnation began and since the list first showed it.
std::string describeAges(const Worker& worker, std::int64_t incarnationUnixMs, std::int64_t unixMs, TimePoint now)
{
    return "began " + std::to_string(unixMs - incarnationUnixMs) + " ms ago, listed "
        + std::to_string(milliseconds(now - worker.firstListedAt)) + " ms ago";
}

} // namespace

void Worker::beginIncarnation(std::int64_t unixMs, TimePoint atLatest)
{
    incarnationUnixMs = unixMs;
    startedAtLatest = atLatest;
    processedThrough = 0;
    ackedThrough = 0;
    lastAckSent = 0;
    unacknowledgedRuns.clear();
    consecutiveFailures = 0;
    failingUntil = {};
}

void Cell::setWorkers(const std::vector<WorkerDescription>& listed, TimePoint requestedAt, TimePoint now)
{
    CellState& state = *m_state;
    state.listRequestedAt = requestedAt;
    state.firstListAt = state.firstListAt == TimePoint {} ? now : state.firstListAt;
    for (auto& [id, worker] : state.workers)
        worker.isListed = false;
    for (const WorkerDescription& description : listed) {
        if (description.pool != state.settings.pool)
            continue;
        Worker& worker = state.workers[description.id];
        const bool isNewIncarnation = worker.incarnationUnixMs != description.incarnationUnixMs;
        worker.needsPoll = worker.needsPoll || isNewIncarnation;
        if (worker.description.address != description.address)
            worker.addressListedAt = now;
        if (worker.firstListedAt == TimePoint {}
            || worker.description.incarnationUnixMs != description.incarnationUnixMs)
            worker.firstListedAt = now;
        if (worker.isSilent && worker.incarnationUnixMs > 0)
            state.recordRestartIfLater(worker, description.incarnationUnixMs, now);
        const bool isRestarted
            = worker.incarnationUnixMs > 0 && description.incarnationUnixMs > worker.incarnationUnixMs;
        if (isRestarted && worker.contact == WorkerContact::Responsive)
            worker.contact = WorkerContact::Unresponsive;
        worker.description = description;
        worker.isListed = true;
    }
    state.recordReplacedWorkers(now);
    state.listedCapacity = state.capacityOfListedWorkers();
    state.listedWorkers = std::count_if(
        state.workers.begin(), state.workers.end(), [](const auto& each) { return each.second.isListed; });
    std::erase_if(state.workers, [&](const auto& each) {
        const Worker& worker = each.second;
        return !worker.isListed && !worker.hasUnfinishedWork() && !worker.hasPollInFlight
            && !state.crashEvidence.openByWorker.contains(each.first) && now >= worker.clock.leasesEndAt();
    });
}

/// A row may have been written by something else than the worker that it names, and the machine that it names is a
/// claim of its writer. It counts as a crash of an earlier worker of the machine only if the later worker itself has
/// responded and the earlier one does not, and it never proves the end of a run.
void CellState::recordReplacedWorkers(TimePoint now)
{
    std::map<MachineId, std::int64_t> latestUnixMs; ///< Of the workers that have responded.
    for (const auto& [id, worker] : workers) {
        if (worker.incarnationUnixMs > 0 && !worker.description.machine.isEmpty()) {
            std::int64_t& latest = latestUnixMs[worker.description.machine];
            latest = std::max(latest, worker.incarnationUnixMs);
        }
    }
    for (auto& [id, worker] : workers) {
        if (!worker.isSilent && worker.contact != WorkerContact::Unknown)
            continue;
        const std::int64_t earlierUnixMs = std::max(worker.incarnationUnixMs, worker.description.incarnationUnixMs);
        const auto latest = latestUnixMs.find(worker.description.machine);
        if (latest != latestUnixMs.end() && latest->second > earlierUnixMs)
            recordRestart(worker, earlierUnixMs + 1, now);
    }
}

bool CellState::onOtherWorkerAtAddress(Worker& worker, TimePoint now)
{
    const bool hasRespondedThere = worker.lastPollSentAt > worker.addressListedAt;
    if (hasRespondedThere) {
        onWorkerLost(worker, "another worker responds at its address", now);
        return true;
    }
    if (worker.contact == WorkerContact::Responsive)
        worker.contact = WorkerContact::Unresponsive;
    recordRestart(worker, std::max(worker.incarnationUnixMs, worker.description.incarnationUnixMs) + 1, now);
    return false;
}

/// The clock of a new incarnation may start at any value, and an owner that has been replaced must not take such an
/// incarnation for one that the next owner has contacted. The clock alone therefore counts only for incarnations that
/// the first list after the takeover shows; later ones count from when they were first listed.
TimePoint CellState::latestStart(const Worker& worker, const PollReport& report, TimePoint now) const
{
    const bool isListed = worker.isListed && worker.description.incarnationUnixMs == report.incarnationUnixMs;
    if (!isListed)
        return now;
    const TimePoint byClock = now - ageAtLeast(report.workerClockMs);
    return worker.firstListedAt > firstListAt ? std::max(worker.firstListedAt, byClock) : byClock;
}

void CellState::sendPolls(TimePoint now, bool mayRenew)
{
    for (auto& [id, worker] : workers) {
        const bool isPollNeeded = worker.needsPoll || !worker.runs.empty() || worker.ackedThrough > worker.lastAckSent;
        const bool isReachable = worker.isListed || !worker.runs.empty();
        if (!isPollNeeded || !isReachable || worker.hasPollInFlight || now < worker.nextPollAt)
            continue;
        PollCommand poll;
        poll.worker = id;
        poll.fence = settings.fence;
        const bool isResponsive = worker.contact == WorkerContact::Responsive;
        // Each acknowledgement is sent only once, since a later incarnation of the worker would remove ended runs that
        // no owner has processed.
        if (isResponsive && worker.ackedThrough > worker.lastAckSent)
            poll.ackedThrough = worker.ackedThrough;
        if (isResponsive && mayRenew && worker.hasConfirmedRun() && worker.clock.isKnown())
            poll.leaseUntilWorkerMs = worker.clock.grant(settings.leaseLength, now);
        poll.incarnationUnixMs = worker.incarnationUnixMs;
        worker.hasRenewalInFlight = poll.leaseUntilWorkerMs > 0;
        const bool hasBestEffort = worker.colocatedRuns.bestEffortRuns > 0;
        const bool isStopping = std::any_of(worker.runs.begin(), worker.runs.end(),
            [](const auto& each) { return each.second.phase == RunPhase::Stopping; });
        if (isResponsive && !worker.runs.empty() && !isStopping && !worker.isContactDueAfterDrain)
            poll.longestWait = hasBestEffort ? maxPollTimeBesideBestEffort : maxPollTime;
        worker.hasPollInFlight = true;
        worker.isContactCheckSent = worker.isContactDueAfterDrain;
        worker.needsPoll = false;
        output.commands.emplace_back(std::move(poll));
    }
}

void Cell::onResult(const PollCommand& command, const PollResult& result, TimePoint sentAt, TimePoint now)
{
    CellState& state = *m_state;
    const auto known = state.workers.find(command.worker);
    if (known == state.workers.end())
        return;
    Worker& worker = known->second;
    if (command.isSurvivalCheck)
        return state.onSurvivalCheck(worker, command, result, sentAt, now);
    worker.hasPollInFlight = false;
    worker.hasRenewalInFlight = false;
    worker.nextPollAt = now + pollPause;
    if (command.leaseUntilWorkerMs > 0 && !result.isBound)
        state.recordDelivery(worker, command.incarnationUnixMs, result.status, now);
    if (result.status != CommandStatus::Done) {
        worker.nextPollAt = now + unresponsivePollPause;
        worker.needsPoll = worker.needsPoll || worker.contact != WorkerContact::Responsive || worker.isListed;
        if (result.status == CommandStatus::WrongWorker)
            state.onOtherWorkerAtAddress(worker, now);
        if (result.refusal == RefusalReason::StaleFence)
            state.recordHigherFence(command.worker, now);
        const bool isUnanswered = result.status == CommandStatus::NoResponse || result.status == CommandStatus::NotSent;
        worker.isSilent = isUnanswered || result.status == CommandStatus::WrongWorker;
        if (isUnanswered && command.incarnationUnixMs == worker.incarnationUnixMs)
            state.recordContactLoss(
                worker, { result.receivedAt == TimePoint {} ? now : result.receivedAt, result.isConnectionEnded }, now);
        if (worker.contact == WorkerContact::Responsive) {
            worker.contact = WorkerContact::Unresponsive;
            state.addEvent(WorkerEvent { WorkerEvent::Kind::Unresponsive, command.worker });
        }
        return;
    }
    const PollReport& report = result.report;
    if (worker.isContactCheckSent)
        worker.isContactDueAfterDrain = worker.isContactCheckSent = false;
    state.recordRestartIfLater(worker, report.incarnationUnixMs, now);
    const bool isFirstResponse = worker.incarnationUnixMs != report.incarnationUnixMs;
    if (isFirstResponse)
        worker.beginIncarnation(report.incarnationUnixMs, state.latestStart(worker, report, now));
    else
        worker.lastAckSent = std::max(worker.lastAckSent, result.ackedThrough);
    if (worker.contact != WorkerContact::Responsive) {
        const bool isRecovery = worker.contact == WorkerContact::Unresponsive;
        state.addEvent(
            WorkerEvent { isRecovery ? WorkerEvent::Kind::Recovered : WorkerEvent::Kind::Contacted, command.worker,
                describeAges(worker, report.incarnationUnixMs, state.unixMs, now), now - state.takenOverAt });
    }
    worker.contact = WorkerContact::Responsive;
    worker.isSilent = false;
    if (isFirstResponse)
        state.recordReplacedWorkers(now);
    state.recordIncarnation(worker, report.incarnationUnixMs, result.isBound, now);
    worker.clock.observe(report.workerClockMs, sentAt, now);
    // A later owner may have received what an earlier incarnation had to list.
    const bool mayBeLaterIncarnation = worker.startedAtLatest > std::max(state.takenOverAt, state.ownershipConfirmedAt);
    if (report.areEndedRunsComplete && mayBeLaterIncarnation)
        state.releaseInherited(command.worker, now);
    else if (report.areEndedRunsComplete)
        state.inheritedWorkers.erase(command.worker);
    worker.needsPoll = worker.needsPoll || !report.areEndedRunsComplete;
    for (const EndedRun& ended : report.endedRuns)
        state.processEndedRun(worker, ended, now);
    state.processRunning(worker, report, sentAt, now);
    state.reviewStarts(worker, report, sentAt, now);
    state.advanceAcks(command.worker, worker);
    state.throttleBestEffort(worker, now);
}

/// Sends a start without a response again only where a new start would be permitted; on a worker that is draining or
/// whose capacity has shrunk below what it runs, a stop resolves whether the start took effect. On the latter the run
/// may be at work, which the next poll shows, so that the stop waits for it.
void CellState::retryCommands(TimePoint now, bool mayStart)
{
    for (auto& [id, worker] : workers) {
        if (!worker.mayHaveRetries)
            continue;
        const bool isDraining = worker.description.isDraining;
        const bool hasCapacity = fits(worker.used, worker.description.capacity);
        worker.mayHaveRetries = false;
        for (auto& [task, run] : worker.runs) {
            worker.mayHaveRetries = worker.mayHaveRetries || run.retryAt != TimePoint {};
            if (run.hasCommandInFlight || run.retryAt == TimePoint {} || now < run.retryAt)
                continue;
            const bool isUnresolved = run.phase == RunPhase::Starting;
            const bool hasCrashed = isUnresolved && isLostInEarlierIncarnation(worker, run);
            if (hasCrashed && !isLossStored(task))
                continue;
            const bool isTrial = hasCrashed && mayRetryAsTrial(worker, task, now);
            const bool isStart = isUnresolved && !isDraining && hasCapacity && (!hasCrashed || isTrial);
            if (isStart && !(mayStart && isIncarnationConfirmed(worker) && now >= worker.startsAllowedAt))
                continue;
            if (hasCrashed && !isStart && worker.contact != WorkerContact::Responsive)
                continue;
            if (isUnresolved && !isDraining && !hasCapacity && worker.lastPollSentAt < run.retryAt)
                continue;
            run.retryAt = {};
            if (isStart) {
                grantStart(worker, run, now);
                output.commands.emplace_back(run.start);
            } else if (run.phase != RunPhase::Confirmed) {
                sendStop(worker, task, run.number, reasonNotRetried(isDraining, hasCrashed));
            }
        }
    }
}

void CellState::checkRecovery(TimePoint now)
{
    std::erase_if(inheritedWorkers, [&](const auto& inherited) {
        const bool hasEnded = now >= inheritedLeaseEnd.at(inherited.first);
        if (!hasEnded)
            return false;
        addEvent(WorkerEvent { WorkerEvent::Kind::NeverContacted, inherited.first, {}, now - takenOverAt });
        releasedWithoutContactAt = now;
        // It leaves the owner row until it responds.
        const auto worker = workers.find(inherited.first);
        if (worker != workers.end() && worker->second.contact == WorkerContact::Unknown)
            worker->second.contact = WorkerContact::Unresponsive;
        return true;
    });
    isRecovering = isRecovering && (!inheritedWorkers.empty() || isRecoveryUnconfirmed());
    if (!isRecovering)
        workersAtTakeover.clear();
}

void CellState::releaseInherited(const WorkerId& worker, TimePoint now)
{
    if (inheritedWorkers.erase(worker) > 0)
        releasedWithoutContactAt = now;
}

bool CellState::isRecoveryUnconfirmed() const
{
    return isRecovering && inheritedWorkers.empty() && releasedWithoutContactAt > ownershipConfirmedAt;
}

/// Whether one more worker may be avoided for its failures. Where most workers fail, the cause is the work itself.
bool CellState::mayAvoidOneMore(const Worker& worker, TimePoint now) const
{
    int listed = 0;
    int avoided = 0;
    for (const auto& [id, other] : workers) {
        listed += other.isListed ? 1 : 0;
        avoided += other.isAvoidedForFailures(now) && id != worker.description.id ? 1 : 0;
    }
    return avoided < std::max(1, listed / workersPerAvoided);
}

void CellState::recordFailure(Worker& worker, TimePoint now)
{
    if (++worker.consecutiveFailures < failuresBeforeAvoidance || !mayAvoidOneMore(worker, now))
        return;
    const int doublings = std::min(worker.consecutiveFailures - failuresBeforeAvoidance, 3);
    worker.failingUntil = now + std::min(maxAvoidance, minAvoidance * (1 << doublings));
}

/// The next owner may have renewed leases that this one takes for expired, so that nothing is decided until a
/// transaction shows who owns the cell.
void CellState::recordHigherFence(const WorkerId& worker, TimePoint now)
{
    higherFenceSeenAt = now;
    addEvent(WorkerEvent { WorkerEvent::Kind::HigherFenceSeen, worker });
}

int CellState::unavailableMembers(const JobEntry& entry, const TaskRef& member, TimePoint now) const
{
    int unavailable = 0;
    TaskRef other = member;
    for (other.index = 0; other.index < stepOf(entry, member).count; ++other.index) {
        if (other.index == member.index)
            continue;
        const auto location = workerOfTask.find(other);
        if (location == workerOfTask.end()) {
            ++unavailable;
            continue;
        }
        const Worker& worker = workers.at(location->second);
        const Run& run = worker.runs.at(other);
        const bool isSafeFromEarlierStop = run.phase == RunPhase::Confirmed && now >= run.safeFromEarlierStopAt;
        const bool isAvailable
            = worker.contact == WorkerContact::Responsive && isSafeFromEarlierStop && run.percent >= 100;
        unavailable += isAvailable ? 0 : 1;
    }
    return unavailable;
}

} // namespace rattanrack::jobs
