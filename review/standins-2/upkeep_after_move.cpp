#include "deployment.h"

#include <algorithm>

/// Machines that have just moved to another pool get work there, and are taken down for their upkeep under it. Rule
/// AVAIL: an upkeep ends a subtask of a step with `may_miss` that is at work while so many others of its step are away.
namespace review {

namespace {

constexpr int machinesOfPool = 9;
constexpr int spareMachines = 8;
constexpr std::int64_t finiteCpu = 2'000;
constexpr int firstBurst = 120; ///< Subtasks.
constexpr Milliseconds firstTime { 2'000 };
constexpr int secondBurst = 100; ///< Subtasks.
constexpr Milliseconds secondTime { 8'000 };
constexpr int lastingJobs = 6;
constexpr int lastingCount = 5;
constexpr std::int64_t lastingCpu = 800;
constexpr Milliseconds betweenBursts { 3'700 };
constexpr Milliseconds beforeLastingJobs { 300 };
constexpr Milliseconds beforeWave { 700 };
constexpr Milliseconds longestWait { 15'000 };
constexpr int cap = 10;
constexpr int waveSeconds = 25;

Json finiteJob(int count, Milliseconds time)
{
    return { { "spec", "text" },
        { "steps",
            Json::array({ { { "count", count }, { "cpu", finiteCpu }, { "mem_mb", 1000 },
                { "estimated_ms", time.count() } } }) } };
}

Json lastingJob()
{
    return { { "spec", "text" },
        { "steps",
            Json::array({ { { "count", lastingCount }, { "cpu", lastingCpu }, { "mem_mb", 2000 },
                { "long_running", true }, { "max_per_server", 1 }, { "may_miss", 1 } } }) } };
}

class Case {
public:
    explicit Case(const std::string& recordPath)
        : m_deployment(recordPath, limits(), 3)
    {
    }

    int run()
    {
        Fleet& fleet = m_deployment.fleet();
        fleet.addStandbyPool("spare");
        for (const Route& route : m_routes) {
            for (int number = 0; number < machinesOfPool; ++number)
                fleet.addWorker({ route.pool + '-' + std::to_string(number), route.pool, "a",
                    "r-" + route.pool + std::to_string(number / 4) });
        }
        for (int number = 0; number < spareMachines; ++number)
            fleet.addWorker(
                { "spare-" + std::to_string(number), "spare", "a", "r-spare" + std::to_string(number / 4) });
        if (!m_deployment.start(m_routes, "spare"))
            return couldNotRun;
        submitFinite(m_routes[0], firstBurst, firstTime);
        std::this_thread::sleep_for(betweenBursts);
        submitFinite(m_routes[1], secondBurst, secondTime);
        std::this_thread::sleep_for(beforeLastingJobs);
        for (int number = 0; number < lastingJobs; ++number)
            submitLasting(m_routes[1]);
        std::this_thread::sleep_for(beforeWave);
        if (hasTrouble())
            fleet.requestWave(1, machinesToUpkeep(), cap, waveSeconds);
        const TimePoint requestedAt = Clock::now();
        while (Clock::now() - requestedAt < longestWait && fleet.breaches().empty())
            std::this_thread::sleep_for(Milliseconds { 100 });
        return fleet.breaches().empty() ? held : broken;
    }

private:
    static FleetLimits limits()
    {
        FleetLimits limits;
        limits.canMove = true;
        return limits;
    }

    /// Those that the fitting service had at first, wherever they are now.
    std::vector<std::string> machinesToUpkeep()
    {
        auto machines = m_deployment.fleet().machines();
        std::erase_if(machines, [](const std::string& each) { return !each.starts_with("m-fitting"); });
        return machines;
    }

    void submitFinite(const Route& route, int count, Milliseconds time)
    {
        submit(route, finiteJob(count, time), { count, finiteCpu, 1000, time });
    }

    void submitLasting(const Route& route)
    {
        StepModel step { lastingCount, lastingCpu, 2000, {} };
        step.isLongRunning = true;
        step.mayMiss = 1;
        submit(route, lastingJob(), step);
    }

    void submit(const Route& route, const Json& job, const StepModel& step)
    {
        const std::string id = jobId(++m_lastJob);
        m_deployment.fleet().addJob(id, { step });
        m_deployment.submit(route, id, job);
    }

    std::vector<Route> m_routes { { "r-1", "fit.example", "/fit/", "fitting" },
        { "r-2", "fit.example", "/dye/", "colour" } };
    Deployment m_deployment;
    int m_lastJob { 0 };
};

} // namespace

} // namespace review

int main(int argumentCount, char** arguments)
{
    return argumentCount > 1 ? review::Case(arguments[1]).run() : review::couldNotRun;
}
