#pragma once

#include "load_profile.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace rattanrack::cli {

/// One request as a caller means it, however often it is sent.
struct PlannedRequest {
    std::size_t mix { 0 }; ///< Index of its sort in the profile.
    CallerId caller;
    IdempotencyKey key;
    std::string payload; ///< Unique over the run, so that a worker's log entry tells the request.
    Duration runTime {};
};

/// One call of a caller. Offsets count from the run's start.
struct PlannedCall {
    Duration at {}; ///< Latency is measured from here, however late the call is sent.
    std::size_t request { 0 }; ///< Index into the plan's requests.
    std::size_t node { 0 }; ///< The node that it tries first, modulo the number of nodes.
    std::optional<Duration> cancelAt;
};

struct LoadPlan {
    std::vector<PlannedRequest> requests;
    std::vector<PlannedCall> calls; ///< In the order of time.
};

/// Draws a run from `profile`. The same profile, seed and run name give the same plan. `runName` keeps the keys and
/// payloads of different runs apart.
LoadPlan planLoad(const LoadProfile& profile, std::uint64_t seed, const std::string& runName);

} // namespace rattanrack::cli
