#include "cell_state.h"
#include "rattanrack/jobs/placement.h"

#include <algorithm>
#include <utility>

/// Workers as a cell's owner keeps in touch with them.
namespace rattanrack::jobs {

namespace {

using namespace std::chrono_literals;

constexpr Duration longestLook = 1000ms;
constexpr Duration longestLookBesideFillers = 500ms;
constexpr Duration lookPause = 50ms; ///< Ends that come within it are heard of together.
constexpr Duration silentLookPause = 250ms;
constexpr Duration firstLease = 2s; ///< Of a start; looks renew it.
constexpr Duration firstAvoidance = 1s; ///< Of a worker on which all fails; doubles with each further failure.
constexpr Duration longestAvoidance = 8s;
constexpr int failuresToAvoid = 3;
constexpr int avoidableShare = 3; ///< One worker of this many may be avoided for its failures at once.

/// How old a life is whose clock shows that.
Duration ageAtLeast(std::int64_t workerClockMs)
{
    const Duration shown = Duration { workerClockMs * 1000 };
    return std::max(shown - maxInitialClock, Duration {});
}

bool isServing(const Step& step) { return step.isLongRunning && step.latencyTarget > Duration::zero(); }

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

void Cell::setWorkers(const std::vector<WorkerDescription>& listed, TimePoint askedAt, TimePoint now)
{
    CellState& state = *m_state;
    state.listRequestedAt = askedAt;
    for (auto& [id, worker] : state.workers)
        worker.isListed = false;
    for (const WorkerDescription& description : listed) {
        Worker& worker = state.workers[description.id];
        const bool isNewLife = worker.incarnationUnixMs != description.incarnationUnixMs;
        worker.needsPoll = worker.needsPoll || isNewLife;
        const bool isReborn = worker.incarnationUnixMs > 0 && description.incarnationUnixMs > worker.incarnationUnixMs;
        if (isReborn && worker.contact == WorkerContact::Responsive)
            worker.contact = WorkerContact::Unresponsive;
        worker.description = description;
        worker.isListed = true;
    }
    // A machine that has a later worker runs nothing of the earlier one any more.
    for (auto& [id, worker] : state.workers) {
        const auto isSuccessor = [&, &early = worker](const WorkerDescription& other) {
            return other.machine == early.description.machine && other.id != early.description.id
                && other.incarnationUnixMs > early.description.incarnationUnixMs && !other.machine.isEmpty();
        };
        if (!worker.isListed && std::any_of(listed.begin(), listed.end(), isSuccessor))
            state.onWorkerLost(worker, "a later worker on its machine");
    }
    // Their births are not known here. An older list, or one that still names the worker, may show an earlier one.
    const bool isSinceTakeover = askedAt >= state.takenOverAt;
    std::erase_if(state.inheritedWorkers, [&](const auto& foreign) {
        const auto known = state.workers.find(foreign.first);
        const bool isListed = known != state.workers.end() && known->second.isListed;
        const auto isOnItsMachine = [&](const WorkerDescription& other) {
            return other.machine == foreign.second && !other.machine.isEmpty();
        };
        return isSinceTakeover && !isListed && std::any_of(listed.begin(), listed.end(), isOnItsMachine);
    });
    state.listedCapacity = state.capacityOfListedWorkers();
    std::erase_if(state.workers, [&](const auto& each) {
        const Worker& worker = each.second;
        return !worker.isListed && !worker.hasUnfinishedWork() && !worker.hasPollInFlight
            && now >= worker.clock.leasesEndAt();
    });
}

void CellState::sendPolls(TimePoint now, bool mayRenew)
{
    for (auto& [id, worker] : workers) {
        const bool isWanted = worker.needsPoll || !worker.runs.empty() || worker.ackedThrough > worker.lastAckSent;
        const bool isReachable = worker.isListed || !worker.runs.empty();
        if (!isWanted || !isReachable || worker.hasPollInFlight || now < worker.nextPollAt)
            continue;
        PollCommand look;
        look.worker = id;
        look.fence = settings.fence;
        const bool isInTouch = worker.contact == WorkerContact::Responsive;
        // Once only: a later life of the worker would forget ends that nobody has heard.
        if (isInTouch && worker.ackedThrough > worker.lastAckSent)
            look.ackedThrough = worker.ackedThrough;
        if (isInTouch && mayRenew && !worker.runs.empty() && worker.clock.isKnown())
            look.leaseUntilWorkerMs = worker.clock.grant(settings.leaseLength, now);
        look.incarnationUnixMs = worker.incarnationUnixMs;
        worker.hasRenewalInFlight = look.leaseUntilWorkerMs > 0;
        const bool hasFillers = worker.colocatedRuns.bestEffortRuns > 0;
        const bool isSettling = std::any_of(worker.runs.begin(), worker.runs.end(),
            [](const auto& each) { return each.second.phase == RunPhase::Stopping; });
        if (isInTouch && !worker.runs.empty() && !isSettling)
            look.longestWait = hasFillers ? longestLookBesideFillers : longestLook;
        worker.hasPollInFlight = true;
        worker.needsPoll = false;
        output.commands.emplace_back(std::move(look));
    }
}

void Cell::onResult(const PollCommand& order, const PollResult& answer, TimePoint sentAt, TimePoint now)
{
    CellState& state = *m_state;
    const auto known = state.workers.find(order.worker);
    if (known == state.workers.end())
        return;
    Worker& worker = known->second;
    worker.hasPollInFlight = false;
    worker.hasRenewalInFlight = false;
    worker.nextPollAt = now + lookPause;
    if (order.leaseUntilWorkerMs > 0)
        state.recordDelivery(worker, order.incarnationUnixMs, answer.status, now);
    if (answer.status != CommandStatus::Done) {
        worker.nextPollAt = now + silentLookPause;
        worker.needsPoll = worker.needsPoll || worker.contact != WorkerContact::Responsive || worker.isListed;
        if (answer.status == CommandStatus::WrongWorker)
            state.onWorkerLost(worker, "another worker answers");
        if (answer.refusal == RefusalReason::StaleFence)
            state.recordHigherFence(order.worker, now);
        if (worker.contact == WorkerContact::Responsive) {
            worker.contact = WorkerContact::Unresponsive;
            state.addEvent(WorkerEvent { WorkerEvent::Kind::Unresponsive, order.worker });
        }
        return;
    }
    const PollReport& report = answer.report;
    if (worker.incarnationUnixMs != report.incarnationUnixMs)
        worker.beginIncarnation(report.incarnationUnixMs, now - ageAtLeast(report.workerClockMs));
    else
        worker.lastAckSent = std::max(worker.lastAckSent, answer.ackedThrough);
    if (worker.contact != WorkerContact::Responsive) {
        const bool isBack = worker.contact == WorkerContact::Unresponsive;
        state.addEvent(WorkerEvent { isBack ? WorkerEvent::Kind::Recovered : WorkerEvent::Kind::Contacted, order.worker,
            {}, now - state.takenOverAt });
    }
    worker.contact = WorkerContact::Responsive;
    const bool isFirstOwner = state.settings.fence <= 1;
    worker.clock.beginIncarnation(
        report.incarnationUnixMs, state.settings.longestLease, isFirstOwner ? TimePoint {} : now);
    worker.clock.observe(report.workerClockMs, sentAt, now);
    if (report.areEndedRunsComplete)
        state.inheritedWorkers.erase(order.worker);
    worker.needsPoll = worker.needsPoll || !report.areEndedRunsComplete;
    for (const EndedRun& end : report.endedRuns)
        state.processEndedRun(worker, end, now);
    state.processRunning(worker, report, sentAt, now);
    state.advanceAcks(order.worker, worker);
    state.throttleBestEffort(worker, now);
}

void CellState::grantStart(Worker& worker, Run& run, TimePoint now)
{
    run.start.leaseUntilWorkerMs = worker.clock.grant(firstLease, now);
    run.start.incarnationUnixMs = worker.incarnationUnixMs;
    run.startSentAt = now;
    run.hasCommandInFlight = true;
    run.hasStartInFlight = true;
}

void CellState::recordDelivery(
    Worker& worker, std::int64_t incarnationUnixMs, CommandStatus status, TimePoint now) const
{
    if (status != CommandStatus::NotSent && status != CommandStatus::Expired)
        worker.clock.recordDelivery(incarnationUnixMs, status != CommandStatus::NoResponse, settings.longestLease, now);
}

/// An unanswered start is sent again only where a new one might be; elsewhere a stop settles what became of it.
void CellState::retryCommands(TimePoint now, bool mayStart)
{
    for (auto& [id, worker] : workers) {
        if (!worker.mayHaveRetries)
            continue;
        const bool isLeaving = worker.description.isDraining;
        worker.mayHaveRetries = false;
        for (auto& [task, run] : worker.runs) {
            worker.mayHaveRetries = worker.mayHaveRetries || run.retryAt != TimePoint {};
            if (run.hasCommandInFlight || run.retryAt == TimePoint {} || now < run.retryAt)
                continue;
            const bool isStart = run.phase == RunPhase::Starting && !isLeaving;
            if (isStart && !(mayStart && isIncarnationConfirmed(worker)))
                continue;
            run.retryAt = {};
            if (isStart) {
                grantStart(worker, run, now);
                output.commands.emplace_back(run.start);
            } else if (run.phase != RunPhase::Confirmed) {
                sendStop(worker, task, run.number, "unanswered, and its worker is leaving");
            }
        }
    }
}

void CellState::checkUnresponsive(TimePoint now)
{
    for (auto& [id, worker] : workers) {
        if (worker.contact != WorkerContact::Unresponsive || now < worker.clock.leasesEndAt())
            continue;
        std::vector<TaskRef> lapsed;
        for (const auto& [task, run] : worker.runs) {
            if (now >= leaseEndOf(worker, run, now))
                lapsed.push_back(task);
        }
        for (const TaskRef& task : lapsed)
            presumeEnded(worker, task, "lease lapsed");
        if (!lapsed.empty() && worker.runs.empty())
            inheritedWorkers.erase(id);
    }
}

/// The list and a lease must be of the life that is there. An owner that has been replaced does not know it until its
/// next transaction, and a life that began after the next owner's look has seen no fence that would tell.
bool CellState::isIncarnationConfirmed(const Worker& worker) const
{
    return worker.contact == WorkerContact::Responsive && worker.clock.isKnown() && worker.isDescriptionCurrent()
        && worker.startedAtLatest <= ownershipConfirmedAt;
}

/// What the present life of the worker is not known to run may be run by a later one, which reads the leases sent to
/// the present one by its own clock. What is on its way arrives now at the earliest.
TimePoint CellState::leaseEndOf(const Worker& worker, const Run& run, TimePoint now) const
{
    if (run.seenInIncarnation == worker.incarnationUnixMs)
        return worker.clock.leasesEndAt();
    LeaseClock delivered = worker.clock;
    if (worker.hasLeaseInFlight())
        delivered.recordDelivery(worker.incarnationUnixMs, true, settings.longestLease, now);
    return delivered.leasesEndInAllIncarnationsAt(worker.isLaterIncarnationListed(), settings.longestLease);
}

void CellState::checkRecovery(TimePoint now)
{
    std::erase_if(inheritedWorkers, [&](const auto& foreign) {
        const bool isOver = now >= inheritedLeaseEnd.at(foreign.first);
        if (isOver)
            addEvent(WorkerEvent { WorkerEvent::Kind::NeverContacted, foreign.first, {}, now - takenOverAt });
        return isOver;
    });
    isRecovering = isRecovering && !inheritedWorkers.empty();
}

void CellState::throttleBestEffort(Worker& worker, TimePoint now)
{
    if (worker.colocatedRuns.bestEffortRuns == 0) {
        worker.pacing = {};
        return;
    }
    double worstTail = 0;
    std::vector<TaskRef> bestEffortRuns;
    for (const auto& [task, run] : worker.runs) {
        const JobEntry* entry = find(task.job);
        if (!entry || !entry->progress.contains(task) || run.phase != RunPhase::Confirmed)
            continue;
        const Step& step = stepOf(*entry, task);
        if (step.isBestEffort)
            bestEffortRuns.push_back(task);
        else if (isServing(step))
            worstTail = std::max(worstTail, run.measuredValue * 1000 / static_cast<double>(step.latencyTarget.count()));
    }
    if (bestEffortRuns.empty()) {
        worker.pacing = {};
        return;
    }
    const int percent = worker.pacing.observe(worstTail, now);
    for (const TaskRef& task : bestEffortRuns) {
        Run& run = worker.runs.at(task);
        if (run.throttlePercent == percent)
            continue;
        run.throttlePercent = percent;
        output.commands.emplace_back(
            ThrottleCommand { worker.description.id, task, run.number, percent, settings.fence });
    }
}

/// Where most workers fail, it is the work that fails.
bool CellState::mayAvoidOneMore(const Worker& worker, TimePoint now) const
{
    int listed = 0;
    int avoided = 0;
    for (const auto& [id, other] : workers) {
        listed += other.isListed ? 1 : 0;
        avoided += other.isAvoidedForFailures(now) && id != worker.description.id ? 1 : 0;
    }
    return avoided < std::max(1, listed / avoidableShare);
}

void CellState::recordFailure(Worker& worker, TimePoint now)
{
    if (++worker.consecutiveFailures < failuresToAvoid || !mayAvoidOneMore(worker, now))
        return;
    const int doublings = std::min(worker.consecutiveFailures - failuresToAvoid, 3);
    worker.failingUntil = now + std::min(longestAvoidance, firstAvoidance * (1 << doublings));
}

/// The next owner may renew what this one takes for lapsed, so that nothing is decided until a transaction tells who
/// owns the cell.
void CellState::recordHigherFence(const WorkerId& worker, TimePoint now)
{
    higherFenceSeenAt = now;
    addEvent(WorkerEvent { WorkerEvent::Kind::HigherFenceSeen, worker });
}

int CellState::unavailableMembers(const JobEntry& entry, const TaskRef& member, TimePoint now) const
{
    int away = 0;
    TaskRef other = member;
    for (other.index = 0; other.index < stepOf(entry, member).count; ++other.index) {
        if (other.index == member.index)
            continue;
        const auto place = workerOfTask.find(other);
        if (place == workerOfTask.end()) {
            ++away;
            continue;
        }
        const Worker& worker = workers.at(place->second);
        const Run& run = worker.runs.at(other);
        const bool isKept = run.phase == RunPhase::Confirmed && now >= run.safeFromEarlierStopAt;
        const bool isAtWork = worker.contact == WorkerContact::Responsive && isKept && run.percent >= 100;
        away += isAtWork ? 0 : 1;
    }
    return away;
}

void CellState::drainMachines(TimePoint now)
{
    if (drainingMachines.empty() || isRecovering)
        return;
    std::vector<std::pair<WorkerId, TaskRef>> stops;
    for (const auto& [id, worker] : workers) {
        if (!drainingMachines.contains(worker.description.machine))
            continue;
        for (const auto& [task, run] : worker.runs) {
            const JobEntry* entry = find(task.job);
            if (!entry || !entry->progress.contains(task) || run.phase != RunPhase::Confirmed)
                continue;
            if (stepOf(*entry, task).isLongRunning)
                stops.emplace_back(id, task);
        }
    }
    for (const auto& [id, task] : stops) {
        const JobEntry& entry = *find(task.job);
        const int allowed = std::max(stepOf(entry, task).maxUnavailable, 1);
        if (unavailableMembers(entry, task, now) < allowed)
            sendStop(workers.at(id), task, workers.at(id).runs.at(task).number, "its machine is to be emptied");
    }
}

} // namespace rattanrack::jobs
