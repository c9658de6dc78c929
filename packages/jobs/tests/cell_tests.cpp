#include "desk.h"

using namespace rattanrack;
using namespace rattanrack::jobs;
using namespace rattanrack::jobs::tests;
using namespace std::chrono_literals;

TEST(Cell, NothingStartsBeforeTheJobIsStored)
{
    Desk desk;
    Job job { JobId { "a" }, QueueId { "q" }, 1, { "", { {} }, {} } };
    EXPECT_EQ(desk.cell().submit(job, 1, desk.now()), Acceptance::Pending);
    desk.step(50ms);
    EXPECT_TRUE(desk.take<StartOrder>().empty());
    EXPECT_FALSE(desk.cell().state(JobId { "a" }).has_value());
    desk.store();
    desk.step(50ms);
    EXPECT_EQ(desk.take<StartOrder>().size(), 1U);
}

TEST(Cell, RefusedRetryOfAnUnansweredStartIsStoppedBeforeItGoesElsewhere)
{
    Desk desk;
    const StartOrder first = desk.startOf("a");
    desk.answer(first, CallStatus::NoResponse);
    desk.step(300ms);
    const StartOrder again = desk.take<StartOrder>().at(0);
    EXPECT_EQ(again.run, first.run);
    EXPECT_EQ(again.worker, first.worker);
    desk.answer(again, CallStatus::Refused, Refusal::NoCapacity);
    desk.step(10ms);
    EXPECT_TRUE(desk.take<StartOrder>().empty());
    const StopOrder stop = desk.take<StopOrder>().at(0);
    EXPECT_EQ(stop.run, first.run);
    desk.cell().onAnswer(stop, { CallStatus::Done, Refusal::None, 0 }, desk.now());
    desk.step(60ms);
    for (const LookOrder& look : desk.take<LookOrder>())
        desk.answer(look, {});
    desk.step(400ms);
    const StartOrder next = desk.take<StartOrder>().at(0);
    EXPECT_GT(next.run, first.run);
}

TEST(Cell, StartThatCameToNothingTellsWhy)
{
    const auto whyNot = [](CallStatus status, Refusal refusal) {
        Desk desk;
        const StartOrder start = desk.startOf("a");
        EXPECT_EQ(desk.cell().commandsInFlight(), 1U);
        desk.answer(start, status, refusal);
        EXPECT_EQ(desk.cell().commandsInFlight(), 0U);
        desk.step(10ms);
        return desk.runEvents(RunEvent::Kind::NotBegun).at(0).detail;
    };
    EXPECT_EQ(whyNot(CallStatus::Expired, Refusal::None), "start expired in our queue");
    EXPECT_EQ(whyNot(CallStatus::NotSent, Refusal::None), "start not sent");
    EXPECT_EQ(whyNot(CallStatus::Refused, Refusal::NoCapacity), "start refused: room");
    EXPECT_EQ(whyNot(CallStatus::Refused, Refusal::InvalidTicket), "start refused: ticket");
    EXPECT_EQ(whyNot(CallStatus::Unhealthy, Refusal::None), "start refused: unhealthy");
}

TEST(Cell, RunsOfASilentWorkerAreWaitedOut)
{
    Desk desk;
    const StartOrder first = desk.startOf("a");
    desk.answer(first, CallStatus::Done);
    desk.step(60ms); // The look renews the lease for 4.5 s; from then on the worker is silent.
    const TimePoint renewedAt = desk.now();
    desk.loseLooks();
    std::vector<StartOrder> starts;
    while (starts.empty() && desk.now() - renewedAt < 10s) {
        desk.step(100ms);
        desk.loseLooks();
        starts = desk.take<StartOrder>();
    }
    ASSERT_EQ(starts.size(), 1U);
    EXPECT_NE(starts[0].worker, first.worker);
    EXPECT_GE(desk.now() - renewedAt, Duration { 4500ms });
    EXPECT_LE(desk.now() - renewedAt, Duration { 5s });
}

TEST(Cell, EndIsAcknowledgedOnlyWhenItIsStored)
{
    Desk desk;
    const StartOrder start = desk.startOf("a");
    desk.answer(start, CallStatus::Done);
    desk.step(60ms);
    for (const LookOrder& look : desk.take<LookOrder>())
        desk.answer(look, {}, { { 1, start.task, start.run, EndKind::Done, "" } });
    desk.step(60ms);
    for (const LookOrder& look : desk.take<LookOrder>())
        EXPECT_EQ(look.ackedThrough, 0);
    EXPECT_NE(desk.cell().state(JobId { "a" }), JobState::Completed);
    desk.store();
    EXPECT_EQ(desk.cell().state(JobId { "a" }), JobState::Completed);
    desk.step(60ms);
    const auto looks = desk.take<LookOrder>();
    ASSERT_FALSE(looks.empty());
    EXPECT_EQ(looks[0].ackedThrough, 1);
}

TEST(Cell, NextOwnerNeedNotWaitForASilentWorkerOnWhichNothingRuns)
{
    Desk desk;
    ASSERT_EQ(desk.cell().workersInUse().size(), 2U);
    const auto loseUntilSilent = [&] {
        desk.step(300ms);
        desk.loseLooks();
    };
    const StartOrder start = desk.startOf("a");
    desk.answer(start, CallStatus::Done);
    for (int tries = 0; tries < 5; ++tries)
        loseUntilSilent();
    EXPECT_TRUE(desk.cell().workersInUse().contains(start.worker)); // Its lease has not lapsed.
    for (int tries = 0; tries < 20; ++tries)
        loseUntilSilent();
    EXPECT_FALSE(desk.cell().workersInUse().contains(start.worker));
    EXPECT_TRUE(desk.cell().workersKnown().contains(start.worker)); // It is still looked at.
}

TEST(Cell, WorkerThatIsBackIsUsedOnceTheNextOwnerWouldKnow)
{
    Desk desk;
    desk.submitAndStore("a");
    desk.submitAndStore("b"); // One for each worker.
    desk.step(10ms);
    const auto first = desk.take<StartOrder>();
    ASSERT_EQ(first.size(), 2U);
    for (const StartOrder& start : first)
        desk.answer(start, CallStatus::Done);
    for (int tries = 0; tries < 30; ++tries) { // All workers are silent, and all that ran there has lapsed.
        desk.step(300ms);
        desk.loseLooks();
    }
    const WorkerMachines none = desk.cell().workersInUse();
    ASSERT_TRUE(none.empty());
    const auto startsOnceBack = [&] {
        desk.step(300ms);
        for (const LookOrder& look : desk.take<LookOrder>())
            desk.answer(look, {});
        desk.step(100ms);
        return desk.take<StartOrder>().size();
    };
    desk.cell().workersSent(none, desk.now()); // Its answer is still to come when the workers are back.
    EXPECT_EQ(startsOnceBack(), 0U);
    desk.cell().workersStored(none);
    EXPECT_EQ(startsOnceBack(), 0U);
    const WorkerMachines both = desk.cell().workersInUse();
    EXPECT_EQ(both.size(), 2U);
    desk.cell().workersSent(both, desk.now());
    EXPECT_EQ(startsOnceBack(), 0U);
    desk.cell().workersStored(both);
    EXPECT_EQ(startsOnceBack(), 2U);
}

TEST(Cell, SubtaskOnASilentWorkerIsAwayWhenAnotherIsToBeMoved)
{
    Desk desk;
    Job job { JobId { "a" }, QueueId { "q" }, 1, { "text", { {} }, {} } };
    Step& step = job.spec.steps[0];
    step.count = 2;
    step.size = { Millicores { 800 }, Mebibytes { 100 }, {} };
    step.isLongRunning = true;
    step.mayMiss = 1;
    EXPECT_EQ(desk.cell().submit(job, 1, desk.now()), Acceptance::Pending);
    desk.store();
    desk.step(10ms);
    const auto starts = desk.take<StartOrder>();
    ASSERT_EQ(starts.size(), 2U);
    for (const StartOrder& start : starts)
        desk.answer(start, CallStatus::Done);
    const auto look = [&](bool isFirstSilent) {
        desk.step(300ms);
        for (const LookOrder& each : desk.take<LookOrder>()) {
            const StartOrder& start = each.worker == starts[0].worker ? starts[0] : starts[1];
            if (isFirstSilent && each.worker == starts[0].worker)
                desk.cell().onAnswer(each, { CallStatus::NoResponse }, desk.now(), desk.now());
            else
                desk.answer(each, { { start.task, start.run, "", 100 } });
        }
    };
    look(false);
    look(true);
    desk.cell().setDrainingMachines({ MachineId { starts[1].worker.value() } });
    for (int tries = 0; tries < 10; ++tries) { // Until shortly before the silent worker's lease has lapsed.
        look(true);
        EXPECT_TRUE(desk.take<StopOrder>().empty());
    }
}

TEST(Cell, JobsThatAlwaysFailKeepNotAllWorkersFromOthers)
{
    Desk desk;
    std::int64_t lastEnd = 0;
    for (const char* id : { "bad1", "bad2", "bad3", "bad4" }) {
        desk.submitAndStore(id);
        for (int tries = 0; tries < 400 && desk.cell().state(JobId { id }) != JobState::Failed; ++tries) {
            desk.step(60ms);
            const auto starts = desk.take<StartOrder>();
            for (const StartOrder& start : starts)
                desk.answer(start, CallStatus::Done);
            for (const LookOrder& look : desk.take<LookOrder>()) {
                std::vector<EndEntry> ends;
                for (const StartOrder& start : starts) {
                    if (start.worker == look.worker)
                        ends.push_back({ ++lastEnd, start.task, start.run, EndKind::Failed, "" });
                }
                desk.answer(look, {}, ends);
            }
            desk.store();
        }
        ASSERT_EQ(desk.cell().state(JobId { id }), JobState::Failed);
    }
    desk.submitAndStore("good");
    desk.step(60ms);
    EXPECT_EQ(desk.take<StartOrder>().size(), 1U);
}

TEST(Cell, WorkerAvoidedForItsFailuresIsUsedOnceWorkHasSucceededThere)
{
    Desk desk;
    for (int number = 0; number < 10; ++number) // Fill both workers.
        desk.submitAndStore("a" + std::to_string(number), Millicores { 200 });
    std::vector<EndEntry> ends;
    for (int tries = 0; tries < 4; ++tries) {
        desk.step(10ms);
        for (const StartOrder& start : desk.take<StartOrder>()) {
            desk.answer(start, CallStatus::Done);
            if (start.worker == WorkerId { "w1" })
                ends.push_back(
                    { static_cast<std::int64_t>(ends.size()) + 1, start.task, start.run, EndKind::Failed, "" });
        }
    }
    ASSERT_EQ(ends.size(), 5U);
    ends.back().outcome = EndKind::Done;
    desk.step(60ms);
    desk.hear("w1", {}, ends);
    desk.store();
    desk.step(60ms);
    const auto starts = desk.take<StartOrder>();
    ASSERT_FALSE(starts.empty());
    EXPECT_EQ(starts.front().worker, WorkerId { "w1" });
}

TEST(Cell, MachineIsEmptyOnlyWhenItsEndsAreStored)
{
    Desk desk;
    const StartOrder start = desk.startOf("a");
    const MachineId machine { start.worker.value() };
    desk.answer(start, CallStatus::Done);
    desk.cell().setDrainingMachines({ machine });
    EXPECT_TRUE(desk.cell().drainedMachines().empty());
    desk.step(60ms);
    for (const LookOrder& look : desk.take<LookOrder>())
        desk.answer(look, {}, { { 1, start.task, start.run, EndKind::Done, "" } });
    desk.step(10ms);
    EXPECT_TRUE(desk.cell().drainedMachines().empty()); // The next owner would not hear of the end.
    desk.store();
    desk.step(60ms);
    EXPECT_EQ(desk.cell().drainedMachines(), std::vector<MachineId> { machine });
}

TEST(Cell, StoreThatRefusesGivesUpOnlyWhatIsNew)
{
    Desk desk;
    desk.submitAndStore("old");
    desk.step(10ms);
    Job job { JobId { "new" }, QueueId { "q" }, 1, { "", { {} }, {} } };
    EXPECT_EQ(desk.cell().submit(job, 7, desk.now()), Acceptance::Pending);
    ASSERT_TRUE(desk.cell().takeCommit(1).has_value());
    desk.cell().refuseWaiting(); // It may be stored yet: nothing is given up.
    EXPECT_EQ(desk.cell().submit(job, 8, desk.now()), Acceptance::Pending);
    desk.cell().onCommitFailed();
    desk.cell().refuseWaiting();
    const auto replies = desk.cell().advance(desk.now(), 1, Authority::Full).replies;
    ASSERT_EQ(replies.size(), 2U);
    EXPECT_FALSE(replies[0].isStored || replies[1].isStored);
    EXPECT_TRUE(desk.cell().state(JobId { "old" }).has_value());
}
