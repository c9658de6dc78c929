#include "measure_fleet/demand.h"

#include <cmath>

namespace rattanrack::measure {

using namespace std::chrono_literals;

namespace {

constexpr double meanUse = 0.62; ///< Mean need over the pool's VMs.
constexpr double lowestLevel = 0.4;
constexpr double highestLevel = 1.6;
constexpr double floodFactor = 5;
constexpr Duration levelTime = 30min;
constexpr Duration floodEvery = 2min;
constexpr Duration floodTime = 8s;
constexpr Duration rackLostEvery = 6h;
constexpr Duration rackLostTime = 30min;

std::uint64_t samplesIn(Duration duration) { return static_cast<std::uint64_t>(duration / Demand::interval); }

std::vector<float> levelsOf(double mean, fakes::Random& random)
{
    std::vector<float> levels;
    double level = mean;
    for (std::size_t sample = 0; sample < Demand::samples; ++sample) {
        if (sample == 0 || random.oneIn(samplesIn(levelTime)))
            level = mean * (lowestLevel + (highestLevel - lowestLevel) * random.uniform());
        levels.push_back(static_cast<float>(level));
    }
    return levels;
}

} // namespace

double Demand::seen(std::size_t sample, std::size_t pool) const
{
    const double lasting = sustained[pool][sample];
    return flooding[sample] == pool ? std::max(lasting, floodFactor * mean[pool]) : lasting;
}

Demand makeDemand(const FleetSize& size, std::uint64_t seed)
{
    fakes::Random random { seed };
    Demand demand;
    for (std::uint32_t pool = 0; pool < size.pools; ++pool) {
        demand.mean.push_back(meanUse * size.vms / size.pools);
        demand.sustained.push_back(levelsOf(demand.mean.back(), random));
    }
    const std::uint32_t racks = (size.vms + size.vmsPerRack - 1) / size.vmsPerRack;
    std::uint32_t rack = 0;
    for (std::size_t sample = 0; sample < Demand::samples; ++sample) {
        const auto flood = sample / samplesIn(floodEvery);
        const bool isFlood = sample % samplesIn(floodEvery) < samplesIn(floodTime + Demand::interval - 1us);
        demand.flooding.push_back(isFlood ? static_cast<std::uint32_t>(flood % size.pools) : Demand::noFlood);
        const auto phase = sample % samplesIn(rackLostEvery);
        if (phase == 0)
            rack = static_cast<std::uint32_t>(random.below(racks));
        const bool isLost = phase >= samplesIn(rackLostEvery - rackLostTime);
        demand.lostRack.push_back(isLost ? rack : Demand::noRack);
    }
    return demand;
}

} // namespace rattanrack::measure
