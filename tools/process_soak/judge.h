#pragma once

#include "history.h"

namespace rattanrack::tools {

/// A promise that a play broke, and the job that shows it (empty when it is no job's).
struct Violation {
    std::string rule;
    jobs::JobId job;
    std::string text;
};

/// Checks a finished play: attempts, crashes, double runs, losses, starts on leaving workers, availability, and how
/// long lasting subtasks are without a run.
std::vector<Violation> judge(const History& history);

/// All that was recorded of a job, one line a run, times in seconds since the beginning.
std::string recordOf(const History& history, const jobs::JobId& job);

/// The troubles of a play, one a line.
std::string troublesOf(const History& history);

} // namespace rattanrack::tools
