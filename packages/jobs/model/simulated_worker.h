#pragma once

#include "rattanrack/jobs/worker.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace rattanrack::jobs::model {

/// A worker in virtual time that carries out every start and ends every run as done.
class SimulatedWorker {
public:
    /// A poll with the response of the worker.
    struct AnsweredPoll {
        PollCommand command;
        PollResult result;
        TimePoint sentAt {};
    };

    explicit SimulatedWorker(WorkerDescription description);

    void start(const StartCommand& command, TimePoint endsAt);
    void receive(PollCommand poll, TimePoint sentAt);

    /// Ends the runs that are due; returns how many.
    int endRuns(TimePoint now);

    /// Answers the poll if a run has ended since the last answer, or if the poll has waited long enough. `clockMs`: the
    /// worker's clock.
    std::optional<AnsweredPoll> answerPoll(TimePoint now, std::int64_t clockMs);

private:
    struct ActiveRun {
        TaskRef task;
        RunNumber run { 0 };
        TimePoint endsAt {};
    };

    WorkerDescription m_description;
    std::vector<ActiveRun> m_runs;
    std::vector<EndedRun> m_endedRuns; ///< Not acknowledged.
    std::int64_t m_lastSequence { 0 };
    std::int64_t m_listedThrough { 0 };
    std::optional<PollCommand> m_poll;
    TimePoint m_pollSentAt {};
};

} // namespace rattanrack::jobs::model
