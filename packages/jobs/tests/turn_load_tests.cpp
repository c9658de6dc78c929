#include "../model/turn_load.h"

#include <gtest/gtest.h>

using namespace rattanrack::jobs::model;
using namespace std::chrono_literals;

namespace {

constexpr int seeds = 2;
/// Of what a planner with full knowledge earns.
constexpr double wantedShare = 0.9;
/// The tenth with the most work is to be served at least this share as often as all jobs.
constexpr double leastShareOfLargest = 0.5;

JobKind manyLightTasks() { return {}; }

JobKind heavyTasks()
{
    return { .meanSteps = 2, .meanCores = 4.8, .meanRunTime = 1700ms, .unevenness = 0.15, .declarationError = 0.2 };
}

struct Totals {
    double worth { 0 };
    double plannedWorth { 0 };
    double completed { 0 };
    double largestCompleted { 0 };
};

Totals play(TurnLoadSettings settings)
{
    Totals totals;
    for (settings.seed = 1; settings.seed <= seeds; ++settings.seed) {
        const TurnLoadResult result = playTurnLoad(settings);
        totals.worth += result.worth / seeds;
        totals.plannedWorth += result.plannedWorth / seeds;
        totals.completed += result.completed / static_cast<double>(result.jobs) / seeds;
        totals.largestCompleted += result.largestCompleted / seeds;
    }
    return totals;
}

void expectServed(const TurnLoadSettings& settings)
{
    const Totals totals = play(settings);
    EXPECT_GE(totals.worth, wantedShare * totals.plannedWorth);
    EXPECT_GE(totals.largestCompleted, leastShareOfLargest * totals.completed);
}

} // namespace

TEST(TurnLoad, LightTasksAreServedInTimeInATurn) { expectServed({ .kind = manyLightTasks() }); }

TEST(TurnLoad, HeavyTasksAreServedInTimeInATurn) { expectServed({ .kind = heavyTasks() }); }

TEST(TurnLoad, LightTasksAreServedInTimeBehindANarrowLink)
{
    expectServed({ .kind = manyLightTasks(), .startsPerSecond = 80 });
}

TEST(TurnLoad, HeavyTasksAreServedInTimeInATurnOfTwiceTheSize) { expectServed({ .kind = heavyTasks(), .peak = 8 }); }

TEST(TurnLoad, LargestJobsAreServedHalfAsOftenInEachOverload)
{
    for (const double peak : { 4.0, 8.0 }) {
        for (const int startsPerSecond : { 0, 80 }) {
            const Totals totals = play({ .kind = manyLightTasks(), .peak = peak, .startsPerSecond = startsPerSecond });
            EXPECT_GE(totals.largestCompleted, leastShareOfLargest * totals.completed)
                << peak << ' ' << startsPerSecond;
        }
    }
}
