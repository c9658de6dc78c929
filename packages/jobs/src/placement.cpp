#include "rattanrack/jobs/placement.h"

#include <algorithm>
#include <tuple>

namespace rattanrack::jobs {

namespace {

/// Lower is better. The caller breaks ties by id.
auto rank(const Step& step, const Candidate& candidate)
{
    const bool isFarFromData = !step.dataRack.empty() && candidate.worker->rack != step.dataRack;
    const bool isSpread = step.isLongRunning || step.maxUnavailable > 0;
    const int inRack = isSpread ? candidate.sameStepRunsInRack : 0;
    const int onWorker = isSpread ? candidate.sameStepRuns : 0;
    const int servingBeside = step.isBestEffort ? candidate.serving : 0;
    const int colocated = step.isBestEffort ? candidate.bestEffortRuns
                                            : (step.isLongRunning ? candidate.bestEffortRuns + candidate.serving : 0);
    const int outsideRack = step.prefersOneRack ? -candidate.sameStepRunsInRack : 0;
    // Long-running tasks stay on few workers, so that the others can be drained soon.
    const int concentration = step.isLongRunning && !step.isBestEffort ? -candidate.longRunning : 0;
    return std::tuple { isFarFromData, outsideRack, servingBeside, onWorker, inRack, colocated, concentration,
        -candidate.free.processors.count(), -candidate.free.memory.count() };
}

} // namespace

ResourceSize reservedSize(const Step& step)
{
    ResourceSize size = step.size;
    if (step.isBestEffort)
        size.processors = {};
    return size;
}

bool isEligible(const Step& step, const WorkerDescription& worker)
{
    const bool hasLabel = step.requiredLabel.empty()
        || std::find(worker.labels.begin(), worker.labels.end(), step.requiredLabel) != worker.labels.end();
    return hasLabel && fits(reservedSize(step), worker.capacity);
}

int chooseWorker(const Step& step, const std::vector<Candidate>& candidates)
{
    const ResourceSize needed = reservedSize(step);
    int best = -1;
    decltype(rank(step, candidates.front())) bestRank;
    for (std::size_t at = 0; at < candidates.size(); ++at) {
        const Candidate& candidate = candidates[at];
        const bool isFull = step.maxPerWorker > 0 && candidate.sameStepRuns >= step.maxPerWorker;
        // In an overload hardly any worker has free capacity, so the cheapest check comes first.
        if (candidate.isReserved || candidate.isClosed || isFull || !fits(needed, candidate.free)
            || !isEligible(step, *candidate.worker))
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
