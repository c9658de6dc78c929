#include "rattanrack/jobs/job_codec.h"
#include "two_task_job.h"

using namespace rattanrack;
using namespace rattanrack::jobs;
using namespace rattanrack::jobs::tests;

/// Runs that are presumed to have ended, which a later owner may know better.
namespace {

constexpr std::int64_t anyUnixMs = 1'000'000;

/// The worker does not respond until its leases have ended; the other one lists these runs.
void loseWorker(CellHarness& harness, const WorkerId& lost, const std::vector<RunningRun>& runningElsewhere = {})
{
    for (int pass = 0; pass < 40; ++pass) {
        harness.advance(200ms);
        for (const PollCommand& poll : harness.takeCommands<PollCommand>()) {
            if (poll.worker == lost)
                harness.dropPoll(poll);
            else
                harness.respond(poll, runningElsewhere);
        }
    }
}

/// All workers respond for that long, and run nothing.
void answerPollsFor(CellHarness& harness, Duration time)
{
    for (Duration passed {}; passed < time; passed += 100ms) {
        harness.answerAllPolls();
        harness.advance(100ms);
    }
}

/// A start whose worker is lost until its run is presumed to have ended. Nothing is stored meanwhile.
StartCommand startOnLostWorker(CellHarness& harness)
{
    StartCommand start = harness.submitAndTakeStart("a");
    harness.respond(start, CommandStatus::Done);
    harness.surviveStart(start);
    loseWorker(harness, start.worker);
    EXPECT_EQ(harness.runEvents(RunEvent::Kind::PresumedEnded).size(), 1U);
    return start;
}

StoredJob jobOfPreviousOwner()
{
    Job job { JobId { "a" }, QueueId { "q" }, anyUnixMs, { "text", { {} }, {} } };
    job.spec.steps[0].size = { Millicores { 800 }, Mebibytes { 100 }, {} };
    return { std::move(job), {} };
}

/// What the next owner reads.
StoredJob storedJob(CellHarness& harness)
{
    StoredJob stored = jobOfPreviousOwner();
    const auto commit = harness.cell().takeCommit(anyUnixMs);
    for (const CellRow& row : commit.value_or(CellCommit {}).rows) {
        if (row.kind == CellRow::Kind::Progress)
            stored.progress = valueOrNothing([&] { return decodeProgress(row.value.value()); }).value();
    }
    return stored;
}

std::string otherWorker(const WorkerId& worker) { return worker.value() == "w1" ? "w2" : "w1"; }

} // namespace

TEST(PresumedEnd, NextRunStartsOnlyOnceItIsStored)
{
    CellHarness harness;
    const StartCommand start = startOnLostWorker(harness);
    EXPECT_TRUE(harness.takeCommands<StartCommand>().empty());
    harness.storeChanges();
    harness.advance(10ms);
    const auto next = harness.takeCommands<StartCommand>();
    ASSERT_EQ(next.size(), 1U);
    EXPECT_EQ(next[0].worker.value(), otherWorker(start.worker));
}

TEST(PresumedEnd, NextRunDoesNotStartOnATransactionSentBefore)
{
    CellHarness harness;
    const auto starts = startTwoTasks(harness, {});
    ASSERT_EQ(starts.size(), 2U);
    harness.answerPoll(
        starts[1].worker.value().c_str(), {}, { { 1, starts[1].task, starts[1].run, RunOutcome::Failed, "" } });
    ASSERT_TRUE(harness.cell().takeCommit(anyUnixMs).has_value());
    loseWorker(harness, starts[0].worker);
    ASSERT_EQ(harness.runEvents(RunEvent::Kind::PresumedEnded).size(), 1U);
    harness.cell().onCommitted(anyUnixMs);
    harness.advance(10ms);
    const auto next = harness.takeCommands<StartCommand>();
    ASSERT_EQ(next.size(), 1U) << "the transaction has stored the failure of the other task alone";
    EXPECT_EQ(next[0].task, starts[1].task);
}

TEST(PresumedEnd, GangStartsAgainOnlyOnceThatOfEachMemberIsStored)
{
    CellHarness harness;
    const auto starts = startTwoTasks(harness, { .isGang = true });
    ASSERT_EQ(starts.size(), 2U);
    harness.answerPoll(
        starts[0].worker.value().c_str(), {}, { { 1, starts[0].task, starts[0].run, RunOutcome::Failed, "" } });
    ASSERT_TRUE(harness.cell().takeCommit(anyUnixMs).has_value());
    loseWorker(harness, starts[1].worker);
    ASSERT_EQ(harness.runEvents(RunEvent::Kind::PresumedEnded).size(), 1U);
    harness.cell().onCommitted(anyUnixMs);
    answerPollsFor(harness, 1s);
    EXPECT_TRUE(harness.takeCommands<StartCommand>().empty());
    harness.storeChanges();
    answerPollsFor(harness, 1s);
    EXPECT_EQ(harness.takeCommands<StartCommand>().size(), 2U);
}

TEST(PresumedEnd, EndAsDoneDoesNotCountWhileAReplacedOwnerMayStartTheNextRun)
{
    CellHarness replaced;
    const StartCommand start = startOnLostWorker(replaced);
    CellHarness harness { 2, { storedJob(replaced) } };
    harness.answerPoll(start.worker.value().c_str(), {}, { { 1, start.task, start.run, RunOutcome::Done, "" } });
    const RunningRun next { start.task, start.run + 1, "", 0 };
    harness.answerPoll(otherWorker(start.worker).c_str(), { next });
    harness.advance(10ms);
    const auto adopted = harness.runEvents(RunEvent::Kind::Adopted);
    ASSERT_EQ(adopted.size(), 1U);
    EXPECT_EQ(adopted[0].detail, "wanted");
    EXPECT_EQ(harness.cell().unfinishedJobs(), 1U);
}

TEST(PresumedEnd, EndAsDoneCountsOnceNoReplacedOwnerCanStartTheNextRun)
{
    CellHarness replaced;
    const StartCommand start = startOnLostWorker(replaced);
    CellHarness harness { 2, { storedJob(replaced) } };
    harness.answerPoll(otherWorker(start.worker).c_str(), {});
    harness.answerPoll(start.worker.value().c_str(), {}, {});
    harness.advance(300ms);
    harness.answerPoll(start.worker.value().c_str(), {}, { { 1, start.task, start.run, RunOutcome::Done, "" } });
    EXPECT_EQ(harness.cell().unfinishedJobs(), 0U);
}

TEST(PresumedEnd, RecoveryThatEndsByTimeWaitsForATransactionSentAfterwards)
{
    CellHarness harness { 2, { jobOfPreviousOwner() } };
    harness.answerPoll("w2", {});
    loseWorker(harness, WorkerId { "w1" });
    loseWorker(harness, WorkerId { "w1" });
    EXPECT_TRUE(harness.cell().isRecovering());
    EXPECT_TRUE(harness.cell().needsConfirmation());
    EXPECT_TRUE(harness.takeCommands<StartCommand>().empty());
    harness.confirmOwnership();
    harness.advance(10ms);
    EXPECT_EQ(harness.takeCommands<StartCommand>().size(), 1U);
}

TEST(PresumedEnd, EndAsDoneDoesNotCountFromAWorkerThatThePreviousOwnerHasReleased)
{
    CellHarness harness { 2, { jobOfPreviousOwner() } };
    auto workers = harness.listed();
    workers.push_back(workers[0]);
    workers[2].id = WorkerId { "w3" };
    workers[2].machine = MachineId { "w3" };
    harness.listWorkers(workers);
    harness.advance(10ms);
    harness.answerPoll("w3", {}, { { 1, { JobId { "a" }, 0, 0, 0 }, 1, RunOutcome::Done, "" } });
    EXPECT_EQ(harness.cell().unfinishedJobs(), 1U);
}

TEST(PresumedEnd, MachineIsDrainedOnlyOnceATransactionSentAfterwardsHasSucceeded)
{
    CellHarness harness;
    const StartCommand start = harness.submitAndTakeStart("a");
    harness.respond(start, CommandStatus::Done);
    harness.surviveStart(start);
    harness.cell().setDrainingMachines({ MachineId { start.worker.value() } });
    loseWorker(harness, start.worker);
    ASSERT_EQ(harness.runEvents(RunEvent::Kind::PresumedEnded).size(), 1U);
    EXPECT_TRUE(harness.cell().drainedMachines().empty());
    harness.confirmOwnership();
    harness.confirmOwnership(); // The first transaction proves the end, the second one stores the machine as drained.
    EXPECT_EQ(harness.cell().drainedMachines().size(), 1U);
}

TEST(PresumedEnd, EndAsDoneOfAGangCountsFromAMemberThatIsNotPresumedToHaveEnded)
{
    CellHarness replaced;
    const auto starts = startTwoTasks(replaced, { .isGang = true });
    ASSERT_EQ(starts.size(), 2U);
    loseWorker(replaced, starts[1].worker, { { starts[0].task, starts[0].run, "", 0 } });
    ASSERT_EQ(replaced.runEvents(RunEvent::Kind::PresumedEnded).size(), 1U);
    StoredJob stored = storedJob(replaced);
    stored.job = twoTaskJob({ .isGang = true });
    CellHarness harness { 2, { stored } };
    harness.answerPoll(
        starts[0].worker.value().c_str(), {}, { { 1, starts[0].task, starts[0].run, RunOutcome::Done, "" } });
    EXPECT_EQ(harness.cell().unfinishedJobs(), 0U);
}

TEST(PresumedEnd, RecoveryByContactWithALaterIncarnationWaitsForATransaction)
{
    CellHarness harness { 2, { jobOfPreviousOwner() } };
    harness.advance(5s);
    harness.restartWorker(WorkerId { "w1" });
    harness.answerPoll("w2", {});
    harness.answerPoll("w1", {});
    harness.advance(10ms);
    EXPECT_TRUE(harness.cell().isRecovering());
    EXPECT_TRUE(harness.cell().needsConfirmation());
    EXPECT_TRUE(harness.takeCommands<StartCommand>().empty());
    harness.confirmOwnership();
    harness.advance(10ms);
    EXPECT_FALSE(harness.cell().isRecovering());
}

TEST(PresumedEnd, ListedWorkerThatNeverRespondedLeavesTheOwnerRow)
{
    CellHarness harness { 2, { jobOfPreviousOwner() } };
    harness.answerPoll("w2", {});
    EXPECT_TRUE(harness.cell().workersInUse().contains(WorkerId { "w1" }));
    loseWorker(harness, WorkerId { "w1" });
    loseWorker(harness, WorkerId { "w1" });
    EXPECT_FALSE(harness.cell().workersInUse().contains(WorkerId { "w1" }));
}
