#include "baseline_policy.h"
#include "measure_line.h"
#include "measures.h"
#include "omniscient_queue.h"

#include <algorithm>

namespace rattanrack::measure {

namespace {

using namespace std::chrono_literals;
using policy::Urgency;

constexpr Duration length = 26s;
constexpr Duration floodFrom = 6s;
constexpr Duration floodLength = 10s;
constexpr Duration timeToFill = 2s;
constexpr double steadyLoad = 0.15;
constexpr double floodMean = 0.4;
constexpr double floodFactor = 5;
constexpr double quietFactor = 0.05;
constexpr double floor = 0.2;
constexpr std::size_t kindsPerPool = 3;

std::string bulkKind(const User& user, std::size_t pool) { return user.pools[pool] + "-bulk"; }

Workload fleet(const User& user)
{
    Workload workload;
    workload.length = length;
    for (std::size_t pool = 0; pool < std::size(user.pools); ++pool) {
        addPool(workload, user.pools[pool], 10, user.dataCenters, user.workerMemory);
        addKind(workload, user.pools[pool], user.urgentKinds[pool], user.urgentWeight, floor);
        addKind(workload, user.pools[pool], user.plainKinds[pool], 1, floor);
        addKind(workload, user.pools[pool], bulkKind(user, pool), 1, floor);
    }
    return workload;
}

std::vector<Stream> steadyStreams(const User& user, const Workload& workload)
{
    std::vector<Stream> streams;
    for (std::size_t pool = 0; pool < std::size(user.pools); ++pool) {
        const PoolId id { user.pools[pool] };
        const double load = steadyLoad * static_cast<double>(workload.slots(id));
        streams.push_back({ .pool = id,
            .kind = WorkKind { user.urgentKinds[pool] },
            .urgency = Urgency::Urgent,
            .load = load,
            .meanRunTime = 200ms,
            .timeout = 3s });
        streams.push_back({ .pool = id, .kind = WorkKind { user.plainKinds[pool] }, .load = load, .timeout = 6s });
        streams.push_back({ .pool = id,
            .kind = WorkKind { bulkKind(user, pool) },
            .urgency = Urgency::Background,
            .load = load,
            .timeout = 8s });
    }
    return streams;
}

/// The stream that floods: the most or the least urgent of a pool.
std::size_t floodingStream(std::size_t pool, Urgency urgency)
{
    return pool * kindsPerPool + (urgency == Urgency::Urgent ? 0 : kindsPerPool - 1);
}

Workload flooded(const User& user, std::size_t pool, Urgency urgency)
{
    auto workload = fleet(user);
    auto streams = steadyStreams(user, workload);
    auto& stream = streams[floodingStream(pool, urgency)];
    const double mean = floodMean * static_cast<double>(workload.slots(stream.pool));
    stream.load = mean * quietFactor;
    stream.burstLoad = mean * floodFactor;
    stream.burstFrom = floodFrom;
    stream.burstLength = floodLength;
    draw(workload, streams, user.seed);
    return workload;
}

struct Service {
    double others { 0 }; ///< Weighted useful answers of the other pools.
    double samePool { 0 }; ///< Of the other kinds of the flooded pool.
    double whole { 0 };
};

Service serviceOf(const Workload& workload, const Result& result, const PoolId& pool, const WorkKind& flooding)
{
    Service service;
    for (const auto& fate : result.fates) {
        const auto& spec = fate.arrival->spec;
        if (fate.arrival->at.time_since_epoch() < floodFrom || !fate.isUseful())
            continue;
        const double weight = workload.weight(spec.kind);
        service.whole += weight;
        if (spec.pool != pool)
            service.others += weight;
        else if (spec.kind != flooding)
            service.samePool += weight;
    }
    return service;
}

/// Part of the pool's slot time that went into useful answers while the flood lasted.
double usefulCapacity(const Workload& workload, const Result& result, const PoolId& pool)
{
    const TimePoint from { floodFrom + timeToFill };
    const TimePoint until { floodFrom + floodLength };
    double useful = 0;
    for (const auto& fate : result.fates) {
        if (fate.arrival->spec.pool != pool || !fate.isUseful())
            continue;
        const auto begin = std::max(*fate.started, from);
        const auto end = std::min(*fate.started + fate.arrival->runTime, until);
        useful += end > begin ? std::chrono::duration<double>(end - begin).count() : 0;
    }
    return useful / (std::chrono::duration<double>(until - from).count() * static_cast<double>(workload.slots(pool)));
}

double longestUrgentWait(const Result& result)
{
    Duration longest {};
    for (const auto& fate : result.fates) {
        if (fate.arrival->spec.urgency == Urgency::Urgent && fate.started)
            longest = std::max(longest, fate.wait());
    }
    return std::chrono::duration<double>(longest).count();
}

double wrongFinals(const Result& result)
{
    return static_cast<double>(
        std::count_if(result.fates.begin(), result.fates.end(), [](const auto& fate) { return fate.finals != 1; }));
}

Result omniscient(Workload workload)
{
    workload.nodes = 1;
    for (auto& arrival : workload.arrivals)
        arrival.node = 0;
    Setting setting { .factory = [&](std::size_t) { return createOmniscientQueue(workload); } };
    setting.messageDelay = Duration::zero();
    auto result = simulate(workload, setting);
    for (auto& fate : result.fates)
        fate.arrival = nullptr;
    return result;
}

struct Flood {
    double others { 1 };
    double samePool { 1 };
    double capacity { 1 };
    double urgentWait { 0 };
    double wrongFinals { 0 };
    double whole { 0 };
};

Flood measureFlood(const User& user, std::size_t pool, Urgency urgency, const Workload& calm, const Result& calmResult,
    const PolicyFactory& factory)
{
    const auto workload = flooded(user, pool, urgency);
    const auto result = simulate(workload, { .factory = factory });
    const PoolId id { user.pools[pool] };
    const WorkKind kind { urgency == Urgency::Urgent ? user.urgentKinds[pool] : bulkKind(user, pool) };
    const auto with = serviceOf(workload, result, id, kind);
    const auto without = serviceOf(calm, calmResult, id, kind);
    return { with.others / without.others, with.samePool / without.samePool, usefulCapacity(workload, result, id),
        longestUrgentWait(result), wrongFinals(result), with.whole };
}

double omniscientCapacity(const User& user, Urgency urgency)
{
    const auto workload = flooded(user, 0, urgency);
    auto result = omniscient(workload);
    for (std::size_t index = 0; index < result.fates.size(); ++index)
        result.fates[index].arrival = &workload.arrivals[index];
    return usefulCapacity(workload, result, PoolId { user.pools[0] });
}

void measureFloodsOf(const User& user, Urgency urgency, const std::string& suffix)
{
    auto calm = fleet(user);
    draw(calm, steadyStreams(user, calm), user.seed);
    const auto calmResult = simulate(calm, { .factory = coreFactory() });
    Flood worst;
    for (std::size_t pool = 0; pool < std::size(user.pools); ++pool) {
        const auto flood = measureFlood(user, pool, urgency, calm, calmResult, coreFactory());
        worst.others = std::min(worst.others, flood.others);
        worst.samePool = std::min(worst.samePool, flood.samePool);
        worst.capacity = std::min(worst.capacity, flood.capacity);
        worst.urgentWait = std::max(worst.urgentWait, flood.urgentWait);
        worst.wrongFinals += flood.wrongFinals;
    }
    const auto plain = [](std::size_t node) { return createBaseline(Choice::LeastLoaded, node + 1); };
    const auto baseline = measureFlood(user, 0, urgency, calm, calmResult, plain);
    const std::string policy = "credits_with_home";
    print({ "kept_by_other_pools_" + suffix, user.name, policy, worst.others, "share", baseline.others, 1, 0.99,
        Good::AtLeast });
    print({ "kept_by_other_kinds_" + suffix, user.name, policy, worst.samePool, "share", baseline.samePool, 1, 0.99,
        Good::AtLeast });
    print({ "useful_capacity_" + suffix, user.name, policy, worst.capacity, "share", baseline.capacity,
        omniscientCapacity(user, urgency), 0.95, Good::AtLeast });
    print({ "longest_urgent_start_" + suffix, user.name, policy, worst.urgentWait, "s", baseline.urgentWait,
        std::nullopt, 5.5, Good::AtMost });
    print({ "wrong_finals_" + suffix, user.name, policy, worst.wrongFinals, "requests", std::nullopt, 0, 0,
        Good::AtMost });
}

} // namespace

void measureFloods(const User& user)
{
    measureFloodsOf(user, Urgency::Background, "least_urgent_flood");
    measureFloodsOf(user, Urgency::Urgent, "most_urgent_flood");
}

} // namespace rattanrack::measure
