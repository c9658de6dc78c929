#pragma once

#include "cell_state.h"
#include "placement_failures.h"
#include "rattanrack/jobs/placement.h"

#include <optional>
#include <vector>

namespace rattanrack::jobs {

/// A worker for one task of a step.
struct Placement {
    int index { 0 }; ///< Of the task.
    int candidate { 0 }; ///< Index into `FreeCapacity::workers`.
};

/// The free capacity of each usable worker during one scheduling pass, which takes from it.
class FreeCapacity {
public:
    FreeCapacity(CellState& state, TimePoint now);

    const std::vector<Worker*>& workers() const { return m_workers; }

    /// False: no worker has had capacity for one task since this pass began.
    bool mayFit(const Step& step) const { return fits(reservedSize(step), m_largestFree); }

    /// The workers on which a task of the step may run, now or later.
    std::vector<TicketCandidate> ticketCandidates(const Step& step) const;

    /// Chooses workers for the waiting tasks of a step, as many as fit, and takes their capacity. With `tickets`, only
    /// workers that have one are chosen.
    std::vector<Placement> placeTasks(
        const JobEntry& entry, int occurrence, int step, const std::map<WorkerId, std::string>* tickets);

    /// Whether a task of the step would fit on a worker that only takes starts of another job now.
    bool hasRoomOnClosedWorker(const Step& step) const;

    /// Gives back capacity that was not used after all.
    void giveBack(const std::vector<Placement>& placements, const Step& step);

    /// Takes a worker for a trial of the tasks, which are of one step, and of as many of them as it has room for;
    /// nothing else starts there in this pass. Empty where none is free for it yet.
    std::vector<Placement> placeTrial(
        const Trial& trial, const std::map<WorkerId, std::string>* tickets, TrialScope scope, TimePoint now);

    /// Reserves a worker for the step: the emptiest one on which a task fits once the finite runs there have ended. The
    /// worker gets no smaller work that comes after the step in this pass.
    void reserveFor(const JobEntry& entry, int occurrence, int step);

private:
    bool mayTakeTrial(const Trial& trial, TrialScope scope) const;
    int chooseTrialWorker(
        const Trial& trial, const std::map<WorkerId, std::string>* tickets, TrialScope scope, TimePoint now) const;
    bool isFreeForTrial(const Trial& trial, std::size_t candidate, TimePoint now) const;
    void keepForTrial(std::size_t candidate, TimePoint now);
    void closeWorkers(const JobEntry& entry, const Step& step);
    int chooseSameWorker(const Step& step, const std::vector<Placement>& placements) const;
    void countColocatedRuns(const JobEntry& entry, int occurrence, int step);
    std::vector<Placement> placeEach(const JobEntry& entry, int occurrence, int step, bool isLimitedToSomeWorkers);
    void addSameStepRuns(int candidateIndex, int runs, const Step& step);
    void reserve(int candidateIndex, const Step& step);

    CellState& m_state;
    TimePoint m_now;
    std::vector<Worker*> m_workers;
    std::vector<Candidate> m_candidates;
    ResourceSize m_largestFree; ///< When the pass began: of each resource, the most that some worker has.
    int m_reservedCount { 0 };
    int m_trialsInProgress { 0 }; ///< Workers on which a trial started in an earlier pass.
    int m_otherRuns { 0 }; ///< Runs apart from trials.
    /// A worker takes the starts of one job at a time.
    bool m_areJobsApart { false };
    std::vector<JobId> m_startingJobs; ///< By candidate: the job that has started there in this pass; empty: none.
    int m_keptForTrials { 0 }; ///< Workers that this pass uses for trials.
    PlacementFailures m_unplaceable;
    PlacementFailures m_unreservable;
    bool m_areColocatedRunsCounted { false }; ///< For the last step that was passed to `placeTasks`.
};

} // namespace rattanrack::jobs
