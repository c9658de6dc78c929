#include "overloaded_cell.h"

#include <gtest/gtest.h>

using namespace rattanrack::jobs;
using namespace rattanrack::jobs::tests;

namespace {

constexpr int idlePasses = 10;
constexpr int overloadTicks = 100;

/// Cost of one scheduling pass without new input in an overloaded cell.
SchedulingCost costOfIdlePass(OverloadSize size)
{
    OverloadedCell cell { size };
    cell.warmUp();
    cell.advanceWithoutInput();
    const SchedulingCost before = cell.cell().schedulingCost();
    for (int pass = 0; pass < idlePasses; ++pass)
        cell.advanceWithoutInput();
    const SchedulingCost after = cell.cell().schedulingCost();
    return { (after.jobsExamined - before.jobsExamined) / idlePasses,
        (after.workersExamined - before.workersExamined) / idlePasses,
        (after.runsExamined - before.runsExamined) / idlePasses };
}

/// Workers and runs examined for each start.
double costPerStart(OverloadSize size)
{
    OverloadedCell cell { size };
    cell.warmUp();
    const SchedulingCost before = cell.cell().schedulingCost();
    const std::int64_t startedBefore = cell.startedRuns();
    for (int pass = 0; pass < overloadTicks; ++pass)
        cell.tick();
    const SchedulingCost after = cell.cell().schedulingCost();
    const auto examined = static_cast<double>(
        after.workersExamined - before.workersExamined + after.runsExamined - before.runsExamined);
    return examined / static_cast<double>(cell.startedRuns() - startedBefore);
}

} // namespace

TEST(CellSchedulingCost, StepsWithoutCapacityDoNotEachScanAllWorkers)
{
    const OverloadSize size { 40, 400, 0 };
    const int passes = static_cast<int>(costOfIdlePass(size).workersExamined) / size.workers;
    EXPECT_LE(passes, size.waitingJobs / 20);
}

TEST(CellSchedulingCost, WaitingStepsDoNotEachRecountColocatedRuns)
{
    const OverloadSize size { 40, 400, 0 };
    EXPECT_LE(costOfIdlePass(size).runsExamined, static_cast<std::uint64_t>(size.waitingJobs));
}

TEST(CellSchedulingCost, EndedJobsCostNothing)
{
    EXPECT_LE(costOfIdlePass({ 12, 100, 2000 }).jobsExamined, costOfIdlePass({ 12, 100, 0 }).jobsExamined);
}

TEST(CellSchedulingCost, CancellingAJobWithoutRunsExaminesNoRuns)
{
    OverloadedCell cell { { 40, 400, 0 } };
    cell.warmUp();
    const auto before = cell.cell().schedulingCost().runsExamined;
    ASSERT_TRUE(cell.cell().cancel(cell.waitingJob(), 1, 1).has_value());
    EXPECT_EQ(cell.cell().schedulingCost().runsExamined, before);
}

TEST(CellSchedulingCost, CostGrowsAtMostLinearlyWithWorkersAndJobs)
{
    EXPECT_LE(costPerStart({ 80, 400, 0 }), 2 * costPerStart({ 40, 200, 0 }));
    const SchedulingCost small = costOfIdlePass({ 40, 200, 0 });
    const SchedulingCost large = costOfIdlePass({ 80, 400, 0 });
    EXPECT_LE(large.workersExamined + large.runsExamined, 2 * (small.workersExamined + small.runsExamined));
}
