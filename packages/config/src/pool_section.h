#pragma once

#include "rattanrack/config/section.h"

#include "rattanrack/config/federation.h"

#include <array>

namespace rattanrack::config {

/// A limit of a pool that is a whole number.
struct CountLimit {
    std::string_view key;
    std::uint32_t Pool::*member;
    CountRange range;
};

/// A limit of a pool that is a share.
struct ShareLimit {
    std::string_view key;
    double Pool::*member;
};

constexpr std::uint64_t maxWorkers = 100'000;
constexpr std::string_view queuedMemoryKey = "maxQueuedMemory";
constexpr CountRange queuedMemoryRange { 1U << 10U, std::uint64_t { 64 } << 30U };
constexpr NumberRange shareRange { 0, 1 };

/// The limits in the order in which documents give them; a site may set each of them differently.
constexpr std::array<CountLimit, 6> countLimits { {
    { "workers", &Pool::workers, { 1, maxWorkers } },
    { "minAvailable", &Pool::minAvailable, { 0, maxWorkers } },
    { "maxPlannedDown", &Pool::maxPlannedDown, { 0, maxWorkers } },
    { "mayBorrow", &Pool::mayBorrow, { 0, maxWorkers } },
    { "mayLend", &Pool::mayLend, { 0, maxWorkers } },
    { "maxQueued", &Pool::maxQueued, { 1, 1'000'000 } },
} };
constexpr std::array<ShareLimit, 2> shareLimits { {
    { "maxEjectedShare", &Pool::maxEjectedShare },
    { "retryBudget", &Pool::retryBudget },
} };

/// Reads the limits that `section` gives into `pool` and checks that they go together. `workersPresence` is Required
/// where the pool is defined.
void readLimits(Section& section, Presence workersPresence, Pool& pool);

/// Reads a pool's definition: its name, limits and kinds.
Pool readPool(Section& section);

} // namespace rattanrack::config
