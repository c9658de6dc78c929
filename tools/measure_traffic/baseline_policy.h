#pragma once

#include "rattanrack/policy/traffic.h"

#include <cstdint>
#include <memory>

namespace rattanrack::measure {

/// How a baseline chooses a worker without credits. All serve first come first served and ask again when refused.
enum class Choice {
    Random, ///< Any worker, whatever its load.
    LeastLoaded, ///< The least loaded by the last report, corrected by what the node itself sent and saw end since.
    TwoChoices, ///< The less loaded of two random workers, by the same figures.
};

std::unique_ptr<policy::TrafficPolicy> createBaseline(Choice, std::uint64_t seed);

} // namespace rattanrack::measure
