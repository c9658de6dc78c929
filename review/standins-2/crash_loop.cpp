#include "deployment.h"

#include <algorithm>

/// A worker crashes again and again soon after it is back, and then stays up. Rule LOST: a job is shown as `failed`
/// without cause, since only ends `failed` count as attempts.
namespace review {

namespace {

constexpr int usualWorkers = 8;
constexpr int workersOfRack = 4;
constexpr std::int64_t taskCpu = 2'000;
constexpr std::int64_t taskMemory = 1'000;
constexpr Milliseconds taskTime { 2'000 };
constexpr Milliseconds upTime { 300 };
constexpr Milliseconds downTime { 3'000 };
constexpr int crashes = 12;
constexpr Milliseconds longestWait { 25'000 };
constexpr const char* crashingWorker = "i-8";

int run(const std::string& recordPath)
{
    Deployment deployment { recordPath, {}, 3 };
    Fleet& fleet = deployment.fleet();
    const Route route { "r-1", "fit.example", "/fit/", "fitting" };
    for (int number = 0; number < usualWorkers; ++number)
        fleet.addWorker(
            { "i-" + std::to_string(number), route.pool, "a", "r1-" + std::to_string(number / workersOfRack) });
    fleet.addWorker({ crashingWorker, route.pool, "b", "r1-2" });
    if (!deployment.start({ route }))
        return couldNotRun;
    const std::string id = jobId(1);
    fleet.addJob(id, { { 1, taskCpu, taskMemory, taskTime } });
    const Json step { { "count", 1 }, { "cpu", taskCpu }, { "mem_mb", taskMemory },
        { "estimated_ms", taskTime.count() }, { "required_label", "b" } };
    if (!deployment.submit(route, id, { { "spec", "text" }, { "steps", Json::array({ step }) } }))
        return couldNotRun;
    for (int number = 0; hasTrouble() && number < crashes; ++number) {
        std::this_thread::sleep_for(upTime);
        fleet.crash(crashingWorker);
        std::this_thread::sleep_for(downTime);
        fleet.restart(crashingWorker);
    }
    deployment.waitForState(route, id, "completed", longestWait);
    const std::string state = deployment.state(route, id);
    const auto ends = fleet.ends();
    const auto failures
        = std::count_if(ends.begin(), ends.end(), [](const RunEnd& each) { return each.how == "failed"; });
    deployment.record().add("job " + id + " is shown as " + state + "; runs of it that ended failed: "
        + std::to_string(failures) + ", attempts of its queue: " + std::to_string(route.attempts));
    if (state == "failed" && failures < route.attempts)
        return broken;
    return state == "completed" ? held : couldNotRun;
}

} // namespace

} // namespace review

int main(int argumentCount, char** arguments)
{
    return argumentCount > 1 ? review::run(arguments[1]) : review::couldNotRun;
}
