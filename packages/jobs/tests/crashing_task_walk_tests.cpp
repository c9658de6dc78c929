#include "crash_walk.h"

#include <gtest/gtest.h>

using namespace rattanrack::jobs::model;
using namespace rattanrack::jobs::tests;

namespace {

FaultRates laterOwners()
{
    return { .lostResponses = 0.02,
        .partitionsPerSecond = 0.1,
        .ownerLossesPerSecond = 0.04,
        .failedCommits = 0.05,
        .handBacksPerSecond = 0.03,
        .storeStallsPerSecond = 0.1,
        .loopStallsPerSecond = 0.1 };
}

/// Owners change every 3 to 7 s, as fast as a crash is found.
FaultRates ownerChanges()
{
    FaultRates rates = laterOwners();
    rates.ownerLossesPerSecond = 0.1;
    rates.handBacksPerSecond = 0.05;
    return rates;
}

FaultRates crashesOfRacks() { return { .lostResponses = 0.02, .crashesPerSecond = 0.3, .rackCrashesPerSecond = 0.25 }; }

FaultRates flappingWorkers()
{
    return { .lostCommands = 0.02, .lostResponses = 0.02, .flapsPerSecond = 0.6, .staleListEntries = 0.2 };
}

FaultRates otherCrashes()
{
    return { .lostResponses = 0.02,
        .failedRuns = 0.05,
        .crashesPerSecond = 0.2,
        .partitionsPerSecond = 0.2,
        .ownerLossesPerSecond = 0.05 };
}

FaultRates withSilentCrashes(FaultRates rates, double share)
{
    rates.silentCrashes = share;
    return rates;
}

} // namespace

TEST(CrashingTaskWalk, TaskThatCrashesItsWorkersIsGivenUp) { runCrashWalks({ .crashingShare = 0.05 }, 12); }

TEST(CrashingTaskWalk, TaskThatCrashesItsWorkersIsGivenUpByLaterOwners)
{
    runCrashWalks({ .crashingShare = 0.05, .faults = laterOwners() }, 20);
}

TEST(CrashingTaskWalk, TaskThatCrashesItsWorkersIsGivenUpAcrossOwnerChanges)
{
    runCrashWalks({ .crashingShare = 0.05, .faults = ownerChanges() }, 12);
}

TEST(CrashingTaskWalk, TaskIsNotGivenUpForCrashesOfRacks) { runCrashWalks({ .faults = crashesOfRacks() }, 25); }

TEST(CrashingTaskWalk, TaskIsNotGivenUpOnFlappingWorkers) { runCrashWalks({ .faults = flappingWorkers() }, 25); }

TEST(CrashingTaskWalk, VerdictsAreRightAmongOtherCrashes)
{
    runCrashWalks({ .crashingShare = 0.04, .faults = otherCrashes() }, 20);
}

TEST(CrashingTaskWalk, VerdictsAreRightOnFlappingWorkers)
{
    runCrashWalks({ .crashingShare = 0.04, .faults = flappingWorkers() }, 12);
}

TEST(CrashingTaskWalk, LongRunningTasksGoOnBesideTasksThatCrashWorkers)
{
    runCrashWalks({ .crashingShare = 0.05, .longRunningJobs = 4, .areLongRunningTasksNeverOverdue = true }, 12);
}

TEST(CrashingTaskWalk, LongRunningTaskIsNotGivenUpAmongOtherCrashes)
{
    runCrashWalks({ .crashingShare = 0.04, .faults = otherCrashes(), .longRunningJobs = 4 }, 12);
}

TEST(CrashingTaskWalk, LongRunningTaskIsNotGivenUpOnFlappingWorkers)
{
    runCrashWalks({ .faults = flappingWorkers(), .longRunningJobs = 4 }, 12);
}

TEST(CrashingTaskWalk, GangOneMemberOfWhichCrashesItsWorkersIsGivenUp)
{
    runCrashWalks({ .crashingShare = 0.06, .gangShare = 0.4 }, 12);
}

TEST(CrashingTaskWalk, GangIsNotGivenUpForCrashesOfRacks)
{
    runCrashWalks({ .faults = crashesOfRacks(), .gangShare = 0.4 }, 12);
}

TEST(CrashingTaskWalk, TaskWhoseWorkersCrashSilentlyIsGivenUp)
{
    runCrashWalks({ .crashingShare = 0.05, .faults = { .silentCrashes = 1 } }, 12);
}

TEST(CrashingTaskWalk, VerdictsAreRightAmongSilentCrashes)
{
    runCrashWalks({ .crashingShare = 0.04, .faults = withSilentCrashes(otherCrashes(), 0.5) }, 12);
}

TEST(CrashingTaskWalk, TaskIsNotGivenUpForSilentCrashesOfRacks)
{
    runCrashWalks({ .faults = withSilentCrashes(crashesOfRacks(), 0.5) }, 12);
}

TEST(CrashingTaskWalk, TaskIsGivenUpWhenItsWorkersReturnUnderOtherIds)
{
    runCrashWalks({ .crashingShare = 0.05, .faults = { .renamedAfterTaskCrash = 1 } }, 12);
}

TEST(CrashingTaskWalk, VerdictsAreRightWhenWorkersReturnUnderOtherIds)
{
    FaultRates faults = otherCrashes();
    faults.renamedAfterTaskCrash = 1;
    runCrashWalks({ .crashingShare = 0.04, .faults = faults }, 12);
}

TEST(CrashingTaskWalk, ManyCrashingTasksInBatchesAreGivenUp)
{
    runCrashWalks({ .crashingShare = 0.12, .mostTasks = 12, .jobsAtOnce = 10 }, 12);
}

TEST(CrashingTaskWalk, TaskThatCrashesItsWorkersIsGivenUpWhileTheStoreStalls)
{
    runCrashWalks({ .crashingShare = 0.05, .faults = { .failedCommits = 0.05, .storeStallsPerSecond = 0.4 } }, 12);
}

TEST(CrashingTaskWalk, VerdictsAreRightForCancelledJobsAndLimitedWorkers)
{
    runCrashWalks({ .crashingShare = 0.08, .onePerWorkerShare = 0.4, .cancelledShare = 0.15 }, 12);
}
