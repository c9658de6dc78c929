#pragma once

#include "fleet_fakes/random.h"
#include "measure_fleet/sizes.h"

#include "rattanrack/base/time.h"

#include <vector>

namespace rattanrack::measure {

/// Need and capacity over some days, sampled at a steady pace.
struct Demand {
    static constexpr Duration interval = std::chrono::seconds { 5 };
    static constexpr std::size_t days = 3;
    static constexpr std::size_t samples = days * 24 * 60 * 60 / 5;

    std::vector<std::vector<float>> sustained; ///< By pool and sample: VMs' worth of work that lasts.
    std::vector<std::uint32_t> flooding; ///< By sample: the pool whose need is five times its mean; none: `noFlood`.
    std::vector<std::uint32_t> lostRack; ///< By sample: the rack that is down; none: `noRack`.
    std::vector<double> mean; ///< By pool.

    static constexpr std::uint32_t noFlood = UINT32_MAX;
    static constexpr std::uint32_t noRack = UINT32_MAX;

    /// What pool `pool` seems to need at `sample`, floods included.
    double seen(std::size_t sample, std::size_t pool) const;
};

/// Levels of each pool change every half hour on average, between 0.4 and 1.6 times its mean; floods pass through the
/// pools in turn, 8 s in every 2 minutes; a rack is lost for half an hour every six hours.
Demand makeDemand(const FleetSize&, std::uint64_t seed);

} // namespace rattanrack::measure
