#include "cell_harness.h"

#include "rattanrack/jobs/lease_clock.h"

using namespace rattanrack;
using namespace rattanrack::jobs;
using namespace rattanrack::jobs::tests;
using namespace std::chrono_literals;

/// Workers that restart under their id: a lease by the clock of one incarnation may reach another.
namespace {

constexpr Duration longestLeaseTime = 6123ms + 50ms; ///< The longest lease on the slowest clock, and the rounding.
constexpr Duration longestRenewalTime = 4592ms + 50ms;
constexpr Duration startLeaseTime = 2041ms + 50ms; ///< The lease of a start on the slowest clock, and the rounding.
constexpr Duration period = 30ms;

void answerOtherPolls(CellHarness& harness, const WorkerId& unresponsive)
{
    for (const PollCommand& poll : harness.takeCommands<PollCommand>()) {
        if (poll.worker == unresponsive)
            harness.dropPoll(poll);
        else
            harness.respond(poll, {});
    }
}

/// Time from now until the job's task is started again, while one worker does not respond. At most 40 s.
Duration timeUntilStartElsewhere(CellHarness& harness, const WorkerId& unresponsive)
{
    const TimePoint from = harness.now();
    while (harness.now() - from < 40s) {
        harness.advance(period);
        answerOtherPolls(harness, unresponsive);
        harness.storeChanges(); // The loss of contact.
        for (const StopCommand& stop : harness.takeCommands<StopCommand>())
            harness.cell().onResult(stop, { CommandStatus::NoResponse }, harness.now());
        if (!harness.takeCommands<StartCommand>().empty())
            break;
    }
    return harness.now() - from;
}

/// Clock of a worker whose first incarnation has responded just now with a clock of 500 s.
LeaseClock clockOfFirstIncarnation(TimePoint now)
{
    LeaseClock clock;
    clock.beginIncarnation(1, longestLease, {});
    clock.observe(500'000, now, now);
    return clock;
}

/// The start of a new job, which gets no response. Its worker restarts, responds and is listed, and nothing is sent
/// again.
StartCommand unansweredStartBeforeRestart(CellHarness& harness)
{
    StartCommand start = harness.submitAndTakeStart("a");
    harness.respond(start, CommandStatus::NoResponse);
    harness.restartWorker(start.worker);
    harness.advance(60ms);
    EXPECT_TRUE(harness.takeCommands<StartCommand>().empty());
    harness.answerPoll(start.worker.value().c_str(), {});
    harness.listIncarnations();
    harness.storeChanges(); // The crash of its worker.
    return start;
}

} // namespace

TEST(CellIncarnation, StartReceivedByALaterIncarnationHoldsTheLongestLease)
{
    CellHarness harness;
    const StartCommand start = harness.submitAndTakeStart("a");
    harness.restartWorker(start.worker);
    harness.respond(start, CommandStatus::Done); // By the later incarnation, for whose clock the lease is far ahead.
    EXPECT_GE(timeUntilStartElsewhere(harness, start.worker), longestLeaseTime - period);
}

TEST(CellIncarnation, UnansweredStartMayHaveReachedALaterIncarnation)
{
    CellHarness harness;
    const StartCommand start = harness.submitAndTakeStart("a");
    harness.respond(start, CommandStatus::NoResponse);
    EXPECT_GE(timeUntilStartElsewhere(harness, start.worker), longestLeaseTime - period);
}

TEST(CellIncarnation, UnansweredBoundStartIsWaitedForNoLongerThanItsOwnLease)
{
    CellHarness harness;
    harness.bindCommands();
    const StartCommand start = harness.submitAndTakeStart("a");
    harness.respond(start, CommandStatus::NoResponse);
    const Duration waited = timeUntilStartElsewhere(harness, start.worker);
    EXPECT_GE(waited, startLeaseTime - period);
    EXPECT_LE(waited, startLeaseTime + 200ms);
}

TEST(CellIncarnation, InheritedLeaseMayOutlastAStartOfTheNextOwner)
{
    CellHarness harness { 2, {} };
    harness.answerAllPolls(); // The previous owner may have renewed their leases just before.
    const StartCommand start = harness.submitAndTakeStart("a");
    harness.respond(start, CommandStatus::Done);
    EXPECT_GE(timeUntilStartElsewhere(harness, start.worker), longestLeaseTime - period);
}

TEST(CellIncarnation, StartReceivedByTheKnownIncarnationHoldsItsOwnLease)
{
    CellHarness harness;
    harness.advance(7s); // No lease of a previous owner is left.
    const StartCommand start = harness.submitAndTakeStart("a");
    harness.respond(start, CommandStatus::Done);
    harness.advance(period);
    harness.answerPoll(start.worker.value().c_str(), { { start.task, start.run, "", 0 } });
    const Duration waited = timeUntilStartElsewhere(harness, start.worker);
    EXPECT_GE(waited, 4500ms); // A poll has renewed the lease.
    EXPECT_LE(waited, longestRenewalTime + 200ms);
}

TEST(CellIncarnation, StartInFlightDoesNotExpire)
{
    CellHarness harness;
    const StartCommand start = harness.submitAndTakeStart("a"); // Neither answered nor abandoned.
    EXPECT_GE(timeUntilStartElsewhere(harness, start.worker), 40s);
}

TEST(CellIncarnation, RetriedStartUsesTheClockOfTheCurrentIncarnation)
{
    CellHarness harness;
    harness.bindCommands();
    const StartCommand start = unansweredStartBeforeRestart(harness);
    harness.confirmOwnership();
    harness.advance(200ms);
    const auto retried = harness.takeCommands<StartCommand>();
    ASSERT_EQ(retried.size(), 1U);
    EXPECT_EQ(retried[0].run, start.run);
    EXPECT_LT(retried[0].leaseUntilWorkerMs, 3000); // The later incarnation has just started.
}

TEST(CellIncarnation, StartIsNotRetriedOnAnUnresponsiveWorker)
{
    CellHarness harness;
    const StartCommand start = harness.submitAndTakeStart("a");
    harness.respond(start, CommandStatus::NoResponse);
    harness.advance(60ms);
    harness.dropPolls();
    harness.advance(200ms);
    EXPECT_TRUE(harness.takeCommands<StartCommand>().empty());
}

TEST(CellIncarnation, ReplacedOwnerRetriesNoStartInANewIncarnation)
{
    CellHarness harness;
    harness.bindCommands();
    unansweredStartBeforeRestart(harness);
    harness.advance(200ms);
    EXPECT_TRUE(harness.takeCommands<StartCommand>().empty());
    harness.confirmOwnership();
    harness.advance(period);
    EXPECT_EQ(harness.takeCommands<StartCommand>().size(), 1U);
}

TEST(CellIncarnation, ReplacedOwnerStartsNothingInANewIncarnation)
{
    CellHarness harness;
    harness.restartAllWorkers();
    harness.advance(300ms);
    harness.answerAllPolls();
    harness.submitAndStore("a");
    harness.advance(period);
    EXPECT_TRUE(harness.takeCommands<StartCommand>().empty());
    EXPECT_TRUE(harness.cell().needsConfirmation());
    harness.confirmOwnership();
    EXPECT_FALSE(harness.cell().needsConfirmation());
    harness.advance(period);
    EXPECT_EQ(harness.takeCommands<StartCommand>().size(), 1U);
}

TEST(CellIncarnation, ReplacedOwnerStartsNothingInANewIncarnationWhoseClockStartsHigh)
{
    CellHarness harness;
    harness.restartAllWorkers(20s);
    harness.advance(300ms);
    harness.answerAllPolls();
    harness.submitAndStore("a");
    harness.advance(period);
    EXPECT_TRUE(harness.takeCommands<StartCommand>().empty());
    EXPECT_TRUE(harness.cell().needsConfirmation());
    harness.confirmOwnership();
    harness.advance(period);
    EXPECT_EQ(harness.takeCommands<StartCommand>().size(), 1U);
}

TEST(CellIncarnation, TransactionSentBeforeAnIncarnationStartedDoesNotConfirmIt)
{
    CellHarness harness;
    const WorkerMachines both = harness.cell().workersInUse();
    harness.cell().onWorkerListSent(both, harness.now());
    harness.advance(10ms);
    harness.restartAllWorkers();
    harness.advance(300ms);
    harness.answerAllPolls();
    harness.cell().onWorkerListStored(both);
    harness.submitAndStore("a");
    harness.advance(period);
    EXPECT_TRUE(harness.takeCommands<StartCommand>().empty());
    EXPECT_TRUE(harness.cell().needsConfirmation());
}

TEST(CellIncarnation, ListedRunSurvivesTheFailureOfItsRetriedStart)
{
    for (const CommandStatus status : { CommandStatus::NotSent, CommandStatus::Unhealthy, CommandStatus::Refused }) {
        CellHarness harness;
        const StartCommand start = harness.submitAndTakeStart("a");
        harness.respond(start, CommandStatus::NoResponse);
        harness.advance(160ms);
        const auto retried = harness.takeCommands<StartCommand>();
        ASSERT_EQ(retried.size(), 1U);
        // The worker lists the run of the first transmission.
        harness.answerPoll(start.worker.value().c_str(), { { start.task, start.run, "", 0 } });
        harness.respond(
            retried[0], status, status == CommandStatus::Refused ? RefusalReason::LeaseExpired : RefusalReason::None);
        harness.advance(30ms);
        EXPECT_TRUE(harness.takeCommands<StartCommand>().empty());
        EXPECT_TRUE(harness.cell().workersInUse().contains(start.worker));
    }
}

TEST(CellIncarnation, AcknowledgementIsNotRepeatedToAPossiblyLaterIncarnation)
{
    CellHarness harness;
    const StartCommand start = harness.submitAndTakeStart("a");
    harness.respond(start, CommandStatus::Done);
    harness.advance(60ms);
    harness.answerPoll(start.worker.value().c_str(), {}, { { 1, start.task, start.run, RunOutcome::Done, "" } });
    harness.storeChanges();
    harness.advance(60ms);
    auto polls = harness.takeCommands<PollCommand>();
    ASSERT_EQ(polls.size(), 1U);
    EXPECT_EQ(polls[0].ackedThrough, 1);
    harness.respond(polls[0], {});
    const StartCommand next = harness.submitAndTakeStart("b");
    harness.advance(60ms);
    polls = harness.takeCommands<PollCommand>();
    ASSERT_EQ(polls.size(), 1U);
    EXPECT_EQ(polls[0].worker, next.worker);
    EXPECT_EQ(next.worker, start.worker);
    EXPECT_EQ(polls[0].ackedThrough, 0);
}

TEST(CellIncarnation, LeasesOfALaterIncarnationExpireByItsOwnClock)
{
    CellHarness harness;
    harness.bindCommands();
    const StartCommand start = harness.submitAndTakeStart("a");
    harness.respond(start, CommandStatus::Done);
    harness.surviveStart(start);
    harness.restartWorker(start.worker);
    harness.advance(60ms);
    harness.answerPoll(start.worker.value().c_str(), {}); // The run is gone.
    harness.listIncarnations();
    harness.confirmOwnership();
    harness.storeChanges(); // The presumed end.
    harness.advance(60ms);
    harness.answerPoll(start.worker.value().c_str(), {});
    harness.advance(30ms);
    const auto retried = harness.takeCommands<StartCommand>();
    ASSERT_EQ(retried.size(), 1U);
    harness.respond(retried[0], CommandStatus::Done);
    harness.advance(60ms);
    harness.answerPoll(retried[0].worker.value().c_str(), { { retried[0].task, retried[0].run, "", 0 } });
    EXPECT_LE(timeUntilStartElsewhere(harness, retried[0].worker), longestLeaseTime);
}

TEST(CellIncarnation, EndOfADuplicateRunDoesNotReleaseTheFirst)
{
    CellHarness harness;
    const StartCommand start = harness.submitAndTakeStart("a");
    harness.respond(start, CommandStatus::Done);
    const bool isOnFirst = start.worker.value() == "w1";
    const char* first = isOnFirst ? "w1" : "w2";
    const char* second = isOnFirst ? "w2" : "w1";
    const StartCommand other = harness.submitAndTakeStart("b");
    ASSERT_EQ(other.worker.value(), second);
    harness.respond(other, CommandStatus::Done);
    harness.advance(100ms);
    const RunningRun otherRuns { other.task, other.run, {}, 50, 0 };
    // The worker also carries out, late, a start of a previous owner.
    harness.answerPoll(second, { otherRuns, { start.task, start.run - 1, {}, 50, 0 } });
    for (const StopCommand& stop : harness.takeCommands<StopCommand>())
        harness.cell().onResult(stop, { CommandStatus::Done, RefusalReason::None, harness.clockMs() }, harness.now());
    harness.advance(100ms);
    harness.answerPoll(second, {},
        { { 1, other.task, other.run, RunOutcome::Done, {} },
            { 2, start.task, start.run - 1, RunOutcome::Stopped, {} } });
    for (int pass = 0; pass < 10; ++pass) {
        harness.advance(period);
        EXPECT_TRUE(harness.takeCommands<StartCommand>().empty()) << "runs on " << first;
    }
}

TEST(LeaseClock, LeaseOfAnEarlierIncarnationDoesNotApplyToTheNext)
{
    const TimePoint now { 1000s };
    LeaseClock clock = clockOfFirstIncarnation(now);
    clock.grant(4500ms, now);
    clock.beginIncarnation(2, longestLease, {});
    clock.observe(700, now + 1s, now + 1s);
    EXPECT_EQ(clock.grant(2s, now + 1s), 2700);
}

TEST(LeaseClock, LaterIncarnationHoldsLeasesDeliveredBeforeItsFirstResponse)
{
    const TimePoint now { 1000s };
    LeaseClock clock = clockOfFirstIncarnation(now);
    clock.grant(2s, now);
    clock.recordDelivery(1, true, longestLease, now + 1s);
    EXPECT_LT(clock.leasesEndAt(), now + 3s);
    EXPECT_GE(clock.leasesEndInAllIncarnationsAt(false, longestLease), now + 1s + longestLeaseTime - 1ms);
    clock.beginIncarnation(2, longestLease, {});
    EXPECT_GE(clock.leasesEndAt(), now + 1s + longestLeaseTime - 1ms);
}

TEST(LeaseClock, DelayedCommandIsCarriedOutLateInALaterIncarnation)
{
    const TimePoint now { 1000s };
    LeaseClock clock = clockOfFirstIncarnation(now);
    clock.grant(2s, now);
    clock.recordDelivery(1, false, longestLease, now + 1s);
    EXPECT_LT(clock.leasesEndInAllIncarnationsAt(false, longestLease), now + 8s);
    EXPECT_GE(clock.leasesEndInAllIncarnationsAt(true, longestLease), now + 1s + 12s + longestLeaseTime - 1ms);
    clock.beginIncarnation(2, longestLease, {});
    EXPECT_GE(clock.leasesEndAt(), now + 1s + 12s + longestLeaseTime - 1ms);
}

TEST(LeaseClock, LateCommandByAnEarlierClockExtendsTheLeasesOfTheCurrentIncarnation)
{
    const TimePoint now { 1000s };
    LeaseClock clock = clockOfFirstIncarnation(now);
    clock.beginIncarnation(2, longestLease, {});
    clock.observe(100, now, now);
    clock.recordDelivery(1, true, longestLease, now + 3s);
    EXPECT_GE(clock.leasesEndAt(), now + 3s + longestLeaseTime - 1ms);
}

TEST(LeaseClock, ClockOfAResponseIdentifiesItsIncarnation)
{
    LeaseClock clock;
    const TimePoint pollSentAt { 1000s };
    clock.beginIncarnation(1, longestLease, {});
    clock.observe(500'000, pollSentAt, pollSentAt + 100ms);
    EXPECT_TRUE(clock.isFromThisIncarnation(500'900, pollSentAt + 1s));
    EXPECT_FALSE(clock.isFromThisIncarnation(400, pollSentAt + 1s)); // Of a later incarnation.
    EXPECT_FALSE(clock.isFromThisIncarnation(501'100, pollSentAt + 1s)); // Of an earlier one.
}

TEST(LeaseClock, ClockOfANewIncarnationIsAmbiguous)
{
    LeaseClock clock;
    const TimePoint pollSentAt { 1000s };
    clock.beginIncarnation(1, longestLease, {});
    clock.observe(1200, pollSentAt, pollSentAt);
    EXPECT_FALSE(clock.isFromThisIncarnation(1500, pollSentAt + 3s)); // A later incarnation may show as much.
}

TEST(CellIncarnation, FailedConfirmationIsStillNeeded)
{
    CellHarness harness;
    harness.restartAllWorkers();
    harness.advance(300ms);
    harness.answerAllPolls();
    ASSERT_TRUE(harness.cell().needsConfirmation());
    harness.cell().onWorkerListSent(harness.cell().workersInUse(), harness.now());
    harness.advance(50ms);
    harness.cell().onCommitFailed();
    EXPECT_TRUE(harness.cell().needsConfirmation());
}

TEST(CellIncarnation, IncarnationIsNotUsedByTheDescriptionOfAnEarlierOne)
{
    CellHarness harness;
    harness.bindCommands();
    for (const char* job : { "a", "b" }) {
        const StartCommand start = harness.submitAndTakeStart(job);
        harness.respond(start, CommandStatus::Done);
        harness.surviveStart(start);
    }
    for (const WorkerDescription& worker : harness.listed())
        harness.restartWorker(worker.id);
    harness.advance(60ms);
    harness.answerAllPolls(); // The new incarnations respond, and run nothing; the list still shows the first ones.
    harness.confirmOwnership();
    harness.storeChanges(); // The presumed ends.
    harness.advance(period);
    EXPECT_TRUE(harness.takeCommands<StartCommand>().empty());
    harness.listIncarnations();
    harness.advance(period);
    EXPECT_EQ(harness.takeCommands<StartCommand>().size(), 2U);
}
