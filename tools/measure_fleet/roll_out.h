#pragma once

#include "measure_fleet/sizes.h"

#include "rattanrack/base/time.h"

namespace rattanrack::measure {

/// How long one reboot of every VM takes, in virtual time.
struct RollOutFigures {
    Duration taken {};
    Duration bound {}; ///< No schedule within the budgets is shorter, even one that knows all drain times.
    Duration oneAtATime {}; ///< Drains and reboots one after the other, without any time between them.
    std::uint64_t rowsWritten { 0 };
    std::uint64_t plans { 0 };
    double planSeconds { 0 }; ///< Processor time of all plans.
    std::size_t stateBytes { 0 }; ///< Text of all rows.
};

/// Reboots all VMs with the planner under test. With `losesRack`, one rack fails a third of the way in and is back ten
/// minutes later.
RollOutFigures measureRollOut(const FleetSize&, std::uint64_t seed, bool losesRack);

} // namespace rattanrack::measure
