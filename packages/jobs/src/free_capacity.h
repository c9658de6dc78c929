#pragma once

#include "cell_state.h"
#include "placement_failures.h"
#include "rattanrack/jobs/placement.h"

#include <optional>
#include <vector>

namespace rattanrack::jobs {

/// A place for one subtask of a step.
struct Placement {
    int index { 0 }; ///< Of the subtask.
    int candidate { 0 }; ///< Of the worker among the room's.
};

/// The room that is left on each usable worker, while one pass of decisions takes from it.
class FreeCapacity {
public:
    FreeCapacity(CellState& state, TimePoint now);

    const std::vector<Worker*>& workers() const { return m_workers; }

    /// False: no worker has had room for one subtask since this pass began.
    bool mayFit(const Step& step) const { return fits(reservedSize(step), m_largestFree); }

    /// Places for the waiting subtasks of a step, as many as there are; their room is taken. With `tickets`, only
    /// workers that have one.
    std::vector<Placement> placeSubtasks(
        const JobEntry& entry, int occurrence, int step, const std::map<WorkerId, std::string>* tickets);

    /// Gives room back that was not used after all.
    void giveBack(const std::vector<Placement>& placements, const Step& step);

    /// Keeps the emptiest worker that could hold the step, once the finite work there has ended, free of smaller work
    /// that comes after it.
    void reserveFor(const JobEntry& entry, int occurrence, int step);

private:
    void countNeighbours(const JobEntry& entry, int occurrence, int step);
    std::vector<Placement> placeEach(const JobEntry& entry, int occurrence, int step, bool isLimitedByTickets);
    void addSameStep(int place, int runs, const Step& step);
    void take(int place, const Step& step);

    CellState& m_state;
    std::vector<Worker*> m_workers;
    std::vector<Candidate> m_candidates;
    ResourceSize m_largestFree; ///< When the pass began: of each kind, the most that some worker has.
    int m_reserved { 0 };
    PlacementFailures m_withoutPlace;
    PlacementFailures m_withoutReserve;
    bool m_areNeighboursCounted { false }; ///< For the step that was handed to `place` last.
};

} // namespace rattanrack::jobs
