#include "../model/cell_simulation.h"

#include <gtest/gtest.h>

using namespace rattanrack;
using namespace rattanrack::jobs;
using namespace rattanrack::jobs::model;
using namespace std::chrono_literals;

namespace {

/// Submits a job of one task.
void submit(CellSimulation& simulation, const std::string& id, const TaskBehavior& behavior)
{
    Job job { JobId { id }, QueueId { "queue" }, simulation.now().time_since_epoch().count() / 1000 };
    Step step;
    step.size = behavior.size;
    step.isLongRunning = behavior.isLongRunning;
    job.spec.steps = { step };
    simulation.submit(job, { behavior });
}

/// Returns how long after a start that crashes its worker the owner finds the worker unresponsive, while a poll waits
/// there.
std::optional<Duration> timeUntilUnresponsive(const FaultRates& faults)
{
    const ResourceSize size { Millicores { 500 }, Mebibytes { 100 }, {} };
    CellSimulation simulation { 1, 1, faults };
    simulation.run(2s);
    submit(simulation, "long-running", { size, 0us, false, true });
    simulation.run(2s);
    std::optional<TimePoint> startedAt;
    std::optional<Duration> found;
    simulation.setObserver([&](TimePoint now, int, const CellEvent& event) {
        const auto* run = std::get_if<RunEvent>(&event);
        if (run && run->kind == RunEvent::Kind::Starting && run->task.job == JobId { "crashing" } && !startedAt)
            startedAt = now;
        const auto* worker = std::get_if<WorkerEvent>(&event);
        if (worker && worker->kind == WorkerEvent::Kind::Unresponsive && startedAt && !found)
            found = now - *startedAt;
    });
    submit(simulation, "crashing", { size, 1s, false, false, 0 });
    simulation.run(3s);
    return found;
}

} // namespace

TEST(CellSimulation, CrashEndsTheConnectionsOfTheWorker)
{
    const auto time = timeUntilUnresponsive({});
    ASSERT_TRUE(time);
    EXPECT_LE(*time, 30ms);
}

TEST(CellSimulation, SilentCrashIsFoundByATimeOut)
{
    const auto time = timeUntilUnresponsive({ .silentCrashes = 1 });
    ASSERT_TRUE(time);
    EXPECT_GE(*time, 700ms);
}
