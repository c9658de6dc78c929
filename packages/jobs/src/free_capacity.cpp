#include "free_capacity.h"

#include <algorithm>
#include <tuple>

namespace rattanrack::jobs {

namespace {

using namespace std::chrono_literals;

constexpr int workersPerUntried = 3; ///< One worker of this many is kept free of trials.
constexpr int workersPerReserved = 3; ///< One worker of this many may be kept free for large tasks.

/// Whether a worker in the stored list may be used.
bool isUsable(const Worker& worker, const CellState& state, TimePoint now)
{
    return worker.isListed && state.isIncarnationConfirmed(worker) && !worker.description.isDraining
        && now >= worker.startsAllowedAt && !worker.isAvoided(now) && worker.mayTakeStarts() && !worker.hasTrial(now)
        && worker.colocatedRuns.ofUnknownSize == 0 && !state.drainingMachines.contains(worker.description.machine);
}

bool dependsOnColocatedRuns(const Step& step)
{
    return step.isLongRunning || step.isBestEffort || step.maxPerWorker > 0 || step.prefersOneRack
        || step.maxUnavailable > 0;
}

bool dependsOnRacks(const Step& step) { return step.isLongRunning || step.prefersOneRack || step.maxUnavailable > 0; }

/// Whether size and label alone decide on which workers the step fits.
bool dependsOnSizeAndLabelOnly(const Step& step) { return step.maxPerWorker == 0; }

/// Counts one more task of the step on the worker.
void countRun(Candidate& candidate, const Step& step)
{
    candidate.bestEffortRuns += step.isBestEffort ? 1 : 0;
    candidate.longRunning += step.isLongRunning && !step.isBestEffort ? 1 : 0;
    candidate.serving += step.latencyTarget > Duration::zero() ? 1 : 0;
}

} // namespace

FreeCapacity::FreeCapacity(CellState& state, TimePoint now)
    : m_state(state)
{
    m_workers.reserve(state.workers.size());
    m_candidates.reserve(state.workers.size());
    auto stored = state.storedWorkers.begin(); // Ordered by id, as the workers are.
    for (auto& [id, worker] : state.workers) {
        worker.candidateIndex = -1;
        worker.isKeptForTrial = false;
        m_trials += worker.hasTrial(now) ? 1 : 0;
        while (stored != state.storedWorkers.end() && stored->first < id)
            ++stored;
        const bool isStored = stored != state.storedWorkers.end() && stored->first == id;
        if (!isStored || !isUsable(worker, state, now))
            continue;
        worker.candidateIndex = static_cast<int>(m_workers.size());
        Candidate candidate { &worker.description, worker.description.capacity };
        candidate.free -= worker.used;
        candidate.freeAfterFiniteRuns = worker.description.capacity;
        candidate.freeAfterFiniteRuns -= worker.usedByLongRunning;
        m_largestFree.processors = std::max(m_largestFree.processors, candidate.free.processors);
        m_largestFree.memory = std::max(m_largestFree.memory, candidate.free.memory);
        m_largestFree.accelerators = std::max(m_largestFree.accelerators, candidate.free.accelerators);
        m_workers.push_back(&worker);
        m_candidates.push_back(candidate);
    }
    keepWorkersForTrials(now);
}

/// Keeps a worker for each waiting suspect, and leaves a share of the workers to other work.
void FreeCapacity::keepWorkersForTrials(TimePoint now)
{
    const int usable = static_cast<int>(m_candidates.size());
    const int most = usable - usable / workersPerUntried;
    for (const TaskRef& task : m_state.crashSuspicion.suspects) {
        const JobEntry* entry = m_state.findUndecided(task);
        if (m_trials >= most)
            return;
        if (!entry || !entry->isStartable(task.occurrence, task.step, task.index))
            continue;
        const Step& step = CellState::stepOf(*entry, task);
        const int chosen = m_state.isOnTrial(task, step) ? chooseKeptWorker(task, *entry, now) : -1;
        if (chosen < 0)
            continue;
        Worker& worker = *m_workers[static_cast<std::size_t>(chosen)];
        m_candidates[static_cast<std::size_t>(chosen)].isReserved = true;
        worker.isKeptForTrial = true;
        ++m_trials;
        const bool isFirstCrash = entry->progress.task(task).crashes.empty();
        if (worker.unprovenStarts.empty() && (isFirstCrash || worker.hasFreshReport(now)))
            m_trialWorkers.push_back(chosen);
    }
}

/// Whether the worker has a ticket for the task, if it needs one, and room for one more task of its step.
bool FreeCapacity::mayTakeTrial(const TaskRef& task, const JobEntry& entry, const Worker& worker) const
{
    const auto tickets = entry.tickets.find({ task.occurrence, task.step });
    const bool needsTicket = CellState::queueOf(entry).requiresTickets && tickets != entry.tickets.end();
    if (needsTicket && !tickets->second.tickets.empty() && !tickets->second.tickets.contains(worker.description.id))
        return false;
    const int maxPerWorker = CellState::stepOf(entry, task).maxPerWorker;
    if (maxPerWorker == 0)
        return true;
    int runs = 0;
    for (const auto& [location, count] : m_state.locationsOf(task.job, task.occurrence, task.step))
        runs += location.worker == &worker ? count : 0;
    return runs < maxPerWorker;
}

/// Prefers workers that the task has not crashed; those that have been up for longer, since others may restart again by
/// themselves; those without long-running
/// tasks; those without recent starts; and those with the fewest runs.
int FreeCapacity::chooseKeptWorker(const TaskRef& task, const JobEntry& entry, TimePoint now) const
{
    const Step& step = CellState::stepOf(entry, task);
    const auto& crashes = entry.progress.task(task).crashes;
    const auto rank = [&](int index) {
        const Worker& worker = *m_workers[static_cast<std::size_t>(index)];
        const bool fitsNow = fits(reservedSize(step), m_candidates[static_cast<std::size_t>(index)].free);
        const bool hasCrashed = std::any_of(crashes.begin(), crashes.end(),
            [&](const WorkerCrash& each) { return each.worker == worker.description.id; });
        return std::tuple { hasCrashed, !worker.isSettled(now), !fitsNow, worker.colocatedRuns.longRunning > 0,
            worker.unprovenStarts.size(), worker.runs.size() };
    };
    int best = -1;
    for (int index = 0; index < static_cast<int>(m_candidates.size()); ++index) {
        const Candidate& candidate = m_candidates[static_cast<std::size_t>(index)];
        const bool fitsSoon = fits(reservedSize(step), candidate.freeAfterFiniteRuns);
        const bool isPossible = !candidate.isReserved && fitsSoon && isEligible(step, *candidate.worker);
        if (isPossible && mayTakeTrial(task, entry, *m_workers[static_cast<std::size_t>(index)])
            && (best < 0 || rank(index) < rank(best)))
            best = index;
    }
    return best;
}

/// Chooses one of the workers that are kept for suspects, one that the task has not crashed before if possible.
int FreeCapacity::chooseTrialWorker(
    const TaskRef& task, const Step& step, const std::map<WorkerId, std::string>* tickets)
{
    const auto& crashes = m_state.find(task.job)->progress.task(task).crashes;
    const auto isPossible = [&](int index) {
        const Candidate& candidate = m_candidates[static_cast<std::size_t>(index)];
        const bool isFull = step.maxPerWorker > 0 && candidate.sameStepRuns >= step.maxPerWorker;
        return !isFull && fits(reservedSize(step), candidate.free) && isEligible(step, *candidate.worker)
            && (!tickets || tickets->contains(candidate.worker->id));
    };
    const auto hasCrashed = [&](int index) {
        const WorkerId& id = m_candidates[static_cast<std::size_t>(index)].worker->id;
        return std::any_of(crashes.begin(), crashes.end(), [&](const WorkerCrash& each) { return each.worker == id; });
    };
    auto chosen = std::find_if(m_trialWorkers.begin(), m_trialWorkers.end(),
        [&](int index) { return isPossible(index) && !hasCrashed(index); });
    if (chosen == m_trialWorkers.end())
        chosen = std::find_if(m_trialWorkers.begin(), m_trialWorkers.end(), isPossible);
    if (chosen == m_trialWorkers.end())
        return -1;
    const int index = *chosen;
    m_trialWorkers.erase(chosen);
    return index;
}

void FreeCapacity::countColocatedRuns(const JobEntry& entry, int occurrence, int step)
{
    m_areColocatedRunsCounted = true;
    for (std::size_t at = 0; at < m_candidates.size(); ++at) {
        const ColocatedRuns& colocated = m_workers[at]->colocatedRuns;
        Candidate& candidate = m_candidates[at];
        candidate.longRunning = colocated.longRunning;
        candidate.serving = colocated.serving;
        candidate.bestEffortRuns = colocated.bestEffortRuns;
        candidate.sameStepRuns = candidate.sameStepRunsInRack = 0;
    }
    for (const auto& [location, runs] : m_state.locationsOf(entry.job.id, occurrence, step)) {
        ++m_state.schedulingCost.runsExamined;
        if (location.worker->candidateIndex >= 0)
            addSameStepRuns(
                location.worker->candidateIndex, runs, entry.job.spec.steps[static_cast<std::size_t>(step)]);
    }
}

void FreeCapacity::addSameStepRuns(int candidateIndex, int runs, const Step& step)
{
    Candidate& candidate = m_candidates[static_cast<std::size_t>(candidateIndex)];
    candidate.sameStepRuns += runs;
    if (!dependsOnRacks(step))
        return;
    m_state.schedulingCost.workersExamined += m_candidates.size();
    for (Candidate& other : m_candidates)
        other.sameStepRunsInRack += other.worker->rack == candidate.worker->rack ? runs : 0;
}

void FreeCapacity::reserve(int candidateIndex, const Step& step)
{
    Candidate& candidate = m_candidates[static_cast<std::size_t>(candidateIndex)];
    candidate.free -= reservedSize(step);
    countRun(candidate, step);
    if (dependsOnColocatedRuns(step))
        addSameStepRuns(candidateIndex, 1, step);
}

void FreeCapacity::giveBack(const std::vector<Placement>& placements, const Step& step)
{
    for (const Placement& each : placements)
        m_candidates[static_cast<std::size_t>(each.candidate)].free += reservedSize(step);
    if (!placements.empty())
        m_unplaceable.clear();
}

std::vector<Placement> FreeCapacity::placeTasks(
    const JobEntry& entry, int occurrence, int stepNumber, const std::map<WorkerId, std::string>* tickets)
{
    const Step& step = entry.job.spec.steps[static_cast<std::size_t>(stepNumber)];
    m_areColocatedRunsCounted = false;
    m_waitingForTrial = 0;
    const bool hasSuspects = m_state.crashSuspicion.hasSuspectsOf(entry.job.id);
    if (!mayFit(step) || (m_unplaceable.covers(step) && !hasSuspects))
        return {};
    if (dependsOnColocatedRuns(step))
        countColocatedRuns(entry, occurrence, stepNumber);
    if (!tickets)
        return placeEach(entry, occurrence, stepNumber, nullptr);
    std::vector<Candidate*> withoutTicket;
    for (Candidate& candidate : m_candidates) {
        if (!candidate.isReserved && !tickets->contains(candidate.worker->id))
            withoutTicket.push_back(&candidate);
    }
    for (Candidate* candidate : withoutTicket)
        candidate->isReserved = true;
    auto placements = placeEach(entry, occurrence, stepNumber, tickets);
    for (Candidate* candidate : withoutTicket)
        candidate->isReserved = false;
    return placements;
}

std::vector<Placement> FreeCapacity::placeEach(
    const JobEntry& entry, int occurrence, int stepNumber, const std::map<WorkerId, std::string>* tickets)
{
    const Step& step = entry.job.spec.steps[static_cast<std::size_t>(stepNumber)];
    std::vector<Placement> placements;
    bool isUnplaceable = m_unplaceable.covers(step);
    for (int index = 0; index < step.count; ++index) {
        if (!entry.isStartable(occurrence, stepNumber, index))
            continue;
        const TaskRef task { entry.job.id, occurrence, stepNumber, index };
        const bool isOnTrial = m_state.isOnTrial(task, step);
        if (isUnplaceable && !isOnTrial)
            continue;
        m_state.schedulingCost.workersExamined += m_candidates.size();
        const int candidateIndex
            = isOnTrial ? chooseTrialWorker(task, step, tickets) : chooseWorker(step, m_candidates);
        if (isOnTrial && candidateIndex < 0) {
            ++m_waitingForTrial;
            continue;
        }
        if (candidateIndex < 0) {
            if (dependsOnSizeAndLabelOnly(step) && !tickets)
                m_unplaceable.record(step);
            if (!m_state.crashSuspicion.hasSuspectsOf(entry.job.id))
                break;
            isUnplaceable = true;
            continue;
        }
        reserve(candidateIndex, step);
        placements.push_back({ index, candidateIndex });
    }
    return placements;
}

void FreeCapacity::reserveFor(const JobEntry& entry, int occurrence, int stepNumber)
{
    const Step& step = entry.job.spec.steps[static_cast<std::size_t>(stepNumber)];
    const int most = std::max(1, static_cast<int>(m_candidates.size()) / workersPerReserved);
    if (m_reservedCount >= most || m_unreservable.covers(step))
        return;
    if (dependsOnColocatedRuns(step) && !m_areColocatedRunsCounted)
        countColocatedRuns(entry, occurrence, stepNumber);
    m_state.schedulingCost.workersExamined += m_candidates.size();
    Candidate* best = nullptr;
    for (Candidate& candidate : m_candidates) {
        const bool isFull = step.maxPerWorker > 0 && candidate.sameStepRuns >= step.maxPerWorker;
        const bool isBetter = !best || candidate.free.processors > best->free.processors;
        const bool fitsSoon = fits(reservedSize(step), candidate.freeAfterFiniteRuns);
        if (!candidate.isReserved && !isFull && fitsSoon && isBetter && isEligible(step, *candidate.worker))
            best = &candidate;
    }
    if (!best) {
        if (dependsOnSizeAndLabelOnly(step))
            m_unreservable.record(step);
        return;
    }
    best->isReserved = true;
    ++m_reservedCount;
}

} // namespace rattanrack::jobs
