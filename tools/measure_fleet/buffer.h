#pragma once

#include "measure_fleet/demand.h"

#include <functional>

namespace rattanrack::measure {

/// How one way of holding spare VMs did over all days.
struct BufferFigures {
    std::uint32_t vms { 0 }; ///< Held in all.
    double buffer { 0 }; ///< VMs above the mean need.
    double kept { 0 }; ///< Part of the lasting work of pools without a flood that was served.
    double movesPerDay { 0 };
};

/// A way of holding spare VMs: runs all days with `vms` VMs.
using BufferPolicy = std::function<BufferFigures(const FleetSize&, const Demand&, std::uint32_t vms)>;

/// Each pool keeps its own; nothing moves.
BufferFigures runStatic(const FleetSize&, const Demand&, std::uint32_t vms);

/// The borrowing planner, which sees only the present.
BufferFigures runBorrowing(const FleetSize&, const Demand&, std::uint32_t vms);

/// Knows the days in advance: starts each move so that it arrives in time, and takes from the pool that will need its
/// VM last.
BufferFigures runOracle(const FleetSize&, const Demand&, std::uint32_t vms);

/// The fewest VMs with which `policy` serves at least `kept`.
BufferFigures fewestVms(const BufferPolicy&, const FleetSize&, const Demand&, double kept);

} // namespace rattanrack::measure
