#include "cell_harness.h"
#include "rattanrack/jobs/owned_part.h"

using namespace rattanrack;
using namespace rattanrack::jobs;
using namespace rattanrack::jobs::tests;

/// Machines that an owner has announced as drained, and may be taken down after it has been replaced.
namespace {

const MachineId machine { "w1" };

std::set<WorkerId> workersOfStarts(CellHarness& harness)
{
    std::set<WorkerId> workers;
    for (const StartCommand& start : harness.takeCommands<StartCommand>())
        workers.insert(start.worker);
    return workers;
}

/// A job is accepted that takes most of each worker.
void submitWideJob(CellHarness& harness)
{
    harness.submitAndStore("a");
    harness.submitAndStore("b");
    harness.advance(10ms);
}

} // namespace

TEST(DrainedMachine, IsAnnouncedOnlyOnceTheNextOwnerWouldReadIt)
{
    CellHarness harness;
    harness.cell().setDrainingMachines({ machine });
    harness.advance(10ms);
    EXPECT_TRUE(harness.cell().drainedMachines().empty());
    EXPECT_EQ(harness.cell().drainedMachinesToStore(harness.now()), std::set<MachineId> { machine });
    harness.confirmOwnership();
    EXPECT_EQ(harness.cell().drainedMachines(), (DrainedMachines { { machine, WorkerId { "w1" } } }));
}

TEST(DrainedMachine, IsNotAnnouncedWhileATransactionWithoutItMayTakeEffect)
{
    CellHarness harness;
    harness.cell().setDrainingMachines({ machine });
    harness.confirmOwnership();
    harness.cell().onDrainedMachinesSent({});
    EXPECT_TRUE(harness.cell().drainedMachines().empty());
}

TEST(DrainedMachine, NextOwnerStartsNothingThereBeforeItReceivesTheDrainingMachines)
{
    CellHarness harness { 2, {} };
    harness.cell().setMachinesDrainedByEarlierOwners({ machine }, harness.now());
    harness.answerAllPolls();
    submitWideJob(harness);
    EXPECT_EQ(workersOfStarts(harness), std::set<WorkerId> { WorkerId { "w2" } });
    EXPECT_EQ(harness.cell().drainedMachinesToStore(harness.now()), std::set<MachineId> { machine });
}

TEST(DrainedMachine, IsUsedAgainOnceNoCommandThatRestsOnTheEarlierOwnerCanArrive)
{
    CellHarness harness { 2, {} };
    harness.cell().setMachinesDrainedByEarlierOwners({ machine }, harness.now());
    for (Duration passed {}; passed < 7s; passed += 100ms) {
        harness.answerAllPolls();
        harness.advance(100ms);
    }
    submitWideJob(harness);
    EXPECT_EQ(workersOfStarts(harness).size(), 2U);
    EXPECT_TRUE(harness.cell().drainedMachinesToStore(harness.now()).empty());
}

TEST(DrainedMachine, OwnerRowKeepsItThroughATakeover)
{
    OwnerRow row { NodeId { "n1" }, 1, 1, {}, {} };
    row.drainedMachines = { machine };
    const auto decoded = valueOrNothing([&] { return decodeOwnerRow(encode(row)); });
    ASSERT_TRUE(decoded.has_value());
    EXPECT_EQ(*decoded, row);
    OwnedPart next { PoolId { "p" }, NodeId { "n2" }, *decoded, 1 };
    next.beginTransaction({}, {});
    EXPECT_EQ(next.drainedMachinesWritten(), row.drainedMachines);
}
