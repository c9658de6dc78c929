#include "rattanrack/jobs/placement.h"

#include <algorithm>
#include <tuple>

namespace rattanrack::jobs {

namespace {

/// Lower is better. Ids decide among equals, by the caller.
auto rank(const Step& step, const Candidate& candidate)
{
    const bool isFarFromData = !step.dataRack.empty() && candidate.worker->rack != step.dataRack;
    const bool isSpread = step.isLongRunning || step.mayMiss > 0;
    const int inRack = isSpread ? candidate.sameStepInRack : 0;
    const int onWorker = isSpread ? candidate.sameStep : 0;
    const int disturbed = step.isFiller ? candidate.serving : 0;
    const int neighbours
        = step.isFiller ? candidate.fillers : (step.isLongRunning ? candidate.fillers + candidate.serving : 0);
    const int outsideRack = step.wantsOneRack ? -candidate.sameStepInRack : 0;
    // What lasts keeps to few workers, so that the others can be emptied soon.
    const int together = step.isLongRunning && !step.isFiller ? -candidate.longRunning : 0;
    return std::tuple { isFarFromData, outsideRack, disturbed, onWorker, inRack, neighbours, together,
        -candidate.free.processors.count(), -candidate.free.memory.count() };
}

} // namespace

ResourceSize roomTaken(const Step& step)
{
    ResourceSize size = step.size;
    if (step.isFiller)
        size.processors = {};
    return size;
}

bool isEligible(const Step& step, const WorkerDescription& worker)
{
    const bool hasLabel = step.requiredLabel.empty()
        || std::find(worker.labels.begin(), worker.labels.end(), step.requiredLabel) != worker.labels.end();
    return hasLabel && fits(roomTaken(step), worker.capacity);
}

int choosePlace(const Step& step, const std::vector<Candidate>& candidates)
{
    const ResourceSize needed = roomTaken(step);
    int best = -1;
    decltype(rank(step, candidates.front())) bestRank;
    for (std::size_t at = 0; at < candidates.size(); ++at) {
        const Candidate& candidate = candidates[at];
        const bool isFull = step.maxPerWorker > 0 && candidate.sameStep >= step.maxPerWorker;
        // In a flood hardly any worker has room: the cheapest question comes first.
        if (candidate.isReserved || isFull || !fits(needed, candidate.free) || !isEligible(step, *candidate.worker))
            continue;
        const auto each = rank(step, candidate);
        const bool isBetter = best < 0 || each < bestRank
            || (each == bestRank && candidate.worker->id < candidates[static_cast<std::size_t>(best)].worker->id);
        if (!isBetter)
            continue;
        best = static_cast<int>(at);
        bestRank = each;
    }
    return best;
}

} // namespace rattanrack::jobs
