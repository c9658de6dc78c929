#include "two_task_job.h"

using namespace rattanrack;
using namespace rattanrack::jobs;
using namespace rattanrack::jobs::tests;

namespace {

constexpr std::int64_t anyUnixMs = 1'000'000;

/// The highest acknowledgement that polls of the worker have carried from now on, for half a second.
std::int64_t acknowledgedThrough(CellHarness& harness, const WorkerId& worker)
{
    std::int64_t highest = 0;
    for (int pass = 0; pass < 10; ++pass) {
        harness.advance(50ms);
        for (const PollCommand& poll : harness.takeCommands<PollCommand>()) {
            if (poll.worker == worker)
                highest = std::max(highest, poll.ackedThrough);
            harness.respond(poll, {});
        }
    }
    return highest;
}

/// The worker lists three failed runs of the task, as many as the queue allows.
void failThreeTimes(CellHarness& harness, const WorkerId& worker, const TaskRef& task)
{
    harness.answerPoll(worker.value().c_str(), {},
        { { 1, task, 1, RunOutcome::Failed, "" }, { 2, task, 2, RunOutcome::Failed, "" },
            { 3, task, 3, RunOutcome::Failed, "" } });
}

} // namespace

TEST(Acknowledgement, WaitsForATransactionInFlightThatContainsTheEnd)
{
    CellHarness harness;
    const auto starts = startTwoTasks(harness, { .isGang = true });
    ASSERT_EQ(starts.size(), 2U);
    const WorkerId second = starts[1].worker;
    harness.answerPoll(
        starts[0].worker.value().c_str(), {}, { { 1, starts[0].task, starts[0].run, RunOutcome::Done, "" } });
    ASSERT_TRUE(harness.cell().takeCommit(anyUnixMs).has_value());
    harness.answerPoll(second.value().c_str(), {}, { { 1, starts[1].task, starts[1].run, RunOutcome::Done, "" } });
    EXPECT_EQ(acknowledgedThrough(harness, second), 0);
    harness.cell().onCommitted(anyUnixMs);
    EXPECT_EQ(acknowledgedThrough(harness, second), 1);
}

TEST(Acknowledgement, RunsOfAFailedJobAreStoppedOnceTheFailureIsStored)
{
    CellHarness harness;
    const auto starts = startTwoTasks(harness, {});
    ASSERT_EQ(starts.size(), 2U);
    failThreeTimes(harness, starts[0].worker, starts[0].task);
    harness.advance(10ms);
    EXPECT_EQ(harness.cell().unfinishedJobs(), 0U);
    EXPECT_TRUE(harness.takeCommands<StopCommand>().empty());
    harness.storeChanges();
    harness.advance(10ms);
    EXPECT_EQ(harness.takeCommands<StopCommand>().size(), 1U);
}

TEST(Acknowledgement, RunThatIsAcceptedAfterItsJobHasFailedIsStoppedOnceTheFailureIsStored)
{
    CellHarness harness;
    harness.cell().submit(twoTaskJob({}), 1, harness.now());
    harness.storeChanges();
    harness.advance(10ms);
    const auto starts = harness.takeCommands<StartCommand>();
    ASSERT_EQ(starts.size(), 2U);
    harness.respond(starts[0], CommandStatus::Done);
    harness.advance(300ms);
    failThreeTimes(harness, starts[0].worker, starts[0].task);
    harness.respond(starts[1], CommandStatus::Done);
    harness.advance(10ms);
    EXPECT_TRUE(harness.takeCommands<StopCommand>().empty());
    harness.storeChanges();
    harness.advance(10ms);
    EXPECT_EQ(harness.takeCommands<StopCommand>().size(), 1U);
}

TEST(Acknowledgement, RunThatIsAdoptedAfterItsJobHasFailedIsStoppedOnceTheFailureIsStored)
{
    CellHarness harness { 2, { { twoTaskJob({}), {} } } };
    const TaskRef failing { JobId { "a" }, 0, 0, 0 };
    const TaskRef running { JobId { "a" }, 0, 0, 1 };
    failThreeTimes(harness, WorkerId { "w1" }, failing);
    ASSERT_EQ(harness.cell().unfinishedJobs(), 0U);
    harness.answerPoll("w2", { { running, 1, "", 0 } });
    harness.advance(10ms);
    EXPECT_TRUE(harness.takeCommands<StopCommand>().empty());
    harness.storeChanges();
    harness.advance(10ms);
    EXPECT_EQ(harness.takeCommands<StopCommand>().size(), 1U);
}
