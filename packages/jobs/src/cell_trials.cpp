#include "cell_state.h"
#include "free_capacity.h"

#include <algorithm>
#include <tuple>

/// Trials: starts of tasks that may have crashed a worker, each where no other start is recent, so that a further crash
/// points to one task.
namespace rattanrack::jobs {

namespace {

constexpr int workersPerTrial = 3; ///< One worker of this many may be used for trials at once.
constexpr std::size_t mostTasksOfTrial = 8; ///< That start at once on one worker.

bool isLikelyCause(const Task& task)
{
    return std::any_of(
        task.lostStarts.begin(), task.lostStarts.end(), [](const LostStart& each) { return each.isAlone(); });
}

} // namespace

/// Whether the run is of a suspect, and its start was sent to an incarnation of the worker that is over.
bool CellState::isLostInEarlierIncarnation(const Worker& worker, const Run& run) const
{
    return isSuspect(run.start.task) && worker.incarnationUnixMs > run.start.incarnationUnixMs;
}

/// Whether the next owner would know of the start that was lost.
bool CellState::isLossStored(const TaskRef& ref) const
{
    const JobEntry* entry = find(ref.job);
    return entry && entry->areEndsStored(positionOf(ref));
}

/// Whether a start without a response may be sent to the next incarnation of the worker; otherwise it is stopped.
bool CellState::mayRetryAsTrial(const Worker& worker, const TaskRef& ref, TimePoint now) const
{
    const JobEntry* entry = find(ref.job);
    return entry && !worker.hasRecentStart(now) && !worker.hasTrial()
        && !isHeldForEvidence(entry->progress.task(ref), now);
}

/// Whether a suspect may start now, apart from the room that it needs.
bool CellState::mayStartTrial(const JobEntry& entry, const TaskRef& ref, TimePoint now, std::int64_t wallMs) const
{
    const Task& task = entry.progress.task(ref);
    const bool isStored = entry.isStored && entry.areEndsStored(positionOf(ref));
    const bool isBarred = (entry.isTakenOver && isRecovering) || attemptsOf(entry) == 0 || stepOf(entry, ref).isGang;
    return isStored && !isBarred && task.phase == TaskPhase::Waiting
        && entry.progress.isReady(ref.occurrence, ref.step, wallMs) && !isHeldForEvidence(task, now);
}

bool Trial::isOf(const JobEntry& other, const TaskRef& task) const
{
    return ready.entry == &other && ready.occurrence == task.occurrence && ready.step == task.step;
}

void Trial::add(const Task& task, int index)
{
    tasks.push_back(index);
    isLikelyCause = isLikelyCause || jobs::isLikelyCause(task);
    losses = std::max(losses, task.lostStarts.size());
    lostAt = std::max(lostAt, task.lostStarts.back().lostAt);
}

/// The suspects that may start, by step.
std::vector<Trial> CellState::waitingTrials(bool isOverloaded, TimePoint now, std::int64_t wallMs)
{
    std::vector<Trial> trials;
    for (const TaskRef& ref : crashEvidence.suspects) {
        JobEntry* entry = findUndecided(ref);
        if (!entry || !mayStartTrial(*entry, ref, now, wallMs))
            continue;
        ReadyStep ready { entry, ref.occurrence, ref.step };
        ready.rank = rankOf(*entry, ready.spec(), now);
        // What is late waits behind what can be on time, as elsewhere.
        if (isOverloaded && ready.rank >= Rank::Late && !isLikelyCause(entry->progress.task(ref)))
            continue;
        if (trials.empty() || !trials.back().isOf(*entry, ref))
            trials.push_back({ ready });
        trials.back().add(entry->progress.task(ref), ref.index);
    }
    return trials;
}

void CellState::startTrials(
    FreeCapacity& capacity, TrialScope scope, bool isOverloaded, TimePoint now, std::int64_t wallMs)
{
    std::vector<Trial> waiting = waitingTrials(isOverloaded, now, wallMs);
    std::sort(waiting.begin(), waiting.end());
    for (const Trial& each : waiting) {
        if (!mayStartMore(now)) {
            ++trialCounts.heldByWindow;
            return;
        }
        startTrial(each, capacity, scope, now);
    }
}

void CellState::startTrial(const Trial& trial, FreeCapacity& capacity, TrialScope scope, TimePoint now)
{
    const ReadyStep& ready = trial.ready;
    const bool needsTicket = requiresTickets(*ready.entry);
    const auto* tickets = needsTicket ? validTickets(ready, capacity, now) : nullptr;
    if (needsTicket && !tickets)
        return;
    if (isHeldByQuota(ready, capacity))
        return;
    auto placements = capacity.placeTrial(trial, tickets, scope, now);
    limitToQuota(ready, placements, capacity);
    if (placements.empty() && needsTicket)
        ready.entry->tickets[{ ready.occurrence, ready.step }].recordShortage();
    for (const Placement& each : placements) {
        Worker& worker = *capacity.workers()[static_cast<std::size_t>(each.candidate)];
        ++worker.startsInFlight;
        ++startsInFlight;
        const Task& task = ready.entry->progress.task(ready.occurrence, ready.step, each.index);
        startOn(worker, ready, each.index, std::max(firstRun, task.lastRun) + 1, tickets, now);
    }
}

/// Trials of likely causes, and the workers that are down because of them, take up a part of the workers while other
/// work waits, most of them while other work runs but none waits, and all of them otherwise.
bool FreeCapacity::mayTakeTrial(const Trial& trial, TrialScope scope) const
{
    const int trials = m_trialsInProgress + m_keptForTrials;
    const int usable = static_cast<int>(m_candidates.size()) + m_trialsInProgress;
    if (!trial.isLikelyCause)
        return scope == TrialScope::Idle || trials < std::max(1, usable / workersPerTrial);
    if (scope == TrialScope::Idle && m_otherRuns == 0)
        return true;
    const CrashEvidence& evidence = m_state.crashEvidence;
    const int pool = usable + static_cast<int>(evidence.lossesUnderStarts.size());
    const int part = std::max(1, pool / workersPerTrial);
    const int most = scope == TrialScope::Limited ? part : std::max(1, pool - part);
    return trials + static_cast<int>(evidence.lossesUnderTrials.size()) < most;
}

/// Prefers a worker on which a task fits now; one that has been up for a while, since others may restart again by
/// themselves; one without recent starts; and one on which little would be lost.
int FreeCapacity::chooseTrialWorker(
    const Trial& trial, const std::map<WorkerId, std::string>* tickets, TrialScope scope, TimePoint now) const
{
    const Step& step = trial.ready.spec();
    const auto rank = [&](std::size_t index) {
        const Worker& worker = *m_workers[index];
        return std::tuple { !fits(reservedSize(step), m_candidates[index].free), !worker.isSettled(now),
            worker.hasRecentStart(now), worker.colocatedRuns.longRunning, worker.runs.size() };
    };
    int best = -1;
    for (std::size_t index = 0; index < m_candidates.size(); ++index) {
        const Candidate& candidate = m_candidates[index];
        const bool isFull = step.maxPerWorker > 0 && candidate.sameStepRuns >= step.maxPerWorker;
        const bool hasTicket = !tickets || tickets->contains(candidate.worker->id);
        const bool fitsSoon
            = fits(reservedSize(step), step.isLongRunning ? candidate.freeAfterFiniteRuns : candidate.free);
        const bool isTaken = !m_startingJobs[index].isEmpty();
        const bool isBusy = scope == TrialScope::Idle && !isFreeForTrial(trial, index, now);
        const bool isExcluded = candidate.isReserved || isFull || isTaken || isBusy;
        if (isExcluded || !hasTicket || !fitsSoon || !isEligible(step, *candidate.worker))
            continue;
        if (best < 0 || rank(index) < rank(static_cast<std::size_t>(best)))
            best = static_cast<int>(index);
    }
    return best;
}

/// Finite runs are not risked beside a likely cause: the worker takes none for a while, until they have ended.
bool FreeCapacity::isFreeForTrial(const Trial& trial, std::size_t index, TimePoint now) const
{
    const Worker& worker = *m_workers[index];
    const bool isWorkAtRisk = trial.isLikelyCause && worker.colocatedRuns.finite > 0 && !worker.isTrialOverdue(now);
    return fits(reservedSize(trial.ready.spec()), m_candidates[index].free) && !worker.hasRecentStart(now)
        && !isWorkAtRisk;
}

/// The next pass prefers the worker that was kept by this one.
void FreeCapacity::keepForTrial(std::size_t index, TimePoint now)
{
    m_candidates[index].isReserved = true; // For this job alone, also until the worker is free for it.
    ++m_keptForTrials;
    Worker& worker = *m_workers[index];
    if (worker.keptForTrialSince == TimePoint {} || now - worker.keptForTrialAt > keptMemory)
        worker.keptForTrialSince = now;
    worker.keptForTrialAt = now;
}

std::vector<Placement> FreeCapacity::placeTrial(
    const Trial& trial, const std::map<WorkerId, std::string>* tickets, TrialScope scope, TimePoint now)
{
    if (!mayTakeTrial(trial, scope)) {
        ++m_state.trialCounts.heldByLimit;
        return {};
    }
    const Step& step = trial.ready.spec();
    countColocatedRuns(*trial.ready.entry, trial.ready.occurrence, trial.ready.step);
    m_areColocatedRunsCounted = false;
    m_state.schedulingCost.workersExamined += m_candidates.size();
    const int best = chooseTrialWorker(trial, tickets, scope, now);
    if (best < 0) {
        ++m_state.trialCounts.heldByRoom;
        return {};
    }
    Candidate& chosen = m_candidates[static_cast<std::size_t>(best)];
    const bool isFree = isFreeForTrial(trial, static_cast<std::size_t>(best), now);
    keepForTrial(static_cast<std::size_t>(best), now);
    if (isFree)
        m_workers[static_cast<std::size_t>(best)]->keptForTrialSince = {};
    std::vector<Placement> placements;
    for (const int index : trial.tasks) {
        const bool isFull = step.maxPerWorker > 0 && chosen.sameStepRuns >= step.maxPerWorker;
        if (!isFree || isFull || placements.size() >= mostTasksOfTrial || !fits(reservedSize(step), chosen.free))
            break;
        reserve(best, step);
        placements.push_back({ index, best });
    }
    return placements;
}

} // namespace rattanrack::jobs
