#pragma once

#include "rattanrack/jobs/cell.h"

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

/// A cell in a flood, with workers that do all they are told, in virtual time.
namespace rattanrack::jobs::tests {

struct OverloadSize {
    int workers { 12 }; ///< Of 16 cores each.
    int waitingJobs { 400 }; ///< Accepted jobs of which nothing has started; kept up.
    int endedJobs { 0 }; ///< Remembered from before.
};

/// A flood of small jobs beside work that lasts. Runs the same way each time.
class OverloadedCell {
public:
    explicit OverloadedCell(OverloadSize size);

    /// The next 10 ms: callers and workers act, then the cell hears of it and decides. `around` is called with a
    /// function that does the cell's part alone, so that its cost can be told from that of the workers and callers.
    template <typename Around> void tick(Around&& around)
    {
        prepare();
        around([this] { hearAndStep(); });
        takeOutput();
    }
    void tick()
    {
        tick([](const auto& cellPart) { cellPart(); });
    }

    /// Until the pool is full and work comes and goes.
    void warmUp();

    /// One step of the cell with nothing new to hear.
    void advanceWithoutInput();

    Cell& cell() { return m_cell; }
    const JobId& waitingJob() const { return *m_waiting.begin(); }
    std::int64_t startedRuns() const { return m_started; }
    std::int64_t endedRuns() const { return m_ended; }

    /// Of all starts so far and their order: equal when the cell has decided the same.
    std::uint64_t fingerprint() const { return m_fingerprint; }

private:
    struct Present {
        TaskRef task;
        RunNumber run { 0 };
        TimePoint endsAt {};
    };
    struct FloodWorker {
        WorkerDescription description;
        std::vector<Present> runs;
        std::vector<EndedRun> ends;
        std::int64_t lastEnd { 0 };
        std::int64_t listedThrough { 0 };
        std::optional<PollCommand> look;
        TimePoint lookSentAt {};
    };
    struct HeardLook {
        PollCommand order;
        PollResult answer;
        TimePoint sentAt {};
    };

    void prepare();
    void hearAndStep();
    void takeOutput();
    void advance(FloodWorker& worker);
    void answerLook(FloodWorker& worker);
    void begin(const StartCommand& start);
    void submit(Job job);
    Job nextJob();
    void submitLasting();
    std::int64_t unixMs() const { return m_now.time_since_epoch().count() / 1000; }
    std::int64_t clockMs() const { return unixMs() - 900'000; }

    OverloadSize m_size;
    TimePoint m_now { std::chrono::seconds { 100'000 } };
    Cell m_cell;
    std::vector<FloodWorker> m_workers;
    std::unordered_map<WorkerId, std::size_t> m_places;
    std::unordered_map<JobId, Job> m_jobs;
    std::unordered_set<JobId> m_waiting; ///< Of which nothing has started.
    std::vector<Job> m_arrivals;
    std::vector<StartCommand> m_starts; ///< Ordered in the last step.
    std::vector<StopCommand> m_stops;
    std::vector<HeardLook> m_looks;
    CellOutput m_output;
    std::int64_t m_nextJob { 0 };
    int m_ticks { 0 };
    std::int64_t m_started { 0 };
    std::int64_t m_ended { 0 };
    std::uint64_t m_fingerprint { 0 };
};

} // namespace rattanrack::jobs::tests
