#include "cell_harness.h"

using namespace rattanrack;
using namespace rattanrack::jobs;
using namespace rattanrack::jobs::tests;
using namespace std::chrono_literals;

TEST(Cell, NothingStartsBeforeTheJobIsStored)
{
    CellHarness desk;
    Job job { JobId { "a" }, QueueId { "q" }, 1, { "", { {} }, {} } };
    EXPECT_EQ(desk.cell().submit(job, 1, desk.now()), Acceptance::Pending);
    desk.step(50ms);
    EXPECT_TRUE(desk.take<StartCommand>().empty());
    EXPECT_FALSE(desk.cell().state(JobId { "a" }).has_value());
    desk.store();
    desk.step(50ms);
    EXPECT_EQ(desk.take<StartCommand>().size(), 1U);
}

TEST(Cell, RefusedRetryOfAnUnansweredStartIsStoppedBeforeItGoesElsewhere)
{
    CellHarness desk;
    const StartCommand first = desk.startOf("a");
    desk.answer(first, CommandStatus::NoResponse);
    desk.step(300ms);
    const StartCommand again = desk.take<StartCommand>().at(0);
    EXPECT_EQ(again.run, first.run);
    EXPECT_EQ(again.worker, first.worker);
    desk.answer(again, CommandStatus::Refused, RefusalReason::NoCapacity);
    desk.step(10ms);
    EXPECT_TRUE(desk.take<StartCommand>().empty());
    const StopCommand stop = desk.take<StopCommand>().at(0);
    EXPECT_EQ(stop.run, first.run);
    desk.cell().onResult(stop, { CommandStatus::Done, RefusalReason::None, 0 }, desk.now());
    desk.step(60ms);
    for (const PollCommand& look : desk.take<PollCommand>())
        desk.answer(look, {});
    desk.step(400ms);
    const StartCommand next = desk.take<StartCommand>().at(0);
    EXPECT_GT(next.run, first.run);
}

TEST(Cell, StartThatCameToNothingTellsWhy)
{
    const auto whyNot = [](CommandStatus status, RefusalReason refusal) {
        CellHarness desk;
        const StartCommand start = desk.startOf("a");
        EXPECT_EQ(desk.cell().commandsInFlight(), 1U);
        desk.answer(start, status, refusal);
        EXPECT_EQ(desk.cell().commandsInFlight(), 0U);
        desk.step(10ms);
        return desk.runEvents(RunEvent::Kind::NotStarted).at(0).detail;
    };
    EXPECT_EQ(whyNot(CommandStatus::Expired, RefusalReason::None), "start expired in our queue");
    EXPECT_EQ(whyNot(CommandStatus::NotSent, RefusalReason::None), "start not sent");
    EXPECT_EQ(whyNot(CommandStatus::Refused, RefusalReason::NoCapacity), "start refused: room");
    EXPECT_EQ(whyNot(CommandStatus::Refused, RefusalReason::InvalidTicket), "start refused: ticket");
    EXPECT_EQ(whyNot(CommandStatus::Unhealthy, RefusalReason::None), "start refused: unhealthy");
}

TEST(Cell, RunsOfASilentWorkerAreWaitedOut)
{
    CellHarness desk;
    const StartCommand first = desk.startOf("a");
    desk.answer(first, CommandStatus::Done);
    desk.step(60ms); // The look renews the lease for 4.5 s; from then on the worker is silent.
    const TimePoint renewedAt = desk.now();
    desk.dropPolls();
    std::vector<StartCommand> starts;
    while (starts.empty() && desk.now() - renewedAt < 10s) {
        desk.step(100ms);
        desk.dropPolls();
        starts = desk.take<StartCommand>();
    }
    ASSERT_EQ(starts.size(), 1U);
    EXPECT_NE(starts[0].worker, first.worker);
    EXPECT_GE(desk.now() - renewedAt, Duration { 4500ms });
    EXPECT_LE(desk.now() - renewedAt, Duration { 5s });
}

TEST(Cell, EndIsAcknowledgedOnlyWhenItIsStored)
{
    CellHarness desk;
    const StartCommand start = desk.startOf("a");
    desk.answer(start, CommandStatus::Done);
    desk.step(60ms);
    for (const PollCommand& look : desk.take<PollCommand>())
        desk.answer(look, {}, { { 1, start.task, start.run, RunOutcome::Done, "" } });
    desk.step(60ms);
    for (const PollCommand& look : desk.take<PollCommand>())
        EXPECT_EQ(look.ackedThrough, 0);
    EXPECT_NE(desk.cell().state(JobId { "a" }), JobState::Completed);
    desk.store();
    EXPECT_EQ(desk.cell().state(JobId { "a" }), JobState::Completed);
    desk.step(60ms);
    const auto looks = desk.take<PollCommand>();
    ASSERT_FALSE(looks.empty());
    EXPECT_EQ(looks[0].ackedThrough, 1);
}

TEST(Cell, NextOwnerNeedNotWaitForASilentWorkerOnWhichNothingRuns)
{
    CellHarness desk;
    ASSERT_EQ(desk.cell().workersInUse().size(), 2U);
    const auto loseUntilSilent = [&] {
        desk.step(300ms);
        desk.dropPolls();
    };
    const StartCommand start = desk.startOf("a");
    desk.answer(start, CommandStatus::Done);
    for (int tries = 0; tries < 5; ++tries)
        loseUntilSilent();
    EXPECT_TRUE(desk.cell().workersInUse().contains(start.worker)); // Its lease has not lapsed.
    for (int tries = 0; tries < 20; ++tries)
        loseUntilSilent();
    EXPECT_FALSE(desk.cell().workersInUse().contains(start.worker));
    EXPECT_TRUE(desk.cell().knownWorkers().contains(start.worker)); // It is still looked at.
}

TEST(Cell, WorkerThatIsBackIsUsedOnceTheNextOwnerWouldKnow)
{
    CellHarness desk;
    desk.submitAndStore("a");
    desk.submitAndStore("b"); // One for each worker.
    desk.step(10ms);
    const auto first = desk.take<StartCommand>();
    ASSERT_EQ(first.size(), 2U);
    for (const StartCommand& start : first)
        desk.answer(start, CommandStatus::Done);
    for (int tries = 0; tries < 30; ++tries) { // All workers are silent, and all that ran there has lapsed.
        desk.step(300ms);
        desk.dropPolls();
    }
    const WorkerMachines none = desk.cell().workersInUse();
    ASSERT_TRUE(none.empty());
    const auto startsOnceBack = [&] {
        desk.step(300ms);
        for (const PollCommand& look : desk.take<PollCommand>())
            desk.answer(look, {});
        desk.step(100ms);
        return desk.take<StartCommand>().size();
    };
    desk.cell().onWorkerListSent(none, desk.now()); // Its answer is still to come when the workers are back.
    EXPECT_EQ(startsOnceBack(), 0U);
    desk.cell().onWorkerListStored(none);
    EXPECT_EQ(startsOnceBack(), 0U);
    const WorkerMachines both = desk.cell().workersInUse();
    EXPECT_EQ(both.size(), 2U);
    desk.cell().onWorkerListSent(both, desk.now());
    EXPECT_EQ(startsOnceBack(), 0U);
    desk.cell().onWorkerListStored(both);
    EXPECT_EQ(startsOnceBack(), 2U);
}

TEST(Cell, SubtaskOnASilentWorkerIsAwayWhenAnotherIsToBeMoved)
{
    CellHarness desk;
    Job job { JobId { "a" }, QueueId { "q" }, 1, { "text", { {} }, {} } };
    Step& step = job.spec.steps[0];
    step.count = 2;
    step.size = { Millicores { 800 }, Mebibytes { 100 }, {} };
    step.isLongRunning = true;
    step.maxUnavailable = 1;
    EXPECT_EQ(desk.cell().submit(job, 1, desk.now()), Acceptance::Pending);
    desk.store();
    desk.step(10ms);
    const auto starts = desk.take<StartCommand>();
    ASSERT_EQ(starts.size(), 2U);
    for (const StartCommand& start : starts)
        desk.answer(start, CommandStatus::Done);
    const auto look = [&](bool isFirstSilent) {
        desk.step(300ms);
        for (const PollCommand& each : desk.take<PollCommand>()) {
            const StartCommand& start = each.worker == starts[0].worker ? starts[0] : starts[1];
            if (isFirstSilent && each.worker == starts[0].worker)
                desk.cell().onResult(each, { CommandStatus::NoResponse }, desk.now(), desk.now());
            else
                desk.answer(each, { { start.task, start.run, "", 100 } });
        }
    };
    look(false);
    look(true);
    desk.cell().setDrainingMachines({ MachineId { starts[1].worker.value() } });
    for (int tries = 0; tries < 10; ++tries) { // Until shortly before the silent worker's lease has lapsed.
        look(true);
        EXPECT_TRUE(desk.take<StopCommand>().empty());
    }
}

TEST(Cell, JobsThatAlwaysFailKeepNotAllWorkersFromOthers)
{
    CellHarness desk;
    std::int64_t lastEnd = 0;
    for (const char* id : { "bad1", "bad2", "bad3", "bad4" }) {
        desk.submitAndStore(id);
        for (int tries = 0; tries < 400 && desk.cell().state(JobId { id }) != JobState::Failed; ++tries) {
            desk.step(60ms);
            const auto starts = desk.take<StartCommand>();
            for (const StartCommand& start : starts)
                desk.answer(start, CommandStatus::Done);
            for (const PollCommand& look : desk.take<PollCommand>()) {
                std::vector<EndedRun> ends;
                for (const StartCommand& start : starts) {
                    if (start.worker == look.worker)
                        ends.push_back({ ++lastEnd, start.task, start.run, RunOutcome::Failed, "" });
                }
                desk.answer(look, {}, ends);
            }
            desk.store();
        }
        ASSERT_EQ(desk.cell().state(JobId { id }), JobState::Failed);
    }
    desk.submitAndStore("good");
    desk.step(60ms);
    EXPECT_EQ(desk.take<StartCommand>().size(), 1U);
}

TEST(Cell, WorkerAvoidedForItsFailuresIsUsedOnceWorkHasSucceededThere)
{
    CellHarness desk;
    for (int number = 0; number < 10; ++number) // Fill both workers.
        desk.submitAndStore("a" + std::to_string(number), Millicores { 200 });
    std::vector<EndedRun> ends;
    for (int tries = 0; tries < 4; ++tries) {
        desk.step(10ms);
        for (const StartCommand& start : desk.take<StartCommand>()) {
            desk.answer(start, CommandStatus::Done);
            if (start.worker == WorkerId { "w1" })
                ends.push_back(
                    { static_cast<std::int64_t>(ends.size()) + 1, start.task, start.run, RunOutcome::Failed, "" });
        }
    }
    ASSERT_EQ(ends.size(), 5U);
    ends.back().outcome = RunOutcome::Done;
    desk.step(60ms);
    desk.hear("w1", {}, ends);
    desk.store();
    desk.step(60ms);
    const auto starts = desk.take<StartCommand>();
    ASSERT_FALSE(starts.empty());
    EXPECT_EQ(starts.front().worker, WorkerId { "w1" });
}

TEST(Cell, MachineIsEmptyOnlyWhenItsEndsAreStored)
{
    CellHarness desk;
    const StartCommand start = desk.startOf("a");
    const MachineId machine { start.worker.value() };
    desk.answer(start, CommandStatus::Done);
    desk.cell().setDrainingMachines({ machine });
    EXPECT_TRUE(desk.cell().drainedMachines().empty());
    desk.step(60ms);
    for (const PollCommand& look : desk.take<PollCommand>())
        desk.answer(look, {}, { { 1, start.task, start.run, RunOutcome::Done, "" } });
    desk.step(10ms);
    EXPECT_TRUE(desk.cell().drainedMachines().empty()); // The next owner would not hear of the end.
    desk.store();
    desk.step(60ms);
    EXPECT_EQ(desk.cell().drainedMachines(), std::vector<MachineId> { machine });
}

TEST(Cell, StoreThatRefusesGivesUpOnlyWhatIsNew)
{
    CellHarness desk;
    desk.submitAndStore("old");
    desk.step(10ms);
    Job job { JobId { "new" }, QueueId { "q" }, 1, { "", { {} }, {} } };
    EXPECT_EQ(desk.cell().submit(job, 7, desk.now()), Acceptance::Pending);
    ASSERT_TRUE(desk.cell().takeCommit(1).has_value());
    desk.cell().rejectUncommittedJobs(); // It may be stored yet: nothing is given up.
    EXPECT_EQ(desk.cell().submit(job, 8, desk.now()), Acceptance::Pending);
    desk.cell().onCommitFailed();
    desk.cell().rejectUncommittedJobs();
    const auto replies = desk.cell().advance(desk.now(), 1, Authority::Full).replies;
    ASSERT_EQ(replies.size(), 2U);
    EXPECT_FALSE(replies[0].isStored || replies[1].isStored);
    EXPECT_TRUE(desk.cell().state(JobId { "old" }).has_value());
}
