#include "measure_fleet/sizes.h"

namespace rattanrack::measure {

std::vector<FleetSize> fleetSizes()
{
    const Weights lindmayr { 3, 1, 3, 1 };
    const Weights namiotech { 1, 1, 1, 5 };
    return {
        { "lindmayr", 5, 50, 3, 4, 2, 3, lindmayr },
        { "namiotech", 5, 50, 4, 4, 2, 3, namiotech },
        { "two-years", 147, 700, 6, 4, 1, 2, {} },
    };
}

} // namespace rattanrack::measure
