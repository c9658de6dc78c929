#pragma once

#include "rattanrack/policy/traffic.h"

#include <cstdint>
#include <memory>

namespace rattanrack::policy {

/// The traffic policy that nodes run: bounded fair queues, standing credits with a home for each pool, deadline-aware
/// admission, worker health and a retry budget. `seed` spreads the retry advice of different nodes; equal seeds and
/// equal events give equal decisions.
///
///     auto core = createTrafficCore(seed);
///     for (const auto& decision : core->handle(Submit { request }, clock.now()))
std::unique_ptr<TrafficPolicy> createTrafficCore(std::uint64_t seed);

} // namespace rattanrack::policy
