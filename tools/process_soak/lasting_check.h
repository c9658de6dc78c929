#pragma once

#include "judge.h"

namespace rattanrack::tools {

/// From the end of a long-running subtask's run until its successor has to run.
constexpr Duration restartBound = std::chrono::seconds { 6 };

/// A period in which a subtask of a long-running job had no run, as the workers saw it.
struct LastingGap {
    jobs::TaskRef task;
    TimePoint from {}; ///< End of its last run, or when the job was accepted.
    TimePoint to {}; ///< Its next start, its job's cancellation, or the end of the play.
    const RunRecord* lastRun { nullptr }; ///< Null before the first run.
};

/// All gaps of accepted long-running jobs, until their cancellation was sent. Points into `history`.
std::vector<LastingGap> lastingGaps(const History& history);

/// The subtask, when the gap lasted, and what it follows. Times in seconds since the beginning.
std::string textOf(const History& history, const LastingGap& gap);

/// Whether nothing has been done to the world between `from` and `to`. Processes and workers that end disturb it when
/// they end and when they start again; all other troubles as long as they go on.
bool isCalm(const History& history, TimePoint from, TimePoint to);

/// Rule "LOST (d)": from 6 s after its last run, or its acceptance, a long-running subtask is without a run for 3 s,
/// these and the 4 s before them are calm, and its pool has room for it twice over.
void judgeLastingGaps(const History& history, std::vector<Violation>& found);

} // namespace rattanrack::tools
