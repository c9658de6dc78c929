#include "cell_state.h"
#include "free_capacity.h"
#include "rattanrack/jobs/placement.h"

#include <algorithm>
#include <utility>

/// Scheduling passes: which tasks start next, and on which workers.
namespace rattanrack::jobs {

namespace {

using namespace std::chrono_literals;

constexpr Duration startOverhead = 60ms; ///< From the end of a run to the start of the tasks that depend on it.
constexpr Duration responseMargin = 150ms; ///< From the last ended run until a caller sees the job completed.
constexpr double optimisticShare = 0.7; ///< Work may turn out to take only this share of its estimate.
constexpr double maxShareAtOnce = 0.25; ///< A step that needs a larger share of the capacity runs in several waves.
/// Starts are scarce for this long after some had to wait for others. Several passes, so that the order is steady.
constexpr Duration startScarcityMemory = 300ms;

double share(const ResourceSize& size, const ResourceSize& total)
{
    const auto part = [](std::int64_t used, std::int64_t all) {
        return all > 0 ? static_cast<double>(used) / static_cast<double>(all) : 0;
    };
    return std::max(
        part(size.processors.count(), total.processors.count()), part(size.memory.count(), total.memory.count()));
}

std::int64_t workOf(const Job& job)
{
    std::int64_t work = 0;
    for (const Step& step : job.spec.steps)
        work += step.count * step.size.processors.count() * step.declaredRunTime.count() / 1000;
    return work;
}

std::int64_t taskCountOf(const Job& job)
{
    std::int64_t tasks = 0;
    for (const Step& step : job.spec.steps)
        tasks += step.count;
    return tasks;
}

bool hasTaskHeldForEvidence(const CellState& state, const ReadyStep& ready, TimePoint now)
{
    for (int index = 0; index < ready.spec().count; ++index) {
        if (state.isHeldForEvidence(ready.entry->progress.task(ready.occurrence, ready.step, index), now))
            return true;
    }
    return false;
}

} // namespace

ResourceSize CellState::capacityOfListedWorkers() const
{
    ResourceSize total;
    for (const auto& [id, worker] : workers) {
        if (worker.isListed)
            total += worker.description.capacity;
    }
    return total;
}

void CellState::estimateCriticalPath(JobEntry& entry)
{
    entry.isCriticalPathStale = false;
    entry.declaredWork = workOf(entry.job);
    entry.taskCount = taskCountOf(entry.job);
    std::vector<Duration> whole;
    std::vector<Duration> left;
    Duration longestWhole {};
    Duration longestLeft {};
    int stepIndex = 0;
    for (const Step& step : entry.job.spec.steps) {
        const double stepShare = share(step.size, listedCapacity) * step.count;
        const int waves = std::max(1, static_cast<int>(stepShare / maxShareAtOnce + 0.99));
        const Duration time = runtimes.estimate(entry.job.queue, step.declaredRunTime) * waves;
        const bool isDone = entry.progress.isStepDone(0, stepIndex++);
        Duration wholeBefore {};
        Duration leftBefore {};
        for (const int earlier : step.dependsOn) {
            wholeBefore = std::max(wholeBefore, whole[static_cast<std::size_t>(earlier)]);
            leftBefore = std::max(leftBefore, left[static_cast<std::size_t>(earlier)]);
        }
        whole.push_back(wholeBefore + time);
        left.push_back(leftBefore + (isDone ? Duration {} : time + startOverhead));
        longestWhole = std::max(longestWhole, whole.back());
        longestLeft = std::max(longestLeft, left.back());
    }
    const QueueSettings& queue = queueOf(entry);
    const auto objective
        = Duration { static_cast<std::int64_t>(static_cast<double>(longestWhole.count()) * queue.stretch) }
        + queue.latencyTarget;
    entry.criticalPath = longestLeft;
    entry.dueAt = entry.acceptedAt + objective - responseMargin;
}

Rank CellState::rankOf(const JobEntry& entry, const Step& step, TimePoint now)
{
    if (step.isLongRunning)
        return Rank::LongRunning;
    const auto optimisticTime
        = Duration { static_cast<std::int64_t>(static_cast<double>(entry.criticalPath.count()) * optimisticShare) };
    const bool isTimed = entry.job.spec.schedule.repeatCount > 0;
    if (entry.isBeyondWeight && !entry.progress.hasStarted())
        return Rank::BeyondWeight;
    if (isTimed || now + optimisticTime <= entry.dueAt)
        return entry.progress.hasStarted() ? Rank::Started : Rank::OnTime;
    const TimePoint noValueAt = entry.acceptedAt + (entry.dueAt - entry.acceptedAt) * lateFactor;
    return now + optimisticTime <= noValueAt ? Rank::Late : Rank::NoValue;
}

std::int64_t CellState::sortKeyOf(const JobEntry& entry, Rank rank, bool areStartsScarce)
{
    if (rank != Rank::OnTime)
        return entry.dueAt.time_since_epoch().count();
    return areStartsScarce ? entry.taskCount : entry.declaredWork;
}

std::vector<ReadyStep> CellState::readySteps(TimePoint now, std::int64_t wallMs)
{
    std::vector<ReadyStep> ready;
    std::erase_if(unfinishedJobs, [](JobEntry* entry) {
        entry->isAmongUnfinished = !entry->progress.hasEnded();
        return !entry->isAmongUnfinished;
    });
    schedulingCost.jobsExamined += unfinishedJobs.size();
    const bool areStartsScarce = windowFullAt != TimePoint {} && now - windowFullAt < startScarcityMemory;
    for (JobEntry* each : unfinishedJobs) {
        JobEntry& entry = *each;
        if (!entry.isStored || (entry.isTakenOver && isRecovering) || attemptsOf(entry) == 0)
            continue;
        if (entry.isCriticalPathStale)
            estimateCriticalPath(entry);
        if (!entry.progress.hasWaitingTasks())
            continue;
        for (int occurrence = 0; occurrence < entry.progress.occurrences(); ++occurrence) {
            for (int step = 0; step < static_cast<int>(entry.job.spec.steps.size()); ++step) {
                const bool isWaiting = entry.startableTasks(occurrence, step) > 0;
                if (!isWaiting || !entry.progress.isReady(occurrence, step, wallMs))
                    continue;
                ReadyStep found { &entry, occurrence, step };
                found.rank = rankOf(entry, found.spec(), now);
                found.priority = queueOf(entry).priority;
                found.sortKey = sortKeyOf(entry, found.rank, areStartsScarce);
                ready.push_back(found);
            }
        }
    }
    return ready;
}

/// The tickets that the step's starts may carry; null if there are none. Requests further ones where they are needed.
const std::map<WorkerId, std::string>* CellState::validTickets(
    const ReadyStep& ready, const FreeCapacity& capacity, TimePoint now)
{
    StepTickets& known = ready.entry->tickets[{ ready.occurrence, ready.step }];
    std::vector<WorkerId> workers;
    if (known.isRequestDue(now))
        workers = known.nextRequest(capacity.ticketCandidates(ready.spec()), now);
    if (!workers.empty())
        output.adviceRequests.push_back(
            { { ready.entry->job.id, ready.occurrence, ready.step, 0 }, std::move(workers) });
    const auto& usable = known.usableAt(now);
    return usable.empty() ? nullptr : &usable;
}

void CellState::startOn(Worker& worker, const ReadyStep& ready, int index, RunNumber number,
    const std::map<WorkerId, std::string>* tickets, TimePoint now)
{
    JobEntry& entry = *ready.entry;
    const TaskRef task { entry.job.id, ready.occurrence, ready.step, index };
    Run& run = addRun(worker, task, number, &ready.spec());
    run.start = { worker.description.id, task, number, entry.job.spec.text, 0, settings.fence,
        entry.progress.checkpoint(task), tickets ? tickets->at(worker.description.id) : std::string {} };
    run.checkpoint = run.start.checkpoint;
    grantStart(worker, run, now);
    entry.progress.onStartSent(task, number);
    RunEvent& event = addRunEvent(RunEvent::Kind::Starting, worker, task, number, {}, now - listRequestedAt);
    event.ownershipAge = ownershipAge(now);
    event.followsPresumedEnd = entry.progress.task(task).presumedEnded > 0;
    output.commands.emplace_back(run.start);
}

void CellState::startStep(const ReadyStep& ready, FreeCapacity& capacity, TimePoint now)
{
    JobEntry& entry = *ready.entry;
    const Step& step = ready.spec();
    if (step.isGang && entry.suspects > 0 && hasTaskHeldForEvidence(*this, ready, now))
        return;
    if (isHeldByQuota(ready, capacity))
        return;
    const bool needsTicket = requiresTickets(entry);
    const auto* tickets = needsTicket ? validTickets(ready, capacity, now) : nullptr;
    if (needsTicket && !tickets)
        return;
    const int wanted = entry.startableTasks(ready.occurrence, ready.step);
    auto placements = capacity.placeTasks(entry, ready.occurrence, ready.step, tickets);
    const int missing = wanted - static_cast<int>(placements.size());
    if (missing > 0 && needsTicket)
        entry.tickets[{ ready.occurrence, ready.step }].recordShortage();
    const bool isKeptApart = missing > 0 && capacity.hasRoomOnClosedWorker(step);
    isAnyTaskWaiting = isAnyTaskWaiting || missing > 0;
    if (!isKeptApart)
        addWaitingDemand(ready, missing);
    if (missing > 0 && !isKeptApart && ready.rank <= Rank::Started)
        capacity.reserveFor(entry, ready.occurrence, ready.step);
    const bool isGangSplit = step.isGang && (missing > 0 || wanted != step.count);
    if (isGangSplit) {
        capacity.giveBack(placements, step);
        return;
    }
    limitToQuota(ready, placements, capacity);
    const auto placed = placements.size();
    placements = admitStarts(step, placements, capacity, now);
    addWaitingDemand(ready, static_cast<int>(placed - placements.size()));
    const bool isLate = ready.rank == Rank::Late || ready.rank == Rank::NoValue;
    if (isLate && !entry.progress.hasStarted())
        trialCounts.lateFirstStarts += static_cast<int>(placements.size());
    const auto lastRunOf = [&](const Placement& each) {
        return std::max(firstRun, entry.progress.task(ready.occurrence, ready.step, each.index).lastRun);
    };
    RunNumber highest = firstRun;
    for (const Placement& each : placements)
        highest = std::max(highest, lastRunOf(each));
    for (const Placement& each : placements) {
        const RunNumber last = step.isGang ? highest : lastRunOf(each);
        startOn(
            *capacity.workers()[static_cast<std::size_t>(each.candidate)], ready, each.index, last + 1, tickets, now);
    }
}

/// In an overload most steps wait for capacity that no worker has. Such a step is skipped, unless a worker may be kept
/// free for it or it requires tickets.
bool CellState::skipIfNoCapacity(const ReadyStep& ready, const FreeCapacity& capacity)
{
    const bool hasTurn = ready.rank <= Rank::Started || requiresTickets(*ready.entry);
    if (hasTurn || capacity.mayFit(ready.spec()))
        return false;
    addWaitingDemand(ready, ready.entry->startableTasks(ready.occurrence, ready.step));
    return true;
}

/// Adds the demand of `missing` tasks of the step that were not placed.
void CellState::addWaitingDemand(const ReadyStep& ready, int missing)
{
    isAnyTaskWaiting = isAnyTaskWaiting || missing > 0;
    if (ready.rank <= Rank::OnTime)
        waitingDemand += Millicores { reservedSize(ready.spec()).processors.count() * missing };
}

/// What is late starts after the trials: its first starts may crash the workers that would decide earlier crashes.
void CellState::schedule(TimePoint now, std::int64_t wallMs)
{
    const bool isOverloaded = std::exchange(waitingDemand, {}) > Millicores {};
    auto ready = readySteps(now, wallMs);
    drainRate.advance(now, std::exchange(isAnyTaskWaiting, false), expectedDrainRate());
    countCustomersWithWork(ready);
    if (ready.empty() && crashEvidence.suspects.empty())
        return;
    countStarts(now);
    FreeCapacity capacity { *this, now };
    startTrials(capacity, TrialScope::Limited, isOverloaded, now, wallMs);
    std::erase_if(ready, [&](const ReadyStep& each) { return skipIfNoCapacity(each, capacity); });
    std::sort(ready.begin(), ready.end());
    const auto isInTime = [](const ReadyStep& each) { return each.rank < Rank::Late; };
    const auto late = std::partition_point(ready.begin(), ready.end(), isInTime);
    startSteps({ ready.begin(), late }, capacity, now);
    const bool isWorkWaiting = waitingDemand > Millicores {};
    startTrials(capacity, isWorkWaiting ? TrialScope::Limited : TrialScope::Idle, false, now, wallMs);
    startSteps({ late, ready.end() }, capacity, now);
    isAnyTaskWaiting = isAnyTaskWaiting || !crashEvidence.suspects.empty();
}

/// Among steps of one rank and priority, those of customers below their share go first.
void CellState::startSteps(std::span<const ReadyStep> steps, FreeCapacity& capacity, TimePoint now)
{
    std::vector<const ReadyStep*> deferred;
    const auto startDeferred = [&] {
        for (const ReadyStep* each : std::exchange(deferred, {}))
            startStepIfPermitted(*each, capacity, now);
    };
    const ReadyStep* previous = nullptr;
    for (const ReadyStep& each : steps) {
        if (previous && (previous->rank != each.rank || previous->priority != each.priority))
            startDeferred();
        previous = &each;
        if (each.rank >= Rank::OnTime && isAtFairShare(*each.entry))
            deferred.push_back(&each);
        else
            startStepIfPermitted(each, capacity, now);
    }
    startDeferred();
}

void CellState::startStepIfPermitted(const ReadyStep& ready, FreeCapacity& capacity, TimePoint now)
{
    if (mayStartMore(now))
        startStep(ready, capacity, now);
    else
        addWaitingDemand(ready, ready.entry->startableTasks(ready.occurrence, ready.step));
}

void Cell::onAdvice(const AdviceResponse& response, TimePoint now)
{
    JobEntry* entry = m_state->find(response.step.job);
    if (!entry)
        return;
    entry->tickets[{ response.step.occurrence, response.step.step }].onResponse(response, now);
}

} // namespace rattanrack::jobs
