#include "cell_walk.h"
#include "crash_walk.h"

#include <gtest/gtest.h>

using namespace rattanrack;
using namespace rattanrack::jobs::model;
using namespace rattanrack::jobs::tests;
using namespace std::chrono_literals;

namespace {

/// Replaced owners go on for a while, and reach other workers than the next owner.
FaultRates withOwnerLinks(FaultRates rates)
{
    constexpr double cutsPerSecond = 2.5;
    constexpr double lossesPerSecond = 0.25;
    rates.ownerLinkCutsPerSecond = cutsPerSecond;
    rates.ownerLossesPerSecond = std::max(rates.ownerLossesPerSecond, lossesPerSecond);
    rates.survivingOwners = 1;
    return rates;
}

FaultRates replacedOwners()
{
    return withOwnerLinks({ .lostResponses = 0.03, .failedRuns = 0.1, .failedCommits = 0.1, .slowStops = 0.5 });
}

FaultRates plannedWork()
{
    return withOwnerLinks({ .lostResponses = 0.03,
        .failedRuns = 0.1,
        .failedCommits = 0.1,
        .slowStops = 0.8,
        .workerDrainsPerSecond = 0.15,
        .machineDrainsPerSecond = 1,
        .handBacksPerSecond = 0.5 });
}

/// Among common faults, with workers that flap.
FaultRates manyFaults()
{
    FaultRates rates = withOwnerLinks(starvedOwnersAndFlaps());
    rates.crashesPerSecond = 0.3;
    rates.failedCommits = 0.05;
    rates.slowListReads = 0;
    rates.listReadsWhenReplaced = 0.8;
    rates.flapsPerSecond = 0.5;
    rates.shrinksPerSecond = 1.2;
    return rates;
}

FaultRates withInitialClocks(FaultRates rates)
{
    rates.longestInitialClock = 30s;
    return rates;
}

FaultRates withLateCommands(FaultRates rates)
{
    rates.lostCommands = 0.08;
    rates.delayedPolls = 0.05;
    rates.longestExecutionDelay = 30s;
    return rates;
}

FaultRates withCommandsHeldOnTheWay(FaultRates rates)
{
    rates = withClosedConnections(withLateCommands(rates));
    rates.areLateCommandsHeldOnTheWay = true;
    return rates;
}

FaultRates withWallClockErrors(FaultRates rates)
{
    rates.longestClockError = 10s;
    return rates;
}

FaultRates withOvertakingResults(FaultRates rates)
{
    rates.longestResponseDelay = 650ms;
    return rates;
}

CrashWalkSettings gangs(double crashingShare)
{
    return { .crashingShare = crashingShare,
        .faults = replacedOwners(),
        .gangShare = 0.3,
        .cancelledShare = 0.1,
        .longRunningJobs = 1 };
}

} // namespace

TEST(OwnerLinkWalk, ReplacedOwnersReachOtherWorkers)
{
    runWalks(replacedOwners(), { 40, { 238, 379, 538, 557, 610, 669 } }, 40, 4);
}

TEST(OwnerLinkWalk, CommonFaults)
{
    runWalks(withOwnerLinks(commonFaults()), { 20, { 158, 301, 313, 472, 491, 615, 629, 642, 706 } }, 40, 2);
}

TEST(OwnerLinkWalk, CommonFaultsWithClosedConnections)
{
    const WalkSeeds seeds { 20, { 144, 313, 426, 472, 478, 568, 599, 706, 767 } };
    runWalks(withOwnerLinks(withClosedConnections(commonFaults())), seeds, 40, 2);
}

TEST(OwnerLinkWalk, WorkersFlap)
{
    runWalks(withOwnerLinks(flaps()), { 20, { 130, 193, 339, 472, 488, 507, 553, 652, 655 } }, 40, 2);
}

TEST(OwnerLinkWalk, StarvedOwnersOfFlappingWorkers)
{
    const WalkSeeds seeds { 20, { 123, 131, 138, 154, 400, 413, 605, 695 } };
    runWalks(withOwnerLinks(starvedOwnersAndFlaps()), seeds, 40, 2);
}

TEST(OwnerLinkWalk, PlannedWork) { runWalks(plannedWork(), { 20, { 150, 628, 751, 864, 961 } }, 30, 3); }

TEST(OwnerLinkWalk, Gangs) { runCrashWalks(gangs(0), { 10, { 143, 205, 252, 316, 328, 489, 527, 599 } }); }

TEST(OwnerLinkWalk, GangsAmongCrashes) { runCrashWalks(gangs(0.1), { 10, { 50, 109, 143, 335, 592, 605, 617 } }); }

TEST(OwnerLinkWalk, ClocksOfNewIncarnations) { runWalks(withInitialClocks(manyFaults()), 10, 40, 2); }

TEST(OwnerLinkWalk, CommandsCarriedOutLate) { runWalks(withLateCommands(manyFaults()), 10, 40, 2); }

TEST(OwnerLinkWalk, CommandsHeldOnTheWay) { runWalks(withCommandsHeldOnTheWay(manyFaults()), 10, 40, 2); }

TEST(OwnerLinkWalk, WallClocksOfNodesDiffer) { runWalks(withWallClockErrors(manyFaults()), 10, 40, 2); }

TEST(OwnerLinkWalk, ResultsOvertakeEachOther) { runWalks(withOvertakingResults(manyFaults()), 10, 40, 2); }
