#pragma once

#include "../model/simulated_worker.h"
#include "rattanrack/jobs/cell.h"

#include <cstdint>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

/// An overloaded cell in virtual time, with workers that carry out every command.
namespace rattanrack::jobs::tests {

struct OverloadSize {
    int workers { 12 }; ///< With 16 cores each.
    int waitingJobs { 400 }; ///< Accepted jobs of which no task has started; kept at this number.
    int endedJobs { 0 }; ///< Jobs that had ended before and are still kept.
};

/// Overloads a cell with small jobs while long-running jobs run beside them. Deterministic.
class OverloadedCell {
public:
    explicit OverloadedCell(OverloadSize size);

    /// Simulates the next 10 ms: callers and workers act, then the cell processes their calls and results and decides.
    /// `around` is called with a function that runs the cell's part alone, so that its cost can be measured without
    /// that of the workers and callers.
    template <typename Around> void tick(Around&& around)
    {
        simulateWorkersAndCallers();
        around([this] { runCell(); });
        collectCommands();
    }
    void tick()
    {
        tick([](const auto& runCellPart) { runCellPart(); });
    }

    /// Ticks until the pool is full and runs start and end steadily.
    void warmUp();

    /// Advances the cell once without new input.
    void advanceWithoutInput();

    Cell& cell() { return m_cell; }
    /// A job of which no start has been issued.
    const JobId& waitingJob() const;
    std::int64_t startedRuns() const { return m_startedRuns; }
    std::int64_t endedRuns() const { return m_endedRuns; }

    /// Hash of all starts so far and their order; equal if the cell has made the same decisions.
    std::uint64_t fingerprint() const { return m_fingerprint; }

private:
    void simulateWorkersAndCallers();
    void storeWorkersOnceAllHaveResponded();
    void runCell();
    void collectCommands();
    void startRun(const StartCommand& start);
    void submit(Job job);
    Job nextJob();
    void submitLongRunning();
    std::int64_t unixMs() const { return m_now.time_since_epoch().count() / 1000; }
    std::int64_t clockMs() const { return unixMs() - 900'000; }

    OverloadSize m_size;
    TimePoint m_now { std::chrono::seconds { 100'000 } };
    Cell m_cell;
    std::vector<model::SimulatedWorker> m_workers;
    std::unordered_map<WorkerId, std::size_t> m_workerIndexes;
    std::unordered_map<JobId, Job> m_jobs;
    std::unordered_set<JobId> m_waitingJobs; ///< Jobs of which no task has started.
    std::vector<Job> m_arrivals;
    std::vector<StartCommand> m_starts; ///< Issued in the last tick.
    std::vector<StopCommand> m_stops;
    std::vector<model::SimulatedWorker::AnsweredPoll> m_answeredPolls;
    CellOutput m_output;
    std::int64_t m_nextJob { 0 };
    int m_ticks { 0 };
    bool m_areWorkersStored { false };
    std::int64_t m_startedRuns { 0 };
    std::int64_t m_endedRuns { 0 };
    std::uint64_t m_fingerprint { 0 };
};

} // namespace rattanrack::jobs::tests
