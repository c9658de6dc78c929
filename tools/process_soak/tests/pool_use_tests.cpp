#include "pool_use.h"

#include <gtest/gtest.h>

using namespace rattanrack;
using namespace rattanrack::tools;
using namespace std::chrono_literals;

namespace {

const jobs::JobId waiting { "00000000000000a1" };
const jobs::WorkerId worker { "i-1" };

TimePoint at(Duration since) { return TimePoint { 100s } + since; }

RunRecord runOf(const jobs::JobId& job, int index, Duration start, std::optional<Duration> end)
{
    RunRecord run { { job, 0, 0, index }, 1, worker, 1, false, at(start) };
    if (end)
        run.endedAt = at(*end);
    return run;
}

/// A job that waits beside `others` runs of another job on one worker, until the play ends at 30 s. The last trouble
/// ends at 20 s.
History waitingBeside(int others)
{
    History made;
    made.beganAt = at(0s);
    made.endedAt = at(30s);
    made.jobs[waiting] = { 1, false, at(5s), std::nullopt, "active", "poolA" };
    made.lives = { { worker, "poolA", at(0s), std::nullopt } };
    made.troubles = { { "SIGKILL", "n1", true, false, at(10s), at(20s) } };
    for (int index = 0; index < others; ++index)
        made.runs.push_back(runOf(jobs::JobId { "00000000000000b1" }, index, 1s, std::nullopt));
    return made;
}

} // namespace

TEST(PoolUse, CountsPlacesOfWorkersThatDoNotDrain)
{
    History made = waitingBeside(3);
    EXPECT_EQ(poolUse(made, "poolA", at(6s)).places, 8);
    EXPECT_EQ(poolUse(made, "poolA", at(6s)).taken, 3);
    EXPECT_EQ(poolUse(made, "poolA", at(6s)).free, 5);
    EXPECT_EQ(poolUse(made, "poolB", at(6s)).places, 0);
    made.drains = { { worker, at(5s), std::nullopt } };
    EXPECT_EQ(poolUse(made, "poolA", at(6s)).places, 0);
}

TEST(PoolUse, WaitBesideAnUnusedHalfCountsFromTheLastTrouble)
{
    EXPECT_EQ(longestWaitBesideUnusedPool(waitingBeside(3), waiting), 10s);
    EXPECT_EQ(longestWaitBesideUnusedPool(waitingBeside(4), waiting), 0s);
}

TEST(PoolUse, RunOfTheJobInterruptsItsWait)
{
    History made = waitingBeside(0);
    made.runs.push_back(runOf(waiting, 0, 23s, 24s));
    EXPECT_EQ(longestWaitBesideUnusedPool(made, waiting), 6s);
}
