#include "deployment.h"

/// A large job comes while small ones go on. Rule LOST: for 3 s a job has nothing running while a subtask's turn has
/// come, there is capacity for it twice over, and under half of the service's capacity is in use.
namespace review {

namespace {

constexpr int workers = 9;
constexpr int workersOfRack = 4;
constexpr int largeCount = 12'000;
constexpr int usualCount = 1'200;
constexpr int smallCount = 2;
constexpr std::int64_t taskCpu = 250;
constexpr std::int64_t taskMemory = 10;
constexpr Milliseconds taskTime { 1'000 };
constexpr Milliseconds longestDay { 70'000 };
constexpr Milliseconds longestIdle { 3'000 };
constexpr Milliseconds checkInterval { 100 };
constexpr Milliseconds reportInterval { 1'000 };
constexpr double halfOfCapacity = 0.5;

class Case {
public:
    explicit Case(const std::string& recordPath)
        : m_deployment(recordPath, {}, 3)
    {
    }

    int run()
    {
        for (int number = 0; number < workers; ++number)
            m_deployment.fleet().addWorker(
                { "i-" + std::to_string(number), m_route.pool, "a", "r1-" + std::to_string(number / workersOfRack) });
        if (!m_deployment.start({ m_route }) || !submit(hasTrouble() ? largeCount : usualCount))
            return couldNotRun;
        const std::string large = jobId(1);
        const TimePoint begunAt = Clock::now();
        TimePoint busyAt = begunAt;
        TimePoint reportedAt = begunAt;
        while (Clock::now() - begunAt < longestDay) {
            std::this_thread::sleep_for(checkInterval);
            const TimePoint now = Clock::now();
            if (!m_deployment.fleet().runningTasks(large).empty()
                || m_deployment.fleet().usedShare(m_route.pool) >= halfOfCapacity)
                busyAt = now;
            if (now - reportedAt >= reportInterval) {
                reportedAt = now;
                if (report(large) == "completed")
                    return held;
                submit(smallCount);
            }
            if (now - busyAt >= longestIdle) {
                m_deployment.record().add("BROKEN LOST: for 3 s nothing of job " + large
                    + " runs although it has subtasks to run, and less than half of the capacity is in use");
                report(large);
                return broken;
            }
        }
        return couldNotRun;
    }

private:
    bool submit(int count)
    {
        const std::string id = jobId(++m_lastJob);
        m_deployment.fleet().addJob(id, { { count, taskCpu, taskMemory, taskTime } });
        const Json step { { "count", count }, { "cpu", taskCpu }, { "mem_mb", taskMemory },
            { "estimated_ms", taskTime.count() } };
        return m_deployment.submit(m_route, id, { { "spec", "text" }, { "steps", Json::array({ step }) } });
    }

    std::string report(const std::string& large)
    {
        std::string state = m_deployment.state(m_route, large);
        m_deployment.record().add("job " + large + " is shown as " + state + "; starts so far "
            + std::to_string(m_deployment.fleet().starts().size()) + ", share of the capacity in use "
            + std::to_string(m_deployment.fleet().usedShare(m_route.pool))
            + ", transactions refused for a value above row_bytes "
            + std::to_string(m_deployment.store().oversizedTransactions()));
        return state;
    }

    const Route m_route { "r-1", "fit.example", "/fit/", "fitting" };
    Deployment m_deployment;
    int m_lastJob { 0 };
};

} // namespace

} // namespace review

int main(int argumentCount, char** arguments)
{
    return argumentCount > 1 ? review::Case(arguments[1]).run() : review::couldNotRun;
}
