#include "baseline_policy.h"
#include "measure_line.h"
#include "measures.h"

#include <algorithm>

namespace rattanrack::measure {

namespace {

using namespace std::chrono_literals;

constexpr Duration length = 40s;
constexpr double percent = 100;

struct Load {
    double slots { 0.5 };
    Duration timeout = 10s;
    double declaredOverTrue { 1 };
    bool isRepeatable { true };
};

Workload onePool(const User& user, const Load& load)
{
    Workload workload;
    workload.length = length;
    addPool(workload, user.pools[0], 10, user.dataCenters, user.workerMemory);
    addKind(workload, user.pools[0], user.plainKinds[0], 1, 0);
    const PoolId pool { user.pools[0] };
    Stream stream { .pool = pool, .kind = WorkKind { user.plainKinds[0] } };
    stream.load = load.slots * static_cast<double>(workload.slots(pool));
    stream.timeout = load.timeout;
    stream.declaredOverTrue = load.declaredOverTrue;
    stream.isRepeatable = load.isRepeatable;
    draw(workload, { stream }, user.seed);
    return workload;
}

double usefulShare(const Result& result)
{
    const auto useful
        = std::count_if(result.fates.begin(), result.fates.end(), [](const auto& fate) { return fate.isUseful(); });
    return static_cast<double>(useful) / static_cast<double>(result.fates.size());
}

double retryShare(const Result& result)
{
    double dispatches = 0;
    double retries = 0;
    for (const auto& [pool, counts] : result.pools) {
        dispatches += static_cast<double>(counts.dispatches);
        retries += static_cast<double>(counts.retries);
    }
    return retries / (dispatches - retries);
}

double refusalShare(const Result& result)
{
    double dispatches = 0;
    double refusals = 0;
    for (const auto& [pool, counts] : result.pools) {
        dispatches += static_cast<double>(counts.dispatches);
        refusals += static_cast<double>(counts.refusals);
    }
    return refusals / dispatches;
}

void printRetries(const std::string& suffix, const User& user, const Result& result)
{
    print({ "retries_over_first_attempts_" + suffix, user.name, "credits_with_home", retryShare(result), "share",
        std::nullopt, std::nullopt, 0.1, Good::AtMost });
}

Result plainResult(const Workload& workload, Setting setting)
{
    setting.factory = [](std::size_t node) { return createBaseline(Choice::LeastLoaded, node + 1); };
    return simulate(workload, setting);
}

void measureSickWorkers(const User& user)
{
    const auto workload = onePool(user, {});
    Setting setting { .factory = coreFactory() };
    for (std::size_t index = 0; index < 2; ++index)
        setting.faults.push_back(
            { workload.view.workers[index].id, WorkerFault::FailsFast, TimePoint { 5s }, TimePoint { length } });
    const auto result = simulate(workload, setting);
    print({ "answered_with_sick_workers", user.name, "credits_with_home", usefulShare(result), "share",
        usefulShare(plainResult(workload, setting)), 1 });
    printRetries("sick_workers", user, result);
}

void measureWave(const User& user)
{
    const auto workload = onePool(user, {});
    Setting setting { .factory = coreFactory() };
    const auto rack = workload.view.workers.front().dataCenter;
    for (const auto& worker : workload.view.workers) {
        if (worker.dataCenter == rack)
            setting.faults.push_back({ worker.id, WorkerFault::IsGone, TimePoint { 10s }, TimePoint { 25s } });
    }
    const auto result = simulate(workload, setting);
    print({ "answered_with_data_centre_gone", user.name, "credits_with_home", usefulShare(result), "share",
        usefulShare(plainResult(workload, setting)), 1 });
    printRetries("data_centre_gone", user, result);
}

void measureDyingHome(const User& user)
{
    const auto workload = onePool(user, { .slots = 0.8 });
    Setting setting { .factory = coreFactory() };
    const auto calm = simulate(workload, setting);
    setting.dyingNode = 0;
    setting.dyingAt = TimePoint { 15s };
    const auto result = simulate(workload, setting);
    const auto isAfter = [](const Fate& fate) { return fate.arrival->at >= TimePoint { 15s }; };
    print({ "wait_p99_home_dies", user.name, "credits_with_home", waitQuantile(result, 0.99, isAfter), "ms",
        std::nullopt, waitQuantile(calm, 0.99, isAfter) });
    print({ "refusals_home_dies", user.name, "credits_with_home", refusalShare(result) * percent, "percent",
        std::nullopt, 0, 1, Good::Below });
}

void measureDeclarations(const User& user)
{
    constexpr double load = 1.3;
    constexpr double farOff = 10;
    const auto shareAt = [&](double declaredOverTrue) {
        const auto workload = onePool(user, { .slots = load, .timeout = 3s, .declaredOverTrue = declaredOverTrue });
        return usefulShare(simulate(workload, { .factory = coreFactory() }));
    };
    const double truthful = shareAt(1);
    print({ "answered_declared_10_times_too_long", user.name, "credits_with_home", shareAt(farOff), "share",
        std::nullopt, truthful });
    print({ "answered_declared_10_times_too_short", user.name, "credits_with_home", shareAt(1 / farOff), "share",
        std::nullopt, truthful });
}

void measureCancellations(const User& user)
{
    auto workload = onePool(user, { .slots = 4, .timeout = 60s });
    for (auto& pool : workload.view.pools)
        pool.maxQueued = 100'000;
    const TimePoint cancelAt { 20s };
    double cancelled = 0;
    for (auto& arrival : workload.arrivals) {
        if (arrival.at >= cancelAt || arrival.at < TimePoint { 5s })
            continue;
        arrival.cancelAt = cancelAt;
        ++cancelled;
    }
    const auto result = simulate(workload, { .factory = coreFactory() });
    const auto wrong
        = std::count_if(result.fates.begin(), result.fates.end(), [](const auto& fate) { return fate.finals != 1; });
    print({ "requests_cancelled_at_once", user.name, "credits_with_home", cancelled, "requests" });
    print({ "wrong_finals_cancellation_wave", user.name, "credits_with_home", static_cast<double>(wrong), "requests",
        std::nullopt, 0, 0, Good::AtMost });
}

void measureOrders(const User& user)
{
    const auto workload = onePool(user, { .isRepeatable = false });
    Setting setting { .factory = coreFactory() };
    for (const auto& worker : workload.view.workers)
        setting.faults.push_back({ worker.id, WorkerFault::IsGone, TimePoint { 10s }, TimePoint { 12s } });
    const auto result = simulate(workload, setting);
    const auto doubled
        = std::count_if(result.fates.begin(), result.fates.end(), [](const auto& fate) { return fate.starts > 1; });
    const auto untrue = std::count_if(result.fates.begin(), result.fates.end(),
        [](const auto& fate) { return fate.reason.has_value() && fate.starts > 0; });
    print({ "orders_started_twice", user.name, "credits_with_home", static_cast<double>(doubled), "requests",
        std::nullopt, 0, 0, Good::AtMost });
    print({ "untrue_not_run_answers", user.name, "credits_with_home", static_cast<double>(untrue), "requests",
        std::nullopt, 0, 0, Good::AtMost });
}

} // namespace

void measureFaults(const User& user)
{
    measureSickWorkers(user);
    measureWave(user);
    measureDyingHome(user);
    measureDeclarations(user);
    measureCancellations(user);
    measureOrders(user);
}

} // namespace rattanrack::measure
