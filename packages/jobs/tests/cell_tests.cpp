#include "cell_harness.h"

using namespace rattanrack;
using namespace rattanrack::jobs;
using namespace rattanrack::jobs::tests;
using namespace std::chrono_literals;

TEST(Cell, NothingStartsBeforeTheJobIsStored)
{
    CellHarness harness;
    Job job { JobId { "a" }, QueueId { "q" }, 1, { "", { {} }, {} } };
    EXPECT_EQ(harness.cell().submit(job, 1, harness.now()), Acceptance::Pending);
    harness.advance(50ms);
    EXPECT_TRUE(harness.takeCommands<StartCommand>().empty());
    EXPECT_FALSE(harness.cell().state(JobId { "a" }).has_value());
    harness.storeChanges();
    harness.advance(50ms);
    EXPECT_EQ(harness.takeCommands<StartCommand>().size(), 1U);
}

TEST(Cell, RefusedRetryOfAStartIsStoppedBeforeAnotherWorkerIsUsed)
{
    CellHarness harness;
    const StartCommand first = harness.submitAndTakeStart("a");
    harness.respond(first, CommandStatus::NoResponse);
    harness.advance(300ms);
    const StartCommand retried = harness.takeCommands<StartCommand>().at(0);
    EXPECT_EQ(retried.run, first.run);
    EXPECT_EQ(retried.worker, first.worker);
    harness.respond(retried, CommandStatus::Refused, RefusalReason::NoCapacity);
    harness.advance(10ms);
    EXPECT_TRUE(harness.takeCommands<StartCommand>().empty());
    const StopCommand stop = harness.takeCommands<StopCommand>().at(0);
    EXPECT_EQ(stop.run, first.run);
    harness.cell().onResult(stop, { CommandStatus::Done, RefusalReason::None, 0 }, harness.now());
    harness.advance(60ms);
    for (const PollCommand& poll : harness.takeCommands<PollCommand>())
        harness.respond(poll, {});
    harness.storeChanges(); // The presumed end.
    harness.advance(400ms);
    const StartCommand next = harness.takeCommands<StartCommand>().at(0);
    EXPECT_GT(next.run, first.run);
}

TEST(Cell, RunOfAnUnansweredStartIsNotStoppedAfterARetryThatTellsNothingOfIt)
{
    for (const CommandStatus status : { CommandStatus::NotSent, CommandStatus::Expired, CommandStatus::Unhealthy }) {
        CellHarness harness;
        const StartCommand first = harness.submitAndTakeStart("a");
        harness.respond(first, CommandStatus::NoResponse);
        harness.advance(300ms);
        harness.dropPolls();
        const auto retried = harness.takeCommands<StartCommand>();
        ASSERT_EQ(retried.size(), 1U);
        harness.respond(retried[0], status);
        harness.advance(60ms);
        EXPECT_TRUE(harness.takeCommands<StopCommand>().empty());
        harness.advance(300ms);
        harness.answerPoll(first.worker.value().c_str(), { { first.task, first.run, "", 100 } });
        harness.advance(300ms);
        EXPECT_TRUE(harness.takeCommands<StopCommand>().empty());
        EXPECT_EQ(harness.cell().state(JobId { "a" }), JobState::Active);
        EXPECT_TRUE(harness.runEvents(RunEvent::Kind::PresumedEnded).empty());
    }
}

TEST(Cell, UnansweredStartIsGivenUpWhereTheWorkerRefusesRetriesAndDoesNotListTheRun)
{
    CellHarness harness;
    const StartCommand first = harness.submitAndTakeStart("a");
    harness.respond(first, CommandStatus::NoResponse);
    std::size_t stops = 0;
    for (int passes = 0; passes < 20; ++passes) {
        harness.advance(50ms);
        harness.answerAllPolls();
        for (const StartCommand& retried : harness.takeCommands<StartCommand>())
            harness.respond(retried, CommandStatus::Unhealthy);
        stops += harness.takeCommands<StopCommand>().size();
    }
    EXPECT_EQ(stops, 1U);
}

TEST(Cell, UnansweredStartIsSentAgainAfterARetryThatWasNotSent)
{
    CellHarness harness;
    const StartCommand first = harness.submitAndTakeStart("a");
    harness.respond(first, CommandStatus::NoResponse);
    harness.advance(300ms);
    harness.respond(harness.takeCommands<StartCommand>().at(0), CommandStatus::NotSent);
    harness.advance(300ms);
    harness.answerAllPolls();
    harness.advance(300ms);
    const auto again = harness.takeCommands<StartCommand>();
    ASSERT_EQ(again.size(), 1U);
    EXPECT_EQ(again[0].run, first.run);
    EXPECT_EQ(again[0].worker, first.worker);
    EXPECT_TRUE(harness.takeCommands<StopCommand>().empty());
}

TEST(Cell, StartWithoutARunReportsTheReason)
{
    const auto reasonNotStarted = [](CommandStatus status, RefusalReason refusal) {
        CellHarness harness;
        const StartCommand start = harness.submitAndTakeStart("a");
        EXPECT_EQ(harness.cell().commandsInFlight(), 1U);
        harness.respond(start, status, refusal);
        EXPECT_EQ(harness.cell().commandsInFlight(), 0U);
        harness.advance(10ms);
        return harness.runEvents(RunEvent::Kind::NotStarted).at(0).detail;
    };
    EXPECT_EQ(reasonNotStarted(CommandStatus::Expired, RefusalReason::None), "start expired in our queue");
    EXPECT_EQ(reasonNotStarted(CommandStatus::NotSent, RefusalReason::None), "start not sent");
    EXPECT_EQ(reasonNotStarted(CommandStatus::Refused, RefusalReason::NoCapacity), "start refused: room");
    EXPECT_EQ(reasonNotStarted(CommandStatus::Refused, RefusalReason::InvalidTicket), "start refused: ticket");
    EXPECT_EQ(reasonNotStarted(CommandStatus::Unhealthy, RefusalReason::None), "start refused: unhealthy");
}

TEST(Cell, RunsOfAnUnresponsiveWorkerLastUntilTheirLeasesEnd)
{
    CellHarness harness;
    const StartCommand first = harness.submitAndTakeStart("a");
    harness.respond(first, CommandStatus::Done);
    harness.advance(60ms); // The poll renews the lease for 4.5 s; from then on the worker does not respond.
    const TimePoint renewedAt = harness.now();
    harness.dropPolls();
    std::vector<StartCommand> starts;
    while (starts.empty() && harness.now() - renewedAt < 10s) {
        harness.advance(100ms);
        harness.dropPolls();
        harness.storeChanges(); // The loss of contact.
        starts = harness.takeCommands<StartCommand>();
    }
    ASSERT_EQ(starts.size(), 1U);
    EXPECT_NE(starts[0].worker, first.worker);
    EXPECT_GE(harness.now() - renewedAt, Duration { 4500ms });
    EXPECT_LE(harness.now() - renewedAt, Duration { 5s });
}

TEST(Cell, EndedRunIsAcknowledgedOnlyOnceStored)
{
    CellHarness harness;
    const StartCommand start = harness.submitAndTakeStart("a");
    harness.respond(start, CommandStatus::Done);
    harness.advance(60ms);
    for (const PollCommand& poll : harness.takeCommands<PollCommand>())
        harness.respond(poll, {}, { { 1, start.task, start.run, RunOutcome::Done, "" } });
    harness.advance(60ms);
    for (const PollCommand& poll : harness.takeCommands<PollCommand>())
        EXPECT_EQ(poll.ackedThrough, 0);
    EXPECT_NE(harness.cell().state(JobId { "a" }), JobState::Completed);
    harness.storeChanges();
    EXPECT_EQ(harness.cell().state(JobId { "a" }), JobState::Completed);
    harness.advance(60ms);
    const auto polls = harness.takeCommands<PollCommand>();
    ASSERT_FALSE(polls.empty());
    EXPECT_EQ(polls[0].ackedThrough, 1);
}

TEST(Cell, UnresponsiveWorkerWithoutRunsIsNotInUse)
{
    CellHarness harness;
    ASSERT_EQ(harness.cell().workersInUse().size(), 2U);
    const auto dropPollsOnce = [&] {
        harness.advance(300ms);
        harness.dropPolls();
    };
    const StartCommand start = harness.submitAndTakeStart("a");
    harness.respond(start, CommandStatus::Done);
    for (int tries = 0; tries < 5; ++tries)
        dropPollsOnce();
    EXPECT_TRUE(harness.cell().workersInUse().contains(start.worker)); // Its lease has not ended.
    for (int tries = 0; tries < 20; ++tries)
        dropPollsOnce();
    EXPECT_FALSE(harness.cell().workersInUse().contains(start.worker));
    EXPECT_TRUE(harness.cell().knownWorkers().contains(start.worker)); // It is still polled.
}

TEST(Cell, RunBeingStoppedUsesCapacityUntilItIsNoLongerListed)
{
    CellHarness harness;
    std::vector<StartCommand> first;
    for (const char* id : { "a", "b" }) { // One for each worker.
        first.push_back(harness.submitAndTakeStart(id));
        harness.respond(first.back(), CommandStatus::Done);
    }
    harness.cell().cancel(JobId { "a" }, 2, 0);
    harness.storeChanges();
    harness.submitAndStore("c");
    harness.advance(10ms);
    const auto stops = harness.takeCommands<StopCommand>();
    ASSERT_EQ(stops.size(), 1U);
    harness.cell().onResult(stops[0], { CommandStatus::Done, RefusalReason::None, harness.clockMs() }, harness.now());
    const RunningRun stopping { first[0].task, first[0].run };
    harness.dropPolls();
    harness.advance(300ms);
    harness.answerPoll(first[0].worker.value().c_str(), { stopping });
    harness.advance(60ms);
    EXPECT_TRUE(harness.takeCommands<StartCommand>().empty());
    harness.answerPoll(first[0].worker.value().c_str(), {});
    harness.advance(60ms);
    EXPECT_EQ(harness.takeCommands<StartCommand>().size(), 1U);
}

TEST(Cell, RecoveredWorkerIsUsedOnlyOnceTheStoredListContainsIt)
{
    CellHarness harness;
    harness.submitAndStore("a");
    harness.submitAndStore("b"); // One for each worker.
    harness.advance(10ms);
    const auto first = harness.takeCommands<StartCommand>();
    ASSERT_EQ(first.size(), 2U);
    for (const StartCommand& start : first)
        harness.respond(start, CommandStatus::Done);
    for (int tries = 0; tries < 30; ++tries) { // No worker responds, and all leases have ended.
        harness.advance(300ms);
        harness.dropPolls();
    }
    harness.storeChanges(); // The presumed ends.
    const WorkerMachines none = harness.cell().workersInUse();
    ASSERT_TRUE(none.empty());
    const auto startsAfterRecovery = [&] {
        harness.advance(300ms);
        for (const PollCommand& poll : harness.takeCommands<PollCommand>())
            harness.respond(poll, {});
        harness.advance(100ms);
        return harness.takeCommands<StartCommand>().size();
    };
    harness.cell().onWorkerListSent(none, harness.now()); // The store responds only after the workers have recovered.
    EXPECT_EQ(startsAfterRecovery(), 0U);
    harness.cell().onWorkerListStored(none);
    EXPECT_EQ(startsAfterRecovery(), 0U);
    const WorkerMachines both = harness.cell().workersInUse();
    EXPECT_EQ(both.size(), 2U);
    harness.cell().onWorkerListSent(both, harness.now());
    EXPECT_EQ(startsAfterRecovery(), 0U);
    harness.cell().onWorkerListStored(both);
    EXPECT_EQ(startsAfterRecovery(), 2U);
}

TEST(Cell, TaskOnAnUnresponsiveWorkerCountsAsUnavailable)
{
    CellHarness harness;
    Job job { JobId { "a" }, QueueId { "q" }, 1, { "text", { {} }, {} } };
    Step& step = job.spec.steps[0];
    step.count = 2;
    step.size = { Millicores { 800 }, Mebibytes { 100 }, {} };
    step.isLongRunning = true;
    step.maxUnavailable = 1;
    EXPECT_EQ(harness.cell().submit(job, 1, harness.now()), Acceptance::Pending);
    harness.storeChanges();
    harness.advance(10ms);
    const auto starts = harness.takeCommands<StartCommand>();
    ASSERT_EQ(starts.size(), 2U);
    for (const StartCommand& start : starts)
        harness.respond(start, CommandStatus::Done);
    const auto answerPolls = [&](bool isFirstUnresponsive) {
        harness.advance(300ms);
        for (const PollCommand& each : harness.takeCommands<PollCommand>()) {
            const StartCommand& start = each.worker == starts[0].worker ? starts[0] : starts[1];
            if (isFirstUnresponsive && each.worker == starts[0].worker)
                harness.cell().onResult(each, { CommandStatus::NoResponse }, harness.now(), harness.now());
            else
                harness.respond(each, { { start.task, start.run, "", 100 } });
        }
    };
    answerPolls(false);
    answerPolls(true);
    harness.cell().setDrainingMachines({ MachineId { starts[1].worker.value() } });
    for (int tries = 0; tries < 10; ++tries) { // Until shortly before the unresponsive worker's lease ends.
        answerPolls(true);
        EXPECT_TRUE(harness.takeCommands<StopCommand>().empty());
    }
}

TEST(Cell, JobsThatAlwaysFailDoNotBlockAllWorkers)
{
    CellHarness harness;
    std::int64_t lastEnd = 0;
    for (const char* id : { "bad1", "bad2", "bad3", "bad4" }) {
        harness.submitAndStore(id);
        for (int tries = 0; tries < 400 && harness.cell().state(JobId { id }) != JobState::Failed; ++tries) {
            harness.advance(60ms);
            const auto starts = harness.takeCommands<StartCommand>();
            for (const StartCommand& start : starts)
                harness.respond(start, CommandStatus::Done);
            for (const PollCommand& poll : harness.takeCommands<PollCommand>()) {
                std::vector<EndedRun> endedRuns;
                for (const StartCommand& start : starts) {
                    if (start.worker == poll.worker)
                        endedRuns.push_back({ ++lastEnd, start.task, start.run, RunOutcome::Failed, "" });
                }
                harness.respond(poll, {}, endedRuns);
            }
            harness.storeChanges();
        }
        ASSERT_EQ(harness.cell().state(JobId { id }), JobState::Failed);
    }
    harness.submitAndStore("good");
    harness.advance(60ms);
    EXPECT_EQ(harness.takeCommands<StartCommand>().size(), 1U);
}

TEST(Cell, WorkerAvoidedForFailuresIsUsedAfterASuccess)
{
    CellHarness harness;
    for (int number = 0; number < 10; ++number) // Fill both workers.
        harness.submitAndStore("a" + std::to_string(number), Millicores { 200 });
    std::vector<EndedRun> endedRuns;
    for (int tries = 0; tries < 4; ++tries) {
        harness.advance(10ms);
        for (const StartCommand& start : harness.takeCommands<StartCommand>()) {
            harness.respond(start, CommandStatus::Done);
            if (start.worker == WorkerId { "w1" })
                endedRuns.push_back(
                    { static_cast<std::int64_t>(endedRuns.size()) + 1, start.task, start.run, RunOutcome::Failed, "" });
        }
    }
    ASSERT_EQ(endedRuns.size(), 5U);
    endedRuns.back().outcome = RunOutcome::Done;
    harness.advance(60ms);
    harness.answerPoll("w1", {}, endedRuns);
    harness.storeChanges();
    harness.advance(60ms);
    const auto starts = harness.takeCommands<StartCommand>();
    ASSERT_FALSE(starts.empty());
    EXPECT_EQ(starts.front().worker, WorkerId { "w1" });
}

TEST(Cell, MachineIsDrainedOnlyOnceItsEndedRunsAreStored)
{
    CellHarness harness;
    const StartCommand start = harness.submitAndTakeStart("a");
    const MachineId machine { start.worker.value() };
    harness.respond(start, CommandStatus::Done);
    harness.cell().setDrainingMachines({ machine });
    EXPECT_TRUE(harness.cell().drainedMachines().empty());
    harness.advance(60ms);
    for (const PollCommand& poll : harness.takeCommands<PollCommand>())
        harness.respond(poll, {}, { { 1, start.task, start.run, RunOutcome::Done, "" } });
    harness.advance(10ms);
    EXPECT_TRUE(harness.cell().drainedMachines().empty()); // The next owner would have no record of the ended run.
    harness.storeChanges();
    harness.advance(60ms);
    harness.confirmOwnership();
    EXPECT_EQ(harness.cell().drainedMachines(), (DrainedMachines { { machine, WorkerId { "w1" } } }));
}

TEST(Cell, RejectingUncommittedJobsKeepsStoredJobs)
{
    CellHarness harness;
    harness.submitAndStore("old");
    harness.advance(10ms);
    Job job { JobId { "new" }, QueueId { "q" }, 1, { "", { {} }, {} } };
    EXPECT_EQ(harness.cell().submit(job, 7, harness.now()), Acceptance::Pending);
    ASSERT_TRUE(harness.cell().takeCommit(1).has_value());
    harness.cell().rejectUncommittedJobs(); // It may still be stored: nothing is dropped.
    EXPECT_EQ(harness.cell().submit(job, 8, harness.now()), Acceptance::Pending);
    harness.cell().onCommitFailed();
    harness.cell().rejectUncommittedJobs();
    const auto replies = harness.cell().advance(harness.now(), 1, Authority::Full).replies;
    ASSERT_EQ(replies.size(), 2U);
    EXPECT_FALSE(replies[0].isStored || replies[1].isStored);
    EXPECT_TRUE(harness.cell().state(JobId { "old" }).has_value());
}

TEST(Cell, NoJobWaitsForItsCommitWhileOthersChangeAllTheTime)
{
    constexpr int newJobsPerCommit = 100; // More than one transaction holds.
    CellHarness harness;
    const auto submit = [&](const std::string& id) {
        Job job { JobId { id }, QueueId { "q" }, 1, { "", { {} }, {} } };
        EXPECT_EQ(harness.cell().submit(job, 7, harness.now()), Acceptance::Pending);
    };
    submit("last by its id");
    bool isStored = false;
    for (int commits = 0; commits < 3 && !isStored; ++commits) {
        for (int number = 0; number < newJobsPerCommit; ++number)
            submit("a" + std::to_string(commits * newJobsPerCommit + number));
        const auto commit = harness.cell().takeCommit(1);
        ASSERT_TRUE(commit.has_value());
        isStored = std::any_of(commit->rows.begin(), commit->rows.end(),
            [](const CellRow& row) { return row.job == JobId { "last by its id" }; });
        harness.cell().onCommitted(1);
    }
    EXPECT_TRUE(isStored);
}

TEST(Cell, JobOfAnUnknownQueueWaitsForItsTickets)
{
    for (const bool requiresTickets : { false, true }) {
        Job job { JobId { "a" }, QueueId { "of a route that was removed" }, 0, { "text", { {} }, {} }, 2 };
        job.requiresTickets = requiresTickets;
        CellHarness harness { 2, { { job, {} } } };
        harness.answerPoll("w1", {});
        harness.answerPoll("w2", {});
        harness.storeChanges();
        harness.advance(500ms);
        EXPECT_EQ(harness.takeCommands<StartCommand>().empty(), requiresTickets);
    }
}

TEST(Cell, QueueHasUnstoredJobsUntilTheirTransactionHasSucceeded)
{
    const QueueAddress queue { "a.example/jobs/" };
    CellHarness harness { 1, {} };
    Job job { JobId { "a" }, QueueId { "q" }, 0, { "text", { {} }, {} }, 2 };
    job.queueAddress = queue;
    harness.cell().submit(job, 1, {});
    EXPECT_TRUE(harness.cell().hasUnstoredJobs(queue));
    EXPECT_FALSE(harness.cell().hasUnstoredJobs(QueueAddress { "a.example/other/" }));
    ASSERT_TRUE(harness.cell().takeCommit(0));
    EXPECT_TRUE(harness.cell().hasUnstoredJobs(queue));
    harness.cell().onCommitted(0);
    EXPECT_FALSE(harness.cell().hasUnstoredJobs(queue));
}
