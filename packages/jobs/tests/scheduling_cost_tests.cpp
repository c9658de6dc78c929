#include "overloaded_cell.h"

#include <gtest/gtest.h>

using namespace rattanrack::jobs;
using namespace rattanrack::jobs::tests;

namespace {

constexpr int idleSteps = 10;
constexpr int floodTicks = 100;

/// Of one step with nothing new in a flood.
SchedulingCost effortOfIdleStep(OverloadSize size)
{
    OverloadedCell flood { size };
    flood.warmUp();
    flood.advanceWithoutInput();
    const SchedulingCost before = flood.cell().schedulingCost();
    for (int number = 0; number < idleSteps; ++number)
        flood.advanceWithoutInput();
    const SchedulingCost after = flood.cell().schedulingCost();
    return { (after.jobsExamined - before.jobsExamined) / idleSteps,
        (after.workersExamined - before.workersExamined) / idleSteps,
        (after.runsExamined - before.runsExamined) / idleSteps };
}

/// Workers and runs that were looked at for each start.
double effortOfStart(OverloadSize size)
{
    OverloadedCell flood { size };
    flood.warmUp();
    const SchedulingCost before = flood.cell().schedulingCost();
    const std::int64_t startedBefore = flood.startedRuns();
    for (int number = 0; number < floodTicks; ++number)
        flood.tick();
    const SchedulingCost after = flood.cell().schedulingCost();
    const auto looked = static_cast<double>(
        after.workersExamined - before.workersExamined + after.runsExamined - before.runsExamined);
    return looked / static_cast<double>(flood.startedRuns() - startedBefore);
}

} // namespace

TEST(CellEffort, StepsThatFindNoRoomDoNotCostAPassOverAllWorkersEach)
{
    const OverloadSize size { 40, 400, 0 };
    const int passes = static_cast<int>(effortOfIdleStep(size).workersExamined) / size.workers;
    EXPECT_LE(passes, size.waitingJobs / 20);
}

TEST(CellEffort, NeighboursAreNotCountedAnewForEachStepThatWaits)
{
    const OverloadSize size { 40, 400, 0 };
    EXPECT_LE(effortOfIdleStep(size).runsExamined, static_cast<std::uint64_t>(size.waitingJobs));
}

TEST(CellEffort, JobsThatHaveEndedCostNothing)
{
    EXPECT_LE(effortOfIdleStep({ 12, 100, 2000 }).jobsExamined, effortOfIdleStep({ 12, 100, 0 }).jobsExamined);
}

TEST(CellEffort, CancellingAJobThatRunsNowhereLooksAtNoRuns)
{
    OverloadedCell flood { { 40, 400, 0 } };
    flood.warmUp();
    const auto before = flood.cell().schedulingCost().runsExamined;
    ASSERT_TRUE(flood.cell().cancel(flood.waitingJob(), 1, 1).has_value());
    EXPECT_EQ(flood.cell().schedulingCost().runsExamined, before);
}

TEST(CellEffort, TwiceTheWorkersAndJobsAreAtMostTwiceTheEffort)
{
    EXPECT_LE(effortOfStart({ 80, 400, 0 }), 2 * effortOfStart({ 40, 200, 0 }));
    const SchedulingCost small = effortOfIdleStep({ 40, 200, 0 });
    const SchedulingCost large = effortOfIdleStep({ 80, 400, 0 });
    EXPECT_LE(large.workersExamined + large.runsExamined, 2 * (small.workersExamined + small.runsExamined));
}
