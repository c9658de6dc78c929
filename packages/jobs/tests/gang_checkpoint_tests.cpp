#include "two_task_job.h"

using namespace rattanrack;
using namespace rattanrack::jobs;
using namespace rattanrack::jobs::tests;

TEST(GangCheckpoint, MembersStartAgainWithOneCheckpointAfterTheyHaveListedDifferentOnes)
{
    CellHarness harness;
    const auto starts = startTwoTasks(harness, { .isGang = true, .hasCheckpoints = true });
    ASSERT_EQ(starts.size(), 2U);
    const char* checkpoints[] = { "first", "second" };
    for (std::size_t member = 0; member < starts.size(); ++member)
        harness.answerPoll(starts[member].worker.value().c_str(), {},
            { { 1, starts[member].task, starts[member].run, RunOutcome::GangBroken, checkpoints[member] } });
    harness.advance(300ms);
    const auto again = harness.takeCommands<StartCommand>();
    ASSERT_EQ(again.size(), 2U);
    EXPECT_EQ(again[0].checkpoint, "second");
    EXPECT_EQ(again[1].checkpoint, "second");
}
