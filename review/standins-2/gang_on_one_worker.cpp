#include "deployment.h"

#include <algorithm>

/// One of the two workers that may run a gang is lost for good; the gang fits on the other one. Rule GANG: its runs end
/// `alone` with their sender in touch and no disruption near, each time that the gang is started.
namespace review {

namespace {

constexpr int usualWorkers = 7;
constexpr int gangSize = 32;
constexpr std::int64_t taskCpu = 400;
constexpr Milliseconds taskTime { 700 };
constexpr Milliseconds commandTime { 9 }; ///< From an order's arrival to its response.
constexpr Milliseconds calmTime { 12'000 }; ///< From the loss until the gang is handed in.
constexpr Milliseconds longestWait { 30'000 };

Json gang()
{
    return { { "spec", "text" },
        { "steps",
            Json::array({ { { "count", gangSize }, { "cpu", taskCpu }, { "mem_mb", 100 }, { "estimated_ms", 700 },
                { "gang", true }, { "required_label", "b" } } }) } };
}

int run(const std::string& recordPath)
{
    FleetLimits limits;
    limits.commandTime = commandTime;
    Deployment deployment { recordPath, limits, 3 };
    Fleet& fleet = deployment.fleet();
    const Route route { "r-1", "fit.example", "/fit/", "fitting" };
    for (int number = 0; number < usualWorkers; ++number)
        fleet.addWorker({ "i-" + std::to_string(number), "fitting", "a", "r1-" + std::to_string(number / 4) });
    fleet.addWorker({ "i-7", "fitting", "b", "r1-1" });
    fleet.addWorker({ "i-8", "fitting", "b", "r1-2" });
    if (!deployment.start({ route }))
        return couldNotRun;
    if (hasTrouble())
        fleet.loseForGood("i-8");
    std::this_thread::sleep_for(calmTime);
    const std::string id = jobId(1);
    StepModel step { gangSize, taskCpu, 100, taskTime };
    step.isGang = true;
    fleet.addJob(id, { step });
    if (!deployment.submit(route, id, gang()))
        return couldNotRun;
    const bool isCompleted = deployment.waitForState(route, id, "completed", longestWait);
    const auto ends = fleet.ends();
    const auto alone = std::count_if(ends.begin(), ends.end(), [](const RunEnd& each) { return each.how == "alone"; });
    deployment.record().add("runs that have ended alone: " + std::to_string(alone)
        + (isCompleted ? ", the gang is completed" : ", the gang is not completed"));
    return alone > 0 ? broken : (isCompleted ? held : couldNotRun);
}

} // namespace

} // namespace review

int main(int argumentCount, char** arguments)
{
    return argumentCount > 1 ? review::run(arguments[1]) : review::couldNotRun;
}
