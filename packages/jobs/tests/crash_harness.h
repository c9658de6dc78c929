#pragma once

#include "cell_harness.h"

#include <vector>

/// A cell in which tasks crash workers.
namespace rattanrack::jobs::tests {

using namespace std::chrono_literals;

inline constexpr Duration calmTime
    = std::chrono::seconds { 30 }; ///< After which the workers are settled and no other crash is recent.

/// The worker's process ends some ms after it has answered the start; it returns 3 s later.
inline void crashUnder(CellHarness& harness, const StartCommand& start)
{
    harness.respond(start, CommandStatus::Done);
    harness.advance(10ms);
    for (const PollCommand& poll : harness.takeCommands<PollCommand>()) {
        if (poll.worker == start.worker)
            harness.endConnection(poll);
        else
            harness.respond(poll, {});
    }
    harness.storeChanges();
    harness.restartWorker(start.worker);
}

/// Advances until a start is issued, while all workers that are up respond and run nothing; at most `longest`.
inline std::vector<StartCommand> takeNextStarts(CellHarness& harness, Duration longest)
{
    const TimePoint until = harness.now() + longest;
    while (harness.now() < until) {
        harness.advance(50ms);
        harness.answerAllPolls();
        harness.listIncarnations();
        harness.confirmOwnership();
        harness.storeChanges();
        auto starts = harness.takeCommands<StartCommand>();
        if (!starts.empty())
            return starts;
    }
    return {};
}

/// A harness whose workers have been up for a while.
inline CellHarness calmHarness()
{
    CellHarness harness;
    harness.bindCommands();
    harness.advance(calmTime);
    harness.answerAllPolls();
    harness.listWorkers(harness.listed());
    harness.confirmOwnership();
    return harness;
}

} // namespace rattanrack::jobs::tests
