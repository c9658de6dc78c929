#include "two_task_job.h"

using namespace rattanrack;
using namespace rattanrack::jobs;
using namespace rattanrack::jobs::tests;

/// Failures of one task of a job must not hold up the job's other tasks.
namespace {

constexpr std::int64_t anyUnixMs = 1'000'000;

void fail(CellHarness& harness, const StartCommand& start, std::int64_t sequence)
{
    harness.answerPoll(
        start.worker.value().c_str(), {}, { { sequence, start.task, start.run, RunOutcome::Failed, "" } });
}

/// Both tasks fail; the first one's failure is in the transaction that succeeds, the second one's is not.
std::vector<StartCommand> failOneAfterTheOther(CellHarness& harness)
{
    auto starts = startTwoTasks(harness, {});
    fail(harness, starts.at(0), 1);
    EXPECT_TRUE(harness.cell().takeCommit(anyUnixMs).has_value());
    fail(harness, starts.at(1), 1);
    harness.cell().onCommitted(anyUnixMs);
    harness.advance(300ms);
    return starts;
}

} // namespace

TEST(WideJob, TaskStartsAgainAlthoughAnotherOneHasFailedSince)
{
    CellHarness harness;
    const auto starts = failOneAfterTheOther(harness);
    const auto next = harness.takeCommands<StartCommand>();
    ASSERT_EQ(next.size(), 1U);
    EXPECT_EQ(next[0].task, starts[0].task);
}

TEST(WideJob, TaskWaitsUntilItsOwnFailureIsStored)
{
    CellHarness harness;
    const auto starts = failOneAfterTheOther(harness);
    harness.takeCommands<StartCommand>();
    harness.storeChanges();
    harness.advance(300ms);
    const auto next = harness.takeCommands<StartCommand>();
    ASSERT_EQ(next.size(), 1U);
    EXPECT_EQ(next[0].task, starts[1].task);
}

TEST(WideJob, TaskWaitsForTheNextTransactionIfTheOneWithItsFailureIsLost)
{
    CellHarness harness;
    const auto starts = startTwoTasks(harness, {});
    fail(harness, starts.at(0), 1);
    ASSERT_TRUE(harness.cell().takeCommit(anyUnixMs).has_value());
    harness.cell().onCommitFailed();
    harness.advance(300ms);
    EXPECT_TRUE(harness.takeCommands<StartCommand>().empty());
    harness.storeChanges();
    harness.advance(300ms);
    EXPECT_EQ(harness.takeCommands<StartCommand>().size(), 1U);
}
