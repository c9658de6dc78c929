#include "workload.h"

#include <algorithm>
#include <cmath>

namespace rattanrack::measure {

namespace {

constexpr std::int64_t slotsPerWorker = 8;
constexpr std::int64_t workersPerRack = 4;
constexpr std::int64_t millicoresPerWorker = 16'000;
constexpr double runTimeSigma = 0.7;

double seconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }
Duration fromSeconds(double value)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(value));
}

std::string numbered(const std::string& prefix, std::size_t number)
{
    std::string digits = std::to_string(number);
    return prefix + std::string(3 - std::min<std::size_t>(digits.size(), 3), '0') + digits;
}

void drawStream(Workload& workload, const Stream& stream, std::size_t index, std::mt19937_64& random)
{
    const double mean = seconds(stream.meanRunTime);
    const double peak = std::max(stream.load, stream.burstLoad);
    if (peak <= 0)
        return;
    std::exponential_distribution<double> gap { peak / mean };
    std::lognormal_distribution<double> runTime { std::log(mean) - runTimeSigma * runTimeSigma / 2, runTimeSigma };
    std::uniform_real_distribution<double> chance { 0, 1 };
    std::uniform_int_distribution<std::size_t> node { 0, workload.nodes - 1 };
    std::uniform_int_distribution<std::size_t> team { 0, stream.teams.size() - 1 };
    double at = 0;
    for (std::size_t number = 0;; ++number) {
        at += gap(random);
        const TimePoint when { fromSeconds(at) };
        if (when.time_since_epoch() >= workload.length)
            return;
        Arrival arrival { .at = when, .node = node(random) };
        arrival.runTime = std::max(fromSeconds(runTime(random)), Duration { 1'000 });
        const std::size_t teamNumber = team(random);
        if (chance(random) * peak > stream.loadAt(when))
            continue;
        arrival.spec = { .id = RequestId { "s" + std::to_string(index) + "-" + std::to_string(number) },
            .pool = stream.pool,
            .kind = stream.kind,
            .team = stream.teams[teamNumber],
            .urgency = stream.urgency,
            .deadline = Deadline::after(when, stream.timeout),
            .declaredSize = { Millicores { 1'000 }, Mebibytes { 1'000 }, Accelerators { 0 } },
            .declaredRunTime = fromSeconds(mean * stream.declaredOverTrue),
            .bytes = 1'000,
            .isRepeatable = stream.isRepeatable };
        workload.arrivals.push_back(std::move(arrival));
    }
}

} // namespace

double Stream::loadAt(TimePoint at) const
{
    Duration into = at.time_since_epoch() - burstFrom;
    if (burstLength == Duration::zero() || into < Duration::zero())
        return load;
    if (burstPeriod > Duration::zero())
        into %= burstPeriod;
    return into < burstLength ? burstLoad : load;
}

double Workload::weight(const WorkKind& kind) const
{
    auto found = std::find_if(
        view.kinds.begin(), view.kinds.end(), [&](const auto& candidate) { return candidate.kind == kind; });
    return found == view.kinds.end() ? 0 : found->weight;
}

std::int64_t Workload::slots(const PoolId& pool) const
{
    std::int64_t sum = 0;
    for (const auto& worker : view.workers)
        sum += worker.pool == pool ? worker.slots.count() : 0;
    return sum;
}

void addPool(
    Workload& workload, const std::string& name, std::size_t count, std::size_t dataCenters, std::int64_t memory)
{
    for (std::size_t index = 0; index < count; ++index) {
        const std::size_t dataCenter = index % dataCenters;
        const std::size_t rack = index / dataCenters / workersPerRack;
        workload.view.workers.push_back({ .id = VmId { numbered(name + "-", index) },
            .pool = PoolId { name },
            .rack = RackId { name + "-r" + std::to_string(dataCenter) + std::to_string(rack) },
            .dataCenter = DataCenterId { "dc" + std::to_string(dataCenter) },
            .capacity = { Millicores { millicoresPerWorker }, Mebibytes { memory }, Accelerators { 0 } },
            .slots = Slots { slotsPerWorker } });
    }
    workload.view.pools.push_back({ .pool = PoolId { name } });
}

void addKind(Workload& workload, const std::string& pool, const std::string& kind, double weight, double floorShare)
{
    workload.view.kinds.push_back(
        { .kind = WorkKind { kind }, .pool = PoolId { pool }, .weight = weight, .floorShare = floorShare });
}

void draw(Workload& workload, const std::vector<Stream>& streams, std::uint64_t seed)
{
    for (std::size_t index = 0; index < streams.size(); ++index) {
        std::mt19937_64 random { seed * 1'000 + index };
        drawStream(workload, streams[index], index, random);
    }
    std::stable_sort(workload.arrivals.begin(), workload.arrivals.end(),
        [](const auto& left, const auto& right) { return left.at < right.at; });
}

} // namespace rattanrack::measure
