#pragma once

#include "cell_harness.h"

#include <vector>

namespace rattanrack::jobs::tests {

/// How the two tasks of a job belong together.
struct TwoTaskStep {
    bool isGang { false };
    bool hasCheckpoints { false };
};

/// A job of two tasks, each of which takes most of a worker.
inline Job twoTaskJob(const TwoTaskStep& step)
{
    constexpr std::int64_t acceptedAtUnixMs = 1'000'000;
    Job job { JobId { "a" }, QueueId { "q" }, acceptedAtUnixMs, { "text", { {} }, {} } };
    job.spec.steps[0].count = 2;
    job.spec.steps[0].isGang = step.isGang;
    job.spec.steps[0].hasCheckpoints = step.hasCheckpoints;
    job.spec.steps[0].size = { Millicores { 800 }, Mebibytes { 100 }, {} };
    return job;
}

/// Returns the starts of a job of two tasks, one on each worker, both of which run.
inline std::vector<StartCommand> startTwoTasks(CellHarness& harness, const TwoTaskStep& step)
{
    harness.cell().submit(twoTaskJob(step), 1, harness.now());
    harness.storeChanges();
    harness.advance(10ms);
    harness.answerAllPolls();
    auto starts = harness.takeCommands<StartCommand>();
    for (const StartCommand& start : starts)
        harness.respond(start, CommandStatus::Done);
    harness.advance(300ms);
    return starts;
}

} // namespace rattanrack::jobs::tests
