#include "room.h"

#include <algorithm>

namespace rattanrack::jobs {

namespace {

constexpr int reservedShare = 3; ///< One worker of this many may be kept free for large work.

bool isUsable(const Worker& worker, const CellState& state, TimePoint now)
{
    return worker.isListed && worker.contact == WorkerContact::InTouch && worker.clock.isKnown()
        && !worker.description.isDraining && !worker.isClosedFor(now) && worker.mayTakeStarts()
        && state.storedWorkers.contains(worker.description.id) && !state.closing.contains(worker.description.machine);
}

bool looksAtNeighbours(const Step& step)
{
    return step.isLasting || step.isFiller || step.maxPerWorker > 0 || step.wantsOneRack || step.mayMiss > 0;
}

std::vector<Candidate> withTickets(std::vector<Candidate> candidates, const std::map<WorkerId, std::string>& tickets)
{
    for (Candidate& candidate : candidates)
        candidate.isReserved = candidate.isReserved || !tickets.contains(candidate.worker->id);
    return candidates;
}

/// One more subtask of the step runs there.
void addNeighbour(Candidate& candidate, const Step& step)
{
    candidate.fillers += step.isFiller ? 1 : 0;
    candidate.lasting += step.isLasting && !step.isFiller ? 1 : 0;
    candidate.serving += step.latencyTarget > Duration::zero() ? 1 : 0;
}

} // namespace

Room::Room(CellState& state, TimePoint now)
    : m_state(state)
{
    for (auto& [id, worker] : state.workers) {
        if (!isUsable(worker, state, now))
            continue;
        Candidate candidate { &worker.description, worker.description.capacity };
        candidate.free -= worker.used;
        candidate.freeSoon = worker.description.capacity;
        candidate.freeSoon -= worker.usedByLasting();
        m_workers.push_back(&worker);
        m_candidates.push_back(candidate);
    }
}

void Room::countNeighbours(const JobEntry& entry, int occurrence, int step)
{
    for (Candidate& candidate : m_candidates)
        candidate.sameStep = candidate.sameStepInRack = candidate.lasting = candidate.serving = candidate.fillers = 0;
    for (std::size_t at = 0; at < m_candidates.size(); ++at) {
        for (const auto& [task, run] : m_workers[at]->runs) {
            const JobEntry* other = m_state.find(task.job);
            if (!other || !other->progress.has(task))
                continue;
            addNeighbour(m_candidates[at], CellState::stepOf(*other, task));
            if (other != &entry || task.occurrence != occurrence || task.step != step)
                continue;
            ++m_candidates[at].sameStep;
            for (Candidate& each : m_candidates)
                each.sameStepInRack += each.worker->rack == m_candidates[at].worker->rack ? 1 : 0;
        }
    }
}

void Room::take(int place, const Step& step)
{
    Candidate& candidate = m_candidates[static_cast<std::size_t>(place)];
    candidate.free -= roomTaken(step);
    ++candidate.sameStep;
    addNeighbour(candidate, step);
    for (Candidate& other : m_candidates)
        other.sameStepInRack += other.worker->rack == candidate.worker->rack ? 1 : 0;
}

void Room::give(const std::vector<Placement>& placements, const Step& step)
{
    for (const Placement& each : placements)
        m_candidates[static_cast<std::size_t>(each.place)].free += roomTaken(step);
}

std::vector<Placement> Room::place(
    const JobEntry& entry, int occurrence, int stepNumber, const std::map<WorkerId, std::string>* tickets)
{
    const Step& step = entry.job.spec.steps[static_cast<std::size_t>(stepNumber)];
    if (looksAtNeighbours(step))
        countNeighbours(entry, occurrence, stepNumber);
    std::vector<Placement> placements;
    for (int index = 0; index < step.count; ++index) {
        if (!entry.isStartable({ entry.job.id, occurrence, stepNumber, index }))
            continue;
        const int place
            = tickets ? choosePlace(step, withTickets(m_candidates, *tickets)) : choosePlace(step, m_candidates);
        if (place < 0)
            break;
        take(place, step);
        placements.push_back({ index, place });
    }
    return placements;
}

void Room::reserveFor(const Step& step)
{
    const int most = std::max(1, static_cast<int>(m_candidates.size()) / reservedShare);
    if (m_reserved >= most)
        return;
    Candidate* best = nullptr;
    for (Candidate& candidate : m_candidates) {
        const bool isFull = step.maxPerWorker > 0 && candidate.sameStep >= step.maxPerWorker;
        const bool isBetter = !best || candidate.free.processors > best->free.processors;
        const bool fitsSoon = fits(roomTaken(step), candidate.freeSoon);
        if (!candidate.isReserved && !isFull && fitsSoon && isAllowed(step, *candidate.worker) && isBetter)
            best = &candidate;
    }
    if (!best)
        return;
    best->isReserved = true;
    ++m_reserved;
}

} // namespace rattanrack::jobs
