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
    return std::max(shown - clockAtBirth, Duration {});
}

bool isServing(const Step& step) { return step.isLongRunning && step.latencyTarget > Duration::zero(); }

} // namespace

void Worker::beginLife(std::int64_t unixMs, TimePoint atLatest)
{
    bornUnixMs = unixMs;
    bornAtLatest = atLatest;
    processedThrough = 0;
    ackedThrough = 0;
    sentAck = 0;
    pendingEnds.clear();
    failuresInRow = 0;
    failingUntil = {};
}

void Cell::setWorkers(const std::vector<WorkerDescription>& listed, TimePoint askedAt, TimePoint now)
{
    CellState& state = *m_state;
    state.listAskedAt = askedAt;
    for (auto& [id, worker] : state.workers)
        worker.isListed = false;
    for (const WorkerDescription& description : listed) {
        Worker& worker = state.workers[description.id];
        const bool isNewLife = worker.bornUnixMs != description.bornUnixMs;
        worker.isLookWanted = worker.isLookWanted || isNewLife;
        const bool isReborn = worker.bornUnixMs > 0 && description.bornUnixMs > worker.bornUnixMs;
        if (isReborn && worker.contact == WorkerContact::InTouch)
            worker.contact = WorkerContact::Unresponsive;
        worker.description = description;
        worker.isListed = true;
    }
    // A machine that has a later worker runs nothing of the earlier one any more.
    for (auto& [id, worker] : state.workers) {
        const auto isSuccessor = [&, &early = worker](const WorkerDescription& other) {
            return other.machine == early.description.machine && other.id != early.description.id
                && other.bornUnixMs > early.description.bornUnixMs && !other.machine.isEmpty();
        };
        if (!worker.isListed && std::any_of(listed.begin(), listed.end(), isSuccessor))
            state.onWorkerLost(worker, "a later worker on its machine");
    }
    // Their births are not known here. An older list, or one that still names the worker, may show an earlier one.
    const bool isSinceTakeover = askedAt >= state.takenOverAt;
    std::erase_if(state.foreignWorkers, [&](const auto& foreign) {
        const auto known = state.workers.find(foreign.first);
        const bool isListed = known != state.workers.end() && known->second.isListed;
        const auto isOnItsMachine = [&](const WorkerDescription& other) {
            return other.machine == foreign.second && !other.machine.isEmpty();
        };
        return isSinceTakeover && !isListed && std::any_of(listed.begin(), listed.end(), isOnItsMachine);
    });
    state.listedRoom = state.capacityOfListedWorkers();
    std::erase_if(state.workers, [&](const auto& each) {
        const Worker& worker = each.second;
        return !worker.isListed && !worker.hasOpenWork() && !worker.isLookOnItsWay && now >= worker.clock.leasesEndAt();
    });
}

void CellState::sendLooks(TimePoint now, bool mayRenew)
{
    for (auto& [id, worker] : workers) {
        const bool isWanted = worker.isLookWanted || !worker.runs.empty() || worker.ackedThrough > worker.sentAck;
        const bool isReachable = worker.isListed || !worker.runs.empty();
        if (!isWanted || !isReachable || worker.isLookOnItsWay || now < worker.lookAt)
            continue;
        LookOrder look;
        look.worker = id;
        look.fence = settings.fence;
        const bool isInTouch = worker.contact == WorkerContact::InTouch;
        // Once only: a later life of the worker would forget ends that nobody has heard.
        if (isInTouch && worker.ackedThrough > worker.sentAck)
            look.ackedThrough = worker.ackedThrough;
        if (isInTouch && mayRenew && !worker.runs.empty() && worker.clock.isKnown())
            look.leaseUntilWorkerMs = worker.clock.grant(settings.leaseLength, now);
        look.bornUnixMs = worker.bornUnixMs;
        worker.isRenewalOnItsWay = look.leaseUntilWorkerMs > 0;
        const bool hasFillers = worker.colocatedRuns.fillers > 0;
        const bool isSettling = std::any_of(worker.runs.begin(), worker.runs.end(),
            [](const auto& each) { return each.second.phase == RunPhase::Stopping; });
        if (isInTouch && !worker.runs.empty() && !isSettling)
            look.longestWait = hasFillers ? longestLookBesideFillers : longestLook;
        worker.isLookOnItsWay = true;
        worker.isLookWanted = false;
        output.commands.emplace_back(std::move(look));
    }
}

void Cell::onAnswer(const LookOrder& order, const LookAnswer& answer, TimePoint sentAt, TimePoint now)
{
    CellState& state = *m_state;
    const auto known = state.workers.find(order.worker);
    if (known == state.workers.end())
        return;
    Worker& worker = known->second;
    worker.isLookOnItsWay = false;
    worker.isRenewalOnItsWay = false;
    worker.lookAt = now + lookPause;
    if (order.leaseUntilWorkerMs > 0)
        state.noteDelivered(worker, order.bornUnixMs, answer.status, now);
    if (answer.status != CallStatus::Done) {
        worker.lookAt = now + silentLookPause;
        worker.isLookWanted = worker.isLookWanted || worker.contact != WorkerContact::InTouch || worker.isListed;
        if (answer.status == CallStatus::WrongWorker)
            state.onWorkerLost(worker, "another worker answers");
        if (answer.refusal == Refusal::StaleFence)
            state.noteFence(order.worker, now);
        if (worker.contact == WorkerContact::InTouch) {
            worker.contact = WorkerContact::Unresponsive;
            state.addEvent(WorkerEvent { WorkerEvent::Kind::Unresponsive, order.worker });
        }
        return;
    }
    const LookReport& report = answer.report;
    if (worker.bornUnixMs != report.bornUnixMs)
        worker.beginLife(report.bornUnixMs, now - ageAtLeast(report.workerClockMs));
    else
        worker.sentAck = std::max(worker.sentAck, answer.ackedThrough);
    if (worker.contact != WorkerContact::InTouch) {
        const bool isBack = worker.contact == WorkerContact::Unresponsive;
        state.addEvent(WorkerEvent {
            isBack ? WorkerEvent::Kind::Recovered : WorkerEvent::Kind::Contacted, order.worker, {}, now - state.takenOverAt });
    }
    worker.contact = WorkerContact::InTouch;
    const bool isFirstOwner = state.settings.fence <= 1;
    worker.clock.beginLife(report.bornUnixMs, state.settings.longestLease, isFirstOwner ? TimePoint {} : now);
    worker.clock.observe(report.workerClockMs, sentAt, now);
    if (report.areEndsComplete)
        state.foreignWorkers.erase(order.worker);
    worker.isLookWanted = worker.isLookWanted || !report.areEndsComplete;
    for (const EndEntry& end : report.endedRuns)
        state.processEndedRun(worker, end, now);
    state.processRunning(worker, report, sentAt, now);
    state.advanceAcks(order.worker, worker);
    state.throttleBestEffort(worker, now);
}

void CellState::grantStart(Worker& worker, Run& run, TimePoint now)
{
    run.start.leaseUntilWorkerMs = worker.clock.grant(firstLease, now);
    run.start.bornUnixMs = worker.bornUnixMs;
    run.startSentAt = now;
    run.hasCommandInFlight = true;
    run.isStartOnItsWay = true;
}

void CellState::noteDelivered(Worker& worker, std::int64_t bornUnixMs, CallStatus status, TimePoint now) const
{
    if (status != CallStatus::NotSent && status != CallStatus::Expired)
        worker.clock.noteDelivered(bornUnixMs, status != CallStatus::NoResponse, settings.longestLease, now);
}

/// An unanswered start is sent again only where a new one might be; elsewhere a stop settles what became of it.
void CellState::retryCommands(TimePoint now, bool mayStart)
{
    for (auto& [id, worker] : workers) {
        if (!worker.hasUnanswered)
            continue;
        const bool isLeaving = worker.description.isDraining;
        worker.hasUnanswered = false;
        for (auto& [task, run] : worker.runs) {
            worker.hasUnanswered = worker.hasUnanswered || run.retryAt != TimePoint {};
            if (run.hasCommandInFlight || run.retryAt == TimePoint {} || now < run.retryAt)
                continue;
            const bool isStart = run.phase == RunPhase::Starting && !isLeaving;
            if (isStart && !(mayStart && isLifeKnown(worker)))
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

void CellState::checkSilent(TimePoint now)
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
            runOver(worker, task, "lease lapsed");
        if (!lapsed.empty() && worker.runs.empty())
            foreignWorkers.erase(id);
    }
}

/// The list and a lease must be of the life that is there. An owner that has been replaced does not know it until its
/// next transaction, and a life that began after the next owner's look has seen no fence that would tell.
bool CellState::isLifeKnown(const Worker& worker) const
{
    return worker.contact == WorkerContact::InTouch && worker.clock.isKnown() && worker.isDescribed()
        && worker.bornAtLatest <= ownershipConfirmedAt;
}

/// What the present life of the worker is not known to run may be run by a later one, which reads the leases sent to
/// the present one by its own clock. What is on its way arrives now at the earliest.
TimePoint CellState::leaseEndOf(const Worker& worker, const Run& run, TimePoint now) const
{
    if (run.seenInLife == worker.bornUnixMs)
        return worker.clock.leasesEndAt();
    LeaseClock delivered = worker.clock;
    if (worker.isLeaseOnItsWay())
        delivered.noteDelivered(worker.bornUnixMs, true, settings.longestLease, now);
    return delivered.lapsedInAllLivesAt(worker.isLaterLifeListed(), settings.longestLease);
}

void CellState::checkRecovery(TimePoint now)
{
    std::erase_if(foreignWorkers, [&](const auto& foreign) {
        const bool isOver = now >= inheritedLeaseEnd.at(foreign.first);
        if (isOver)
            addEvent(WorkerEvent { WorkerEvent::Kind::NeverContacted, foreign.first, {}, now - takenOverAt });
        return isOver;
    });
    isRecovering = isRecovering && !foreignWorkers.empty();
}

void CellState::throttleBestEffort(Worker& worker, TimePoint now)
{
    if (worker.colocatedRuns.fillers == 0) {
        worker.pacing = {};
        return;
    }
    double worstTail = 0;
    std::vector<TaskRef> fillers;
    for (const auto& [task, run] : worker.runs) {
        const JobEntry* entry = find(task.job);
        if (!entry || !entry->progress.contains(task) || run.phase != RunPhase::Confirmed)
            continue;
        const Step& step = stepOf(*entry, task);
        if (step.isFiller)
            fillers.push_back(task);
        else if (isServing(step))
            worstTail = std::max(worstTail, run.measuredValue * 1000 / static_cast<double>(step.latencyTarget.count()));
    }
    if (fillers.empty()) {
        worker.pacing = {};
        return;
    }
    const int percent = worker.pacing.observe(worstTail, now);
    for (const TaskRef& task : fillers) {
        Run& run = worker.runs.at(task);
        if (run.throttlePercent == percent)
            continue;
        run.throttlePercent = percent;
        output.commands.emplace_back(PaceOrder { worker.description.id, task, run.number, percent, settings.fence });
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
    if (++worker.failuresInRow < failuresToAvoid || !mayAvoidOneMore(worker, now))
        return;
    const int doublings = std::min(worker.failuresInRow - failuresToAvoid, 3);
    worker.failingUntil = now + std::min(longestAvoidance, firstAvoidance * (1 << doublings));
}

/// The next owner may renew what this one takes for lapsed, so that nothing is decided until a transaction tells who
/// owns the cell.
void CellState::noteFence(const WorkerId& worker, TimePoint now)
{
    fenceSeenAt = now;
    addEvent(WorkerEvent { WorkerEvent::Kind::FenceSeen, worker });
}

int CellState::awayOf(const JobEntry& entry, const TaskRef& member, TimePoint now) const
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
        const bool isKept = run.phase == RunPhase::Confirmed && now >= run.keptFrom;
        const bool isAtWork = worker.contact == WorkerContact::InTouch && isKept && run.percent >= 100;
        away += isAtWork ? 0 : 1;
    }
    return away;
}

void CellState::emptyClosing(TimePoint now)
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
        const int allowed = std::max(stepOf(entry, task).mayMiss, 1);
        if (awayOf(entry, task, now) < allowed)
            sendStop(workers.at(id), task, workers.at(id).runs.at(task).number, "its machine is to be emptied");
    }
}

} // namespace rattanrack::jobs
