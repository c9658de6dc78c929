#include "cell_harness.h"

using namespace rattanrack;
using namespace rattanrack::jobs;
using namespace rattanrack::jobs::tests;
using namespace std::chrono_literals;

/// Reports of long-running tasks that have no active run.
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
    EXPECT_EQ(events[0].detail, "no worker has room for it");
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
    EXPECT_TRUE(harness.missingRunEvents().empty());
}

TEST(CellMissingRun, OwnerThatMayStartNothingIsNamed)
{
    CellHarness harness;
    harness.cell().submit(longRunningJob(Millicores { 500 }), 1, harness.now());
    harness.storeChanges();
    for (int pass = 0; pass < 35; ++pass)
        harness.advance(100ms, Authority::RenewOnly);
    ASSERT_EQ(harness.missingRunEvents().size(), 1U);
    EXPECT_EQ(harness.missingRunEvents()[0].detail, "its owner may start nothing at present");
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
    EXPECT_EQ(event.detail, "its start got no response");
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
