#include "cell_harness.h"
#include "rattanrack/jobs/job_codec.h"

using namespace rattanrack;
using namespace rattanrack::jobs;
using namespace rattanrack::jobs::tests;

namespace {

constexpr Duration period = 20ms;

/// The start of the job's only task crashes its worker, which returns after 3 s in a later incarnation.
/// Returns once the list shows that.
void crashUnder(CellHarness& harness, const StartCommand& start, CommandStatus response = CommandStatus::NoResponse)
{
    const std::string worker = start.worker.value();
    harness.respond(start, response);
    const TimePoint until = harness.now() + 3s;
    while (harness.now() < until) {
        harness.advance(period);
        for (const PollCommand& poll : harness.takeCommands<PollCommand>()) {
            if (poll.worker == start.worker)
                harness.dropPoll(poll);
            else
                harness.respond(poll, {});
        }
        harness.confirmOwnership();
    }
    harness.restartWorker(start.worker);
    harness.listIncarnations();
}

/// Answers all polls, stops and commits until a start is issued.
std::optional<StartCommand> nextStart(CellHarness& harness, Duration within)
{
    const TimePoint until = harness.now() + within;
    while (harness.now() < until) {
        harness.advance(period);
        harness.storeChanges();
        harness.confirmOwnership();
        harness.answerAllPolls();
        for (const StopCommand& stop : harness.takeCommands<StopCommand>())
            harness.cell().onResult(stop, { CommandStatus::Done }, harness.now());
        if (const auto starts = harness.takeCommands<StartCommand>(); !starts.empty())
            return starts.front();
    }
    return std::nullopt;
}

bool isGivenUp(CellHarness& harness, const std::string& job)
{
    harness.storeChanges();
    return harness.cell().state(JobId { job }) == JobState::Failed;
}

/// Lets all workers have been up for a while. They keep their connections.
void settle(CellHarness& harness)
{
    harness.bindCommands();
    for (int step = 0; step < 60; ++step) {
        harness.advance(100ms);
        harness.confirmOwnership();
        harness.answerAllPolls();
    }
}

} // namespace

TEST(CrashingTask, SecondCrashInATrialIsProof)
{
    CellHarness harness;
    settle(harness);
    const StartCommand first = harness.submitAndTakeStart("a");
    crashUnder(harness, first, CommandStatus::Done);
    const auto trial = nextStart(harness, 15s);
    ASSERT_TRUE(trial.has_value());
    EXPECT_NE(trial->worker, first.worker);
    EXPECT_FALSE(isGivenUp(harness, "a"));
    crashUnder(harness, *trial);
    EXPECT_FALSE(nextStart(harness, 2s).has_value());
    EXPECT_TRUE(isGivenUp(harness, "a"));
}

TEST(CrashingTask, CrashIsStoredBeforeTheTaskStartsAgain)
{
    CellHarness harness;
    settle(harness);
    crashUnder(harness, harness.submitAndTakeStart("a"));
    for (int step = 0; step < 300; ++step) {
        harness.advance(period);
        harness.confirmOwnership();
        harness.answerAllPolls();
        for (const StopCommand& stop : harness.takeCommands<StopCommand>())
            harness.cell().onResult(stop, { CommandStatus::Done }, harness.now());
        ASSERT_TRUE(harness.takeCommands<StartCommand>().empty());
    }
    EXPECT_TRUE(nextStart(harness, 1s).has_value());
}

TEST(CrashingTask, CrashIsCountedOnce)
{
    CellHarness harness;
    settle(harness);
    crashUnder(harness, harness.submitAndTakeStart("a"));
    harness.listIncarnations();
    harness.advance(period);
    harness.answerAllPolls();
    EXPECT_EQ(harness.runEvents(RunEvent::Kind::Suspected).size(), 1U);
}

TEST(CrashingTask, WorkerThatWasOnlyUnreachableHasNotCrashed)
{
    CellHarness harness;
    settle(harness);
    const StartCommand start = harness.submitAndTakeStart("a");
    harness.respond(start, CommandStatus::Done);
    harness.advance(period);
    harness.dropPolls();
    harness.advance(300ms);
    harness.answerAllPolls();
    EXPECT_TRUE(harness.runEvents(RunEvent::Kind::Suspected).empty());
}

TEST(CrashingTask, RunThatWasListedLongAfterItsStartIsNotBlamed)
{
    CellHarness harness;
    settle(harness);
    const StartCommand start = harness.submitAndTakeStart("a");
    harness.respond(start, CommandStatus::Done);
    harness.advance(200ms);
    harness.answerPoll(start.worker.value().c_str(), { { start.task, start.run, "", 0 } });
    harness.restartWorker(start.worker);
    harness.listIncarnations();
    harness.advance(period);
    EXPECT_TRUE(harness.runEvents(RunEvent::Kind::Suspected).empty());
}

TEST(CrashingTask, WorkerThatWasDrainingIsNotCounted)
{
    CellHarness harness;
    settle(harness);
    const StartCommand start = harness.submitAndTakeStart("a");
    harness.respond(start, CommandStatus::Done);
    harness.cell().setDrainingMachines({ MachineId { start.worker.value() } });
    harness.restartWorker(start.worker);
    harness.listIncarnations();
    EXPECT_TRUE(harness.runEvents(RunEvent::Kind::Suspected).empty());
}

TEST(CrashingTask, NothingElseStartsBesideATrial)
{
    CellHarness harness;
    settle(harness);
    harness.submitAndStore("a", Millicores { 100 });
    harness.advance(period);
    crashUnder(harness, harness.takeCommands<StartCommand>().at(0));
    const auto trial = nextStart(harness, 15s);
    ASSERT_TRUE(trial.has_value());
    harness.submitAndStore("b", Millicores { 100 });
    harness.submitAndStore("c", Millicores { 100 });
    harness.advance(period);
    for (const StartCommand& start : harness.takeCommands<StartCommand>())
        EXPECT_NE(start.worker, trial->worker);
}

TEST(CrashingTask, SuspectThatSurvivesATrialIsCleared)
{
    CellHarness harness;
    settle(harness);
    crashUnder(harness, harness.submitAndTakeStart("a"));
    const auto trial = nextStart(harness, 15s);
    ASSERT_TRUE(trial.has_value());
    harness.respond(*trial, CommandStatus::Done);
    for (int step = 0; step < 4; ++step) {
        harness.advance(60ms);
        harness.answerPoll(trial->worker.value().c_str(), { { trial->task, trial->run, "", 0 } });
    }
    EXPECT_EQ(harness.runEvents(RunEvent::Kind::Cleared).size(), 1U);
}

TEST(CrashingTask, CrashDuringATakeoverIsCountedByTheNextOwner)
{
    Job job { JobId { "a" }, QueueId { "q" }, 0, { "text", { {} }, {} } };
    job.spec.steps[0].size = { Millicores { 800 }, Mebibytes { 100 }, {} };
    StoredProgress progress;
    progress.tasks.push_back(
        { 0, 0, 0, false, {}, { { WorkerId { "w2" }, 0, true } }, { { WorkerId { "w1" }, 0, 1 } } });
    CellHarness harness { 2, { { job, valueOrNothing([&] { return decodeProgress(encode(progress)); }).value() } } };
    harness.answerAllPolls(); // The workers are in their incarnation 1.
    ASSERT_EQ(harness.runEvents(RunEvent::Kind::Suspected).size(), 0U); // Events are taken by the next pass.
    harness.advance(period);
    ASSERT_EQ(harness.runEvents(RunEvent::Kind::Suspected).size(), 1U);
    EXPECT_TRUE(isGivenUp(harness, "a"));
}

TEST(CrashingTask, ProgressOfAnEarlierVersionHasNoCrashes)
{
    StoredProgress progress;
    progress.tasks.push_back({ 0, 0, 1, false, { 3 } });
    progress.tasks.push_back(
        { 0, 0, 2, false, {}, { { WorkerId { "w" }, 7, false } }, { { WorkerId { "v" }, 8, 9 } } });
    EXPECT_EQ(valueOrNothing([&] { return decodeProgress(encode(progress)); }).value(), progress);
}

TEST(CrashingTask, PausedOwnerCountsTheCrash)
{
    CellHarness harness;
    settle(harness);
    const StartCommand start = harness.submitAndTakeStart("a");
    harness.restartWorker(start.worker);
    harness.advance(8s); // No pass in between.
    harness.respond(start, CommandStatus::NoResponse);
    harness.answerAllPolls();
    harness.advance(period);
    EXPECT_EQ(harness.runEvents(RunEvent::Kind::Suspected).size(), 1U);
}

TEST(CrashingTask, CrashIsStoredOnceTheStoreIsBack)
{
    CellHarness harness;
    settle(harness);
    crashUnder(harness, harness.submitAndTakeStart("a"));
    ASSERT_TRUE(harness.cell().takeCommit(0).has_value());
    harness.cell().onCommitFailed();
    EXPECT_TRUE(harness.cell().hasUrgentCommit());
    const auto commit = harness.cell().takeCommit(0);
    ASSERT_TRUE(commit.has_value());
    const auto progress = valueOrNothing([&] { return decodeProgress(*commit->rows.back().value); }).value();
    ASSERT_EQ(progress.tasks.size(), 1U);
    EXPECT_EQ(progress.tasks[0].crashes.size(), 1U);
}

TEST(CrashingTask, LongRunningTaskIsNotGivenUpAfterTwoCrashes)
{
    CellHarness harness;
    settle(harness);
    Job job { JobId { "a" }, QueueId { "q" }, 0, { "text", { {} }, {} } };
    job.spec.steps[0].size = { Millicores { 800 }, Mebibytes { 100 }, {} };
    job.spec.steps[0].isLongRunning = true;
    ASSERT_EQ(harness.cell().submit(job, 1, harness.now()), Acceptance::Pending);
    const auto first = nextStart(harness, 1s);
    ASSERT_TRUE(first.has_value());
    crashUnder(harness, *first, CommandStatus::Done);
    const auto second = nextStart(harness, 15s);
    ASSERT_TRUE(second.has_value());
    crashUnder(harness, *second);
    harness.advance(period);
    ASSERT_EQ(harness.runEvents(RunEvent::Kind::Suspected).size(), 2U);
    EXPECT_FALSE(isGivenUp(harness, "a"));
    EXPECT_TRUE(nextStart(harness, 15s).has_value());
}

TEST(CrashingTask, GangIsNotGivenUpWhenBothOfItsWorkersCrash)
{
    CellHarness harness;
    settle(harness);
    Job job { JobId { "a" }, QueueId { "q" }, 0, { "text", { {} }, {} } };
    job.spec.steps[0].size = { Millicores { 800 }, Mebibytes { 100 }, {} };
    job.spec.steps[0].count = 2;
    job.spec.steps[0].isGang = true;
    ASSERT_EQ(harness.cell().submit(job, 1, harness.now()), Acceptance::Pending);
    harness.storeChanges();
    harness.advance(period);
    for (const StartCommand& start : harness.takeCommands<StartCommand>())
        harness.respond(start, CommandStatus::Done);
    harness.restartAllWorkers();
    harness.advance(period);
    EXPECT_EQ(harness.runEvents(RunEvent::Kind::Suspected).size(), 2U);
    EXPECT_FALSE(isGivenUp(harness, "a"));
    EXPECT_TRUE(nextStart(harness, 15s).has_value());
}
