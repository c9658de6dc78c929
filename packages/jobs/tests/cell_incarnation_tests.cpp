#include "cell_harness.h"

#include "rattanrack/jobs/lease_clock.h"

using namespace rattanrack;
using namespace rattanrack::jobs;
using namespace rattanrack::jobs::tests;
using namespace std::chrono_literals;

/// Workers that are reborn under their id: what was sent by one life's clock may reach another.
namespace {

constexpr Duration heldAtMost = 6123ms + 50ms; ///< The longest lease on the slowest clock, and the rounding.
constexpr Duration renewedAtMost = 4592ms + 50ms;
constexpr Duration period = 30ms;

void answerOthers(CellHarness& desk, const WorkerId& silent)
{
    for (const PollCommand& look : desk.take<PollCommand>()) {
        if (look.worker == silent)
            desk.cell().onResult(look, { CommandStatus::NoResponse }, desk.now(), desk.now());
        else
            desk.answer(look, {});
    }
}

/// When the job's subtask is ordered again, from now on, while one worker answers nothing. At most 40 s.
Duration untilStartElsewhere(CellHarness& desk, const WorkerId& silent)
{
    const TimePoint from = desk.now();
    while (desk.now() - from < 40s) {
        desk.step(period);
        answerOthers(desk, silent);
        for (const StopCommand& stop : desk.take<StopCommand>())
            desk.cell().onResult(stop, { CommandStatus::NoResponse }, desk.now());
        if (!desk.take<StartCommand>().empty())
            break;
    }
    return desk.now() - from;
}

/// Of a worker that has answered just now, in its first life, that its clock shows 500 s.
LeaseClock clockOfFirstLife(TimePoint now)
{
    LeaseClock clock;
    clock.beginIncarnation(1, longestLease, {});
    clock.observe(500'000, now, now);
    return clock;
}

/// The start of a new job, which gets no answer. Its worker is reborn, is heard and listed, and nothing is sent again.
StartCommand unansweredBeforeARebirth(CellHarness& desk)
{
    StartCommand start = desk.startOf("a");
    desk.answer(start, CommandStatus::NoResponse);
    desk.restartWorker(start.worker);
    desk.step(60ms);
    EXPECT_TRUE(desk.take<StartCommand>().empty());
    desk.hear(start.worker.value().c_str(), {});
    desk.listIncarnations();
    return start;
}

} // namespace

TEST(CellLives, StartTakenByALaterLifeHoldsTheLongestLease)
{
    CellHarness desk;
    const StartCommand start = desk.startOf("a");
    desk.restartWorker(start.worker);
    desk.answer(start, CommandStatus::Done); // By the later life, to which the earlier clock's lease is far ahead.
    EXPECT_GE(untilStartElsewhere(desk, start.worker), heldAtMost - period);
}

TEST(CellLives, UnansweredStartMayHaveReachedALaterLife)
{
    CellHarness desk;
    const StartCommand start = desk.startOf("a");
    desk.answer(start, CommandStatus::NoResponse);
    EXPECT_GE(untilStartElsewhere(desk, start.worker), heldAtMost - period);
}

TEST(CellLives, LeaseOfAnEarlierOwnerOutlivesAStartOfTheNext)
{
    CellHarness desk { 2, {} };
    desk.answerAllPolls(); // Their leases may have been renewed by the earlier owner just before.
    const StartCommand start = desk.startOf("a");
    desk.answer(start, CommandStatus::Done);
    EXPECT_GE(untilStartElsewhere(desk, start.worker), heldAtMost - period);
}

TEST(CellLives, StartTakenByTheKnownLifeHoldsItsOwnLease)
{
    CellHarness desk;
    desk.step(7s); // Nothing of an earlier owner holds any more.
    const StartCommand start = desk.startOf("a");
    desk.answer(start, CommandStatus::Done);
    const Duration waited = untilStartElsewhere(desk, start.worker);
    EXPECT_GE(waited, 4500ms); // A look has renewed it.
    EXPECT_LE(waited, renewedAtMost + 200ms);
}

TEST(CellLives, StartOnItsWayIsNotTakenForLapsed)
{
    CellHarness desk;
    const StartCommand start = desk.startOf("a"); // Neither answered nor given up.
    EXPECT_GE(untilStartElsewhere(desk, start.worker), 40s);
}

TEST(CellLives, UnansweredStartIsSentAgainByTheClockOfTheLifeThatIsThere)
{
    CellHarness desk;
    const StartCommand start = unansweredBeforeARebirth(desk);
    desk.confirm();
    desk.step(200ms);
    const auto again = desk.take<StartCommand>();
    ASSERT_EQ(again.size(), 1U);
    EXPECT_EQ(again[0].run, start.run);
    EXPECT_LT(again[0].leaseUntilWorkerMs, 3000); // The later life has hardly begun.
}

TEST(CellLives, UnansweredStartIsNotSentAgainToASilentWorker)
{
    CellHarness desk;
    const StartCommand start = desk.startOf("a");
    desk.answer(start, CommandStatus::NoResponse);
    desk.step(60ms);
    desk.dropPolls();
    desk.step(200ms);
    EXPECT_TRUE(desk.take<StartCommand>().empty());
}

TEST(CellLives, EarlierOwnerSendsNothingAgainToALifeThatBeganAfterItsReplacement)
{
    CellHarness desk;
    unansweredBeforeARebirth(desk);
    desk.step(200ms);
    EXPECT_TRUE(desk.take<StartCommand>().empty());
    desk.confirm();
    desk.step(period);
    EXPECT_EQ(desk.take<StartCommand>().size(), 1U);
}

TEST(CellLives, EarlierOwnerStartsNothingInALifeThatBeganAfterItsReplacement)
{
    CellHarness desk;
    desk.restartAllWorkers();
    desk.step(300ms);
    desk.answerAllPolls();
    desk.submitAndStore("a");
    desk.step(period);
    EXPECT_TRUE(desk.take<StartCommand>().empty());
    EXPECT_TRUE(desk.cell().needsConfirmation());
    desk.confirm();
    EXPECT_FALSE(desk.cell().needsConfirmation());
    desk.step(period);
    EXPECT_EQ(desk.take<StartCommand>().size(), 1U);
}

TEST(CellLives, TransactionSentBeforeALifeBeganConfirmsNothingForIt)
{
    CellHarness desk;
    const WorkerMachines both = desk.cell().workersInUse();
    desk.cell().onWorkerListSent(both, desk.now());
    desk.step(10ms);
    desk.restartAllWorkers();
    desk.step(300ms);
    desk.answerAllPolls();
    desk.cell().onWorkerListStored(both);
    desk.submitAndStore("a");
    desk.step(period);
    EXPECT_TRUE(desk.take<StartCommand>().empty());
    EXPECT_TRUE(desk.cell().needsConfirmation());
}

TEST(CellLives, RunThatIsListedOutlivesTheFailureOfItsStartSentAgain)
{
    for (const CommandStatus status : { CommandStatus::NotSent, CommandStatus::Unhealthy, CommandStatus::Refused }) {
        CellHarness desk;
        const StartCommand start = desk.startOf("a");
        desk.answer(start, CommandStatus::NoResponse);
        desk.step(160ms);
        const auto again = desk.take<StartCommand>();
        ASSERT_EQ(again.size(), 1U);
        desk.hear(start.worker.value().c_str(), { { start.task, start.run, "", 0 } }); // Of the first sending.
        desk.answer(
            again[0], status, status == CommandStatus::Refused ? RefusalReason::LeaseExpired : RefusalReason::None);
        desk.step(30ms);
        EXPECT_TRUE(desk.take<StartCommand>().empty());
        EXPECT_TRUE(desk.cell().workersInUse().contains(start.worker));
    }
}

TEST(CellLives, AcknowledgementIsNotRepeatedToWhatMayBeALaterLife)
{
    CellHarness desk;
    const StartCommand start = desk.startOf("a");
    desk.answer(start, CommandStatus::Done);
    desk.step(60ms);
    desk.hear(start.worker.value().c_str(), {}, { { 1, start.task, start.run, RunOutcome::Done, "" } });
    desk.store();
    desk.step(60ms);
    auto looks = desk.take<PollCommand>();
    ASSERT_EQ(looks.size(), 1U);
    EXPECT_EQ(looks[0].ackedThrough, 1);
    desk.answer(looks[0], {});
    const StartCommand next = desk.startOf("b");
    desk.step(60ms);
    looks = desk.take<PollCommand>();
    ASSERT_EQ(looks.size(), 1U);
    EXPECT_EQ(looks[0].worker, next.worker);
    EXPECT_EQ(next.worker, start.worker);
    EXPECT_EQ(looks[0].ackedThrough, 0);
}

TEST(CellLives, RunsOfASilentLaterLifeLapseByItsOwnClock)
{
    CellHarness desk;
    const StartCommand start = desk.startOf("a");
    desk.answer(start, CommandStatus::Done);
    desk.restartWorker(start.worker);
    desk.step(60ms);
    desk.hear(start.worker.value().c_str(), {}); // The run is gone.
    desk.listIncarnations();
    desk.confirm();
    desk.step(60ms);
    desk.hear(start.worker.value().c_str(), {});
    desk.step(30ms);
    const auto again = desk.take<StartCommand>();
    ASSERT_EQ(again.size(), 1U);
    desk.answer(again[0], CommandStatus::Done);
    desk.step(60ms);
    desk.hear(again[0].worker.value().c_str(), { { again[0].task, again[0].run, "", 0 } });
    EXPECT_LE(untilStartElsewhere(desk, again[0].worker), heldAtMost);
}

TEST(CellLives, EndOfASecondRunDoesNotFreeTheFirst)
{
    CellHarness desk;
    const StartCommand start = desk.startOf("a");
    desk.answer(start, CommandStatus::Done);
    const bool isOnFirst = start.worker.value() == "w1";
    const char* first = isOnFirst ? "w1" : "w2";
    const char* second = isOnFirst ? "w2" : "w1";
    const StartCommand other = desk.startOf("b");
    ASSERT_EQ(other.worker.value(), second);
    desk.answer(other, CommandStatus::Done);
    desk.step(100ms);
    const RunningRun otherRuns { other.task, other.run, {}, 50, 0 };
    // Beside it an earlier owner's start, which that worker has carried out late.
    desk.hear(second, { otherRuns, { start.task, start.run - 1, {}, 50, 0 } });
    for (const StopCommand& stop : desk.take<StopCommand>())
        desk.cell().onResult(stop, { CommandStatus::Done, RefusalReason::None, desk.clockMs() }, desk.now());
    desk.step(100ms);
    desk.hear(second, {},
        { { 1, other.task, other.run, RunOutcome::Done, {} },
            { 2, start.task, start.run - 1, RunOutcome::Stopped, {} } });
    for (int passes = 0; passes < 10; ++passes) {
        desk.step(period);
        EXPECT_TRUE(desk.take<StartCommand>().empty()) << "runs on " << first;
    }
}

TEST(LeaseClock, LeaseOfAnEarlierLifeIsNoLeaseOfTheNext)
{
    const TimePoint now { 1000s };
    LeaseClock clock = clockOfFirstLife(now);
    clock.grant(4500ms, now);
    clock.beginIncarnation(2, longestLease, {});
    clock.observe(700, now + 1s, now + 1s);
    EXPECT_EQ(clock.grant(2s, now + 1s), 2700);
}

TEST(LeaseClock, LaterLifeHoldsWhatWasDeliveredBeforeItsFirstAnswer)
{
    const TimePoint now { 1000s };
    LeaseClock clock = clockOfFirstLife(now);
    clock.grant(2s, now);
    clock.recordDelivery(1, true, longestLease, now + 1s);
    EXPECT_LT(clock.leasesEndAt(), now + 3s);
    EXPECT_GE(clock.leasesEndInAllIncarnationsAt(false, longestLease), now + 1s + heldAtMost - 1ms);
    clock.beginIncarnation(2, longestLease, {});
    EXPECT_GE(clock.leasesEndAt(), now + 1s + heldAtMost - 1ms);
}

TEST(LeaseClock, OrderHeldUpInALaterLifeIsCarriedOutLate)
{
    const TimePoint now { 1000s };
    LeaseClock clock = clockOfFirstLife(now);
    clock.grant(2s, now);
    clock.recordDelivery(1, false, longestLease, now + 1s);
    EXPECT_LT(clock.leasesEndInAllIncarnationsAt(false, longestLease), now + 8s);
    EXPECT_GE(clock.leasesEndInAllIncarnationsAt(true, longestLease), now + 1s + 12s + heldAtMost - 1ms);
    clock.beginIncarnation(2, longestLease, {});
    EXPECT_GE(clock.leasesEndAt(), now + 1s + 12s + heldAtMost - 1ms);
}

TEST(LeaseClock, OrderByAnEarlierClockThatArrivesLaterExtendsThePresentLife)
{
    const TimePoint now { 1000s };
    LeaseClock clock = clockOfFirstLife(now);
    clock.beginIncarnation(2, longestLease, {});
    clock.observe(100, now, now);
    clock.recordDelivery(1, true, longestLease, now + 3s);
    EXPECT_GE(clock.leasesEndAt(), now + 3s + heldAtMost - 1ms);
}

TEST(LeaseClock, AnswerTellsItsLifeByTheClock)
{
    LeaseClock clock;
    const TimePoint asked { 1000s };
    clock.beginIncarnation(1, longestLease, {});
    clock.observe(500'000, asked, asked + 100ms);
    EXPECT_TRUE(clock.isFromThisIncarnation(500'900, asked + 1s));
    EXPECT_FALSE(clock.isFromThisIncarnation(400, asked + 1s)); // Of a later life.
    EXPECT_FALSE(clock.isFromThisIncarnation(501'100, asked + 1s)); // Of an earlier one.
}

TEST(LeaseClock, ClockOfAYoungLifeTellsNothing)
{
    LeaseClock clock;
    const TimePoint asked { 1000s };
    clock.beginIncarnation(1, longestLease, {});
    clock.observe(1200, asked, asked);
    EXPECT_FALSE(clock.isFromThisIncarnation(1500, asked + 3s)); // A life that began since may show as much.
}

TEST(CellLives, ConfirmationThatFailedIsStillWanted)
{
    CellHarness desk;
    desk.restartAllWorkers();
    desk.step(300ms);
    desk.answerAllPolls();
    ASSERT_TRUE(desk.cell().needsConfirmation());
    desk.cell().onWorkerListSent(desk.cell().workersInUse(), desk.now());
    desk.step(50ms);
    desk.cell().onCommitFailed();
    EXPECT_TRUE(desk.cell().needsConfirmation());
}

TEST(CellLives, LifeIsNotUsedByTheDescriptionOfAnEarlierOne)
{
    CellHarness desk;
    for (const char* job : { "a", "b" })
        desk.answer(desk.startOf(job), CommandStatus::Done);
    for (const WorkerDescription& worker : desk.listed())
        desk.restartWorker(worker.id);
    desk.step(60ms);
    desk.answerAllPolls(); // The next lives answer, and run nothing; the list still tells of the first ones.
    desk.confirm();
    desk.step(period);
    EXPECT_TRUE(desk.take<StartCommand>().empty());
    desk.listIncarnations();
    desk.step(period);
    EXPECT_EQ(desk.take<StartCommand>().size(), 2U);
}
