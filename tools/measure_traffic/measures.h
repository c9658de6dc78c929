#pragma once

#include "simulation.h"

#include <string>

namespace rattanrack::measure {

/// What tells the users apart.
struct User {
    std::string name;
    std::size_t dataCenters { 3 };
    std::int64_t workerMemory { 64'000 }; ///< Mebibytes.
    std::string pools[5];
    std::string urgentKinds[5];
    std::string plainKinds[5];
    double urgentWeight { 1 };
    std::uint64_t seed { 1 }; ///< Of the demand.
};

const User& lindmayr();
const User& namiotech();

PolicyFactory coreFactory();

/// One pool of 10 workers: waits, refusals and idle slots of every placement policy.
void measurePlacement(const User&);

/// 147 pools with 700 workers.
void measureTwoYearSize();

/// Floods in one pool, first of the least urgent work, then of the most urgent.
void measureFloods(const User&);

/// Sick workers, waves, a dying home, wrong declarations, cancellations.
void measureFaults(const User&);

} // namespace rattanrack::measure
