#include "free_capacity.h"

#include "worker_bar.h"

#include <algorithm>

namespace rattanrack::jobs {

namespace {

constexpr int workersPerReserved = 3; ///< One worker of this many may be kept free for large tasks.

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
    , m_now(now)
    , m_areJobsApart(state.areJobsKeptApart())
{
    m_workers.reserve(state.workers.size());
    m_candidates.reserve(state.workers.size());
    auto stored = state.storedWorkers.begin(); // Ordered by id, as the workers are.
    for (auto& [id, worker] : state.workers) {
        worker.candidateIndex = -1;
        m_trialsInProgress += worker.isListed && worker.hasTrial() ? 1 : 0;
        worker.isReserved = false;
        while (stored != state.storedWorkers.end() && stored->first < id)
            ++stored;
        const bool isStored = stored != state.storedWorkers.end() && stored->first == id;
        if (!isStored || barOf(worker, state, now))
            continue;
        worker.candidateIndex = static_cast<int>(m_workers.size());
        Candidate candidate { &worker.description, worker.description.capacity };
        candidate.free -= worker.used;
        candidate.freeAfterFiniteRuns = worker.description.capacity;
        candidate.freeAfterFiniteRuns -= worker.usedByLongRunning;
        m_largestFree.processors = std::max(m_largestFree.processors, candidate.free.processors);
        m_largestFree.memory = std::max(m_largestFree.memory, candidate.free.memory);
        m_largestFree.accelerators = std::max(m_largestFree.accelerators, candidate.free.accelerators);
        m_otherRuns += worker.colocatedRuns.finite;
        m_workers.push_back(&worker);
        m_candidates.push_back(candidate);
    }
    m_startingJobs.resize(m_candidates.size());
}

/// Closes the workers on which a crash now could be due to another job. Long-running tasks and gangs need many workers
/// at a time and start on all of them all the same.
void FreeCapacity::closeWorkers(const JobEntry& entry, const Step& step)
{
    if (!m_areJobsApart)
        return;
    const bool isExempt = step.isLongRunning || step.isGang;
    for (std::size_t index = 0; index < m_candidates.size(); ++index) {
        const JobId& starting = m_startingJobs[index];
        const bool isTaken = !starting.isEmpty() && starting != entry.job.id;
        m_candidates[index].isClosed
            = !isExempt && (isTaken || m_workers[index]->hasRecentStartOfOther(entry.job.id, m_now));
    }
}

std::vector<TicketCandidate> FreeCapacity::ticketCandidates(const Step& step) const
{
    std::vector<TicketCandidate> found;
    for (const Candidate& each : m_candidates) {
        if (isEligible(step, *each.worker))
            found.push_back({ each.worker, fits(reservedSize(step), each.free) });
    }
    return found;
}

bool FreeCapacity::hasRoomOnClosedWorker(const Step& step) const
{
    return std::any_of(m_candidates.begin(), m_candidates.end(),
        [&](const Candidate& each) { return each.isClosed && fits(reservedSize(step), each.free); });
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
    for (const Placement& each : placements) {
        m_candidates[static_cast<std::size_t>(each.candidate)].free += reservedSize(step);
        m_startingJobs[static_cast<std::size_t>(each.candidate)] = {};
    }
    if (!placements.empty())
        m_unplaceable.clear();
}

std::vector<Placement> FreeCapacity::placeTasks(
    const JobEntry& entry, int occurrence, int stepNumber, const std::map<WorkerId, std::string>* tickets)
{
    const Step& step = entry.job.spec.steps[static_cast<std::size_t>(stepNumber)];
    m_areColocatedRunsCounted = false;
    if (!mayFit(step) || m_unplaceable.covers(step))
        return {};
    if (dependsOnColocatedRuns(step))
        countColocatedRuns(entry, occurrence, stepNumber);
    closeWorkers(entry, step);
    const bool isSuspectGang = step.isGang && entry.suspects > 0;
    if (!tickets && !isSuspectGang)
        return placeEach(entry, occurrence, stepNumber, false);
    std::vector<Candidate*> excluded;
    for (std::size_t index = 0; index < m_candidates.size(); ++index) {
        Candidate& candidate = m_candidates[index];
        const bool hasTicket = !tickets || tickets->contains(candidate.worker->id);
        const bool isBesideOthers = isSuspectGang && m_workers[index]->hasRecentStart(m_now);
        if (!candidate.isReserved && (!hasTicket || isBesideOthers))
            excluded.push_back(&candidate);
    }
    for (Candidate* candidate : excluded)
        candidate->isReserved = true;
    auto placements = placeEach(entry, occurrence, stepNumber, true);
    for (Candidate* candidate : excluded)
        candidate->isReserved = false;
    return placements;
}

std::vector<Placement> FreeCapacity::placeEach(
    const JobEntry& entry, int occurrence, int stepNumber, bool isLimitedToSomeWorkers)
{
    const Step& step = entry.job.spec.steps[static_cast<std::size_t>(stepNumber)];
    std::vector<Placement> placements;
    for (int index = 0; index < step.count; ++index) {
        if (!entry.isStartable(occurrence, stepNumber, index))
            continue;
        int candidateIndex = chooseSameWorker(step, placements);
        if (candidateIndex < 0) {
            m_state.schedulingCost.workersExamined += m_candidates.size();
            candidateIndex = chooseWorker(step, m_candidates);
        }
        if (candidateIndex < 0) {
            if (dependsOnSizeAndLabelOnly(step) && !isLimitedToSomeWorkers && !m_areJobsApart)
                m_unplaceable.record(step);
            break;
        }
        reserve(candidateIndex, step);
        m_startingJobs[static_cast<std::size_t>(candidateIndex)] = entry.job.id;
        placements.push_back({ index, candidateIndex });
    }
    return placements;
}

/// Tasks of one job go to few workers while jobs are kept apart, so that a crash hits few other jobs. Returns the
/// worker of the latest placement if one more start may be sent there; otherwise -1.
int FreeCapacity::chooseSameWorker(const Step& step, const std::vector<Placement>& placements) const
{
    if (!m_areJobsApart || placements.empty() || dependsOnColocatedRuns(step))
        return -1;
    const int latest = placements.back().candidate;
    const auto index = static_cast<std::size_t>(latest);
    const auto there = std::count_if(
        placements.begin(), placements.end(), [&](const Placement& each) { return each.candidate == latest; });
    const bool mayTakeMore = m_workers[index]->startsInFlight + there < StartWindow::maxPerWorker;
    return mayTakeMore && fits(reservedSize(step), m_candidates[index].free) ? latest : -1;
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
    m_workers[static_cast<std::size_t>(best - m_candidates.data())]->isReserved = true;
    ++m_reservedCount;
}

} // namespace rattanrack::jobs
