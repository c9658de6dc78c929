#include "../model/cell_simulation.h"

#include <gtest/gtest.h>

using namespace rattanrack;
using namespace rattanrack::jobs;
using namespace rattanrack::jobs::model;
using namespace std::chrono_literals;

namespace {

/// Submits a job of one step.
void submit(CellSimulation& simulation, const std::string& id, const Step& step, const TaskBehavior& behavior)
{
    Job job { JobId { id }, QueueId { "queue" }, simulation.now().time_since_epoch().count() / 1000 };
    job.spec.steps = { step };
    simulation.submit(job, { behavior });
}

} // namespace

TEST(CellWalk, LongRunningTaskIsPlacedDuringAnOverload)
{
    CellSimulation simulation { 1, 2, {} };
    simulation.run(2s);
    // The tasks differ in length, so that capacity becomes free in small pieces.
    for (int number = 0; number < 60; ++number) {
        Step small;
        small.count = 4;
        small.size = { Millicores { 4800 }, Mebibytes { 10 }, {} };
        small.declaredRunTime = 400ms;
        submit(simulation, "small" + std::to_string(number), small, { small.size, 300ms + number % 7 * 50ms });
    }
    simulation.run(1s);
    Step longRunning;
    longRunning.size = { Millicores { 12800 }, Mebibytes { 10 }, {} };
    longRunning.isLongRunning = true;
    submit(simulation, "long-running", longRunning, { longRunning.size, 0us, false, true });
    simulation.run(3s);
    EXPECT_EQ(simulation.runningOf(JobId { "long-running" }), 1);
}

TEST(CellWalk, UnplaceableLongRunningTasksDoNotBlockOthers)
{
    CellSimulation simulation { 1, 3, {} };
    simulation.run(2s);
    Step longRunning;
    longRunning.count = 5; // Two more than there are workers.
    longRunning.size = { Millicores { 500 }, Mebibytes { 100 }, {} };
    longRunning.isLongRunning = true;
    longRunning.maxPerWorker = 1;
    for (const char* id : { "long-running1", "long-running2", "long-running3" })
        submit(simulation, id, longRunning, { longRunning.size, 0us, false, true });
    Step finite;
    finite.size = { Millicores { 1000 }, Mebibytes { 100 }, {} };
    finite.declaredRunTime = 500ms;
    submit(simulation, "finite", finite, { finite.size, 500ms });
    simulation.run(5s);
    EXPECT_EQ(simulation.runningOf(JobId { "long-running1" }), 3);
    EXPECT_EQ(simulation.shownState(JobId { "finite" }), JobState::Completed);
}
