#pragma once

#include "measure_fleet/measure.h"

#include <cstdint>
#include <vector>

namespace rattanrack::measure {

/// The size of one user's fleet.
struct FleetSize {
    std::string user;
    std::uint32_t pools { 0 };
    std::uint32_t vms { 0 };
    std::uint32_t dataCenters { 0 };
    std::uint32_t vmsPerRack { 4 };
    std::uint32_t maxPlannedDown { 1 }; ///< In each pool.
    std::uint32_t spareShare { 2 }; ///< VMs of a pool above its floor.
    Weights weights;
};

/// Both users' sizes of today, and the size of two years from now.
std::vector<FleetSize> fleetSizes();

} // namespace rattanrack::measure
