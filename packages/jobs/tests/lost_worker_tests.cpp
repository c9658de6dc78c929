#include "../model/cell_simulation.h"

#include <gtest/gtest.h>

#include <functional>

using namespace rattanrack;
using namespace rattanrack::jobs;
using namespace rattanrack::jobs::model;
using namespace std::chrono_literals;

/// Long-running tasks after the loss of many workers.
namespace {

constexpr Duration step = 100ms;
constexpr Duration observedTime = 25s;

/// A cell in which long-running jobs are submitted all the time. Lists the tasks that are overdue at any moment.
class LossScenario {
public:
    LossScenario(std::uint64_t seed, int workers, Duration longestLease)
        : m_simulation(seed, workers, {}, longestLease)
    {
        m_simulation.run(2s);
    }

    CellSimulation& simulation() { return m_simulation; }

    void submitLongRunning(int tasks)
    {
        Job job;
        job.id = JobId { "job" + std::to_string(++m_lastJob) };
        job.queue = QueueId { "queue" };
        job.acceptedAtUnixMs = m_simulation.now().time_since_epoch().count() / 1000;
        Step spec;
        spec.count = tasks;
        spec.size = { Millicores { 500 }, Mebibytes { 100 }, {} };
        spec.isLongRunning = true;
        job.spec.steps = { spec };
        m_simulation.submit(job, { { spec.size, 0us, false, true } });
    }

    void run(Duration time)
    {
        for (Duration passed {}; passed < time; passed += step) {
            m_simulation.run(step);
            for (const std::string& task : m_simulation.overdueLongRunningTasks())
                m_overdue.insert(task.substr(0, task.find(' ')));
        }
    }

    /// The same as `run`, with a new job of one task every `period`.
    void runWithNewJobs(Duration time, Duration period)
    {
        for (Duration passed {}; passed < time; passed += period) {
            submitLongRunning(1);
            run(period);
        }
    }

    const std::set<std::string>& overdue() const { return m_overdue; }

private:
    CellSimulation m_simulation;
    int m_lastJob { 0 };
    std::set<std::string> m_overdue;
};

/// Plays the loss, with some seeds, once long-running jobs have run for a while. No task may be overdue at any moment.
void expectNoneOverdue(
    int workers, int jobs, int tasksPerJob, const std::function<void(LossScenario& scenario)>& playLoss)
{
    for (std::uint64_t seed = 1; seed <= 4; ++seed) {
        LossScenario scenario { seed, workers, 10s };
        for (int job = 0; job < jobs; ++job)
            scenario.submitLongRunning(tasksPerJob);
        scenario.run(3s);
        playLoss(scenario);
        scenario.run(observedTime);
        EXPECT_TRUE(scenario.overdue().empty())
            << "seed " << seed << ": " << scenario.overdue().size() << " tasks, " << *scenario.overdue().begin();
        EXPECT_TRUE(scenario.simulation().violations().empty());
    }
}

} // namespace

TEST(LostWorkers, StartsWithoutResponseDoNotKeepLongRunningTasksFromRunning)
{
    expectNoneOverdue(85, 8, 24, [](LossScenario& scenario) {
        scenario.simulation().loseWorkers(30, 4s);
        scenario.runWithNewJobs(4s, 100ms);
    });
}

TEST(LostWorkers, TakeoverBesideALostWorkerStartsLongRunningTasks)
{
    expectNoneOverdue(12, 3, 12, [](LossScenario& scenario) {
        scenario.simulation().loseWorkers(1, 1ms);
        scenario.simulation().loseOwner();
    });
}

/// The terms before the last owner's are over too; the restarted node has seen none of them.
TEST(LostWorkers, TakeoverByARestartedNodeStartsLongRunningTasks)
{
    expectNoneOverdue(12, 3, 12, [](LossScenario& scenario) {
        for (int times = 0; times < 3; ++times) {
            scenario.run(observedTime);
            scenario.simulation().loseWorkers(1, 1ms);
            scenario.simulation().restartNodes();
        }
    });
}
