#include "cell_harness.h"
#include "rattanrack/jobs/lease_clock.h"

using namespace rattanrack;
using namespace rattanrack::jobs;
using namespace rattanrack::jobs::tests;
using namespace std::chrono_literals;

/// What an owner may decide while ended runs are not stored, workers are not contacted, or commands of a previous owner
/// may still take effect.
namespace {

constexpr auto longestStop = 900ms; ///< Of a run that a stop was sent for.

Job finiteJob()
{
    Job job { JobId { "a" }, QueueId { "q" }, 1, { "text", { {} }, {} } };
    job.spec.steps[0].size = { Millicores { 800 }, Mebibytes { 100 }, {} };
    job.spec.steps[0].declaredRunTime = 500ms;
    return job;
}

/// Two tasks, one on each worker, of which one may be unavailable.
Job longRunningJob()
{
    Job job = finiteJob();
    Step& step = job.spec.steps[0];
    step.count = 2;
    step.isLongRunning = true;
    step.maxUnavailable = 1;
    return job;
}

TaskRef taskOf(const char* job, int index = 0) { return { JobId { job }, 0, 0, index }; }

/// Starts the job's only task; the worker confirms that it runs.
StartCommand startAndConfirm(CellHarness& harness)
{
    StartCommand start = harness.submitAndTakeStart("a");
    harness.respond(start, CommandStatus::Done);
    harness.advance(60ms);
    return start;
}

/// Time from a takeover until the job's only task is started; w1 is gone, w2 responds. At most 40 s.
Duration timeUntilStartWithoutW1(CellHarness& next)
{
    const TimePoint from = next.now();
    while (next.now() - from < 40s) {
        for (const PollCommand& poll : next.takeCommands<PollCommand>()) {
            if (poll.worker.value() == "w1")
                next.cell().onResult(poll, { CommandStatus::NoResponse }, next.now(), next.now());
            else
                next.respond(poll, {});
        }
        next.advance(30ms);
        next.confirmOwnership();
        if (!next.takeCommands<StartCommand>().empty())
            break;
    }
    return next.now() - from;
}

} // namespace

TEST(CellTakeover, FailuresOfEarlierRunsCountInAnyOrderOfContact)
{
    CellHarness harness { 2, { { finiteJob(), { 0, false, false, false, { { 0, 0, 0, false, { 1 } } } } } } };
    harness.answerPoll("w2", {}, { { 24, taskOf("a"), 3, RunOutcome::Failed, "" } });
    harness.answerPoll("w1", {}, { { 26, taskOf("a"), 2, RunOutcome::Failed, "" } });
    harness.storeChanges();
    harness.advance(500ms);
    EXPECT_TRUE(harness.takeCommands<StartCommand>().empty());
    EXPECT_EQ(harness.cell().state(JobId { "a" }), JobState::Failed);
}

TEST(CellTakeover, FailedTaskIsNotStartedAgainBeforeItsFailureIsStored)
{
    CellHarness harness;
    const StartCommand first = startAndConfirm(harness);
    harness.answerPoll(first.worker.value().c_str(), {}, { { 1, first.task, first.run, RunOutcome::Failed, "" } });
    harness.advance(500ms);
    EXPECT_TRUE(harness.takeCommands<StartCommand>().empty()); // The failure is recorded by this owner alone.
    harness.storeChanges();
    harness.advance(10ms);
    EXPECT_EQ(harness.takeCommands<StartCommand>().size(), 1U);
}

TEST(CellTakeover, UnlistedWorkerStaysInUseUntilItsEndedRunsAreStored)
{
    CellHarness harness;
    const StartCommand start = startAndConfirm(harness);
    harness.answerPoll(start.worker.value().c_str(), {}, { { 1, start.task, start.run, RunOutcome::Done, "" } });
    auto workers = harness.listed();
    std::erase_if(workers, [&](const WorkerDescription& worker) { return worker.id == start.worker; });
    harness.listWorkers(workers);
    EXPECT_TRUE(harness.cell().workersInUse().contains(start.worker));
    harness.storeChanges();
    EXPECT_FALSE(harness.cell().workersInUse().contains(start.worker));
}

TEST(CellTakeover, RowOfAnEarlierWorkerDoesNotReleaseTheLaterOneOnItsMachine)
{
    CellHarness harness { 2, { { finiteJob(), {} } } };
    auto workers = harness.listed(); // The later worker, and the row of the crashed one before it.
    workers.push_back(workers[0]);
    workers.back().id = WorkerId { "w0" };
    workers.back().incarnationUnixMs = 0;
    harness.listWorkers(workers);
    harness.answerPoll("w2", {});
    harness.advance(500ms);
    EXPECT_TRUE(harness.takeCommands<StartCommand>().empty());
    harness.answerPoll("w1", {});
    harness.advance(500ms);
    EXPECT_EQ(harness.takeCommands<StartCommand>().size(), 1U);
}

TEST(CellTakeover, WorkerListFromBeforeTheTakeoverReleasesNoWorker)
{
    CellHarness harness { 2, { { finiteJob(), {} } } };
    auto workers = harness.listed();
    workers[0].id = WorkerId { "w0" }; // The worker before w1 on its machine.
    harness.listWorkersAsOf(workers, harness.now() - 5s);
    harness.listWorkers(harness.listed()); // This list is recent.
    harness.answerPoll("w2", {});
    harness.advance(500ms);
    EXPECT_TRUE(harness.takeCommands<StartCommand>().empty());
}

TEST(CellTakeover, InheritedRunThatMayBeStoppingCountsAsUnavailable)
{
    CellHarness harness { 2, { { longRunningJob(), {} } } };
    // A previous owner may have sent a stop for this run, which is listed until it has ended.
    harness.answerPoll("w1", { { taskOf("a", 0), 1, "", 100 } });
    harness.answerPoll("w2", { { taskOf("a", 1), 1, "", 100 } });
    harness.cell().setDrainingMachines({ MachineId { "w2" } });
    const TimePoint contactedAt = harness.now();
    constexpr auto period = 30ms;
    while (harness.now() - contactedAt < longestStop - period) {
        harness.advance(period);
        EXPECT_TRUE(harness.takeCommands<StopCommand>().empty())
            << (harness.now() - contactedAt).count() << " us after the takeover";
    }
    harness.advance(2 * period);
    EXPECT_EQ(harness.takeCommands<StopCommand>().size(), 1U); // Neither was being stopped.
}

TEST(CellTakeover, StartIsNotRetriedOnADrainingWorker)
{
    CellHarness harness;
    const StartCommand start = harness.submitAndTakeStart("a");
    harness.respond(start, CommandStatus::NoResponse);
    auto workers = harness.listed();
    for (WorkerDescription& worker : workers)
        worker.isDraining = worker.id == start.worker;
    harness.listWorkers(workers);
    harness.advance(300ms);
    EXPECT_TRUE(harness.takeCommands<StartCommand>().empty());
    EXPECT_EQ(harness.takeCommands<StopCommand>().size(), 1U); // Its result proves that the start has no effect.
}

TEST(CellTakeover, StartIsNotRetriedOnAWorkerThatHasShrunk)
{
    CellHarness harness;
    const StartCommand start = harness.submitAndTakeStart("a");
    harness.respond(start, CommandStatus::NoResponse);
    auto workers = harness.listed();
    for (WorkerDescription& worker : workers)
        worker.capacity.processors = Millicores { 700 };
    harness.listWorkers(workers);
    harness.dropPolls();
    harness.advance(300ms);
    EXPECT_TRUE(harness.takeCommands<StartCommand>().empty());
    EXPECT_TRUE(harness.takeCommands<StopCommand>().empty()); // The run may be at work.
    harness.answerPoll(start.worker.value().c_str(), {});
    harness.advance(60ms);
    EXPECT_TRUE(harness.takeCommands<StartCommand>().empty());
    EXPECT_EQ(harness.takeCommands<StopCommand>().size(), 1U); // Its result proves that the start has no effect.
}

TEST(CellTakeover, UnansweredStartIsNotStoppedOnAWorkerThatHasShrunkOnceItIsListed)
{
    CellHarness harness;
    const StartCommand start = harness.submitAndTakeStart("a");
    harness.respond(start, CommandStatus::NoResponse);
    auto workers = harness.listed();
    for (WorkerDescription& worker : workers)
        worker.capacity.processors = Millicores { 700 };
    harness.listWorkers(workers);
    harness.dropPolls();
    harness.advance(300ms);
    harness.answerPoll(start.worker.value().c_str(), { { start.task, start.run } });
    harness.advance(300ms);
    EXPECT_TRUE(harness.takeCommands<StopCommand>().empty());
}

TEST(CellTakeover, RunOfAnUnknownJobUsesCapacityUntilItIsGone)
{
    CellHarness harness { 2, {} };
    const RunningRun unknown { { JobId { "removed" }, 0, 0, 0 }, 1 };
    for (const char* worker : { "w1", "w2" })
        harness.answerPoll(worker, { unknown });
    harness.submitAndStore("a");
    harness.advance(100ms);
    EXPECT_TRUE(harness.takeCommands<StartCommand>().empty());
    EXPECT_EQ(harness.takeCommands<StopCommand>().size(), 2U);
}

TEST(CellTakeover, JobOfAnUnknownQueueKeepsItsAcceptedAttempts)
{
    Job job = finiteJob();
    job.queue = QueueId { "of a route that was removed" };
    job.maxAttempts = 2;
    CellHarness harness { 2, { { job, {} } } };
    harness.answerPoll("w1", {}, { { 1, taskOf("a"), 1, RunOutcome::Failed, "" } });
    harness.answerPoll("w2", {});
    harness.storeChanges();
    EXPECT_NE(harness.cell().state(JobId { "a" }), JobState::Failed);
    harness.advance(500ms);
    const auto starts = harness.takeCommands<StartCommand>();
    ASSERT_EQ(starts.size(), 1U);
    harness.respond(starts[0], CommandStatus::Done);
    harness.advance(60ms);
    harness.answerPoll(
        starts[0].worker.value().c_str(), {}, { { 2, taskOf("a"), starts[0].run, RunOutcome::Failed, "" } });
    harness.storeChanges();
    EXPECT_EQ(harness.cell().state(JobId { "a" }), JobState::Failed);
}

TEST(CellTakeover, JobWithoutKnownAttemptsWaitsForItsQueueSettings)
{
    Job job = finiteJob();
    job.queue = QueueId { "not yet in force here" };
    CellHarness harness { 2, { { job, {} } } };
    harness.answerAllPolls();
    harness.advance(500ms);
    EXPECT_TRUE(harness.takeCommands<StartCommand>().empty());
    harness.cell().configure({ { job.queue, PoolId { "p" }, 0, 3, 1.6, 600ms } });
    harness.advance(30ms);
    EXPECT_EQ(harness.takeCommands<StartCommand>().size(), 1U);
}

TEST(CellTakeover, RunIsNotOverWhileTheListOfEndedRunsIsIncomplete)
{
    CellHarness harness;
    const StartCommand start = startAndConfirm(harness);
    const PollCommand poll = harness.takeCommands<PollCommand>().at(0);
    PollReport report { 1, harness.clockMs(), {}, { { 1, taskOf("another"), 1, RunOutcome::Done, "" } }, false };
    harness.cell().onResult(poll, { CommandStatus::Done, RefusalReason::None, report }, harness.now(), harness.now());
    harness.advance(500ms);
    EXPECT_TRUE(harness.takeCommands<StartCommand>().empty());
    EXPECT_TRUE(harness.cell().workersInUse().contains(start.worker));
}

TEST(CellTakeover, RecoveryWaitsForTheCompleteListOfEndedRuns)
{
    CellHarness harness { 2, { { finiteJob(), {} } } };
    harness.answerPoll("w1", {});
    const PollCommand poll = harness.takeCommands<PollCommand>().at(0);
    PollReport report { 1, harness.clockMs(), {}, { { 1, taskOf("another"), 1, RunOutcome::Done, "" } }, false };
    harness.cell().onResult(poll, { CommandStatus::Done, RefusalReason::None, report }, harness.now(), harness.now());
    harness.advance(500ms);
    EXPECT_TRUE(harness.takeCommands<StartCommand>().empty());
    harness.answerPoll("w2", {}, { { 2, taskOf("a"), 1, RunOutcome::Done, "" } });
    harness.storeChanges();
    EXPECT_EQ(harness.cell().state(JobId { "a" }), JobState::Completed);
}

TEST(CellTakeover, LeasesAreRenewedUntilTheCellIsHandedBack)
{
    CellHarness harness;
    const StartCommand start = startAndConfirm(harness);
    harness.answerPoll(start.worker.value().c_str(), { { start.task, start.run, "", 0 } });
    const auto renewal = [&](Authority authority) {
        harness.advance(60ms, authority);
        const auto polls = harness.takeCommands<PollCommand>();
        EXPECT_EQ(polls.size(), 1U);
        for (const PollCommand& poll : polls)
            harness.respond(poll, { { start.task, start.run, "", 0 } });
        return polls.empty() ? 0 : polls[0].leaseUntilWorkerMs;
    };
    EXPECT_GT(renewal(Authority::RenewOnly), harness.clockMs());
    EXPECT_EQ(renewal(Authority::Unconfirmed), 0);
}

TEST(CellTakeover, OwnerThatHandsBackStopsNoRuns)
{
    CellHarness harness { 2, { { longRunningJob(), {} } } };
    harness.answerPoll("w1", { { taskOf("a", 0), 1, "", 100 } });
    harness.answerPoll("w2", { { taskOf("a", 1), 1, "", 100 } });
    harness.cell().setDrainingMachines({ MachineId { "w2" } });
    harness.advance(longestStop + 60ms, Authority::RenewOnly);
    EXPECT_TRUE(harness.takeCommands<StopCommand>().empty());
}

TEST(CellTakeover, OwnerWithAStaleFenceDecidesNothingUntilItsNextTransaction)
{
    CellHarness harness;
    const StartCommand start = harness.submitAndTakeStart("a");
    harness.respond(start, CommandStatus::Refused, RefusalReason::StaleFence);
    harness.advance(500ms);
    EXPECT_TRUE(harness.takeCommands<StartCommand>().empty());
    harness.confirmOwnership();
    harness.advance(30ms);
    EXPECT_EQ(harness.takeCommands<StartCommand>().size(), 1U);
}

TEST(CellTakeover, RunEventsCarryFailuresAndUncontactedWorkers)
{
    CellHarness harness { 2, { { finiteJob(), { 0, false, false, false, { { 0, 0, 0, false, { 1 } } } } } } };
    harness.answerPoll("w2", {}, { { 24, taskOf("a"), 3, RunOutcome::Failed, "" } });
    harness.answerPoll("w1", {});
    harness.storeChanges();
    harness.advance(500ms);
    const auto ended = harness.runEvents(RunEvent::Kind::Ended);
    ASSERT_EQ(ended.size(), 1U);
    EXPECT_EQ(ended[0].run, 3);
    EXPECT_EQ(ended[0].uncontactedWorkers, 1U);
    const auto starting = harness.runEvents(RunEvent::Kind::Starting);
    ASSERT_EQ(starting.size(), 1U);
    EXPECT_EQ(starting[0].failures, 2);
    EXPECT_EQ(starting[0].uncontactedWorkers, 0U);
}

TEST(CellTakeover, AfterAHandBackOnlyOutstandingLeasesAreWaitedFor)
{
    CellHarness earlier;
    const StartCommand start = startAndConfirm(earlier);
    ASSERT_EQ(start.worker.value(), "w1");
    earlier.answerPoll("w1", { { start.task, start.run, "", 0 } });
    earlier.advance(60ms);
    const auto renewals = earlier.takeCommands<PollCommand>();
    ASSERT_EQ(renewals.size(), 1U); // It is the last lease that w1 gets.
    const std::int64_t leaseMs = renewals[0].leaseUntilWorkerMs - earlier.clockMs();
    ASSERT_GE(leaseMs, 4500);
    const OutstandingLeases outstandingLeases = earlier.cell().outstandingLeases(earlier.now());
    CellHarness next { 2, { { finiteJob(), {} } }, outstandingLeases };
    const Duration waited = timeUntilStartWithoutW1(next);
    EXPECT_GE(waited, leaseMs * 1ms);
    EXPECT_LE(waited, 5300ms);
    EXPECT_EQ(outstandingLeases.at(WorkerId { "w2" }), 0ms);
}

TEST(CellTakeover, WithoutAHandBackTheWholeInheritedLeaseIsWaitedFor)
{
    CellHarness next { 2, { { finiteJob(), {} } } };
    EXPECT_GE(timeUntilStartWithoutW1(next), 10500ms);
}

/// Another writer may have written the entry, and the worker may go on where only this owner does not reach it.
TEST(CellTakeover, EntryOfAnotherPoolOnTheMachineOfALostWorkerDoesNotEndTheWait)
{
    CellHarness next { 2, { { finiteJob(), {} } } };
    next.answerPoll("w2", {});
    WorkerDescription moved = next.listed()[0];
    moved.id = WorkerId { "w9" };
    moved.pool = PoolId { "other" };
    moved.incarnationUnixMs = 2;
    next.listWorkers({ next.listed()[1], moved });
    constexpr auto period = 30ms;
    const TimePoint begin = next.now();
    std::vector<StartCommand> starts;
    while (starts.empty() && next.now() - begin < 20s) {
        next.advance(period);
        next.confirmOwnership();
        for (const PollCommand& poll : next.takeCommands<PollCommand>()) {
            if (poll.worker == WorkerId { "w2" })
                next.respond(poll, {});
        }
        starts = next.takeCommands<StartCommand>();
    }
    ASSERT_EQ(starts.size(), 1U);
    EXPECT_EQ(starts[0].worker.value(), "w2");
    EXPECT_GE(next.now() - begin, 10400ms); // The leases of earlier owners.
    EXPECT_LE(next.now() - begin, 10700ms);
}

TEST(CellTakeover, WorkersOfOtherPoolsAreNotUsed)
{
    CellHarness harness;
    WorkerDescription other = harness.listed()[0];
    other.id = WorkerId { "w9" };
    other.machine = MachineId { "m9" };
    other.pool = PoolId { "other" };
    harness.listWorkers({ other });
    harness.advance(30ms);
    EXPECT_FALSE(harness.cell().workersInUse().contains(other.id));
    harness.submitAndStore("a");
    harness.advance(30ms);
    EXPECT_TRUE(harness.takeCommands<StartCommand>().empty());
}

TEST(CellTakeover, HandBackDuringRecoveryPassesOnTheRemainingInheritedLeases)
{
    CellHarness next { 2, { { finiteJob(), {} } } };
    next.answerPoll("w2", {});
    next.advance(4s);
    const OutstandingLeases outstandingLeases = next.cell().outstandingLeases(next.now());
    const Duration nextWait = outstandingLeases.at(WorkerId { "w1" }) + takeoverSlack;
    EXPECT_GE(nextWait, 6400ms);
    EXPECT_LE(nextWait, 6500ms);
    EXPECT_EQ(outstandingLeases.at(WorkerId { "w2" }), 0ms);
}

TEST(CellTakeover, LeaseByAnEarlierIncarnationsClockCountsAsTheLongestAtAHandBack)
{
    CellHarness earlier;
    const StartCommand start = earlier.submitAndTakeStart("a");
    earlier.restartWorker(start.worker);
    earlier.respond(start, CommandStatus::Done);
    EXPECT_GE(earlier.cell().outstandingLeases(earlier.now()).at(start.worker), longestLease);
}
