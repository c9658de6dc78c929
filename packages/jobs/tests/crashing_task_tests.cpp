#include "crash_harness.h"
#include "rattanrack/jobs/job_codec.h"

#include <map>
#include <set>

using namespace rattanrack;
using namespace rattanrack::jobs;
using namespace rattanrack::jobs::tests;

namespace {

/// A job whose task a previous owner has started on worker w1, with which it lost contact.
StoredJob jobWithLostStart()
{
    StoredJob stored { { JobId { "a" }, QueueId { "q" }, 1'000'000, { "text", { {} }, {} } }, {} };
    stored.job.spec.steps[0].size = { Millicores { 800 }, Mebibytes { 100 }, {} };
    StoredTask task { 0, 0, 0 };
    task.lostStarts.push_back({ WorkerId { "w1" }, 1, 1, false, true, true, 62ms });
    stored.progress.tasks = { task };
    return stored;
}

} // namespace

TEST(CrashingTask, NextOwnerClearsALossWhenTheWorkerRespondsUnchanged)
{
    CellHarness harness { 2, { jobWithLostStart() } };
    harness.bindCommands();
    const auto starts = takeNextStarts(harness, 15s);
    ASSERT_EQ(starts.size(), 1U);
    harness.respond(starts[0], CommandStatus::Done);
    harness.advance(100ms);
    harness.takeCommands<PollCommand>();
    harness.advance(150ms);
    EXPECT_TRUE(harness.takeCommands<PollCommand>().empty()); // Not a trial: no survival check.
}

TEST(CrashingTask, NextOwnerCountsACrashByTheLaterWorkerOnTheMachine)
{
    CellHarness harness { 2, { jobWithLostStart() } };
    auto workers = harness.listed();
    workers[0].id = WorkerId { "w9" }; // On the machine of w1.
    workers[0].incarnationUnixMs = 5;
    harness.listWorkers(workers);
    harness.advance(10ms);
    EXPECT_TRUE(harness.runEvents(RunEvent::Kind::Suspected).empty()); // The entry alone may be of another writer.
    harness.respondAs("w9", 5);
    harness.listWorkers(workers);
    harness.advance(10ms);
    EXPECT_EQ(harness.runEvents(RunEvent::Kind::Suspected).size(), 1U);
}

TEST(CrashingTask, TaskThatCrashesEachWorkerIsGivenUpBeforeItsSixthStart)
{
    CellHarness harness = calmHarness();
    StartCommand start = harness.submitAndTakeStart("a");
    int starts = 1;
    while (harness.cell().state(JobId { "a" }) != JobState::Failed && starts < 7) {
        crashUnder(harness, start);
        const auto next = takeNextStarts(harness, 20s);
        if (next.empty())
            break;
        start = next.at(0);
        ++starts;
    }
    EXPECT_EQ(harness.cell().state(JobId { "a" }), JobState::Failed);
    EXPECT_GE(starts, 2);
    EXPECT_LE(starts, 5);
}

TEST(CrashingTask, TaskIsNotGivenUpAfterOneCrash)
{
    CellHarness harness = calmHarness();
    crashUnder(harness, harness.submitAndTakeStart("a"));
    const auto retried = takeNextStarts(harness, 10s);
    ASSERT_EQ(retried.size(), 1U);
    EXPECT_EQ(harness.runEvents(RunEvent::Kind::Suspected).size(), 1U);
    EXPECT_EQ(harness.cell().state(JobId { "a" }), JobState::Active);
}

TEST(CrashingTask, SurvivedTrialClearsASuspect)
{
    CellHarness harness = calmHarness();
    crashUnder(harness, harness.submitAndTakeStart("a"));
    const auto retried = takeNextStarts(harness, 10s);
    ASSERT_EQ(retried.size(), 1U);
    harness.respond(retried[0], CommandStatus::Done);
    EXPECT_TRUE(harness.runEvents(RunEvent::Kind::Cleared).empty());
    harness.surviveStart(retried[0]);
    EXPECT_EQ(harness.runEvents(RunEvent::Kind::Cleared).size(), 1U);
}

/// Issue 37: a crash under starts of several jobs pointed to none of them.
TEST(CrashingTask, WorkerTakesOneJobAtATimeAfterCrashesUnderStarts)
{
    CellHarness harness = calmHarness();
    for (const char* job : { "a1", "a2" }) {
        crashUnder(harness, harness.submitAndTakeStart(job));
        const auto retried = takeNextStarts(harness, 10s);
        ASSERT_EQ(retried.size(), 1U);
        harness.respond(retried[0], CommandStatus::Done);
        harness.surviveStart(retried[0]);
    }
    for (int polls = 0; polls < 10 && harness.runEvents(RunEvent::Kind::Suspected).size() < 2; ++polls) {
        harness.advance(100ms); // The second worker that has crashed responds again.
        harness.answerAllPolls();
    }
    ASSERT_EQ(harness.runEvents(RunEvent::Kind::Suspected).size(), 2U);
    harness.takeCommands<StartCommand>();
    for (const char* job : { "b", "c", "d", "e" })
        harness.submitAndStore(job, Millicores { 100 });
    harness.advance(10ms);
    std::map<WorkerId, std::set<JobId>> jobs;
    for (const StartCommand& start : harness.takeCommands<StartCommand>())
        jobs[start.worker].insert(start.task.job);
    ASSERT_FALSE(jobs.empty());
    for (const auto& [worker, started] : jobs)
        EXPECT_EQ(started.size(), 1U) << worker;
}

/// Issue 37: each suspect of a job waited for a trial of its own.
TEST(CrashingTask, SuspectsOfAStepAreTriedTogether)
{
    CellHarness harness = calmHarness();
    harness.listWorkers({ harness.listed()[0] });
    Job job { JobId { "a" }, QueueId { "q" }, 1'000'000, { "text", { {} }, {} } };
    job.spec.steps[0].count = 3;
    job.spec.steps[0].size = { Millicores { 100 }, Mebibytes { 100 }, {} };
    EXPECT_EQ(harness.cell().submit(job, 1, harness.now()), Acceptance::Pending);
    harness.storeChanges();
    harness.advance(10ms);
    const auto starts = harness.takeCommands<StartCommand>();
    ASSERT_EQ(starts.size(), 3U);
    harness.respond(starts[1], CommandStatus::Done);
    harness.respond(starts[2], CommandStatus::Done);
    crashUnder(harness, starts[0]);
    EXPECT_EQ(takeNextStarts(harness, 10s).size(), 3U);
}

TEST(CrashingTask, QueueForTrialsIsReported)
{
    CellHarness harness = calmHarness();
    crashUnder(harness, harness.submitAndTakeStart("a"));
    const auto retried = takeNextStarts(harness, 10s);
    ASSERT_EQ(retried.size(), 1U);
    harness.respond(retried[0], CommandStatus::Done);
    harness.advance(1s);
    harness.surviveStart(retried[0]);
    harness.advance(1s);
    TrialQueueEvent sum;
    int mostSuspects = 0;
    for (const TrialQueueEvent& event : harness.eventsOf<TrialQueueEvent>()) {
        mostSuspects = std::max(mostSuspects, event.suspects);
        sum.losses += event.losses;
        sum.cleared += event.cleared;
    }
    EXPECT_EQ(mostSuspects, 1);
    EXPECT_EQ(sum.losses, 1);
    EXPECT_EQ(sum.cleared, 1);
}

TEST(CrashingTask, SurvivalIsAskedForBesideAWaitingPoll)
{
    CellHarness harness = calmHarness();
    crashUnder(harness, harness.submitAndTakeStart("a"));
    const auto retried = takeNextStarts(harness, 10s);
    ASSERT_EQ(retried.size(), 1U);
    harness.respond(retried[0], CommandStatus::Done);
    harness.advance(100ms); // The poll that waits for ended runs.
    harness.takeCommands<PollCommand>();
    harness.advance(150ms);
    const auto checks = harness.takeCommands<PollCommand>();
    ASSERT_EQ(checks.size(), 1U);
    EXPECT_TRUE(checks[0].isSurvivalCheck);
    EXPECT_EQ(checks[0].worker, retried[0].worker);
    EXPECT_EQ(checks[0].leaseUntilWorkerMs, 0);
    EXPECT_EQ(checks[0].ackedThrough, 0);
}

TEST(CrashingTask, WorkerThatWasOnlyUnreachableBlamesNobody)
{
    CellHarness harness = calmHarness();
    const StartCommand start = harness.submitAndTakeStart("a");
    harness.respond(start, CommandStatus::Done);
    harness.advance(60ms);
    harness.dropPolls();
    harness.storeChanges();
    harness.advance(300ms);
    harness.answerPoll(start.worker.value().c_str(), { { start.task, start.run, "", 0 } });
    EXPECT_TRUE(harness.runEvents(RunEvent::Kind::Suspected).empty());
}

TEST(CrashingTask, StartWaitsUntilTheLossOfItsWorkerIsStored)
{
    CellHarness harness = calmHarness();
    const StartCommand start = harness.submitAndTakeStart("a");
    harness.respond(start, CommandStatus::NoResponse);
    for (int steps = 0; steps < 100; ++steps) {
        harness.advance(50ms);
        for (const PollCommand& poll : harness.takeCommands<PollCommand>()) {
            if (poll.worker == start.worker)
                harness.endConnection(poll);
            else
                harness.respond(poll, {});
        }
    }
    EXPECT_TRUE(harness.takeCommands<StartCommand>().empty());
    harness.storeChanges();
    harness.advance(50ms);
    EXPECT_EQ(harness.takeCommands<StartCommand>().size(), 1U);
}

TEST(CrashingTask, LostStartsAreStoredForTheNextOwner)
{
    StoredProgress progress;
    StoredTask task { 0, 0, 3 };
    task.lostStarts.push_back({ WorkerId { "w1" }, 7, 2, true, true, false, 62ms });
    task.lostStarts.push_back({ WorkerId { "w2" }, 9, 3 });
    progress.tasks = { task, { 0, 0, 4, true } };
    const auto decoded = valueOrNothing([&] { return decodeProgress(encode(progress)); });
    ASSERT_TRUE(decoded.has_value());
    EXPECT_EQ(*decoded, progress);
}

TEST(CrashingTask, ClearedSuspectIsNoSuspectOfTheNextOwner)
{
    CellHarness harness = calmHarness();
    crashUnder(harness, harness.submitAndTakeStart("a"));
    const auto retried = takeNextStarts(harness, 10s);
    ASSERT_EQ(retried.size(), 1U);
    harness.respond(retried[0], CommandStatus::Done);
    harness.surviveStart(retried[0]);
    const auto commit = harness.cell().takeCommit(harness.now().time_since_epoch().count() / 1000);
    ASSERT_TRUE(commit.has_value());
    ASSERT_EQ(commit->rows.size(), 1U);
    const auto stored = valueOrNothing([&] { return decodeProgress(commit->rows[0].value.value()); });
    ASSERT_EQ(stored.value().tasks.size(), 1U);
    const StoredTask expected { .presumedEnded = retried[0].run - 1 };
    EXPECT_EQ(stored.value().tasks[0], expected); // Nothing but the presumed end of the first run.
}

TEST(CrashingTask, LateFailureOfAnEarlierIncarnationBlamesNoStartInTheNextOne)
{
    CellHarness harness = calmHarness();
    harness.listWorkers({ harness.listed()[0] });
    harness.submitAndStore("early", Millicores { 100 });
    harness.advance(10ms);
    const StartCommand early = harness.takeCommands<StartCommand>().at(0); // Its result arrives late.
    harness.restartWorker(early.worker);
    harness.advance(60ms);
    harness.answerAllPolls();
    harness.listIncarnations();
    harness.confirmOwnership();
    harness.storeChanges();
    harness.submitAndStore("later", Millicores { 100 });
    harness.advance(10ms);
    const auto later = harness.takeCommands<StartCommand>();
    ASSERT_EQ(later.size(), 1U);
    harness.respond(later[0], CommandStatus::Done);
    harness.endConnection(early);
    const auto commit = harness.cell().takeCommit(harness.now().time_since_epoch().count() / 1000);
    for (const CellRow& row : commit ? commit->rows : std::vector<CellRow> {})
        EXPECT_EQ(row.job, JobId { "early" });
}

/// The list still shows the worker of a machine that has just been moved.
TEST(CrashingTask, MovedWorkerTakesNoStartBeforeItResponds)
{
    CellHarness harness = calmHarness();
    harness.cell().setDrainingMachines({ MachineId { "w1" } });
    harness.advance(10ms);
    harness.cell().setDrainingMachines({});
    for (const char* job : { "a", "b", "c" })
        harness.submitAndStore(job, Millicores { 900 });
    harness.advance(10ms);
    const auto starts = harness.takeCommands<StartCommand>();
    EXPECT_EQ(starts.size(), 1U);
    for (const StartCommand& start : starts)
        EXPECT_EQ(start.worker.value(), "w2");
    harness.answerPoll("w1", {}); // It was not moved after all.
    harness.advance(10ms);
    EXPECT_EQ(harness.takeCommands<StartCommand>().size(), 1U);
}

TEST(CrashingTask, PollAfterADrainDoesNotWaitForEndedRuns)
{
    CellHarness harness = calmHarness();
    const StartCommand start = harness.submitAndTakeStart("a");
    harness.respond(start, CommandStatus::Done);
    harness.advance(60ms);
    const char* worker = start.worker.value().c_str();
    harness.cell().setDrainingMachines({ MachineId { start.worker.value() } });
    harness.cell().setDrainingMachines({});
    harness.answerPoll(worker, { { start.task, start.run, "", 0 } }); // Sent before the drain.
    harness.advance(60ms);
    const auto isOfWorker
        = [&](const PollCommand& poll) { return poll.worker == start.worker && !poll.isSurvivalCheck; };
    const auto polls = harness.takeCommands<PollCommand>();
    const auto check = std::find_if(polls.begin(), polls.end(), isOfWorker);
    ASSERT_NE(check, polls.end());
    EXPECT_EQ(check->longestWait, Duration {});
}

TEST(CrashingTask, LossOfAMovedWorkerIsNoCrashByAnotherCause)
{
    CellHarness harness = calmHarness();
    harness.cell().setDrainingMachines({ MachineId { "w1" } });
    harness.advance(10ms);
    harness.cell().setDrainingMachines({});
    harness.advance(10ms);
    for (const PollCommand& poll : harness.takeCommands<PollCommand>())
        harness.endConnection(poll);
    StartCommand start = harness.submitAndTakeStart("a");
    for (int crashes = 0; crashes < 2; ++crashes) {
        crashUnder(harness, start);
        const auto next = takeNextStarts(harness, 20s);
        if (!next.empty())
            start = next.front();
    }
    const auto events = harness.eventsOf<JobEvent>();
    const auto isGivenUp = [](const JobEvent& event) { return event.kind == JobEvent::Kind::GivenUp; };
    const auto givenUp = std::find_if(events.begin(), events.end(), isGivenUp);
    ASSERT_NE(givenUp, events.end());
    EXPECT_TRUE(givenUp->detail.ends_with("crashes by other causes 0")) << givenUp->detail;
}

TEST(CrashingTask, RunThatLapsesAtOnceDoesNotClearItsTask)
{
    CellHarness harness = calmHarness();
    const StartCommand start = harness.submitAndTakeStart("a");
    harness.respond(start, CommandStatus::Done);
    harness.advance(300ms); // The response to the poll takes longer than the run.
    harness.answerPoll(
        start.worker.value().c_str(), {}, { { 1, start.task, start.run, RunOutcome::LeaseExpired, "" } });
    const auto next = takeNextStarts(harness, 5s);
    ASSERT_EQ(next.size(), 1U);
    crashUnder(harness, next[0]);
    takeNextStarts(harness, 5s);
    EXPECT_EQ(harness.runEvents(RunEvent::Kind::Suspected).size(), 1U);
}
