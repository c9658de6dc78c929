#include "cell_walk.h"

#include <gtest/gtest.h>

using namespace rattanrack;
using namespace rattanrack::jobs;
using namespace rattanrack::jobs::model;
using namespace rattanrack::jobs::tests;
using namespace std::chrono_literals;

TEST(CellWalk, AllJobsCompleteWithoutFaults) { runWalks({}, 10, 60); }

TEST(CellWalk, CommandsAreCarriedOutLate) { runWalks({ .lostCommands = 0.08, .lostResponses = 0.05 }, 15, 60); }

TEST(CellWalk, WorkersCrashAndRestart) { runWalks({ .lostResponses = 0.02, .crashesPerSecond = 0.5 }, 15, 60); }

TEST(CellWalk, PartitionedWorkersGoOnRunning) { runWalks({ .partitionsPerSecond = 0.6 }, 15, 60); }

TEST(CellWalk, OwnersAreReplaced)
{
    runWalks({ .lostCommands = 0.03, .failedRuns = 0.2, .ownerLossesPerSecond = 0.4 }, 30, 60);
}

TEST(CellWalk, CommonFaultsTogether) { runWalks(commonFaults(), 40, 60); }

TEST(CellWalk, EndedRunsAreUnacknowledgedDuringOwnerChanges)
{
    runWalks({ .failedRuns = 0.35,
                 .partitionsAtRunEnds = 0.05,
                 .ownerChangesInPartitions = 0.4,
                 .storeStallsPerSecond = 0.2 },
        40, 40);
}

TEST(CellWalk, PollsAreTruncatedDuringOwnerChanges)
{
    runWalks(
        { .failedRuns = 0.3, .handBacksPerSecond = 0.3, .partitionsAtRunEnds = 0.05, .truncatedPolls = 0.5 }, 30, 40);
}

TEST(CellWalk, MachinesAreDrainedDuringOwnerChanges)
{
    runWalks({ .ownerLossesPerSecond = 0.15,
                 .slowStops = 0.8,
                 .machineDrainsPerSecond = 3,
                 .handBacksPerSecond = 1,
                 .survivingOwners = 0.5 },
        30, 20, 3);
}

TEST(CellWalk, WorkersDrainWhileListReadsAreSlow)
{
    runWalks({ .lostCommands = 0.05,
                 .lostResponses = 0.05,
                 .workerDrainsPerSecond = 0.6,
                 .handBacksPerSecond = 0.2,
                 .slowListReads = 0.4 },
        30, 40);
}

TEST(CellWalk, ReplacedOwnersGoOn)
{
    runWalks({ .lostResponses = 0.03,
                 .failedRuns = 0.3,
                 .partitionsPerSecond = 0.3,
                 .ownerLossesPerSecond = 0.3,
                 .failedCommits = 0.1,
                 .slowStops = 0.5,
                 .partitionsAtRunEnds = 0.02,
                 .survivingOwners = 1 },
        30, 40, 2);
}

TEST(CellWalk, AllFaultsTogether)
{
    runWalks({ .lostCommands = 0.03,
                 .lostResponses = 0.03,
                 .failedRuns = 0.25,
                 .crashesPerSecond = 0.1,
                 .partitionsPerSecond = 0.2,
                 .ownerLossesPerSecond = 0.1,
                 .failedCommits = 0.1,
                 .slowStops = 0.5,
                 .workerDrainsPerSecond = 0.15,
                 .machineDrainsPerSecond = 0.5,
                 .handBacksPerSecond = 0.2,
                 .partitionsAtRunEnds = 0.03,
                 .ownerChangesInPartitions = 0.3,
                 .truncatedPolls = 0.2,
                 .survivingOwners = 0.5,
                 .slowListReads = 0.1 },
        40, 40, 2);
}

TEST(CellWalk, OwnerLoopsStall)
{
    runWalks({ .lostCommands = 0.03,
                 .lostResponses = 0.03,
                 .failedRuns = 0.1,
                 .crashesPerSecond = 0.2,
                 .partitionsPerSecond = 0.2,
                 .loopStallsPerSecond = 0.3 },
        30, 40);
}

TEST(CellWalk, CommandsAreDelayedBeforeSending)
{
    runWalks({ .lostCommands = 0.03,
                 .failedRuns = 0.1,
                 .crashesPerSecond = 0.2,
                 .partitionsPerSecond = 0.2,
                 .ownerLossesPerSecond = 0.1,
                 .survivingOwners = 0.5,
                 .delayedCommands = 0.1 },
        30, 40);
}

TEST(CellWalk, WorkersFlap) { runWalks(flaps(), 30, 40); }

TEST(CellWalk, StarvedOwnersOfFlappingWorkersAreReplaced) { runWalks(starvedOwnersAndFlaps(), 30, 40); }

/// An entry of another writer on a worker's machine, while the worker's own entry is missing.
TEST(CellWalk, EntriesOfAnotherWriterBesideLapsedEntries)
{
    FaultRates rates = commonFaults();
    rates.foreignEntriesPerSecond = 1;
    rates.entryLapsesPerSecond = 0.5;
    runWalks(rates, 40, 60);
}

TEST(CellWalk, EntriesOfAnotherWriterDuringOwnerChanges)
{
    runWalks({ .partitionsPerSecond = 0.5,
                 .ownerLossesPerSecond = 0.4,
                 .foreignEntriesPerSecond = 2,
                 .entryLapsesPerSecond = 0.5 },
        40, 60);
}

TEST(CellWalk, WorkersThatCloseConnectionsCrashAndRestart)
{
    runWalks({ .lostResponses = 0.02, .crashesPerSecond = 0.5, .areConnectionsClosed = true }, 15, 60);
}

TEST(CellWalk, CommonFaultsWithClosedConnections) { runWalks(withClosedConnections(commonFaults()), 40, 60); }

TEST(CellWalk, CommonFaultsWithSilentCrashes)
{
    FaultRates rates = commonFaults();
    rates.silentCrashes = 1;
    runWalks(rates, 40, 60);
}

TEST(CellWalk, WorkersThatCloseConnectionsFlap) { runWalks(withClosedConnections(flaps()), 30, 40); }

TEST(CellWalk, StarvedOwnersOfWorkersThatCloseConnectionsAreReplaced)
{
    runWalks(withClosedConnections(starvedOwnersAndFlaps()), 30, 40);
}

TEST(CellWalk, CapacityShrinksWithoutOtherFaults)
{
    runWalks({ .slowStops = 0.5, .shrinksPerSecond = 2, .isCapacityUnenforced = true }, 20, 80, 2);
}

TEST(CellWalk, CapacityShrinksWhileResponsesAreLost)
{
    runWalks({ .lostCommands = 0.06,
                 .lostResponses = 0.06,
                 .partitionsPerSecond = 0.4,
                 .slowStops = 0.5,
                 .slowListReads = 0.2,
                 .delayedCommands = 0.05,
                 .shrinksPerSecond = 2,
                 .isCapacityUnenforced = true },
        30, 80, 2);
}

TEST(CellWalk, CapacityShrinksDuringOwnerChanges)
{
    runWalks({ .lostCommands = 0.04,
                 .lostResponses = 0.03,
                 .failedRuns = 0.1,
                 .crashesPerSecond = 0.2,
                 .partitionsPerSecond = 0.2,
                 .ownerLossesPerSecond = 0.2,
                 .failedCommits = 0.05,
                 .slowStops = 0.5,
                 .machineDrainsPerSecond = 0.5,
                 .handBacksPerSecond = 0.2,
                 .survivingOwners = 0.5,
                 .flapsPerSecond = 0.1,
                 .staleListEntries = 0.5,
                 .shrinksPerSecond = 2,
                 .isCapacityUnenforced = true },
        30, 80, 2);
}

TEST(CellWalk, CapacityShrinksWhileReplacedOwnersGoOn)
{
    runWalks({ .lostCommands = 0.03,
                 .ownerLossesPerSecond = 0.3,
                 .slowStops = 0.3,
                 .handBacksPerSecond = 0.1,
                 .survivingOwners = 1,
                 .loopStallsPerSecond = 0.15,
                 .shrinksPerSecond = 3,
                 .isCapacityUnenforced = true },
        60, 80, 2);
}
