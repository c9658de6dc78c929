#include "deployment.h"

#include <algorithm>

/// An order stays on its way for some seconds. It is sent again and its run ends as done; the worker crashes and starts
/// again under its id, and receives the first order. Rule TWICE: a start after a run has ended `done`, whose end is
/// noted.
namespace review {

namespace {

constexpr int workers = 9;
constexpr int workersOfRack = 4;
constexpr std::int64_t taskCpu = 2'000;
constexpr std::int64_t taskMemory = 1'000;
constexpr Milliseconds taskTime { 640 };
constexpr Milliseconds timeOnTheWay { 8'000 };
constexpr Milliseconds longestWaitForEnd { 5'000 };
constexpr Milliseconds downTime { 1'500 };
constexpr Milliseconds timeAfterArrival { 2'000 };
constexpr Milliseconds checkInterval { 20 };

/// The first end of the job as done that is noted.
std::optional<RunEnd> notedEnd(Fleet& fleet, const std::string& job)
{
    const auto ends = fleet.ends();
    const auto found = std::find_if(ends.begin(), ends.end(),
        [&](const RunEnd& each) { return each.task.starts_with(job) && each.how == "done" && each.isNoted; });
    return found == ends.end() ? std::nullopt : std::optional { *found };
}

std::optional<RunEnd> waitForNotedEnd(Fleet& fleet, const std::string& job)
{
    const TimePoint begunAt = Clock::now();
    auto end = notedEnd(fleet, job);
    while (!end && Clock::now() - begunAt < longestWaitForEnd) {
        std::this_thread::sleep_for(checkInterval);
        end = notedEnd(fleet, job);
    }
    return end;
}

int run(const std::string& recordPath)
{
    FleetLimits limits;
    limits.areConnectionsKept = false;
    Deployment deployment { recordPath, limits, 3 };
    Fleet& fleet = deployment.fleet();
    const Route route { "r-1", "fit.example", "/fit/", "fitting" };
    for (int number = 0; number < workers; ++number)
        fleet.addWorker(
            { "i-" + std::to_string(number), route.pool, "a", "r1-" + std::to_string(number / workersOfRack) });
    if (!deployment.start({ route }))
        return couldNotRun;
    const std::string id = jobId(1);
    fleet.addJob(id, { { 1, taskCpu, taskMemory, taskTime } });
    const Json step { { "count", 1 }, { "cpu", taskCpu }, { "mem_mb", taskMemory },
        { "estimated_ms", taskTime.count() } };
    if (hasTrouble())
        fleet.holdNextStart(timeOnTheWay);
    const TimePoint sentAt = Clock::now();
    if (!deployment.submit(route, id, { { "spec", "text" }, { "steps", Json::array({ step }) } }))
        return couldNotRun;
    const auto end = waitForNotedEnd(fleet, id);
    if (!end)
        return couldNotRun;
    deployment.record().add("the end of " + end->task + " as done is noted");
    fleet.crash(end->worker);
    std::this_thread::sleep_for(downTime);
    fleet.restart(end->worker);
    std::this_thread::sleep_until(sentAt + timeOnTheWay + timeAfterArrival);
    const auto starts = fleet.starts();
    const auto late = std::count_if(starts.begin(), starts.end(),
        [&](const RunStart& each) { return each.task == end->task && each.at > end->at; });
    deployment.record().add(
        "starts after the noted end: " + std::to_string(late) + "; the job is shown as " + deployment.state(route, id));
    return late > 0 ? broken : held;
}

} // namespace

} // namespace review

int main(int argumentCount, char** arguments)
{
    return argumentCount > 1 ? review::run(arguments[1]) : review::couldNotRun;
}
