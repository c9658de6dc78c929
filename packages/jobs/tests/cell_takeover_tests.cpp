#include "cell_harness.h"

using namespace rattanrack;
using namespace rattanrack::jobs;
using namespace rattanrack::jobs::tests;
using namespace std::chrono_literals;

/// What a cell's owner may do on what it knows: ends not stored, workers not heard, orders of an earlier owner.
namespace {

constexpr auto longestStop = 900ms; ///< Of a run that has been told to stop.

Job finiteJob()
{
    Job job { JobId { "a" }, QueueId { "q" }, 1, { "text", { {} }, {} } };
    job.spec.steps[0].size = { Millicores { 800 }, Mebibytes { 100 }, {} };
    job.spec.steps[0].declaredRunTime = 500ms;
    return job;
}

/// Two subtasks, one on each worker, of which one may miss.
Job lastingJob()
{
    Job job = finiteJob();
    Step& step = job.spec.steps[0];
    step.count = 2;
    step.isLongRunning = true;
    step.maxUnavailable = 1;
    return job;
}

TaskRef taskOf(const char* job, int index = 0) { return { JobId { job }, 0, 0, index }; }

/// Starts the job's only subtask; the worker says that it runs.
StartCommand startAndConfirm(CellHarness& desk)
{
    StartCommand start = desk.startOf("a");
    desk.answer(start, CommandStatus::Done);
    desk.step(60ms);
    return start;
}

/// From a takeover on, until the job's only subtask is ordered; w1 is gone, w2 answers. At most 40 s.
Duration untilStartWithoutW1(CellHarness& next)
{
    const TimePoint from = next.now();
    while (next.now() - from < 40s) {
        for (const PollCommand& look : next.take<PollCommand>()) {
            if (look.worker.value() == "w1")
                next.cell().onResult(look, { CommandStatus::NoResponse }, next.now(), next.now());
            else
                next.answer(look, {});
        }
        next.step(30ms);
        if (!next.take<StartCommand>().empty())
            break;
    }
    return next.now() - from;
}

} // namespace

TEST(CellTakeover, FailuresOfEarlierRunsCountInWhateverOrderTheirWorkersAreHeard)
{
    CellHarness desk { 2, { { finiteJob(), { 0, false, false, false, { { 0, 0, 0, false, { 1 } } } } } } };
    desk.hear("w2", {}, { { 24, taskOf("a"), 3, RunOutcome::Failed, "" } });
    desk.hear("w1", {}, { { 26, taskOf("a"), 2, RunOutcome::Failed, "" } });
    desk.store();
    desk.step(500ms);
    EXPECT_TRUE(desk.take<StartCommand>().empty());
    EXPECT_EQ(desk.cell().state(JobId { "a" }), JobState::Failed);
}

TEST(CellTakeover, NoRunAfterAFailureThatTheNextOwnerMightNotHearOf)
{
    CellHarness desk;
    const StartCommand first = startAndConfirm(desk);
    desk.hear(first.worker.value().c_str(), {}, { { 1, first.task, first.run, RunOutcome::Failed, "" } });
    desk.step(500ms);
    EXPECT_TRUE(desk.take<StartCommand>().empty()); // The failure is known to this owner alone.
    desk.store();
    desk.step(10ms);
    EXPECT_EQ(desk.take<StartCommand>().size(), 1U);
}

TEST(CellTakeover, NextOwnerWaitsForAnUnlistedWorkerWhoseEndsAreNotStored)
{
    CellHarness desk;
    const StartCommand start = startAndConfirm(desk);
    desk.hear(start.worker.value().c_str(), {}, { { 1, start.task, start.run, RunOutcome::Done, "" } });
    auto workers = desk.listed();
    std::erase_if(workers, [&](const WorkerDescription& worker) { return worker.id == start.worker; });
    desk.list(workers);
    EXPECT_TRUE(desk.cell().workersInUse().contains(start.worker));
    desk.store();
    EXPECT_FALSE(desk.cell().workersInUse().contains(start.worker));
}

TEST(CellTakeover, EntryOfAMachinesEarlierWorkerIsNoProofOfItsLaterOnesEnd)
{
    CellHarness desk { 2, { { finiteJob(), {} } } };
    auto workers = desk.listed(); // The later worker, and the entry of the crashed one before it.
    workers.push_back(workers[0]);
    workers.back().id = WorkerId { "w0" };
    workers.back().incarnationUnixMs = 0;
    desk.list(workers);
    desk.hear("w2", {});
    desk.step(500ms);
    EXPECT_TRUE(desk.take<StartCommand>().empty());
    desk.hear("w1", {});
    desk.step(500ms);
    EXPECT_EQ(desk.take<StartCommand>().size(), 1U);
}

TEST(CellTakeover, ListFromBeforeTheTakeoverIsNoProofOfAWorkersEnd)
{
    CellHarness desk { 2, { { finiteJob(), {} } } };
    auto workers = desk.listed();
    workers[0].id = WorkerId { "w0" }; // The worker before w1 on its machine.
    desk.listAsOf(workers, desk.now() - 5s);
    desk.list(desk.listed()); // The next one is fresh.
    desk.hear("w2", {});
    desk.step(500ms);
    EXPECT_TRUE(desk.take<StartCommand>().empty());
}

TEST(CellTakeover, RunOfEarlierOwnerThatIsBeingStoppedCountsAsAway)
{
    CellHarness desk { 2, { { lastingJob(), {} } } };
    desk.hear("w1", { { taskOf("a", 0), 1, "", 100 } }); // Told to stop: listed until it has ended.
    desk.hear("w2", { { taskOf("a", 1), 1, "", 100 } });
    desk.cell().setDrainingMachines({ MachineId { "w2" } });
    const TimePoint heardAt = desk.now();
    constexpr auto period = 30ms;
    while (desk.now() - heardAt < longestStop - period) {
        desk.step(period);
        EXPECT_TRUE(desk.take<StopCommand>().empty()) << (desk.now() - heardAt).count() << " us after the takeover";
    }
    desk.step(2 * period);
    EXPECT_EQ(desk.take<StopCommand>().size(), 1U); // Neither was being stopped.
}

TEST(CellTakeover, UnansweredStartIsNotSentAgainToAWorkerThatDrains)
{
    CellHarness desk;
    const StartCommand start = desk.startOf("a");
    desk.answer(start, CommandStatus::NoResponse);
    auto workers = desk.listed();
    for (WorkerDescription& worker : workers)
        worker.isDraining = worker.id == start.worker;
    desk.list(workers);
    desk.step(300ms);
    EXPECT_TRUE(desk.take<StartCommand>().empty());
    EXPECT_EQ(desk.take<StopCommand>().size(), 1U); // Its answer proves that the start comes to nothing.
}

TEST(CellTakeover, JobOfAQueueThatTheNextOwnerDoesNotKnowKeepsItsAttempts)
{
    Job job = finiteJob();
    job.queue = QueueId { "of a route that was removed" };
    job.maxAttempts = 2;
    CellHarness desk { 2, { { job, {} } } };
    desk.hear("w1", {}, { { 1, taskOf("a"), 1, RunOutcome::Failed, "" } });
    desk.hear("w2", {});
    desk.store();
    EXPECT_NE(desk.cell().state(JobId { "a" }), JobState::Failed);
    desk.step(500ms);
    const auto starts = desk.take<StartCommand>();
    ASSERT_EQ(starts.size(), 1U);
    desk.answer(starts[0], CommandStatus::Done);
    desk.step(60ms);
    desk.hear(starts[0].worker.value().c_str(), {}, { { 2, taskOf("a"), starts[0].run, RunOutcome::Failed, "" } });
    desk.store();
    EXPECT_EQ(desk.cell().state(JobId { "a" }), JobState::Failed);
}

TEST(CellTakeover, JobOfUnknownAttemptsWaitsForItsQueue)
{
    Job job = finiteJob();
    job.queue = QueueId { "not yet in force here" };
    CellHarness desk { 2, { { job, {} } } };
    desk.answerAllPolls();
    desk.step(500ms);
    EXPECT_TRUE(desk.take<StartCommand>().empty());
    desk.cell().configure({ { job.queue, PoolId { "p" }, 0, 3, 1.6, 600ms } });
    desk.step(30ms);
    EXPECT_EQ(desk.take<StartCommand>().size(), 1U);
}

TEST(CellTakeover, RunWhoseEndIsNotListedYetIsNotOver)
{
    CellHarness desk;
    const StartCommand start = startAndConfirm(desk);
    const PollCommand look = desk.take<PollCommand>().at(0);
    PollReport report { 1, desk.clockMs(), {}, { { 1, taskOf("another"), 1, RunOutcome::Done, "" } }, false };
    desk.cell().onResult(look, { CommandStatus::Done, RefusalReason::None, report }, desk.now(), desk.now());
    desk.step(500ms);
    EXPECT_TRUE(desk.take<StartCommand>().empty());
    EXPECT_TRUE(desk.cell().workersInUse().contains(start.worker));
}

TEST(CellTakeover, NextOwnerWaitsForTheWholeListOfEnds)
{
    CellHarness desk { 2, { { finiteJob(), {} } } };
    desk.hear("w1", {});
    const PollCommand look = desk.take<PollCommand>().at(0);
    PollReport report { 1, desk.clockMs(), {}, { { 1, taskOf("another"), 1, RunOutcome::Done, "" } }, false };
    desk.cell().onResult(look, { CommandStatus::Done, RefusalReason::None, report }, desk.now(), desk.now());
    desk.step(500ms);
    EXPECT_TRUE(desk.take<StartCommand>().empty());
    desk.hear("w2", {}, { { 2, taskOf("a"), 1, RunOutcome::Done, "" } });
    desk.store();
    EXPECT_EQ(desk.cell().state(JobId { "a" }), JobState::Completed);
}

TEST(CellTakeover, LeasesAreRenewedUntilTheCellIsHandedBack)
{
    CellHarness desk;
    const StartCommand start = startAndConfirm(desk);
    desk.hear(start.worker.value().c_str(), { { start.task, start.run, "", 0 } });
    const auto renewal = [&](Authority authority) {
        desk.step(60ms, authority);
        const auto looks = desk.take<PollCommand>();
        EXPECT_EQ(looks.size(), 1U);
        for (const PollCommand& look : looks)
            desk.answer(look, { { start.task, start.run, "", 0 } });
        return looks.empty() ? 0 : looks[0].leaseUntilWorkerMs;
    };
    EXPECT_GT(renewal(Authority::RenewOnly), desk.clockMs());
    EXPECT_EQ(renewal(Authority::Unconfirmed), 0);
}

TEST(CellTakeover, OwnerThatHandsBackEndsNothing)
{
    CellHarness desk { 2, { { lastingJob(), {} } } };
    desk.hear("w1", { { taskOf("a", 0), 1, "", 100 } });
    desk.hear("w2", { { taskOf("a", 1), 1, "", 100 } });
    desk.cell().setDrainingMachines({ MachineId { "w2" } });
    desk.step(longestStop + 60ms, Authority::RenewOnly);
    EXPECT_TRUE(desk.take<StopCommand>().empty());
}

TEST(CellTakeover, OwnerRefusedForItsFenceDecidesNothingUntilItsNextTransaction)
{
    CellHarness desk;
    const StartCommand start = desk.startOf("a");
    desk.answer(start, CommandStatus::Refused, RefusalReason::StaleFence);
    desk.step(500ms);
    EXPECT_TRUE(desk.take<StartCommand>().empty());
    desk.confirm();
    desk.step(30ms);
    EXPECT_EQ(desk.take<StartCommand>().size(), 1U);
}

TEST(CellTakeover, StartTellsTheFailuresAndWorkersItRestsOn)
{
    CellHarness desk { 2, { { finiteJob(), { 0, false, false, false, { { 0, 0, 0, false, { 1 } } } } } } };
    desk.hear("w2", {}, { { 24, taskOf("a"), 3, RunOutcome::Failed, "" } });
    desk.hear("w1", {});
    desk.store();
    desk.step(500ms);
    const auto ended = desk.runEvents(RunEvent::Kind::Ended);
    ASSERT_EQ(ended.size(), 1U);
    EXPECT_EQ(ended[0].run, 3);
    EXPECT_EQ(ended[0].uncontactedWorkers, 1U);
    const auto ordered = desk.runEvents(RunEvent::Kind::Starting);
    ASSERT_EQ(ordered.size(), 1U);
    EXPECT_EQ(ordered[0].failures, 2);
    EXPECT_EQ(ordered[0].uncontactedWorkers, 0U);
}

TEST(CellTakeover, AfterAHandBackOnlyWhatIsGrantedIsWaitedFor)
{
    CellHarness earlier;
    const StartCommand start = startAndConfirm(earlier);
    ASSERT_EQ(start.worker.value(), "w1");
    earlier.hear("w1", { { start.task, start.run, "", 0 } });
    earlier.step(60ms);
    const auto renewals = earlier.take<PollCommand>();
    ASSERT_EQ(renewals.size(), 1U); // It is the last that w1 gets.
    const std::int64_t heldMs = renewals[0].leaseUntilWorkerMs - earlier.clockMs();
    ASSERT_GE(heldMs, 4500);
    const OutstandingLeases held = earlier.cell().outstandingLeases(earlier.now());
    CellHarness next { 2, { { finiteJob(), {} } }, held };
    const Duration waited = untilStartWithoutW1(next);
    EXPECT_GE(waited, heldMs * 1ms);
    EXPECT_LE(waited, 5300ms);
    EXPECT_EQ(held.at(WorkerId { "w2" }), 0ms);
}

TEST(CellTakeover, WithoutAHandBackTheEarlierOwnersTrustIsWaitedFor)
{
    CellHarness next { 2, { { finiteJob(), {} } } };
    EXPECT_GE(untilStartWithoutW1(next), 10500ms);
}

TEST(CellTakeover, OwnerThatHandsBackAtOnceTellsWhatIsLeftOfItsOwnWait)
{
    CellHarness next { 2, { { finiteJob(), {} } } };
    next.hear("w2", {});
    next.step(4s);
    const OutstandingLeases held = next.cell().outstandingLeases(next.now());
    EXPECT_GE(held.at(WorkerId { "w1" }), 6400ms);
    EXPECT_LE(held.at(WorkerId { "w1" }), 6500ms);
    EXPECT_EQ(held.at(WorkerId { "w2" }), 0ms);
}

TEST(CellTakeover, LeaseByTheClockOfAnEarlierLifeCountsAsTheLongestAtAHandBack)
{
    CellHarness earlier;
    const StartCommand start = earlier.startOf("a");
    earlier.restartWorker(start.worker);
    earlier.answer(start, CommandStatus::Done);
    EXPECT_GE(earlier.cell().outstandingLeases(earlier.now()).at(start.worker), longestLease);
}
