#include "cell_state.h"
#include "free_capacity.h"

#include <algorithm>
#include <tuple>

/// Trials: starts of tasks that may have crashed a worker, each where no other start is recent, so that a further crash
/// points to one task.
namespace rattanrack::jobs {

namespace {

constexpr int workersPerTrial = 3; ///< One worker of this many may be used for trials at once.

/// A suspect that may start.
struct WaitingSuspect {
    ReadyStep ready;
    TaskRef task;
    std::size_t lostStarts { 0 };
    TimePoint lostAt {};

    /// Those that were lost least often start first: most of them are harmless.
    friend bool operator<(const WaitingSuspect& left, const WaitingSuspect& right)
    {
        return std::tie(left.lostStarts, left.lostAt, left.task) < std::tie(right.lostStarts, right.lostAt, right.task);
    }
};

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
    return entry && entry->storedRevision >= entry->failureRevision;
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
    const bool isStored = entry.isStored && entry.storedRevision >= entry.failureRevision;
    const bool isBarred = (entry.isTakenOver && isRecovering) || attemptsOf(entry) == 0 || stepOf(entry, ref).isGang;
    return isStored && !isBarred && task.phase == TaskPhase::Waiting
        && entry.progress.isReady(ref.occurrence, ref.step, wallMs) && !isHeldForEvidence(task, now);
}

void CellState::startTrials(FreeCapacity& capacity, bool isOverloaded, TimePoint now, std::int64_t wallMs)
{
    std::vector<WaitingSuspect> waiting;
    for (const TaskRef& ref : crashEvidence.suspects) {
        JobEntry* entry = findUndecided(ref);
        if (!entry || !mayStartTrial(*entry, ref, now, wallMs))
            continue;
        ReadyStep ready { entry, ref.occurrence, ref.step };
        ready.rank = rankOf(*entry, ready.spec(), now);
        // What is late waits behind what can be on time, as elsewhere.
        if (isOverloaded && ready.rank >= Rank::Late)
            continue;
        const Task& task = entry->progress.task(ref);
        waiting.push_back({ ready, ref, task.lostStarts.size(), task.lostStarts.back().lostAt });
    }
    std::sort(waiting.begin(), waiting.end());
    for (const WaitingSuspect& each : waiting) {
        if (!mayStartMore(now))
            return;
        startTrial(each.ready, each.task, capacity, now);
    }
}

void CellState::startTrial(const ReadyStep& ready, const TaskRef& task, FreeCapacity& capacity, TimePoint now)
{
    const bool needsTicket = queueOf(*ready.entry).requiresTickets;
    const StepTickets* tickets = needsTicket ? validTickets(ready, capacity, now) : nullptr;
    if (needsTicket && !tickets)
        return;
    const int chosen = capacity.takeTrialWorker(*ready.entry, task, tickets ? &tickets->tickets : nullptr, now);
    if (chosen < 0)
        return;
    Worker& worker = *capacity.workers()[static_cast<std::size_t>(chosen)];
    ++worker.startsInFlight;
    ++startsInFlight;
    const RunNumber last = std::max(firstRun, ready.entry->progress.task(task).lastRun);
    startOn(worker, ready, task.index, last + 1, tickets, now);
}

/// Prefers a worker on which the task fits now; one that has been up for a while, since others may restart again by
/// themselves; one without recent starts; and one on which little would be lost.
int FreeCapacity::takeTrialWorker(
    const JobEntry& entry, const TaskRef& task, const std::map<WorkerId, std::string>* tickets, TimePoint now)
{
    const int most = std::max(1, (static_cast<int>(m_candidates.size()) + m_trialsInProgress) / workersPerTrial);
    if (m_trialsInProgress + m_keptForTrials >= most)
        return -1;
    const Step& step = CellState::stepOf(entry, task);
    countColocatedRuns(entry, task.occurrence, task.step);
    m_areColocatedRunsCounted = false;
    m_state.schedulingCost.workersExamined += m_candidates.size();
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
        if (candidate.isReserved || isFull || !hasTicket || !fitsSoon || !isEligible(step, *candidate.worker))
            continue;
        if (best < 0 || rank(index) < rank(static_cast<std::size_t>(best)))
            best = static_cast<int>(index);
    }
    if (best < 0)
        return -1;
    Candidate& chosen = m_candidates[static_cast<std::size_t>(best)];
    const bool isReady
        = fits(reservedSize(step), chosen.free) && !m_workers[static_cast<std::size_t>(best)]->hasRecentStart(now);
    chosen.isReserved = true; // For this task alone, also until the worker is free for it.
    ++m_keptForTrials;
    if (!isReady)
        return -1;
    reserve(best, step);
    return best;
}

} // namespace rattanrack::jobs
