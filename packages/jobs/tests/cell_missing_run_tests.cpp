#include "cell_harness.h"

using namespace rattanrack;
using namespace rattanrack::jobs;
using namespace rattanrack::jobs::tests;
using namespace std::chrono_literals;

/// Reports of tasks that could run and have no active run.
namespace {

Job longRunningJob(Millicores size)
{
    Job job { JobId { "long" }, QueueId { "q" }, 1'000'000, { "text", { {} }, {} } };
    job.spec.steps[0].size = { size, Mebibytes { 100 }, {} };
    job.spec.steps[0].isLongRunning = true;
    return job;
}

void submit(CellHarness& harness, const Job& job)
{
    harness.cell().submit(job, 1, harness.now());
    harness.storeChanges();
    harness.advance(10ms);
}

void advanceInSteps(CellHarness& harness, Duration time)
{
    for (Duration passed {}; passed < time; passed += 100ms) {
        harness.advance(100ms);
        harness.answerAllPolls();
    }
}

} // namespace

TEST(CellMissingRun, TaskWithoutRoomIsReportedOnceInThreeSeconds)
{
    CellHarness harness;
    submit(harness, longRunningJob(Millicores { 5000 }));
    advanceInSteps(harness, 2500ms);
    EXPECT_TRUE(harness.missingRunEvents().empty());
    advanceInSteps(harness, 4500ms);
    const auto events = harness.missingRunEvents();
    ASSERT_EQ(events.size(), 2U);
    EXPECT_EQ(describe(events[0].reason), "no worker has room for it");
    EXPECT_GE(events[0].age, 3s);
}

TEST(CellMissingRun, StepThatIsNotReadyIsNotReported)
{
    CellHarness harness;
    Job job = longRunningJob(Millicores { 5000 });
    job.spec.steps.push_back(job.spec.steps[0]);
    job.spec.steps[0].isLongRunning = false; // Does not fit, so that the second step never becomes ready.
    job.spec.steps[1].dependsOn = { 0 };
    submit(harness, job);
    advanceInSteps(harness, 7s);
    ASSERT_EQ(harness.missingRunEvents().size(), 2U);
    for (const MissingRunEvent& event : harness.missingRunEvents())
        EXPECT_EQ(event.task.step, 0);
}

TEST(CellMissingRun, OwnerThatMayStartNothingIsNamed)
{
    CellHarness harness;
    harness.cell().submit(longRunningJob(Millicores { 500 }), 1, harness.now());
    harness.storeChanges();
    for (int pass = 0; pass < 35; ++pass)
        harness.advance(100ms, Authority::RenewOnly);
    ASSERT_EQ(harness.missingRunEvents().size(), 1U);
    EXPECT_EQ(describe(harness.missingRunEvents()[0].reason), "its owner may start nothing at present");
}

TEST(CellMissingRun, UnansweredStartIsNamed)
{
    CellHarness harness;
    submit(harness, longRunningJob(Millicores { 500 }));
    const StartCommand start = harness.takeCommands<StartCommand>().at(0);
    harness.respond(start, CommandStatus::NoResponse);
    for (int pass = 0; pass < 35; ++pass) {
        harness.advance(100ms);
        harness.dropPolls();
    }
    ASSERT_EQ(harness.missingRunEvents().size(), 1U);
    const MissingRunEvent event = harness.missingRunEvents()[0];
    EXPECT_EQ(describe(event.reason), "its start got no response");
    EXPECT_EQ(event.run, start.run);
    EXPECT_EQ(event.worker, start.worker);
}

TEST(CellMissingRun, ActiveTaskIsNotReported)
{
    CellHarness harness;
    submit(harness, longRunningJob(Millicores { 500 }));
    const StartCommand start = harness.takeCommands<StartCommand>().at(0);
    harness.respond(start, CommandStatus::Done);
    for (int pass = 0; pass < 60; ++pass) {
        harness.advance(100ms);
        for (const PollCommand& poll : harness.takeCommands<PollCommand>()) {
            const bool isRunningThere = poll.worker == start.worker;
            harness.respond(poll,
                isRunningThere ? std::vector { RunningRun { start.task, start.run } } : std::vector<RunningRun> {});
        }
    }
    EXPECT_TRUE(harness.missingRunEvents().empty());
}

TEST(CellMissingRun, FiniteTaskIsReported)
{
    CellHarness harness;
    harness.submitAndStore("running", Millicores { 800 });
    harness.submitAndStore("large", Millicores { 5000 });
    harness.advance(10ms);
    const StartCommand start = harness.takeCommands<StartCommand>().at(0);
    harness.respond(start, CommandStatus::Done);
    for (int pass = 0; pass < 70; ++pass) {
        harness.advance(100ms);
        for (const PollCommand& poll : harness.takeCommands<PollCommand>()) {
            const bool isRunningThere = poll.worker == start.worker;
            harness.respond(poll,
                isRunningThere ? std::vector { RunningRun { start.task, start.run } } : std::vector<RunningRun> {});
        }
    }
    const auto events = harness.missingRunEvents();
    ASSERT_EQ(events.size(), 2U);
    EXPECT_EQ(events[0].task.job, JobId { "large" });
    EXPECT_EQ(events[1].task.job, JobId { "large" });
    EXPECT_EQ(events[0].reason, MissingRunReason::NoRoom);
    EXPECT_GE(events[0].age, 3s);
}

TEST(CellMissingRun, OccurrenceThatIsNotDueIsNotReported)
{
    CellHarness harness;
    Job job = longRunningJob(Millicores { 5000 });
    job.spec.steps[0].isLongRunning = false;
    job.spec.schedule = { 2, harness.now().time_since_epoch().count() / 1000 + 4000, 60'000 };
    submit(harness, job);
    advanceInSteps(harness, 6500ms);
    EXPECT_TRUE(harness.missingRunEvents().empty());
    advanceInSteps(harness, 1500ms);
    ASSERT_EQ(harness.missingRunEvents().size(), 1U);
    EXPECT_EQ(harness.missingRunEvents()[0].task.occurrence, 0);
}

/// In an overload the cost of a check stays the same.
TEST(CellMissingRun, NumberOfReportsOfFiniteTasksIsBounded)
{
    CellHarness harness;
    for (int job = 0; job < 500; ++job)
        harness.submitAndStore("job" + std::to_string(job), Millicores { 5000 });
    advanceInSteps(harness, 3500ms);
    EXPECT_GE(harness.missingRunEvents().size(), 30U);
    EXPECT_LE(harness.missingRunEvents().size(), 150U);
}

TEST(CellMissingRun, AgeOfAnExpiredRunCountsFromItsStart)
{
    CellHarness harness;
    const StartCommand start = harness.submitAndTakeStart("a");
    harness.respond(start, CommandStatus::Done);
    for (int pass = 0; pass < 120 && harness.runEvents(RunEvent::Kind::PresumedEnded).empty(); ++pass) {
        harness.advance(100ms);
        harness.dropPolls();
    }
    const auto events = harness.runEvents(RunEvent::Kind::PresumedEnded);
    ASSERT_EQ(events.size(), 1U);
    EXPECT_GT(events[0].age, 1s);
}
