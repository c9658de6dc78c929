#include "crash_harness.h"
#include "two_task_job.h"

using namespace rattanrack;
using namespace rattanrack::jobs;
using namespace rattanrack::jobs::tests;

/// Entries among the workers' that something else than the worker has written.
namespace {

/// The entries after the worker's own one has been replaced by one of another writer on its machine.
std::vector<WorkerDescription> withForeignEntryInPlaceOf(const CellHarness& harness, const WorkerId& worker)
{
    auto entries = harness.listed();
    for (WorkerDescription& entry : entries) {
        if (entry.id != worker)
            continue;
        entry.id = WorkerId { "foreign" };
        entry.address = "10.0.0.9:9";
        entry.incarnationUnixMs = 5;
    }
    return entries;
}

StartCommand startRun(CellHarness& harness)
{
    StartCommand start = harness.submitAndTakeStart("a");
    harness.respond(start, CommandStatus::Done);
    harness.advance(10ms);
    return start;
}

/// Advances for that long. The worker lists the run, and nothing responds under the id of the foreign entry.
void listRunFor(CellHarness& harness, const StartCommand& start, Duration time)
{
    for (Duration passed {}; passed < time; passed += 100ms) {
        harness.advance(100ms);
        for (const PollCommand& poll : harness.takeCommands<PollCommand>()) {
            if (poll.worker == WorkerId { "foreign" })
                harness.dropPoll(poll);
            else if (poll.worker == start.worker)
                harness.respond(poll, { { start.task, start.run, "", 0 } });
            else
                harness.respond(poll, {});
        }
    }
}

void respondAsOtherWorker(CellHarness& harness, const WorkerId& worker)
{
    for (const PollCommand& poll : harness.takeCommands<PollCommand>()) {
        if (poll.worker != worker)
            continue;
        PollResult result;
        result.status = CommandStatus::WrongWorker;
        harness.cell().onResult(poll, result, harness.now(), harness.now());
    }
}

} // namespace

TEST(ForeignEntry, EndsNoRunOfAWorkerThatResponds)
{
    CellHarness harness;
    const StartCommand start = startRun(harness);
    harness.listWorkers(withForeignEntryInPlaceOf(harness, start.worker));
    listRunFor(harness, start, 8s);
    EXPECT_TRUE(harness.runEvents(RunEvent::Kind::PresumedEnded).empty());
    EXPECT_TRUE(harness.takeCommands<StartCommand>().empty());
}

TEST(ForeignEntry, EndsNoRunOfAWorkerThatIsOnlyUnreachable)
{
    CellHarness harness;
    const StartCommand start = startRun(harness);
    harness.dropPolls();
    harness.listWorkers(withForeignEntryInPlaceOf(harness, start.worker));
    harness.advance(1s); // The lease lasts for longer.
    EXPECT_TRUE(harness.runEvents(RunEvent::Kind::PresumedEnded).empty());
    EXPECT_TRUE(harness.takeCommands<StartCommand>().empty());
}

TEST(ForeignEntry, ReleasesNoInheritedWorker)
{
    CellHarness harness { 2, { { twoTaskJob({}), {} } } };
    harness.listWorkers(withForeignEntryInPlaceOf(harness, WorkerId { "w1" }));
    harness.answerPoll("w2", {});
    harness.confirmOwnership();
    harness.advance(500ms);
    EXPECT_TRUE(harness.cell().isRecovering());
    EXPECT_TRUE(harness.takeCommands<StartCommand>().empty());
}

TEST(ForeignEntry, WithALaterStartUnderTheWorkersIdIsNoCrash)
{
    CellHarness harness = calmHarness();
    const StartCommand start = harness.submitAndTakeStart("a");
    harness.respond(start, CommandStatus::Done);
    auto entries = harness.listed();
    for (WorkerDescription& entry : entries)
        entry.incarnationUnixMs = 5;
    harness.listWorkers(entries);
    harness.advance(10ms);
    EXPECT_TRUE(harness.runEvents(RunEvent::Kind::Suspected).empty());
    harness.storeChanges();
    EXPECT_EQ(harness.cell().state(JobId { "a" }), JobState::Active);
}

/// Without this, a worker that crashes again before it has responded proves nothing against the tasks that it starts.
TEST(ForeignEntry, LaterStartUnderTheIdOfASilentWorkerCountsAsACrash)
{
    CellHarness harness = calmHarness();
    const StartCommand start = harness.submitAndTakeStart("a");
    harness.respond(start, CommandStatus::Done);
    harness.advance(10ms);
    harness.dropPolls();
    auto entries = harness.listed();
    for (WorkerDescription& entry : entries)
        entry.incarnationUnixMs = 5;
    harness.listWorkers(entries);
    harness.advance(10ms);
    EXPECT_EQ(harness.runEvents(RunEvent::Kind::Suspected).size(), 1U);
    EXPECT_TRUE(harness.runEvents(RunEvent::Kind::PresumedEnded).empty()); // The run may go on.
}

/// The entry of a worker shows another address than the one at which the worker has responded.
TEST(ForeignEntry, WithAnotherAddressEndsNoRun)
{
    CellHarness harness;
    const StartCommand start = startRun(harness);
    harness.dropPolls();
    auto entries = harness.listed();
    for (WorkerDescription& entry : entries)
        entry.address = entry.id == start.worker ? "10.0.0.9:9" : entry.address;
    harness.listWorkers(entries);
    harness.advance(300ms);
    respondAsOtherWorker(harness, start.worker);
    harness.advance(300ms);
    EXPECT_TRUE(harness.runEvents(RunEvent::Kind::PresumedEnded).empty());
    EXPECT_TRUE(harness.takeCommands<StartCommand>().empty());
}

TEST(ForeignEntry, OtherWorkerAtTheAddressWhereTheWorkerHasRespondedEndsItsRuns)
{
    CellHarness harness;
    const StartCommand start = startRun(harness);
    listRunFor(harness, start, 300ms);
    harness.advance(300ms);
    respondAsOtherWorker(harness, start.worker);
    harness.advance(10ms);
    EXPECT_EQ(harness.runEvents(RunEvent::Kind::PresumedEnded).size(), 1U);
}
