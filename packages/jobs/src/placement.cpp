#include "rattanrack/jobs/placement.h"

#include <algorithm>
#include <tuple>

namespace rattanrack::jobs {

namespace {

/// Lower is better.
auto rank(const Step& step, const Candidate& candidate)
{
    const bool isFarFromData = !step.dataRack.empty() && candidate.worker->rack != step.dataRack;
    const bool isSpread = step.isLasting || step.mayMiss > 0;
    const int inRack = isSpread ? candidate.sameStepInRack : 0;
    const int onWorker = isSpread ? candidate.sameStep : 0;
    const int disturbed = step.isFiller ? candidate.serving : 0;
    const int neighbours
        = step.isFiller ? candidate.fillers : (step.isLasting ? candidate.fillers + candidate.serving : 0);
    const int outsideRack = step.wantsOneRack ? -candidate.sameStepInRack : 0;
    // What lasts keeps to few workers, so that the others can be emptied soon.
    const int together = step.isLasting && !step.isFiller ? -candidate.lasting : 0;
    return std::tuple { isFarFromData, outsideRack, disturbed, onWorker, inRack, neighbours, together,
        -candidate.free.processors.count(), -candidate.free.memory.count(), candidate.worker->id };
}

} // namespace

ResourceSize roomTaken(const Step& step)
{
    ResourceSize size = step.size;
    if (step.isFiller)
        size.processors = {};
    return size;
}

bool isAllowed(const Step& step, const WorkerDescription& worker)
{
    const bool hasLabel = step.requiredLabel.empty()
        || std::find(worker.labels.begin(), worker.labels.end(), step.requiredLabel) != worker.labels.end();
    return hasLabel && fits(roomTaken(step), worker.capacity);
}

int choosePlace(const Step& step, const std::vector<Candidate>& candidates)
{
    int best = -1;
    for (std::size_t at = 0; at < candidates.size(); ++at) {
        const Candidate& candidate = candidates[at];
        const bool isFull = step.maxPerWorker > 0 && candidate.sameStep >= step.maxPerWorker;
        if (candidate.isReserved || isFull || !fits(roomTaken(step), candidate.free)
            || !isAllowed(step, *candidate.worker))
            continue;
        if (best < 0 || rank(step, candidate) < rank(step, candidates[static_cast<std::size_t>(best)]))
            best = static_cast<int>(at);
    }
    return best;
}

} // namespace rattanrack::jobs
