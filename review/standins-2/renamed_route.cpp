#include "deployment.h"

/// A manifest gives a route another name; host, path and service stay. Rule MIXED: `pending` is under half of the jobs
/// that were accepted long enough before and have not begun.
namespace review {

namespace {

constexpr int workers = 3;
constexpr int jobs = 16;
constexpr std::int64_t wholeWorker = 16'000;
constexpr Milliseconds taskTime { 30'000 };
constexpr Milliseconds settleTime {
    6'000
}; ///< Over `visible_ms` + 2 s, and over `config_apply_ms` + `stable_window_ms`.

int run(const std::string& recordPath)
{
    Deployment deployment { recordPath, {}, 3 };
    Fleet& fleet = deployment.fleet();
    Route route { "r-1", "fit.example", "/fit/", "fitting" };
    for (int number = 0; number < workers; ++number)
        fleet.addWorker({ "i-" + std::to_string(number), route.pool, "a", "r1-0" });
    if (!deployment.start({ route }))
        return couldNotRun;
    const Json step { { "count", 1 }, { "cpu", wholeWorker }, { "mem_mb", 10 }, { "estimated_ms", taskTime.count() } };
    for (int number = 1; number <= jobs; ++number) {
        fleet.addJob(jobId(number), { { 1, wholeWorker, 10, taskTime } });
        if (!deployment.submit(route, jobId(number), { { "spec", "text" }, { "steps", Json::array({ step }) } }))
            return couldNotRun;
    }
    if (hasTrouble())
        route.name = "r-2";
    deployment.store().put("op", "config", manifestOf(2, { route }));
    std::this_thread::sleep_for(settleTime);
    const int notBegun = jobs - static_cast<int>(fleet.starts().size());
    bool isBroken = false;
    for (std::size_t node = 0; node < 3; ++node) {
        const HttpMessage response = deployment.call(node, "GET", route, "");
        deployment.record().add("GET " + route.prefix + " is answered " + std::to_string(response.status) + ' '
            + response.body + "; jobs that have not begun: " + std::to_string(notBegun));
        isBroken
            = isBroken || (response.status == 200 && Json::parse(response.body).value("pending", 0) * 2 < notBegun);
    }
    return isBroken ? broken : held;
}

} // namespace

} // namespace review

int main(int argumentCount, char** arguments)
{
    return argumentCount > 1 ? review::run(arguments[1]) : review::couldNotRun;
}
