#include "../model/cell_simulation.h"

#include <gtest/gtest.h>

#include <map>
#include <random>
#include <set>

using namespace rattanrack;
using namespace rattanrack::jobs;
using namespace rattanrack::jobs::model;
using namespace std::chrono_literals;

namespace {

constexpr int workers = 24;
constexpr int crashingJobs = 30;
constexpr int innocentJobs = 60;
constexpr Duration maxWait = 3s; ///< Of a task that could run, with room for it.
constexpr Duration settlingTime = 14s; ///< From the end of the traffic until tasks may no longer wait.
constexpr Duration observedTime = 10s;
constexpr Duration samplingPeriod = 50ms;

/// Jobs with a task that crashes each worker that starts it, then jobs without one.
class CrashLoop {
public:
    explicit CrashLoop(std::uint64_t seed)
        : m_random(seed * 7919)
        , m_simulation(seed, workers, {})
    {
        m_simulation.run(2s);
        submit(crashingJobs, true);
        submit(innocentJobs, false);
    }

    CellSimulation& simulation() { return m_simulation; }

    /// Tasks that wait longer than allowed, after the traffic has ended.
    std::set<TaskRef> overdueTasks()
    {
        m_simulation.run(settlingTime);
        std::set<TaskRef> overdue;
        std::map<TaskRef, TimePoint> waitingSince;
        const TimePoint end = m_simulation.now() + observedTime;
        while (m_simulation.now() < end) {
            m_simulation.run(samplingPeriod);
            std::map<TaskRef, TimePoint> stillWaiting;
            for (const TaskRef& task : m_simulation.waitingTasksWithRoom()) {
                const auto known = waitingSince.find(task);
                const TimePoint since = known == waitingSince.end() ? m_simulation.now() : known->second;
                stillWaiting.emplace(task, since);
                if (m_simulation.now() - since > maxWait)
                    overdue.insert(task);
            }
            waitingSince = std::move(stillWaiting);
        }
        return overdue;
    }

private:
    int pick(int least, int most) { return std::uniform_int_distribution<> { least, most }(m_random); }

    void submit(int count, bool crashesWorkers)
    {
        for (int submitted = 0; submitted < count; ++submitted) {
            Job job;
            job.id = JobId { (crashesWorkers ? "crashing" : "innocent") + std::to_string(submitted + 1) };
            job.queue = QueueId { "queue" };
            job.acceptedAtUnixMs = m_simulation.now().time_since_epoch().count() / 1000;
            Step step;
            step.count = pick(2, 4);
            step.size = { Millicores { pick(500, 2000) }, Mebibytes { pick(200, 4000) }, {} };
            step.declaredRunTime = Duration { pick(500, 1500) * 1000 };
            TaskBehavior behavior { step.size, Duration { pick(500, 1500) * 1000 }, false, false };
            if (crashesWorkers)
                behavior.crashingTask = pick(0, step.count - 1);
            job.spec.steps = { step };
            m_simulation.submit(job, { behavior });
            m_simulation.run(Duration { pick(20, 150) * 1000 });
        }
    }

    std::mt19937_64 m_random;
    CellSimulation m_simulation;
};

} // namespace

/// Issue 29, LOST.
TEST(CrashLoops, TaskIsNotKeptWaitingBehindTasksThatCrashTheirWorkers)
{
    for (std::uint64_t seed = 1; seed <= 8; ++seed) {
        CrashLoop loop { seed };
        const std::set<TaskRef> overdue = loop.overdueTasks();
        std::string tasks;
        for (const TaskRef& task : overdue)
            tasks += ' ' + describe(task);
        EXPECT_TRUE(overdue.empty()) << "seed " << seed << ": " << overdue.size() << " tasks:" << tasks;
    }
}
