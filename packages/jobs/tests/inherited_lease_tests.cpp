#include "../model/model_worker.h"
#include "cell_harness.h"
#include "rattanrack/jobs/lease_clock.h"

#include <memory>

using namespace rattanrack;
using namespace rattanrack::jobs;
using namespace rattanrack::jobs::tests;
using namespace std::chrono_literals;

/// Leases of a previous owner have ended when the next owner assumes that they have.
namespace {

constexpr Duration ownershipTimeout = 5s;
constexpr Duration leaseLength = 4500ms;
constexpr double minClockRate = 0.98;
const TaskRef task { JobId { "a" }, 0, 0, 0 };

/// Time after a restart until a task is started on the only worker. An earlier incarnation's lease was sent to it.
Duration timeUntilStartAfterRestart(bool isBound)
{
    CellHarness harness;
    if (isBound)
        harness.bindCommands();
    harness.listWorkers({ harness.listed()[0] });
    const StartCommand start = harness.submitAndTakeStart("a");
    harness.respond(start, CommandStatus::Done);
    harness.restartWorker(start.worker);
    harness.listIncarnations();
    const TimePoint from = harness.now();
    while (harness.now() - from < 40s) {
        harness.advance(30ms);
        harness.confirmOwnership();
        harness.storeChanges(); // The crash of the worker.
        for (const PollCommand& poll : harness.takeCommands<PollCommand>())
            harness.respond(poll, {});
        if (!harness.takeCommands<StartCommand>().empty())
            break;
    }
    return harness.now() - from;
}

/// At most 40 s. No worker responds.
Duration timeUntilRecovered(CellHarness& owner)
{
    const TimePoint from = owner.now();
    while (owner.cell().isRecovering() && owner.now() - from < 40s) {
        owner.advance(10ms);
        owner.confirmOwnership();
    }
    return owner.now() - from;
}

/// Passes a cell on `count` times, each owner keeps it for `tenure` and contacts no worker. Returns the time from the
/// first takeover, without hand-back, until the last owner assumes that all leases on w1 have ended.
Duration waitWithHandBacks(int count, Duration tenure)
{
    auto owner = std::make_unique<CellHarness>(2, std::vector<StoredJob> {});
    Duration sinceFirst {};
    for (int each = 1; each <= count; ++each) {
        const TimePoint takenOverAt = owner->now();
        owner->advance(tenure);
        sinceFirst += owner->now() - takenOverAt;
        const OutstandingLeases leases = owner->cell().outstandingLeases(owner->now());
        owner = std::make_unique<CellHarness>(2 + each, std::vector<StoredJob> {}, leases);
    }
    return sinceFirst + timeUntilRecovered(*owner);
}

} // namespace

TEST(InheritedLease, HandBacksInSeriesDoNotProlongTheWait)
{
    const Duration once = waitWithHandBacks(0, 1s);
    EXPECT_GE(waitWithHandBacks(6, 1s), once - 100ms);
    EXPECT_LE(waitWithHandBacks(6, 1s), once + 100ms);
}

TEST(InheritedLease, LeaseOfTheSlowestWorkerEndsWithinTheWait)
{
    const TimePoint takenOverAt { 1000s };
    model::ModelWorker worker { { WorkerId { "w1" } }, minClockRate };
    worker.restart(2, takenOverAt - 1s);
    const TimePoint lastGrantAt = takenOverAt + ownershipTimeout;
    const PollCommand none { worker.description().id, 1 };
    const std::int64_t clockMs = worker.poll(none, 500, lastGrantAt).report.workerClockMs;
    const StartCommand start { worker.description().id, task, 1, {}, clockMs + leaseLength.count() / 1000, 1, {}, {},
        2 };
    ASSERT_EQ(worker.start(start, { {}, 0us, false, true }, false, lastGrantAt).status, CommandStatus::Done);
    worker.advance(lastGrantAt + 4s);
    EXPECT_TRUE(worker.isActive(task, 1));
    worker.advance(takenOverAt + inheritedLease(ownershipTimeout, leaseLength));
    EXPECT_FALSE(worker.isActive(task, 1));
}

TEST(InheritedLease, NothingStartsInAnIncarnationThatALeaseByAnEarlierClockMayHaveReached)
{
    EXPECT_GE(timeUntilStartAfterRestart(false), 6s); // The longest lease that the worker permits.
    EXPECT_LE(timeUntilStartAfterRestart(true), 500ms);
}

TEST(InheritedLease, WaitIsNoLongerThanTheLeaseNeeds)
{
    constexpr Duration slack = 700ms;
    const Duration leaseTime = Duration { static_cast<std::int64_t>(4'500'000 / minClockRate) };
    EXPECT_LE(inheritedLease(ownershipTimeout, leaseLength), ownershipTimeout + leaseTime + slack);
}
