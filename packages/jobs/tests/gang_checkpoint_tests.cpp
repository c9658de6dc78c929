#include "two_task_job.h"

using namespace rattanrack;
using namespace rattanrack::jobs;
using namespace rattanrack::jobs::tests;

namespace {

/// A member of a gang as its worker lists it.
struct ListedMember {
    std::string checkpoint;
    int percent { 0 };
};

void listRunning(CellHarness& harness, const StartCommand& start, const ListedMember& member)
{
    harness.answerPoll(start.worker.value().c_str(), { { start.task, start.run, member.checkpoint, member.percent } });
    harness.advance(300ms);
}

void listBroken(CellHarness& harness, const StartCommand& start, const std::string& checkpoint)
{
    harness.answerPoll(
        start.worker.value().c_str(), {}, { { 1, start.task, start.run, RunOutcome::GangBroken, checkpoint } });
}

std::vector<StartCommand> startGang(CellHarness& harness)
{
    return startTwoTasks(harness, { .isGang = true, .hasCheckpoints = true });
}

/// Both members start again with the checkpoint.
void expectNextStartWith(CellHarness& harness, const std::string& checkpoint)
{
    harness.advance(300ms);
    const auto again = harness.takeCommands<StartCommand>();
    ASSERT_EQ(again.size(), 2U);
    for (const StartCommand& start : again)
        EXPECT_EQ(start.checkpoint, checkpoint);
}

} // namespace

TEST(GangCheckpoint, MembersStartAgainWithOneCheckpointAfterTheyHaveListedDifferentOnes)
{
    CellHarness harness;
    const auto starts = startGang(harness);
    ASSERT_EQ(starts.size(), 2U);
    listBroken(harness, starts[0], "first");
    listBroken(harness, starts[1], "second");
    expectNextStartWith(harness, "second");
}

TEST(GangCheckpoint, MemberThatListsAnEarlierOneAgainDoesNotReplaceALaterOne)
{
    CellHarness harness;
    const auto starts = startGang(harness);
    ASSERT_EQ(starts.size(), 2U);
    listRunning(harness, starts[0], { "earlier", 10 });
    listRunning(harness, starts[1], { "earlier", 10 });
    listRunning(harness, starts[1], { "later", 20 });
    listRunning(harness, starts[0], { "earlier", 21 });
    listBroken(harness, starts[1], "later");
    listBroken(harness, starts[0], "earlier");
    expectNextStartWith(harness, "later");
}

TEST(GangCheckpoint, MemberWithLessProgressDoesNotReplaceThatOfOneWithMore)
{
    CellHarness harness;
    const auto starts = startGang(harness);
    ASSERT_EQ(starts.size(), 2U);
    listRunning(harness, starts[1], { "ahead", 40 });
    listRunning(harness, starts[0], { "behind", 30 });
    listBroken(harness, starts[1], "ahead");
    listBroken(harness, starts[0], "behind");
    expectNextStartWith(harness, "ahead");
}

TEST(GangCheckpoint, MemberOfAnEarlierRunDoesNotReplaceThatOfALaterRun)
{
    CellHarness harness { 2, { { twoTaskJob({ .isGang = true, .hasCheckpoints = true }), {} } } };
    harness.answerPoll("w1", {}, { { 1, { JobId { "a" }, 0, 0, 0 }, 5, RunOutcome::GangBroken, "later" } });
    harness.answerPoll("w2", {}, { { 1, { JobId { "a" }, 0, 0, 1 }, 4, RunOutcome::GangBroken, "earlier" } });
    expectNextStartWith(harness, "later");
}

TEST(GangCheckpoint, EndOfAnEarlierRunOfASingleTaskDoesNotReplaceThatOfALaterRun)
{
    StoredJob stored { twoTaskJob({ .hasCheckpoints = true }), {} };
    stored.job.spec.steps[0].count = 1;
    CellHarness harness { 2, { stored } };
    const TaskRef task { JobId { "a" }, 0, 0, 0 };
    harness.answerPoll("w1", {}, { { 1, task, 5, RunOutcome::LeaseExpired, "later" } });
    harness.answerPoll("w2", {}, { { 1, task, 4, RunOutcome::LeaseExpired, "earlier" } });
    harness.advance(300ms);
    const auto again = harness.takeCommands<StartCommand>();
    ASSERT_EQ(again.size(), 1U);
    EXPECT_EQ(again[0].checkpoint, "later");
}
