#include "flood.h"

#include <gtest/gtest.h>

using namespace rattanrack::jobs;
using namespace rattanrack::jobs::tests;

namespace {

constexpr int idleSteps = 10;
constexpr int floodTicks = 100;

/// Of one step with nothing new in a flood.
DecisionEffort effortOfIdleStep(FloodSize size)
{
    Flood flood { size };
    flood.warmUp();
    flood.stepWithNothingNew();
    const DecisionEffort before = flood.cell().effort();
    for (int number = 0; number < idleSteps; ++number)
        flood.stepWithNothingNew();
    const DecisionEffort after = flood.cell().effort();
    return { (after.jobs - before.jobs) / idleSteps, (after.places - before.places) / idleSteps,
        (after.runs - before.runs) / idleSteps };
}

/// Workers and runs that were looked at for each start.
double effortOfStart(FloodSize size)
{
    Flood flood { size };
    flood.warmUp();
    const DecisionEffort before = flood.cell().effort();
    const std::int64_t startedBefore = flood.started();
    for (int number = 0; number < floodTicks; ++number)
        flood.tick();
    const DecisionEffort after = flood.cell().effort();
    const auto looked = static_cast<double>(after.places - before.places + after.runs - before.runs);
    return looked / static_cast<double>(flood.started() - startedBefore);
}

} // namespace

TEST(CellEffort, StepsThatFindNoRoomDoNotCostAPassOverAllWorkersEach)
{
    const FloodSize size { 40, 400, 0 };
    const int passes = static_cast<int>(effortOfIdleStep(size).places) / size.workers;
    EXPECT_LE(passes, size.waitingJobs / 20);
}

TEST(CellEffort, NeighboursAreNotCountedAnewForEachStepThatWaits)
{
    const FloodSize size { 40, 400, 0 };
    EXPECT_LE(effortOfIdleStep(size).runs, static_cast<std::uint64_t>(size.waitingJobs));
}

TEST(CellEffort, JobsThatHaveEndedCostNothing)
{
    EXPECT_LE(effortOfIdleStep({ 12, 100, 2000 }).jobs, effortOfIdleStep({ 12, 100, 0 }).jobs);
}

TEST(CellEffort, CancellingAJobThatRunsNowhereLooksAtNoRuns)
{
    Flood flood { { 40, 400, 0 } };
    flood.warmUp();
    const auto before = flood.cell().effort().runs;
    ASSERT_TRUE(flood.cell().cancel(flood.jobThatWaits(), 1, 1).has_value());
    EXPECT_EQ(flood.cell().effort().runs, before);
}

TEST(CellEffort, TwiceTheWorkersAndJobsAreAtMostTwiceTheEffort)
{
    EXPECT_LE(effortOfStart({ 80, 400, 0 }), 2 * effortOfStart({ 40, 200, 0 }));
    const DecisionEffort small = effortOfIdleStep({ 40, 200, 0 });
    const DecisionEffort large = effortOfIdleStep({ 80, 400, 0 });
    EXPECT_LE(large.places + large.runs, 2 * (small.places + small.runs));
}
