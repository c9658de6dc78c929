#include "deployment.h"

#include <algorithm>

/// Another writer has left an entry of a service that no manifest names, on the machine of a worker. The worker is cut
/// off from the store and runs on. Rule TWICE: two runs of one subtask at the same time, on workers that are up.
namespace review {

namespace {

constexpr int workers = 9;
constexpr int tasks = 6;
constexpr Milliseconds taskTime { 25'000 };
constexpr Milliseconds timeBeforeCut { 2'000 };
constexpr Milliseconds cutTime { 5'500 };
constexpr Milliseconds timeAfterCut { 4'000 };
constexpr Milliseconds checkInterval { 20 };

Json job()
{
    return { { "spec", "text" },
        { "steps",
            Json::array({ { { "count", tasks }, { "cpu", 2000 }, { "mem_mb", 1000 }, { "estimated_ms", 25000 },
                { "max_per_server", 1 } } }) } };
}

/// The entry of a service that is not named, as another program on the machine may have written it.
Json entryOfOtherWriter(const std::string& machine)
{
    return { { "backend", "monitoring" }, { "address", "127.0.0.1:9" }, { "zone", "z" }, { "version", "v1" },
        { "slots", 1 }, { "state", "ready" }, { "cold_remaining_ms", 0 },
        { "capacity", { { "cpu", 100 }, { "mem_mb", 100 }, { "gpu", 0 } } }, { "labels", { "a", "r1-0" } },
        { "machine", machine }, { "born", unixMilliseconds() }, { "sequence", 1 } };
}

/// Tasks that have two runs at the same time.
int tasksRunTwice(Deployment& deployment, const std::string& job)
{
    std::map<std::string, int> open;
    std::map<std::pair<std::string, std::int64_t>, bool> hasEnded;
    for (const RunEnd& end : deployment.fleet().ends())
        hasEnded[{ end.task, end.run }] = true;
    for (const RunStart& start : deployment.fleet().starts()) {
        if (start.task.starts_with(job) && !hasEnded[{ start.task, start.run }])
            ++open[start.task];
    }
    return static_cast<int>(std::count_if(open.begin(), open.end(), [](const auto& each) { return each.second > 1; }));
}

int run(const std::string& recordPath)
{
    Deployment deployment { recordPath, {}, 3 };
    Record& record = deployment.record();
    Fleet& fleet = deployment.fleet();
    const Route route { "r-1", "fit.example", "/fit/", "fitting" };
    for (int number = 0; number < workers; ++number)
        fleet.addWorker({ "i-" + std::to_string(number), "fitting", "a", "r1-" + std::to_string(number / 4) });
    std::this_thread::sleep_for(Milliseconds { 100 });
    deployment.store().put("servers", "monitor-0", entryOfOtherWriter("m-i-0"));
    if (!deployment.start({ route }))
        return couldNotRun;
    const std::string id = jobId(1);
    fleet.addJob(id, { { tasks, 2000, 1000, taskTime } });
    if (!deployment.submit(route, id, job()))
        return couldNotRun;
    std::this_thread::sleep_for(timeBeforeCut);
    if (fleet.runningTasks(id).size() != tasks)
        return couldNotRun;
    if (hasTrouble())
        fleet.setCutFromStore("i-0", true);
    int most = 0;
    const TimePoint cutAt = Clock::now();
    bool isCut = hasTrouble();
    while (Clock::now() - cutAt < cutTime + timeAfterCut) {
        std::this_thread::sleep_for(checkInterval);
        most = std::max(most, tasksRunTwice(deployment, id));
        if (isCut && Clock::now() - cutAt >= cutTime) {
            fleet.setCutFromStore("i-0", false);
            isCut = false;
        }
    }
    record.add("subtasks that had two runs at the same time: " + std::to_string(most));
    return most > 0 ? broken : held;
}

} // namespace

} // namespace review

int main(int argumentCount, char** arguments)
{
    return argumentCount > 1 ? review::run(arguments[1]) : review::couldNotRun;
}
